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

// Durations of operations of the process around a replica.
const (
	minWrite          = 300 * time.Microsecond // that a write and its sync take
	maxWrite          = 4 * time.Millisecond   // that a write and its sync take
	fullRetry         = 100 * time.Millisecond // between two attempts at a write that fails
	mutationSyncDelay = 200 * time.Millisecond // until a write is synced that a mutation has left unsynced
	minShutdownTime   = 400 * time.Millisecond // that a shutdown takes at least, as in package controlplane
	maxShutdownTime   = 2 * time.Second        // that a shutdown takes at most
	faultsTolerated   = 1                      // machines that may be lost at once, as the settings of the deployment say
)

// replicaHost simulates the process around a replica: the machine, its disk and its connections. It is the replica's environment.
type replicaHost struct {
	*process
	seeds    []string
	founder  bool // it is one of the members of the bootstrap
	disk     disk
	replica  *replica.Replica // nil while the process does not run
	links    map[string]*link // by address
	linkList []*link          // links in the order in which they were created
	sidecars []*side
	write    *diskWrite // in flight, or nil
	stalled  bool       // the disk does not finish writes
	// stalledUntil is when the process last went on after it was frozen or waited for its disk for long.
	stalledUntil time.Duration
	lastID       raft.ID // the member that its disk is of, or 0
	leaving      bool    // it shuts down for good
	spare        bool    // takes the place of the next machine that leaves
}

// replicaAddress returns the address of a replica by its number, from 0.
func replicaAddress(n int) string { return fmt.Sprintf("10.0.0.%d:7000", n+1) }

// newReplica adds a machine with an empty disk, whose process was not started.
func (w *World) newReplica(seeds []string, founder bool) *replicaHost {
	n := len(w.replicas)
	h := &replicaHost{
		process: w.newProcess(fmt.Sprintf("replica%d", n+1), replicaAddress(n)),
		seeds:   seeds,
		founder: founder,
		disk:    w.newDisk(),
	}
	h.settle = h.settleReplica
	w.replicas = append(w.replicas, h)
	return h
}

// newDisk returns an empty disk of the kind of the run.
func (w *World) newDisk() disk {
	mutations := w.options.Mutations
	if w.options.Disk == StorageDisk {
		return newStorageDisk(mutations.AnswerBeforeSync)
	}
	return &memoryDisk{deferred: mutations.AnswerBeforeSync, hardUnsynced: mutations.VoteNotSynced}
}

// listener returns the replica that listens at an address, or nil.
func (w *World) listener(address string) *replicaHost {
	for _, h := range w.replicas {
		if h.address == address && !h.removed {
			return h
		}
	}
	return nil
}

// start starts the process from what the disk holds.
func (h *replicaHost) start() {
	w := h.world
	if h.up || h.removed || h.leaving {
		return
	}
	stored, state, err := h.disk.read()
	if err != nil {
		w.trace("unreadable", h.name, err.Error(), nil)
		w.after(fullRetry, h.start)
		return
	}
	if state != diskHolds {
		w.trace("empty", h.name, "", []byte{byte(state)})
		stored = h.initialState(state)
		if h.disk.begin(stored.Self, stored.Snapshot) != nil {
			w.after(fullRetry, h.start)
			return
		}
	}
	h.lastID = stored.Self
	h.beginIncarnation()
	h.links = map[string]*link{}
	h.linkList = nil
	h.sidecars = nil
	h.write = nil
	h.replica, err = replica.New(replica.Config{
		Address:             h.address,
		Stored:              stored,
		Seeds:               h.seeds,
		FaultsTolerated:     faultsTolerated,
		RandomSeed:          w.random.Uint64(),
		CompactionThreshold: w.options.CompactAt,
		TailEntries:         w.options.CompactAt / 2,
		Log:                 zerolog.Nop(),
	}, h, h.now())
	if err != nil {
		panic("sim: " + err.Error())
	}
	if w.options.Mutations.KeysForgotten {
		h.replica.State().KeyLeases = idempotency.New()
	}
	w.trace("start", h.name, "", nil)
	w.observer.started(h, stored)
	w.observer.noteContacts()
	h.tick()
}

