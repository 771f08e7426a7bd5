// Package stream is one stream of Envoy's external processing service
// (envoy.service.ext_proc.v3.ExternalProcessor) as a pure state machine. Messages from the proxy and the engine's
// decisions go in; messages to the proxy and events for the engine come out as a list of actions, which the caller
// carries out in order. The package does no I/O, reads no clock and starts no goroutine.
//
// A stream is one HTTP request. An endpoint is picked for it once, when its headers arrive; bodies and trailers are
// passed on unchanged. Messages are answered in the order in which they came: what arrives while a decision is pending
// is queued behind it, within bounds (see Full).
//
// The header and metadata names follow the endpoint picker protocol of the Gateway API Inference Extension.
package stream

import (
	"fmt"

	modev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"

	"cranegrade/balancer"
)

// Bounds of what one stream queues behind a pending decision.
const (
	maxQueuedBytes    = 64 << 10 // of bodies
	maxQueuedMessages = 64
)

// phase is how far the HTTP request of a stream has come.
type phase int

const (
	awaitingRequest       phase = iota // nothing has been received
	awaitingDecision                   // the request headers are here, the engine has not decided yet
	awaitingResponse                   // the proxy has its decision, the response headers have not come
	awaitingRetryDecision              // an attempt failed, and the engine has not said whether there is another
	responded                          // the client gets an answer: the server's or ours
	closed                             // nothing more is received or sent
)

// String returns the name of the phase.
func (p phase) String() string {
	names := [...]string{
		awaitingRequest:       "awaiting request",
		awaitingDecision:      "awaiting decision",
		awaitingResponse:      "awaiting response",
		awaitingRetryDecision: "awaiting retry decision",
		responded:             "responded",
		closed:                "closed",
	}
	if p < 0 || int(p) >= len(names) {
		return fmt.Sprintf("phase(%d)", int(p))
	}
	return names[p]
}

// httpMessage is what is known of one of the two HTTP messages, the request or the response.
type httpMessage struct {
	headersSeen bool
	ended       bool // END_STREAM or trailers came
	// echoBody says that the proxy forwards only those chunks of the body that are sent back to it (body modes
	// FULL_DUPLEX_STREAMED and GRPC).
	echoBody bool
}

// Stream is the state of one stream. The zero value has received nothing. It is not safe for concurrent use: the
// goroutine that serves the stream owns it.
type Stream struct {
	phase             phase
	observabilityMode bool // the proxy ignores whatever it is sent
	grpc              bool // the HTTP request is gRPC
	request, response httpMessage

	queued      []*extproc.ProcessingRequest // behind the pending decision
	queuedBytes int                          // of bodies in queued

	outcomeReported bool // an Outcome was emitted, or none is due
	atMostOnce      bool // of the Decision
	mayHaveRun      bool
	retryHeader     string
	failedStatus    int // of the response that awaits a RetryDecision

	actions []Action // not yet handed to the caller
}

// New returns a stream that has received nothing.
func New() *Stream { return &Stream{} }

// Full reports whether no more messages should be read from the proxy until the pending decision has been given.
func (s *Stream) Full() bool {
	pending := s.phase == awaitingDecision || s.phase == awaitingRetryDecision
	return pending && (s.queuedBytes >= maxQueuedBytes || len(s.queued) >= maxQueuedMessages)
}

// Over reports whether the stream is closed: it takes no more messages and decisions.
func (s *Stream) Over() bool { return s.phase == closed }

func (s *Stream) emit(a Action) { s.actions = append(s.actions, a) }

// takeActions returns what has been emitted since it was called last.
func (s *Stream) takeActions() []Action {
	actions := s.actions
	s.actions = nil
	return actions
}

// Receive takes a message from the proxy.
func (s *Stream) Receive(m *extproc.ProcessingRequest) []Action {
	if s.phase == closed {
		return nil
	}
	s.applyProtocolConfig(m)
	switch s.phase {
	case awaitingDecision:
		s.receiveBeforeDecision(m)
	case awaitingRetryDecision:
		s.receiveBeforeRetryDecision(m)
	default:
		s.handle(m)
	}
	return s.takeActions()
}

// applyProtocolConfig takes over what a message says of the whole stream. Envoy sends the protocol configuration with
// the first message only.
func (s *Stream) applyProtocolConfig(m *extproc.ProcessingRequest) {
	if m.GetObservabilityMode() {
		s.observabilityMode = true
	}
	if c := m.GetProtocolConfig(); c != nil {
		s.request.echoBody = mustEchoBody(c.GetRequestBodyMode())
		s.response.echoBody = mustEchoBody(c.GetResponseBodyMode())
	}
}

