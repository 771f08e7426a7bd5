package outlier

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// How long observations and reports hold.
const (
	countingWindow  = 4 * time.Second  // after which the counts of a server are halved
	reportLifetime  = 3 * time.Second  // an observation whose latest outcome is older does not count any more
	distrustPeriod  = 20 * time.Second // for which a member is not believed about a server that it was wrong about
	peerForgetAfter = 10 * reportLifetime
)

// MaxPeers bounds the members whose digests are kept.
const MaxPeers = 4096

// server is what is known of a server.
type server struct {
	id        uint32
	name      string
	startedAt time.Duration

	// Observed by this member.
	failures, successes, consecutiveFailures int
	countedSince                             time.Duration
	lastOutcomeAt, lastSuccessAt             time.Duration // zero before the first

	// Decided from the reports of others, see ejections.go.
	epoch          uint64        // counts ejections in a row
	lastEvidenceAt time.Duration // the latest failure anywhere that an ejection rests on
	ejectedUntil   time.Duration
	reporters      []string // of the latest ejection, by name
	loneEjections  int      // in a row that one member's report was enough for, without a request of this member there
}

// clearEjections forgets what others reported.
func (s *server) clearEjections() {
	s.ejectedUntil = 0
	s.epoch = 0
	s.reporters = nil
	s.loneEjections = 0
}

// peer is another member's latest digest.
type peer struct {
	id           uint64 // hash of its name
	seq          uint32
	incarnation  uint64
	receivedAt   time.Duration
	observations []Observation
	subsetSize   int
}

// observationOf returns what the peer observed of a server.
func (p *peer) observationOf(s *server) (o Observation, ok bool) {
	for _, o := range p.observations {
		if o.Server == s.id && o.Start == StartID(s.startedAt) {
			return o, true
		}
	}
	return Observation{}, false
}

// distrustKey is a member that was wrong about a server.
type distrustKey struct{ peer, server uint64 }

// Detector holds what one member has observed itself and received from others about the servers of a pool.
type Detector struct {
	pool       uint32
	self       uint64
	servers    map[string]*server
	byID       map[uint32]*server
	peers      map[string]*peer
	subsetSize int
	seq        uint32
	distrusted map[distrustKey]time.Duration // until when

	// TrustUnbounded removes the bounds on what others' digests may do. It is false in service; only package fleet's
	// mutations set it.
	TrustUnbounded bool
}

// NewDetector returns a detector for a pool that knows no servers. self is a hash of this member's name.
func NewDetector(pool uint32, self uint64) *Detector {
	return &Detector{
		pool:       pool,
		self:       self,
		servers:    map[string]*server{},
		byID:       map[uint32]*server{},
		peers:      map[string]*peer{},
		distrusted: map[distrustKey]time.Duration{},
	}
}

// SetServers sets the servers of the pool, each with when it was started, and how many of them this member draws from. A server that was
// restarted is a new one.
func (d *Detector) SetServers(startedAt map[string]time.Duration, subsetSize int) {
	d.subsetSize = subsetSize
	for name, s := range d.servers {
		if _, ok := startedAt[name]; !ok {
			delete(d.servers, name)
			delete(d.byID, s.id)
		}
	}
	for name, at := range startedAt {
		s := d.servers[name]
		if s == nil || s.startedAt != at {
			s = &server{id: ServerID(name), name: name, startedAt: at}
			// Of two servers with one ID only one is found by it; StartID distinguishes them most of the time.
			d.servers[name], d.byID[s.id] = s, s
		}
	}
}

// RecordSuccess records that a request at a server ended well.
func (d *Detector) RecordSuccess(now time.Duration, name string) {
	s := d.servers[name]
	if s == nil {
		return
	}
	s.startOutcome(now)
	s.successes++
	s.consecutiveFailures = 0
	s.lastSuccessAt = now
	s.ejectedUntil = min(s.ejectedUntil, now)
	// Whoever reports the server as failing is wrong, or has a fault on its own way to it.
	for _, p := range d.peers {
		if o, ok := p.observationOf(s); ok && o.reportsFailure() && now-p.receivedAt < reportLifetime {
			d.distrusted[distrustKey{peer: p.id, server: uint64(s.id)}] = now + distrustPeriod
		}
	}
}

