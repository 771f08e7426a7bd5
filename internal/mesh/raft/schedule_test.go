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

// randomSchedule runs members with a random schedule of events, drawn from a seed, in simulated time. Messages are delivered in any order,
// lost or duplicated; members crash at any point of processing a Ready, are paused, and lose their disks. The model checks each Ready.
type randomSchedule struct {
	modelState
	rng            *rand.Rand
	now            time.Duration
	lastTickAt     time.Duration
	frozen         map[int]bool // paused members, by position: they process nothing until they continue
	nextID         ID
	initialMembers []Member
	diskLosses     int            // number so far
	cutLinks       map[[2]ID]bool // interrupted links, by sender and receiver; receiver 0 stands for all
	leaving        map[int]bool   // members that have begun a planned departure, by position
	leavesGranted  int            // number so far
	faults         modelFaults
	log            bytes.Buffer // every Ready in order, if record was called
	readCount      uint64
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
	s.initialMembers = s.nodes[0].snapshot.Members
	for range learners {
		n := &testMember{self: Member{s.nextID, fmt.Sprint("r", s.nextID)}}
		n.start()
		s.nodes = append(s.nodes, n)
		s.nextID++
	}
	for _, n := range s.nodes {
		// The chunks are smaller than the data, so that a snapshot takes several.
		n.maxCatchUpEntries, n.snapshotChunkBytes = []int{0, 4, 40}[s.rng.IntN(3)], 3
		n.start()
	}
	return s
}

// run runs a number of events.
func (s *randomSchedule) run(events int) error {
	for range events {
		if err := s.event(); err != nil {
			return err
		}
	}
	return nil
}

