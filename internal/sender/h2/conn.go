package h2

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"cranegrade/balancer"
	"cranegrade/internal/grpc"
	"cranegrade/internal/h2/client"
	"cranegrade/internal/message"
)

const (
	maxHeaderBytes = 16 << 10
	maxFrame       = 16 << 10
	readBuffer     = 8 << 10
)

// writer writes frames; the connection's goroutine owns it.
type writer struct {
	nc  net.Conn
	buf *bufio.Writer
	fr  *http2.Framer
	enc *hpack.Encoder
	hdr bytes.Buffer
}

// run brings the connection up and owns it until it ends.
func (c *conn) run() {
	defer close(c.over)
	defer c.s.remove(c)
	if !c.s.cfg.Connections.Take(1) {
		c.end(errNoRoom)
		return
	}
	defer c.s.cfg.Connections.Give(1)
	nc, err := (&net.Dialer{Timeout: c.s.cfg.Connect}).Dial("tcp", c.ep.Addr)
	if err != nil {
		c.end(err)
		return
	}
	c.nc = nc
	defer nc.Close()
	w := &writer{nc: nc, buf: bufio.NewWriter(nc)}
	w.fr = http2.NewFramer(w.buf, nil)
	w.enc = hpack.NewEncoder(&w.hdr)
	k, first := client.New(c.s.now(), client.Config{MaxStreams: c.s.cfg.Streams, MaxHeader: maxHeaderBytes})
	w.buf.WriteString(http2.ClientPreface)
	open := map[uint32]*request{}
	failed := c.carryOut(w, k, open, first)
	reading := make(chan struct{})
	go func() { defer close(reading); c.read(nc) }()
	close(c.up)
	for failed == nil {
		failed = c.step(w, k, open, <-c.events)
	}
	// What is left has its end: what was to be written by the write that failed, and what is in the queue.
	nc.Close()
	c.end(failed)
	<-reading
	for _, a := range k.Close() {
		if d, is := a.(client.Done); is {
			c.finish(open, d)
		}
	}
	for {
		select {
		case e := <-c.events:
			if q, is := e.(*request); is {
				q.finish(client.Done{Ending: client.NotWritten})
			}
		default:
			return
		}
	}
}

// end says that the connection is over, so that nobody posts to it any more, or takes a place.
func (c *conn) end(err error) {
	c.limit.Store(0)
	c.err = err
	close(c.ended)
}

var errOver = errors.New("the connection is over")

// step takes an event; an error ends the connection.
func (c *conn) step(w *writer, k *client.Conn, open map[uint32]*request, e any) error {
	now := c.s.now()
	var l []client.Action
	switch e := e.(type) {
	case *request:
		if k.StreamsAvailable() == 0 {
			// The server allows fewer than was thought, or goes away.
			e.finish(client.Done{Ending: client.NotWritten})
			break
		}
		if ending, ok := e.a.Begin(); !ok {
			e.refused = &ending
			e.finish(client.Done{Ending: client.NotWritten})
			break
		}
		if e.m.More != nil && !e.m.Claim() {
			failure := balancer.Failure
			e.refused = &failure
			e.finish(client.Done{Ending: client.NotWritten})
			break
		}
		if e.m.GRPC != nil && e.m.GRPC.Streamed {
			e.stream, l = k.RequestStreamed(now, e.fields, e.m.Body, careful(e.m), e.m.More != nil)
		} else {
			e.stream, l = k.Request(now, e.fields, e.m.Body, careful(e.m))
		}
		open[e.stream] = e
	case cancelled:
		if e.q.stream != 0 && open[e.q.stream] == e.q {
			l = k.Cancel(now, e.q.stream)
		}
	case part:
		if open[e.q.stream] == e.q {
			l = k.Append(now, e.q.stream, e.bytes, e.last)
		}
	case consumed:
		if open[e.q.stream] == e.q {
			l = k.Consumed(now, e.q.stream, e.n)
		}
	case ifIdle:
		if len(open) == 0 && c.taken.Load() == 0 && now-time.Duration(c.since.Load()) >= e.after {
			w.fr.WriteGoAway(0, http2.ErrCodeNo, nil)
			w.buf.Flush()
			return errOver
		}
	case lost:
		return e.err
	case client.Event:
		l = k.Handle(now, e)
	}
	err := c.carryOut(w, k, open, l)
	if !k.Closing() {
		c.limit.Store(int64(k.StreamsAvailable() + k.Open()))
	} else if c.limit.Store(0); k.Open() == 0 && err == nil {
		err = errOver
	}
	return err
}

