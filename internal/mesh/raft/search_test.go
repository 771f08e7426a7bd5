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

// searchOptions select what a search tries in addition to all orders of deliveries. Each crash, loss, duplicate and lost disk uses up one
// of the model's faultsLeft.
type searchOptions struct {
	crashes       bool // before and after the sync of a Ready
	loss          bool // of messages
	duplicates    bool // of messages
	diskLoss      bool // of one member
	reads         bool // members that consider themselves leader are asked for a linearizable read
	onlyCandidate ID   // the only member whose election timeout may expire; 0 if that of any may
}

// successors collects the states that are reachable from a state by one step, until a step violates an invariant.
type successors struct {
	from    *modelState
	faults  modelFaults
	options searchOptions
	states  []*modelState
	err     error
}

// step takes one step on a copy of the state.
func (s *successors) step(name string, apply func(state *modelState) error) {
	if s.err != nil {
		return
	}
	state := s.from.clone()
	state.history = append(state.history, name)
	if err := apply(state); err != nil {
		s.err = fmt.Errorf("%v: %w", state.history, err)
		return
	}
	s.states = append(s.states, state)
}

// fault takes one step that uses up one of the remaining faults, if isEnabled is set and a fault remains.
func (s *successors) fault(isEnabled bool, name string, apply func(state *modelState) error) {
	if isEnabled && s.from.faultsLeft > 0 {
		s.step(name, func(state *modelState) error {
			state.faultsLeft--
			return apply(state)
		})
	}
}

// successors returns all states that are reachable by one step.
func (model *modelState) successors(faults modelFaults, options searchOptions) ([]*modelState, error) {
	s := &successors{from: model, faults: faults, options: options}
	for index, m := range model.network {
		isDuplicate := slices.ContainsFunc(model.network[:index], func(earlier Message) bool { return earlier.modelKey() == m.modelKey() })
		if !isDuplicate {
			s.deliver(index, m)
		}
	}
	for i := range model.nodes {
		s.act(i)
	}
	return s.states, s.err
}

// deliver tries to deliver one message, also with a crash of the receiver, and to lose or duplicate it.
func (s *successors) deliver(index int, m Message) {
	i := s.from.indexOf(m.To)
	apply := func(state *modelState, crash int) error {
		state.network = slices.Delete(slices.Clone(state.network), index, index+1)
		if i < 0 {
			return nil
		}
		state.nodes[i].raft.Step(state.nodes[i].now, m)
		return state.processReady(i, crash, s.faults)
	}
	text := fmt.Sprint(" ", m.Kind, m.From, m.To)
	s.step("deliver"+text, func(state *modelState) error { return apply(state, noCrash) })
	s.fault(s.options.crashes, "crash before sync"+text, func(state *modelState) error { return apply(state, crashBeforeSync) })
	s.fault(s.options.crashes, "crash after sync"+text, func(state *modelState) error { return apply(state, crashAfterSync) })
	s.fault(s.options.loss, "lose"+text, func(state *modelState) error {
		state.network = slices.Delete(slices.Clone(state.network), index, index+1)
		return nil
	})
	s.fault(s.options.duplicates, "duplicate"+text, func(state *modelState) error {
		state.network = append(state.network, m)
		return apply(state, noCrash)
	})
}

// act tries the steps of one member that no message triggers.
func (s *successors) act(i int) {
	n, options := s.from.nodes[i], s.options
	isLeader := n.raft.IsLeader()
	if !isLeader && (options.onlyCandidate == 0 || options.onlyCandidate == n.self.ID) && n.raft.Term() < 5 && len(s.from.network) < 8 {
		s.step(fmt.Sprint("miss the leader ", n.self.ID), func(state *modelState) error {
			state.nodes[i].now += 3 * testElectionTimeout
			state.nodes[i].raft.Tick(state.nodes[i].now)
			return state.processReady(i, noCrash, s.faults)
		})
	}
	if options.reads && isLeader && len(s.from.readFloor) < 2 {
		s.step(fmt.Sprint("read ", n.self.ID), func(state *modelState) error { return state.readAt(i, s.faults) })
	}
	if isLeader && s.from.leaderTicksLeft > 0 {
		s.step(fmt.Sprint("heartbeat ", n.self.ID), func(state *modelState) error {
			state.leaderTicksLeft--
			state.nodes[i].now += testHeartbeatInterval
			state.nodes[i].raft.Tick(state.nodes[i].now)
			return state.processReady(i, noCrash, s.faults)
		})
	}
	if isLeader && s.from.compactionsLeft > 0 && n.raft.AppliedIndex() > n.snapshot.Index {
		s.step(fmt.Sprint("compact ", n.self.ID), func(state *modelState) error {
			state.compactionsLeft--
			state.nodes[i].compact([]byte("state"))
			return state.checkSnapshot(state.nodes[i].snapshot)
		})
	}
	if isLeader && s.from.proposed < 2 {
		s.step(fmt.Sprint("propose ", n.self.ID), func(state *modelState) error {
			state.proposed++
			state.nodes[i].raft.Propose(state.nodes[i].now, []byte{byte('a' + state.proposed)})
			return state.processReady(i, noCrash, s.faults)
		})
	}
	if !slices.ContainsFunc(s.from.nodes, func(x *testMember) bool { return x.disksLost > 0 }) {
		s.fault(options.diskLoss, fmt.Sprint("lose the disk of ", n.self.ID), func(state *modelState) error {
			state.nodes[i].loseDisk(ID(100+i), s.faults)
			return nil
		})
	}
}

