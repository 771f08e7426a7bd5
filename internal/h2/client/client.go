// Package client is the client side of one HTTP/2 connection (RFC 9113) as a state machine: requests and the server's
// frames go in, frames to write and endings of streams come out. It must never do I/O, read a clock or start a goroutine.
// Framing and header compression are those of x/net's framer, in package sender/h2.
//
// Its purpose is to decide for each stream whether its request can have run. It can't if it was not written completely, if
// the server refused the stream (REFUSED_STREAM), or if its id is above the last one that a GOAWAY names (section 8.7); in
// all other cases it may have. Nothing is ever sent a second time.
//
// A response body that is not streamed is limited by the stream's window, which is never opened again: the server can't
// send more than Config.MaxBodyBytes.
//
// Files: client.go has the connection, stream.go the streams, flow.go flow control, receive.go the server's frames, and
// frames.go the types of events and actions.
package client

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"time"
)

// Config holds the limits of a connection. A zero stands for the default.
type Config struct {
	MaxStreams     int           // open at a time, even if the server allows more; default 100
	MaxBodyBytes   int           // bytes of a response body; default 64 KiB
	MaxHeaderBytes int           // bytes of its header, as section 6.5.2 counts them; default 16 KiB
	PingAfter      time.Duration // time without a frame after which a request that asks for it waits for a PING; default 1 s
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
	AboveGoAway                  // above the last stream that a GOAWAY names
	Reset                        // by the server, or for a malformed response, after it was written
	ConnectionLost               // the connection ended after it was written
	Cancelled                    // by Cancel, after it was written
)

// String names an ending.
func (e Ending) String() string {
	return [...]string{"completed", "not written", "refused", "above GOAWAY", "reset", "connection lost", "cancelled"}[e]
}

// Response is the response on a stream.
type Response struct {
	Status   int
	Header   []Field // without pseudo-header fields
	Trailer  []Field
	Body     []byte
	NoLength bool // there was no content-length
}

const (
	defaultStreams           = 100
	defaultBodyBytes         = 64 << 10
	defaultHeaderBytes       = 16 << 10
	defaultPingAfter         = time.Second
	defaultWindow            = 65535                // initial, of connection and streams (RFC 9113, section 6.9.2)
	defaultFrame             = 16384                // initial SETTINGS_MAX_FRAME_SIZE, which is also the least (section 6.5.2)
	largestMaxFrame          = 1<<24 - 1            // largest SETTINGS_MAX_FRAME_SIZE (section 6.5.2)
	maxWindow                = math.MaxInt32        // largest window (section 6.9.1)
	connectionWindow         = 1 << 20              // to which the connection is opened at the start
	maxStreamID              = 1<<31 - 1            // (section 5.1.1)
	maxFramesWithoutProgress = 1000                 // in a row: frames that advance no stream
	maxEmptyFrames           = 100                  // DATA frames of a stream without a byte
	maxInterimResponses      = 10                   // interim responses of a stream
	connectionWindowStep     = connectionWindow / 4 // bytes received after which the window is opened again
)

// Conn is the state of a connection. It is not safe for concurrent use: one goroutine owns it, or a lock guards it.
type Conn struct {
	cfg         Config
	now         time.Duration
	lastFrameAt time.Duration // when the last frame came
	nextID      uint32
	streams     map[uint32]*stream
	sendOrder   []uint32 // ids of streams with a body to send

	sendWindow            int64 // bytes that may be sent on the connection
	initialSendWindow     int64 // of new streams, by the server's SETTINGS
	maxFrameSize          int   // largest payload that the server accepts
	peerMaxStreams        int   // by the server's SETTINGS
	unreturnedBytes       int64 // bytes received that no WINDOW_UPDATE of the connection has returned yet
	framesWithoutProgress int   // in a row
	goingAway             bool
	closed                bool
	lastPing              uint64
	awaitingPing          map[uint64][]uint32 // streams that wait for the answer to a PING, by its number
	settingsReceived      bool                // the server's first SETTINGS came
	actions               []Action
}

