package stream

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	modev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/structpb"
	"pgregory.net/rapid"

	"cranegrade/balancer"
)

func headers(pairs ...string) *corev3.HeaderMap {
	m := &corev3.HeaderMap{}
	for i := 0; i < len(pairs); i += 2 {
		m.Headers = append(m.Headers, &corev3.HeaderValue{Key: pairs[i], RawValue: []byte(pairs[i+1])})
	}
	return m
}

func request(end bool, more ...string) *extproc.ProcessingRequest {
	return &extproc.ProcessingRequest{Request: &extproc.ProcessingRequest_RequestHeaders{RequestHeaders: &extproc.HttpHeaders{
		EndOfStream: end,
		Headers:     headers(append([]string{":method", "POST", ":path", "/order/1", ":authority", "a.test"}, more...)...),
	}}}
}

func response(status string, more ...string) *extproc.ProcessingRequest {
	return &extproc.ProcessingRequest{Request: &extproc.ProcessingRequest_ResponseHeaders{ResponseHeaders: &extproc.HttpHeaders{
		Headers: headers(append([]string{":status", status}, more...)...),
	}}}
}

func requestBody(text string, end bool) *extproc.ProcessingRequest {
	return &extproc.ProcessingRequest{Request: &extproc.ProcessingRequest_RequestBody{RequestBody: &extproc.HttpBody{Body: []byte(text), EndOfStream: end}}}
}

func responseBody(text string, end bool) *extproc.ProcessingRequest {
	return &extproc.ProcessingRequest{Request: &extproc.ProcessingRequest_ResponseBody{ResponseBody: &extproc.HttpBody{Body: []byte(text), EndOfStream: end}}}
}

func requestTrailers() *extproc.ProcessingRequest {
	return &extproc.ProcessingRequest{Request: &extproc.ProcessingRequest_RequestTrailers{RequestTrailers: &extproc.HttpTrailers{}}}
}

func responseTrailers() *extproc.ProcessingRequest {
	return &extproc.ProcessingRequest{Request: &extproc.ProcessingRequest_ResponseTrailers{ResponseTrailers: &extproc.HttpTrailers{}}}
}

// words says in one line what actions are.
func words(l []Action) string {
	var out []string
	for _, a := range l {
		switch a := a.(type) {
		case Reply:
			name := strings.TrimPrefix(fmt.Sprintf("%T", a.Message.Response), "*ext_procv3.ProcessingResponse_")
			if r := a.Message.GetImmediateResponse(); r != nil {
				name += fmt.Sprintf("(%d)", r.Status.Code)
			}
			out = append(out, name)
		case PickEndpoint:
			out = append(out, "ask")
		case Outcome:
			out = append(out, fmt.Sprintf("outcome(%d %d %s %v)", a.Ending, a.Status, a.Served, a.Answered))
		case Abandoned:
			out = append(out, "lost")
		case Close:
			out = append(out, "hangup")
			if a.Err != nil {
				out[len(out)-1] += "!"
			}
		}
	}
	return strings.Join(out, " ")
}

func expect(t *testing.T, what string, got []Action, want string) {
	t.Helper()
	if w := words(got); w != want {
		t.Errorf("%s: %q, not %q", what, w, want)
	}
}

func decide(t *testing.T, s *Stream) *extproc.ProcessingResponse {
	t.Helper()
	l, used := s.Decide(Decision{Endpoint: "127.0.0.1:9", Fallbacks: []string{"127.0.0.1:8"}, TimeLeft: time.Second, HeadersOnly: true, ClearRouteCache: true})
	if !used {
		t.Fatal("the decision is not used")
	}
	return l[0].(Reply).Message
}

