package client

// Error codes (RFC 9113, section 7).
const (
	codeNoError         = 0x0
	codeProtocol        = 0x1
	codeFlowControl     = 0x3
	codeRefusedStream   = 0x7
	codeCancel          = 0x8
	codeEnhanceYourCalm = 0xb
)

// Status codes that decide how a response is framed (RFC 9110, section 15).
const (
	statusSwitchingProtocols = 101 // not in HTTP/2 (RFC 9113, section 8.6)
	statusOK                 = 200 // the first one that is final
	statusNotModified        = 304 // without a body, whatever length it declares
)

// Events are the frames of the server, as a framer reads them (RFC 9113, section 6).
type (
	// Settings is SETTINGS; a nil parameter was not in the frame.
	Settings struct {
		Ack                                 bool
		MaxStreams, InitialWindow, MaxFrame *uint32
	}
	// Headers is a complete field section, pseudo-header fields included: HEADERS with its CONTINUATION frames.
	Headers struct {
		Stream uint32
		Fields []Field
		End    bool
	}
	// Data is DATA; Padded is how many bytes of padding count in flow control beside Bytes (section 6.1).
	Data struct {
		Stream uint32
		Bytes  []byte
		Padded int
		End    bool
	}
	// RSTStream is RST_STREAM.
	RSTStream struct{ Stream, Code uint32 }
	// GoAway is GOAWAY.
	GoAway struct{ Last, Code uint32 }
	// WindowUpdate is WINDOW_UPDATE; Stream 0 is the connection.
	WindowUpdate struct{ Stream, Add uint32 }
	// Ping is PING.
	Ping struct {
		Ack  bool
		Data [8]byte
	}
	// Malformed is a stream error that the framer has found (section 5.4.2).
	Malformed struct{ Stream, Code uint32 }
	// OtherFrame is any other frame. PUSH_PROMISE is a connection error, since push is disabled; the rest is ignored.
	OtherFrame struct{ Push bool }
)

// Event is one of the types above.
type Event any

// Actions are performed in order. After a write that fails, the caller calls Close with the streams whose last bytes were in
// the same batch of actions.
type (
	// WriteSettings writes the first SETTINGS.
	WriteSettings struct{ InitialWindow, MaxHeader uint32 }
	// WriteSettingsAck acknowledges SETTINGS (section 6.5.3).
	WriteSettingsAck struct{}
	// WriteHeaders opens a stream.
	WriteHeaders struct {
		Stream uint32
		Fields []Field
		End    bool
	}
	// WriteData writes a part of a body.
	WriteData struct {
		Stream uint32
		Bytes  []byte
		End    bool
	}
	// WriteRSTStream is RST_STREAM.
	WriteRSTStream struct{ Stream, Code uint32 }
	// WriteWindowUpdate is WINDOW_UPDATE.
	WriteWindowUpdate struct{ Stream, Add uint32 }
	// WritePing is PING.
	WritePing struct {
		Ack  bool
		Data [8]byte
	}
	// Began says that the first bytes of a streamed response body have come; Response has its status and header.
	Began struct {
		Stream   uint32
		Response Response
	}
	// BodyChunk is a part of a streamed response body. Consumed opens the stream's window by its bytes again.
	BodyChunk struct {
		Stream uint32
		Bytes  []byte
	}
	// Sent says that all there was of an open request body is written: Append may follow.
	Sent struct{ Stream uint32 }
	// Done ends a stream. It comes exactly once for each.
	Done struct {
		Stream   uint32
		Ending   Ending
		Response Response // with Completed
	}
	// ConnectionError is a connection error (section 5.4.1): GOAWAY with the code is to be written, and Close to be called.
	ConnectionError struct {
		Code uint32
		Text string
	}
)

// Action is one of the types above.
type Action any
