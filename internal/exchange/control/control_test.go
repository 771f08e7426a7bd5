package control

import (
	"context"
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
	h := Handle(20, time.Minute, func(_ context.Context, _ *http.Request, c call) (told, error) {
		switch c.A {
		case 1:
			return told{}, errors.Annotate(Fault(http.StatusConflict, "not twice"), "call")
		case 2:
			return told{}, Fault(http.StatusServiceUnavailable, "later")
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
