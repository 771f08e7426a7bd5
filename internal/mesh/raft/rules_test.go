package raft

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// modelWithVersion is a model whose first member leads, and whose log states that all speak the present protocol version.
func modelWithVersion(t *testing.T) *modelState {
	t.Helper()
	w := modelWithLeader(t, 3)
	for range 3 {
		tick(t, w, 0)
		deliverAll(t, w)
	}
	_, index := w.nodes[0].raft.Members()
	assert.Assert(t, index > 1 && w.nodes[1].raft.AppliedIndex() >= index)
	return w
}

// modelWithLearner is a model whose first member leads, with a learner of ID 4 at an address that has caught up and asks to join.
func modelWithLearner(t *testing.T, addr string) *modelState {
	t.Helper()
	w := modelWithVersion(t)
	addLearner(t, w, 0, Member{ID: 4, Addr: addr})
	return w
}

// addLearner has a learner that holds nothing join the leader at a place, and catch up. No other member hears anything.
func addLearner(t *testing.T, w *modelState, leader int, learner Member) {
	t.Helper()
	member := &testMember{self: learner}
	member.start()
	w.nodes = append(w.nodes, member)
	w.network = append(w.network, Message{Kind: JoinRequest, From: learner.ID, To: w.nodes[leader].self.ID, Addr: learner.Addr, ProtocolVersion: ProtocolVersion})
	deliverBetween(t, w, w.nodes[leader].self.ID, learner.ID)
}

// deliverBetween delivers all that is under way between two members, and loses everything else.
func deliverBetween(t *testing.T, w *modelState, a, b ID) {
	t.Helper()
	var others []ID
	for _, member := range w.nodes {
		if id := member.self.ID; id != a && id != b {
			others = append(others, id)
		}
	}
	deliverAllExcept(t, w, others...)
}

// tick lets a heartbeat interval pass at one member.
func tick(t *testing.T, w *modelState, i int) {
	t.Helper()
	w.nodes[i].now += testHeartbeatInterval
	w.nodes[i].raft.Tick(w.nodes[i].now)
	assert.NilError(t, w.processReady(i, noCrash, modelFaults{}))
}

// electSecond has the second member be elected by the third, which both miss the first. Nothing else that they send arrives.
func electSecond(t *testing.T, w *modelState) {
	t.Helper()
	for _, i := range []int{2, 1} {
		w.network = nil
		w.nodes[i].now += 3 * testElectionTimeout
		w.nodes[i].raft.Tick(w.nodes[i].now)
		assert.NilError(t, w.processReady(i, noCrash, modelFaults{}))
	}
	for len(w.network) > 0 && !w.nodes[1].raft.IsLeader() {
		m := w.network[0]
		w.network = w.network[1:]
		if m.To == 1 || m.From == 1 {
			continue
		}
		w.nodes[m.To-1].raft.Step(w.nodes[m.To-1].now, m)
		assert.NilError(t, w.processReady(int(m.To-1), noCrash, modelFaults{}))
	}
	assert.Assert(t, w.nodes[1].raft.IsLeader())
	w.network = nil
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
	w := modelWithVersion(t)
	electSecond(t, w)
	second := w.nodes[1].raft
	_, before := second.Members()
	addLearner(t, w, 1, Member{ID: 4, Addr: "r3"})
	tick(t, w, 1)
	deliverBetween(t, w, 2, 4)
	tick(t, w, 1)
	_, index := second.Members()
	assert.Equal(t, index, before, "no entry of its term is committed")

	tick(t, w, 1)
	deliverAllExcept(t, w, 1)
	tick(t, w, 1)
	members, _ := second.Members()
	assert.Assert(t, containsMember(members, 4), "once one is, the learner gets its place")
}

