package outlier

import (
	"cmp"
	"slices"
	"time"

	"cranegrade/internal/fleet/rotation"
)

// How long ejections last.
const (
	// baseEjection is the length of a server's first ejection. It doubles with each ejection in a row, maxDoublings times at the most.
	baseEjection = 500 * time.Millisecond
	maxDoublings = 3
	// turnInterval is the time between the attempts of two members at an ejected server: longer than a report takes to the members that
	// draw from the same servers.
	turnInterval = 300 * time.Millisecond
	maxEjection  = baseEjection<<maxDoublings + rotation.MaxWaitSteps*turnInterval
	// resetAfter is how long after its latest ejection a server's ejections begin anew.
	resetAfter = 2 * maxEjection
)

// Bounds on what reports may do.
const (
	// requiredFailures are the consecutive failures, over all members, that eject a server. No member counts for more than that.
	requiredFailures = 2
	// maxLoneEjections is how often in a row one member's report is enough, unless this member has sent the server a request since.
	maxLoneEjections = 2
	// maxReportedFraction is the fraction of its servers that a member may report as failing, and one server at least. If it reports
	// more it is not believed.
	maxReportedFraction = 0.4
	// maxLoneFraction is the fraction of the pool's servers, and one at least, that may be ejected on the report of one member each.
	maxLoneFraction = 0.1
)

// Ejection is a server that this member avoids because others report it as failing.
type Ejection struct {
	Server    string
	StartedAt time.Duration // of the server
	Until     time.Duration
	Reporters []string // names of the members that reported it, sorted
}

// evidence is what others report of one server.
type evidence struct {
	reporters []string      // that report it as failing, sorted
	failures  int           // consecutive ones, over all reporters
	latest    time.Duration // when the latest of them was
	succeeded bool          // another member's requests there have succeeded since
}

// isTrustworthy reports whether a peer's reports are believed at all: one that reports many of its servers as failing is more likely to be
// unhealthy itself, or cut off.
func (p *peer) isTrustworthy() bool {
	reported := 0
	for _, o := range p.observations {
		if o.reportsFailure() {
			reported++
		}
	}
	return reported <= max(1, int(maxReportedFraction*float64(p.subsetSize)))
}

// Ejections returns the servers that are ejected now. drawnBy returns hashes of the names of the members that draw from a server, whose
// turns decide who tries it first.
func (d *Detector) Ejections(now time.Duration, drawnBy func(server string) []uint64) []Ejection {
	for key, until := range d.distrusted {
		if now >= until {
			delete(d.distrusted, key)
		}
	}
	trusted := map[*peer]bool{}
	for _, p := range d.peers {
		trusted[p] = p.isTrustworthy() || d.TrustUnbounded
	}
	for s := range d.observedByPeers(now) {
		d.decide(now, s, d.weigh(now, s, trusted), drawnBy)
	}
	return d.boundLoneEjections(d.currentEjections(now))
}

// observedByPeers returns the servers that recent digests mention.
func (d *Detector) observedByPeers(now time.Duration) map[*server]bool {
	observed := map[*server]bool{}
	for _, p := range d.peers {
		if now-p.receivedAt > reportLifetime {
			continue
		}
		for _, o := range p.observations {
			if s := d.byID[o.Server]; s != nil && o.Start == StartID(s.startedAt) {
				observed[s] = true
			}
		}
	}
	return observed
}

// weigh sums up what others report of a server.
func (d *Detector) weigh(now time.Duration, s *server, trusted map[*peer]bool) (e evidence) {
	var latestSuccess time.Duration
	for name, p := range d.peers {
		o, ok := p.observationOf(s)
		if !ok {
			continue
		}
		at := p.receivedAt - time.Duration(o.Age)*ageUnit
		_, distrusted := d.distrusted[distrustKey{peer: p.id, server: uint64(s.id)}]
		switch {
		case now-at > reportLifetime:
		case o.reportsFailure() && trusted[p] && (d.TrustUnbounded || !distrusted):
			e.reporters = append(e.reporters, name)
			e.failures += min(int(o.ConsecutiveFailures), requiredFailures)
			e.latest = max(e.latest, at)
		case o.ConsecutiveFailures == 0 && o.Successes > 0:
			latestSuccess = max(latestSuccess, at)
		}
	}
	slices.Sort(e.reporters)
	e.succeeded = latestSuccess > e.latest
	return e
}

// decide ejects a server, or ends its ejection, by what others report of it.
func (d *Detector) decide(now time.Duration, s *server, e evidence, drawnBy func(server string) []uint64) {
	ownSuccess := s.consecutiveFailures == 0 && s.lastSuccessAt > e.latest
	othersSuccess := s.consecutiveFailures == 0 && e.succeeded
	switch {
	case (ownSuccess || othersSuccess) && !d.TrustUnbounded:
		s.ejectedUntil = min(s.ejectedUntil, now)
	case d.TrustUnbounded && len(e.reporters) > 0:
		s.ejectedUntil = now + maxEjection
		s.reporters = e.reporters
	case now < s.ejectedUntil:
		// A failure during an ejection is not that of an attempt whose turn it was.
	case len(e.reporters) == 0 || e.latest <= s.lastEvidenceAt:
		// Nothing new.
	case e.failures+min(s.consecutiveFailures, requiredFailures) < requiredFailures:
		// Not enough yet.
	case len(e.reporters) == 1 && s.loneEjections >= maxLoneEjections && s.lastOutcomeAt <= s.ejectedUntil:
		// One member's report has been enough often enough: this member tries the server itself.
	default:
		d.eject(now, s, e, drawnBy(s.name))
	}
}

// eject ejects a server until it is this member's turn to try it: for longer each time that an attempt there has failed.
func (d *Detector) eject(now time.Duration, s *server, e evidence, drawnBy []uint64) {
	s.epoch++
	s.loneEjections++
	if len(e.reporters) > 1 || s.lastOutcomeAt > s.ejectedUntil {
		s.loneEjections = 1
	}
	rank := rotation.Rank(uint64(s.id), s.epoch, drawnBy, d.self)
	s.lastEvidenceAt = e.latest
	s.reporters = e.reporters
	s.ejectedUntil = now + baseEjection<<min(s.epoch-1, maxDoublings) + rotation.Wait(rank, turnInterval)
}

// currentEjections returns the servers that are ejected now, those with the most reporters first, and has the ejections of others begin
// anew that were tried again long ago.
func (d *Detector) currentEjections(now time.Duration) (ejections []Ejection) {
	for _, s := range d.servers {
		if now < s.ejectedUntil {
			ejections = append(ejections, Ejection{
				Server:    s.name,
				StartedAt: s.startedAt,
				Until:     s.ejectedUntil,
				Reporters: s.reporters,
			})
		} else if s.epoch > 0 && now-s.ejectedUntil > resetAfter {
			s.clearEjections()
		}
	}
	slices.SortFunc(ejections, func(a, b Ejection) int {
		return cmp.Or(cmp.Compare(len(b.Reporters), len(a.Reporters)), cmp.Compare(a.Server, b.Server))
	})
	return ejections
}

// boundLoneEjections drops ejections that rest on one member's report, beyond maxLoneFraction of the servers.
func (d *Detector) boundLoneEjections(ejections []Ejection) []Ejection {
	if d.TrustUnbounded {
		return ejections
	}
	lone, maxLone := 0, max(1, int(maxLoneFraction*float64(len(d.servers))))
	return slices.DeleteFunc(ejections, func(e Ejection) bool {
		if len(e.Reporters) != 1 {
			return false
		}
		lone++
		return lone > maxLone
	})
}
