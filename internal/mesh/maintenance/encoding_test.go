package maintenance

import (
	"testing"
	"time"

	"cranegrade/internal/testkit/goldenrecord"
)

// The JSON of each type that is stored in replicated state, sent in operators' calls or set as a configuration item is
// fixed, whatever the fields are called in Go.
func TestJSONEncoding(t *testing.T) {
	day := time.Date(2026, 6, 1, 12, 0, 0, 0, time.UTC)
	now := TimeBounds{day, day.Add(time.Second)}
	contract := Contract{
		Name: "cellar", ConfigVersion: 3, TimeZone: "Australia/Hobart",
		Covers: Scope{[]string{"log"}, []string{"z0"}, []string{"weigh"}, []string{"crews"}},
		Weekly: []WeeklyWindow{{[]string{"Mon"}, "22:00", "24:00"}}, Dates: []DateWindow{{"2026-12-24 08:00", "2026-12-24 12:00"}},
		Barred: []BarredDays{{"2026-03-01", "2026-04-15", "vintage"}}, MostOut: OutLimits{1, 2}, LeastReady: 0.5, Approvers: []string{"ana"},
	}
	order := Order{
		ID: "o", Machines: []string{"l0", "l1"}, Position: 1, Step: StepInMaintenance, Revision: 7, Duration: time.Minute,
		PlacedBy: "ana", Reason: "smoke", Override: true, MachineNames: []string{"a", "b"}, NeedsApproval: true, ApprovedBy: "bo",
		ReturnBy: day, Successor: "l2", StepSince: now, MaintenanceSince: now, Aborting: true, MaintenanceDone: true,
		Events: []Event{{now, "b", StepMovingCallers, "nothing runs there"}},
	}
	change := OrderChange{
		OrderID: "o", ExpectedRevision: 7, Step: StepWaiting, NextMachine: true, ReturnBy: day, Successor: "l2",
		Abort: true, MaintenanceDone: true, ApprovedBy: "bo", Text: "back",
	}
	verdict := Verdict{
		Approved: true, Reasons: []Reason{{"cellar", "outside its hours", day}}, Contracts: []string{"cellar"},
		TransitionTime: time.Second, ReturnBy: day, NextWindows: []Interval{{day, day.Add(time.Hour)}}, Approvers: []string{"ana"},
	}
	clock := Clock{LogTime: time.Minute, Earliest: now.Earliest, Latest: now.Latest, InDoubt: true, Steady: now}
	steps := []Step{StepDraining, StepMovingCallers, StepInMaintenance, StepReturning, StepWaiting, StepDone, StepAborted}
	const bounds = `{"Earliest":"2026-06-01T12:00:00Z","Latest":"2026-06-01T12:00:01Z"}`
	for _, x := range []struct {
		name string
		v    any
		want string
	}{
		{"contract", contract, `{"Name":"cellar","ConfigVersion":3,` +
			`"Covers":{"Services":["log"],"Zones":["z0"],"Routes":["weigh"],"Namespaces":["crews"]},` +
			`"TimeZone":"Australia/Hobart","Weekly":[{"Days":["Mon"],"From":"22:00","To":"24:00"}],` +
			`"Dates":[{"From":"2026-12-24 08:00","To":"2026-12-24 12:00"}],` +
			`"Barred":[{"From":"2026-03-01","To":"2026-04-15","Why":"vintage"}],` +
			`"MostOut":{"Service":1,"Zone":2},"LeastReady":0.5,"Approvers":["ana"]}`},
		{"empty contract", Contract{}, `{"Name":"","ConfigVersion":0,` +
			`"Covers":{"Services":null,"Zones":null,"Routes":null},"TimeZone":"","Weekly":null,"Dates":null,` +
			`"Barred":null,"MostOut":{"Service":0,"Zone":0},"LeastReady":0,"Approvers":null}`},
		{"order", order, `{"id":"o","machines":["l0","l1"],"at":1,"step":"out","seq":7,"length":60000000000,` +
			`"by":"ana","reason":"smoke","override":true,` +
			`"names":["a","b"],"asked":true,"approved":"bo","until":"2026-06-01T12:00:00Z","heir":"l2","since":` + bounds + `,"outAt":` + bounds +
			`,"abort":true,"back":true,"record":[{"at":` + bounds + `,"machine":"b","step":"leading","text":"nothing runs there"}]}`},
		{"empty order", Order{}, `{"id":"","machines":null,"at":0,"step":"","seq":0,"length":0,"by":"",` +
			`"since":{"Earliest":"0001-01-01T00:00:00Z","Latest":"0001-01-01T00:00:00Z"},` +
			`"outAt":{"Earliest":"0001-01-01T00:00:00Z","Latest":"0001-01-01T00:00:00Z"},"record":null}`},
		{"empty order table", OrderTable{Orders: []Order{}}, `{"Orders":[]}`},
		{"zero order table", OrderTable{}, `{"Orders":null}`},
		{"change", change, `{"id":"o","after":7,"step":"waiting","next":true,"until":"2026-06-01T12:00:00Z",` +
			`"heir":"l2","abort":true,"back":true,"approve":"bo","text":"back"}`},
		{"empty change", OrderChange{}, `{"id":"","after":0,"text":""}`},
		{"agreed time", clock, `{"Stamp":60000000000,"Earliest":"2026-06-01T12:00:00Z","Latest":"2026-06-01T12:00:01Z",` +
			`"Doubt":true,"Steady":` + bounds + `}`},
		{"verdict", verdict, `{"approved":true,"reasons":[{"contract":"cellar","text":"outside its hours","until":"2026-06-01T12:00:00Z"}],` +
			`"contracts":["cellar"],"takes":1000000000,` +
			`"until":"2026-06-01T12:00:00Z","next":[{"From":"2026-06-01T12:00:00Z","To":"2026-06-01T13:00:00Z"}],"approvers":["ana"]}`},
		{"steps", steps, `["draining","leading","out","returning","waiting","done","aborted"]`},
	} {
		t.Run(x.name, func(t *testing.T) { goldenrecord.AssertJSON(t, x.v, x.want) })
	}
}
