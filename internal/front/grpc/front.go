// Package grpc answers callers that speak gRPC on the listeners for HTTP/2: a request is a method's name, metadata
// and messages, which pass unparsed; whatever becomes of it ends in one grpc-status. It decides nothing but what is
// no request at all; the class is found by the routes from the method's full name, and the module does the rest.
package grpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/protobuf/proto"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/front/http1"
	"cranegrade/internal/grpc"
	"cranegrade/internal/message"
	"cranegrade/internal/pool"
)

const (
	// refusedAgain is the advice with a refusal before the module hears of a request.
	refusedAgain = time.Second
	healthCheck  = "/grpc.health.v1.Health/Check"
)

// Dialect is the front. It implements http1.Dialect.
type Dialect struct {
	// Serving says whether the service of that name, "" for all, can be asked; nil: there is none of it.
	Serving func(service string) (serving, known bool)
}

var _ http1.Dialect = Dialect{}

// Matches implements http1.Dialect.
func (Dialect) Matches(hr *http.Request) bool {
	return hr.ProtoMajor == 2 && grpc.IsContentType(hr.Header.Get("Content-Type"))
}

// call is a request on its way through an engine. It implements engine.Receiver.
type call struct {
	engine.Call
	whole   time.Time            // by which its caller wants all of the answer; zero: not told
	begun   chan *message.Stream // holds the streamed answer; never blocks
	answers chan engine.Answer   // holds the final answer; never blocks
	stream  *message.Stream      // once taken from begun
	gone    atomic.Bool          // nobody will read it
}

func (c *call) Began(r engine.Reply) {
	c.begun <- r.(*message.Stream)
	if c.gone.Load() {
		r.Release()
	}
}

func (c *call) Ended(a engine.Answer) {
	c.answers <- a
	if c.gone.Load() {
		c.discard()
	}
}

// discard releases what nobody will read. Whichever of the two sides comes second finds it.
func (c *call) discard() {
	for {
		select {
		case a := <-c.answers:
			if a.Reply != nil {
				a.Reply.Release()
			}
		case s := <-c.begun:
			s.Release()
		default:
			return
		}
	}
}

// Serve implements http1.Dialect.
func (d Dialect) Serve(f *http1.Front, w http.ResponseWriter, hr *http.Request) {
	w.Header().Set("Content-Type", hr.Header.Get("Content-Type"))
	if strings.HasPrefix(hr.URL.Path, "/grpc.health.v1.Health/") {
		d.health(w, hr)
		return
	}
	const most = message.MaxBody
	var c *call
	p, refusal := f.Enter(hr, most, func(p *pool.Pool, class string) (no *http1.Refusal) {
		c, no = check(hr, p, class, f.Clock().Now())
		return no
	})
	if refusal == nil {
		defer p.Leave(most)
		if c.Payload.(*message.Request).GRPC.Streamed {
			refusal = readStream(w, hr, c)
		} else {
			var body []byte
			body, refusal = readBody(w, hr)
			c.Payload.(*message.Request).Body, c.Size = body, int64(len(body))
		}
	}
	if refusal != nil {
		retry := time.Duration(0)
		if refusal.MayRetry {
			retry = refusedAgain
		}
		code := grpc.CodeFromHTTP(refusal.Status)
		if errors.Is(hr.Context().Err(), context.Canceled) {
			panic(http.ErrAbortHandler)
		}
		end(w, grpc.StatusFields(code, refusal.Text, retry), false)
		return
	}
	if c.Deadline <= f.Clock().Now() {
		end(w, grpc.StatusFields(grpc.DeadlineExceeded, "the time was up on arrival", 0), false)
		return
	}
	if !f.BeginRequest(hr) {
		panic(http.ErrAbortHandler)
	}
	d.answer(f, w, hr, p, c)
}

