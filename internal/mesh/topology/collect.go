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

// ClientName is the name that an operator's tool sends when it opens a connection.
const ClientName = "meshctl"

const (
	// maxParallelQueries is the number of processes that are asked at the same time.
	maxParallelQueries = 32
	// heartbeatsUntilComplete is the number of heartbeats after which a member has sent all its announcements. It is not 1, because
	// the first heartbeat may have been created before the connection.
	heartbeatsUntilComplete = 2
	// mergeTime is the time passed when records are merged. Any value other than zero works.
	mergeTime = time.Second
)

// Errors of Collect, in addition to those of the transport.
const (
	ErrIncomplete = errors.ConstError("the announcements are incomplete")
	ErrNotMember  = errors.ConstError("not a control-plane member")
)

// Collect asks a control-plane member, by its transport address, for the processes of the mesh, and then each of them for its status.
// Those that do not answer before ctx ends are Unreachable. It returns an error if the process at addr does not answer, or is not a
// control-plane member.
func Collect(ctx context.Context, addr string) (Topology, error) {
	t := Topology{AskedMember: addr}
	announced := &announcements{complete: make(chan struct{})}
	client, err := transport.DialClient(ctx, addr, ClientName, announced.handle)
	if err != nil {
		return t, err
	}
	defer client.Close()
	if err := announced.await(ctx, client); err != nil {
		return t, errors.Annotate(err, addr)
	}
	members, records := announced.read(&t)
	if members == nil {
		return t, errors.WithType(errors.Annotate(ErrNotMember, addr), transport.ErrRejected)
	}
	t.ConfigurationIndex = members.Index
	t.readConfiguration(ctx, client)
	q := &queries{itemsByAddr: map[string][]ItemVersion{}, slots: make(chan struct{}, maxParallelQueries)}
	t.Members = q.members(ctx, members.List)
	t.Sidecars = q.sidecars(ctx, records)
	q.running.Wait()
	sort.Slice(t.Members, func(i, j int) bool { return t.Members[i].Addr < t.Members[j].Addr })
	t.fillLag(q.itemsByAddr)
	return t, nil
}

// readConfiguration reads the configuration that a majority confirms. If that fails, the topology has no items and no routes.
func (t *Topology) readConfiguration(ctx context.Context, client *transport.Client) {
	body, err := client.Call(ctx, codec.CallItems, nil)
	if err != nil {
		return
	}
	items, err := codec.DecodeTable(body, func(encoded []byte) *wire.ItemsT {
		return wire.GetRootAsItems(encoded, 0).UnPack()
	})
	if err != nil {
		return
	}
	list := config.ItemsFromWire(items)
	table, _ := config.Table{}.Merge(list)
	t.Items = itemVersions(table.Versions())
	t.Routes = routesFromItems(list)
	t.PolicyFingerprint = items.ActiveFingerprint
}

// announcements collects what a member sends to every new connection.
type announcements struct {
	complete chan struct{} // closed once all announcements have arrived

	mu            sync.Mutex // guards the fields below
	members       *wire.MembersT
	directory     directory.Table
	quorumContact bool
	heartbeats    int
}

// handle records a message from the member.
func (a *announcements) handle(message codec.Message) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch value := message.Value.(type) {
	case *wire.MembersT:
		a.members = value
	case *wire.RecordsT:
		a.directory, _ = a.directory.Merge(mergeTime, directory.FromWire(value))
	case *wire.HeartbeatT:
		a.quorumContact = value.QuorumContact
		if a.heartbeats++; a.heartbeats == heartbeatsUntilComplete {
			close(a.complete)
		}
	}
}

// await waits until all announcements have arrived.
func (a *announcements) await(ctx context.Context, client *transport.Client) error {
	select {
	case <-a.complete:
		return nil
	case <-client.Done():
	case <-ctx.Done():
	}
	return errors.WithType(ErrIncomplete, transport.ErrNoReply)
}

// read returns the members, or nil if the process is not a control-plane member, and the records of sidecars. It sets
// t.QuorumContact as the process reported it.
func (a *announcements) read(t *Topology) (*wire.MembersT, []directory.Record) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t.QuorumContact = a.quorumContact
	return a.members, a.directory.All()
}

// queries asks processes for their status, at most maxParallelQueries at a time.
type queries struct {
	running sync.WaitGroup
	slots   chan struct{}

	mu          sync.Mutex               // guards itemsByAddr and serializes the callbacks of status
	itemsByAddr map[string][]ItemVersion // the items that each process has
}

// members asks each member. The list is complete once q.running.Wait returns.
func (q *queries) members(ctx context.Context, list []*wire.MemberT) []Member {
	members := make([]Member, len(list))
	for i, m := range list {
		q.status(ctx, m.Addr, func(status *wire.StatusT, unreachable string) {
			if status != nil {
				members[i] = memberFromStatus(status)
			}
			members[i].Addr = m.Addr
			members[i].Unreachable = unreachable
		})
	}
	return members
}

// sidecars asks each sidecar. The list is complete once q.running.Wait returns.
func (q *queries) sidecars(ctx context.Context, records []directory.Record) []Sidecar {
	sidecars := make([]Sidecar, len(records))
	for i, record := range records {
		q.status(ctx, record.Addr, func(status *wire.StatusT, unreachable string) {
			sidecars[i] = sidecarFromStatus(record, status)
			sidecars[i].Unreachable = unreachable
		})
	}
	return sidecars
}

// status asks one process, and calls onResult with its status or with the reason why there is none. Calls of onResult do not
// overlap.
func (q *queries) status(ctx context.Context, addr string, onResult func(status *wire.StatusT, unreachable string)) {
	q.running.Go(func() {
		q.slots <- struct{}{}
		defer func() { <-q.slots }()
		status, err := queryStatus(ctx, addr)
		q.mu.Lock()
		defer q.mu.Unlock()
		if err != nil {
			onResult(nil, err.Error())
			return
		}
		q.itemsByAddr[addr] = itemVersions(status.ItemVersions)
		onResult(status, "")
	})
}

func queryStatus(ctx context.Context, addr string) (*wire.StatusT, error) {
	client, err := transport.DialClient(ctx, addr, ClientName, nil)
	if err != nil {
		return nil, err
	}
	defer client.Close()
	return client.Status(ctx)
}
