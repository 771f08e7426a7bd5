package mesh

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hollyspur/internal/exchange/patch"
	"hollyspur/internal/rig"
)

// operation is an order of one of two operators, as its answers were.
type operation struct {
	route    string
	version  int
	service  string // what the operators disagree on
	statuses []int
}

func (o *operation) body() []byte {
	return Modify(o.version, nil, Route(o.route, "idempotent", "/"+o.route+"/", o.service, o.version))
}

// sent sends the order to a register and notes the answer.
func (o *operation) sent(x *Machine) int {
	status, _ := x.Operate(o.body())
	o.statuses = append(o.statuses, status)
	return status
}

// answered says that the order had such an answer.
func (o *operation) answered(statuses ...int) bool {
	for _, got := range o.statuses {
		for _, want := range statuses {
			if got == want {
				return true
			}
		}
	}
	return false
}

// final says that an answer ends a call of the operator at once.
func final(status int) bool { return status == 200 || status >= 400 && status < 500 }

// Two operators, eight orders under way each, every one repeated at other registers until it has a clear answer, while
// registers are killed, once all of them; then all orders are sent once more to every register. No version has
// two contents acknowledged, one that was acknowledged is acknowledged again, and one that was refused is not.
func TestOperatorsRepeat(t *testing.T) {
	m := start(t, "stock", "orders")
	const operators, underWay, rounds = 2, 8, 6
	services := [operators]string{"stock", "orders"}
	var all []*operation
	version := 2
	for round := range rounds {
		var wave []*operation
		for n := range underWay {
			for _, s := range services { // both operators take the same routes and versions
				wave = append(wave, &operation{route: fmt.Sprint("race-", n/2), version: version + n%2, service: s})
			}
		}
		version += 2
		var senders sync.WaitGroup
		random := rand.New(rand.NewPCG(uint64(round), 1))
		for _, o := range wave {
			first := random.IntN(len(m.Registers))
			senders.Go(func() {
				deadline := time.Now().Add(patience)
				for try := 0; time.Now().Before(deadline); try++ {
					if final(o.sent(m.Registers[(first+try)%len(m.Registers)])) {
						return
					}
				}
			})
		}
		var killed []*Machine
		switch round {
		case 1, 3:
			killed = m.Registers[round%len(m.Registers):][:1]
		case 4:
			killed = m.Registers
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
		assert.Assert(t, final(o.statuses[len(o.statuses)-1]), "%s for %s: %v", key, o.service, o.statuses)
		if o.answered(200) {
			assert.Assert(t, acked[key] == "", "%s is acknowledged for both operators", key)
			acked[key] = o.service
		}
	}
	assert.Equal(t, len(acked), rounds*underWay, "of each two orders one is acknowledged")
	for _, x := range m.Registers {
		for _, o := range all {
			want := 409
			if acked[fmt.Sprint(o.route, " ", o.version)] == o.service {
				want = 200
			}
			var got int
			deadline := time.Now().Add(patience)
			for got = o.sent(x); !final(got) && time.Now().Before(deadline); got = o.sent(x) {
			}
			assert.Assert(t, got == want, "%s %d for %s at %s: %d, had %v", o.route, o.version, o.service, x.Name, got, o.statuses)
		}
	}
	for n := range underWay / 2 { // the newest of each stands
		route := fmt.Sprint("race-", n)
		assert.Equal(t, m.Registers[0].serviceOf(t, route), acked[fmt.Sprint(route, " ", version-1)], route)
	}
	// A call is refused whole for a version that was overtaken since.
	loser := services[0]
	if acked["race-0 2"] == loser {
		loser = services[1]
	}
	for _, x := range m.Registers {
		var status int
		assert.Assert(t, rig.Await(patience, func() bool {
			status, _ = x.Operate(Modify(2, nil, Route("beside", "idempotent", "/beside/", "stock", 2), Route("race-0", "idempotent", "/race-0/", loser, 2)))
			return final(status)
		}))
		assert.Equal(t, status, 409)
		assert.Equal(t, x.serviceOf(t, "beside"), "")
	}
	m.clean(t)
}

// serviceOf is where a route sends requests, as the register reads it back.
func (x *Machine) serviceOf(t *testing.T, route string) string {
	t.Helper()
	var set patch.Set
	var last string
	assert.Assert(t, rig.Await(patience, func() bool {
		status, text := x.Fetch()
		last = text
		return status == 200 && json.Unmarshal([]byte(text), &set) == nil
	}), last)
	for _, l := range set.ListenerList {
		for _, raw := range l.PolicyRules {
			var r patch.Rule
			assert.NilError(t, json.Unmarshal(raw, &r))
			if r.Name == route {
				return r.ForwardAction.Service
			}
		}
	}
	return ""
}
