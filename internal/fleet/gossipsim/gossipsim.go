// Package gossipsim simulates the gossip of a large fleet, to measure how fast and how well the members' views follow it.
//
// It models SWIM with Lifeguard's suspicion as hashicorp/memberlist implements and package fleet configures them: direct probes, indirect
// probes and a probe by stream, suspicions whose time-out shrinks with confirmations, and rumours that are sent to a few
// members each round (Das, Gupta and Motivala, "SWIM"; Dadgar, Phillips and Currey, "Lifeguard"). On top run the views of package
// membership that are in service.
//
// The package is pure: the time is simulated, and a simulation depends on its Config alone. Only drills use it.
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
	Loss          float64       // fraction of datagrams that are lost, and of each direction of a stream
	ProbeInterval time.Duration // between two probes by a member
	SettleTime    time.Duration // of the views, see membership.Damping
	Seed          uint64
	Deaths        int           // members that die at once, at the beginning
	Length        time.Duration // the simulation ends earlier once all views are right after deaths
}

// Result is what a simulation measured.
type Result struct {
	ConvergedAfter  time.Duration // from the deaths until the views of all live members are right; 0 if they never were
	FalseFailures   int           // times that a member's own suspicion gave up a live member
	PositionChanges int           // times that a live member stopped counting in a view
	RumoursSent     int           // by all members
}

// tick is the step of the simulated time.
const tick = 50 * time.Millisecond

// Parameters of the gossip, as package fleet and memberlist's defaults set them.
const (
	gossipInterval   = 200 * time.Millisecond
	gossipFanOut     = 3
	indirectProbes   = 3
	suspicionMult    = 3 // the least time of a suspicion, times the probe interval and the logarithm of the members
	maxSuspicionMult = 2 // the most time of a suspicion, times the least
	retransmitMult   = 4 // how often a rumour is sent, times the logarithm of the members
	flapDecay        = 30 * time.Second
)

// Messages that must all arrive for a probe to succeed.
const (
	directProbeMessages   = 2
	indirectProbeMessages = 4
	streamProbeMessages   = 3
)

// pool is the one that all members serve.
var pool = membership.PoolDigest{ID: 1, Digest: 1}

// state is what a member believes of another one.
type state int

const (
	alive state = iota
	suspect
	dead
)

// rumour is a change of a member's state on its way.
type rumour struct {
	state       state
	of, from    int // indices of members
	incarnation int
}

// belief is what a member knows of another one.
type belief struct {
	state          state
	incarnation    int
	suspectedAt    time.Duration
	suspicionEnds  time.Duration
	confirmedTimes int
}

// queuedRumour is a rumour that a member still has to send.
type queuedRumour struct {
	rumour
	sendsLeft int
}

// member is one simulated member.
type member struct {
	index       int
	view        *membership.View
	dead        bool
	probeOrder  []int
	nextProbe   int // index in probeOrder
	probeAt     time.Duration
	incarnation int
	beliefs     []belief
	queue       []queuedRumour
	seen        map[rumour]bool // suspicions that it has counted
}

// simulation is a fleet at a moment of the simulated time.
type simulation struct {
	Config
	rng     *rand.Rand
	now     time.Duration
	members []*member
	result  Result
}

