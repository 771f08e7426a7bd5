package maintenance

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// goldenRecord is what the package decides, in order. Texts for people are hashed apart from the decisions, so that a change
// of wording shows as just that. Only values go in, and JSON as it is stored: no name of the code.
type goldenRecord struct {
	decisions, texts hash.Hash
	counts           map[string]int
}

func newGoldenRecord() *goldenRecord {
	return &goldenRecord{decisions: sha256.New(), texts: sha256.New(), counts: map[string]int{}}
}

func (g *goldenRecord) decide(values ...any) { fmt.Fprintln(g.decisions, values...) }

func (g *goldenRecord) say(text string) { fmt.Fprintf(g.texts, "%q\n", text) }

func (g *goldenRecord) count(what string) { g.counts[what]++ }

// asJSON is a value as it is stored or sent.
func asJSON(v any) string {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// TestGoldenDecisions compares decisions on drawn contracts, plans, orders and clocks with testdata/golden.json.
func TestGoldenDecisions(t *testing.T) {
	type section struct {
		Decisions string         `json:"decisions"`
		Texts     string         `json:"texts"`
		Counts    map[string]int `json:"counts"`
	}
	got := map[string]section{}
	for name, play := range map[string]func(*rand.Rand, *goldenRecord){
		"contracts": goldenContracts, "plans": goldenPlans,
		"orders": goldenOrders, "clocks": goldenClocks,
	} {
		g := newGoldenRecord()
		for seed := range uint64(100) {
			play(rand.New(rand.NewPCG(seed, 57)), g)
		}
		got[name] = section{hex.EncodeToString(g.decisions.Sum(nil)), hex.EncodeToString(g.texts.Sum(nil)), g.counts}
	}
	text, err := json.MarshalIndent(got, "", "  ")
	assert.NilError(t, err)
	golden.Assert(t, string(text)+"\n", "golden.json")
}

func pick[T any](r *rand.Rand, values ...T) T { return values[r.IntN(len(values))] }

// some draws a subset, in order.
func some(r *rand.Rand, values ...string) (out []string) {
	for _, v := range values {
		if r.IntN(2) == 0 {
			out = append(out, v)
		}
	}
	return out
}

// drawContract draws a contract; with mistakes it may be invalid.
func drawContract(r *rand.Rand, name string, mistakes bool) Contract {
	c := Contract{
		Name: name, ConfigVersion: 1, TimeZone: pick(r, "Australia/Hobart", "Europe/Paris", "UTC", "America/New_York"),
		Approvers: append(some(r, "ana", "bo"), "cy"), LeastReady: pick(r, 0, 0, 0.25, 0.75), MostOut: OutLimits{r.IntN(3), r.IntN(4)},
	}
	switch r.IntN(5) {
	case 0:
		c.Covers.Services = some(r, "log", "else")
	case 1:
		c.Covers.Zones, c.Covers.Routes = some(r, "z0", "z1"), some(r, "weigh", "export")
	case 2:
		c.Covers.Namespaces = some(r, "crews", "pickers")
	}
	for range 1 + r.IntN(2) {
		edges := pick(r, [2]string{"00:00", "01:45"}, [2]string{"02:30", "03:30"}, [2]string{"09:00", "12:00"}, [2]string{"20:00", "24:00"},
			[2]string{"21:30", "23:59"}, [2]string{"00:00", "24:00"})
		c.Weekly = append(c.Weekly, WeeklyWindow{append(some(r, "Tue", "Wed", "Thu", "Fri"), pick(r, "Mon", "Sat", "Sun")), edges[0], edges[1]})
	}
	if r.IntN(3) == 0 {
		from := pick(r, "2026-06-01 12:00", "2026-10-04 02:30", "2026-04-05 01:00")
		c.Dates = append(c.Dates, DateWindow{from, pick(r, "2026-06-02 04:00", "2026-10-04 05:00")})
	}
	if r.IntN(3) == 0 {
		c.Barred = append(c.Barred, BarredDays{pick(r, "2026-06-02", "2026-10-04"), pick(r, "2026-06-02", "2026-10-05"), "harvest"})
	}
	if mistakes {
		spoilContract(r, &c)
	}
	return c
}

// spoilContract makes at most one mistake.
func spoilContract(r *rand.Rand, c *Contract) {
	switch r.IntN(14) {
	case 0:
		c.TimeZone = pick(r, "Mars", "Local", "")
	case 1:
		c.Approvers = nil
	case 2:
		c.Weekly = nil
	case 3:
		c.Weekly[0].From = pick(r, "24:00", "25:00", "soon")
	case 4:
		c.Weekly[0].To = pick(r, "24:30", "", c.Weekly[0].From)
	case 5:
		c.Weekly[0].Days = []string{"Monday"}
	case 6:
		c.Dates = []DateWindow{{"2026-06-01 12:00", "2026-06-02 04:00"}, {"2026-06-02 03:00", "2026-06-02 05:00"}}
	case 7:
		c.Dates = []DateWindow{{"tomorrow", "2026-06-02 04:00"}}
	case 8:
		c.Barred = []BarredDays{{"2026-06-02", pick(r, "2026-06-01", "never"), "harvest"}}
	case 9:
		c.LeastReady = 1.5
	case 10:
		c.MostOut.Service = -1
	}
}

func goldenContracts(r *rand.Rand, g *goldenRecord) {
	for n := range 12 {
		c := drawContract(r, fmt.Sprint("c", n), true)
		if f := c.Validate(); f != nil {
			field, text := f.Field, f.Text
			if strings.Contains(text, "when the clocks change") { // of a window with two such edges either is told first
				field, text = field[:strings.LastIndexByte(field, '.')], "when the clocks change"
			}
			g.count("invalid")
			g.decide(field)
			g.say(text)
			continue
		}
		g.count("valid")
		from := drawTime(r)
		approved, barred := c.Windows(Interval{from, from.Add(time.Duration(r.IntN(72)) * time.Hour)})
		g.decide(asJSON(approved), asJSON(barred))
	}
}

// drawTime draws a time near a change of the clocks, or of an ordinary week.
func drawTime(r *rand.Rand) time.Time {
	day := pick(r, "2026-03-28", "2026-04-03", "2026-06-01", "2026-10-02", "2026-10-24")
	t, _ := time.Parse(dayLayout, day)
	return t.Add(time.Duration(r.IntN(4*24*60)) * time.Minute)
}

func drawView(r *rand.Rand) View {
	v := View{Load: map[string]float64{}, Parameters: Parameters{
		DrainTimeout: 2 * time.Second, DownloadAllowance: 10 * time.Second, WarmUp: 3 * time.Second,
		Margin: time.Duration(r.IntN(60)) * time.Second, FaultTolerance: r.IntN(2),
	}}
	for n := range 3 + r.IntN(4) {
		v.Machines = append(v.Machines, Machine{
			Addr: fmt.Sprint("l", n), Name: fmt.Sprint("line-", n), Zone: fmt.Sprint("z", r.IntN(2)),
			Service: pick(r, "log", "log", "else"), Namespaces: some(r, "crews", "pickers"), Slots: 6 * r.IntN(3), Ready: r.IntN(8) > 0,
		})
	}
	for n := range 3 + r.IntN(3) {
		v.Machines = append(v.Machines, Machine{
			Addr: fmt.Sprint("r", n), Name: fmt.Sprint("r", n), Zone: fmt.Sprint("z", r.IntN(2)),
			Ready: r.IntN(8) > 0, ControlPlane: true,
		})
	}
	v.Routes = []Route{
		{Name: "weigh", Services: []string{"log"}, Timeout: time.Second},
		{Name: "export", Services: []string{"else"}, Timeout: time.Duration(r.IntN(60)) * time.Second, Download: r.IntN(2) == 0},
	}
	for n := 0; n < r.IntN(4); n++ {
		c := drawContract(r, fmt.Sprint("c", n), false)
		if r.IntN(3) > 0 {
			c.Weekly = []WeeklyWindow{{[]string{"Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun"}, "00:00", "24:00"}}
		}
		if r.IntN(2) == 0 {
			c.MostOut = OutLimits{3, 3}
		}
		v.Contracts = append(v.Contracts, c)
	}
	for _, m := range v.Machines {
		if r.IntN(12) == 0 {
			v.InMaintenance = append(v.InMaintenance, m.Addr)
		}
	}
	if r.IntN(3) == 0 {
		v.Load["log"] = float64(r.IntN(20))
	}
	return v
}

func goldenPlans(r *rand.Rand, g *goldenRecord) {
	for range 10 {
		v := drawView(r)
		early := drawTime(r)
		now := TimeBounds{early, early.Add(time.Duration(r.IntN(3000)) * time.Second)}
		addr := pick(r, "l0", "l1", "r0", "l9")
		g.verdict("plan", v.Plan(addr, time.Duration(r.IntN(3600))*time.Second, now))
		g.verdict("still", v.Recheck(addr, now))
		g.decide(v.successor(addr), v.Sequence([]string{"r1", "l2", "r0", "l0", "l1", "r2"}, pick(r, "r0", "r1")))
	}
}

// verdict records a plan's answer, its texts apart.
func (g *goldenRecord) verdict(of string, d Verdict) {
	if d.Approved {
		g.count(of + " approved")
	} else {
		g.count(of + " not approved")
	}
	var reasons []Reason
	for _, x := range d.Reasons {
		g.say(x.String())
		x.Text = ""
		reasons = append(reasons, x)
	}
	d.Reasons = reasons
	g.decide(asJSON(d))
}

// goldenOrders plays orders: placed, decided on, changed late, twice or never, by two that decide and by operators.
func goldenOrders(r *rand.Rand, g *goldenRecord) {
	var b OrderTable
	var net []OrderChange
	v := drawView(r)
	v.InMaintenance = nil
	early := drawTime(r)
	for range 150 {
		now := TimeBounds{early, early.Add(200 * time.Millisecond)}
		switch r.IntN(12) {
		case 0:
			var err error
			b, err = b.Place(drawOrder(r), now)
			g.outcome("place", err)
		case 1:
			net = append(net, OrderChange{
				OrderID: fmt.Sprint("o", r.IntN(4)), ExpectedRevision: uint64(r.IntN(2) * r.IntN(6)), Abort: r.IntN(8) == 0,
				MaintenanceDone: r.IntN(3) == 0,
				ApprovedBy:      pick(r, "", "", "ana", "cy"), Text: "a word",
			})
		case 2:
			early = early.Add(time.Duration(r.IntN(400)) * time.Second)
		case 3:
			if r.IntN(8) == 0 {
				v = drawView(r)
			}
		case 4, 5, 6:
			for _, o := range b.Open() {
				c, ok, waits := o.Next(v, drawSight(r), now)
				g.say(waits)
				g.change(c, ok)
				if ok {
					net = append(net, c)
				}
			}
		default:
			if len(net) == 0 {
				continue
			}
			n := r.IntN(len(net))
			c := net[n]
			if r.IntN(4) > 0 { // else it comes once more
				net = append(net[:n], net[n+1:]...)
			}
			var err error
			b, err = b.Apply(c, now)
			g.outcome("apply", err)
		}
		g.book(b)
	}
}

func drawOrder(r *rand.Rand) Order {
	o := Order{
		ID: pick(r, "o0", "o1", "o2", "o3", ""), PlacedBy: pick(r, "ana", "bo", "cy", ""),
		Duration: time.Duration(r.IntN(600)) * time.Second,
		Override: r.IntN(6) == 0, NeedsApproval: r.IntN(4) == 0, Reason: pick(r, "", "smoke"), Machines: some(r, "l0", "l1", "l2", "r0"),
	}
	if r.IntN(3) == 0 {
		for _, m := range o.Machines {
			o.MachineNames = append(o.MachineNames, "name of "+m)
		}
	}
	return o
}

// drawSight draws what is seen of a machine: mostly of one that does as it is told.
func drawSight(r *rand.Rand) Observation {
	likely := func() bool { return r.IntN(16) > 0 }
	few := func() int { return max(0, r.IntN(16)-13) }
	return Observation{
		Reachable: likely(), Cordoned: likely(), ServerRequests: few(), CallerRequests: few(),
		CallersMoved: likely(), KeysHandedOver: likely(), Senders: few(), Ready: likely(), Warm: likely(),
		ControlPlane: r.IntN(4) == 0, FollowingSidecars: few(), IsLeader: r.IntN(4) == 0,
		SendersText: "l7 does not answer", WorkText: "in flight none",
	}
}

// outcome records of which kind an error is.
func (g *goldenRecord) outcome(of string, err error) {
	kind := "other"
	switch {
	case err == nil:
		kind = "taken"
	case errors.Is(err, ErrInvalidOrder):
		kind = "invalid"
	case errors.Is(err, ErrStaleChange):
		kind = "stale"
	}
	g.count(of + " " + kind)
	g.decide(of, kind)
	if err != nil {
		g.say(err.Error())
	}
}

// change records a decision, its text apart.
func (g *goldenRecord) change(c OrderChange, ok bool) {
	if ok {
		g.count("next " + string(c.Step))
	} else {
		g.count("next waits")
	}
	g.say(c.Text)
	c.Text = ""
	g.decide(ok, asJSON(c))
}

// book records all orders, the texts of their events apart.
func (g *goldenRecord) book(b OrderTable) {
	for _, o := range b.Orders {
		var events []Event
		for _, e := range o.Events {
			g.say(e.Text)
			e.Text = ""
			events = append(events, e)
		}
		o.Events = events
		g.decide(asJSON(o), o.CurrentMachine(), o.CurrentMachineName(), o.Step.IsFinished(), o.Step.IsCordoned())
	}
}

// goldenClocks plays the agreed time: clocks that are right, wrong or silent, leaders that change.
func goldenClocks(r *rand.Rand, g *goldenRecord) {
	truth := drawTime(r)
	members := pick(r, 3, 5)
	offsets := make([]time.Duration, members)
	var c Clock
	var at, stamp time.Duration
	for range 40 {
		step := time.Duration(r.IntN(10_000)) * time.Millisecond
		at, truth = at+step, truth.Add(step)
		gap := pick(r, 0, 0, 0, 3*time.Second, LeaderlessUnknown)
		if gap != LeaderlessUnknown {
			stamp += max(0, step-gap)
		}
		if r.IntN(4) == 0 {
			offsets[r.IntN(members)] = pick(r, 0, 100*time.Millisecond, -time.Second, 40*time.Minute, -40*time.Minute)
		}
		next, err := c.Agree(stamp, drawSamples(r, truth, at, offsets), at, members, gap)
		g.decide(asJSON(next), errors.Is(err, ErrNoAgreedTime), asJSON(next.Now(stamp+time.Second)), next.IsKnown())
		switch {
		case err != nil:
			g.count("not agreed")
		case next.InDoubt:
			g.count("in doubt")
		default:
			g.count("agreed")
		}
		c = next
	}
}

func drawSamples(r *rand.Rand, truth time.Time, at time.Duration, offsets []time.Duration) (samples []ClockSample) {
	for n, off := range offsets {
		if r.IntN(5) == 0 {
			continue
		}
		trip, ago := time.Duration(r.IntN(50))*time.Millisecond, time.Duration(r.IntN(500))*time.Millisecond
		member := uint64(n / (1 + r.IntN(12)/11)) // now and then another has the same one
		samples = append(samples, ClockSample{Member: member, Wall: truth.Add(off - ago), ReadAt: at - ago, RoundTrip: trip})
	}
	return samples
}
