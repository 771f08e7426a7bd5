package raft

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"maps"
	"os"
	"reflect"
	"slices"
	"strconv"
	"testing"
	"time"

	"cranegrade/internal/testkit"
)

// A search of all orders: three or four registers, the messages between them delivered, lost, said twice or held back,
// each turn cut before or after its sync, registers restarted, wiped and frozen. Every state is visited once.

const (
	testHeartbeatInterval = 100 * time.Millisecond
	testElectionTimeout   = 500 * time.Millisecond
)

// testMember is a register: a core and what its disk holds.
type testMember struct {
	raft               *Raft
	self               Member
	hardState          HardState
	snapshot           Snapshot
	log                []Entry
	now                time.Duration
	wiped              int
	legacyProtocol     bool   // of the first build
	appliedIndex       uint64 // entry that it has applied since it started
	maxCatchUpEntries  int
	snapshotChunkBytes int
}

// modelState is a state of the search.
type modelState struct {
	nodes             []*testMember
	network           []Message
	applied           map[uint64]string // by index: what some register has applied
	leaders           map[uint64]ID     // by term
	acknowledgedIndex uint64            // highest index that a leader gave as committed
	acknowledgedTerm  uint64            // and its term
	trail             []string
	faultsLeft        int // crashes, wipes and losses that are left
	proposed          int
	leaderTicksLeft   int                      // of leaders that are left
	compactionsLeft   int                      // of leaders that are left
	readFloor         map[uint64]uint64        // by read: the highest index acknowledged when it was asked for
	configurations    map[uint64]Configuration // that were agreed on, by the index of their entries
	observe           func(*testMember, Ready) // called with each Ready before it is carried out; nil: nobody looks
}

// searchOptions say what a search tries beyond every order of deliveries, and each turn cut before and after its sync.
type searchOptions struct {
	crashes, loss, duplicates, wipes bool
	reads                            bool // leaders, or those that take themselves for one, are asked for a confirmed read
	mayElect                         ID   // the only one that misses its leader; 0: any may
}

// modelFaults makes a search's registers wrong in one way.
type modelFaults struct {
	noSync      bool // says what is not on disk
	keepWipedID bool // a wiped register keeps its id
	localLease  bool // a leader answers reads by its own clock, without asking the others
}

func (n *testMember) clone() *testMember {
	m := *n
	m.log = slices.Clone(n.log)
	c := *n.raft
	rng := *n.raft.rng
	c.rng = &rng
	c.log.entries = slices.Clone(c.log.entries)
	c.log.configuration.Members = slices.Clone(c.log.configuration.Members)
	c.reads = slices.Clone(c.reads)
	if c.votes != nil {
		c.votes = map[ID]bool{}
		for k, v := range n.raft.votes {
			c.votes[k] = v
		}
	}
	if c.peers != nil {
		c.peers = nil
		for _, v := range n.raft.peers {
			p := *v
			p.inflight = slices.Clone(p.inflight)
			if p.transfer != nil {
				t := *p.transfer
				p.transfer = &t
			}
			c.peers = append(c.peers, &p)
		}
	}
	if c.incoming != nil {
		a := *c.incoming
		a.data = slices.Clone(a.data)
		c.incoming = &a
	}
	m.raft = &c
	return &m
}

func (w *modelState) clone() *modelState {
	v := *w
	v.nodes = make([]*testMember, len(w.nodes))
	for i, n := range w.nodes {
		v.nodes[i] = n.clone()
	}
	v.network = slices.Clone(w.network)
	v.applied, v.leaders = map[uint64]string{}, map[uint64]ID{}
	for k, x := range w.applied {
		v.applied[k] = x
	}
	for k, x := range w.leaders {
		v.leaders[k] = x
	}
	v.readFloor, v.configurations = maps.Clone(w.readFloor), maps.Clone(w.configurations)
	v.trail = slices.Clone(w.trail)
	return &v
}

