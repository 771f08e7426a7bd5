package client

import (
	"slices"
	"time"
)

// Consumed reports that n bytes of a streamed response body were consumed, so that the server may send as many more.
func (c *Conn) Consumed(now time.Duration, id uint32, n int) []Action {
	c.now = max(c.now, now)
	s := c.streams[id]
	if s == nil || c.closed {
		return nil // the stream has ended, and needs no WINDOW_UPDATE
	}
	c.returnWindow(s, n)
	return c.takeActions()
}

// returnWindow returns n bytes to a stream's receive window. It sends a WINDOW_UPDATE only for each quarter of the window, to
// save frames.
func (c *Conn) returnWindow(s *stream, n int) {
	if s.unreturned += n; s.unreturned >= c.cfg.MaxBodyBytes/4 {
		s.receiveWindow += s.unreturned
		c.emit(WriteWindowUpdate{s.id, uint32(s.unreturned)})
		s.unreturned = 0
	}
}

// sendBodies writes as much of the request bodies as the send windows of the connection and the streams allow (RFC 9113,
// section 6.9), in the order of sendOrder.
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

// windowUpdate enlarges a send window (RFC 9113, section 6.9). An increment of zero or a window over 2^31-1 is a connection
// error or a stream error (section 6.9.1).
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
