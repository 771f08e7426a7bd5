package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulation plays registers in simulated time: messages take a while, may be lost, and links may be cut.
type simulation struct {
	t             *testing.T
	rng           *rand.Rand
	now           time.Duration
	members       map[string]*testMember // by address
	isolated      map[string]bool        // machines that nobody reaches
	cutLinks      map[[2]string]bool
	loss          float64
	queue         []delayedMessage
	acknowledged  map[uint64]string
	applied       map[uint64]string
	leadersByTerm map[uint64]ID              // leaders by term
	step          time.Duration              // of time, at once
	onSend        func(to string, m Message) // called with each message that is sent; nil: nothing is
	drop          func(m Message) bool       // loses what it says so of; nil: nothing
	afterStep     func()                     // called after each step; nil: nothing is

	observe func(*testMember, Ready) // called with each Ready before it is carried out; nil: nobody looks
}

type delayedMessage struct {
	at       time.Duration
	from, to string
	m        Message
}

func newSimulation(t *testing.T, seed uint64, addrs ...string) *simulation {
	f := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), members: map[string]*testMember{}, isolated: map[string]bool{}, cutLinks: map[[2]string]bool{},
		acknowledged: map[uint64]string{}, applied: map[uint64]string{}, leadersByTerm: map[uint64]ID{}, step: 10 * time.Millisecond}
	var members []Member
	for i, a := range addrs {
		members = append(members, Member{ID(i + 1), a})
	}
	for _, m := range members {
		f.members[m.Addr] = &testMember{self: m, snapshot: BootstrapSnapshot(members)}
		f.members[m.Addr].start()
	}
	return f
}

// startEmpty starts an empty register.
func (f *simulation) startEmpty(addr string, id ID) {
	x := &testMember{self: Member{id, addr}, now: f.now}
	x.start()
	f.members[addr] = x
}

func (f *simulation) processReady(addr string) {
	n := f.members[addr]
	w := &modelState{nodes: []*testMember{n}, applied: f.applied, leaders: f.leadersByTerm, configurations: map[uint64]Configuration{}, observe: f.observe}
	if err := w.processReady(0, noCrash, modelFaults{}); err != nil {
		f.t.Fatal(err)
	}
	for _, m := range w.network {
		to := n.raft.Addr(m.To)
		if m.Kind == NotMember && m.Addr != "" {
			to = m.Addr
		}
		if to == "" { // as a shell would find it
			for a, x := range f.members {
				if x.self.ID == m.To {
					to = a
				}
			}
		}
		f.send(addr, to, m)
	}
}

func (f *simulation) send(from, to string, m Message) {
	if f.onSend != nil {
		f.onSend(to, m)
	}
	if f.drop != nil && f.drop(m) {
		return
	}
	if f.rng.Float64() >= f.loss {
		f.queue = append(f.queue, delayedMessage{f.now + time.Millisecond + time.Duration(f.rng.Int64N(int64(5*time.Millisecond))), from, to, m})
	}
}

// run lets time pass.
func (f *simulation) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += f.step
		due := f.queue
		f.queue = nil
		for _, x := range due {
			if x.at > f.now {
				f.queue = append(f.queue, x)
			} else if n := f.members[x.to]; n != nil && !f.isolated[x.to] && !f.isolated[x.from] && !f.cutLinks[[2]string{x.from, x.to}] {
				f.deliver(n, x.m)
				f.processReady(x.to)
			}
		}
		addrs := f.addrs()
		for _, a := range addrs {
			n := f.members[a]
			n.now = f.now
			n.raft.Tick(f.now)
			if n.raft.IsNonMember() { // what the shell does for one that knows others by address only
				for _, b := range addrs {
					if b != a {
						f.send(a, b, Message{Kind: JoinRequest, From: n.self.ID, Addr: a, ProtocolVersion: n.raft.protocolVersion()})
					}
				}
			}
			f.processReady(a)
		}
		if f.afterStep != nil {
			f.afterStep()
		}
	}
}

// deliver gives a register a message, as much of it as its build reads.
func (f *simulation) deliver(n *testMember, m Message) {
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
	n.raft.Step(f.now, m)
}

func (f *simulation) addrs() (l []string) {
	for a := range f.members {
		l = append(l, a)
	}
	slices.Sort(l)
	return l
}

func (f *simulation) leader() *testMember {
	var best *testMember
	for _, a := range f.addrs() {
		if n := f.members[a]; n.raft.IsLeader() && !f.isolated[a] && (best == nil || n.raft.Term() > best.raft.Term()) {
			best = n
		}
	}
	return best
}

