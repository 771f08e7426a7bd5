package client

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func u(n uint32) *uint32 { return &n }

// talk is a connection whose server has sent its SETTINGS.
func talk(t interface {
	Helper()
	Fatalf(string, ...any)
}, cfg Config, s Settings,
) *Conn {
	t.Helper()
	c, first := New(0, cfg)
	if len(first) != 2 {
		t.Fatalf("the first frames are %v", first)
	}
	c.Handle(0, s)
	return c
}

var get = []Field{{":method", "GET"}, {":path", "/"}}

// ends words the endings among actions.
func ends(l []Action) string {
	var out []string
	for _, a := range l {
		if d, is := a.(Done); is {
			out = append(out, fmt.Sprintf("%d %v", d.Stream, d.Ending))
		}
	}
	return strings.Join(out, ", ")
}

func failed(l []Action) string {
	for _, a := range l {
		if f, is := a.(Fail); is {
			return f.Text
		}
	}
	return ""
}

func answer(stream uint32, end bool, more ...string) Headers {
	h := Headers{Stream: stream, Fields: []Field{{":status", "200"}}, End: end}
	for i := 0; i < len(more); i += 2 {
		h.Fields = append(h.Fields, Field{more[i], more[i+1]})
	}
	return h
}

// TestEndings: for each way that a stream can end, whether its request can have run.
func TestEndings(t *testing.T) {
	body := []byte(strings.Repeat("x", 40_000))
	for _, c := range []struct {
		name   string
		body   []byte
		events []Event
		want   string
	}{
		{"answered", nil, []Event{answer(1, true)}, "1 answered"},
		{"answered with a body", nil, []Event{answer(1, false, "content-length", "2"), Data{Stream: 1, Bytes: []byte("ok"), End: true}}, "1 answered"},
		{"answered with a trailer", nil, []Event{answer(1, false), Data{Stream: 1, Bytes: []byte("ok")}, Headers{1, []Field{{"grpc-status", "0"}}, true}}, "1 answered"},
		{"after an interim answer", nil, []Event{Headers{1, []Field{{":status", "103"}}, false}, answer(1, true)}, "1 answered"},
		{"refused", nil, []Event{ResetFrame{1, codeRefusedStream}}, "1 refused"},
		{"refused after the head is no refusal", nil, []Event{answer(1, false), ResetFrame{1, codeRefusedStream}}, "1 reset"},
		{"reset after the head and before the data", nil, []Event{answer(1, false, "content-length", "5"), ResetFrame{1, 2}}, "1 reset"},
		{"reset", nil, []Event{ResetFrame{1, 2}}, "1 reset"},
		{"reset before the last byte was written", body, []Event{ResetFrame{1, 2}}, "1 not written"},
		{"above the last stream", nil, []Event{GoAway{0, 0}}, "1 above"},
		{"below the last stream", nil, []Event{GoAway{1, 0}, answer(1, true)}, "1 answered"},
		{"no status", nil, []Event{Headers{1, []Field{{"a", "b"}}, true}}, "1 reset"},
		{"status twice", nil, []Event{Headers{1, []Field{{":status", "200"}, {":status", "200"}}, true}}, "1 reset"},
		{"status late", nil, []Event{Headers{1, []Field{{"a", "b"}, {":status", "200"}}, true}}, "1 reset"},
		{"upper case", nil, []Event{answer(1, true, "Content-Type", "x")}, "1 reset"},
		{"connection-specific", nil, []Event{answer(1, true, "transfer-encoding", "chunked")}, "1 reset"},
		{"101", nil, []Event{Headers{1, []Field{{":status", "101"}}, false}}, "1 reset"},
		{"an interim answer that ends it", nil, []Event{Headers{1, []Field{{":status", "100"}}, true}}, "1 reset"},
		{"less than its length", nil, []Event{answer(1, false, "content-length", "3"), Data{Stream: 1, Bytes: []byte("ok"), End: true}}, "1 reset"},
		{"more than its length", nil, []Event{answer(1, false, "content-length", "1"), Data{Stream: 1, Bytes: []byte("ok"), End: true}}, "1 reset"},
		{"two lengths", nil, []Event{answer(1, false, "content-length", "1", "content-length", "2")}, "1 reset"},
		{"a length that is none", nil, []Event{answer(1, false, "content-length", "+1")}, "1 reset"},
		{"longer than is taken", nil, []Event{answer(1, false, "content-length", "70000")}, "1 reset"},
		{"data before the head", nil, []Event{Data{Stream: 1, Bytes: []byte("x")}}, "1 reset"},
		{"a trailer that does not end it", nil, []Event{answer(1, false), Headers{1, []Field{{"a", "b"}}, false}}, "1 reset"},
		{"a trailer with a status", nil, []Event{answer(1, false), Headers{1, []Field{{":status", "200"}}, true}}, "1 reset"},
		{"more than its window", nil, []Event{answer(1, false), Data{Stream: 1, Bytes: make([]byte, 65537)}}, "1 reset"},
		{"a window of its own too far", nil, []Event{WindowUpdate{1, maxWindow}}, "1 reset"},
		{"a window update of nothing", nil, []Event{WindowUpdate{1, 0}}, "1 reset"},
		{"malformed by the framer", nil, []Event{Malformed{1, codeProtocol}}, "1 reset"},
		{"an answer before the request is whole", body, []Event{answer(1, true)}, "1 answered"},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := talk(t, Config{}, Settings{InitialWindow: u(20_000)})
			k.Request(0, get, c.body, false)
			var l []Action
			for _, e := range c.events {
				l = append(l, k.Handle(0, e)...)
			}
			if f := failed(l); f != "" {
				t.Fatalf("the connection failed: %s", f)
			}
			if got := ends(l); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
			if k.Open() != 0 {
				t.Errorf("%d streams are kept", k.Open())
			}
		})
	}
}

