package sidecar

import (
	"cranegrade/balancer"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/message"
)

// Codes of how an attempt ended, as responses carry them on the wire. The values must never change.
const (
	codeAnswered      byte = iota // status and body are the server's, or those of the sidecar in its place
	codeServerFailed              // the same, but the server failed
	codeOverloaded                // the server rejected it: it has not run
	codeNotAccepted               // the sidecar rejected it: it has not run
	codeBroken                    // it may have run
	codeTimedOut                  // it may have run
	codeKeyNotGranted             // its key was not granted: it has not run, and no other server would do better
)

// endingsByCode are the decision module's endings for the codes; codeKeyNotGranted has none. An unknown code counts
// as broken.
var endingsByCode = map[byte]balancer.Ending{
	codeAnswered:     balancer.Success,
	codeServerFailed: balancer.Failure,
	codeOverloaded:   balancer.Overloaded,
	codeNotAccepted:  balancer.Unreachable,
	codeBroken:       balancer.Broken,
	codeTimedOut:     balancer.TimedOut,
}

// messageFields returns header fields as the front and the sender use them.
func messageFields(fields []*wire.HeaderFieldT) []message.Field {
	out := make([]message.Field, 0, len(fields))
	for _, f := range fields {
		out = append(out, message.Field{Name: f.Name, Value: f.Value})
	}
	return out
}

// wireFields returns header fields as responses carry them.
func wireFields(fields []message.Field) (out []*wire.HeaderFieldT) {
	for _, f := range fields {
		out = append(out, &wire.HeaderFieldT{Name: f.Name, Value: f.Value})
	}
	return out
}