func mustEchoBody(mode modev3.ProcessingMode_BodySendMode) bool {
	return mode == modev3.ProcessingMode_FULL_DUPLEX_STREAMED || mode == modev3.ProcessingMode_GRPC
}

// receiveBeforeDecision takes a message while the engine's decision is pending. The request's body and trailers may
// come that early, and wait, since messages are answered in order.
func (s *Stream) receiveBeforeDecision(m *extproc.ProcessingRequest) {
	switch m.GetRequest().(type) {
	case *extproc.ProcessingRequest_RequestBody, *extproc.ProcessingRequest_RequestTrailers:
		s.enqueue(m)
	case *extproc.ProcessingRequest_ResponseHeaders:
		// The proxy's message_timeout has passed and it answered the client itself: a decision would come too late.
		s.emit(Abandoned{})
		s.phase = responded
		s.outcomeReported = true
		s.dropQueued()
		s.handle(m)
	default:
		s.violate(fmt.Errorf("%w: %T while the decision is awaited", ErrOutOfOrder, m.GetRequest()))
	}
}

// receiveBeforeRetryDecision queues a message behind response headers that have not been answered yet.
func (s *Stream) receiveBeforeRetryDecision(m *extproc.ProcessingRequest) {
	s.enqueue(m)
	if s.Full() {
		s.violate(fmt.Errorf("%w: too much behind headers that were not answered", ErrOutOfOrder))
	}
}

func (s *Stream) enqueue(m *extproc.ProcessingRequest) {
	s.queued = append(s.queued, m)
	s.queuedBytes += len(m.GetRequestBody().GetBody()) + len(m.GetResponseBody().GetBody())
}

func (s *Stream) dropQueued() { s.queued, s.queuedBytes = nil, 0 }

// handleQueued handles what was queued while a decision was pending.
func (s *Stream) handleQueued() {
	queued := s.queued
	s.dropQueued()
	for _, m := range queued {
		if s.phase == closed {
			return
		}
		s.handle(m)
	}
}

func (s *Stream) handle(m *extproc.ProcessingRequest) {
	switch r := m.GetRequest().(type) {
	case *extproc.ProcessingRequest_RequestHeaders:
		s.handleRequestHeaders(r.RequestHeaders, m)
	case *extproc.ProcessingRequest_RequestBody:
		s.handleRequestBody(r.RequestBody)
	case *extproc.ProcessingRequest_RequestTrailers:
		s.handleRequestTrailers()
	case *extproc.ProcessingRequest_ResponseHeaders:
		s.handleResponseHeaders(r.ResponseHeaders, m)
	case *extproc.ProcessingRequest_ResponseBody:
		s.handleResponseBody(r.ResponseBody)
	case *extproc.ProcessingRequest_ResponseTrailers:
		s.handleResponseTrailers()
	default:
		if m.GetFlowControlInit() != nil || m.GetClientWindowUpdate() != nil || m.GetProtocolConfig() != nil {
			return // it concerns the stream alone and gets no answer
		}
		s.violate(ErrEmptyMessage)
	}
}

// End says that the proxy has closed the stream, or that the connection broke.
func (s *Stream) End() []Action {
	if s.phase != closed {
		s.terminate()
		s.emit(Close{})
	}
	return s.takeActions()
}

// violate closes the stream with an error, because the proxy did not keep to the protocol.
func (s *Stream) violate(err error) {
	s.terminate()
	s.emit(Close{err})
}

// terminate closes the stream before its end. A pending decision is abandoned; after a decision the attempt gets an
// Outcome.
func (s *Stream) terminate() {
	switch s.phase {
	case awaitingDecision, awaitingRetryDecision:
		s.emit(Abandoned{})
	case awaitingResponse:
		// The proxy had its decision, so the server may have the request. That this stream broke says nothing of the
		// server's health: Canceled does not blame it.
		s.reportOutcome(Outcome{Ending: balancer.Canceled})
	case awaitingRequest, responded, closed:
		// Nothing is pending.
	}
	s.phase = closed
	s.dropQueued()
}

// reportOutcome emits the outcome, once for each stream.
func (s *Stream) reportOutcome(o Outcome) {
	if !s.outcomeReported {
		s.outcomeReported = true
		s.emit(o)
	}
}
