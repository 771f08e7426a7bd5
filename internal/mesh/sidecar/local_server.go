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

// localServer is the server beside this sidecar, as its heartbeats and probes report it, and the record about it that
// other sidecars are sent. The state that the server reports counts, unless an operator or maintenance has taken it
// out.
type localServer struct {
	env          *environment
	sender       *sender.Sender
	metrics      *requestMetrics
	directory    *directoryView
	controlPlane *controlPlaneConn
	isProbing    atomic.Bool // whether anything listens at the server's address

	mu             sync.Mutex // guards below
	current        directory.Record
	endpoint       *engine.Endpoint // nil if no server is known
	instances      instanceTracker
	leaving        bool                  // the sidecar is shutting down
	reportedState  directory.ServerState // by the server itself
	heldByOperator bool
	inMaintenance  bool
	outReason      string // why the server is out, for operators; empty if it is not

	published atomic.Pointer[directory.Record] // current as it was sent last; read without mu
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
	l := &localServer{
		env:       env,
		sender:    s,
		metrics:   metrics,
		instances: newInstanceTracker(),
		current:   current,
	}
	l.published.Store(&current)
	return l
}

// record returns the record that other sidecars were sent last.
func (s *localServer) record() directory.Record { return *s.published.Load() }

// publish sends the changed record to the other sidecars. The caller holds mu.
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
	go func() { // mergeRecords may call supersede, which takes mu
		s.directory.mergeRecords([]directory.Record{record})
		s.controlPlane.sendRecord(record)
	}()
}

// supersede raises this sidecar's incarnation above the one that the directory has. That one may be higher because
// the clock was set back.
func (s *localServer) supersede(incarnation uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if incarnation > s.current.Incarnation {
		s.current.Incarnation = incarnation + 1
		s.publish()
	}
}

// endpointOf returns the server's endpoint if the server is a given instance, and otherwise nil.
func (s *localServer) endpointOf(instance string) *engine.Endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endpoint == nil || s.endpoint.ID != instance {
		return nil
	}
	return s.endpoint
}

// leave announces that this sidecar is shutting down, so that the others send it nothing more.
func (s *localServer) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
	s.current.Leaving = true
	s.publish()
}

// heartbeat applies a heartbeat of the server. A heartbeat that was overtaken by a later one, or that comes after the
// instance has left or was replaced, changes nothing (instanceTracker). The error is an api.Error for a heartbeat that names no server.
func (s *localServer) heartbeat(id string, heartbeat Heartbeat) error {
	if id == "" || len(id) > maxIDBytes || heartbeat.Address == "" {
		return api.NewError(http.StatusBadRequest, "a beat without id or Address")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	effect := s.instances.heartbeat(id, heartbeat.OperStatus.CallSeq, time.Now(), s.env.settings.Load().HeartbeatS.Duration())
	if effect == heartbeatIgnored {
		return nil
	}
	if effect == heartbeatOfNext || s.endpoint == nil || s.endpoint.Addr != heartbeat.Address {
		s.replaceInstance(id, heartbeat)
	}
	state := directory.ServerReady
	if heartbeat.OperStatus.State == stateDraining {
		state = directory.ServerDraining
	}
	s.applyReportedState(state)
	return nil
}

// replaceInstance makes another instance, or the same one at another address, the local server. The caller holds mu.
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

// applyReportedState applies the state that the server reports, and publishes the record if that changes it. The
// caller holds mu.
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
	s.outReason = reason
	if state == directory.ServerReady {
		s.endpoint.SetUsable(true)
	} else {
		s.stopSending()
	}
	s.publish()
}

// stopSending makes the endpoint unusable: from now on no attempt begins, because each asks at the moment of writing
// (engine.Attempt.MayWrite). It closes idle connections; open requests go on. The caller holds mu, and there is an endpoint.
func (s *localServer) stopSending() {
	s.endpoint.SetUsable(false)
	s.sender.Drop(s.endpoint)
}

// reapplyReportedState applies a change of heldByOperator or inMaintenance. The caller holds mu.
func (s *localServer) reapplyReportedState() {
	if s.endpoint != nil && s.current.State != directory.ServerDown {
		s.applyReportedState(s.reportedState)
	}
}

// hold takes the server out on behalf of an operator, as if the server had reported that it drains, or lets it in
// again. It lasts until the sidecar restarts.
func (s *localServer) hold(out bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldByOperator = out
	s.reapplyReportedState()
}

// setMaintenance is hold on behalf of a maintenance order, for as long as the control plane says so.
func (s *localServer) setMaintenance(out bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inMaintenance == out {
		return
	}
	s.inMaintenance = out
	if out {
		s.metrics.reset()
	}
	s.reapplyReportedState()
}

// deregister handles the call with which an instance leaves.
func (s *localServer) deregister(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.instances.deregister(id) {
		s.stopSending()
		s.endpoint = nil
		s.current.ServerID = ""
		s.current.State = directory.ServerNone
		s.outReason = "it has left"
		s.publish()
	}
}

// localServerStatus is the part of the sidecar's status about its local server.
type localServerStatus struct {
	record    directory.Record
	outReason string
	held      bool // by an operator or for maintenance
}

// status returns the state of the server for the sidecar's status. Any goroutine may call it.
func (s *localServer) status() localServerStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return localServerStatus{record: s.current, outReason: s.outReason, held: s.heldByOperator || s.inMaintenance}
}
