package sidecar

import (
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/routing"
	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/message"
	"cranegrade/internal/rig"
)

// fakeMember is where a line's dials of one register come out.
type fakeMember struct {
	addr  string
	conns chan *transport.Conn
}

func newFakeMember(t *testing.T) *fakeMember {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	r := &fakeMember{addr: l.Addr().String(), conns: make(chan *transport.Conn, 64)}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			if c, err := transport.Accept(nc, nil); err == nil {
				r.conns <- c
			}
		}
	}()
	return r
}

// acceptDial takes the next dial and says whether there is a leader.
func (r *fakeMember) acceptDial(inTouch bool) *transport.Conn {
	c := <-r.conns
	c.Send(&wire.MembersT{})
	c.Send(&wire.HeartbeatT{QuorumContact: inTouch})
	return c
}

// sidecarWith is a line whose seeds are these registers, with its home's goroutine.
func sidecarWith(t *testing.T, registers ...*fakeMember) *Sidecar {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l := &Sidecar{log: zerolog.Nop(), clock: engine.NewClock(), ctx: ctx}
	set := settings.Defaults()
	l.settings.Store(&set)
	l.routing.Store(routing.NewTable(config.Table{}))
	l.directory.Store(&directory.Table{})
	l.maintenance.Store(&wire.MachinesInMaintenanceT{})
	l.localServer = newLocalServer(l)
	l.pools = newServicePools(l, newResourceBudgets(set))
	l.controlPlane = newControlPlaneConn(l)
	l.controlPlane.seeds = func() (l []string) {
		for _, r := range registers {
			l = append(l, r.addr)
		}
		return l
	}
	go l.controlPlane.run()
	return l
}

const patience = 20 * time.Second

// newFollowingSidecar is a line with a trunk to a home, and that one's side of it.
func newFollowingSidecar(t *testing.T) (l *Sidecar, near, far *transport.Conn) {
	r := newFakeMember(t)
	l = sidecarWith(t, r)
	far = r.acceptDial(true)
	assert.Assert(t, rig.Await(patience, func() bool { near = l.controlPlane.conn.Load(); return near != nil }))
	return l, near, far
}

// A home is waited for as long as it is one: a register that stands still is found silent soon, not after the long time of a
// trunk on which nobody waits. One that says it is out of touch is left for one that is in touch, and not before; meanwhile
// requests that need it are refused, once the time in which another is likely to be found is over.
func TestFollowedMemberIsKept(t *testing.T) {
	a, b := newFakeMember(t), newFakeMember(t)
	l := sidecarWith(t, a, b)
	first := a.acceptDial(true)
	m, err := first.Receive()
	assert.NilError(t, err)
	_, is := m.Value.(*wire.RecordsT)
	assert.Assert(t, is, "its record: it follows by now")
	assert.Equal(t, l.controlPlane.conn.Load().Pending(), int64(1))
	assert.Assert(t, rig.Await(patience, l.controlPlane.isReachable))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			if _, err := first.Receive(); err != nil {
				return
			}
		}
	}()
	say := func() { first.Send(&wire.HeartbeatT{QuorumContact: false}) }
	assert.Assert(t, rig.Await(patience, func() bool { say(); return !l.controlPlane.isReachable() }))
	select {
	case <-ended:
		t.Fatal("it was left though no other is in touch")
	default:
	}
	go func() {
		for c := range b.conns {
			c.Send(&wire.MembersT{})
			c.Send(&wire.HeartbeatT{QuorumContact: true})
			go c.Receive()
		}
	}()
	assert.Assert(t, rig.Await(patience, func() bool {
		say()
		select {
		case <-ended:
			return l.controlPlane.isReachable()
		default:
			return false
		}
	}))
	assert.Equal(t, l.controlPlane.conn.Load().RemoteAddr(), b.addr)
}

// A line that starts before any register listens takes the first that comes.
func TestMemberFollowedAfterRefusedDials(t *testing.T) {
	nobody, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	nobody.Close()
	l := sidecarWith(t, &fakeMember{addr: nobody.Addr().String()})
	assert.Assert(t, rig.Await(patience, func() bool {
		refused := make(chan bool, 1)
		l.controlPlane.post(func(time.Duration) { refused <- len(l.controlPlane.members) == 0 })
		return <-refused
	}))
	late := newFakeMember(t)
	l.controlPlane.post(func(now time.Duration) { l.controlPlane.selector.SetMembers(now, 1, []string{late.addr}) })
	late.acceptDial(true)
	assert.Assert(t, rig.Await(patience, l.controlPlane.isReachable))
}

