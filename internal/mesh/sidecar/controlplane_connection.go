package sidecar

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/memberselection"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// Times of the home register.
const (
	handoverRetryInterval = 150 * time.Millisecond
	callTimeout           = time.Second
	// seedsPollInterval is how often settings are looked at that may have changed.
	seedsPollInterval = time.Second
)

// controlPlaneConn is the register that this line hears of all else from. Package follower decides which one that is; this is its shell,
// whose goroutine run owns the decider and the connections. Others post to it.
type controlPlaneConn struct {
	sidecar *Sidecar
	conn    atomic.Pointer[transport.Conn] // of the register that is followed; it may have ended
	breaker claimBreaker
	events  chan func(now time.Duration)
	seeds   func() []string // of the settings
	// reachable and graceEnds are the decider's latest word; the time is by the line's clock
	reachable atomic.Bool
	graceEnds atomic.Int64

	// Owned by run's goroutine.
	selector *memberselection.Selector
	members  map[memberselection.ConnID]*memberConn

	mu       sync.Mutex // guards releases
	releases []*wire.KeyLeaseRequestT
	wake     chan struct{}
}

// memberConn is a connection to a register, or the dial of one.
type memberConn struct {
	id          memberselection.ConnID
	cancel      context.CancelFunc // of the dial
	conn        *transport.Conn    // nil: it has not spoken yet
	lastFrameAt atomic.Int64       // when the latest frame came, by the line's clock
}

func newControlPlaneConn(l *Sidecar) *controlPlaneConn {
	return &controlPlaneConn{sidecar: l, events: make(chan func(time.Duration), 64), seeds: func() []string { return l.settings.Load().SeedAddresses() },
		members: map[memberselection.ConnID]*memberConn{}, wake: make(chan struct{}, 1)}
}

// isReachable says that the registers can be asked: the home hears of a majority, or was lost a moment ago and another is sought.
func (h *controlPlaneConn) isReachable() bool {
	return h.reachable.Load() || int64(h.sidecar.clock.Now()) < h.graceEnds.Load()
}

func (h *controlPlaneConn) close() {
	if c := h.conn.Load(); c != nil {
		for n := 0; n < 20 && !c.Flushed(); n++ {
			time.Sleep(10 * time.Millisecond)
		}
		c.Close(nil)
	}
}

// post has an event taken on run's goroutine.
func (h *controlPlaneConn) post(event func(now time.Duration)) {
	select {
	case h.events <- event:
	case <-h.sidecar.ctx.Done():
	}
}

// run keeps a home.
func (h *controlPlaneConn) run() {
	l := h.sidecar
	go h.sendReleases()
	h.selector = memberselection.New(l.clock.Now(), h.seeds())
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case event := <-h.events:
			event(l.clock.Now())
		case <-timer.C:
			now := l.clock.Now()
			h.reportLastFrame(now)
			h.selector.SetSeeds(now, h.seeds())
			h.selector.Tick(now)
		case <-l.ctx.Done():
			for _, m := range h.members {
				m.cancel()
			}
			return
		}
		for _, a := range h.selector.TakeActions() {
			h.apply(a)
		}
		reachable, until := h.selector.Reachable()
		h.graceEnds.Store(int64(until))
		h.reachable.Store(reachable)
		timer.Reset(min(seedsPollInterval, h.selector.NextTick()-l.clock.Now()))
	}
}

// reportLastFrame tells the decider when the home was heard last: an event for each frame would cost more than it tells.
func (h *controlPlaneConn) reportLastFrame(now time.Duration) {
	if m := h.members[h.selector.Followed()]; m != nil {
		h.selector.MessageReceived(now, m.id, time.Duration(m.lastFrameAt.Load()))
	}
}