// New returns a connection and its first frames, which follow the client's connection preface (section 3.4).
func New(now time.Duration, cfg Config) (*Conn, []Action) {
	cfg.MaxStreams = cmp.Or(cfg.MaxStreams, defaultStreams)
	cfg.MaxBodyBytes = cmp.Or(cfg.MaxBodyBytes, defaultBodyBytes)
	cfg.MaxHeaderBytes = cmp.Or(cfg.MaxHeaderBytes, defaultHeaderBytes)
	cfg.PingAfter = cmp.Or(cfg.PingAfter, defaultPingAfter)
	c := &Conn{
		cfg:               cfg,
		now:               now,
		lastFrameAt:       now,
		nextID:            1,
		streams:           map[uint32]*stream{},
		sendWindow:        defaultWindow,
		initialSendWindow: defaultWindow,
		maxFrameSize:      defaultFrame,
		peerMaxStreams:    cfg.MaxStreams,
		awaitingPing:      map[uint64][]uint32{},
	}
	return c, []Action{
		WriteSettings{InitialWindow: uint32(cfg.MaxBodyBytes), MaxHeader: uint32(cfg.MaxHeaderBytes)},
		WriteWindowUpdate{0, connectionWindow - defaultWindow},
	}
}

// StreamsAvailable returns how many streams may be opened now.
func (c *Conn) StreamsAvailable() int {
	if c.closed || c.goingAway || c.nextID > maxStreamID {
		return 0
	}
	return max(0, min(c.cfg.MaxStreams, c.peerMaxStreams)-len(c.streams))
}

// Open returns how many streams are open.
func (c *Conn) Open() int { return len(c.streams) }

// Closing reports whether no more streams can be opened: the connection is closed or going away, or its ids are used up.
func (c *Conn) Closing() bool { return c.closed || c.goingAway || c.nextID > maxStreamID }

// Request opens a stream, for which StreamsAvailable must be over 0. With pingFirst, on a connection without a frame for
// Config.PingAfter, it waits for the answer to a PING, so that nothing of a request with effects is written to a dead one.
func (c *Conn) Request(now time.Duration, fields []Field, body []byte, pingFirst bool) (uint32, []Action) {
	return c.request(now, &stream{fields: fields, body: body}, pingFirst)
}

// RequestStreamed is Request for a response that is passed on as it comes: Began, BodyChunks and then Done, whose Response
// has no body. The server may send Config.MaxBodyBytes bytes beyond what Consumed has returned. The body of an open request is
// continued by Append, after each Sent.
func (c *Conn) RequestStreamed(now time.Duration, fields []Field, body []byte, pingFirst, open bool) (uint32, []Action) {
	return c.request(now, &stream{
		fields:          fields,
		body:            body,
		streamed:        true,
		moreToCome:      open,
		openedWithParts: open,
	}, pingFirst)
}

// Append continues the body of an open request after Sent; the last part ends it.
func (c *Conn) Append(now time.Duration, id uint32, part []byte, last bool) []Action {
	c.now = max(c.now, now)
	s := c.streams[id]
	if s == nil || !s.moreToCome || c.closed {
		return nil // it has ended
	}
	s.body, s.moreToCome = append(s.body, part...), !last
	if !s.headersWritten {
		return nil // it is sent when the stream is opened
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

// request registers a stream, and opens it or has it wait for a PING.
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

// emit adds an action.
func (c *Conn) emit(a Action) { c.actions = append(c.actions, a) }

// takeActions returns the actions since the last call.
func (c *Conn) takeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// Close ends all remaining streams, because the connection has ended. unwritten are streams of which a write action was
// returned but failed.
func (c *Conn) Close(unwritten ...uint32) []Action {
	c.closed = true
	for _, id := range c.sortedIDs() {
		s := c.streams[id]
		delete(c.streams, id)
		e := ConnectionLost
		if !s.mayHaveRun() || slices.Contains(unwritten, id) && !s.openedWithParts {
			e = NotWritten
		}
		c.emit(Done{Stream: id, Ending: e})
	}
	return c.takeActions()
}

// fail ends the connection with a connection error (RFC 9113, section 5.4.1). The text goes to the server in GOAWAY.
func (c *Conn) fail(code uint32, format string, args ...any) {
	c.closed = true
	c.emit(ConnectionError{code, fmt.Sprintf(format, args...)})
}

// Handle takes a frame of the server. After a connection error it has no effect.
func (c *Conn) Handle(now time.Duration, e Event) []Action {
	if c.closed {
		return nil
	}
	c.now = max(c.now, now)
	c.lastFrameAt = c.now
	if _, is := e.(Settings); !is && !c.settingsReceived {
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
