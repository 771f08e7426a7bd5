// Package gossipsim simulates the gossip of a large fleet, to measure how quickly and accurately the members' views track its changes.
//
// It models SWIM with Lifeguard's suspicion mechanism, as hashicorp/memberlist implements and package fleet configures them: direct,
// indirect and TCP probes, suspicions whose time-out shrinks with the number of confirmations, and rumours that are sent to a few random
// members in each gossip round (Das, Gupta and Motivala, "SWIM"; Dadgar, Phillips and Currey, "Lifeguard"). The views that follow the
// gossip are the production code of package membership.
//
// The package is pure: time is simulated, and the result of a simulation depends only on its Config. Only drills use it.
package gossipsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"cranegrade/internal/fleet/membership"
)

// Config describes a simulation.
type Config struct {
	Members       int           // at most 1000
	Loss          float64       // probability that a datagram, or one direction of a TCP exchange, is lost
	ProbeInterval time.Duration // between two probes sent by a member
	SettleTime    time.Duration // of the views, see membership.Damping
	Seed          uint64
	Deaths        int           // members that die at the start, all at the same time
	Length        time.Duration // of simulated time; with Deaths the simulation ends early once all views are correct
}

// Result is what a simulation measured.
type Result struct {
	ConvergedAfter  time.Duration // from the deaths until the views of all live members are correct; 0 if they never were
	FalseFailures   int           // times that a member declared a live member dead because its own suspicion timed out
	PositionChanges int           // times that a view stopped counting a live member
	RumoursSent     int           // by all members together
}

// timeStep is the increment of the simulated time.
const timeStep = 50 * time.Millisecond

// Parameters of the gossip, as set by package fleet and memberlist's defaults.
const (
	gossipInterval   = 200 * time.Millisecond
	gossipFanOut     = 3
	indirectProbes   = 3
	suspicionMult    = 3 // times the probe interval and the logarithm of the number of members: the minimum suspicion time-out
	maxSuspicionMult = 2 // times the minimum suspicion time-out: the maximum
	retransmitMult   = 4 // times the logarithm of the number of members: how often a rumour is sent
	flapDecay        = 30 * time.Second
)

// Numbers of messages that must all arrive for a probe to succeed.
const (
	directProbeMessages   = 2
	indirectProbeMessages = 4
	streamProbeMessages   = 3
)

// pool is the only pool; all members serve it.
var pool = membership.PoolDigest{ID: 1, Digest: 1}

// state is the state of a member according to another one.
type state int

const (
	alive state = iota
	suspect
	dead
)

// rumour is a gossip message about a member's state.
type rumour struct {
	state       state
	of, from    int // indices of the member in that state, and of the one that reported it
	incarnation int
}

// peerState is the state of a member according to another one, with the suspicion if there is one.
type peerState struct {
	state         state
	incarnation   int
	suspectedAt   time.Duration
	suspicionEnds time.Duration
	confirmations int
}

// outgoingRumour is a rumour in a member's send queue.
type outgoingRumour struct {
	rumour
	sendsLeft int
}

// member is one simulated member.
type member struct {
	index             int // in simulation.members
	view              *membership.View
	dead              bool
	probeOrder        []int
	nextProbe         int // index in probeOrder
	probeAt           time.Duration
	incarnation       int
	peers             []peerState // by index; includes the member itself
	queue             []outgoingRumour
	countedSuspicions map[rumour]bool // suspicions that are already counted, as confirmations or as the first report
}

// simulation is the state of a simulated fleet.
type simulation struct {
	Config
	rng     *rand.Rand
	now     time.Duration
	members []*member
	result  Result
}

// Run simulates a fleet whose views are settled at the start.
func Run(c Config) Result {
	s := newSimulation(c)
	startedAt := s.now
	for ; s.now < startedAt+c.Length; s.now += timeStep {
		for _, m := range s.members {
			if !m.dead {
				s.step(m)
			}
		}
		if c.Deaths > 0 && s.converged() {
			s.result.ConvergedAfter = s.now - startedAt
			return s.result
		}
	}
	s.countPositionChanges()
	return s.result
}

// newSimulation returns a fleet in which all members have each other in their views, and c.Deaths members have just died.
func newSimulation(c Config) *simulation {
	s := &simulation{Config: c, rng: rand.New(rand.NewPCG(c.Seed, 0x5717)), now: c.SettleTime}
	damping := membership.Damping{SettleTime: c.SettleTime, FlapDecay: flapDecay}
	for i := range c.Members {
		m := &member{
			index:             i,
			view:              membership.NewView(0, metadata(i), damping),
			dead:              i < c.Deaths,
			peers:             make([]peerState, c.Members),
			countedSuspicions: map[rumour]bool{},
		}
		for j := range c.Members {
			m.view.MemberAlive(0, metadata(j), "")
		}
		m.probeOrder = s.rng.Perm(c.Members)
		m.probeAt = time.Duration(s.rng.Int64N(int64(c.ProbeInterval)))
		m.view.Advance(c.SettleTime)
		s.members = append(s.members, m)
	}
	return s
}

// memberName returns the name of a member. Names sort in the order of the indices.
func memberName(i int) string { return fmt.Sprintf("n%03d", i) }

// metadata returns the metadata of a member.
func metadata(i int) membership.Metadata {
	return membership.Metadata{
		Name:        memberName(i),
		Incarnation: 1,
		Protocol:    membership.Protocol,
		Pools:       []membership.PoolDigest{pool},
	}
}

