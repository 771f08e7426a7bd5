package testcluster

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/testfleet"
)

// startRelayedCluster starts a mesh whose connections, and the calls of whose operators, go through a relay.
func startRelayedCluster(t *testing.T, members, tolerance int, services ...string) (*Cluster, *testfleet.Relay) {
	t.Helper()
	m, relay, err := NewRelayed(linkPrograms(t, programsDir), members, tolerance, services...)
	closeAfter(t, m)
	assert.NilError(t, err)
	m.applyInitialRoutes(t)
	return m, relay
}

// awaitLeader waits until one of some members, by default of all, leads and is in contact with a majority.
func (m *Cluster) awaitLeader(t *testing.T, of ...*Machine) (lead *Machine) {
	t.Helper()
	if len(of) == 0 {
		of = m.Members
	}
	assert.Assert(t, testfleet.Await(testTimeout, func() bool {
		for _, x := range of {
			if x.Process == nil {
				continue
			}
			if s := x.statusPastRelay(); s != nil && s.IsLeader && s.QuorumContact {
				lead = x
				return true
			}
		}
		return false
	}), "nobody leads")
	return lead
}

// addFillerRoutes applies a number of routes that only enlarge the state.
func (m *Cluster) addFillerRoutes(t *testing.T, by *Operator, at *Machine, routes int) {
	t.Helper()
	var items []map[string]any
	for n := range routes {
		name := fmt.Sprint(fillerPrefix, n)
		items = append(items, RouteItem(name, "idempotent", "/"+name+"/", "stock", 1))
	}
	body, last := ModifyCall(1, nil, items...), ""
	assert.Assert(t, testfleet.Await(testTimeout, func() bool {
		status, text := by.Modify(at, body)
		last = text
		return status == 200
	}), last)
}

// membersExcept returns the members other than one.
func (m *Cluster) membersExcept(x *Machine) (others []*Machine) {
	for _, other := range m.Members {
		if other != x {
			others = append(others, other)
		}
	}
	return others
}

// pathsTo returns the paths from one machine to others.
func pathsTo(x *Machine, others ...*Machine) (paths []testfleet.Direction) {
	for _, other := range others {
		paths = append(paths, x.PathTo(other))
	}
	return paths
}

// pathsBetween returns the paths from one machine to others, and back.
func pathsBetween(x *Machine, others ...*Machine) (paths []testfleet.Direction) {
	for _, path := range pathsTo(x, others...) {
		paths = append(paths, path, path.Reverse())
	}
	return paths
}

// Every connection and every operator's call goes through the relay, in both directions. A partition of two machines affects no others.
func TestRelayCarriesAllConnections(t *testing.T) {
	runParallel(t)
	m, relay := startRelayedCluster(t, 3, 1, "stock", "orders")
	m.Sidecars[0].awaitServed(t, "POST", "/send/x", "k")
	m.Sidecars[1].awaitServed(t, "GET", "/read/x", "")
	ana := m.Operator(0)
	status, text := ana.Fetch(m.Members[0])
	assert.Equal(t, status, 200, text)
	ways := []testfleet.Direction{ana.PathTo(m.Members[0]), m.Sidecars[0].PathTo(m.Sidecars[1]), m.Sidecars[1].PathTo(m.Sidecars[0])}
	for _, x := range m.Members {
		ways = append(ways, pathsBetween(x, m.membersExcept(x)...)...)
	}
	for _, w := range ways {
		assert.Assert(t, testfleet.Await(testTimeout, func() bool { return relay.BytesForwarded(w) > 0 && relay.BytesForwarded(w.Reverse()) > 0 }), "%v", w)
	}
	old := m.awaitLeader(t)
	relay.Set(testfleet.Link{Cut: true}, pathsBetween(old, m.membersExcept(old)...)...)
	m.awaitLeader(t, m.membersExcept(old)...)
	status, text = ana.Modify(old, ModifyCall(2, nil, RouteItem("cut", "idempotent", "/cut/", "stock", 2)))
	assert.Assert(t, status == 503 || status == 0, "%d %s", status, text)
	m.assertNoViolations(t)
}
