package extproc

import (
	"net/http"
	"time"

	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/extproc/stream"
)

// streamHandler serves one stream of a proxy, which is one HTTP request or one attempt of it. It belongs to the
// goroutine of the stream.
type streamHandler struct {
	front       *Front
	proxy       extproc.ExternalProcessor_ProcessServer
	machine     *stream.Stream
	id          uint64 // unique in the front
	call        *call  // once an endpoint has been asked for
	usage       *proxyUsage
	withinLimit bool          // the proxy may have this stream
	decideBy    time.Duration // clock time by which the proxy must have the decision
	err         error         // that the stream ends with
}

// Process implements the external processing service. It serves one stream.
func (f *Front) Process(proxy extproc.ExternalProcessor_ProcessServer) error {
	h := &streamHandler{front: f, proxy: proxy, machine: stream.New(), id: f.lastStreamID.Add(1)}
	identity := identityOf(proxy.Context())
	f.mu.Lock()
	h.usage, h.withinLimit = f.limits.openStream(f.cfg.Clock.Now(), identity)
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		f.limits.closeStream(h.usage)
		f.mu.Unlock()
	}()
	for !h.machine.Over() {
		m, err := proxy.Recv()
		if err != nil {
			h.perform(h.machine.End())
			break
		}
		h.perform(h.machine.Receive(m))
	}
	h.release()
	return h.err
}

// perform carries out the actions of the state machine, and those that follow from them. It loops over a list and does
// not recurse: a write is deep in the gRPC library, and each frame below it adds to the stack of every open stream.
func (h *streamHandler) perform(actions []stream.Action) {
	for len(actions) > 0 {
		action, rest := actions[0], actions[1:]
		var following []stream.Action
		switch action := action.(type) {
		case stream.Reply:
			h.send(action)
		case stream.PickEndpoint:
			following = h.pickEndpoint(action.Request)
		case stream.Outcome:
			following = h.handleOutcome(action)
		case stream.Close:
			if action.Err != nil {
				h.err = status.Error(codes.InvalidArgument, action.Err.Error())
			}
		}
		if actions = rest; len(following) > 0 {
			actions = append(following, rest...)
		}
	}
}

// send sends a message to the proxy. A failure is left to the next Recv, which fails as well.
func (h *streamHandler) send(r stream.Reply) { _ = h.proxy.Send(r.Message) }

// finish ends the call of the stream with an answer, and keeps that for as long as a repeat of the request could run
// without it: for the class's window, or else the request's own time.
func (h *streamHandler) finish(answer engine.Answer) {
	c := h.call
	now := h.front.cfg.Clock.Now()
	class := c.class()
	expiresAt := max(c.FallbackAt, now+h.front.cfg.Linger)
	if class.Effect == balancer.IdempotentByKey {
		expiresAt = max(expiresAt, now+class.Window)
	}
	if class.Effect == balancer.Idempotent || answer.Verdict == engine.Rejected {
		expiresAt = 0 // it may run again
	}
	h.front.calls.finish(now, c.key, c, answer, expiresAt)
	c.discardOffer()
	c.leave()
	c.detach(h.id)
}

// release deals with a call that is still open when its stream ends. The proxy may come back with it, and a server may
// be running it, so it stays open for the linger time.
func (h *streamHandler) release() {
	c, f := h.call, h.front
	if c == nil || !c.detach(h.id) {
		return // no endpoint was asked for, or another stream has taken over the call
	}
	if !c.isOpen() {
		return
	}
	time.AfterFunc(f.cfg.Linger, func() {
		if !c.isDetached() {
			return // another stream has come for it
		}
		c.pool.Engine().CallerGone(&c.Call)
		c.endAttempt(nil, balancer.Canceled)
		answer := engine.Answer{Verdict: engine.Failed}
		select {
		case answer = <-c.answers:
		default:
		}
		h.finish(answer)
	})
}

// immediateResponse is the engine's answer as the proxy is sent it.
func immediateResponse(a engine.Answer) stream.ImmediateResponse {
	switch a.Verdict {
	case engine.Rejected:
		return stream.ImmediateResponse{
			Status:     http.StatusServiceUnavailable,
			RetryAfter: a.RetryAfter,
			Details:    "refused",
		}
	case engine.Duplicate:
		return stream.ImmediateResponse{Status: http.StatusConflict, Details: "a request with this id is open"}
	case engine.Served:
		return stream.ImmediateResponse{Status: http.StatusConflict, Details: "this request has been served"}
	case engine.Failed:
	}
	return stream.ImmediateResponse{Status: http.StatusBadGateway, Details: "failed"}
}

// unavailable rejects a request before any attempt was made, so that the client can safely retry it.
func unavailable(details string) *stream.ImmediateResponse {
	return &stream.ImmediateResponse{
		Status:     http.StatusServiceUnavailable,
		RetryAfter: time.Second,
		Details:    details,
	}
}
