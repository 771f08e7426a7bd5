package stream

import (
	"errors"
	"strings"
	"testing"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

func TestProtocolViolationsCloseStream(t *testing.T) {
	for _, c := range []struct {
		name    string
		violate func(t *testing.T) (*Stream, []Action)
	}{
		{"request headers twice", func(t *testing.T) (*Stream, []Action) {
			s := newDecidedStream(t)
			return s, s.Receive(requestHeaders(true))
		}},
		{"request headers while a decision is pending", func(*testing.T) (*Stream, []Action) {
			s := newPendingStream()
			return s, s.Receive(requestHeaders(true))
		}},
		{"response headers twice", func(*testing.T) (*Stream, []Action) {
			s := New()
			s.Receive(responseHeaders("200"))
			return s, s.Receive(responseHeaders("200"))
		}},
		{"empty message", func(*testing.T) (*Stream, []Action) {
			s := New()
			return s, s.Receive(&extproc.ProcessingRequest{})
		}},
		{"response body before its headers", func(t *testing.T) (*Stream, []Action) {
			s := newDecidedStream(t)
			return s, s.Receive(responseBody("x", false))
		}},
		{"request body after its end", func(t *testing.T) (*Stream, []Action) {
			s := newDecidedStream(t)
			return s, s.Receive(requestBody("x", false))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, actions := c.violate(t)
			closed, ok := actions[len(actions)-1].(Close)
			if !ok || !errors.Is(closed.Err, ErrOutOfOrder) && !errors.Is(closed.Err, ErrEmptyMessage) || !s.Over() {
				t.Error(describe(actions))
			}
		})
	}
}

// A malformed request is the client's fault and not the proxy's, so it is answered.
func TestMalformedRequestIsAnswered(t *testing.T) {
	for name, headers := range map[string]*corev3.HeaderMap{
		"no path":         headerMap(":method", "GET"),
		"two methods":     headerMap(":method", "GET", ":method", "PUT", ":path", "/"),
		"two authorities": headerMap(":method", "GET", ":path", "/", ":authority", "a", ":authority", "b"),
		"line break":      headerMap(":method", "GET", ":path", "/", "a", "b\r\nc: d"),
		"empty name":      headerMap(":method", "GET", ":path", "/", "", "b"),
		"10,000 fields":   {Headers: make([]*corev3.HeaderValue, 10_000)},
		"a megabyte":      headerMap(":method", "GET", ":path", "/"+strings.Repeat("x", 1<<20)),
	} {
		t.Run(name, func(t *testing.T) {
			expectActions(t, "request headers", New().Receive(rawRequestHeaders(false, headers)), "ImmediateResponse(400) close")
		})
	}
}

// streamModel drives a stream and counts what it does.
type streamModel struct {
	stream                             *Stream
	picks, outcomes, abandoned, closed int
	decided                            bool
	queued                             int // messages behind the pending decision
}

// carryOut counts actions, and returns the replies among them by their kind.
func (m *streamModel) carryOut(t *rapid.T, actions []Action) (replies []string) {
	for _, a := range actions {
		if m.closed > 0 {
			t.Fatalf("%s after the end", describe(actions))
		}
		switch a := a.(type) {
		case PickEndpoint:
			m.picks++
		case Outcome:
			m.outcomes++
			if !m.decided {
				t.Fatal("an outcome without a decision")
			}
		case Abandoned:
			m.abandoned++
		case Close:
			m.closed++
		case Reply:
			replies = append(replies, describe([]Action{a}))
		}
	}
	return replies
}

func (m *streamModel) decide(t *rapid.T) {
	before := m.queued
	actions, used := m.stream.Decide(Decision{
		Endpoint:    "x:1",
		HeadersOnly: rapid.Bool().Draw(t, "headersOnly"),
		RetryHeader: rapid.SampledFrom([]string{"", "x-again"}).Draw(t, "retryHeader"),
	})
	if used && (m.decided || m.picks != 1 || m.abandoned > 0) {
		t.Fatal("a decision that is not awaited is used")
	}
	m.decided = m.decided || used
	if replies := m.carryOut(t, actions); used && m.closed == 0 && len(replies) != before+1 {
		t.Fatalf("%v for %d queued messages", replies, before)
	}
	m.queued = 0
}

func (m *streamModel) decideRetry(t *rapid.T) {
	awaited := m.stream.phase == awaitingRetryDecision
	actions, used := m.stream.DecideRetry(RetryDecision{Retry: rapid.Bool().Draw(t, "retry")})
	if replies := m.carryOut(t, actions); used != awaited || used && (len(replies) == 0 || replies[0] != "ResponseHeaders") {
		t.Fatalf("retry decision awaited %v, used %v: %v", awaited, used, replies)
	}
}

// receive delivers a message, whose kind is that of the replies to it.
func (m *streamModel) receive(t *rapid.T, kind string, message *extproc.ProcessingRequest) {
	pending := m.picks == 1 && !m.decided && m.abandoned == 0 && m.closed == 0 && m.stream.phase == awaitingDecision
	replies := m.carryOut(t, m.stream.Receive(message))
	if pending && m.stream.phase == awaitingDecision {
		m.queued++
	}
	for _, reply := range replies {
		if reply != kind && !strings.HasPrefix(reply, "Immediate") {
			t.Fatalf("%s is answered with %s", kind, reply)
		}
	}
	if len(replies) > 1 {
		t.Fatalf("%s is answered with %v", kind, replies)
	}
}

func (m *streamModel) check(t *rapid.T) {
	if m.picks > 1 || m.outcomes > 1 || m.abandoned > 1 || m.closed > 1 || m.stream.Over() != (m.closed > 0) {
		t.Fatalf("picks %d, outcomes %d, abandoned %d, closed %d, over %v", m.picks, m.outcomes, m.abandoned, m.closed, m.stream.Over())
	}
	if m.closed > 0 && m.decided && m.outcomes != 1 {
		t.Fatal("decided and closed without an outcome")
	}
}

// TestStreamProperty plays messages and decisions in any order, valid or not. There is at most one pick and one outcome,
// an outcome exactly if a decision was used, replies are of the kind of their message, and none comes after the end.
func TestStreamProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &streamModel{stream: New()}
		endOfStream := func(t *rapid.T) bool { return rapid.Bool().Draw(t, "endOfStream") }
		receive := func(kind string, message func(t *rapid.T) *extproc.ProcessingRequest) func(*rapid.T) {
			return func(t *rapid.T) { m.receive(t, kind, message(t)) }
		}
		t.Repeat(map[string]func(*rapid.T){
			"decide":      m.decide,
			"decideRetry": m.decideRetry,
			"respond":     func(t *rapid.T) { m.carryOut(t, m.stream.Respond(ImmediateResponse{Status: 503})) },
			"end":         func(t *rapid.T) { m.carryOut(t, m.stream.End()) },
			"empty":       func(t *rapid.T) { m.carryOut(t, m.stream.Receive(&extproc.ProcessingRequest{})) },
			"RequestHeaders": receive("RequestHeaders", func(t *rapid.T) *extproc.ProcessingRequest {
				return requestHeaders(endOfStream(t))
			}),
			"RequestBody": receive("RequestBody", func(t *rapid.T) *extproc.ProcessingRequest {
				return requestBody("x", endOfStream(t))
			}),
			"RequestTrailers": receive("RequestTrailers", func(*rapid.T) *extproc.ProcessingRequest { return requestTrailers() }),
			"ResponseHeaders": receive("ResponseHeaders", func(t *rapid.T) *extproc.ProcessingRequest {
				return responseHeaders(rapid.SampledFrom([]string{"200", "503", ""}).Draw(t, "status"))
			}),
			"ResponseBody": receive("ResponseBody", func(t *rapid.T) *extproc.ProcessingRequest {
				return responseBody("x", endOfStream(t))
			}),
			"ResponseTrailers": receive("ResponseTrailers", func(*rapid.T) *extproc.ProcessingRequest { return responseTrailers() }),
			"":                 m.check,
		})
		m.carryOut(t, m.stream.End())
		if m.decided && m.outcomes != 1 || m.picks == 1 && !m.decided && m.closed != 1 {
			t.Fatalf("at the end: decided %v, outcomes %d", m.decided, m.outcomes)
		}
	})
}

