package outlier

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// How long observations and reports remain valid.
const (
	countHalvingInterval = 4 * time.Second     // halves the counts of a server, so that old outcomes fade
	reportLifetime       = 3 * time.Second     // an observation is ignored once its latest outcome is older
	distrustPeriod       = 20 * time.Second    // ignores a member's reports about a server that it was wrong about
	peerExpiry           = 10 * reportLifetime // a silent member's digest may then be evicted
)

// MaxPeers is the maximum number of members whose digests are stored.
const MaxPeers = 4096

// server is the detector's state of one server.
type server struct {
	id        uint32
	name      string
	startedAt time.Duration

	// Outcomes of this member's own requests.
	failures, successes, consecutiveFailures int
	countsHalvedAt                           time.Duration
	lastOutcomeAt, lastSuccessAt             time.Duration // zero if there was none yet

	// Ejections, which result from the reports of other members; see ejections.go.
	epoch                   uint64        // number of consecutive ejections
	lastEvidenceAt          time.Duration // time of the latest reported failure that caused an ejection
	ejectedUntil            time.Duration
	reporters               []string // names of the members whose reports caused the latest ejection
	singleReporterEjections int      // consecutive ones on the report of one member, without a request by this member
}

// resetEjections clears the ejection and its backoff.
func (s *server) resetEjections() {
	s.ejectedUntil = 0
	s.epoch = 0
	s.reporters = nil
	s.singleReporterEjections = 0
}

// peer is the latest digest of another member.
type peer struct {
	id           uint64 // hash of its name
	seq          uint32
	incarnation  uint64
	receivedAt   time.Duration
	observations []Observation
	subsetSize   int
}

// observationOf returns the peer's observation of a server. It reports false if its digest has none of that process of the server.
func (p *peer) observationOf(s *server) (o Observation, ok bool) {
	for _, o := range p.observations {
		if o.Server == s.id && o.Start == StartID(s.startedAt) {
			return o, true
		}
	}
	return Observation{}, false
}

// distrustedReport identifies a member and a server that the member has wrongly reported as failing.
type distrustedReport struct{ peer, server uint64 }

// Detector holds one member's own observations of the servers of a pool, and those that it received from other members.
type Detector struct {
	pool       uint32
	self       uint64
	servers    map[string]*server
	byID       map[uint32]*server
	peers      map[string]*peer
	subsetSize int
	seq        uint32
	distrusted map[distrustedReport]time.Duration // end of the distrust

	// TrustUnbounded disables all limits on the effect of other members' digests. Only package fleet's mutation tests set it.
	TrustUnbounded bool
}

// NewDetector returns a detector for a pool, without any servers yet. self is a hash of this member's name.
func NewDetector(pool uint32, self uint64) *Detector {
	return &Detector{
		pool:       pool,
		self:       self,
		servers:    map[string]*server{},
		byID:       map[uint32]*server{},
		peers:      map[string]*peer{},
		distrusted: map[distrustedReport]time.Duration{},
	}
}

// SetServers sets the servers of the pool with their start times, and the number of servers in this member's subset. The state of a server
// that was restarted is reset.
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
			// If the IDs of two servers collide, byID has only one of them; StartID distinguishes them most of the time.
			d.servers[name], d.byID[s.id] = s, s
		}
	}
}

// RecordSuccess records a successful request to a server. It ends the server's ejection.
func (d *Detector) RecordSuccess(now time.Duration, name string) {
	s := d.servers[name]
	if s == nil {
		return
	}
	s.recordOutcomeTime(now)
	s.successes++
	s.consecutiveFailures = 0
	s.lastSuccessAt = now
	s.ejectedUntil = min(s.ejectedUntil, now)
	// A member that reports this server as failing is wrong, or has a fault on its own path to the server.
	for _, p := range d.peers {
		if o, ok := p.observationOf(s); ok && o.reportsFailure() && now-p.receivedAt < reportLifetime {
			d.distrusted[distrustedReport{peer: p.id, server: uint64(s.id)}] = now + distrustPeriod
		}
	}
}

// RecordFailure records a request that failed because of the server.
func (d *Detector) RecordFailure(now time.Duration, name string) {
	s := d.servers[name]
	if s == nil {
		return
	}
	s.recordOutcomeTime(now)
	s.failures++
	s.consecutiveFailures++
}

// recordOutcomeTime records the time of an outcome, and halves the counts if countHalvingInterval has passed.
func (s *server) recordOutcomeTime(now time.Duration) {
	if now-s.countsHalvedAt > countHalvingInterval {
		s.countsHalvedAt = now
		s.failures = s.failures / 2
		s.successes = s.successes / 2
	}
	s.lastOutcomeAt = now
}

// Digest returns the digest to send to the other members now. It reports false if there is nothing to report. Failures come first, then
// successes at servers that other members report as failing.
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

// observation returns this member's own observation of the server.
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

// Priorities of observations in a digest. That of a failing server grows with its consecutive failures.
const (
	priorityFailing       = 1000
	priorityContradicting = 500 // successes at a server that other members report as failing
)

// priority returns how useful this member's observation of the server is to other members; 0 omits it from the digest.
func (s *server) priority() int {
	switch {
	case s.consecutiveFailures > 0 && s.failures > 0:
		return priorityFailing + s.consecutiveFailures
	case len(s.reporters) > 0 && s.successes > 0 && s.consecutiveFailures == 0:
		return priorityContradicting
	}
	return s.failures
}

// Receive stores the digest of another member, and ignores it unless it is newer than the stored one. id is a hash of the member's name.
// incarnation identifies its process: sequence numbers restart with a new process.
func (d *Detector) Receive(now time.Duration, from string, id, incarnation uint64, digest Digest) {
	p := d.peers[from]
	if p == nil {
		if len(d.peers) >= MaxPeers && !d.evictSilentPeers(now) {
			return
		}
		p = &peer{}
		d.peers[from] = p
	}
	if p.incarnation == incarnation && int32(digest.Seq-p.seq) <= 0 {
		return // reordered or duplicated
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

// evictSilentPeers removes members that have sent no digest for peerExpiry, and reports whether there is room for another member.
func (d *Detector) evictSilentPeers(now time.Duration) bool {
	for name, p := range d.peers {
		if now-p.receivedAt > peerExpiry {
			delete(d.peers, name)
		}
	}
	return len(d.peers) < MaxPeers
}
