package raft

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulation runs members in simulated time. Messages take a few milliseconds and may be lost, and links may be interrupted.
type simulation struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	step    time.Duration          // by which now advances
	members map[string]*testMember // by address

	queue    []delayedMessage
	loss     float64            // share of messages that are lost
	isolated map[string]bool    // addresses whose messages, to and from, are lost
	cutLinks map[[2]string]bool // interrupted links, by sender and receiver

	acknowledged  map[uint64]string // entries that a write was acknowledged for, by index
	applied       map[uint64]string // entries that some member has applied, by index
	leadersByTerm map[uint64]ID

	onSend    func(to string, m Message) // called with each message that is sent; may be nil
	drop      func(m Message) bool       // reports whether a message is lost; may be nil
	afterStep func()                     // called after each step; may be nil
	observe   func(*testMember, Ready)   // called with each Ready before it is processed; may be nil
}

// delayedMessage is a message in flight between two addresses.
type delayedMessage struct {
	arrivesAt time.Duration
	from, to  string
	message   Message
}

func newSimulation(t *testing.T, seed uint64, addrs ...string) *simulation {
	sim := &simulation{
		t:             t,
		rng:           rand.New(rand.NewPCG(seed, 1)),
		step:          10 * time.Millisecond,
		members:       map[string]*testMember{},
		isolated:      map[string]bool{},
		cutLinks:      map[[2]string]bool{},
		acknowledged:  map[uint64]string{},
		applied:       map[uint64]string{},
		leadersByTerm: map[uint64]ID{},
	}
	var members []Member
	for i, addr := range addrs {
		members = append(members, Member{ID(i + 1), addr})
	}
	for _, self := range members {
		sim.members[self.Addr] = &testMember{self: self, snapshot: BootstrapSnapshot(members)}
		sim.members[self.Addr].start()
	}
	return sim
}

// newSettledSimulation returns a simulation that has run until there is a leader.
func newSettledSimulation(t *testing.T, seed uint64, addrs ...string) *simulation {
	t.Helper()
	sim := newSimulation(t, seed, addrs...)
	sim.run(2 * time.Second)
	return sim
}

// newSimulationWithLearner returns a simulation, in small steps, of the members a, b and c with one entry written, and of the learner d,
// which has the given ID and has caught up.
func newSimulationWithLearner(t *testing.T, seed uint64, learner ID) *simulation {
	t.Helper()
	sim := newSimulation(t, seed, "a", "b", "c")
	sim.step = 2 * time.Millisecond
	sim.run(2 * time.Second)
	sim.write("one")
	sim.startEmpty("d", learner)
	sim.run(time.Second)
	return sim
}

// startEmpty starts a member with an empty disk. It replaces the member at the same address, if there is one.
func (sim *simulation) startEmpty(addr string, id ID) {
	n := &testMember{self: Member{id, addr}, now: sim.now}
	n.start()
	sim.members[addr] = n
}

// startLegacy restarts the members whose bits are set in mask with protocol version 0. Bit 0 is the first address in sorted order.
func (sim *simulation) startLegacy(mask int) {
	for i, addr := range sim.addrs() {
		if n := sim.members[addr]; mask>>i&1 == 1 {
			n.legacyProtocol = true
			n.start()
		}
	}
}

// processReady makes a member process its Readys, and sends its messages.
func (sim *simulation) processReady(addr string) {
	sim.t.Helper()
	n := sim.members[addr]
	model := &modelState{
		nodes:          []*testMember{n},
		applied:        sim.applied,
		leaders:        sim.leadersByTerm,
		configurations: map[uint64]Configuration{},
		observe:        sim.observe,
	}
	assert.NilError(sim.t, model.processReady(0, noCrash, modelFaults{}))
	for _, m := range model.network {
		sim.send(addr, sim.addrOf(n, m), m)
	}
}

// addrOf returns the address to which a member's message is sent: the one that the member knows for the receiver, or else, as the caller
// of the package would find it, the receiver's current address.
func (sim *simulation) addrOf(from *testMember, m Message) string {
	if m.Kind == NotMember && m.Addr != "" {
		return m.Addr
	}
	to := from.raft.Addr(m.To)
	if to == "" {
		for addr, n := range sim.members {
			if n.self.ID == m.To {
				to = addr
			}
		}
	}
	return to
}