// TestConnectionErrors: what ends the whole connection, and that all that was written may have run.
func TestConnectionErrors(t *testing.T) {
	for name, e := range map[string]Event{
		"a stream that was not opened": answer(3, true), "one of the server's": Data{Stream: 2, Bytes: []byte("x")},
		"a reset of one that was not opened": ResetFrame{9, 0}, "a window of one that was not opened": WindowUpdate{9, 1},
		"a push": Other{Push: true}, "a frame size too small": Settings{MaxFrame: u(100)}, "an initial window too large": Settings{InitialWindow: u(1 << 31)},
		"a window update of nothing": WindowUpdate{0, 0}, "a window too far": WindowUpdate{0, maxWindow},
	} {
		k := talk(t, Config{}, Settings{})
		k.Request(0, get, nil, false)
		l := k.Handle(0, e)
		if failed(l) == "" {
			t.Errorf("%s: no error", name)
		}
		if got := ends(k.Close()); got != "1 lost" {
			t.Errorf("%s: %q", name, got)
		}
	}
	k, _ := New(0, Config{})
	if l := k.Handle(0, Ping{}); failed(l) == "" {
		t.Error("a first frame that is no SETTINGS is taken")
	}
	k = talk(t, Config{}, Settings{})
	k.Request(0, get, nil, false)
	k.Request(0, get, nil, false)
	if got := ends(k.Close(3)); got != "1 lost, 3 not written" {
		t.Errorf("with a write that did not succeed: %q", got)
	}
}

// GOAWAY with 50 streams out, half above its last: that half never ran, the other half goes on.
func TestGoAwayHalf(t *testing.T) {
	k := talk(t, Config{}, Settings{})
	for range 50 {
		k.Request(0, get, nil, false)
	}
	l := k.Handle(0, GoAway{Last: 49})
	if n := strings.Count(ends(l), "above"); n != 25 {
		t.Errorf("%d streams never ran", n)
	}
	if k.StreamsAvailable() != 0 || !k.Closing() || k.Open() != 25 {
		t.Errorf("room %d, over %v, %d open", k.StreamsAvailable(), k.Closing(), k.Open())
	}
	if got := ends(k.Handle(0, answer(49, true))); got != "49 answered" {
		t.Errorf("a stream below: %q", got)
	}
	if got := strings.Count(ends(k.Close()), "lost"); got != 24 {
		t.Errorf("%d lost at the end", got)
	}
}