// hash tells states apart; times count by what they lead to, so they are left out.
func (w *modelState) hash() uint64 {
	b := make([]byte, 0, 1<<10)
	put := func(l ...uint64) {
		for _, x := range l {
			b = binary.AppendUvarint(b, x)
		}
	}
	flag := func(x bool) uint64 {
		if x {
			return 1
		}
		return 0
	}
	for _, n := range w.nodes {
		c := n.raft
		put(uint64(c.config.Self.ID), uint64(c.role), c.term, uint64(c.vote), uint64(c.leaderID), c.log.committed, c.log.applied, c.log.savedIndex, c.log.configuration.Index, uint64(len(c.log.configuration.Members)), uint64(len(c.log.configuration.Outgoing)), c.log.snapshot.Index)
		for _, e := range c.log.entries {
			put(e.Index, e.Term, uint64(e.Kind), uint64(len(e.Members)))
			b = append(b, e.Data...)
		}
		for _, m := range c.log.configuration.voters() {
			put(uint64(m.ID))
			if p := c.peers.get(m.ID); p != nil {
				put(p.match, p.next, flag(p.paused))
			}
			put(flag(c.votes[m.ID]))
		}
		for _, m := range c.log.configuration.Outgoing {
			put(uint64(m.ID))
		}
		for _, p := range c.peers {
			put(uint64(p.ID), p.match, p.next, flag(p.isJoining), flag(p.leaveGranted), uint64(p.leavingAt))
			if p.transfer != nil {
				put(p.transfer.snapshot.Index, p.transfer.sentBytes, p.transfer.ackedBytes)
			}
		}
		if c.incoming != nil {
			put(c.incoming.position.index, uint64(len(c.incoming.data)))
		}
		put(flag(c.leave.requested), flag(c.leave.granted))
		put(n.hardState.Term, uint64(n.hardState.Vote), n.snapshot.Index, uint64(len(n.log)), uint64(n.wiped))
	}
	msgs := make([]string, 0, len(w.network))
	for _, m := range w.network {
		msgs = append(msgs, m.modelText())
	}
	slices.Sort(msgs)
	for _, m := range msgs {
		b = append(b, m...)
	}
	put(uint64(w.faultsLeft), w.acknowledgedIndex, uint64(w.proposed), uint64(w.leaderTicksLeft), uint64(w.compactionsLeft))
	for id := range uint64(3) {
		put(w.readFloor[id+1])
	}
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}

// modelText tells messages apart.
func (m Message) modelText() string {
	b := make([]byte, 0, 64)
	for _, x := range []uint64{uint64(m.Kind), uint64(m.From), uint64(m.To), m.Term, m.Index, m.LogTerm, m.Commit, m.Hint, m.Offset, uint64(len(m.Entries))} {
		b = binary.AppendUvarint(b, x)
	}
	if m.Reject {
		b = append(b, 'n')
	}
	for _, e := range m.Entries {
		b = binary.AppendUvarint(b, e.Term)
	}
	return string(append(b, '|'))
}

func newModel(n int) *modelState {
	var members []Member
	for i := range n {
		members = append(members, Member{ID(i + 1), fmt.Sprint("r", i+1)})
	}
	w := &modelState{applied: map[uint64]string{}, leaders: map[uint64]ID{}, readFloor: map[uint64]uint64{}, configurations: map[uint64]Configuration{}}
	for i := range n {
		x := &testMember{self: members[i], snapshot: BootstrapSnapshot(members)}
		x.start()
		w.nodes = append(w.nodes, x)
	}
	return w
}

// saveEntries writes entries over all from the first one's index on.
func (n *testMember) saveEntries(l []Entry) {
	n.log = append(slices.DeleteFunc(slices.Clone(n.log), func(e Entry) bool { return e.Index >= l[0].Index }), l...)
}

// compact has a snapshot stand for what was applied.
func (n *testMember) compact(data []byte) {
	n.snapshot = n.raft.Compact(n.raft.AppliedIndex(), data)
	n.log = slices.DeleteFunc(slices.Clone(n.log), func(e Entry) bool { return e.Index < n.raft.OldestRetainedIndex() })
}