// A change begins only once the configuration before it is committed, the second half of a joint change as well.
func TestMembershipChangeWaitsForTheLastOne(t *testing.T) {
	w := modelWithLearner(t, "r2")
	addLearner(t, w, 0, Member{ID: 5, Addr: "r3"})
	first := w.nodes[0].raft
	tick(t, w, 0)
	assert.Assert(t, first.log.configuration.isJoint())
	for len(w.network) > 0 && first.log.configuration.isJoint() {
		m := w.network[0]
		w.network = w.network[1:]
		w.nodes[m.To-1].raft.Step(w.nodes[m.To-1].now, m)
		assert.NilError(t, w.processReady(int(m.To-1), noCrash, modelFaults{}))
	}
	deliverBetween(t, w, 1, 5) // the other learner has caught up
	_, index := first.Members()
	assert.Assert(t, !first.log.configuration.isJoint() && index > first.AppliedIndex())
	tick(t, w, 0)
	_, now := first.Members()
	assert.Equal(t, now, index, "the new members alone are not committed yet")
}

// The second half of a joint change comes only once the joint entry is committed; that of an entry before it does not count.
func TestJointChangeCompletedOnceCommitted(t *testing.T) {
	w := modelWithLearner(t, "r3")
	first := w.nodes[0].raft
	index, term, ok := first.Propose(w.nodes[0].now, []byte("x"))
	assert.Assert(t, ok)
	tick(t, w, 0)
	assert.Assert(t, first.log.configuration.isJoint())
	w.network = nil
	first.Step(w.nodes[0].now, Message{Kind: AppendResponse, From: 2, To: 1, Term: term, Index: index, ProtocolVersion: ProtocolVersion})
	assert.NilError(t, w.processReady(0, noCrash, modelFaults{}))
	assert.Equal(t, first.AppliedIndex(), index)
	assert.Assert(t, first.log.configuration.isJoint() && first.LastIndex() == index+1)
}

// A configuration that is cut off with the log's end no longer holds.
func TestConfigurationCutOff(t *testing.T) {
	w := modelWithLearner(t, "r3")
	first := w.nodes[0].raft
	_, before := first.Members()
	tick(t, w, 0)
	w.network = nil
	members, _ := first.Members()
	assert.Assert(t, containsMember(members, 4))
	electSecond(t, w)
	for range 2 {
		tick(t, w, 1)
		deliverAllExcept(t, w, 4)
	}
	members, index := first.Members()
	assert.Assert(t, index == before && len(members) == 3 && containsMember(members, 3) && !first.log.configuration.isJoint())
}

// A member that is to stop gets leave only once the learner that is ready has taken its place.
func TestLeaveWaitsForReplacement(t *testing.T) {
	w := modelWithLearner(t, "r4")
	second := w.nodes[1].raft
	second.BeginLeave(w.nodes[1].now)
	assert.NilError(t, w.processReady(1, noCrash, modelFaults{}))
	deliverAll(t, w)
	assert.Assert(t, !second.MayLeave() && !second.IsNonMember())
	for range 4 {
		tick(t, w, 0)
		deliverAll(t, w)
	}
	assert.Assert(t, second.MayLeave() && second.IsNonMember())
}

// A member that is to stop gets leave only once those that stay have answered since it asked: one may have lost its disk before.
func TestLeaveWaitsForAnswers(t *testing.T) {
	w := modelWithLeader(t, 3)
	first, term := w.nodes[0].raft, w.nodes[0].raft.Term()
	first.BroadcastCommit(w.nodes[0].now)
	assert.NilError(t, w.processReady(0, noCrash, modelFaults{}))
	deliverAll(t, w)
	first.Step(w.nodes[0].now, Message{Kind: LeaveRequest, From: 2, To: 1, Term: term, ProtocolVersion: ProtocolVersion, Leaving: true})
	ready := first.Ready()
	assert.Assert(t, !slices.Contains(sentKinds(ready, 2), LeaveGranted))
	round := ready.MessagesBeforeSave[0].HeartbeatRound
	first.Step(w.nodes[0].now, Message{Kind: AppendResponse, From: 3, To: 1, Term: term, ProtocolVersion: ProtocolVersion, Index: first.LastIndex(), HeartbeatRound: round})
	assert.Assert(t, slices.Contains(sentKinds(first.Ready(), 2), LeaveGranted))
}

