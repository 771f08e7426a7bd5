package client

import (
	"strings"
	"testing"
	"time"
)

// Each way in which a stream can end is reported with the Ending that says whether the request may have run.
func TestEndings(t *testing.T) {
	body := []byte(strings.Repeat("x", 40_000))
	for _, c := range []struct {
		name   string
		body   []byte
		events []Event
		want   string
	}{
		{
			name:   "completed",
			events: []Event{response(1, true)},
			want:   "1 completed",
		},
		{
			name: "completed with a body",
			events: []Event{response(1, false, "content-length", "2"), Data{
				Stream: 1,
				Bytes:  []byte("ok"),
				End:    true,
			}},
			want: "1 completed",
		},
		{
			name: "completed with trailers",
			events: []Event{response(1, false), Data{
				Stream: 1,
				Bytes:  []byte("ok"),
			}, Headers{1, []Field{{"grpc-status", "0"}}, true}},
			want: "1 completed",
		},
		{
			name:   "after an interim response",
			events: []Event{Headers{1, []Field{{":status", "103"}}, false}, response(1, true)},
			want:   "1 completed",
		},
		{
			name:   "REFUSED_STREAM",
			events: []Event{RSTStream{1, codeRefusedStream}},
			want:   "1 refused",
		},
		{
			name:   "REFUSED_STREAM after HEADERS",
			events: []Event{response(1, false), RSTStream{1, codeRefusedStream}},
			want:   "1 reset",
		},
		{
			name:   "RST_STREAM between HEADERS and DATA",
			events: []Event{response(1, false, "content-length", "5"), RSTStream{1, 2}},
			want:   "1 reset",
		},
		{
			name:   "RST_STREAM",
			events: []Event{RSTStream{1, 2}},
			want:   "1 reset",
		},
		{ // guards against a second run: the request counted as not written, though the server had begun to respond to a part of it
			name:   "RST_STREAM after HEADERS, before the request was written",
			body:   body,
			events: []Event{response(1, false), RSTStream{1, 2}},
			want:   "1 reset",
		},
		{
			name:   "above the last stream of GOAWAY after HEADERS",
			events: []Event{response(1, false), GoAway{0, 0}},
			want:   "1 reset",
		},
		{
			name:   "RST_STREAM before the request was written",
			body:   body,
			events: []Event{RSTStream{1, 2}},
			want:   "1 not written",
		},
		{
			name:   "above the last stream of GOAWAY",
			events: []Event{GoAway{0, 0}},
			want:   "1 above GOAWAY",
		},
		{
			name:   "not above the last stream of GOAWAY",
			events: []Event{GoAway{1, 0}, response(1, true)},
			want:   "1 completed",
		},
		{
			name:   "no :status",
			events: []Event{Headers{1, []Field{{"a", "b"}}, true}},
			want:   "1 reset",
		},
		{
			name:   "two :status fields",
			events: []Event{Headers{1, []Field{{":status", "200"}, {":status", "200"}}, true}},
			want:   "1 reset",
		},
		{
			name:   ":status after another field",
			events: []Event{Headers{1, []Field{{"a", "b"}, {":status", "200"}}, true}},
			want:   "1 reset",
		},
		{
			name:   "field name in upper case",
			events: []Event{response(1, true, "Content-Type", "x")},
			want:   "1 reset",
		},
		{
			name:   "connection-specific field",
			events: []Event{response(1, true, "transfer-encoding", "chunked")},
			want:   "1 reset",
		},
		{
			name:   "101",
			events: []Event{Headers{1, []Field{{":status", "101"}}, false}},
			want:   "1 reset",
		},
		{
			name:   "interim response with END_STREAM",
			events: []Event{Headers{1, []Field{{":status", "100"}}, true}},
			want:   "1 reset",
		},
		{
			name: "body shorter than its length",
			events: []Event{response(1, false, "content-length", "3"), Data{
				Stream: 1,
				Bytes:  []byte("ok"),
				End:    true,
			}},
			want: "1 reset",
		},
		{
			name: "body longer than its length",
			events: []Event{response(1, false, "content-length", "1"), Data{
				Stream: 1,
				Bytes:  []byte("ok"),
				End:    true,
			}},
			want: "1 reset",
		},
		{
			name:   "two content-lengths",
			events: []Event{response(1, false, "content-length", "1", "content-length", "2")},
			want:   "1 reset",
		},
		{
			name:   "malformed content-length",
			events: []Event{response(1, false, "content-length", "+1")},
			want:   "1 reset",
		},
		{
			name:   "content-length over MaxBodyBytes",
			events: []Event{response(1, false, "content-length", "70000")},
			want:   "1 reset",
		},
		{
			name:   "DATA before HEADERS",
			events: []Event{Data{Stream: 1, Bytes: []byte("x")}},
			want:   "1 reset",
		},
		{
			name:   "trailers without END_STREAM",
			events: []Event{response(1, false), Headers{1, []Field{{"a", "b"}}, false}},
			want:   "1 reset",
		},
		{
			name:   "trailers with :status",
			events: []Event{response(1, false), Headers{1, []Field{{":status", "200"}}, true}},
			want:   "1 reset",
		},
		{
			name:   "DATA over the stream's window",
			events: []Event{response(1, false), Data{Stream: 1, Bytes: make([]byte, 65537)}},
			want:   "1 reset",
		},
		{
			name:   "WINDOW_UPDATE over the largest window",
			events: []Event{WindowUpdate{1, maxWindow}},
			want:   "1 reset",
		},
		{
			name:   "WINDOW_UPDATE of 0",
			events: []Event{WindowUpdate{1, 0}},
			want:   "1 reset",
		},
		{
			name:   "malformed according to the framer",
			events: []Event{Malformed{1, codeProtocol}},
			want:   "1 reset",
		},
		{
			name:   "response before the request is complete",
			body:   body,
			events: []Event{response(1, true)},
			want:   "1 completed",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := newTestConn(t, Config{}, Settings{InitialWindow: uint32Ptr(20_000)})
			conn.Request(0, getFields, c.body, false)
			var actions []Action
			for _, e := range c.events {
				actions = append(actions, conn.Handle(0, e)...)
			}
			if f := failure(actions); f != "" {
				t.Fatalf("the connection failed: %s", f)
			}
			if got := endings(actions); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if conn.Open() != 0 {
				t.Errorf("%d streams are open", conn.Open())
			}
		})
	}
}

