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

// serverProtocol implements sender.Protocol for requests to the local server.
type serverProtocol struct{}

// SetHeader implements sender.Protocol.
func (serverProtocol) SetHeader(a *engine.Attempt, h http.Header) {
	m := a.Payload.(*message.Request)
	h["User-Agent"] = m.Header["User-Agent"]
	h[headerTimeBudget] = []string{strconv.FormatInt(max(1, a.Timeout.Milliseconds()), 10)}
	h[headerTargetInstance] = []string{a.Endpoint.ID}
}

// Matches implements sender.Protocol. A response names its request by Attempt-Id. A successful response must do so; any
// other may omit the header.
func (serverProtocol) Matches(m *message.Request, resp *http.Response) sender.Match {
	switch got := resp.Header.Get(headerAttemptID); {
	case got == m.FrontData.(*wire.RequestT).AttemptId:
		return sender.MatchRequest
	case got == "" && resp.StatusCode/100 != 2:
		return sender.MatchUnnamed
	}
	return sender.MatchOther
}

// notExecutedStatuses are the statuses of responses in which the header Not-Executed is valid. It says that the server
// has not run the request. With any other status it contradicts the status and is ignored.
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
		return balancer.Broken, false // without the seal, it is not from a server of the mesh
	}
	return balancer.Success, true
}

// MayRunIncomplete implements sender.Protocol. A server may respond to a long request, and so begin work on it, before it
// has read the whole body.
func (serverProtocol) MayRunIncomplete() bool { return true }

// ResponseHead implements sender.Protocol. It returns the status and the header fields that are forwarded.
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
