package http1

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"cranegrade/internal/conncheck"
)

// A connection is closed in two steps (RFC 9112, section 9.6). Closing a TCP socket in one step lets the kernel reset the
// connection if bytes of the caller are unread or arrive later, and a reset drops whatever of an answer is not sent yet. A
// caller that pipelines sends its next request before it can see that the answer closes the connection. So the front first
// ends its own side, and reads and discards until the caller has ended its side, too.

// hasAnswerOnItsWay reports whether bytes that the front has written are not acknowledged by the caller's side. Where the
// system does not tell, it returns false.
func (c *connection) hasAnswerOnItsWay() bool {
	unacknowledged, err := conncheck.Unacknowledged(c.Conn)
	return err == nil && unacknowledged > 0
}

// beginClose takes no more requests from the connection, and closes it, at once if no answer can be lost by that, or else
// in two steps. It returns net.ErrClosed if the connection was closed before. The caller holds the lock.
func (c *connection) beginClose() error {
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	if c.idleTimer != nil {
		c.idleTimer.Stop() // otherwise it would keep the closed connection in memory
	}
	if c.pipeline != nil {
		go c.pipeline.end()
	}
	quiet := c.quietEntry != nil
	c.removeQuiet()
	tcp, isTCP := c.Conn.(*net.TCPConn)
	if !isTCP || c.resets || c.owner.closesAtOnce || quiet && !c.hasAnswerOnItsWay() {
		return c.finishClose()
	}
	c.lingering.Store(true)
	c.lingerEntry = c.owner.lingering.PushBack(c)
	_ = tcp.CloseWrite() // fails only if the connection has ended
	go c.linger()
	return nil
}

// finishClose closes the socket and gives the connection's place back. The caller holds the lock.
func (c *connection) finishClose() error {
	if c.lingerEntry != nil {
		c.owner.lingering.Remove(c.lingerEntry)
		c.lingerEntry = nil
	}
	c.owner.count.Add(-1)
	c.share.Give(1)
	c.owner.signalFreed()
	return c.Conn.Close()
}

// linger discards what the caller still sends, until it has closed its side or has acknowledged nothing new for lingerTime,
// and then closes the socket.
func (c *connection) linger() {
	buffer := buffers.Get().(*[chunkSize]byte)
	defer buffers.Put(buffer)
	unacknowledged, _ := conncheck.Unacknowledged(c.Conn)
	for giveUpAt := time.Now().Add(lingerTime); time.Now().Before(giveUpAt); {
		_ = c.setLingerDeadline() // fails only if the connection has ended
		if _, err := c.Conn.Read(buffer[:]); err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
		left, err := conncheck.Unacknowledged(c.Conn)
		if err == nil && left < unacknowledged {
			unacknowledged = left
			giveUpAt = time.Now().Add(lingerTime)
		}
	}
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.lingerEntry != nil {
		_ = c.finishClose()
	}
}

// setLingerDeadline has linger look at the connection again soon, whatever its caller sends.
func (c *connection) setLingerDeadline() error {
	return c.Conn.SetReadDeadline(time.Now().Add(endCheckInterval))
}

// closeAcknowledged closes the connection that has lingered for longest with all that was written to it acknowledged. It
// returns false if there is none. The caller holds the lock.
func (l *connections) closeAcknowledged() bool {
	for e := l.lingering.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*connection); !c.hasAnswerOnItsWay() {
			_ = c.finishClose()
			return true
		}
	}
	return false
}

// closeLingering closes all lingering connections, and has others close at once from now on.
func (l *connections) closeLingering() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closesAtOnce = true
	for e := l.lingering.Front(); e != nil; e = l.lingering.Front() {
		_ = e.Value.(*connection).finishClose()
	}
}

// awaitLingering waits until no connection lingers, or ctx ends.
func (l *connections) awaitLingering(ctx context.Context) error {
	const pollInterval = 5 * time.Millisecond
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for l.countLingering() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// countLingering returns how many connections linger.
func (l *connections) countLingering() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lingering.Len()
}
