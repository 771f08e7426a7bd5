package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cranegrade/balancer"
	"cranegrade/internal/message"
	"cranegrade/internal/testkit"
)

// Kept connections that break more often than fresh ones lose the trust of unsafe requests first, and get it back.
func TestTrust(t *testing.T) {
	for _, c := range []struct {
		name              string
		kept, fresh       int // every so manieth breaks; 0: none
		unsafe, otherwise bool
	}{
		{"none break", 0, 0, true, true},
		{"kept ones now and then", 50, 0, false, true},
		{"kept ones often", 8, 0, false, false},
		{"all alike", 8, 8, true, true},
		{"only fresh ones", 0, 8, true, true},
		{"one in a thousand", 1000, 0, true, true}, // the last was not seen
	} {
		var x reuseTrust
		if x.mayReuse(0, true) || !x.mayReuse(0, false) {
			t.Errorf("%s: at the start an unsafe request goes over a kept connection, or no other does", c.name)
		}
		for i := 1; i <= 900; i++ {
			x.record(0, true, c.kept > 0 && i%c.kept == 0)
			x.record(0, false, c.fresh > 0 && i%c.fresh == 0)
		}
		if u, o := x.mayReuse(0, true), x.mayReuse(0, false); u != c.unsafe || o != c.otherwise {
			t.Errorf("%s: unsafe %v, others %v", c.name, u, o)
		}
		again := 0
		for range 3 * lookAgain {
			if x.mayReuse(0, false) {
				again++
			}
		}
		if again < 3 {
			t.Errorf("%s: %d of %d look again", c.name, again, 3*lookAgain)
		}
		if x.mayReuse(10*trustTime, true) || !x.mayReuse(10*trustTime, false) {
			t.Errorf("%s: ten minutes later it is not as at the start", c.name)
		}
	}
}

// Whatever is seen, and however time runs, the shares stay shares.
func TestTrustProperty(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var x reuseTrust
		for range rapid.IntRange(0, 300).Draw(r, "n") {
			now := time.Duration(rapid.Int64Range(-1<<62, 1<<62).Draw(r, "now"))
			if rapid.Bool().Draw(r, "ask") {
				x.mayReuse(now, rapid.Bool().Draw(r, "unsafe"))
			} else {
				x.record(now, rapid.Bool().Draw(r, "kept"), rapid.Bool().Draw(r, "broke"))
			}
			for _, b := range []breaks{x.kept, x.fresh} {
				if !(b.rate() >= 0 && b.rate() <= 1) || b.n > trustMemory+1 {
					r.Fatalf("%+v", x)
				}
			}
		}
	})
}

// Where connections break, a request that must not run twice knocks first: what breaks before its head is whole
// never ran, and goes over another connection within the same attempt.
func TestKnock(t *testing.T) {
	t.Parallel()
	ran, n := make(chan string, 100), 0
	lock := make(chan bool, 1)
	lock <- true
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		if _, err := r.Peek(1); err != nil { // the first bytes of a request
			return
		}
		<-lock
		n++
		drop := n%2 == 1
		lock <- true
		if drop {
			c.(*net.TCPConn).SetLinger(0)
			return
		}
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			ran <- req.Method
			io.WriteString(c, ok)
		}
	})
	s, ep := newTestSender(100), newEndpoint(addr)
	s.minProbeWait = 200 * time.Millisecond // a slow machine gets more
	for range 100 {
		s.trust.record(time.Since(s.start), true, true)
		s.trust.record(time.Since(s.start), false, true)
	}
	for i := range 10 {
		res := send(t, s, ep, &message.Request{Method: "POST", URL: keyed().URL, Authority: "a", Body: []byte("x")})
		if res.ending != balancer.Success && res.ending != balancer.Unreachable {
			t.Fatalf("attempt %d: ending %d, though nothing can have run", i, res.ending)
		}
		if res.ending == balancer.Success {
			res.reply.Release()
			if got := testkit.Wait(t, ran); got != "POST" {
				t.Fatalf("ran %s", got)
			}
		}
	}
	if len(ran) > 0 {
		t.Errorf("%d requests ran more than once", len(ran))
	}
}

// A server that drops every third kept connection as its next request comes: once that was seen, what must not
// run twice does not end in such a reset, and connections do not pile up.
func TestStaleConnections(t *testing.T) {
	t.Parallel()
	n := 0
	stale := make(chan bool, 1)
	stale <- true
	addr := testkit.Listen(t, func(c net.Conn, r *bufio.Reader) {
		for first := true; ; first = false {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			io.Copy(io.Discard, req.Body)
			<-stale
			n++
			drop := !first && n%3 == 0
			stale <- true
			if drop {
				c.(*net.TCPConn).SetLinger(0)
				return
			}
			io.WriteString(c, ok)
		}
	})
	s, ep := newTestSender(100), newEndpoint(addr)
	order := &message.Request{Method: "POST", URL: keyed().URL, Authority: "a", Body: []byte("x")}
	broken := 0
	for i := range 200 {
		m := keyed()
		if i%2 == 1 {
			m = order
		}
		res := send(t, s, ep, m)
		if res.reply != nil {
			res.reply.Release()
		}
		if m == order && i >= 60 && res.ending != balancer.Success {
			broken++
		}
	}
	if broken > 0 {
		t.Errorf("%d of 70 unsafe requests broke", broken)
	}
	if open, idle := s.counts(); open > 2 {
		t.Errorf("%d connections are open, %d idle, for one request at a time", open, idle)
	}
}
