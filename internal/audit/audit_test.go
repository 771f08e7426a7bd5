package audit

import (
	"errors"
	"strings"
	"testing"
	"time"

	"cranegrade/internal/standin"
)

const ms = time.Millisecond

var classes = map[string]standin.Class{
	"read":  {Name: "read", Effect: standin.Safe, Deadline: time.Second},
	"order": {Name: "order", Effect: standin.Unsafe, Deadline: time.Second},
	"cell":  {Name: "cell", Effect: standin.Keyed, Scope: standin.ScopeCell, Window: 10 * time.Second, Deadline: time.Second},
	"zone":  {Name: "zone", Effect: standin.Keyed, Scope: standin.ScopeZone, Window: 10 * time.Second, Deadline: time.Second},
	"all":   {Name: "all", Effect: standin.Keyed, Scope: standin.ScopeAll, Window: 10 * time.Second, Deadline: time.Second},
}

func ask(class string, status int) standin.Exchange {
	return standin.Exchange{ID: "1", Class: class, Connected: true, Sent: 100 * ms, Deadline: 1100 * ms, Answered: 200 * ms, Status: status}
}

func at(server, class string, first time.Duration) standin.Arrival {
	return standin.Arrival{ID: "1", Class: class, Server: server, Zone: server[:1], Cell: int(server[1]), First: first, Last: first}
}

func unrun(a standin.Arrival) standin.Arrival { a.Unprocessed = true; return a }

