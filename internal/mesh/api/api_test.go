package api

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

func TestHandle(t *testing.T) {
	type call struct{ A int }
	type told struct{ B int }
	h := NewHandler(20, time.Minute, func(_ context.Context, _ *http.Request, c call) (told, error) {
		switch c.A {
		case 1:
			return told{}, errors.Annotate(NewError(http.StatusConflict, "not twice"), "call")
		case 2:
			return told{}, NewError(http.StatusServiceUnavailable, "later")
		}
		return told{c.A}, nil
	})
	for body, want := range map[string]string{`{"A":7}`: `200 {"B":7}`, `{"A":1}`: `409 {"ErrorText":"not twice"}`, `{"A":2}`: `503 {"ErrorText":"later"}`,
		`{"A":`: "400 ", `{"A":1111111111111111}`: "413 "} {
		w := httptest.NewRecorder()
		h(w, httptest.NewRequest("POST", "/", strings.NewReader(body)))
		got := strings.TrimSpace(http.StatusText(w.Code))
		assert.Assert(t, got != "")
		line := strings.Join([]string{w.Result().Status[:3], w.Body.String()}, " ")
		assert.Assert(t, strings.HasPrefix(line, want), line)
		assert.Assert(t, (w.Header().Get("Retry-After") != "") == (w.Code == 503))
	}
}

// slowBody is a body that comes only once so much time has passed.
type slowBody struct {
	io.Reader
	after time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	<-time.After(b.after)
	return b.Reader.Read(p)
}

// The time that a call is given runs from when it has come whole: one that takes long to come is answered as any other.
func TestSlowBody(t *testing.T) {
	const within = 100 * time.Millisecond
	h := NewHandler(20, within, func(ctx context.Context, _ *http.Request, _ RawBody) (Empty, error) {
		if ctx.Err() != nil {
			return Empty{}, NewError(http.StatusServiceUnavailable, "no time is left")
		}
		return Empty{}, nil
	})
	w := httptest.NewRecorder()
	h(w, httptest.NewRequest("POST", "/", &slowBody{strings.NewReader("call"), 2 * within}))
	assert.Equal(t, w.Code, http.StatusOK)
}

// A small call has its time, and a large one more of it in proportion.
func TestTimeFor(t *testing.T) {
	assert.Equal(t, TimeoutFor(time.Second, 0), time.Second)
	assert.Equal(t, TimeoutFor(time.Second, 1000), time.Second+4*time.Millisecond)
	assert.Equal(t, TimeoutFor(time.Second, 4<<20), time.Second+16777216*time.Microsecond)
}

// A caller that is sent to another address follows with the same call: the answer says where, and is no other redirect.
func TestElsewhere(t *testing.T) {
	const target = "http://10.0.0.4:8080/path"
	h := NewHandler(20, time.Minute, func(context.Context, *http.Request, RawBody) (Empty, error) { return Empty{}, Redirect(target) })
	w := httptest.NewRecorder()
	h(w, httptest.NewRequest("POST", "/path", strings.NewReader("call")))
	assert.Equal(t, w.Code, http.StatusTemporaryRedirect)
	assert.Equal(t, w.Header().Get("Location"), target)
}
