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

// exchange is request 1 as its client saw it, answered in time.
func exchange(class string, status int) fake.Exchange {
	return fake.Exchange{ID: "1", Class: class, Connected: true, SentAt: 100 * ms, Deadline: 1100 * ms, AnsweredAt: 200 * ms, Status: status}
}

// arrival is request 1 at a server, whose name is its zone and its cell.
func arrival(server, class string, first time.Duration) fake.Arrival {
	return fake.Arrival{ID: "1", Class: class, Server: server, Zone: server[:1], Cell: int(server[1]), FirstByteAt: first, LastByteAt: first}
}

func unprocessed(a fake.Arrival) fake.Arrival { a.Unprocessed = true; return a }

func one(class string, status int) []fake.Exchange {
	return []fake.Exchange{exchange(class, status)}
}

func changed(x fake.Exchange, change func(*fake.Exchange)) []fake.Exchange {
	change(&x)
	return []fake.Exchange{x}
}

// checkCase is records that violate one rule once, or none. The counts are Requests, Served, Rejected, Failed, Lost, Duplicates,
// LateDrains and SlowStartOverloads.
type checkCase struct {
	records fake.History
	want    [8]int
}

func runCases(t *testing.T, cases map[string]checkCase) {
	t.Helper()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.records.Classes = classes
			r := Check(c.records, Options{})
			got := [8]int{r.Requests, r.Served, r.Rejected, r.Failed, r.Lost, r.Duplicates, r.LateDrains, r.SlowStartOverloads}
			if got != c.want {
				t.Errorf("%v, not %v; %s", got, c.want, strings.Join(r.Violations, "; "))
			}
			violations := got[4] + got[5] + got[6] + got[7]
			if r.Passed() != (violations == 0) || len(r.Violations) != violations {
				t.Errorf("passed %v, %q", r.Passed(), r.Violations)
			}
		})
	}
}

func TestAnswers(t *testing.T) {
	runCases(t, map[string]checkCase{
		"nothing":           {fake.History{}, [8]int{}},
		"served":            {fake.History{Exchanges: one("order", 200), Arrivals: []fake.Arrival{arrival("a1", "order", 0)}}, [8]int{1, 1}},
		"rejected":          {fake.History{Exchanges: one("order", 503)}, [8]int{1, 0, 1}},
		"too many requests": {fake.History{Exchanges: one("order", 429)}, [8]int{1, 0, 1}},
		"failed":            {fake.History{Exchanges: one("order", 502), Arrivals: []fake.Arrival{arrival("a1", "order", 0)}}, [8]int{1, 0, 0, 1}},
		"no answer": {
			fake.History{Exchanges: changed(exchange("read", 0), func(x *fake.Exchange) { x.Err = errors.New("reset") })},
			[8]int{1, 0, 0, 1, 1},
		},
		"not accepted":          {fake.History{Exchanges: changed(exchange("read", 0), func(x *fake.Exchange) { x.Connected = false })}, [8]int{1, 0, 0, 1}},
		"late within the slack": {fake.History{Exchanges: changed(exchange("read", 200), func(x *fake.Exchange) { x.AnsweredAt = 1150 * ms })}, [8]int{1, 1}},
		"late":                  {fake.History{Exchanges: changed(exchange("read", 503), func(x *fake.Exchange) { x.AnsweredAt = 1200 * ms })}, [8]int{1, 0, 1, 0, 1}},
		"foreign":               {fake.History{Exchanges: changed(exchange("read", 200), func(x *fake.Exchange) { x.ForeignBody = true })}, [8]int{1, 1, 0, 0, 1}},
		"surplus":               {fake.History{Exchanges: changed(exchange("read", 200), func(x *fake.Exchange) { x.SurplusBytes = true })}, [8]int{1, 1, 0, 0, 1}},
		"crossed, not accepted": {fake.History{
			Exchanges: changed(exchange("read", 200), func(x *fake.Exchange) { x.Resent = true }),
			Arrivals:  []fake.Arrival{arrival("a1", "read", 150*ms)},
		}, [8]int{1, 1}},
		"crossed, accepted": {fake.History{
			Exchanges: changed(exchange("read", 200), func(x *fake.Exchange) { x.Resent = true }),
			Arrivals:  []fake.Arrival{arrival("a1", "read", 50*ms), arrival("a1", "read", 150*ms)},
		}, [8]int{1, 1, 0, 0, 1}},
	})
}

