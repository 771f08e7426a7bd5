package http1

import (
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cranegrade/internal/engine"
	"cranegrade/internal/pool"
	"cranegrade/internal/testkit"
)

const limit = testkit.Limit

// failingListener fails twice before each connection.
type failingListener struct {
	net.Listener
	n atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	switch l.n.Add(1) % 3 {
	case 1:
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	case 2:
		return nil, &net.OpError{Op: "accept", Err: syscall.ENETDOWN}
	}
	return l.Listener.Accept()
}

// A failed accept must not end the node, whatever the reason.
func TestFailedAccept(t *testing.T) {
	t.Parallel()
	b := pool.NewBudget(10)
	share := b.NewShare()
	if err := b.Configure(10, map[*pool.Share]pool.Quota{share: {}}); err != nil {
		t.Fatal(err)
	}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := newConnections(&failingListener{Listener: inner}, share)
	srv := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(l) }()
	for range 2 {
		client := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
		if resp, err := client.Get("http://" + inner.Addr().String() + "/"); err != nil || resp.StatusCode != 200 {
			t.Errorf("answer %v, %v", resp, err)
		}
	}
	srv.Close()
	if err := <-served; err != http.ErrServerClosed {
		t.Errorf("Serve: %v", err)
	}
}

// Connections on which nothing comes make room first, then the one whose request rests longest; one whose request goes on
// coming stays, however long it takes.
func TestWhoMakesRoom(t *testing.T) {
	t.Parallel()
	const most = 4
	b := pool.NewBudget(most)
	share := b.NewShare()
	if err := b.Configure(most, map[*pool.Share]pool.Quota{share: {}}); err != nil {
		t.Fatal(err)
	}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	l := newConnections(inner, share)
	accept := func() *connection {
		nc, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { nc.Close() })
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return c.(*connection)
	}
	ago := func(d time.Duration) int64 { return time.Now().Add(-d).UnixNano() }
	slow, stuck, older, idle := accept(), accept(), accept(), accept()
	slow.requestBegan.Store(ago(time.Minute))
	slow.lastByteAt.Store(ago(stallTime / 4))
	stuck.requestBegan.Store(ago(2 * time.Second))
	stuck.lastByteAt.Store(ago(2 * time.Second))
	older.requestBegan.Store(ago(3 * time.Second))
	older.lastByteAt.Store(ago(time.Second))
	idle.quietSince = time.Now().Add(-2 * newConnectionGrace)
	for i, want := range []*connection{idle, stuck, older} {
		busy := accept()
		busy.beginRequest()
		if !want.closed || slow.closed {
			t.Errorf("for connection %d: not the one wanted was closed (the slow one: %v)", i, slow.closed)
		}
	}
	if l.mu.Lock(); l.closeLeastUseful() {
		t.Error("one whose request goes on coming was closed")
	}
	l.mu.Unlock()
}

// A head that does not come to its end is waited for no longer than was set; one that comes whole, in pieces or at once, is
// left alone. No server's own bound is in play here.
func TestHeadWithin(t *testing.T) {
	t.Parallel()
	b := pool.NewBudget(10)
	share := b.NewShare()
	if err := b.Configure(10, map[*pool.Share]pool.Quota{share: {}}); err != nil {
		t.Fatal(err)
	}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	l := newConnections(inner, share)
	l.scanHeads = true
	l.headTimeout.Store(int64(50 * time.Millisecond))
	caller := func(pieces ...string) (net.Conn, net.Conn) {
		far, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { far.Close() })
		near, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range pieces {
			far.Write([]byte(p))
			if n, err := near.Read(make([]byte, 4096)); err != nil || n != len(p) {
				t.Fatal(n, err)
			}
		}
		return far, near
	}
	_, whole := caller("GET / HTTP/1.1\r\n", "Host: x\r\n\r\n")
	_, half := caller("GET / HTTP/1.1\r\n")
	if n, err := half.Read(make([]byte, 4096)); err == nil { // returns with the limit, or the test never ends
		t.Error(n, "bytes read")
	}
	if open := l.open(); open != 1 {
		t.Error(open, "connections are open, the whole one should be")
	}
	whole.Close()
}

// A front whose times are its own gives callers all of what was set, also where that is more than the library's bounds, to
// connections that are new or have rested; what is set later holds for those that rest already.
func TestOwnTimes(t *testing.T) {
	t.Parallel()
	b := pool.NewBudget(10)
	share := b.NewShare()
	if err := b.Configure(10, map[*pool.Share]pool.Quota{share: {}}); err != nil {
		t.Fatal(err)
	}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer inner.Close()
	f := New(inner, engine.NewClock(), nil, share)
	f.OwnTimes()
	const idle, head = time.Minute, 10 * time.Second
	f.Idle(idle)
	f.HeadWithin(head)
	if f.server.IdleTimeout <= idle || f.server.ReadHeaderTimeout <= head {
		t.Error("the library gives", f.server.IdleTimeout, "and", f.server.ReadHeaderTimeout)
	}
	l := f.conns
	caller := func() (net.Conn, *connection) {
		far, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { far.Close() })
		near, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		return far, near.(*connection)
	}
	far, near := caller()
	l.mu.Lock()
	since := near.quietSince
	l.mu.Unlock()
	near.expire(since) // as a timer does that was set when less was given
	if l.open() != 1 {
		t.Fatal("one that has just come is closed")
	}
	far.Write([]byte("GET / HTTP/1.1\r\n"))
	if n, err := near.Read(make([]byte, 100)); n == 0 || err != nil {
		t.Fatal(n, err)
	}
	if near.headTimer == nil {
		t.Error("nothing bounds a head that may take longer than by the library")
	}
	near.Close()
	if near.idleTimer == nil || near.idleTimer.Stop() {
		t.Error("a timer keeps the closed connection in memory")
	}
	// One that never says anything goes once its time is over, and not before.
	const short = 50 * time.Millisecond
	f.Idle(short)
	began := time.Now()
	far, _ = caller()
	if _, err := far.Read(make([]byte, 1)); err == nil || time.Since(began) < short {
		t.Error("closed after", time.Since(began), err)
	}
}
