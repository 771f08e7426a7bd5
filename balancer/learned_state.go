package balancer

import "time"

// Knowledge is the learned state of a Balancer that a successor can start from. It has no requests: those in flight stay
// with the Balancer that sent them. Times are clock times. At a hot restart it is passed to the new process as JSON.
type Knowledge struct {
	At               time.Duration     `json:"at"`      // when the snapshot was taken
	Window           float64           `json:"window"`  // calls that this replica may have in flight
	LatencyRatio     float64           `json:"fill"`    // mean of latency/aim, 0 to 1
	LogLatencyRatio  float64           `json:"pace"`    // mean of log(latency/aim)
	BaselineLogRatio float64           `json:"bare"`    // lowest LogLatencyRatio measured
	Samples          float64           `json:"answers"` // number of answers in LatencyRatio and LogLatencyRatio
	NewServerShare   float64           `json:"fresh"`   // share of the list that was added after BaselineLogRatio was measured
	LatencyVariance  float64           `json:"spread"`  // variance of single answers' log latencies
	ErrorShare       float64           `json:"errors"`  // share of failed attempts
	RetryTokens      float64           `json:"tokens"`  // balance of the retry budget
	ShedShare        float64           `json:"shed"`    // share of requests answered without an attempt
	AbandonedShare   float64           `json:"vain"`    // share of calls that timed out, or were canceled late
	Classes          []ClassKnowledge  `json:"classes"`
	Servers          []ServerKnowledge `json:"servers"`
}

// ClassKnowledge is the learned state of a class, identified by Name.
type ClassKnowledge struct {
	Name           string        `json:"name"`
	Mean           float64       `json:"mean"`        // mean latency of successes, in ns
	Deviation      float64       `json:"dev"`         // mean absolute deviation from Mean, in ns
	Cost           float64       `json:"cost"`        // mean of the requests' cost hints, in ns
	Arrived        float64       `json:"arrive"`      // decaying count of requests
	Served         float64       `json:"serve"`       // decaying count of those answered within the aim
	LongestTimeout time.Duration `json:"longest_try"` // longest timeout that a client gave one try
}

// ServerKnowledge is the learned state of a server. ID and StartedAt identify it: after a restart it is another server.
type ServerKnowledge struct {
	ID             string        `json:"id"`
	StartedAt      time.Duration `json:"boot"`
	FailureStreak  int           `json:"streak"`   // failed attempts in a row
	EjectionLevel  int           `json:"level"`    // how often the next ejection's duration is doubled
	SuccessStreak  int           `json:"goods"`    // successful attempts in a row
	EjectedUntil   time.Duration `json:"until"`    // end of its ejection
	Slowness       float64       `json:"slow"`     // mean of log(latency/expected latency)
	Samples        int           `json:"samples"`  // number of answers in Slowness
	LastSuccess    time.Duration `json:"last_ok"`  // when it last answered successfully
	AcceptedAt     time.Duration `json:"took"`     // when the newest call was sent that it is known to have accepted
	CallLimit      int           `json:"room"`     // limit on this replica's calls until CallLimitUntil
	RefusedAt      time.Duration `json:"turned"`   // when it last refused a call
	CallLimitUntil time.Duration `json:"full"`     // end of CallLimit
	Refusals       int           `json:"refusals"` // refusals in a row
}

// Knowledge returns the learned state of b as of its last event.
func (b *Balancer) Knowledge() *Knowledge {
	k := &Knowledge{
		At:               b.now,
		Window:           b.window,
		LatencyRatio:     b.meanLatencyRatio,
		LogLatencyRatio:  b.meanLogRatio,
		BaselineLogRatio: b.baselineLogRatio,
		Samples:          b.samples,
		NewServerShare:   b.newServerShare,
		LatencyVariance:  b.latencyVariance,
		ErrorShare:       b.errorShare,
		RetryTokens:      b.retryTokens,
		ShedShare:        b.shedShare,
		AbandonedShare:   b.abandonedShare,
	}
	for _, c := range b.classList {
		k.Classes = append(k.Classes, ClassKnowledge{
			Name:           c.Name,
			Mean:           c.mean,
			Deviation:      c.deviation,
			Cost:           c.cost,
			Arrived:        c.arrived,
			Served:         c.served,
			LongestTimeout: c.longestTimeout,
		})
	}
	for _, s := range b.servers {
		if s.listed {
			k.Servers = append(k.Servers, s.knowledge())
		}
	}
	return k
}

