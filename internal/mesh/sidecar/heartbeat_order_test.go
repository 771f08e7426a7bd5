package sidecar

import (
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/testkit"
)

// assertRecord checks the instance and the state in the record that was published last.
func (s *localServer) assertRecord(t *testing.T, id string, state directory.ServerState) {
	t.Helper()
	r := s.record()
	assert.Assert(t, r.ServerID == id && r.State == state, "%+v, want %q %v", r, id, state)
}

// CallSeq orders only the heartbeats of the same instance, and the next instance starts at a low number. Late heartbeats of the previous instance
// change nothing, whether it has deregistered or was replaced without deregistering.
func TestLateHeartbeatsOfPreviousInstance(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		t.Run(fmt.Sprintf("leaves=%v", leaves), func(t *testing.T) {
			s := newTestLocalServer(t)
			s.postHeartbeat(t, "i-1", "ready", 1<<40)
			if leaves {
				assert.Equal(t, s.postCall(t, "i-1/deregister", ""), http.StatusOK)
				s.postHeartbeat(t, "i-1", "ready", 1<<40+1)
				s.assertRecord(t, "", directory.ServerNone)
			}
			s.postHeartbeat(t, "i-2", "ready", 1)
			s.assertRecord(t, "i-2", directory.ServerReady)
			s.postHeartbeat(t, "i-1", "draining", 1<<40+2)
			s.assertRecord(t, "i-2", directory.ServerReady)
			s.postHeartbeat(t, "i-2", "draining", 2)
			s.postHeartbeat(t, "i-2", "ready", 1) // late
			s.postHeartbeat(t, "i-1", "ready", 1<<40+3)
			s.assertRecord(t, "i-2", directory.ServerDraining)
		})
	}
}

// CallSeq does not wrap around within an instance, so any lower number after the highest possible one belongs to a late heartbeat.
func TestHighestCallSeq(t *testing.T) {
	s := newTestLocalServer(t)
	s.postHeartbeat(t, "i-1", "ready", math.MaxInt64-1)
	s.postHeartbeat(t, "i-1", "draining", math.MaxInt64)
	s.assertRecord(t, "i-1", directory.ServerDraining)
	for _, late := range []int{math.MaxInt64 - 1, 1, 0} {
		s.postHeartbeat(t, "i-1", "ready", late)
		s.assertRecord(t, "i-1", directory.ServerDraining)
	}
}

// Heartbeats and deregister calls are acknowledged without waiting until the change is published: the test keeps the directory locked. The size of
// the acknowledgement is within what servers accept.
func TestAcknowledgementDoesNotWaitForDirectory(t *testing.T) {
	s, _, _ := newFollowingSidecar(t)
	s.directory.mu.Lock()
	defer s.directory.mu.Unlock()
	acknowledged := make(chan bool, 1)
	go func() {
		for n, call := range []string{"ready", "draining", "deregister", "ready"} {
			path, body := "i-1/heartbeat", fmt.Sprintf(`{"Address":"10.1.0.9:8080","OperStatus":{"State":%q,"CallSeq":%d}}`, call, n+1)
			if call == "deregister" {
				path, body = "i-1/deregister", ""
			}
			w := httptest.NewRecorder()
			s.localServer.handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/endpoints/"+path, strings.NewReader(body)))
			if w.Code != http.StatusOK || w.Body.Len() > maxAcknowledgementBytes {
				t.Errorf("%s: %d with %d bytes", call, w.Code, w.Body.Len())
			}
		}
		close(acknowledged)
	}()
	receivePromptly(t, "the acknowledgement waits for the directory", acknowledged)
}

// A server leaves by a deregister call, in one case after it has reported that it drains, and continues a running request for much longer than
// DrainS. The caller gets the response to that request, no new request reaches the server, and its later heartbeats do not change that.
func TestLeavingServerCompletesRunningRequests(t *testing.T) {
	const drainTime = 50 * time.Millisecond
	for _, drains := range []bool{false, true} {
		t.Run(fmt.Sprintf("drains=%v", drains), func(t *testing.T) {
			t.Parallel()
			x := startCallChain(t, 1)
			changed := *x.far[0].env.settings.Load()
			changed.Bounds.DrainS = settings.Seconds(drainTime.Seconds())
			x.far[0].Reload(changed)
			id := x.fakeServers[0].id
			running, proceed := make(chan *arrival, maxScriptedArrivals), make(chan struct{})
			x.attachServer(0, func(a *arrival) bool {
				a.readBody()
				x.history.recordRun(a.attemptID(), id)
				running <- a
				<-proceed
				a.succeed()
				return true
			})
			server := x.far[0].localServer
			addr := server.endpointOf(id).Addr
			answered := make(chan callerAnswer, 1)
			go func() { answered <- x.call(onceCall, "plain", "", testkit.Limit/2) }()
			receivePromptly(t, "the call never ran", running)
			if drains {
				x.heartbeat(0, addr, "draining", 3)
			} else {
				server.deregister(id)
			}
			for end := time.Now().Add(10 * drainTime); time.Now().Before(end); {
				x.heartbeat(0, addr, "ready", 2) // late
				x.heartbeat(0, addr, "draining", 4)
				server.checkHeartbeat(false)
				rejected := x.call(onceCall, "plain", "", drainTime)
				assert.Assert(t, rejected.Status == http.StatusServiceUnavailable, "%+v", rejected)
			}
			if drains {
				server.deregister(id)
			}
			assert.Equal(t, len(running), 0, "a request reached a server that is leaving")
			close(proceed)
			assert.Equal(t, receivePromptly(t, "the request that was running at the leaving server is not answered", answered).Status, http.StatusOK)
			x.heartbeat(0, addr, "ready", 5)
			server.assertRecord(t, "", directory.ServerNone)
			x.assertNoViolations()
		})
	}
}

// A late heartbeat of a former instance changes nothing, even if the sidecar has restarted since that instance ended and so does not remember it.
func TestLateHeartbeatAfterSidecarRestart(t *testing.T) {
	s := newTestLocalServer(t)
	s.postHeartbeat(t, "i-2", "ready", 7)
	s.postHeartbeat(t, "i-1", "ready", 900)
	s.postHeartbeat(t, "i-2", "ready", 8)
	s.assertRecord(t, "i-2", directory.ServerReady)
}
