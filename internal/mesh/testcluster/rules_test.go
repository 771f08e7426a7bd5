package testcluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/controlplane"
	"cranegrade/internal/mesh/policy"
	"cranegrade/internal/mesh/topology"
	"cranegrade/internal/rig"
)

// policyCall words a call of one team: rulings that it sets, and those that it drops.
func policyCall(by string, rulings []policy.Policy, drop map[string]int64) []byte {
	var gone []map[string]any
	for n, v := range drop {
		gone = append(gone, map[string]any{"Name": n, "ConfigVersion": v})
	}
	text, _ := json.Marshal(map[string]any{"By": by, "Upsert": map[string]any{"RulingList": rulings}, "Remove": map[string]any{"RulingTable": gone}})
	return text
}

// awaitAcknowledged has a call acknowledged by a register, or by any that is up where none is named.
func (m *Cluster) awaitAcknowledged(t *testing.T, x *Machine, body []byte) {
	t.Helper()
	var status int
	var text string
	assert.Assert(t, rig.Await(testTimeout, func() bool {
		for _, r := range m.Members {
			if r.Process == nil || x != nil && r != x {
				continue
			}
			if status, text = r.Modify(body); status == 200 {
				return true
			}
		}
		return false
	}), "%d %s", status, text)
}

// policyStatus is how the rules are, by the leader's word.
func (m *Cluster) policyStatus() (t controlplane.PolicyResponse) {
	for _, r := range m.Members {
		if r.Process == nil {
			continue
		}
		resp, err := http.Post("http://"+r.Addr("ControlPlane")+"/v1/rules", "application/json", strings.NewReader("{}"))
		if status, text := readResponse(resp, err); status == 200 {
			json.Unmarshal([]byte(text), &t)
			return t
		}
	}
	return t
}

// awaitPolicyActive waits until what is agreed on binds, and gives its set.
func (m *Cluster) awaitPolicyActive(t *testing.T) string {
	t.Helper()
	var told controlplane.PolicyResponse
	assert.Assert(t, rig.Await(testTimeout, func() bool { told = m.policyStatus(); return told.Leader != "" && !told.Rollout.IsPending() }), "%v", told)
	return told.Rollout.Active
}

// startTwoTeams is a mesh whose stock is one team's and whose orders and host another's.
func startTwoTeams(t *testing.T, services ...string) *Cluster {
	m := startCluster(t, services...)
	text, _ := json.Marshal(map[string]any{"Upsert": map[string]any{"NamespaceList": []policy.Namespace{
		{Name: "shop", ConfigVersion: 1, Owners: []string{"ana"}, Services: []string{"orders", "later"}, Hosts: []string{Host}},
		{Name: "store", ConfigVersion: 1, Owners: []string{"bo"}, Services: []string{"stock"}}}}})
	m.awaitAcknowledged(t, nil, text)
	m.awaitPolicyActive(t)
	return m
}

