package http1

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"cranegrade/internal/engine"
	"cranegrade/internal/message"
)

// deadlineWriter is a ResponseWriter whose deadlines can be set.
type deadlineWriter struct{ *httptest.ResponseRecorder }

func (deadlineWriter) SetReadDeadline(time.Time) error { return nil }
func (deadlineWriter) EnableFullDuplex() error         { return nil }

// A body that ends too early is rejected, even if net/http reports that together with its last bytes. A complete one is
// accepted, and a long one is buffered only in part.
func TestReadBody(t *testing.T) {
	long := strings.Repeat("x", message.MaxBody)
	for name, c := range map[string]struct {
		text     string
		want     string
		accepted bool
		isLonger bool
	}{
		"chunked": {
			text:     "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
			want:     "hi",
			accepted: true,
			isLonger: false,
		},
		"chunked, empty": {
			text:     "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
			want:     "",
			accepted: true,
			isLonger: false,
		},
		"cut off within a chunk": {
			text:     "Transfer-Encoding: chunked\r\n\r\n5\r\nhi",
			want:     "",
			accepted: false,
			isLonger: false,
		},
		"cut off after a chunk": {
			text:     "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n",
			want:     "",
			accepted: false,
			isLonger: false,
		},
		"declared length": {
			text:     "Content-Length: 2\r\n\r\nhi",
			want:     "hi",
			accepted: true,
			isLonger: false,
		},
		"cut off before the declared length": {
			text:     "Content-Length: 3\r\n\r\nhi",
			want:     "",
			accepted: false,
			isLonger: false,
		},
		"longest that is buffered": {
			text:     "Content-Length: 65536\r\n\r\n" + long,
			want:     long,
			accepted: true,
			isLonger: false,
		},
		"longer than that": {
			text:     "Content-Length: 65537\r\n\r\n" + long,
			want:     long,
			accepted: true,
			isLonger: true,
		},
		"longer than that, chunked": {
			text:     "Transfer-Encoding: chunked\r\n\r\n10001\r\n" + long,
			want:     long,
			accepted: true,
			isLonger: true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			hr, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST / HTTP/1.1\r\nHost: a\r\n" + c.text)))
			if err != nil {
				t.Fatal(err)
			}
			out := &message.Request{}
			received := &call{Call: engine.Call{Payload: out}}
			rejection := (&Front{Protocol: platformProtocol{}}).readBody(deadlineWriter{httptest.NewRecorder()}, hr, received)
			if (rejection == nil) != c.accepted || c.accepted && string(out.Body) != c.want {
				t.Errorf("%+v, %d bytes", rejection, len(out.Body))
			}
			if (out.BodyRest != nil) != c.isLonger || received.BodyIncomplete != c.isLonger {
				t.Errorf("the body continues: %v, the call has an incomplete body: %v", out.BodyRest != nil, received.BodyIncomplete)
			}
		})
	}
}

// Only the time spent waiting for the caller counts, and bytes that were received extend it.
func TestPacedBody(t *testing.T) {
	rc := http.NewResponseController(deadlineWriter{httptest.NewRecorder()})
	p := &pacedBody{rc: rc, body: strings.NewReader("abc"), waited: bodySlack + time.Second}
	if _, err := p.Read(make([]byte, 1)); !errors.Is(err, errTooSlow) {
		t.Errorf("after the time-out: %v", err)
	}
	p.received = 2 * minBodyRate
	if n, err := p.Read(make([]byte, 3)); n != 3 || err != nil {
		t.Errorf("with more bytes received: %d, %v", n, err)
	}
	if _, err := p.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("at the end: %v", err)
	}
}
