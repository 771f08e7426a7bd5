package testcluster

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/testfleet"
)

// diskLossTest is a mesh whose members are lost one after the other, always within the tolerated number of losses.
type diskLossTest struct {
	cluster   *Cluster
	relay     *testfleet.Relay
	observer  *observer
	operator  *Operator
	version   int
	bodyByKey map[string]string // the answer to each key
}

func newDiskLossTest(t *testing.T) *diskLossTest {
	t.Helper()
	m, relay := startRelayedCluster(t, 3, 1, "stock", "orders")
	r := &diskLossTest{
		cluster: m, relay: relay, observer: newObserver(), operator: m.Operator(0), version: 1,
		bodyByKey: map[string]string{},
	}
	r.observer.recordInitialRoutes()
	return r
}

// writeDurable makes a change and a keyed request, whose results must survive.
func (r *diskLossTest) writeDurable(t *testing.T, at ...*Machine) {
	t.Helper()
	r.version++
	key := fmt.Sprint("kept-", r.version)
	r.bodyByKey[key] = r.cluster.Sidecars[0].awaitServed(t, "POST", "/send/x", key).Body
	r.observer.awaitAcknowledged(t, r.operator, newRouteChange(key, "kept", r.version, fmt.Sprintf("/kept-%d/", r.version)), at...)
}

// assertSurvives checks that members recover without help: each has all acknowledged changes, new changes are possible, and repeated keys
// get the first answers, without a second run.
func (r *diskLossTest) assertSurvives(t *testing.T, at ...*Machine) {
	t.Helper()
	for _, x := range at {
		r.observer.awaitFetched(t, r.operator, x)
	}
	r.writeDurable(t, at...)
	for key, body := range r.bodyByKey {
		assert.Equal(t, r.cluster.Sidecars[1].awaitServed(t, "POST", "/send/x", key).Body, body)
	}
	r.observer.check(t)
	r.cluster.assertNoViolations(t)
}

// awaitMembersComplete waits until some members, with their present disks, are the voters, and each has everything that the leader has.
func (r *diskLossTest) awaitMembersComplete(t *testing.T, of ...*Machine) {
	t.Helper()
	assert.Assert(t, testfleet.Await(testTimeout, func() bool {
		lead := r.cluster.awaitLeader(t, of...).statusPastRelay()
		if lead == nil || len(lead.Members) != len(of) {
			return false
		}
		ids := map[uint64]bool{}
		for _, m := range lead.Members {
			ids[m.Id] = true
		}
		for _, x := range of {
			if s := x.statusPastRelay(); s == nil || !ids[s.MemberId] || s.IsNonMember || s.AppliedIndex < lead.AppliedIndex {
				return false
			}
		}
		return true
	}), "the members are not complete")
}

// wipeAndRestart kills a member, wipes its disk and starts it again.
func (x *Machine) wipeAndRestart(t *testing.T) {
	t.Helper()
	x.Kill()
	assert.NilError(t, x.WipeDisk())
	assert.NilError(t, x.Start())
}

// diskLossDelay is the time from the SIGTERM of one member to the loss of another member's disk.
const diskLossDelay = 50 * time.Millisecond

// terminate sends SIGTERM to a member, and returns a function that waits for its end.
func (x *Machine) terminate(t *testing.T) (ended func()) {
	t.Helper()
	p := x.Process
	assert.NilError(t, p.Cmd.Process.Signal(syscall.SIGTERM))
	return func() {
		p.Stop()
		x.Process = nil
	}
}

// A member gets SIGTERM, and starts again with its disk; 50 ms after the signal another member loses its disk.
func TestDiskLossDuringRestart(t *testing.T) {
	runParallel(t)
	r := newDiskLossTest(t)
	restarts := r.cluster.awaitLeader(t)
	stays := r.cluster.membersExcept(restarts)
	r.writeDurable(t, restarts)
	ended := restarts.terminate(t)
	time.Sleep(diskLossDelay) // this is the fault, not a wait
	stays[0].wipeAndRestart(t)
	ended()
	assert.NilError(t, restarts.Start())
	r.assertSurvives(t, r.cluster.Members...)
}

