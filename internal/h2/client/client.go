// Package client is the client's side of one HTTP/2 connection (RFC 9113) as a state machine: what is asked and what
// frames came go in, frames to write and endings of streams come out. It does no I/O, reads no clock and starts no
// goroutine; framing and header compression are the shell's (package sender/h2), which uses the x/net framer.
//
// What it is for is to say of each stream whether its request can have run. It never has if its last byte was not
// written, if the server refused the stream (REFUSED_STREAM), or if the stream is above the last one that a GOAWAY
// names; in every other case it may have. Nothing is ever sent again by itself.
//
// Bodies of answers are bounded by each stream's window, which is never opened again: a server that has more to say
// than Config.MaxBody can't say it.
package client

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"
)

// Config bounds a connection. Zeros take the defaults.
type Config struct {
	MaxStreams int           // that we have open at a time, whatever the server allows: 100
	MaxBody    int           // bytes of an answer: 64 KiB
	MaxHeader  int           // bytes of its fields, as RFC 9113 counts them: 16 KiB
	Quiet      time.Duration // after so long without a frame a request that must not run twice waits for a PING: 1 s
}

// Field is a header field.
type Field struct{ Name, Value string }

// Ending says how a stream ended.
type Ending int

// Endings. NotWritten, Refused and Above prove that the request never ran.
const (
	Answered       Ending = iota // a whole answer came
	NotWritten                   // the connection ended before the request's last byte was written
	Refused                      // by REFUSED_STREAM
	AboveGoAway                  // the last stream that a GOAWAY names
	Reset                        // by the server, or for an answer that makes no sense, after it was written
	ConnectionLost               // the connection ended after it was written
	Cancelled                    // by Cancel, after it was written
)

// String names an ending.
func (e Ending) String() string {
	return [...]string{"answered", "not written", "refused", "above", "reset", "lost", "given up"}[e]
}

// Answer is what came on a stream.
type Answer struct {
	Status   int
	Header   []Field // without pseudo-fields
	Trailer  []Field
	Body     []byte
	NoLength bool // no content-length told how long the body is
}

// Error codes of RFC 9113, section 7, as far as they are used here.
const (
	codeNoError         = 0x0
	codeProtocol        = 0x1
	codeFlowControl     = 0x3
	codeRefusedStream   = 0x7
	codeCancel          = 0x8
	codeEnhanceYourCalm = 0xb
)

// Events are frames from the server, as a framer reads them.
type (
	// Settings are the server's; a nil field was not told.
	Settings struct {
		Ack                                           bool
		MaxStreams, InitialWindow, MaxFrame, MaxTable *uint32
	}
	// Headers are a whole block of fields, pseudo-fields included.
	Headers struct {
		Stream uint32
		Fields []Field
		End    bool
	}
	// Data is a part of a body; Padded is how many bytes of it count in windows beside Bytes.
	Data struct {
		Stream uint32
		Bytes  []byte
		Padded int
		End    bool
	}
	// ResetFrame is RST_STREAM.
	ResetFrame struct{ Stream, Code uint32 }
	// GoAway is GOAWAY.
	GoAway struct{ Last, Code uint32 }
	// WindowUpdate is WINDOW_UPDATE; Stream 0: of the connection.
	WindowUpdate struct{ Stream, Add uint32 }
	// Ping is PING.
	Ping struct {
		Ack  bool
		Data [8]byte
	}
	// Malformed is a frame of a stream that makes no sense, by the framer's word.
	Malformed struct{ Stream, Code uint32 }
	// Other is any other frame: PUSH_PROMISE is an error, the rest is ignored.
	Other struct{ Push bool }
)

// Event is one of the types above.
type Event any

