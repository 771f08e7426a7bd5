package raft

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// modelWithVersion returns a model whose first member leads, and whose log records that all members speak the current protocol version.
func modelWithVersion(t *testing.T) *modelState {
	t.Helper()
	model := modelWithLeader(t, 3)
	for range 3 {
		tick(t, model, 0)
		deliverAll(t, model)
	}
	_, index := model.nodes[0].raft.Members()
	assert.Assert(t, index > 1 && model.nodes[1].raft.AppliedIndex() >= index)
	return model
}

// modelWithLearner returns a model whose first member leads, with a learner of ID 4 at the given address that has asked to join and has
// caught up.
func modelWithLearner(t *testing.T, addr string) *modelState {
	t.Helper()
	model := modelWithVersion(t)
	addLearner(t, model, 0, Member{ID: 4, Addr: addr})
	return model
}

// addLearner makes a learner with an empty disk join the leader at the given position and catch up. Messages to and from other members
// are lost.
func addLearner(t *testing.T, model *modelState, leader int, learner Member) {
	t.Helper()
	member := &testMember{self: learner}
	member.start()
	model.nodes = append(model.nodes, member)
	model.network = append(model.network, Message{
		Kind: JoinRequest, From: learner.ID, To: model.nodes[leader].self.ID, Addr: learner.Addr, ProtocolVersion: ProtocolVersion,
	})
	deliverBetween(t, model, model.nodes[leader].self.ID, learner.ID)
}

// deliverBetween delivers all messages in flight between two members, and loses all others.
func deliverBetween(t *testing.T, model *modelState, a, b ID) {
	t.Helper()
	var others []ID
	for _, member := range model.nodes {
		if id := member.self.ID; id != a && id != b {
			others = append(others, id)
		}
	}
	deliverAllExcept(t, model, others...)
}

// tick lets a heartbeat interval pass at one member.
func tick(t *testing.T, model *modelState, i int) {
	t.Helper()
	model.nodes[i].now += testHeartbeatInterval
	model.nodes[i].raft.Tick(model.nodes[i].now)
	assert.NilError(t, model.processReady(i, noCrash, modelFaults{}))
}

// electSecond makes the second and third member lose contact with the first, and the third elect the second. All other messages are lost.
func electSecond(t *testing.T, model *modelState) {
	t.Helper()
	model.network = nil
	isolateFirst(t, model)
	for len(model.network) > 0 && !model.nodes[1].raft.IsLeader() {
		deliverNext(t, model)
	}
	assert.Assert(t, model.nodes[1].raft.IsLeader())
	model.network = nil
}

// acknowledge delivers to the leader a member's AppendResponse for a heartbeat round, which acknowledges the log up to an index.
func acknowledge(leader *testMember, from ID, index, round uint64) {
	leader.raft.Step(leader.now, Message{
		Kind: AppendResponse, From: from, To: leader.self.ID, Term: leader.raft.Term(), ProtocolVersion: ProtocolVersion,
		Index: index, HeartbeatRound: round,
	})
}

// requestLeave delivers a member's LeaveRequest to the leader. It returns the leader's Ready and the heartbeat round that it began.
func requestLeave(leader *testMember, from ID) (ready Ready, round uint64) {
	leader.raft.Step(leader.now, Message{
		Kind: LeaveRequest, From: from, To: leader.self.ID, Term: leader.raft.Term(), ProtocolVersion: ProtocolVersion, Leaving: true,
	})
	ready = leader.raft.Ready()
	return ready, ready.MessagesBeforeSave[0].HeartbeatRound
}

// sentKinds returns the kinds of the messages in a Ready to one receiver.
func sentKinds(ready Ready, to ID) (kinds []MessageKind) {
	for _, m := range slices.Concat(ready.MessagesBeforeSave, ready.MessagesAfterSave) {
		if m.To == to {
			kinds = append(kinds, m.Kind)
		}
	}
	return kinds
}

