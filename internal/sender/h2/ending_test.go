package h2

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/message"
	"cranegrade/internal/testkit"
)

// What a server does to a stream, and what that proves of whether the request ran.
func TestEndings(t *testing.T) {
	for _, c := range []struct {
		name    string
		request *message.Request
		serve   func(r *rawConn, stream uint32)
		want    balancer.Ending
	}{
		{
			name:    "REFUSED_STREAM",
			request: getRequest(),
			serve: func(r *rawConn, id uint32) {
				r.framer.WriteRSTStream(id, http2.ErrCodeRefusedStream)
				r.readAll()
			},
			want: balancer.Overloaded,
		},
		{
			name:    "RST_STREAM",
			request: getRequest(),
			serve: func(r *rawConn, id uint32) {
				r.framer.WriteRSTStream(id, http2.ErrCodeInternal)
				r.readAll()
			},
			want: balancer.Broken,
		},
		{
			name:    "RST_STREAM between HEADERS and DATA",
			request: getRequest(),
			serve: func(r *rawConn, id uint32) {
				r.respond(id, false, ":status", "200", "content-length", "5")
				r.framer.WriteRSTStream(id, http2.ErrCodeInternal)
				r.readAll()
			},
			want: balancer.Broken,
		},
		{
			name:    "connection ends",
			request: getRequest(),
			serve:   func(*rawConn, uint32) {},
			want:    balancer.Broken,
		},
		{
			name:    "connection ends before the request body is complete",
			request: postRequest(100_000),
			serve:   func(*rawConn, uint32) {},
			want:    balancer.Unreachable,
		},
		{
			name:    "above the last stream of GOAWAY",
			request: getRequest(),
			serve: func(r *rawConn, _ uint32) {
				r.framer.WriteGoAway(0, http2.ErrCodeNo, nil)
				r.readAll()
			},
			want: balancer.NeverSent,
		},
		{
			name:    "body shorter than its length",
			request: getRequest(),
			serve: func(r *rawConn, id uint32) {
				r.respond(id, false, ":status", "200", "content-length", "5")
				r.framer.WriteData(id, true, []byte("x"))
				r.readAll()
			},
			want: balancer.Broken,
		},
		{
			name:    "two :status fields",
			request: getRequest(),
			serve: func(r *rawConn, id uint32) {
				r.respond(id, true, ":status", "200", ":status", "200")
				r.readAll()
			},
			want: balancer.Broken,
		},
		{
			name:    "field name in upper case",
			request: getRequest(),
			serve: func(r *rawConn, id uint32) {
				r.respond(id, true, ":status", "200", "X-Big", "1")
				r.readAll()
			},
			want: balancer.Broken,
		},
		{
			name:    "field sections over the limit",
			request: getRequest(),
			serve: func(r *rawConn, id uint32) {
				for range 20 {
					r.respond(id, true, ":status", "200", "a", strings.Repeat("x", 15_000), "b", strings.Repeat("y", 15_000))
				}
				r.readAll()
			},
			want: balancer.Broken,
		},
		{
			name:    "frame over SETTINGS_MAX_FRAME_SIZE",
			request: getRequest(),
			serve: func(r *rawConn, id uint32) {
				r.framer.AllowIllegalWrites = true
				r.respond(id, false, ":status", "200")
				r.framer.WriteData(id, true, make([]byte, 100_000))
				r.readAll()
			},
			want: balancer.Broken,
		},
		{
			name:    "HTTP/1.1",
			request: getRequest(),
			serve: func(r *rawConn, _ uint32) {
				io.WriteString(r.netConn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				r.readAll()
			},
			want: balancer.Broken,
		},
		{
			name:    "endless CONTINUATION",
			request: getRequest(),
			serve:   writeEndlessContinuation,
			want:    balancer.Broken,
		},
		{
			name:    "no response",
			request: getRequest(),
			serve:   func(r *rawConn, _ uint32) { r.readAll() },
			want:    balancer.TimedOut,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newTestSender(t, 10)
			ep := startRawServer(t, nil, func(_ int, r *rawConn) {
				if id := r.nextStream(); id != 0 {
					c.serve(r, id)
				}
			})
			timeout := limit
			if c.want == balancer.TimedOut {
				timeout = 100 * time.Millisecond
			}
			if ending, _ := attempt(s, ep, c.request, timeout); ending != c.want {
				t.Errorf("ending %v, want %v", ending, c.want)
			}
		})
	}
}

