package raft

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"cranegrade/internal/testkit"
)

const testTickInterval = 50 * time.Millisecond

// randomSchedule plays one random schedule, drawn from a seed, over members in one simulated time: messages are delivered in any order,
// lost or duplicated, members are restarted at any point of a Ready, stand still, and lose their disks. The model checks each Ready.
type randomSchedule struct {
	modelState
	rng           *rand.Rand
	now           time.Duration
	ticked        time.Duration
	frozen        map[int]bool
	nextID        ID
	founders      []Member
	diskLosses    int            // so far
	cutLinks      map[[2]ID]bool // links, from one member to another; 0 in the second place stands for any member
	leaving       map[int]bool   // members that have begun a planned departure
	leavesGranted int            // so far
	faults        modelFaults
	log           bytes.Buffer // every Ready, in order; only where record was called
	readCount     uint64
}

func newRandomSchedule(seed uint64, voters, learners int) *randomSchedule {
	s := &randomSchedule{
		modelState: *newModel(voters),
		rng:        rand.New(rand.NewPCG(seed, 0x5eed)),
		frozen:     map[int]bool{},
		leaving:    map[int]bool{},
		cutLinks:   map[[2]ID]bool{},
		nextID:     100,
	}
	s.founders = s.nodes[0].snapshot.Members
	for range learners {
		n := &testMember{self: Member{s.nextID, fmt.Sprint("r", s.nextID)}}
		n.start()
		s.nodes = append(s.nodes, n)
		s.nextID++
	}
	for _, n := range s.nodes {
		n.maxCatchUpEntries, n.snapshotChunkBytes = []int{0, 4, 40}[s.rng.IntN(3)], 3 // less than a state has, so that a snapshot takes several
		n.start()
	}
	return s
}

// run plays a number of events.
func (s *randomSchedule) run(events int) error {
	for range events {
		if err := s.event(); err != nil {
			return err
		}
	}
	return nil
}

// event is one step of a few milliseconds: some of the messages in flight arrive, and now and then something else happens.
func (s *randomSchedule) event() error {
	s.now += time.Duration(s.rng.Int64N(int64(10 * time.Millisecond)))
	due := s.network
	s.network = nil
	for _, k := range s.rng.Perm(len(due)) {
		if s.rng.IntN(3) == 0 {
			s.network = append(s.network, due[k]) // later
		} else if err := s.deliver(due[k]); err != nil {
			return err
		}
	}
	if s.now-s.ticked > testTickInterval {
		if err := s.tick(); err != nil {
			return err
		}
	}
	switch x := s.rng.IntN(1000); {
	case x < 200:
		return s.propose()
	case x < 250:
		return s.readIndex()
	case x < 256:
		s.freeze()
	case x < 262:
		clear(s.frozen)
	case x < 270:
		return s.loseDisk()
	case x < 280:
		return s.compact()
	case x < 283:
		return s.restartMember()
	case x < 287:
		return s.leave()
	case x < 291:
		return s.replaceMember()
	case x < 294:
		s.cutLink()
	case x < 300:
		clear(s.cutLinks)
	}
	return s.endGrantedLeaves()
}

// replaceMember has a leader replace a member, which may be itself, by a learner that has caught up: more often than members are lost,
// and at any moment at which a change may begin.
func (s *randomSchedule) replaceMember() error {
	i, ok := s.leader()
	if !ok {
		return nil
	}
	c := s.nodes[i].raft
	if !c.mayChangeMembership() {
		return nil
	}
	for _, p := range c.peers {
		if !p.isVoter && p.isJoining && c.isCaughtUp(p) {
			to := slices.Clone(c.log.configuration.Members)
			to[s.rng.IntN(len(to))] = p.Member
			c.proposeConfiguration(Configuration{Members: to, Outgoing: c.log.configuration.Members, ProtocolVersion: ProtocolVersion})
			return s.processReady(i, noCrash, s.faults)
		}
	}
	return nil
}

// cutLink has nothing pass from one member to another, or from one to any.
func (s *randomSchedule) cutLink() {
	from, to := s.nodes[s.rng.IntN(len(s.nodes))].self.ID, s.nodes[s.rng.IntN(len(s.nodes))].self.ID
	s.cutLinks[[2]ID{from, to}] = true
	if s.rng.IntN(2) == 0 {
		s.cutLinks[[2]ID{from, 0}] = true
	}
}