// A leader does not change the membership before an entry of its own term is committed, even if a learner has caught up.
func TestMembershipChangeWaitsForOwnTerm(t *testing.T) {
	model := modelWithVersion(t)
	electSecond(t, model)
	second := model.nodes[1].raft
	_, before := second.Members()
	addLearner(t, model, 1, Member{ID: 4, Addr: "r3"})
	tick(t, model, 1)
	deliverBetween(t, model, 2, 4)
	tick(t, model, 1)
	_, index := second.Members()
	assert.Equal(t, index, before, "the configuration changed before an entry of the leader's term was committed")

	tick(t, model, 1)
	deliverAllExcept(t, model, 1)
	tick(t, model, 1)
	members, _ := second.Members()
	assert.Assert(t, containsMember(members, 4), "the learner is not a voter although an entry of the leader's term is committed")
}

// A change begins only once the previous configuration is committed, including the final configuration of a joint change.
func TestMembershipChangeWaitsForPreviousChange(t *testing.T) {
	model := modelWithLearner(t, "r2")
	addLearner(t, model, 0, Member{ID: 5, Addr: "r3"})
	first := model.nodes[0].raft
	tick(t, model, 0)
	assert.Assert(t, first.log.configuration.isJoint())
	for len(model.network) > 0 && first.log.configuration.isJoint() {
		deliverNext(t, model)
	}
	deliverBetween(t, model, 1, 5) // so that the other learner catches up
	_, index := first.Members()
	assert.Assert(t, !first.log.configuration.isJoint() && index > first.AppliedIndex())
	tick(t, model, 0)
	_, now := first.Members()
	assert.Equal(t, now, index, "a change began before the final configuration of the previous one was committed")
}

// The final configuration of a joint change is appended only once the joint entry is committed, not when an earlier entry is.
func TestJointChangeCompletedOnceCommitted(t *testing.T) {
	model := modelWithLearner(t, "r3")
	first := model.nodes[0].raft
	index, term, ok := first.Propose(model.nodes[0].now, []byte("x"))
	assert.Assert(t, ok)
	tick(t, model, 0)
	assert.Assert(t, first.log.configuration.isJoint())
	model.network = nil
	first.Step(model.nodes[0].now, Message{Kind: AppendResponse, From: 2, To: 1, Term: term, Index: index, ProtocolVersion: ProtocolVersion})
	assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
	assert.Equal(t, first.AppliedIndex(), index)
	assert.Assert(t, first.log.configuration.isJoint() && first.LastIndex() == index+1)
}

// When a configuration entry is truncated from the log, the previous configuration is in force again.
func TestTruncatedConfigurationReverted(t *testing.T) {
	model := modelWithLearner(t, "r3")
	first := model.nodes[0].raft
	_, before := first.Members()
	tick(t, model, 0)
	model.network = nil
	members, _ := first.Members()
	assert.Assert(t, containsMember(members, 4))
	electSecond(t, model)
	for range 2 {
		tick(t, model, 1)
		deliverAllExcept(t, model, 4)
	}
	members, index := first.Members()
	assert.Assert(t, index == before && len(members) == 3 && containsMember(members, 3) && !first.log.configuration.isJoint())
}

// If a learner has caught up, a leaving member is granted leave only once the learner has replaced it.
func TestLeaveWaitsForReplacement(t *testing.T) {
	model := modelWithLearner(t, "r4")
	second := model.nodes[1].raft
	second.BeginLeave(model.nodes[1].now)
	assert.NilError(t, model.processReady(1, noCrash, modelFaults{}))
	deliverAll(t, model)
	assert.Assert(t, !second.MayLeave() && !second.IsNonMember())
	for range 4 {
		tick(t, model, 0)
		deliverAll(t, model)
	}
	assert.Assert(t, second.MayLeave() && second.IsNonMember())
}

