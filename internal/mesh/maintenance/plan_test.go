package maintenance

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
	_ "time/tzdata"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cranegrade/internal/testkit"
)

func instant(text string) time.Time {
	t, err := time.Parse("2006-01-02 15:04:05 -0700", text)
	if err != nil {
		panic(err)
	}
	return t
}

func exactTime(text string) TimeBounds { t := instant(text); return TimeBounds{t, t} }

// weekdays from 22:00 to midnight and on to 02:00, Hobart's clock.
func hobartContract() Contract {
	week := []string{"Mon", "Tue", "Wed", "Thu", "Fri", "Sat", "Sun"}
	return Contract{Name: "cellar", ConfigVersion: 1, TimeZone: "Australia/Hobart", Approvers: []string{"ana", "bo"},
		Weekly: []WeeklyWindow{{week, "22:00", "24:00"}, {week, "00:00", "01:30"}},
		Barred: []BarredDays{{"2026-03-01", "2026-04-15", "vintage"}}}
}

// Each mistake is told with its field.
func TestContractValidateNamesTheField(t *testing.T) {
	assert.Assert(t, hobartContract().Validate() == nil, "%v", hobartContract().Validate())
	for want, change := range map[string]func(c *Contract){
		"Name is ":                                     func(c *Contract) { c.Name = "" },
		"TimeZone is \"Mars\"":                         func(c *Contract) { c.TimeZone = "Mars" },
		"TimeZone is \"Local\"":                        func(c *Contract) { c.TimeZone = "Local" },
		"Approvers is []":                              func(c *Contract) { c.Approvers = nil },
		"LeastReady is 1.5":                            func(c *Contract) { c.LeastReady = 1.5 },
		"Weekly[0].Days[0] is Monday":                  func(c *Contract) { c.Weekly[0].Days = []string{"Monday"} },
		"Weekly[0].From is \"25:00\"":                  func(c *Contract) { c.Weekly[0].From = "25:00" },
		"Weekly[0].To is \"24:30\"":                    func(c *Contract) { c.Weekly[0].To = "24:30" },
		"Weekly[0].To is the same":                     func(c *Contract) { c.Weekly[0].To = "22:00" },
		"Weekly[0].To is before":                       func(c *Contract) { c.Weekly[0].To = "02:00" },
		"Weekly[1] overlaps Weekly[0]":                 func(c *Contract) { c.Weekly[1].From, c.Weekly[1].To = "21:00", "22:01" },
		"Weekly is empty":                              func(c *Contract) { c.Weekly = nil },
		"Weekly[1].To 02:30 comes twice on 2026-04-05": func(c *Contract) { c.Weekly[1].To = "02:30" },
		"Dates[0].From is \"tomorrow\"":                func(c *Contract) { c.Dates = []DateWindow{{"tomorrow", "2026-07-01 02:00"}} },
		"Dates[0].To is not after":                     func(c *Contract) { c.Dates = []DateWindow{{"2026-07-01 02:00", "2026-07-01 02:00"}} },
		"Dates[1] overlaps Dates[0]": func(c *Contract) {
			c.Dates = []DateWindow{{"2026-07-01 02:00", "2026-07-01 04:00"}, {"2026-07-01 03:00", "2026-07-01 05:00"}}
		},
		"Dates[0].From 2026-10-04 02:30 does not exist": func(c *Contract) { c.Dates = []DateWindow{{"2026-10-04 02:30", "2026-10-04 05:00"}} },
		"Dates[0].To 2027-04-04 02:30 comes twice":      func(c *Contract) { c.Dates = []DateWindow{{"2027-04-04 01:00", "2027-04-04 02:30"}} },
		"Barred[0].To is before":                        func(c *Contract) { c.Barred[0].To = "2026-02-01" },
		"Barred[0].Why is ":                             func(c *Contract) { c.Barred[0].Why = "" },
	} {
		c := hobartContract()
		change(&c)
		f := c.Validate()
		assert.Assert(t, f != nil, want)
		text := f.Field + " " + f.Text
		assert.Assert(t, strings.HasPrefix(text, want), "%s: %s", want, text)
	}
}