// leave tells one member to stop.
func (s *randomSchedule) leave() error {
	i := s.rng.IntN(len(s.nodes))
	if s.frozen[i] || len(s.leaving) > 0 {
		return nil
	}
	s.leaving[i] = true
	s.nodes[i].raft.BeginLeave(s.now)
	return s.processReady(i, noCrash, s.faults)
}

// endGrantedLeaves stops the members that have been granted leave, and checks that a majority of the voters that stay holds everything
// acknowledged by then. Each member later starts again with its disk.
func (s *randomSchedule) endGrantedLeaves() error {
	for i := range s.nodes {
		n := s.nodes[i]
		if !s.leaving[i] || s.frozen[i] || !n.raft.MayLeave() {
			continue
		}
		delete(s.leaving, i)
		if n.raft.leave.granted {
			if err := s.checkLeave(n.self.ID); err != nil {
				return err
			}
			s.leavesGranted++
		}
		n.now = s.now
		n.start()
	}
	return nil
}

// checkLeave checks that what is acknowledged is held by a majority of the voters that stay.
func (s *randomSchedule) checkLeave(leaving ID) error {
	configuration := s.latestCommittedConfiguration()
	staying := slices.DeleteFunc(slices.Clone(configuration.Members), func(m Member) bool { return m.ID == leaving })
	if configuration.isVoter(leaving) && !hasMajority(staying, func(id ID) bool { return s.stores(id, s.acknowledgedIndex) }) {
		return fmt.Errorf("%d got leave, and entry %d, which was acknowledged, is not on a majority of %v",
			leaving, s.acknowledgedIndex, staying)
	}
	return nil
}

// latestCommittedConfiguration is the latest configuration that was committed.
func (s *randomSchedule) latestCommittedConfiguration() Configuration {
	latest := Configuration{Members: s.founders}
	for index, f := range s.configurations {
		if index > latest.Index {
			latest = f
		}
	}
	return latest
}

// stores reports whether a member's disk holds an entry.
func (s *randomSchedule) stores(id ID, index uint64) bool {
	for _, n := range s.nodes {
		if n.self.ID == id {
			return n.snapshot.Index >= index || len(n.log) > 0 && n.log[len(n.log)-1].Index >= index
		}
	}
	return false
}

// deliver has one message arrive, unless it is lost; it may come once more.
func (s *randomSchedule) deliver(m Message) error {
	i := slices.IndexFunc(s.nodes, func(n *testMember) bool { return n.self.ID == m.To })
	if i < 0 || s.cutLinks[[2]ID{m.From, m.To}] || s.cutLinks[[2]ID{m.From, 0}] {
		return nil
	}
	if s.frozen[i] {
		if s.rng.IntN(10) > 0 {
			s.network = append(s.network, m) // it waits there, or is lost
		}
		return nil
	}
	cut := noCrash
	switch s.rng.IntN(200) {
	case 0, 1:
		return nil
	case 2, 3:
		s.network = append(s.network, m)
	case 4:
		cut = crashBeforeSync + s.rng.IntN(2)
	}
	s.nodes[i].now = s.now
	s.nodes[i].raft.Step(s.now, m)
	return s.processReady(i, cut, s.faults)
}

// freeze has one member stand still.
func (s *randomSchedule) freeze() {
	if len(s.frozen) == 0 {
		s.frozen[s.rng.IntN(len(s.nodes))] = true
	}
}

// restartMember restarts one member.
func (s *randomSchedule) restartMember() error {
	i := s.rng.IntN(len(s.nodes))
	if !s.frozen[i] {
		delete(s.leaving, i)
		s.nodes[i].now = s.now
		s.nodes[i].start()
	}
	return nil
}

