package balancer

import "time"

// Knowledge is what a Balancer has learned, for a successor. It has no requests: those in flight stay with the Balancer
// that sent them. Times are clock times. At a hot restart it is handed over as JSON.
type Knowledge struct {
	At      time.Duration     `json:"at"` // when the snapshot was taken
	Window  float64           `json:"window"`
	Fill    float64           `json:"fill"`
	Pace    float64           `json:"pace"`
	Bare    float64           `json:"bare"`
	Answers float64           `json:"answers"`
	Fresh   float64           `json:"fresh"`
	Spread  float64           `json:"spread"`
	Errors  float64           `json:"errors"`
	Tokens  float64           `json:"tokens"`
	Shed    float64           `json:"shed"`
	Vain    float64           `json:"vain"`
	Classes []ClassKnowledge  `json:"classes"`
	Servers []ServerKnowledge `json:"servers"`
}

// ClassKnowledge is what was learned of a class, which Name identifies.
type ClassKnowledge struct {
	Name       string        `json:"name"`
	Mean       float64       `json:"mean"` // latency of successes, in ns
	Dev        float64       `json:"dev"`
	Cost       float64       `json:"cost"`
	Arrive     float64       `json:"arrive"`
	Serve      float64       `json:"serve"`
	LongestTry time.Duration `json:"longest_try"`
}

// ServerKnowledge is what was learned of a server. ID and Boot identify it: a server that was restarted is another one.
type ServerKnowledge struct {
	ID       string        `json:"id"`
	Boot     time.Duration `json:"boot"`
	Streak   int           `json:"streak"`
	Level    int           `json:"level"`
	Goods    int           `json:"goods"`
	Until    time.Duration `json:"until"`
	Slow     float64       `json:"slow"`
	Samples  int           `json:"samples"`
	LastOK   time.Duration `json:"last_ok"`
	Took     time.Duration `json:"took"`
	Room     int           `json:"room"`
	Turned   time.Duration `json:"turned"`
	Full     time.Duration `json:"full"`
	Refusals int           `json:"refusals"`
}

// Knowledge returns what b has learned, as of its last event.
func (b *Balancer) Knowledge() *Knowledge {
	k := &Knowledge{
		At: b.now, Window: b.window, Fill: b.targetUse, Pace: b.logUse, Bare: b.leastLogUse, Answers: b.samples, Fresh: b.newShare,
		Spread: b.latencyVariance, Errors: b.errorShare, Tokens: b.retryTokens, Shed: b.shedShare, Vain: b.abandonedShare,
	}
	for _, c := range b.classList {
		k.Classes = append(k.Classes, ClassKnowledge{c.Name, c.mean, c.deviation, c.cost, c.arrived, c.served, c.longestTry})
	}
	for _, s := range b.servers {
		if s.listed {
			k.Servers = append(k.Servers, ServerKnowledge{
				s.ID, s.StartedAt, s.failureStreak, s.ejectionLevel, s.successStreak, s.ejectedUntil, s.slowness, s.samples,
				s.lastSuccess, s.acceptedAt, s.refusalRoom, s.refusedAt, s.fullUntil, s.refusals,
			})
		}
	}
	return k
}

// Learn adopts what another Balancer for the same tier had learned. It may be called once, when the server list is known
// and before the first request. Values out of range are skipped.
func (b *Balancer) Learn(k *Knowledge) {
	inRange := func(v, least, most float64) bool { return v >= least && v <= most } // false for NaN
	adopt := func(to *float64, v, least, most float64) {
		if inRange(v, least, most) {
			*to = v
		}
	}
	const huge = 1e15 // ns, ratios and counts alike
	if len(b.ready) > 0 {
		adopt(&b.window, k.Window, 1e-3, 1e6)
	}
	adopt(&b.targetUse, k.Fill, 0, 1)
	adopt(&b.logUse, k.Pace, -50, 0)
	adopt(&b.leastLogUse, k.Bare, -50, 0)
	adopt(&b.samples, k.Answers, 0, huge)
	adopt(&b.newShare, k.Fresh, 0, 1)
	adopt(&b.latencyVariance, k.Spread, 0, 1e3)
	adopt(&b.errorShare, k.Errors, 0.01, 1)
	adopt(&b.retryTokens, k.Tokens, 0, maxRetryTokens)
	adopt(&b.shedShare, k.Shed, 0, 1)
	adopt(&b.abandonedShare, k.Vain, 0, 1)
	for _, l := range k.Classes {
		c := b.classes[l.Name]
		if c == nil {
			continue
		}
		adopt(&c.mean, l.Mean, 1, huge)
		adopt(&c.deviation, l.Dev, 0, huge)
		adopt(&c.cost, l.Cost, 0, huge)
		if inRange(l.Arrive, 0, huge) && inRange(l.Serve, 0, l.Arrive) {
			c.arrived, c.served = l.Arrive, l.Serve
		}
		c.longestTry = max(0, min(l.LongestTry, c.Deadline))
	}
	soon := b.now + 10*time.Minute
	for _, l := range k.Servers {
		s := b.servers[l.ID]
		if s == nil || s.StartedAt != l.Boot || l.Streak < 0 || l.Level < 0 || l.Level > maxEjectionLevel || l.Goods < 0 || l.Samples < 0 ||
			l.Room < 0 || l.Refusals < 0 || l.Refusals > maxEjectionLevel || l.Until > soon || l.Full > soon ||
			max(l.LastOK, l.Took, l.Turned) > soon || !inRange(l.Slow, -50, 50) {
			continue
		}
		s.failureStreak, s.ejectionLevel, s.successStreak, s.ejectedUntil, s.slowness, s.samples = l.Streak, l.Level, l.Goods, l.Until, l.Slow, l.Samples
		s.lastSuccess, s.acceptedAt, s.refusalRoom, s.refusedAt, s.fullUntil, s.refusals = l.LastOK, l.Took, l.Room, l.Turned, l.Full, l.Refusals
	}
	b.usableCountedAt = -1
}