func (n *testMember) start() {
	n.appliedIndex = n.snapshot.Index
	behind := slices.IndexFunc(n.log, func(e Entry) bool { return e.Index > n.snapshot.Index })
	if behind < 0 {
		behind = len(n.log)
	}
	n.raft = New(Config{Self: n.self, HardState: n.hardState, Snapshot: n.snapshot, Entries: slices.Clone(n.log[behind:]), CatchUpEntries: slices.Clone(n.log[:behind]), MaxCatchUpEntries: n.maxCatchUpEntries, SnapshotChunkBytes: n.snapshotChunkBytes, ClusterSize: 3, HeartbeatInterval: testHeartbeatInterval, ElectionTimeout: testElectionTimeout,
		DeadMemberTimeout: 4 * testElectionTimeout, Seed: uint64(n.self.ID), legacyProtocol: n.legacyProtocol}, n.now)
}

// Where a turn is cut.
const (
	noCrash = iota
	crashBeforeSync
	crashAfterSync
)

// processReady lets a register carry out what its core wants; an error names a broken invariant.
func (w *modelState) processReady(i, cut int, p modelFaults) error {
	n := w.nodes[i]
	for {
		n.raft.Flush()
		r := n.raft.Ready()
		if len(r.MessagesBeforeSave)+len(r.MessagesAfterSave)+len(r.CommittedEntries)+len(r.ReadStates) == 0 && !r.MustSync() {
			return w.checkLeader(n)
		}
		if w.observe != nil {
			w.observe(n, r)
		}
		w.network = append(w.network, r.MessagesBeforeSave...)
		if cut == crashBeforeSync && r.MustSync() {
			if p.noSync { // it had answered all the same
				w.network = append(w.network, r.MessagesAfterSave...)
			}
			n.start()
			return nil
		}
		if r.HardState != nil {
			n.hardState = *r.HardState
		}
		if r.Snapshot != nil {
			if err := w.checkSnapshot(*r.Snapshot); err != nil {
				return fmt.Errorf("%d installs %w", n.self.ID, err)
			}
			if r.Snapshot.Index < n.snapshot.Index || n.appliedIndex > r.Snapshot.Index {
				return fmt.Errorf("%d, which has applied entry %d, installs the snapshot of entry %d", n.self.ID, n.appliedIndex, r.Snapshot.Index)
			}
			n.snapshot, n.log, n.appliedIndex = *r.Snapshot, nil, r.Snapshot.Index
		}
		if len(r.Entries) > 0 {
			n.saveEntries(r.Entries)
		}
		n.raft.MarkSaved(r)
		if cut == crashAfterSync && r.MustSync() {
			n.start()
			return nil
		}
		w.network = append(w.network, r.MessagesAfterSave...)
		for _, x := range r.ReadStates {
			if want := w.readFloor[x.RequestID]; x.Index > 0 && x.Index < want {
				return fmt.Errorf("read %d is answered as of entry %d, and entry %d had been acknowledged when it was asked for", x.RequestID, x.Index, want)
			}
		}
		for _, e := range r.CommittedEntries {
			text := fmt.Sprint(e.Term, e.Kind, string(e.Data), e.Members)
			if was, is := w.applied[e.Index]; is && was != text {
				return fmt.Errorf("entry %d was applied as %q and as %q", e.Index, was, text)
			}
			w.applied[e.Index] = text
			n.appliedIndex = e.Index
			if e.Kind == EntryConfiguration {
				w.configurations[e.Index] = e.configuration()
			}
			if n.raft.IsLeader() {
				if e.Index > w.acknowledgedIndex {
					w.acknowledgedIndex, w.acknowledgedTerm = e.Index, n.raft.Term()
				}
			}
		}
	}
}