// Actions are carried out in order. The first write that fails ends the connection: the shell calls Close with it.
type (
	// WriteSettings, and the rest of the first frames.
	WriteSettings struct{ InitialWindow, MaxHeader uint32 }
	// WriteSettingsAck acknowledges settings.
	WriteSettingsAck struct{}
	// WriteHeaders begins a stream.
	WriteHeaders struct {
		Stream uint32
		Fields []Field
		End    bool
	}
	// WriteData carries a part of a body.
	WriteData struct {
		Stream uint32
		Bytes  []byte
		End    bool
	}
	// WriteReset is RST_STREAM.
	WriteReset struct{ Stream, Code uint32 }
	// WriteWindowUpdate is WINDOW_UPDATE.
	WriteWindowUpdate struct{ Stream, Add uint32 }
	// WritePing is PING.
	WritePing struct {
		Ack  bool
		Data [8]byte
	}
	// Began says that the first bytes of a streamed answer's body are there; Answer is its status and header.
	Began struct {
		Stream uint32
		Answer Answer
	}
	// BodyChunk is a part of a streamed answer's body. Consumed gives its bytes back to the server.
	BodyChunk struct {
		Stream uint32
		Bytes  []byte
	}
	// Sent says that all that there was of an open request is written: Append may bring more.
	Sent struct{ Stream uint32 }
	// Done ends a stream, once.
	Done struct {
		Stream uint32
		Ending Ending
		Answer Answer // with Answered
	}
	// Fail ends the connection for what the server did: GOAWAY with the code is to be written, and Close to follow.
	Fail struct {
		Code uint32
		Text string
	}
)

// Action is one of the types above.
type Action any

const (
	defaultStreams           = 100
	defaultBody              = 64 << 10
	defaultHeader            = 16 << 10
	defaultQuiet             = time.Second
	defaultWindow            = 65535 // of a connection, and of streams until SETTINGS say otherwise
	defaultFrame             = 16384
	maxWindow                = math.MaxInt32
	connectionWindow         = 1 << 20 // that we open at the start
	maxStreamID              = 1<<31 - 1
	maxFramesWithoutProgress = 1000 // frames in a row that bring no stream on
	maxEmptyFrames           = 100  // empty DATA frames of a stream
	maxInterimAnswers        = 10   // interim answers of a stream
	connectionWindowStep     = connectionWindow / 4
)

// Conn is a connection. It is not safe for concurrent use.
type Conn struct {
	cfg         Config
	now         time.Duration
	lastFrameAt time.Duration // when the last frame came
	nextID      uint32
	streams     map[uint32]*stream
	sendOrder   []uint32 // of streams with bodies to send

	sendWindow            int64 // that we may send on the connection
	initialSendWindow     int64 // of new streams
	maxFrameSize          int   // longest that we may send
	peerMaxStreams        int   // streams that the server allows
	unreturnedBytes       int64 // bytes of DATA to give back to the connection's window
	framesWithoutProgress int   // frames in a row that brought no stream on
	goingAway             bool
	closed                bool
	lastPing              uint64
	awaitingPing          map[uint64][]uint32 // streams that wait for a PING's answer
	settingsReceived      bool                // SETTINGS came
	actions               []Action
}

// stream is one request.
type stream struct {
	id              uint32
	fields          []Field
	body            []byte // that is not sent yet
	headersWritten  bool   // HEADERS are written
	endWritten      bool   // the last byte is
	sendWindow      int64  // that we may send
	receiveWindow   int    // bytes that the server may send
	finalHeaders    bool   // the final headers came
	contentLength   int    // by content-length; -1: not told
	emptyFrames     int
	interimAnswers  int
	answer          Answer
	method          string
	moreToCome      bool // there will be more of the body
	openedWithParts bool // it was open: what came of it may have run before its end
	streamed        bool // the answer's body is told as it comes, and has no bound
	received        int  // bytes of the body
	unreturned      int  // bytes taken that the server has not been told of
}

// mayHaveRun says that a server may have begun with it: it was written whole, or it goes on while it is being run.
func (s *stream) mayHaveRun() bool { return s.endWritten || s.openedWithParts && s.headersWritten }

// New returns a connection and its first frames, which follow the client's preface.
func New(now time.Duration, cfg Config) (*Conn, []Action) {
	set := func(x *int, to int) {
		if *x == 0 {
			*x = to
		}
	}
	set(&cfg.MaxStreams, defaultStreams)
	set(&cfg.MaxBody, defaultBody)
	set(&cfg.MaxHeader, defaultHeader)
	if cfg.Quiet == 0 {
		cfg.Quiet = defaultQuiet
	}
	c := &Conn{cfg: cfg, now: now, lastFrameAt: now, nextID: 1, streams: map[uint32]*stream{}, sendWindow: defaultWindow, initialSendWindow: defaultWindow,
		maxFrameSize: defaultFrame, peerMaxStreams: cfg.MaxStreams, awaitingPing: map[uint64][]uint32{}}
	return c, []Action{WriteSettings{InitialWindow: uint32(cfg.MaxBody), MaxHeader: uint32(cfg.MaxHeader)},
		WriteWindowUpdate{0, connectionWindow - defaultWindow}}
}

