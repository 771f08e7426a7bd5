package testcluster

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/controlplane"
	"cranegrade/internal/mesh/policy"
	"cranegrade/internal/mesh/topology"
	"cranegrade/internal/testfleet"
)

// policyCall is a change by one team: the policies that it sets, and those that it removes, by name and version.
func policyCall(by string, policies []policy.Policy, removed map[string]int64) []byte {
	var table []map[string]any
	for name, version := range removed {
		table = append(table, removal(name, version))
	}
	return EncodeCall(map[string]any{"By": by, "Upsert": map[string]any{"RulingList": policies}, "Remove": map[string]any{"RulingTable": table}})
}

// removal is an item to be removed, with its version.
func removal(name string, version int64) map[string]any {
	return map[string]any{"Name": name, "ConfigVersion": version}
}

// policyStatus returns the state of the policies as the leader reports it, or the zero value without an answer.
func (m *Cluster) policyStatus() (response controlplane.PolicyResponse) {
	for _, x := range m.Members {
		if x.Process == nil {
			continue
		}
		if response, err := x.api().Policy(controlplane.PolicyRequest{}); err == nil {
			return response
		}
	}
	return response
}

// awaitPolicyActive waits until the committed policy set is active, and returns it.
func (m *Cluster) awaitPolicyActive(t *testing.T) (set string) {
	t.Helper()
	var response controlplane.PolicyResponse
	assert.Assert(t, testfleet.Await(testTimeout, func() bool {
		response = m.policyStatus()
		return response.Leader != "" && !response.Rollout.IsPending()
	}), "%v", response)
	return response.Rollout.Active
}

// startTwoTeams starts a mesh in which one team owns the service stock, and another one the service orders and the host.
func startTwoTeams(t *testing.T, services ...string) *Cluster {
	t.Helper()
	m := startCluster(t, services...)
	m.awaitAcknowledged(t, m.Members, EncodeCall(map[string]any{"Upsert": map[string]any{"NamespaceList": []policy.Namespace{
		{Name: "shop", ConfigVersion: 1, Owners: []string{"ana"}, Services: []string{"orders", "later"}, Hosts: []string{Host}},
		{Name: "store", ConfigVersion: 1, Owners: []string{"bo"}, Services: []string{"stock"}},
	}}}))
	m.awaitPolicyActive(t)
	return m
}

// setPolicy sets a policy of a team.
func (m *Cluster) setPolicy(t *testing.T, members []*Machine, by string, p policy.Policy) {
	t.Helper()
	m.awaitAcknowledged(t, members, policyCall(by, []policy.Policy{p}, nil))
}

// isDecidedBy reports whether a response names a policy set.
func (r Response) isDecidedBy(set string) bool { return strings.HasSuffix(r.PolicyTrace, set) }

// awaitDecidedBy waits until a sidecar applies a policy set to a request.
func (x *Machine) awaitDecidedBy(t *testing.T, path, set string) (response Response) {
	t.Helper()
	assert.Assert(t, testfleet.Await(testTimeout, func() bool {
		response = x.Send("GET", path, "", nil)
		return response.isDecidedBy(set)
	}), "%v", response)
	return response
}

// awaitStatus waits until a sidecar answers a request with a status.
func (x *Machine) awaitStatus(t *testing.T, path string, status int) (response Response) {
	t.Helper()
	assert.Assert(t, testfleet.Await(testTimeout, func() bool {
		response = x.Send("GET", path, "", nil)
		return response.Status == status
	}), "%v", response)
	return response
}

// Two teams set policies for one route at the same time at two members: every sidecar has the same merged policy; a denied caller gets the
// name of the policy; a request in flight continues under the set that it began with; and a policy for a service that does not exist yet
// applies once it does.
func TestPoliciesOfTwoTeamsMerge(t *testing.T) {
	runParallel(t)
	m := startTwoTeams(t, "stock", "orders", "stock")
	servers, callers := []*Machine{m.Sidecars[0], m.Sidecars[2]}, m.Sidecars[1]
	set := m.testPoliciesSetTogether(t, servers, callers)
	m.testOneMergedPolicy(t, set)
	m.testCallersAreDenied(t, m.Sidecars[0], callers)
	m.testPolicyBeforeItsService(t, m.Sidecars[0], callers)
	m.testNamespacesAreRemoved(t)
	m.assertNoViolations(t)
}

