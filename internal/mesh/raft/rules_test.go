package raft

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// modelWithVersion is a model whose first member leads, and whose log states that all speak the present protocol version.
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

// modelWithLearner is a model whose first member leads, with a learner of ID 4 at an address that has caught up and asks to join.
func modelWithLearner(t *testing.T, addr string) *modelState {
	t.Helper()
	model := modelWithVersion(t)
	addLearner(t, model, 0, Member{ID: 4, Addr: addr})
	return model
}

// addLearner has a learner that holds nothing join the leader at a place, and catch up. No other member hears anything.
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

// electSecond has the second member be elected by the third, which both miss the first. Nothing else that they send arrives.
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

// acknowledge has the leader get the answer of a member to a round of heartbeats: it has the log up to an index.
func acknowledge(leader *testMember, from ID, index, round uint64) {
	leader.raft.Step(leader.now, Message{
		Kind: AppendResponse, From: from, To: leader.self.ID, Term: leader.raft.Term(), ProtocolVersion: ProtocolVersion,
		Index: index, HeartbeatRound: round,
	})
}

// requestLeave has the leader get the LeaveRequest of a member, and returns the round of heartbeats that it begins.
func requestLeave(leader *testMember, from ID) (ready Ready, round uint64) {
	leader.raft.Step(leader.now, Message{
		Kind: LeaveRequest, From: from, To: leader.self.ID, Term: leader.raft.Term(), ProtocolVersion: ProtocolVersion, Leaving: true,
	})
	ready = leader.raft.Ready()
	return ready, ready.MessagesBeforeSave[0].HeartbeatRound
}

// sentKinds are the kinds of the messages that a member sends next, to one member.
func sentKinds(ready Ready, to ID) (kinds []MessageKind) {
	for _, m := range slices.Concat(ready.MessagesBeforeSave, ready.MessagesAfterSave) {
		if m.To == to {
			kinds = append(kinds, m.Kind)
		}
	}
	return kinds
}

// A leader changes no membership before an entry of its own term is committed, though a learner is ready.
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
	assert.Equal(t, index, before, "no entry of its term is committed")

	tick(t, model, 1)
	deliverAllExcept(t, model, 1)
	tick(t, model, 1)
	members, _ := second.Members()
	assert.Assert(t, containsMember(members, 4), "once one is, the learner gets its place")
}

// A change begins only once the configuration before it is committed, the second half of a joint change as well.
func TestMembershipChangeWaitsForTheLastOne(t *testing.T) {
	model := modelWithLearner(t, "r2")
	addLearner(t, model, 0, Member{ID: 5, Addr: "r3"})
	first := model.nodes[0].raft
	tick(t, model, 0)
	assert.Assert(t, first.log.configuration.isJoint())
	for len(model.network) > 0 && first.log.configuration.isJoint() {
		deliverNext(t, model)
	}
	deliverBetween(t, model, 1, 5) // the other learner has caught up
	_, index := first.Members()
	assert.Assert(t, !first.log.configuration.isJoint() && index > first.AppliedIndex())
	tick(t, model, 0)
	_, now := first.Members()
	assert.Equal(t, now, index, "the new members alone are not committed yet")
}

// The second half of a joint change comes only once the joint entry is committed; that of an entry before it does not count.
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

