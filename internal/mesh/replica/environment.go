package replica

import (
	"net/http"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/raft"
)

// Environment is what a replica acts through. Its methods are called by the goroutine that calls the replica, and must not call the
// replica before they return.
type Environment interface {
	// Send sends a consensus message to the replica at an address. It may be lost, late, repeated or out of order.
	Send(address string, message raft.Message)
	// Connect makes a connection to the replica at an address, unless there is one or one is being made.
	Connect(address string)
	// CallReplica calls the replica at an address. done is called once, later and by the replica's owner: with the answer, or with
	// Unavailable where there is none within CallTimeout.
	CallReplica(address string, kind byte, body []byte, done func(Reply))
	// Save writes and syncs what ready must have on disk; last is the index of the last entry on disk before it. It returns false if
	// that is not on disk. The replica then does nothing until its owner calls ProcessReady again, which saves anew.
	Save(ready raft.Ready, last uint64) bool
	// Compact replaces the log up to the snapshot's index by the snapshot, on disk; entries from kept on stay. It may fail: the longer
	// log says the same.
	Compact(snapshot raft.Snapshot, kept uint64)
	// BroadcastToSidecars sends a message to each sidecar that is connected here.
	BroadcastToSidecars(message any)
	// BroadcastToReplicas sends a message to each replica that there is a connection to.
	BroadcastToReplicas(message any)
}

// Reply is the answer to a call.
type Reply struct {
	Status int // of HTTP
	Body   []byte
	Push   any // a message that goes to the caller before the answer; nil: none
}

// Unavailable is the answer of a replica that can't decide: the caller has to ask again, here or elsewhere.
func Unavailable(text string) Reply {
	return Reply{Status: http.StatusServiceUnavailable, Body: []byte(text)}
}

// ErrorReply returns the answer to an update that was rejected with an error of package config.
func ErrorReply(err error) Reply {
	status := http.StatusServiceUnavailable
	switch {
	case errors.Is(err, config.ErrConflict):
		status = http.StatusConflict
	case errors.Is(err, config.ErrForbidden):
		status = http.StatusForbidden
	case errors.Is(err, config.ErrInvalid):
		status = http.StatusBadRequest
	}
	return Reply{Status: status, Body: []byte(err.Error())}
}