func TestEffects(t *testing.T) {
	runCases(t, map[string]checkCase{
		"unsafe twice":                  {fake.History{Exchanges: one("order", 200), Arrivals: []fake.Arrival{arrival("a1", "order", 0), arrival("b1", "order", 9)}}, [8]int{1, 1, 0, 0, 0, 1}},
		"unsafe, first one unprocessed": {fake.History{Exchanges: one("order", 200), Arrivals: []fake.Arrival{unprocessed(arrival("a1", "order", 0)), arrival("b1", "order", 9)}}, [8]int{1, 1}},
		"unsafe, last one unprocessed":  {fake.History{Exchanges: one("order", 200), Arrivals: []fake.Arrival{arrival("a1", "order", 0), unprocessed(arrival("b1", "order", 9))}}, [8]int{1, 1, 0, 0, 0, 1}},
		"safe twice":                    {fake.History{Exchanges: one("read", 200), Arrivals: []fake.Arrival{arrival("a1", "read", 0), arrival("b1", "read", 9)}}, [8]int{1, 1}},
		"keyed in its cell":             {fake.History{Exchanges: one("cell", 200), Arrivals: []fake.Arrival{arrival("a1", "cell", 0), arrival("a1", "cell", 9)}}, [8]int{1, 1}},
		"keyed, other cell":             {fake.History{Exchanges: one("cell", 200), Arrivals: []fake.Arrival{arrival("a1", "cell", 0), arrival("a2", "cell", 9)}}, [8]int{1, 1, 0, 0, 0, 1}},
		"keyed in its zone":             {fake.History{Exchanges: one("zone", 200), Arrivals: []fake.Arrival{arrival("a1", "zone", 0), arrival("a2", "zone", 9)}}, [8]int{1, 1}},
		"keyed, other zone":             {fake.History{Exchanges: one("zone", 200), Arrivals: []fake.Arrival{arrival("a1", "zone", 0), arrival("b1", "zone", 9)}}, [8]int{1, 1, 0, 0, 0, 1}},
		"keyed anywhere":                {fake.History{Exchanges: one("all", 200), Arrivals: []fake.Arrival{arrival("a1", "all", 0), arrival("b2", "all", 9)}}, [8]int{1, 1}},
		"keyed, too late":               {fake.History{Exchanges: one("all", 200), Arrivals: []fake.Arrival{arrival("a1", "all", 0), arrival("b2", "all", 11*time.Second)}}, [8]int{1, 1, 0, 0, 0, 1}},
		"harmful rejection":             {fake.History{Exchanges: one("order", 503), Arrivals: []fake.Arrival{arrival("a1", "order", 0)}}, [8]int{1, 0, 1, 0, 0, 1}},
		"harmful of a cell":             {fake.History{Exchanges: one("cell", 429), Arrivals: []fake.Arrival{arrival("a1", "cell", 0)}}, [8]int{1, 0, 1, 0, 0, 1}},
		"harmless of all":               {fake.History{Exchanges: one("all", 503), Arrivals: []fake.Arrival{arrival("a1", "all", 0)}}, [8]int{1, 0, 1}},
		"harmless, unprocessed":         {fake.History{Exchanges: one("order", 503), Arrivals: []fake.Arrival{unprocessed(arrival("a1", "order", 0))}}, [8]int{1, 0, 1}},
		"sent by no client":             {fake.History{Arrivals: []fake.Arrival{arrival("a1", "read", 0)}}, [8]int{0, 0, 0, 0, 0, 1}},
	})
}

func TestDrains(t *testing.T) {
	runCases(t, map[string]checkCase{
		"drained": {fake.History{
			Exchanges: one("read", 200), Arrivals: []fake.Arrival{arrival("a1", "read", 900*ms)},
			Updates: []fake.ListUpdate{{Server: "a1", Withdrawn: true, At: 500 * ms}},
		}, [8]int{1, 1, 0, 0, 0, 0, 1}},
		"drained just now": {fake.History{
			Exchanges: one("read", 200), Arrivals: []fake.Arrival{arrival("a1", "read", 700*ms)},
			Updates: []fake.ListUpdate{{Server: "a1", Withdrawn: true, At: 500 * ms}},
		}, [8]int{1, 1}},
		"drained, listed again": {fake.History{
			Exchanges: one("read", 200), Arrivals: []fake.Arrival{arrival("a1", "read", 900*ms)},
			Updates: []fake.ListUpdate{{Server: "a1", Withdrawn: true, At: 500 * ms}, {Server: "a1", Withdrawn: true, At: 800 * ms}},
		}, [8]int{1, 1, 0, 0, 0, 0, 1}},
		"drained and back": {fake.History{
			Exchanges: one("read", 200), Arrivals: []fake.Arrival{arrival("a1", "read", 900*ms)},
			Updates: []fake.ListUpdate{{Server: "a1", Withdrawn: true, At: 500 * ms}, {Server: "a1", At: 800 * ms}},
		}, [8]int{1, 1}},
		"drained in another list": {fake.History{
			Exchanges: one("read", 200), Arrivals: []fake.Arrival{arrival("a1", "read", 900*ms)},
			Updates: []fake.ListUpdate{{List: "other", Server: "a1", Withdrawn: true, At: 500 * ms}},
		}, [8]int{1, 1}},
	})
}

func TestSlowStarts(t *testing.T) {
	runCases(t, map[string]checkCase{
		"overloaded, listed": {fake.History{
			Exchanges: one("read", 200), Arrivals: []fake.Arrival{arrival("a1", "read", 900*ms)},
			Starts:  []fake.ServerStart{{Server: "a1", Incarnation: 0, SlowStart: fake.SlowStart{OverloadWindow: time.Second}}},
			Updates: []fake.ListUpdate{{Server: "a1", At: 500 * ms}}, WarmupCrashes: []fake.WarmupCrash{{Server: "a1", At: 950 * ms}},
		}, [8]int{1, 1, 0, 0, 0, 0, 0, 1}},
		"overloaded, listed too late": {fake.History{
			Exchanges: one("read", 200), Arrivals: []fake.Arrival{arrival("a1", "read", 900*ms)},
			Starts:  []fake.ServerStart{{Server: "a1", Incarnation: 0, SlowStart: fake.SlowStart{OverloadWindow: time.Second}}},
			Updates: []fake.ListUpdate{{Server: "a1", At: 920 * ms}}, WarmupCrashes: []fake.WarmupCrash{{Server: "a1", At: 950 * ms}},
		}, [8]int{1, 1}},
	})
}