// Hours by the contract's own clock: over midnight, on barred days, on both days on which the clocks change.
func TestContractWindows(t *testing.T) {
	c := hobartContract()
	for _, x := range []struct {
		from, to string
		want     string
	}{
		{"2026-06-01 11:00:00 +0000", "2026-06-01 18:00:00 +0000", "06-01 12:00-06-01 15:30 "},
		{"2026-03-01 00:00:00 +0000", "2026-04-14 00:00:00 +0000", ""},
		{"2026-10-03 00:00:00 +0000", "2026-10-05 00:00:00 +0000", "10-03 12:00-10-03 15:30 10-04 11:00-10-04 14:30 "}, // the clock goes from 02:00 to 03:00
		{"2027-04-03 00:00:00 +0000", "2027-04-05 00:00:00 +0000", "04-03 11:00-04-03 14:30 04-04 12:00-04-04 15:30 "}, // and back from 03:00 to 02:00
	} {
		l, _ := c.Windows(Interval{instant(x.from), instant(x.to)})
		var got string
		for _, i := range l {
			got += i.From.UTC().Format("01-02 15:04") + "-" + i.To.UTC().Format("01-02 15:04") + " "
		}
		assert.Equal(t, got, x.want)
	}
}

func testView() View {
	v := View{Parameters: Parameters{DrainTimeout: 2 * time.Second, DownloadAllowance: 10 * time.Second, WarmUp: 3 * time.Second, Margin: 30 * time.Second, FaultTolerance: 1}}
	for i := range 4 {
		v.Machines = append(v.Machines, Machine{Addr: fmt.Sprint("l", i), Zone: fmt.Sprint("z", i%2), Service: "log", Slots: 6, Ready: true})
	}
	for i := range 5 {
		v.Machines = append(v.Machines, Machine{Addr: fmt.Sprint("r", i), Zone: fmt.Sprint("z", i%2), Ready: true, ControlPlane: true})
	}
	v.Routes = []Route{{Name: "weigh", Services: []string{"log"}, Timeout: time.Second}, {Name: "export", Services: []string{"other"}, Timeout: 5 * time.Second, Download: true}}
	v.Contracts = []Contract{hobartContract()}
	return v
}

// Why a machine may not come out now, in words that name the contract and the hour.
func TestPlanTellsWhyNot(t *testing.T) {
	night := exactTime("2026-06-01 23:00:00 +1000")
	for _, x := range []struct {
		want   string
		addr   string
		now    TimeBounds
		length time.Duration
		change func(v *View)
	}{
		{"", "l0", night, time.Minute, nil},
		{"", "r0", night, time.Minute, nil},
		{"contract cellar: outside its hours, until 2026-06-01 12:00 UTC", "l0", exactTime("2026-06-01 20:00:00 +1000"), time.Minute, nil},
		{"contract cellar: its window ends at 15:30 UTC", "l0", exactTime("2026-06-02 01:29:00 +1000"), time.Minute, nil},
		{"contract cellar: its window ends at 15:30 UTC", "l0", night, 3 * time.Hour, nil},
		{"contract cellar: the day is barred (vintage), until 2026-04-15 14:00 UTC", "l0", exactTime("2026-04-01 23:00:00 +1000"), time.Minute, nil},
		{"contract cellar: the window has not opened for certain, until 2026-06-01 12:00 UTC", "l0", TimeBounds{instant("2026-06-01 21:59:59 +1000"), instant("2026-06-01 22:00:01 +1000")}, time.Minute, nil},
		{"contract cellar: 1 machines of log are out, and 1 may be", "l0", night, 0, func(v *View) { v.InMaintenance = []string{"l1"} }},
		{"contract cellar: 1 machines of zone z0 are out, and 1 may be", "l0", night, 0, func(v *View) { v.Machines[2].Service, v.InMaintenance = "else", []string{"l2"} }},
		{"contract cellar: 12 of 24 slots of log would stay, and 0.75 of them must", "l0", night, 0, func(v *View) {
			v.Machines[1].Ready, v.Contracts[0].MostOut, v.Contracts[0].LeastReady = false, OutLimits{5, 5}, 0.75
		}},
		{"contract cellar: 19 slots of log are at work, and 18 would stay", "l0", night, 0, func(v *View) { v.Load = map[string]float64{"log": 19} }},
		{"no contract covers it, so nobody has approved any hour", "l0", night, 0, func(v *View) { v.Contracts = nil }},
		{"no contract covers it", "l0", night, 0, func(v *View) { v.Contracts[0].Covers = Scope{Namespaces: []string{"crews"}} }},
		{"contract cellar: outside its hours", "l0", exactTime("2026-06-01 20:00:00 +1000"), 0, func(v *View) {
			v.Contracts[0].Covers, v.Machines[0].Namespaces = Scope{Namespaces: []string{"crews"}}, []string{"pickers", "crews"}
		}},
		{"contract other: outside its hours", "l0", night, 0, func(v *View) {
			other := hobartContract()
			other.Name, other.TimeZone, other.Covers = "other", "Europe/Paris", Scope{Routes: []string{"weigh"}}
			v.Contracts = append(v.Contracts, other)
		}},
		{"", "l0", night, 0, func(v *View) { // that one is not about it
			other := hobartContract()
			other.Name, other.TimeZone, other.Covers = "other", "Europe/Paris", Scope{Routes: []string{"export"}}
			v.Contracts = append(v.Contracts, other)
		}},
		{"3 of 5 registers would stay, a majority is 3", "r0", night, 0, func(v *View) { v.InMaintenance = []string{"r1"} }},
		{"another order has it already", "l0", night, 0, func(v *View) { v.InMaintenance = []string{"l0"} }},
		{"l9 is no machine that is known", "l9", night, 0, nil},
	} {
		v := testView()
		if x.change != nil {
			x.change(&v)
		}
		d := v.Plan(x.addr, x.length, x.now)
		var got []string
		for _, r := range d.Reasons {
			got = append(got, r.String())
		}
		assert.Equal(t, d.Approved, x.want == "", "%v", got)
		assert.Assert(t, x.want == "" || strings.Contains(strings.Join(got, "; "), x.want), "wanted %s: %v", x.want, got)
	}
	v := testView()
	assert.DeepEqual(t, v.Sequence([]string{"r1", "l2", "r0", "l1"}, "r0"), []string{"l2", "l1", "r1", "r0"})
	assert.Equal(t, v.Plan("l0", 0, night).TransitionTime, 2*time.Second+15*time.Second+3*time.Second)
}

