package sidecar

import "time"

// Why a server takes no requests while its heartbeat is held.
const (
	reasonUnconfirmed   = "it has not passed a health check since the sidecar's start"
	reasonNoHealthCheck = "it has no health check, and its heartbeat may be from before the sidecar's start"
)

// heldHeartbeat is the latest heartbeat of an instance that may have left before the sidecar started. It is applied once
// the instance passes a health check. It is dropped if the instance deregisters, another one becomes the current one, or
// no later heartbeat of the instance arrives within maxHeartbeatDelay.
type heldHeartbeat struct {
	id         string // of the instance
	heartbeat  Heartbeat
	receivedAt time.Time
}

// hold holds a heartbeat, and starts a health check of its instance. If the service has no health checks, nothing confirms
// the heartbeat, and the instance waits for the first one that comes maxHeartbeatDelay after the sidecar's start. The caller
// holds mu.
func (s *localServer) hold(id string, heartbeat Heartbeat) {
	path, known := s.healthPath()
	reason := reasonUnconfirmed
	if known && path == "" {
		reason = reasonNoHealthCheck
	}
	if s.held == nil || s.held.id != id {
		s.env.log.Info().Str("server_id", id).Int64("call_seq", heartbeat.OperStatus.CallSeq).Str("reason", reason).
			Msg("heartbeat held until the server is confirmed")
	}
	s.held = &heldHeartbeat{id: id, heartbeat: heartbeat, receivedAt: time.Now()}
	if s.endpoint == nil {
		s.unavailableReason = reason
	}
	s.startConfirmation()
}

// startConfirmation starts a health check of the server whose heartbeat is held, if there is one and the path of the
// health check is known. The check's goroutine ends within probeTimeout. At most one check runs at a time. The caller
// holds mu.
func (s *localServer) startConfirmation() {
	path, _ := s.healthPath()
	if s.held != nil && time.Since(s.held.receivedAt) > maxHeartbeatDelay {
		s.held = nil
	}
	if s.held == nil || path == "" || !s.confirmationRuns.CompareAndSwap(false, true) {
		return
	}
	url := "http://" + s.held.heartbeat.Address + path
	go func() {
		defer s.confirmationRuns.Store(false)
		id := s.probeInstance(url)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.applyPassedCheck(id)
	}()
}

// applyPassedCheck applies the held heartbeat if it belongs to the instance that has passed a health check. The caller
// holds mu.
func (s *localServer) applyPassedCheck(id string) (applied bool) {
	held := s.held
	if held == nil || held.id != id || !s.instances.confirm(id, time.Now()) {
		return false
	}
	s.applyHeartbeat(heartbeatOfSuccessor, id, held.heartbeat)
	return true
}

// healthCheckKnown is called when the configuration was confirmed for the first time, so that the path of the server's
// health check is known. It checks the server of a held heartbeat, and otherwise probes the server.
func (s *localServer) healthCheckKnown() {
	path, _ := s.healthPath()
	s.mu.Lock()
	if s.held != nil {
		s.hold(s.held.id, s.held.heartbeat)
	}
	s.mu.Unlock()
	s.probe(path)
}
