package raft

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Timing of the members in all tests of this package.
const (
	testHeartbeatInterval = 100 * time.Millisecond
	testElectionTimeout   = 500 * time.Millisecond
	testClusterSize       = 3
)

// testMember is a member and what its disk holds.
type testMember struct {
	raft *Raft
	self Member
	now  time.Duration

	hardState HardState
	snapshot  Snapshot
	log       []Entry // entries in front of the snapshot as well

	appliedIndex       uint64 // since it started
	disksLost          int
	legacyProtocol     bool
	maxCatchUpEntries  int
	snapshotChunkBytes int
}

// start starts the member from what its disk holds.
func (n *testMember) start() {
	n.appliedIndex = n.snapshot.Index
	behind := slices.IndexFunc(n.log, func(e Entry) bool { return e.Index > n.snapshot.Index })
	if behind < 0 {
		behind = len(n.log)
	}
	n.raft = New(Config{
		Self:               n.self,
		HardState:          n.hardState,
		Snapshot:           n.snapshot,
		Entries:            slices.Clone(n.log[behind:]),
		CatchUpEntries:     slices.Clone(n.log[:behind]),
		MaxCatchUpEntries:  n.maxCatchUpEntries,
		SnapshotChunkBytes: n.snapshotChunkBytes,
		ClusterSize:        testClusterSize,
		HeartbeatInterval:  testHeartbeatInterval,
		ElectionTimeout:    testElectionTimeout,
		DeadMemberTimeout:  4 * testElectionTimeout,
		Seed:               uint64(n.self.ID),
		legacyProtocol:     n.legacyProtocol,
	}, n.now)
}

// saveEntries writes entries over all from the first one's index on.
func (n *testMember) saveEntries(entries []Entry) {
	kept := slices.DeleteFunc(slices.Clone(n.log), func(e Entry) bool { return e.Index >= entries[0].Index })
	n.log = append(kept, entries...)
}

// compact replaces what is applied by a snapshot.
func (n *testMember) compact(data []byte) {
	n.snapshot = n.raft.Compact(n.raft.AppliedIndex(), data)
	n.log = slices.DeleteFunc(slices.Clone(n.log), func(e Entry) bool { return e.Index < n.raft.OldestRetainedIndex() })
}

// modelState is the state of some members and of the messages between them, with what the checks need to know. Every action of a member
// is checked against the invariants of Raft (Raft paper, figure 3).
type modelState struct {
	nodes   []*testMember
	network []Message

	applied           map[uint64]string        // by index: what some member has applied
	leaders           map[uint64]ID            // by term
	acknowledgedIndex uint64                   // highest index that a leader handed out as committed
	acknowledgedTerm  uint64                   // and its term
	readFloor         map[uint64]uint64        // by read: the highest index acknowledged when it was asked for
	configurations    map[uint64]Configuration // that were committed, by the index of their entries

	// What a search may still do.
	trail           []string // what it did
	faultsLeft      int      // crashes, lost disks and lost messages
	proposed        int
	leaderTicksLeft int
	compactionsLeft int

	observe func(*testMember, Ready) // called with each Ready before it is processed; may be nil
}

// modelFaults makes the members of a model wrong in one way.
type modelFaults struct {
	noSync      bool // a member sends messages that depend on a write that is lost
	keepWipedID bool // a member that lost its disk keeps its ID
	localLease  bool // a leader answers reads by its own clock, without asking the others
}

func newModel(n int) *modelState {
	var members []Member
	for i := range n {
		members = append(members, Member{ID(i + 1), fmt.Sprint("r", i+1)})
	}
	model := &modelState{
		applied:        map[uint64]string{},
		leaders:        map[uint64]ID{},
		readFloor:      map[uint64]uint64{},
		configurations: map[uint64]Configuration{},
	}
	for _, self := range members {
		member := &testMember{self: self, snapshot: BootstrapSnapshot(members)}
		member.start()
		model.nodes = append(model.nodes, member)
	}
	return model
}

// modelWithLeader is a model whose first member leads, and all have heard of it.
func modelWithLeader(t *testing.T, n int) *modelState {
	t.Helper()
	model := newModel(n)
	model.missLeader(t, 0)
	deliverAll(t, model)
	assert.Assert(t, model.nodes[0].raft.IsLeader())
	return model
}

// missLeader lets so much time pass at one member that it misses its leader.
func (model *modelState) missLeader(t *testing.T, i int) {
	t.Helper()
	member := model.nodes[i]
	member.now += 3 * testElectionTimeout
	member.raft.Tick(member.now)
	assert.NilError(t, model.processReady(i, noCrash, modelFaults{}))
}

// indexOf is the place of a member; -1: there is none of this ID.
func (model *modelState) indexOf(id ID) int {
	return slices.IndexFunc(model.nodes, func(member *testMember) bool { return member.self.ID == id })
}

// deliverAll delivers all messages in flight, and those that are sent in response.
func deliverAll(t *testing.T, model *modelState) {
	t.Helper()
	for delivered := 0; len(model.network) > 0; delivered++ {
		deliverNext(t, model)
		assert.Assert(t, delivered <= 1000, "it does not settle")
	}
}

// deliverAllExcept delivers all messages in flight but loses those that some members send or are sent.
func deliverAllExcept(t *testing.T, model *modelState, except ...ID) {
	t.Helper()
	for len(model.network) > 0 {
		if m := model.network[0]; slices.Contains(except, m.To) || slices.Contains(except, m.From) {
			model.network = model.network[1:]
			continue
		}
		deliverNext(t, model)
	}
}

