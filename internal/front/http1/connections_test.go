package http1

import (
	"errors"
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

// newTestShare returns the only share of a budget.
func newTestShare(t *testing.T, total int64) *pool.Share {
	t.Helper()
	budget := pool.NewBudget(total)
	share := budget.NewShare()
	if err := budget.Configure(total, map[*pool.Share]pool.Quota{share: {}}); err != nil {
		t.Fatal(err)
	}
	return share
}

// listen returns a listener that is closed at the end of the test.
func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return listener
}

// connect opens a connection, and returns the caller's side and the accepted one.
func connect(t *testing.T, l *connections) (caller net.Conn, accepted *connection) {
	t.Helper()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { caller.Close() })
	netConn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return caller, netConn.(*connection)
}

// failingListener fails twice before each connection.
type failingListener struct {
	net.Listener
	calls atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	switch l.calls.Add(1) % 3 {
	case 1:
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	case 2:
		return nil, &net.OpError{Op: "accept", Err: syscall.ENETDOWN}
	}
	return l.Listener.Accept()
}

// An error of accept must not end the node, whatever its cause.
func TestAcceptRetriesAfterErrors(t *testing.T) {
	t.Parallel()
	inner := listen(t)
	l := newConnections(&failingListener{Listener: inner}, newTestShare(t, 10))
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	for range 2 {
		client := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Get("http://" + inner.Addr().String() + "/")
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("response %v, %v", resp, err)
		}
	}
	server.Close()
	if err := <-served; !errors.Is(err, http.ErrServerClosed) {
		t.Errorf("Serve: %v", err)
	}
}

// At the limit, connections without a request are closed first, then the one whose request has stalled for longest. One whose
// request still makes progress stays, however long it takes.
func TestConnectionsClosedAtLimit(t *testing.T) {
	t.Parallel()
	l := newConnections(listen(t), newTestShare(t, 4))
	accept := func() *connection {
		_, c := connect(t, l)
		return c
	}
	ago := func(d time.Duration) int64 { return time.Now().Add(-d).UnixNano() }
	slow, stalledLongest, stalled, idle := accept(), accept(), accept(), accept()
	slow.requestBegan.Store(ago(time.Minute))
	slow.lastByteAt.Store(ago(stallTime / 4))
	stalledLongest.requestBegan.Store(ago(2 * time.Second))
	stalledLongest.lastByteAt.Store(ago(2 * time.Second))
	stalled.requestBegan.Store(ago(3 * time.Second))
	stalled.lastByteAt.Store(ago(time.Second))
	idle.quietSince = time.Now().Add(-2 * newConnectionGrace)
	for i, want := range []*connection{idle, stalledLongest, stalled} {
		active := accept()
		active.beginRequest()
		if !want.closed || slow.closed {
			t.Errorf("new connection %d: another connection than expected was closed (the slow one: %v)", i, slow.closed)
		}
	}
	if l.mu.Lock(); l.closeLeastUseful() {
		t.Error("a connection was closed whose request makes progress")
	}
	l.mu.Unlock()
}

// A header section that does not end is cut off after the time-out. One that is complete, in parts or at once, is not. The
// time-outs of net/http are not in force here.
func TestHeaderTimeout(t *testing.T) {
	t.Parallel()
	l := newConnections(listen(t), newTestShare(t, 10))
	l.scanHeads = true
	l.headTimeout.Store(int64(50 * time.Millisecond))
	receive := func(parts ...string) *connection {
		caller, accepted := connect(t, l)
		for _, part := range parts {
			caller.Write([]byte(part))
			if n, err := accepted.Read(make([]byte, 4096)); err != nil || n != len(part) {
				t.Fatalf("read %d bytes, %v", n, err)
			}
		}
		return accepted
	}
	complete := receive("GET / HTTP/1.1\r\n", "Host: x\r\n\r\n")
	incomplete := receive("GET / HTTP/1.1\r\n")
	if n, err := incomplete.Read(make([]byte, 4096)); err == nil { // without the time-out it would not return
		t.Errorf("read %d bytes", n)
	}
	if open := l.open(); open != 1 {
		t.Errorf("%d connections are open, want the complete one", open)
	}
	complete.Close()
}

// A front with time-outs of its own is not limited by those of net/http, for new connections and for idle ones. A longer
// time-out also applies to connections that are idle already.
func TestOwnTimeoutsOverrideLibrary(t *testing.T) {
	t.Parallel()
	f := New(listen(t), engine.NewClock(), nil, newTestShare(t, 10))
	f.OverrideLibraryTimeouts()
	const idleTimeout, headerTimeout = time.Minute, 10 * time.Second
	f.SetIdleTimeout(idleTimeout)
	f.SetHeaderTimeout(headerTimeout)
	if f.server.IdleTimeout <= idleTimeout || f.server.ReadHeaderTimeout <= headerTimeout {
		t.Errorf("time-outs of net/http: idle %v, header %v", f.server.IdleTimeout, f.server.ReadHeaderTimeout)
	}
	l := f.conns
	caller, accepted := connect(t, l)
	l.mu.Lock()
	since := accepted.quietSince
	l.mu.Unlock()
	accepted.expire(since) // as by a timer that was set with a shorter time-out
	if l.open() != 1 {
		t.Fatal("a new connection was closed")
	}
	caller.Write([]byte("GET / HTTP/1.1\r\n"))
	if n, err := accepted.Read(make([]byte, 100)); n == 0 || err != nil {
		t.Fatalf("read %d bytes, %v", n, err)
	}
	if accepted.headTimer == nil {
		t.Error("no timer runs for a header section with a time-out over that of net/http")
	}
	accepted.Close()
	if accepted.idleTimer == nil || accepted.idleTimer.Stop() {
		t.Error("a timer keeps the closed connection in memory")
	}
}

// A connection that never sends anything is closed after the idle time-out, and not before.
func TestSilentConnectionIsClosedAfterIdleTimeout(t *testing.T) {
	t.Parallel()
	f := New(listen(t), engine.NewClock(), nil, newTestShare(t, 10))
	f.OverrideLibraryTimeouts()
	const idleTimeout = 50 * time.Millisecond
	f.SetIdleTimeout(idleTimeout)
	began := time.Now()
	caller, _ := connect(t, f.conns)
	if _, err := caller.Read(make([]byte, 1)); err == nil || time.Since(began) < idleTimeout {
		t.Errorf("closed after %v: %v", time.Since(began), err)
	}
}
