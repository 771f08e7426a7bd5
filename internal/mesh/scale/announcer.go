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

// Times of an announcer, which are those of a sidecar.
const (
	recordInterval = 5 * time.Second        // between two sendings of the record
	redialInterval = 100 * time.Millisecond // between two attempts to connect, or to read the items
	readTimeout    = time.Second            // of one read of all items
)

// announcer is to the control plane what a sidecar is: a connection with heartbeats, a record that is sent again and again, and one read
// of all items. It reads everything that it is sent but keeps only the versions of routes, so that a large mesh fits on a small
// machine. No figure of a sidecar is taken from it. Unlike a sidecar it connects to one member at a time.
type announcer struct {
	settings  settings.Settings
	record    directory.Record
	calls     transport.Calls
	confirmed atomic.Bool

	mu       sync.Mutex // guards versions
	versions map[string]int64
}

func newAnnouncer(set settings.Settings) *announcer {
	record := directory.Record{
		Node:            set.NodeName,
		Incarnation:     uint64(time.Now().UnixNano()),
		Sequence:        1,
		Addr:            set.ListenAddrs.Inbound,
		Zone:            set.Zone,
		Service:         set.Service,
		ServerID:        "i-" + set.NodeName + "-1",
		State:           directory.ServerReady,
		Slots:           serverSlots,
		ProtocolVersion: transport.ProtocolVersion,
	}
	return &announcer{settings: set, record: record, versions: map[string]int64{}}
}

// Run stays connected until ctx ends.
func (a *announcer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		seeds := a.settings.SeedAddresses()
		hello := &wire.HelloT{Name: a.settings.NodeName, Addr: a.record.Addr, Zone: a.settings.Zone}
		if conn, err := transport.Dial(ctx, seeds[rand.IntN(len(seeds))], hello, nil); err == nil {
			a.serve(ctx, conn)
		}
		sleep(ctx, redialInterval)
	}
}

// serve receives from one member until the connection ends.
func (a *announcer) serve(ctx context.Context, conn *transport.Conn) {
	var sending sync.WaitGroup
	defer sending.Wait()
	defer conn.Close(nil)
	defer context.AfterFunc(ctx, func() { conn.Close(ctx.Err()) })()
	conn.AddPending(1)
	sending.Go(func() { a.announce(conn) })
	sending.Go(func() { a.readItems(ctx, conn) })
	for {
		message, err := conn.Receive()
		if err != nil {
			return
		}
		switch value := message.Value.(type) {
		case *wire.ItemsT:
			a.noteVersions(config.ItemsFromWire(value))
		case *wire.CallReplyT:
			a.calls.Deliver(conn, value)
		}
	}
}

// announce sends the record at once and then at a sidecar's interval, until the connection ends.
func (a *announcer) announce(conn *transport.Conn) {
	ticker := time.NewTicker(recordInterval)
	defer ticker.Stop()
	record := a.record
	record.Incarnation = uint64(time.Now().UnixNano())
	for {
		_ = conn.Send(directory.ToWire([]directory.Record{record})) // a connection that has ended is seen below
		record.Sequence++
		select {
		case <-ticker.C:
		case <-conn.Done():
			return
		}
	}
}

// readItems reads all items once, as a sidecar does from each member that it follows. It retries until there are some.
func (a *announcer) readItems(ctx context.Context, conn *transport.Conn) {
	for conn.Err() == nil {
		if items := a.callItems(ctx, conn); items != nil && len(items.List) > 0 {
			a.noteVersions(config.ItemsFromWire(items))
			a.confirmed.Store(true)
			return
		}
		select {
		case <-time.After(redialInterval):
		case <-conn.Done():
		}
	}
}

// callItems returns the items of the member at the other end, or nil if it gave none.
func (a *announcer) callItems(ctx context.Context, conn *transport.Conn) *wire.ItemsT {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	reply, err := a.calls.Call(ctx, conn, codec.CallItems, nil)
	if err != nil || reply.Status != http.StatusOK {
		return nil
	}
	items, err := codec.DecodeTable(reply.Body, func(encoded []byte) *wire.ItemsT {
		return wire.GetRootAsItems(encoded, 0).UnPack()
	})
	if err != nil {
		return nil
	}
	return items
}

// noteVersions keeps the highest version of each route among the items.
func (a *announcer) noteVersions(items []config.Item) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, item := range items {
		if item.Kind == config.KindRoute {
			a.versions[item.Name] = max(a.versions[item.Name], item.Version)
		}
	}
}

// Confirmed reports whether all items were read.
func (a *announcer) Confirmed() bool { return a.confirmed.Load() }

// RouteVersion returns the latest version of a route that was received, or 0 if none was.
func (a *announcer) RouteVersion(name string) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.versions[name]
}
