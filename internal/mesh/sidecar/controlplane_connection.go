package sidecar

import (
	"context"
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

const (
	// callTimeout bounds a call to the followed member.
	callTimeout = time.Second
	// seedsPollInterval is how often the settings are checked for changed seeds.
	seedsPollInterval = time.Second
	// closeFlushTries and closeFlushInterval bound how long close waits until queued messages are written.
	closeFlushTries    = 20
	closeFlushInterval = 10 * time.Millisecond
	// selectorEventBacklog is how many events may be queued for run's goroutine before post blocks.
	selectorEventBacklog = 64
)

// controlPlaneConn is the connection to the control-plane member that this sidecar follows. Package memberselection
// decides which member that is; this type is its shell. The goroutine of run owns the selector and the connections,
// and other goroutines post events to it. Messages of members are passed to configuration, directory and maintenance.
type controlPlaneConn struct {
	env           *environment
	configuration *configuration
	directory     *directoryView
	maintenance   *maintenanceView
	localServer   *localServer
	onConfirmed   func()          // called each time that the configuration was confirmed and is not empty
	seeds         func() []string // of the settings

	conn   atomic.Pointer[transport.Conn] // to the followed member; it may have ended
	events chan func(now time.Duration)
	// reachable and graceEnds are the selector's latest answer; graceEnds is a time of the environment's clock.
	reachable atomic.Bool
	graceEnds atomic.Int64

	// Owned by run's goroutine.
	selector   *memberselection.Selector
	members    map[memberselection.ConnID]*memberConn
	confirming sync.WaitGroup // of the goroutines that have the configuration confirmed
}

// memberConn is a connection to a member, or the dial of one.
type memberConn struct {
	id          memberselection.ConnID
	cancel      context.CancelFunc // of the dial
	conn        *transport.Conn    // nil: no message has been received yet
	lastFrameAt atomic.Int64       // by the environment's clock
}

func newControlPlaneConn(env *environment) *controlPlaneConn {
	return &controlPlaneConn{
		env:     env,
		seeds:   func() []string { return env.settings.Load().SeedAddresses() },
		events:  make(chan func(time.Duration), selectorEventBacklog),
		members: map[memberselection.ConnID]*memberConn{},
	}
}

// current returns the live connection to the followed member; nil: there is none.
func (c *controlPlaneConn) current() *transport.Conn {
	if conn := c.conn.Load(); conn != nil && conn.Err() == nil {
		return conn
	}
	return nil
}

// isReachable reports whether the control plane can be called: the followed member has quorum contact, or was lost a moment ago and another
// one is being looked for.
func (c *controlPlaneConn) isReachable() bool {
	return c.reachable.Load() || int64(c.env.clock.Now()) < c.graceEnds.Load()
}

// close closes the connection once queued messages are written, or after a while.
func (c *controlPlaneConn) close() {
	if conn := c.conn.Load(); conn != nil {
		for n := 0; n < closeFlushTries && !conn.Flushed(); n++ {
			time.Sleep(closeFlushInterval)
		}
		conn.Close(nil)
	}
}

// post queues an event for run's goroutine.
func (c *controlPlaneConn) post(event func(now time.Duration)) {
	select {
	case c.events <- event:
	case <-c.env.ctx.Done():
	}
}

// run follows a member until the sidecar's end, and waits for the confirmations that are in flight.
func (c *controlPlaneConn) run() {
	defer c.confirming.Wait()
	clock := c.env.clock
	c.selector = memberselection.New(clock.Now(), c.seeds())
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case event := <-c.events:
			event(clock.Now())
		case <-timer.C:
			now := clock.Now()
			c.reportLastFrame(now)
			c.selector.SetSeeds(now, c.seeds())
			c.selector.Tick(now)
		case <-c.env.ctx.Done():
			for _, m := range c.members {
				m.cancel()
			}
			return
		}
		for _, a := range c.selector.TakeActions() {
			c.apply(a)
		}
		reachable, until := c.selector.Reachable()
		c.graceEnds.Store(int64(until))
		c.reachable.Store(reachable)
		timer.Reset(min(seedsPollInterval, c.selector.NextTick()-clock.Now()))
	}
}

// reportLastFrame reports to the selector when the last frame of the followed member came. This is done at each tick
// because an event for each frame would be too expensive.
func (c *controlPlaneConn) reportLastFrame(now time.Duration) {
	if m := c.members[c.selector.Followed()]; m != nil {
		c.selector.MessageReceived(now, m.id, time.Duration(m.lastFrameAt.Load()))
	}
}

// apply carries out an action of the selector.
func (c *controlPlaneConn) apply(a memberselection.Action) {
	switch a.Kind {
	case memberselection.Dial:
		ctx, cancel := context.WithTimeout(c.env.ctx, memberselection.DialTimeout)
		m := &memberConn{id: a.ID, cancel: cancel}
		c.members[a.ID] = m
		go c.connect(ctx, m, a.Addr)
	case memberselection.Follow:
		conn := c.members[a.ID].conn
		c.conn.Store(conn)
		conn.AddPending(1) // keeps the peer time-out of the connection short
		_ = conn.Send(directory.ToWire([]directory.Record{c.localServer.record()}))
		c.env.log.Info().Str("member_addr", conn.RemoteAddr()).Msg("control-plane member followed")
	case memberselection.Confirm:
		conn := c.members[a.ID].conn
		c.confirming.Go(func() { c.confirm(conn, a.ID) })
	case memberselection.Close:
		m := c.members[a.ID]
		delete(c.members, a.ID)
		m.cancel()
		if m.conn != nil {
			m.conn.Close(a.Reason)
			c.logIfFollowed(m.conn, a.Reason)
		}
	}
}

