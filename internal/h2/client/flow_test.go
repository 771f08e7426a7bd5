package client

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// With any sequence of SETTINGS, WINDOW_UPDATE and other frames: no more is sent than the windows allow, no byte of a body is
// sent twice, streams are opened in order, each stream ends once, and no state of it remains.
func TestFlowControlProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		conn := newTestConn(t,
			Config{MaxStreams: 5},
			Settings{InitialWindow: uint32Ptr(uint32(rapid.IntRange(0, 100).Draw(t, "initial")))})
		type state struct {
			body, sent    int
			window        int64
			opened, ended bool
			answered      bool // the server has begun to respond
		}
		streams := map[uint32]*state{}
		initial, connWindow := conn.initialSendWindow, int64(defaultWindow)
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
						t.Fatalf("stream %d is opened after %d", a.Stream, last)
					}
					last = a.Stream
					streams[a.Stream].opened = true
				case WriteData:
					s := streams[a.Stream]
					s.sent += len(a.Bytes)
					s.window -= int64(len(a.Bytes))
					connWindow -= int64(len(a.Bytes))
					if !s.opened || s.window < 0 || connWindow < 0 || s.sent > s.body || a.End != (s.sent == s.body) || len(a.Bytes) == 0 {
						t.Fatalf("%+v writes %d bytes, connection window %d", *s, len(a.Bytes), connWindow)
					}
				case Done:
					if streams[a.Stream].ended {
						t.Fatalf("stream %d ends twice", a.Stream)
					}
					s := streams[a.Stream]
					s.ended = true
					if a.Ending == NotWritten && s.opened && s.sent == s.body {
						t.Fatalf("stream %d was written completely", a.Stream)
					}
					if (a.Ending == NotWritten || a.Ending == Refused || a.Ending == AboveGoAway) && s.answered {
						t.Fatalf("stream %d ends as %v, though the server has begun to respond", a.Stream, a.Ending)
					}
					if (a.Ending == ConnectionLost || a.Ending == Cancelled) && s.sent < s.body && !s.answered {
						t.Fatalf("stream %d ends as %v with %d of %d bytes sent", a.Stream, a.Ending, s.sent, s.body)
					}
				case ConnectionError:
					closed = true
				}
			}
		}
		pick := func(t *rapid.T) uint32 {
			l := open()
			if len(l) == 0 {
				t.Skip("no stream is open")
			}
			return rapid.SampledFrom(l).Draw(t, "stream")
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				if conn.StreamsAvailable() == 0 {
					t.Skip("no stream available")
				}
				n := rapid.IntRange(0, 200).Draw(t, "body")
				streams[conn.nextID] = &state{body: n, window: initial}
				_, l := conn.Request(conn.now, getFields, make([]byte, n), rapid.Bool().Draw(t, "pingFirst"))
				check(l)
			},
			"time": func(t *rapid.T) { conn.now += time.Second },
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
				check(conn.Handle(conn.now, Settings{
					InitialWindow: uint32Ptr(uint32(to)),
					MaxStreams:    uint32Ptr(uint32(rapid.IntRange(0, 6).Draw(t, "streams"))),
				}))
			},
			"window": func(t *rapid.T) {
				id, n := pick(t), rapid.IntRange(1, 100).Draw(t, "add")
				if !closed {
					streams[id].window += int64(n)
				}
				check(conn.Handle(conn.now, WindowUpdate{id, uint32(n)}))
			},
			"ping": func(t *rapid.T) {
				var data [8]byte
				data[0] = byte(rapid.IntRange(0, int(conn.lastPing)).Draw(t, "which"))
				check(conn.Handle(conn.now, Ping{Ack: true, Data: data}))
			},
			"answer": func(t *rapid.T) {
				id := pick(t)
				if !streams[id].opened {
					t.Skip("not opened")
				}
				if !closed {
					streams[id].answered = true
				}
				check(conn.Handle(conn.now, response(id, rapid.Bool().Draw(t, "end"))))
			},
			"data": func(t *rapid.T) {
				id := pick(t)
				if !streams[id].opened {
					t.Skip("not opened")
				}
				check(conn.Handle(conn.now, Data{
					Stream: id,
					Bytes:  make([]byte, rapid.IntRange(0, 300).Draw(t, "n")),
					End:    rapid.Bool().Draw(t, "end"),
				}))
			},
			"reset": func(t *rapid.T) {
				check(conn.Handle(conn.now, RSTStream{pick(t), uint32(rapid.IntRange(0, 8).Draw(t, "code"))}))
			},
			"cancel": func(t *rapid.T) { check(conn.Cancel(conn.now, pick(t))) },
			"goaway": func(t *rapid.T) {
				check(conn.Handle(conn.now, GoAway{Last: uint32(rapid.IntRange(0, 30).Draw(t, "last"))}))
			},
			"": func(t *rapid.T) {
				if n := len(open()); n != conn.Open() {
					t.Fatalf("%d streams are open, Open returns %d", n, conn.Open())
				}
				if len(conn.sendOrder) > conn.Open()+5 || len(conn.awaitingPing) > int(conn.lastPing) {
					t.Fatalf("%d entries of sendOrder, %d of awaitingPing", len(conn.sendOrder), len(conn.awaitingPing))
				}
			},
		})
		check(conn.Close())
		if n := len(open()); n != 0 {
			t.Fatalf("%d streams have not ended", n)
		}
	})
}

// With any sequence of frames and requests, each stream ends exactly once.
func FuzzHandle(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11})
	f.Add([]byte{4, 0, 1, 1, 200, 2, 1, 9, 3, 1, 7})
	f.Fuzz(func(t *testing.T, text []byte) {
		conn := newTestConn(t, Config{MaxStreams: 3}, Settings{})
		open := map[uint32]bool{}
		done := func(l []Action) {
			for _, a := range l {
				if d, ok := a.(Done); ok {
					if !open[d.Stream] {
						t.Fatalf("stream %d ends, but was not open", d.Stream)
					}
					delete(open, d.Stream)
				}
			}
		}
		for i := 0; i+2 < len(text); i += 3 {
			id, n := uint32(text[i+1]%8), uint32(text[i+2])
			if conn.StreamsAvailable() > 0 {
				s, l := uint32(0), []Action(nil)
				if i%2 == 0 {
					s, l = conn.Request(conn.now, getFields, make([]byte, n), n%2 == 0)
				} else {
					s, l = conn.RequestStreamed(conn.now, getFields, make([]byte, n), n%2 == 0, n%3 > 0)
				}
				open[s] = true
				done(l)
			}
			done(conn.Consumed(conn.now, id, int(n)))
			done(conn.Append(conn.now, id, make([]byte, n), n%4 == 0))
			fields := []Field{{
				Name:  ":status",
				Value: fmt.Sprint(n * 4),
			}, {
				Name:  "content-length",
				Value: fmt.Sprint(n % 7),
			}, {
				Name:  string(text[i : i+1]),
				Value: "x",
			}}
			done(conn.Handle(conn.now, []Event{
				Settings{InitialWindow: &n, MaxStreams: &id},
				Headers{id, fields[:n%4%3+1], n > 128},
				Data{id, make([]byte, n), int(n), n > 128},
				RSTStream{id, n % 16},
				GoAway{id, n},
				WindowUpdate{id, n << 20},
				Ping{Ack: n%2 == 0, Data: [8]byte{byte(id)}},
				Malformed{id, n},
				OtherFrame{Push: n == 7},
			}[text[i]%9]))
		}
		done(conn.Close())
		if len(open) > 0 {
			t.Fatalf("%d streams have not ended", len(open))
		}
	})
}
