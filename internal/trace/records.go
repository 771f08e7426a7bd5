package trace

import (
	"encoding/json"
	"time"

	"cranegrade/balancer"
)

// Counts are what happened since the last summary.
type Counts struct {
	Requests      int            `json:"requests"`
	Sends         int            `json:"sends"`
	Retries       int            `json:"again"`     // sends that were not the first of their request
	Endings       map[string]int `json:"endings"`   // of attempts, by endingNames
	Answers       map[string]int `json:"answers"`   // served, late, refused, failed, gone
	MaxPendingMS  float64        `json:"held_ms"`   // longest wait before a first attempt
	MaxAnswerMS   float64        `json:"answer_ms"` // longest time to a final answer
	MeanLatencyMS float64        `json:"mean_ms"`   // of successes
	Cancelled     int            `json:"cancelled"`
}

// Summary is a line of a trace about one interval.
type Summary struct {
	AtMS    float64             `json:"at_ms"` // clock time at its end
	SpanMS  float64             `json:"span_ms"`
	Counts  Counts              `json:"counts"`
	Beliefs *balancer.Estimates `json:"beliefs,omitempty"`
	Dropped int64               `json:"dropped,omitempty"` // lines that did not fit, since the start
}

// Detail is a line of a trace about one event or action.
type Detail struct {
	AtMS    float64 `json:"at_ms"`
	What    string  `json:"what"` // request, send, end, answer, list, fleet, aside
	ID      string  `json:"id,omitempty"`
	Class   string  `json:"class,omitempty"`
	Server  string  `json:"server,omitempty"`
	Attempt int     `json:"attempt,omitempty"`
	How     string  `json:"how,omitempty"`
	TookMS  float64 `json:"took_ms,omitempty"`
	LeftMS  float64 `json:"left_ms,omitempty"` // until a deadline, or the end of an ejection
}

// Values of Detail.What.
const (
	whatRequest = "request"
	whatSend    = "send"
	whatEnd     = "end" // of an attempt
	whatAnswer  = "answer"
	whatListed  = "list"
	whatFleet   = "fleet"
	whatEjected = "aside"
)

// Keys of Counts.Answers, and values of Detail.How of an answer.
const (
	answerServed   = "served"
	answerLate     = "late" // served after the latency target
	answerRejected = "refused"
	answerFailed   = "failed"
	answerGone     = "gone" // the client left before
)

var endingNames = map[balancer.Ending]string{
	balancer.Success:     "success",
	balancer.Failure:     "failure",
	balancer.Overloaded:  "overloaded",
	balancer.TimedOut:    "timed_out",
	balancer.Unreachable: "unreachable",
	balancer.Broken:      "broken",
	balancer.Canceled:    "withdrawn",
	balancer.NeverSent:   "void",
}

var stateNames = map[balancer.ServerState]string{
	balancer.Ready:    "ready",
	balancer.Draining: "draining",
	balancer.Gone:     "gone",
}

// milliseconds rounds to microseconds, as many digits as are of use in a trace.
func milliseconds(d time.Duration) float64 {
	return float64(d.Round(time.Microsecond)) / float64(time.Millisecond)
}

// encode encodes a line. A value that JSON can't express (an infinite estimate) becomes a line with the
// error: a trace must not end for it.
func encode(v any) []byte {
	line, err := json.Marshal(v)
	if err != nil {
		line, _ = json.Marshal(map[string]string{"error": err.Error()}) // a string can always be encoded
	}
	return append(line, '\n')
}