func (sim *simulation) send(from, to string, m Message) {
	if sim.onSend != nil {
		sim.onSend(to, m)
	}
	if sim.drop != nil && sim.drop(m) {
		return
	}
	if sim.rng.Float64() >= sim.loss {
		delay := time.Millisecond + time.Duration(sim.rng.Int64N(int64(5*time.Millisecond)))
		sim.queue = append(sim.queue, delayedMessage{arrivesAt: sim.now + delay, from: from, to: to, message: m})
	}
}

// run advances the time by d, in steps.
func (sim *simulation) run(d time.Duration) {
	for end := sim.now + d; sim.now < end; {
		sim.now += sim.step
		sim.deliverDue()
		for _, addr := range sim.addrs() {
			sim.tick(addr)
		}
		if sim.afterStep != nil {
			sim.afterStep()
		}
	}
}

// deliverDue delivers the messages that have arrived by now.
func (sim *simulation) deliverDue() {
	queue := sim.queue
	sim.queue = nil
	for _, delayed := range queue {
		from, to := delayed.from, delayed.to
		n := sim.members[to]
		switch {
		case delayed.arrivesAt > sim.now:
			sim.queue = append(sim.queue, delayed)
		case n == nil || sim.isolated[to] || sim.isolated[from] || sim.cutLinks[[2]string{from, to}]: // lost
		default:
			sim.deliver(n, delayed.message)
			sim.processReady(to)
		}
	}
}

// tick calls Tick of one member. A non-member asks all addresses to join, as the caller of the package does.
func (sim *simulation) tick(addr string) {
	n := sim.members[addr]
	n.now = sim.now
	n.raft.Tick(sim.now)
	if n.raft.IsNonMember() {
		for _, other := range sim.addrs() {
			if other != addr {
				sim.send(addr, other, Message{Kind: JoinRequest, From: n.self.ID, Addr: addr, ProtocolVersion: n.raft.protocolVersion()})
			}
		}
	}
	sim.processReady(addr)
}

// runUntil advances the time by up to d until a condition is true, and reports whether it is.
func (sim *simulation) runUntil(d time.Duration, condition func() bool) bool {
	for end := sim.now + d; sim.now < end; sim.run(sim.step) {
		if condition() {
			return true
		}
	}
	return condition()
}

// deliver delivers a message to a member, without the parts that the member's protocol version does not support.
func (sim *simulation) deliver(n *testMember, m Message) {
	if n.legacyProtocol {
		if m.Kind > lastVersion0Kind {
			return
		}
		m.ProtocolVersion = 0
		m.Entries = slices.Clone(m.Entries)
		for i := range m.Entries {
			m.Entries[i].Outgoing, m.Entries[i].ProtocolVersion = nil, 0
		}
		if m.Snapshot != nil {
			s := *m.Snapshot
			s.Outgoing, s.ProtocolVersion, m.Snapshot = nil, 0, &s
		}
	}
	n.raft.Step(sim.now, m)
}

// addrs returns the addresses of all members, sorted.
func (sim *simulation) addrs() []string { return slices.Sorted(maps.Keys(sim.members)) }

// othersThan returns the addresses of all members except some, sorted.
func (sim *simulation) othersThan(except ...string) []string {
	return slices.DeleteFunc(sim.addrs(), func(addr string) bool { return slices.Contains(except, addr) })
}

// leader returns the leader of the latest term among the members that are not isolated, or nil if there is none.
func (sim *simulation) leader() *testMember {
	var best *testMember
	for _, a := range sim.addrs() {
		if n := sim.members[a]; n.raft.IsLeader() && !sim.isolated[a] && (best == nil || n.raft.Term() > best.raft.Term()) {
			best = n
		}
	}
	return best
}

// leaderAddr returns the address of a member that leads and is not isolated, or "" if there is none.
func (sim *simulation) leaderAddr() (addr string) {
	for _, a := range sim.addrs() {
		if n := sim.members[a]; n.raft.IsLeader() && !sim.isolated[a] {
			addr = a
		}
	}
	return addr
}

// follower returns the first address whose member does not lead.
func (sim *simulation) follower() string {
	for _, a := range sim.addrs() {
		if !sim.members[a].raft.IsLeader() {
			return a
		}
	}
	return ""
}

// write proposes a command and waits until it is committed.
func (sim *simulation) write(text string) {
	sim.t.Helper()
	for range 200 {
		if leader := sim.leader(); leader != nil && sim.tryWrite(leader, text) {
			return
		}
		sim.run(10 * time.Millisecond)
	}
	sim.t.Fatalf("command %q was not committed in time", text)
}