// What is approved lies within every contract that covers the machine, at whatever time of those that it may be, with the
// time to come back and the margin; never on a barred day; never with more out than any contract allows. 100 seeds and more.
func TestPlanApprovesOnlyWithinEveryContract(t *testing.T) {
	zones := []string{"Australia/Hobart", "Asia/Tehran", "Europe/Paris", "UTC"}
	rapid.Check(t, func(t *rapid.T) {
		v := testView()
		v.Contracts = nil
		for n := range rapid.IntRange(1, 3).Draw(t, "contracts") {
			c := Contract{Name: fmt.Sprint("c", n), TimeZone: rapid.SampledFrom(zones).Draw(t, "zone"), Approvers: []string{"a"},
				MostOut: OutLimits{rapid.IntRange(0, 2).Draw(t, "service"), rapid.IntRange(0, 2).Draw(t, "zone")}}
			if rapid.Bool().Draw(t, "covers") {
				c.Covers.Services = []string{rapid.SampledFrom([]string{"log", "other"}).Draw(t, "covered")}
			}
			from := rapid.IntRange(0, 22).Draw(t, "from")
			c.Weekly = []WeeklyWindow{{[]string{"Mon", "Wed", "Sun"}, fmt.Sprintf("%02d:30", from), fmt.Sprintf("%02d:45", rapid.IntRange(from, 23).Draw(t, "to"))}}
			if rapid.Bool().Draw(t, "bars") {
				c.Barred = []BarredDays{{"2026-10-04", "2026-10-05", "x"}}
			}
			v.Contracts = append(v.Contracts, c)
		}
		for _, m := range v.Machines {
			if rapid.IntRange(0, 4).Draw(t, "out") == 0 {
				v.InMaintenance = append(v.InMaintenance, m.Addr)
			}
		}
		early := instant("2026-10-03 00:00:00 +0000").Add(time.Duration(rapid.IntRange(0, 7*24*60).Draw(t, "minute")) * time.Minute)
		now := TimeBounds{early, early.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "error")) * time.Second)}
		length := time.Duration(rapid.IntRange(0, 3600).Draw(t, "length")) * time.Second
		d := v.Plan("l0", length, now)
		if !d.Approved {
			if len(d.Reasons) == 0 {
				t.Fatal("refused without a reason")
			}
			return
		}
		covered := 0
		for _, c := range v.Contracts {
			if len(c.Covers.Services) > 0 && c.Covers.Services[0] != "log" {
				continue
			}
			covered++
			zone, _ := time.LoadLocation(c.TimeZone)
			for x := now.Earliest; !x.After(now.Latest.Add(d.TransitionTime + length + v.Parameters.Margin)); x = x.Add(30 * time.Second) {
				local := x.In(zone)
				m, w := local.Hour()*60+local.Minute(), c.Weekly[0]
				from, _ := parseTimeOfDay(w.From)
				to, _ := parseTimeOfDay(w.To)
				if !strings.Contains("Mon Wed Sun", local.Format("Mon")) || m < from || m > to || m == to && local.Second() > 0 {
					t.Fatalf("approved at %v, %v by %s", x, local, c.Name)
				}
				if day := local.Format(dayLayout); len(c.Barred) > 0 && day >= "2026-10-04" && day <= "2026-10-05" {
					t.Fatalf("approved on a barred day, %v", local)
				}
			}
			service := 0
			for _, o := range v.InMaintenance {
				if strings.HasPrefix(o, "l") {
					service++
				}
			}
			if service >= max(1, c.MostOut.Service) {
				t.Fatalf("%d are out and %d may be", service, c.MostOut.Service)
			}
		}
		if covered == 0 {
			t.Fatal("approved by nobody")
		}
	})
}

