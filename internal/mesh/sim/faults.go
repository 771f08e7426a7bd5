package sim

import (
	"slices"
	"strings"
	"time"

	"cranegrade/internal/mesh/history"
	"cranegrade/internal/mesh/raft"
)

// lossRetryInterval is the interval at which the loss of a disk is attempted again while the deployment would not tolerate it.
const lossRetryInterval = 10 * time.Millisecond

// applyFault begins a fault.
func (w *World) applyFault(f Fault) {
	w.trace("fault", string(f.Kind), f.Target, []byte(f.String()))
	switch f.Kind {
	case FaultPowerLossAll:
		for _, h := range w.replicas {
			w.power(h, f.Duration)
		}
	case FaultSpare:
		h := w.newReplica(nil, false)
		h.seeds = w.replicaAddresses()
		h.spare = true
		h.start()
	case FaultSlowNetwork:
		extra := time.Duration(f.Count) * time.Millisecond
		w.network.extra += extra
		w.after(f.Duration, func() { w.network.extra -= extra })
	case FaultDisorder:
		w.network.disorder = float64(f.Count) / 100 // Count is in percent
		w.after(f.Duration, func() { w.network.disorder = 0 })
	case FaultChangeBurst:
		for _, o := range w.operators {
			if o.name == f.Target {
				o.flood(f.Count)
			}
		}
	default:
		if s := w.sidecarNamed(f.Target); s != nil {
			w.sidecarFault(s, f)
		} else if h := w.replicaFor(f.Target); h != nil {
			w.replicaFault(h, f)
		}
	}
}

// endFaults ends all faults that have not ended yet.
func (w *World) endFaults() {
	w.network.extra, w.network.disorder = 0, 0
	for d := range w.network.cuts {
		w.network.cuts[d] = 1
	}
	for _, from := range w.processes {
		for _, to := range w.processes {
			if !w.network.open(from, to) {
				w.network.heal(from, to)
			}
		}
	}
	for _, h := range w.replicas {
		h.stalled = false
		h.disk.setFull(false)
		h.thaw()
		h.start()
	}
	for _, s := range w.sidecars {
		s.thaw()
		s.begin()
	}
	w.trace("fault", "end", "", nil)
	w.observer.noteContacts()
	w.observer.recovering()
}

// sidecarNamed returns the sidecar with a name, or nil.
func (w *World) sidecarNamed(name string) *sidecar {
	for _, s := range w.sidecars {
		if s.name == name {
			return s
		}
	}
	return nil
}

// replicaFor returns the replica with a name or in a role, or nil.
func (w *World) replicaFor(target string) *replicaHost {
	var leader, first, last, joiner *replicaHost
	for _, h := range w.replicas {
		if h.name == target {
			return h
		}
		if h.replica == nil || h.removed {
			continue
		}
		if h.replica.IsLeader() && (leader == nil || h.replica.Term() > leader.replica.Term()) {
			leader = h
		}
	}
	for _, h := range w.replicas {
		if h.replica == nil || h.removed || h == leader {
			continue
		}
		if first == nil {
			first = h
		}
		last = h
		if !w.observer.votes(h) {
			joiner = h
		}
	}
	switch target {
	case RoleLeader:
		return leader
	case RoleFollower:
		return first
	case RoleJoiner:
		if joiner != nil {
			return joiner
		}
		return last
	case RoleLast:
		return last
	}
	return nil
}

// votes reports whether a replica is a voter of the latest committed configuration.
func (o *observer) votes(h *replicaHost) bool {
	voters := slices.Concat(o.voters.members, o.voters.outgoing)
	return slices.ContainsFunc(voters, func(m raft.Member) bool { return o.holder(m.ID) == h })
}

// replicaFault begins a fault of one replica.
func (w *World) replicaFault(h *replicaHost, f Fault) {
	if h.removed {
		return
	}
	switch f.Kind {
	case FaultCut, FaultCutInbound, FaultCutOutbound:
		w.cut(h.process, f)
	case FaultReset:
		w.reset(h.process)
	case FaultKill:
		h.stop(false)
		w.observer.fault(h.process, history.Kill)
		w.after(f.Duration, h.start)
	case FaultPowerLoss:
		w.power(h, f.Duration)
	case FaultWipe, FaultReplace, FaultLeave:
		w.loseDisk(h, f)
	case FaultFreeze, FaultSuspend:
		if f.Kind == FaultSuspend {
			h.suspend()
		} else {
			h.freeze()
		}
		w.observer.fault(h.process, history.Freeze)
		w.after(f.Duration, func() {
			h.thaw()
			w.observer.fault(h.process, history.Thaw)
		})
	case FaultDiskStall:
		h.stalled = true
		w.after(f.Duration, func() { h.stalled = false })
	case FaultDiskFull:
		h.disk.setFull(true)
		w.after(f.Duration, func() { h.disk.setFull(false) })
	default: // applyFault handles the faults of no single process
	}
}

