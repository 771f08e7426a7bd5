package raft

import "slices"

// Mutations of the voting rules (Raft paper, sections 5.2 and 5.4.1; dissertation, section 9.6).
var voteMutations = []mutant{
	{name: "a message sent before the sync", edits: []edit{{
		"ready.go",
		"	ready.Entries = r.log.takeUnsavedEntries()\n",
		`	ready.Entries = r.log.takeUnsavedEntries()
	if len(ready.Entries) > 0 {
		ready.MessagesBeforeSave, ready.MessagesAfterSave = append(ready.MessagesBeforeSave, ready.MessagesAfterSave...), nil
	}
`,
	}}},
	{name: "a vote not saved", test: "TestSearchTwoCandidates", edits: []edit{{
		"ready.go",
		"&HardState{Term: r.term, Vote: r.vote}",
		"&HardState{Term: r.term}",
	}}},
	{name: "two votes in one term", test: "TestOneVotePerTerm", edits: []edit{{
		"election.go",
		"granted := (r.vote == 0 || r.vote == m.From) && r.isUpToDate(m)",
		"granted := r.isUpToDate(m)",
	}}},
	{name: "a vote for a shorter log", slow: true, edits: []edit{voteForShorterLog}},
	{name: "a pre-vote for a shorter log", test: "TestExitedLeaderIsReplacedSoon", edits: []edit{preVoteForShorterLog}},
	{name: "a vote and a pre-vote for a shorter log", edits: []edit{voteForShorterLog, preVoteForShorterLog}},
	{name: "logs compared by their length alone", test: "TestLogIsUpToDate", edits: []edit{{
		"log.go",
		"return last.term > l.lastTerm() || last.term == l.lastTerm() && last.index >= l.lastIndex()",
		"return last.index >= l.lastIndex()",
	}}},
	{name: "logs compared by their last term alone", test: "TestLogIsUpToDate", edits: []edit{{
		"log.go",
		"return last.term > l.lastTerm() || last.term == l.lastTerm() && last.index >= l.lastIndex()",
		"return last.term >= l.lastTerm()",
	}}},
	{name: "half of the members counted as a majority", edits: []edit{{
		"configuration.go",
		"return counted > len(members)/2",
		"return counted >= (len(members)+1)/2 || counted >= len(members)/2 && counted > 0",
	}}},
	{name: "a rejected vote counted", edits: []edit{{
		"election.go",
		"if r.role == candidate && !m.Reject {",
		"if r.role == candidate {",
	}}},
	{name: "a rejected pre-vote counted", test: "TestExitedLeaderIsReplacedSoon", edits: []edit{{
		"election.go",
		"if r.role == preCandidate && m.Term == r.term+1 && !m.Reject {",
		"if r.role == preCandidate {",
	}}},
	{name: "a pre-vote granted despite an active leader", test: "TestLeaderExitReportedWrongly", edits: []edit{{
		"election.go",
		"granted := m.Term > r.term && !r.hasActiveLeader() && r.isUpToDate(m)",
		"granted := m.Term > r.term && r.isUpToDate(m)",
	}}},
	{name: "no vote for an unknown member", test: "TestVoteForUnknownMember", edits: []edit{{
		"election.go",
		"if !granted && !r.log.configuration.isVoter(m.From) {",
		"if !r.log.configuration.isVoter(m.From) {",
	}}},
	{name: "the vote of the previous term kept", test: "TestOneVotePerTerm", edits: []edit{{
		"step.go",
		"r.term, r.vote = term, 0\n",
		"r.term = term\n",
	}}},
	{name: "a sole voter leads before its term is on disk", test: "TestSoleVoterSavesItsTermFirst", edits: []edit{{
		"ready.go",
		"		ready.MessagesBeforeSave, ready.MessagesAfterSave = nil, append(ready.MessagesBeforeSave, ready.MessagesAfterSave...)\n",
		"",
	}}},
}

var (
	voteForShorterLog = edit{
		"election.go",
		"granted := (r.vote == 0 || r.vote == m.From) && r.isUpToDate(m)",
		"granted := r.vote == 0 || r.vote == m.From",
	}
	preVoteForShorterLog = edit{
		"election.go",
		"granted := m.Term > r.term && !r.hasActiveLeader() && r.isUpToDate(m)",
		"granted := m.Term > r.term && !r.hasActiveLeader()",
	}
)

