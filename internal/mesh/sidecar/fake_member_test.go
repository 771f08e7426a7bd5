package sidecar

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/testfleet"
)

// patience is the time limit for reaching an expected state.
const patience = 20 * time.Second

// fakeMember stands in for a control-plane member, and accepts the connections that a sidecar dials to it.
type fakeMember struct {
	addr  string
	conns chan *transport.Conn
}

func newFakeMember(t *testing.T) *fakeMember {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	m := &fakeMember{addr: listener.Addr().String(), conns: make(chan *transport.Conn, 64)}
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			if conn, err := transport.Accept(accepted, nil); err == nil {
				m.conns <- conn
			}
		}
	}()
	return m
}

// greet sends the first messages of a member, which report whether it has contact to a quorum.
func greet(conn *transport.Conn, hasQuorum bool) {
	conn.Send(&wire.MembersT{})
	conn.Send(&wire.HeartbeatT{QuorumContact: hasQuorum})
}

// acceptDial accepts the next connection and greets it.
func (m *fakeMember) acceptDial(hasQuorum bool) *transport.Conn {
	conn := <-m.conns
	greet(conn, hasQuorum)
	return conn
}

// sidecarWith returns a sidecar with these members as its seeds. Only its control-plane connection runs.
func sidecarWith(t *testing.T, members ...*fakeMember) *Sidecar {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := assemble(settings.Defaults(), zerolog.Nop(), discardRing())
	s.env.ctx = ctx
	s.controlPlane.seeds = func() (seeds []string) {
		for _, m := range members {
			seeds = append(seeds, m.addr)
		}
		return seeds
	}
	go s.controlPlane.run()
	return s
}

// newFollowingSidecar returns a sidecar that follows a member, and both ends of their connection.
func newFollowingSidecar(t *testing.T) (s *Sidecar, near, far *transport.Conn) {
	t.Helper()
	m := newFakeMember(t)
	s = sidecarWith(t, m)
	assert.Assert(t, testfleet.Await(patience, func() bool {
		select {
		case far = <-m.conns: // a later one if the sidecar has given up a dial that was greeted too late
			greet(far, true)
			accepted := far
			t.Cleanup(func() { accepted.Close(nil) })
		default:
		}
		near = s.controlPlane.conn.Load()
		return near != nil
	}))
	return s, near, far
}