// deliverNext delivers the first message in flight. The message is lost if its receiver does not exist.
func deliverNext(t *testing.T, model *modelState) {
	t.Helper()
	m := model.network[0]
	model.network = model.network[1:]
	if i := model.indexOf(m.To); i >= 0 {
		model.nodes[i].raft.Step(model.nodes[i].now, m)
		assert.NilError(t, model.processReady(i, noCrash, modelFaults{}))
	}
}

// Where a member crashes while it carries out a Ready.
const (
	noCrash = iota
	crashBeforeSync
	crashAfterSync
)

// processReady lets a member carry out its Readys until there is nothing to do. An error names the invariant that is broken.
func (model *modelState) processReady(i, crash int, faults modelFaults) error {
	n := model.nodes[i]
	for {
		n.raft.Flush()
		r := n.raft.Ready()
		if len(r.MessagesBeforeSave)+len(r.MessagesAfterSave)+len(r.CommittedEntries)+len(r.ReadStates) == 0 && !r.MustSync() {
			return model.checkLeader(n)
		}
		if model.observe != nil {
			model.observe(n, r)
		}
		model.network = append(model.network, r.MessagesBeforeSave...)
		if crash == crashBeforeSync && r.MustSync() {
			if faults.noSync { // it has answered all the same
				model.network = append(model.network, r.MessagesAfterSave...)
			}
			n.start()
			return nil
		}
		if err := model.save(n, r); err != nil {
			return err
		}
		n.raft.MarkSaved(r)
		if crash == crashAfterSync && r.MustSync() {
			n.start()
			return nil
		}
		model.network = append(model.network, r.MessagesAfterSave...)
		if err := model.checkReads(r.ReadStates); err != nil {
			return err
		}
		if err := model.apply(n, r.CommittedEntries); err != nil {
			return err
		}
	}
}

// save puts on a member's disk what a Ready says.
func (model *modelState) save(n *testMember, r Ready) error {
	if r.HardState != nil {
		n.hardState = *r.HardState
	}
	if r.Snapshot != nil {
		if err := model.checkSnapshot(*r.Snapshot); err != nil {
			return fmt.Errorf("%d installs %w", n.self.ID, err)
		}
		if r.Snapshot.Index < n.snapshot.Index || n.appliedIndex > r.Snapshot.Index {
			return fmt.Errorf("%d, which has applied entry %d, installs the snapshot of entry %d",
				n.self.ID, n.appliedIndex, r.Snapshot.Index)
		}
		n.snapshot, n.log, n.appliedIndex = *r.Snapshot, nil, r.Snapshot.Index
	}
	if len(r.Entries) > 0 {
		n.saveEntries(r.Entries)
	}
	return nil
}

// apply applies entries at a member, which must be those that all others have applied.
func (model *modelState) apply(n *testMember, entries []Entry) error {
	for _, e := range entries {
		text := fmt.Sprint(e.Term, e.Kind, string(e.Data), e.Members)
		if was, is := model.applied[e.Index]; is && was != text {
			return fmt.Errorf("entry %d was applied as %q and as %q", e.Index, was, text)
		}
		model.applied[e.Index] = text
		n.appliedIndex = e.Index
		if e.Kind == EntryConfiguration {
			model.configurations[e.Index] = e.configuration()
		}
		if n.raft.IsLeader() && e.Index > model.acknowledgedIndex {
			model.acknowledgedIndex, model.acknowledgedTerm = e.Index, n.raft.Term()
		}
	}
	return nil
}

// checkReads checks that reads are answered with all that was acknowledged when they were asked for.
func (model *modelState) checkReads(states []ReadState) error {
	for _, state := range states {
		if want := model.readFloor[state.RequestID]; state.Index > 0 && state.Index < want {
			return fmt.Errorf("read %d is answered as of entry %d, and entry %d had been acknowledged when it was asked for",
				state.RequestID, state.Index, want)
		}
	}
	return nil
}

// checkSnapshot checks that a snapshot's members are those that were committed as of its index.
func (model *modelState) checkSnapshot(s Snapshot) error {
	latest := uint64(1)
	for index := range model.configurations {
		if index <= s.Index {
			latest = max(latest, index)
		}
	}
	is := s.configuration()
	want, known := model.configurations[s.ConfigurationIndex]
	if s.ConfigurationIndex < latest || s.ConfigurationIndex > s.Index || len(is.Members) == 0 || known && !reflect.DeepEqual(is, want) {
		return fmt.Errorf("the snapshot of entry %d with the members of entry %d, %+v; committed were those of entry %d, %+v",
			s.Index, s.ConfigurationIndex, is, latest, model.configurations[latest])
	}
	return nil
}

// checkLeader checks that a term has one leader, and that a leader has all that was acknowledged in earlier terms.
func (model *modelState) checkLeader(n *testMember) error {
	if !n.raft.IsLeader() {
		return nil
	}
	term := n.raft.Term()
	if was, is := model.leaders[term]; is && was != n.self.ID {
		return fmt.Errorf("term %d has two leaders, %d and %d", term, was, n.self.ID)
	}
	model.leaders[term] = n.self.ID
	if n.raft.LastIndex() < model.acknowledgedIndex && term > model.acknowledgedTerm {
		return fmt.Errorf("the leader of term %d lacks entry %d, which was acknowledged", term, model.acknowledgedIndex)
	}
	return nil
}
