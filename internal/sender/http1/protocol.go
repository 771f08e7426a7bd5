package http1

import (
	"net/http"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/message"
)

// Protocol is the application protocol on top of HTTP: the platform's, or the mesh's. Its methods are called from many
// goroutines.
type Protocol interface {
	// SetHeader adds the header fields that belong to this attempt and not to the request.
	SetHeader(a *engine.Attempt, h http.Header)
	// Matches says which request a response belongs to, as far as it tells. A response to another request is discarded.
	Matches(m *message.Request, resp *http.Response) Match
	// Classify classifies a complete response, and says whether its body is needed.
	Classify(resp *http.Response) (ending balancer.Ending, wanted bool)
	// MayRunIncomplete reports whether a server may begin to process a request of which it has received only a part.
	MayRunIncomplete() bool
	// ResponseHead returns the head of a response as it is passed downstream.
	ResponseHead(resp *http.Response) (status int, header []message.Field, contentType string)
}

// Match says which request a response belongs to, by its own fields.
type Match uint8

// Values of Match. MatchUnnamed is a response that names no request. It counts as that of the pending request, but its
// connection carries no more requests that are not idempotent: a duplicate of it could not be distinguished from the
// next response.
const (
	MatchOther Match = iota
	MatchUnnamed
	MatchRequest
)

// platformProtocol is the Protocol of the platform's protocol.
type platformProtocol struct{}

func (platformProtocol) SetHeader(a *engine.Attempt, h http.Header) {
	h["X-Time-Left"] = []string{message.FormatTimeLeft(a.Timeout)}
}

func (platformProtocol) Matches(*message.Request, *http.Response) Match { return MatchRequest }

func (platformProtocol) Classify(resp *http.Response) (balancer.Ending, bool) {
	switch {
	case resp.StatusCode == http.StatusOK:
		return balancer.Success, true
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Unprocessed") == "1":
		return balancer.Overloaded, false
	}
	return balancer.Failure, false
}

// MayRunIncomplete implements Protocol: a server of the platform begins a request when its last byte has arrived.
func (platformProtocol) MayRunIncomplete() bool { return false }

func (platformProtocol) ResponseHead(resp *http.Response) (int, []message.Field, string) {
	h := []message.Field{}
	v := resp.Header.Get("Content-Type")
	if v != "" {
		h = append(h, message.Field{Name: "content-type", Value: v})
	}
	return 0, h, v
}