// initialState returns the state to write to a disk that holds none.
func (h *replicaHost) initialState(state diskState) raft.StoredState {
	w := h.world
	initial := replica.Bootstrap{
		Address:    h.address,
		Seeds:      h.seeds,
		FirstStart: h.founder,
		Damaged:    state == diskDamaged,
		NewID:      raft.ID(w.random.Uint64() &^ 1),
	}.InitialState()
	if w.options.Mutations.IdentityAfterWipe && h.lastID != 0 {
		return raft.StoredState{Self: h.lastID, Snapshot: initial.Snapshot}
	}
	return initial
}

// tick calls the replica's Tick, now and then after each TickInterval.
func (h *replicaHost) tick() {
	h.after(replica.TickInterval, func() {
		h.replica.Tick(h.now())
		h.tick()
	})
}

// settleReplica has the replica process what is ready, and waits if it has to wait for its disk.
func (h *replicaHost) settleReplica() {
	h.world.observer.beforeTurn(h)
	h.busy = !h.replica.ProcessReady()
	h.world.observer.afterTurn(h)
}

// stop ends the process. With a loss of power, what the disk has not synced may be lost and the peers are not notified.
func (h *replicaHost) stop(power bool) {
	if !h.up {
		return
	}
	inFlight := h.write
	if inFlight != nil && inFlight.done {
		inFlight = nil
	}
	h.disk.crash(h.world.random, inFlight, power)
	h.endIncarnation(!power)
	h.replica, h.write = nil, nil
	h.world.trace("stop", h.name, "", nil)
	h.world.observer.noteContacts()
}

// leave has the replica shut down for good. It calls ended once the process has ended.
func (h *replicaHost) leave(ended func()) {
	h.leaving = true
	h.post(func() { h.replica.BeginShutdown(h.now()) })
	h.awaitLeave(h.world.now, ended)
}

// awaitLeave ends a process, whose shutdown began at an instant, as soon as it may, as package controlplane does. One that does not run
// ends at once, a frozen one by maxShutdownTime at the latest.
func (h *replicaHost) awaitLeave(begun time.Duration, ended func()) {
	h.world.after(replica.TickInterval, func() {
		passed := h.world.now - begun
		if h.up && passed < maxShutdownTime && (passed < minShutdownTime || !h.replica.CanShutDown()) {
			h.awaitLeave(begun, ended)
			return
		}
		if h.replica == nil || !h.replica.CanShutDown() { // it ends all the same, and counts as lost
			h.world.observer.losing(h)
		}
		h.stop(false)
		ended()
	})
}

// Save begins a write, or reports whether the one in flight is done.
func (h *replicaHost) Save(ready raft.Ready, last uint64) bool {
	if h.write != nil {
		if h.write.done {
			h.write = nil
			return true
		}
		return false
	}
	h.write = &diskWrite{ready: ready, lastIndex: last}
	h.world.observer.logged(h, ready)
	h.finishWrite(h.world.between(minWrite, maxWrite))
	return false
}

// finishWrite has the write in flight done after a time, unless the disk stalls or is full.
func (h *replicaHost) finishWrite(d time.Duration) {
	incarnation, write := h.incarnation, h.write
	h.world.after(d, func() {
		if h.incarnation != incarnation || !h.up || h.write != write {
			return
		}
		if h.stalled || h.disk.save(write.ready, write.lastIndex) != nil {
			h.finishWrite(fullRetry)
			h.stalledUntil = h.world.now + fullRetry + maxWrite
			return
		}
		write.done = true
		if h.world.options.Mutations.AnswerBeforeSync {
			h.world.after(h.world.between(mutationSyncDelay/4, mutationSyncDelay), h.disk.sync)
		}
		h.world.trace("saved", h.name, "", nil)
		h.continueAfterWrite()
	})
}

// continueAfterWrite lets the replica continue after its write is done, and then handles waiting events.
func (h *replicaHost) continueAfterWrite() {
	if h.frozen || !h.busy {
		return
	}
	h.settleReplica()
	h.resume()
}