// writeEndlessContinuation writes a field block that never ends (CVE-2023-45288), for as long as it is read.
func writeEndlessContinuation(r *rawConn, id uint32) {
	r.framer.AllowIllegalWrites = true
	r.framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: []byte{0x88}})
	for range 2000 {
		if r.framer.WriteContinuation(id, false, make([]byte, 1000)) != nil {
			return
		}
	}
	r.readAll()
}

func TestEndingsWithoutConnection(t *testing.T) {
	t.Run("connection refused", func(t *testing.T) {
		s := newTestSender(t, 10)
		ending, _ := attempt(s, engine.NewEndpoint("none", "127.0.0.1:1"), getRequest(), limit)
		if ending != balancer.Unreachable {
			t.Errorf("ending %v, want %v", ending, balancer.Unreachable)
		}
	})
	t.Run("limit of connections", func(t *testing.T) {
		s := newTestSender(t, 0)
		ep := startServer(t, func(http.ResponseWriter, *http.Request) {})
		if ending, _ := attempt(s, ep, getRequest(), limit); ending != balancer.Unreachable {
			t.Errorf("ending %v, want %v", ending, balancer.Unreachable)
		}
	})
}

// GOAWAY with 50 open streams, half of them above its last stream: these never ran, the others are answered, and the next
// attempt uses another connection.
func TestGoAwayUnderLoad(t *testing.T) {
	s := newTestSender(t, 10)
	var secondConn atomic.Int64 // requests on it
	ep := startRawServer(t, nil, func(number int, r *rawConn) {
		if number > 0 {
			for id := r.nextStream(); id != 0; id = r.nextStream() {
				secondConn.Add(1)
				r.respond(id, true, ":status", "200")
			}
			return
		}
		ids := r.nextStreams(50)
		r.framer.WriteGoAway(ids[24], http2.ErrCodeNo, nil)
		for _, id := range ids[:25] {
			r.respond(id, true, ":status", "200")
		}
		r.readAll()
	})
	var attempts sync.WaitGroup
	var succeeded, neverSent atomic.Int64
	for range 50 {
		attempts.Go(func() {
			switch ending, _ := attempt(s, ep, getRequest(), limit); ending {
			case balancer.Success:
				succeeded.Add(1)
			case balancer.NeverSent:
				neverSent.Add(1)
			default:
				t.Errorf("ending %v", ending)
			}
		})
	}
	attempts.Wait()
	if succeeded.Load() != 25 || neverSent.Load() != 25 || secondConn.Load() != 0 {
		t.Errorf(
			"%d succeeded, %d never ran, %d were sent again by the sender itself",
			succeeded.Load(),
			neverSent.Load(),
			secondConn.Load(),
		)
	}
	if ending, _ := attempt(s, ep, getRequest(), limit); ending != balancer.Success || secondConn.Load() != 1 {
		t.Errorf("the next attempt: ending %v, %d requests on the second connection", ending, secondConn.Load())
	}
}

// SETTINGS_MAX_CONCURRENT_STREAMS is observed: further attempts use another connection.
func TestStreamLimit(t *testing.T) {
	s := newTestSender(t, 10)
	var conns atomic.Int64
	proceed := make(chan struct{})
	settings := []http2.Setting{{ID: http2.SettingMaxConcurrentStreams, Val: 2}}
	ep := startRawServer(t, settings, func(_ int, r *rawConn) {
		conns.Add(1)
		ids := r.nextStreams(2)
		<-proceed
		for _, id := range ids {
			if id != 0 {
				r.respond(id, true, ":status", "200")
			}
		}
		r.readAll()
	})
	// The limit is known only once the first connection is established.
	var attempts sync.WaitGroup
	attempts.Go(func() { attempt(s, ep, getRequest(), limit) })
	testkit.Eventually(t, "the server's limit is not observed", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns[ep]) == 1 && s.conns[ep][0].maxStreams.Load() == 2
	})
	for range 3 {
		attempts.Go(func() {
			if ending, _ := attempt(s, ep, getRequest(), limit); ending != balancer.Success {
				t.Errorf("ending %v", ending)
			}
		})
	}
	testkit.Eventually(t, "there is no second connection", func() bool { return conns.Load() == 2 })
	close(proceed)
	attempts.Wait()
}
