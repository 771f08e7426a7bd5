package raft

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/testkit"
)

// searchOptions say what a search tries beyond every order of deliveries. Each of crashes, loss, duplicates and wipes takes one of the
// model's faultsLeft.
type searchOptions struct {
	crashes    bool // before and after the sync of a Ready
	loss       bool // of messages
	duplicates bool // of messages
	wipes      bool // one member loses its disk
	reads      bool // leaders, or those that take themselves for one, are asked for a confirmed read
	mayElect   ID   // the only one that misses its leader, or 0 if any may
}

// successors collects the states that one step of a state leads to, until a step breaks an invariant.
type successors struct {
	from   *modelState
	faults modelFaults
	o      searchOptions
	states []*modelState
	err    error
}

// step takes one step on a copy of the state.
func (s *successors) step(name string, take func(v *modelState) error) {
	if s.err != nil {
		return
	}
	v := s.from.clone()
	v.trail = append(v.trail, name)
	if err := take(v); err != nil {
		s.err = fmt.Errorf("%v: %w", v.trail, err)
		return
	}
	s.states = append(s.states, v)
}

// fault takes one step that costs one of the faults that are left, if it is to be tried.
func (s *successors) fault(isTried bool, name string, take func(v *modelState) error) {
	if isTried && s.from.faultsLeft > 0 {
		s.step(name, func(v *modelState) error {
			v.faultsLeft--
			return take(v)
		})
	}
}

// successors returns every state that one step leads to.
func (model *modelState) successors(faults modelFaults, o searchOptions) ([]*modelState, error) {
	s := &successors{from: model, faults: faults, o: o}
	for k, m := range model.network {
		isKnown := slices.ContainsFunc(model.network[:k], func(earlier Message) bool { return earlier.modelText() == m.modelText() })
		if !isKnown {
			s.deliver(k, m)
		}
	}
	for i := range model.nodes {
		s.act(i)
	}
	return s.states, s.err
}

// deliver delivers one message, with the receiver crashing, or has it be lost or duplicated.
func (s *successors) deliver(k int, m Message) {
	i := s.from.indexOf(m.To)
	take := func(v *modelState, crash int) error {
		v.network = slices.Delete(slices.Clone(v.network), k, k+1)
		if i < 0 {
			return nil
		}
		v.nodes[i].raft.Step(v.nodes[i].now, m)
		return v.processReady(i, crash, s.faults)
	}
	text := fmt.Sprint(" ", m.Kind, m.From, m.To)
	s.step("deliver"+text, func(v *modelState) error { return take(v, noCrash) })
	s.fault(s.o.crashes, "crash before sync"+text, func(v *modelState) error { return take(v, crashBeforeSync) })
	s.fault(s.o.crashes, "crash after sync"+text, func(v *modelState) error { return take(v, crashAfterSync) })
	s.fault(s.o.loss, "lose"+text, func(v *modelState) error {
		v.network = slices.Delete(slices.Clone(v.network), k, k+1)
		return nil
	})
	s.fault(s.o.duplicates, "duplicate"+text, func(v *modelState) error {
		v.network = append(v.network, m)
		return take(v, noCrash)
	})
}

// act has one member do what no message starts.
func (s *successors) act(i int) {
	n, o := s.from.nodes[i], s.o
	isLeader := n.raft.IsLeader()
	if !isLeader && (o.mayElect == 0 || o.mayElect == n.self.ID) && n.raft.Term() < 5 && len(s.from.network) < 8 {
		s.step(fmt.Sprint("miss the leader ", n.self.ID), func(v *modelState) error {
			v.nodes[i].now += 3 * testElectionTimeout
			v.nodes[i].raft.Tick(v.nodes[i].now)
			return v.processReady(i, noCrash, s.faults)
		})
	}
	if o.reads && isLeader && len(s.from.readFloor) < 2 {
		s.step(fmt.Sprint("read ", n.self.ID), func(v *modelState) error { return v.readAt(i, s.faults) })
	}
	if isLeader && s.from.leaderTicksLeft > 0 {
		s.step(fmt.Sprint("heartbeat ", n.self.ID), func(v *modelState) error {
			v.leaderTicksLeft--
			v.nodes[i].now += testHeartbeatInterval
			v.nodes[i].raft.Tick(v.nodes[i].now)
			return v.processReady(i, noCrash, s.faults)
		})
	}
	if isLeader && s.from.compactionsLeft > 0 && n.raft.AppliedIndex() > n.snapshot.Index {
		s.step(fmt.Sprint("compact ", n.self.ID), func(v *modelState) error {
			v.compactionsLeft--
			v.nodes[i].compact([]byte("state"))
			return v.checkSnapshot(v.nodes[i].snapshot)
		})
	}
	if isLeader && s.from.proposed < 2 {
		s.step(fmt.Sprint("propose ", n.self.ID), func(v *modelState) error {
			v.proposed++
			v.nodes[i].raft.Propose(v.nodes[i].now, []byte{byte('a' + v.proposed)})
			return v.processReady(i, noCrash, s.faults)
		})
	}
	if !slices.ContainsFunc(s.from.nodes, func(x *testMember) bool { return x.disksLost > 0 }) {
		s.fault(o.wipes, fmt.Sprint("lose the disk of ", n.self.ID), func(v *modelState) error {
			v.nodes[i].loseDisk(ID(100+i), s.faults)
			return nil
		})
	}
}

