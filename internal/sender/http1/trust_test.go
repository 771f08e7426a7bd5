package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cranegrade/balancer"
	"cranegrade/internal/message"
	"cranegrade/internal/testkit"
)

// Reused connections that break more often than new ones lose the trust of requests that must run at most once first,
// and regain it.
func TestReuseTrust(t *testing.T) {
	for _, c := range []struct {
		name                    string
		reusedBreak, freshBreak int // every so manieth exchange breaks; 0 means none
		atMostOnce, otherwise   bool
	}{
		{"none break", 0, 0, true, true},
		{"reused ones sometimes", 50, 0, false, true},
		{"reused ones often", 8, 0, false, false},
		{"all alike", 8, 8, true, true},
		{"only new ones", 0, 8, true, true},
		{"one in a thousand", 1000, 0, true, true}, // the last one was not recorded
	} {
		t.Run(c.name, func(t *testing.T) {
			var trust reuseTrust
			if trust.mayReuse(0, true) || !trust.mayReuse(0, false) {
				t.Error("at the start an at-most-once request uses a reused connection, or another request does not")
			}
			for i := 1; i <= 900; i++ {
				trust.record(0, true, c.reusedBreak > 0 && i%c.reusedBreak == 0)
				trust.record(0, false, c.freshBreak > 0 && i%c.freshBreak == 0)
			}
			if atMostOnce, otherwise := trust.mayReuse(0, true), trust.mayReuse(0, false); atMostOnce != c.atMostOnce || otherwise != c.otherwise {
				t.Errorf("atMostOnce %v, others %v", atMostOnce, otherwise)
			}
			again := 0
			for range 3 * lookAgain {
				if trust.mayReuse(0, false) {
					again++
				}
			}
			if again < 3 {
				t.Errorf("%d of %d requests measure again", again, 3*lookAgain)
			}
			if trust.mayReuse(10*trustTime, true) || !trust.mayReuse(10*trustTime, false) {
				t.Error("ten minutes later the trust is not that of the start")
			}
		})
	}
}

// Whatever is recorded and however the clock runs, rates stay between 0 and 1.
func TestReuseTrustProperty(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var trust reuseTrust
		for range rapid.IntRange(0, 300).Draw(r, "n") {
			now := time.Duration(rapid.Int64Range(-1<<62, 1<<62).Draw(r, "now"))
			if rapid.Bool().Draw(r, "ask") {
				trust.mayReuse(now, rapid.Bool().Draw(r, "atMostOnce"))
			} else {
				trust.record(now, rapid.Bool().Draw(r, "reused"), rapid.Bool().Draw(r, "broke"))
			}
			for _, b := range []breaks{trust.reused, trust.fresh} {
				if !(b.rate() >= 0 && b.rate() <= 1) || b.n > trustMemory+1 {
					r.Fatalf("%+v", trust)
				}
			}
		}
	})
}

// counter counts events of several connections.
type counter struct {
	mu sync.Mutex
	n  int
}

// next returns how many events there were, with this one.
func (c *counter) next() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	return c.n
}

// reset has a connection end with a TCP reset.
func reset(c net.Conn) { c.(*net.TCPConn).SetLinger(0) }

// Where connections break, a request that must not run twice is written in two parts. If the connection breaks before its
// head is complete it never ran, and is sent over another connection within the same attempt.
func TestProbeProvesThatRequestNeverRan(t *testing.T) {
	t.Parallel()
	ran := make(chan string, 100)
	var requests counter
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := r.Peek(1); err != nil { // the first bytes of a request
			return
		}
		if requests.next()%2 == 1 {
			reset(c)
			return
		}
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			ran <- req.Method
			io.WriteString(c, okResponse)
		}
	})
	s, ep := newTestSender(100), newEndpoint(addr)
	s.minProbeWait = 200 * time.Millisecond // enough for a slow machine
	for range 100 {
		s.trust.record(time.Since(s.start), true, true)
		s.trust.record(time.Since(s.start), false, true)
	}
	for i := range 10 {
		res := send(t, s, ep, keylessRequest())
		if res.ending != balancer.Success && res.ending != balancer.Unreachable {
			t.Fatalf("attempt %d: ending %v, though nothing can have run", i, res.ending)
		}
		if res.ending == balancer.Success {
			res.reply.Release()
			if method := testkit.Wait(t, ran); method != "POST" {
				t.Fatalf("ran %s", method)
			}
		}
	}
	if len(ran) > 0 {
		t.Errorf("%d requests ran more than once", len(ran))
	}
}

// keylessRequest is a request that must run at most once, since it has no idempotency key.
func keylessRequest() *message.Request {
	return &message.Request{Method: "POST", URL: keyedRequest().URL, Authority: "a", Body: []byte("x")}
}

// A server resets every third reused connection when its next request comes. Once that was observed, requests that must not
// run twice avoid it, and connections do not pile up.
func TestAtMostOnceRequestsAvoidStaleConnections(t *testing.T) {
	t.Parallel()
	var requests counter
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		for first := true; ; first = false {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			if n := requests.next(); !first && n%3 == 0 {
				reset(c)
				return
			}
			io.WriteString(c, okResponse)
		}
	})
	s, ep := newTestSender(100), newEndpoint(addr)
	atMostOnce := keylessRequest()
	broken := 0
	for i := range 200 {
		m := keyedRequest()
		if i%2 == 1 {
			m = atMostOnce
		}
		res := send(t, s, ep, m)
		if res.reply != nil {
			res.reply.Release()
		}
		if m == atMostOnce && i >= 60 && res.ending != balancer.Success {
			broken++
		}
	}
	if broken > 0 {
		t.Errorf("%d of 70 at-most-once requests broke", broken)
	}
	if open, idle := s.counts(); open > 2 {
		t.Errorf("%d connections are open, %d idle, for one request at a time", open, idle)
	}
}
