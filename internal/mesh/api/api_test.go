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

// serve sends a POST request with a body to a handler and returns the recorded response.
func serve(handler http.HandlerFunc, body io.Reader) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	handler(w, httptest.NewRequest(http.MethodPost, "/path", body))
	return w
}

func TestHandler(t *testing.T) {
	type request struct{ A int }
	type response struct{ B int }
	handler := NewHandler(20, time.Minute, func(_ context.Context, _ *http.Request, r request) (response, error) {
		switch r.A {
		case 1:
			return response{}, errors.Annotate(NewError(http.StatusConflict, "not twice"), "call")
		case 2:
			return response{}, NewError(http.StatusServiceUnavailable, "later")
		case 3:
			return response{}, errors.New("broken")
		}
		return response{r.A}, nil
	})
	for name, test := range map[string]struct {
		body   string
		status int
		want   string // prefix of the response body
	}{
		"response":          {`{"A":7}`, 200, `{"B":7}`},
		"wrapped error":     {`{"A":1}`, 409, `{"ErrorText":"not twice"}`},
		"unavailable":       {`{"A":2}`, 503, `{"ErrorText":"later"}`},
		"plain error":       {`{"A":3}`, 500, `{"ErrorText":"broken"}`},
		"malformed body":    {`{"A":`, 400, `{"ErrorText":"`},
		"body is too large": {`{"A":1111111111111111}`, 413, `{"ErrorText":"`},
	} {
		t.Run(name, func(t *testing.T) {
			w := serve(handler, strings.NewReader(test.body))
			assert.Equal(t, w.Code, test.status)
			assert.Assert(t, strings.HasPrefix(w.Body.String(), test.want), w.Body.String())
			assert.Equal(t, w.Header().Get("Retry-After") != "", test.status == http.StatusServiceUnavailable)
			assert.Equal(t, w.Header().Get("Content-Type"), "application/json")
		})
	}
}

func TestEmptyAndRawBodies(t *testing.T) {
	empty := NewHandler(20, time.Minute, func(context.Context, *http.Request, Empty) (Empty, error) { return Empty{}, nil })
	assert.Equal(t, serve(empty, strings.NewReader("ignored")).Body.String(), "{}")
	echo := NewHandler(20, time.Minute, func(_ context.Context, _ *http.Request, body RawBody) (RawBody, error) { return body, nil })
	assert.Equal(t, serve(echo, strings.NewReader("as it is")).Body.String(), "as it is")
}

// slowBody is a request body of which each read is delayed.
type slowBody struct {
	io.Reader
	delay time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	time.Sleep(b.delay)
	return b.Reader.Read(p)
}

// The timeout of a handler starts when the request body is complete, so a slow upload does not shorten it.
func TestHandlerTimeoutStartsAfterBody(t *testing.T) {
	const timeout = 100 * time.Millisecond
	handler := NewHandler(20, timeout, func(ctx context.Context, _ *http.Request, _ RawBody) (Empty, error) {
		if ctx.Err() != nil {
			return Empty{}, NewError(http.StatusServiceUnavailable, "no time is left")
		}
		return Empty{}, nil
	})
	w := serve(handler, &slowBody{strings.NewReader("call"), 2 * timeout})
	assert.Equal(t, w.Code, http.StatusOK)
}

// The timeout grows with the size of the body, from the base timeout of an empty one.
func TestTimeoutFor(t *testing.T) {
	assert.Equal(t, TimeoutFor(time.Second, 0), time.Second)
	assert.Equal(t, TimeoutFor(time.Second, 1000), time.Second+4*time.Millisecond)
	assert.Equal(t, TimeoutFor(time.Second, 4<<20), time.Second+16777216*time.Microsecond)
}

// A redirect has status 307, with which the caller repeats the same method and body, and the target in the Location header.
func TestRedirect(t *testing.T) {
	const target = "http://10.0.0.4:8080/path"
	handler := NewHandler(20, time.Minute, func(context.Context, *http.Request, RawBody) (Empty, error) { return Empty{}, Redirect(target) })
	w := serve(handler, strings.NewReader("call"))
	assert.Equal(t, w.Code, http.StatusTemporaryRedirect)
	assert.Equal(t, w.Header().Get("Location"), target)
}
