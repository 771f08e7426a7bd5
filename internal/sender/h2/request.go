package h2

import (
	"net/http"
	"strconv"
	"strings"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/grpc"
	"cranegrade/internal/h2/client"
	"cranegrade/internal/message"
)

// streamRequest is the request of an attempt and the stream that carries it. The goroutine of its connection owns the fields
// from stream on until done is closed.
type streamRequest struct {
	attempt  *engine.Attempt
	message  *message.Request
	fields   []client.Field
	done     chan struct{} // closed once the request has ended
	bodySent chan struct{} // has a token once all there was of the body is written; holds one

	stream        uint32           // 0 means not opened
	result        client.Done      // set before done is closed
	rejected      *balancer.Ending // why it was not sent, if the sender itself decided that
	reply         *message.Stream  // the streamed reply; nil means none has begun
	replyMessages grpc.Scanner     // over the body of reply
	malformed     bool             // the body is not made of gRPC messages
}

func newStreamRequest(a *engine.Attempt, m *message.Request) *streamRequest {
	return &streamRequest{
		attempt:  a,
		message:  m,
		fields:   requestFields(a, m),
		done:     make(chan struct{}),
		bodySent: make(chan struct{}, 1),
	}
}

// finish ends the request. It is called once.
func (r *streamRequest) finish(d client.Done) {
	r.result = d
	close(r.done)
}

// reject ends a request of which nothing was written, with an ending of the sender's own.
func (r *streamRequest) reject(ending balancer.Ending) {
	r.rejected = &ending
	r.finish(client.Done{Ending: client.NotWritten})
}

// requestFields returns the field section of a request: pseudo-header fields first, and all names in lower case (RFC 9113,
// sections 8.2 and 8.3.1).
func requestFields(a *engine.Attempt, m *message.Request) []client.Field {
	authority := m.Authority
	if authority == "" {
		authority = a.Endpoint.Addr
	}
	fields := []client.Field{
		{Name: ":method", Value: m.Method},
		{Name: ":scheme", Value: "http"},
		{Name: ":authority", Value: authority},
		{Name: ":path", Value: m.URL.RequestURI()},
	}
	if m.GRPC != nil {
		fields = append(fields,
			client.Field{Name: "te", Value: "trailers"},
			client.Field{Name: "grpc-timeout", Value: grpc.FormatTimeout(a.Timeout)})
	} else {
		fields = append(fields, client.Field{Name: "x-time-left", Value: message.FormatTimeLeft(a.Timeout)})
	}
	for name, values := range m.Header {
		for _, value := range values {
			fields = append(fields, client.Field{Name: strings.ToLower(name), Value: value})
		}
	}
	if length, declared := declaredLength(m); declared {
		fields = append(fields, client.Field{Name: "content-length", Value: strconv.FormatInt(length, 10)})
	}
	return fields
}

// declaredLength returns the content-length of a request, and whether it has one (RFC 9110, section 8.6).
func declaredLength(m *message.Request) (length int64, declared bool) {
	switch {
	case m.GRPC != nil:
		return 0, false
	case m.BodyRest != nil:
		return m.BodyRest.Length, m.BodyRest.Length >= 0
	}
	return int64(len(m.Body)), len(m.Body) > 0 || m.Method == http.MethodPost
}

// mayHaveEffects reports whether a request may change something at the server, so that it must not be written to a
// connection that may be dead: its method is not safe (RFC 9110, section 9.2.1), or its gRPC method is not declared
// idempotent.
func mayHaveEffects(m *message.Request) bool {
	if m.GRPC != nil {
		return !m.GRPC.Idempotent
	}
	return m.Method != http.MethodGet && m.Method != http.MethodHead
}
