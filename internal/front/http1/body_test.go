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

// writer is a ResponseWriter whose deadlines can be set.
type writer struct{ *httptest.ResponseRecorder }

func (writer) SetReadDeadline(time.Time) error { return nil }
func (writer) EnableFullDuplex() error         { return nil }

// A body whose end comes early is not whole, also where the library tells so together with its last bytes; one that ends
// as it should is.
func TestReadBody(t *testing.T) {
	long := strings.Repeat("x", message.MaxBody)
	for name, c := range map[string]struct {
		text  string
		want  string
		whole bool
		more  bool
	}{
		"chunks":          {"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", "hi", true, false},
		"no chunk":        {"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "", true, false},
		"within a chunk":  {"Transfer-Encoding: chunked\r\n\r\n5\r\nhi", "", false, false},
		"after a chunk":   {"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n", "", false, false},
		"length":          {"Content-Length: 2\r\n\r\nhi", "hi", true, false},
		"short of length": {"Content-Length: 3\r\n\r\nhi", "", false, false},
		"longest kept":    {"Content-Length: 65536\r\n\r\n" + long, long, true, false},
		"longer":          {"Content-Length: 65537\r\n\r\n" + long, long, true, true},
		"longer chunk":    {"Transfer-Encoding: chunked\r\n\r\n10001\r\n" + long, long, true, true},
	} {
		hr, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST / HTTP/1.1\r\nHost: a\r\n" + c.text)))
		if err != nil {
			t.Fatal(err)
		}
		out := &message.Request{}
		k := &call{Call: engine.Call{Payload: out}}
		refusal := (&Front{Speech: platformProtocol{}}).readBody(writer{httptest.NewRecorder()}, hr, k)
		if (refusal == nil) != c.whole || c.whole && string(out.Body) != c.want || (out.More != nil) != c.more || k.Arriving != c.more {
			t.Errorf("%s: %+v, %d bytes, more: %v", name, refusal, len(out.Body), out.More != nil)
		}
	}
}

// Only the time that a caller is waited for counts, and what it has sent earns it more.
func TestPaced(t *testing.T) {
	rc := http.NewResponseController(writer{httptest.NewRecorder()})
	p := &pacedBody{rc: rc, body: strings.NewReader("abc"), waited: bodySlack + time.Second}
	if _, err := p.Read(make([]byte, 1)); !errors.Is(err, errSlow) {
		t.Errorf("over its time: %v", err)
	}
	p.received = 2 * minBodyRate
	if n, err := p.Read(make([]byte, 3)); n != 3 || err != nil {
		t.Errorf("with more sent: %d, %v", n, err)
	}
	if _, err := p.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("at the end: %v", err)
	}
}
