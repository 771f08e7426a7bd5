package replica

import (
	"testing"

	"cranegrade/internal/testkit/mutation"
)

// TestPlantedErrors shows that each error in what a replica acknowledges, reads and keeps is found by a test of this package.
func TestPlantedErrors(t *testing.T) {
	mutation.Run(t, []mutation.Mutation{
		{
			Name: "a repeated call acknowledged without agreement", File: "updates.go", KilledBy: "TestCallsOfOneItemAreJudgedInOrder",
			Original:    "		r.confirmDuplicate(done)\n",
			Replacement: "		done(Reply{Status: http.StatusOK})\n",
		},
		{
			Name: "a call judged before an earlier one of its items is applied", File: "updates.go", KilledBy: "TestCallsOfOneItemAreJudgedInOrder",
			Original:    "	return r.pendingUpdates.latestFor(r.raft.Term(), update)\n",
			Replacement: "	return 0\n",
		},
		{
			Name: "a call judged before earlier leaders' entries are applied", File: "updates.go", KilledBy: "TestNewLeaderWaitsForEarlierTerms",
			Original:    "	if !r.raft.IsCaughtUpLeader() {\n",
			Replacement: "	if false {\n",
		},
		{
			Name: "a call held back by proposals of another term", File: "updates.go", KilledBy: "TestProposalsOfAnotherTermDoNotBlock",
			Original:    "	if p.term != term {\n		return 0",
			Replacement: "	if false {\n		return 0",
		},
		{
			Name: "an applied call that holds others back", File: "updates.go", KilledBy: "TestCallsOfOneItemAreJudgedInOrder",
			Original:    "		if p.latest[item.Key] == index {\n			delete(p.latest, item.Key)\n		}\n",
			Replacement: "		_ = p.latest[item.Key]\n",
		},
		{
			Name: "another leader's entry taken for one's own", File: "proposals.go", KilledBy: "TestOvertakenProposalIsUnknown",
			Original:    "ProposalResult{Known: p.term == term,",
			Replacement: "ProposalResult{Known: true,",
		},
		{
			Name: "a read by a leader that is not confirmed", File: "reads.go", KilledBy: "TestIsolatedLeaderServesNoRead",
			Original:    "	if !r.raft.ReadIndex(r.now, r.reads.lastID) {\n		done(ReadIndexResult{})",
			Replacement: "	if true {\n		done(ReadIndexResult{Confirmed: true, Index: r.raft.AppliedIndex()})",
		},
		{
			Name: "a read before what it needs is applied", File: "reads.go", KilledBy: "TestReadWaitsForItsIndex",
			Original:    "		if w.index <= applied {\n",
			Replacement: "		if w.index <= applied || true {\n",
		},
		{
			Name: "a Ready forgotten that the disk did not take", File: "ready.go", KilledBy: "TestUnsavedReadyIsSavedAgain",
			Original:    "			r.unsavedReady = &ready\n",
			Replacement: "",
		},
		{
			Name: "answers sent that the disk did not take", File: "ready.go", KilledBy: "TestUnsavedReadyIsSavedAgain",
			Original:    "	if ready.MustSync() {\n		if !r.env.Save",
			Replacement: "	r.sendAll(ready.MessagesAfterSave)\n	if ready.MustSync() {\n		if !r.env.Save",
		},
		{
			Name: "calls left with a leader that is none any more", File: "replica.go", KilledBy: "TestForwardedCallsFailWhenTheLeaderChanges",
			Original:    "	r.failForwardedCalls()\n",
			Replacement: "",
		},
		{
			Name: "a stalled replica with quorum contact", File: "replica.go", KilledBy: "TestHasQuorumContact",
			Original:    "return quorumContact > 0 && now-quorumContact < stallTimeout",
			Replacement: "return quorumContact > 0",
		},
		{
			Name: "a replica with quorum contact that an order has out", File: "replica.go", KilledBy: "TestMaintenanceEndsQuorumContact",
			Original:    "!r.raft.IsNonMember() && !r.inMaintenance",
			Replacement: "!r.raft.IsNonMember()",
		},
		{
			Name: "a leader that stays although an order has it out", File: "replica.go", KilledBy: "TestMaintenanceEndsQuorumContact",
			Original:    "		r.raft.TransferLeadership(r.now)\n",
			Replacement: "",
		},
		{
			Name: "keys left out of a snapshot", File: "snapshot.go", KilledBy: "TestKeysInSnapshot",
			Original:    "range s.KeyLeases.Leases() {",
			Replacement: "range s.KeyLeases.Leases()[:0] {",
		},
		{
			Name: "windows left out of a snapshot", File: "snapshot.go", KilledBy: "TestKeysInSnapshot",
			Original:    "			WindowNs:    int64(lease.Window),\n",
			Replacement: "",
		},
		{
			Name: "another life of a replica whose disk is damaged founds", File: "bootstrap.go", KilledBy: "TestBootstrap",
			Original:    "!b.FirstStart || b.Damaged ||",
			Replacement: "!b.FirstStart ||",
		},
	})
}
