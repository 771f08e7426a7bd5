package audit

import (
	"errors"
	"strings"
	"testing"
	"time"

	"cranegrade/internal/fake"
)

const ms = time.Millisecond

var classes = map[string]fake.Class{
	"read":  {Name: "read", Effect: fake.Safe, Deadline: time.Second},
	"order": {Name: "order", Effect: fake.Unsafe, Deadline: time.Second},
	"cell":  {Name: "cell", Effect: fake.Keyed, Scope: fake.ScopeCell, Window: 10 * time.Second, Deadline: time.Second},
	"zone":  {Name: "zone", Effect: fake.Keyed, Scope: fake.ScopeZone, Window: 10 * time.Second, Deadline: time.Second},
	"all":   {Name: "all", Effect: fake.Keyed, Scope: fake.ScopeAll, Window: 10 * time.Second, Deadline: time.Second},
}

func ask(class string, status int) fake.Exchange {
	return fake.Exchange{ID: "1", Class: class, Connected: true, SentAt: 100 * ms, Deadline: 1100 * ms, AnsweredAt: 200 * ms, Status: status}
}

func at(server, class string, first time.Duration) fake.Arrival {
	return fake.Arrival{ID: "1", Class: class, Server: server, Zone: server[:1], Cell: int(server[1]), FirstByteAt: first, LastByteAt: first}
}

func unrun(a fake.Arrival) fake.Arrival { a.Unprocessed = true; return a }