// A leaving member is granted leave only once the remaining members have answered since its request: one of them may have lost its disk
// before.
func TestLeaveWaitsForResponses(t *testing.T) {
	model := modelWithLeader(t, 3)
	first := model.nodes[0]
	first.raft.BroadcastCommit(first.now)
	assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
	deliverAll(t, model)
	ready, round := requestLeave(first, 2)
	assert.Assert(t, !slices.Contains(sentKinds(ready, 2), LeaveGranted))
	acknowledge(first, 3, first.raft.LastIndex(), round)
	assert.Assert(t, slices.Contains(sentKinds(first.raft.Ready(), 2), LeaveGranted))
}

// A leaving member is not granted leave while a membership change is in progress.
func TestLeaveWaitsForMembershipChange(t *testing.T) {
	model := modelWithLearner(t, "r3")
	first := model.nodes[0]
	tick(t, model, 0)
	assert.Assert(t, first.raft.log.configuration.isJoint())
	_, round := requestLeave(first, 2)
	for _, id := range []ID{3, 4} { // they have everything committed, but not the entry of the change
		acknowledge(first, id, first.raft.AppliedIndex(), round)
	}
	assert.Assert(t, !slices.Contains(sentKinds(first.raft.Ready(), 2), LeaveGranted))
}

// What a member has acknowledged beyond the commit index does not count once it was granted leave. Otherwise the entry would be committed
// as soon as the leader has saved it.
func TestLeaveCapsAcknowledgementAtCommit(t *testing.T) {
	model := modelWithLeader(t, 3)
	first := model.nodes[0]
	index, _, ok := first.raft.Propose(first.now, []byte("x"))
	assert.Assert(t, ok)
	first.raft.Flush()
	unsaved := first.raft.Ready()
	acknowledge(first, 2, index, 0)
	_, round := requestLeave(first, 2)
	acknowledge(first, 3, index-1, round)
	assert.Assert(t, slices.Contains(sentKinds(first.raft.Ready(), 2), LeaveGranted))
	first.raft.MarkSaved(unsaved)
	first.raft.Ready()
	assert.Equal(t, first.raft.AppliedIndex(), index-1, "committed an entry that is only on the leader's disk and that of a leaving member")
}

// A member ignores messages for a former member at its address: the sender's assumptions about the receiver's log are wrong.
func TestMessageForFormerMemberIgnored(t *testing.T) {
	model := modelWithLeader(t, 3)
	second := model.nodes[1].raft
	term := second.Term()
	for _, kind := range []MessageKind{AppendEntries, PreVote, RequestVote, InstallSnapshot, TimeoutNow} {
		second.Step(model.nodes[1].now, Message{Kind: kind, From: 1, To: 9, Term: term + 1, Index: second.LastIndex(), LogTerm: term})
		ready := second.Ready()
		assert.Assert(t, second.Term() == term && len(ready.MessagesAfterSave) == 0 && !ready.MustSync(), "kind %d", kind)
	}
}

// A sole voter leads as soon as it votes for itself. It sends no message of that term before the term is on disk: after a crash it could
// lead in the same term again.
func TestSoleVoterSavesItsTermFirst(t *testing.T) {
	model := newModel(1)
	only := model.nodes[0].raft
	only.Tick(3 * testElectionTimeout)
	assert.Assert(t, only.IsLeader())
	only.Step(3*testElectionTimeout, Message{Kind: JoinRequest, From: 2, To: 1, Addr: "r2", ProtocolVersion: ProtocolVersion})
	ready := only.Ready()
	assert.Assert(t, ready.HardState != nil && len(ready.MessagesBeforeSave) == 0 && len(sentKinds(ready, 2)) > 0)
}