// Illegal frames are connection errors. Requests that were written then end as ConnectionLost, since they may have run.
func TestConnectionErrors(t *testing.T) {
	for name, e := range map[string]Event{
		"HEADERS on an idle stream":              response(3, true),
		"DATA on a stream of the server":         Data{Stream: 2, Bytes: []byte("x")},
		"RST_STREAM on an idle stream":           RSTStream{9, 0},
		"WINDOW_UPDATE on an idle stream":        WindowUpdate{9, 1},
		"PUSH_PROMISE":                           OtherFrame{Push: true},
		"SETTINGS_MAX_FRAME_SIZE too small":      Settings{MaxFrame: uint32Ptr(100)},
		"SETTINGS_INITIAL_WINDOW_SIZE too large": Settings{InitialWindow: uint32Ptr(1 << 31)},
		"WINDOW_UPDATE of 0":                     WindowUpdate{0, 0},
		"WINDOW_UPDATE over the largest window":  WindowUpdate{0, maxWindow},
	} {
		conn := newTestConn(t, Config{}, Settings{})
		conn.Request(0, getFields, nil, false)
		l := conn.Handle(0, e)
		if failure(l) == "" {
			t.Errorf("%s: no connection error", name)
		}
		if got := endings(conn.Close()); got != "1 connection lost" {
			t.Errorf("%s: %q", name, got)
		}
	}
	conn, _ := New(0, Config{})
	if l := conn.Handle(0, Ping{}); failure(l) == "" {
		t.Error("a first frame other than SETTINGS is accepted")
	}
	conn = newTestConn(t, Config{}, Settings{})
	conn.Request(0, getFields, nil, false)
	conn.Request(0, getFields, nil, false)
	if got := endings(conn.Close(3)); got != "1 connection lost, 3 not written" {
		t.Errorf("with a write that failed: %q", got)
	}
	conn = newTestConn(t, Config{}, Settings{})
	conn.Request(0, getFields, make([]byte, 100_000), false)
	conn.Handle(0, response(1, false))
	if got := endings(conn.Close(1)); got != "1 connection lost" {
		t.Errorf("with a write that failed after the response had begun: %q", got)
	}
}

