package sidecar

import (
	"cranegrade/balancer"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/message"
)

// Ending codes say how an attempt ended. Responses carry them on the wire, so the values must never change.
const (
	codeAnswered      byte = iota // status and body are from the server, or from the sidecar on its behalf
	codeServerFailed              // as codeAnswered, but the response is a server failure
	codeOverloaded                // the server rejected the request: it has not run
	codeNotAccepted               // the sidecar rejected the request: it has not run
	codeBroken                    // no valid response arrived: the request may have run
	codeTimedOut                  // the time ran out: the request may have run
	codeKeyNotGranted             // no lease for its key: it has not run, and a retry at another server would not help
)

// endingsByCode maps ending codes to the endings of the decision module. codeKeyNotGranted has none. An unknown code is
// treated as balancer.Broken.
var endingsByCode = map[byte]balancer.Ending{
	codeAnswered:     balancer.Success,
	codeServerFailed: balancer.Failure,
	codeOverloaded:   balancer.Overloaded,
	codeNotAccepted:  balancer.Unreachable,
	codeBroken:       balancer.Broken,
	codeTimedOut:     balancer.TimedOut,
}

// messageFields converts header fields from the wire format to the form that the front and the sender use.
func messageFields(fields []*wire.HeaderFieldT) []message.Field {
	out := make([]message.Field, 0, len(fields))
	for _, f := range fields {
		out = append(out, message.Field{Name: f.Name, Value: f.Value})
	}
	return out
}

// wireFields converts header fields to the wire format.
func wireFields(fields []message.Field) (out []*wire.HeaderFieldT) {
	for _, f := range fields {
		out = append(out, &wire.HeaderFieldT{Name: f.Name, Value: f.Value})
	}
	return out
}
