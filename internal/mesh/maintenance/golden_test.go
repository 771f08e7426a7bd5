package maintenance

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"cranegrade/internal/testkit/goldenrecord"
)

// Decisions on random contracts, plans, orders and clocks are the same as recorded in testdata/golden.json.
func TestGoldenDecisions(t *testing.T) {
	goldenrecord.Assert(t, 100, map[string]goldenrecord.Play{
		"contracts": goldenContracts, "plans": goldenPlans, "orders": goldenOrders, "clocks": goldenClocks,
	})
}

// drawSubset draws a subset of values, in their order.
func drawSubset(r *rand.Rand, values ...string) (out []string) {
	for _, v := range values {
		if r.IntN(2) == 0 {
			out = append(out, v)
		}
	}
	return out
}

// drawContract draws a contract. With mistakes it may be invalid.
func drawContract(r *rand.Rand, name string, mistakes bool) Contract {
	c := Contract{
		Name: name, ConfigVersion: 1, TimeZone: goldenrecord.Pick(r, "Australia/Hobart", "Europe/Paris", "UTC", "America/New_York"),
		Approvers:  append(drawSubset(r, "ana", "bo"), "cy"),
		LeastReady: goldenrecord.Pick(r, 0, 0, 0.25, 0.75), MostOut: OutLimits{r.IntN(3), r.IntN(4)},
	}
	switch r.IntN(5) {
	case 0:
		c.Covers.Services = drawSubset(r, "log", "else")
	case 1:
		c.Covers.Zones, c.Covers.Routes = drawSubset(r, "z0", "z1"), drawSubset(r, "weigh", "export")
	case 2:
		c.Covers.Namespaces = drawSubset(r, "crews", "pickers")
	}
	for range 1 + r.IntN(2) {
		edges := goldenrecord.Pick(r, [2]string{"00:00", "01:45"}, [2]string{"02:30", "03:30"}, [2]string{"09:00", "12:00"},
			[2]string{"20:00", "24:00"},
			[2]string{"21:30", "23:59"}, [2]string{"00:00", "24:00"})
		days := append(drawSubset(r, "Tue", "Wed", "Thu", "Fri"), goldenrecord.Pick(r, "Mon", "Sat", "Sun"))
		c.Weekly = append(c.Weekly, WeeklyWindow{days, edges[0], edges[1]})
	}
	if r.IntN(3) == 0 {
		from := goldenrecord.Pick(r, "2026-06-01 12:00", "2026-10-04 02:30", "2026-04-05 01:00")
		c.Dates = append(c.Dates, DateWindow{from, goldenrecord.Pick(r, "2026-06-02 04:00", "2026-10-04 05:00")})
	}
	if r.IntN(3) == 0 {
		first := goldenrecord.Pick(r, "2026-06-02", "2026-10-04")
		c.Barred = append(c.Barred, BarredDays{first, goldenrecord.Pick(r, "2026-06-02", "2026-10-05"), "harvest"})
	}
	if mistakes {
		addMistake(r, &c)
	}
	return c
}

// addMistake makes at most one change that makes a contract invalid.
func addMistake(r *rand.Rand, c *Contract) {
	switch r.IntN(14) {
	case 0:
		c.TimeZone = goldenrecord.Pick(r, "Mars", "Local", "")
	case 1:
		c.Approvers = nil
	case 2:
		c.Weekly = nil
	case 3:
		c.Weekly[0].From = goldenrecord.Pick(r, "24:00", "25:00", "soon")
	case 4:
		c.Weekly[0].To = goldenrecord.Pick(r, "24:30", "", c.Weekly[0].From)
	case 5:
		c.Weekly[0].Days = []string{"Monday"}
	case 6:
		c.Dates = []DateWindow{{"2026-06-01 12:00", "2026-06-02 04:00"}, {"2026-06-02 03:00", "2026-06-02 05:00"}}
	case 7:
		c.Dates = []DateWindow{{"tomorrow", "2026-06-02 04:00"}}
	case 8:
		c.Barred = []BarredDays{{"2026-06-02", goldenrecord.Pick(r, "2026-06-01", "never"), "harvest"}}
	case 9:
		c.LeastReady = 1.5
	case 10:
		c.MostOut.Service = -1
	}
}

