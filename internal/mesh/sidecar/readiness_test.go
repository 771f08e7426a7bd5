package sidecar

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"
)

func TestReadiness(t *testing.T) {
	for _, c := range []struct {
		name                           string
		configured, stopping, draining bool
		want                           int
	}{
		{"at the start", false, false, false, http.StatusServiceUnavailable},
		{"configured", true, false, false, http.StatusOK},
		{"stopping", true, true, false, http.StatusServiceUnavailable},
		{"in maintenance", true, false, true, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r readiness
			r.configured.Store(c.configured)
			r.stopping.Store(c.stopping)
			r.draining.Store(c.draining)
			w := httptest.NewRecorder()
			r.handler().ServeHTTP(w, httptest.NewRequest("GET", "/v1/readiness", nil))
			assert.Equal(t, w.Code, c.want)
		})
	}
}
