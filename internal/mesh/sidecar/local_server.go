package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/internal/engine"
	"cranegrade/internal/mesh/api"
	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/transport"
)

// maxMissedHeartbeats is how many beats a server may miss before it counts as gone.
const maxMissedHeartbeats = 3

const probeTimeout = time.Second

// Heartbeat is a server's call.
type Heartbeat struct {
	Address    string            `json:"Address"`
	SystemInfo SystemInfo        `json:"SystemInfo"`
	OperStatus OperationalStatus `json:"OperStatus"`
}

// SystemInfo is what a server is.
type SystemInfo struct {
	Service       string `json:"Service"`
	ConfigVersion string `json:"ConfigVersion"`
	Zone          string `json:"Zone"`
	SlotCount     int    `json:"SlotCount"`
}

// OperationalStatus is how a server does.
type OperationalStatus struct {
	State       string         `json:"State"`
	CallSeq     int64          `json:"CallSeq"`
	WarmupLeftS config.Seconds `json:"WarmupLeftS"`
}

// localServer is the server beside this line, as its beats tell of it, and the record that the others hear.
type localServer struct {
	sidecar   *Sidecar
	isProbing atomic.Bool // whether the server is there

	mu             sync.Mutex // guards below
	current        directory.Record
	endpoint       *engine.Endpoint
	callSeq        int64
	lastHeartbeat  time.Time
	goneInstances  map[string]bool       // instances that left
	leaving        bool                  // the line does
	reportedState  directory.ServerState // by the server itself
	heldByOperator bool                  // out by an operator's hand, whatever it says of itself
	inMaintenance  bool                  // out by an order for maintenance
	outReason      string                // it is out; "": it is not
	published      atomic.Pointer[directory.Record]
}

func newLocalServer(l *Sidecar) *localServer {
	set := l.settings.Load()
	o := &localServer{sidecar: l, goneInstances: map[string]bool{}}
	o.current = directory.Record{Node: set.NodeName, Incarnation: uint64(time.Now().UnixNano()), Sequence: 1, Addr: set.ListenAddrs.Inbound, Zone: set.Zone, Service: set.Service, ProtocolVersion: transport.ProtocolVersion}
	r := o.current
	o.published.Store(&r)
	return o
}

// record is what the others are told.
func (o *localServer) record() directory.Record { return *o.published.Load() }

// publish tells the others of a change. The caller holds the lock.
func (o *localServer) publish() {
	o.current.Sequence++
	r := o.current
	if r.ServerID != "" && r.State == directory.ServerDraining && o.leaving {
		r.Leaving = true
	}
	if was := o.published.Swap(&r); was.ServerID != r.ServerID || was.State != r.State || was.Leaving != r.Leaving {
		o.sidecar.log.Info().Str("server", r.ServerID).Uint8("state", uint8(r.State)).Bool("gone", r.Leaving).Dur("warmup", r.Warmup).Msg("own server")
	}
	go func() {
		o.sidecar.mergeRecords([]directory.Record{r})
		o.sidecar.controlPlane.sendRecord(r)
	}()
}

// supersede has this life count as the later one: its clock may have been set back since the one before.
func (o *localServer) supersede(life uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if life > o.current.Incarnation {
		o.current.Incarnation = life + 1
		o.publish()
	}
}

// endpointOf is the server's, if it is that instance.
func (o *localServer) endpointOf(instance string) *engine.Endpoint {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.endpoint == nil || o.endpoint.ID != instance {
		return nil
	}
	return o.endpoint
}

// checkUnreachable looks whether nothing listens at the server's address, where an attempt could not begin: then the others
// are told at once, and not when beats are missed.
func (o *localServer) checkUnreachable(ep *engine.Endpoint) {
	if !o.isProbing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer o.isProbing.Store(false)
		c, err := net.DialTimeout("tcp4", ep.Addr, serverConnectTimeout)
		if err == nil {
			c.Close()
			return
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.endpoint == ep && o.current.State == directory.ServerReady {
			o.current.State, o.outReason = directory.ServerDown, "nothing takes connections at its address"
			o.publish()
		}
	}()
}

// leave has the others send nothing here any more, for the line ends.
func (o *localServer) leave() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.leaving = true
	o.current.Leaving = true
	o.publish()
}

// probe asks the server who it is, where no beat has come yet in this life of the line.
func (o *localServer) probe(path string) {
	o.mu.Lock()
	known := o.endpoint != nil
	o.mu.Unlock()
	set := o.sidecar.settings.Load()
	if known || path == "" || set.AppAddress == "" {
		return
	}
	ctx, cancel := context.WithTimeout(o.sidecar.ctx, probeTimeout)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+set.AppAddress+path, nil)
	if err != nil {
		return
	}
	hr.Close = true
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(hr)
	if err != nil {
		return
	}
	resp.Body.Close()
	id := resp.Header.Get(headerInstanceID)
	if resp.StatusCode != http.StatusOK || id == "" || len(id) > maxIDBytes {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.endpoint != nil || o.goneInstances[id] {
		return // it spoke for itself meanwhile
	}
	o.endpoint = engine.NewEndpoint(id, set.AppAddress)
	o.callSeq, o.lastHeartbeat = -1, time.Now()
	o.current.ServerID, o.current.Service = id, set.Service
	o.applyReportedState(directory.ServerReady)
}