// StreamsAvailable is how many streams may be opened now.
func (c *Conn) StreamsAvailable() int {
	if c.closed || c.goingAway || c.nextID > maxStreamID {
		return 0
	}
	return max(0, min(c.cfg.MaxStreams, c.peerMaxStreams)-len(c.streams))
}

// Open is how many streams are open.
func (c *Conn) Open() int { return len(c.streams) }

// Closing says that the connection takes no stream any more: it is closed, goes away, or has used up its numbers.
func (c *Conn) Closing() bool { return c.closed || c.goingAway || c.nextID > maxStreamID }

// Request opens a stream; its caller has seen to it that there is Room. A careful one must not run twice: on a connection that
// has been quiet it waits until a PING is answered, so that a connection that is gone has had nothing of it.
func (c *Conn) Request(now time.Duration, fields []Field, body []byte, careful bool) (uint32, []Action) {
	return c.request(now, &stream{fields: fields, body: body}, careful)
}

// RequestStreamed is Request for an answer that is told in pieces as it comes: Began, Pieces and then Done, whose
// Answer has no body. The server may send MaxBody bytes more than Consumed was told of.
// Of an open one the body goes on with Append, after each Sent.
func (c *Conn) RequestStreamed(now time.Duration, fields []Field, body []byte, careful, open bool) (uint32, []Action) {
	return c.request(now, &stream{fields: fields, body: body, streamed: true, moreToCome: open, openedWithParts: open}, careful)
}