func TestDecision(t *testing.T) {
	s := New()
	l := s.Receive(request(true, "X-Request-Id", "1", "a", "\xff", "a", "2"))
	expect(t, "headers", l, "ask")
	q := l[0].(PickEndpoint).Request
	if q.Method != "POST" || q.Path != "/order/1" || q.Authority != "a.test" || !q.EndOfStream || q.Get("x-request-id") != "1" ||
		!reflect.DeepEqual(q.Header["a"], []string{"\xff", "2"}) || q.Get("none") != "" {
		t.Errorf("question %+v", q)
	}
	m := decide(t, s)
	common := m.GetRequestHeaders().GetResponse()
	h := common.GetHeaderMutation().GetSetHeaders()
	if string(h[0].Header.RawValue) != "127.0.0.1:9,127.0.0.1:8" || h[0].Header.Key != DestinationHeader || !common.ClearRouteCache ||
		string(h[1].Header.RawValue) != "1000000u" || h[0].AppendAction != corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD {
		t.Errorf("mutation %v", common)
	}
	if v := m.GetDynamicMetadata().GetFields()[MetadataNamespace].GetStructValue().GetFields()[DestinationHeader].GetStringValue(); v != "127.0.0.1:9,127.0.0.1:8" {
		t.Errorf("metadata %v", m.GetDynamicMetadata())
	}
	if m.GetModeOverride().GetResponseHeaderMode() != modev3.ProcessingMode_SEND || m.GetModeOverride().GetRequestBodyMode() != modev3.ProcessingMode_NONE {
		t.Errorf("mode %v", m.GetModeOverride())
	}
	if _, used := s.Decide(Decision{}); used {
		t.Error("decided twice")
	}
	expect(t, "an answer that comes too late", s.Respond(ImmediateResponse{Status: 502}), "")
	expect(t, "response", s.Receive(response("200", ServedHeader, "127.0.0.1:8")), "outcome(0 200 127.0.0.1:8 true) ResponseHeaders")
	expect(t, "the end", s.End(), "hangup")
	expect(t, "after it", s.Receive(response("200")), "")
}

// What the response headers say of whether the request has run.
func TestOutcomes(t *testing.T) {
	details := func(status, details string) *extproc.ProcessingRequest {
		m := response(status)
		m.Attributes = map[string]*structpb.Struct{"envoy.filters.http.ext_proc": {Fields: map[string]*structpb.Value{
			"response.code_details": structpb.NewStringValue(details),
		}}}
		return m
	}
	for i, c := range []struct {
		m    *extproc.ProcessingRequest
		want balancer.Ending
	}{
		{response("200"), balancer.Success},
		{response("404"), balancer.Success},
		{response("500"), balancer.Failure},
		{response("503"), balancer.Failure},
		{response("503", "x-unprocessed", "1"), balancer.Overloaded},
		{response("504", "X-Unprocessed", "1"), balancer.Overloaded},
		{response("500", "x-unprocessed", "1"), balancer.Failure},
		{response("503", "x-unprocessed", "0"), balancer.Failure},
		{response("x"), balancer.Broken},
		{response("99"), balancer.Broken},
		{details("503", "upstream_reset_before_response_started{remote_connection_failure}"), balancer.Unreachable},
		{details("503", "upstream_reset_before_response_started{connection_timeout}"), balancer.Unreachable},
		{details("503", "upstream_reset_before_response_started{connection_termination}"), balancer.Broken},
		{details("503", "upstream_reset_before_response_started{overflow}"), balancer.NeverSent},
		{details("503", "no_healthy_upstream"), balancer.Unreachable},
		{details("504", "upstream_per_try_timeout"), balancer.TimedOut},
		{details("504", "response_timeout"), balancer.TimedOut},
		{details("200", "via_upstream"), balancer.Success},
	} {
		s := New()
		s.Receive(request(true))
		decide(t, s)
		if o, is := s.Receive(c.m)[0].(Outcome); !is || o.Ending != c.want || !o.Answered {
			t.Errorf("%d: %+v, not %d", i, o, c.want)
		}
	}
}

// A 503 promises that trying again does no harm: one that can't promise it is reworded.
func TestReworded(t *testing.T) {
	for i, c := range []struct {
		d    Decision
		m    *extproc.ProcessingRequest
		want bool
	}{
		{Decision{AtMostOnce: true}, response("503"), true},
		{Decision{AtMostOnce: true}, response("429"), true},
		{Decision{AtMostOnce: true}, response("503", "x-unprocessed", "1"), false},
		{Decision{AtMostOnce: true, MayHaveRun: true}, response("503", "x-unprocessed", "1"), true},
		{Decision{}, response("503"), false},
		{Decision{MayHaveRun: true}, response("503"), false},
		{Decision{AtMostOnce: true}, response("500"), false},
		{Decision{AtMostOnce: true, MayHaveRun: true}, response("200"), false},
	} {
		s := New()
		s.Receive(request(true))
		s.Decide(c.d)
		l := s.Receive(c.m)
		m := l[1].(Reply).Message.GetResponseHeaders().GetResponse().GetHeaderMutation()
		if got := len(m.GetSetHeaders()) == 1 && string(m.SetHeaders[0].Header.RawValue) == "502" && m.SetHeaders[0].Header.Key == ":status"; got != c.want {
			t.Errorf("%d: reworded %v: %v", i, got, m)
		}
	}
}