// checkSnapshot says that a snapshot's members are those that were agreed on.
func (w *modelState) checkSnapshot(s Snapshot) error {
	latest := uint64(1)
	for index := range w.configurations {
		if index <= s.Index {
			latest = max(latest, index)
		}
	}
	is := s.configuration()
	if want, known := w.configurations[s.ConfigurationIndex]; s.ConfigurationIndex < latest || s.ConfigurationIndex > s.Index || len(is.Members) == 0 || known && !reflect.DeepEqual(is, want) {
		return fmt.Errorf("the snapshot of entry %d with the members of entry %d, %+v; agreed on were those of entry %d, %+v", s.Index, s.ConfigurationIndex, is, latest, w.configurations[latest])
	}
	return nil
}

func (w *modelState) checkLeader(n *testMember) error {
	if n.raft.IsLeader() {
		if was, is := w.leaders[n.raft.Term()]; is && was != n.self.ID {
			return fmt.Errorf("term %d has two leaders, %d and %d", n.raft.Term(), was, n.self.ID)
		}
		w.leaders[n.raft.Term()] = n.self.ID
		if n.raft.log.lastIndex() < w.acknowledgedIndex && n.raft.Term() > w.acknowledgedTerm {
			return fmt.Errorf("the leader of term %d lacks entry %d, which was acknowledged", n.raft.Term(), w.acknowledgedIndex)
		}
	}
	return nil
}

// successors gives every state that one step leads to.
func (w *modelState) successors(p modelFaults, o searchOptions) (out []*modelState, err error) {
	step := func(name string, f func(v *modelState) error) {
		if err != nil {
			return
		}
		v := w.clone()
		v.trail = append(v.trail, name)
		if e := f(v); e != nil {
			err = fmt.Errorf("%v: %w", v.trail, e)
			return
		}
		out = append(out, v)
	}
	for k, m := range w.network {
		i := slices.IndexFunc(w.nodes, func(n *testMember) bool { return n.self.ID == m.To })
		take := func(v *modelState, cut int) error {
			v.network = slices.Delete(slices.Clone(v.network), k, k+1)
			if i < 0 {
				return nil
			}
			v.nodes[i].raft.Step(v.nodes[i].now, m)
			return v.processReady(i, cut, p)
		}
		if slices.ContainsFunc(w.network[:k], func(x Message) bool { return x.modelText() == m.modelText() }) {
			continue // the same as an earlier one
		}
		step(fmt.Sprint("take ", m.Kind, m.From, m.To), func(v *modelState) error { return take(v, noCrash) })
		if w.faultsLeft > 0 && o.crashes {
			step(fmt.Sprint("cut before sync ", m.Kind, m.From, m.To), func(v *modelState) error { v.faultsLeft--; return take(v, crashBeforeSync) })
			step(fmt.Sprint("cut after sync ", m.Kind, m.From, m.To), func(v *modelState) error { v.faultsLeft--; return take(v, crashAfterSync) })
		}
		if w.faultsLeft > 0 && o.loss {
			step(fmt.Sprint("lose ", m.Kind, m.From, m.To), func(v *modelState) error {
				v.faultsLeft--
				v.network = slices.Delete(slices.Clone(v.network), k, k+1)
				return nil
			})
		}
		if w.faultsLeft > 0 && o.duplicates {
			step(fmt.Sprint("twice ", m.Kind, m.From, m.To), func(v *modelState) error { v.faultsLeft--; v.network = append(v.network, m); return take(v, noCrash) })
		}
	}
	for i, n := range w.nodes {
		if !n.raft.IsLeader() && (o.mayElect == 0 || o.mayElect == n.self.ID) && n.raft.Term() < 5 && len(w.network) < 8 {
			step(fmt.Sprint("silence ", n.self.ID), func(v *modelState) error {
				v.nodes[i].now += 3 * testElectionTimeout
				v.nodes[i].raft.Tick(v.nodes[i].now)
				return v.processReady(i, noCrash, p)
			})
		}
		if id := uint64(len(w.readFloor) + 1); o.reads && n.raft.IsLeader() && id <= 2 {
			step(fmt.Sprint("read ", n.self.ID), func(v *modelState) error {
				x := v.nodes[i].raft
				v.readFloor[id] = v.acknowledgedIndex
				if p.localLease && x.HasQuorumContact(v.nodes[i].now) {
					x.answerRead(ReadState{RequestID: id, Index: x.log.committed})
				} else if !x.ReadIndex(v.nodes[i].now, id) {
					return nil
				}
				return v.processReady(i, noCrash, p)
			})
		}
		if n.raft.IsLeader() && w.leaderTicksLeft > 0 {
			step(fmt.Sprint("beat ", n.self.ID), func(v *modelState) error {
				v.leaderTicksLeft--
				v.nodes[i].now += testHeartbeatInterval
				v.nodes[i].raft.Tick(v.nodes[i].now)
				return v.processReady(i, noCrash, p)
			})
		}
		if n.raft.IsLeader() && w.compactionsLeft > 0 && n.raft.AppliedIndex() > n.snapshot.Index {
			step(fmt.Sprint("compact ", n.self.ID), func(v *modelState) error {
				v.compactionsLeft--
				v.nodes[i].compact([]byte("state"))
				return v.checkSnapshot(v.nodes[i].snapshot)
			})
		}
		if n.raft.IsLeader() && w.proposed < 2 {
			step(fmt.Sprint("propose ", n.self.ID), func(v *modelState) error {
				v.proposed++
				v.nodes[i].raft.Propose(v.nodes[i].now, []byte{byte('a' + v.proposed)})
				return v.processReady(i, noCrash, p)
			})
		}
		if o.wipes && w.faultsLeft > 0 && n.wiped == 0 && !slices.ContainsFunc(w.nodes, func(x *testMember) bool { return x.wiped > 0 }) {
			step(fmt.Sprint("wipe ", n.self.ID), func(v *modelState) error {
				x := v.nodes[i]
				v.faultsLeft--
				x.wiped++
				x.hardState, x.log = HardState{}, nil
				if !p.keepWipedID {
					x.self.ID, x.snapshot = ID(100+i), Snapshot{}
				}
				x.start()
				return nil
			})
		}
	}
	return out, err
}