// Append adds to the body of an open request that was Sent; the last part ends it.
func (c *Conn) Append(now time.Duration, id uint32, part []byte, last bool) []Action {
	c.now = max(c.now, now)
	s := c.streams[id]
	if s == nil || !s.moreToCome || c.closed {
		return nil // it has ended
	}
	s.body, s.moreToCome = append(s.body, part...), !last
	if !s.headersWritten {
		return nil // it goes with the first part
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

func (c *Conn) request(now time.Duration, s *stream, careful bool) (uint32, []Action) {
	c.now = max(c.now, now)
	s.id, s.sendWindow, s.receiveWindow, s.contentLength = c.nextID, c.initialSendWindow, c.cfg.MaxBody, -1
	for _, f := range s.fields {
		if f.Name == ":method" {
			s.method = f.Value
		}
	}
	c.nextID += 2
	c.streams[s.id] = s
	if careful && c.now-c.lastFrameAt > c.cfg.Quiet {
		c.lastPing++
		c.awaitingPing[c.lastPing] = append(c.awaitingPing[c.lastPing], s.id)
		var data [8]byte
		for i := range data {
			data[i] = byte(c.lastPing >> (8 * i))
		}
		c.emit(WritePing{Data: data})
		return s.id, c.takeActions()
	}
	c.beginStreams(s)
	return s.id, c.takeActions()
}

// Consumed says that so many bytes of a streamed answer have been taken.
func (c *Conn) Consumed(now time.Duration, id uint32, n int) []Action {
	c.now = max(c.now, now)
	s := c.streams[id]
	if s == nil || c.closed {
		return nil // it has ended: its window is nobody's any more
	}
	c.returnWindow(s, n)
	return c.takeActions()
}

// returnWindow opens a stream's window again, in grains.
func (c *Conn) returnWindow(s *stream, n int) {
	if s.unreturned += n; s.unreturned >= c.cfg.MaxBody/4 {
		s.receiveWindow += s.unreturned
		c.emit(WriteWindowUpdate{s.id, uint32(s.unreturned)})
		s.unreturned = 0
	}
}

func (c *Conn) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Conn) takeActions() []Action {
	l := c.actions
	c.actions = nil
	return l
}

// beginStreams writes a stream's headers, and what may go of its body. Streams are begun in the order of their numbers, as
// they have to be: those that wait for a PING hold up the ones behind them.
func (c *Conn) beginStreams(s *stream) {
	for _, id := range c.sortedIDs() {
		if x := c.streams[id]; x.id < s.id && !x.headersWritten {
			return // it is begun with that one
		}
	}
	for _, id := range c.sortedIDs() {
		x := c.streams[id]
		if x.headersWritten || x.id < s.id {
			continue
		}
		if x.id > s.id && c.awaitsPing(x.id) {
			return
		}
		x.headersWritten = true
		x.endWritten = len(x.body) == 0 && !x.moreToCome
		c.emit(WriteHeaders{x.id, x.fields, x.endWritten})
		x.fields = nil
		if !x.endWritten {
			c.sendOrder = append(c.sendOrder, x.id)
			c.sendBodies()
		}
	}
}

// sortedIDs are the open streams' numbers in order.
func (c *Conn) sortedIDs() []uint32 {
	l := make([]uint32, 0, len(c.streams))
	for id := range c.streams {
		l = append(l, id)
	}
	slices.Sort(l)
	return l
}

func (c *Conn) awaitsPing(id uint32) bool {
	for _, l := range c.awaitingPing {
		if slices.Contains(l, id) {
			return true
		}
	}
	return false
}

// sendBodies writes what the windows allow of the bodies, in the order of their streams.
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

// Cancel gives a stream up. It ends as Done, unless it has ended before.
func (c *Conn) Cancel(now time.Duration, id uint32) []Action {
	c.now = max(c.now, now)
	s := c.streams[id]
	if s == nil {
		return nil
	}
	if s.headersWritten {
		c.emit(WriteReset{id, codeCancel})
	}
	e := Cancelled
	if !s.mayHaveRun() {
		e = NotWritten
	}
	c.endStream(s, e)
	return c.takeActions()
}

// endStream ends a stream.
func (c *Conn) endStream(s *stream, e Ending) {
	delete(c.streams, s.id)
	d := Done{Stream: s.id, Ending: e}
	if e == Answered {
		d.Answer = s.answer
	}
	c.emit(d)
	if !s.headersWritten { // those behind it may go on
		for _, id := range c.sortedIDs() {
			if x := c.streams[id]; !x.headersWritten {
				if !c.awaitsPing(id) {
					c.beginStreams(x)
				}
				break
			}
		}
	}
}

// resetStream ends a stream for an answer that makes no sense.
func (c *Conn) resetStream(s *stream, code uint32) {
	c.emit(WriteReset{s.id, code})
	e := Reset
	if !s.mayHaveRun() {
		e = NotWritten // it goes no further, so it is never whole
	}
	c.endStream(s, e)
}

// Close ends every stream that is left: the connection has ended. unwritten are streams whose last write did not
// succeed, though it was told to be made.
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

func (c *Conn) fail(code uint32, format string, args ...any) {
	c.closed = true
	c.emit(Fail{code, fmt.Sprintf(format, args...)})
}

// Handle takes a frame of the server.
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
	case ResetFrame:
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
	case Other:
		if e.Push {
			c.fail(codeProtocol, "PUSH_PROMISE, which was not allowed")
		}
	}
	if c.framesWithoutProgress > maxFramesWithoutProgress && !c.closed {
		c.fail(codeEnhanceYourCalm, "%d frames in a row that bring no stream on", c.framesWithoutProgress)
	}
	return c.takeActions()
}

