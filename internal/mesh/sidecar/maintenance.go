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
	successorSlack        = time.Hour
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
	recaller    *recaller
	localServer *localServer
	pools       *servicePools

	orders atomic.Pointer[wire.MachinesInMaintenanceT] // machines in maintenance; replaced as a whole
	// handedOverFor is the order for which the responses stored here were handed over; nil: none
	handedOverFor atomic.Pointer[string]

	mu             sync.Mutex // guards changes of orders, and below
	successors     map[string]successor
	handoverTarget string // order and successor for which the hand-over was started last
}

// successor is who keeps the responses of a sidecar, and when that was reported.
type successor struct {
	addr       string
	reportedAt time.Time
}

func newMaintenanceView(env *environment, r *readiness, outbound *outboundListener) *maintenanceView {
	m := &maintenanceView{
		env:        env,
		readiness:  r,
		outbound:   outbound,
		successors: map[string]successor{},
	}
	m.orders.Store(&wire.MachinesInMaintenanceT{})
	return m
}

// apply applies which machines are in maintenance. Only the state of the latest log entry counts, whichever member sends it.
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

// startHandover starts to hand over this sidecar's responses, once for each order and successor. The goroutine ends with the order or the
// sidecar. The caller holds mu.
func (m *maintenanceView) startHandover(machine *wire.MachineInMaintenanceT) {
	target := machine.OrderId + " " + machine.Successor
	if machine.Successor == "" || !machine.DrainCallers || target == m.handoverTarget {
		return
	}
	m.handoverTarget = target
	go m.handOver(machine.OrderId, machine.Successor)
}

// expireSuccessors forgets successors whose responses have expired. The caller holds mu.
func (m *maintenanceView) expireSuccessors() {
	for addr, s := range m.successors {
		if time.Since(s.reportedAt) > m.env.settings.Load().Bounds.KeyWindowS.Duration()+successorSlack {
			delete(m.successors, addr)
		}
	}
}

// successorOf returns the sidecar that keeps the responses of another; "": there is none.
func (m *maintenanceView) successorOf(addr string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.successors[addr].addr
}

// isOut reports whether an order has a machine in maintenance.
func (m *maintenanceView) isOut(addr string) bool {
	return slices.ContainsFunc(m.orders.Load().List, func(o *wire.MachineInMaintenanceT) bool { return o.Addr == addr })
}

// stands reports whether this sidecar is still in maintenance by an order with a successor.
func (m *maintenanceView) stands(order, successor string) bool {
	return slices.ContainsFunc(m.orders.Load().List, func(o *wire.MachineInMaintenanceT) bool {
		return o.Addr == m.env.addr() && o.OrderId == order && o.Successor == successor
	})
}

// handOver hands over the stored responses, and retries while the order lasts.
func (m *maintenanceView) handOver(order, successor string) {
	for m.env.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(m.env.ctx, handoverTimeout)
		err := m.recaller.handOver(ctx, successor)
		cancel()
		if err == nil {
			m.handedOverFor.Store(&order)
			return
		}
		m.env.log.Info().Err(err).Str("successor_addr", successor).Str("order", order).Msg("hand-over of responses failed")
		if !m.stands(order, successor) {
			return // the next maintenance of this machine has another order
		}
		time.Sleep(handoverRetryInterval)
	}
}
