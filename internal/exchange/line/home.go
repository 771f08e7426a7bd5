package line

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"hollyspur/internal/exchange/directory"
	"hollyspur/internal/exchange/patch"
	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/trunk/wire"
	"hollyspur/internal/mesh/follower"
)

// Times of the home register.
const (
	askAgain  = 150 * time.Millisecond
	askWithin = time.Second
	// lookAtSeeds is how often settings are looked at that may have changed.
	lookAtSeeds = time.Second
)

// home is the register that this line hears of all else from. Package follower decides which one that is; this is its shell,
// whose goroutine run owns the decider and the connections. Others post to it.
type home struct {
	line   *Line
	c      atomic.Pointer[trunk.Conn] // of the register that is followed; it may have ended
	stall  stall
	events chan func(now time.Duration)
	seeds  func() []string // of the settings
	// reachable and graceEnds are the decider's latest word; the time is by the line's clock
	reachable atomic.Bool
	graceEnds atomic.Int64

	// Owned by run's goroutine.
	decider *follower.Follower
	conns   map[follower.DialID]*member

	mu       sync.Mutex // guards releases
	releases []*wire.ClaimT
	wake     chan struct{}
}

// member is a connection to a register, or the dial of one.
type member struct {
	id     follower.DialID
	cancel context.CancelFunc // of the dial
	c      *trunk.Conn        // nil: it has not spoken yet
	heard  atomic.Int64       // when the latest frame came, by the line's clock
}

func newHome(l *Line) *home {
	return &home{line: l, events: make(chan func(time.Duration), 64), seeds: func() []string { return l.set.Load().Seeds() },
		conns: map[follower.DialID]*member{}, wake: make(chan struct{}, 1)}
}

// inTouch says that the registers can be asked: the home hears of a majority, or was lost a moment ago and another is sought.
func (h *home) inTouch() bool {
	return h.reachable.Load() || int64(h.line.clock.Now()) < h.graceEnds.Load()
}

func (h *home) close() {
	if c := h.c.Load(); c != nil {
		for n := 0; n < 20 && !c.Flushed(); n++ {
			time.Sleep(10 * time.Millisecond)
		}
		c.Close(nil)
	}
}

// post has an event taken on run's goroutine.
func (h *home) post(event func(now time.Duration)) {
	select {
	case h.events <- event:
	case <-h.line.ctx.Done():
	}
}

// run keeps a home.
func (h *home) run() {
	l := h.line
	go h.giveBack()
	h.decider = follower.New(l.clock.Now(), h.seeds())
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case event := <-h.events:
			event(l.clock.Now())
		case <-timer.C:
			now := l.clock.Now()
			h.noteHeard(now)
			h.decider.Seeds(now, h.seeds())
			h.decider.Tick(now)
		case <-l.ctx.Done():
			for _, m := range h.conns {
				m.cancel()
			}
			return
		}
		for _, a := range h.decider.Take() {
			h.carryOut(a)
		}
		reachable, until := h.decider.Reachable()
		h.graceEnds.Store(int64(until))
		h.reachable.Store(reachable)
		timer.Reset(min(lookAtSeeds, h.decider.Next()-l.clock.Now()))
	}
}

// noteHeard tells the decider when the home was heard last: an event for each frame would cost more than it tells.
func (h *home) noteHeard(now time.Duration) {
	if m := h.conns[h.decider.Home()]; m != nil {
		h.decider.Heard(now, m.id, time.Duration(m.heard.Load()))
	}
}

func (h *home) carryOut(a follower.Action) {
	l := h.line
	switch a.Kind {
	case follower.Dial:
		ctx, cancel := context.WithTimeout(l.ctx, follower.DialTimeout)
		m := &member{id: a.ID, cancel: cancel}
		h.conns[a.ID] = m
		go h.connect(ctx, m, a.Addr)
	case follower.Follow:
		c := h.conns[a.ID].c
		h.c.Store(c)
		c.Open(1) // its silence is to be found out soon
		c.Send(directory.Wire([]directory.Record{l.own.record()}))
		l.log.Info().Str("register", c.Remote()).Msg("home")
	case follower.Confirm:
		c := h.conns[a.ID].c
		go h.confirm(c, a.ID)
	case follower.Drop:
		m := h.conns[a.ID]
		delete(h.conns, a.ID)
		m.cancel()
		if m.c != nil {
			m.c.Close(errors.New(a.Reason))
			h.logLeft(m.c, a.Reason)
		}
	}
}

// logLeft notes why a connection ended if it was the home's. c is nil where a dial failed.
func (h *home) logLeft(c *trunk.Conn, why string) {
	if c != nil && c == h.c.Load() {
		h.line.log.Info().Str("register", c.Remote()).Str("why", why).Msg("home left")
	}
}

// connect dials a register and takes what it says, until the connection ends. It runs on a goroutine of its own.
func (h *home) connect(ctx context.Context, m *member, addr string) {
	l := h.line
	defer m.cancel()
	hello := &wire.HelloT{Name: l.set.Load().NodeName, Addr: l.Addr(), Zone: l.set.Load().Zone}
	c, err := trunk.Dial(ctx, addr, hello, nil)
	if err == nil {
		err = h.receive(ctx, m, c)
		c.Close(err)
	}
	h.post(func(now time.Duration) {
		if h.conns[m.id] == m {
			delete(h.conns, m.id)
			h.logLeft(c, err.Error())
		}
		h.decider.Closed(now, m.id)
	})
}

