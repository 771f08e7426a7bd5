package stream

import (
	"fmt"
	"strings"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
)

// headerMap makes a header map of names and values in turn.
func headerMap(pairs ...string) *corev3.HeaderMap {
	m := &corev3.HeaderMap{}
	for i := 0; i < len(pairs); i += 2 {
		m.Headers = append(m.Headers, &corev3.HeaderValue{Key: pairs[i], RawValue: []byte(pairs[i+1])})
	}
	return m
}

// requestHeaders is the message of a valid request with more fields.
func requestHeaders(endOfStream bool, more ...string) *extproc.ProcessingRequest {
	return rawRequestHeaders(
		endOfStream,
		headerMap(append([]string{":method", "POST", ":path", "/order/1", ":authority", "a.test"}, more...)...),
	)
}

func rawRequestHeaders(endOfStream bool, headers *corev3.HeaderMap) *extproc.ProcessingRequest {
	return &extproc.ProcessingRequest{Request: &extproc.ProcessingRequest_RequestHeaders{RequestHeaders: &extproc.HttpHeaders{
		EndOfStream: endOfStream,
		Headers:     headers,
	}}}
}

func responseHeaders(status string, more ...string) *extproc.ProcessingRequest {
	return &extproc.ProcessingRequest{Request: &extproc.ProcessingRequest_ResponseHeaders{ResponseHeaders: &extproc.HttpHeaders{
		Headers: headerMap(append([]string{":status", status}, more...)...),
	}}}
}

func requestBody(text string, endOfStream bool) *extproc.ProcessingRequest {
	return &extproc.ProcessingRequest{Request: &extproc.ProcessingRequest_RequestBody{RequestBody: &extproc.HttpBody{
		Body:        []byte(text),
		EndOfStream: endOfStream,
	}}}
}

func responseBody(text string, endOfStream bool) *extproc.ProcessingRequest {
	return &extproc.ProcessingRequest{Request: &extproc.ProcessingRequest_ResponseBody{ResponseBody: &extproc.HttpBody{
		Body:        []byte(text),
		EndOfStream: endOfStream,
	}}}
}

func requestTrailers() *extproc.ProcessingRequest {
	return &extproc.ProcessingRequest{Request: &extproc.ProcessingRequest_RequestTrailers{RequestTrailers: &extproc.HttpTrailers{}}}
}

func responseTrailers() *extproc.ProcessingRequest {
	return &extproc.ProcessingRequest{Request: &extproc.ProcessingRequest_ResponseTrailers{ResponseTrailers: &extproc.HttpTrailers{}}}
}

// describe is a list of actions in one line.
func describe(actions []Action) string {
	var out []string
	for _, a := range actions {
		switch a := a.(type) {
		case Reply:
			name := strings.TrimPrefix(fmt.Sprintf("%T", a.Message.Response), "*ext_procv3.ProcessingResponse_")
			if r := a.Message.GetImmediateResponse(); r != nil {
				name += fmt.Sprintf("(%d)", r.Status.Code)
			}
			out = append(out, name)
		case PickEndpoint:
			out = append(out, "pick")
		case Outcome:
			out = append(out, fmt.Sprintf("outcome(%d %d %s %v)", a.Ending, a.Status, a.Served, a.Answered))
		case Abandoned:
			out = append(out, "abandoned")
		case Close:
			if a.Err != nil {
				out = append(out, "close(error)")
			} else {
				out = append(out, "close")
			}
		}
	}
	return strings.Join(out, " ")
}

func expectActions(t *testing.T, step string, got []Action, want string) {
	t.Helper()
	if text := describe(got); text != want {
		t.Errorf("%s: got %q, want %q", step, text, want)
	}
}

// newPendingStream is a stream with a request without a body, for which no endpoint has been picked yet.
func newPendingStream() *Stream {
	s := New()
	s.Receive(requestHeaders(true))
	return s
}

// newDecidedStream is a stream whose request has its decision.
func newDecidedStream(t *testing.T) *Stream {
	t.Helper()
	s := newPendingStream()
	decide(t, s)
	return s
}

// decide gives a decision with everything that one can have, and returns the message to the proxy.
func decide(t *testing.T, s *Stream) *extproc.ProcessingResponse {
	t.Helper()
	actions, used := s.Decide(Decision{
		Endpoint:        "127.0.0.1:9",
		Fallbacks:       []string{"127.0.0.1:8"},
		TimeLeft:        time.Second,
		HeadersOnly:     true,
		ClearRouteCache: true,
	})
	if !used {
		t.Fatal("the decision is not used")
	}
	return actions[0].(Reply).Message
}