// Each case breaks one rule once, or none; the counts are requests, served, refused, failed, lost,
// twice, drain_late, cold_over.
func TestJudge(t *testing.T) {
	change := func(x standin.Exchange, f func(*standin.Exchange)) []standin.Exchange {
		f(&x)
		return []standin.Exchange{x}
	}
	one := func(class string, status int) []standin.Exchange { return []standin.Exchange{ask(class, status)} }
	for name, c := range map[string]struct {
		view standin.View
		want [8]int
	}{
		"nothing":  {standin.View{}, [8]int{}},
		"served":   {standin.View{Exchanges: one("order", 200), Arrivals: []standin.Arrival{at("a1", "order", 0)}}, [8]int{1, 1}},
		"refused":  {standin.View{Exchanges: one("order", 503)}, [8]int{1, 0, 1}},
		"too many": {standin.View{Exchanges: one("order", 429)}, [8]int{1, 0, 1}},
		"failed":   {standin.View{Exchanges: one("order", 502), Arrivals: []standin.Arrival{at("a1", "order", 0)}}, [8]int{1, 0, 0, 1}},
		"no answer": {
			standin.View{Exchanges: change(ask("read", 0), func(x *standin.Exchange) { x.Err = errors.New("reset") })},
			[8]int{1, 0, 0, 1, 1},
		},
		"not accepted": {standin.View{Exchanges: change(ask("read", 0), func(x *standin.Exchange) { x.Connected = false })}, [8]int{1, 0, 0, 1}},
		"a hair late":  {standin.View{Exchanges: change(ask("read", 200), func(x *standin.Exchange) { x.Answered = 1150 * ms })}, [8]int{1, 1}},
		"late":         {standin.View{Exchanges: change(ask("read", 503), func(x *standin.Exchange) { x.Answered = 1200 * ms })}, [8]int{1, 0, 1, 0, 1}},
		"foreign":      {standin.View{Exchanges: change(ask("read", 200), func(x *standin.Exchange) { x.Foreign = true })}, [8]int{1, 1, 0, 0, 1}},
		"surplus":      {standin.View{Exchanges: change(ask("read", 200), func(x *standin.Exchange) { x.Surplus = true })}, [8]int{1, 1, 0, 0, 1}},
		"crossed, not taken": {standin.View{
			Exchanges: change(ask("read", 200), func(x *standin.Exchange) { x.Crossed = true }),
			Arrivals:  []standin.Arrival{at("a1", "read", 150*ms)},
		}, [8]int{1, 1}},
		"crossed, taken": {standin.View{
			Exchanges: change(ask("read", 200), func(x *standin.Exchange) { x.Crossed = true }),
			Arrivals:  []standin.Arrival{at("a1", "read", 50*ms), at("a1", "read", 150*ms)},
		}, [8]int{1, 1, 0, 0, 1}},

		"unsafe twice":        {standin.View{Exchanges: one("order", 200), Arrivals: []standin.Arrival{at("a1", "order", 0), at("b1", "order", 9)}}, [8]int{1, 1, 0, 0, 0, 1}},
		"unsafe, first unrun": {standin.View{Exchanges: one("order", 200), Arrivals: []standin.Arrival{unrun(at("a1", "order", 0)), at("b1", "order", 9)}}, [8]int{1, 1}},
		"unsafe, last unrun":  {standin.View{Exchanges: one("order", 200), Arrivals: []standin.Arrival{at("a1", "order", 0), unrun(at("b1", "order", 9))}}, [8]int{1, 1, 0, 0, 0, 1}},
		"safe twice":          {standin.View{Exchanges: one("read", 200), Arrivals: []standin.Arrival{at("a1", "read", 0), at("b1", "read", 9)}}, [8]int{1, 1}},
		"keyed in its cell":   {standin.View{Exchanges: one("cell", 200), Arrivals: []standin.Arrival{at("a1", "cell", 0), at("a1", "cell", 9)}}, [8]int{1, 1}},
		"keyed, other cell":   {standin.View{Exchanges: one("cell", 200), Arrivals: []standin.Arrival{at("a1", "cell", 0), at("a2", "cell", 9)}}, [8]int{1, 1, 0, 0, 0, 1}},
		"keyed in its zone":   {standin.View{Exchanges: one("zone", 200), Arrivals: []standin.Arrival{at("a1", "zone", 0), at("a2", "zone", 9)}}, [8]int{1, 1}},
		"keyed, other zone":   {standin.View{Exchanges: one("zone", 200), Arrivals: []standin.Arrival{at("a1", "zone", 0), at("b1", "zone", 9)}}, [8]int{1, 1, 0, 0, 0, 1}},
		"keyed anywhere":      {standin.View{Exchanges: one("all", 200), Arrivals: []standin.Arrival{at("a1", "all", 0), at("b2", "all", 9)}}, [8]int{1, 1}},
		"keyed, too late":     {standin.View{Exchanges: one("all", 200), Arrivals: []standin.Arrival{at("a1", "all", 0), at("b2", "all", 11*time.Second)}}, [8]int{1, 1, 0, 0, 0, 1}},
		"harmful refusal":     {standin.View{Exchanges: one("order", 503), Arrivals: []standin.Arrival{at("a1", "order", 0)}}, [8]int{1, 0, 1, 0, 0, 1}},
		"harmful of a cell":   {standin.View{Exchanges: one("cell", 429), Arrivals: []standin.Arrival{at("a1", "cell", 0)}}, [8]int{1, 0, 1, 0, 0, 1}},
		"harmless of all":     {standin.View{Exchanges: one("all", 503), Arrivals: []standin.Arrival{at("a1", "all", 0)}}, [8]int{1, 0, 1}},
		"harmless, unrun":     {standin.View{Exchanges: one("order", 503), Arrivals: []standin.Arrival{unrun(at("a1", "order", 0))}}, [8]int{1, 0, 1}},
		"of nobody":           {standin.View{Arrivals: []standin.Arrival{at("a1", "read", 0)}}, [8]int{0, 0, 0, 0, 0, 1}},

		"drained": {standin.View{
			Exchanges: one("read", 200), Arrivals: []standin.Arrival{at("a1", "read", 900*ms)},
			Told: []standin.Told{{Server: "a1", Gone: true, At: 500 * ms}},
		}, [8]int{1, 1, 0, 0, 0, 0, 1}},
		"drained just now": {standin.View{
			Exchanges: one("read", 200), Arrivals: []standin.Arrival{at("a1", "read", 700*ms)},
			Told: []standin.Told{{Server: "a1", Gone: true, At: 500 * ms}},
		}, [8]int{1, 1}},
		"drained, told again": {standin.View{
			Exchanges: one("read", 200), Arrivals: []standin.Arrival{at("a1", "read", 900*ms)},
			Told: []standin.Told{{Server: "a1", Gone: true, At: 500 * ms}, {Server: "a1", Gone: true, At: 800 * ms}},
		}, [8]int{1, 1, 0, 0, 0, 0, 1}},
		"drained and back": {standin.View{
			Exchanges: one("read", 200), Arrivals: []standin.Arrival{at("a1", "read", 900*ms)},
			Told: []standin.Told{{Server: "a1", Gone: true, At: 500 * ms}, {Server: "a1", At: 800 * ms}},
		}, [8]int{1, 1}},
		"drained in another list": {standin.View{
			Exchanges: one("read", 200), Arrivals: []standin.Arrival{at("a1", "read", 900*ms)},
			Told: []standin.Told{{List: "other", Server: "a1", Gone: true, At: 500 * ms}},
		}, [8]int{1, 1}},

		"fell, told": {standin.View{
			Exchanges: one("read", 200), Arrivals: []standin.Arrival{at("a1", "read", 900*ms)},
			Starts: []standin.Start{{Server: "a1", Boot: 0, Cold: standin.Cold{For: time.Second}}},
			Told:   []standin.Told{{Server: "a1", At: 500 * ms}}, Falls: []standin.Fall{{Server: "a1", At: 950 * ms}},
		}, [8]int{1, 1, 0, 0, 0, 0, 0, 1}},
		"fell, told too late": {standin.View{
			Exchanges: one("read", 200), Arrivals: []standin.Arrival{at("a1", "read", 900*ms)},
			Starts: []standin.Start{{Server: "a1", Boot: 0, Cold: standin.Cold{For: time.Second}}},
			Told:   []standin.Told{{Server: "a1", At: 920 * ms}}, Falls: []standin.Fall{{Server: "a1", At: 950 * ms}},
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