// With a retry header, the answer to a failed try waits for the word on whether there is another, and says just
// that; a server's own word on it counts for nothing.
func TestJudge(t *testing.T) {
	const retry = "x-again"
	for name, c := range map[string]struct {
		d       Decision
		m       *extproc.ProcessingRequest
		j       RetryDecision
		judged  bool
		set     string // header: value, the first that is set
		removes bool   // the retry header
	}{
		"served":           {Decision{}, response("200", retry, "1"), RetryDecision{Retry: true}, false, "", true},
		"again":            {Decision{AtMostOnce: true}, response("503", "x-unprocessed", "1"), RetryDecision{Retry: true}, true, retry + ": 1", false},
		"refused":          {Decision{AtMostOnce: true}, response("503", "x-unprocessed", "1"), RetryDecision{Rejected: true, RetryAfter: time.Second}, true, ":status: 503", true},
		"refused after it": {Decision{AtMostOnce: true}, response("503", retry, "1"), RetryDecision{Rejected: true}, true, ":status: 502", true},
		"failed, safe":     {Decision{}, response("500"), RetryDecision{}, true, "", true},
		"failed, unsafe":   {Decision{AtMostOnce: true}, response("500"), RetryDecision{}, true, "", true},
		"ran before":       {Decision{AtMostOnce: true, MayHaveRun: true}, response("503", "x-unprocessed", "1"), RetryDecision{}, true, ":status: 502", true},
	} {
		s := New()
		s.Receive(request(true))
		c.d.RetryHeader = retry
		s.Decide(c.d)
		l := s.Receive(c.m)
		if o := l[0].(Outcome); o.AwaitsRetryDecision != c.judged || (len(l) == 1) != c.judged {
			t.Errorf("%s: %s, judging %v", name, words(l), o.AwaitsRetryDecision)
			continue
		}
		if c.judged {
			expect(t, name+": what follows waits", s.Receive(responseBody("x", true)), "")
			l, _ = s.DecideRetry(c.j)
			expect(t, name, l, "ResponseHeaders ResponseBody")
		} else {
			l = l[1:]
		}
		m := l[0].(Reply).Message.GetResponseHeaders().GetResponse().GetHeaderMutation()
		got := ""
		if h := m.GetSetHeaders(); len(h) > 0 {
			got = h[0].Header.Key + ": " + string(h[0].Header.RawValue)
		}
		if removes := slices.Contains(m.GetRemoveHeaders(), retry); got != c.set || removes != c.removes {
			t.Errorf("%s: sets %q and not %q, takes the header off: %v", name, got, c.set, removes)
		}
		if _, used := s.DecideRetry(c.j); used {
			t.Errorf("%s: judged twice", name)
		}
	}
	s := New()
	s.Receive(request(true))
	s.Decide(Decision{RetryHeader: retry})
	s.Receive(response("500"))
	expect(t, "the end before the word", s.End(), "lost hangup")
	if _, used := s.DecideRetry(RetryDecision{Retry: true}); used {
		t.Error("judged after the end")
	}
}

// Of several tries that the proxy made by itself, the last one's never having run says nothing of the others.
func TestTriesOfTheProxy(t *testing.T) {
	for n, want := range map[string]balancer.Ending{"": balancer.Overloaded, "1": balancer.Overloaded, "2": balancer.Broken, "x": balancer.Broken} {
		s := New()
		s.Receive(request(true))
		decide(t, s)
		h := []string{"x-unprocessed", "1"}
		if n != "" {
			h = append(h, "x-envoy-attempt-count", n)
		}
		if o := s.Receive(response("503", h...))[0].(Outcome); o.Ending != want {
			t.Errorf("%q tries: ending %d, not %d", n, o.Ending, want)
		}
	}
}

