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

// HTTP status codes that affect how a response is framed (RFC 9110, section 15).
const (
	statusSwitchingProtocols = 101 // not allowed in HTTP/2 (RFC 9113, section 8.6)
	statusOK                 = 200 // the smallest one of a final response
	statusNotModified        = 304 // has no body, whatever content-length it declares
)

// Events are the frames from the server, as the framer decodes them (RFC 9113, section 6).
type (
	// Settings is SETTINGS; a parameter that the frame does not contain is nil.
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
	// Data is DATA; Padded is the number of padding bytes, which flow control counts in addition to Bytes (section 6.1).
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
	// WindowUpdate is WINDOW_UPDATE; Stream 0 means the connection.
	WindowUpdate struct{ Stream, Add uint32 }
	// Ping is PING.
	Ping struct {
		Ack  bool
		Data [8]byte
	}
	// Malformed is a stream error that the framer detected (section 5.4.2).
	Malformed struct{ Stream, Code uint32 }
	// OtherFrame is any other frame. PUSH_PROMISE is a connection error, since push is disabled; the rest is ignored.
	OtherFrame struct{ Push bool }
)

// Event is one of the event types above.
type Event any

// Actions must be performed in order. If a write fails, the caller must call Close with the ids of the streams whose last
// bytes were in the same batch of actions.
type (
	// WriteSettings writes the first SETTINGS.
	WriteSettings struct{ InitialWindow, MaxHeader uint32 }
	// WriteSettingsAck acknowledges SETTINGS (section 6.5.3).
	WriteSettingsAck struct{}
	// WriteHeaders writes HEADERS, which opens a stream.
	WriteHeaders struct {
		Stream uint32
		Fields []Field
		End    bool
	}
	// WriteData writes DATA, with a part of a request body.
	WriteData struct {
		Stream uint32
		Bytes  []byte
		End    bool
	}
	// WriteRSTStream writes RST_STREAM.
	WriteRSTStream struct{ Stream, Code uint32 }
	// WriteWindowUpdate writes WINDOW_UPDATE; Stream 0 means the connection.
	WriteWindowUpdate struct{ Stream, Add uint32 }
	// WritePing writes PING.
	WritePing struct {
		Ack  bool
		Data [8]byte
	}
	// Began reports that the first bytes of a streamed response body were received; Response has the status and header.
	Began struct {
		Stream   uint32
		Response Response
	}
	// BodyChunk is a part of a streamed response body, to be reported to Consumed once its reader has consumed it.
	BodyChunk struct {
		Stream uint32
		Bytes  []byte
	}
	// Sent reports that all appended parts of a request body are written, and that Append may be called.
	Sent struct{ Stream uint32 }
	// Done reports the end of a stream, exactly once for each stream.
	Done struct {
		Stream   uint32
		Ending   Ending
		Response Response // set only if Ending is Completed
	}
	// ConnectionError is a connection error (section 5.4.1): the caller must write GOAWAY with the code and call Close.
	ConnectionError struct {
		Code uint32
		Text string
	}
)

// Action is one of the action types above.
type Action any
