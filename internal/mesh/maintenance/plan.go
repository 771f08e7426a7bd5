package maintenance

import (
	"fmt"
	"slices"
	"sort"
	"time"
)

// Machine is one that may come out, as the directory and the registers have it.
type Machine struct {
	Addr, Name, Zone, Service string
	Namespaces                []string // whose its service is, and those that that lies within
	Slots                     int
	Ready                     bool // its server is sent to; of a register: it follows or leads
	ControlPlane              bool
}

// Route is what a plan has to know of a route.
type Route struct {
	Name     string
	Services []string
	Timeout  time.Duration
	Download bool
}

// Parameters are figures that a drain goes by.
type Parameters struct {
	DrainTimeout      time.Duration // in which the others stop sending, after the line has
	DownloadAllowance time.Duration // the longest that a download may take beyond its route's timeout
	WarmUp            time.Duration // a server that comes back needs
	Margin            time.Duration // that stays before a window ends
	FaultTolerance    int           // registers that may be lost at once
}

// View is the mesh as it is when a plan is asked for. Load is the slots of a service that are at work, as measured; one that
// is not named is not known.
type View struct {
	Machines      []Machine
	Routes        []Route
	Contracts     []Contract
	InMaintenance []string // addresses of machines that other orders have out, or are about to
	Load          map[string]float64
	Parameters    Parameters
}

// TimeBounds is what time it may be: the clocks of the core agree on no more (agree.go).
type TimeBounds struct {
	Earliest time.Time `json:"Earliest"`
	Latest   time.Time `json:"Latest"`
}

// Reason is why a machine may not come out now.
type Reason struct {
	Contract string    `json:"contract,omitempty"` // "": it is none of a contract's
	Text     string    `json:"text"`
	Until    time.Time `json:"until,omitzero"` // when that ends, if it can be told
}

func (r Reason) String() string {
	s := r.Text
	if r.Contract != "" {
		s = "contract " + r.Contract + ": " + s
	}
	if !r.Until.IsZero() {
		s += ", until " + r.Until.UTC().Format("2006-01-02 15:04 MST")
	}
	return s
}

// Verdict is a plan's word on one machine.
type Verdict struct {
	Approved       bool          `json:"approved"`
	Reasons        []Reason      `json:"reasons,omitempty"` // why not
	Contracts      []string      `json:"contracts"`         // that cover it
	TransitionTime time.Duration `json:"takes"`             // out and back, at the most, maintenance itself not counted
	ReturnBy       time.Time     `json:"until,omitzero"`    // it must be back then
	NextWindows    []Interval    `json:"next,omitempty"`    // when the hours allow it, the present window among them
	Approvers      []string      `json:"approvers"`         // who may: named by every contract that covers it
}

// lookAhead is how far the next windows are looked for.
const lookAhead = 60 * 24 * time.Hour

// isCovered says that a contract's traffic runs over a machine. A register carries all: its contracts are all of them.
func (v View) isCovered(c Contract, m Machine) bool {
	x := c.Covers
	if m.ControlPlane || len(x.Services)+len(x.Zones)+len(x.Routes)+len(x.Namespaces) == 0 {
		return true
	}
	if slices.Contains(x.Services, m.Service) || slices.Contains(x.Zones, m.Zone) ||
		slices.ContainsFunc(m.Namespaces, func(n string) bool { return slices.Contains(x.Namespaces, n) }) {
		return true
	}
	return slices.ContainsFunc(v.Routes, func(r Route) bool {
		return slices.Contains(x.Routes, r.Name) && slices.Contains(r.Services, m.Service)
	})
}

// TransitionTime is how long a machine is on its way out and back at the most.
func (v View) TransitionTime(m Machine) time.Duration {
	longest := time.Duration(0)
	for _, r := range v.Routes {
		t := r.Timeout
		if r.Download {
			t += v.Parameters.DownloadAllowance
		}
		longest = max(longest, t)
	}
	if m.ControlPlane {
		return v.Parameters.DrainTimeout
	}
	return v.Parameters.DrainTimeout + longest + v.Parameters.WarmUp
}

// Plan says whether a machine may come out now, for a maintenance of that length, and why not. Approved is what every
// contract that covers it approves; whoever covers nothing approves nothing.
func (v View) Plan(addr string, length time.Duration, now TimeBounds) Verdict {
	return v.evaluate(addr, func(takes time.Duration) time.Duration { return takes + length }, now)
}

