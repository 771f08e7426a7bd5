package stream

import (
	"strings"
	"testing"

	modev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
)

// In each mode bodies and trailers are passed on in order, also those that came before the decision.
func TestBodiesAndTrailersArePassedOn(t *testing.T) {
	s := New()
	s.Receive(requestHeaders(false))
	expectActions(t, "a chunk before the decision", s.Receive(requestBody("a", false)), "")
	expectActions(t, "trailers before the decision", s.Receive(requestTrailers()), "")
	actions, _ := s.Decide(Decision{Endpoint: "x:1"})
	expectActions(t, "the decision first", actions, "RequestHeaders RequestBody RequestTrailers")
	expectActions(t, "response headers", s.Receive(responseHeaders("200")), "outcome(0 200  true) ResponseHeaders")
	expectActions(t, "a chunk", s.Receive(responseBody("x", false)), "ResponseBody")
	expectActions(t, "the end of the body", s.Receive(responseBody("", true)), "ResponseBody")
	expectActions(t, "the end again", s.Receive(responseBody("", true)), "ResponseBody")
	expectActions(t, "trailers", s.Receive(responseTrailers()), "ResponseTrailers")
	expectActions(t, "a chunk after the end", s.Receive(responseBody("y", false)), "close(error)")
}

// In mode FULL_DUPLEX_STREAMED the proxy forwards only the chunks that are sent back.
func TestFullDuplexBodiesAreSentBack(t *testing.T) {
	s := New()
	m := requestHeaders(false)
	m.ProtocolConfig = &extproc.ProtocolConfiguration{
		RequestBodyMode:  modev3.ProcessingMode_FULL_DUPLEX_STREAMED,
		ResponseBodyMode: modev3.ProcessingMode_STREAMED,
	}
	s.Receive(m)
	if d := decide(t, s); d.ModeOverride != nil {
		t.Error("a mode that can't be overridden is")
	}
	r := s.Receive(requestBody("piece", true))[0].(Reply).Message.GetRequestBody().GetResponse().GetBodyMutation().GetStreamedResponse()
	if string(r.GetBody()) != "piece" || !r.GetEndOfStream() {
		t.Errorf("sent back %v", r)
	}
	s.Receive(responseHeaders("200"))
	if r := s.Receive(responseBody("x", true))[0].(Reply).Message.GetResponseBody().GetResponse(); r.GetBodyMutation() != nil {
		t.Errorf("sent back %v", r)
	}
}

// What waits behind the decision is bounded, and chunks that are passed on later take no memory.
func TestQueueIsBounded(t *testing.T) {
	s := New()
	s.Receive(requestHeaders(false))
	queued := 0
	for ; !s.Full(); queued++ {
		if queued > maxQueuedMessages {
			t.Fatal("the stream is never full")
		}
		s.Receive(requestBody(strings.Repeat("x", 4096), false))
	}
	actions, _ := s.Decide(Decision{Endpoint: "x:1"})
	if len(actions) != queued+1 || s.Full() || s.queuedBytes != 0 {
		t.Errorf("%d actions for %d chunks", len(actions), queued)
	}
	chunk := requestBody(strings.Repeat("x", 64<<10), false)
	if a := testing.AllocsPerRun(1000, func() { s.Receive(chunk) }); a > 10 {
		t.Errorf("%v allocations for each chunk", a)
	}
	if s.queued != nil || s.queuedBytes != 0 {
		t.Error("chunks are kept")
	}
}

// In observability mode the proxy waits for nothing: nothing is sent, asked or reported.
func TestObservabilityMode(t *testing.T) {
	s := New()
	m := requestHeaders(false)
	m.ObservabilityMode = true
	expectActions(t, "request headers", s.Receive(m), "")
	expectActions(t, "request body", s.Receive(requestBody("x", true)), "")
	expectActions(t, "response headers", s.Receive(responseHeaders("500")), "")
	expectActions(t, "response trailers", s.Receive(responseTrailers()), "")
	expectActions(t, "the end", s.End(), "close")
}