// One member loses its disk, then another is replaced by one at a new address, then the third loses its disk, each after the previous one
// is a voter again. All data on the remaining disks was then written there by replication alone.
func TestDiskLossesAroundReplacement(t *testing.T) {
	runParallel(t)
	r := newDiskLossTest(t)
	a, b, c := r.cluster.Members[0], r.cluster.Members[1], r.cluster.Members[2]
	r.writeDurable(t, a)
	a.wipeAndRestart(t)
	r.awaitMembersComplete(t, a, b, c)
	r.writeDurable(t, b)
	b.Kill()
	added, err := r.cluster.AddMember(false)
	assert.NilError(t, err)
	r.awaitMembersComplete(t, a, c, added)
	r.writeDurable(t, c)
	c.wipeAndRestart(t)
	r.awaitMembersComplete(t, a, c, added)
	r.assertSurvives(t, a, c, added)
}

// The leader is killed while the replacement of another member catches up over a slow link, and returns with its disk.
func TestLeaderKilledDuringReplacement(t *testing.T) {
	runParallel(t)
	r := newDiskLossTest(t)
	lead := r.cluster.awaitLeader(t)
	stays, gone := r.cluster.membersExcept(lead)[0], r.cluster.membersExcept(lead)[1]
	r.cluster.addFillerRoutes(t, r.operator, lead, 300)
	r.writeDurable(t, lead)
	gone.Kill()
	added := r.cluster.ip(firstMemberIP + len(r.cluster.Members)) // where the next one will be
	for _, x := range []*Machine{lead, stays} {
		r.relay.Set(testfleet.Link{Rate: 20 << 10}, testfleet.Direction{From: x.IP, To: added})
	}
	fresh, err := r.cluster.AddMember(false)
	assert.NilError(t, err)
	assert.Equal(t, fresh.IP, added)
	assert.Assert(t, testfleet.Await(testTimeout, func() bool {
		return r.relay.BytesPending(lead.PathTo(fresh)) > 0 && r.relay.BytesForwarded(lead.PathTo(fresh)) > 16<<10
	}),
		"the replacement is told nothing")
	lead.Kill()
	for n := range 20 { // the other one and the replacement are asked meanwhile
		r.observer.fetch(r.operator, []*Machine{stays, fresh}[n%2])
	}
	assert.NilError(t, lead.Start())
	r.relay.Heal()
	r.awaitMembersComplete(t, lead, stays, fresh)
	r.assertSurvives(t, lead, stays, fresh)
}

// A member leaves for good while its successor is running; 50 ms after its SIGTERM another member loses its disk.
func TestDiskLossDuringDeparture(t *testing.T) {
	t.Parallel()
	for _, leads := range []bool{true, false} {
		t.Run(fmt.Sprint("the leader leaves: ", leads), func(t *testing.T) {
			runParallel(t)
			r := newDiskLossTest(t)
			leaves := r.cluster.awaitLeader(t)
			stays := r.cluster.membersExcept(leaves)
			if !leads {
				leaves, stays = stays[0], []*Machine{leaves, stays[1]}
			}
			added, err := r.cluster.AddMember(false)
			assert.NilError(t, err)
			assert.Assert(t, testfleet.Await(testTimeout, func() bool {
				s := added.statusPastRelay()
				return s != nil && s.AppliedIndex > 0
			}), "the successor hears nothing")
			r.writeDurable(t, leaves)
			ended := leaves.terminate(t)
			time.Sleep(diskLossDelay) // this is the fault, not a wait
			stays[0].wipeAndRestart(t)
			ended()
			r.assertSurvives(t, stays[0], stays[1], added)
		})
	}
}
