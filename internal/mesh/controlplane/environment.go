package controlplane

import (
	"context"
	"sync"

	"cranegrade/internal/mesh/api"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/raft/raftwire"
	"cranegrade/internal/mesh/replica"
	"cranegrade/internal/mesh/transport/codec"
)

var _ replica.Environment = environment{}

// environment performs the I/O that the replica requests. The replica calls it on the loop's goroutine.
type environment struct {
	ctx        context.Context // of calls to other members: ends with this one
	loop       *eventLoop
	peers      *peerSet
	writer     *stateWriter
	sidecars   *sidecarSet
	background *sync.WaitGroup // of calls to other members
}

// Send sends a consensus message to a peer.
func (e environment) Send(address string, message raft.Message) {
	e.peers.link(address).send(raftwire.MessageToWire(message))
}

// Connect dials a peer unless it is connected or being dialled.
func (e environment) Connect(address string) { e.peers.link(address).connect() }

// CallReplica calls a peer. done runs on the loop's goroutine.
func (e environment) CallReplica(address string, kind byte, body []byte, done func(replica.Reply)) {
	link := e.peers.link(address)
	e.background.Go(func() {
		ctx, cancel := context.WithTimeout(e.ctx, api.TimeoutFor(replica.CallTimeout, len(body)))
		defer cancel()
		reply := callPeer(ctx, link, kind, body)
		e.loop.post(func() { done(reply) })
	})
}

// callPeer calls a peer and waits for its reply.
func callPeer(ctx context.Context, link *peerLink, kind byte, body []byte) replica.Reply {
	reply, err := link.call(ctx, kind, body)
	if err != nil {
		return replica.Unavailable(err.Error())
	}
	return replica.Reply{Status: int(reply.Status), Body: reply.Body}
}

// Save writes and syncs the state in ready. It returns only once that has succeeded, or when the process shuts down.
func (e environment) Save(ready raft.Ready, last uint64) bool { return e.writer.save(ready, last) }

// Compact replaces the log up to a snapshot by the snapshot.
func (e environment) Compact(snapshot raft.Snapshot, kept uint64) { e.writer.compact(snapshot, kept) }

// BroadcastToSidecars sends a message to each sidecar that is connected.
func (e environment) BroadcastToSidecars(message any) { e.sidecars.broadcast(codec.Encode(message)) }

// BroadcastToReplicas sends a message to each peer.
func (e environment) BroadcastToReplicas(message any) { e.peers.broadcast(codec.Encode(message)) }