// answer hands a call to its engine and writes what becomes of it.
func (d Dialect) answer(f *http1.Front, w http.ResponseWriter, hr *http.Request, p *pool.Pool, c *call) {
	ctx := hr.Context()
	if !c.whole.IsZero() { // of a streamed answer all has to be there in the caller's time
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, c.whole)
		defer cancel()
	}
	p.Engine().Submit(&c.Call)
	for {
		select {
		case c.stream = <-c.begun:
			err := copyStream(ctx, w, c.stream)
			if err == nil {
				continue // it has ended; so has the call, or is about to
			}
			p.Engine().CallerGone(&c.Call)
			c.gone.Store(true)
			c.stream.Release()
			c.discard()
			if errors.Is(err, context.DeadlineExceeded) && hr.Context().Err() == nil {
				end(w, grpc.StatusFields(grpc.DeadlineExceeded, "the time was up before the answer was whole", 0), true)
				return
			}
			panic(http.ErrAbortHandler)
		case a := <-c.answers:
			if c.stream == nil {
				select { // it begins before it ends, whatever select sees first
				case c.stream = <-c.begun:
					if copyStream(ctx, w, c.stream) != nil {
						panic(http.ErrAbortHandler)
					}
				default:
				}
			}
			write(w, c, a, f.Clock().Now())
			return
		case <-hr.Context().Done():
			p.Engine().CallerGone(&c.Call)
			c.gone.Store(true)
			c.discard()
			panic(http.ErrAbortHandler) // the stream is reset
		}
	}
}

// check reads a request's head.
func check(hr *http.Request, p *pool.Pool, name string, now time.Duration) (*call, *http1.Refusal) {
	h := hr.Header
	class, known := p.Class(name)
	left, claimed := class.Deadline, false
	if t := h.Values("Grpc-Timeout"); len(t) > 0 {
		d, err := grpc.ParseTimeout(t[0])
		if err != nil || len(t) > 1 {
			return nil, &http1.Refusal{Status: http.StatusBadRequest, Text: fmt.Sprintf("grpc-timeout %.40q is no time", t)}
		}
		left, claimed = min(left, d), true
	}
	switch ids, keys := h["X-Correlation-Id"], h["Idempotency-Key"]; {
	case !p.GRPC():
		return nil, &http1.Refusal{Status: http.StatusNotImplemented, Text: "the servers of this pool do not speak gRPC"}
	case !known:
		return nil, &http1.Refusal{Status: http.StatusNotFound, Text: fmt.Sprintf("no class %.40q", name)}
	case hr.Method != http.MethodPost:
		return nil, &http1.Refusal{Status: http.StatusBadRequest, Text: "a call of gRPC is a POST"}
	case len(h["Content-Length"]) > 1:
		return nil, &http1.Refusal{Status: http.StatusBadRequest, Text: "more than one content-length"}
	case len(ids) > 1 || len(keys) > 1:
		return nil, &http1.Refusal{Status: http.StatusBadRequest, Text: "more than one x-correlation-id or idempotency-key"}
	case class.Effect == balancer.IdempotentByKey && (len(keys) != 1 || keys[0] == ""):
		// Without its key the servers would run every repeat.
		return nil, &http1.Refusal{Status: http.StatusBadRequest, Text: "no idempotency-key among the metadata"}
	}
	out := &message.Request{
		Method: http.MethodPost, URL: hr.URL, Authority: hr.Host, Header: make(map[string][]string, len(h)),
		GRPC: &message.GRPC{Idempotent: class.Effect == balancer.Idempotent, Streamed: class.Stream},
	}
	for k, v := range h {
		switch k { // what belongs to the way here, and what the sender says itself
		case "Te", "Grpc-Timeout", "Content-Length", "Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Upgrade", "X-Time-Left":
		default:
			out.Header[k] = v
		}
	}
	c := &call{begun: make(chan *message.Stream, 1), answers: make(chan engine.Answer, 1)}
	http1.SetCommonFields(&c.Call, h, name, now, left)
	c.Payload, c.Receiver = out, c
	if claimed {
		c.whole = time.Now().Add(c.Deadline - now)
	}
	return c, nil
}