// carryOut writes frames and ends requests. When a write fails nobody knows what of this batch went out but that the
// last frame did not go whole; what ended in it is told as not written only if its last byte was in it.
func (c *conn) carryOut(w *writer, k *client.Conn, open map[uint32]*request, l []client.Action) error {
	var last []uint32 // streams whose last byte is in this batch
	var done []client.Done
	var failed error
	for _, a := range l {
		switch a := a.(type) {
		case client.WriteSettings:
			w.fr.WriteSettings(http2.Setting{ID: http2.SettingEnablePush, Val: 0}, http2.Setting{ID: http2.SettingInitialWindowSize, Val: a.InitialWindow},
				http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: a.MaxHeader})
		case client.WriteSettingsAck:
			w.fr.WriteSettingsAck()
		case client.WriteHeaders:
			w.headers(a)
			if a.End {
				last = append(last, a.Stream)
			}
		case client.WriteData:
			w.fr.WriteData(a.Stream, a.End, a.Bytes)
			if a.End {
				last = append(last, a.Stream)
			}
		case client.WriteReset:
			w.fr.WriteRSTStream(a.Stream, http2.ErrCode(a.Code))
		case client.WriteWindowUpdate:
			w.fr.WriteWindowUpdate(a.Stream, a.Add)
		case client.WritePing:
			w.fr.WritePing(a.Ack, a.Data)
		case client.Began:
			if q := open[a.Stream]; q != nil && grpc.Begins(a.Answer.Status, list(a.Answer.Header)) {
				q.pieces = message.NewStream(list(a.Answer.Header), func(n int) { c.post(consumed{q, n}) })
				q.a.Began(q.pieces)
			}
		case client.Sent:
			if q := open[a.Stream]; q != nil {
				select {
				case q.sent <- struct{}{}:
				default:
				}
			}
		case client.BodyChunk:
			switch q := open[a.Stream]; {
			case q == nil:
			case q.pieces == nil: // of no answer of gRPC: what it sends stays unread, its window runs out
				q.garbled = true
			default:
				q.garbled = q.scan.Take(a.Bytes) != nil || q.garbled
				q.pieces.Push(a.Bytes)
			}
		case client.Done:
			done = append(done, a)
		case client.Fail:
			w.fr.WriteGoAway(0, http2.ErrCode(a.Code), []byte(a.Text))
			failed = errors.New(a.Text)
		}
	}
	if w.buf.Buffered() > 0 {
		w.nc.SetWriteDeadline(time.Now().Add(writeWithin))
		if err := w.buf.Flush(); err != nil {
			failed = err
			for _, x := range k.Close(last...) {
				if d, is := x.(client.Done); is {
					done = append(done, d)
				}
			}
		}
	}
	for _, d := range done {
		c.finish(open, d)
	}
	return failed
}

func (c *conn) finish(open map[uint32]*request, d client.Done) {
	if q := open[d.Stream]; q != nil {
		delete(open, d.Stream)
		q.finish(d)
	}
}

// headers writes a block of fields, in as many frames as it needs.
func (w *writer) headers(a client.WriteHeaders) {
	w.hdr.Reset()
	for _, f := range a.Fields {
		// Keys of requests and callers' names are of no use to the next one, and are nobody's to guess.
		w.enc.WriteField(hpack.HeaderField{Name: f.Name, Value: f.Value, Sensitive: f.Name == "idempotency-key"})
	}
	block := w.hdr.Bytes()
	for first := true; first || len(block) > 0; first = false {
		n := min(len(block), maxFrame)
		part := block[:n]
		block = block[n:]
		if first {
			w.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: a.Stream, BlockFragment: part, EndStream: a.End, EndHeaders: len(block) == 0})
		} else {
			w.fr.WriteContinuation(a.Stream, len(block) == 0, part)
		}
	}
}

// read reads frames until there are none.
func (c *conn) read(nc net.Conn) {
	fr := http2.NewFramer(io.Discard, bufio.NewReaderSize(nc, readBuffer))
	fr.SetMaxReadFrameSize(maxFrame)
	fr.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	fr.MaxHeaderListSize = maxHeaderBytes
	for {
		f, err := fr.ReadFrame()
		var bad http2.StreamError
		switch {
		case errors.As(err, &bad):
			if !c.post(client.Event(client.Malformed{Stream: bad.StreamID, Code: uint32(bad.Code)})) {
				return
			}
			continue
		case err != nil:
			c.post(lost{err})
			return
		}
		if e := event(f); !c.post(e) {
			return
		}
	}
}

// event words a frame for the machine. What it keeps of the frame is copied: the framer uses its buffer again.
func event(f http2.Frame) client.Event {
	switch f := f.(type) {
	case *http2.SettingsFrame:
		e := client.Settings{Ack: f.IsAck()}
		f.ForeachSetting(func(s http2.Setting) error {
			v := s.Val
			switch s.ID {
			case http2.SettingMaxConcurrentStreams:
				e.MaxStreams = &v
			case http2.SettingInitialWindowSize:
				e.InitialWindow = &v
			case http2.SettingMaxFrameSize:
				e.MaxFrame = &v
			}
			return nil
		})
		return e
	case *http2.MetaHeadersFrame:
		if f.Truncated {
			return client.Malformed{Stream: f.StreamID, Code: uint32(http2.ErrCodeEnhanceYourCalm)}
		}
		e := client.Headers{Stream: f.StreamID, End: f.StreamEnded(), Fields: make([]client.Field, 0, len(f.Fields))}
		for _, x := range f.Fields {
			e.Fields = append(e.Fields, client.Field{Name: x.Name, Value: x.Value})
		}
		return e
	case *http2.DataFrame:
		return client.Data{Stream: f.StreamID, Bytes: bytes.Clone(f.Data()), Padded: int(f.Length) - len(f.Data()), End: f.StreamEnded()}
	case *http2.RSTStreamFrame:
		return client.ResetFrame{Stream: f.StreamID, Code: uint32(f.ErrCode)}
	case *http2.GoAwayFrame:
		return client.GoAway{Last: f.LastStreamID, Code: uint32(f.ErrCode)}
	case *http2.WindowUpdateFrame:
		return client.WindowUpdate{Stream: f.StreamID, Add: f.Increment}
	case *http2.PingFrame:
		return client.Ping{Ack: f.IsAck(), Data: f.Data}
	case *http2.PushPromiseFrame:
		return client.Other{Push: true}
	}
	return client.Other{}
}