// Floods end the connection at a bounded cost.
func TestFloods(t *testing.T) {
	for name, e := range map[string]Event{"ping": Ping{}, "settings": Settings{}, "windows of one byte": WindowUpdate{0, 1}, "empty data of no stream": Data{Stream: 1}, "unknown": Other{}} {
		k := talk(t, Config{}, Settings{})
		k.Request(0, get, nil, false)
		k.Cancel(0, 1)
		n := 0
		for ; n < 10_000 && failed(k.Handle(0, e)) == ""; n++ {
		}
		if n < 100 || n > maxFramesWithoutProgress+2 {
			t.Errorf("%s: it ended after %d", name, n)
		}
	}
	k := talk(t, Config{}, Settings{})
	k.Request(0, get, nil, false)
	k.Handle(0, answer(1, false))
	n, got := 0, ""
	for ; n < 1000 && got == ""; n++ {
		got = ends(k.Handle(0, Data{Stream: 1}))
	}
	if got != "1 reset" || n > maxEmptyFrames+2 {
		t.Errorf("empty data: %q after %d", got, n)
	}
}

// A request that must not run twice waits, on a quiet connection, until the server shows that it is there; those
// behind it wait, too, for streams begin in order.
func TestCarefulWaits(t *testing.T) {
	k := talk(t, Config{Quiet: time.Second}, Settings{})
	began := func(l []Action) (n int) {
		for _, a := range l {
			if _, is := a.(WriteHeaders); is {
				n++
			}
		}
		return n
	}
	_, l := k.Request(2*time.Second, get, []byte("x"), true)
	ping, is := l[0].(WritePing)
	if !is || began(l) != 0 {
		t.Fatalf("%v", l)
	}
	if _, l := k.Request(2*time.Second, get, nil, false); began(l) != 0 {
		t.Errorf("one behind it was begun: %v", l)
	}
	if l := k.Handle(2*time.Second, Ping{Ack: true}); began(l) != 0 {
		t.Error("the answer to another PING was taken")
	}
	if l := k.Handle(2*time.Second, Ping{Ack: true, Data: ping.Data}); began(l) != 2 {
		t.Errorf("after the answer: %v", l)
	}
	if _, l := k.Request(2500*time.Millisecond, get, nil, true); began(l) != 1 {
		t.Errorf("on a connection that was heard: %v", l)
	}
	// A connection that is gone has had nothing of it.
	k = talk(t, Config{Quiet: time.Second}, Settings{})
	k.Request(2*time.Second, get, nil, true)
	k.Request(2*time.Second, get, nil, false)
	if got := ends(k.Close()); got != "1 not written, 3 not written" {
		t.Errorf("%q", got)
	}
	k = talk(t, Config{Quiet: time.Second}, Settings{})
	k.Request(2*time.Second, get, nil, true)
	k.Request(2*time.Second, get, nil, false)
	if l := k.Cancel(2*time.Second, 1); ends(l) != "1 not written" || began(l) != 1 {
		t.Errorf("the first one was given up: %v", l)
	}
}