// tryWrite proposes a command, waits until an entry is committed at its index, and reports whether that is the command.
func (sim *simulation) tryWrite(leader *testMember, text string) bool {
	sim.t.Helper()
	index, term, ok := leader.raft.Propose(sim.now, []byte(text))
	if !ok {
		return false
	}
	sim.processReady(leader.self.Addr)
	for range 100 {
		if got := sim.applied[index]; got != "" && leader.raft.AppliedIndex() >= index {
			if got != fmt.Sprint(term, EntryCommand, text, []Member(nil)) {
				return false
			}
			sim.acknowledged[index] = got
			return true
		}
		sim.run(10 * time.Millisecond)
	}
	return false
}

// proposeMany proposes n commands, ten at a time, and waits until they are committed.
func (sim *simulation) proposeMany(n int) {
	sim.t.Helper()
	for i := range n {
		if leader := sim.leader(); leader != nil {
			leader.raft.Propose(sim.now, fmt.Append(nil, "change ", i, " with some words"))
			if i%10 == 9 {
				sim.processReady(leader.self.Addr)
				sim.run(sim.step)
			}
		}
	}
	sim.write("after the changes")
}

// crash isolates a member for a while and then restarts it with its disk.
func (sim *simulation) crash(addr string, down time.Duration) {
	n := sim.members[addr]
	sim.isolated[addr] = true
	sim.run(down)
	n.now = sim.now
	n.start()
	delete(sim.isolated, addr)
}

// endProcess isolates a member, as if its process had ended. If isReported is set, the exit is reported to the others.
func (sim *simulation) endProcess(addr string, isReported bool) {
	id := sim.members[addr].self.ID
	sim.isolated[addr] = true
	for _, a := range sim.addrs() {
		if a != addr && isReported {
			sim.members[a].raft.ReportLeaderExited(sim.now, id)
		}
	}
}

// leave begins a member's planned departure, and reports whether it may leave within a time.
func (sim *simulation) leave(addr string, within time.Duration) bool {
	n := sim.members[addr]
	n.raft.BeginLeave(sim.now)
	sim.processReady(addr)
	return sim.runUntil(within, n.raft.MayLeave)
}

// isolateFollower isolates a follower, commits a number of commands, and makes the other members compact their logs to snapshots of size
// bytes, keeping a number of catch-up entries. It returns the follower's address.
func (sim *simulation) isolateFollower(commands, keep, size int) string {
	sim.t.Helper()
	sim.run(2 * time.Second)
	for _, n := range sim.members {
		n.maxCatchUpEntries, n.snapshotChunkBytes = keep, 1<<10
		n.raft.config.MaxCatchUpEntries, n.raft.config.SnapshotChunkBytes = keep, 1<<10
	}
	laggingAddr := sim.follower()
	sim.isolated[laggingAddr] = true
	sim.proposeMany(commands)
	for a, n := range sim.members {
		if a != laggingAddr {
			n.compact(snapshotOfSize(size))
		}
	}
	return laggingAddr
}

// snapshotOfSize returns an encoded state machine of a size in bytes.
func snapshotOfSize(size int) []byte { return bytes.Repeat([]byte("state "), size/6+1)[:size] }

// requireComplete checks that the voters are exactly the members at these addresses, and that all of them have applied every
// acknowledged entry.
func (sim *simulation) requireComplete(addrs ...string) {
	sim.t.Helper()
	sim.run(time.Second)
	for _, addr := range addrs {
		n := sim.members[addr]
		members, _ := n.raft.Members()
		var voters []string
		for _, m := range members {
			voters = append(voters, m.Addr)
		}
		slices.Sort(voters)
		assert.DeepEqual(sim.t, voters, addrs)
		for index, text := range sim.acknowledged {
			assert.Assert(sim.t, n.raft.AppliedIndex() >= index)
			assert.Equal(sim.t, sim.applied[index], text)
		}
	}
}

// requireMembersAtLeast makes the test fail as soon as a leader's configuration has fewer members than minimum.
func (sim *simulation) requireMembersAtLeast(minimum int) {
	sim.afterStep = func() {
		for _, a := range sim.addrs() {
			if n := sim.members[a]; n.raft.IsLeader() && len(n.raft.log.configuration.Members) < minimum {
				sim.t.Fatalf("%s leads %+v at %v", a, n.raft.log.configuration, sim.now)
			}
		}
	}
}

// storesAcknowledged reports whether a member has all acknowledged entries on disk.
func (sim *simulation) storesAcknowledged(addr string) bool {
	n := sim.members[addr]
	for index := range sim.acknowledged {
		if n.snapshot.Index < index && (len(n.log) == 0 || n.log[len(n.log)-1].Index < index) {
			return false
		}
	}
	return true
}