// goldenContracts records whether contracts are valid, and the windows of valid ones.
func goldenContracts(r *rand.Rand, g *goldenrecord.Record) {
	for n := range 12 {
		c := drawContract(r, fmt.Sprint("c", n), true)
		if f := c.Validate(); f != nil {
			field, text := f.Field, f.Text
			if strings.Contains(text, "when the clocks change") { // the record doesn't depend on which end of the window is reported
				field, text = field[:strings.LastIndexByte(field, '.')], "when the clocks change"
			}
			g.Count("invalid")
			g.Decide(field)
			g.Say(text)
			continue
		}
		g.Count("valid")
		from := drawTime(r)
		approved, barred := c.Windows(Interval{from, from.Add(time.Duration(r.IntN(72)) * time.Hour)})
		g.Decide(goldenrecord.JSON(approved), goldenrecord.JSON(barred))
	}
}

// drawTime draws a time near a clock change or in an ordinary week.
func drawTime(r *rand.Rand) time.Time {
	day := goldenrecord.Pick(r, "2026-03-28", "2026-04-03", "2026-06-01", "2026-10-02", "2026-10-24")
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
			Service: goldenrecord.Pick(r, "log", "log", "else"), Namespaces: drawSubset(r, "crews", "pickers"), Slots: 6 * r.IntN(3), Ready: r.IntN(8) > 0,
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

// goldenPlans records the verdicts of plans, successors and sequences.
func goldenPlans(r *rand.Rand, g *goldenrecord.Record) {
	for range 10 {
		v := drawView(r)
		early := drawTime(r)
		now := TimeBounds{early, early.Add(time.Duration(r.IntN(3000)) * time.Second)}
		addr := goldenrecord.Pick(r, "l0", "l1", "r0", "l9")
		recordVerdict(g, "plan", v.Plan(addr, time.Duration(r.IntN(3600))*time.Second, now))
		recordVerdict(g, "still", v.Recheck(addr, now))
		g.Decide(v.successor(addr), v.Sequence([]string{"r1", "l2", "r0", "l0", "l1", "r2"}, goldenrecord.Pick(r, "r0", "r1")))
	}
}

// recordVerdict records a verdict, with the texts of its reasons apart from the decisions.
func recordVerdict(g *goldenrecord.Record, label string, verdict Verdict) {
	if verdict.Approved {
		g.Count(label + " approved")
	} else {
		g.Count(label + " not approved")
	}
	var reasons []Reason
	for _, reason := range verdict.Reasons {
		g.Say(reason.String())
		reason.Text = ""
		reasons = append(reasons, reason)
	}
	verdict.Reasons = reasons
	g.Decide(goldenrecord.JSON(verdict))
}

// goldenOrders records orders that are placed and then changed by decisions and by operators. Changes arrive late, twice or never.
func goldenOrders(r *rand.Rand, g *goldenrecord.Record) {
	var table OrderTable
	var inFlight []OrderChange
	v := drawView(r)
	v.InMaintenance = nil
	early := drawTime(r)
	for range 150 {
		now := TimeBounds{early, early.Add(200 * time.Millisecond)}
		switch r.IntN(12) {
		case 0:
			var err error
			table, err = table.Place(drawOrder(r), now)
			recordOutcome(g, "place", err)
		case 1:
			inFlight = append(inFlight, OrderChange{
				OrderID: fmt.Sprint("o", r.IntN(4)), ExpectedRevision: uint64(r.IntN(2) * r.IntN(6)), Abort: r.IntN(8) == 0,
				MaintenanceDone: r.IntN(3) == 0,
				ApprovedBy:      goldenrecord.Pick(r, "", "", "ana", "cy"), Text: "a word",
			})
		case 2:
			early = early.Add(time.Duration(r.IntN(400)) * time.Second)
		case 3:
			if r.IntN(8) == 0 {
				v = drawView(r)
			}
		case 4, 5, 6:
			for _, o := range table.Open() {
				c, ok, waitsFor := o.Next(v, drawObservation(r), now)
				g.Say(waitsFor)
				recordChange(g, c, ok)
				if ok {
					inFlight = append(inFlight, c)
				}
			}
		default:
			if len(inFlight) == 0 {
				continue
			}
			n := r.IntN(len(inFlight))
			c := inFlight[n]
			if r.IntN(4) > 0 { // otherwise it is delivered again later
				inFlight = append(inFlight[:n], inFlight[n+1:]...)
			}
			var err error
			table, err = table.Apply(c, now)
			recordOutcome(g, "apply", err)
		}
		recordOrders(g, table)
	}
}

func drawOrder(r *rand.Rand) Order {
	o := Order{
		ID: goldenrecord.Pick(r, "o0", "o1", "o2", "o3", ""), PlacedBy: goldenrecord.Pick(r, "ana", "bo", "cy", ""),
		Duration: time.Duration(r.IntN(600)) * time.Second,
		Override: r.IntN(6) == 0, NeedsApproval: r.IntN(4) == 0, Reason: goldenrecord.Pick(r, "", "smoke"),
		Machines: drawSubset(r, "l0", "l1", "l2", "r0"),
	}
	if r.IntN(3) == 0 {
		for _, m := range o.Machines {
			o.MachineNames = append(o.MachineNames, "name of "+m)
		}
	}
	return o
}

// drawObservation draws an observation, mostly of a machine that follows each step.
func drawObservation(r *rand.Rand) Observation {
	likely := func() bool { return r.IntN(16) > 0 }
	few := func() int { return max(0, r.IntN(16)-13) }
	return Observation{
		Reachable: likely(), Cordoned: likely(), ServerRequests: few(), CallerRequests: few(),
		CallersMoved: likely(), KeysHandedOver: likely(), Senders: few(), Ready: likely(), Warm: likely(),
		ControlPlane: r.IntN(4) == 0, FollowingSidecars: few(), IsLeader: r.IntN(4) == 0,
		SendersText: "l7 does not answer", WorkText: "in flight none",
	}
}

// recordOutcome records the kind of an error, and its text apart.
func recordOutcome(g *goldenrecord.Record, label string, err error) {
	kind := "other"
	switch {
	case err == nil:
		kind = "taken"
	case errors.Is(err, ErrInvalidOrder):
		kind = "invalid"
	case errors.Is(err, ErrStaleChange):
		kind = "stale"
	}
	g.Count(label + " " + kind)
	g.Decide(label, kind)
	if err != nil {
		g.Say(err.Error())
	}
}

// recordChange records a decision, with its text apart.
func recordChange(g *goldenrecord.Record, c OrderChange, ok bool) {
	if ok {
		g.Count("next " + string(c.Step))
	} else {
		g.Count("next waits")
	}
	g.Say(c.Text)
	c.Text = ""
	g.Decide(ok, goldenrecord.JSON(c))
}

// recordOrders records all orders, with the texts of their events apart.
func recordOrders(g *goldenrecord.Record, table OrderTable) {
	for _, o := range table.Orders {
		var events []Event
		for _, e := range o.Events {
			g.Say(e.Text)
			e.Text = ""
			events = append(events, e)
		}
		o.Events = events
		g.Decide(goldenrecord.JSON(o), o.CurrentMachine(), o.CurrentMachineName(), o.Step.IsFinished(), o.Step.IsCordoned())
	}
}

// goldenClocks records the agreed time of clocks that are correct, wrong or do not answer, with changes of the leader.
func goldenClocks(r *rand.Rand, g *goldenrecord.Record) {
	truth := drawTime(r)
	members := goldenrecord.Pick(r, 3, 5)
	offsets := make([]time.Duration, members)
	var c Clock
	var at, logTime time.Duration
	for range 40 {
		step := time.Duration(r.IntN(10_000)) * time.Millisecond
		at, truth = at+step, truth.Add(step)
		leaderless := goldenrecord.Pick(r, 0, 0, 0, 3*time.Second, LeaderlessUnknown)
		if leaderless != LeaderlessUnknown {
			logTime += max(0, step-leaderless)
		}
		if r.IntN(4) == 0 {
			offsets[r.IntN(members)] = goldenrecord.Pick(r, 0, 100*time.Millisecond, -time.Second, 40*time.Minute, -40*time.Minute)
		}
		next, err := c.Agree(logTime, drawSamples(r, truth, at, offsets), at, members, leaderless)
		g.Decide(goldenrecord.JSON(next), errors.Is(err, ErrNoAgreedTime), goldenrecord.JSON(next.Now(logTime+time.Second)), next.IsKnown())
		switch {
		case err != nil:
			g.Count("not agreed")
		case next.InDoubt:
			g.Count("in doubt")
		default:
			g.Count("agreed")
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
		member := uint64(n / (1 + r.IntN(12)/11)) // sometimes two samples name the same member
		samples = append(samples, ClockSample{Member: member, Wall: truth.Add(off - ago), ReadAt: at - ago, RoundTrip: trip})
	}
	return samples
}
