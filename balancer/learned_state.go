package balancer

import "time"

// Knowledge is what a Balancer has learned, for a successor. It has no requests: those in flight stay with the Balancer
// that sent them. Times are clock times. At a hot restart it is handed over as JSON.
type Knowledge struct {
	At      time.Duration     `json:"at"`      // when the snapshot was taken
	Window  float64           `json:"window"`  // own calls admitted at once
	Fill    float64           `json:"fill"`    // mean of latency/aim, 0 to 1
	Pace    float64           `json:"pace"`    // mean of log(latency/aim)
	Bare    float64           `json:"bare"`    // lowest Pace measured
	Answers float64           `json:"answers"` // number of answers in Fill and Pace
	Fresh   float64           `json:"fresh"`   // share of the list that came after Bare was measured
	Spread  float64           `json:"spread"`  // variance of single answers' log latencies
	Errors  float64           `json:"errors"`  // share of failed attempts
	Tokens  float64           `json:"tokens"`  // balance of the retry budget
	Shed    float64           `json:"shed"`    // share of requests answered without an attempt
	Vain    float64           `json:"vain"`    // share of abandoned calls
	Classes []ClassKnowledge  `json:"classes"`
	Servers []ServerKnowledge `json:"servers"`
}

// ClassKnowledge is what was learned of a class, which Name identifies.
type ClassKnowledge struct {
	Name       string        `json:"name"`
	Mean       float64       `json:"mean"`   // latency of successes, in ns
	Dev        float64       `json:"dev"`    // mean deviation from Mean, in ns
	Cost       float64       `json:"cost"`   // mean of the requests' cost hints, in ns
	Arrive     float64       `json:"arrive"` // decayed count of requests
	Serve      float64       `json:"serve"`  // the same of those served within the aim
	LongestTry time.Duration `json:"longest_try"`
}

// ServerKnowledge is what was learned of a server. ID and Boot identify it: a server that was restarted is another one.
type ServerKnowledge struct {
	ID       string        `json:"id"`
	Boot     time.Duration `json:"boot"`
	Streak   int           `json:"streak"`   // failed attempts in a row
	Level    int           `json:"level"`    // doublings of the next ejection
	Goods    int           `json:"goods"`    // successful attempts in a row
	Until    time.Duration `json:"until"`    // end of its ejection
	Slow     float64       `json:"slow"`     // mean of log(latency/expected latency)
	Samples  int           `json:"samples"`  // number of answers in Slow
	LastOK   time.Duration `json:"last_ok"`  // its last success
	Took     time.Duration `json:"took"`     // when the newest call was sent that it accepted
	Room     int           `json:"room"`     // limit on own calls until Full
	Turned   time.Duration `json:"turned"`   // its last refusal
	Full     time.Duration `json:"full"`     // until when Room applies
	Refusals int           `json:"refusals"` // refusals in a row
}

// Knowledge returns what b has learned, as of its last event.
func (b *Balancer) Knowledge() *Knowledge {
	k := &Knowledge{
		At:      b.now,
		Window:  b.window,
		Fill:    b.targetUse,
		Pace:    b.logUse,
		Bare:    b.leastLogUse,
		Answers: b.samples,
		Fresh:   b.newShare,
		Spread:  b.latencyVariance,
		Errors:  b.errorShare,
		Tokens:  b.retryTokens,
		Shed:    b.shedShare,
		Vain:    b.abandonedShare,
	}
	for _, c := range b.classList {
		k.Classes = append(k.Classes, ClassKnowledge{
			Name:       c.Name,
			Mean:       c.mean,
			Dev:        c.deviation,
			Cost:       c.cost,
			Arrive:     c.arrived,
			Serve:      c.served,
			LongestTry: c.longestTry,
		})
	}
	for _, s := range b.servers {
		if s.listed {
			k.Servers = append(k.Servers, s.knowledge())
		}
	}
	return k
}

