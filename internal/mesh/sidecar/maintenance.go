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
	// successorSlack is how much longer than a key's window a successor is remembered after it was last reported.
	successorSlack = time.Hour
	// handoverTimeout bounds one attempt to hand over all responses, and handoverRetryInterval is the pause after one
	// that failed.
	handoverTimeout       = 2 * time.Second
	handoverRetryInterval = 150 * time.Millisecond
)

// maintenanceView holds which machines are in maintenance according to the control plane, and does what follows from
// it here: it knows which successors keep the responses of sidecars in maintenance, and hands over this sidecar's
// own.
type maintenanceView struct {
	env         *environment
	readiness   *readiness
	outbound    *outboundListener
	recaller    *responseExchange
	localServer *localServer
	pools       *servicePools

	orders atomic.Pointer[wire.MachinesInMaintenanceT] // machines in maintenance; replaced as a whole
	// handedOverFor is the order for which the responses stored here were handed over, or nil if they were not.
	handedOverFor atomic.Pointer[string]

	mu             sync.Mutex // guards changes of orders, and below
	successors     map[string]successor
	handoverTarget handover // for which the hand-over was started last
}

// handover names the order and the successor for which a sidecar hands over its responses.
type handover struct {
	order     string // its ID
	successor string // address of the sidecar that takes the responses
}

// successor is who keeps the responses of a sidecar, and when that was reported.
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
	m.orders.Store(&wire.MachinesInMaintenanceT{})
	return m
}

// apply applies which machines are in maintenance. Only the state of the latest log entry counts, whichever member
// sends it.
func (m *maintenanceView) apply(orders *wire.MachinesInMaintenanceT) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if orders.Index < m.orders.Load().Index {
		return
	}
	m.orders.Store(orders)
	out, draining := false, false
	for _, machine := range orders.List {
		if machine.Successor != "" {
			m.successors[machine.Addr] = successor{machine.Successor, time.Now()}
		}
		if machine.Addr == m.env.addr() {
			out = true
			draining = machine.DrainCallers
			m.startHandover(machine)
		}
	}
	m.expireSuccessors()
	m.localServer.setMaintenance(out)
	if m.readiness.draining.Swap(draining) != draining && !m.readiness.stopping.Load() {
		m.outbound.drain(draining)
	}
	m.pools.refreshServices()
}

// startHandover starts to hand over this sidecar's responses, once for each order and successor. The goroutine ends
// with the order or the sidecar. The caller holds mu.
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
		if time.Since(s.reportedAt) > m.env.settings.Load().Bounds.KeyWindowS.Duration()+successorSlack {
			delete(m.successors, addr)
		}
	}
}

// successorOf returns the sidecar that keeps the responses of another, or "" if there is none.
func (m *maintenanceView) successorOf(addr string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.successors[addr].addr
}

// isOut reports whether an order has a machine in maintenance.
func (m *maintenanceView) isOut(addr string) bool {
	return slices.ContainsFunc(m.orders.Load().List, func(o *wire.MachineInMaintenanceT) bool { return o.Addr == addr })
}

// isOrdered reports whether this sidecar is still in maintenance by the order and with the successor of a hand-over.
func (m *maintenanceView) isOrdered(target handover) bool {
	return slices.ContainsFunc(m.orders.Load().List, func(o *wire.MachineInMaintenanceT) bool {
		return o.Addr == m.env.addr() && target == handover{order: o.OrderId, successor: o.Successor}
	})
}

// handOver hands over the stored responses, and retries while the order lasts. It runs on a goroutine of its own.
func (m *maintenanceView) handOver(target handover) {
	for m.env.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(m.env.ctx, handoverTimeout)
		err := m.recaller.handOver(ctx, target.successor)
		cancel()
		if err == nil {
			m.handedOverFor.Store(&target.order)
			return
		}
		m.env.log.Info().Err(err).Str("successor_addr", target.successor).Str("order", target.order).
			Msg("hand-over of responses failed")
		if !m.isOrdered(target) {
			return // the next maintenance of this machine has another order
		}
		time.Sleep(handoverRetryInterval)
	}
}