// A stream that is lost: before the decision nothing is owed, after it the request may run.
func TestLost(t *testing.T) {
	s := New()
	expect(t, "nothing came", s.End(), "hangup")
	s = New()
	s.Receive(request(true))
	expect(t, "undecided", s.End(), "lost hangup")
	if _, used := s.Decide(Decision{Endpoint: "x"}); used {
		t.Error("decided for nobody")
	}
	s = New()
	s.Receive(request(true))
	decide(t, s)
	expect(t, "decided", s.End(), fmt.Sprintf("outcome(%d 0  false) hangup", balancer.Canceled))
	s = New()
	s.Receive(request(true))
	expect(t, "the proxy answers the client itself", s.Receive(response("504")), "lost ResponseHeaders")
	if _, used := s.Decide(Decision{Endpoint: "x"}); used {
		t.Error("decided after the answer")
	}
	expect(t, "the end", s.End(), "hangup")
}

// Every mode: what comes is passed on, in order, also what came before the decision.
func TestBodies(t *testing.T) {
	s := New()
	s.Receive(request(false))
	expect(t, "a piece before the decision", s.Receive(requestBody("a", false)), "")
	expect(t, "and trailers", s.Receive(requestTrailers()), "")
	l, _ := s.Decide(Decision{Endpoint: "x:1"})
	expect(t, "the decision first", l, "RequestHeaders RequestBody RequestTrailers")
	expect(t, "response", s.Receive(response("200")), "outcome(0 200  true) ResponseHeaders")
	expect(t, "a piece", s.Receive(responseBody("x", false)), "ResponseBody")
	expect(t, "the end", s.Receive(responseBody("", true)), "ResponseBody")
	expect(t, "the end twice", s.Receive(responseBody("", true)), "ResponseBody")
	expect(t, "trailers", s.Receive(responseTrailers()), "ResponseTrailers")
	expect(t, "more after the end", s.Receive(responseBody("y", false)), "hangup!")

	// FULL_DUPLEX_STREAMED: the proxy passes on only what comes back.
	s = New()
	m := request(false)
	m.ProtocolConfig = &extproc.ProtocolConfiguration{RequestBodyMode: modev3.ProcessingMode_FULL_DUPLEX_STREAMED, ResponseBodyMode: modev3.ProcessingMode_STREAMED}
	s.Receive(m)
	if d := decide(t, s); d.ModeOverride != nil {
		t.Error("a mode that can't be overridden is")
	}
	r := s.Receive(requestBody("piece", true))[0].(Reply).Message.GetRequestBody().GetResponse().GetBodyMutation().GetStreamedResponse()
	if string(r.GetBody()) != "piece" || !r.GetEndOfStream() {
		t.Errorf("sent back %v", r)
	}
	s.Receive(response("200"))
	if r := s.Receive(responseBody("x", true))[0].(Reply).Message.GetResponseBody().GetResponse(); r.GetBodyMutation() != nil {
		t.Errorf("sent back %v", r)
	}
}

// What waits behind the decision is bounded, and a gigabyte passed on takes no memory.
func TestBodyBounds(t *testing.T) {
	s := New()
	s.Receive(request(false))
	n := 0
	for ; !s.Full(); n++ {
		if n > maxQueuedMessages {
			t.Fatal("never full")
		}
		s.Receive(requestBody(strings.Repeat("x", 4096), false))
	}
	l, _ := s.Decide(Decision{Endpoint: "x:1"})
	if len(l) != n+1 || s.Full() || s.queuedBytes != 0 {
		t.Errorf("%d actions for %d pieces", len(l), n)
	}
	piece := requestBody(strings.Repeat("x", 64<<10), false)
	if a := testing.AllocsPerRun(1000, func() { s.Receive(piece) }); a > 10 {
		t.Errorf("%v allocations a piece", a)
	}
	if s.queued != nil || s.queuedBytes != 0 {
		t.Error("pieces are kept")
	}
}