// readBody reads the messages to their end. It does not wait for good: a caller that sends on and on, or waits for an
// answer before it ends, is of a kind that is not served.
func readBody(w http.ResponseWriter, hr *http.Request) ([]byte, *http1.Refusal) {
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(time.Now().Add(http1.RequestReadTimeout))
	body, err := io.ReadAll(io.LimitReader(hr.Body, message.MaxBody+1))
	rc.SetReadDeadline(time.Time{})
	switch {
	case err != nil:
		return nil, &http1.Refusal{Status: http.StatusNotImplemented, Text: "the request did not end in time: streams of requests are only for classes that are streams"}
	case len(body) > message.MaxBody:
		return nil, &http1.Refusal{Status: http.StatusRequestEntityTooLarge, Text: "the request is too long"}
	}
	if _, err := grpc.CountMessages(body); err != nil {
		return nil, &http1.Refusal{Status: http.StatusBadRequest, Text: err.Error()}
	}
	return body, nil
}

// endWithin is how long after its first message a request of a streamed class is waited for to end: most callers send
// one and say at once that it was all. One that ends can be sent again, one that goes on can't.
const endWithin = 10 * time.Millisecond

// readStream reads a request of a class whose calls may be streams, to its end or, where that does not come, to the
// end of its first message; what follows is then read as it is passed on, 64 KiB ahead at the most.
func readStream(w http.ResponseWriter, hr *http.Request, c *call) *http1.Refusal {
	room := make(chan struct{}, 1)
	more := message.NewStream(nil, func(int) {
		select {
		case room <- struct{}{}:
		default:
		}
	})
	rc := http.NewResponseController(w)
	rc.SetReadDeadline(time.Now().Add(http1.RequestReadTimeout))
	first, ended := make(chan struct{}), make(chan error, 1)
	go func() {
		var scan grpc.Scanner
		told := false
		buf := make([]byte, 16<<10)
		for {
			n, err := hr.Body.Read(buf)
			if n > 0 {
				if bad := scan.Scan(buf[:n]); bad != nil {
					err = bad
				}
				more.Push(append([]byte(nil), buf[:n]...))
			}
			if err == io.EOF && scan.End() == nil {
				more.Finish([]message.Field{}) // as it should
				ended <- nil
				return
			}
			if err == io.EOF {
				err = scan.End()
			}
			if err == nil && scan.Count == 0 && more.Buffered() >= message.MaxBody {
				err = errLong
			}
			if err != nil {
				more.Finish(nil)
				ended <- err
				return
			}
			if scan.Count > 0 && !told {
				told = true
				close(first)
			}
			for more.Buffered() >= message.MaxBody {
				select {
				case <-room:
				case <-hr.Context().Done():
				}
				if hr.Context().Err() != nil {
					more.Finish(nil)
					return
				}
			}
		}
	}()
	out := c.Payload.(*message.Request)
	var err error
	select {
	case err = <-ended:
	case <-first:
		select {
		case err = <-ended:
		case <-time.After(endWithin):
			out.BodyRest = more
		}
	}
	rc.SetReadDeadline(time.Time{})
	if err != nil {
		status := http.StatusBadRequest
		if errors.Is(err, errLong) {
			status = http.StatusRequestEntityTooLarge
		}
		return &http1.Refusal{Status: status, Text: err.Error()}
	}
	out.Body = more.Drain()
	c.Size = int64(len(out.Body))
	return nil
}

var errLong = errors.New("the first message is too long")

// copyStream writes a streamed answer as it comes, until it ends; an error is ctx's, or the caller's end.
func copyStream(ctx context.Context, w http.ResponseWriter, s *message.Stream) error {
	rc := http.NewResponseController(w)
	header(w.Header(), s.Header)
	for {
		p, err := s.Next(ctx)
		if p == nil || err != nil {
			return err
		}
		rc.SetWriteDeadline(time.Now().Add(http1.WriteTimeout))
		if _, err = w.Write(p); err == nil {
			err = rc.Flush()
		}
		rc.SetWriteDeadline(time.Time{}) // a stream that rests is not late
		if err != nil {
			return err
		}
	}
}