func (c *Conn) settings(e Settings) {
	c.settingsReceived = true
	if e.Ack {
		return
	}
	if e.MaxStreams != nil {
		c.peerMaxStreams = int(min(*e.MaxStreams, math.MaxInt32))
	}
	if e.MaxFrame != nil {
		if *e.MaxFrame < defaultFrame || *e.MaxFrame > 1<<24-1 {
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

// idleStream says that a stream of that number has not been opened yet, or is none of ours: frames on it are the
// server's error.
func (c *Conn) idleStream(id uint32) bool { return id%2 == 0 || id >= c.nextID }

func (c *Conn) headers(e Headers) {
	s := c.streams[e.Stream]
	if s == nil {
		if c.idleStream(e.Stream) {
			c.fail(codeProtocol, "HEADERS on stream %d, which was not opened", e.Stream)
		}
		return // of a stream that was given up; its fields were decoded, as they must be
	}
	if !s.headersWritten {
		c.fail(codeProtocol, "HEADERS on stream %d, which was not begun", e.Stream)
		return
	}
	c.framesWithoutProgress = 0
	if s.finalHeaders {
		// Trailers.
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
		s.answer.Trailer = e.Fields
		c.completeAnswer(s)
		return
	}
	status, fields, ok := splitStatus(e.Fields)
	if !ok || status == 101 {
		c.resetStream(s, codeProtocol)
		return
	}
	if status < 200 {
		if s.interimAnswers++; e.End || s.interimAnswers > maxInterimAnswers {
			c.resetStream(s, codeProtocol)
		}
		return
	}
	s.finalHeaders, s.answer.Status, s.answer.Header = true, status, fields
	for _, f := range fields {
		if f.Name != "content-length" {
			continue
		}
		n, err := strconv.ParseUint(f.Value, 10, 31)
		if err != nil || s.contentLength >= 0 && s.contentLength != int(n) {
			c.resetStream(s, codeProtocol)
			return
		}
		s.contentLength = int(n)
	}
	s.answer.NoLength = s.contentLength < 0
	if s.contentLength > c.cfg.MaxBody && !s.streamed && s.method != "HEAD" {
		c.resetStream(s, codeCancel)
		return
	}
	if e.End {
		c.completeAnswer(s)
	}
}

// splitStatus takes the status off an answer's fields; false if they make no answer (RFC 9113, section 8).
func splitStatus(l []Field) (status int, fields []Field, ok bool) {
	for i, f := range l {
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
		for j := range len(f.Name) {
			if b := f.Name[j]; b <= ' ' || b >= 0x7f || 'A' <= b && b <= 'Z' {
				return 0, nil, false
			}
		}
		switch f.Name {
		case "connection", "keep-alive", "proxy-connection", "transfer-encoding", "upgrade":
			return 0, nil, false
		}
	}
	if status == 0 {
		return 0, nil, false
	}
	return status, l[1:], true
}

// completeAnswer ends a stream whose answer is there. One that ends before our request does is an answer all the same; what
// is left of the body is not sent.
func (c *Conn) completeAnswer(s *stream) {
	if s.contentLength >= 0 && s.contentLength != s.received && s.method != "HEAD" && s.answer.Status != 304 {
		c.resetStream(s, codeProtocol)
		return
	}
	if !s.endWritten {
		c.emit(WriteReset{s.id, codeNoError})
	}
	c.endStream(s, Answered)
}

func (c *Conn) data(e Data) {
	n := len(e.Bytes) + e.Padded
	// The connection's window counts whatever becomes of the stream, and is given back in grains.
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
		s.answer.Body = append(s.answer.Body, e.Bytes...)
	} else {
		if c.returnWindow(s, e.Padded); len(e.Bytes) > 0 {
			if s.received == len(e.Bytes) {
				c.emit(Began{s.id, s.answer})
			}
			c.emit(BodyChunk{s.id, e.Bytes})
		}
	}
	if e.End {
		c.completeAnswer(s)
	}
}

func (c *Conn) reset(e ResetFrame) {
	s := c.streams[e.Stream]
	if s == nil {
		if c.idleStream(e.Stream) {
			c.fail(codeProtocol, "RST_STREAM on stream %d, which was not opened", e.Stream)
		}
		return
	}
	c.framesWithoutProgress = 0
	switch {
	case e.Code == codeRefusedStream && !s.finalHeaders: // after an answer began it is no refusal, whatever it says
		c.endStream(s, Refused)
	case !s.mayHaveRun():
		c.endStream(s, NotWritten) // what is left of it will not go
	default:
		c.endStream(s, Reset)
	}
}

// goAway ends the streams above the last one. A server may send a first one that names all, and a second one later;
// it may not name more than before, but if it does nothing is lost by it.
func (c *Conn) goAway(e GoAway) {
	c.goingAway = true
	for _, id := range c.sortedIDs() {
		if s := c.streams[id]; s != nil && id > e.Last {
			c.endStream(s, AboveGoAway)
		}
	}
}

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

func (c *Conn) ping(e Ping) {
	if !e.Ack {
		c.emit(WritePing{Ack: true, Data: e.Data})
		return
	}
	n := uint64(0)
	for i, b := range e.Data {
		n |= uint64(b) << (8 * i)
	}
	l, asked := c.awaitingPing[n]
	if !asked {
		return
	}
	delete(c.awaitingPing, n)
	for _, id := range l {
		if s := c.streams[id]; s != nil {
			c.framesWithoutProgress = 0
			c.beginStreams(s)
		}
	}
}