// tick lets each that does not stand still see to what time does.
func (s *randomSchedule) tick() error {
	s.ticked = s.now
	for i, n := range s.nodes {
		if s.frozen[i] {
			continue
		}
		n.now = s.now
		n.raft.Tick(s.now)
		if n.raft.IsNonMember() {
			for _, other := range s.nodes {
				if other != n {
					s.network = append(s.network, Message{
						Kind: JoinRequest, From: n.self.ID, To: other.self.ID, Addr: n.self.Addr, ProtocolVersion: n.raft.protocolVersion(),
					})
				}
			}
		}
		if err := s.processReady(i, noCrash, s.faults); err != nil {
			return err
		}
	}
	return nil
}

// leader draws one of the members that take themselves for the leader and don't stand still.
func (s *randomSchedule) leader() (int, bool) {
	var l []int
	for i, n := range s.nodes {
		if n.raft.IsLeader() && !s.frozen[i] {
			l = append(l, i)
		}
	}
	if len(l) == 0 {
		return 0, false
	}
	return l[s.rng.IntN(len(l))], true
}

func (s *randomSchedule) propose() error {
	i, ok := s.leader()
	if !ok {
		return nil
	}
	s.proposed++
	s.nodes[i].raft.Propose(s.now, fmt.Append(nil, s.proposed))
	return s.processReady(i, noCrash, s.faults)
}

func (s *randomSchedule) readIndex() error {
	i, ok := s.leader()
	if !ok {
		return nil
	}
	s.readCount++
	s.readFloor[s.readCount] = s.acknowledgedIndex
	if !s.nodes[i].raft.ReadIndex(s.now, s.readCount) {
		return nil
	}
	return s.processReady(i, noCrash, s.faults)
}

// loseDisk has one member lose its disk: only while all voters run and none of them has lost its disk before, for the loss of
// one is what three bear.
func (s *randomSchedule) loseDisk() error {
	i := s.rng.IntN(len(s.nodes))
	n := s.nodes[i]
	lead, ok := s.leader()
	if !ok || len(s.frozen) > 0 || len(s.leaving) > 0 || len(s.cutLinks) > 0 { // one loss at a time
		return nil
	}
	for _, n := range s.nodes {
		if n.raft.Term() > s.nodes[lead].raft.Term() {
			return nil // it may lead no more
		}
	}
	members := s.nodes[lead].raft.log.configuration.voters()
	if len(members) < 3 || !s.nodes[lead].raft.IsCaughtUpLeader() {
		return nil
	}
	for _, m := range members {
		j := slices.IndexFunc(s.nodes, func(x *testMember) bool { return x.self.ID == m.ID })
		if j < 0 || s.nodes[j].raft.AppliedIndex() < s.acknowledgedIndex {
			return nil
		}
	}
	s.diskLosses++
	n.disksLost++
	delete(s.leaving, i)
	*n = testMember{
		self: Member{s.nextID, n.self.Addr}, now: s.now, disksLost: n.disksLost,
		maxCatchUpEntries: n.maxCatchUpEntries, snapshotChunkBytes: n.snapshotChunkBytes,
	}
	s.nextID++
	n.start()
	return nil
}

// compact has one member compact its log.
func (s *randomSchedule) compact() error {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if at := n.raft.AppliedIndex(); at > n.raft.log.snapshot.Index {
		n.compact(fmt.Append(nil, "state at ", at))
		if err := s.checkSnapshot(n.snapshot); err != nil {
			return fmt.Errorf("%d makes %w", n.self.ID, err)
		}
	}
	return nil
}

// scheduleCount is how many schedules TestRandomSchedules plays: RAFT_SCHEDULES, if that is set.
func scheduleCount(t *testing.T) uint64 {
	text := os.Getenv("RAFT_SCHEDULES")
	switch n, err := strconv.ParseUint(text, 10, 64); {
	case text != "" && err != nil:
		t.Fatal(err)
	case text != "":
		return n
	case testkit.Race || testing.Short():
		return 20
	}
	return 60
}

// Random schedules break nothing.
func TestRandomSchedules(t *testing.T) {
	diskLosses, leaves := 0, 0
	for seed := range scheduleCount(t) {
		s := newRandomSchedule(seed, 3, 2)
		if err := s.run(1500); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		diskLosses += s.diskLosses
		leaves += s.leavesGranted
	}
	t.Logf("%d schedules, %d disks lost, %d leaves granted", scheduleCount(t), diskLosses, leaves)
}