// Mutations of log replication and of the commit rule (Raft paper, sections 5.3 and 5.4.2).
var commitMutations = []mutant{
	{name: "entries of earlier terms committed by counting", test: "TestEarlierTermNotCommittedByCounting", edits: []edit{{
		"replication.go",
		"if term, _ := r.log.termAt(index); term != r.term {",
		"if term, _ := r.log.termAt(index); term > r.term {",
	}}},
	{name: "a follower commits entries that it has not compared", test: "TestOnlyComparedEntriesAcknowledged", edits: []edit{{
		"follower.go",
		"min(m.Commit, reply.Index)",
		"min(m.Commit, r.log.lastIndex())",
	}}},
	{name: "a follower acknowledges entries that it has not compared", test: "TestOnlyComparedEntriesAcknowledged", edits: []edit{{
		"follower.go",
		"reply.Index = m.Index + uint64(len(m.Entries))",
		"reply.Index = r.log.lastIndex()",
	}}},
	{name: "entries appended after an entry of another term", edits: []edit{{
		"follower.go",
		"!found || term != m.LogTerm {",
		"!found || term > m.LogTerm+100 {",
	}}},
	{name: "matching entries truncated", test: "TestDelayedAppendDoesNotTruncate", edits: []edit{{
		"log.go",
		"if found && term == entry.Term {",
		"if found && term == entry.Term && i < len(entries)-1 {",
	}}},
	{name: "conflicting entries kept", test: "TestDelayedAppendDoesNotTruncate", edits: []edit{{
		"log.go",
		"if found && term == entry.Term {",
		"if found && term > 0 {",
	}}},
	{name: "the leader counts itself before its sync", test: "TestLeaderCountsItselfOnceSaved", edits: []edit{{
		"replication.go",
		"return r.log.savedIndex\n",
		"return r.log.lastIndex()\n",
	}}},
	{name: "a snapshot acknowledged up to the log's end", test: "TestSnapshotAcknowledgedUpToCommit", edits: []edit{{
		"snapshot_receive.go",
		"Index: r.log.committed, HeartbeatRound: m.HeartbeatRound})",
		"Index: r.log.lastIndex(), HeartbeatRound: m.HeartbeatRound})",
	}}},
	{name: "heartbeats left out while a snapshot is sent", test: "TestSnapshotOverLossyLink", edits: []edit{{
		"replication.go",
		"			r.sendHeartbeat(p)\n",
		"",
	}}},
}

// Mutations of linearizable reads (dissertation, section 6.4).
var readMutations = []mutant{
	{name: "reads served by a clock-based leader lease", slow: true, edits: []edit{{
		"read_index.go",
		"if r.log.configuration.isSoleVoter(r.config.Self.ID) {",
		"if r.HasQuorumContact(r.now) {",
	}}},
	{name: "a read before an entry of the leader's own term is committed", edits: []edit{{
		"read_index.go",
		"if r.role != leader || !r.hasCommittedOwnTerm() {",
		"if r.role != leader {",
	}}},
	{name: "a read confirmed by an earlier heartbeat round", test: "TestReadNeedsLaterHeartbeatRound", edits: []edit{{
		"read_index.go",
		"	r.broadcastHeartbeat()\n",
		"",
	}}},
	{name: "a read confirmed by responses to the previous heartbeat round", test: "TestReadNeedsLaterHeartbeatRound", edits: []edit{{
		"read_index.go",
		"p.answeredRound >= read.round",
		"p.answeredRound+1 >= read.round",
	}}},
	{name: "pending reads forgotten by a leader that steps down", test: "TestReadsRejectedOnStepDown", edits: []edit{{
		"step.go",
		"		r.rejectReads()\n",
		"",
	}}},
	{name: "a read confirmed by one response", test: "TestReadNeedsQuorum", edits: []edit{{
		"read_index.go",
		"isConfirmed := r.log.configuration.hasQuorum(func(id ID) bool {",
		"isConfirmed := slices.ContainsFunc(r.log.configuration.Members, func(member Member) bool {\n			id := member.ID",
	}, {
		"read_index.go",
		"return id == r.config.Self.ID || p != nil",
		"return p != nil",
	}, {
		"read_index.go",
		"import \"time\"",
		"import (\n	\"slices\"\n	\"time\"\n)",
	}}},
}

