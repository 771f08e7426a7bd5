package stream

import (
	"slices"
	"testing"
	"time"

	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/protobuf/types/known/structpb"

	"cranegrade/balancer"
)

// withDetails is the message of response headers with Envoy's response code details.
func withDetails(status, details string) *extproc.ProcessingRequest {
	m := responseHeaders(status)
	m.Attributes = map[string]*structpb.Struct{"envoy.filters.http.ext_proc": {Fields: map[string]*structpb.Value{
		"response.code_details": structpb.NewStringValue(details),
	}}}
	return m
}

// The ending says whether the request can have run, by what the response headers prove.
func TestEndingOfResponse(t *testing.T) {
	for _, c := range []struct {
		name     string
		response *extproc.ProcessingRequest
		want     balancer.Ending
	}{
		{
			name:     "200",
			response: responseHeaders("200"),
			want:     balancer.Success,
		},
		{
			name:     "404",
			response: responseHeaders("404"),
			want:     balancer.Success,
		},
		{
			name:     "500",
			response: responseHeaders("500"),
			want:     balancer.Failure,
		},
		{
			name:     "503",
			response: responseHeaders("503"),
			want:     balancer.Failure,
		},
		{
			name:     "503 unprocessed",
			response: responseHeaders("503", "x-unprocessed", "1"),
			want:     balancer.Overloaded,
		},
		{
			name:     "504 unprocessed",
			response: responseHeaders("504", "X-Unprocessed", "1"),
			want:     balancer.Overloaded,
		},
		{
			name:     "500 unprocessed",
			response: responseHeaders("500", "x-unprocessed", "1"),
			want:     balancer.Failure,
		},
		{
			name:     "503 processed",
			response: responseHeaders("503", "x-unprocessed", "0"),
			want:     balancer.Failure,
		},
		{
			name:     "status that is no number",
			response: responseHeaders("x"),
			want:     balancer.Broken,
		},
		{
			name:     "status of two digits",
			response: responseHeaders("99"),
			want:     balancer.Broken,
		},
		{
			name:     "connection failure",
			response: withDetails("503", "upstream_reset_before_response_started{remote_connection_failure}"),
			want:     balancer.Unreachable,
		},
		{
			name:     "connection time-out",
			response: withDetails("503", "upstream_reset_before_response_started{connection_timeout}"),
			want:     balancer.Unreachable,
		},
		{
			name:     "connection termination",
			response: withDetails("503", "upstream_reset_before_response_started{connection_termination}"),
			want:     balancer.Broken,
		},
		{
			name:     "circuit breaker",
			response: withDetails("503", "upstream_reset_before_response_started{overflow}"),
			want:     balancer.NeverSent,
		},
		{
			name:     "no healthy upstream",
			response: withDetails("503", "no_healthy_upstream"),
			want:     balancer.Unreachable,
		},
		{
			name:     "per-try time-out",
			response: withDetails("504", "upstream_per_try_timeout"),
			want:     balancer.TimedOut,
		},
		{
			name:     "response time-out",
			response: withDetails("504", "response_timeout"),
			want:     balancer.TimedOut,
		},
		{
			name:     "via upstream",
			response: withDetails("200", "via_upstream"),
			want:     balancer.Success,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newDecidedStream(t)
			if o, ok := s.Receive(c.response)[0].(Outcome); !ok || o.Ending != c.want || !o.Answered {
				t.Errorf("got %+v, want ending %d", o, c.want)
			}
		})
	}
}

// If the proxy made several attempts by itself, that the last one did not run says nothing of the others.
func TestEndingAfterProxysOwnRetries(t *testing.T) {
	for attemptCount, want := range map[string]balancer.Ending{
		"":  balancer.Overloaded,
		"1": balancer.Overloaded,
		"2": balancer.Broken,
		"x": balancer.Broken,
	} {
		t.Run("attempt count "+attemptCount, func(t *testing.T) {
			s := newDecidedStream(t)
			headers := []string{"x-unprocessed", "1"}
			if attemptCount != "" {
				headers = append(headers, "x-envoy-attempt-count", attemptCount)
			}
			if o := s.Receive(responseHeaders("503", headers...))[0].(Outcome); o.Ending != want {
				t.Errorf("ending %d, want %d", o.Ending, want)
			}
		})
	}
}