// testPoliciesSetTogether sets two policies while a request is in flight, and returns the set that is active afterwards.
func (m *Cluster) testPoliciesSetTogether(t *testing.T, servers []*Machine, caller *Machine) (set string) {
	t.Helper()
	const serviceTime = 1500 * time.Millisecond // longer than the policies allow
	runs := func() (n int) {
		for _, x := range servers {
			n += m.Recorder.RunsBy(x.App.Instance)
		}
		return n
	}
	for _, x := range servers {
		x.App.SetServiceTime(serviceTime)
	}
	var inFlight sync.WaitGroup
	var held Response
	before := runs()
	inFlight.Go(func() { held = caller.Send("GET", "/read/held", "", nil) })
	assert.Assert(t, testfleet.Await(testTimeout, func() bool { return runs() > before }))
	var both sync.WaitGroup
	both.Go(func() {
		m.setPolicy(t, m.Members[:1], "ana", policy.Policy{Name: "patience", ConfigVersion: 1, Namespace: "shop", TimeoutS: 0.4, Tries: 2})
	})
	both.Go(func() {
		m.setPolicy(t, m.Members[1:2], "bo", policy.Policy{Name: "shelter", ConfigVersion: 1, Namespace: "store", TimeoutS: 0.5, Tries: 1})
	})
	both.Wait()
	set = m.awaitPolicyActive(t)
	inFlight.Wait()
	assert.Assert(t, held.Status == 200 && !held.isDecidedBy(set), "what was in flight goes on by the set that it began with: %v", held)
	var began time.Time
	var got Response
	assert.Assert(t, testfleet.Await(testTimeout, func() bool {
		began = time.Now()
		got = caller.Send("GET", "/read/short", "", nil)
		return got.isDecidedBy(set)
	}))
	took := time.Since(began)
	assert.Assert(t, got.Status != 200 && took < time.Second, "the new limit is shorter than the service time: %v after %v", got, took)
	for _, x := range servers {
		x.App.SetServiceTime(0)
	}
	return set
}

// testOneMergedPolicy checks that all sidecars of one service have the same merged policy.
func (m *Cluster) testOneMergedPolicy(t *testing.T, set string) {
	t.Helper()
	traces := map[string]bool{}
	for _, x := range m.Sidecars {
		var got Response
		assert.Assert(t, testfleet.Await(testTimeout, func() bool {
			got = x.Send("GET", "/read/x", "", nil)
			return got.Status == 200 && got.isDecidedBy(set)
		}), "%v", got)
		traces[x.setting("Service")+" "+got.PolicyTrace] = true
	}
	assert.Equal(t, len(traces), 2, "one merged policy for each service that calls: %v", traces)
}

// testCallersAreDenied denies a caller by the service of its sidecar, not by what the request claims.
func (m *Cluster) testCallersAreDenied(t *testing.T, allowed, denied *Machine) {
	t.Helper()
	m.setPolicy(t, m.Members, "bo", policy.Policy{
		Name: "private", ConfigVersion: 1, Namespace: "store",
		On: policy.Selector{Services: []string{"stock"}}, Callers: policy.CallerRules{Deny: []string{"orders"}},
	})
	m.awaitPolicyActive(t)
	got := denied.awaitStatus(t, "/read/x", http.StatusForbidden)
	assert.Assert(t, strings.Contains(got.Body, "by ruling private of store, version 1 (as service) orders may not call it"), got.Body)
	assert.Equal(t, allowed.Send("GET", "/read/x", "", nil).Status, 200)
	notices := m.policyStatus().Notices
	last := notices[len(notices)-1]
	assert.Assert(t, last.By == "bo" && last.Effect.Owners[0] == "shop" && !last.Effect.Loosens, "%v", last)
}

func (m *Cluster) testPolicyBeforeItsService(t *testing.T, denied, allowed *Machine) {
	t.Helper()
	m.setPolicy(t, m.Members, "ana", policy.Policy{
		Name: "later", ConfigVersion: 1, Namespace: "shop",
		On: policy.Selector{Services: []string{"later"}}, Callers: policy.CallerRules{Deny: []string{"stock"}},
	})
	m.awaitAcknowledged(t, m.Members, ModifyCall(9, []string{"later"}, RouteItem("later", "idempotent", "/later/", "later", 9)))
	_, err := m.AddSidecar("later")
	assert.NilError(t, err)
	denied.awaitStatus(t, "/later/", http.StatusForbidden)
	allowed.awaitStatus(t, "/later/", http.StatusOK)
}

