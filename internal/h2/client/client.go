// Package client implements the client side of one HTTP/2 connection (RFC 9113) as a state machine: its inputs are requests
// and the server's frames, its outputs are frames to write and the endings of streams. It must never do I/O, read a clock or
// start a goroutine. Package sender/h2 does the I/O, with the framer of golang.org/x/net for framing and header compression.
//
// For each stream, it decides whether the server may have run the request. The request never ran if it was not written
// completely, if the server refused the stream (REFUSED_STREAM), or if the stream's id is above the last one in a GOAWAY
// (section 8.7). In all other cases it may have run. A request whose body is sent in parts (RequestStreamed with open) may
// run as soon as its HEADERS are written. This package never sends a request twice.
//
// The size of a response body that is not streamed is limited by the stream's receive window, which gets no WINDOW_UPDATE: the
// server can't send more than Config.MaxBodyBytes.
//
// Files: client.go has the connection, stream.go the streams, flow.go flow control, receive.go the handling of the server's
// frames, and frames.go the types of events and actions.
package client

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"time"
)

// Config contains the limits of a connection. A zero value means the default.
type Config struct {
	MaxStreams     int           // streams open at a time, even if the server allows more; default 100
	MaxBodyBytes   int           // bytes of a response body; default 64 KiB
	MaxHeaderBytes int           // bytes of a response header section, as section 6.5.2 counts them; default 16 KiB
	PingAfter      time.Duration // time without a frame from the server after which a request with pingFirst waits for a PING; default 1 s
}

// Field is a field of a header or trailer section.
type Field struct{ Name, Value string }

// Ending says how a stream ended.
type Ending int

// Endings. NotWritten, Refused and AboveGoAway prove that the request never ran (RFC 9113, section 8.7).
const (
	Completed      Ending = iota // the response is complete
	NotWritten                   // the request was not written completely
	Refused                      // RST_STREAM with REFUSED_STREAM
	AboveGoAway                  // the stream's id is above the last one in a GOAWAY
	Reset                        // by the server, or for a malformed response, after the request was written
	ConnectionLost               // the connection ended after the request was written
	Cancelled                    // by Cancel, after the request was written
)

// String returns the name of an ending.
func (e Ending) String() string {
	return [...]string{"completed", "not written", "refused", "above GOAWAY", "reset", "connection lost", "cancelled"}[e]
}

// Response is the response on a stream.
type Response struct {
	Status   int
	Header   []Field // without pseudo-header fields
	Trailer  []Field
	Body     []byte
	NoLength bool // the header has no content-length
}

const (
	defaultMaxStreams        = 100
	defaultMaxBodyBytes      = 64 << 10
	defaultMaxHeaderBytes    = 16 << 10
	defaultPingAfter         = time.Second
	defaultWindow            = 65535                // initial window of connection and streams, in bytes (RFC 9113, section 6.9.2)
	defaultMaxFrame          = 16384                // initial and smallest SETTINGS_MAX_FRAME_SIZE, in bytes (section 6.5.2)
	largestMaxFrame          = 1<<24 - 1            // largest SETTINGS_MAX_FRAME_SIZE, in bytes (section 6.5.2)
	maxWindow                = math.MaxInt32        // largest window, in bytes (section 6.9.1)
	connectionWindow         = 1 << 20              // receive window of the connection, in bytes
	maxStreamID              = 1<<31 - 1            // section 5.1.1
	maxFramesWithoutProgress = 1000                 // consecutive frames that advance no stream
	maxEmptyFrames           = 100                  // DATA frames without data, per stream
	maxInterimResponses      = 10                   // per stream
	connectionWindowStep     = connectionWindow / 4 // bytes received after which a WINDOW_UPDATE is sent
)