// TestWindowsProperty: whatever windows and settings come, no more is sent than they allow, every byte of a body is
// sent once and in order, no stream ends twice, and none is kept.
func TestWindowsProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := talk(t, Config{MaxStreams: 5}, Settings{InitialWindow: u(uint32(rapid.IntRange(0, 100).Draw(t, "initial")))})
		type state struct {
			body, sent   int
			window       int64
			begun, ended bool
		}
		streams := map[uint32]*state{}
		initial, conn := k.initialSendWindow, int64(defaultWindow)
		open := func() (l []uint32) {
			for id, s := range streams {
				if !s.ended {
					l = append(l, id)
				}
			}
			return l
		}
		last, closed := uint32(0), false
		check := func(l []Action) {
			for _, a := range l {
				switch a := a.(type) {
				case WriteHeaders:
					if a.Stream <= last {
						t.Fatalf("stream %d begins after %d", a.Stream, last)
					}
					last = a.Stream
					streams[a.Stream].begun = true
				case WriteData:
					s := streams[a.Stream]
					s.sent += len(a.Bytes)
					s.window -= int64(len(a.Bytes))
					conn -= int64(len(a.Bytes))
					if !s.begun || s.window < 0 || conn < 0 || s.sent > s.body || a.End != (s.sent == s.body) || len(a.Bytes) == 0 {
						t.Fatalf("%+v writes %d bytes, %d left of the connection", *s, len(a.Bytes), conn)
					}
				case Done:
					if streams[a.Stream].ended {
						t.Fatalf("stream %d ends twice", a.Stream)
					}
					s := streams[a.Stream]
					s.ended = true
					if a.Ending == NotWritten && s.begun && s.sent == s.body {
						t.Fatalf("stream %d was written whole", a.Stream)
					}
					if (a.Ending == ConnectionLost || a.Ending == Cancelled) && s.sent < s.body {
						t.Fatalf("stream %d ends as %v with %d of %d bytes sent", a.Stream, a.Ending, s.sent, s.body)
					}
				case Fail:
					closed = true
				}
			}
		}
		pick := func(t *rapid.T) uint32 {
			l := open()
			if len(l) == 0 {
				t.Skip("none is open")
			}
			return rapid.SampledFrom(l).Draw(t, "stream")
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				if k.StreamsAvailable() == 0 {
					t.Skip("no room")
				}
				n := rapid.IntRange(0, 200).Draw(t, "body")
				streams[k.nextID] = &state{body: n, window: initial}
				_, l := k.Request(k.now, get, make([]byte, n), rapid.Bool().Draw(t, "careful"))
				check(l)
			},
			"time": func(t *rapid.T) { k.now += time.Second },
			"settings": func(t *rapid.T) {
				to := int64(rapid.IntRange(0, 150).Draw(t, "initial"))
				if !closed {
					for _, s := range streams {
						if !s.ended {
							s.window += to - initial
						}
					}
					initial = to
				}
				check(k.Handle(k.now, Settings{InitialWindow: u(uint32(to)), MaxStreams: u(uint32(rapid.IntRange(0, 6).Draw(t, "streams")))}))
			},
			"window": func(t *rapid.T) {
				id, n := pick(t), rapid.IntRange(1, 100).Draw(t, "add")
				if !closed {
					streams[id].window += int64(n)
				}
				check(k.Handle(k.now, WindowUpdate{id, uint32(n)}))
			},
			"ping": func(t *rapid.T) {
				var data [8]byte
				data[0] = byte(rapid.IntRange(0, int(k.lastPing)).Draw(t, "which"))
				check(k.Handle(k.now, Ping{Ack: true, Data: data}))
			},
			"answer": func(t *rapid.T) {
				id := pick(t)
				if !streams[id].begun {
					t.Skip("not begun")
				}
				check(k.Handle(k.now, answer(id, rapid.Bool().Draw(t, "end"))))
			},
			"data": func(t *rapid.T) {
				id := pick(t)
				if !streams[id].begun {
					t.Skip("not begun")
				}
				check(k.Handle(k.now, Data{Stream: id, Bytes: make([]byte, rapid.IntRange(0, 300).Draw(t, "n")), End: rapid.Bool().Draw(t, "end")}))
			},
			"reset": func(t *rapid.T) {
				check(k.Handle(k.now, ResetFrame{pick(t), uint32(rapid.IntRange(0, 8).Draw(t, "code"))}))
			},
			"cancel": func(t *rapid.T) { check(k.Cancel(k.now, pick(t))) },
			"goaway": func(t *rapid.T) {
				check(k.Handle(k.now, GoAway{Last: uint32(rapid.IntRange(0, 30).Draw(t, "last"))}))
			},
			"": func(t *rapid.T) {
				if n := len(open()); n != k.Open() {
					t.Fatalf("%d streams are open, it holds %d", n, k.Open())
				}
				if len(k.sendOrder) > k.Open()+5 || len(k.awaitingPing) > int(k.lastPing) {
					t.Fatalf("it keeps %d of bodies, %d of PINGs", len(k.sendOrder), len(k.awaitingPing))
				}
			},
		})
		check(k.Close())
		if n := len(open()); n != 0 {
			t.Fatalf("%d streams never ended", n)
		}
	})
}

