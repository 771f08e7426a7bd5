package http1

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/conncheck"
	"cranegrade/internal/engine"
	"cranegrade/internal/testkit"
)

// answerBytes is more than the caller of connectSlow takes before it reads, and less than the kernel keeps for it.
const answerBytes = 128 << 10

// connectSlow opens a connection whose accepted side has an answer on its way.
func connectSlow(t *testing.T, l *connections) (caller net.Conn, accepted *connection) {
	t.Helper()
	caller, accepted = connect(t, l)
	assert.NilError(t, caller.(*net.TCPConn).SetReadBuffer(4<<10))
	tcp := accepted.Conn.(*net.TCPConn)
	assert.NilError(t, tcp.SetWriteBuffer(4*answerBytes))
	assert.NilError(t, tcp.SetWriteDeadline(time.Now().Add(limit)))
	for unacknowledged := 0; unacknowledged < answerBytes; { // the caller's buffer has taken what it can
		_, err := io.WriteString(tcp, strings.Repeat("x", answerBytes))
		assert.NilError(t, err)
		time.Sleep(10 * time.Millisecond)
		unacknowledged, err = conncheck.Unacknowledged(tcp)
		assert.NilError(t, err)
	}
	return caller, accepted
}

// acceptRequest notes that a request of the connection is being served, as ServeHTTP does.
func acceptRequest(t *testing.T, c *connection) {
	t.Helper()
	assert.Assert(t, c.beginRequest())
}

// A closed connection counts as open until its caller has closed its side, too, and takes no more requests meanwhile.
func TestClosedConnectionLingersUntilCallerCloses(t *testing.T) {
	t.Parallel()
	l := newConnections(listen(t), newTestShare(t, 1))
	caller, accepted := connect(t, l)
	acceptRequest(t, accepted)
	assert.NilError(t, accepted.Close())
	assert.Assert(t, errors.Is(accepted.Close(), net.ErrClosed))
	assert.Equal(t, l.open(), 1)
	assert.Assert(t, !accepted.beginRequest())
	_, err := io.WriteString(caller, "GET / HTTP/1.1\r\n")
	assert.NilError(t, err)
	n, err := accepted.Read(make([]byte, 100))
	assert.Assert(t, n == 0 && errors.Is(err, net.ErrClosed), "%d bytes, %v", n, err)
	assert.NilError(t, caller.SetReadDeadline(time.Now().Add(limit)))
	_, err = caller.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	caller.Close()
	testkit.Eventually(t, "the connection lingers although its caller has gone", func() bool { return l.open() == 0 })
}

// A caller that keeps its side open, or sends without end, does not keep the connection.
func TestLingeringEnds(t *testing.T) {
	t.Parallel()
	l := newConnections(listen(t), newTestShare(t, 1))
	caller, accepted := connect(t, l)
	acceptRequest(t, accepted)
	began := time.Now()
	assert.NilError(t, accepted.Close())
	for l.open() > 0 {
		if time.Since(began) > limit {
			t.Fatal("the connection is still open")
		}
		_, _ = io.WriteString(caller, "more") // it fails once the connection is closed
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, time.Since(began) >= lingerTime, "closed after %v", time.Since(began))
}

// A read deadline that net/http sets on a connection which has just been closed does not keep it: before, one whose caller left its side open
// stayed open until then, or for good.
func TestReadDeadlineDoesNotKeepLingeringConnection(t *testing.T) {
	t.Parallel()
	for _, deadline := range []time.Time{{}, time.Now().Add(time.Hour)} {
		l := newConnections(listen(t), newTestShare(t, 1))
		_, accepted := connect(t, l)
		acceptRequest(t, accepted)
		assert.NilError(t, accepted.Close())
		time.Sleep(endCheckInterval / 2) // linger has set its deadline
		assert.NilError(t, accepted.SetReadDeadline(deadline))
		began := time.Now()
		for l.open() > 0 {
			if time.Since(began) > lingerTime+time.Second {
				t.Fatalf("the connection is still open with the deadline %v", deadline)
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// A caller that takes a long answer slowly gets all of it, also if that takes longer than the time for lingering.
func TestLingeringWaitsForSlowCaller(t *testing.T) {
	t.Parallel()
	l := newConnections(listen(t), newTestShare(t, 1))
	caller, accepted := connectSlow(t, l)
	acceptRequest(t, accepted)
	began := time.Now()
	assert.NilError(t, accepted.Close())
	_, err := io.WriteString(caller, "one more request")
	assert.NilError(t, err)
	assert.NilError(t, caller.SetReadDeadline(time.Now().Add(limit)))
	received, piece := 0, make([]byte, 16<<10)
	for err == nil {
		var n int
		n, err = caller.Read(piece)
		received += n
		if time.Since(began) < 2*lingerTime {
			time.Sleep(lingerTime / 4)
		}
	}
	assert.Equal(t, err, io.EOF, "after %d bytes", received)
	assert.Assert(t, received >= answerBytes && time.Since(began) > lingerTime, "%d bytes in %v", received, time.Since(began))
}

// At the limit, a connection whose answer is still on its way is not closed for another one. One that lingers without is.
func TestAnswerOnItsWayKeepsConnectionAtLimit(t *testing.T) {
	t.Parallel()
	l := newConnections(listen(t), newTestShare(t, 2))
	caller, answered := connectSlow(t, l)
	answered.quietSince = time.Now().Add(-2 * newConnectionGrace)
	_, done := connect(t, l)
	acceptRequest(t, done)
	assert.NilError(t, done.Close())
	began := time.Now()
	_, latest := connect(t, l)
	assert.Assert(t, time.Since(began) < lingerTime/2, "accepted after %v", time.Since(began))
	acceptRequest(t, latest)
	assert.Equal(t, l.open(), 2)
	l.mu.Lock()
	assert.Assert(t, !answered.closed && done.lingerEntry == nil)
	assert.Assert(t, !l.closeLeastUseful())
	l.mu.Unlock()
	go func() { _, _ = io.Copy(io.Discard, caller) }()
	testkit.Eventually(t, "a connection whose answer has arrived is kept at the limit", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.closeLeastUseful()
	})
}

// Shutdown waits for connections that linger, as long as its context allows. Close ends them.
func TestShutdownAwaitsLingering(t *testing.T) {
	t.Parallel()
	f := New(listen(t), engine.NewClock(), nil, newTestShare(t, 1))
	_, accepted := connect(t, f.conns)
	acceptRequest(t, accepted)
	assert.NilError(t, accepted.Close())
	ctx, cancel := context.WithTimeout(context.Background(), lingerTime/10)
	defer cancel()
	assert.Assert(t, errors.Is(f.Shutdown(ctx), context.DeadlineExceeded))
	assert.Equal(t, f.OpenConnections(), 1)
	_ = f.Close() // its listener is closed already
	assert.Equal(t, f.OpenConnections(), 0)
	assert.NilError(t, f.Shutdown(context.Background()))
}
