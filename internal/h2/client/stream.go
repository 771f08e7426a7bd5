package client

import (
	"slices"
	"time"
)

// notDeclared is the contentLength of a response without a content-length field.
const notDeclared = -1

// stream is one request and its response.
type stream struct {
	id               uint32
	fields           []Field
	body             []byte // the part that is not sent yet
	headersWritten   bool   // HEADERS was written
	endWritten       bool   // END_STREAM was written
	sendWindow       int64  // bytes that may be sent; may be negative (RFC 9113, section 6.9.2)
	receiveWindow    int    // bytes that the server may still send
	finalHeaders     bool   // the final response's HEADERS were received
	contentLength    int    // declared, or notDeclared
	emptyFrames      int
	interimResponses int
	response         Response
	method           string
	moreToCome       bool // Append will continue the request body
	openedWithParts  bool // moreToCome was set at the start: the server may process the request before its end
	streamed         bool // the response body is forwarded as it arrives, and its size is not limited
	received         int  // bytes of the response body
	unreturned       int  // bytes consumed since the last WINDOW_UPDATE
}

// mayHaveRun reports whether a server may have begun to process the request: it was written completely, or its body is sent in
// parts and its HEADERS were written, or the server has begun to respond to it.
func (s *stream) mayHaveRun() bool {
	return s.endWritten || s.openedWithParts && s.headersWritten || s.finalHeaders
}

// Cancel resets a stream with CANCEL, which ends it with Done. It has no effect on a stream that has ended.
func (c *Conn) Cancel(now time.Duration, id uint32) []Action {
	c.now = max(c.now, now)
	s := c.streams[id]
	if s == nil {
		return nil
	}
	if s.headersWritten {
		c.emit(WriteRSTStream{id, codeCancel})
	}
	ending := Cancelled
	if !s.mayHaveRun() {
		ending = NotWritten
	}
	c.endStream(s, ending)
	return c.takeActions()
}

// endStream ends a stream, and opens the streams that could not be opened before it.
func (c *Conn) endStream(s *stream, ending Ending) {
	delete(c.streams, s.id)
	done := Done{Stream: s.id, Ending: ending}
	if ending == Completed {
		done.Response = s.response
	}
	c.emit(done)
	if !s.headersWritten { // streams with higher ids no longer wait for this one
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

// resetStream ends a stream with a stream error (RFC 9113, section 5.4.2), such as for a malformed response.
func (c *Conn) resetStream(s *stream, code uint32) {
	c.emit(WriteRSTStream{s.id, code})
	ending := Reset
	if !s.mayHaveRun() {
		ending = NotWritten // the server never gets the complete request
	}
	c.endStream(s, ending)
}

// beginStreams writes the HEADERS of a stream and as much of its body as may be sent, and then does the same for the streams
// with higher ids that waited for it. Streams must be opened in the order of their ids (RFC 9113, section 5.1.1), so one that
// waits for the ACK of a PING delays all those with higher ids.
func (c *Conn) beginStreams(s *stream) {
	for _, id := range c.sortedIDs() {
		if other := c.streams[id]; other.id < s.id && !other.headersWritten {
			return // this stream is opened when the other one is
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

// awaitsPing reports whether a stream waits for the ACK of a PING.
func (c *Conn) awaitsPing(id uint32) bool {
	for _, waiting := range c.awaitingPing {
		if slices.Contains(waiting, id) {
			return true
		}
	}
	return false
}