// Mutations of snapshots (Raft paper, section 7).
var snapshotMutations = []mutant{
	{name: "a snapshot without the members", edits: []edit{{
		"log.go",
		"		Members:            configuration.Members,\n",
		"",
	}}},
	{name: "a snapshot with the latest configuration of the log", edits: []edit{{
		"log.go",
		"l.entriesFrom(index)[0], l.configurationAt(index)",
		"l.entriesFrom(index)[0], l.configuration",
	}}},
	{name: "a snapshot installed over newer entries", slow: true, edits: []edit{{
		"snapshot_receive.go",
		"if snapshot.Index <= r.log.committed {",
		"if snapshot.Index == r.log.committed {",
	}}},
	{name: "a snapshot's checksum not checked", test: "TestInvalidSnapshotRejected", edits: []edit{checksumIgnored}},
	{name: "a snapshot in one message sent with every heartbeat", test: "TestSnapshotForLegacyMember", edits: []edit{{
		"snapshot_send.go",
		"const wholeSnapshotResendFactor = 8",
		"const wholeSnapshotResendFactor = 0",
	}}},
	{name: "entries of another term kept after a snapshot", test: "TestSnapshotReplacesConflictingLog", edits: []edit{{
		"log.go",
		"found && term == snapshot.Term {",
		"found && term > 0 {",
	}}},
	{name: "chunks appended in the order of arrival", test: "TestSnapshotOverLossyLink", edits: []edit{{
		"snapshot_receive.go",
		"if m.Offset == uint64(len(incoming.data)) {",
		"if len(incoming.data)+len(snapshot.Data) <= int(incoming.totalBytes) {",
	}}},
}

var checksumIgnored = edit{
	"snapshot_receive.go",
	"if crc32.Checksum(incoming.data, castagnoliTable) != incoming.checksum {",
	"if crc32.Checksum(incoming.data, castagnoliTable) == incoming.checksum+1 {",
}

// Mutations of membership changes (Raft paper, section 6; dissertation, chapter 4).
var membershipMutations = []mutant{
	{name: "a joint change decided by the new members alone", slow: true, edits: []edit{{
		"configuration.go",
		"return hasMajority(c.Members, counts) && (!c.isJoint() || hasMajority(c.Outgoing, counts))",
		"return hasMajority(c.Members, counts)",
	}}},
	{name: "a joint change decided by the former members alone", slow: true, edits: []edit{{
		"configuration.go",
		"return hasMajority(c.Members, counts) && (!c.isJoint() || hasMajority(c.Outgoing, counts))",
		"return c.isJoint() && hasMajority(c.Outgoing, counts) || !c.isJoint() && hasMajority(c.Members, counts)",
	}}},
	{name: "a joint change decided by a majority of all together", test: "TestLearnerLostDuringReplacement", edits: []edit{{
		"configuration.go",
		"return hasMajority(c.Members, counts) && (!c.isJoint() || hasMajority(c.Outgoing, counts))",
		"return hasMajority(c.voters(), counts)",
	}}},
	{name: "a removed leader counts itself", edits: []edit{{
		"replication.go",
		"if r.log.configuration.hasQuorum(func(id ID) bool { return r.matchIndex(id) >= index }) {",
		`c := r.log.configuration
		counts := func(id ID) bool {
			isRemoved := !containsMember(c.Members, r.config.Self.ID)
			return r.matchIndex(id) >= index || isRemoved && id == c.Members[0].ID && r.log.savedIndex >= index
		}
		if c.hasQuorum(counts) {`,
	}}},
	{name: "a learner counted towards the quorum", edits: []edit{{
		"replication.go",
		"if r.log.configuration.hasQuorum(func(id ID) bool { return r.matchIndex(id) >= index }) {",
		`holding := 0
		for _, p := range r.peers {
			if p.match >= index {
				holding++
			}
		}
		if r.log.savedIndex >= index && holding >= len(r.log.configuration.Members)/2 {`,
	}}},
	{name: "a member removed before the learner has caught up", test: "TestReplacement", edits: []edit{{
		"membership.go",
		"if version < versionWithJointChange {",
		"if true {",
	}}},
	{name: "a learner promoted before it has caught up", test: "TestLearnerCatchesUpFirst", edits: []edit{{
		"membership.go",
		"return p.match > 0 && p.match >= r.leading.committedAtHeartbeat",
		"return true",
	}}},
	{
		name: "a membership change before an entry of the leader's own term is committed", test: "TestMembershipChangeWaitsForOwnTerm",
		edits: []edit{{
			"membership.go",
			"return r.hasCommittedOwnTerm() && r.log.isConfigurationCommitted()",
			"return r.log.isConfigurationCommitted()",
		}},
	},
	{name: "a membership change before the previous one is committed", test: "TestMembershipChangeWaitsForPreviousChange", edits: []edit{{
		"membership.go",
		"return r.hasCommittedOwnTerm() && r.log.isConfigurationCommitted()",
		"return r.hasCommittedOwnTerm() && !r.log.configuration.isJoint()",
	}}},
	{name: "a joint change completed before it is committed", test: "TestJointChangeCompletedOnceCommitted", edits: []edit{{
		"membership.go",
		"if configuration.Index > r.log.committed || !r.hasCommittedOwnTerm() {",
		"if !r.hasCommittedOwnTerm() {",
	}}},
	{name: "a truncated configuration kept", test: "TestTruncatedConfigurationReverted", edits: []edit{{
		"log.go",
		"	if l.configuration.Index >= index {\n		l.refreshConfiguration()\n	}\n",
		"",
	}}},
	{name: "a restarted member uses the configuration of its snapshot", edits: []edit{{
		"log.go",
		"	l.savedIndex = l.lastIndex()\n	l.refreshConfiguration()\n",
		"	l.savedIndex = l.lastIndex()\n	l.configuration = l.snapshot.configuration()\n",
	}}},
}

