package maintenance

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Plan reports why a machine may not be taken out now, with the contract and the time until which that applies.
func TestPlanReportsReasons(t *testing.T) {
	night, day := exactTime("2026-06-01 23:00:00 +1000"), exactTime("2026-06-01 20:00:00 +1000")
	opening := TimeBounds{instant("2026-06-01 21:59:59 +1000"), instant("2026-06-01 22:00:01 +1000")}
	for _, x := range []struct {
		name   string
		addr   string
		now    TimeBounds
		length time.Duration
		change func(v *View)
		want   string // part of the reasons, or "" if it is approved
	}{
		{"sidecar", "l0", night, time.Minute, nil, ""},
		{"control-plane member", "r0", night, time.Minute, nil, ""},
		{"before the window", "l0", day, time.Minute, nil, "contract cellar: outside its hours, until 2026-06-01 12:00 UTC"},
		{"too close to the window's end", "l0", exactTime("2026-06-02 01:29:00 +1000"), time.Minute, nil, "contract cellar: its window ends at 15:30 UTC"},
		{"longer than the window", "l0", night, 3 * time.Hour, nil, "contract cellar: its window ends at 15:30 UTC"},
		{
			"barred day", "l0", exactTime("2026-04-01 23:00:00 +1000"), time.Minute, nil,
			"contract cellar: the day is barred (vintage), until 2026-04-15 14:00 UTC",
		},
		{
			"possibly before the window", "l0", opening, time.Minute, nil,
			"contract cellar: the window has not opened for certain, until 2026-06-01 12:00 UTC",
		},
		{
			"too many machines of the service out", "l0", night, 0, func(v *View) { v.InMaintenance = []string{"l1"} },
			"contract cellar: 1 machines of log are out, and 1 may be",
		},
		{
			"too many machines of the zone out", "l0", night, 0, func(v *View) { v.Machines[2].Service, v.InMaintenance = "else", []string{"l2"} },
			"contract cellar: 1 machines of zone z0 are out, and 1 may be",
		},
		{"too few slots remain", "l0", night, 0, func(v *View) {
			v.Machines[1].Ready, v.Contracts[0].MostOut, v.Contracts[0].LeastReady = false, OutLimits{5, 5}, 0.75
		}, "contract cellar: 12 of 24 slots of log would stay, and 0.75 of them must"},
		{
			"more load than slots", "l0", night, 0, func(v *View) { v.Load = map[string]float64{"log": 19} },
			"contract cellar: 19 slots of log are at work, and 18 would stay",
		},
		{"no contract", "l0", night, 0, func(v *View) { v.Contracts = nil }, "no contract covers it, so nobody has approved any hour"},
		{
			"contract of another namespace", "l0", night, 0, func(v *View) { v.Contracts[0].Covers = Scope{Namespaces: []string{"crews"}} },
			"no contract covers it",
		},
		{"contract of an outer namespace", "l0", day, 0, func(v *View) {
			v.Contracts[0].Covers, v.Machines[0].Namespaces = Scope{Namespaces: []string{"crews"}}, []string{"pickers", "crews"}
		}, "contract cellar: outside its hours"},
		{
			"one of two contracts", "l0", night, 0, func(v *View) { v.Contracts = append(v.Contracts, parisContract("weigh")) },
			"contract other: outside its hours",
		},
		{"contract of another route", "l0", night, 0, func(v *View) { v.Contracts = append(v.Contracts, parisContract("export")) }, ""},
		{
			"no tolerance for another failed member", "r0", night, 0, func(v *View) { v.InMaintenance = []string{"r1"} },
			"3 of 5 control-plane members would stay, a majority is 3",
		},
		{"already out", "l0", night, 0, func(v *View) { v.InMaintenance = []string{"l0"} }, "another order has it already"},
		{"unknown machine", "l9", night, 0, nil, "l9 is no machine that is known"},
	} {
		t.Run(x.name, func(t *testing.T) {
			v := testView()
			if x.change != nil {
				x.change(&v)
			}
			verdict := v.Plan(x.addr, x.length, x.now)
			var reasons []string
			for _, r := range verdict.Reasons {
				reasons = append(reasons, r.String())
			}
			assert.Equal(t, verdict.Approved, x.want == "", "%v", reasons)
			assert.Assert(t, x.want == "" || strings.Contains(strings.Join(reasons, "; "), x.want), "%v", reasons)
		})
	}
}

func TestSequencePutsLeaderLast(t *testing.T) {
	assert.DeepEqual(t, testView().Sequence([]string{"r1", "l2", "r0", "l1"}, "r0"), []string{"l2", "l1", "r1", "r0"})
}

func TestPlanReportsTransitionTime(t *testing.T) {
	verdict := testView().Plan("l0", 0, exactTime("2026-06-01 23:00:00 +1000"))
	assert.Equal(t, verdict.TransitionTime, 2*time.Second+15*time.Second+3*time.Second)
}