// receive takes messages; the context bounds the time until the first.
func (h *home) receive(ctx context.Context, m *member, c *trunk.Conn) error {
	stop := context.AfterFunc(ctx, func() { c.Close(ctx.Err()) })
	first, err := c.Receive()
	if !stop() {
		return ctx.Err()
	}
	if err != nil {
		return err
	}
	m.heard.Store(int64(h.line.clock.Now()))
	h.post(func(now time.Duration) {
		if h.conns[m.id] != m { // it was dropped meanwhile
			c.Close(nil)
			return
		}
		m.c = c
		h.decider.Spoke(now, m.id)
	})
	for x := first; ; {
		h.take(m.id, c, x)
		if x, err = c.Receive(); err != nil {
			return err
		}
		m.heard.Store(int64(h.line.clock.Now()))
	}
}

// take takes one message of a register. Tables merge by their versions, so it is the same which register tells what.
func (h *home) take(id follower.DialID, c *trunk.Conn, m trunk.Message) {
	l := h.line
	switch v := m.Value.(type) {
	case *wire.BeatT:
		h.post(func(now time.Duration) { h.decider.Heartbeat(now, id, v.Touch) })
	case *wire.ItemsT:
		l.takeItems(patch.ItemsOf(v))
	case *wire.RecordsT:
		l.takeRecords(directory.Of(v))
	case *wire.OutsT:
		l.takeOuts(v)
	case *wire.BoundT:
		l.takeBound(v)
	case *wire.MembersT:
		var addrs []string
		for _, x := range v.List {
			addrs = append(addrs, x.Addr)
		}
		h.post(func(now time.Duration) { h.decider.Members(now, v.Index, addrs) })
	case *wire.ToldT:
		l.asks.Told(c, v)
	}
}

// confirm has the home read all items back from the core.
func (h *home) confirm(c *trunk.Conn, id follower.DialID) {
	some, err := h.table(c)
	if some = some && err == nil; some { // else the operator has not come yet
		h.line.confirmed()
	}
	h.post(func(now time.Duration) { h.decider.Confirmed(now, id, some) })
}

// table reads all items back, and which rules bind; false: there are none.
func (h *home) table(c *trunk.Conn) (some bool, err error) {
	l := h.line
	ctx, cancel := context.WithTimeout(l.ctx, askWithin)
	defer cancel()
	asked := l.clock.Now()
	t, err := l.asks.Ask(ctx, c, trunk.AskTable, nil)
	if err != nil {
		return false, err
	}
	if t.Status != http.StatusOK {
		return false, errors.Errorf("status %d", t.Status)
	}
	items, err := trunk.Parse(t.Body, func(p []byte) *wire.ItemsT { return wire.GetRootAsItems(p, 0).UnPack() })
	if err != nil {
		return false, err
	}
	if !l.takeTable(items, asked) {
		return false, errors.New("the rules that bind did not come whole")
	}
	l.log.Info().Str("register", c.Remote()).Uint64("index", items.Index).Msg("items confirmed")
	return len(items.List) > 0, nil
}

// tell tells the home of this line's record.
func (h *home) tell(r directory.Record) {
	if c := h.c.Load(); c != nil {
		c.Send(directory.Wire([]directory.Record{r}))
	}
}

// errStalled is that claims are not answered at the moment.
const errStalled = errors.ConstError("keys are not granted at the moment")

// claim asks for a key; it asks again at another home while there is time.
func (h *home) claim(ctx context.Context, x *wire.ClaimT) (g *wire.GrantT, err error) {
	clock := h.line.clock
	if !h.stall.enter(clock.Now()) {
		return nil, errStalled
	}
	h.noteWaiting()
	defer func() {
		h.stall.leave(clock.Now(), err == nil)
		h.noteWaiting()
	}()
	body := trunk.Bytes(&wire.ClaimsT{List: []*wire.ClaimT{x}})
	for {
		c := h.c.Load()
		if c != nil && c.Err() == nil {
			t, err := h.line.asks.Ask(ctx, c, trunk.AskClaims, body)
			if err == nil && t.Status == http.StatusOK {
				g, err := trunk.Parse(t.Body, func(p []byte) *wire.GrantsT { return wire.GetRootAsGrants(p, 0).UnPack() })
				if err == nil && len(g.List) == 1 {
					return g.List[0], nil
				}
			}
		}
		select {
		case <-time.After(30 * time.Millisecond):
		case <-ctx.Done():
			return nil, errors.Annotate(ctx.Err(), "the key was not granted in time")
		}
	}
}

// noteWaiting tells the decider whether claims wait, for the home's silence is found out sooner then. It posts only where that
// has changed; what is told is read on run's goroutine, so that events which overtake each other do no harm.
func (h *home) noteWaiting() {
	if _, changed := h.stall.waits(); changed {
		h.post(func(now time.Duration) {
			waits, _ := h.stall.waits()
			h.decider.Waiting(now, waits)
		})
	}
}

// mostReleases are kept to be told; beyond that keys stay held for their window.
const mostReleases = 4096

// release gives a key back, when there is a home to tell.
func (h *home) release(x *wire.ClaimT) {
	h.mu.Lock()
	if len(h.releases) < mostReleases {
		h.releases = append(h.releases, x)
	}
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// giveBack tells the releases, in order, until each is taken.
func (h *home) giveBack() {
	for {
		select {
		case <-h.wake:
		case <-h.line.ctx.Done():
			return
		}
		for h.line.ctx.Err() == nil {
			h.mu.Lock()
			l := h.releases
			h.releases = nil
			h.mu.Unlock()
			if len(l) == 0 {
				break
			}
			for {
				ctx, cancel := context.WithTimeout(h.line.ctx, askWithin)
				var t *wire.ToldT
				err := errors.New("no home")
				if c := h.c.Load(); c != nil {
					t, err = h.line.asks.Ask(ctx, c, trunk.AskClaims, trunk.Bytes(&wire.ClaimsT{List: l}))
				}
				cancel()
				if err == nil && t.Status == http.StatusOK || h.line.ctx.Err() != nil {
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}
