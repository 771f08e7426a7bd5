package client

import (
	"encoding/binary"
	"math"
	"strconv"
)

// settings applies SETTINGS (RFC 9113, section 6.5). A change of SETTINGS_INITIAL_WINDOW_SIZE changes the send
// windows of all open streams by the difference, possibly below zero (section 6.9.2).
func (c *Conn) settings(e Settings) {
	c.settingsReceived = true
	if e.Ack {
		return
	}
	if e.MaxStreams != nil {
		c.peerMaxStreams = int(min(*e.MaxStreams, math.MaxInt32))
	}
	if e.MaxFrame != nil {
		if *e.MaxFrame < defaultMaxFrame || *e.MaxFrame > largestMaxFrame {
			c.fail(codeProtocol, "SETTINGS_MAX_FRAME_SIZE of %d", *e.MaxFrame)
			return
		}
		c.maxFrameSize = int(*e.MaxFrame)
	}
	if e.InitialWindow != nil {
		if *e.InitialWindow > maxWindow {
			c.fail(codeFlowControl, "SETTINGS_INITIAL_WINDOW_SIZE of %d", *e.InitialWindow)
			return
		}
		diff := int64(*e.InitialWindow) - c.initialSendWindow
		c.initialSendWindow += diff
		for _, s := range c.streams {
			if s.sendWindow += diff; s.sendWindow > maxWindow {
				c.fail(codeFlowControl, "SETTINGS open a stream's window too far")
				return
			}
		}
	}
	c.emit(WriteSettingsAck{})
	c.sendBodies()
}

// idleStream reports whether a stream id is still unused, or is one that only a server may open. A frame on such a stream is a
// connection error (RFC 9113, section 5.1).
func (c *Conn) idleStream(id uint32) bool { return id%2 == 0 || id >= c.nextID }

// headers processes a field section: an interim response, a final response or trailers (RFC 9113, section 8.1).
func (c *Conn) headers(e Headers) {
	s := c.streams[e.Stream]
	if s == nil {
		if c.idleStream(e.Stream) {
			c.fail(codeProtocol, "HEADERS on stream %d, which was not opened", e.Stream)
		}
		return // the stream has ended; the framer still decoded its fields, to update the compression state (section 4.3)
	}
	if !s.headersWritten {
		c.fail(codeProtocol, "HEADERS on stream %d, which was not begun", e.Stream)
		return
	}
	c.framesWithoutProgress = 0
	if s.finalHeaders {
		c.trailers(s, e)
		return
	}
	status, fields, ok := splitStatus(e.Fields)
	if !ok || status == statusSwitchingProtocols {
		c.resetStream(s, codeProtocol)
		return
	}
	if status < statusOK {
		if s.interimResponses++; e.End || s.interimResponses > maxInterimResponses {
			c.resetStream(s, codeProtocol)
		}
		return
	}
	s.finalHeaders, s.response.Status, s.response.Header = true, status, fields
	if !s.readContentLength(fields) {
		c.resetStream(s, codeProtocol)
		return
	}
	s.response.NoLength = s.contentLength < 0
	if s.contentLength > c.cfg.MaxBodyBytes && !s.streamed && s.method != "HEAD" {
		c.resetStream(s, codeCancel)
		return
	}
	if e.End {
		c.completeResponse(s)
	}
}

// trailers processes the trailer section, which must end the stream and have no pseudo-header fields (RFC 9113, section 8.1).
func (c *Conn) trailers(s *stream, e Headers) {
	for _, f := range e.Fields {
		if f.Name == "" || f.Name[0] == ':' {
			c.resetStream(s, codeProtocol)
			return
		}
	}
	if !e.End {
		c.resetStream(s, codeProtocol)
		return
	}
	s.response.Trailer = e.Fields
	c.completeResponse(s)
}

// readContentLength stores the declared content length. It returns false if a content-length is invalid, or if there are two
// different ones.
func (s *stream) readContentLength(fields []Field) bool {
	for _, f := range fields {
		if f.Name != "content-length" {
			continue
		}
		n, err := strconv.ParseUint(f.Value, 10, 31)
		if err != nil || s.contentLength >= 0 && s.contentLength != int(n) {
			return false
		}
		s.contentLength = int(n)
	}
	return true
}

// splitStatus separates :status from the header fields. It returns false if the response is malformed (RFC 9113,
// sections 8.1.1, 8.2 and 8.3.2).
func splitStatus(section []Field) (status int, fields []Field, ok bool) {
	for i, f := range section {
		if f.Name == "" {
			return 0, nil, false
		}
		if f.Name[0] == ':' {
			if f.Name != ":status" || i != 0 || len(f.Value) != 3 {
				return 0, nil, false
			}
			n, err := strconv.Atoi(f.Value)
			if err != nil || n < 100 {
				return 0, nil, false
			}
			status = n
			continue
		}
		if !isValidName(f.Name) {
			return 0, nil, false
		}
	}
	if status == 0 {
		return 0, nil, false
	}
	return status, section[1:], true
}

