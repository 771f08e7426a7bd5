package testcluster

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/testfleet"
)

// modifyAttempt is a change of one of two operators, and its answers.
type modifyAttempt struct {
	route    string
	version  int
	service  string // what the operators disagree on
	statuses []int
}

// key identifies the route and version, for which each operator has another content.
func (a *modifyAttempt) key() string { return fmt.Sprint(a.route, " ", a.version) }

// send sends the change to a member and records the answer.
func (a *modifyAttempt) send(x *Machine) int {
	status, _ := x.Modify(ModifyCall(a.version, nil, RouteItem(a.route, "idempotent", "/"+a.route+"/", a.service, a.version)))
	a.statuses = append(a.statuses, status)
	return status
}

// sendUntilFinal sends the change to members in turn until the answer is final.
func (a *modifyAttempt) sendUntilFinal(members []*Machine, first int) (status int) {
	deadline := time.Now().Add(testTimeout)
	for try := first; time.Now().Before(deadline); try++ {
		if status = a.send(members[try%len(members)]); isFinal(status) {
			break
		}
	}
	return status
}

// isFinal reports whether an answer is final, so that the operator does not retry.
func isFinal(status int) bool { return status == http.StatusOK || status >= 400 && status < 500 }

const (
	competingChanges = 8 // that each operator has in flight
	competingRounds  = 6
)

// competingServices are the destinations that the two operators set.
var competingServices = []string{"stock", "orders"}

// Two operators have eight changes in flight each and retry each one at other members until it has a final answer, while members are
// killed, once all of them. Then all changes are sent once more to every member. No version has two acknowledged contents; changes that
// were acknowledged are acknowledged again, and changes that were rejected are not.
func TestConcurrentOperatorsRetry(t *testing.T) {
	runParallel(t)
	m := startCluster(t, "stock", "orders")
	var all []*modifyAttempt
	for round := range competingRounds {
		all = append(all, m.competingRound(t, round)...)
	}
	acknowledged := acknowledgedServices(t, all)
	assert.Equal(t, len(acknowledged), competingRounds*competingChanges, "of each two changes one is acknowledged")
	for _, x := range m.Members {
		for _, a := range all {
			want := http.StatusConflict
			if acknowledged[a.key()] == a.service {
				want = http.StatusOK
			}
			status := a.sendUntilFinal([]*Machine{x}, 0)
			assert.Assert(t, status == want, "%s for %s at %s: %d, had %v", a.key(), a.service, x.Name, status, a.statuses)
		}
	}
	newest := 2*competingRounds + 1
	for n := range competingChanges / 2 {
		route := fmt.Sprint("race-", n)
		assert.Equal(t, m.Members[0].serviceOf(t, route), acknowledged[fmt.Sprint(route, " ", newest)], route)
	}
	m.testOutdatedChangeIsRejectedWhole(t, acknowledged["race-0 2"])
	m.assertNoViolations(t)
}

// competingRound makes both operators send their changes of the same routes and versions. In some rounds members are killed meanwhile.
func (m *Cluster) competingRound(t *testing.T, round int) (attempts []*modifyAttempt) {
	t.Helper()
	for n := range competingChanges {
		for _, service := range competingServices {
			attempts = append(attempts, &modifyAttempt{route: fmt.Sprint("race-", n/2), version: 2 + 2*round + n%2, service: service})
		}
	}
	var senders sync.WaitGroup
	random := rand.New(rand.NewPCG(uint64(round), 1))
	for _, a := range attempts {
		first := random.IntN(len(m.Members))
		senders.Go(func() { a.sendUntilFinal(m.Members, first) })
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
	return attempts
}

// acknowledgedServices returns the acknowledged destination for each route and version. It checks that each change has a final answer, and
// that no version was acknowledged for both operators.
func acknowledgedServices(t *testing.T, attempts []*modifyAttempt) map[string]string {
	t.Helper()
	services := map[string]string{}
	for _, a := range attempts {
		assert.Assert(t, isFinal(a.statuses[len(a.statuses)-1]), "%s for %s: %v", a.key(), a.service, a.statuses)
		if slices.Contains(a.statuses, http.StatusOK) {
			assert.Assert(t, services[a.key()] == "", "%s is acknowledged for both operators", a.key())
			services[a.key()] = a.service
		}
	}
	return services
}

// testOutdatedChangeIsRejectedWhole sends a call with a new route and with a content of race-0's version 2 that is not the acknowledged
// one, after newer versions became active: no part of the call takes effect.
func (m *Cluster) testOutdatedChangeIsRejectedWhole(t *testing.T, acknowledged string) {
	t.Helper()
	loser := competingServices[0]
	if acknowledged == loser {
		loser = competingServices[1]
	}
	call := ModifyCall(2, nil, RouteItem("beside", "idempotent", "/beside/", "stock", 2),
		RouteItem("race-0", "idempotent", "/race-0/", loser, 2))
	for _, x := range m.Members {
		var status int
		assert.Assert(t, testfleet.Await(testTimeout, func() bool {
			status, _ = x.Modify(call)
			return isFinal(status)
		}))
		assert.Equal(t, status, http.StatusConflict)
		assert.Equal(t, x.serviceOf(t, "beside"), "")
	}
}

// serviceOf returns the destination of a route according to a member, or "" if there is no such route.
func (x *Machine) serviceOf(t *testing.T, route string) string {
	t.Helper()
	var document config.Document
	var shown string
	assert.Assert(t, testfleet.Await(testTimeout, func() bool {
		var status int
		status, shown = x.Fetch()
		return status == http.StatusOK && json.Unmarshal([]byte(shown), &document) == nil
	}), shown)
	for _, listener := range document.ListenerList {
		for _, raw := range listener.PolicyRules {
			var spec config.RouteSpec
			assert.NilError(t, json.Unmarshal(raw, &spec))
			if spec.Name == route {
				return spec.ForwardAction.Service
			}
		}
	}
	return ""
}
