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

// testMember is a member with the contents of its disk.
type testMember struct {
	raft *Raft
	self Member
	now  time.Duration

	hardState HardState
	snapshot  Snapshot
	log       []Entry // including catch-up entries before the end of the snapshot

	appliedIndex       uint64 // index of the last entry applied since it started
	disksLost          int
	legacyProtocol     bool
	maxCatchUpEntries  int
	snapshotChunkBytes int
}

// start starts the member from the contents of its disk.
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

// saveEntries replaces all stored entries from the index of the first given one on.
func (n *testMember) saveEntries(entries []Entry) {
	kept := slices.DeleteFunc(slices.Clone(n.log), func(e Entry) bool { return e.Index >= entries[0].Index })
	n.log = append(kept, entries...)
}

// compact replaces the applied entries with a snapshot.
func (n *testMember) compact(data []byte) {
	n.snapshot = n.raft.Compact(n.raft.AppliedIndex(), data)
	n.log = slices.DeleteFunc(slices.Clone(n.log), func(e Entry) bool { return e.Index < n.raft.OldestRetainedIndex() })
}

// modelState is the state of a cluster: its members, the messages in flight, and what the invariant checks need. Every Ready of a member is
// checked against the safety properties of Raft (Raft paper, figure 3).
type modelState struct {
	nodes   []*testMember
	network []Message

	applied           map[uint64]string        // by index: the entry that some member has applied
	leaders           map[uint64]ID            // by term
	acknowledgedIndex uint64                   // highest index that a leader has returned as committed
	acknowledgedTerm  uint64                   // term of that leader
	readFloor         map[uint64]uint64        // by read request: acknowledgedIndex when it was made
	configurations    map[uint64]Configuration // committed ones, by the index of their entries

	// Only used by searches: the steps so far, and how many more of each kind are allowed.
	history         []string // descriptions of the steps
	faultsLeft      int      // crashes, lost disks and lost messages
	proposed        int
	leaderTicksLeft int
	compactionsLeft int

	observe func(*testMember, Ready) // called with each Ready before it is processed; may be nil
}

