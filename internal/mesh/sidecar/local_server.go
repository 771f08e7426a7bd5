package sidecar

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/internal/engine"
	"cranegrade/internal/mesh/api"
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/transport"
	sender "cranegrade/internal/sender/http1"
)

// localServer is the state of the application server beside this sidecar, learned from its heartbeats and from health
// checks, and the directory record of it that is sent to other sidecars. The server's reported state applies unless an
// operator or a maintenance order has taken it out of service.
type localServer struct {
	env                   *environment
	sender                *sender.Sender
	metrics               *requestMetrics
	directory             *directoryView
	controlPlane          *controlPlaneConn
	healthPath            func() (path string, known bool) // of the server's health check; "" if it has none
	reachabilityCheckRuns atomic.Bool                      // at most one checkReachable runs at a time
	confirmationRuns      atomic.Bool                      // at most one health check of a held heartbeat runs at a time

	mu                sync.Mutex // guards below
	current           directory.Record
	endpoint          *engine.Endpoint // nil if no server is known
	instances         instanceTracker
	held              *heldHeartbeat        // waits for a health check; nil if none does
	leaving           bool                  // whether the sidecar is shutting down
	reportedState     directory.ServerState // as the server itself reported it last
	heldByOperator    bool
	inMaintenance     bool
	unavailableReason string // why the server takes no requests, for operators; empty if it does

	published atomic.Pointer[directory.Record] // the record that was published last; may be read without mu
}

func newLocalServer(env *environment, s *sender.Sender, metrics *requestMetrics) *localServer {
	set := env.settings.Load()
	current := directory.Record{
		Node:            set.NodeName,
		Incarnation:     uint64(time.Now().UnixNano()),
		Sequence:        1,
		Addr:            set.ListenAddrs.Inbound,
		Zone:            set.Zone,
		Service:         set.Service,
		ProtocolVersion: transport.ProtocolVersion,
	}
	instances := newInstanceTracker()
	instances.startedAt = time.Now()
	l := &localServer{
		env:       env,
		sender:    s,
		metrics:   metrics,
		instances: instances,
		current:   current,
	}
	l.published.Store(&current)
	return l
}

// record returns the record that was published last.
func (s *localServer) record() directory.Record { return *s.published.Load() }

// publish sends the current record with the next sequence number to the other sidecars. The caller holds mu.
func (s *localServer) publish() {
	s.current.Sequence++
	record := s.current
	if record.ServerID != "" && record.State == directory.ServerDraining && s.leaving {
		record.Leaving = true
	}
	previous := s.published.Swap(&record)
	if previous.ServerID != record.ServerID || previous.State != record.State || previous.Leaving != record.Leaving {
		s.env.log.Info().Str("server_id", record.ServerID).Uint8("state", uint8(record.State)).
			Bool("leaving", record.Leaving).Dur("warmup_ms", record.Warmup).Msg("local server changed")
	}
	go func() { // in a goroutine because mergeRecords may call raiseIncarnation, which locks mu
		s.directory.mergeRecords([]directory.Record{record})
		s.controlPlane.sendRecord(record)
	}()
}

// raiseIncarnation raises the record's incarnation above the given one, which the directory has for this sidecar. The
// directory's incarnation is higher if the clock was set back before this process started.
func (s *localServer) raiseIncarnation(incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if incarnation > s.current.Incarnation {
		s.current.Incarnation = incarnation + 1
		s.publish()
	}
}

// endpointOf returns the server's endpoint if the given instance is the current one, and otherwise nil.
func (s *localServer) endpointOf(instance string) *engine.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endpoint == nil || s.endpoint.ID != instance {
		return nil
	}
	return s.endpoint
}

// announceLeaving publishes that this sidecar is shutting down, so that the other sidecars stop sending it requests.
func (s *localServer) announceLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.current.Leaving = true
	s.publish()
}

