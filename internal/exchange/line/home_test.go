package line

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

	"hollyspur"
	"hollyspur/internal/engine"
	"hollyspur/internal/exchange/dialplan"
	"hollyspur/internal/exchange/directory"
	"hollyspur/internal/exchange/patch"
	"hollyspur/internal/exchange/settings"
	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/trunk/wire"
	"hollyspur/internal/message"
	"hollyspur/internal/rig"
)

// fakeRegister is where a line's dials of one register come out.
type fakeRegister struct {
	addr  string
	conns chan *trunk.Conn
}

func newFakeRegister(t *testing.T) *fakeRegister {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	r := &fakeRegister{addr: l.Addr().String(), conns: make(chan *trunk.Conn, 64)}
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			if c, err := trunk.Accept(nc, nil); err == nil {
				r.conns <- c
			}
		}
	}()
	return r
}

// speak takes the next dial and says whether there is a leader.
func (r *fakeRegister) speak(inTouch bool) *trunk.Conn {
	c := <-r.conns
	c.Send(&wire.MembersT{})
	c.Send(&wire.BeatT{Touch: inTouch})
	return c
}

// lineWith is a line whose seeds are these registers, with its home's goroutine.
func lineWith(t *testing.T, registers ...*fakeRegister) *Line {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	l := &Line{log: zerolog.Nop(), clock: engine.NewClock(), ctx: ctx}
	set := settings.Defaults()
	l.set.Store(&set)
	l.plan.Store(dialplan.Make(patch.Table{}))
	l.dir.Store(&directory.Table{})
	l.outs.Store(&wire.OutsT{})
	l.own = newOwn(l)
	l.pools = newPools(l, newBudgets(set))
	l.home = newHome(l)
	l.home.seeds = func() (l []string) {
		for _, r := range registers {
			l = append(l, r.addr)
		}
		return l
	}
	go l.home.run()
	return l
}

const patience = 20 * time.Second

// homed is a line with a trunk to a home, and that one's side of it.
func homed(t *testing.T) (l *Line, near, far *trunk.Conn) {
	r := newFakeRegister(t)
	l = lineWith(t, r)
	far = r.speak(true)
	assert.Assert(t, rig.Await(patience, func() bool { near = l.home.c.Load(); return near != nil }))
	return l, near, far
}

// A home is waited for as long as it is one: a register that stands still is found silent soon, not after the long time of a
// trunk on which nobody waits. One that says it is out of touch is left for one that is in touch, and not before; meanwhile
// requests that need it are refused, once the time in which another is likely to be found is over.
func TestHomeIsWaitedFor(t *testing.T) {
	a, b := newFakeRegister(t), newFakeRegister(t)
	l := lineWith(t, a, b)
	first := a.speak(true)
	m, err := first.Receive()
	assert.NilError(t, err)
	_, is := m.Value.(*wire.RecordsT)
	assert.Assert(t, is, "its record: it follows by now")
	assert.Equal(t, l.home.c.Load().Waits(), int64(1))
	assert.Assert(t, rig.Await(patience, l.home.inTouch))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			if _, err := first.Receive(); err != nil {
				return
			}
		}
	}()
	say := func() { first.Send(&wire.BeatT{Touch: false}) }
	assert.Assert(t, rig.Await(patience, func() bool { say(); return !l.home.inTouch() }))
	select {
	case <-ended:
		t.Fatal("it was left though no other is in touch")
	default:
	}
	go func() {
		for c := range b.conns {
			c.Send(&wire.MembersT{})
			c.Send(&wire.BeatT{Touch: true})
			go c.Receive()
		}
	}()
	assert.Assert(t, rig.Await(patience, func() bool {
		say()
		select {
		case <-ended:
			return l.home.inTouch()
		default:
			return false
		}
	}))
	assert.Equal(t, l.home.c.Load().Remote(), b.addr)
}

// A line that starts before any register listens takes the first that comes.
func TestHomeAfterRefusedDials(t *testing.T) {
	nobody, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	nobody.Close()
	l := lineWith(t, &fakeRegister{addr: nobody.Addr().String()})
	assert.Assert(t, rig.Await(patience, func() bool {
		refused := make(chan bool, 1)
		l.home.post(func(time.Duration) { refused <- len(l.home.conns) == 0 })
		return <-refused
	}))
	late := newFakeRegister(t)
	l.home.post(func(now time.Duration) { l.home.decider.Members(now, 1, []string{late.addr}) })
	late.speak(true)
	assert.Assert(t, rig.Await(patience, l.home.inTouch))
}