func FuzzHandle(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11})
	f.Add([]byte{4, 0, 1, 1, 200, 2, 1, 9, 3, 1, 7})
	f.Fuzz(func(t *testing.T, text []byte) {
		k := talk(t, Config{MaxStreams: 3}, Settings{})
		open := map[uint32]bool{}
		done := func(l []Action) {
			for _, a := range l {
				if d, is := a.(Done); is {
					if !open[d.Stream] {
						t.Fatalf("stream %d ends, and was not open", d.Stream)
					}
					delete(open, d.Stream)
				}
			}
		}
		for i := 0; i+2 < len(text); i += 3 {
			id, n := uint32(text[i+1]%8), uint32(text[i+2])
			if k.StreamsAvailable() > 0 {
				s, l := uint32(0), []Action(nil)
				if i%2 == 0 {
					s, l = k.Request(k.now, get, make([]byte, n), n%2 == 0)
				} else {
					s, l = k.RequestStreamed(k.now, get, make([]byte, n), n%2 == 0, n%3 > 0)
				}
				open[s] = true
				done(l)
			}
			done(k.Consumed(k.now, id, int(n)))
			done(k.Append(k.now, id, make([]byte, n), n%4 == 0))
			fields := []Field{{":status", fmt.Sprint(n * 4)}, {"content-length", fmt.Sprint(n % 7)}, {string(text[i : i+1]), "x"}}
			done(k.Handle(k.now, []Event{
				Settings{InitialWindow: &n, MaxStreams: &id},
				Headers{id, fields[:n%4%3+1], n > 128},
				Data{id, make([]byte, n), int(n), n > 128},
				ResetFrame{id, n % 16},
				GoAway{id, n},
				WindowUpdate{id, n << 20},
				Ping{Ack: n%2 == 0, Data: [8]byte{byte(id)}},
				Malformed{id, n},
				Other{Push: n == 7},
			}[text[i]%9]))
		}
		done(k.Close())
		if len(open) > 0 {
			t.Fatalf("%d streams never ended", len(open))
		}
	})
}

