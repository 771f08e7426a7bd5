package sidecar

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/directory"
)

// maxAcknowledgementBytes is the largest acknowledgement that a server accepts.
const maxAcknowledgementBytes = 4 << 10

// newTestLocalServer returns the localServer of a sidecar that was started long ago and has not received any heartbeat. The configuration is confirmed,
// and has no health checks for its service.
func newTestLocalServer(t *testing.T) *localServer {
	t.Helper()
	s := newRestartedLocalServer(t)
	s.instances.startedAt = time.Time{}
	return s
}

// newRestartedLocalServer is newTestLocalServer for a sidecar that has just been started.
func newRestartedLocalServer(t *testing.T) *localServer {
	t.Helper()
	s, _, _ := newFollowingSidecar(t)
	s.configurationConfirmed()
	return s.localServer
}

// postCall makes a call of a server, checks the acknowledgement, and returns the status.
func (o *localServer) postCall(t *testing.T, path, body string) int {
	t.Helper()
	w := httptest.NewRecorder()
	o.handler().ServeHTTP(w, httptest.NewRequest("POST", "/v1/endpoints/"+path, strings.NewReader(body)))
	if w.Code == http.StatusOK {
		assert.Assert(t, w.Body.Len() <= maxAcknowledgementBytes)
		assert.Assert(t, !strings.Contains(w.Body.String(), "HeartbeatTarget"), "the acknowledgement must not redirect heartbeats to another node")
	}
	return w.Code
}

// postHeartbeat makes a heartbeat call, which must succeed.
func (o *localServer) postHeartbeat(t *testing.T, id, state string, sequence int) {
	t.Helper()
	body := fmt.Sprintf(`{"Address":"10.1.0.9:8080","SystemInfo":{"Service":"stock","ConfigVersion":"v7","Zone":"a","SlotCount":6,"Later":1},
		"OperStatus":{"State":%q,"CallSeq":%d,"WarmupLeftS":2.5}}`, state, sequence)
	assert.Equal(t, o.postCall(t, id+"/heartbeat", body), http.StatusOK)
}

// A heartbeat updates the record of the local server. A malformed one is rejected.
func TestHeartbeat(t *testing.T) {
	o := newTestLocalServer(t)
	o.postHeartbeat(t, "i-1", "ready", 4)
	r := o.record()
	assert.Assert(t, r.ServerID == "i-1" && r.Service == "stock" && r.State == directory.ServerReady, "%+v", r)
	assert.Assert(t, r.Slots == 6 && r.Warmup == 2500*time.Millisecond, "%+v", r)
	assert.Equal(t, o.endpointOf("i-1").Addr, "10.1.0.9:8080")
	assert.Equal(t, o.postCall(t, "i-1/heartbeat", `{"OperStatus":{"State":"ready","CallSeq":5}}`), http.StatusBadRequest)
	assert.Equal(t, o.postCall(t, "i-1/heartbeat", `{"Address":`), http.StatusBadRequest)
	assert.Equal(t, o.postCall(t, "i-1/heartbeat", strings.Repeat(" ", 20<<10)), http.StatusRequestEntityTooLarge)
	assert.Equal(t, o.postCall(t, strings.Repeat("i", maxIDBytes+1)+"/heartbeat", `{"Address":"10.1.0.9:8080"}`), http.StatusBadRequest)
}

// The calls of a server may arrive in any order. An overtaken heartbeat changes nothing, a draining server does not become ready again, and heartbeats
// after the server has deregistered are ignored. The same applies if the sidecar restarts in between, except that it forgets the calls before; right after
// the restart it believes no call, since one that comes late may have been sent before the server deregistered.
func TestHeartbeatsInAllOrders(t *testing.T) {
	t.Parallel()
	type call struct {
		id, state string
		sequence  int
	}
	calls := []call{{"i-1", "ready", 1}, {"i-1", "ready", 2}, {"i-1", "draining", 3}, {"i-1", "left", 4}}
	orders := 0
	var permute func(done, left []call)
	permute = func(done, left []call) {
		if len(left) == 0 {
			orders++
			for variant := range 2 * len(done) {
				restart, isRecent := variant/2, variant%2 == 1
				o := newTestLocalServer(t)
				highest, gone, restarted := 0, false, false
				for n, c := range done {
					if n == restart && n > 0 {
						o, highest, gone, restarted = newTestLocalServer(t), 0, false, true
						if isRecent {
							o = newRestartedLocalServer(t)
						}
					}
					if c.state == "left" {
						assert.Equal(t, o.postCall(t, c.id+"/deregister", ""), http.StatusOK)
						gone = true
					} else {
						o.postHeartbeat(t, c.id, c.state, c.sequence)
						highest = max(highest, c.sequence)
					}
					want := directory.ServerReady
					switch {
					case gone || highest == 0 || restarted && isRecent:
						want = directory.ServerNone
					case highest == 3:
						want = directory.ServerDraining
					}
					assert.Equal(t, o.record().State, want, "%v, restarted before %d (recently: %t), after %d", done, restart, isRecent, n)
				}
			}
			return
		}
		for n, c := range left {
			permute(append(append([]call(nil), done...), c), append(append([]call(nil), left[:n]...), left[n+1:]...))
		}
	}
	permute(nil, calls)
	assert.Equal(t, orders, 24)

	o := newTestLocalServer(t)
	o.postHeartbeat(t, "i-1", "draining", 9)
	o.postHeartbeat(t, "i-2", "ready", 1) // the next instance, at the same address
	o.postHeartbeat(t, "i-1", "ready", 8)
	o.postHeartbeat(t, "i-1", "draining", 10)
	assert.Assert(t, o.record().ServerID == "i-2" && o.record().State == directory.ServerReady)
	assert.Equal(t, o.postCall(t, "i-1/deregister", ""), http.StatusOK)
	assert.Assert(t, o.record().ServerID == "i-2" && o.record().State == directory.ServerReady)
}
