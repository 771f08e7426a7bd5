package client

import (
	"slices"
	"time"
)

// notDeclared is the content length of a response without one.
const notDeclared = -1

// stream is one request and its response.
type stream struct {
	id               uint32
	fields           []Field
	body             []byte // not sent yet
	headersWritten   bool   // HEADERS was written
	endWritten       bool   // END_STREAM was written
	sendWindow       int64  // bytes that may be sent; may be below zero (RFC 9113, section 6.9.2)
	receiveWindow    int    // bytes that the server may still send
	finalHeaders     bool   // the final response's HEADERS came
	contentLength    int    // declared, or notDeclared
	emptyFrames      int
	interimResponses int
	response         Response
	method           string
	moreToCome       bool // Append will bring more of the body
	openedWithParts  bool // it began with moreToCome: the server may process it before its end
	streamed         bool // the response body is passed on as it comes, and has no limit
	received         int  // bytes of the response body
	unreturned       int  // bytes consumed that no WINDOW_UPDATE has returned yet
}

// mayHaveRun reports whether a server may have begun to process it: it was written completely, or the server processes it while
// it is being written.
func (s *stream) mayHaveRun() bool { return s.endWritten || s.openedWithParts && s.headersWritten }

// Cancel resets a stream with CANCEL. It ends with Done, unless it has ended before.
func (c *Conn) Cancel(now time.Duration, id uint32) []Action {
	c.now = max(c.now, now)
	s := c.streams[id]
	if s == nil {
		return nil
	}
	if s.headersWritten {
		c.emit(WriteRSTStream{id, codeCancel})
	}
	e := Cancelled
	if !s.mayHaveRun() {
		e = NotWritten
	}
	c.endStream(s, e)
	return c.takeActions()
}

// endStream ends a stream, and opens those that waited behind it.
func (c *Conn) endStream(s *stream, e Ending) {
	delete(c.streams, s.id)
	d := Done{Stream: s.id, Ending: e}
	if e == Completed {
		d.Response = s.response
	}
	c.emit(d)
	if !s.headersWritten { // those behind it need not wait any more
		for _, id := range c.sortedIDs() {
			if next := c.streams[id]; !next.headersWritten {
				if !c.awaitsPing(id) {
					c.beginStreams(next)
				}
				break
			}
		}
	}
}

// resetStream ends a stream for a malformed response: a stream error (RFC 9113, section 5.4.2).
func (c *Conn) resetStream(s *stream, code uint32) {
	c.emit(WriteRSTStream{s.id, code})
	e := Reset
	if !s.mayHaveRun() {
		e = NotWritten // the server never gets the complete request
	}
	c.endStream(s, e)
}

// beginStreams writes the HEADERS of a stream, and what may be sent of its body, and then those of the streams behind it.
// Streams must be opened in the order of their ids (RFC 9113, section 5.1.1), so one that waits for a PING holds up those
// behind it.
func (c *Conn) beginStreams(s *stream) {
	for _, id := range c.sortedIDs() {
		if other := c.streams[id]; other.id < s.id && !other.headersWritten {
			return // it is opened together with that one
		}
	}
	for _, id := range c.sortedIDs() {
		next := c.streams[id]
		if next.headersWritten || next.id < s.id {
			continue
		}
		if next.id > s.id && c.awaitsPing(next.id) {
			return
		}
		next.headersWritten = true
		next.endWritten = len(next.body) == 0 && !next.moreToCome
		c.emit(WriteHeaders{next.id, next.fields, next.endWritten})
		next.fields = nil
		if !next.endWritten {
			c.sendOrder = append(c.sendOrder, next.id)
			c.sendBodies()
		}
	}
}

// sortedIDs returns the ids of the open streams in ascending order.
func (c *Conn) sortedIDs() []uint32 {
	ids := make([]uint32, 0, len(c.streams))
	for id := range c.streams {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// awaitsPing reports whether a stream waits for the answer to a PING.
func (c *Conn) awaitsPing(id uint32) bool {
	for _, waiting := range c.awaitingPing {
		if slices.Contains(waiting, id) {
			return true
		}
	}
	return false
}
