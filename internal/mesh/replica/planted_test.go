package replica

import (
	"testing"

	"cranegrade/internal/testkit/mutation"
)

// Each error in what a replica acknowledges, reads and keeps is found by a test of this package.
func TestPlantedErrors(t *testing.T) {
	mutation.Run(t, []mutation.Mutation{
		{
			Name: "a repeated call acknowledged without agreement", File: "modify.go", KilledBy: "TestModifyInOrder",
			Original:    "		r.acknowledgeAgain(done)\n",
			Replacement: "		done(Reply{Status: http.StatusOK})\n",
		},
		{
			Name: "a call judged before an earlier one of its items is applied", File: "modify.go", KilledBy: "TestModifyInOrder",
			Original:    "	return r.modifying.underWay(r.core.Term(), c)\n",
			Replacement: "	return 0\n",
		},
		{
			Name: "a call judged before what earlier leaders had agreed on is applied", File: "modify.go", KilledBy: "TestNewLeaderWaitsForEarlierTerms",
			Original:    "	if !r.core.Current() {\n",
			Replacement: "	if false {\n",
		},
		{
			Name: "a call held back by proposals of another term", File: "modify.go", KilledBy: "TestModifyingOfATerm",
			Original:    "	if m.term != term {\n		return 0",
			Replacement: "	if false {\n		return 0",
		},
		{
			Name: "an applied call that holds others back", File: "modify.go", KilledBy: "TestModifyInOrder",
			Original:    "		if m.latest[i.Name] == index {\n			delete(m.latest, i.Name)\n		}\n",
			Replacement: "		_ = m.latest[i.Name]\n",
		},
		{
			Name: "another leader's entry taken for one's own", File: "turn.go", KilledBy: "TestOvertakenProposalIsUnknown",
			Original:    "p.done(o, p.term == e.Term)",
			Replacement: "p.done(o, true)",
		},
		{
			Name: "a read by a leader that is not confirmed", File: "calls.go", KilledBy: "TestIsolatedLeaderServesNoRead",
			Original:    "		if !r.core.Ask(r.now, r.nextRead) {\n			done(0, false)",
			Replacement: "		if true {\n			done(r.core.Applied(), true)",
		},
		{
			Name: "a read before what it needs is applied", File: "turn.go", KilledBy: "TestReadWaitsForItsIndex",
			Original:    "		if w.index <= at {\n",
			Replacement: "		if w.index <= at || true {\n",
		},
		{
			Name: "a Ready forgotten that the disk did not take", File: "turn.go", KilledBy: "TestUnsavedReadyIsSavedAgain",
			Original:    "			r.unsaved = &ready\n",
			Replacement: "",
		},
		{
			Name: "answers sent that the disk did not take", File: "turn.go", KilledBy: "TestUnsavedReadyIsSavedAgain",
			Original:    "	if ready.Must() {\n		if !r.env.Save",
			Replacement: "	r.sendAll(ready.After)\n	if ready.Must() {\n		if !r.env.Save",
		},
		{
			Name: "calls left with a leader that is none any more", File: "replica.go", KilledBy: "TestForwardsEndWithTheLeader",
			Original:    "	r.endForwards()\n",
			Replacement: "",
		},
		{
			Name: "a hung replica in touch", File: "replica.go", KilledBy: "TestHasQuorumContact",
			Original:    "return touched > 0 && now-touched < stuckAfter",
			Replacement: "return touched > 0",
		},
		{
			Name: "a replica in touch that an order has out", File: "replica.go", KilledBy: "TestMaintenanceEndsQuorumContact",
			Original:    "!r.core.Outside() && !r.held",
			Replacement: "!r.core.Outside()",
		},
		{
			Name: "a leader that stays although an order has it out", File: "replica.go", KilledBy: "TestMaintenanceEndsQuorumContact",
			Original:    "		r.core.Yield(r.now)\n",
			Replacement: "",
		},
		{
			Name: "keys left out of a snapshot", File: "state.go", KilledBy: "TestKeysInSnapshot",
			Original:    "range s.Keys.All() {",
			Replacement: "range s.Keys.All()[:0] {",
		},
		{
			Name: "windows left out of a snapshot", File: "state.go", KilledBy: "TestKeysInSnapshot",
			Original:    ", Window: int64(h.Window)",
			Replacement: "",
		},
		{
			Name: "another life of a replica whose disk is damaged founds", File: "identity.go", KilledBy: "TestBeginnings",
			Original:    "!b.FirstStart || b.Damaged ||",
			Replacement: "!b.FirstStart ||",
		},
	})
}
