package controlplane

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/settings"
)

// newTestMember returns the leader of a control plane with one member. Its loop runs until the test ends.
func newTestMember(t *testing.T) *Member {
	t.Helper()
	controller, leader := newTestController(t)
	m := &Member{loop: newEventLoop(), clock: *leader.clock, replica: leader.Replica}
	set := settings.Defaults()
	m.settings.Store(&set)
	m.maintenance = *controller
	m.policies = policyActivator{clock: leader.clock, replica: leader.Replica, survey: controller.survey, self: testAddress}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case task := <-m.loop.tasks:
				m.loop.runBatch(task)
				m.replica.ProcessReady()
			case <-m.loop.stopped:
				return
			}
		}
	}()
	t.Cleanup(func() {
		m.loop.stop()
		<-ended
	})
	return m
}

// Operators' scripts may still call the paths of the former release.
func TestAPIAnswersFormerPaths(t *testing.T) {
	handler := newAPIServer(newTestMember(t)).Handler
	for former, present := range map[string]string{"/v1/night": "/v1/maintenance", "/v1/rules": "/v1/policy"} {
		bodies := map[string]string{}
		for _, path := range []string{former, present} {
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader("{}")))
			assert.Equal(t, w.Code, http.StatusOK, path)
			assert.Assert(t, strings.Contains(w.Body.String(), `"leader":"`+testAddress+`"`), w.Body.String())
			bodies[path] = w.Body.String()
		}
		if former == "/v1/rules" { // the response of maintenance includes the time, so two of them differ
			assert.Equal(t, bodies[former], bodies[present])
		}
	}
}

func TestAPIModifiesAndFetches(t *testing.T) {
	handler := newAPIServer(newTestMember(t)).Handler
	call := func(method, path, body string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		return w
	}
	const services = `{"Upsert":{"UpstreamGroups":[{"Name":"stock","ConfigVersion":1}]}}`
	assert.Equal(t, call(http.MethodPost, PathModify, services).Code, http.StatusOK)
	assert.Equal(t, call(http.MethodPost, PathModify, `{"Upsert":1}`).Code, http.StatusBadRequest)
	fetched := call(http.MethodGet, PathFetch, "")
	assert.Equal(t, fetched.Code, http.StatusOK)
	assert.Assert(t, strings.Contains(fetched.Body.String(), `"stock"`), fetched.Body.String())
}