// event advances the time by a few milliseconds, delivers some of the messages in flight, and at random does one further thing.
func (s *randomSchedule) event() error {
	s.now += time.Duration(s.rng.Int64N(int64(10 * time.Millisecond)))
	due := s.network
	s.network = nil
	for _, k := range s.rng.Perm(len(due)) {
		if s.rng.IntN(3) == 0 {
			s.network = append(s.network, due[k]) // delayed
		} else if err := s.deliver(due[k]); err != nil {
			return err
		}
	}
	if s.now-s.lastTickAt > testTickInterval {
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
	return s.restartMembersGrantedLeave()
}

// replaceMember makes a leader replace a member, which may be itself, with a learner that has caught up. This tests replacement more often
// than members are lost, and at any moment at which a change may begin.
func (s *randomSchedule) replaceMember() error {
	i, ok := s.leader()
	if !ok {
		return nil
	}
	proposer := s.nodes[i].raft
	if !proposer.mayChangeMembership() {
		return nil
	}
	for _, p := range proposer.peers {
		if !p.isVoter && p.isJoining && proposer.isCaughtUp(p) {
			to := slices.Clone(proposer.log.configuration.Members)
			to[s.rng.IntN(len(to))] = p.Member
			proposer.proposeConfiguration(Configuration{Members: to, Outgoing: proposer.log.configuration.Members, ProtocolVersion: ProtocolVersion})
			return s.processReady(i, noCrash, s.faults)
		}
	}
	return nil
}

// cutLink interrupts the link from one member to another, or from one member to all.
func (s *randomSchedule) cutLink() {
	from, to := s.nodes[s.rng.IntN(len(s.nodes))].self.ID, s.nodes[s.rng.IntN(len(s.nodes))].self.ID
	s.cutLinks[[2]ID{from, to}] = true
	if s.rng.IntN(2) == 0 {
		s.cutLinks[[2]ID{from, 0}] = true
	}
}

// leave begins the planned departure of one member, if no other member is leaving.
func (s *randomSchedule) leave() error {
	i := s.rng.IntN(len(s.nodes))
	if s.frozen[i] || len(s.leaving) > 0 {
		return nil
	}
	s.leaving[i] = true
	s.nodes[i].raft.BeginLeave(s.now)
	return s.processReady(i, noCrash, s.faults)
}

// restartMembersGrantedLeave restarts the leaving members that may stop, with their disks. For those that were granted leave it checks that
// a majority of the remaining voters has everything acknowledged so far.
func (s *randomSchedule) restartMembersGrantedLeave() error {
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

// checkLeave checks that a majority of the remaining voters has all acknowledged entries on disk.
func (s *randomSchedule) checkLeave(leaving ID) error {
	configuration := s.latestCommittedConfiguration()
	staying := slices.DeleteFunc(slices.Clone(configuration.Members), func(m Member) bool { return m.ID == leaving })
	if configuration.isVoter(leaving) && !hasMajority(staying, func(id ID) bool { return s.stores(id, s.acknowledgedIndex) }) {
		return fmt.Errorf("member %d was granted leave, but acknowledged entry %d is not on the disks of a majority of %v",
			leaving, s.acknowledgedIndex, staying)
	}
	return nil
}

// latestCommittedConfiguration returns the latest configuration that was committed.
func (s *randomSchedule) latestCommittedConfiguration() Configuration {
	latest := Configuration{Members: s.initialMembers}
	for index, configuration := range s.configurations {
		if index > latest.Index {
			latest = configuration
		}
	}
	return latest
}

// stores reports whether a member has an entry on disk, in its log or covered by its snapshot.
func (s *randomSchedule) stores(id ID, index uint64) bool {
	for _, n := range s.nodes {
		if n.self.ID == id {
			return n.snapshot.Index >= index || len(n.log) > 0 && n.log[len(n.log)-1].Index >= index
		}
	}
	return false
}

// deliver delivers one message. The message may instead be lost, or stay in flight to be delivered once more, and the receiver may crash.
func (s *randomSchedule) deliver(m Message) error {
	i := slices.IndexFunc(s.nodes, func(n *testMember) bool { return n.self.ID == m.To })
	if i < 0 || s.cutLinks[[2]ID{m.From, m.To}] || s.cutLinks[[2]ID{m.From, 0}] {
		return nil
	}
	if s.frozen[i] {
		if s.rng.IntN(10) > 0 {
			s.network = append(s.network, m) // delivered later, unless it is lost
		}
		return nil
	}
	crash := noCrash
	switch s.rng.IntN(200) {
	case 0, 1:
		return nil
	case 2, 3:
		s.network = append(s.network, m)
	case 4:
		crash = crashBeforeSync + s.rng.IntN(2)
	}
	s.nodes[i].now = s.now
	s.nodes[i].raft.Step(s.now, m)
	return s.processReady(i, crash, s.faults)
}

// freeze pauses one member, if none is paused.
func (s *randomSchedule) freeze() {
	if len(s.frozen) == 0 {
		s.frozen[s.rng.IntN(len(s.nodes))] = true
	}
}

// restartMember restarts one member, unless it is paused.
func (s *randomSchedule) restartMember() error {
	i := s.rng.IntN(len(s.nodes))
	if !s.frozen[i] {
		delete(s.leaving, i)
		s.nodes[i].now = s.now
		s.nodes[i].start()
	}
	return nil
}

// tick calls Tick of each member that is not paused. Non-members ask all others to join, as the caller of the package does.
func (s *randomSchedule) tick() error {
	s.lastTickAt = s.now
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

// leader returns the position of a random member that considers itself the leader and is not paused.
func (s *randomSchedule) leader() (int, bool) {
	var leaders []int
	for i, n := range s.nodes {
		if n.raft.IsLeader() && !s.frozen[i] {
			leaders = append(leaders, i)
		}
	}
	if len(leaders) == 0 {
		return 0, false
	}
	return leaders[s.rng.IntN(len(leaders))], true
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

// loseDisk makes one member lose its disk, but only while all voters run and have every acknowledged entry: three voters tolerate one loss
// at a time.
func (s *randomSchedule) loseDisk() error {
	i := s.rng.IntN(len(s.nodes))
	n := s.nodes[i]
	lead, ok := s.leader()
	if !ok || len(s.frozen) > 0 || len(s.leaving) > 0 || len(s.cutLinks) > 0 { // another member may be unavailable
		return nil
	}
	for _, n := range s.nodes {
		if n.raft.Term() > s.nodes[lead].raft.Term() {
			return nil // the leader may have been replaced
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

// compact makes one member compact its log.
func (s *randomSchedule) compact() error {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	if at := n.raft.AppliedIndex(); at > n.raft.log.snapshot.Index {
		n.compact(fmt.Append(nil, "state at ", at))
		if err := s.checkSnapshot(n.snapshot); err != nil {
			return fmt.Errorf("member %d makes %w", n.self.ID, err)
		}
	}
	return nil
}

// scheduleCount returns how many schedules TestRandomSchedules runs: RAFT_SCHEDULES, if that is set.
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

// Random schedules of deliveries and faults violate no invariant.
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
