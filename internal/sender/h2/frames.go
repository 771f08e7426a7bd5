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

	"cranegrade/internal/h2/client"
)

const (
	maxHeaderBytes  = 16 << 10 // of a response's field section
	maxFrameSize    = 16 << 10 // the initial SETTINGS_MAX_FRAME_SIZE, in both directions (RFC 9113, section 6.5.2)
	headerTableSize = 4096     // the initial SETTINGS_HEADER_TABLE_SIZE
	readBufferSize  = 8 << 10
)

// frameWriter writes frames to a buffer in front of the connection; the goroutine of conn.run owns it. Its methods return no
// error: the buffer keeps the first error of a write, and flush returns it.
type frameWriter struct {
	netConn net.Conn
	queued  int64           // bytes that were written to buffer
	sent    *countingWriter // under buffer
	buffer  *bufio.Writer
	framer  *http2.Framer
	encoder *hpack.Encoder
	block   bytes.Buffer // the field block that encoder writes to
}

// newFrameWriter returns a writer whose buffer holds the client's connection preface (RFC 9113, section 3.4).
func newFrameWriter(netConn net.Conn) *frameWriter {
	sent := &countingWriter{writer: netConn}
	w := &frameWriter{netConn: netConn, sent: sent, buffer: bufio.NewWriter(sent)}
	w.framer = http2.NewFramer(w, nil)
	w.encoder = hpack.NewEncoder(&w.block)
	_, _ = io.WriteString(w, http2.ClientPreface)
	return w
}

// countingWriter counts the bytes that a writer has accepted.
type countingWriter struct {
	writer io.Writer
	bytes  int64
}

func (w *countingWriter) Write(p []byte) (int, error) {
	n, err := w.writer.Write(p)
	w.bytes += int64(n)
	return n, err
}

// Write writes bytes of a frame to the buffer.
func (w *frameWriter) Write(p []byte) (int, error) {
	w.queued += int64(len(p))
	return w.buffer.Write(p)
}

// hasSent reports whether the connection has accepted all bytes up to a position, which is a former value of queued.
func (w *frameWriter) hasSent(position int64) bool { return position <= w.sent.bytes }

// writeControl writes a frame that carries no part of a request.
func (w *frameWriter) writeControl(action client.Action) {
	switch a := action.(type) {
	case client.WriteSettings:
		_ = w.framer.WriteSettings(
			http2.Setting{ID: http2.SettingEnablePush, Val: 0},
			http2.Setting{ID: http2.SettingInitialWindowSize, Val: a.InitialWindow},
			http2.Setting{ID: http2.SettingMaxHeaderListSize, Val: a.MaxHeader})
	case client.WriteSettingsAck:
		_ = w.framer.WriteSettingsAck()
	case client.WriteRSTStream:
		_ = w.framer.WriteRSTStream(a.Stream, http2.ErrCode(a.Code))
	case client.WriteWindowUpdate:
		_ = w.framer.WriteWindowUpdate(a.Stream, a.Add)
	case client.WritePing:
		_ = w.framer.WritePing(a.Ack, a.Data)
	}
}

// writeHeaders writes a field block, in HEADERS and as many CONTINUATION frames as it needs (RFC 9113, section 6.10).
func (w *frameWriter) writeHeaders(a client.WriteHeaders) {
	w.block.Reset()
	for _, field := range a.Fields {
		// A key belongs to one request, so it is of no use in the compression's table, from which it could be guessed
		// (RFC 7541, section 7.1).
		sensitive := field.Name == "idempotency-key"
		_ = w.encoder.WriteField(hpack.HeaderField{
			Name:      field.Name,
			Value:     field.Value,
			Sensitive: sensitive,
		})
	}
	block := w.block.Bytes()
	for first := true; first || len(block) > 0; first = false {
		n := min(len(block), maxFrameSize)
		fragment := block[:n]
		block = block[n:]
		if first {
			_ = w.framer.WriteHeaders(http2.HeadersFrameParam{
				StreamID:      a.Stream,
				BlockFragment: fragment,
				EndStream:     a.End,
				EndHeaders:    len(block) == 0,
			})
		} else {
			_ = w.framer.WriteContinuation(a.Stream, len(block) == 0, fragment)
		}
	}
}

