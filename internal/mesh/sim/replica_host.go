package sim

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/idempotency"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/raft/raftwire"
	"cranegrade/internal/mesh/replica"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// Times of a replica's shell.
const (
	minWrite     = 300 * time.Microsecond
	maxWrite     = 4 * time.Millisecond
	fullRetry    = 100 * time.Millisecond
	plantedSync  = 200 * time.Millisecond // until a write is synced that an error planted has not
	leaveLeast   = 400 * time.Millisecond // of a replica that is told to end, as in production
	leaveMost    = 2 * time.Second        // the same
	replicaFault = 1                      // machines that may be lost, as the deployment is told
)

// replicaHost is the simulated shell of a replica: the machine, its disk and its connections.
type replicaHost struct {
	*process
	seeds    []string
	founder  bool
	disk     disk
	replica  *replica.Replica
	links    map[string]*link
	linkList []*link // in the order in which they were made
	sidecars []*side
	write    *diskWrite // under way
	stalled  bool       // the disk
	// stoodUntil is when the process last went on after it stood still or waited for its disk for long.
	stoodUntil time.Duration
	lastID     raft.ID
	leaving    bool
	spare      bool // it is to take the place of the next that leaves
}

func replicaAddress(n int) string { return fmt.Sprintf("10.0.0.%d:7000", n+1) }

func (w *World) newReplica(seeds []string, founder bool) *replicaHost {
	n := len(w.replicas)
	h := &replicaHost{process: w.newProcess(fmt.Sprintf("replica%d", n+1), replicaAddress(n)), seeds: seeds, founder: founder, disk: w.newDisk()}
	h.settle = h.settleReplica
	w.replicas = append(w.replicas, h)
	return h
}

func (w *World) newDisk() disk {
	planted := w.options.Mutations
	if w.options.Disk == StorageDisk {
		return newStorageDisk(planted.AnswerBeforeSync)
	}
	return &memoryDisk{deferred: planted.AnswerBeforeSync, hardUnsynced: planted.VoteNotSynced}
}

// listener is the replica that listens at an address; nil: none.
func (w *World) listener(address string) *replicaHost {
	for _, h := range w.replicas {
		if h.address == address && !h.removed {
			return h
		}
	}
	return nil
}

// start begins a life from what the disk holds.
func (h *replicaHost) start() {
	w := h.world
	if h.up || h.removed || h.leaving {
		return
	}
	held, state, err := h.disk.read()
	if err != nil {
		w.trace("unreadable", h.name, err.Error(), nil)
		w.after(fullRetry, h.start)
		return
	}
	if state != diskHolds {
		w.trace("empty", h.name, "", []byte{byte(state)})
		held = replica.Bootstrap{Address: h.address, Seeds: h.seeds, FirstStart: h.founder, Damaged: state == diskDamaged, NewID: raft.ID(w.random.Uint64() &^ 1)}.InitialState()
		if w.options.Mutations.IdentityAfterWipe && h.lastID != 0 {
			held = raft.StoredState{Self: h.lastID, Snapshot: held.Snapshot}
		}
		if h.disk.begin(held.Self, held.Snapshot) != nil {
			w.after(fullRetry, h.start)
			return
		}
	}
	h.lastID = held.Self
	h.beginIncarnation()
	h.links, h.linkList, h.sidecars, h.write = map[string]*link{}, nil, nil, nil
	h.replica, err = replica.New(replica.Config{Address: h.address, Stored: held, Seeds: h.seeds, FaultsTolerated: replicaFault,
		RandomSeed: w.random.Uint64(), CompactionThreshold: w.options.CompactAt, TailEntries: w.options.CompactAt / 2, Log: zerolog.Nop()}, h, h.now())
	if err != nil {
		panic("sim: " + err.Error())
	}
	if w.options.Mutations.KeysForgotten {
		h.replica.State().KeyLeases = idempotency.New()
	}
	w.trace("start", h.name, "", nil)
	w.observer.started(h, held)
	w.observer.noteContacts()
	h.tick()
}

func (h *replicaHost) tick() {
	h.after(replica.TickInterval, func() {
		h.replica.Tick(h.now())
		h.tick()
	})
}

// settleReplica has the replica carry out what it wants, and waits where it waits for its disk.
func (h *replicaHost) settleReplica() {
	h.world.observer.beforeTurn(h)
	h.busy = !h.replica.ProcessReady()
	h.world.observer.afterTurn(h)
}

// stop ends the life. power: what the disk has not synced may be lost, and no peer hears of it.
func (h *replicaHost) stop(power bool) {
	if !h.up {
		return
	}
	under := h.write
	if under != nil && under.done {
		under = nil
	}
	h.disk.crash(h.world.random, under, power)
	h.endIncarnation(!power)
	h.replica, h.write = nil, nil
	h.world.trace("stop", h.name, "", nil)
	h.world.observer.noteContacts()
}

// leave has the replica end as one that is told to; it does not start again.
func (h *replicaHost) leave(over func()) {
	h.leaving = true
	h.post(func() { h.replica.BeginShutdown(h.now()) })
	h.awaitLeave(h.world.now, over)
}

// awaitLeave ends a process that was told to end at an instant once it may, as the shell in production does. One that does
// not run, or stands still, has no say in it.
func (h *replicaHost) awaitLeave(told time.Duration, over func()) {
	h.world.after(replica.TickInterval, func() {
		passed := h.world.now - told
		if h.up && passed < leaveMost && !(passed >= leaveLeast && h.replica.CanShutDown()) {
			h.awaitLeave(told, over)
			return
		}
		if h.replica == nil || !h.replica.CanShutDown() { // it is gone all the same, as one that is lost
			h.world.observer.losing(h)
		}
		h.stop(false)
		over()
	})
}

