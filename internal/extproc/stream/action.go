package stream

import (
	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"

	"cranegrade/balancer"
)

// Action is what the caller of a Stream has to carry out: a Reply, PickEndpoint, Outcome, Abandoned or Close.
type Action any

type (
	// Reply is a message to be sent to the proxy.
	Reply struct{ Message *extproc.ProcessingResponse }

	// PickEndpoint asks for an endpoint for the request. The caller gives it by Decide, or an answer by Respond.
	PickEndpoint struct{ Request *Request }

	// Outcome says how the attempt ended, as far as the proxy shows it. There is at most one on a stream.
	Outcome struct {
		Ending              balancer.Ending
		Status              int    // of the response; 0 means none came
		Served              string // address of the endpoint that served; "" means the proxy does not say
		Answered            bool   // the client gets the response, or an answer of the proxy
		AwaitsRetryDecision bool   // the response is held back until DecideRetry is called
		ContentLength       int64  // of the response, in bytes; 0 means unknown
	}

	// Abandoned says that the stream ended or moved on while a decision was pending: it is not needed any more.
	Abandoned struct{}

	// Close ends the stream: with an error if the proxy violated the protocol, else nil. It is the last action.
	Close struct{ Err error }
)
