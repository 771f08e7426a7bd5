package stream

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	modev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"

	"cranegrade/balancer"
)

func TestDecisionReachesProxy(t *testing.T) {
	s := New()
	actions := s.Receive(requestHeaders(true, "X-Request-Id", "1", "a", "\xff", "a", "2"))
	expectActions(t, "request headers", actions, "pick")
	r := actions[0].(PickEndpoint).Request
	if r.Method != "POST" || r.Path != "/order/1" || r.Authority != "a.test" || !r.EndOfStream || r.Get("x-request-id") != "1" ||
		!reflect.DeepEqual(r.Header["a"], []string{"\xff", "2"}) || r.Get("none") != "" {
		t.Errorf("request %+v", r)
	}
	m := decide(t, s)
	common := m.GetRequestHeaders().GetResponse()
	set := common.GetHeaderMutation().GetSetHeaders()
	if string(set[0].Header.RawValue) != "127.0.0.1:9,127.0.0.1:8" || set[0].Header.Key != DestinationHeader || !common.ClearRouteCache ||
		string(set[1].Header.RawValue) != "1000000u" || set[0].AppendAction != corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD {
		t.Errorf("mutation %v", common)
	}
	metadata := m.GetDynamicMetadata().GetFields()[MetadataNamespace].GetStructValue().GetFields()
	if v := metadata[DestinationHeader].GetStringValue(); v != "127.0.0.1:9,127.0.0.1:8" {
		t.Errorf("metadata %v", m.GetDynamicMetadata())
	}
	mode := m.GetModeOverride()
	if mode.GetResponseHeaderMode() != modev3.ProcessingMode_SEND || mode.GetRequestBodyMode() != modev3.ProcessingMode_NONE {
		t.Errorf("mode %v", m.GetModeOverride())
	}
	if _, used := s.Decide(Decision{}); used {
		t.Error("decided twice")
	}
	expectActions(t, "an immediate response after the decision", s.Respond(ImmediateResponse{Status: 502}), "")
	expectActions(t, "response headers",
		s.Receive(responseHeaders("200", ServedHeader, "127.0.0.1:8")),
		"outcome(0 200 127.0.0.1:8 true) ResponseHeaders")
	expectActions(t, "the end", s.End(), "close")
	expectActions(t, "a message after the end", s.Receive(responseHeaders("200")), "")
}

func TestImmediateResponse(t *testing.T) {
	t.Run("gRPC", func(t *testing.T) {
		s := New()
		s.Receive(requestHeaders(true, "content-type", "application/grpc+proto"))
		actions := s.Respond(ImmediateResponse{
			Status:     503,
			RetryAfter: 1500 * time.Millisecond,
			Details:    "refused",
		})
		expectActions(t, "rejection", actions, "ImmediateResponse(503) close")
		r := actions[0].(Reply).Message.GetImmediateResponse()
		header := r.Headers.SetHeaders[0].Header
		if r.GetGrpcStatus().GetStatus() != 14 || string(header.RawValue) != "1.5" || header.Key != "retry-after" {
			t.Errorf("response %v", r)
		}
	})
	t.Run("HTTP", func(t *testing.T) {
		r := newPendingStream().Respond(ImmediateResponse{Status: 502})[0].(Reply).Message.GetImmediateResponse()
		if r.GrpcStatus != nil || len(r.Headers.SetHeaders) != 0 {
			t.Errorf("response %v", r)
		}
	})
}

// Before a decision a broken stream leaves nothing behind; after it the request may be running.
func TestStreamBreaks(t *testing.T) {
	expectActions(t, "before any message", New().End(), "close")

	s := newPendingStream()
	expectActions(t, "before the decision", s.End(), "abandoned close")
	if _, used := s.Decide(Decision{Endpoint: "x"}); used {
		t.Error("a decision after the end is used")
	}

	expectActions(t, "after the decision", newDecidedStream(t).End(), fmt.Sprintf("outcome(%d 0  false) close", balancer.Canceled))

	s = newPendingStream()
	expectActions(t, "the proxy answers by itself", s.Receive(responseHeaders("504")), "abandoned ResponseHeaders")
	if _, used := s.Decide(Decision{Endpoint: "x"}); used {
		t.Error("a decision after the response is used")
	}
	expectActions(t, "the end", s.End(), "close")
}
