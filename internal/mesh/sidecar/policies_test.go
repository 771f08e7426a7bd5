package sidecar

import (
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/transport/wire"
)

// A sidecar applies an active policy set completely or not at all, and ignores notifications of older sets and of sets that it has not received.
// Until it has applied a set, it rejects requests to which policies apply.
func TestPoliciesApplyCompletely(t *testing.T) {
	s, _, _ := newFollowingSidecar(t)
	c := s.configuration
	items, err := config.ParseItems([]byte(`{"Upsert":{"NamespaceList":[{"Name":"n","ConfigVersion":1,"Owners":["ana"],"Services":["s"]}],
		"RulingList":[{"Name":"r","Namespace":"n","ConfigVersion":1,"Tries":1}]}}`))
	assert.NilError(t, err)
	table, _ := config.Table{}.Merge(items)
	first, _ := config.Table{}.Merge(items[:1])
	read := config.ItemsToWire(items)
	read.ActiveFingerprint, read.ActiveIndex = first.PolicyFingerprint(), 3
	read.ActivePolicy = config.ItemsToWire(items[1:]).List // does not match the active fingerprint
	assert.Assert(t, !c.applyConfirmedTable(read, s.env.clock.Now()))
	assert.Assert(t, c.policies.current().HasPolicies && c.policies.current().Active == "" && !c.policies.table.HasPolicyItems())
	read.ActivePolicy = config.ItemsToWire(items[:1]).List
	assert.Assert(t, c.applyConfirmedTable(read, s.env.clock.Now()))
	assert.Equal(t, c.policies.table.PolicyFingerprint(), first.PolicyFingerprint())
	assert.Assert(t, !c.isFenced())
	c.applyActivePolicies(&wire.ActivePolicyT{Fingerprint: table.PolicyFingerprint(), Index: 5})
	assert.Equal(t, c.policies.table.PolicyFingerprint(), table.PolicyFingerprint())
	c.applyActivePolicies(&wire.ActivePolicyT{Fingerprint: first.PolicyFingerprint(), Index: 4}) // out of order
	c.applyActivePolicies(&wire.ActivePolicyT{Fingerprint: "of a set that was not received", Index: 6})
	assert.Equal(t, c.policies.table.PolicyFingerprint(), table.PolicyFingerprint())
	assert.Equal(t, c.policies.current().ActiveIndex, uint64(5))
}
