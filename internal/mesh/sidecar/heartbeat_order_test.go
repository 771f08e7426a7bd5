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

// assertServer checks which server the other sidecars are told of.
func (s *localServer) assertServer(t *testing.T, id string, state directory.ServerState) {
	t.Helper()
	r := s.record()
	assert.Assert(t, r.ServerID == id && r.State == state, "%+v, want %q %v", r, id, state)
}

// The CallSeq of an instance orders its own heartbeats alone: the next instance begins again at a low one, and what comes late of the instance
// before changes nothing, whether that has left, or was replaced without a word. The same holds if the instance moves to another address.
func TestHeartbeatsOfTheNextInstance(t *testing.T) {
	for _, leaves := range []bool{false, true} {
		t.Run(fmt.Sprintf("leaves=%v", leaves), func(t *testing.T) {
			s := newTestLocalServer(t)
			s.postHeartbeat(t, "i-1", "ready", 1<<40)
			if leaves {
				assert.Equal(t, s.postCall(t, "i-1/deregister", ""), http.StatusOK)
				s.postHeartbeat(t, "i-1", "ready", 1<<40+1)
				s.assertServer(t, "", directory.ServerNone)
			}
			s.postHeartbeat(t, "i-2", "ready", 1)
			s.assertServer(t, "i-2", directory.ServerReady)
			s.postHeartbeat(t, "i-1", "draining", 1<<40+2)
			s.assertServer(t, "i-2", directory.ServerReady)
			s.postHeartbeat(t, "i-2", "draining", 2)
			s.postHeartbeat(t, "i-2", "ready", 1) // late
			s.postHeartbeat(t, "i-1", "ready", 1<<40+3)
			s.assertServer(t, "i-2", directory.ServerDraining)
		})
	}
}

// The highest CallSeq that there is counts as later than all others. A number does not begin again within the life of an instance, so one that
// is lower after it is late.
func TestHighestCallSeq(t *testing.T) {
	s := newTestLocalServer(t)
	s.postHeartbeat(t, "i-1", "ready", math.MaxInt64-1)
	s.postHeartbeat(t, "i-1", "draining", math.MaxInt64)
	s.assertServer(t, "i-1", directory.ServerDraining)
	for _, late := range []int{math.MaxInt64 - 1, 1, 0} {
		s.postHeartbeat(t, "i-1", "ready", late)
		s.assertServer(t, "i-1", directory.ServerDraining)
	}
}

// Heartbeats and deregister calls are acknowledged without waiting for anybody who is to be told: the directory is locked meanwhile. The
// acknowledgement has the size that servers accept, and sends them to no other node (see postCall).
func TestAcknowledgementWaitsForNobody(t *testing.T) {
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
	receivePromptly(t, "an acknowledgement waits for the directory", acknowledged)
}

// A server leaves by its deregister call alone, or says before that it drains, and serves on for long after DrainS. What it runs is answered, nothing
// new reaches it, and none of its later heartbeats changes that.
func TestLeavingServerServesOn(t *testing.T) {
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
				x.history.ran(a.attemptID(), id)
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
			for left := time.Now().Add(10 * drainTime); time.Now().Before(left); {
				x.heartbeat(0, addr, "ready", 2) // late
				x.heartbeat(0, addr, "draining", 4)
				server.checkHeartbeat(false)
				refused := x.call(onceCall, "plain", "", drainTime)
				assert.Assert(t, refused.Status == http.StatusServiceUnavailable, "%+v", refused)
			}
			if drains {
				server.deregister(id)
			}
			assert.Equal(t, len(running), 0, "a call reached a server that leaves")
			close(proceed)
			assert.Equal(t, receivePromptly(t, "a call of a server that leaves is not answered", answered).Status, http.StatusOK)
			x.heartbeat(0, addr, "ready", 5)
			server.assertServer(t, "", directory.ServerNone)
			x.assertNoViolations()
		})
	}
}

// A late heartbeat of an instance that this sidecar has not heard of since it restarted changes nothing.
func TestLateHeartbeatOfAnUnknownInstance(t *testing.T) {
	s := newTestLocalServer(t)
	s.postHeartbeat(t, "i-2", "ready", 7)
	s.postHeartbeat(t, "i-1", "ready", 900)
	s.postHeartbeat(t, "i-2", "ready", 8)
	s.assertServer(t, "i-2", directory.ServerReady)
}
