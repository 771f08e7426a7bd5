package sidecar

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/internal/mesh/transport/wire"
)

const (
	// successorRetention is the time beyond a key's window for which a successor is remembered after it was last
	// reported.
	successorRetention = time.Hour
	// handoverTimeout bounds one attempt to hand over all responses. handoverRetryInterval is the pause after a failed
	// attempt.
	handoverTimeout       = 2 * time.Second
	handoverRetryInterval = 150 * time.Millisecond
)

// maintenanceView is this sidecar's copy of the list of machines in maintenance, from the control plane. It records
// which successors store the responses of sidecars in maintenance. When the machine of this sidecar is in maintenance,
// it drains callers and hands over the stored responses.
type maintenanceView struct {
	env         *environment
	readiness   *readiness
	outbound    *outboundListener
	recaller    *responseExchange
	localServer *localServer
	pools       *servicePools

	machines atomic.Pointer[wire.MachinesInMaintenanceT] // a snapshot, replaced as a whole
	// handedOverOrder is the ID of the maintenance order for which the stored responses were handed over, or nil if they
	// were not.
	handedOverOrder atomic.Pointer[string]

	mu             sync.Mutex // guards changes of machines, and below
	successors     map[string]successor
	handoverTarget handover // of the handover that was started last
}

// handover identifies a handover of stored responses by its maintenance order and successor.
type handover struct {
	order     string // ID of the maintenance order
	successor string // address of the sidecar that receives the responses
}

// successor is the sidecar that stores the responses of another, with the time at which that was last reported.
type successor struct {
	addr       string
	reportedAt time.Time
}

func newMaintenanceView(env *environment, readiness *readiness, outbound *outboundListener) *maintenanceView {
	m := &maintenanceView{
		env:        env,
		readiness:  readiness,
		outbound:   outbound,
		successors: map[string]successor{},
	}
	m.machines.Store(&wire.MachinesInMaintenanceT{})
	return m
}

// apply applies a list of the machines in maintenance. A list of an earlier log entry than the current one is ignored,
// whichever member sent it.
func (m *maintenanceView) apply(machines *wire.MachinesInMaintenanceT) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if machines.Index < m.machines.Load().Index {
		return
	}
	m.machines.Store(machines)
	inMaintenance, draining := false, false
	for _, machine := range machines.List {
		if machine.Successor != "" {
			m.successors[machine.Addr] = successor{machine.Successor, time.Now()}
		}
		if machine.Addr == m.env.addr() {
			inMaintenance = true
			draining = machine.DrainCallers
			m.startHandover(machine)
		}
	}
	m.expireSuccessors()
	m.localServer.setMaintenance(inMaintenance)
	if m.readiness.draining.Swap(draining) != draining && !m.readiness.stopping.Load() {
		m.outbound.drain(draining)
	}
	m.pools.refreshServices()
}

// startHandover starts to hand over this sidecar's responses, once for each order and successor. The goroutine ends
// when the handover has succeeded, or with the order or the sidecar. The caller holds mu.
func (m *maintenanceView) startHandover(machine *wire.MachineInMaintenanceT) {
	target := handover{order: machine.OrderId, successor: machine.Successor}
	if machine.Successor == "" || !machine.DrainCallers || target == m.handoverTarget {
		return
	}
	m.handoverTarget = target
	go m.handOver(target)
}

// expireSuccessors forgets successors whose responses have expired. The caller holds mu.
func (m *maintenanceView) expireSuccessors() {
	for addr, s := range m.successors {
		if time.Since(s.reportedAt) > m.env.settings.Load().Bounds.KeyWindowS.Duration()+successorRetention {
			delete(m.successors, addr)
		}
	}
}

// successorOf returns the address of the sidecar that stores the responses of the sidecar at addr, or "" if there is
// none.
func (m *maintenanceView) successorOf(addr string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.successors[addr].addr
}

// isInMaintenance reports whether the machine of the sidecar at addr is in maintenance.
func (m *maintenanceView) isInMaintenance(addr string) bool {
	return slices.ContainsFunc(m.machines.Load().List, func(machine *wire.MachineInMaintenanceT) bool {
		return machine.Addr == addr
	})
}

// isStillOrdered reports whether this sidecar is still in maintenance with the order and the successor of a handover.
func (m *maintenanceView) isStillOrdered(target handover) bool {
	return slices.ContainsFunc(m.machines.Load().List, func(machine *wire.MachineInMaintenanceT) bool {
		return machine.Addr == m.env.addr() && target == handover{order: machine.OrderId, successor: machine.Successor}
	})
}

// handOver hands over the stored responses, and retries while the order lasts. It runs on its own goroutine.
func (m *maintenanceView) handOver(target handover) {
	for m.env.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(m.env.ctx, handoverTimeout)
		err := m.recaller.handOver(ctx, target.successor)
		cancel()
		if err == nil {
			m.handedOverOrder.Store(&target.order)
			return
		}
		m.env.log.Info().Err(err).Str("successor_addr", target.successor).Str("order", target.order).
			Msg("handover of stored responses failed, retrying while the maintenance order lasts")
		if !m.isStillOrdered(target) {
			return // a later maintenance order starts its own handover
		}
		time.Sleep(handoverRetryInterval)
	}
}