func (h *controlPlaneConn) apply(a memberselection.Action) {
	l := h.sidecar
	switch a.Kind {
	case memberselection.Dial:
		ctx, cancel := context.WithTimeout(l.ctx, memberselection.DialTimeout)
		m := &memberConn{id: a.ID, cancel: cancel}
		h.members[a.ID] = m
		go h.connect(ctx, m, a.Addr)
	case memberselection.Follow:
		c := h.members[a.ID].conn
		h.conn.Store(c)
		c.AddPending(1) // its silence is to be found out soon
		c.Send(directory.ToWire([]directory.Record{l.localServer.record()}))
		l.log.Info().Str("register", c.RemoteAddr()).Msg("home")
	case memberselection.Confirm:
		c := h.members[a.ID].conn
		go h.confirm(c, a.ID)
	case memberselection.Close:
		m := h.members[a.ID]
		delete(h.members, a.ID)
		m.cancel()
		if m.conn != nil {
			m.conn.Close(a.Reason)
			h.logLeft(m.conn, a.Reason.Error())
		}
	}
}

// logLeft notes why a connection ended if it was the home's. c is nil where a dial failed.
func (h *controlPlaneConn) logLeft(c *transport.Conn, why string) {
	if c != nil && c == h.conn.Load() {
		h.sidecar.log.Info().Str("register", c.RemoteAddr()).Str("why", why).Msg("home left")
	}
}

// connect dials a register and takes what it says, until the connection ends. It runs on a goroutine of its own.
func (h *controlPlaneConn) connect(ctx context.Context, m *memberConn, addr string) {
	l := h.sidecar
	defer m.cancel()
	hello := &wire.HelloT{Name: l.settings.Load().NodeName, Addr: l.Addr(), Zone: l.settings.Load().Zone}
	c, err := transport.Dial(ctx, addr, hello, nil)
	if err == nil {
		err = h.receive(ctx, m, c)
		c.Close(err)
	}
	h.post(func(now time.Duration) {
		if h.members[m.id] == m {
			delete(h.members, m.id)
			h.logLeft(c, err.Error())
		}
		h.selector.ConnectionClosed(now, m.id)
	})
}

// receive takes messages; the context bounds the time until the first.
func (h *controlPlaneConn) receive(ctx context.Context, m *memberConn, c *transport.Conn) error {
	stop := context.AfterFunc(ctx, func() { c.Close(ctx.Err()) })
	first, err := c.Receive()
	if !stop() {
		return ctx.Err()
	}
	if err != nil {
		return err
	}
	m.lastFrameAt.Store(int64(h.sidecar.clock.Now()))
	h.post(func(now time.Duration) {
		if h.members[m.id] != m { // it was dropped meanwhile
			c.Close(nil)
			return
		}
		m.conn = c
		h.selector.FirstMessageReceived(now, m.id)
	})
	for x := first; ; {
		h.handleMessage(m.id, c, x)
		if x, err = c.Receive(); err != nil {
			return err
		}
		m.lastFrameAt.Store(int64(h.sidecar.clock.Now()))
	}
}

// handleMessage takes one message of a register. Tables merge by their versions, so it is the same which register tells what.
func (h *controlPlaneConn) handleMessage(id memberselection.ConnID, c *transport.Conn, m codec.Message) {
	l := h.sidecar
	switch v := m.Value.(type) {
	case *wire.HeartbeatT:
		h.post(func(now time.Duration) { h.selector.HeartbeatReceived(now, id, v.QuorumContact) })
	case *wire.ItemsT:
		l.mergeItems(config.ItemsFromWire(v))
	case *wire.RecordsT:
		l.mergeRecords(directory.FromWire(v))
	case *wire.MachinesInMaintenanceT:
		l.applyMaintenance(v)
	case *wire.ActivePolicyT:
		l.applyActivePolicies(v)
	case *wire.MembersT:
		var addrs []string
		for _, x := range v.List {
			addrs = append(addrs, x.Addr)
		}
		h.post(func(now time.Duration) { h.selector.SetMembers(now, v.Index, addrs) })
	case *wire.CallReplyT:
		l.calls.Deliver(c, v)
	}
}

// confirm has the home read all items back from the core.
func (h *controlPlaneConn) confirm(c *transport.Conn, id memberselection.ConnID) {
	some, err := h.readTable(c)
	if some = some && err == nil; some { // else the operator has not come yet
		h.sidecar.configConfirmed()
	}
	h.post(func(now time.Duration) { h.selector.ConfirmationReceived(now, id, some) })
}