// exploreStates visits states, the first found first, until there are no more or most were found.
func exploreStates(w *modelState, p modelFaults, o searchOptions, most int) (states int, err error) {
	seen := map[uint64]bool{w.hash(): true}
	list := []*modelState{w}
	for len(list) > 0 {
		w := list[0]
		list[0], list = nil, list[1:]
		next, err := w.successors(p, o)
		if err != nil {
			return len(seen), err
		}
		for _, v := range next {
			if k := v.hash(); !seen[k] && len(seen) < most {
				seen[k] = true
				list = append(list, v)
			}
		}
	}
	return len(seen), nil
}

// modelWithLeader is a world in which the first leads and all have heard of it.
func modelWithLeader(t *testing.T, n int) *modelState {
	w := newModel(n)
	w.nodes[0].now += 3 * testElectionTimeout
	w.nodes[0].raft.Tick(w.nodes[0].now)
	if err := w.processReady(0, noCrash, modelFaults{}); err != nil {
		t.Fatal(err)
	}
	deliverAll(t, w)
	if !w.nodes[0].raft.IsLeader() {
		t.Fatal("the first does not lead")
	}
	return w
}

// deliverAll delivers all that is under way.
func deliverAll(t *testing.T, w *modelState) {
	for n := 0; len(w.network) > 0; n++ {
		m := w.network[0]
		w.network = w.network[1:]
		i := slices.IndexFunc(w.nodes, func(x *testMember) bool { return x.self.ID == m.To })
		if i >= 0 {
			w.nodes[i].raft.Step(w.nodes[i].now, m)
			if err := w.processReady(i, noCrash, modelFaults{}); err != nil {
				t.Fatal(err)
			}
		}
		if n > 1000 {
			t.Fatal("it does not settle")
		}
	}
}

