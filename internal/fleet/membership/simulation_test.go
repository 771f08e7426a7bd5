package membership

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"time"

	"cranegrade/internal/fleet/shares"
)

// A fixed seed makes the draws of rapid the same in every run, so that a new failure results from a change of the code; -rapid.seed=0
// selects random draws.
func init() { flag.Set("rapid.seed", "1") }

const ms = time.Millisecond

// simulation simulates a fleet of processes with rosters and the network between them, in simulated time.
type simulation struct {
	now       time.Duration
	lease     Lease
	processes []*process
	inFlight  []message
	delay     func() time.Duration // of a message; negative if the message is lost
	cut       map[[2]string]bool   // links that lose all messages, from one name to another
	started   uint64               // number of started processes, also the incarnation of the latest one
	demand    func() float64       // of a process that starts, as a share of quota
}

// process is one process of a member.
type process struct {
	name         string
	roster       *Roster
	clockRate    float64
	startedAt    time.Duration
	clockOffset  time.Duration
	paused       bool
	dead         bool
	nextRoundAt  time.Duration
	rosterSentAt map[string]time.Duration // by receiver
	share        Share                    // as of its latest round; its validity is checked against the process's clock
	loans        *shares.LoanTable
}

// message is a heartbeat with demands and loans, or the entries of a roster if heartbeat is nil.
type message struct {
	deliverAt time.Duration
	from, to  *process
	heartbeat *Heartbeat
	entries   []Entry
	demands   []shares.Demand
	loans     []shares.Loan
}

// quota is the only quota, which all processes share.
const quota = shares.QuotaID(7)

const (
	stepLength        = 20 * ms  // of simulated time
	rosterInterval    = 200 * ms // shortest time between two rosters sent to the same member
	shareSumTolerance = 1e-9     // for rounding errors
)

func newSimulation(lease Lease) *simulation {
	return &simulation{
		lease: lease, cut: map[[2]string]bool{},
		delay:  func() time.Duration { return ms },
		demand: func() float64 { return 0 },
	}
}

func (p *process) clock(now time.Duration) time.Duration {
	return p.clockOffset + time.Duration(float64(now-p.startedAt)*p.clockRate)
}

// evenShare returns the process's share of any quota without loans.
func (p *process) evenShare(clock time.Duration) float64 { return 1 / p.share.DivisorAt(clock) }

// quotaShare returns the process's share of quota with loans.
func (p *process) quotaShare(now time.Duration) float64 {
	clock := p.clock(now)
	share, _ := p.loans.Share(clock, quota, p.evenShare(clock))
	return share
}

func (p *process) leave(now time.Duration) {
	p.roster.Leave(p.clock(now))
	p.share = p.roster.Share(p.clock(now))
}

// start starts a process whose clock advances by clockRate per unit of simulated time.
func (s *simulation) start(name string, clockRate float64) *process {
	s.started++
	p := &process{
		name: name, clockRate: clockRate, startedAt: s.now, clockOffset: time.Duration(s.started) * time.Hour, nextRoundAt: s.now,
		rosterSentAt: map[string]time.Duration{}, loans: shares.NewLoanTable(s.lease.MaxLoan()),
	}
	p.loans.SetDemand(quota, s.demand())
	p.roster = NewRoster(p.clock(s.now), name, s.started, s.lease)
	s.processes = append(s.processes, p)
	return p
}

// startGroup starts the members n0, n1, ..., and introduces each of them to n0.
func (s *simulation) startGroup(n int) {
	for i := range n {
		p := s.start(fmt.Sprintf("n%d", i), 1)
		if i > 0 {
			s.introduce(s.processes[0], p)
		}
	}
}

// find returns the live process with a name, or nil if there is none.
func (s *simulation) find(name string) *process {
	for _, p := range s.processes {
		if p.name == name && !p.dead {
			return p
		}
	}
	return nil
}

func (s *simulation) send(m message) {
	if s.cut[[2]string{m.from.name, m.to.name}] {
		return
	}
	if delay := s.delay(); delay >= 0 {
		m.deliverAt = s.now + delay
		s.inFlight = append(s.inFlight, m)
	}
}

// introduce makes two processes send each other their rosters, as the gossip does when a member joins.
func (s *simulation) introduce(a, b *process) {
	s.send(message{from: a, to: b, entries: a.roster.Entries()})
	s.send(message{from: b, to: a, entries: b.roster.Entries()})
}