func TestViolations(t *testing.T) {
	cases := map[string]func(*Stream) []Action{
		"headers twice":        func(s *Stream) []Action { s.Receive(request(true)); decide(t, s); return s.Receive(request(true)) },
		"headers while asking": func(s *Stream) []Action { s.Receive(request(true)); return s.Receive(request(true)) },
		"response twice":       func(s *Stream) []Action { s.Receive(response("200")); return s.Receive(response("200")) },
		"nothing":              func(s *Stream) []Action { return s.Receive(&extproc.ProcessingRequest{}) },
		"response body too early": func(s *Stream) []Action {
			s.Receive(request(true))
			decide(t, s)
			return s.Receive(responseBody("x", false))
		},
		"body after its end": func(s *Stream) []Action {
			s.Receive(request(true))
			decide(t, s)
			return s.Receive(requestBody("x", false))
		},
	}
	for name, f := range cases {
		s := New()
		l := f(s)
		h, is := l[len(l)-1].(Close)
		if !is || !errors.Is(h.Err, ErrOutOfOrder) && !errors.Is(h.Err, ErrEmptyMessage) || !s.Over() {
			t.Errorf("%s: %s", name, words(l))
		}
	}
	// A malformed request is answered: the proxy is not at fault.
	for name, h := range map[string]*corev3.HeaderMap{
		"no path":         headers(":method", "GET"),
		"two methods":     headers(":method", "GET", ":method", "PUT", ":path", "/"),
		"two authorities": headers(":method", "GET", ":path", "/", ":authority", "a", ":authority", "b"),
		"a line break":    headers(":method", "GET", ":path", "/", "a", "b\r\nc: d"),
		"no name":         headers(":method", "GET", ":path", "/", "", "b"),
		"10,000 fields":   {Headers: make([]*corev3.HeaderValue, 10_000)},
		"a megabyte":      headers(":method", "GET", ":path", "/"+strings.Repeat("x", 1<<20)),
	} {
		s := New()
		expect(t, name, s.Receive(&extproc.ProcessingRequest{Request: &extproc.ProcessingRequest_RequestHeaders{
			RequestHeaders: &extproc.HttpHeaders{Headers: h},
		}}), "ImmediateResponse(400) hangup")
	}
}

func TestFinal(t *testing.T) {
	s := New()
	s.Receive(request(true, "content-type", "application/grpc+proto"))
	l := s.Respond(ImmediateResponse{Status: 503, RetryAfter: 1500 * time.Millisecond, Details: "refused"})
	expect(t, "refused", l, "ImmediateResponse(503) hangup")
	r := l[0].(Reply).Message.GetImmediateResponse()
	if r.GetGrpcStatus().GetStatus() != 14 || string(r.Headers.SetHeaders[0].Header.RawValue) != "1.5" || r.Headers.SetHeaders[0].Header.Key != "retry-after" {
		t.Errorf("answer %v", r)
	}
	s = New()
	s.Receive(request(true))
	r = s.Respond(ImmediateResponse{Status: 502})[0].(Reply).Message.GetImmediateResponse()
	if r.GrpcStatus != nil || len(r.Headers.SetHeaders) != 0 {
		t.Errorf("answer %v", r)
	}
}

// In observability mode the proxy waits for nothing: nothing is sent, asked or booked.
func TestObservability(t *testing.T) {
	s := New()
	m := request(false)
	m.ObservabilityMode = true
	expect(t, "headers", s.Receive(m), "")
	expect(t, "body", s.Receive(requestBody("x", true)), "")
	expect(t, "response", s.Receive(response("500")), "")
	expect(t, "trailers", s.Receive(responseTrailers()), "")
	expect(t, "end", s.End(), "hangup")
}