// writeData writes a part of a request body.
func (w *frameWriter) writeData(a client.WriteData) { _ = w.framer.WriteData(a.Stream, a.End, a.Bytes) }

// writeGoAway announces that the connection ends. The server has opened no streams, so the last one is 0.
func (w *frameWriter) writeGoAway(code http2.ErrCode, text string) {
	_ = w.framer.WriteGoAway(0, code, []byte(text))
}

// closeGracefully announces that an idle connection is closed without an error. It does not matter whether that arrives.
func (w *frameWriter) closeGracefully() {
	_ = w.framer.WriteGoAway(0, http2.ErrCodeNo, nil)
	_ = w.buffer.Flush()
}

// flush sends what was written since the last flush.
func (w *frameWriter) flush() error {
	if w.buffer.Buffered() == 0 {
		return nil
	}
	_ = w.netConn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only if the write below does as well
	return w.buffer.Flush()
}

// readFrames posts the frames of the server until the connection ends.
func (c *conn) readFrames() {
	framer := http2.NewFramer(io.Discard, bufio.NewReaderSize(c.netConn, readBufferSize))
	framer.SetMaxReadFrameSize(maxFrameSize)
	framer.ReadMetaHeaders = hpack.NewDecoder(headerTableSize, nil)
	framer.MaxHeaderListSize = maxHeaderBytes
	for {
		frame, err := framer.ReadFrame()
		var streamError http2.StreamError
		switch {
		case errors.As(err, &streamError):
			if !c.post(client.Malformed{Stream: streamError.StreamID, Code: uint32(streamError.Code)}) {
				return
			}
			continue
		case err != nil:
			c.post(connectionLost{err})
			return
		}
		if !c.post(eventOf(frame)) {
			return
		}
	}
}

// eventOf converts a frame to an event of the state machine. It copies what it keeps, because the framer reuses its buffer.
func eventOf(frame http2.Frame) client.Event {
	switch f := frame.(type) {
	case *http2.SettingsFrame:
		return settingsEvent(f)
	case *http2.MetaHeadersFrame:
		if f.Truncated {
			return client.Malformed{Stream: f.StreamID, Code: uint32(http2.ErrCodeEnhanceYourCalm)}
		}
		e := client.Headers{
			Stream: f.StreamID,
			End:    f.StreamEnded(),
			Fields: make([]client.Field, 0, len(f.Fields)),
		}
		for _, field := range f.Fields {
			e.Fields = append(e.Fields, client.Field{Name: field.Name, Value: field.Value})
		}
		return e
	case *http2.DataFrame:
		padding := int(f.Length) - len(f.Data())
		return client.Data{
			Stream: f.StreamID,
			Bytes:  bytes.Clone(f.Data()),
			Padded: padding,
			End:    f.StreamEnded(),
		}
	case *http2.RSTStreamFrame:
		return client.RSTStream{Stream: f.StreamID, Code: uint32(f.ErrCode)}
	case *http2.GoAwayFrame:
		return client.GoAway{Last: f.LastStreamID, Code: uint32(f.ErrCode)}
	case *http2.WindowUpdateFrame:
		return client.WindowUpdate{Stream: f.StreamID, Add: f.Increment}
	case *http2.PingFrame:
		return client.Ping{Ack: f.IsAck(), Data: f.Data}
	case *http2.PushPromiseFrame:
		return client.OtherFrame{Push: true}
	}
	return client.OtherFrame{}
}

// settingsEvent converts a SETTINGS frame.
func settingsEvent(f *http2.SettingsFrame) client.Settings {
	e := client.Settings{Ack: f.IsAck()}
	_ = f.ForeachSetting(func(setting http2.Setting) error { // fails only if this function does
		value := setting.Val
		switch setting.ID {
		case http2.SettingMaxConcurrentStreams:
			e.MaxStreams = &value
		case http2.SettingInitialWindowSize:
			e.InitialWindow = &value
		case http2.SettingMaxFrameSize:
			e.MaxFrame = &value
		default: // the others limit nothing that a client sends
		}
		return nil
	})
	return e
}