// A streamed answer is told as it comes, and its window opened as it is taken: a server never has more than MaxBody
// bytes of it on the way, and one that sends more than it may is reset.
func TestStreamedAnswer(t *testing.T) {
	c, _ := New(0, Config{MaxBody: 1000})
	c.Handle(0, Settings{})
	id, _ := c.RequestStreamed(0, []Field{{":method", "POST"}}, []byte("x"), false, false)
	if l := c.Handle(0, Headers{Stream: id, Fields: []Field{{":status", "200"}, {"content-type", "a"}}}); len(l) != 0 {
		t.Errorf("the header alone begins nothing: %+v", l)
	}
	l := c.Handle(0, Data{Stream: id, Bytes: make([]byte, 900)})
	if len(l) != 2 || l[0].(Began).Answer.Header[0].Value != "a" || len(l[1].(BodyChunk).Bytes) != 900 {
		t.Fatalf("the first piece: %+v", l)
	}
	if l := c.Consumed(0, id, 200); len(l) != 0 {
		t.Errorf("a grain is 250 bytes: %+v", l)
	}
	if l := c.Consumed(0, id, 100); len(l) != 1 || l[0].(WriteWindowUpdate) != (WriteWindowUpdate{id, 300}) {
		t.Errorf("a grain is 250 bytes: %+v", l)
	}
	if l := c.Handle(0, Data{Stream: id, Bytes: make([]byte, 400)}); len(l) != 1 || len(l[0].(BodyChunk).Bytes) != 400 {
		t.Errorf("what the window allows: %+v", l)
	}
	l = c.Handle(0, Data{Stream: id, Bytes: make([]byte, 1)})
	if len(l) != 2 || l[0].(WriteReset) != (WriteReset{id, codeFlowControl}) || l[1].(Done).Ending != Reset {
		t.Errorf("a byte more: %+v", l)
	}
	if l := c.Consumed(0, id, 900); len(l) != 0 {
		t.Errorf("taken after its end: %+v", l)
	}
	// It ends with its trailer, and a length that was told is kept to.
	id, _ = c.RequestStreamed(0, []Field{{":method", "POST"}}, []byte("x"), false, false)
	c.Handle(0, Headers{Stream: id, Fields: []Field{{":status", "200"}}})
	c.Handle(0, Data{Stream: id, Bytes: []byte("abc")})
	l = c.Handle(0, Headers{Stream: id, Fields: []Field{{"grpc-status", "0"}}, End: true})
	if d, is := l[len(l)-1].(Done); !is || d.Ending != Answered || len(d.Answer.Trailer) != 1 || d.Answer.Body != nil {
		t.Errorf("the end: %+v", l)
	}
	id, _ = c.RequestStreamed(0, []Field{{":method", "POST"}}, []byte("x"), false, false)
	c.Handle(0, Headers{Stream: id, Fields: []Field{{":status", "200"}, {"content-length", "5"}}})
	c.Handle(0, Data{Stream: id, Bytes: []byte("abc")})
	l = c.Handle(0, Headers{Stream: id, Fields: []Field{{"grpc-status", "0"}}, End: true})
	if d, is := l[len(l)-1].(Done); !is || d.Ending != Reset {
		t.Errorf("three bytes of five: %+v", l)
	}
}

// An open request goes on part by part, within its windows, until its last one. It may have run from its first part on.
func TestOpenRequest(t *testing.T) {
	five := uint32(5)
	start := func() (*Conn, uint32, []Action) {
		c, _ := New(0, Config{})
		c.Handle(0, Settings{InitialWindow: &five})
		id, l := c.RequestStreamed(0, []Field{{":method", "POST"}}, []byte("abc"), false, true)
		return c, id, l
	}
	c, id, l := start()
	if len(l) != 3 || l[0].(WriteHeaders).End || l[1].(WriteData).End || l[2].(Sent).Stream != id {
		t.Fatalf("the first part: %+v", l)
	}
	if l = c.Append(0, id, []byte("defg"), false); len(l) != 1 || string(l[0].(WriteData).Bytes) != "de" {
		t.Errorf("what the window allows: %+v", l)
	}
	if l = c.Handle(0, WindowUpdate{id, 10}); len(l) != 2 || string(l[0].(WriteData).Bytes) != "fg" || l[0].(WriteData).End || l[1].(Sent).Stream != id {
		t.Errorf("the rest: %+v", l)
	}
	if l = c.Append(0, id, nil, true); len(l) != 1 || !l[0].(WriteData).End {
		t.Errorf("the end: %+v", l)
	}
	if l = c.Append(0, id, []byte("x"), true); len(l) != 0 {
		t.Errorf("after the end: %+v", l)
	}
	c.Handle(0, Headers{Stream: id, Fields: []Field{{":status", "200"}}, End: true})

	c, id, _ = start()
	if l = c.Cancel(0, id); l[len(l)-1].(Done).Ending != Cancelled { // the server may have begun with its first part
		t.Errorf("given up before its end: %+v", l)
	}
	c, id, _ = start()
	if l = c.Close(id); l[len(l)-1].(Done).Ending != ConnectionLost {
		t.Errorf("lost before its end: %+v", l)
	}
	c, id, _ = start() // an answer may be whole before the request is
	l = c.Handle(0, Headers{Stream: id, Fields: []Field{{":status", "200"}}, End: true})
	if len(l) != 2 || l[0].(WriteReset) != (WriteReset{id, codeNoError}) || l[1].(Done).Ending != Answered {
		t.Errorf("an early answer: %+v", l)
	}
}