// isValidName reports whether a field name is in lower case and printable (RFC 9113, section 8.2.1), and not that of a
// connection-specific field (section 8.2.2).
func isValidName(name string) bool {
	for i := range len(name) {
		if b := name[i]; b <= ' ' || b >= 0x7f || 'A' <= b && b <= 'Z' {
			return false
		}
	}
	switch name {
	case "connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade":
		return false
	}
	return true
}

// completeResponse ends a stream whose response is complete. If the request is not written completely by then, the rest of its
// body is not sent, and RST_STREAM with NO_ERROR tells the server so (RFC 9113, section 8.1).
func (c *Conn) completeResponse(s *stream) {
	if s.contentLength >= 0 && s.contentLength != s.received && s.method != "HEAD" && s.response.Status != statusNotModified {
		c.resetStream(s, codeProtocol)
		return
	}
	if !s.endWritten {
		c.emit(WriteRSTStream{s.id, codeNoError})
	}
	c.endStream(s, Completed)
}

// data processes a part of a response body (RFC 9113, section 6.1).
func (c *Conn) data(e Data) {
	n := len(e.Bytes) + e.Padded
	// DATA counts against the connection's window even if its stream has ended (section 6.9).
	if c.unreturnedBytes += int64(n); c.unreturnedBytes >= connectionWindowStep {
		c.emit(WriteWindowUpdate{0, uint32(c.unreturnedBytes)})
		c.unreturnedBytes = 0
	}
	s := c.streams[e.Stream]
	if s == nil {
		if c.idleStream(e.Stream) {
			c.fail(codeProtocol, "DATA on stream %d, which was not opened", e.Stream)
		}
		return
	}
	if !s.finalHeaders {
		c.resetStream(s, codeProtocol)
		return
	}
	if s.receiveWindow -= n; s.receiveWindow < 0 {
		c.resetStream(s, codeFlowControl)
		return
	}
	if len(e.Bytes) > 0 {
		c.framesWithoutProgress = 0
	} else if s.emptyFrames++; s.emptyFrames > maxEmptyFrames && !e.End {
		c.resetStream(s, codeEnhanceYourCalm)
		return
	}
	s.received += len(e.Bytes)
	if s.contentLength >= 0 && s.received > s.contentLength {
		c.resetStream(s, codeProtocol)
		return
	}
	if !s.streamed {
		s.response.Body = append(s.response.Body, e.Bytes...)
	} else {
		if c.returnWindow(s, e.Padded); len(e.Bytes) > 0 {
			if s.received == len(e.Bytes) {
				c.emit(Began{s.id, s.response})
			}
			c.emit(BodyChunk{s.id, e.Bytes})
		}
	}
	if e.End {
		c.completeResponse(s)
	}
}

// reset processes RST_STREAM. REFUSED_STREAM proves that the request was not processed (RFC 9113, section 8.7).
func (c *Conn) reset(e RSTStream) {
	s := c.streams[e.Stream]
	if s == nil {
		if c.idleStream(e.Stream) {
			c.fail(codeProtocol, "RST_STREAM on stream %d, which was not opened", e.Stream)
		}
		return
	}
	c.framesWithoutProgress = 0
	switch {
	case e.Code == codeRefusedStream && !s.finalHeaders: // after a final response's HEADERS, the request was processed, whatever the code
		c.endStream(s, Refused)
	case !s.mayHaveRun():
		c.endStream(s, NotWritten) // the rest of the request will not be sent
	default:
		c.endStream(s, Reset)
	}
}

// goAway processes GOAWAY: streams above its last id were not processed (RFC 9113, section 6.8). For a graceful shutdown, a
// server sends a first GOAWAY with the largest possible id, and a second one later. A later GOAWAY must not raise the last id;
// one that does is harmless, since the streams above the lower id have already ended.
func (c *Conn) goAway(e GoAway) {
	c.goingAway = true
	for _, id := range c.sortedIDs() {
		switch s := c.streams[id]; {
		case s == nil || id <= e.Last:
		case s.finalHeaders: // the request was processed, whatever GOAWAY says
			c.endStream(s, Reset)
		default:
			c.endStream(s, AboveGoAway)
		}
	}
}

// ping answers a PING (RFC 9113, section 6.7), or opens the streams that waited for the ACK of one sent here.
func (c *Conn) ping(e Ping) {
	if !e.Ack {
		c.emit(WritePing{Ack: true, Data: e.Data})
		return
	}
	number := binary.LittleEndian.Uint64(e.Data[:])
	waiting, ok := c.awaitingPing[number]
	if !ok {
		return
	}
	delete(c.awaitingPing, number)
	for _, id := range waiting {
		if s := c.streams[id]; s != nil {
			c.framesWithoutProgress = 0
			c.beginStreams(s)
		}
	}
}