// write writes the final answer, or the rest of it.
func write(w http.ResponseWriter, c *call, a engine.Answer, now time.Duration) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(http1.WriteTimeout))
	began := c.stream != nil
	switch {
	case began && c.stream.Trailer() != nil:
		end(w, c.stream.Trailer(), true)
	case began && !c.whole.IsZero() && time.Until(c.whole) < http1.ProxyOverhead: // the server keeps the same time
		end(w, grpc.StatusFields(grpc.DeadlineExceeded, "the time was up before the answer was whole", 0), true)
	case began:
		end(w, grpc.StatusFields(grpc.Internal, "the answer broke off; it may have run", 0), true)
	case a.Verdict == engine.Served:
		r := a.Reply.(*message.Reply)
		defer r.Release()
		header(w.Header(), r.Header)
		if r.Header != nil {
			w.Write(r.Body) // an error means that the caller has gone
		}
		end(w, r.Trailer, r.Header != nil)
	case a.Verdict == engine.Rejected:
		end(w, grpc.StatusFields(grpc.Unavailable, "refused: trying again does no harm", max(a.RetryAfter, time.Millisecond)), false)
	case a.Verdict == engine.Duplicate:
		end(w, grpc.StatusFields(grpc.Aborted, "a call with this x-correlation-id is open already", 0), false)
	default:
		status := c.Payload.(*message.Request).GRPC.Failed()
		if status == nil && now >= c.Deadline-http1.ProxyOverhead {
			status = grpc.StatusFields(grpc.DeadlineExceeded, "no server answered in time; it may have run", 0)
		} else if status == nil {
			// Not UNAVAILABLE: callers send that again by themselves.
			status = grpc.StatusFields(grpc.Internal, "no server answered; it may have run", 0)
		}
		end(w, status, false)
	}
}

// header copies an answer's header, but for what belongs to its way here.
func header(to http.Header, fields []message.Field) {
	to.Del("Content-Type")
	for _, f := range fields {
		if f.Name != "content-length" && f.Name != "date" {
			to.Add(f.Name, f.Value)
		}
	}
	if to.Get("Content-Type") == "" {
		to.Set("Content-Type", "application/grpc")
	}
}

// end writes the fields that end an answer: after a body as its trailer, else in the only block there is.
func end(w http.ResponseWriter, fields []message.Field, body bool) {
	for _, f := range fields {
		switch {
		case f.Name == "content-type" || f.Name == "content-length" || f.Name == "date":
		case f.Name == "x-unprocessed": // said of one attempt; of all of them only the module knows
		case body:
			w.Header().Add(http.TrailerPrefix+f.Name, f.Value)
		default:
			w.Header().Add(f.Name, f.Value)
		}
	}
}

// health answers grpc.health.v1.Health: Check, for all or for a pool by its name. Watch is not served, and callers
// are told so: it would hold up a drain.
func (d Dialect) health(w http.ResponseWriter, hr *http.Request) {
	if hr.URL.Path != healthCheck || d.Serving == nil {
		end(w, grpc.StatusFields(grpc.Unimplemented, "of the health service only Check is served", 0), false)
		return
	}
	body, refusal := readBody(w, hr)
	if refusal != nil {
		end(w, grpc.StatusFields(grpc.CodeFromHTTP(refusal.Status), refusal.Text, 0), false)
		return
	}
	var ask healthpb.HealthCheckRequest
	if n, _ := grpc.CountMessages(body); n != 1 || body[0] != 0 || proto.Unmarshal(body[5:], &ask) != nil {
		end(w, grpc.StatusFields(grpc.InvalidArgument, "not one HealthCheckRequest", 0), false)
		return
	}
	serving, known := d.Serving(ask.Service)
	if !known {
		end(w, grpc.StatusFields(grpc.NotFound, fmt.Sprintf("no pool %.40q", ask.Service), 0), false)
		return
	}
	says := healthpb.HealthCheckResponse_NOT_SERVING
	if serving {
		says = healthpb.HealthCheckResponse_SERVING
	}
	text, err := proto.Marshal(&healthpb.HealthCheckResponse{Status: says})
	if err != nil {
		end(w, grpc.StatusFields(grpc.Internal, err.Error(), 0), false)
		return
	}
	w.Write(append([]byte{0, 0, 0, 0, byte(len(text))}, text...))
	end(w, []message.Field{{Name: "grpc-status", Value: "0"}}, true)
}
