package balancer

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Beliefs is what a Balancer holds true at a moment, for traces and reports. It decides nothing, and
// shares no memory with the Balancer. Shares and ratios are plain numbers, times are in milliseconds.
type Beliefs struct {
	InFlight   int             `json:"in_flight"` // own calls out
	Held       int             `json:"held"`      // requests that wait for a server
	Requests   int             `json:"requests"`  // unanswered, or with attempts out
	Ready      int             `json:"ready"`     // servers listed ready
	Window     float64         `json:"window"`    // own calls admitted at once
	Fill       float64         `json:"fill"`      // mean latency over aim
	Bare       float64         `json:"bare"`      // least geometric mean of it seen, forgetting slowly
	DebtMS     float64         `json:"debt_ms"`   // time that calls hold servers beyond what the window allows
	Shed       float64         `json:"shed"`      // share of requests answered without an attempt
	Errors     float64         `json:"errors"`    // share of bad endings
	Tokens     float64         `json:"tokens"`    // further attempts that the budget allows
	Unevenness float64         `json:"unevenness"`
	Classes    []ClassBeliefs  `json:"classes"`
	Servers    []ServerBeliefs `json:"servers,omitempty"` // those listed, or with calls out, by id
}

// ClassBeliefs is what was learned of a class.
type ClassBeliefs struct {
	Name   string  `json:"name"`
	MeanMS float64 `json:"mean_ms"` // latency of successes
	DevMS  float64 `json:"dev_ms"`
	Arrive float64 `json:"arrive"` // decayed counts of requests
	Serve  float64 `json:"serve"`  // and of those answered within the aim
}

// ServerBeliefs is what is believed of a server.
type ServerBeliefs struct {
	ID       string  `json:"id"`
	State    string  `json:"state"` // ready, draining or gone
	Calls    int     `json:"calls"` // own calls out
	Slow     float64 `json:"slow"`  // mean log of latency over the class mean
	Level    int     `json:"level"` // doublings of the next ejection
	Out      bool    `json:"out"`   // ejected, or silent
	Room     int     `json:"room"`  // own calls at which it turned one away; -1: did not of late
	Warmth   float64 `json:"warmth"`
	OldestMS float64 `json:"oldest_ms"` // age of the oldest own call out
}

// Beliefs reports what the Balancer holds true at its last event. At most most servers are listed, the
// ones with most calls out first in question; 0 lists none.
func (b *Balancer) Beliefs(most int) Beliefs {
	v := Beliefs{
		InFlight: b.inFlight, Held: len(b.queue), Requests: len(b.requests), Ready: len(b.ready),
		Window: b.window, Fill: b.targetUse, Bare: math.Exp(b.leastLogUse), DebtMS: b.pacingDebt / 1e6, Shed: b.shedShare,
		Errors: b.errorShare, Tokens: b.retryTokens, Unevenness: b.unevenness(),
	}
	for _, c := range b.classList {
		v.Classes = append(v.Classes, ClassBeliefs{c.Name, c.mean / 1e6, c.deviation / 1e6, c.arrived, c.served})
	}
	if most == 0 {
		return v
	}
	for _, s := range b.servers {
		w := ServerBeliefs{
			ID: s.ID, State: stateNames[s.State], Calls: s.calls, Slow: s.slowness, Level: s.ejectionLevel,
			Out: b.isEjected(s), Room: -1, Warmth: b.warmth(s),
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