// FuzzReceive feeds a stream two messages of arbitrary bytes.
func FuzzReceive(f *testing.F) {
	for _, m := range []*extproc.ProcessingRequest{requestHeaders(true), responseHeaders("200"), requestBody("x", true), responseTrailers(), {}} {
		encoded, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encoded, encoded)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		s := New()
		outcomes := 0
		for _, encoded := range [][]byte{first, second} {
			m := &extproc.ProcessingRequest{}
			if proto.Unmarshal(encoded, m) != nil {
				return
			}
			for _, action := range s.Receive(m) {
				if _, ok := action.(Outcome); ok {
					outcomes++
				}
			}
			s.Decide(Decision{Endpoint: "x:1"})
		}
		s.End()
		if outcomes > 1 || !s.Over() {
			t.Fatalf("%d outcomes, over %v", outcomes, s.Over())
		}
	})
}

func TestPhaseString(t *testing.T) {
	if got := awaitingRetryDecision.String(); got != "awaiting retry decision" {
		t.Errorf("got %q", got)
	}
	if got := phase(-1).String(); got != "phase(-1)" {
		t.Errorf("got %q", got)
	}
}

// BenchmarkStream is a request without a body from its headers to the end of its stream.
func BenchmarkStream(b *testing.B) {
	request, response := requestHeaders(true, "x-request-id", "1"), responseHeaders("200")
	b.ReportAllocs()
	for b.Loop() {
		s := New()
		s.Receive(request)
		s.Decide(Decision{Endpoint: "127.0.0.1:9", HeadersOnly: true})
		s.Receive(response)
		s.End()
	}
}