func TestAllOrders(t *testing.T) {
	most := maxSearchStates(t)
	for _, x := range []struct {
		name  string
		led   bool
		lives int
		o     searchOptions
	}{
		{"from nothing", false, 1, searchOptions{crashes: true, loss: true, duplicates: true}},
		{"with a leader, one cut or loss", true, 1, searchOptions{crashes: true, loss: true, duplicates: true}},
		{"with a leader, cuts, and one that misses it", true, 2, searchOptions{crashes: true, mayElect: 3}},
		{"with a leader, one wiped", true, 2, searchOptions{crashes: true, wipes: true, mayElect: 3}},
		{"with a leader that stands still, and reads", true, 0, searchOptions{reads: true}},
	} {
		t.Run(x.name, func(t *testing.T) {
			w := newModel(3)
			if x.led {
				w = modelWithLeader(t, 3)
			}
			w.faultsLeft = x.lives
			n, err := exploreStates(w, modelFaults{}, x.o, most)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d states", n)
		})
	}
}

// maxSearchStates is how many a search visits at most: CORE_STATES, if that is set.
func maxSearchStates(t *testing.T) int {
	text := os.Getenv("CORE_STATES")
	switch n, err := strconv.Atoi(text); {
	case text != "" && err != nil:
		t.Fatal(err)
	case text != "":
		return n
	case testkit.Race || testing.Short():
		return 800
	}
	return 5_000
}

