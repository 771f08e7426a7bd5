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

// A member is followed as long as it has a leader. If it hangs, its silence is detected soon rather than after the long time-out of an idle
// connection. If it reports that it has no leader, it is left only once another member with a leader is found. Meanwhile requests that
// need the control plane are rejected after the grace period.
func TestFollowedMemberIsKept(t *testing.T) {
	t.Parallel()
	a, b := newFakeMember(t), newFakeMember(t)
	s := sidecarWith(t, a, b)
	first := a.acceptDial(true)
	m, err := first.Receive()
	assert.NilError(t, err)
	_, is := m.Value.(*wire.RecordsT)
	assert.Assert(t, is, "its record: it follows by now")
	assert.Equal(t, s.controlPlane.conn.Load().Pending(), int64(1))
	assert.Assert(t, testfleet.Await(patience, s.controlPlane.isReachable))
	ended := drainUntilClosed(first)
	loseLeader := func() { first.Send(&wire.HeartbeatT{QuorumContact: false}) }
	assert.Assert(t, testfleet.Await(patience, func() bool { loseLeader(); return !s.controlPlane.isReachable() }))
	select {
	case <-ended:
		t.Fatal("it was left though no other has a leader")
	default:
	}
	go func() {
		for conn := range b.conns {
			greet(conn, true)
			go conn.Receive()
		}
	}()
	assert.Assert(t, testfleet.Await(patience, func() bool {
		loseLeader()
		select {
		case <-ended:
			return s.controlPlane.isReachable()
		default:
			return false
		}
	}))
	assert.Equal(t, s.controlPlane.conn.Load().RemoteAddr(), b.addr)
}

// drainUntilClosed reads a connection until it ends, which closes the channel.
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
