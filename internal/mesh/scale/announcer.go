package scale

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// Times of an announcer, as a sidecar has them.
const (
	announceEvery = 5 * time.Second
	redialAfter   = 100 * time.Millisecond
	askTimeout    = time.Second
)

// announcer is to the control plane what a sidecar is: a connection with heartbeats, a record that is told again and again,
// and one reading of the whole table. It reads all that it is told and keeps nothing of it but the versions of routes, so
// that a large mesh fits a small machine; no figure of a sidecar is taken from it. It connects to one member at a time, and
// not to all at once as a sidecar does.
type announcer struct {
	set       settings.Settings
	record    directory.Record
	asks      transport.Calls
	confirmed atomic.Bool

	mu       sync.Mutex // guards versions
	versions map[string]int64
}

func newAnnouncer(set settings.Settings) *announcer {
	r := directory.Record{
		Node: set.NodeName, Incarnation: uint64(time.Now().UnixNano()), Sequence: 1, Addr: set.ListenAddrs.Inbound, Zone: set.Zone,
		Service: set.Service, ServerID: "i-" + set.NodeName + "-1", State: directory.ServerReady, Slots: serverSlots, ProtocolVersion: transport.ProtocolVersion,
	}
	return &announcer{set: set, record: r, versions: map[string]int64{}}
}

// Run stays connected until ctx ends.
func (a *announcer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		seeds := a.set.SeedAddresses()
		hello := &wire.HelloT{Name: a.set.NodeName, Addr: a.record.Addr, Zone: a.set.Zone}
		if c, err := transport.Dial(ctx, seeds[rand.IntN(len(seeds))], hello, nil); err == nil {
			a.follow(ctx, c)
		}
		select {
		case <-time.After(redialAfter):
		case <-ctx.Done():
		}
	}
}

// follow reads from one member until the connection ends.
func (a *announcer) follow(ctx context.Context, c *transport.Conn) {
	defer c.Close(nil)
	defer context.AfterFunc(ctx, func() { c.Close(ctx.Err()) })()
	c.AddPending(1)
	go a.announce(c)
	go a.confirm(ctx, c)
	for {
		m, err := c.Receive()
		if err != nil {
			return
		}
		switch v := m.Value.(type) {
		case *wire.ItemsT:
			a.take(config.ItemsFromWire(v))
		case *wire.CallReplyT:
			a.asks.Deliver(c, v)
		}
	}
}

// announce tells the record at once and then at a sidecar's pace.
func (a *announcer) announce(c *transport.Conn) {
	again := time.NewTicker(announceEvery)
	defer again.Stop()
	r := a.record
	r.Incarnation = uint64(time.Now().UnixNano())
	for {
		c.Send(directory.ToWire([]directory.Record{r}))
		r.Sequence++
		select {
		case <-again.C:
		case <-c.Done():
			return
		}
	}
}

// confirm reads the whole table once, as a sidecar does with each member that it follows.
func (a *announcer) confirm(ctx context.Context, c *transport.Conn) {
	for c.Err() == nil {
		within, cancel := context.WithTimeout(ctx, askTimeout)
		t, err := a.asks.Call(within, c, codec.CallItems, nil)
		cancel()
		if err == nil && t.Status == http.StatusOK {
			items, err := codec.DecodeTable(t.Body, func(p []byte) *wire.ItemsT { return wire.GetRootAsItems(p, 0).UnPack() })
			if err == nil && len(items.List) > 0 {
				a.take(config.ItemsFromWire(items))
				a.confirmed.Store(true)
				return
			}
		}
		time.Sleep(redialAfter)
	}
}

func (a *announcer) take(items []config.Item) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, i := range items {
		if i.Kind == config.KindRoute {
			a.versions[i.Key.Name] = max(a.versions[i.Key.Name], i.Version)
		}
	}
}

// Confirmed says that the table was read.
func (a *announcer) Confirmed() bool { return a.confirmed.Load() }

// RouteVersion is the latest version of a route that was told.
func (a *announcer) RouteVersion(name string) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.versions[name]
}