// knowledge returns the learned state of the server.
func (s *server) knowledge() ServerKnowledge {
	return ServerKnowledge{
		ID:             s.ID,
		StartedAt:      s.StartedAt,
		FailureStreak:  s.failureStreak,
		EjectionLevel:  s.ejectionLevel,
		SuccessStreak:  s.successStreak,
		EjectedUntil:   s.ejectedUntil,
		Slowness:       s.slowness,
		Samples:        s.samples,
		LastSuccess:    s.lastSuccess,
		AcceptedAt:     s.acceptedAt,
		CallLimit:      s.callLimit,
		RefusedAt:      s.refusedAt,
		CallLimitUntil: s.callLimitUntil,
		Refusals:       s.refusals,
	}
}

const (
	// maxLearnedValue is the largest accepted value of times in ns, ratios and counts.
	maxLearnedValue = 1e15
	// maxLogRatio is the largest accepted magnitude of the logarithm of a ratio of latencies.
	maxLogRatio = 50
	// maxExclusionAhead is how far in the future the end of an ejection or of a call limit may be.
	maxExclusionAhead = 10 * time.Minute
)

// inRange reports whether lowest <= v <= highest. It is false for NaN.
func inRange(v, lowest, highest float64) bool { return v >= lowest && v <= highest }

// inRange reports whether all values are possible ones, and no time is after latest.
func (k *ServerKnowledge) inRange(latest time.Duration) bool {
	countsValid := k.FailureStreak >= 0 && k.SuccessStreak >= 0 && k.Samples >= 0 && k.CallLimit >= 0
	levelsValid := k.EjectionLevel >= 0 && k.EjectionLevel <= maxEjectionLevel && k.Refusals >= 0 &&
		k.Refusals <= maxEjectionLevel
	timesValid := max(k.EjectedUntil, k.CallLimitUntil, k.LastSuccess, k.AcceptedAt, k.RefusedAt) <= latest
	return countsValid && levelsValid && timesValid && inRange(k.Slowness, -maxLogRatio, maxLogRatio)
}

// adopt takes over the learned state of the same server from another Balancer.
func (s *server) adopt(k ServerKnowledge) {
	s.failureStreak = k.FailureStreak
	s.ejectionLevel = k.EjectionLevel
	s.successStreak = k.SuccessStreak
	s.ejectedUntil = k.EjectedUntil
	s.slowness = k.Slowness
	s.samples = k.Samples
	s.lastSuccess = k.LastSuccess
	s.acceptedAt = k.AcceptedAt
	s.callLimit = k.CallLimit
	s.refusedAt = k.RefusedAt
	s.callLimitUntil = k.CallLimitUntil
	s.refusals = k.Refusals
}

// Learn adopts the learned state of another Balancer for the same tier. It may be called once, after the server list was
// received and before the first request. It skips values out of range.
func (b *Balancer) Learn(k *Knowledge) {
	adopt := func(field *float64, v, lowest, highest float64) {
		if inRange(v, lowest, highest) {
			*field = v
		}
	}
	if len(b.ready) > 0 {
		adopt(&b.window, k.Window, 1e-3, 1e6)
	}
	adopt(&b.meanLatencyRatio, k.LatencyRatio, 0, 1)
	adopt(&b.meanLogRatio, k.LogLatencyRatio, -maxLogRatio, 0)
	adopt(&b.baselineLogRatio, k.BaselineLogRatio, -maxLogRatio, 0)
	adopt(&b.samples, k.Samples, 0, maxLearnedValue)
	adopt(&b.newServerShare, k.NewServerShare, 0, 1)
	adopt(&b.latencyVariance, k.LatencyVariance, 0, 1e3)
	adopt(&b.errorShare, k.ErrorShare, minErrorShare, 1)
	adopt(&b.retryTokens, k.RetryTokens, 0, maxRetryTokens)
	adopt(&b.shedShare, k.ShedShare, 0, 1)
	adopt(&b.abandonedShare, k.AbandonedShare, 0, 1)
	for _, learned := range k.Classes {
		c := b.classes[learned.Name]
		if c == nil {
			continue
		}
		adopt(&c.mean, learned.Mean, 1, maxLearnedValue)
		adopt(&c.deviation, learned.Deviation, 0, maxLearnedValue)
		adopt(&c.cost, learned.Cost, 0, maxLearnedValue)
		if inRange(learned.Arrived, 0, maxLearnedValue) && inRange(learned.Served, 0, learned.Arrived) {
			c.arrived, c.served = learned.Arrived, learned.Served
		}
		c.longestTimeout = max(0, min(learned.LongestTimeout, c.Deadline))
	}
	for _, learned := range k.Servers {
		s := b.servers[learned.ID]
		if s == nil || s.StartedAt != learned.StartedAt || !learned.inRange(b.now+maxExclusionAhead) {
			continue
		}
		s.adopt(learned)
	}
	b.usableComputedAt = -1
}