// Recheck says whether a machine that is out, or on its way, may go on being so for as long as it needs to come back.
func (v View) Recheck(addr string, now TimeBounds) Verdict {
	return v.evaluate(addr, func(time.Duration) time.Duration { return v.Parameters.WarmUp }, now)
}

func (v View) evaluate(addr string, needs func(takes time.Duration) time.Duration, now TimeBounds) (d Verdict) {
	i := slices.IndexFunc(v.Machines, func(m Machine) bool { return m.Addr == addr })
	if i < 0 {
		d.Reasons = append(d.Reasons, Reason{Text: addr + " is no machine that is known"})
		return d
	}
	m := v.Machines[i]
	no := func(contract string, until time.Time, format string, args ...any) {
		d.Reasons = append(d.Reasons, Reason{contract, fmt.Sprintf(format, args...), until})
	}
	d.TransitionTime = v.TransitionTime(m)
	need := needs(d.TransitionTime)
	whole := Interval{now.Earliest, now.Latest.Add(need + v.Parameters.Margin)}
	span := Interval{now.Earliest, now.Latest.Add(lookAhead)}
	approved, first := []Interval{span}, true
	for _, c := range v.Contracts {
		if !v.isCovered(c, m) {
			continue
		}
		d.Contracts = append(d.Contracts, c.Name)
		hours, barred := c.Windows(span)
		approved = intersectIntervals(approved, hours)
		if first {
			d.Approvers = slices.Clone(c.Approvers)
		} else {
			d.Approvers = slices.DeleteFunc(d.Approvers, func(a string) bool { return !slices.Contains(c.Approvers, a) })
		}
		first = false
		if k := slices.IndexFunc(barred, func(b Interval) bool { return b.From.Before(whole.To) && whole.From.Before(b.To) }); k >= 0 {
			no(c.Name, barred[k].To, "the day is barred (%s)", c.barredReason(barred[k]))
		} else if !slices.ContainsFunc(hours, func(h Interval) bool { return h.Contains(whole) }) {
			v.explainOutsideHours(c, hours, whole, need, no)
		}
		v.checkCapacity(c, m, no)
	}
	switch {
	case len(d.Contracts) == 0:
		no("", time.Time{}, "no contract covers it, so nobody has approved any hour")
	default:
		d.NextWindows = approved[:min(len(approved), 3)]
		if k := slices.IndexFunc(approved, func(h Interval) bool { return h.Contains(whole) }); k >= 0 {
			d.ReturnBy = approved[k].To
		} else if len(d.Reasons) == 0 {
			no("", time.Time{}, "the hours of %v have no window together that is long enough", d.Contracts)
		}
	}
	v.checkQuorum(m, no)
	if slices.Contains(v.InMaintenance, addr) {
		no("", time.Time{}, "another order has it already")
	}
	d.Approved = len(d.Reasons) == 0
	return d
}

// successor is the line that keeps what another kept of keys: the first of its service that is ready, of its own zone if there is
// one; "": there is none.
func (v View) successor(addr string) (best string) {
	i := slices.IndexFunc(v.Machines, func(m Machine) bool { return m.Addr == addr })
	if i < 0 {
		return ""
	}
	of, near := v.Machines[i], false
	for _, m := range v.Machines {
		if m.ControlPlane || m.Addr == addr || m.Service != of.Service || !m.Ready || slices.Contains(v.InMaintenance, m.Addr) {
			continue
		}
		if best == "" || m.Zone == of.Zone && !near {
			best, near = m.Addr, m.Zone == of.Zone
		}
	}
	return best
}

// barredReason is what a barred interval was barred for.
func (c Contract) barredReason(i Interval) string {
	for _, d := range c.Barred {
		one := c
		one.Barred = []BarredDays{d}
		if _, l := one.Windows(i); len(l) > 0 {
			return d.Why
		}
	}
	return "several"
}

