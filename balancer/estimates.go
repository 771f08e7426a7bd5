package balancer

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Estimates is a snapshot of a Balancer's estimates, for traces and reports. It shares no memory with the Balancer.
// Shares and ratios are plain numbers, times are in milliseconds.
type Estimates struct {
	InFlight         int               `json:"in_flight"` // this replica's calls in flight
	Queued           int               `json:"held"`      // queued requests
	Requests         int               `json:"requests"`  // unanswered, or with attempts in flight
	Ready            int               `json:"ready"`     // ready servers
	Window           float64           `json:"window"`    // calls that this replica may have in flight
	LatencyRatio     float64           `json:"fill"`      // mean of latency/aim, at most 1 each
	BaselineRatio    float64           `json:"bare"`      // lowest geometric mean of latency/aim, which rises slowly
	PacingDebtMS     float64           `json:"debt_ms"`   // server time used beyond what the window allows
	ShedShare        float64           `json:"shed"`      // share of requests answered without an attempt
	ErrorShare       float64           `json:"errors"`    // share of failed attempts
	RetryTokens      float64           `json:"tokens"`    // balance of the retry budget
	SlownessVariance float64           `json:"unevenness"`
	Classes          []ClassEstimates  `json:"classes"`
	Servers          []ServerEstimates `json:"servers,omitempty"` // ordered by id
}

// ClassEstimates are the estimates of a class.
type ClassEstimates struct {
	Name        string  `json:"name"`
	MeanMS      float64 `json:"mean_ms"` // mean latency of successes
	DeviationMS float64 `json:"dev_ms"`  // mean absolute deviation from it
	Arrived     float64 `json:"arrive"`  // decaying count of requests
	Served      float64 `json:"serve"`   // decaying count of those answered within the aim
}

// ServerEstimates are the estimates of a server.
type ServerEstimates struct {
	ID             string  `json:"id"`
	State          string  `json:"state"` // ready, draining or gone
	Calls          int     `json:"calls"` // this replica's calls in flight there
	Slowness       float64 `json:"slow"`  // mean of log(latency/expected latency)
	EjectionLevel  int     `json:"level"` // how often the next ejection's duration is doubled
	Ejected        bool    `json:"out"`   // ejected, or unresponsive
	CallLimit      int     `json:"room"`  // limit on this replica's calls after a refusal; -1 means none
	SlowStartShare float64 `json:"warmth"`
	OldestMS       float64 `json:"oldest_ms"` // age of this replica's oldest attempt that waits for an answer
}

// Estimates returns the estimates as of the last event. It lists at most maxServers servers, those with the most calls
// of this replica; 0 lists none.
func (b *Balancer) Estimates(maxServers int) Estimates {
	e := Estimates{
		InFlight:         b.inFlight,
		Queued:           len(b.queue),
		Requests:         len(b.requests),
		Ready:            len(b.ready),
		Window:           b.window,
		LatencyRatio:     b.meanLatencyRatio,
		BaselineRatio:    math.Exp(b.baselineLogRatio),
		PacingDebtMS:     b.pacingDebt / 1e6,
		ShedShare:        b.shedShare,
		ErrorShare:       b.errorShare,
		RetryTokens:      b.retryTokens,
		SlownessVariance: b.slownessVariance(),
	}
	for _, c := range b.classList {
		e.Classes = append(e.Classes, ClassEstimates{c.Name, c.mean / 1e6, c.deviation / 1e6, c.arrived, c.served})
	}
	if maxServers == 0 {
		return e
	}
	for _, s := range b.servers {
		estimates := ServerEstimates{
			ID:             s.ID,
			State:          stateNames[s.State],
			Calls:          s.calls,
			Slowness:       s.slowness,
			EjectionLevel:  s.ejectionLevel,
			Ejected:        b.isEjected(s),
			CallLimit:      -1,
			SlowStartShare: b.slowStartShare(s),
		}
		if b.now < s.callLimitUntil {
			estimates.CallLimit = s.callLimit
		}
		if len(s.waitingAttempts) > 0 {
			estimates.OldestMS = float64(b.now-s.waitingAttempts[0].sent) / float64(time.Millisecond)
		}
		e.Servers = append(e.Servers, estimates)
	}
	slices.SortFunc(e.Servers, func(x, y ServerEstimates) int {
		if x.Calls != y.Calls {
			return y.Calls - x.Calls
		}
		return strings.Compare(x.ID, y.ID)
	})
	e.Servers = e.Servers[:min(maxServers, len(e.Servers))]
	slices.SortFunc(e.Servers, func(x, y ServerEstimates) int { return strings.Compare(x.ID, y.ID) })
	return e
}

var stateNames = map[ServerState]string{Ready: "ready", Draining: "draining", Gone: "gone"}
