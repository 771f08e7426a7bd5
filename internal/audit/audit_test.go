package audit

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"cranegrade/internal/fake"
)

const ms = time.Millisecond

var classes = map[string]fake.Class{
	"read":  {Name: "read", Effect: fake.Safe, Deadline: time.Second},
	"order": {Name: "order", Effect: fake.Unsafe, Deadline: time.Second},
	"cell": {
		Name:     "cell",
		Effect:   fake.Keyed,
		Scope:    fake.ScopeCell,
		Window:   10 * time.Second,
		Deadline: time.Second,
	},
	"zone": {
		Name:     "zone",
		Effect:   fake.Keyed,
		Scope:    fake.ScopeZone,
		Window:   10 * time.Second,
		Deadline: time.Second,
	},
	"all": {
		Name:     "all",
		Effect:   fake.Keyed,
		Scope:    fake.ScopeAll,
		Window:   10 * time.Second,
		Deadline: time.Second,
	},
}

// exchange is request 1 as its client saw it, answered in time.
func exchange(class string, status int) fake.Exchange {
	return fake.Exchange{
		ID:         "1",
		Class:      class,
		Connected:  true,
		SentAt:     100 * ms,
		Deadline:   1100 * ms,
		AnsweredAt: 200 * ms,
		Status:     status,
	}
}

// arrival is request 1 at a server, whose name is its zone and its cell.
func arrival(server, class string, first time.Duration) fake.Arrival {
	return fake.Arrival{
		ID:          "1",
		Class:       class,
		Server:      server,
		Zone:        server[:1],
		Cell:        int(server[1]),
		FirstByteAt: first,
		LastByteAt:  first,
	}
}

func unprocessed(a fake.Arrival) fake.Arrival { a.Unprocessed = true; return a }

func one(class string, status int) []fake.Exchange {
	return []fake.Exchange{exchange(class, status)}
}

// request is the records of one request, and of its arrivals.
func request(class string, status int, arrivals ...fake.Arrival) fake.History {
	return fake.History{Exchanges: one(class, status), Arrivals: arrivals}
}

func changed(x fake.Exchange, change func(*fake.Exchange)) []fake.Exchange {
	change(&x)
	return []fake.Exchange{x}
}

// checkCase is records that violate one rule once, or none.
type checkCase struct {
	records fake.History
	want    Result // without Violations and MaxDrainDelay
}

func runCases(t *testing.T, cases map[string]checkCase) {
	t.Helper()
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.records.Classes = classes
			got := Check(c.records, Options{})
			violations := got.Violations
			got.Violations, got.MaxDrainDelay = nil, 0
			if !reflect.DeepEqual(got, c.want) {
				t.Errorf("got %+v, want %+v; %s", got, c.want, strings.Join(violations, "; "))
			}
			wanted := c.want.Lost + c.want.Duplicates + c.want.LateDrains + c.want.SlowStartOverloads
			if got.Passed() != (wanted == 0) || len(violations) != wanted {
				t.Errorf("passed %v, %q", got.Passed(), violations)
			}
		})
	}
}