// Two teams set rules on one route at the same moment at two registers: every line has the same merged rule, a caller that it
// keeps out is told by whose, a request that is held goes on by the set that it began with, and what comes before its service
// holds once that is there.
func TestPoliciesOfTwoTeamsMerge(t *testing.T) {
	m := startTwoTeams(t, "stock", "orders", "stock")
	stock, orders := m.Sidecars[0], m.Sidecars[1]
	m.Sidecars[0].App.SetServiceTime(1500 * time.Millisecond)
	m.Sidecars[2].App.SetServiceTime(1500 * time.Millisecond)
	var all sync.WaitGroup
	var long Response
	before := m.Recorder.RunsBy(m.Sidecars[0].App.Instance) + m.Recorder.RunsBy(m.Sidecars[2].App.Instance)
	all.Go(func() { long = orders.Send("GET", "/read/held", "", nil) })
	assert.Assert(t, rig.Await(testTimeout, func() bool {
		return m.Recorder.RunsBy(m.Sidecars[0].App.Instance)+m.Recorder.RunsBy(m.Sidecars[2].App.Instance) > before
	}))
	var both sync.WaitGroup
	both.Go(func() {
		m.awaitAcknowledged(t, m.Members[0], policyCall("ana", []policy.Policy{{Name: "patience", ConfigVersion: 1, Namespace: "shop", TimeoutS: 0.4, Tries: 2}}, nil))
	})
	both.Go(func() {
		m.awaitAcknowledged(t, m.Members[1], policyCall("bo", []policy.Policy{{Name: "shelter", ConfigVersion: 1, Namespace: "store", TimeoutS: 0.5, Tries: 1}}, nil))
	})
	both.Wait()
	set := m.awaitPolicyActive(t)
	all.Wait()
	assert.Assert(t, long.Status == 200 && !strings.HasSuffix(long.PolicyTrace, set), "what was held goes on by the set it began with: %v", long)
	began := time.Now()
	var got Response
	assert.Assert(t, rig.Await(testTimeout, func() bool {
		began = time.Now()
		got = orders.Send("GET", "/read/short", "", nil)
		return strings.HasSuffix(got.PolicyTrace, set)
	}))
	assert.Assert(t, got.Status != 200 && time.Since(began) < time.Second, "the new limit is shorter than the work: %v after %v", got, time.Since(began))
	m.Sidecars[0].App.SetServiceTime(0)
	m.Sidecars[2].App.SetServiceTime(0)
	traces := map[string]bool{}
	for _, x := range m.Sidecars {
		var told Response
		assert.Assert(t, rig.Await(testTimeout, func() bool {
			told = x.Send("GET", "/read/x", "", nil)
			return told.Status == 200 && strings.HasSuffix(told.PolicyTrace, set)
		}), "%v", told)
		traces[x.settings["Service"].(string)+" "+told.PolicyTrace] = true
	}
	assert.Equal(t, len(traces), 2, "one merged rule for each service that calls: %v", traces)
	// Who may call, by the service beside the line and not by what the caller says.
	m.awaitAcknowledged(t, nil, policyCall("bo", []policy.Policy{{Name: "private", ConfigVersion: 1, Namespace: "store", On: policy.Selector{Services: []string{"stock"}}, Callers: policy.CallerRules{Deny: []string{"orders"}}}}, nil))
	m.awaitPolicyActive(t)
	assert.Assert(t, rig.Await(testTimeout, func() bool { got = orders.Send("GET", "/read/x", "", nil); return got.Status == 403 }), "%v", got)
	assert.Assert(t, strings.Contains(got.Body, "by ruling private of store, version 1 (as service) orders may not call it"), got.Body)
	assert.Equal(t, stock.Send("GET", "/read/x", "", nil).Status, 200)
	notices := m.policyStatus().Notices
	last := notices[len(notices)-1]
	assert.Assert(t, last.By == "bo" && last.Effect.Owners[0] == "shop" && !last.Effect.Loosens, "%v", last)
	// A rule before its service; a namespace that is dropped while its route carries traffic.
	m.awaitAcknowledged(t, nil, policyCall("ana", []policy.Policy{{Name: "later", ConfigVersion: 1, Namespace: "shop", On: policy.Selector{Services: []string{"later"}}, Callers: policy.CallerRules{Deny: []string{"stock"}}}}, nil))
	m.awaitAcknowledged(t, nil, ModifyCall(9, []string{"later"}, RouteItem("later", "idempotent", "/later/", "later", 9)))
	_, err := m.AddSidecar("later")
	assert.NilError(t, err)
	assert.Assert(t, rig.Await(testTimeout, func() bool { return stock.Send("GET", "/later/", "", nil).Status == 403 }))
	assert.Assert(t, rig.Await(testTimeout, func() bool { return orders.Send("GET", "/later/", "", nil).Status == 200 }))
	stop := m.startTraffic()
	drop := func(kind string, names ...string) (l []map[string]any) {
		for _, n := range names {
			l = append(l, map[string]any{"Name": n, "ConfigVersion": 5})
		}
		return l
	}
	status, text := m.Members[0].Modify(mustJSON(map[string]any{"Remove": map[string]any{"NamespaceTable": drop("", "shop")}}))
	assert.Assert(t, status == 400 && strings.Contains(text, "ruling later: its namespace"), "%d %s", status, text)
	m.awaitAcknowledged(t, nil, mustJSON(map[string]any{"Remove": map[string]any{"NamespaceTable": drop("", "shop", "store"), "RulingTable": drop("", "patience", "shelter", "private", "later")}}))
	assert.Equal(t, m.awaitPolicyActive(t), "")
	for _, x := range m.Sidecars {
		assert.Assert(t, rig.Await(testTimeout, func() bool {
			got = x.Send("GET", "/read/x", "", nil)
			return got.Status == 200 && got.PolicyTrace == ""
		}), "%v", got)
	}
	stop()
	m.assertNoViolations(t)
}

