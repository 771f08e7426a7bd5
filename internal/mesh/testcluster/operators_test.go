package testcluster

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/rig"
)

// modifyAttempt is an order of one of two operators, as its answers were.
type modifyAttempt struct {
	route    string
	version  int
	service  string // what the operators disagree on
	statuses []int
}

func (o *modifyAttempt) body() []byte {
	return ModifyCall(o.version, nil, RouteItem(o.route, "idempotent", "/"+o.route+"/", o.service, o.version))
}

// send sends the order to a register and notes the answer.
func (o *modifyAttempt) send(x *Machine) int {
	status, _ := x.Modify(o.body())
	o.statuses = append(o.statuses, status)
	return status
}

// wasAnswered says that the order had such an answer.
func (o *modifyAttempt) wasAnswered(statuses ...int) bool {
	for _, got := range o.statuses {
		for _, want := range statuses {
			if got == want {
				return true
			}
		}
	}
	return false
}

// isFinal says that an answer ends a call of the operator at once.
func isFinal(status int) bool { return status == 200 || status >= 400 && status < 500 }

// Two operators, eight orders under way each, every one repeated at other registers until it has a clear answer, while
// registers are killed, once all of them; then all orders are sent once more to every register. No version has
// two contents acknowledged, one that was acknowledged is acknowledged again, and one that was refused is not.
func TestConcurrentOperatorsRetry(t *testing.T) {
	m := startCluster(t, "stock", "orders")
	const operators, underWay, rounds = 2, 8, 6
	services := [operators]string{"stock", "orders"}
	var all []*modifyAttempt
	version := 2
	for round := range rounds {
		var wave []*modifyAttempt
		for n := range underWay {
			for _, s := range services { // both operators take the same routes and versions
				wave = append(wave, &modifyAttempt{route: fmt.Sprint("race-", n/2), version: version + n%2, service: s})
			}
		}
		version += 2
		var senders sync.WaitGroup
		random := rand.New(rand.NewPCG(uint64(round), 1))
		for _, o := range wave {
			first := random.IntN(len(m.Members))
			senders.Go(func() {
				deadline := time.Now().Add(testTimeout)
				for try := 0; time.Now().Before(deadline); try++ {
					if isFinal(o.send(m.Members[(first+try)%len(m.Members)])) {
						return
					}
				}
			})
		}
		var killed []*Machine
		switch round {
		case 1, 3:
			killed = m.Members[round%len(m.Members):][:1]
		case 4:
			killed = m.Members
		}
		for _, x := range killed {
			x.Kill()
		}
		for _, x := range killed {
			assert.NilError(t, x.Start())
		}
		senders.Wait()
		all = append(all, wave...)
	}
	acked := map[string]string{}
	for _, o := range all {
		key := fmt.Sprint(o.route, " ", o.version)
		assert.Assert(t, isFinal(o.statuses[len(o.statuses)-1]), "%s for %s: %v", key, o.service, o.statuses)
		if o.wasAnswered(200) {
			assert.Assert(t, acked[key] == "", "%s is acknowledged for both operators", key)
			acked[key] = o.service
		}
	}
	assert.Equal(t, len(acked), rounds*underWay, "of each two orders one is acknowledged")
	for _, x := range m.Members {
		for _, o := range all {
			want := 409
			if acked[fmt.Sprint(o.route, " ", o.version)] == o.service {
				want = 200
			}
			var got int
			deadline := time.Now().Add(testTimeout)
			for got = o.send(x); !isFinal(got) && time.Now().Before(deadline); got = o.send(x) {
			}
			assert.Assert(t, got == want, "%s %d for %s at %s: %d, had %v", o.route, o.version, o.service, x.Name, got, o.statuses)
		}
	}
	for n := range underWay / 2 { // the newest of each stands
		route := fmt.Sprint("race-", n)
		assert.Equal(t, m.Members[0].serviceOf(t, route), acked[fmt.Sprint(route, " ", version-1)], route)
	}
	// A call is refused whole for a version that was overtaken since.
	loser := services[0]
	if acked["race-0 2"] == loser {
		loser = services[1]
	}
	for _, x := range m.Members {
		var status int
		assert.Assert(t, rig.Await(testTimeout, func() bool {
			status, _ = x.Modify(ModifyCall(2, nil, RouteItem("beside", "idempotent", "/beside/", "stock", 2), RouteItem("race-0", "idempotent", "/race-0/", loser, 2)))
			return isFinal(status)
		}))
		assert.Equal(t, status, 409)
		assert.Equal(t, x.serviceOf(t, "beside"), "")
	}
	m.assertNoViolations(t)
}

// serviceOf is where a route sends requests, as the register reads it back.
func (x *Machine) serviceOf(t *testing.T, route string) string {
	t.Helper()
	var set config.Document
	var last string
	assert.Assert(t, rig.Await(testTimeout, func() bool {
		status, text := x.Fetch()
		last = text
		return status == 200 && json.Unmarshal([]byte(text), &set) == nil
	}), last)
	for _, l := range set.ListenerList {
		for _, raw := range l.PolicyRules {
			var r config.RouteSpec
			assert.NilError(t, json.Unmarshal(raw, &r))
			if r.Name == route {
				return r.ForwardAction.Service
			}
		}
	}
	return ""
}