// RecordFailure records that a request at a server ended in a way that speaks against the server.
func (d *Detector) RecordFailure(now time.Duration, name string) {
	s := d.servers[name]
	if s == nil {
		return
	}
	s.startOutcome(now)
	s.failures++
	s.consecutiveFailures++
}

// startOutcome notes the time of an outcome, and halves the counts once their window has passed.
func (s *server) startOutcome(now time.Duration) {
	if now-s.countedSince > countingWindow {
		s.countedSince = now
		s.failures = s.failures / 2
		s.successes = s.successes / 2
	}
	s.lastOutcomeAt = now
}

// Digest returns the digest that this member sends to the others now. It reports false if there is nothing to report. Reports of failures
// come first, then successes at servers that others report as failing.
func (d *Detector) Digest(now time.Duration) (digest Digest, ok bool) {
	type ranked struct {
		Observation
		priority int
	}
	var candidates []ranked
	for _, s := range d.servers {
		if s.lastOutcomeAt == 0 || now-s.lastOutcomeAt > reportLifetime {
			continue
		}
		if priority := s.priority(); priority > 0 {
			candidates = append(candidates, ranked{Observation: s.observation(now), priority: priority})
		}
	}
	if len(candidates) == 0 {
		return Digest{}, false
	}
	slices.SortFunc(candidates, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(a.Server, b.Server))
	})
	d.seq++
	digest = Digest{Pool: d.pool, Seq: d.seq, SubsetSize: uint16(min(d.subsetSize, math.MaxUint16))}
	for _, c := range candidates[:min(len(candidates), MaxObservations)] {
		digest.Observations = append(digest.Observations, c.Observation)
	}
	return digest, true
}

// observation is this member's own of a server.
func (s *server) observation(now time.Duration) Observation {
	return Observation{
		Server:              s.id,
		Start:               StartID(s.startedAt),
		Failures:            saturate(s.failures),
		Successes:           saturate(s.successes),
		ConsecutiveFailures: saturate(s.consecutiveFailures),
		Age:                 saturate(int((now - s.lastOutcomeAt) / ageUnit)),
	}
}

// Priorities of observations in a digest. Those of failures grow with the number of failures.
const (
	priorityFailing  = 1000
	priorityDefended = 500
)

// priority is how useful this member's observation of a server is to others. 0 means not at all.
func (s *server) priority() int {
	switch {
	case s.consecutiveFailures > 0 && s.failures > 0:
		return priorityFailing + s.consecutiveFailures
	case len(s.reporters) > 0 && s.successes > 0 && s.consecutiveFailures == 0:
		return priorityDefended
	}
	return s.failures
}

// Receive takes another member's digest. id is a hash of its name, and incarnation identifies its process: the sequence numbers of
// another process begin anew.
func (d *Detector) Receive(now time.Duration, from string, id, incarnation uint64, digest Digest) {
	p := d.peers[from]
	if p == nil {
		if len(d.peers) >= MaxPeers && !d.forgetSilentPeers(now) {
			return
		}
		p = &peer{}
		d.peers[from] = p
	}
	if p.incarnation == incarnation && int32(digest.Seq-p.seq) <= 0 {
		return // late, or received before
	}
	*p = peer{
		id:           id,
		seq:          digest.Seq,
		incarnation:  incarnation,
		receivedAt:   now,
		observations: digest.Observations,
		subsetSize:   int(digest.SubsetSize),
	}
}

// forgetSilentPeers makes room for another member, and reports whether there is any.
func (d *Detector) forgetSilentPeers(now time.Duration) bool {
	for name, p := range d.peers {
		if now-p.receivedAt > peerForgetAfter {
			delete(d.peers, name)
		}
	}
	return len(d.peers) < MaxPeers
}
