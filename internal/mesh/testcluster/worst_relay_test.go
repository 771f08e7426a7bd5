package testcluster

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/rig"
)

// startRelayedCluster starts a mesh whose trunks, and the calls of whose operators, go through a relay.
func startRelayedCluster(t *testing.T, registers, tolerance int, services ...string) (*Cluster, *rig.Relay) {
	t.Helper()
	dir := t.TempDir()
	for _, p := range []string{"sidecar", "controlplane"} {
		assert.NilError(t, os.Link(programsDir+"/"+p, dir+"/"+p))
	}
	m, relay, err := NewRelayed(dir, registers, tolerance, services...)
	t.Cleanup(m.Close)
	t.Cleanup(func() {
		if t.Failed() {
			for _, x := range append(append([]*Machine(nil), m.Members...), m.Sidecars...) {
				if x.Process != nil {
					t.Logf("%s:\n%s", x.Name, x.Process.Tail())
				}
			}
		}
	})
	assert.NilError(t, err)
	m.applyRoutes(t, 1, RouteItem("read", "idempotent", "/read/", "stock", 1), RouteItem("send", "keyed", "/send/", "orders", 1))
	assert.Assert(t, m.AwaitReady(testTimeout), "the lines are not ready")
	return m, relay
}

// statusPastRelay is how a machine's program says that it is, asked past the relay; nil: it says nothing.
func (x *Machine) statusPastRelay() *wire.StatusT {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	body, err := transport.CallOnce(ctx, x.cluster.addr(x.IP, portBehindRelay), "test", codec.CallStatus, nil)
	if err != nil {
		return nil
	}
	s, err := codec.DecodeTable(body, func(p []byte) *wire.StatusT { return wire.GetRootAsStatus(p, 0).UnPack() })
	if err != nil {
		return nil
	}
	return s
}

// awaitLeader waits until one of the registers named, all if none is, leads and is in touch with a majority.
func (m *Cluster) awaitLeader(t *testing.T, of ...*Machine) (lead *Machine) {
	t.Helper()
	if len(of) == 0 {
		of = m.Members
	}
	assert.Assert(t, rig.Await(testTimeout, func() bool {
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

// addFillerRoutes has so many routes acknowledged that only make the state larger.
func (m *Cluster) addFillerRoutes(t *testing.T, by *Operator, at *Machine, routes int) {
	t.Helper()
	var l []map[string]any
	for n := range routes {
		name := fmt.Sprint(fillerPrefix, n)
		l = append(l, RouteItem(name, "idempotent", "/"+name+"/", "stock", 1))
	}
	body, last := ModifyCall(1, nil, l...), ""
	assert.Assert(t, rig.Await(testTimeout, func() bool {
		status, text := by.Modify(at, body)
		last = text
		return status == 200
	}), last)
}

// membersExcept are the registers other than one.
func (m *Cluster) membersExcept(x *Machine) (l []*Machine) {
	for _, y := range m.Members {
		if y != x {
			l = append(l, y)
		}
	}
	return l
}

// pathsTo are the ways from one machine to others, and apart those the ways both there and back.
func pathsTo(x *Machine, to ...*Machine) (l []rig.Way) {
	for _, y := range to {
		l = append(l, x.PathTo(y))
	}
	return l
}

func pathsBetween(x *Machine, others ...*Machine) (l []rig.Way) {
	for _, w := range pathsTo(x, others...) {
		l = append(l, w, w.Back())
	}
	return l
}

// Every trunk goes through the relay, both ways, and so do operators' calls; a cut between two machines is one of theirs only.
func TestRelayCarriesAllConnections(t *testing.T) {
	m, relay := startRelayedCluster(t, 3, 1, "stock", "orders")
	m.Sidecars[0].awaitServed(t, "POST", "/send/x", "k")
	m.Sidecars[1].awaitServed(t, "GET", "/read/x", "")
	ana := m.Operator(0)
	status, text := ana.Fetch(m.Members[0])
	assert.Equal(t, status, 200, text)
	ways := []rig.Way{ana.PathTo(m.Members[0]), m.Sidecars[0].PathTo(m.Sidecars[1]), m.Sidecars[1].PathTo(m.Sidecars[0])}
	for _, x := range m.Members {
		ways = append(ways, pathsBetween(x, m.membersExcept(x)...)...)
	}
	for _, w := range ways {
		assert.Assert(t, rig.Await(testTimeout, func() bool { return relay.Passed(w) > 0 && relay.Passed(w.Back()) > 0 }), "%v", w)
	}
	old := m.awaitLeader(t)
	relay.Set(rig.Link{Cut: true}, pathsBetween(old, m.membersExcept(old)...)...)
	m.awaitLeader(t, m.membersExcept(old)...)
	status, text = ana.Modify(old, ModifyCall(2, nil, RouteItem("cut", "idempotent", "/cut/", "stock", 2)))
	assert.Assert(t, status == 503 || status == 0, "%d %s", status, text)
	m.assertNoViolations(t)
}