func TestAnswers(t *testing.T) {
	runCases(t, map[string]checkCase{
		"nothing":           {fake.History{}, Result{}},
		"served":            {request("order", 200, arrival("a1", "order", 0)), Result{Requests: 1, Served: 1}},
		"rejected":          {request("order", 503), Result{Requests: 1, Rejected: 1}},
		"too many requests": {request("order", 429), Result{Requests: 1, Rejected: 1}},
		"failed":            {request("order", 502, arrival("a1", "order", 0)), Result{Requests: 1, Failed: 1}},
		"no answer": {
			fake.History{Exchanges: changed(exchange("read", 0), func(x *fake.Exchange) { x.Err = errors.New("reset") })},
			Result{Requests: 1, Failed: 1, Lost: 1},
		},
		"not accepted": {fake.History{Exchanges: changed(
			exchange("read", 0),
			func(x *fake.Exchange) { x.Connected = false },
		)}, Result{Requests: 1, Failed: 1}},
		"late within the slack": {fake.History{Exchanges: changed(
			exchange("read", 200),
			func(x *fake.Exchange) { x.AnsweredAt = 1150 * ms },
		)}, Result{Requests: 1, Served: 1}},
		"late": {fake.History{Exchanges: changed(
			exchange("read", 503),
			func(x *fake.Exchange) { x.AnsweredAt = 1200 * ms },
		)}, Result{Requests: 1, Rejected: 1, Lost: 1}},
		"foreign": {fake.History{Exchanges: changed(
			exchange("read", 200),
			func(x *fake.Exchange) { x.ForeignBody = true },
		)}, Result{Requests: 1, Served: 1, Lost: 1}},
		"surplus": {fake.History{Exchanges: changed(
			exchange("read", 200),
			func(x *fake.Exchange) { x.SurplusBytes = true },
		)}, Result{Requests: 1, Served: 1, Lost: 1}},
		"crossed, not accepted": {fake.History{
			Exchanges: changed(exchange("read", 200), func(x *fake.Exchange) { x.Resent = true }),
			Arrivals:  []fake.Arrival{arrival("a1", "read", 150*ms)},
		}, Result{Requests: 1, Served: 1}},
		"no answer, its process was dead": {fake.History{
			Exchanges: changed(exchange("read", 0), func(x *fake.Exchange) { x.Process = "p" }),
			Outages:   []fake.Outage{{Process: "p", From: 50 * ms, To: 150 * ms, Crashed: true}},
		}, Result{Requests: 1, Failed: 1, Interrupted: 1}},
		"no answer, another process was dead": {fake.History{
			Exchanges: changed(exchange("read", 0), func(x *fake.Exchange) { x.Process = "p" }),
			Outages:   []fake.Outage{{Process: "other", From: 50 * ms, To: 150 * ms, Crashed: true}},
		}, Result{Requests: 1, Failed: 1, Lost: 1}},
		"crossed, accepted": {fake.History{
			Exchanges: changed(exchange("read", 200), func(x *fake.Exchange) { x.Resent = true }),
			Arrivals:  []fake.Arrival{arrival("a1", "read", 50*ms), arrival("a1", "read", 150*ms)},
		}, Result{Requests: 1, Served: 1, Lost: 1}},
	})
}

func TestEffects(t *testing.T) {
	runCases(t, map[string]checkCase{
		"unsafe twice": {request("order", 200, arrival("a1", "order", 0), arrival("b1", "order", 9)), Result{
			Requests:   1,
			Served:     1,
			Duplicates: 1,
		}},
		"unsafe, first one unprocessed": {request("order", 200, unprocessed(arrival("a1", "order", 0)), arrival("b1", "order", 9)), Result{
			Requests: 1,
			Served:   1,
		}},
		"unsafe, last one unprocessed": {request("order", 200, arrival("a1", "order", 0), unprocessed(arrival("b1", "order", 9))), Result{
			Requests:   1,
			Served:     1,
			Duplicates: 1,
		}},
		"safe twice": {request("read", 200, arrival("a1", "read", 0), arrival("b1", "read", 9)), Result{
			Requests: 1,
			Served:   1,
		}},
		"keyed in its cell": {request("cell", 200, arrival("a1", "cell", 0), arrival("a1", "cell", 9)), Result{
			Requests: 1,
			Served:   1,
		}},
		"keyed, other cell": {request("cell", 200, arrival("a1", "cell", 0), arrival("a2", "cell", 9)), Result{
			Requests:   1,
			Served:     1,
			Duplicates: 1,
		}},
		"keyed in its zone": {request("zone", 200, arrival("a1", "zone", 0), arrival("a2", "zone", 9)), Result{
			Requests: 1,
			Served:   1,
		}},
		"keyed, other zone": {request("zone", 200, arrival("a1", "zone", 0), arrival("b1", "zone", 9)), Result{
			Requests:   1,
			Served:     1,
			Duplicates: 1,
		}},
		"keyed anywhere": {request("all", 200, arrival("a1", "all", 0), arrival("b2", "all", 9)), Result{
			Requests: 1,
			Served:   1,
		}},
		"keyed, too late": {request("all", 200, arrival("a1", "all", 0), arrival("b2", "all", 11*time.Second)), Result{
			Requests:   1,
			Served:     1,
			Duplicates: 1,
		}},
		"harmful rejection": {request("order", 503, arrival("a1", "order", 0)), Result{
			Requests:   1,
			Rejected:   1,
			Duplicates: 1,
		}},
		"harmful of a cell": {request("cell", 429, arrival("a1", "cell", 0)), Result{
			Requests:   1,
			Rejected:   1,
			Duplicates: 1,
		}},
		"harmless of all":       {request("all", 503, arrival("a1", "all", 0)), Result{Requests: 1, Rejected: 1}},
		"harmless, unprocessed": {request("order", 503, unprocessed(arrival("a1", "order", 0))), Result{Requests: 1, Rejected: 1}},
		"sent by no client":     {fake.History{Arrivals: []fake.Arrival{arrival("a1", "read", 0)}}, Result{Duplicates: 1}},
	})
}

