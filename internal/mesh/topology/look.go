package topology

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// announcements is what a register says by itself to whoever calls.
type announcements struct {
	mu            sync.Mutex // guards below
	members       *wire.MembersT
	directory     directory.Table
	quorumContact bool
	heartbeats    int
	complete      chan struct{} // closed with the second beat: the first may have been made before it had come
}

func (h *announcements) handle(m codec.Message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch v := m.Value.(type) {
	case *wire.MembersT:
		h.members = v
	case *wire.RecordsT:
		h.directory, _ = h.directory.Merge(time.Second, directory.FromWire(v))
	case *wire.HeartbeatT:
		h.quorumContact = v.QuorumContact
		if h.heartbeats++; h.heartbeats == 2 {
			close(h.complete)
		}
	}
}

// ClientName is by what an operator's tool calls itself on a trunk.
const ClientName = "switchboard"

// maxParallelQueries is how many processes are asked at a time.
const maxParallelQueries = 32

// Collect asks a register for the mesh, by the address of its trunks, and then each process that it names. Those that give no
// answer before the context ends are told so; an error: the register itself gave none.
func Collect(ctx context.Context, addr string) (Topology, error) {
	t := Topology{AskedMember: addr}
	h := &announcements{complete: make(chan struct{})}
	x, err := transport.DialClient(ctx, addr, ClientName, h.handle)
	if err != nil {
		return t, err
	}
	defer x.Close()
	select {
	case <-h.complete:
	case <-x.Done():
		return t, errors.Annotatef(transport.ErrNoReply, "%s told only a part", addr)
	case <-ctx.Done():
		return t, errors.Annotatef(transport.ErrNoReply, "%s told only a part", addr)
	}
	h.mu.Lock()
	members, table := h.members, h.directory
	t.QuorumContact = h.quorumContact
	h.mu.Unlock()
	if members == nil {
		return t, errors.Annotatef(transport.ErrRejected, "%s is no register", addr)
	}
	t.ConfigurationIndex = members.Index
	if body, err := x.Call(ctx, codec.CallItems, nil); err == nil {
		items, err := codec.DecodeTable(body, func(p []byte) *wire.ItemsT { return wire.GetRootAsItems(p, 0).UnPack() })
		if err == nil {
			list := config.ItemsFromWire(items)
			table, _ := config.Table{}.Merge(list)
			t.Items, t.Routes, t.PolicyFingerprint = itemVersions(table.Versions()), routesFromItems(list), items.ActiveFingerprint
		}
	}
	var mu sync.Mutex // guards has and what is filled in below
	has := map[string][]ItemVersion{}
	var all sync.WaitGroup
	room := make(chan struct{}, maxParallelQueries)
	status := func(addr string, take func(s *wire.StatusT, silent string)) {
		all.Go(func() {
			room <- struct{}{}
			defer func() { <-room }()
			var s *wire.StatusT
			x, err := transport.DialClient(ctx, addr, ClientName, nil)
			if err == nil {
				s, err = x.Status(ctx)
				x.Close()
			}
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				take(nil, err.Error())
				return
			}
			has[addr] = itemVersions(s.ItemVersions)
			take(s, "")
		})
	}
	t.Members = make([]Member, len(members.List))
	for i, m := range members.List {
		status(m.Addr, func(s *wire.StatusT, silent string) {
			if s != nil {
				t.Members[i] = memberFromStatus(s)
			}
			t.Members[i].Addr, t.Members[i].Unreachable = m.Addr, silent
		})
	}
	records := table.All()
	t.Sidecars = make([]Sidecar, len(records))
	for i, r := range records {
		status(r.Addr, func(s *wire.StatusT, silent string) {
			l := Sidecar{Service: r.Service, ServerID: r.ServerID, State: stateNames[r.State], Slots: int(r.Slots), Leaving: r.Leaving}
			if s != nil {
				l.Process = processFromStatus(s)
				l.FollowedMember, l.Ready, l.InMaintenance, l.StateReason, l.OpenRequests = s.FollowedMember, s.Ready, s.InMaintenance, s.ServerStateReason, int(s.OpenRequests)
				l.PolicyFingerprint, l.Fenced = s.ActivePolicy, s.Fenced
				l.Leaving = l.Leaving || s.Stopping
			}
			l.Name, l.Addr, l.Zone, l.Unreachable = r.Node, r.Addr, r.Zone, silent
			t.Sidecars[i] = l
		})
	}
	all.Wait()
	sort.Slice(t.Members, func(i, j int) bool { return t.Members[i].Addr < t.Members[j].Addr })
	t.fillLag(has)
	return t, nil
}