// readAt asks one member for a confirmed read.
func (model *modelState) readAt(i int, faults modelFaults) error {
	id := uint64(len(model.readFloor) + 1)
	n := model.nodes[i]
	model.readFloor[id] = model.acknowledgedIndex
	if faults.localLease && n.raft.HasQuorumContact(n.now) {
		n.raft.answerRead(ReadState{RequestID: id, Index: n.raft.log.committed})
	} else if !n.raft.ReadIndex(n.now, id) {
		return nil
	}
	return model.processReady(i, noCrash, faults)
}

// loseDisk has a member start with an empty disk, which gives it another ID.
func (n *testMember) loseDisk(id ID, faults modelFaults) {
	n.disksLost++
	n.hardState, n.log = HardState{}, nil
	if !faults.keepWipedID {
		n.self.ID, n.snapshot = id, Snapshot{}
	}
	n.start()
}

// exploreStates visits states, the first found first, until there are no more or most were found.
func exploreStates(model *modelState, faults modelFaults, o searchOptions, most int) (states int, err error) {
	seen := map[uint64]bool{model.hash(): true}
	queue := []*modelState{model}
	for len(queue) > 0 {
		from := queue[0]
		queue[0], queue = nil, queue[1:]
		next, err := from.successors(faults, o)
		if err != nil {
			return len(seen), err
		}
		for _, v := range next {
			if k := v.hash(); !seen[k] && len(seen) < most {
				seen[k] = true
				queue = append(queue, v)
			}
		}
	}
	return len(seen), nil
}

// requireNothingFound explores states, in which no invariant may be broken.
func requireNothingFound(t *testing.T, model *modelState, o searchOptions) {
	t.Helper()
	states, err := exploreStates(model, modelFaults{}, o, maxSearchStates(t))
	assert.NilError(t, err)
	t.Logf("%d states", states)
}

