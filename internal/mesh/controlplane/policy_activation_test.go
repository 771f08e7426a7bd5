package controlplane

import (
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/replica"
	"cranegrade/internal/mesh/transport/wire"
)

const policyUpdate = `{"Upsert":{"NamespaceList":[{"Name":"team","ConfigVersion":1,"Owners":["ana"],"Services":["stock"]}]}}`

// newTestActivator returns an activator at a leader that knows one sidecar, with a policy set committed.
func newTestActivator(t *testing.T) (*policyActivator, soloLeader) {
	t.Helper()
	leader := newSoloLeader(t)
	leader.modify(t, policyUpdate)
	record := directory.Record{Addr: "10.0.0.9:7001", Node: "sidecar-1", Service: "stock"}
	leader.MergeRecords(leader.clock.now(), []directory.Record{record}, replica.FromSidecar)
	survey := &surveyor{running: true, status: map[string]*wire.StatusT{}}
	activator := &policyActivator{log: zerolog.Nop(), clock: leader.clock, replica: leader.Replica, survey: survey, self: testAddress}
	activator.tick(leader.clock.now())
	return activator, leader
}

func TestPolicySetWaitsForSidecars(t *testing.T) {
	activator, leader := newTestActivator(t)
	committed := leader.State().Policy.Rollout.Agreed
	assert.Assert(t, committed != "")
	for name, status := range map[string]*wire.StatusT{"silent": nil, "holds an older set": {CommittedPolicy: "older"}} {
		t.Run(name, func(t *testing.T) {
			activator.survey.status["10.0.0.9:7001"] = status
			activator.activate()
			leader.ProcessReady()
			assert.Assert(t, strings.Contains(activator.pending.waitingFor, "sidecar-1"), activator.pending.waitingFor)
			assert.Equal(t, leader.State().Policy.Rollout.Active, "")
		})
	}
	activator.survey.status["10.0.0.9:7001"] = &wire.StatusT{CommittedPolicy: committed}
	activator.activate()
	leader.ProcessReady()
	assert.Equal(t, leader.State().Policy.Rollout.Active, committed)
	activator.tick(leader.clock.now())
	assert.Equal(t, activator.pending, pendingActivation{})
}

// A pending activation of an earlier term is discarded: the time to wait for sidecars starts again.
func TestPendingActivationBelongsToATerm(t *testing.T) {
	activator, leader := newTestActivator(t)
	activator.pending.term--
	activator.pending.waitingFor = "earlier"
	activator.tick(leader.clock.now() + time.Second)
	assert.Equal(t, activator.pending.term, leader.Term())
	assert.Equal(t, activator.pending.waitingFor, "")
}

func TestPolicyResponse(t *testing.T) {
	activator, leader := newTestActivator(t)
	var got PolicyResponse
	activator.answer(PolicyRequest{}, func(result apiResult[PolicyResponse]) {
		assert.NilError(t, result.err)
		got = result.response
	})
	leader.ProcessReady()
	assert.Equal(t, got.Leader, testAddress)
	assert.Equal(t, got.Rollout, leader.State().Policy.Rollout)
	assert.Assert(t, got.Active != nil && got.Notices != nil)
}