func (o *localServer) handlers() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/endpoints/{id}/heartbeat", api.NewHandler(16<<10, time.Second,
		func(_ context.Context, r *http.Request, b Heartbeat) (api.Empty, error) {
			return api.Empty{}, o.heartbeat(r.PathValue("id"), b)
		}))
	mux.HandleFunc("POST /v1/endpoints/{id}/deregister", api.NewHandler(16<<10, time.Second,
		func(_ context.Context, r *http.Request, _ api.Empty) (api.Empty, error) {
			o.deregister(r.PathValue("id"))
			return api.Empty{}, nil
		}))
	return mux
}

// heartbeat takes a server's word of itself.
func (o *localServer) heartbeat(id string, b Heartbeat) error {
	if id == "" || len(id) > maxIDBytes || b.Address == "" {
		return api.NewError(http.StatusBadRequest, "a beat without id or Address")
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.goneInstances[id] {
		return nil // late: it has left since
	}
	state := directory.ServerReady
	if b.OperStatus.State == "draining" {
		state = directory.ServerDraining
	}
	if o.endpoint == nil || o.endpoint.ID != id || o.endpoint.Addr != b.Address {
		if o.endpoint != nil {
			o.endpoint.SetUsable(false)
			o.sidecar.inbound.sender.Drop(o.endpoint)
			if o.endpoint.ID != id {
				o.markGone(o.endpoint.ID)
			}
		}
		o.endpoint = engine.NewEndpoint(id, b.Address)
		o.callSeq = b.OperStatus.CallSeq
		o.current.ServerID, o.current.State = id, directory.ServerNone
		o.current.Warmup = b.OperStatus.WarmupLeftS.Duration()
		o.current.Service = b.SystemInfo.Service
		if o.current.Service == "" {
			o.current.Service = o.sidecar.settings.Load().Service
		}
		o.current.Slots = uint32(max(0, b.SystemInfo.SlotCount))
	} else if b.OperStatus.CallSeq <= o.callSeq {
		return nil // overtaken
	}
	o.callSeq = max(o.callSeq, b.OperStatus.CallSeq)
	o.lastHeartbeat = time.Now()
	o.applyReportedState(state)
	return nil
}

// applyReportedState takes what the server says of itself, and publishes what follows. The caller holds the lock.
func (o *localServer) applyReportedState(state directory.ServerState) {
	o.reportedState = state
	why := ""
	switch {
	case state != directory.ServerReady:
		why = "it said that it leaves"
	case o.heldByOperator:
		state, why = directory.ServerDraining, "taken out by hand"
	case o.inMaintenance:
		state, why = directory.ServerDraining, "out for maintenance"
	}
	if o.endpoint == nil || o.current.State == state {
		return
	}
	o.current.State, o.outReason = state, why
	o.endpoint.SetUsable(state == directory.ServerReady)
	if state != directory.ServerReady {
		o.sidecar.inbound.sender.Drop(o.endpoint)
	}
	o.publish()
}

// hold has the server taken out by hand, as if it had said that it leaves, or no longer. It holds for this life of the line.
func (o *localServer) hold(out bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.heldByOperator = out
	o.reapplyReportedState()
}

// setMaintenance is hold by an order, for as long as the registers say so.
func (o *localServer) setMaintenance(out bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.inMaintenance != out {
		o.inMaintenance = out
		if out {
			o.sidecar.inbound.metrics.reset()
		}
		o.reapplyReportedState()
	}
}

// reapplyReportedState has what is held taken into account. The caller holds the lock.
func (o *localServer) reapplyReportedState() {
	if o.endpoint != nil && o.current.State != directory.ServerDown {
		o.applyReportedState(o.reportedState)
	}
}

// markGone notes an instance that is no more. The caller holds the lock.
func (o *localServer) markGone(id string) {
	if len(o.goneInstances) > 64 {
		clear(o.goneInstances)
	}
	o.goneInstances[id] = true
}

func (o *localServer) deregister(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.markGone(id)
	if o.endpoint != nil && o.endpoint.ID == id {
		o.endpoint.SetUsable(false)
		o.sidecar.inbound.sender.Drop(o.endpoint)
		o.endpoint, o.current.ServerID, o.current.State, o.outReason = nil, "", directory.ServerNone, "it has left"
		o.publish()
	}
}

// watch sees to beats that don't come, tells the record again now and then, and drops lines that are heard of no more.
func (o *localServer) watch() {
	every := max(100*time.Millisecond, o.sidecar.settings.Load().HeartbeatS.Duration()/2)
	t := time.NewTicker(every)
	defer t.Stop()
	told := time.Now()
	for {
		select {
		case <-t.C:
		case <-o.sidecar.ctx.Done():
			return
		}
		o.sidecar.inbound.sender.Sweep()
		o.mu.Lock()
		silence := o.sidecar.settings.Load().HeartbeatS.Duration()*maxMissedHeartbeats + 500*time.Millisecond
		switch {
		case o.endpoint != nil && o.current.State == directory.ServerReady && time.Since(o.lastHeartbeat) > silence:
			o.current.State, o.outReason = directory.ServerDown, fmt.Sprintf("it has not beaten for %v", silence)
			o.publish()
			told = time.Now()
		case time.Since(told) > recordRefreshInterval:
			o.publish()
			told = time.Now()
		}
		o.mu.Unlock()
		if o.sidecar.controlPlane.isReachable() {
			o.sidecar.expireDirectory()
		}
	}
}