// GOAWAY with 50 open streams, half of them above its last id: that half ends as AboveGoAway, the other half continues.
func TestGoAwayEndsStreamsAboveLastID(t *testing.T) {
	conn := newTestConn(t, Config{}, Settings{})
	for range 50 {
		conn.Request(0, getFields, nil, false)
	}
	l := conn.Handle(0, GoAway{Last: 49})
	if n := strings.Count(endings(l), "above GOAWAY"); n != 25 {
		t.Errorf("%d streams are above GOAWAY, want 25", n)
	}
	if conn.StreamsAvailable() != 0 || !conn.Closing() || conn.Open() != 25 {
		t.Errorf("%d streams available, closing %v, %d open", conn.StreamsAvailable(), conn.Closing(), conn.Open())
	}
	if got := endings(conn.Handle(0, response(49, true))); got != "49 completed" {
		t.Errorf("a stream below the last one: %q", got)
	}
	if got := strings.Count(endings(conn.Close()), "connection lost"); got != 24 {
		t.Errorf("%d streams lost with the connection, want 24", got)
	}
}

// A flood of frames that advance no stream ends the connection, and a flood of empty DATA frames resets the stream.
func TestFrameFloodEndsConnection(t *testing.T) {
	for name, e := range map[string]Event{
		"PING":                          Ping{},
		"SETTINGS":                      Settings{},
		"WINDOW_UPDATE of one byte":     WindowUpdate{0, 1},
		"empty DATA on a closed stream": Data{Stream: 1},
		"unknown frames":                OtherFrame{},
	} {
		conn := newTestConn(t, Config{}, Settings{})
		conn.Request(0, getFields, nil, false)
		conn.Cancel(0, 1)
		n := 0
		for ; n < 10_000 && failure(conn.Handle(0, e)) == ""; n++ {
		}
		if n < 100 || n > maxFramesWithoutProgress+2 {
			t.Errorf("%s: the connection ended after %d frames", name, n)
		}
	}
	conn := newTestConn(t, Config{}, Settings{})
	conn.Request(0, getFields, nil, false)
	conn.Handle(0, response(1, false))
	n, got := 0, ""
	for ; n < 1000 && got == ""; n++ {
		got = endings(conn.Handle(0, Data{Stream: 1}))
	}
	if got != "1 reset" || n > maxEmptyFrames+2 {
		t.Errorf("empty DATA: %q after %d frames", got, n)
	}
}

// On an idle connection, a request with pingFirst waits for the ACK of a PING. Later requests wait as well, since streams are
// opened in order.
func TestRequestWithPingFirstWaitsForACK(t *testing.T) {
	conn := newTestConn(t, Config{PingAfter: time.Second}, Settings{})
	opened := func(l []Action) (n int) {
		for _, a := range l {
			if _, ok := a.(WriteHeaders); ok {
				n++
			}
		}
		return n
	}
	_, l := conn.Request(2*time.Second, getFields, []byte("x"), true)
	ping, ok := l[0].(WritePing)
	if !ok || opened(l) != 0 {
		t.Fatalf("%v", l)
	}
	if _, l := conn.Request(2*time.Second, getFields, nil, false); opened(l) != 0 {
		t.Errorf("a later stream was opened: %v", l)
	}
	if l := conn.Handle(2*time.Second, Ping{Ack: true}); opened(l) != 0 {
		t.Error("the ACK of another PING opened the stream")
	}
	if l := conn.Handle(2*time.Second, Ping{Ack: true, Data: ping.Data}); opened(l) != 2 {
		t.Errorf("after the ACK of the PING: %v", l)
	}
	if _, l := conn.Request(2500*time.Millisecond, getFields, nil, true); opened(l) != 1 {
		t.Errorf("on a connection that received a frame recently: %v", l)
	}
	// If the connection ends before the ACK, nothing was written.
	conn = newTestConn(t, Config{PingAfter: time.Second}, Settings{})
	conn.Request(2*time.Second, getFields, nil, true)
	conn.Request(2*time.Second, getFields, nil, false)
	if got := endings(conn.Close()); got != "1 not written, 3 not written" {
		t.Errorf("%q", got)
	}
	conn = newTestConn(t, Config{PingAfter: time.Second}, Settings{})
	conn.Request(2*time.Second, getFields, nil, true)
	conn.Request(2*time.Second, getFields, nil, false)
	if l := conn.Cancel(2*time.Second, 1); endings(l) != "1 not written" || opened(l) != 1 {
		t.Errorf("after the first one was cancelled: %v", l)
	}
}