// An answer in pieces and the end of an attempt's own time, in all orders: what begins also ends, and as broken where it is
// not whole; nothing begins after the end, and then the other side is told to stop.
func TestAnswerAndTimeAllOrders(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	go io.Copy(io.Discard, far)
	c, err := trunk.Accept(prefixed{near, bytes.NewReader(trunk.Encode(&wire.HelloT{Version: trunk.Version}))}, nil)
	assert.NilError(t, err)
	var try func(left, done string)
	try = func(left, done string) {
		if left == "" {
			var st *message.Stream
			p := &sent{c: c, id: 1, ended: make(chan struct{}), a: engine.NewAttempt(nil, nil, time.Second, engine.Hooks{Began: func(r engine.Reply) { st = r.(*message.Stream) }})}
			for _, step := range done {
				switch step {
				case 'a':
					p.answer(&wire.AnswerT{Id: 1, Status: 200, More: true, Length: -1})
				case 'p':
					p.piece(&wire.PieceT{Id: 1, Body: []byte("x")})
				case 'l':
					p.piece(&wire.PieceT{Id: 1, Last: true})
				case 't':
					p.end(hollyspur.TimedOut, nil)
				}
			}
			at := func(r rune) int { return strings.IndexRune(done, r) }
			assert.Equal(t, st != nil, at('a') < at('t'), done)
			whole := at('a') < at('l') && at('l') < at('t')
			assert.Equal(t, p.ending == hollyspur.Success, whole, done)
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
func TestStall(t *testing.T) {
	const ms = time.Millisecond
	var s stall
	in := 0
	enter := func(at time.Duration) bool {
		ok := s.enter(at)
		if ok {
			in++
		}
		return ok
	}
	for at := range 20 { // in time: as many as come
		assert.Assert(t, enter(time.Duration(at)*10*ms))
	}
	s.leave(195*ms, false) // whose own time was short
	in--
	assert.Assert(t, enter(198*ms))
	assert.Assert(t, !enter(201*ms), "none was answered for a while")
	for ; in > 0; in-- {
		s.leave(400*ms, false)
	}
	assert.Assert(t, enter(500*ms) && enter(510*ms) && !enter(520*ms), "a few try")
	s.leave(530*ms, true)
	for at := range 10 {
		assert.Assert(t, enter((540+time.Duration(at))*ms))
	}
	s.leave(740*ms, true) // answers come, slowly
	assert.Assert(t, enter(930*ms))
	assert.Assert(t, !enter(941*ms))
	// A home that says nothing while a claim waits is left long before its trunk would end by itself.
	l, c, far := homed(t)
	defer far.Close(nil)
	ctx, cancel := context.WithCancel(context.Background())
	waited := make(chan error, 1)
	go func() {
		_, err := l.home.claim(ctx, &wire.ClaimT{Key: "k"})
		waited <- err
	}()
	<-c.Done()
	assert.ErrorContains(t, c.Err(), "silent while requests wait for it")
	cancel()
	assert.Assert(t, <-waited != nil)
}

// A line takes the rules that bind whole or not at all, and until it has them it refuses what somebody owns.
func TestRulesWhole(t *testing.T) {
	l, _, far := homed(t)
	defer far.Close(nil)
	items, err := patch.Read([]byte(`{"Upsert":{"NamespaceList":[{"Name":"n","ConfigVersion":1,"Owners":["ana"],"Services":["s"]}],
		"RulingList":[{"Name":"r","Namespace":"n","ConfigVersion":1,"Tries":1}]}}`))
	assert.NilError(t, err)
	table, _ := patch.Table{}.Merge(items)
	first, _ := patch.Table{}.Merge(items[:1])
	whole := patch.Wire(items)
	whole.Print, whole.BoundAt, whole.Bound = first.Print(), 3, patch.Wire(items[1:]).List // not what binds
	assert.Assert(t, !l.takeTable(whole, l.clock.Now()))
	assert.Assert(t, l.rules.get().Known && l.rules.get().Bound == "" && !l.rules.bound.AnyRuled())
	whole.Bound = patch.Wire(items[:1]).List
	assert.Assert(t, l.takeTable(whole, l.clock.Now()))
	assert.Equal(t, l.rules.bound.Print(), first.Print())
	assert.Assert(t, !l.fenced())
	l.takeBound(&wire.BoundT{Print: table.Print(), At: 5})
	assert.Equal(t, l.rules.bound.Print(), table.Print())
	l.takeBound(&wire.BoundT{Print: first.Print(), At: 4}) // late
	l.takeBound(&wire.BoundT{Print: "of none that it holds", At: 6})
	assert.Equal(t, l.rules.bound.Print(), table.Print())
	assert.Equal(t, l.rules.get().At, uint64(5))
}
