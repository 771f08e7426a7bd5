package sidecar

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/directory"
)

// checkedServer is an application server with a health check.
type checkedServer struct {
	id, addr string
	health   atomic.Int32 // status of the health check
	checks   atomic.Int32 // number of health checks
}

func startCheckedServer(t *testing.T, id string, health int) *checkedServer {
	t.Helper()
	server := &checkedServer{id: id}
	server.health.Store(int32(health))
	listener := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		server.checks.Add(1)
		w.Header().Set(headerInstanceID, id)
		w.WriteHeader(int(server.health.Load()))
	}))
	t.Cleanup(listener.Close)
	server.addr = listener.Listener.Addr().String()
	return server
}

// beat sends a heartbeat of the server to a sidecar, which acknowledges it.
func (c *checkedServer) beat(t *testing.T, s *localServer, callSeq int) {
	t.Helper()
	body := fmt.Sprintf(`{"Address":%q,"SystemInfo":{"Service":"stock","SlotCount":6},"OperStatus":{"State":"ready","CallSeq":%d}}`, c.addr, callSeq)
	assert.Equal(t, s.postCall(t, c.id+"/heartbeat", body), http.StatusOK)
}

// startCheckingSidecar returns the local server of a sidecar that has just started and whose service has health checks.
func startCheckingSidecar(t *testing.T) *localServer {
	t.Helper()
	s, _, _ := newFollowingSidecar(t)
	set := *s.env.settings.Load()
	set.Service = "stock"
	s.Reload(set)
	s.configuration.mergeItems(acceptedItems(t, `{"Upsert":{"UpstreamGroups":[{"Name":"stock","HealthPath":"/health","ConfigVersion":1}]}}`))
	s.configurationConfirmed()
	return s.localServer
}

// awaitState waits until the server beside the sidecar has been published with a state.
func (s *localServer) awaitState(t *testing.T, id string, state directory.ServerState) {
	t.Helper()
	await(t, func() bool { return s.record().ServerID == id && s.record().State == state })
}

// Guards against requests to a server that has left. The sidecar had acknowledged that the server deregisters, and restarted; a late heartbeat of the
// server then made it ready again, since only the memory of the sidecar knew that it had left.
func TestDeregisteredServerStaysOutAfterSidecarRestart(t *testing.T) {
	server := startCheckedServer(t, "i-1", http.StatusOK)
	before := startCheckingSidecar(t)
	server.beat(t, before, 9)
	before.awaitState(t, "i-1", directory.ServerReady)
	server.health.Store(http.StatusServiceUnavailable) // it is leaving
	assert.Equal(t, before.postCall(t, "i-1/deregister", ""), http.StatusOK)
	before.assertRecord(t, "", directory.ServerNone)

	after := startCheckingSidecar(t)
	server.checks.Store(0)
	for callSeq := 5; callSeq < 9; callSeq++ {
		server.beat(t, after, callSeq)
		after.checkHeartbeat(false)
	}
	await(t, func() bool { return server.checks.Load() > 0 || after.record().ServerID != "" })
	await(t, func() bool { return !after.confirmationRuns.Load() })
	after.assertRecord(t, "", directory.ServerNone)
}

// Guards against requests to a server that left right after its start. The sidecar that acknowledged that had restarted, and took a late heartbeat among
// the first of the server for the start of a new one, which needed no health check.
func TestYoungDeregisteredServerStaysOutAfterSidecarRestart(t *testing.T) {
	for callSeq := 1; callSeq <= maxFirstCallSeq+1; callSeq++ {
		t.Run(fmt.Sprint("late heartbeat ", callSeq), func(t *testing.T) {
			server := startCheckedServer(t, "i-1", http.StatusOK)
			before := startCheckingSidecar(t)
			server.health.Store(http.StatusServiceUnavailable) // it is leaving
			assert.Equal(t, before.postCall(t, "i-1/deregister", ""), http.StatusOK)

			after := startCheckingSidecar(t)
			server.checks.Store(0)
			server.beat(t, after, callSeq)
			await(t, func() bool { return server.checks.Load() > 0 || after.record().ServerID != "" })
			await(t, func() bool { return !after.confirmationRuns.Load() })
			after.assertRecord(t, "", directory.ServerNone)
		})
	}
}

// Guards against requests to a server that has left, of a service without a health check: right after the sidecar's start nothing tells a late heartbeat
// from another one. A heartbeat that comes later is believed.
func TestServerWithoutHealthCheckWaitsAfterSidecarStart(t *testing.T) {
	s := newRestartedLocalServer(t)
	for callSeq, id := range []string{"i-1", "i-1", "i-2", "i-2"} {
		s.postHeartbeat(t, id, "ready", callSeq+1)
		s.checkHeartbeat(false)
		s.assertRecord(t, "", directory.ServerNone)
	}
	assert.Equal(t, s.status().unavailableReason, reasonNoHealthCheck)
	s.mu.Lock()
	s.instances.startedAt = s.instances.startedAt.Add(-maxHeartbeatDelay)
	s.mu.Unlock()
	s.postHeartbeat(t, "i-2", "ready", 5)
	s.assertRecord(t, "i-2", directory.ServerReady)
}

