package fleet

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"cranegrade/internal/fleet/membership"
)

// Status is what a node holds of its fleet at a moment, for operators. Times are in milliseconds.
type Status struct {
	Name    string         `json:"name"`
	Run     string         `json:"run"`
	At      time.Time      `json:"at"`
	Open    bool           `json:"open"` // its address is its own
	LeaseMS float64        `json:"lease_ms"`
	Nodes   int            `json:"nodes"` // that start the fleet
	Roll    string         `json:"roll"`  // the same text at two nodes: they know the same
	Members []MemberStatus `json:"members"`
	Pools   []PoolStatus   `json:"pools"`
	Changes []ChangeStatus `json:"changes"`
	Stalls  []ChangeStatus `json:"stalls"`
	Health  int            `json:"health"`  // of the gossip: 0 is good, more: this node is slow and accuses others less
	Sent    int64          `json:"sent"`    // bytes of beats and rolls
	Got     int64          `json:"got"`     // and received
	Bad     int            `json:"bad"`     // messages that could not be read
	Ignored int            `json:"ignored"` // members beyond the most that are kept
}

// MemberStatus is of a name that is on the roll or was met.
type MemberStatus struct {
	Name    string  `json:"name"`
	Run     string  `json:"run"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	State   string  `json:"state"` // alive, failed, left; unknown: only its name is known
	SinceMS float64 `json:"since_ms"`
	Counts  bool    `json:"counts"` // agreed to be there
	Flaps   int     `json:"flaps"`
	Twin    string  `json:"twin,omitempty"` // run of another process of this name
	Seated  bool    `json:"seated"`
	Gone    bool    `json:"gone"`
	Out     bool    `json:"out"` // this node misses its beats
	Same    bool    `json:"same"`
	HeardMS float64 `json:"heard_ms"` // since its last beat
}

// PoolStatus is this node's role in a pool.
type PoolStatus struct {
	Pool     string            `json:"pool"`
	Index    int               `json:"index"`
	Seen     int               `json:"seen"`
	Agreed   int               `json:"agreed"`
	Divisor  int               `json:"divisor"`
	Standing bool              `json:"standing"`
	UntilMS  float64           `json:"until_ms"` // how long it would last if nothing more were heard
	Granted  int               `json:"granted"`
	Wanted   int               `json:"wanted"`
	Of100    float64           `json:"of_100"` // what this node would take of a ration of 100 now
	Why      string            `json:"why,omitempty"`
	Order    []string          `json:"order"`
	Subset   []string          `json:"subset"` // servers that first attempts are drawn from; null: all, or cut by number
	Moving   bool              `json:"moving,omitempty"`
	Aside    []AsideStatus     `json:"aside,omitempty"`
	Quotas   []QuotaStatus     `json:"quotas,omitempty"`
	Differ   map[string]string `json:"differ,omitempty"` // members that don't fit, and how
}

// QuotaStatus is this node's part of a tenant's quota.
type QuotaStatus struct {
	Tenant   string  `json:"tenant"`
	Part     float64 `json:"part"` // 0 to 1, which its module goes by
	Lent     float64 `json:"lent"` // to others, of the whole
	Borrowed float64 `json:"borrowed"`
}

// AsideStatus is a server that is put aside on others' word.
type AsideStatus struct {
	Server string   `json:"server"`
	ForMS  float64  `json:"for_ms"` // still
	By     []string `json:"by"`
}

// ChangeStatus is something that happened.
type ChangeStatus struct {
	AgoMS float64 `json:"ago_ms"`
	Name  string  `json:"name,omitempty"`
	What  string  `json:"what"`
	Why   string  `json:"why,omitempty"`
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Status tells what this node holds now.
func (f *Fleet) Status() Status {
	f.mu.Lock()
	l := f.list
	f.mu.Unlock()
	health := 0
	if l != nil {
		health = l.GetHealthScore()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := BootTime()
	s := Status{
		Name: f.cfg.Name, Run: fmt.Sprintf("%x", f.incarnation), At: time.Now(), Open: l != nil, LeaseMS: millis(f.cfg.Lease), Nodes: f.cfg.Nodes,
		Roll: fmt.Sprintf("%016x", f.roster.Hash()), Health: health, Sent: f.sent.Load(), Got: f.received.Load(), Bad: f.unreadableMessages,
	}
	members := map[string]*MemberStatus{}
	get := func(name string) *MemberStatus {
		m := members[name]
		if m == nil {
			m = &MemberStatus{Name: name, State: "unknown"}
			members[name] = m
		}
		return m
	}
	all := f.view.Members()
	for _, m := range all {
		x := get(m.Name)
		x.Run, x.Addr, x.Zone, x.State = fmt.Sprintf("%x", m.Run), m.Addr, m.Zone, m.State.String()
		x.SinceMS, x.Counts, x.Flaps = millis(now-m.Since), m.Agreed, m.Flaps
		if m.Twin != 0 {
			x.Twin = fmt.Sprintf("%x", m.Twin)
		}
	}
	for name, run := range f.roster.Duplicates() {
		get(name).Twin = fmt.Sprintf("%x", run)
	}
	for _, e := range f.roster.Members(now) {
		x := get(e.Name)
		x.Seated, x.Gone, x.Out, x.Same, x.HeardMS = e.Seated, e.Gone, e.Out, e.Same, millis(e.Heard)
	}
	for _, m := range members {
		s.Members = append(s.Members, *m)
	}
	slices.SortFunc(s.Members, func(a, b MemberStatus) int { return strings.Compare(a.Name, b.Name) })
	for id, name := range f.pools {
		r, part := f.gates[id].Role(now) // what the pool's module goes by
		p := PoolStatus{
			Pool: name, Index: r.Index, Seen: r.Seen, Agreed: r.Agreed, Divisor: r.Divisor, Standing: !math.IsInf(part, 1), Granted: r.Granted,
			Wanted: r.Wanted, Of100: 100 / part, Why: r.Reason, Order: r.Order,
		}
		h := f.gates[id].hearsay.Load()
		p.Subset, p.Moving = h.Set, h.Moving
		for _, v := range h.Verdicts {
			p.Aside = append(p.Aside, AsideStatus{v.Server, millis(max(0, v.Until-now)), v.By})
		}
		parts := f.gates[id].quotas(now)
		for name, ration := range f.gates[id].rations() {
			q := QuotaStatus{name, 1 / part, f.loans.Lent(now, ration), f.loans.Borrowed(now, ration)}
			if x, is := parts.Of[name]; is && p.Standing {
				q.Part = x
			}
			p.Quotas = append(p.Quotas, q)
		}
		slices.SortFunc(p.Quotas, func(a, b QuotaStatus) int { return cmp.Compare(a.Tenant, b.Tenant) })
		if p.Standing {
			p.UntilMS = millis(min(r.Until-now, 1000*time.Hour))
		} else if p.Why == "" {
			p.Why = "what it stood on is too old"
		}
		for _, m := range all {
			if fit := f.view.Fits(&m, id); fit != membership.Same && m.State == membership.Alive {
				if p.Differ == nil {
					p.Differ = map[string]string{}
				}
				p.Differ[m.Name] = fit.String()
			}
		}
		s.Pools = append(s.Pools, p)
	}
	slices.SortFunc(s.Pools, func(a, b PoolStatus) int { return cmp.Compare(a.Pool, b.Pool) })
	changes, ignored := f.view.Changes()
	s.Ignored = ignored
	for _, c := range changes {
		s.Changes = append(s.Changes, ChangeStatus{millis(now - c.At), c.Name, c.What, c.Why})
	}
	for _, c := range f.stalls {
		s.Stalls = append(s.Stalls, ChangeStatus{millis(now - c.At), "", "did not run", fmt.Sprintf("for %v", c.For.Round(time.Millisecond))})
	}
	return s
}

// Write tells a status as text.
func (s Status) Write(to io.Writer) error {
	fmt.Fprintf(to, "%s, run %s: %d names, lease %v, fleet of %d at least", s.Name, s.Run, len(s.Members), ago(s.LeaseMS), s.Nodes)
	if !s.Open {
		fmt.Fprint(to, "; its address is held by another process")
	}
	fmt.Fprintln(to)
	t := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\nmember\tzone\tstate\tfor\tcounts\tbeat\troll\tnote")
	for _, m := range s.Members {
		var notes []string
		for _, n := range []struct {
			is   bool
			text string
		}{
			{m.Gone, "off the roll"},
			{m.Out, "its beats are missed"},
			{!m.Gone && !m.Seated, "not yet in majorities"},
			{m.Flaps > 0, fmt.Sprintf("flapped %d times", m.Flaps)},
			{m.Twin != "", "ANOTHER PROCESS HAS ITS NAME, run " + m.Twin},
		} {
			if n.is {
				notes = append(notes, n.text)
			}
		}
		same := map[bool]string{true: "same", false: "other"}[m.Same]
		fmt.Fprintf(t, "%s\t%s\t%s\t%v\t%v\t%v\t%s\t%s\n", m.Name, m.Zone, m.State, ago(m.SinceMS), m.Counts, ago(m.HeardMS), same, strings.Join(notes, "; "))
	}
	fmt.Fprintln(t, "\npool\tplace\tseen\tagreed\tdivisor\tpart of 100\tgrants\tlasts\tnote")
	for _, p := range s.Pools {
		note := p.Why
		if p.Subset != nil {
			note += fmt.Sprintf("; draws from %d servers", len(p.Subset))
		}
		for _, q := range p.Quotas {
			note += fmt.Sprintf("; %.3g of %s's quota", q.Part, q.Tenant)
		}
		for _, a := range p.Aside {
			note += fmt.Sprintf("; %s aside for %v by word of %s", a.Server, ago(a.ForMS), strings.Join(a.By, ", "))
		}
		for name, how := range p.Differ {
			note += fmt.Sprintf("; %s: %s", name, how)
		}
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.4g\t%d of %d\t%v\t%s\n", cmp.Or(p.Pool, "(only)"), p.Index, p.Seen, p.Agreed, p.Divisor, p.Of100, p.Granted, p.Wanted,
			ago(p.UntilMS), strings.TrimPrefix(note, "; "))
	}
	if len(s.Changes)+len(s.Stalls) > 0 {
		fmt.Fprintln(t, "\nago\tmember\twhat\twhy")
	}
	for _, c := range append(slices.Clone(s.Changes), s.Stalls...) {
		fmt.Fprintf(t, "%v\t%s\t%s\t%s\n", ago(c.AgoMS), cmp.Or(c.Name, s.Name), c.What, c.Why)
	}
	return t.Flush()
}

func ago(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond)).Round(time.Millisecond)
}