func mustJSON(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}

// Between the two steps: a line stands still, so that the set waits; a register is wiped, the leader is killed. Nothing that is
// half told binds, the line that stood still goes by no rule that is over, and one that starts has what binds first.
func TestPolicyRolloutUnderFaults(t *testing.T) {
	m := startTwoTeams(t, "stock", "orders", "stock")
	m.awaitAcknowledged(t, nil, policyCall("bo", []policy.Policy{{Name: "shelter", ConfigVersion: 1, Namespace: "store", Tries: 2}}, nil))
	old := m.awaitPolicyActive(t)
	still, other := m.Sidecars[0], m.Sidecars[1]
	assert.Assert(t, rig.Await(testTimeout, func() bool { return strings.HasSuffix(still.Send("GET", "/read/x", "", nil).PolicyTrace, old) }))
	still.Process.Pause()
	m.awaitAcknowledged(t, nil, policyCall("bo", []policy.Policy{{Name: "shelter", ConfigVersion: 2, Namespace: "store", Tries: 1}}, nil))
	told := m.policyStatus()
	assert.Assert(t, told.Rollout.IsPending() && told.Rollout.Active == old && told.Active != nil, "%v", told.Rollout)
	assert.Assert(t, strings.HasSuffix(other.Send("GET", "/read/x", "", nil).PolicyTrace, old), "it does not bind before the lines hold it")
	var wiped, lead *Machine
	for _, r := range m.Members {
		if r.Process.Addr == told.Leader {
			lead = r
		} else {
			wiped = r
		}
	}
	wiped.Kill()
	assert.NilError(t, wiped.WipeDisk())
	assert.NilError(t, wiped.Start())
	assert.Assert(t, rig.Await(testTimeout, func() bool { // it is taken in again, and has what was told half
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		seen, err := topology.Collect(ctx, wiped.Process.Addr)
		n := 0
		for _, r := range seen.Members {
			if r.IsMember && r.Unreachable == "" {
				n++
			}
		}
		return err == nil && n == 3
	}))
	wiped.awaitConfigHas(t, "shelter")
	lead.Kill()
	set := m.awaitPolicyActive(t)
	assert.Assert(t, set == told.Rollout.Agreed, "%s, not %s", set, told.Rollout.Agreed)
	assert.NilError(t, lead.Start())
	still.Process.Resume()
	for range 200 {
		got := still.Send("GET", "/read/x", "", nil)
		assert.Assert(t, got.Status == 503 && got.PolicyTrace == "" || got.Status == 0 || strings.HasSuffix(got.PolicyTrace, set), "by a rule that is over: %v", got)
		if strings.HasSuffix(got.PolicyTrace, set) {
			break
		}
	}
	assert.Assert(t, rig.Await(testTimeout, func() bool { return strings.HasSuffix(still.Send("GET", "/read/x", "", nil).PolicyTrace, set) }))
	// One that starts has it before it is ready, and by the register that was wiped.
	still.Kill()
	assert.NilError(t, still.Start())
	assert.Assert(t, m.AwaitReady(testTimeout))
	got := still.awaitServed(t, "GET", "/read/x", "")
	assert.Assert(t, strings.HasSuffix(got.PolicyTrace, set), "%v", got)
	assert.Equal(t, fmt.Sprint(m.policyStatus().Rollout.Active), set)
	m.assertNoViolations(t)
}