// readAt requests a linearizable read from one member.
func (model *modelState) readAt(i int, faults modelFaults) error {
	id := uint64(len(model.readFloor) + 1)
	n := model.nodes[i]
	model.readFloor[id] = model.acknowledgedIndex
	if faults.leaseReads && n.raft.HasQuorumContact(n.now) {
		n.raft.answerRead(ReadState{RequestID: id, Index: n.raft.log.committed})
	} else if !n.raft.ReadIndex(n.now, id) {
		return nil
	}
	return model.processReady(i, noCrash, faults)
}

// loseDisk restarts a member with an empty disk and another ID, unless the fault keepIDAfterDiskLoss is set.
func (n *testMember) loseDisk(id ID, faults modelFaults) {
	n.disksLost++
	n.hardState, n.log = HardState{}, nil
	if !faults.keepIDAfterDiskLoss {
		n.self.ID, n.snapshot = id, Snapshot{}
	}
	n.start()
}

// exploreStates visits states in breadth-first order, until there are no new ones or maxStates were found.
func exploreStates(model *modelState, faults modelFaults, options searchOptions, maxStates int) (states int, err error) {
	seen := map[uint64]bool{model.hash(): true}
	queue := []*modelState{model}
	for len(queue) > 0 {
		from := queue[0]
		queue[0], queue = nil, queue[1:]
		next, err := from.successors(faults, options)
		if err != nil {
			return len(seen), err
		}
		for _, state := range next {
			if key := state.hash(); !seen[key] && len(seen) < maxStates {
				seen[key] = true
				queue = append(queue, state)
			}
		}
	}
	return len(seen), nil
}

// requireNoViolation explores states and fails the test if an invariant is violated.
func requireNoViolation(t *testing.T, model *modelState, options searchOptions) {
	t.Helper()
	states, err := exploreStates(model, modelFaults{}, options, maxSearchStates(t))
	assert.NilError(t, err)
	t.Logf("%d states", states)
}

// maxSearchStates returns how many states a search visits at most: RAFT_STATES, if that is set.
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

// No order of deliveries, crashes, lost messages, lost disks and elections violates an invariant.
func TestSearchEventOrders(t *testing.T) {
	for _, test := range []struct {
		name       string
		hasLeader  bool
		faultsLeft int
		options    searchOptions
	}{
		{"without a leader", false, 1, searchOptions{crashes: true, loss: true, duplicates: true}},
		{"with a leader, one crash or loss", true, 1, searchOptions{crashes: true, loss: true, duplicates: true}},
		{"with a leader, crashes and one election timeout", true, 2, searchOptions{crashes: true, onlyCandidate: 3}},
		{"with a leader, one disk lost", true, 2, searchOptions{crashes: true, diskLoss: true, onlyCandidate: 3}},
		{"with a leader that does not tick, and reads", true, 0, searchOptions{reads: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			model := newModel(3)
			if test.hasLeader {
				model = modelWithLeader(t, 3)
			}
			model.faultsLeft = test.faultsLeft
			requireNoViolation(t, model, test.options)
		})
	}
}

// Two members ask for votes in the same term. The third votes for one of them, restarts, and is asked by the other.
func TestSearchTwoCandidates(t *testing.T) {
	model := newModel(3)
	for i := range 2 {
		model.expireElectionTimeout(t, i)
	}
	for range 4 { // the third member grants both pre-votes
		index := slices.IndexFunc(model.network, func(m Message) bool {
			return m.Kind == PreVote && m.To == 3 || m.Kind == PreVoteResponse && m.From == 3
		})
		model.network[0], model.network[index] = model.network[index], model.network[0]
		deliverNext(t, model)
	}
	model.faultsLeft = 1
	requireNoViolation(t, model, searchOptions{crashes: true, onlyCandidate: 9})
}