// Conn is the state of a connection. It is not safe for concurrent use: one goroutine owns it, or a lock guards it.
type Conn struct {
	cfg         Config
	now         time.Duration
	lastFrameAt time.Duration // when the last frame was received
	nextID      uint32
	streams     map[uint32]*stream
	sendOrder   []uint32 // ids of streams with a body to send

	sendWindow            int64 // bytes that may be sent on the connection
	initialSendWindow     int64 // of new streams, from the server's SETTINGS
	maxFrameSize          int   // largest payload that the server accepts
	peerMaxStreams        int   // from the server's SETTINGS
	unreturnedBytes       int64 // bytes received since the last WINDOW_UPDATE for the connection
	framesWithoutProgress int   // consecutive frames that advanced no stream
	goingAway             bool
	closed                bool
	lastPing              uint64
	awaitingPing          map[uint64][]uint32 // ids of the streams that wait for the ACK of a PING, by the PING's number
	settingsReceived      bool                // the server's first SETTINGS was received
	actions               []Action
}

// New returns a connection and its first frames, which follow the client's connection preface (section 3.4).
func New(now time.Duration, cfg Config) (*Conn, []Action) {
	cfg.MaxStreams = cmp.Or(cfg.MaxStreams, defaultMaxStreams)
	cfg.MaxBodyBytes = cmp.Or(cfg.MaxBodyBytes, defaultMaxBodyBytes)
	cfg.MaxHeaderBytes = cmp.Or(cfg.MaxHeaderBytes, defaultMaxHeaderBytes)
	cfg.PingAfter = cmp.Or(cfg.PingAfter, defaultPingAfter)
	c := &Conn{
		cfg:               cfg,
		now:               now,
		lastFrameAt:       now,
		nextID:            1,
		streams:           map[uint32]*stream{},
		sendWindow:        defaultWindow,
		initialSendWindow: defaultWindow,
		maxFrameSize:      defaultMaxFrame,
		peerMaxStreams:    cfg.MaxStreams,
		awaitingPing:      map[uint64][]uint32{},
	}
	return c, []Action{
		WriteSettings{InitialWindow: uint32(cfg.MaxBodyBytes), MaxHeader: uint32(cfg.MaxHeaderBytes)},
		WriteWindowUpdate{0, connectionWindow - defaultWindow},
	}
}

// StreamsAvailable returns the number of streams that may be opened now.
func (c *Conn) StreamsAvailable() int {
	if c.closed || c.goingAway || c.nextID > maxStreamID {
		return 0
	}
	return max(0, min(c.cfg.MaxStreams, c.peerMaxStreams)-len(c.streams))
}

// Open returns the number of open streams.
func (c *Conn) Open() int { return len(c.streams) }

// Closing reports whether no more streams can be opened: the connection is closed, GOAWAY was received, or the
// stream ids are used up.
func (c *Conn) Closing() bool { return c.closed || c.goingAway || c.nextID > maxStreamID }

// Request opens a stream; StreamsAvailable must be positive. With pingFirst, if no frame was received for Config.PingAfter,
// the stream waits for the ACK of a PING, so that no part of a request with side effects is written to a dead connection.
func (c *Conn) Request(now time.Duration, fields []Field, body []byte, pingFirst bool) (uint32, []Action) {
	return c.request(now, &stream{fields: fields, body: body}, pingFirst)
}

// RequestStreamed is Request for a response whose body is forwarded as it arrives: as Began, BodyChunks and then Done, whose
// Response has no body. The server may send Config.MaxBodyBytes bytes more than were reported to Consumed. If open is true,
// Append continues the request body after each Sent.
func (c *Conn) RequestStreamed(now time.Duration, fields []Field, body []byte, pingFirst, open bool) (uint32, []Action) {
	return c.request(now, &stream{
		fields:          fields,
		body:            body,
		streamed:        true,
		moreToCome:      open,
		openedWithParts: open,
	}, pingFirst)
}

