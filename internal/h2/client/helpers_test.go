package client

import (
	"fmt"
	"strings"
)

func uint32Ptr(n uint32) *uint32 { return &n }

// newTestConn returns a connection whose server has sent these SETTINGS.
func newTestConn(t interface {
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

var getFields = []Field{{":method", "GET"}, {":path", "/"}}

// endings formats the stream ids and endings of the Done actions.
func endings(l []Action) string {
	var out []string
	for _, a := range l {
		if d, ok := a.(Done); ok {
			out = append(out, fmt.Sprintf("%d %v", d.Stream, d.Ending))
		}
	}
	return strings.Join(out, ", ")
}

// failure returns the text of the connection error among actions, or "" if there is none.
func failure(l []Action) string {
	for _, a := range l {
		if f, ok := a.(ConnectionError); ok {
			return f.Text
		}
	}
	return ""
}

// response returns the HEADERS of a response with the status 200 and these further field names and values.
func response(stream uint32, end bool, more ...string) Headers {
	h := Headers{Stream: stream, Fields: []Field{{":status", "200"}}, End: end}
	for i := 0; i < len(more); i += 2 {
		h.Fields = append(h.Fields, Field{more[i], more[i+1]})
	}
	return h
}