// step performs a member's probes, suspicion time-outs and gossip that are due at the current time.
func (s *simulation) step(m *member) {
	if s.now >= m.probeAt {
		m.probeAt += s.ProbeInterval
		s.probe(m)
	}
	for j := range m.peers {
		if peer := &m.peers[j]; peer.state == suspect && s.now >= peer.suspicionEnds {
			s.receive(m, rumour{state: dead, of: j, from: m.index, incarnation: peer.incarnation})
		}
	}
	if s.now%gossipInterval == 0 {
		s.gossip(m)
	}
	m.view.Advance(s.now)
}

// converged reports whether the views of all live members count exactly the live members.
func (s *simulation) converged() bool {
	live := s.members[s.Deaths:]
	for _, m := range live {
		if m.view.Position(pool.ID).Established != len(live) {
			return false
		}
	}
	return true
}

// countPositionChanges counts how often the views of live members stopped counting another member.
func (s *simulation) countPositionChanges() {
	for _, m := range s.members[s.Deaths:] {
		changes, _ := m.view.Changes()
		for _, change := range changes {
			if change.Kind == membership.ChangeNotEstablished {
				s.result.PositionChanges++
			}
		}
	}
}

// isLost draws at random whether at least one of a number of messages is lost.
func (s *simulation) isLost(messages int) bool {
	return s.rng.Float64() >= math.Pow(1-s.Loss, float64(messages))
}

// probe makes a member probe the next member that it does not consider dead, and suspect that one if it does not answer.
func (s *simulation) probe(m *member) {
	for range s.Members {
		if m.nextProbe >= len(m.probeOrder) {
			m.probeOrder = s.rng.Perm(s.Members)
			m.nextProbe = 0
		}
		target := m.probeOrder[m.nextProbe]
		m.nextProbe++
		if target == m.index || m.peers[target].state == dead {
			continue
		}
		if !s.answers(m, s.members[target]) {
			s.receive(m, rumour{state: suspect, of: target, from: m.index, incarnation: m.peers[target].incarnation})
		}
		return
	}
}

// answers draws at random whether a target answers a direct, indirect or TCP probe.
func (s *simulation) answers(m, target *member) bool {
	answered := !target.dead && !s.isLost(directProbeMessages)
	for range indirectProbes {
		helper := s.rng.IntN(s.Members)
		answered = answered || helper != m.index && !s.members[helper].dead && !target.dead && !s.isLost(indirectProbeMessages)
	}
	return answered || !target.dead && !s.isLost(streamProbeMessages)
}

// suspicionTimeout returns the time-out of a suspicion with a number of confirmations by other members.
func (s *simulation) suspicionTimeout(confirmations int) time.Duration {
	minimum := suspicionMult * max(1, math.Log10(max(1, float64(s.Members)))) * float64(s.ProbeInterval)
	const expectedConfirmations = suspicionMult - 2 // with so many the time-out is the minimum
	if s.Members-2 < expectedConfirmations {
		return time.Duration(minimum)
	}
	maximum := maxSuspicionMult * minimum
	return time.Duration(max(minimum, maximum-math.Log(float64(confirmations)+1)/math.Log(expectedConfirmations+1)*(maximum-minimum)))
}

// receive makes a member process a rumour, and queue it for its own gossip if it changes the member's state of the peer.
func (s *simulation) receive(m *member, r rumour) {
	peer := &m.peers[r.of]
	switch {
	case r.of == m.index:
		s.refute(m, r)
		return
	case r.state == alive:
		if r.incarnation <= peer.incarnation {
			return
		}
		if peer.state == dead {
			m.view.MemberAlive(s.now, metadata(r.of), "")
		}
		*peer = peerState{incarnation: r.incarnation}
	case r.incarnation < peer.incarnation || peer.state == dead:
		return
	case r.state == suspect:
		if m.countedSuspicions[r] {
			return
		}
		m.countedSuspicions[r] = true
		if peer.state == suspect {
			peer.confirmations++
		} else {
			*peer = peerState{state: suspect, incarnation: r.incarnation, suspectedAt: s.now}
		}
		peer.suspicionEnds = peer.suspectedAt + s.suspicionTimeout(peer.confirmations)
	default:
		*peer = peerState{state: dead, incarnation: r.incarnation}
		m.view.MemberFailed(s.now, memberName(r.of))
		if !s.members[r.of].dead && r.from == m.index {
			s.result.FalseFailures++
		}
	}
	s.enqueue(m, r)
}

// refute makes a member announce that it is alive, with a higher incarnation, in response to a rumour that it is suspect or dead.
func (s *simulation) refute(m *member, r rumour) {
	if r.state != alive && r.incarnation >= m.incarnation {
		m.incarnation = r.incarnation + 1
		s.enqueue(m, rumour{state: alive, of: m.index, from: m.index, incarnation: m.incarnation})
	}
}

// enqueue queues a rumour for as many sends as memberlist would make.
func (s *simulation) enqueue(m *member, r rumour) {
	m.queue = append(m.queue, outgoingRumour{
		rumour:    r,
		sendsLeft: retransmitMult * int(math.Ceil(math.Log10(float64(s.Members+1)))),
	})
}

// gossip sends a member's queued rumours to gossipFanOut random members.
func (s *simulation) gossip(m *member) {
	for range gossipFanOut {
		to := s.rng.IntN(s.Members)
		if to == m.index {
			continue
		}
		lost := s.isLost(1)
		for k := range m.queue {
			if m.queue[k].sendsLeft <= 0 {
				continue
			}
			m.queue[k].sendsLeft--
			s.result.RumoursSent++
			if !lost && !s.members[to].dead {
				s.receive(s.members[to], m.queue[k].rumour)
			}
		}
	}
	remaining := m.queue[:0]
	for _, q := range m.queue {
		if q.sendsLeft > 0 {
			remaining = append(remaining, q)
		}
	}
	m.queue = remaining
}