// A member that is to stop gets no leave while a change of the membership is under way.
func TestLeaveWaitsForMembershipChange(t *testing.T) {
	w := modelWithLearner(t, "r3")
	first, term := w.nodes[0].raft, w.nodes[0].raft.Term()
	tick(t, w, 0)
	assert.Assert(t, first.log.configuration.isJoint())
	first.Step(w.nodes[0].now, Message{Kind: LeaveRequest, From: 2, To: 1, Term: term, ProtocolVersion: ProtocolVersion, Leaving: true})
	ready := first.Ready()
	round := ready.MessagesBeforeSave[0].HeartbeatRound
	for _, id := range []ID{3, 4} { // they have all that is committed, and not the change
		first.Step(w.nodes[0].now, Message{Kind: AppendResponse, From: id, To: 1, Term: term, ProtocolVersion: ProtocolVersion, Index: first.AppliedIndex(), HeartbeatRound: round})
	}
	assert.Assert(t, !slices.Contains(sentKinds(first.Ready(), 2), LeaveGranted))
}

// What a member has acknowledged beyond the commit index does not count once it got leave, though the leader's disk is behind.
func TestAcknowledgementBeforeLeaveIsCapped(t *testing.T) {
	w := modelWithLeader(t, 3)
	first, term := w.nodes[0].raft, w.nodes[0].raft.Term()
	index, _, ok := first.Propose(w.nodes[0].now, []byte("x"))
	assert.Assert(t, ok)
	first.Flush()
	unsaved := first.Ready()
	first.Step(w.nodes[0].now, Message{Kind: AppendResponse, From: 2, To: 1, Term: term, ProtocolVersion: ProtocolVersion, Index: index})
	first.Step(w.nodes[0].now, Message{Kind: LeaveRequest, From: 2, To: 1, Term: term, ProtocolVersion: ProtocolVersion, Leaving: true})
	round := first.Ready().MessagesBeforeSave[0].HeartbeatRound
	first.Step(w.nodes[0].now, Message{Kind: AppendResponse, From: 3, To: 1, Term: term, ProtocolVersion: ProtocolVersion, Index: index - 1, HeartbeatRound: round})
	assert.Assert(t, slices.Contains(sentKinds(first.Ready(), 2), LeaveGranted))
	first.MarkSaved(unsaved)
	first.Ready()
	assert.Equal(t, first.AppliedIndex(), index-1, "it would be on the leader's disk alone")
}

// A member ignores what is meant for another that was at its address before: its log is not what the sender thinks.
func TestMessageForAnother(t *testing.T) {
	w := modelWithLeader(t, 3)
	second := w.nodes[1].raft
	term := second.Term()
	for _, kind := range []MessageKind{AppendEntries, PreVote, RequestVote, InstallSnapshot, TimeoutNow} {
		second.Step(w.nodes[1].now, Message{Kind: kind, From: 1, To: 9, Term: term + 1, Index: second.LastIndex(), LogTerm: term})
		ready := second.Ready()
		assert.Assert(t, second.Term() == term && len(ready.MessagesAfterSave) == 0 && !ready.MustSync(), "kind %d", kind)
	}
}

// A sole voter leads as soon as it votes for itself. No message tells of that term before it is on disk: after a restart it could
// lead the same term again.
func TestSoleVoterSavesItsTermFirst(t *testing.T) {
	w := newModel(1)
	only := w.nodes[0].raft
	only.Tick(3 * testElectionTimeout)
	assert.Assert(t, only.IsLeader())
	only.Step(3*testElectionTimeout, Message{Kind: JoinRequest, From: 2, To: 1, Addr: "r2", ProtocolVersion: ProtocolVersion})
	ready := only.Ready()
	assert.Assert(t, ready.HardState != nil && len(ready.MessagesBeforeSave) == 0 && len(sentKinds(ready, 2)) > 0)
}

// A learner gets a place only once it has all that was committed at the last heartbeat: with an empty log it could not help to commit
// anything, should another disk be lost.
func TestLearnerCatchesUpFirst(t *testing.T) {
	w := modelWithVersion(t)
	first := w.nodes[0].raft
	first.Step(w.nodes[0].now, Message{Kind: JoinRequest, From: 4, To: 1, Addr: "r3", ProtocolVersion: ProtocolVersion})
	tick(t, w, 0)
	tick(t, w, 0)
	members, _ := first.Members()
	assert.Assert(t, !containsMember(members, 4))
}
