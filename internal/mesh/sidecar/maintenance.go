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
	// successorSlack is for how much longer than a key's window a successor is remembered after it was reported last.
	successorSlack        = time.Hour
	handoverTimeout       = 2 * time.Second
	handoverRetryInterval = 150 * time.Millisecond
)

// maintenanceView is which machines are in maintenance as the control plane says, and what follows from it here: who keeps the
// responses of sidecars that are out, and the hand-over of this one's own.
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
	m := &maintenanceView{env: env, readiness: r, outbound: outbound, successors: map[string]successor{}}
	m.orders.Store(&wire.MachinesInMaintenanceT{})
	return m
}

// apply takes which machines orders have in maintenance. The latest entry of the log holds, by whatever way it comes.
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
			out, draining = true, machine.DrainCallers
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

// startHandover starts the hand-over of this sidecar's responses once for each order and successor. The caller holds mu.
func (m *maintenanceView) startHandover(machine *wire.MachineInMaintenanceT) {
	target := machine.OrderId + " " + machine.Successor
	if machine.Successor == "" || !machine.DrainCallers || target == m.handoverTarget {
		return
	}
	m.handoverTarget = target
	go m.handOver(machine.OrderId, machine.Successor)
}

// expireSuccessors forgets the successors whose responses can't matter any more. The caller holds mu.
func (m *maintenanceView) expireSuccessors() {
	for addr, s := range m.successors {
		if time.Since(s.reportedAt) > m.env.settings.Load().Bounds.KeyWindowS.Duration()+successorSlack {
			delete(m.successors, addr)
		}
	}
}

// successorOf is the sidecar that keeps what another one left; "": that one has left nothing.
func (m *maintenanceView) successorOf(addr string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.successors[addr].addr
}

// isOut says that an order has a machine in maintenance.
func (m *maintenanceView) isOut(addr string) bool {
	return slices.ContainsFunc(m.orders.Load().List, func(o *wire.MachineInMaintenanceT) bool { return o.Addr == addr })
}

// stands says that this sidecar is still in maintenance by an order, with that successor.
func (m *maintenanceView) stands(order, successor string) bool {
	return slices.ContainsFunc(m.orders.Load().List, func(o *wire.MachineInMaintenanceT) bool {
		return o.Addr == m.env.addr() && o.OrderId == order && o.Successor == successor
	})
}

// handOver hands over the stored responses, and retries for as long as the order stands.
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
			return // the next maintenance of this machine is another order
		}
		time.Sleep(handoverRetryInterval)
	}
}
