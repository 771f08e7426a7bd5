package h2

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/message"
	"cranegrade/internal/testkit"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const limit = testkit.Limit

func newSender(t testing.TB, most int64) *Sender {
	s := New(Config{Idle: time.Minute, Connect: limit, Connections: testkit.NewRoom(most)})
	t.Cleanup(func() { // what tests leave open
		s.mu.Lock()
		var l []*conn
		for _, conns := range s.conns {
			l = append(l, conns...)
		}
		s.mu.Unlock()
		for _, c := range l {
			if c.nc != nil {
				c.nc.Close()
			}
			<-c.over
		}
	})
	return s
}

func get() *message.Request {
	return &message.Request{Method: "GET", URL: &url.URL{Path: "/read/1"}, Authority: "app.svc", Header: map[string][]string{"X-Correlation-Id": {"1"}}}
}

func post(n int) *message.Request {
	return &message.Request{Method: "POST", URL: &url.URL{Path: "/send/1"}, Header: map[string][]string{"Idempotency-Key": {"k"}}, Body: []byte(strings.Repeat("x", n))}
}

func try(s *Sender, ep *engine.Endpoint, m *message.Request, within time.Duration) (balancer.Ending, string) {
	ctx, cancel := context.WithTimeoutCause(context.Background(), within, engine.ErrTimedOut)
	defer cancel()
	e, r := s.attempt(ctx, engine.NewAttempt(ep, m, within, engine.Hooks{}))
	if r == nil {
		return e, ""
	}
	return e, string(r.Body)
}

// served is a proper server: the standard library's.
func served(t *testing.T, h http.HandlerFunc) *engine.Endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: h, Protocols: new(http.Protocols)}
	srv.Protocols.SetUnencryptedHTTP2(true)
	done := make(chan struct{})
	go func() { defer close(done); srv.Serve(l) }()
	t.Cleanup(func() { srv.Close(); <-done })
	return engine.NewEndpoint("s", l.Addr().String())
}

// Many attempts share a connection; each has its own answer.
func TestMany(t *testing.T) {
	s := newSender(t, 10)
	var conns sync.Map
	ep := served(t, func(w http.ResponseWriter, r *http.Request) {
		conns.Store(r.RemoteAddr, true)
		b, _ := io.ReadAll(r.Body)
		switch r.URL.Path {
		case "/read/1":
			fmt.Fprintf(w, "%s %s %s", r.Proto, r.Host, r.Header.Get("X-Correlation-Id"))
		case "/send/1":
			fmt.Fprint(w, len(b), " ", r.Header.Get("Idempotency-Key"), " ", r.ContentLength)
		}
	})
	if e, body := try(s, ep, get(), limit); e != balancer.Success || body != "HTTP/2.0 app.svc 1" {
		t.Fatalf("%v %q", e, body)
	}
	var all sync.WaitGroup
	for range 60 {
		all.Go(func() {
			if e, body := try(s, ep, post(60_000), limit); e != balancer.Success || body != "60000 k 60000" {
				t.Errorf("%v %q", e, body)
			}
		})
	}
	all.Wait()
	n := 0
	conns.Range(func(any, any) bool { n++; return true })
	if n != 1 {
		t.Errorf("%d connections", n)
	}
}

// The protocol's statuses, as over HTTP/1.1.
func TestStatuses(t *testing.T) {
	s := newSender(t, 10)
	ep := served(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.Header.Get("X-Correlation-Id") {
		case "full":
			w.Header().Set("X-Unprocessed", "1")
			w.WriteHeader(503)
		case "503":
			w.WriteHeader(503)
		case "500":
			w.WriteHeader(500)
		case "long":
			w.Write(make([]byte, 200_000))
		case "slow":
			<-r.Context().Done()
		}
	})
	for id, want := range map[string]balancer.Ending{
		"full": balancer.Overloaded, "503": balancer.Failure, "500": balancer.Failure,
		"long": balancer.TimedOut, "slow": balancer.TimedOut, "": balancer.Success,
	} {
		m := get()
		m.Header["X-Correlation-Id"] = []string{id}
		within := limit
		if want == balancer.TimedOut {
			within = 100 * time.Millisecond
		}
		if e, _ := try(s, ep, m, within); e != want {
			t.Errorf("%q: %v, want %v", id, e, want)
		}
	}
}

// raw is a server by frames, for what no proper one does.
type raw struct {
	t  *testing.T
	nc net.Conn
	fr *http2.Framer
}

