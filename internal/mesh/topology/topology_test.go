package topology

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestWarnings(t *testing.T) {
	healthyMesh := func() Topology {
		t := sampleTopology(4)
		t.Sidecars[2].State, t.Sidecars[2].StateReason = stateReady, ""
		return t
	}
	for _, test := range []struct {
		name   string
		change func(t *Topology)
		want   []string
	}{
		{"all is well", func(*Topology) {}, nil},
		{
			"the asked member has no quorum", func(t *Topology) { t.QuorumContact = false },
			[]string{"10.1.0.42:7380 is out of contact with a majority of the members: what it reported may be stale"},
		},
		{
			"no configuration", func(t *Topology) { t.Items = nil },
			[]string{"the configuration could not be confirmed by a majority, or there is none yet"},
		},
		{
			"a member is unreachable", func(t *Topology) { t.Members[0].Unreachable = "refused" },
			[]string{"member core-1 does not answer: refused"},
		},
		{"a member has a fault", func(t *Topology) { t.Members[0].Fault = "disk full" }, []string{"member core-1 has a fault: disk full"}},
		{
			"a process is no member yet", func(t *Topology) { t.Members[0].IsMember = false },
			[]string{"member core-1 is no voter and asks to join"},
		},
		{"nobody leads", func(t *Topology) { t.Members[1].IsLeader = false }, []string{"no member leads"}},
		{
			"a sidecar is unreachable, and its server with it", func(t *Topology) { t.Sidecars[0].Unreachable = "refused" },
			[]string{"sidecar sidecar-hall-0-0 does not answer: refused", "service service-0 has no server"},
		},
		{
			"a sidecar is fenced", func(t *Topology) { t.Sidecars[0].Fenced = true },
			[]string{"sidecar sidecar-hall-0-0 rejects what namespaces own: it could not confirm which policies are active"},
		},
		{
			"a sidecar goes by another policy set", func(t *Topology) { t.PolicyFingerprint = "p"; t.Sidecars = t.Sidecars[:1]; t.Routes = nil },
			[]string{"sidecar sidecar-hall-0-0 goes by other policies than the active ones"},
		},
		{
			"a server is down", func(t *Topology) { t.Sidecars[1].State, t.Sidecars[1].StateReason = stateDown, "its port is closed" },
			[]string{"server i-001eef of service-1 at sidecar-hall-1-1 is out (down): its port is closed", "service service-1 has no server"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			mesh := healthyMesh()
			test.change(&mesh)
			assert.DeepEqual(t, mesh.Warnings(), test.want)
		})
	}
}

func TestFillLag(t *testing.T) {
	mesh := sampleTopology(1)
	mesh.Members[0].AppliedIndex = 1190
	mesh.Items = []ItemVersion{{Kind: "route", Name: "a", Version: 2}, {Kind: "route", Name: "b", Version: 1}}
	itemsByAddr := map[string][]ItemVersion{mesh.Members[0].Addr: {{Kind: "route", Name: "a", Version: 1}}}
	for _, m := range mesh.Members[1:] {
		itemsByAddr[m.Addr] = mesh.Items
	}
	itemsByAddr[mesh.Sidecars[0].Addr] = mesh.Items[:1]
	mesh.fillLag(itemsByAddr)
	assert.Equal(t, mesh.Members[0].LagEntries, uint64(10))
	assert.DeepEqual(t, mesh.Members[0].StaleItems, mesh.Items)
	assert.Equal(t, len(mesh.Members[1].StaleItems), 0)
	assert.DeepEqual(t, mesh.Sidecars[0].StaleItems, mesh.Items[1:])
}

func TestSaveAndLoad(t *testing.T) {
	saved := sampleTopology(13)
	var file bytes.Buffer
	assert.NilError(t, saved.Save(&file))
	loaded, err := Load(&file)
	assert.NilError(t, err)
	assert.DeepEqual(t, loaded, saved)
	_, err = Load(strings.NewReader(`{"asked":"10.1.0.42:7380","registers":[],"lines":[]}`))
	assert.ErrorIs(t, err, ErrFormat)
	_, err = Load(strings.NewReader("no JSON"))
	assert.ErrorContains(t, err, "reading a saved topology")
}
