package sidecar

import (
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/testfleet"
)

// A member is followed as long as it reports contact to a quorum. The connection to it counts as having pending work, so that a hang is detected
// sooner than by the long timeout of an idle connection. A member that reports no quorum contact is left only once another member with quorum
// contact is found; meanwhile the control plane counts as unreachable after the grace period.
func TestMemberWithoutQuorumIsFollowedUntilReplaced(t *testing.T) {
	t.Parallel()
	a, b := newFakeMember(t), newFakeMember(t)
	s := sidecarWith(t, a, b)
	first := a.acceptDial(true)
	m, err := first.Receive()
	assert.NilError(t, err)
	_, is := m.Value.(*wire.RecordsT)
	assert.Assert(t, is, "the first message on a followed connection must be the sidecar's record")
	assert.Equal(t, s.controlPlane.conn.Load().Pending(), int64(1))
	assert.Assert(t, testfleet.Await(patience, s.controlPlane.isReachable))
	ended := drainUntilClosed(first)
	reportNoQuorum := func() { first.Send(&wire.HeartbeatT{QuorumContact: false}) }
	assert.Assert(t, testfleet.Await(patience, func() bool { reportNoQuorum(); return !s.controlPlane.isReachable() }))
	select {
	case <-ended:
		t.Fatal("the member was left although no other member has quorum contact")
	default:
	}
	go func() {
		for conn := range b.conns {
			greet(conn, true)
			go conn.Receive()
		}
	}()
	assert.Assert(t, testfleet.Await(patience, func() bool {
		reportNoQuorum()
		select {
		case <-ended:
			return s.controlPlane.isReachable()
		default:
			return false
		}
	}))
	assert.Equal(t, s.controlPlane.conn.Load().RemoteAddr(), b.addr)
}

// drainUntilClosed reads from a connection on its own goroutine. The returned channel is closed when the connection ends.
func drainUntilClosed(conn *transport.Conn) chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			if _, err := conn.Receive(); err != nil {
				return
			}
		}
	}()
	return ended
}

// A sidecar that starts before any member listens follows the first one that does.
func TestMemberFollowedAfterRefusedDials(t *testing.T) {
	nobody, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	nobody.Close()
	s := sidecarWith(t, &fakeMember{addr: nobody.Addr().String()})
	assert.Assert(t, testfleet.Await(patience, func() bool {
		refused := make(chan bool, 1)
		s.controlPlane.post(func(time.Duration) { refused <- len(s.controlPlane.members) == 0 })
		return <-refused
	}))
	late := newFakeMember(t)
	s.controlPlane.post(func(now time.Duration) { s.controlPlane.selector.SetMembers(now, 1, []string{late.addr}) })
	late.acceptDial(true)
	assert.Assert(t, testfleet.Await(patience, s.controlPlane.isReachable))
}