// rawServer hands each connection, its preface and SETTINGS read and answered, to f.
func rawServer(t *testing.T, settings []http2.Setting, f func(n int, r *raw)) *engine.Endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var all sync.WaitGroup
	stop := make(chan struct{})
	all.Go(func() {
		for n := 0; ; n++ {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			all.Go(func() {
				defer nc.Close()
				done := make(chan struct{})
				defer close(done)
				all.Go(func() {
					select {
					case <-stop:
						nc.Close()
					case <-done:
					}
				})
				br := bufio.NewReader(nc)
				preface := make([]byte, len(http2.ClientPreface))
				if _, err := io.ReadFull(br, preface); err != nil || string(preface) != http2.ClientPreface {
					return
				}
				r := &raw{t, nc, http2.NewFramer(nc, br)}
				r.fr.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
				r.fr.WriteSettings(settings...)
				f(n, r)
			})
		}
	})
	t.Cleanup(func() { close(stop); l.Close(); all.Wait() })
	return engine.NewEndpoint("raw", l.Addr().String())
}

// headers reads until the next stream begins, and gives its number; 0 at the end.
func (r *raw) headers() uint32 {
	for {
		f, err := r.fr.ReadFrame()
		if err != nil {
			return 0
		}
		switch f := f.(type) {
		case *http2.MetaHeadersFrame:
			return f.StreamID
		case *http2.PingFrame:
			if !f.IsAck() {
				r.fr.WritePing(true, f.Data)
			}
		}
	}
}

func (r *raw) answer(stream uint32, end bool, fields ...string) {
	var b strings.Builder
	e := hpack.NewEncoder(&b)
	for i := 0; i < len(fields); i += 2 {
		e.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]})
	}
	r.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: stream, BlockFragment: []byte(b.String()), EndHeaders: true, EndStream: end})
}

func (r *raw) drain() {
	for r.headers() != 0 {
	}
}

// TestEndings: what a server does to a stream, and what that says of whether it ran.
func TestEndings(t *testing.T) {
	for _, c := range []struct {
		name string
		m    *message.Request
		do   func(r *raw, stream uint32)
		want balancer.Ending
	}{
		{"refused", get(), func(r *raw, id uint32) { r.fr.WriteRSTStream(id, http2.ErrCodeRefusedStream); r.drain() }, balancer.Overloaded},
		{"reset", get(), func(r *raw, id uint32) { r.fr.WriteRSTStream(id, http2.ErrCodeInternal); r.drain() }, balancer.Broken},
		{"reset between head and data", get(), func(r *raw, id uint32) {
			r.answer(id, false, ":status", "200", "content-length", "5")
			r.fr.WriteRSTStream(id, http2.ErrCodeInternal)
			r.drain()
		}, balancer.Broken},
		{"the connection ends", get(), func(r *raw, id uint32) {}, balancer.Broken},
		{"the connection ends before the body is whole", post(100_000), func(r *raw, id uint32) {}, balancer.Unreachable},
		{"above a GOAWAY", get(), func(r *raw, id uint32) { r.fr.WriteGoAway(0, http2.ErrCodeNo, nil); r.drain() }, balancer.NeverSent},
		{"a body shorter than its length", get(), func(r *raw, id uint32) {
			r.answer(id, false, ":status", "200", "content-length", "5")
			r.fr.WriteData(id, true, []byte("x"))
			r.drain()
		}, balancer.Broken},
		{"a status twice", get(), func(r *raw, id uint32) { r.answer(id, true, ":status", "200", ":status", "200"); r.drain() }, balancer.Broken},
		{"upper case", get(), func(r *raw, id uint32) { r.answer(id, true, ":status", "200", "X-Big", "1"); r.drain() }, balancer.Broken},
		{"fields of a megabyte", get(), func(r *raw, id uint32) {
			for range 20 {
				r.answer(id, true, ":status", "200", "a", strings.Repeat("x", 15_000), "b", strings.Repeat("y", 15_000))
			}
			r.drain()
		}, balancer.Broken},
		{"a frame that is too long", get(), func(r *raw, id uint32) {
			r.fr.AllowIllegalWrites = true
			r.answer(id, false, ":status", "200")
			r.fr.WriteData(id, true, make([]byte, 100_000))
			r.drain()
		}, balancer.Broken},
		{"nonsense", get(), func(r *raw, id uint32) {
			io.WriteString(r.nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			r.drain()
		}, balancer.Broken},
		{"a continuation without end", get(), func(r *raw, id uint32) {
			r.fr.AllowIllegalWrites = true
			r.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: []byte{0x88}})
			for range 2000 {
				if r.fr.WriteContinuation(id, false, make([]byte, 1000)) != nil {
					return
				}
			}
			r.drain()
		}, balancer.Broken},
		{"nothing", get(), func(r *raw, id uint32) { r.drain() }, balancer.TimedOut},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSender(t, 10)
			ep := rawServer(t, nil, func(_ int, r *raw) {
				if id := r.headers(); id != 0 {
					c.do(r, id)
				}
			})
			within := limit
			if c.want == balancer.TimedOut {
				within = 100 * time.Millisecond
			}
			if e, _ := try(s, ep, c.m, within); e != c.want {
				t.Errorf("%v, want %v", e, c.want)
			}
		})
	}
	t.Run("nobody listens", func(t *testing.T) {
		s := newSender(t, 10)
		if e, _ := try(s, engine.NewEndpoint("none", "127.0.0.1:1"), get(), limit); e != balancer.Unreachable {
			t.Error(e)
		}
	})
	t.Run("no room", func(t *testing.T) {
		s := newSender(t, 0)
		ep := served(t, func(http.ResponseWriter, *http.Request) {})
		if e, _ := try(s, ep, get(), limit); e != balancer.Unreachable {
			t.Error(e)
		}
	})
}