// knowledge returns what was learned of the server.
func (s *server) knowledge() ServerKnowledge {
	return ServerKnowledge{
		ID:       s.ID,
		Boot:     s.StartedAt,
		Streak:   s.failureStreak,
		Level:    s.ejectionLevel,
		Goods:    s.successStreak,
		Until:    s.ejectedUntil,
		Slow:     s.slowness,
		Samples:  s.samples,
		LastOK:   s.lastSuccess,
		Took:     s.acceptedAt,
		Room:     s.refusalRoom,
		Turned:   s.refusedAt,
		Full:     s.fullUntil,
		Refusals: s.refusals,
	}
}

const (
	// maxLearned bounds what is adopted: ns, ratios and counts alike.
	maxLearned = 1e15
	// maxLogRatio bounds the magnitude of a logarithm of two latencies' ratio.
	maxLogRatio = 50
	// maxKnowledgeAhead bounds how far in the future the end of an ejection or refusal may be.
	maxKnowledgeAhead = 10 * time.Minute
)

// inRange reports whether v is a number from least to most. It is false for NaN.
func inRange(v, least, most float64) bool { return v >= least && v <= most }

// inRange reports whether all values are possible ones, and no time is after latest.
func (l *ServerKnowledge) inRange(latest time.Duration) bool {
	countsValid := l.Streak >= 0 && l.Goods >= 0 && l.Samples >= 0 && l.Room >= 0
	levelsValid := l.Level >= 0 && l.Level <= maxEjectionLevel && l.Refusals >= 0 && l.Refusals <= maxEjectionLevel
	timesValid := max(l.Until, l.Full, l.LastOK, l.Took, l.Turned) <= latest
	return countsValid && levelsValid && timesValid && inRange(l.Slow, -maxLogRatio, maxLogRatio)
}

// adopt takes over what another Balancer had learned of the server.
func (s *server) adopt(l ServerKnowledge) {
	s.failureStreak = l.Streak
	s.ejectionLevel = l.Level
	s.successStreak = l.Goods
	s.ejectedUntil = l.Until
	s.slowness = l.Slow
	s.samples = l.Samples
	s.lastSuccess = l.LastOK
	s.acceptedAt = l.Took
	s.refusalRoom = l.Room
	s.refusedAt = l.Turned
	s.fullUntil = l.Full
	s.refusals = l.Refusals
}

// Learn adopts what another Balancer for the same tier had learned. It may be called once, when the server list is known
// and before the first request. Values out of range are skipped.
func (b *Balancer) Learn(k *Knowledge) {
	adopt := func(to *float64, v, least, most float64) {
		if inRange(v, least, most) {
			*to = v
		}
	}
	if len(b.ready) > 0 {
		adopt(&b.window, k.Window, 1e-3, 1e6)
	}
	adopt(&b.targetUse, k.Fill, 0, 1)
	adopt(&b.logUse, k.Pace, -maxLogRatio, 0)
	adopt(&b.leastLogUse, k.Bare, -maxLogRatio, 0)
	adopt(&b.samples, k.Answers, 0, maxLearned)
	adopt(&b.newShare, k.Fresh, 0, 1)
	adopt(&b.latencyVariance, k.Spread, 0, 1e3)
	adopt(&b.errorShare, k.Errors, minErrorShare, 1)
	adopt(&b.retryTokens, k.Tokens, 0, maxRetryTokens)
	adopt(&b.shedShare, k.Shed, 0, 1)
	adopt(&b.abandonedShare, k.Vain, 0, 1)
	for _, l := range k.Classes {
		c := b.classes[l.Name]
		if c == nil {
			continue
		}
		adopt(&c.mean, l.Mean, 1, maxLearned)
		adopt(&c.deviation, l.Dev, 0, maxLearned)
		adopt(&c.cost, l.Cost, 0, maxLearned)
		if inRange(l.Arrive, 0, maxLearned) && inRange(l.Serve, 0, l.Arrive) {
			c.arrived, c.served = l.Arrive, l.Serve
		}
		c.longestTry = max(0, min(l.LongestTry, c.Deadline))
	}
	for _, l := range k.Servers {
		s := b.servers[l.ID]
		if s == nil || s.StartedAt != l.Boot || !l.inRange(b.now+maxKnowledgeAhead) {
			continue
		}
		s.adopt(l)
	}
	b.usableCountedAt = -1
}