// Run simulates a fleet that has settled at the beginning.
func Run(c Config) Result {
	s := newSimulation(c)
	startedAt := s.now
	for ; s.now < startedAt+c.Length; s.now += tick {
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

// newSimulation returns a fleet in which all members know each other, and some have just died.
func newSimulation(c Config) *simulation {
	s := &simulation{Config: c, rng: rand.New(rand.NewPCG(c.Seed, 0x5717)), now: c.SettleTime}
	damping := membership.Damping{SettleTime: c.SettleTime, FlapDecay: flapDecay}
	for i := range c.Members {
		m := &member{
			index:   i,
			view:    membership.NewView(0, metadata(i), damping),
			dead:    i < c.Deaths,
			beliefs: make([]belief, c.Members),
			seen:    map[rumour]bool{},
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

// memberName returns the name of a member, which has the same order as its index.
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

// step lets a member do what is due.
func (s *simulation) step(m *member) {
	if s.now >= m.probeAt {
		m.probeAt += s.ProbeInterval
		s.probe(m)
	}
	for j := range m.beliefs {
		if b := &m.beliefs[j]; b.state == suspect && s.now >= b.suspicionEnds {
			s.receive(m, rumour{state: dead, of: j, from: m.index, incarnation: b.incarnation})
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

// countPositionChanges counts how often a live member stopped counting in the view of another.
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

// isLost draws whether at least one of so many messages is lost.
func (s *simulation) isLost(messages int) bool {
	return s.rng.Float64() >= math.Pow(1-s.Loss, float64(messages))
}

// probe has a member probe the next one that it does not believe dead: directly, through others, and by a stream.
func (s *simulation) probe(m *member) {
	for range s.Members {
		if m.nextProbe >= len(m.probeOrder) {
			m.probeOrder = s.rng.Perm(s.Members)
			m.nextProbe = 0
		}
		target := m.probeOrder[m.nextProbe]
		m.nextProbe++
		if target == m.index || m.beliefs[target].state == dead {
			continue
		}
		if !s.answers(m, s.members[target]) {
			s.receive(m, rumour{state: suspect, of: target, from: m.index, incarnation: m.beliefs[target].incarnation})
		}
		return
	}
}

// answers draws whether a target answers any of the probes.
func (s *simulation) answers(m, target *member) bool {
	answered := !target.dead && !s.isLost(directProbeMessages)
	for range indirectProbes {
		helper := s.rng.IntN(s.Members)
		answered = answered || helper != m.index && !s.members[helper].dead && !target.dead && !s.isLost(indirectProbeMessages)
	}
	return answered || !target.dead && !s.isLost(streamProbeMessages)
}

// suspicionTimeout returns how long a suspicion lasts that so many others have confirmed.
func (s *simulation) suspicionTimeout(confirmed int) time.Duration {
	least := suspicionMult * max(1, math.Log10(max(1, float64(s.Members)))) * float64(s.ProbeInterval)
	const wanted = suspicionMult - 2
	if s.Members-2 < wanted {
		return time.Duration(least)
	}
	most := maxSuspicionMult * least
	return time.Duration(max(least, most-math.Log(float64(confirmed)+1)/math.Log(wanted+1)*(most-least)))
}

// receive has a member process a rumour, and pass it on if it is news.
func (s *simulation) receive(m *member, r rumour) {
	b := &m.beliefs[r.of]
	switch {
	case r.of == m.index:
		s.refute(m, r)
		return
	case r.state == alive:
		if r.incarnation <= b.incarnation {
			return
		}
		if b.state == dead {
			m.view.MemberAlive(s.now, metadata(r.of), "")
		}
		*b = belief{incarnation: r.incarnation}
	case r.incarnation < b.incarnation || b.state == dead:
		return
	case r.state == suspect:
		if m.seen[r] {
			return
		}
		m.seen[r] = true
		if b.state == suspect {
			b.confirmedTimes++
		} else {
			*b = belief{state: suspect, incarnation: r.incarnation, suspectedAt: s.now}
		}
		b.suspicionEnds = b.suspectedAt + s.suspicionTimeout(b.confirmedTimes)
	default:
		*b = belief{state: dead, incarnation: r.incarnation}
		m.view.MemberFailed(s.now, memberName(r.of))
		if !s.members[r.of].dead && r.from == m.index {
			s.result.FalseFailures++
		}
	}
	s.enqueue(m, r)
}

// refute has a member answer a suspicion of itself with a higher incarnation.
func (s *simulation) refute(m *member, r rumour) {
	if r.state != alive && r.incarnation >= m.incarnation {
		m.incarnation = r.incarnation + 1
		s.enqueue(m, rumour{state: alive, of: m.index, from: m.index, incarnation: m.incarnation})
	}
}

// enqueue queues a rumour for as many sends as memberlist does.
func (s *simulation) enqueue(m *member, r rumour) {
	m.queue = append(m.queue, queuedRumour{
		rumour:    r,
		sendsLeft: retransmitMult * int(math.Ceil(math.Log10(float64(s.Members+1)))),
	})
}

// gossip sends what a member has queued to a few others.
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
	kept := m.queue[:0]
	for _, q := range m.queue {
		if q.sendsLeft > 0 {
			kept = append(kept, q)
		}
	}
	m.queue = kept
}