// power cuts the power of a machine for a time.
func (w *World) power(h *replicaHost, off time.Duration) {
	if h.removed {
		return
	}
	h.stop(true)
	w.observer.fault(h.process, history.PowerLoss)
	w.after(off, h.start)
}

// loseDisk loses a disk, now or as soon as the deployment tolerates it.
func (w *World) loseDisk(h *replicaHost, f Fault) {
	if h.removed {
		return
	}
	if !f.Force && !w.observer.canLose(h) {
		w.after(lossRetryInterval, func() {
			if w.observer.target == 0 { // otherwise the period of faults is over
				w.loseDisk(h, f)
			}
		})
		return
	}
	switch f.Kind {
	case FaultReplace:
		w.observer.losing(h)
		h.stop(true)
		w.replace(h, f.Duration, history.Remove)
	case FaultLeave:
		h.leave(func() { w.replace(h, f.Duration, history.Remove) })
	default:
		w.wipe(h, f.Duration)
	}
}

// wipe empties the disk of a replica, which starts again after a time.
func (w *World) wipe(h *replicaHost, off time.Duration) {
	w.observer.losing(h)
	h.stop(true)
	h.disk = w.newDisk()
	if !w.options.Mutations.IdentityAfterWipe {
		h.lastID = 0
	}
	h.founder = false
	w.trace("wiped", h.name, "", nil)
	w.observer.fault(h.process, history.Wipe)
	w.after(off, h.start)
}

// replace removes a machine for good and starts another one in its place after a time.
func (w *World) replace(h *replicaHost, after time.Duration, kind history.FaultKind) {
	if h.removed {
		return
	}
	h.removed = true
	w.trace("removed", h.name, "", nil)
	w.observer.fault(h.process, kind)
	for _, s := range w.replicas {
		if s.spare { // the new machine runs already
			s.spare = false
			return
		}
	}
	next := w.newReplica(nil, false)
	next.seeds = w.replicaAddresses()
	w.after(after, next.start)
}

// sidecarFault begins a fault of one sidecar.
func (w *World) sidecarFault(s *sidecar, f Fault) {
	switch f.Kind {
	case FaultCut, FaultCutInbound, FaultCutOutbound:
		w.cut(s.process, f)
	case FaultReset:
		w.reset(s.process)
	case FaultKill, FaultPowerLoss:
		s.stop(f.Kind == FaultPowerLoss)
		w.observer.fault(s.process, history.Kill)
		w.after(f.Duration, s.begin)
	case FaultFreeze:
		s.freeze()
		w.observer.fault(s.process, history.Freeze)
		w.after(f.Duration, s.thaw)
	default: // a sidecar has no disk, and is not replaced
	}
}

// reset resets all connections of a process.
func (w *World) reset(p *process) {
	for _, e := range slices.Clone(p.connections) {
		peer := e.peer
		e.lose()
		peer.lose()
	}
}

// cut cuts a process off from its peers, one way or both.
func (w *World) cut(p *process, f Fault) {
	peers := w.peers(p, f.Peers)
	each := func(do func(from, to *process)) {
		for _, o := range peers {
			if f.Kind != FaultCutInbound {
				do(p, o)
			}
			if f.Kind != FaultCutOutbound {
				do(o, p)
			}
		}
	}
	each(w.network.cut)
	w.observer.fault(p, history.Cut)
	w.after(f.Duration, func() {
		if w.observer.target > 0 {
			return // all cuts have been healed
		}
		each(w.network.heal)
		w.observer.fault(p, history.Heal)
	})
}

// peers returns the processes other than p that Fault.Peers names.
func (w *World) peers(p *process, which string) (l []*process) {
	for _, o := range w.processes {
		isReplica := strings.HasPrefix(o.name, "replica")
		switch {
		case o == p:
		case which == "" || which == PeersAll,
			which == PeersReplicas && isReplica,
			which == PeersClients && !isReplica,
			which == o.name:
			l = append(l, o)
		}
	}
	return l
}