// A configuration that is cut off with the log's end no longer holds.
func TestConfigurationCutOff(t *testing.T) {
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

// A member that is to stop gets leave only once the learner that is ready has taken its place.
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

// A member that is to stop gets leave only once those that stay have answered since it asked: one may have lost its disk before.
func TestLeaveWaitsForAnswers(t *testing.T) {
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

// A member that is to stop is not granted leave while a membership change is in progress.
func TestLeaveWaitsForMembershipChange(t *testing.T) {
	model := modelWithLearner(t, "r3")
	first := model.nodes[0]
	tick(t, model, 0)
	assert.Assert(t, first.raft.log.configuration.isJoint())
	_, round := requestLeave(first, 2)
	for _, id := range []ID{3, 4} { // they have all that is committed, and not the change
		acknowledge(first, id, first.raft.AppliedIndex(), round)
	}
	assert.Assert(t, !slices.Contains(sentKinds(first.raft.Ready(), 2), LeaveGranted))
}

// What a member has acknowledged beyond the commit index does not count once it got leave, though the leader's disk is behind.
func TestAcknowledgementBeforeLeaveIsCapped(t *testing.T) {
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
	assert.Equal(t, first.raft.AppliedIndex(), index-1, "it would be on the leader's disk alone")
}

// A member ignores what is meant for another that was at its address before: its log is not what the sender thinks.
func TestMessageForAnother(t *testing.T) {
	model := modelWithLeader(t, 3)
	second := model.nodes[1].raft
	term := second.Term()
	for _, kind := range []MessageKind{AppendEntries, PreVote, RequestVote, InstallSnapshot, TimeoutNow} {
		second.Step(model.nodes[1].now, Message{Kind: kind, From: 1, To: 9, Term: term + 1, Index: second.LastIndex(), LogTerm: term})
		ready := second.Ready()
		assert.Assert(t, second.Term() == term && len(ready.MessagesAfterSave) == 0 && !ready.MustSync(), "kind %d", kind)
	}
}

// A sole voter leads as soon as it votes for itself. No message tells of that term before it is on disk: after a restart it could
// lead the same term again.
func TestSoleVoterSavesItsTermFirst(t *testing.T) {
	model := newModel(1)
	only := model.nodes[0].raft
	only.Tick(3 * testElectionTimeout)
	assert.Assert(t, only.IsLeader())
	only.Step(3*testElectionTimeout, Message{Kind: JoinRequest, From: 2, To: 1, Addr: "r2", ProtocolVersion: ProtocolVersion})
	ready := only.Ready()
	assert.Assert(t, ready.HardState != nil && len(ready.MessagesBeforeSave) == 0 && len(sentKinds(ready, 2)) > 0)
}

// A learner gets a place only once it has all that was committed at the last heartbeat: with an empty log it could not help to commit
// anything, should another disk be lost.
func TestLearnerCatchesUpFirst(t *testing.T) {
	model := modelWithVersion(t)
	first := model.nodes[0].raft
	first.Step(model.nodes[0].now, Message{Kind: JoinRequest, From: 4, To: 1, Addr: "r3", ProtocolVersion: ProtocolVersion})
	tick(t, model, 0)
	tick(t, model, 0)
	members, _ := first.Members()
	assert.Assert(t, !containsMember(members, 4))
}

// A leader that steps down answers its pending reads as not confirmed: nobody else will answer them.
func TestReadsRejectedOnStepDown(t *testing.T) {
	model := modelWithLeader(t, 3)
	first := model.nodes[0]
	assert.Assert(t, first.raft.ReadIndex(first.now, 7))
	first.raft.Step(first.now, Message{Kind: AppendEntries, From: 2, To: 1, Term: first.raft.Term() + 1, ProtocolVersion: ProtocolVersion})
	assert.DeepEqual(t, first.raft.Ready().ReadStates, []ReadState{{RequestID: 7}})
}

// A read is confirmed by a round of heartbeats that began after it was asked for: answers to an earlier one do not show that no other
// member leads since.
func TestReadNeedsALaterRound(t *testing.T) {
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

// A read is confirmed by a majority of all members, not by any one of them.
func TestReadNeedsAQuorum(t *testing.T) {
	model := modelWithLeader(t, 5)
	first := model.nodes[0]
	assert.Assert(t, first.raft.ReadIndex(first.now, 7))
	round := first.raft.Ready().MessagesBeforeSave[0].HeartbeatRound
	acknowledge(first, 2, first.raft.LastIndex(), round)
	assert.Equal(t, len(first.raft.Ready().ReadStates), 0)
	acknowledge(first, 3, first.raft.LastIndex(), round)
	assert.Equal(t, len(first.raft.Ready().ReadStates), 1)
}

// A leader counts its own entries only once they are on its disk, whoever else has them.
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

// A member that is sent a snapshot acknowledges what is committed, and nothing of what it has behind that: it may conflict with the
// leader's log.
func TestSnapshotAcknowledgedUpToCommit(t *testing.T) {
	model := modelWithLeader(t, 3)
	first := model.nodes[0]
	first.raft.Propose(first.now, []byte("nobody hears of it"))
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

// A follower acknowledges and commits only what it has compared with the leader's log: what it has behind that may be from another
// leader, though the leader has committed as many entries.
func TestOnlyComparedEntriesCount(t *testing.T) {
	model := modelWithLeader(t, 3)
	first := model.nodes[0]
	first.raft.Propose(first.now, []byte("nobody hears of it"))
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

// A log is as up to date as another by its last term first, and by its length where the terms are the same (Raft paper, section 5.4.1).
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

// A vote holds for one term: in the next one a member may vote for another.
func TestVoteHoldsForOneTerm(t *testing.T) {
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

// A late message cuts nothing off that was appended since: only an entry that conflicts does.
func TestLateAppendCutsNothingOff(t *testing.T) {
	l := newRaftLog(Snapshot{Index: 1, Term: 1}, []Entry{{Index: 2, Term: 1}, {Index: 3, Term: 1}, {Index: 4, Term: 1}}, nil)
	l.merge([]Entry{{Index: 2, Term: 1}, {Index: 3, Term: 1}})
	assert.Equal(t, l.lastIndex(), uint64(4))
	l.merge([]Entry{{Index: 3, Term: 2}})
	assert.Equal(t, l.lastIndex(), uint64(3))
	assert.Equal(t, l.lastTerm(), uint64(2))
}
