package outlier

import (
	"cmp"
	"slices"
	"time"

	"cranegrade/internal/fleet/rotation"
)

// Durations of ejections.
const (
	// baseEjection is the duration of a first ejection. It doubles with each consecutive ejection, at most maxDoublings times.
	baseEjection = 500 * time.Millisecond
	maxDoublings = 3
	// turnInterval is the time between two members' turns to retry an ejected server. It is longer than a report takes to reach the
	// members that use the same servers, so that the outcome of one retry is known before the next.
	turnInterval = 300 * time.Millisecond
	maxEjection  = baseEjection<<maxDoublings + rotation.MaxWaitSteps*turnInterval
	// resetAfter is the time after the end of an ejection until the server's backoff is reset.
	resetAfter = 2 * maxEjection
)

// Limits on the effect of reports.
const (
	// requiredFailures is the sum of consecutive failures over all members that ejects a server. The failures of each member count up to
	// this number.
	requiredFailures = 2
	// maxSingleReporterEjections is how often in a row a server is ejected on the report of a single member. A request by this member to
	// the server after the ejection restarts the count.
	maxSingleReporterEjections = 2
	// maxReportedFraction is the fraction of the servers in its subset, but at least one server, that a member may report as failing.
	// If it reports more, all its reports of failures are ignored.
	maxReportedFraction = 0.4
	// maxSingleReporterFraction is the fraction of the pool's servers, but at least one server, that may be ejected at a time on the
	// report of a single member each.
	maxSingleReporterFraction = 0.1
)

// Ejection is a server that this member avoids because other members report it as failing.
type Ejection struct {
	Server    string
	StartedAt time.Duration // start time of the server
	Until     time.Duration // when the ejection ends
	Reporters []string      // names of the members that reported it, sorted
}

// evidence summarizes what other members report about one server.
type evidence struct {
	reporters []string      // names of the members that report it as failing, sorted
	failures  int           // sum of the consecutive failures of all reporters
	latest    time.Duration // time of the latest reported failure
	succeeded bool          // a member reports a success after the latest failure
}

// isTrustworthy reports whether a peer's reports of failures count. A peer that reports many of its servers as failing is more likely to be
// unhealthy or disconnected itself.
func (p *peer) isTrustworthy() bool {
	reported := 0
	for _, o := range p.observations {
		if o.reportsFailure() {
			reported++
		}
	}
	return reported <= max(1, int(maxReportedFraction*float64(p.subsetSize)))
}

// Ejections updates the ejections from the received digests, and returns the servers that are ejected now. membersUsing returns hashes of
// the names of the members that have a server in their subset. These members retry the server in turn, in the order of rotation.Rank.
func (d *Detector) Ejections(now time.Duration, membersUsing func(server string) []uint64) []Ejection {
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
		d.updateEjection(now, s, d.collectEvidence(now, s, trusted), membersUsing)
	}
	return d.limitSingleReporterEjections(d.currentEjections(now))
}

// observedByPeers returns the servers of which recent digests have an observation.
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

// collectEvidence combines the observations of a server that other members report.
func (d *Detector) collectEvidence(now time.Duration, s *server, trusted map[*peer]bool) (e evidence) {
	var latestSuccess time.Duration
	for name, p := range d.peers {
		o, ok := p.observationOf(s)
		if !ok {
			continue
		}
		at := p.receivedAt - time.Duration(o.Age)*ageUnit
		_, distrusted := d.distrusted[distrustedReport{peer: p.id, server: uint64(s.id)}]
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

// updateEjection ejects a server, or ends its ejection, according to the evidence.
func (d *Detector) updateEjection(now time.Duration, s *server, e evidence, membersUsing func(server string) []uint64) {
	ownSuccess := s.consecutiveFailures == 0 && s.lastSuccessAt > e.latest
	othersSuccess := s.consecutiveFailures == 0 && e.succeeded
	switch {
	case (ownSuccess || othersSuccess) && !d.TrustUnbounded:
		s.ejectedUntil = min(s.ejectedUntil, now)
	case d.TrustUnbounded && len(e.reporters) > 0:
		s.ejectedUntil = now + maxEjection
		s.reporters = e.reporters
	case now < s.ejectedUntil:
		// A failure that is reported during the ejection is not that of a scheduled retry, so it doesn't prolong the ejection.
	case len(e.reporters) == 0 || e.latest <= s.lastEvidenceAt:
		// There is no new failure since the last ejection.
	case e.failures+min(s.consecutiveFailures, requiredFailures) < requiredFailures:
		// There are too few failures to eject the server.
	case len(e.reporters) == 1 && s.singleReporterEjections >= maxSingleReporterEjections && s.lastOutcomeAt <= s.ejectedUntil:
		// The limit for a single reporter is reached: this member has to try the server itself.
	default:
		d.eject(now, s, e, membersUsing(s.name))
	}
}

// eject ejects a server until it is this member's turn to retry it. The duration grows with each consecutive ejection.
func (d *Detector) eject(now time.Duration, s *server, e evidence, membersUsing []uint64) {
	s.epoch++
	s.singleReporterEjections++
	if len(e.reporters) > 1 || s.lastOutcomeAt > s.ejectedUntil {
		s.singleReporterEjections = 1
	}
	rank := rotation.Rank(uint64(s.id), s.epoch, membersUsing, d.self)
	s.lastEvidenceAt = e.latest
	s.reporters = e.reporters
	s.ejectedUntil = now + baseEjection<<min(s.epoch-1, maxDoublings) + rotation.Wait(rank, turnInterval)
}

// currentEjections returns the servers that are ejected now, those with the most reporters first. It resets the backoff of servers whose
// ejection ended more than resetAfter ago.
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
			s.resetEjections()
		}
	}
	slices.SortFunc(ejections, func(a, b Ejection) int {
		return cmp.Or(cmp.Compare(len(b.Reporters), len(a.Reporters)), cmp.Compare(a.Server, b.Server))
	})
	return ejections
}

// limitSingleReporterEjections drops the ejections on the report of a single member that exceed maxSingleReporterFraction of the servers.
func (d *Detector) limitSingleReporterEjections(ejections []Ejection) []Ejection {
	if d.TrustUnbounded {
		return ejections
	}
	singleReporter, maxSingleReporter := 0, max(1, int(maxSingleReporterFraction*float64(len(d.servers))))
	return slices.DeleteFunc(ejections, func(e Ejection) bool {
		if len(e.Reporters) != 1 {
			return false
		}
		singleReporter++
		return singleReporter > maxSingleReporter
	})
}