// thaw ends a freeze, during which the write in flight may have been done.
func (h *replicaHost) thaw() {
	h.stalledUntil = h.world.now
	if h.frozen && h.busy && h.write != nil && h.write.done {
		h.frozen = false
		if h.clock.stopped {
			h.clock.run(h.world.now)
		}
		h.continueAfterWrite()
		return
	}
	h.process.thaw()
}

// Compact writes a snapshot. If that fails, the log is kept.
func (h *replicaHost) Compact(s raft.Snapshot, kept uint64) {
	if h.disk.compact(s, kept) == nil {
		h.world.trace("compacted", h.name, "", nil)
	}
}

// Send sends a consensus message.
func (h *replicaHost) Send(address string, m raft.Message) {
	h.link(address).sendLoose(codec.Encode(raftwire.MessageToWire(m)))
}

// Connect opens a connection to another replica, and keeps it.
func (h *replicaHost) Connect(address string) { h.link(address).connect() }

// CallReplica calls another replica.
func (h *replicaHost) CallReplica(address string, kind byte, body []byte, done func(replica.Reply)) {
	h.link(address).call(kind, body, done)
}

// BroadcastToSidecars sends a message to each connected sidecar.
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

// accept handles a new connection from a sidecar or another replica.
func (h *replicaHost) accept(e *side, hello *wire.HelloT) {
	if !e.open {
		return
	}
	e.heartbeat = func() *wire.HeartbeatT {
		return &wire.HeartbeatT{QuorumContact: replica.HasQuorumContact(h.replica.QuorumContact(), h.now())}
	}
	if hello.ControlPlane {
		h.replica.RememberAddress(raft.ID(hello.MemberId), hello.Addr)
		h.link(hello.Addr).redial()
	} else {
		h.sidecars = append(h.sidecars, e)
		e.closed = func() { h.sidecars = slices.DeleteFunc(h.sidecars, func(o *side) bool { return o == e }) }
		for _, m := range h.replica.InitialMessages() {
			e.send(m)
		}
	}
	from := replica.FromSidecar
	if hello.ControlPlane {
		from = replica.FromReplica
	}
	e.message = func(m codec.Message) { h.handleMessage(e, m, from) }
}

// handleMessage handles a message that came by a connection.
func (h *replicaHost) handleMessage(e *side, m codec.Message, from replica.Origin) {
	switch v := m.Value.(type) {
	case *wire.RaftMessageT:
		if message, err := raftwire.MessageFromWire(v); err == nil && from == replica.FromReplica {
			h.replica.Step(h.now(), message)
		}
	case *wire.RecordsT:
		for _, newer := range h.replica.MergeRecords(h.now(), directory.FromWire(v), from) {
			e.send(directory.ToWire([]directory.Record{newer}))
		}
	case *wire.CallT:
		h.answer(v, from, func(r replica.Reply) {
			if r.Push != nil {
				e.send(r.Push)
			}
			e.send(&wire.CallReplyT{Id: v.Id, Status: uint16(r.Status), Body: r.Body})
		})
	}
}

// answer answers a call.
func (h *replicaHost) answer(call *wire.CallT, from replica.Origin, reply func(replica.Reply)) {
	if h.world.options.Mutations.UnconfirmedTable && call.Kind == codec.CallItems {
		t := config.ItemsToWire(h.replica.State().Items.Items())
		t.Complete, t.Index = true, h.replica.AppliedIndex()
		reply(replica.Reply{Status: http.StatusOK, Body: codec.EncodeTable(t)})
		return
	}
	h.replica.HandleCall(h.now(), call.Kind, call.Body, from, reply)
}

// modify handles an operator's change.
func (h *replicaHost) modify(body []byte, done func(replica.Reply)) {
	if _, err := config.ParseItems(body); err != nil {
		done(replica.ErrorReply(err))
		return
	}
	h.replica.Modify(h.now(), body, done)
}

// fetch handles an operator's read.
func (h *replicaHost) fetch(done func(replica.FetchResult)) {
	if h.world.options.Mutations.UnconfirmedFetch {
		done(replica.FetchResult{Confirmed: true, Document: h.replica.State().Items.Document()})
		return
	}
	h.replica.Fetch(h.now(), done)
}