// GOAWAY with 50 attempts out, half above its last: these never ran, the others are answered, and what comes next goes
// over another connection.
func TestGoAwayUnderLoad(t *testing.T) {
	s := newSender(t, 10)
	var second atomic.Int64
	ep := rawServer(t, nil, func(n int, r *raw) {
		if n > 0 {
			for id := r.headers(); id != 0; id = r.headers() {
				second.Add(1)
				r.answer(id, true, ":status", "200")
			}
			return
		}
		var ids []uint32
		for range 50 {
			ids = append(ids, r.headers())
		}
		r.fr.WriteGoAway(ids[24], http2.ErrCodeNo, nil)
		for _, id := range ids[:25] {
			r.answer(id, true, ":status", "200")
		}
		r.drain()
	})
	var all sync.WaitGroup
	var ok, never atomic.Int64
	for range 50 {
		all.Go(func() {
			switch e, _ := try(s, ep, get(), limit); e {
			case balancer.Success:
				ok.Add(1)
			case balancer.NeverSent:
				never.Add(1)
			default:
				t.Errorf("%v", e)
			}
		})
	}
	all.Wait()
	if ok.Load() != 25 || never.Load() != 25 || second.Load() != 0 {
		t.Errorf("%d answered, %d never ran, %d sent again by nobody's word", ok.Load(), never.Load(), second.Load())
	}
	if e, _ := try(s, ep, get(), limit); e != balancer.Success || second.Load() != 1 {
		t.Errorf("the next: %v", e)
	}
}

// The server's limit of streams is kept: what is beyond goes over another connection.
func TestStreamLimit(t *testing.T) {
	s := newSender(t, 10)
	var conns atomic.Int64
	release := make(chan struct{})
	ep := rawServer(t, []http2.Setting{{ID: http2.SettingMaxConcurrentStreams, Val: 2}}, func(_ int, r *raw) {
		conns.Add(1)
		var ids []uint32
		for range 2 {
			ids = append(ids, r.headers())
		}
		<-release
		for _, id := range ids {
			if id != 0 {
				r.answer(id, true, ":status", "200")
			}
		}
		r.drain()
	})
	// The first tells the limit.
	var all sync.WaitGroup
	all.Go(func() { try(s, ep, get(), limit) })
	testkit.Eventually(t, "the limit is not told", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns[ep]) == 1 && s.conns[ep][0].limit.Load() == 2
	})
	for range 3 {
		all.Go(func() {
			if e, _ := try(s, ep, get(), limit); e != balancer.Success {
				t.Errorf("%v", e)
			}
		})
	}
	testkit.Eventually(t, "there is no second connection", func() bool { return conns.Load() == 2 })
	close(release)
	all.Wait()
}

// A finished call is not begun, and an endpoint that was dropped finishes what it has.
func TestBeginAndDrop(t *testing.T) {
	s := newSender(t, 10)
	hold, out := make(chan struct{}), make(chan struct{}, 1)
	ep := served(t, func(w http.ResponseWriter, r *http.Request) { out <- struct{}{}; <-hold; w.Write([]byte("ok")) })
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	a := engine.NewAttempt(ep, get(), limit, engine.Hooks{Finished: func() bool { return true }})
	if e, _ := s.attempt(ctx, a); e != balancer.NeverSent {
		t.Errorf("a finished call: %v", e)
	}
	got := make(chan balancer.Ending, 1)
	go func() { e, _ := try(s, ep, get(), limit); got <- e }()
	testkit.Wait(t, out)
	s.Drop(ep)
	close(hold)
	if e := testkit.Wait(t, got); e != balancer.Success {
		t.Errorf("what was out at a dropped endpoint: %v", e)
	}
	testkit.Eventually(t, "its connection is kept", func() bool {
		s.Sweep()
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns) == 0 && len(s.gone) == 0
	})
}

// BenchmarkAttempts is attempts over one connection, by how many are out at a time.
func BenchmarkAttempts(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok")) }), Protocols: new(http.Protocols)}
	srv.Protocols.SetUnencryptedHTTP2(true)
	go srv.Serve(l)
	defer srv.Close()
	for _, n := range []int{1, 4, 16} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newSender(b, 10)
			ep := engine.NewEndpoint("s", l.Addr().String())
			b.SetParallelism(n)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					try(s, ep, get(), limit)
				}
			})
		})
	}
}