func TestSuccessorPrefersSameZone(t *testing.T) {
	assert.Equal(t, testView().successor("l0"), "l2")
}

// An approved absence, with the transition time and the margin, is within the windows of every contract that covers the
// machine, wherever between its bounds the current time is. It is never on a barred day, and never exceeds any contract's
// limit of machines that are out.
func TestPlanApprovesOnlyWithinEveryContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := testView()
		v.Contracts = nil
		for n := range rapid.IntRange(1, 3).Draw(t, "contracts") {
			v.Contracts = append(v.Contracts, drawWeeklyContract(t, fmt.Sprint("c", n)))
		}
		for _, m := range v.Machines {
			if rapid.IntRange(0, 4).Draw(t, "out") == 0 {
				v.InMaintenance = append(v.InMaintenance, m.Addr)
			}
		}
		early := instant("2026-10-03 00:00:00 +0000").Add(time.Duration(rapid.IntRange(0, 7*24*60).Draw(t, "minute")) * time.Minute)
		now := TimeBounds{early, early.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "error")) * time.Second)}
		length := time.Duration(rapid.IntRange(0, 3600).Draw(t, "length")) * time.Second
		verdict := v.Plan("l0", length, now)
		if !verdict.Approved {
			if len(verdict.Reasons) == 0 {
				t.Fatal("not approved, and without a reason")
			}
			return
		}
		covered := 0
		for _, c := range v.Contracts {
			if len(c.Covers.Services) > 0 && c.Covers.Services[0] != "log" {
				continue
			}
			covered++
			checkWithinWeekly(t, c, Interval{now.Earliest, now.Latest.Add(verdict.TransitionTime + length + v.Parameters.Margin)})
			checkServiceLimit(t, c, v.InMaintenance)
		}
		if covered == 0 {
			t.Fatal("approved although no contract covers the machine")
		}
	})
}

// drawWeeklyContract draws a contract with one window on Mondays, Wednesdays and Sundays.
func drawWeeklyContract(t *rapid.T, name string) Contract {
	zones := []string{"Australia/Hobart", "Asia/Tehran", "Europe/Paris", "UTC"}
	c := Contract{
		Name: name, TimeZone: rapid.SampledFrom(zones).Draw(t, "zone"), Approvers: []string{"a"},
		MostOut: OutLimits{rapid.IntRange(0, 2).Draw(t, "service"), rapid.IntRange(0, 2).Draw(t, "zone")},
	}
	if rapid.Bool().Draw(t, "covers") {
		c.Covers.Services = []string{rapid.SampledFrom([]string{"log", "other"}).Draw(t, "covered")}
	}
	from := rapid.IntRange(0, 22).Draw(t, "from")
	to := rapid.IntRange(from, 23).Draw(t, "to")
	c.Weekly = []WeeklyWindow{{[]string{"Mon", "Wed", "Sun"}, fmt.Sprintf("%02d:30", from), fmt.Sprintf("%02d:45", to)}}
	if rapid.Bool().Draw(t, "bars") {
		c.Barred = []BarredDays{{"2026-10-04", "2026-10-05", "x"}}
	}
	return c
}

// checkWithinWeekly checks every half minute of an approved interval against the contract's window and barred days.
func checkWithinWeekly(t *rapid.T, c Contract, approved Interval) {
	t.Helper()
	zone, err := time.LoadLocation(c.TimeZone)
	if err != nil {
		t.Fatal(err)
	}
	window := c.Weekly[0]
	from, _ := parseTimeOfDay(window.From)
	to, _ := parseTimeOfDay(window.To)
	for moment := approved.From; !moment.After(approved.To); moment = moment.Add(30 * time.Second) {
		local := moment.In(zone)
		minute := local.Hour()*60 + local.Minute()
		if !strings.Contains("Mon Wed Sun", local.Format("Mon")) || minute < from || minute > to || minute == to && local.Second() > 0 {
			t.Fatalf("approved at %v, local time %v, by %s", moment, local, c.Name)
		}
		if day := local.Format(dayLayout); len(c.Barred) > 0 && day >= "2026-10-04" && day <= "2026-10-05" {
			t.Fatalf("approved on a barred day, %v", local)
		}
	}
}

// checkServiceLimit checks that a contract allows one more machine of service log to be out.
func checkServiceLimit(t *rapid.T, c Contract, inMaintenance []string) {
	t.Helper()
	out := 0
	for _, addr := range inMaintenance {
		if strings.HasPrefix(addr, "l") {
			out++
		}
	}
	if out >= max(1, c.MostOut.Service) {
		t.Fatalf("approved although %d machines are out and the contract allows %d", out, max(1, c.MostOut.Service))
	}
}
