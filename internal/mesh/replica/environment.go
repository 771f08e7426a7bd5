package replica

import (
	"net/http"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/raft"
)

// Texts of replies with status 503, which operators see.
const (
	TextNoLeaderKnown  = "no leader is known"
	TextLeadershipLost = "not the leader any more"
	TextLeaderChanged  = "another leader took over; it may still be committed"
)

// Environment provides the effects of a replica. Its methods are called on the goroutine that calls the replica, and must not call the
// replica before they return.
type Environment interface {
	// Send sends a Raft message to the replica at an address. It may be lost, delayed, duplicated or reordered.
	Send(address string, message raft.Message)
	// Connect connects to the replica at an address, unless it is connected or being dialled.
	Connect(address string)
	// CallReplica calls the replica at an address. done is called once, after CallReplica has returned and on the goroutine that owns the
	// replica: with the reply, or with Unavailable if there is none within CallTimeout.
	CallReplica(address string, kind byte, body []byte, done func(Reply))
	// Save writes and syncs what ready needs on disk. last is the index of the last entry on disk before. It returns false if that
	// failed; the replica then does nothing until its owner calls ProcessReady again, which calls Save again.
	Save(ready raft.Ready, last uint64) bool
	// Compact replaces the log on disk up to the snapshot's index by the snapshot. Entries from kept on stay. It may fail without harm,
	// since the longer log holds the same state.
	Compact(snapshot raft.Snapshot, kept uint64)
	// BroadcastToSidecars sends a message, of one of the types of codec.NewMessage, to each connected sidecar.
	BroadcastToSidecars(message any)
	// BroadcastToReplicas sends a message, of one of the types of codec.NewMessage, to each connected replica.
	BroadcastToReplicas(message any)
}

// Reply is the answer to a call.
type Reply struct {
	Status int // of HTTP
	Body   []byte
	Push   any // a message to send to the caller before the reply, or nil
}

// Unavailable returns the reply of a replica that can't answer, with status 503. The caller should retry, here or at another replica.
// It does not say that a change was not committed: that stays unknown to the caller.
func Unavailable(text string) Reply {
	return Reply{Status: http.StatusServiceUnavailable, Body: []byte(text)}
}

// ErrorReply returns the reply to an update that was rejected with an error of package config: 409 for a conflict, 403 if the author
// may not change the item, 400 if the update is invalid, and 503 for any other error. Only after a 503 is the same update worth a
// retry.
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