// The agreed time: one clock 40 minutes ahead changes nothing; two of three widen it, so that nothing opens early and nothing
// is used that has ended; clocks that come back are believed again; without a leader for a while it is as late as they say.
func TestAgreeOnTheTime(t *testing.T) {
	truth := instant("2026-06-01 12:00:00 +0000")
	wall := func(at time.Duration, off ...time.Duration) (l []ClockSample) {
		for i, o := range off {
			l = append(l, ClockSample{Member: uint64(i), Wall: truth.Add(at + o), ReadAt: at, RoundTrip: 10 * time.Millisecond})
		}
		return l
	}
	holds := func(c Clock, at time.Duration, within time.Duration) {
		t.Helper()
		n := c.Now(at)
		x := truth.Add(at)
		assert.Assert(t, !n.Earliest.After(x) && !n.Latest.Before(x), "%v is not in %v", x, n)
		assert.Assert(t, n.Latest.Sub(n.Earliest) <= within, "%v", n.Latest.Sub(n.Earliest))
	}
	const s, ahead = time.Second, 40 * time.Minute
	_, err := Clock{}.Agree(0, wall(0, 0, ahead, -ahead), 0, 3, 0)
	assert.Assert(t, errors.Is(err, ErrNoAgreedTime))
	c, err := Clock{}.Agree(0, wall(0, 100*time.Millisecond, -100*time.Millisecond, ahead), 0, 3, 0)
	assert.NilError(t, err)
	holds(c, 0, 2*MaxClockError)
	c, err = c.Agree(10*s, wall(10*s, 0, 50*time.Millisecond, ahead), 10*s, 3, 0)
	assert.NilError(t, err)
	holds(c, 10*s, 2*MaxClockError+20*time.Millisecond)
	assert.Assert(t, !c.InDoubt)
	two, err := c.Agree(20*s, wall(20*s, 0, ahead, ahead), 20*s, 3, 0)
	assert.NilError(t, err)
	holds(two, 20*s, ahead+2*MaxClockError+time.Second)
	assert.Assert(t, two.InDoubt && two.Now(20*s).Latest.After(truth.Add(ahead)))
	// However often they say so, and whoever leads meanwhile: it stays in doubt, and holds both.
	for n := range 20 {
		at := 20*s + time.Duration(n)*5*s
		two, err = two.Agree(at, wall(at, 0, ahead, ahead), at, 3, time.Duration(n%2)*s)
		assert.NilError(t, err)
		holds(two, at, ahead+2*MaxClockError+30*time.Second)
		assert.Assert(t, two.InDoubt && two.Now(at).Latest.After(truth.Add(at+ahead-s)), "%v", two)
		silent, err := two.Agree(at, nil, at, 3, 0)
		assert.Assert(t, err == nil && silent.InDoubt)
	}
	again, err := two.Agree(130*s, wall(130*s, 0, 0, 0), 130*s, 3, 0)
	assert.NilError(t, err)
	holds(again, 130*s, 2*MaxClockError+20*time.Millisecond)
	assert.Assert(t, !again.InDoubt)
	// No clock answers: it goes on by the steady clock, and gets wider by its drift.
	none, err := c.Agree(1000*s, nil, 1000*s, 3, 0)
	assert.NilError(t, err)
	holds(none, 1000*s, time.Second)
	// Nobody led for three seconds, as one knows who lived through them: two clocks that are ahead are in doubt all the same.
	truth = truth.Add(3 * s)
	lived, err := c.Agree(11*s, wall(11*s, 0, ahead, ahead), 11*s, 3, 3*s)
	assert.NilError(t, err)
	holds(lived, 11*s, ahead+4*s)
	assert.Assert(t, lived.InDoubt)
	lived, err = c.Agree(11*s, wall(11*s, 0, 0, ahead), 11*s, 3, 3*s)
	assert.NilError(t, err)
	holds(lived, 11*s, 2*MaxClockError+20*time.Millisecond)
	truth = truth.Add(-3 * s)
	// Nobody led for an hour, and nobody knows: log time stood still.
	truth = truth.Add(time.Hour)
	_, err = c.Agree(11*s, nil, 11*s, 3, LeaderlessUnknown)
	assert.Assert(t, errors.Is(err, ErrNoAgreedTime))
	gap, err := c.Agree(11*s, wall(11*s, 0, 0, ahead), 11*s, 3, LeaderlessUnknown)
	assert.NilError(t, err)
	holds(gap, 11*s, 2*MaxClockError+20*time.Millisecond)
}