// The third member has lost its disk and come back as a learner that has caught up. The search tries all orders of its replacement, with
// heartbeats, crashes, lost messages, elections, and compactions, after which a snapshot is sent in chunks.
func TestSearchReplacement(t *testing.T) {
	for _, test := range []struct {
		name                        string
		faultsLeft, compactionsLeft int
		options                     searchOptions
	}{
		{"crashes and losses", 1, 0, searchOptions{crashes: true, loss: true, onlyCandidate: 2}},
		{"election timeout of the learner", 0, 0, searchOptions{onlyCandidate: 4}},
		{"a snapshot in chunks", 1, 1, searchOptions{loss: true, duplicates: true, onlyCandidate: 2}},
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
			requireNoViolation(t, model, test.options)
		})
	}
}

// isolateFirst makes the election timeouts of the second and third member expire without messages from the first. The second member has
// asked the third for a pre-vote.
func isolateFirst(t *testing.T, model *modelState) {
	t.Helper()
	model.expireElectionTimeout(t, 2)
	model.network = nil
	model.expireElectionTimeout(t, 1)
	model.network = slices.DeleteFunc(model.network, func(m Message) bool { return m.To == 1 })
}

// changeMembersAtFirst makes the first member, which the second and third cannot reach, change the configuration to the given members in
// one step. The members 4 and 5 are new.
func changeMembersAtFirst(t *testing.T, model *modelState, members ...Member) {
	t.Helper()
	for _, self := range []Member{{4, "r4"}, {5, "r5"}} {
		n := &testMember{self: self}
		n.start()
		model.nodes = append(model.nodes, n)
	}
	isolateFirst(t, model)
	requests := model.network
	model.network = nil
	first := model.nodes[0]
	first.raft.appendAsLeader(Entry{Kind: EntryConfiguration, Members: members})
	assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
	deliverAllExcept(t, model, 2, 3)
	first.raft.Propose(first.now, []byte("x"))
	assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
	deliverAllExcept(t, model, 2, 3)
	model.network = requests
}

// proposeToSecond makes the first member propose a command. The messages to the third member are lost.
func proposeToSecond(t *testing.T, model *modelState) {
	t.Helper()
	first := model.nodes[0]
	model.proposed = 2
	first.raft.Propose(first.now, []byte("x"))
	assert.NilError(t, model.processReady(0, noCrash, modelFaults{}))
	model.network = slices.DeleteFunc(model.network, func(m Message) bool { return m.To == 3 })
}

// The search finds faults that are injected into the members, so that a search without findings is meaningful.
func TestSearchFindsInjectedFaults(t *testing.T) {
	for _, test := range []struct {
		name    string
		faults  modelFaults
		options searchOptions
		before  func(t *testing.T, model *modelState) // prepares the state from which the search begins
	}{
		{"a message sent before the sync", modelFaults{sendBeforeSync: true}, searchOptions{crashes: true, onlyCandidate: 3}, proposeToSecond},
		{
			"a member that lost its disk keeps its ID and votes",
			modelFaults{keepIDAfterDiskLoss: true},
			searchOptions{diskLoss: true, onlyCandidate: 3},
			func(t *testing.T, model *modelState) {
				proposeToSecond(t, model)
				deliverAllExcept(t, model, 3)
			},
		},
		{"reads served by a clock-based leader lease", modelFaults{leaseReads: true}, searchOptions{reads: true, onlyCandidate: 9}, isolateFirst},
		{
			"two members changed in one step",
			modelFaults{},
			searchOptions{onlyCandidate: 9},
			func(t *testing.T, model *modelState) {
				changeMembersAtFirst(t, model, Member{1, "r1"}, Member{4, "r4"}, Member{5, "r5"})
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			model := modelWithLeader(t, 3)
			model.faultsLeft = 1
			test.before(t, model)
			states, err := exploreStates(model, test.faults, test.options, 100_000)
			assert.Assert(t, err != nil, "fault not found in %d states", states)
			t.Logf("%d states: %v", states, err)
		})
	}
	t.Run("one member added in one step is safe", func(t *testing.T) {
		model := modelWithLeader(t, 3)
		changeMembersAtFirst(t, model, Member{1, "r1"}, Member{2, "r2"}, Member{3, "r3"}, Member{4, "r4"})
		states, err := exploreStates(model, modelFaults{}, searchOptions{onlyCandidate: 9}, 500)
		assert.NilError(t, err, "%d states", states)
	})
}
