package balancer

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Beliefs is a snapshot of a Balancer's estimates, for traces and reports. It shares no memory with the Balancer.
// Shares and ratios are plain numbers, times are in milliseconds.
type Beliefs struct {
	InFlight   int             `json:"in_flight"` // own calls in flight
	Held       int             `json:"held"`      // queued requests
	Requests   int             `json:"requests"`  // unanswered, or with attempts in flight
	Ready      int             `json:"ready"`     // ready servers
	Window     float64         `json:"window"`    // own calls admitted at once
	Fill       float64         `json:"fill"`      // mean latency over aim
	Bare       float64         `json:"bare"`      // lowest geometric mean of latency over aim, which rises slowly
	DebtMS     float64         `json:"debt_ms"`   // server time used beyond what the window allows
	Shed       float64         `json:"shed"`      // share of requests answered without an attempt
	Errors     float64         `json:"errors"`    // share of failed attempts
	Tokens     float64         `json:"tokens"`    // balance of the retry budget
	Unevenness float64         `json:"unevenness"`
	Classes    []ClassBeliefs  `json:"classes"`
	Servers    []ServerBeliefs `json:"servers,omitempty"` // ordered by id
}

// ClassBeliefs is what was learned of a class.
type ClassBeliefs struct {
	Name   string  `json:"name"`
	MeanMS float64 `json:"mean_ms"` // latency of successes
	DevMS  float64 `json:"dev_ms"`
	Arrive float64 `json:"arrive"` // decayed counts of requests
	Serve  float64 `json:"serve"`  // the same of those answered within the aim
}

// ServerBeliefs are the estimates of a server.
type ServerBeliefs struct {
	ID       string  `json:"id"`
	State    string  `json:"state"` // ready, draining or gone
	Calls    int     `json:"calls"` // own calls in flight
	Slow     float64 `json:"slow"`  // mean of log(latency/expected latency)
	Level    int     `json:"level"` // doublings of the next ejection
	Out      bool    `json:"out"`   // ejected, or silent
	Room     int     `json:"room"`  // limit on own calls after a refusal; -1 means none
	Warmth   float64 `json:"warmth"`
	OldestMS float64 `json:"oldest_ms"` // age of the oldest own call that waits for an answer
}

// Beliefs returns the estimates as of the last event. It lists at most most servers, those with the most own calls;
// 0 lists none.
func (b *Balancer) Beliefs(most int) Beliefs {
	v := Beliefs{
		InFlight:   b.inFlight,
		Held:       len(b.queue),
		Requests:   len(b.requests),
		Ready:      len(b.ready),
		Window:     b.window,
		Fill:       b.targetUse,
		Bare:       math.Exp(b.leastLogUse),
		DebtMS:     b.pacingDebt / 1e6,
		Shed:       b.shedShare,
		Errors:     b.errorShare,
		Tokens:     b.retryTokens,
		Unevenness: b.unevenness(),
	}
	for _, c := range b.classList {
		v.Classes = append(v.Classes, ClassBeliefs{c.Name, c.mean / 1e6, c.deviation / 1e6, c.arrived, c.served})
	}
	if most == 0 {
		return v
	}
	for _, s := range b.servers {
		w := ServerBeliefs{
			ID:     s.ID,
			State:  stateNames[s.State],
			Calls:  s.calls,
			Slow:   s.slowness,
			Level:  s.ejectionLevel,
			Out:    b.isEjected(s),
			Room:   -1,
			Warmth: b.warmth(s),
		}
		if b.now < s.fullUntil {
			w.Room = s.refusalRoom
		}
		if len(s.openAttempts) > 0 {
			w.OldestMS = float64(b.now-s.openAttempts[0].sent) / float64(time.Millisecond)
		}
		v.Servers = append(v.Servers, w)
	}
	slices.SortFunc(v.Servers, func(x, y ServerBeliefs) int {
		if x.Calls != y.Calls {
			return y.Calls - x.Calls
		}
		return strings.Compare(x.ID, y.ID)
	})
	v.Servers = v.Servers[:min(most, len(v.Servers))]
	slices.SortFunc(v.Servers, func(x, y ServerBeliefs) int { return strings.Compare(x.ID, y.ID) })
	return v
}

var stateNames = map[ServerState]string{Ready: "ready", Draining: "draining", Gone: "gone"}