// Two ask for votes in one term; the third votes, restarts, and is asked again.
func TestOrdersOfTwoCandidates(t *testing.T) {
	w := newModel(3)
	for i := range 2 {
		w.nodes[i].now += 3 * testElectionTimeout
		w.nodes[i].raft.Tick(w.nodes[i].now)
		if err := w.processReady(i, noCrash, modelFaults{}); err != nil {
			t.Fatal(err)
		}
	}
	for range 4 { // both are told by the third that it would vote for them
		k := slices.IndexFunc(w.network, func(m Message) bool {
			return m.Kind == PreVote && m.To == 3 || m.Kind == PreVoteResponse && m.From == 3
		})
		m := w.network[k]
		w.network = slices.Delete(w.network, k, k+1)
		w.nodes[m.To-1].raft.Step(w.nodes[m.To-1].now, m)
		if err := w.processReady(int(m.To-1), noCrash, modelFaults{}); err != nil {
			t.Fatal(err)
		}
	}
	w.faultsLeft = 1
	n, err := exploreStates(w, modelFaults{}, searchOptions{crashes: true, mayElect: 9}, maxSearchStates(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d states", n)
}

// The third has lost its disk, and what it is now is a learner that has caught up: every order of the exchange, with the leader's
// heartbeats, cuts, losses, others that miss the leader, and compactions, after which a snapshot goes in chunks.
func TestOrdersOfAnExchange(t *testing.T) {
	for _, x := range []struct {
		name            string
		lives, compacts int
		o               searchOptions
	}{
		{"cuts and losses", 1, 0, searchOptions{crashes: true, loss: true, mayElect: 2}},
		{"the learner misses the leader", 0, 0, searchOptions{mayElect: 4}},
		{"a snapshot in chunks", 1, 1, searchOptions{loss: true, duplicates: true, mayElect: 2}},
	} {
		t.Run(x.name, func(t *testing.T) {
			w := modelWithLeader(t, 3)
			n := &testMember{self: Member{4, "r3"}}
			n.start()
			w.nodes[2] = n
			for _, n := range w.nodes {
				n.raft.config.SnapshotChunkBytes, n.snapshotChunkBytes = 2, 2
			}
			w.network = append(w.network, Message{Kind: JoinRequest, From: 4, To: 1, Addr: "r3", ProtocolVersion: ProtocolVersion})
			deliverAll(t, w)
			for range 2 { // the learner catches up
				w.nodes[0].now += testHeartbeatInterval
				w.nodes[0].raft.broadcastHeartbeat()
				if err := w.processReady(0, noCrash, modelFaults{}); err != nil {
					t.Fatal(err)
				}
				deliverAll(t, w)
			}
			w.leaderTicksLeft, w.faultsLeft, w.compactionsLeft = 3, x.lives, x.compacts
			n2, err := exploreStates(w, modelFaults{}, x.o, maxSearchStates(t))
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d states", n2)
		})
	}
}

// The searches find what is wrong with registers that are made wrong. after: what has happened before the search begins.
func TestPlanted(t *testing.T) {
	// The second and the third have heard nothing of the first for long, and the second has asked the third for its vote.
	still := func(t *testing.T, w *modelState) {
		for _, i := range []int{2, 1} {
			w.nodes[i].now += 3 * testElectionTimeout
			w.nodes[i].raft.Tick(w.nodes[i].now)
			if err := w.processReady(i, noCrash, modelFaults{}); err != nil {
				t.Fatal(err)
			}
			if i == 2 {
				w.network = nil
			}
		}
		w.network = slices.DeleteFunc(w.network, func(m Message) bool { return m.To == 1 })
	}
	// The first, which the second and the third don't hear, makes these the members, with two that are new.
	members := func(t *testing.T, w *modelState, l ...Member) {
		for _, m := range []Member{{4, "r4"}, {5, "r5"}} {
			n := &testMember{self: m}
			n.start()
			w.nodes = append(w.nodes, n)
		}
		still(t, w)
		asked := w.network
		w.network = nil
		w.nodes[0].raft.appendAsLeader(Entry{Kind: EntryConfiguration, Members: l})
		if err := w.processReady(0, noCrash, modelFaults{}); err != nil {
			t.Fatal(err)
		}
		deliverAllExcept(t, w, 2, 3)
		w.nodes[0].raft.Propose(w.nodes[0].now, []byte("x"))
		if err := w.processReady(0, noCrash, modelFaults{}); err != nil {
			t.Fatal(err)
		}
		deliverAllExcept(t, w, 2, 3)
		w.network = asked
	}
	// The first has proposed something, of which the third hears nothing.
	proposed := func(answered bool) func(t *testing.T, w *modelState) {
		return func(t *testing.T, w *modelState) {
			w.proposed = 2
			w.nodes[0].raft.Propose(w.nodes[0].now, []byte("x"))
			if err := w.processReady(0, noCrash, modelFaults{}); err != nil {
				t.Fatal(err)
			}
			w.network = slices.DeleteFunc(w.network, func(m Message) bool { return m.To == 3 })
			if answered {
				deliverAllExcept(t, w, 3)
			}
		}
	}
	for name, x := range map[string]struct {
		p     modelFaults
		o     searchOptions
		after func(t *testing.T, w *modelState)
	}{
		"answers before the sync":                 {modelFaults{noSync: true}, searchOptions{crashes: true, mayElect: 3}, proposed(false)},
		"a wiped register keeps its id and votes": {modelFaults{keepWipedID: true}, searchOptions{wipes: true, mayElect: 3}, proposed(true)},
		"a lease by the reader's own clock":       {modelFaults{localLease: true}, searchOptions{reads: true, mayElect: 9}, still},
		"two cores at once": {modelFaults{}, searchOptions{mayElect: 9}, func(t *testing.T, w *modelState) {
			members(t, w, Member{1, "r1"}, Member{4, "r4"}, Member{5, "r5"})
		}},
	} {
		t.Run(name, func(t *testing.T) {
			w := modelWithLeader(t, 3)
			w.faultsLeft = 1
			if x.after != nil {
				x.after(t, w)
			}
			if n, err := exploreStates(w, x.p, x.o, 100_000); err == nil {
				t.Errorf("not found in %d states", n)
			} else {
				t.Logf("%d states: %v", n, err)
			}
		})
	}
	// One at a time is no plant: the same search finds nothing.
	w := modelWithLeader(t, 3)
	members(t, w, Member{1, "r1"}, Member{2, "r2"}, Member{3, "r3"}, Member{4, "r4"})
	if n, err := exploreStates(w, modelFaults{}, searchOptions{mayElect: 9}, 500); err != nil {
		t.Errorf("%d states: %v", n, err)
	}
}
