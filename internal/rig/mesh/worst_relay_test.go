package mesh

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/trunk/wire"
	"hollyspur/internal/rig"
)

// startRelayed starts a mesh whose trunks, and the calls of whose operators, go through a relay.
func startRelayed(t *testing.T, registers, tolerance int, services ...string) (*Mesh, *rig.Relay) {
	t.Helper()
	dir := t.TempDir()
	for _, p := range []string{"line", "register"} {
		assert.NilError(t, os.Link(programs+"/"+p, dir+"/"+p))
	}
	m, relay, err := NewRelayed(dir, registers, tolerance, services...)
	t.Cleanup(m.Close)
	t.Cleanup(func() {
		if t.Failed() {
			for _, x := range append(append([]*Machine(nil), m.Registers...), m.Lines...) {
				if x.Process != nil {
					t.Logf("%s:\n%s", x.Name, x.Process.Tail())
				}
			}
		}
	})
	assert.NilError(t, err)
	m.change(t, 1, Route("read", "idempotent", "/read/", "stock", 1), Route("send", "keyed", "/send/", "orders", 1))
	assert.Assert(t, m.Ready(patience), "the lines are not ready")
	return m, relay
}

// status is how a machine's program says that it is, asked past the relay; nil: it says nothing.
func (x *Machine) status() *wire.StatusT {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	body, err := trunk.AskOne(ctx, x.of.at(x.IP, portTrunks), "test", trunk.AskStatus, nil)
	if err != nil {
		return nil
	}
	s, err := trunk.Parse(body, func(p []byte) *wire.StatusT { return wire.GetRootAsStatus(p, 0).UnPack() })
	if err != nil {
		return nil
	}
	return s
}

// leader waits until one of the registers named, all if none is, leads and is in touch with a majority.
func (m *Mesh) leader(t *testing.T, of ...*Machine) (lead *Machine) {
	t.Helper()
	if len(of) == 0 {
		of = m.Registers
	}
	assert.Assert(t, rig.Await(patience, func() bool {
		for _, x := range of {
			if x.Process == nil {
				continue
			}
			if s := x.status(); s != nil && s.Leads && s.Touch {
				lead = x
				return true
			}
		}
		return false
	}), "nobody leads")
	return lead
}

// fill has so many routes acknowledged that only make the state larger.
func (m *Mesh) fill(t *testing.T, by *Operator, at *Machine, routes int) {
	t.Helper()
	var l []map[string]any
	for n := range routes {
		name := fmt.Sprint(filler, n)
		l = append(l, Route(name, "idempotent", "/"+name+"/", "stock", 1))
	}
	body, last := Modify(1, nil, l...), ""
	assert.Assert(t, rig.Await(patience, func() bool {
		status, text := by.Modify(at, body)
		last = text
		return status == 200
	}), last)
}

// but are the registers other than one.
func (m *Mesh) but(x *Machine) (l []*Machine) {
	for _, y := range m.Registers {
		if y != x {
			l = append(l, y)
		}
	}
	return l
}

// oneWay are the ways from one machine to others, and apart those the ways both there and back.
func oneWay(x *Machine, to ...*Machine) (l []rig.Way) {
	for _, y := range to {
		l = append(l, x.Way(y))
	}
	return l
}

func apart(x *Machine, others ...*Machine) (l []rig.Way) {
	for _, w := range oneWay(x, others...) {
		l = append(l, w, w.Back())
	}
	return l
}

// Every trunk goes through the relay, both ways, and so do operators' calls; a cut between two machines is one of theirs only.
func TestRelayedMesh(t *testing.T) {
	m, relay := startRelayed(t, 3, 1, "stock", "orders")
	m.Lines[0].served(t, "POST", "/send/x", "k")
	m.Lines[1].served(t, "GET", "/read/x", "")
	ana := m.Operator(0)
	status, text := ana.Fetch(m.Registers[0])
	assert.Equal(t, status, 200, text)
	ways := []rig.Way{ana.Way(m.Registers[0]), m.Lines[0].Way(m.Lines[1]), m.Lines[1].Way(m.Lines[0])}
	for _, x := range m.Registers {
		ways = append(ways, apart(x, m.but(x)...)...)
	}
	for _, w := range ways {
		assert.Assert(t, rig.Await(patience, func() bool { return relay.Passed(w) > 0 && relay.Passed(w.Back()) > 0 }), "%v", w)
	}
	old := m.leader(t)
	relay.Set(rig.Link{Cut: true}, apart(old, m.but(old)...)...)
	m.leader(t, m.but(old)...)
	status, text = ana.Modify(old, Modify(2, nil, Route("cut", "idempotent", "/cut/", "stock", 2)))
	assert.Assert(t, status == 503 || status == 0, "%d %s", status, text)
	m.clean(t)
}