// maxSearchStates is how many a search visits at most: RAFT_STATES, if that is set.
func maxSearchStates(t *testing.T) int {
	text := os.Getenv("RAFT_STATES")
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

// No order of deliveries, crashes, lost messages, lost disks and elections breaks an invariant.
func TestAllOrders(t *testing.T) {
	for _, test := range []struct {
		name       string
		hasLeader  bool
		faultsLeft int
		o          searchOptions
	}{
		{"from nothing", false, 1, searchOptions{crashes: true, loss: true, duplicates: true}},
		{"with a leader, one crash or loss", true, 1, searchOptions{crashes: true, loss: true, duplicates: true}},
		{"with a leader, crashes, and one that misses it", true, 2, searchOptions{crashes: true, mayElect: 3}},
		{"with a leader, one disk lost", true, 2, searchOptions{crashes: true, wipes: true, mayElect: 3}},
		{"with a leader that stands still, and reads", true, 0, searchOptions{reads: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			model := newModel(3)
			if test.hasLeader {
				model = modelWithLeader(t, 3)
			}
			model.faultsLeft = test.faultsLeft
			requireNothingFound(t, model, test.o)
		})
	}
}

// Two ask for votes in one term; the third votes, restarts, and is asked again.
func TestOrdersOfTwoCandidates(t *testing.T) {
	model := newModel(3)
	for i := range 2 {
		model.missLeader(t, i)
	}
	for range 4 { // the third tells both that it would vote for them
		k := slices.IndexFunc(model.network, func(m Message) bool {
			return m.Kind == PreVote && m.To == 3 || m.Kind == PreVoteResponse && m.From == 3
		})
		model.network[0], model.network[k] = model.network[k], model.network[0]
		deliverNext(t, model)
	}
	model.faultsLeft = 1
	requireNothingFound(t, model, searchOptions{crashes: true, mayElect: 9})
}

// The third has lost its disk, and what it is now is a learner that has caught up: every order of its replacement, with the leader's
// heartbeats, crashes, lost messages, others that miss the leader, and compactions, after which a snapshot goes in chunks.
func TestOrdersOfAReplacement(t *testing.T) {
	for _, test := range []struct {
		name                        string
		faultsLeft, compactionsLeft int
		o                           searchOptions
	}{
		{"crashes and losses", 1, 0, searchOptions{crashes: true, loss: true, mayElect: 2}},
		{"the learner misses the leader", 0, 0, searchOptions{mayElect: 4}},
		{"a snapshot in chunks", 1, 1, searchOptions{loss: true, duplicates: true, mayElect: 2}},
	} {
		t.Run(test.name, func(t *testing.T) {
			model := modelWithLeader(t, 3)
			model.nodes[2] = &testMember{self: Member{4, "r3"}}
			model.nodes[2].start()
			for _, n := range model.nodes {
				n.raft.config.SnapshotChunkBytes, n.snapshotChunkBytes = 2, 2
			}
			model.network = append(model.network, Message{Kind: JoinRequest, From: 4, To: 1, Addr: "r3", ProtocolVersion: ProtocolVersion})
			deliverAll(t, model)
			for range 2 { // the learner catches up
				model.nodes[0].now += testHeartbeatInterval
				model.nodes[0].raft.broadcastHeartbeat()
				assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
				deliverAll(t, model)
			}
			model.leaderTicksLeft, model.faultsLeft, model.compactionsLeft = 3, test.faultsLeft, test.compactionsLeft
			requireNothingFound(t, model, test.o)
		})
	}
}

// isolateFirst has the second and the third hear nothing of the first for long. The second has asked the third for its vote.
func isolateFirst(t *testing.T, model *modelState) {
	t.Helper()
	model.missLeader(t, 2)
	model.network = nil
	model.missLeader(t, 1)
	model.network = slices.DeleteFunc(model.network, func(m Message) bool { return m.To == 1 })
}

// changeMembersAtFirst has the first, which the second and the third don't hear, make these the members in one step, with two that
// are new.
func changeMembersAtFirst(t *testing.T, model *modelState, members ...Member) {
	t.Helper()
	for _, self := range []Member{{4, "r4"}, {5, "r5"}} {
		n := &testMember{self: self}
		n.start()
		model.nodes = append(model.nodes, n)
	}
	isolateFirst(t, model)
	asked := model.network
	model.network = nil
	first := model.nodes[0]
	first.raft.appendAsLeader(Entry{Kind: EntryConfiguration, Members: members})
	assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
	deliverAllExcept(t, model, 2, 3)
	first.raft.Propose(first.now, []byte("x"))
	assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
	deliverAllExcept(t, model, 2, 3)
	model.network = asked
}

// proposeToSecond has the first propose something, of which the third hears nothing.
func proposeToSecond(t *testing.T, model *modelState) {
	t.Helper()
	first := model.nodes[0]
	model.proposed = 2
	first.raft.Propose(first.now, []byte("x"))
	assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
	model.network = slices.DeleteFunc(model.network, func(m Message) bool { return m.To == 3 })
}

// The searches find what is wrong with members that are made wrong.
func TestSearchFindsFaults(t *testing.T) {
	for _, test := range []struct {
		name   string
		faults modelFaults
		o      searchOptions
		before func(t *testing.T, model *modelState) // what has happened before the search begins
	}{
		{"an answer before the sync", modelFaults{noSync: true}, searchOptions{crashes: true, mayElect: 3}, proposeToSecond},
		{
			"a member that lost its disk keeps its ID and votes",
			modelFaults{keepWipedID: true},
			searchOptions{wipes: true, mayElect: 3},
			func(t *testing.T, model *modelState) {
				proposeToSecond(t, model)
				deliverAllExcept(t, model, 3)
			},
		},
		{"a lease by the leader's own clock", modelFaults{localLease: true}, searchOptions{reads: true, mayElect: 9}, isolateFirst},
		{
			"two members changed at once",
			modelFaults{},
			searchOptions{mayElect: 9},
			func(t *testing.T, model *modelState) {
				changeMembersAtFirst(t, model, Member{1, "r1"}, Member{4, "r4"}, Member{5, "r5"})
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			model := modelWithLeader(t, 3)
			model.faultsLeft = 1
			test.before(t, model)
			states, err := exploreStates(model, test.faults, test.o, 100_000)
			assert.Assert(t, err != nil, "not found in %d states", states)
			t.Logf("%d states: %v", states, err)
		})
	}
	t.Run("one member added is no fault", func(t *testing.T) {
		model := modelWithLeader(t, 3)
		changeMembersAtFirst(t, model, Member{1, "r1"}, Member{2, "r2"}, Member{3, "r3"}, Member{4, "r4"})
		states, err := exploreStates(model, modelFaults{}, searchOptions{mayElect: 9}, 500)
		assert.NilError(t, err, "%d states", states)
	})
}