// Mutations of the rules for members that were granted leave or have lost their disk.
var fencingMutations = []mutant{
	{name: "a response of the former process taken for one of the restarted process", edits: []edit{{
		"leave.go",
		"p.leaveGranted && !m.Leaving &&",
		"p.leaveGranted &&",
	}}},
	{name: "leave granted at once", edits: []edit{{
		"leave.go",
		"(r.mayGrantLeave(p) || r.areAllVotersLeaving()) {",
		"true {",
	}}},
	{name: "a voter that lost its disk keeps its ID", slow: true, edits: []edit{{
		"schedule_test.go",
		"self: Member{s.nextID, n.self.Addr}, now",
		"self: n.self, snapshot: BootstrapSnapshot(s.initialMembers), now",
	}}},
	{name: "acknowledgements after granted leave counted", edits: []edit{acknowledgedAfterLeave}},
	{
		name: "a member that was granted leave sends messages", edits: []edit{{
			"ready.go",
			"		ready.MessagesBeforeSave, ready.MessagesAfterSave = nil, nil\n",
			"",
		}},
		maskedBy: "its acknowledgements are ignored", with: []edit{acknowledgedAfterLeave},
	},
	{
		name: "acknowledgements beyond the commit index counted after granted leave", test: "TestLeaveCapsAcknowledgementAtCommit",
		edits: []edit{{
			"leave.go",
			"p.leaveGranted, p.match = true, min(p.match, r.log.committed)",
			"p.leaveGranted = true",
		}},
	},
	{name: "a leaving member counted among the remaining ones", edits: []edit{{
		"leave.go",
		"return member.ID == leaving.ID })",
		"return false })",
	}}},
	{name: "leave granted by responses from before the request", test: "TestLeaveWaitsForResponses", edits: []edit{{
		"leave.go",
		"return p != nil && p.answeredRound >= leaving.leaveRound",
		"return p != nil",
	}}},
	{name: "leave granted while a membership change is in progress", test: "TestLeaveWaitsForMembershipChange", edits: []edit{{
		"leave.go",
		"return r.log.isConfigurationCommitted() && !r.isReplacementReady(p.ID)",
		"return !r.isReplacementReady(p.ID)",
	}}},
	{name: "leave granted although a learner could replace the member", test: "TestLeaveWaitsForReplacement", edits: []edit{{
		"leave.go",
		"return r.log.isConfigurationCommitted() && !r.isReplacementReady(p.ID)",
		"return r.log.isConfigurationCommitted()",
	}}},
	{name: "a message for the former member at this address accepted", test: "TestMessageForFormerMemberIgnored", edits: []edit{{
		"step.go",
		"	case m.To != r.config.Self.ID:\n		return // meant for a member that used this address before\n",
		"",
	}}},
}

var acknowledgedAfterLeave = edit{"progress.go", "	if !p.leaveGranted {\n", "	if true {\n"}

// mutations are the mutations of all tables.
var mutations = slices.Concat(voteMutations, commitMutations, readMutations, snapshotMutations, membershipMutations, fencingMutations)