// Save begins a write, or says that the one under way is done.
func (h *replicaHost) Save(ready raft.Ready, last uint64) bool {
	if h.write != nil {
		if h.write.done {
			h.write = nil
			return true
		}
		return false
	}
	h.write = &diskWrite{ready: ready, last: last}
	h.world.observer.logged(h, ready)
	h.finishWrite(h.world.between(minWrite, maxWrite))
	return false
}

// finishWrite has the write under way be done after a time, unless the disk stalls or is full.
func (h *replicaHost) finishWrite(d time.Duration) {
	life, write := h.incarnation, h.write
	h.world.after(d, func() {
		if h.incarnation != life || !h.up || h.write != write {
			return
		}
		if h.stalled || h.disk.save(write.ready, write.last) != nil {
			h.finishWrite(fullRetry)
			h.stoodUntil = h.world.now + fullRetry + maxWrite
			return
		}
		write.done = true
		if h.world.options.Mutations.AnswerBeforeSync {
			h.world.after(h.world.between(plantedSync/4, plantedSync), h.disk.sync)
		}
		h.world.trace("saved", h.name, "", nil)
		h.goOn()
	})
}

// goOn has the replica go on once its write is done, and then handles what has waited.
func (h *replicaHost) goOn() {
	if h.frozen || !h.busy {
		return
	}
	h.settleReplica()
	h.resume()
}

// thaw is the process's, which may have a write done meanwhile.
func (h *replicaHost) thaw() {
	h.stoodUntil = h.world.now
	if h.frozen && h.busy && h.write != nil && h.write.done {
		h.frozen = false
		if h.clock.still {
			h.clock.run(h.world.now)
		}
		h.goOn()
		return
	}
	h.process.thaw()
}

// Compact writes a snapshot. Where that fails the longer log stays.
func (h *replicaHost) Compact(s raft.Snapshot, kept uint64) {
	if h.disk.compact(s, kept) == nil {
		h.world.trace("compacted", h.name, "", nil)
	}
}

// Send sends a consensus message.
func (h *replicaHost) Send(address string, m raft.Message) {
	h.link(address).sendLoose(codec.Encode(raftwire.MessageToWire(m)))
}

// Connect keeps a connection to another replica.
func (h *replicaHost) Connect(address string) { h.link(address).connect() }

// CallReplica asks another replica.
func (h *replicaHost) CallReplica(address string, kind byte, body []byte, done func(replica.Reply)) {
	h.link(address).call(kind, body, done)
}

// BroadcastToSidecars sends a message to each sidecar.
func (h *replicaHost) BroadcastToSidecars(message any) {
	frame := codec.Encode(message)
	for _, e := range slices.Clone(h.sidecars) {
		e.sendFrame(frame)
	}
}

// BroadcastToReplicas sends a message to each replica.
func (h *replicaHost) BroadcastToReplicas(message any) {
	frame := codec.Encode(message)
	for _, l := range h.linkList {
		l.send(frame)
	}
}

// accept takes a connection of a sidecar or of another replica.
func (h *replicaHost) accept(e *side, hello *wire.HelloT) {
	if !e.open {
		return
	}
	touched := func() *wire.HeartbeatT {
		return &wire.HeartbeatT{QuorumContact: replica.HasQuorumContact(h.replica.QuorumContact(), h.now())}
	}
	e.heartbeat = touched
	if hello.ControlPlane {
		h.replica.RememberAddress(raft.ID(hello.MemberId), hello.Addr)
		h.link(hello.Addr).hasten()
	} else {
		h.sidecars = append(h.sidecars, e)
		e.closed = func() { h.sidecars = slices.DeleteFunc(h.sidecars, func(o *side) bool { return o == e }) }
		for _, m := range h.replica.InitialMessages() {
			e.send(m)
		}
	}
	e.message = func(m codec.Message) { h.takeMessage(e, m, !hello.ControlPlane) }
}

func (h *replicaHost) takeMessage(e *side, m codec.Message, sidecar bool) {
	switch v := m.Value.(type) {
	case *wire.RaftMessageT:
		if message, err := raftwire.MessageFromWire(v); err == nil && !sidecar {
			h.replica.Step(h.now(), message)
		}
	case *wire.RecordsT:
		for _, held := range h.replica.MergeRecords(h.now(), directory.FromWire(v), sidecar) {
			e.send(directory.ToWire([]directory.Record{held}))
		}
	case *wire.CallT:
		h.answer(v, sidecar, func(r replica.Reply) {
			if r.Push != nil {
				e.send(r.Push)
			}
			e.send(&wire.CallReplyT{Id: v.Id, Status: uint16(r.Status), Body: r.Body})
		})
	}
}

func (h *replicaHost) answer(a *wire.CallT, sidecar bool, reply func(replica.Reply)) {
	if h.world.options.Mutations.UnconfirmedTable && a.Kind == codec.CallItems {
		t := config.ItemsToWire(h.replica.State().Items.Items())
		t.Complete, t.Index = true, h.replica.AppliedIndex()
		reply(replica.Reply{Status: http.StatusOK, Body: codec.EncodeTable(t)})
		return
	}
	h.replica.HandleCall(h.now(), a.Kind, a.Body, sidecar, reply)
}

// modify takes an operator's call.
func (h *replicaHost) modify(body []byte, done func(replica.Reply)) {
	if _, err := config.ParseItems(body); err != nil {
		done(replica.ErrorReply(err))
		return
	}
	h.replica.Modify(h.now(), body, done)
}

// fetch answers an operator's read.
func (h *replicaHost) fetch(done func(set config.Document, ok bool)) {
	if h.world.options.Mutations.UnconfirmedFetch {
		done(h.replica.State().Items.Document(), true)
		return
	}
	h.replica.Fetch(h.now(), done)
}
