package grpc

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/front/http1"
	"cranegrade/internal/grpc"
	"cranegrade/internal/message"
	"cranegrade/internal/pool"
)

// call is a call that an engine is handling.
type call struct {
	engine.Call
	clientDeadline time.Time            // by which the client wants the complete answer; zero means it has not said
	streams        chan *message.Stream // capacity 1: a streamed answer that begins, so that the engine never blocks
	answers        chan engine.Answer   // capacity 1: the final answer, likewise
	stream         *message.Stream      // once it was received from streams
	abandoned      atomic.Bool          // nobody reads the channels any more
}

var _ engine.Receiver = (*call)(nil)

// ResponseStarted implements engine.Receiver.
func (c *call) ResponseStarted(r engine.Reply) {
	c.streams <- r.(*message.Stream)
	if c.abandoned.Load() {
		r.Release()
	}
}

// Ended implements engine.Receiver.
func (c *call) Ended(a engine.Answer) {
	c.answers <- a
	if c.abandoned.Load() {
		c.discard()
	}
}

// abandon releases what the engine has delivered and will deliver, but for a stream that was received already.
func (c *call) abandon() {
	c.abandoned.Store(true)
	c.discard()
}

// discard releases answers that nobody will read. Both the engine and the handler call it after they have done their
// part, so that the later one finds them.
func (c *call) discard() {
	for {
		select {
		case answer := <-c.answers:
			if answer.Reply != nil {
				answer.Reply.Release()
			}
		case stream := <-c.streams:
			stream.Release()
		default:
			return
		}
	}
}

// request is the message for servers.
func (c *call) request() *message.Request { return c.Payload.(*message.Request) }

// newCall makes a call of a request's headers, or says why it is rejected.
func newCall(hr *http.Request, p *pool.Pool, className string, now time.Duration) (*call, *http1.Rejection) {
	class, known := p.Class(className)
	timeLeft, hasTimeout := class.Deadline, false
	if timeouts := hr.Header.Values("Grpc-Timeout"); len(timeouts) > 0 {
		timeout, err := grpc.ParseTimeout(timeouts[0])
		if err != nil || len(timeouts) > 1 {
			return nil, badRequest(fmt.Sprintf("grpc-timeout %.40q is no time", timeouts))
		}
		timeLeft, hasTimeout = min(timeLeft, timeout), true
	}
	if rejection := checkHeaders(hr, p, class, known, className); rejection != nil {
		return nil, rejection
	}
	c := &call{streams: make(chan *message.Stream, 1), answers: make(chan engine.Answer, 1)}
	http1.SetCommonFields(&c.Call, hr.Header, className, now, timeLeft)
	c.Payload, c.Receiver = newRequest(hr, class), c
	if hasTimeout {
		c.clientDeadline = time.Now().Add(c.Deadline - now)
	}
	return c, nil
}

// checkHeaders refuses calls that the pool does not serve, and malformed ones.
func checkHeaders(hr *http.Request, p *pool.Pool, class balancer.Class, known bool, className string) *http1.Rejection {
	switch ids, keys := hr.Header["X-Correlation-Id"], hr.Header["Idempotency-Key"]; {
	case !p.GRPC():
		return &http1.Rejection{Status: http.StatusNotImplemented, Text: "the servers of this pool do not speak gRPC"}
	case !known:
		return &http1.Rejection{Status: http.StatusNotFound, Text: fmt.Sprintf("no class %.40q", className)}
	case hr.Method != http.MethodPost:
		return badRequest("a call of gRPC is a POST")
	case len(hr.Header["Content-Length"]) > 1:
		return badRequest("more than one content-length")
	case len(ids) > 1 || len(keys) > 1:
		return badRequest("more than one x-correlation-id or idempotency-key")
	case class.Effect == balancer.IdempotentByKey && (len(keys) != 1 || keys[0] == ""):
		// Without its key, servers would run each retry again.
		return badRequest("no idempotency-key among the metadata")
	}
	return nil
}

func badRequest(text string) *http1.Rejection {
	return &http1.Rejection{Status: http.StatusBadRequest, Text: text}
}

// newRequest is the request for servers, still without its body. It leaves out what concerns the connection to the
// client alone (RFC 9110, section 7.6.1), and what the sender sets itself for each attempt.
func newRequest(hr *http.Request, class balancer.Class) *message.Request {
	request := &message.Request{
		Method:    http.MethodPost,
		URL:       hr.URL,
		Authority: hr.Host,
		Header:    make(map[string][]string, len(hr.Header)),
		GRPC:      &message.GRPC{Idempotent: class.Effect == balancer.Idempotent, Streamed: class.Stream},
	}
	for name, values := range hr.Header {
		switch name {
		case "Connection", "Keep-Alive", "Proxy-Connection", "Te", "Transfer-Encoding", "Upgrade":
		case "Content-Length", "Grpc-Timeout", "X-Time-Left":
		default:
			request.Header[name] = values
		}
	}
	return request
}