// heartbeat applies a heartbeat of the server, or holds it until a health check has confirmed its instance. It ignores a
// heartbeat that was overtaken by a later one, or whose instance has left or was replaced (see instanceTracker). It
// returns an api.Error if the heartbeat lacks a valid ID or an address.
func (s *localServer) heartbeat(id string, heartbeat Heartbeat) error {
	if id == "" || len(id) > maxIDBytes || heartbeat.Address == "" {
		return api.NewError(http.StatusBadRequest, "a beat without id or Address")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	effect := s.instances.heartbeat(id, heartbeat.OperStatus.CallSeq, time.Now(), s.env.settings.Load().HeartbeatS.Duration())
	switch effect {
	case heartbeatIgnored:
	case heartbeatUnconfirmed:
		s.hold(id, heartbeat)
	case heartbeatOfCurrent, heartbeatOfSuccessor:
		s.applyHeartbeat(effect, id, heartbeat)
	}
	return nil
}

// applyHeartbeat applies a heartbeat of the current instance. The caller holds mu.
func (s *localServer) applyHeartbeat(effect heartbeatEffect, id string, heartbeat Heartbeat) {
	s.held = nil
	if effect == heartbeatOfSuccessor || s.endpoint == nil || s.endpoint.Addr != heartbeat.Address {
		s.replaceInstance(id, heartbeat)
	}
	state := directory.ServerReady
	if heartbeat.OperStatus.State == stateDraining {
		state = directory.ServerDraining
	}
	s.applyReportedState(state)
}

// replaceInstance replaces the local server by another instance, or by the same one at a new address. The caller holds
// mu.
func (s *localServer) replaceInstance(id string, heartbeat Heartbeat) {
	if s.endpoint != nil {
		s.stopSending()
	}
	s.endpoint = engine.NewEndpoint(id, heartbeat.Address)
	s.current.ServerID = id
	s.current.State = directory.ServerNone
	s.current.Warmup = heartbeat.OperStatus.WarmupLeftS.Duration()
	s.current.Service = heartbeat.SystemInfo.Service
	if s.current.Service == "" {
		s.current.Service = s.env.settings.Load().Service
	}
	s.current.Slots = uint32(max(0, heartbeat.SystemInfo.SlotCount))
}

// applyReportedState applies the state that the server reports, and publishes the record if its state changes. An
// operator or maintenance overrides the state ready by draining. The caller holds mu.
func (s *localServer) applyReportedState(state directory.ServerState) {
	s.reportedState = state
	reason := ""
	switch {
	case state != directory.ServerReady:
		reason = "it announced its shutdown"
	case s.heldByOperator:
		state = directory.ServerDraining
		reason = "taken out by an operator"
	case s.inMaintenance:
		state = directory.ServerDraining
		reason = "out for maintenance"
	}
	if s.endpoint == nil || s.current.State == state {
		return
	}
	s.current.State = state
	s.unavailableReason = reason
	if state == directory.ServerReady {
		s.endpoint.SetUsable(true)
	} else {
		s.stopSending()
	}
	s.publish()
}

// stopSending makes the endpoint unusable and closes its idle connections. No further attempt is written to the server,
// because each checks the endpoint immediately before writing (engine.Attempt.MayWrite). Requests that were already
// written continue. The caller holds mu, and endpoint is not nil.
func (s *localServer) stopSending() {
	s.endpoint.SetUsable(false)
	s.sender.Drop(s.endpoint)
}

// reapplyReportedState updates the record after a change of heldByOperator or inMaintenance. The caller holds mu.
func (s *localServer) reapplyReportedState() {
	if s.endpoint != nil && s.current.State != directory.ServerDown {
		s.applyReportedState(s.reportedState)
	}
}

// setHeldByOperator sets whether an operator holds the server out of service, which then counts as draining. The
// setting is lost when the sidecar restarts.
func (s *localServer) setHeldByOperator(held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldByOperator = held
	s.reapplyReportedState()
}

// setMaintenance sets whether a maintenance order holds the server out of service. The control plane decides that. When
// maintenance begins, the request metrics are reset.
func (s *localServer) setMaintenance(inMaintenance bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inMaintenance == inMaintenance {
		return
	}
	s.inMaintenance = inMaintenance
	if inMaintenance {
		s.metrics.reset()
	}
	s.reapplyReportedState()
}

// deregister handles the call by which an instance announces that it leaves for good.
func (s *localServer) deregister(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.held != nil && s.held.id == id {
		s.held = nil
	}
	if s.instances.deregister(id) {
		s.stopSending()
		s.endpoint = nil
		s.current.ServerID = ""
		s.current.State = directory.ServerNone
		s.unavailableReason = "it has left"
		s.publish()
	}
}

// localServerStatus is the local server's part of the sidecar's status.
type localServerStatus struct {
	record            directory.Record
	unavailableReason string
	held              bool // out of service by an operator or for maintenance
}

// status returns the server's part of the sidecar's status. Any goroutine may call it.
func (s *localServer) status() localServerStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return localServerStatus{
		record:            s.current,
		unavailableReason: s.unavailableReason,
		held:              s.heldByOperator || s.inMaintenance,
	}
}
