package replica

import (
	"encoding/binary"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// newSettledCluster is a cluster with a leader that has applied an entry of its own term, and that leader.
func newSettledCluster(t *testing.T) (*cluster, *clusterNode) {
	t.Helper()
	c := newCluster(1, 0)
	return c, c.awaitLeader(t, nil)
}

// awaitLeader lets time pass until a replica other than the one before leads, and may judge calls.
func (c *cluster) awaitLeader(t *testing.T, before *clusterNode) *clusterNode {
	t.Helper()
	for end := c.now + time.Minute; c.now < end; c.step(time.Millisecond) {
		if n := c.leader(); n != nil && n != before && n.replica.IsReadyLeader() {
			return n
		}
	}
	t.Fatal("nobody leads")
	return nil
}

// A leader that is cut off confirms no read, and what it has proposed is not taken for agreed on once another's entry stands there.
func TestIsolatedLeaderServesNoRead(t *testing.T) {
	c, old := newSettledCluster(t)
	c.isolate(old)
	answers := 0
	old.call(func(r *Replica) {
		r.Fetch(c.now, func(_ config.Document, ok bool) {
			answers++
			assert.Assert(t, !ok)
		})
	})
	c.awaitLeader(t, old)
	c.heal()
	c.run(2 * time.Second)
	assert.Equal(t, answers, 1)
}

// What a leader that is cut off has proposed is not known to be agreed on, also where another leader's entry comes to stand at its
// index.
func TestOvertakenProposalIsUnknown(t *testing.T) {
	c, old := newSettledCluster(t)
	c.isolate(old)
	answers := 0
	old.call(func(r *Replica) {
		for range 3 {
			assert.Assert(t, r.Propose(c.now, leaseChange("old"), func(_ Outcome, known bool) {
				answers++
				assert.Assert(t, !known)
			}))
		}
	})
	next := c.awaitLeader(t, old)
	next.call(func(r *Replica) {
		for range 3 {
			assert.Assert(t, r.Propose(c.now, leaseChange("next"), func(_ Outcome, known bool) { assert.Assert(t, known) }))
		}
	})
	c.run(time.Second)
	c.heal()
	c.run(2 * time.Second)
	assert.Assert(t, answers > 0)
	assert.Equal(t, old.replica.State().KeyLeases.Leases()[0].Holder, "next")
}

// leaseChange is a claim on one key.
func leaseChange(holder string) []byte {
	return EncodeChange(ChangeKeyLeases, &wire.KeyLeaseRequestsT{List: []*wire.KeyLeaseRequestT{{Key: "k", Token: holder, Holder: holder, WindowUs: time.Hour.Microseconds()}}})
}

// A key is held for the rest of its window by a state that was read back from a snapshot.
func TestKeysInSnapshot(t *testing.T) {
	const window = time.Minute
	claim := func(ticket string) []byte {
		return EncodeChange(ChangeKeyLeases, &wire.KeyLeaseRequestsT{List: []*wire.KeyLeaseRequestT{{Key: "k", Token: ticket, Holder: "h", WindowUs: window.Microseconds()}}})
	}
	granted := func(s *State, at time.Duration, ticket string) bool {
		return s.Apply(raft.Entry{LogTime: at, Data: claim(ticket)}).LeaseResults[0].Granted
	}
	var before, after State
	assert.NilError(t, before.Decode(nil))
	assert.Assert(t, granted(&before, time.Second, "a"))
	assert.NilError(t, after.Decode(before.Encode()))
	for _, s := range []*State{&before, &after} {
		assert.Assert(t, !granted(s, time.Second+window, "b"))
		assert.Assert(t, granted(s, time.Second+window+1, "b"))
	}
}

// A new leader judges no call before it has applied all that leaders before it may have had agreed on.
func TestNewLeaderWaitsForEarlierTerms(t *testing.T) {
	c, old := newSettledCluster(t)
	c.isolate(old)
	var next *clusterNode
	for ; next == nil || next == old; next = c.leader() {
		assert.Assert(t, c.now < time.Minute)
		c.step(100 * time.Microsecond)
	}
	assert.Assert(t, !next.replica.IsReadyLeader())
	status, last := 0, next.replica.raft.LastIndex()
	next.call(func(r *Replica) {
		r.Modify(c.now, []byte(`{"Upsert":{"UpstreamGroups":[{"Name":"a","ConfigVersion":1}]}}`), func(reply Reply) { status = reply.Status })
	})
	assert.Equal(t, next.replica.raft.LastIndex(), last)
	c.run(time.Second)
	assert.Equal(t, status, http.StatusOK)
}

// A follower's read waits until what the leader named is applied.
func TestReadWaitsForItsIndex(t *testing.T) {
	r, e := replicaA(t)
	receiveHeartbeat(r, 0, "b", 2)
	answers := 0
	r.LinearizableRead(time.Millisecond, func(ok bool) {
		answers++
		assert.Assert(t, ok)
	})
	e.callbacks[0](Reply{Status: http.StatusOK, Body: binary.BigEndian.AppendUint64(nil, 3)})
	receiveHeartbeat(r, 2*time.Millisecond, "b", 2)
	assert.Equal(t, answers, 0)
	var entries []raft.Entry
	for index := uint64(2); index <= 3; index++ {
		entries = append(entries, raft.Entry{Index: index, Term: 2})
	}
	r.Step(3*time.Millisecond, raft.Message{Kind: raft.AppendEntries, From: founderID("b"), To: r.self.ID, Term: 2, Index: 1, LogTerm: 1, Entries: entries, Commit: 2})
	r.ProcessReady()
	assert.Equal(t, answers, 0)
	r.Step(4*time.Millisecond, raft.Message{Kind: raft.AppendEntries, From: founderID("b"), To: r.self.ID, Term: 2, Index: 3, LogTerm: 2, Commit: 3})
	r.ProcessReady()
	assert.Equal(t, answers, 1)
}

// fullDisk is an Environment whose disk takes nothing while it is full.
type fullDisk struct {
	recordingEnvironment
	full  bool
	saved []raft.Ready
}

func (e *fullDisk) Save(ready raft.Ready, _ uint64) bool {
	if !e.full {
		e.saved = append(e.saved, ready)
	}
	return !e.full
}

// What the disk did not take is saved anew, and nothing that rests on it is sent before.
func TestUnsavedReadyIsSavedAgain(t *testing.T) {
	r, _ := replicaA(t)
	e := &fullDisk{full: true}
	r.env = e
	r.Step(0, raft.Message{Kind: raft.AppendEntries, From: founderID("b"), To: r.self.ID, Term: 2, Index: 1, LogTerm: 1, Entries: []raft.Entry{{Index: 2, Term: 2}}})
	for range 3 {
		assert.Assert(t, !r.ProcessReady())
		assert.Equal(t, len(e.sent), 0)
	}
	e.full = false
	assert.Assert(t, r.ProcessReady())
	assert.Equal(t, len(e.saved), 1)
	assert.Equal(t, len(e.saved[0].Entries), 1)
	assert.Equal(t, e.saved[0].HardState.Term, uint64(2))
	assert.Assert(t, len(e.sent) == 1 && e.sent[0].Kind == raft.AppendResponse && e.sent[0].Index == 2, "%v", e.sent)
}

// A replica whose owner hangs is in touch with nobody.
func TestHasQuorumContact(t *testing.T) {
	assert.Assert(t, !HasQuorumContact(0, 0))
	assert.Assert(t, HasQuorumContact(time.Second, time.Second+stallTimeout-1))
	assert.Assert(t, !HasQuorumContact(time.Second, time.Second+stallTimeout))
}

// A replica that a maintenance order has out gives the lead away and sends sidecars elsewhere, until it is let in again.
func TestMaintenanceEndsQuorumContact(t *testing.T) {
	c, leader := newSettledCluster(t)
	step := func(kind byte, text string) {
		c.leader().call(func(r *Replica) {
			assert.Assert(t, r.Propose(c.now, EncodeChange(ChangeMaintenance, &wire.MaintenanceChangeT{Kind: kind, Json: []byte(text)}), func(o Outcome, known bool) {
				assert.Assert(t, known)
				assert.NilError(t, o.Err)
			}))
		})
		c.run(time.Second)
	}
	assert.Assert(t, leader.replica.QuorumContact() > 0)
	step(MaintenanceOrder, fmt.Sprintf(`{"id":"o","machines":[%q],"by":"ana"}`, leader.address))
	assert.Assert(t, !leader.replica.InMaintenance())
	step(MaintenanceUpdate, `{"id":"o","step":"draining","text":"-"}`)
	assert.Assert(t, leader.replica.InMaintenance())
	assert.Equal(t, leader.replica.QuorumContact(), time.Duration(0))
	assert.Assert(t, c.leader() != leader)
	outs := leader.replica.State().Maintenance.MachinesMessage()
	assert.Equal(t, len(codec.Encode(outs)) > 0 && outs.List[0].Addr == leader.address, true)
	step(MaintenanceUpdate, `{"id":"o","step":"returning","text":"-"}`)
	assert.Assert(t, !leader.replica.InMaintenance())
	assert.Assert(t, leader.replica.QuorumContact() > 0)
}