// step advances the time, delivers the messages that are due, and sends the heartbeats of all processes whose next round is due.
func (s *simulation) step(d time.Duration) {
	s.now += d
	messages := s.inFlight
	s.inFlight = nil
	for _, m := range messages {
		switch {
		case m.deliverAt > s.now || m.to.paused && !m.to.dead:
			s.inFlight = append(s.inFlight, m)
		case !m.to.dead:
			s.deliver(m)
		}
	}
	for _, p := range s.processes {
		if !p.dead && !p.paused && s.now >= p.nextRoundAt {
			s.sendRound(p)
		}
	}
}

func (s *simulation) deliver(m message) {
	clock := m.to.clock(s.now)
	if m.heartbeat == nil {
		m.to.roster.Merge(clock, m.entries)
		return
	}
	exchangeRosters, echoedAt := m.to.roster.Receive(clock, *m.heartbeat)
	m.to.loans.Receive(clock, m.from.name, m.demands, m.loans, echoedAt)
	last := m.to.rosterSentAt[m.from.name]
	if exchangeRosters && (last == 0 || clock-last > rosterInterval) {
		m.to.rosterSentAt[m.from.name] = clock
		s.send(message{from: m.to, to: m.from, entries: m.to.roster.Entries()})
	}
}

func (s *simulation) sendRound(p *process) {
	p.nextRoundAt = s.now + s.lease.HeartbeatInterval()
	isCounted := func(name string) bool { return slices.Contains(p.share.Members, name) }
	for _, name := range p.roster.StartRound(p.clock(s.now)) {
		to := s.find(name)
		if to == nil {
			continue
		}
		heartbeat, clock := p.roster.Heartbeat(name), p.clock(s.now)
		s.send(message{
			from: p, to: to, heartbeat: &heartbeat, demands: p.loans.Demands(),
			loans: p.loans.Lend(clock, name, p.evenShare(clock), p.share.Until, isCounted),
		})
	}
	p.share = p.roster.Share(p.clock(s.now))
	p.loans.Expire(p.clock(s.now), func(string) bool { return true })
}

// shareSum returns the sum of the shares of quota that all processes may use now, each according to its own clock.
func (s *simulation) shareSum() (sum float64) {
	for _, p := range s.processes {
		if !p.dead && !p.paused {
			sum += p.quotaShare(s.now)
		}
	}
	return sum
}

// run advances the time in steps, and fails the test as soon as the shares add up to more than the whole.
func (s *simulation) run(t interface{ Fatalf(string, ...any) }, d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.step(stepLength)
		if sum := s.shareSum(); sum > 1+shareSumTolerance {
			t.Fatalf("at %v the shares add up to %v of the whole\n%s", s.now, sum, s.describe())
		}
	}
}

// describe returns the state of all processes, for failure messages of tests.
func (s *simulation) describe() string {
	var b strings.Builder
	for _, p := range s.processes {
		fmt.Fprintf(&b, "%s dead=%v paused=%v divisor=%v %+v committed voters=%v\n", p.name, p.dead, p.paused,
			p.share.DivisorAt(p.clock(s.now)), p.share, p.roster.committedVoters)
		for _, member := range p.roster.Members(p.clock(s.now)) {
			fmt.Fprintf(&b, "    %+v\n", member)
		}
	}
	return b.String()
}

// partition cuts the links between members on different sides. The sides contain the numbers of members of startGroup.
func (s *simulation) partition(sides ...[]int) {
	sideOf := map[string]int{}
	for side, members := range sides {
		for _, n := range members {
			sideOf[fmt.Sprintf("n%d", n)] = side
		}
	}
	s.cut = map[[2]string]bool{}
	for a, sideOfA := range sideOf {
		for b, sideOfB := range sideOf {
			if sideOfA != sideOfB {
				s.cut[[2]string{a, b}] = true
			}
		}
	}
}

// cutInbound cuts all links to a member.
func (s *simulation) cutInbound(name string) {
	for _, p := range s.processes {
		if p.name != name {
			s.cut[[2]string{p.name, name}] = true
		}
	}
}

// cutOutbound cuts all links from a member.
func (s *simulation) cutOutbound(name string) {
	for _, p := range s.processes {
		if p.name != name {
			s.cut[[2]string{name, p.name}] = true
		}
	}
}

// kill crashes processes, given by their order of start.
func (s *simulation) kill(processes ...int) {
	for _, i := range processes {
		s.processes[i].dead = true
	}
}

// divisors returns the divisors of the live processes by order of start. It is +Inf for a process without a valid share.
func (s *simulation) divisors() (divisors []float64) {
	for _, p := range s.processes {
		if !p.dead {
			divisors = append(divisors, p.share.DivisorAt(p.clock(s.now)))
		}
	}
	return divisors
}
