package replica

import (
	"net/http"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/raft"
)

// Texts of replies with status 503, which are shown to operators.
const (
	TextNoLeaderKnown  = "no leader is known"
	TextLeadershipLost = "not the leader any more"
	TextLeaderChanged  = "another leader took over; it may still be committed"
)

// Environment performs the side effects of a replica: network and disk. The replica calls its methods on the goroutine that called the
// replica; the methods must not call back into the replica.
type Environment interface {
	// Send sends a Raft message to the replica at address. The message may be lost, delayed, duplicated or reordered.
	Send(address string, message raft.Message)
	// Connect opens a connection to the replica at address, unless one is open or being opened.
	Connect(address string)
	// CallReplica sends a call to the replica at address. The environment calls done once, on the goroutine that owns this replica and
	// after CallReplica has returned: with the reply, or with Unavailable if there is none within CallTimeout.
	CallReplica(address string, kind byte, body []byte, done func(Reply))
	// Save writes the hard state, the snapshot and the entries of ready to disk and syncs them. lastSaved is the index of the last entry
	// on disk before the call. It returns false if the save failed; the replica then does nothing until its owner calls ProcessReady again,
	// which retries the save.
	Save(ready raft.Ready, lastSaved uint64) bool
	// Compact replaces the log on disk up to the snapshot's index by the snapshot, but retains entries from oldestRetained on. A failure
	// is harmless, since the uncompacted log leads to the same state.
	Compact(snapshot raft.Snapshot, oldestRetained uint64)
	// BroadcastToSidecars sends a message to each connected sidecar. Its type must be one that codec.NewMessage returns.
	BroadcastToSidecars(message any)
	// BroadcastToReplicas sends a message to each connected replica. Its type must be one that codec.NewMessage returns.
	BroadcastToReplicas(message any)
}

// Reply is the answer to a call.
type Reply struct {
	Status int // HTTP status code
	Body   []byte
	Push   any // message to send to the caller before the reply, or nil
}

// Unavailable returns the reply of a replica that can't serve the call, with status 503. The caller should retry, here or at another
// replica. If the call was a change, the caller can't tell whether it was committed.
func Unavailable(text string) Reply {
	return Reply{Status: http.StatusServiceUnavailable, Body: []byte(text)}
}

// ErrorReply returns the reply to an update that was rejected with an error of package config: 409 for a conflict, 403 if the author
// may not change the item, 400 if the update is invalid, and 503 for any other error. The caller should retry the same update only after
// a 503.
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