// After a restart of the sidecar, a running server is ready as soon as it passes a health check, also if the first ones were turned away.
func TestRunningServerIsReadyAfterSidecarRestart(t *testing.T) {
	for _, first := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		t.Run(fmt.Sprint("first health check ", first), func(t *testing.T) {
			server := startCheckedServer(t, "i-1", first)
			s := startCheckingSidecar(t)
			server.beat(t, s, 900)
			await(t, func() bool { return server.checks.Load() > 0 })
			server.health.Store(http.StatusOK)
			await(t, func() bool {
				s.checkHeartbeat(false)
				return s.record().State == directory.ServerReady
			})
			r := s.record()
			assert.Assert(t, r.ServerID == "i-1" && r.Slots == 6, "%+v", r)
		})
	}
}

// A late heartbeat of a former instance does not delay the running one: the health check names the instance that answers it.
func TestHealthCheckNamesRunningInstance(t *testing.T) {
	running := startCheckedServer(t, "i-2", http.StatusOK)
	former := &checkedServer{id: "i-1", addr: running.addr}
	s := startCheckingSidecar(t)
	former.beat(t, s, 900)
	running.beat(t, s, 7)
	s.awaitState(t, "i-2", directory.ServerReady)
	former.beat(t, s, 901)
	await(t, func() bool { return !s.confirmationRuns.Load() })
	s.assertRecord(t, "i-2", directory.ServerReady)
}

// A server that deregisters while its heartbeat is held does not become ready.
func TestDeregisteredWhileHeld(t *testing.T) {
	server := startCheckedServer(t, "i-1", http.StatusServiceUnavailable)
	s := startCheckingSidecar(t)
	server.beat(t, s, 900)
	assert.Equal(t, s.postCall(t, "i-1/deregister", ""), http.StatusOK)
	server.health.Store(http.StatusOK) // an answer that was given before
	s.mu.Lock()
	applied := s.applyPassedCheck("i-1")
	s.mu.Unlock()
	assert.Assert(t, !applied)
	s.assertRecord(t, "", directory.ServerNone)
}

// A held heartbeat is dropped when no later one of its instance arrives, and its health check is not repeated for ever.
func TestHeldHeartbeatIsDropped(t *testing.T) {
	server := startCheckedServer(t, "i-1", http.StatusServiceUnavailable)
	s := startCheckingSidecar(t)
	server.beat(t, s, 900)
	await(t, func() bool { return !s.confirmationRuns.Load() })
	s.mu.Lock()
	s.held.receivedAt = s.held.receivedAt.Add(-maxHeartbeatDelay - time.Second)
	s.mu.Unlock()
	s.checkHeartbeat(false)
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Assert(t, s.held == nil)
}

// While the memory of the tracker may lack an instance that has left, a heartbeat alone makes no other instance the current one, also none that seems to
// have just started. Later it does, since no heartbeat is so late.
func TestHeartbeatAfterStartNeedsConfirmation(t *testing.T) {
	const interval = time.Second
	start := time.Unix(1000, 0)
	tracker := newInstanceTracker()
	tracker.startedAt = start
	assert.Equal(t, tracker.heartbeat("a", 900, start, interval), heartbeatUnconfirmed)
	assert.Equal(t, tracker.current, "")
	assert.Equal(t, tracker.heartbeat("b", 2, start, interval), heartbeatUnconfirmed)
	assert.Equal(t, tracker.current, "")
	assert.Assert(t, tracker.confirm("b", start))
	silent := start.Add(maxHeartbeatDelay - time.Millisecond)
	assert.Equal(t, tracker.heartbeat("a", 901, silent, interval), heartbeatUnconfirmed)
	assert.Equal(t, tracker.current, "b")
	assert.Assert(t, tracker.confirm("a", silent))
	assert.Equal(t, tracker.heartbeat("a", 902, silent, interval), heartbeatOfCurrent)
	assert.Assert(t, tracker.deregister("a"))
	assert.Assert(t, !tracker.confirm("a", silent))
	assert.Equal(t, tracker.heartbeat("d", 1, silent, interval), heartbeatUnconfirmed)
	assert.Equal(t, tracker.heartbeat("c", 900, start.Add(maxHeartbeatDelay), interval), heartbeatOfSuccessor)
	assert.Equal(t, tracker.heartbeat("e", 1, start.Add(maxHeartbeatDelay), interval), heartbeatOfSuccessor)
}

// Guards against forgetting that an instance has just deregistered because many have started before it.
func TestLatestDeregisteredInstancesAreRemembered(t *testing.T) {
	tracker := newInstanceTracker()
	now := time.Unix(1000, 0)
	for n := range 3 * maxInstanceRecords {
		id := fmt.Sprint(n)
		assert.Equal(t, tracker.heartbeat(id, 1, now, time.Second), heartbeatOfSuccessor)
		assert.Assert(t, tracker.deregister(id))
		for former := max(0, n-maxInstanceRecords/2); former <= n; former++ {
			assert.Equal(t, tracker.heartbeat(fmt.Sprint(former), 900, now, time.Second), heartbeatIgnored, "%d after %d", former, n)
		}
	}
}