// All orders of what befalls an order: two registers that each take themselves for the leader decide and propose, their
// changes come late, twice or never; an operator aborts or says that the maintenance is done; the machine stops answering and
// comes back; the window comes to its end. Steps follow one another as they must, none is made twice, what is held past the
// window's end is let in again by the next decision, and every order that is given time comes to an end.
func TestOrderEveryInterleaving(t *testing.T) {
	type world struct {
		b       OrderTable
		net     []OrderChange
		seen    [2]Observation // as either of them sees it
		clock   int            // 0: early in the window, 1: near its end, 2: past it
		left    int            // words of operators, and losses
		history string
	}
	clocks := []TimeBounds{exactTime("2026-06-01 22:10:00 +1000"), exactTime("2026-06-02 01:29:45 +1000"), exactTime("2026-06-02 02:00:00 +1000")}
	sights := []Observation{{Reachable: true, Ready: true, Warm: true, ServerRequests: 1}, {Reachable: true, Cordoned: true, CallersMoved: true, KeysHandedOver: true}, {}}
	v := testView()
	b, err := OrderTable{}.Place(Order{ID: "o", Machines: []string{"l0", "l1"}, PlacedBy: "ana", Duration: time.Minute}, clocks[0])
	assert.NilError(t, err)
	_, err = b.Place(Order{ID: "o", Machines: []string{"l2"}, PlacedBy: "ana"}, clocks[0])
	assert.Assert(t, errors.Is(err, ErrInvalidOrder))
	same, err := b.Place(Order{ID: "o", Machines: []string{"l0", "l1"}, PlacedBy: "ana"}, clocks[0])
	assert.Assert(t, err == nil && len(same.Orders) == 1)
	key := func(w world) string {
		o := w.b.Orders[0]
		s := fmt.Sprint(o.Step, o.Position, o.Aborting, o.MaintenanceDone, w.clock, w.left, w.seen, o.MaintenanceSince.Earliest.Unix())
		for _, c := range w.net {
			s += fmt.Sprint(c.Step, c.ExpectedRevision == o.Revision, c.Abort, c.MaintenanceDone)
		}
		return s
	}
	list := []world{{b: b, seen: [2]Observation{sights[0], sights[0]}, left: 2}}
	seen := map[string]bool{key(list[0]): true}
	var ended, steps1 int
	for len(list) > 0 {
		w := list[0]
		list = list[1:]
		add := func(x world, note string) {
			x.history += " " + note
			if k := key(x); !seen[k] && (!testkit.Race || len(seen) < 3_000) {
				seen[k] = true
				list = append(list, x)
			}
		}
		o := w.b.Orders[0]
		if o.Step.IsFinished() {
			ended++
		}
		apply := func(x world, c OrderChange, note string) {
			next, err := x.b.Apply(c, clocks[x.clock])
			if err == nil {
				steps1++
				was, is := x.b.Orders[0], next.Orders[0]
				if c.ExpectedRevision != 0 && c.ExpectedRevision != was.Revision {
					t.Fatalf("%s: a change after %d was made at %d", x.history, c.ExpectedRevision, was.Revision)
				}
				if is.Step == StepInMaintenance && was.Step != StepMovingCallers && was.Step != StepInMaintenance || is.Step == StepMovingCallers && was.Step != StepDraining && was.Step != StepMovingCallers {
					t.Fatalf("%s: %s after %s", x.history, is.Step, was.Step)
				}
				if is.Revision != was.Revision+1 || len(is.Events) != len(was.Events)+1 {
					t.Fatalf("%s: %d after %d", x.history, is.Revision, was.Revision)
				}
				x.b = next
			}
			add(x, note)
		}
		for r := range 2 { // either decides
			c, ok, waits := o.Next(v, w.seen[r], clocks[w.clock])
			if !ok && waits == "" && !o.Step.IsFinished() {
				t.Fatalf("%s: it waits for nothing", w.history)
			}
			if o.Step.IsCordoned() && w.clock > 0 && (!ok || c.Step != StepReturning) {
				t.Fatalf("%s: held past the window's end", w.history)
			}
			if ok && len(w.net) < 2 {
				x := w
				x.net = append(append([]OrderChange(nil), w.net...), c)
				add(x, fmt.Sprint("decide", r, c.Step))
			}
			for _, s := range sights {
				if s != w.seen[r] && w.left > 0 {
					x := w
					x.seen[r] = s
					if r == 1 {
						x.left--
					}
					add(x, "see")
				}
			}
		}
		for n, c := range w.net {
			x := w
			x.net = append(append([]OrderChange(nil), w.net[:n]...), w.net[n+1:]...)
			apply(x, c, "take "+string(c.Step))
			if w.left > 0 {
				again := w
				again.left--
				apply(again, c, "take once more "+string(c.Step))
				x.left--
				add(x, "lose")
			}
		}
		if w.left > 0 {
			x := w
			x.left--
			apply(x, OrderChange{OrderID: "o", Abort: true, Text: "aborted by bo"}, "abort")
			apply(x, OrderChange{OrderID: "o", MaintenanceDone: true, Text: "done, says bo"}, "back")
		}
		if w.clock < 2 {
			x := w
			x.clock++
			add(x, "later")
		}
	}
	if ended == 0 || steps1 == 0 {
		t.Fatal("nothing came to an end")
	}
	t.Logf("%d states", len(seen))
	// Given time and a machine that does as it is told, it ends.
	b, _ = OrderTable{}.Place(Order{ID: "o", Machines: []string{"l0", "l1"}, PlacedBy: "ana", Duration: time.Minute}, clocks[0])
	now := clocks[0]
	var went []string
	for n := 0; !b.Orders[0].Step.IsFinished(); n++ {
		o := b.Orders[0]
		s := sights[0]
		s.ServerRequests = 0
		if o.Step.IsCordoned() {
			s = sights[1]
		}
		if c, ok, _ := o.Next(v, s, now); ok {
			b, err = b.Apply(c, now)
			assert.NilError(t, err)
			went = append(went, string(b.Orders[0].Step))
		}
		now = TimeBounds{now.Earliest.Add(10 * time.Second), now.Latest.Add(10 * time.Second)}
		assert.Assert(t, n < 100)
	}
	assert.Equal(t, strings.Join(went, " "), "draining leading out returning waiting draining leading out returning done")
}

