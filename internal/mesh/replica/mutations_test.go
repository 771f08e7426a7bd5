package replica

import (
	"testing"

	"cranegrade/internal/testkit/mutation"
)

// TestMutations checks that the tests of this package detect each of these mutations of the code, which concern what a replica
// acknowledges, reads and stores.
func TestMutations(t *testing.T) {
	mutation.Run(t, []mutation.Mutation{
		{
			Name: "a duplicate update acknowledged without a commit", File: "updates.go", KilledBy: "TestUpdatesOfOneItemAreAdmittedInOrder",
			Original:    "		r.confirmDuplicate(done)\n",
			Replacement: "		done(Reply{Status: http.StatusOK})\n",
		},
		{
			Name: "an update admitted before an earlier one of its items is applied", File: "updates.go", KilledBy: "TestUpdatesOfOneItemAreAdmittedInOrder",
			Original:    "	return r.pendingUpdates.latestFor(r.raft.Term(), update)\n",
			Replacement: "	return 0\n",
		},
		{
			Name: "an update admitted before earlier leaders' entries are applied", File: "updates.go", KilledBy: "TestNewLeaderWaitsForEarlierTerms",
			Original:    "	if !r.raft.IsCaughtUpLeader() {\n",
			Replacement: "	if false {\n",
		},
		{
			Name: "an update that waits for proposals of another term", File: "updates.go", KilledBy: "TestProposalsOfAnotherTermDoNotBlock",
			Original:    "	if p.term != term {\n		return 0",
			Replacement: "	if false {\n		return 0",
		},
		{
			Name: "an applied update that still blocks others", File: "updates.go", KilledBy: "TestUpdatesOfOneItemAreAdmittedInOrder",
			Original:    "		if p.latest[item.Key] == index {\n			delete(p.latest, item.Key)\n		}\n",
			Replacement: "		_ = p.latest[item.Key]\n",
		},
		{
			Name: "another leader's entry reported as the proposed one", File: "proposals.go", KilledBy: "TestTruncatedProposalIsUnknown",
			Original:    "ProposalResult{Known: p.term == term,",
			Replacement: "ProposalResult{Known: true,",
		},
		{
			Name: "a read at an unconfirmed leader", File: "reads.go", KilledBy: "TestIsolatedLeaderServesNoRead",
			Original:    "	if !r.raft.ReadIndex(r.now, r.reads.lastID) {\n		done(ReadIndexResult{})",
			Replacement: "	if true {\n		done(ReadIndexResult{Confirmed: true, Index: r.raft.AppliedIndex()})",
		},
		{
			Name: "a read before the entry at its index is applied", File: "reads.go", KilledBy: "TestReadWaitsForItsIndex",
			Original:    "		if w.index <= applied {\n",
			Replacement: "		if w.index <= applied || true {\n",
		},
		{
			Name: "a Ready dropped after its save failed", File: "ready.go", KilledBy: "TestUnsavedReadyIsSavedAgain",
			Original:    "			r.unsavedReady = &ready\n",
			Replacement: "",
		},
		{
			Name: "messages sent that depend on a failed save", File: "ready.go", KilledBy: "TestUnsavedReadyIsSavedAgain",
			Original:    "	if ready.MustSync() {\n		if !r.env.Save",
			Replacement: "	r.sendAll(ready.MessagesAfterSave)\n	if ready.MustSync() {\n		if !r.env.Save",
		},
		{
			Name: "forwarded calls that wait for a former leader", File: "replica.go", KilledBy: "TestForwardedCallsFailWhenTheLeaderChanges",
			Original:    "	r.failForwardedCalls()\n",
			Replacement: "",
		},
		{
			Name: "a stalled replica that reports quorum contact", File: "replica.go", KilledBy: "TestHasQuorumContact",
			Original:    "return quorumContact > 0 && now-quorumContact < stallTimeout",
			Replacement: "return quorumContact > 0",
		},
		{
			Name: "a replica in maintenance that reports quorum contact", File: "replica.go", KilledBy: "TestMaintenanceEndsQuorumContact",
			Original:    "!r.raft.IsNonMember() && !r.inMaintenance",
			Replacement: "!r.raft.IsNonMember()",
		},
		{
			Name: "a leader in maintenance that does not transfer leadership", File: "replica.go", KilledBy: "TestMaintenanceEndsQuorumContact",
			Original:    "		r.raft.TransferLeadership(r.now)\n",
			Replacement: "",
		},
		{
			Name: "key leases omitted from a snapshot", File: "snapshot.go", KilledBy: "TestSnapshotContainsKeyLeases",
			Original:    "range s.KeyLeases.Leases() {",
			Replacement: "range s.KeyLeases.Leases()[:0] {",
		},
		{
			Name: "lease windows omitted from a snapshot", File: "snapshot.go", KilledBy: "TestSnapshotContainsKeyLeases",
			Original:    "			WindowNs:    int64(lease.Window),\n",
			Replacement: "",
		},
		{
			Name: "a replica with a damaged disk that bootstraps under its former ID", File: "bootstrap.go", KilledBy: "TestBootstrap",
			Original:    "!b.FirstStart || b.Damaged ||",
			Replacement: "!b.FirstStart ||",
		},
	})
}
