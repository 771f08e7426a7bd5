package http1

import (
	"net/http"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/message"
)

// Speech is the application protocol on top of HTTP: the platform's, or the mesh's. Its methods are called from many
// goroutines.
type Speech interface {
	// Head adds the header fields that belong to this attempt and not to the request.
	Head(a *engine.Attempt, h http.Header)
	// Matches says which request a response belongs to, as far as it tells. A response to another request is discarded.
	Matches(m *message.Request, resp *http.Response) Match
	// Ending classifies a complete response, and says whether its body is needed.
	Ending(resp *http.Response) (ending balancer.Ending, wanted bool)
	// Word returns the head of a response as it is passed downstream.
	Word(resp *http.Response) (status int, header []message.Field, contentType string)
}

// Match says which request a response belongs to, by its own fields.
type Match uint8

// Values of Match. Unnamed is a response that names no request. It counts as that of the pending request, but its
// connection carries no more requests that are not idempotent: a duplicate of it could not be told from the next response.
const (
	OfAnother Match = iota
	Unnamed
	OfRequest
)

// platformProtocol is the Speech of the platform's protocol.
type platformProtocol struct{}

func (platformProtocol) Head(a *engine.Attempt, h http.Header) {
	h["X-Time-Left"] = []string{message.TimeLeft(a.Timeout)}
}

func (platformProtocol) Matches(*message.Request, *http.Response) Match { return OfRequest }

func (platformProtocol) Ending(resp *http.Response) (balancer.Ending, bool) {
	switch {
	case resp.StatusCode == http.StatusOK:
		return balancer.Success, true
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Unprocessed") == "1":
		return balancer.Overloaded, false
	}
	return balancer.Failure, false
}

func (platformProtocol) Word(resp *http.Response) (int, []message.Field, string) {
	h := []message.Field{}
	v := resp.Header.Get("Content-Type")
	if v != "" {
		h = append(h, message.Field{Name: "content-type", Value: v})
	}
	return 0, h, v
}
