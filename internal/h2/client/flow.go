package client

import (
	"slices"
	"time"
)

// Consumed says that n bytes of a streamed response body have been read, so that the server may send as many again.
func (c *Conn) Consumed(now time.Duration, id uint32, n int) []Action {
	c.now = max(c.now, now)
	s := c.streams[id]
	if s == nil || c.closed {
		return nil // it has ended, and its window with it
	}
	c.returnWindow(s, n)
	return c.takeActions()
}

// returnWindow opens a stream's receive window again, in steps of a quarter, to save frames.
func (c *Conn) returnWindow(s *stream, n int) {
	if s.unreturned += n; s.unreturned >= c.cfg.MaxBodyBytes/4 {
		s.receiveWindow += s.unreturned
		c.emit(WriteWindowUpdate{s.id, uint32(s.unreturned)})
		s.unreturned = 0
	}
}

// sendBodies writes what the windows of connection and streams allow of the request bodies (RFC 9113, section 6.9), in
// the order of their streams.
func (c *Conn) sendBodies() {
	for i := 0; i < len(c.sendOrder); {
		s := c.streams[c.sendOrder[i]]
		if s == nil {
			c.sendOrder = slices.Delete(c.sendOrder, i, i+1)
			continue
		}
		for len(s.body) > 0 {
			n := min(int64(len(s.body)), int64(c.maxFrameSize), s.sendWindow, c.sendWindow)
			if n <= 0 {
				break
			}
			s.endWritten = n == int64(len(s.body)) && !s.moreToCome
			c.emit(WriteData{s.id, s.body[:n], s.endWritten})
			s.body = s.body[n:]
			s.sendWindow -= n
			c.sendWindow -= n
		}
		if len(s.body) == 0 {
			c.sendOrder = slices.Delete(c.sendOrder, i, i+1)
			if s.moreToCome {
				c.emit(Sent{s.id})
			}
			continue
		}
		if c.sendWindow <= 0 {
			return
		}
		i++
	}
}

// windowUpdate opens a send window (RFC 9113, section 6.9). An increment of zero and a window over 2^31-1 are errors, of
// the connection or of the stream (section 6.9.1).
func (c *Conn) windowUpdate(e WindowUpdate) {
	if e.Stream == 0 {
		if e.Add == 0 {
			c.fail(codeProtocol, "WINDOW_UPDATE of nothing")
			return
		}
		if c.sendWindow += int64(e.Add); c.sendWindow > maxWindow {
			c.fail(codeFlowControl, "WINDOW_UPDATE opens the connection too far")
			return
		}
		c.sendBodies()
		return
	}
	s := c.streams[e.Stream]
	if s == nil {
		if c.idleStream(e.Stream) {
			c.fail(codeProtocol, "WINDOW_UPDATE on stream %d, which was not opened", e.Stream)
		}
		return
	}
	if e.Add == 0 {
		c.resetStream(s, codeProtocol)
		return
	}
	if s.sendWindow += int64(e.Add); s.sendWindow > maxWindow {
		c.resetStream(s, codeFlowControl)
		return
	}
	c.sendBodies()
}