// An answer in pieces and the end of an attempt's own time, in all orders: what begins also ends, and as broken where it is
// not whole; nothing begins after the end, and then the other side is told to stop.
func TestAnswerAndTimeoutInAllOrders(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	go io.Copy(io.Discard, far)
	c, err := transport.Accept(prefixed{near, bytes.NewReader(codec.Encode(&wire.HelloT{TransportVersion: transport.ProtocolVersion}))}, nil)
	assert.NilError(t, err)
	var try func(left, done string)
	try = func(left, done string) {
		if left == "" {
			var st *message.Stream
			p := &upstreamAttempt{conn: c, id: 1, done: make(chan struct{}), attempt: engine.NewAttempt(nil, nil, time.Second, engine.Hooks{Began: func(r engine.Reply) { st = r.(*message.Stream) }})}
			for _, step := range done {
				switch step {
				case 'a':
					p.applyAnswer(&wire.ResponseT{Id: 1, Status: 200, MoreBody: true, ContentLength: -1})
				case 'p':
					p.handlePiece(&wire.BodyChunkT{Id: 1, Data: []byte("x")})
				case 'l':
					p.handlePiece(&wire.BodyChunkT{Id: 1, Last: true})
				case 't':
					p.finish(balancer.TimedOut, nil)
				}
			}
			at := func(r rune) int { return strings.IndexRune(done, r) }
			assert.Equal(t, st != nil, at('a') < at('t'), done)
			whole := at('a') < at('l') && at('l') < at('t')
			assert.Equal(t, p.ending == balancer.Success, whole, done)
			if st != nil {
				assert.Equal(t, st.Trailer() != nil, whole, done)
				for st.Held() > 0 {
					_, err := st.Next(context.Background())
					assert.NilError(t, err)
				}
				b, err := st.Next(context.Background()) // returns, for it has ended
				assert.Assert(t, b == nil && err == nil, done)
			}
			return
		}
		for i, r := range left {
			try(left[:i]+left[i+1:], done+string(r))
		}
	}
	try("aplt", "")
}

// prefixed is a connection that some bytes have come on.
type prefixed struct {
	net.Conn
	first *bytes.Reader
}

func (p prefixed) Read(b []byte) (int, error) {
	if p.first.Len() > 0 {
		return p.first.Read(b)
	}
	return p.Conn.Read(b)
}

// Claims that are not answered hold no places for long: once none has been for a while, all but a few are given up at once, and
// the first answer lets them wait again.
func TestClaimBreaker(t *testing.T) {
	const ms = time.Millisecond
	var s claimBreaker
	in := 0
	enter := func(at time.Duration) bool {
		ok := s.admit(at)
		if ok {
			in++
		}
		return ok
	}
	for at := range 20 { // in time: as many as come
		assert.Assert(t, enter(time.Duration(at)*10*ms))
	}
	s.finish(195*ms, false) // whose own time was short
	in--
	assert.Assert(t, enter(198*ms))
	assert.Assert(t, !enter(201*ms), "none was answered for a while")
	for ; in > 0; in-- {
		s.finish(400*ms, false)
	}
	assert.Assert(t, enter(500*ms) && enter(510*ms) && !enter(520*ms), "a few try")
	s.finish(530*ms, true)
	for at := range 10 {
		assert.Assert(t, enter((540+time.Duration(at))*ms))
	}
	s.finish(740*ms, true) // answers come, slowly
	assert.Assert(t, enter(930*ms))
	assert.Assert(t, !enter(941*ms))
	// A home that says nothing while a claim waits is left long before its trunk would end by itself.
	l, c, far := newFollowingSidecar(t)
	defer far.Close(nil)
	ctx, cancel := context.WithCancel(context.Background())
	waited := make(chan error, 1)
	go func() {
		_, err := l.controlPlane.claim(ctx, &wire.KeyLeaseRequestT{Key: "k"})
		waited <- err
	}()
	<-c.Done()
	assert.ErrorContains(t, c.Err(), "silent while requests wait for it")
	cancel()
	assert.Assert(t, <-waited != nil)
}

// A line takes the rules that bind whole or not at all, and until it has them it refuses what somebody owns.
func TestPoliciesApplyCompletely(t *testing.T) {
	l, _, far := newFollowingSidecar(t)
	defer far.Close(nil)
	items, err := config.ParseItems([]byte(`{"Upsert":{"NamespaceList":[{"Name":"n","ConfigVersion":1,"Owners":["ana"],"Services":["s"]}],
		"RulingList":[{"Name":"r","Namespace":"n","ConfigVersion":1,"Tries":1}]}}`))
	assert.NilError(t, err)
	table, _ := config.Table{}.Merge(items)
	first, _ := config.Table{}.Merge(items[:1])
	whole := config.ItemsToWire(items)
	whole.ActiveFingerprint, whole.ActiveIndex, whole.ActivePolicy = first.PolicyFingerprint(), 3, config.ItemsToWire(items[1:]).List // not what binds
	assert.Assert(t, !l.applyConfirmedTable(whole, l.clock.Now()))
	assert.Assert(t, l.policies.current().HasPolicies && l.policies.current().Active == "" && !l.policies.table.HasPolicyItems())
	whole.ActivePolicy = config.ItemsToWire(items[:1]).List
	assert.Assert(t, l.applyConfirmedTable(whole, l.clock.Now()))
	assert.Equal(t, l.policies.table.PolicyFingerprint(), first.PolicyFingerprint())
	assert.Assert(t, !l.isFenced())
	l.applyActivePolicies(&wire.ActivePolicyT{Fingerprint: table.PolicyFingerprint(), Index: 5})
	assert.Equal(t, l.policies.table.PolicyFingerprint(), table.PolicyFingerprint())
	l.applyActivePolicies(&wire.ActivePolicyT{Fingerprint: first.PolicyFingerprint(), Index: 4}) // late
	l.applyActivePolicies(&wire.ActivePolicyT{Fingerprint: "of none that it holds", Index: 6})
	assert.Equal(t, l.policies.table.PolicyFingerprint(), table.PolicyFingerprint())
	assert.Equal(t, l.policies.current().ActiveIndex, uint64(5))
}