// TestStreamProperty plays any order of messages and words, legal or not: one question and one outcome
// at the most, an outcome exactly if a decision was given, replies of the kind that was asked for and
// none after the end.
func TestStreamProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New()
		asked, outcomes, lost, used, hung, waiting := 0, 0, 0, false, 0, 0
		play := func(l []Action) (replies []string) {
			for _, a := range l {
				if hung > 0 {
					t.Fatalf("%s after the end", words(l))
				}
				switch a := a.(type) {
				case PickEndpoint:
					asked++
				case Outcome:
					outcomes++
					if !used {
						t.Fatal("an outcome without a decision")
					}
				case Abandoned:
					lost++
				case Close:
					hung++
				case Reply:
					replies = append(replies, words([]Action{a}))
				}
			}
			return replies
		}
		messages := map[string]func() *extproc.ProcessingRequest{
			"RequestHeaders":  func() *extproc.ProcessingRequest { return request(rapid.Bool().Draw(t, "end")) },
			"RequestBody":     func() *extproc.ProcessingRequest { return requestBody("x", rapid.Bool().Draw(t, "end")) },
			"RequestTrailers": requestTrailers, "ResponseTrailers": responseTrailers,
			"ResponseHeaders": func() *extproc.ProcessingRequest {
				return response(rapid.SampledFrom([]string{"200", "503", ""}).Draw(t, "status"))
			},
			"ResponseBody": func() *extproc.ProcessingRequest { return responseBody("x", rapid.Bool().Draw(t, "end")) },
		}
		actions := map[string]func(*rapid.T){
			"decide": func(t *rapid.T) {
				before := waiting
				l, ok := s.Decide(Decision{Endpoint: "x:1", HeadersOnly: rapid.Bool().Draw(t, "slim"), RetryHeader: rapid.SampledFrom([]string{"", "x-again"}).Draw(t, "retry")})
				if ok && (used || asked != 1 || lost > 0) {
					t.Fatal("a decision that nobody asked for is used")
				}
				used = used || ok
				if replies := play(l); ok && hung == 0 && len(replies) != before+1 {
					t.Fatalf("%v for %d that waited", replies, before)
				}
				waiting = 0
			},
			"judge": func(t *rapid.T) {
				was := s.phase == awaitingRetryDecision
				l, ok := s.DecideRetry(RetryDecision{Retry: rapid.Bool().Draw(t, "again")})
				if replies := play(l); ok != was || ok && (len(replies) == 0 || replies[0] != "ResponseHeaders") {
					t.Fatalf("judged %v, used %v: %v", was, ok, replies)
				}
			},
			"answer": func(t *rapid.T) { play(s.Respond(ImmediateResponse{Status: 503})) },
			"end":    func(t *rapid.T) { play(s.End()) },
			"empty":  func(t *rapid.T) { play(s.Receive(&extproc.ProcessingRequest{})) },
			"": func(t *rapid.T) {
				if asked > 1 || outcomes > 1 || lost > 1 || hung > 1 || s.Over() != (hung > 0) {
					t.Fatalf("asked %d, outcomes %d, lost %d, hung up %d, over %v", asked, outcomes, lost, hung, s.Over())
				}
				if hung > 0 && used && outcomes != 1 {
					t.Fatal("decided and over, without an outcome")
				}
			},
		}
		for name, f := range messages {
			actions[name] = func(t *rapid.T) {
				was := asked == 1 && !used && lost == 0 && hung == 0 && s.phase == awaitingDecision
				replies := play(s.Receive(f()))
				if was && s.phase == awaitingDecision {
					waiting++
				}
				for _, r := range replies {
					if r != name && !strings.HasPrefix(r, "Immediate") {
						t.Fatalf("%s is answered with %s", name, r)
					}
				}
				if len(replies) > 1 {
					t.Fatalf("%s is answered with %v", name, replies)
				}
			}
		}
		t.Repeat(actions)
		play(s.End())
		if used && outcomes != 1 || asked == 1 && !used && hung != 1 {
			t.Fatalf("at the end: used %v, outcomes %d", used, outcomes)
		}
	})
}

// FuzzReceive feeds whatever bytes there are, as one message after another.
func FuzzReceive(f *testing.F) {
	for _, m := range []*extproc.ProcessingRequest{request(true), response("200"), requestBody("x", true), responseTrailers(), {}} {
		b, _ := proto.Marshal(m)
		f.Add(b, b)
	}
	f.Fuzz(func(t *testing.T, a, b []byte) {
		s := New()
		outcomes := 0
		for _, text := range [][]byte{a, b} {
			m := &extproc.ProcessingRequest{}
			if proto.Unmarshal(text, m) != nil {
				return
			}
			for _, x := range s.Receive(m) {
				if _, is := x.(Outcome); is {
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

// BenchmarkStream is a request without a body through the state machine.
func BenchmarkStream(b *testing.B) {
	ask, answer := request(true, "x-request-id", "1"), response("200")
	b.ReportAllocs()
	for b.Loop() {
		s := New()
		s.Receive(ask)
		s.Decide(Decision{Endpoint: "127.0.0.1:9", HeadersOnly: true})
		s.Receive(answer)
		s.End()
	}
}
