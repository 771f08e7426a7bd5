package client

import (
	"testing"
)

// A streamed response is forwarded as it arrives, and its window is returned as it is consumed: the server may send at most
// MaxBodyBytes unconsumed bytes, and a stream with more is reset.
func TestStreamedResponse(t *testing.T) {
	c, _ := New(0, Config{MaxBodyBytes: 1000})
	c.Handle(0, Settings{})
	id, _ := c.RequestStreamed(0, []Field{{":method", "POST"}}, []byte("x"), false, false)
	if l := c.Handle(0, Headers{Stream: id, Fields: []Field{{
		Name:  ":status",
		Value: "200",
	}, {
		Name:  "content-type",
		Value: "a",
	}}}); len(l) != 0 {
		t.Errorf("Began before the first byte of the body: %+v", l)
	}
	l := c.Handle(0, Data{Stream: id, Bytes: make([]byte, 900)})
	if len(l) != 2 || l[0].(Began).Response.Header[0].Value != "a" || len(l[1].(BodyChunk).Bytes) != 900 {
		t.Fatalf("first DATA: %+v", l)
	}
	if l := c.Consumed(0, id, 200); len(l) != 0 {
		t.Errorf("WINDOW_UPDATE before a quarter of MaxBodyBytes was consumed: %+v", l)
	}
	if l := c.Consumed(0, id, 100); len(l) != 1 || l[0].(WriteWindowUpdate) != (WriteWindowUpdate{id, 300}) {
		t.Errorf("after a quarter of MaxBodyBytes was consumed: %+v", l)
	}
	if l := c.Handle(0, Data{Stream: id, Bytes: make([]byte, 400)}); len(l) != 1 || len(l[0].(BodyChunk).Bytes) != 400 {
		t.Errorf("DATA within the window: %+v", l)
	}
	l = c.Handle(0, Data{Stream: id, Bytes: make([]byte, 1)})
	if len(l) != 2 || l[0].(WriteRSTStream) != (WriteRSTStream{id, codeFlowControl}) || l[1].(Done).Ending != Reset {
		t.Errorf("a byte over the window: %+v", l)
	}
	if l := c.Consumed(0, id, 900); len(l) != 0 {
		t.Errorf("Consumed after the stream was reset: %+v", l)
	}
	// Trailers end the stream, and a declared content-length is checked.
	id, _ = c.RequestStreamed(0, []Field{{":method", "POST"}}, []byte("x"), false, false)
	c.Handle(0, Headers{Stream: id, Fields: []Field{{":status", "200"}}})
	c.Handle(0, Data{Stream: id, Bytes: []byte("abc")})
	l = c.Handle(0, Headers{Stream: id, Fields: []Field{{"grpc-status", "0"}}, End: true})
	if d, ok := l[len(l)-1].(Done); !ok || d.Ending != Completed || len(d.Response.Trailer) != 1 || d.Response.Body != nil {
		t.Errorf("with trailers: %+v", l)
	}
	id, _ = c.RequestStreamed(0, []Field{{":method", "POST"}}, []byte("x"), false, false)
	c.Handle(0, Headers{Stream: id, Fields: []Field{{":status", "200"}, {"content-length", "5"}}})
	c.Handle(0, Data{Stream: id, Bytes: []byte("abc")})
	l = c.Handle(0, Headers{Stream: id, Fields: []Field{{"grpc-status", "0"}}, End: true})
	if d, ok := l[len(l)-1].(Done); !ok || d.Ending != Reset {
		t.Errorf("three bytes of a content-length of five: %+v", l)
	}
}

// A request body in parts is sent within the flow-control windows until its last part. The request may have run from its first
// part on.
func TestRequestBodyInParts(t *testing.T) {
	start := func() (*Conn, uint32, []Action) {
		c, _ := New(0, Config{})
		c.Handle(0, Settings{InitialWindow: uint32Ptr(5)})
		id, l := c.RequestStreamed(0, []Field{{":method", "POST"}}, []byte("abc"), false, true)
		return c, id, l
	}
	c, id, l := start()
	if len(l) != 3 || l[0].(WriteHeaders).End || l[1].(WriteData).End || l[2].(Sent).Stream != id {
		t.Fatalf("first part: %+v", l)
	}
	if l = c.Append(0, id, []byte("defg"), false); len(l) != 1 || string(l[0].(WriteData).Bytes) != "de" {
		t.Errorf("second part, within the window: %+v", l)
	}
	if l = c.Handle(
		0,
		WindowUpdate{id, 10},
	); len(l) != 2 || string(l[0].(WriteData).Bytes) != "fg" || l[0].(WriteData).End || l[1].(Sent).Stream != id {
		t.Errorf("second part, after WINDOW_UPDATE: %+v", l)
	}
	if l = c.Append(0, id, nil, true); len(l) != 1 || !l[0].(WriteData).End {
		t.Errorf("END_STREAM: %+v", l)
	}
	if l = c.Append(0, id, []byte("x"), true); len(l) != 0 {
		t.Errorf("Append after the end: %+v", l)
	}
	c.Handle(0, Headers{Stream: id, Fields: []Field{{":status", "200"}}, End: true})

	c, id, _ = start()
	if l = c.Cancel(0, id); l[len(l)-1].(Done).Ending != Cancelled { // the server may have processed the first part
		t.Errorf("cancelled before the end: %+v", l)
	}
	c, id, _ = start()
	if l = c.Close(id); l[len(l)-1].(Done).Ending != ConnectionLost {
		t.Errorf("connection lost before the end: %+v", l)
	}
	c, id, _ = start() // a response may be complete before the request is
	l = c.Handle(0, Headers{Stream: id, Fields: []Field{{":status", "200"}}, End: true})
	if len(l) != 2 || l[0].(WriteRSTStream) != (WriteRSTStream{id, codeNoError}) || l[1].(Done).Ending != Completed {
		t.Errorf("early response: %+v", l)
	}
}