// Each case breaks one rule once, or none; the counts are requests, served, refused, failed, lost,
// twice, drain_late, cold_over.
func TestJudge(t *testing.T) {
	change := func(x fake.Exchange, f func(*fake.Exchange)) []fake.Exchange {
		f(&x)
		return []fake.Exchange{x}
	}
	one := func(class string, status int) []fake.Exchange { return []fake.Exchange{ask(class, status)} }
	for name, c := range map[string]struct {
		view fake.History
		want [8]int
	}{
		"nothing":  {fake.History{}, [8]int{}},
		"served":   {fake.History{Exchanges: one("order", 200), Arrivals: []fake.Arrival{at("a1", "order", 0)}}, [8]int{1, 1}},
		"refused":  {fake.History{Exchanges: one("order", 503)}, [8]int{1, 0, 1}},
		"too many": {fake.History{Exchanges: one("order", 429)}, [8]int{1, 0, 1}},
		"failed":   {fake.History{Exchanges: one("order", 502), Arrivals: []fake.Arrival{at("a1", "order", 0)}}, [8]int{1, 0, 0, 1}},
		"no answer": {
			fake.History{Exchanges: change(ask("read", 0), func(x *fake.Exchange) { x.Err = errors.New("reset") })},
			[8]int{1, 0, 0, 1, 1},
		},
		"not accepted": {fake.History{Exchanges: change(ask("read", 0), func(x *fake.Exchange) { x.Connected = false })}, [8]int{1, 0, 0, 1}},
		"a hair late":  {fake.History{Exchanges: change(ask("read", 200), func(x *fake.Exchange) { x.AnsweredAt = 1150 * ms })}, [8]int{1, 1}},
		"late":         {fake.History{Exchanges: change(ask("read", 503), func(x *fake.Exchange) { x.AnsweredAt = 1200 * ms })}, [8]int{1, 0, 1, 0, 1}},
		"foreign":      {fake.History{Exchanges: change(ask("read", 200), func(x *fake.Exchange) { x.ForeignBody = true })}, [8]int{1, 1, 0, 0, 1}},
		"surplus":      {fake.History{Exchanges: change(ask("read", 200), func(x *fake.Exchange) { x.SurplusBytes = true })}, [8]int{1, 1, 0, 0, 1}},
		"crossed, not taken": {fake.History{
			Exchanges: change(ask("read", 200), func(x *fake.Exchange) { x.Resent = true }),
			Arrivals:  []fake.Arrival{at("a1", "read", 150*ms)},
		}, [8]int{1, 1}},
		"crossed, taken": {fake.History{
			Exchanges: change(ask("read", 200), func(x *fake.Exchange) { x.Resent = true }),
			Arrivals:  []fake.Arrival{at("a1", "read", 50*ms), at("a1", "read", 150*ms)},
		}, [8]int{1, 1, 0, 0, 1}},

		"unsafe twice":        {fake.History{Exchanges: one("order", 200), Arrivals: []fake.Arrival{at("a1", "order", 0), at("b1", "order", 9)}}, [8]int{1, 1, 0, 0, 0, 1}},
		"unsafe, first unrun": {fake.History{Exchanges: one("order", 200), Arrivals: []fake.Arrival{unrun(at("a1", "order", 0)), at("b1", "order", 9)}}, [8]int{1, 1}},
		"unsafe, last unrun":  {fake.History{Exchanges: one("order", 200), Arrivals: []fake.Arrival{at("a1", "order", 0), unrun(at("b1", "order", 9))}}, [8]int{1, 1, 0, 0, 0, 1}},
		"safe twice":          {fake.History{Exchanges: one("read", 200), Arrivals: []fake.Arrival{at("a1", "read", 0), at("b1", "read", 9)}}, [8]int{1, 1}},
		"keyed in its cell":   {fake.History{Exchanges: one("cell", 200), Arrivals: []fake.Arrival{at("a1", "cell", 0), at("a1", "cell", 9)}}, [8]int{1, 1}},
		"keyed, other cell":   {fake.History{Exchanges: one("cell", 200), Arrivals: []fake.Arrival{at("a1", "cell", 0), at("a2", "cell", 9)}}, [8]int{1, 1, 0, 0, 0, 1}},
		"keyed in its zone":   {fake.History{Exchanges: one("zone", 200), Arrivals: []fake.Arrival{at("a1", "zone", 0), at("a2", "zone", 9)}}, [8]int{1, 1}},
		"keyed, other zone":   {fake.History{Exchanges: one("zone", 200), Arrivals: []fake.Arrival{at("a1", "zone", 0), at("b1", "zone", 9)}}, [8]int{1, 1, 0, 0, 0, 1}},
		"keyed anywhere":      {fake.History{Exchanges: one("all", 200), Arrivals: []fake.Arrival{at("a1", "all", 0), at("b2", "all", 9)}}, [8]int{1, 1}},
		"keyed, too late":     {fake.History{Exchanges: one("all", 200), Arrivals: []fake.Arrival{at("a1", "all", 0), at("b2", "all", 11*time.Second)}}, [8]int{1, 1, 0, 0, 0, 1}},
		"harmful refusal":     {fake.History{Exchanges: one("order", 503), Arrivals: []fake.Arrival{at("a1", "order", 0)}}, [8]int{1, 0, 1, 0, 0, 1}},
		"harmful of a cell":   {fake.History{Exchanges: one("cell", 429), Arrivals: []fake.Arrival{at("a1", "cell", 0)}}, [8]int{1, 0, 1, 0, 0, 1}},
		"harmless of all":     {fake.History{Exchanges: one("all", 503), Arrivals: []fake.Arrival{at("a1", "all", 0)}}, [8]int{1, 0, 1}},
		"harmless, unrun":     {fake.History{Exchanges: one("order", 503), Arrivals: []fake.Arrival{unrun(at("a1", "order", 0))}}, [8]int{1, 0, 1}},
		"of nobody":           {fake.History{Arrivals: []fake.Arrival{at("a1", "read", 0)}}, [8]int{0, 0, 0, 0, 0, 1}},

		"drained": {fake.History{
			Exchanges: one("read", 200), Arrivals: []fake.Arrival{at("a1", "read", 900*ms)},
			Updates: []fake.ListUpdate{{Server: "a1", Withdrawn: true, At: 500 * ms}},
		}, [8]int{1, 1, 0, 0, 0, 0, 1}},
		"drained just now": {fake.History{
			Exchanges: one("read", 200), Arrivals: []fake.Arrival{at("a1", "read", 700*ms)},
			Updates: []fake.ListUpdate{{Server: "a1", Withdrawn: true, At: 500 * ms}},
		}, [8]int{1, 1}},
		"drained, told again": {fake.History{
			Exchanges: one("read", 200), Arrivals: []fake.Arrival{at("a1", "read", 900*ms)},
			Updates: []fake.ListUpdate{{Server: "a1", Withdrawn: true, At: 500 * ms}, {Server: "a1", Withdrawn: true, At: 800 * ms}},
		}, [8]int{1, 1, 0, 0, 0, 0, 1}},
		"drained and back": {fake.History{
			Exchanges: one("read", 200), Arrivals: []fake.Arrival{at("a1", "read", 900*ms)},
			Updates: []fake.ListUpdate{{Server: "a1", Withdrawn: true, At: 500 * ms}, {Server: "a1", At: 800 * ms}},
		}, [8]int{1, 1}},
		"drained in another list": {fake.History{
			Exchanges: one("read", 200), Arrivals: []fake.Arrival{at("a1", "read", 900*ms)},
			Updates: []fake.ListUpdate{{List: "other", Server: "a1", Withdrawn: true, At: 500 * ms}},
		}, [8]int{1, 1}},

		"fell, told": {fake.History{
			Exchanges: one("read", 200), Arrivals: []fake.Arrival{at("a1", "read", 900*ms)},
			Starts:  []fake.ServerStart{{Server: "a1", Incarnation: 0, SlowStart: fake.SlowStart{OverloadWindow: time.Second}}},
			Updates: []fake.ListUpdate{{Server: "a1", At: 500 * ms}}, WarmupCrashes: []fake.WarmupCrash{{Server: "a1", At: 950 * ms}},
		}, [8]int{1, 1, 0, 0, 0, 0, 0, 1}},
		"fell, told too late": {fake.History{
			Exchanges: one("read", 200), Arrivals: []fake.Arrival{at("a1", "read", 900*ms)},
			Starts:  []fake.ServerStart{{Server: "a1", Incarnation: 0, SlowStart: fake.SlowStart{OverloadWindow: time.Second}}},
			Updates: []fake.ListUpdate{{Server: "a1", At: 920 * ms}}, WarmupCrashes: []fake.WarmupCrash{{Server: "a1", At: 950 * ms}},
		}, [8]int{1, 1}},
	} {
		c.view.Classes = classes
		v := Judge(c.view, Options{})
		got := [8]int{v.Requests, v.Served, v.Refused, v.Failed, v.Lost, v.Twice, v.DrainLate, v.ColdOver}
		if got != c.want {
			t.Errorf("%s: %v, not %v; %s", name, got, c.want, strings.Join(v.Details, "; "))
		}
		if broken := got[4] + got[5] + got[6] + got[7]; v.Clean() != (broken == 0) || len(v.Details) != broken {
			t.Errorf("%s: clean %v, %q", name, v.Clean(), v.Details)
		}
	}
}