// modelFaults injects a fault into the members of a model.
type modelFaults struct {
	sendBeforeSync      bool // a member sends messages that depend on a write before the sync, and the write is lost
	keepIDAfterDiskLoss bool // a member that lost its disk keeps its ID
	leaseReads          bool // a leader serves reads by a lease on its own clock, without a heartbeat round
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

// modelWithLeader returns a model whose first member leads. All messages have been delivered.
func modelWithLeader(t *testing.T, n int) *modelState {
	t.Helper()
	model := newModel(n)
	model.expireElectionTimeout(t, 0)
	deliverAll(t, model)
	assert.Assert(t, model.nodes[0].raft.IsLeader())
	return model
}

// expireElectionTimeout advances the time of one member beyond its election deadline, and processes the resulting Readys.
func (model *modelState) expireElectionTimeout(t *testing.T, i int) {
	t.Helper()
	member := model.nodes[i]
	member.now += 3 * testElectionTimeout
	member.raft.Tick(member.now)
	assert.NilError(t, model.processReady(i, noCrash, modelFaults{}))
}

// indexOf returns the position of a member among the nodes, or -1 if no node has this ID.
func (model *modelState) indexOf(id ID) int {
	return slices.IndexFunc(model.nodes, func(member *testMember) bool { return member.self.ID == id })
}

// deliverAll delivers all messages in flight, and those that are sent in response.
func deliverAll(t *testing.T, model *modelState) {
	t.Helper()
	for delivered := 0; len(model.network) > 0; delivered++ {
		deliverNext(t, model)
		assert.Assert(t, delivered <= 1000, "messages are still sent after 1000 deliveries")
	}
}

// deliverAllExcept delivers all messages in flight, except that messages from and to some members are lost.
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

// Points at which a member crashes while it processes a Ready.
const (
	noCrash = iota
	crashBeforeSync
	crashAfterSync
)

// processReady makes a member process its Readys until there is nothing left to do. The error tells which invariant is violated.
func (model *modelState) processReady(i, crash int, faults modelFaults) error {
	n := model.nodes[i]
	for {
		n.raft.Flush()
		ready := n.raft.Ready()
		if len(ready.MessagesBeforeSave)+len(ready.MessagesAfterSave)+len(ready.CommittedEntries)+len(ready.ReadStates) == 0 &&
			!ready.MustSync() {
			return model.checkLeader(n)
		}
		if model.observe != nil {
			model.observe(n, ready)
		}
		model.network = append(model.network, ready.MessagesBeforeSave...)
		if crash == crashBeforeSync && ready.MustSync() {
			if faults.sendBeforeSync {
				model.network = append(model.network, ready.MessagesAfterSave...)
			}
			n.start()
			return nil
		}
		if err := model.save(n, ready); err != nil {
			return err
		}
		n.raft.MarkSaved(ready)
		if crash == crashAfterSync && ready.MustSync() {
			n.start()
			return nil
		}
		model.network = append(model.network, ready.MessagesAfterSave...)
		if err := model.checkReads(ready.ReadStates); err != nil {
			return err
		}
		if err := model.apply(n, ready.CommittedEntries); err != nil {
			return err
		}
	}
}

// save writes the HardState, Snapshot and Entries of a Ready to a member's disk.
func (model *modelState) save(n *testMember, ready Ready) error {
	if ready.HardState != nil {
		n.hardState = *ready.HardState
	}
	if ready.Snapshot != nil {
		if err := model.checkSnapshot(*ready.Snapshot); err != nil {
			return fmt.Errorf("member %d installs %w", n.self.ID, err)
		}
		if ready.Snapshot.Index < n.snapshot.Index || n.appliedIndex > ready.Snapshot.Index {
			return fmt.Errorf("member %d, which has applied entry %d, installs an older snapshot of entry %d",
				n.self.ID, n.appliedIndex, ready.Snapshot.Index)
		}
		n.snapshot, n.log, n.appliedIndex = *ready.Snapshot, nil, ready.Snapshot.Index
	}
	if len(ready.Entries) > 0 {
		n.saveEntries(ready.Entries)
	}
	return nil
}

// apply applies entries at a member. They must equal the entries that other members have applied at the same indexes.
func (model *modelState) apply(n *testMember, entries []Entry) error {
	for _, e := range entries {
		text := fmt.Sprint(e.Term, e.Kind, string(e.Data), e.Members)
		if previous, found := model.applied[e.Index]; found && previous != text {
			return fmt.Errorf("entry %d was applied as %q and as %q", e.Index, previous, text)
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

// checkReads checks that each confirmed read includes all entries that were acknowledged when it was requested.
func (model *modelState) checkReads(states []ReadState) error {
	for _, state := range states {
		if want := model.readFloor[state.RequestID]; state.Index > 0 && state.Index < want {
			return fmt.Errorf("read %d is confirmed at entry %d, but entry %d had been acknowledged when it was requested",
				state.RequestID, state.Index, want)
		}
	}
	return nil
}

// checkSnapshot checks that a snapshot contains the configuration that was committed at its index.
func (model *modelState) checkSnapshot(s Snapshot) error {
	latest := uint64(1)
	for index := range model.configurations {
		if index <= s.Index {
			latest = max(latest, index)
		}
	}
	got := s.configuration()
	want, found := model.configurations[s.ConfigurationIndex]
	if s.ConfigurationIndex < latest || s.ConfigurationIndex > s.Index || len(got.Members) == 0 || found && !reflect.DeepEqual(got, want) {
		return fmt.Errorf("the snapshot of entry %d with the configuration of entry %d, %+v; the committed one is that of entry %d, %+v",
			s.Index, s.ConfigurationIndex, got, latest, model.configurations[latest])
	}
	return nil
}

// checkLeader checks that a term has at most one leader, and that a leader has all entries that were acknowledged in earlier terms.
func (model *modelState) checkLeader(n *testMember) error {
	if !n.raft.IsLeader() {
		return nil
	}
	term := n.raft.Term()
	if previous, found := model.leaders[term]; found && previous != n.self.ID {
		return fmt.Errorf("term %d has two leaders, %d and %d", term, previous, n.self.ID)
	}
	model.leaders[term] = n.self.ID
	if n.raft.LastIndex() < model.acknowledgedIndex && term > model.acknowledgedTerm {
		return fmt.Errorf("the leader of term %d lacks entry %d, which was acknowledged", term, model.acknowledgedIndex)
	}
	return nil
}