// Append continues the body of a request that RequestStreamed opened, after Sent; the last part ends it.
func (c *Conn) Append(now time.Duration, id uint32, part []byte, last bool) []Action {
	c.now = max(c.now, now)
	s := c.streams[id]
	if s == nil || !s.moreToCome || c.closed {
		return nil // the stream or its request body has ended
	}
	s.body, s.moreToCome = append(s.body, part...), !last
	if !s.headersWritten {
		return nil // beginStreams sends the body after HEADERS
	}
	if last && len(s.body) == 0 {
		s.endWritten = true
		c.emit(WriteData{s.id, nil, true})
		return c.takeActions()
	}
	if !slices.Contains(c.sendOrder, id) {
		c.sendOrder = append(c.sendOrder, id)
	}
	c.sendBodies()
	return c.takeActions()
}

// request registers a stream, and opens it or makes it wait for the ACK of a PING.
func (c *Conn) request(now time.Duration, s *stream, pingFirst bool) (uint32, []Action) {
	c.now = max(c.now, now)
	s.id = c.nextID
	s.sendWindow = c.initialSendWindow
	s.receiveWindow = c.cfg.MaxBodyBytes
	s.contentLength = notDeclared
	for _, f := range s.fields {
		if f.Name == ":method" {
			s.method = f.Value
		}
	}
	c.nextID += 2
	c.streams[s.id] = s
	if pingFirst && c.now-c.lastFrameAt > c.cfg.PingAfter {
		c.lastPing++
		c.awaitingPing[c.lastPing] = append(c.awaitingPing[c.lastPing], s.id)
		var data [8]byte
		binary.LittleEndian.PutUint64(data[:], c.lastPing)
		c.emit(WritePing{Data: data})
		return s.id, c.takeActions()
	}
	c.beginStreams(s)
	return s.id, c.takeActions()
}

// emit appends an action to those that the current call returns.
func (c *Conn) emit(a Action) { c.actions = append(c.actions, a) }

// takeActions returns the actions since the last call.
func (c *Conn) takeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// Close ends all remaining streams, because the connection has ended. unwritten are the ids of streams for which a write
// action was returned but failed.
func (c *Conn) Close(unwritten ...uint32) []Action {
	c.closed = true
	for _, id := range c.sortedIDs() {
		s := c.streams[id]
		delete(c.streams, id)
		ending := ConnectionLost
		if !s.mayHaveRun() || slices.Contains(unwritten, id) && !s.openedWithParts && !s.finalHeaders {
			ending = NotWritten
		}
		c.emit(Done{Stream: id, Ending: ending})
	}
	return c.takeActions()
}

// fail ends the connection with a connection error (RFC 9113, section 5.4.1). GOAWAY carries the text to the server.
func (c *Conn) fail(code uint32, format string, args ...any) {
	c.closed = true
	c.emit(ConnectionError{code, fmt.Sprintf(format, args...)})
}

// Handle processes a frame from the server. It has no effect after a connection error or Close.
func (c *Conn) Handle(now time.Duration, e Event) []Action {
	if c.closed {
		return nil
	}
	c.now = max(c.now, now)
	c.lastFrameAt = c.now
	if _, ok := e.(Settings); !ok && !c.settingsReceived {
		c.fail(codeProtocol, "the first frame is no SETTINGS")
		return c.takeActions()
	}
	c.framesWithoutProgress++
	switch e := e.(type) {
	case Settings:
		c.settings(e)
	case Headers:
		c.headers(e)
	case Data:
		c.data(e)
	case RSTStream:
		c.reset(e)
	case GoAway:
		c.goAway(e)
	case WindowUpdate:
		c.windowUpdate(e)
	case Ping:
		c.ping(e)
	case Malformed:
		if s := c.streams[e.Stream]; s != nil {
			c.resetStream(s, e.Code)
		}
	case OtherFrame:
		if e.Push {
			c.fail(codeProtocol, "PUSH_PROMISE, which was not allowed")
		}
	}
	if c.framesWithoutProgress > maxFramesWithoutProgress && !c.closed {
		c.fail(codeEnhanceYourCalm, "%d frames in a row that bring no stream on", c.framesWithoutProgress)
	}
	return c.takeActions()
}