func TestDrains(t *testing.T) {
	runCases(t, map[string]checkCase{
		"drained": {fake.History{
			Exchanges: one("read", 200),
			Arrivals:  []fake.Arrival{arrival("a1", "read", 900*ms)},
			Updates:   []fake.ListUpdate{{Server: "a1", Withdrawn: true, At: 500 * ms}},
		}, Result{Requests: 1, Served: 1, LateDrains: 1}},
		"drained just now": {fake.History{
			Exchanges: one("read", 200),
			Arrivals:  []fake.Arrival{arrival("a1", "read", 700*ms)},
			Updates:   []fake.ListUpdate{{Server: "a1", Withdrawn: true, At: 500 * ms}},
		}, Result{Requests: 1, Served: 1}},
		"drained, listed again": {fake.History{
			Exchanges: one("read", 200),
			Arrivals:  []fake.Arrival{arrival("a1", "read", 900*ms)},
			Updates: []fake.ListUpdate{{
				Server:    "a1",
				Withdrawn: true,
				At:        500 * ms,
			}, {
				Server:    "a1",
				Withdrawn: true,
				At:        800 * ms,
			}},
		}, Result{Requests: 1, Served: 1, LateDrains: 1}},
		"drained and back": {fake.History{
			Exchanges: one("read", 200),
			Arrivals:  []fake.Arrival{arrival("a1", "read", 900*ms)},
			Updates: []fake.ListUpdate{{
				Server:    "a1",
				Withdrawn: true,
				At:        500 * ms,
			}, {Server: "a1", At: 800 * ms}},
		}, Result{Requests: 1, Served: 1}},
		"drained while its process was stopped": {fake.History{
			Exchanges: changed(exchange("read", 200), func(x *fake.Exchange) { x.Process = "p" }),
			Arrivals:  []fake.Arrival{arrival("a1", "read", 900*ms)},
			Updates:   []fake.ListUpdate{{Server: "a1", Withdrawn: true, At: 500 * ms}},
			Outages:   []fake.Outage{{Process: "p", From: 600 * ms, To: 850 * ms}},
		}, Result{Requests: 1, Served: 1}},
		"drained after its process was stopped": {fake.History{
			Exchanges: changed(exchange("read", 200), func(x *fake.Exchange) { x.Process = "p" }),
			Arrivals:  []fake.Arrival{arrival("a1", "read", 900*ms)},
			Updates:   []fake.ListUpdate{{Server: "a1", Withdrawn: true, At: 500 * ms}},
			Outages:   []fake.Outage{{Process: "p", From: 100 * ms, To: 450 * ms}},
		}, Result{Requests: 1, Served: 1, LateDrains: 1}},
		"drained in another list": {fake.History{
			Exchanges: one("read", 200),
			Arrivals:  []fake.Arrival{arrival("a1", "read", 900*ms)},
			Updates:   []fake.ListUpdate{{List: "other", Server: "a1", Withdrawn: true, At: 500 * ms}},
		}, Result{Requests: 1, Served: 1}},
	})
}

func TestSlowStarts(t *testing.T) {
	runCases(t, map[string]checkCase{
		"overloaded, listed": {fake.History{
			Exchanges: one("read", 200),
			Arrivals:  []fake.Arrival{arrival("a1", "read", 900*ms)},
			Starts: []fake.ServerStart{{
				Server:      "a1",
				Incarnation: 0,
				SlowStart:   fake.SlowStart{OverloadWindow: time.Second},
			}},
			Updates:       []fake.ListUpdate{{Server: "a1", At: 500 * ms}},
			WarmupCrashes: []fake.WarmupCrash{{Server: "a1", At: 950 * ms}},
		}, Result{Requests: 1, Served: 1, SlowStartOverloads: 1}},
		"overloaded, listed too late": {fake.History{
			Exchanges: one("read", 200),
			Arrivals:  []fake.Arrival{arrival("a1", "read", 900*ms)},
			Starts: []fake.ServerStart{{
				Server:      "a1",
				Incarnation: 0,
				SlowStart:   fake.SlowStart{OverloadWindow: time.Second},
			}},
			Updates:       []fake.ListUpdate{{Server: "a1", At: 920 * ms}},
			WarmupCrashes: []fake.WarmupCrash{{Server: "a1", At: 950 * ms}},
		}, Result{Requests: 1, Served: 1}},
	})
}