// A learner becomes a voter only once it has all entries that were committed at the last regular heartbeat. With an empty log it could not
// help to commit anything if another disk were lost.
func TestLearnerCatchesUpFirst(t *testing.T) {
	model := modelWithVersion(t)
	first := model.nodes[0].raft
	first.Step(model.nodes[0].now, Message{Kind: JoinRequest, From: 4, To: 1, Addr: "r3", ProtocolVersion: ProtocolVersion})
	tick(t, model, 0)
	tick(t, model, 0)
	members, _ := first.Members()
	assert.Assert(t, !containsMember(members, 4))
}

// A leader that steps down completes its pending reads as not confirmed, so that no caller waits forever.
func TestReadsRejectedOnStepDown(t *testing.T) {
	model := modelWithLeader(t, 3)
	first := model.nodes[0]
	assert.Assert(t, first.raft.ReadIndex(first.now, 7))
	first.raft.Step(first.now, Message{Kind: AppendEntries, From: 2, To: 1, Term: first.raft.Term() + 1, ProtocolVersion: ProtocolVersion})
	assert.DeepEqual(t, first.raft.Ready().ReadStates, []ReadState{{RequestID: 7}})
}

// A read is confirmed by a heartbeat round that began after the request. Responses to an earlier round do not prove that no other member
// has become leader since.
func TestReadNeedsLaterHeartbeatRound(t *testing.T) {
	model := modelWithLeader(t, 3)
	first := model.nodes[0]
	first.raft.BroadcastCommit(first.now)
	round := first.raft.Ready().MessagesBeforeSave[0].HeartbeatRound
	assert.Assert(t, first.raft.ReadIndex(first.now, 7))
	acknowledge(first, 2, first.raft.LastIndex(), round)
	assert.Equal(t, len(first.raft.Ready().ReadStates), 0)
	acknowledge(first, 2, first.raft.LastIndex(), round+1)
	assert.DeepEqual(t, first.raft.Ready().ReadStates, []ReadState{{RequestID: 7, Index: first.raft.AppliedIndex()}})
}

// A read is confirmed by a majority of all members, not by a single response.
func TestReadNeedsQuorum(t *testing.T) {
	model := modelWithLeader(t, 5)
	first := model.nodes[0]
	assert.Assert(t, first.raft.ReadIndex(first.now, 7))
	round := first.raft.Ready().MessagesBeforeSave[0].HeartbeatRound
	acknowledge(first, 2, first.raft.LastIndex(), round)
	assert.Equal(t, len(first.raft.Ready().ReadStates), 0)
	acknowledge(first, 3, first.raft.LastIndex(), round)
	assert.Equal(t, len(first.raft.Ready().ReadStates), 1)
}

// A leader counts itself towards the majority for an entry only once the entry is on its own disk.
func TestLeaderCountsItselfOnceSaved(t *testing.T) {
	model := modelWithLeader(t, 3)
	first := model.nodes[0]
	index, _, ok := first.raft.Propose(first.now, []byte("x"))
	assert.Assert(t, ok)
	first.raft.Flush()
	ready := first.raft.Ready()
	acknowledge(first, 2, index, 0)
	first.raft.Ready()
	assert.Equal(t, first.raft.AppliedIndex(), index-1)
	first.raft.MarkSaved(ready)
	first.raft.Ready()
	assert.Equal(t, first.raft.AppliedIndex(), index)
}

// A member that is sent a snapshot acknowledges its log up to the commit index only: later entries may conflict with the leader's log.
func TestSnapshotAcknowledgedUpToCommit(t *testing.T) {
	model := modelWithLeader(t, 3)
	first := model.nodes[0]
	first.raft.Propose(first.now, []byte("not replicated"))
	assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
	committed := first.raft.AppliedIndex()
	members, _ := first.raft.Members()
	snapshot := Snapshot{Index: 1, Term: 1, ConfigurationIndex: 1, Members: members}
	for _, kind := range []MessageKind{InstallSnapshot, SnapshotChunk} {
		first.raft.Step(first.now, Message{Kind: kind, From: 2, To: 1, Term: first.raft.Term() + 1, Snapshot: &snapshot})
		sent := first.raft.Ready().MessagesAfterSave
		assert.Assert(t, len(sent) == 1 && sent[0].Kind == AppendResponse && !sent[0].Reject)
		assert.Assert(t, sent[0].Index == committed && committed < first.raft.LastIndex())
	}
}