// logIfFollowed logs why a connection ended if it was that of the followed member. conn is nil if a dial failed.
func (c *controlPlaneConn) logIfFollowed(conn *transport.Conn, reason error) {
	if conn != nil && conn == c.conn.Load() {
		c.env.log.Info().Str("member_addr", conn.RemoteAddr()).Str("reason", reason.Error()).Msg("control-plane member left")
	}
}

// connect dials a member and receives from it until the connection ends. It runs on a goroutine of its own.
func (c *controlPlaneConn) connect(ctx context.Context, m *memberConn, addr string) {
	defer m.cancel()
	conn, err := transport.Dial(ctx, addr, c.env.hello(), nil)
	if err == nil {
		err = c.receive(ctx, m, conn)
		conn.Close(err)
	}
	c.post(func(now time.Duration) {
		if c.members[m.id] == m {
			delete(c.members, m.id)
			c.logIfFollowed(conn, err)
		}
		c.selector.ConnectionClosed(now, m.id)
	})
}

// receive handles messages until the connection ends. ctx bounds the time until the first.
func (c *controlPlaneConn) receive(ctx context.Context, m *memberConn, conn *transport.Conn) error {
	stop := context.AfterFunc(ctx, func() { conn.Close(ctx.Err()) })
	first, err := conn.Receive()
	if !stop() {
		return ctx.Err()
	}
	if err != nil {
		return err
	}
	m.lastFrameAt.Store(int64(c.env.clock.Now()))
	c.post(func(now time.Duration) {
		if c.members[m.id] != m { // it was closed meanwhile
			conn.Close(nil)
			return
		}
		m.conn = conn
		c.selector.FirstMessageReceived(now, m.id)
	})
	for message := first; ; {
		c.handleMessage(m.id, conn, message) //nolint:contextcheck // what it starts lasts as long as the sidecar
		if message, err = conn.Receive(); err != nil {
			return err
		}
		m.lastFrameAt.Store(int64(c.env.clock.Now()))
	}
}

// handleMessage handles one message of a member. Items and records merge by their versions, so it does not matter which member sends them.
func (c *controlPlaneConn) handleMessage(id memberselection.ConnID, conn *transport.Conn, message codec.Message) {
	switch v := message.Value.(type) {
	case *wire.HeartbeatT:
		c.post(func(now time.Duration) { c.selector.HeartbeatReceived(now, id, v.QuorumContact) })
	case *wire.ItemsT:
		c.configuration.mergeItems(config.ItemsFromWire(v))
	case *wire.RecordsT:
		c.directory.mergeRecords(directory.FromWire(v))
	case *wire.MachinesInMaintenanceT:
		c.maintenance.apply(v)
	case *wire.ActivePolicyT:
		c.configuration.applyActivePolicies(v)
	case *wire.MembersT:
		var addrs []string
		for _, member := range v.List {
			addrs = append(addrs, member.Addr)
		}
		c.post(func(now time.Duration) { c.selector.SetMembers(now, v.Index, addrs) })
	case *wire.CallReplyT:
		c.env.calls.Deliver(conn, v)
	}
}

// confirm reads the configuration from the followed member by a confirmed read, and reports the result to the selector.
func (c *controlPlaneConn) confirm(conn *transport.Conn, id memberselection.ConnID) {
	some, err := c.readTable(conn)
	confirmed := some && err == nil
	if confirmed { // otherwise the read failed, or no operator has configured anything yet
		c.onConfirmed()
	}
	c.post(func(now time.Duration) { c.selector.ConfirmationReceived(now, id, confirmed) })
}

// readTable reads all items and the active policies by a confirmed read. some is false if there are no items.
func (c *controlPlaneConn) readTable(conn *transport.Conn) (some bool, err error) {
	ctx, cancel := context.WithTimeout(c.env.ctx, callTimeout)
	defer cancel()
	askedAt := c.env.clock.Now()
	body, err := c.env.callMember(ctx, conn, codec.CallItems, nil)
	if err != nil {
		return false, errors.Annotate(err, "confirmed read of the items")
	}
	items, err := codec.DecodeTable(body, func(p []byte) *wire.ItemsT { return wire.GetRootAsItems(p, 0).UnPack() })
	if err != nil {
		return false, errors.Annotatef(err, "items of %s", conn.RemoteAddr())
	}
	if !c.configuration.applyConfirmedTable(items, askedAt) {
		return false, errors.New("the active policies did not come complete")
	}
	c.env.log.Info().Str("member_addr", conn.RemoteAddr()).Uint64("index", items.Index).Msg("items confirmed")
	return len(items.List) > 0, nil
}

// sendRecord sends this sidecar's record to the followed member.
func (c *controlPlaneConn) sendRecord(r directory.Record) {
	if conn := c.conn.Load(); conn != nil {
		_ = conn.Send(directory.ToWire([]directory.Record{r}))
	}
}
