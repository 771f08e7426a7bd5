package sidecar

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/memberselection"
	"cranegrade/internal/mesh/transport"
)

const (
	// callTimeout bounds a call to the followed member, other than a lease request (see claimTimeout).
	callTimeout = time.Second
	// seedsPollInterval is the interval at which the settings are checked for changed seed addresses.
	seedsPollInterval = time.Second
	// closeFlushTries and closeFlushInterval bound the time that close waits for queued messages to be written to 200 ms.
	closeFlushTries    = 20
	closeFlushInterval = 10 * time.Millisecond
	// selectorEventBacklog is the number of events that can be queued for run's goroutine before post blocks.
	selectorEventBacklog = 64
)

// controlPlaneConn is the connection to the control-plane member that this sidecar follows. Package memberselection
// decides which member that is; this type does the I/O. The goroutine of run owns the selector and the connections,
// and other goroutines post events to it. Messages of members are passed to configuration, directory and maintenance.
type controlPlaneConn struct {
	env           *environment
	configuration *configuration
	directory     *directoryView
	maintenance   *maintenanceView
	localServer   *localServer
	onConfirmed   func()          // called each time that a linearizable read has confirmed a configuration that is not empty
	seeds         func() []string // returns the seed addresses of the settings

	conn   atomic.Pointer[transport.Conn] // to the followed member; it may have ended
	events chan func(now time.Duration)
	// reachable and graceEndsAt are the latest result of selector.Reachable; graceEndsAt is a time of the environment's
	// clock.
	reachable   atomic.Bool
	graceEndsAt atomic.Int64

	// Owned by run's goroutine.
	selector   *memberselection.Selector
	members    map[memberselection.ConnID]*memberConn
	confirming sync.WaitGroup // counts the goroutines of confirm
}

// memberConn is a connection to a member, or a dial in progress.
type memberConn struct {
	id          memberselection.ConnID
	cancel      context.CancelFunc // cancels the dial
	conn        *transport.Conn    // nil until the first message has been received
	lastFrameAt atomic.Int64       // a time of the environment's clock
}

func newControlPlaneConn(env *environment) *controlPlaneConn {
	return &controlPlaneConn{
		env:     env,
		seeds:   func() []string { return env.settings.Load().SeedAddresses() },
		events:  make(chan func(time.Duration), selectorEventBacklog),
		members: map[memberselection.ConnID]*memberConn{},
	}
}

// current returns the live connection to the followed member, or nil if there is none. Any goroutine may call it.
func (c *controlPlaneConn) current() *transport.Conn {
	if conn := c.conn.Load(); conn != nil && conn.Err() == nil {
		return conn
	}
	return nil
}

// isReachable reports whether calls to the control plane are worth making: the followed member has contact to a quorum,
// or it was lost so recently that the grace period for finding another has not ended.
func (c *controlPlaneConn) isReachable() bool {
	return c.reachable.Load() || int64(c.env.clock.Now()) < c.graceEndsAt.Load()
}

// close closes the connection once queued messages are written, or after 200 ms (see closeFlushTries).
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

// run follows a member until the sidecar ends, then waits for the reads of confirm that are in flight.
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
			for _, member := range c.members {
				member.cancel()
			}
			return
		}
		for _, action := range c.selector.TakeActions() {
			c.apply(action)
		}
		reachable, graceEndsAt := c.selector.Reachable()
		c.graceEndsAt.Store(int64(graceEndsAt))
		c.reachable.Store(reachable)
		timer.Reset(min(seedsPollInterval, c.selector.NextTick()-clock.Now()))
	}
}

// reportLastFrame reports to the selector when the last frame of the followed member was received. It is called at each
// timer event, because an event for each frame would be too expensive.
func (c *controlPlaneConn) reportLastFrame(now time.Duration) {
	if member := c.members[c.selector.Followed()]; member != nil {
		c.selector.MessageReceived(now, member.id, time.Duration(member.lastFrameAt.Load()))
	}
}

// apply carries out an action of the selector.
func (c *controlPlaneConn) apply(action memberselection.Action) {
	switch action.Kind {
	case memberselection.Dial:
		ctx, cancel := context.WithTimeout(c.env.ctx, memberselection.DialTimeout)
		member := &memberConn{id: action.ID, cancel: cancel}
		c.members[action.ID] = member
		go c.connect(ctx, member, action.Addr)
	case memberselection.Follow:
		c.follow(c.members[action.ID].conn)
	case memberselection.Confirm:
		conn := c.members[action.ID].conn
		c.confirming.Go(func() { c.confirm(conn, action.ID) })
	case memberselection.Close:
		member := c.members[action.ID]
		delete(c.members, action.ID)
		member.cancel()
		if member.conn != nil {
			member.conn.Close(action.Reason)
			c.logIfFollowed(member.conn, action.Reason)
		}
	}
}

// follow makes conn the connection to the followed member, and sends this sidecar's record over it.
func (c *controlPlaneConn) follow(conn *transport.Conn) {
	c.conn.Store(conn)
	conn.AddPending(1) // a connection with pending work has a shorter peer timeout than an idle one
	_ = conn.Send(directory.ToWire([]directory.Record{c.localServer.record()}))
	c.env.log.Info().Str("member_addr", conn.RemoteAddr()).Msg("control-plane member followed")
}

// logIfFollowed logs why conn ended if it was the connection to the followed member. conn is nil if a dial failed.
func (c *controlPlaneConn) logIfFollowed(conn *transport.Conn, reason error) {
	if conn != nil && conn == c.conn.Load() {
		c.env.log.Info().Str("member_addr", conn.RemoteAddr()).Str("reason", reason.Error()).Msg("control-plane member left")
	}
}

// connect dials a member and receives from it until the connection ends. It runs on its own goroutine.
func (c *controlPlaneConn) connect(ctx context.Context, member *memberConn, addr string) {
	defer member.cancel()
	conn, err := transport.Dial(ctx, addr, c.env.hello(), nil)
	if err == nil {
		err = c.receive(ctx, member, conn)
		conn.Close(err)
	}
	c.post(func(now time.Duration) {
		if c.members[member.id] == member {
			delete(c.members, member.id)
			c.logIfFollowed(conn, err)
		}
		c.selector.ConnectionClosed(now, member.id)
	})
}

// receive handles messages until the connection ends. ctx bounds the time until the first message.
func (c *controlPlaneConn) receive(ctx context.Context, member *memberConn, conn *transport.Conn) error {
	stop := context.AfterFunc(ctx, func() { conn.Close(ctx.Err()) })
	first, err := conn.Receive()
	if !stop() {
		return ctx.Err()
	}
	if err != nil {
		return err
	}
	member.lastFrameAt.Store(int64(c.env.clock.Now()))
	c.post(func(now time.Duration) {
		if c.members[member.id] != member { // the selector has closed the connection meanwhile
			conn.Close(nil)
			return
		}
		member.conn = conn
		c.selector.FirstMessageReceived(now, member.id)
	})
	for message := first; ; {
		c.handleMessage(member.id, conn, message) //nolint:contextcheck // the goroutines that it starts last as long as the sidecar
		if message, err = conn.Receive(); err != nil {
			return err
		}
		member.lastFrameAt.Store(int64(c.env.clock.Now()))
	}
}