// write has something agreed on and waits for it.
func (f *simulation) write(text string) {
	f.t.Helper()
	for range 200 {
		if l := f.leader(); l != nil {
			if index, term, ok := l.raft.Propose(f.now, []byte(text)); ok {
				f.processReady(l.self.Addr)
				for range 100 {
					if got := f.applied[index]; got != "" && l.raft.AppliedIndex() >= index {
						if got == fmt.Sprint(term, EntryCommand, text, []Member(nil)) {
							f.acknowledged[index] = got
							return
						}
						break
					}
					f.run(10 * time.Millisecond)
				}
			}
		}
		f.run(10 * time.Millisecond)
	}
	f.t.Fatalf("%q is not agreed on", text)
}

// requireComplete checks that the members are those and that all of them have what was acknowledged.
func (f *simulation) requireComplete(addrs ...string) {
	f.t.Helper()
	f.run(time.Second)
	for _, a := range addrs {
		n := f.members[a]
		members, _ := n.raft.Members()
		var l []string
		for _, m := range members {
			l = append(l, m.Addr)
		}
		slices.Sort(l)
		assert.DeepEqual(f.t, l, addrs)
		for index, text := range f.acknowledged {
			assert.Assert(f.t, n.raft.AppliedIndex() >= index)
			assert.Equal(f.t, f.applied[index], text)
		}
	}
}

func TestReplaced(t *testing.T) {
	f := newSimulation(t, 1, "a", "b", "c")
	f.run(2 * time.Second)
	f.write("one")
	delete(f.members, "c")
	f.write("two")
	f.startEmpty("d", 20)
	f.run(4 * time.Second)
	f.requireComplete("a", "b", "d")
	// And the one that was the leader.
	old := f.leader().self.Addr
	delete(f.members, old)
	f.write("three")
	f.startEmpty("e", 30)
	f.run(4 * time.Second)
	rest := slices.DeleteFunc([]string{"a", "b", "d"}, func(a string) bool { return a == old })
	f.requireComplete(append(rest, "e")...)
}

// One wiped after another, each once the one before was taken in again, and the leader each time.
func TestWipedInTurn(t *testing.T) {
	for seed := range uint64(20) {
		f := newSimulation(t, seed, "a", "b", "c")
		f.run(2 * time.Second)
		for n := range 4 {
			f.write(fmt.Sprint("write ", n))
			f.startEmpty(f.leader().self.Addr, ID(100+n))
			f.run(4 * time.Second)
		}
		f.write("last")
		f.requireComplete("a", "b", "c")
	}
}

// A member that was cut off while its place was given away learns so, and is taken in when there is room again.
func TestLetGo(t *testing.T) {
	f := newSimulation(t, 3, "a", "b", "c")
	f.run(2 * time.Second)
	f.isolated["c"] = true
	if f.leader() == nil || f.leader().self.Addr == "c" {
		f.run(2 * time.Second)
	}
	f.write("one")
	f.startEmpty("d", 20)
	f.run(4 * time.Second)
	f.write("two")
	f.isolated["c"] = false
	f.run(3 * time.Second)
	f.requireComplete("a", "b", "d")
	term := f.leader().raft.Term()
	f.run(5 * time.Second)
	assert.Equal(t, f.leader().raft.Term(), term, "one that was let go unseats nobody")
	delete(f.members, "d")
	f.run(6 * time.Second)
	f.requireComplete("a", "b", "c")
}

// A leader that others hear but that hears nobody steps down; its reads are refused, not answered from what it holds.
func TestOneWay(t *testing.T) {
	f := newSimulation(t, 4, "a", "b", "c")
	f.run(2 * time.Second)
	l := f.leader()
	for _, a := range f.addrs() {
		f.cutLinks[[2]string{a, l.self.Addr}] = true
	}
	assert.Assert(t, l.raft.ReadIndex(f.now, 7))
	f.run(3 * time.Second)
	assert.Assert(t, !l.raft.IsLeader() && !l.raft.HasQuorumContact(f.now))
	clear(f.cutLinks)
	f.write("on")
	f.requireComplete("a", "b", "c")
}

// The log's time never runs faster than time, over all leaders.
func TestStamps(t *testing.T) {
	f := newSimulation(t, 5, "a", "b", "c")
	f.run(2 * time.Second)
	for n := range 5 {
		f.write(fmt.Sprint(n))
		f.isolated[f.leader().self.Addr] = true
		f.run(3 * time.Second)
		clear(f.isolated)
		f.run(time.Second)
	}
	f.write("last")
	n := f.leader()
	last := time.Duration(0)
	for _, e := range n.raft.log.entries {
		assert.Assert(t, e.LogTime >= last && e.LogTime <= f.now)
		last = e.LogTime
	}
}

