package sidecar

import (
	"net/http"
	"strconv"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/message"
	sender "cranegrade/internal/sender/http1"
)

// serverProtocol is the mesh's protocol towards the local server. It implements sender.Protocol.
type serverProtocol struct{}

// SetHeader implements sender.Protocol.
func (serverProtocol) SetHeader(a *engine.Attempt, h http.Header) {
	m := a.Payload.(*message.Request)
	h["User-Agent"] = m.Header["User-Agent"]
	h[headerTimeBudget] = []string{strconv.FormatInt(max(1, a.Timeout.Milliseconds()), 10)}
	h[headerTargetInstance] = []string{a.Endpoint.ID}
}

// Matches implements sender.Protocol. An error response does not have to name its request. A successful response that
// names none is not taken as the response to any.
func (serverProtocol) Matches(m *message.Request, resp *http.Response) sender.Match {
	switch got := resp.Header.Get(headerAttemptID); {
	case got == m.FrontData.(*wire.RequestT).AttemptId:
		return sender.MatchRequest
	case got == "" && resp.StatusCode/100 != 2:
		return sender.MatchUnnamed
	}
	return sender.MatchOther
}

// notExecutedStatuses is the statuses with which a server may say by Not-Executed that it has not run a request. With
// any other status the header contradicts the response and is ignored.
var notExecutedStatuses = map[int]bool{
	http.StatusBadRequest:         true,
	http.StatusRequestTimeout:     true,
	http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests:    true,
	http.StatusServiceUnavailable: true,
}

// Classify implements sender.Protocol.
func (serverProtocol) Classify(resp *http.Response) (balancer.Ending, bool) {
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest:
		return balancer.Unreachable, false
	case resp.Header.Get(headerNotExecuted) != "" && notExecutedStatuses[resp.StatusCode]:
		return balancer.Overloaded, false
	case resp.StatusCode >= 500:
		return balancer.Failure, true
	case resp.StatusCode/100 == 2 && resp.Header.Get(headerServerSeal) == "":
		return balancer.Broken, false // without the seal it is not from a server of the mesh
	}
	return balancer.Success, true
}

// ResponseHead implements sender.Protocol: it returns the part of a response that is forwarded.
func (serverProtocol) ResponseHead(resp *http.Response) (int, []message.Field, string) {
	fields := make([]message.Field, 0, len(resp.Header))
	for name, values := range resp.Header {
		if unforwardedHeaders[name] {
			continue
		}
		for _, v := range values {
			fields = append(fields, message.Field{Name: name, Value: v})
		}
	}
	return resp.StatusCode, fields, ""
}

var _ sender.Protocol = serverProtocol{}