// What has an order wait, turn back, or go on against the contracts.
func TestOrderNextDecides(t *testing.T) {
	night := exactTime("2026-06-01 23:00:00 +1000")
	day := exactTime("2026-06-01 12:00:00 +1000")
	held := Observation{Reachable: true, Cordoned: true, CallersMoved: true}
	assert.Equal(t, testView().successor("l0"), "l2") // of its zone
	with := func(s Observation, f func(*Observation)) Observation { f(&s); return s }
	for _, x := range []struct {
		step Step
		s    Observation
		now  TimeBounds
		f    func(o *Order, v *View)
		want string
	}{
		{StepWaiting, held, day, nil, "outside its hours"},
		{StepWaiting, held, day, func(o *Order, v *View) { o.Override, o.Reason = true, "smoke" }, "-> draining: OVERRIDDEN (smoke)"},
		{StepWaiting, held, night, nil, "-> draining: approved by contracts [cellar] until 2026-06-01 15:30 UTC"},
		{StepDraining, with(held, func(s *Observation) { s.Cordoned = false }), night, nil, "it has not said that it takes nothing new"},
		{StepDraining, with(held, func(s *Observation) { s.Senders, s.SendersText = 2, "a, b" }), night, nil, "2 lines have not confirmed that they send nothing: a, b"},
		{StepDraining, with(held, func(s *Observation) { s.ServerRequests = 3 }), night, nil, "3 requests run there"},
		{StepDraining, Observation{}, night, nil, "it does not answer"},
		{StepDraining, held, night, nil, "-> leading"},
		{StepDraining, held, night, func(o *Order, v *View) { v.Contracts = nil }, "-> returning: turned back: no contract covers it"},
		{StepDraining, held, night, func(o *Order, v *View) {
			v.Contracts[0].Barred[0].From, v.Contracts[0].Barred[0].To = "2026-06-01", "2026-06-02"
		}, "-> returning: turned back: contract cellar: the day is barred"},
		{StepInMaintenance, held, night, func(o *Order, v *View) { v.Machines[1].Ready = false }, "-> returning: turned back: contract cellar: 1 machines of log are out"},
		{StepInMaintenance, held, exactTime("2026-06-02 01:29:40 +1000"), nil, "-> returning: turned back: its window ends at 15:30:00 UTC"},
		{StepMovingCallers, with(held, func(s *Observation) { s.CallerRequests = 1 }), night, nil, "1 requests of its own callers are open"},
		{StepMovingCallers, with(held, func(s *Observation) { s.ControlPlane, s.FollowingSidecars = true, 4 }), night, nil, "4 lines have it as their home"},
		{StepMovingCallers, with(held, func(s *Observation) { s.CallersMoved = false }), night, nil, "its own callers are not led away yet"},
		{StepMovingCallers, held, night, func(o *Order, v *View) { o.Successor = "l2" }, "what it kept of keys is not handed over yet"},
		{StepMovingCallers, with(held, func(s *Observation) { s.KeysHandedOver = true }), night, func(o *Order, v *View) { o.Successor = "l2" }, "-> out"},
		{StepMovingCallers, held, night, nil, "-> out"},
		{StepInMaintenance, held, night, nil, "the maintenance is being done"},
		{StepInMaintenance, held, night, func(o *Order, v *View) { o.MaintenanceDone = true }, "-> returning: the maintenance is done"},
		{StepInMaintenance, held, night, func(o *Order, v *View) { o.Aborting = true }, "-> returning: aborted"},
		{StepInMaintenance, held, exactTime("2026-06-01 23:02:00 +1000"), nil, "-> returning: the maintenance has had its time"},
		{StepReturning, held, night, nil, "it is not ready"},
		{StepReturning, Observation{Reachable: true, Ready: true}, night, nil, "its server gets warm"},
		{StepReturning, Observation{Reachable: true, Ready: true, Warm: true}, night, func(o *Order, v *View) { o.Aborting = true }, "-> aborted"},
		{StepReturning, Observation{Reachable: true, Ready: true, Warm: true}, night, nil, "-> done"},
	} {
		v := testView()
		o := Order{ID: "o", Machines: []string{"l0"}, Step: x.step, Revision: 4, PlacedBy: "ana", Duration: time.Minute, ReturnBy: instant("2026-06-01 15:30:00 +0000"), MaintenanceSince: night}
		if x.f != nil {
			x.f(&o, &v)
		}
		c, ok, waits := o.Next(v, x.s, x.now)
		got := waits
		if ok {
			got = fmt.Sprintf("-> %s: %s", c.Step, c.Text)
		}
		assert.Assert(t, strings.HasPrefix(got, x.want) || !ok && strings.Contains(got, x.want), "%s, wanted %s: %s", x.step, x.want, got)
	}
}