// testNamespacesAreRemoved removes the namespaces while their route has traffic, which continues without a policy.
func (m *Cluster) testNamespacesAreRemoved(t *testing.T) {
	t.Helper()
	stop := m.startTraffic()
	removals := func(names ...string) (list []map[string]any) {
		for _, name := range names {
			list = append(list, removal(name, 5))
		}
		return list
	}
	call := func(tables map[string]any) []byte { return EncodeCall(map[string]any{"Remove": tables}) }
	status, text := m.Members[0].Modify(call(map[string]any{"NamespaceTable": removals("shop")}))
	assert.Assert(t, status == 400 && strings.Contains(text, "policy later: its namespace"), "%d %s", status, text)
	m.awaitAcknowledged(t, m.Members, call(map[string]any{
		"NamespaceTable": removals("shop", "store"),
		"RulingTable":    removals("patience", "shelter", "private", "later"),
	}))
	assert.Equal(t, m.awaitPolicyActive(t), "")
	for _, x := range m.Sidecars {
		var got Response
		assert.Assert(t, testfleet.Await(testTimeout, func() bool {
			got = x.Send("GET", "/read/x", "", nil)
			return got.Status == 200 && got.PolicyTrace == ""
		}), "%v", got)
	}
	stop()
}

// Between the two steps of a rollout a sidecar is frozen, so that the set waits; a member loses its disk, and the leader is killed. No set
// becomes active that only some sidecars have; the frozen sidecar does not apply the former policy afterwards; and a sidecar that starts
// has the active set before it is ready.
func TestPolicyRolloutUnderFaults(t *testing.T) {
	runParallel(t)
	m := startTwoTeams(t, "stock", "orders", "stock")
	frozen, other := m.Sidecars[0], m.Sidecars[1]
	m.setPolicy(t, m.Members, "bo", policy.Policy{Name: "shelter", ConfigVersion: 1, Namespace: "store", Tries: 2})
	old := m.awaitPolicyActive(t)
	frozen.awaitDecidedBy(t, "/read/x", old)
	frozen.Process.Pause()
	m.setPolicy(t, m.Members, "bo", policy.Policy{Name: "shelter", ConfigVersion: 2, Namespace: "store", Tries: 1})
	pending := m.policyStatus()
	assert.Assert(t, pending.Rollout.IsPending() && pending.Rollout.Active == old && pending.Active != nil, "%v", pending.Rollout)
	assert.Assert(t, other.Send("GET", "/read/x", "", nil).isDecidedBy(old), "it is not active before the sidecars have received it")
	leader, wiped := m.leaderAndAnother(pending.Leader)
	wiped.wipeAndRestart(t)
	m.awaitMembers(t, wiped, 3) // it is taken in again, and has what was pending
	wiped.awaitConfigHas(t, "shelter")
	leader.Kill()
	set := m.awaitPolicyActive(t)
	assert.Assert(t, set == pending.Rollout.Agreed, "%s, not %s", set, pending.Rollout.Agreed)
	assert.NilError(t, leader.Start())
	frozen.Process.Resume()
	frozen.assertNoFormerPolicy(t, set)
	// A starting sidecar has the set before it is ready, also from the member that lost its disk.
	frozen.Kill()
	assert.NilError(t, frozen.Start())
	assert.Assert(t, m.AwaitReady(testTimeout))
	got := frozen.awaitServed(t, "GET", "/read/x", "")
	assert.Assert(t, got.isDecidedBy(set), "%v", got)
	assert.Equal(t, m.policyStatus().Rollout.Active, set)
	m.assertNoViolations(t)
}

// leaderAndAnother returns the member at an address, and the last of the others.
func (m *Cluster) leaderAndAnother(leaderAddr string) (leader, another *Machine) {
	for _, x := range m.Members {
		if x.Process.Addr == leaderAddr {
			leader = x
		} else {
			another = x
		}
	}
	return leader, another
}

// awaitMembers waits until one member reports a number of reachable members.
func (m *Cluster) awaitMembers(t *testing.T, asked *Machine, count int) {
	t.Helper()
	assert.Assert(t, testfleet.Await(testTimeout, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		seen, err := topology.Collect(ctx, asked.Process.Addr)
		members := 0
		for _, x := range seen.Members {
			if x.IsMember && x.Unreachable == "" {
				members++
			}
		}
		return err == nil && members == count
	}))
}

// assertNoFormerPolicy sends requests through a sidecar until the set applies to one. Those before must be rejected or lost.
func (x *Machine) assertNoFormerPolicy(t *testing.T, set string) {
	t.Helper()
	for range 200 {
		got := x.Send("GET", "/read/x", "", nil)
		if got.isDecidedBy(set) {
			break
		}
		assert.Assert(t, got.Status == 503 && got.PolicyTrace == "" || got.Status == 0, "by a former policy: %v", got)
	}
	x.awaitDecidedBy(t, "/read/x", set)
}
