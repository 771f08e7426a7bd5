package raft

import "slices"

// Mutations of the rules of votes: sections 5.2 and 5.4.1 of the Raft paper, section 9.6 of Ongaro's dissertation.
var voteMutations = []mutant{
	{name: "an answer before the sync", edits: []edit{{
		"ready.go",
		"	ready.Entries = r.log.takeUnsavedEntries()\n",
		`	ready.Entries = r.log.takeUnsavedEntries()
	if len(ready.Entries) > 0 {
		ready.MessagesBeforeSave, ready.MessagesAfterSave = append(ready.MessagesBeforeSave, ready.MessagesAfterSave...), nil
	}
`,
	}}},
	{name: "a vote not synced", test: "TestOrdersOfTwoCandidates", edits: []edit{{
		"ready.go",
		"&HardState{Term: r.term, Vote: r.vote}",
		"&HardState{Term: r.term}",
	}}},
	{name: "two votes in one term", test: "TestVoteHoldsForOneTerm", edits: []edit{{
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
	{name: "half of the members taken for a majority", edits: []edit{{
		"configuration.go",
		"return counted > len(members)/2",
		"return counted >= (len(members)+1)/2 || counted >= len(members)/2 && counted > 0",
	}}},
	{name: "a refused vote counted", edits: []edit{{
		"election.go",
		"if r.role == candidate && !m.Reject {",
		"if r.role == candidate {",
	}}},
	{name: "a refused pre-vote counted", test: "TestExitedLeaderIsReplacedSoon", edits: []edit{{
		"election.go",
		"if r.role == preCandidate && m.Term == r.term+1 && !m.Reject {",
		"if r.role == preCandidate {",
	}}},
	{name: "a pre-vote though the leader is heard", test: "TestLeaderExitReportedWrongly", edits: []edit{{
		"election.go",
		"granted := m.Term > r.term && !r.hasActiveLeader() && r.isUpToDate(m)",
		"granted := m.Term > r.term && r.isUpToDate(m)",
	}}},
	{name: "no vote for a member that is not known", test: "TestVoteForUnknownMember", edits: []edit{{
		"election.go",
		"if !granted && !r.log.configuration.isVoter(m.From) {",
		"if !r.log.configuration.isVoter(m.From) {",
	}}},
	{name: "the vote of the term before kept", test: "TestVoteHoldsForOneTerm", edits: []edit{{
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

// Mutations of the rules of the log and of what is committed: sections 5.3 and 5.4.2 of the Raft paper.
var commitMutations = []mutant{
	{name: "entries of earlier terms committed by counting", test: "TestEarlierTermNotCounted", edits: []edit{{
		"replication.go",
		"if term, _ := r.log.termAt(index); term != r.term {",
		"if term, _ := r.log.termAt(index); term > r.term {",
	}}},
	{name: "a follower commits what it has not compared", test: "TestOnlyComparedEntriesCount", edits: []edit{{
		"follower.go",
		"min(m.Commit, reply.Index)",
		"min(m.Commit, r.log.lastIndex())",
	}}},
	{name: "a follower acknowledges what it has not compared", test: "TestOnlyComparedEntriesCount", edits: []edit{{
		"follower.go",
		"reply.Index = m.Index + uint64(len(m.Entries))",
		"reply.Index = r.log.lastIndex()",
	}}},
	{name: "entries put behind one of another term", edits: []edit{{
		"follower.go",
		"!found || term != m.LogTerm {",
		"!found || term > m.LogTerm+100 {",
	}}},
	{name: "entries that agree cut off", test: "TestLateAppendCutsNothingOff", edits: []edit{{
		"log.go",
		"if found && term == entry.Term {",
		"if found && term == entry.Term && i < len(entries)-1 {",
	}}},
	{name: "entries that conflict kept", test: "TestLateAppendCutsNothingOff", edits: []edit{{
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

// Mutations of confirmed reads: section 6.4 of Ongaro's dissertation.
var readMutations = []mutant{
	{name: "a lease by the local clock", slow: true, edits: []edit{{
		"read_index.go",
		"if r.log.configuration.isSoleVoter(r.config.Self.ID) {",
		"if r.HasQuorumContact(r.now) {",
	}}},
	{name: "a read before an entry of the leader's own term is committed", edits: []edit{{
		"read_index.go",
		"if r.role != leader || !r.hasCommittedOwnTerm() {",
		"if r.role != leader {",
	}}},
	{name: "a read confirmed by a round that began before it", test: "TestReadNeedsALaterRound", edits: []edit{{
		"read_index.go",
		"	r.broadcastHeartbeat()\n",
		"",
	}}},
	{name: "a read confirmed by the answers to the round before", test: "TestReadNeedsALaterRound", edits: []edit{{
		"read_index.go",
		"p.answeredRound >= read.round",
		"p.answeredRound+1 >= read.round",
	}}},
	{name: "pending reads forgotten by a leader that steps down", test: "TestReadsRejectedOnStepDown", edits: []edit{{
		"step.go",
		"		r.rejectReads()\n",
		"",
	}}},
	{name: "a read confirmed by one answer", test: "TestReadNeedsAQuorum", edits: []edit{{
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

// Mutations of snapshots: section 7 of the Raft paper.
var snapshotMutations = []mutant{
	{name: "a snapshot without the members", edits: []edit{{
		"log.go",
		"		Members:            configuration.Members,\n",
		"",
	}}},
	{name: "a snapshot with the members of the log's end", edits: []edit{{
		"log.go",
		"l.entriesFrom(index)[0], l.configurationAt(index)",
		"l.entriesFrom(index)[0], l.configuration",
	}}},
	{name: "a snapshot installed over newer entries", slow: true, edits: []edit{{
		"snapshot_receive.go",
		"if snapshot.Index <= r.log.committed {",
		"if snapshot.Index == r.log.committed {",
	}}},
	{name: "a snapshot's checksum not compared", test: "TestInvalidSnapshotRejected", edits: []edit{checksumIgnored}},
	{name: "a snapshot in one message sent with every heartbeat", test: "TestSnapshotForLegacyMember", edits: []edit{{
		"snapshot_send.go",
		"const wholeSnapshotResendFactor = 8",
		"const wholeSnapshotResendFactor = 0",
	}}},
	{name: "a log of another term kept behind a snapshot", test: "TestSnapshotReplacesConflictingLog", edits: []edit{{
		"log.go",
		"found && term == snapshot.Term {",
		"found && term > 0 {",
	}}},
	{name: "chunks put together in the order in which they come", test: "TestSnapshotOverLossyLink", edits: []edit{{
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

// Mutations of changes of the membership: section 6 of the Raft paper, chapter 4 of Ongaro's dissertation.
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
	{name: "a leader that is removed counts itself", edits: []edit{{
		"replication.go",
		"if r.log.configuration.hasQuorum(func(id ID) bool { return r.matchIndex(id) >= index }) {",
		`c := r.log.configuration
		counts := func(id ID) bool {
			isRemoved := !containsMember(c.Members, r.config.Self.ID)
			return r.matchIndex(id) >= index || isRemoved && id == c.Members[0].ID && r.log.savedIndex >= index
		}
		if c.hasQuorum(counts) {`,
	}}},
	{name: "a learner counted", edits: []edit{{
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
	{name: "a place cleared before the learner has caught up", test: "TestReplacement", edits: []edit{{
		"membership.go",
		"if version < versionWithJointChange {",
		"if true {",
	}}},
	{name: "a learner put in before it has caught up", test: "TestLearnerCatchesUpFirst", edits: []edit{{
		"membership.go",
		"return p.match > 0 && p.match >= r.leading.committedAtHeartbeat",
		"return true",
	}}},
	{name: "a change before an entry of the leader's own term is committed", test: "TestMembershipChangeWaitsForOwnTerm", edits: []edit{{
		"membership.go",
		"return r.hasCommittedOwnTerm() && r.log.isConfigurationCommitted()",
		"return r.log.isConfigurationCommitted()",
	}}},
	{name: "a change before the last one is committed", test: "TestMembershipChangeWaitsForTheLastOne", edits: []edit{{
		"membership.go",
		"return r.hasCommittedOwnTerm() && r.log.isConfigurationCommitted()",
		"return r.hasCommittedOwnTerm() && !r.log.configuration.isJoint()",
	}}},
	{name: "a joint change completed before it is committed", test: "TestJointChangeCompletedOnceCommitted", edits: []edit{{
		"membership.go",
		"if configuration.Index > r.log.committed || !r.hasCommittedOwnTerm() {",
		"if !r.hasCommittedOwnTerm() {",
	}}},
	{name: "a configuration that was cut off with the log's end kept", test: "TestConfigurationCutOff", edits: []edit{{
		"log.go",
		"	if l.configuration.Index >= index {\n		l.refreshConfiguration()\n	}\n",
		"",
	}}},
	{name: "a member that starts counts by its snapshot's members", edits: []edit{{
		"log.go",
		"	l.savedIndex = l.lastIndex()\n	l.refreshConfiguration()\n",
		"	l.savedIndex = l.lastIndex()\n	l.configuration = l.snapshot.configuration()\n",
	}}},
}

// Mutations of the rules that fence members that got leave, or lost their disk.
var fencingMutations = []mutant{
	{name: "an answer under way taken for that of the next process", edits: []edit{{
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
		"self: n.self, snapshot: BootstrapSnapshot(s.founders), now",
	}}},
	{name: "what a member holds after it got leave counts", edits: []edit{acknowledgedAfterLeave}},
	{
		name: "a member that got leave says more", edits: []edit{{
			"ready.go",
			"		ready.MessagesBeforeSave, ready.MessagesAfterSave = nil, nil\n",
			"",
		}},
		maskedBy: "what it acknowledges does not count", with: []edit{acknowledgedAfterLeave},
	},
	{name: "an acknowledgement beyond the commit index counts after leave", test: "TestAcknowledgementBeforeLeaveIsCapped", edits: []edit{{
		"leave.go",
		"p.leaveGranted, p.match = true, min(p.match, r.log.committed)",
		"p.leaveGranted = true",
	}}},
	{name: "a member that goes counts for those that stay", edits: []edit{{
		"leave.go",
		"return member.ID == leaving.ID })",
		"return false })",
	}}},
	{name: "leave granted by answers from before it was asked for", test: "TestLeaveWaitsForAnswers", edits: []edit{{
		"leave.go",
		"return p != nil && p.answeredRound >= leaving.leaveRound",
		"return p != nil",
	}}},
	{name: "leave granted while a change of the membership is under way", test: "TestLeaveWaitsForMembershipChange", edits: []edit{{
		"leave.go",
		"return r.log.isConfigurationCommitted() && !r.isReplacementReady(p.ID)",
		"return !r.isReplacementReady(p.ID)",
	}}},
	{name: "leave granted though a learner could take the place", test: "TestLeaveWaitsForReplacement", edits: []edit{{
		"leave.go",
		"return r.log.isConfigurationCommitted() && !r.isReplacementReady(p.ID)",
		"return r.log.isConfigurationCommitted()",
	}}},
	{name: "a message meant for another at this address taken", test: "TestMessageForAnother", edits: []edit{{
		"step.go",
		"	case m.To != r.config.Self.ID:\n		return // meant for a member that used this address before\n",
		"",
	}}},
}

var acknowledgedAfterLeave = edit{"progress.go", "	if !p.leaveGranted {\n", "	if true {\n"}

// mutations are all of them.
var mutations = slices.Concat(voteMutations, commitMutations, readMutations, snapshotMutations, membershipMutations, fencingMutations)