// A store compacted on the way: who lags is sent the snapshot.
func TestInstall(t *testing.T) {
	f := newSimulation(t, 6, "a", "b", "c")
	f.run(2 * time.Second)
	f.isolated["c"] = true
	f.run(3 * time.Second)
	for n := range 10 {
		f.write(fmt.Sprint(n))
	}
	l := f.leader()
	l.compact([]byte("state"))
	assert.Assert(t, l.snapshot.Index > 1 && l.raft.EntriesSinceSnapshot() == 0)
	f.isolated["c"] = false
	f.run(2 * time.Second)
	f.write("behind it")
	f.requireComplete("a", "b", "c")
}

// A leader that is about to end has another take over, well before anybody would miss it.
func TestYield(t *testing.T) {
	f := newSimulation(t, 7, "a", "b", "c")
	f.run(2 * time.Second)
	f.write("one")
	l := f.leader()
	l.raft.TransferLeadership(f.now)
	f.processReady(l.self.Addr)
	f.run(100 * time.Millisecond)
	assert.Assert(t, f.leader() != nil && f.leader() != l && !l.raft.IsLeader())
	f.write("two")
	f.requireComplete("a", "b", "c")
}

// One that comes back with a long tail of a leader that is none any more is behind for a few messages, not for one try an
// entry; until then it is not in touch, though it hears the leader.
func TestCatchUp(t *testing.T) {
	w := modelWithLeader(t, 3)
	old := w.nodes[0]
	for n := range 300 { // the others hear nothing of these
		old.raft.Propose(old.now, []byte{byte(n)})
	}
	if err := w.processReady(0, noCrash, modelFaults{}); err != nil {
		t.Fatal(err)
	}
	w.network = nil
	for _, i := range []int{2, 1} { // they miss it; the second asks for votes
		w.network = nil
		w.nodes[i].now += 3 * testElectionTimeout
		w.nodes[i].raft.Tick(w.nodes[i].now)
		if err := w.processReady(i, noCrash, modelFaults{}); err != nil {
			t.Fatal(err)
		}
	}
	deliverAllExcept(t, w, 1)
	lead := w.nodes[1]
	if !lead.raft.IsLeader() {
		t.Fatal("the second does not lead")
	}
	for n := range 300 {
		lead.raft.Propose(lead.now, []byte{byte(n), 'b'})
	}
	if err := w.processReady(1, noCrash, modelFaults{}); err != nil {
		t.Fatal(err)
	}
	deliverAllExcept(t, w, 1)
	// The first hears again. A beat is all that starts each try.
	rounds := 0
	for ; old.raft.log.committed < lead.raft.log.committed; rounds++ {
		if rounds > 8 {
			t.Fatalf("after %d beats it has %d of %d entries", rounds, old.raft.log.committed, lead.raft.log.committed)
		}
		for _, n := range w.nodes {
			n.now += testHeartbeatInterval
		}
		lead.raft.Tick(lead.now)
		if err := w.processReady(1, noCrash, modelFaults{}); err != nil {
			t.Fatal(err)
		}
		for len(w.network) > 0 && old.raft.log.committed < lead.raft.log.committed {
			m := w.network[0]
			w.network = w.network[1:]
			i := int(m.To) - 1
			w.nodes[i].raft.Step(w.nodes[i].now, m)
			if err := w.processReady(i, noCrash, modelFaults{}); err != nil {
				t.Fatal(err)
			}
			if old.raft.log.committed < lead.raft.log.committed && old.raft.HasQuorumContact(old.now) {
				t.Fatalf("it is in touch with %d of %d entries", old.raft.log.committed, lead.raft.log.committed)
			}
		}
	}
	if !old.raft.HasQuorumContact(old.now) {
		t.Error("it has all, and is not in touch")
	}
	t.Logf("%d beats", rounds)
}

// deliverAllExcept delivers all that is under way but for what concerns some.
func deliverAllExcept(t *testing.T, w *modelState, but ...ID) {
	for len(w.network) > 0 {
		m := w.network[0]
		w.network = w.network[1:]
		if slices.Contains(but, m.To) || slices.Contains(but, m.From) {
			continue
		}
		i := int(m.To) - 1
		w.nodes[i].raft.Step(w.nodes[i].now, m)
		if err := w.processReady(i, noCrash, modelFaults{}); err != nil {
			t.Fatal(err)
		}
	}
}