// A follower acknowledges and commits only entries that it has compared with the leader's log. Its later entries may be from another
// leader, even if the leader's commit index is beyond them.
func TestOnlyComparedEntriesAcknowledged(t *testing.T) {
	model := modelWithLeader(t, 3)
	first := model.nodes[0]
	first.raft.Propose(first.now, []byte("not replicated"))
	assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
	committed, last, term := first.raft.AppliedIndex(), first.raft.LastIndex(), first.raft.Term()
	assert.Assert(t, committed < last)
	first.raft.Step(first.now, Message{
		Kind: AppendEntries, From: 2, To: 1, Term: term + 1, Index: committed, LogTerm: term, Commit: last, ProtocolVersion: ProtocolVersion,
	})
	sent := first.raft.Ready().MessagesAfterSave
	assert.Assert(t, len(sent) == 1 && sent[0].Kind == AppendResponse && !sent[0].Reject)
	assert.Equal(t, sent[0].Index, committed)
	assert.Equal(t, first.raft.AppliedIndex(), committed)
}

// Which log is more up to date is decided by the last term, and by the length if the terms are equal (Raft paper, section 5.4.1).
func TestLogIsUpToDate(t *testing.T) {
	l := newRaftLog(Snapshot{Index: 1, Term: 1}, []Entry{{Index: 2, Term: 1}, {Index: 3, Term: 2}}, nil)
	for _, test := range []struct {
		name string
		last position
		want bool
	}{
		{"the same", position{3, 2}, true},
		{"longer", position{4, 2}, true},
		{"shorter", position{2, 2}, false},
		{"longer, of an earlier term", position{9, 1}, false},
		{"shorter, of a later term", position{2, 3}, true},
	} {
		t.Run(test.name, func(t *testing.T) { assert.Equal(t, l.isUpToDate(test.last), test.want) })
	}
}

// A member votes for one candidate per term. In the next term it may vote for another one.
func TestOneVotePerTerm(t *testing.T) {
	model := modelWithLeader(t, 3)
	third := model.nodes[2]
	third.now += 3 * testElectionTimeout
	term := third.raft.Term()
	last, lastTerm := third.raft.log.lastIndex(), third.raft.log.lastTerm()
	for _, test := range []struct {
		from    ID
		term    uint64
		granted bool
	}{{1, term + 1, true}, {2, term + 1, false}, {2, term + 2, true}} {
		third.raft.Step(third.now, Message{Kind: RequestVote, From: test.from, To: 3, Term: test.term, Index: last, LogTerm: lastTerm})
		sent := third.raft.Ready().MessagesAfterSave
		assert.Assert(t, len(sent) == 1 && sent[0].Kind == VoteResponse && sent[0].Term == test.term)
		assert.Equal(t, !sent[0].Reject, test.granted, "vote for %d in term %d", test.from, test.term)
	}
}

// A delayed AppendEntries does not truncate entries that were appended after it was sent. Only a conflicting entry truncates the log.
func TestDelayedAppendDoesNotTruncate(t *testing.T) {
	l := newRaftLog(Snapshot{Index: 1, Term: 1}, []Entry{{Index: 2, Term: 1}, {Index: 3, Term: 1}, {Index: 4, Term: 1}}, nil)
	l.merge([]Entry{{Index: 2, Term: 1}, {Index: 3, Term: 1}})
	assert.Equal(t, l.lastIndex(), uint64(4))
	l.merge([]Entry{{Index: 3, Term: 2}})
	assert.Equal(t, l.lastIndex(), uint64(3))
	assert.Equal(t, l.lastTerm(), uint64(2))
}