// A 503 or 429 invites the client to retry: where that could do harm it becomes a 502.
func TestInvitationToHarmfulRetryIsRemoved(t *testing.T) {
	for _, c := range []struct {
		name      string
		decision  Decision
		response  *extproc.ProcessingRequest
		wantIs502 bool
	}{
		{"503 that may have run", Decision{AtMostOnce: true}, responseHeaders("503"), true},
		{"429 that may have run", Decision{AtMostOnce: true}, responseHeaders("429"), true},
		{"unprocessed", Decision{AtMostOnce: true}, responseHeaders("503", "x-unprocessed", "1"), false},
		{"unprocessed, earlier attempt may have run", Decision{
			AtMostOnce: true,
			MayHaveRun: true,
		}, responseHeaders("503", "x-unprocessed", "1"), true},
		{"idempotent", Decision{}, responseHeaders("503"), false},
		{"idempotent, earlier attempt may have run", Decision{MayHaveRun: true}, responseHeaders("503"), false},
		{"500", Decision{AtMostOnce: true}, responseHeaders("500"), false},
		{"200", Decision{AtMostOnce: true, MayHaveRun: true}, responseHeaders("200"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newPendingStream()
			s.Decide(c.decision)
			mutation := s.Receive(c.response)[1].(Reply).Message.GetResponseHeaders().GetResponse().GetHeaderMutation()
			set := mutation.GetSetHeaders()
			if is502 := len(set) == 1 && string(set[0].Header.RawValue) == "502" && set[0].Header.Key == ":status"; is502 != c.wantIs502 {
				t.Errorf("changed to 502: %v; %v", is502, mutation)
			}
		})
	}
}

// With a retry header, the response of a failed attempt waits for the retry decision and then says just that. A retry
// header that a server sets is removed.
func TestRetryDecision(t *testing.T) {
	const retryHeader = "x-again"
	for _, c := range []struct {
		name        string
		decision    Decision
		response    *extproc.ProcessingRequest
		retry       RetryDecision
		wantWait    bool
		wantSet     string // the first header that is set, as "name: value"
		wantRemoved bool   // of the retry header
	}{
		{
			name:        "success",
			decision:    Decision{},
			response:    responseHeaders("200", retryHeader, "1"),
			retry:       RetryDecision{Retry: true},
			wantWait:    false,
			wantSet:     "",
			wantRemoved: true,
		},
		{
			name:        "retry",
			decision:    Decision{AtMostOnce: true},
			response:    responseHeaders("503", "x-unprocessed", "1"),
			retry:       RetryDecision{Retry: true},
			wantWait:    true,
			wantSet:     retryHeader + ": 1",
			wantRemoved: false,
		},
		{
			name:     "rejected",
			decision: Decision{AtMostOnce: true},
			response: responseHeaders("503", "x-unprocessed", "1"),
			retry: RetryDecision{
				Rejected:   true,
				RetryAfter: time.Second,
			},
			wantWait:    true,
			wantSet:     ":status: 503",
			wantRemoved: true,
		},
		{
			name:        "rejected, may have run",
			decision:    Decision{AtMostOnce: true},
			response:    responseHeaders("503", retryHeader, "1"),
			retry:       RetryDecision{Rejected: true},
			wantWait:    true,
			wantSet:     ":status: 502",
			wantRemoved: true,
		},
		{
			name:        "failed, idempotent",
			decision:    Decision{},
			response:    responseHeaders("500"),
			retry:       RetryDecision{},
			wantWait:    true,
			wantSet:     "",
			wantRemoved: true,
		},
		{
			name:        "failed, not idempotent",
			decision:    Decision{AtMostOnce: true},
			response:    responseHeaders("500"),
			retry:       RetryDecision{},
			wantWait:    true,
			wantSet:     "",
			wantRemoved: true,
		},
		{
			name: "earlier attempt may have run",
			decision: Decision{
				AtMostOnce: true,
				MayHaveRun: true,
			},
			response:    responseHeaders("503", "x-unprocessed", "1"),
			retry:       RetryDecision{},
			wantWait:    true,
			wantSet:     ":status: 502",
			wantRemoved: true,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newPendingStream()
			c.decision.RetryHeader = retryHeader
			s.Decide(c.decision)
			actions := s.Receive(c.response)
			if o := actions[0].(Outcome); o.AwaitsRetryDecision != c.wantWait || (len(actions) == 1) != c.wantWait {
				t.Fatalf("%s, awaits the retry decision: %v", describe(actions), o.AwaitsRetryDecision)
			}
			if c.wantWait {
				expectActions(t, "a body behind the pending headers", s.Receive(responseBody("x", true)), "")
				actions, _ = s.DecideRetry(c.retry)
				expectActions(t, "the retry decision", actions, "ResponseHeaders ResponseBody")
			} else {
				actions = actions[1:]
			}
			mutation := actions[0].(Reply).Message.GetResponseHeaders().GetResponse().GetHeaderMutation()
			set := ""
			if headers := mutation.GetSetHeaders(); len(headers) > 0 {
				set = headers[0].Header.Key + ": " + string(headers[0].Header.RawValue)
			}
			if removed := slices.Contains(mutation.GetRemoveHeaders(), retryHeader); set != c.wantSet || removed != c.wantRemoved {
				t.Errorf("set %q, want %q; retry header removed: %v", set, c.wantSet, removed)
			}
			if _, used := s.DecideRetry(c.retry); used {
				t.Error("the retry is decided twice")
			}
		})
	}
}

func TestStreamBreaksBeforeRetryDecision(t *testing.T) {
	s := newPendingStream()
	s.Decide(Decision{RetryHeader: "x-again"})
	s.Receive(responseHeaders("500"))
	expectActions(t, "the end", s.End(), "abandoned close")
	if _, used := s.DecideRetry(RetryDecision{Retry: true}); used {
		t.Error("a retry decision after the end is used")
	}
}