// readTable reads all items back, and which rules bind; false: there are none.
func (h *controlPlaneConn) readTable(c *transport.Conn) (some bool, err error) {
	l := h.sidecar
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	defer cancel()
	asked := l.clock.Now()
	t, err := l.calls.Call(ctx, c, codec.CallItems, nil)
	if err != nil {
		return false, err
	}
	if t.Status != http.StatusOK {
		return false, errors.Errorf("status %d", t.Status)
	}
	items, err := codec.DecodeTable(t.Body, func(p []byte) *wire.ItemsT { return wire.GetRootAsItems(p, 0).UnPack() })
	if err != nil {
		return false, err
	}
	if !l.applyConfirmedTable(items, asked) {
		return false, errors.New("the rules that bind did not come whole")
	}
	l.log.Info().Str("register", c.RemoteAddr()).Uint64("index", items.Index).Msg("items confirmed")
	return len(items.List) > 0, nil
}

// sendRecord tells the home of this line's record.
func (h *controlPlaneConn) sendRecord(r directory.Record) {
	if c := h.conn.Load(); c != nil {
		c.Send(directory.ToWire([]directory.Record{r}))
	}
}

// errClaimsUnanswered is that claims are not answered at the moment.
const errClaimsUnanswered = errors.ConstError("keys are not granted at the moment")

// claim asks for a key; it asks again at another home while there is time.
func (h *controlPlaneConn) claim(ctx context.Context, x *wire.KeyLeaseRequestT) (g *wire.KeyLeaseResultT, err error) {
	clock := h.sidecar.clock
	if !h.breaker.admit(clock.Now()) {
		return nil, errClaimsUnanswered
	}
	h.reportWaiting()
	defer func() {
		h.breaker.finish(clock.Now(), err == nil)
		h.reportWaiting()
	}()
	body := codec.EncodeTable(&wire.KeyLeaseRequestsT{List: []*wire.KeyLeaseRequestT{x}})
	for {
		c := h.conn.Load()
		if c != nil && c.Err() == nil {
			t, err := h.sidecar.calls.Call(ctx, c, codec.CallLeaseKeys, body)
			if err == nil && t.Status == http.StatusOK {
				g, err := codec.DecodeTable(t.Body, func(p []byte) *wire.KeyLeaseResultsT { return wire.GetRootAsKeyLeaseResults(p, 0).UnPack() })
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

// reportWaiting tells the decider whether claims wait, for the home's silence is found out sooner then. It posts only where that
// has changed; what is told is read on run's goroutine, so that events which overtake each other do no harm.
func (h *controlPlaneConn) reportWaiting() {
	if _, changed := h.breaker.checkWaiting(); changed {
		h.post(func(now time.Duration) {
			waits, _ := h.breaker.checkWaiting()
			h.selector.SetRequestsWaiting(now, waits)
		})
	}
}

// maxPendingReleases are kept to be told; beyond that keys stay held for their window.
const maxPendingReleases = 4096

// release gives a key back, when there is a home to tell.
func (h *controlPlaneConn) release(x *wire.KeyLeaseRequestT) {
	h.mu.Lock()
	if len(h.releases) < maxPendingReleases {
		h.releases = append(h.releases, x)
	}
	h.mu.Unlock()
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// sendReleases tells the releases, in order, until each is taken.
func (h *controlPlaneConn) sendReleases() {
	for {
		select {
		case <-h.wake:
		case <-h.sidecar.ctx.Done():
			return
		}
		for h.sidecar.ctx.Err() == nil {
			h.mu.Lock()
			l := h.releases
			h.releases = nil
			h.mu.Unlock()
			if len(l) == 0 {
				break
			}
			for {
				ctx, cancel := context.WithTimeout(h.sidecar.ctx, callTimeout)
				var t *wire.CallReplyT
				err := errors.New("no home")
				if c := h.conn.Load(); c != nil {
					t, err = h.sidecar.calls.Call(ctx, c, codec.CallLeaseKeys, codec.EncodeTable(&wire.KeyLeaseRequestsT{List: l}))
				}
				cancel()
				if err == nil && t.Status == http.StatusOK || h.sidecar.ctx.Err() != nil {
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
		}
	}
}