// explainOutsideHours words why a drain does not lie within a contract's hours.
func (v View) explainOutsideHours(c Contract, hours []Interval, whole Interval, takes time.Duration, no func(string, time.Time, string, ...any)) {
	for _, h := range hours {
		if h.From.After(whole.From) {
			if open := whole.From; open.Before(h.From) && !h.From.After(whole.To) {
				no(c.Name, h.From, "the window has not opened for certain")
			} else {
				no(c.Name, h.From, "outside its hours")
			}
			return
		}
		if h.To.After(whole.From) {
			no(c.Name, time.Time{}, "its window ends at %s, and it would take %v and a margin of %v", h.To.UTC().Format("15:04 MST"), takes, v.Parameters.Margin)
			return
		}
	}
	no(c.Name, time.Time{}, "outside its hours, and none come in the next %d days", int(lookAhead.Hours()/24))
}

// checkCapacity sees to how many machines are out, and what capacity stays.
func (v View) checkCapacity(c Contract, m Machine, no func(string, time.Time, string, ...any)) {
	if m.ControlPlane {
		return
	}
	outService, outZone, slots, ready := 0, 0, 0, 0
	for _, x := range v.Machines {
		if x.ControlPlane {
			continue
		}
		out := slices.Contains(v.InMaintenance, x.Addr) || !x.Ready
		if x.Addr != m.Addr && out {
			if x.Service == m.Service {
				outService++
			}
			if x.Zone == m.Zone {
				outZone++
			}
		}
		if x.Service == m.Service {
			slots += x.Slots
			if !out && x.Addr != m.Addr {
				ready += x.Slots
			}
		}
	}
	if most := max(1, c.MostOut.Service); outService >= most {
		no(c.Name, time.Time{}, "%d machines of %s are out, and %d may be", outService, m.Service, most)
	}
	if most := max(1, c.MostOut.Zone); outZone >= most {
		no(c.Name, time.Time{}, "%d machines of zone %s are out, and %d may be", outZone, m.Zone, most)
	}
	if slots > 0 && float64(ready) < c.LeastReady*float64(slots) {
		no(c.Name, time.Time{}, "%d of %d slots of %s would stay, and %g of them must", ready, slots, m.Service, c.LeastReady)
	}
	if load, known := v.Load[m.Service]; known && load > float64(ready) {
		no(c.Name, time.Time{}, "%.0f slots of %s are at work, and %d would stay", load, m.Service, ready)
	}
	if m.Service != "" && m.Slots > 0 && ready == 0 {
		no(c.Name, time.Time{}, "no server of %s would stay", m.Service)
	}
}

// checkQuorum sees that the registers bear the loss of as many as they must without this one.
func (v View) checkQuorum(m Machine, no func(string, time.Time, string, ...any)) {
	if !m.ControlPlane {
		return
	}
	all, ready := 0, 0
	for _, x := range v.Machines {
		if x.ControlPlane {
			all++
			if x.Ready && x.Addr != m.Addr && !slices.Contains(v.InMaintenance, x.Addr) {
				ready++
			}
		}
	}
	if most := all/2 + 1; ready < most {
		no("", time.Time{}, "%d of %d registers would stay, and a majority is %d", ready, all, most)
	} else if ready-v.Parameters.FaultTolerance < most {
		no("", time.Time{}, "%d of %d registers would stay, a majority is %d, and so the loss of %d could not be borne: add registers first", ready, all, most, v.Parameters.FaultTolerance)
	}
}

// Sequence is machines in the order in which they may come out one after the other: services with the most room first, in a
// service by zone and address; registers last, the leader the very last of them (lead is its address).
func (v View) Sequence(addrs []string, lead string) []string {
	slots := map[string]int{}
	by := map[string]Machine{}
	for _, m := range v.Machines {
		by[m.Addr] = m
		if m.Ready {
			slots[m.Service] += m.Slots
		}
	}
	l := slices.Clone(addrs)
	sort.SliceStable(l, func(i, j int) bool {
		a, b := by[l[i]], by[l[j]]
		switch {
		case a.ControlPlane != b.ControlPlane:
			return b.ControlPlane
		case a.ControlPlane:
			return a.Addr != lead && (b.Addr == lead || a.Addr < b.Addr)
		case slots[a.Service] != slots[b.Service]:
			return slots[a.Service] > slots[b.Service]
		case a.Service != b.Service:
			return a.Service < b.Service
		case a.Zone != b.Zone:
			return a.Zone < b.Zone
		}
		return a.Addr < b.Addr
	})
	return l
}
