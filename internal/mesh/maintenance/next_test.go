package maintenance

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Next decides when an order waits, proceeds, returns a machine early, or overrides the contracts.
func TestOrderNext(t *testing.T) {
	night, day := exactTime("2026-06-01 23:00:00 +1000"), exactTime("2026-06-01 12:00:00 +1000")
	cordoned := Observation{Reachable: true, Cordoned: true, CallersMoved: true}
	warm := Observation{Reachable: true, Ready: true, Warm: true}
	cordonedWith := func(change func(observed *Observation)) Observation {
		observed := cordoned
		change(&observed)
		return observed
	}
	for _, x := range []struct {
		step     Step
		observed Observation
		now      TimeBounds
		change   func(o *Order, v *View)
		want     string // what it waits for, or "-> step: text"
	}{
		{StepWaiting, cordoned, day, nil, "outside its hours"},
		{StepWaiting, cordoned, day, func(o *Order, v *View) { o.Override, o.Reason = true, "smoke" }, "-> draining: OVERRIDDEN (smoke)"},
		{StepWaiting, cordoned, night, nil, "-> draining: approved by contracts [cellar] until 2026-06-01 15:30 UTC"},
		{StepDraining, cordonedWith(func(observed *Observation) { observed.Cordoned = false }), night, nil, "it has not said that it takes nothing new"},
		{
			StepDraining, cordonedWith(func(observed *Observation) { observed.Senders, observed.SendersText = 2, "a, b" }), night, nil,
			"2 sidecars have not confirmed that they send nothing: a, b",
		},
		{StepDraining, cordonedWith(func(observed *Observation) { observed.ServerRequests = 3 }), night, nil, "3 requests run there"},
		{StepDraining, Observation{}, night, nil, "it does not answer"},
		{StepDraining, cordoned, night, nil, "-> leading"},
		{StepDraining, cordoned, night, func(o *Order, v *View) { v.Contracts = nil }, "-> returning: turned back: no contract covers it"},
		{StepDraining, cordoned, night, func(o *Order, v *View) {
			v.Contracts[0].Barred[0].From, v.Contracts[0].Barred[0].To = "2026-06-01", "2026-06-02"
		}, "-> returning: turned back: contract cellar: the day is barred"},
		{
			StepInMaintenance, cordoned, night, func(o *Order, v *View) { v.Machines[1].Ready = false },
			"-> returning: turned back: contract cellar: 1 machines of log are out",
		},
		{StepInMaintenance, cordoned, exactTime("2026-06-02 01:29:40 +1000"), nil, "-> returning: turned back: its window ends at 15:30:00 UTC"},
		{StepMovingCallers, cordonedWith(func(observed *Observation) { observed.CallerRequests = 1 }), night, nil, "1 requests of its own callers are open"},
		{
			StepMovingCallers, cordonedWith(func(observed *Observation) { observed.ControlPlane, observed.FollowingSidecars = true, 4 }), night, nil,
			"4 sidecars follow it",
		},
		{StepMovingCallers, cordonedWith(func(observed *Observation) { observed.CallersMoved = false }), night, nil, "its own callers are not led away yet"},
		{StepMovingCallers, cordoned, night, func(o *Order, v *View) { o.Successor = "l2" }, "what it kept of keys is not handed over yet"},
		{
			StepMovingCallers, cordonedWith(func(observed *Observation) { observed.KeysHandedOver = true }), night,
			func(o *Order, v *View) { o.Successor = "l2" }, "-> out",
		},
		{StepMovingCallers, cordoned, night, nil, "-> out"},
		{StepInMaintenance, cordoned, night, nil, "the maintenance is being done"},
		{StepInMaintenance, cordoned, night, func(o *Order, v *View) { o.MaintenanceDone = true }, "-> returning: the maintenance is done"},
		{StepInMaintenance, cordoned, night, func(o *Order, v *View) { o.Aborting = true }, "-> returning: aborted"},
		{StepInMaintenance, cordoned, exactTime("2026-06-01 23:02:00 +1000"), nil, "-> returning: the maintenance has had its time"},
		{StepReturning, cordoned, night, nil, "it is not ready"},
		{StepReturning, Observation{Reachable: true, Ready: true}, night, nil, "its server gets warm"},
		{StepReturning, warm, night, func(o *Order, v *View) { o.Aborting = true }, "-> aborted"},
		{StepReturning, warm, night, nil, "-> done"},
	} {
		t.Run(string(x.step)+": "+x.want, func(t *testing.T) {
			v := testView()
			o := Order{
				ID: "o", Machines: []string{"l0"}, Step: x.step, Revision: 4, PlacedBy: "ana", Duration: time.Minute,
				ReturnBy: instant("2026-06-01 15:30:00 +0000"), MaintenanceSince: night,
			}
			if x.change != nil {
				x.change(&o, &v)
			}
			change, ok, got := o.Next(v, x.observed, x.now)
			if ok {
				got = fmt.Sprintf("-> %s: %s", change.Step, change.Text)
			}
			assert.Assert(t, strings.HasPrefix(got, x.want) || !ok && strings.Contains(got, x.want), got)
		})
	}
}
