// Package trace writes down what a decision module is told, what it answers and what it believes, as
// JSON lines, so that the course of an overload can be read afterwards second by second.
//
// A Module stands between an engine and its module and changes nothing of what passes. It reads no
// clock: the time is the one given to Handle, so a traced simulation writes the same lines each time.
// It never waits for its writer: the lines go through a Sink, which drops and counts what does not fit.
package trace

import (
	"encoding/json"
	"fmt"
	"time"

	"cranegrade/balancer"
)

// Decider is a decision module; engine.Module is the same.
type Decider interface {
	Handle(now time.Duration, e balancer.Event) []balancer.Action
}

// Estimator is a module that can tell what it believes.
type Estimator interface {
	Beliefs(servers int) balancer.Beliefs
}

// Options say what is written.
type Options struct {
	Every   time.Duration // between two summaries; 0: a second
	Detail  bool          // every request, attempt and answer as well
	Servers int           // listed in a summary at the most; 0: 32
}

// Counts are what happened since the last summary.
type Counts struct {
	Requests  int            `json:"requests"`
	Sends     int            `json:"sends"`
	Again     int            `json:"again"`     // of those, further attempts
	Endings   map[string]int `json:"endings"`   // of attempts, by name
	Answers   map[string]int `json:"answers"`   // served, late, refused, failed, gone
	HeldMS    float64        `json:"held_ms"`   // longest wait before a first attempt
	AnswerMS  float64        `json:"answer_ms"` // longest time to a final answer
	MeanMS    float64        `json:"mean_ms"`   // mean latency of successes
	Cancelled int            `json:"cancelled"`
}

// Summary is a line of a trace.
type Summary struct {
	AtMS    float64           `json:"at_ms"` // clock time
	SpanMS  float64           `json:"span_ms"`
	Counts  Counts            `json:"counts"`
	Beliefs *balancer.Beliefs `json:"beliefs,omitempty"`
	Dropped int64             `json:"dropped,omitempty"` // lines that did not fit, in all
}

// Detail is a line about one event or action.
type Detail struct {
	AtMS    float64 `json:"at_ms"`
	What    string  `json:"what"` // request, send, end, answer, list, fleet, aside
	ID      string  `json:"id,omitempty"`
	Class   string  `json:"class,omitempty"`
	Server  string  `json:"server,omitempty"`
	Attempt int     `json:"attempt,omitempty"`
	How     string  `json:"how,omitempty"`
	TookMS  float64 `json:"took_ms,omitempty"`
	LeftMS  float64 `json:"left_ms,omitempty"`
}

// Module passes everything on to another module and writes down what passes. Like that it belongs to
// one goroutine.
type Module struct {
	next           Decider
	sink           *Sink
	options        Options
	latencyTargets map[string]time.Duration
	lastSummary    time.Duration // of the last summary
	counts         Counts
	successTime    time.Duration // of successes, summed
	open           map[string]*openRequest
}

// openRequest is an unanswered request.
type openRequest struct {
	class    string
	arrived  time.Duration
	sent     []time.Duration
	inFlight int
	answered bool
}

// New returns a module that traces in.
func New(in Decider, classes []balancer.Class, to *Sink, opt Options) *Module {
	if opt.Every <= 0 {
		opt.Every = time.Second
	}
	if opt.Servers == 0 {
		opt.Servers = 32
	}
	m := &Module{next: in, sink: to, options: opt, latencyTargets: map[string]time.Duration{}, open: map[string]*openRequest{}}
	for _, c := range classes {
		m.latencyTargets[c.Name] = c.Aim
	}
	m.reset()
	return m
}

func (m *Module) reset() {
	m.counts = Counts{Endings: map[string]int{}, Answers: map[string]int{}}
	m.successTime = 0
}

// Handle passes an event on.
func (m *Module) Handle(now time.Duration, e balancer.Event) []balancer.Action {
	if m.lastSummary == 0 {
		m.lastSummary = now
	}
	if now-m.lastSummary >= m.options.Every {
		m.writeSummary(now)
	}
	m.observeEvent(now, e)
	actions := m.next.Handle(now, e)
	for _, a := range actions {
		m.observeAction(now, a)
	}
	return actions
}

func (m *Module) writeSummary(now time.Duration) {
	s := Summary{AtMS: ms(now), SpanMS: ms(now - m.lastSummary), Counts: m.counts, Dropped: m.sink.Dropped()}
	if n := m.counts.Endings[endingNames[balancer.Success]]; n > 0 {
		s.Counts.MeanMS = ms(m.successTime) / float64(n)
	}
	if b, can := m.next.(Estimator); can {
		v := b.Beliefs(m.options.Servers)
		s.Beliefs = &v
	}
	m.sink.enqueue(s)
	m.lastSummary = now
	m.reset()
}

func (m *Module) observeEvent(now time.Duration, e balancer.Event) {
	switch e := e.(type) {
	case balancer.Request:
		m.counts.Requests++
		if m.open[e.ID] == nil {
			m.open[e.ID] = &openRequest{class: e.Class, arrived: now}
		}
		m.writeDetail(Detail{AtMS: ms(now), What: "request", ID: e.ID, Class: e.Class, LeftMS: ms(e.Deadline - now)})
	case balancer.Outcome:
		m.counts.Endings[endingNames[e.Ending]]++
		c := m.open[e.ID]
		d := Detail{AtMS: ms(now), What: "end", ID: e.ID, Server: e.Server, Attempt: e.Attempt, How: endingNames[e.Ending]}
		if c != nil {
			if e.Attempt >= 0 && e.Attempt < len(c.sent) {
				d.TookMS = ms(now - c.sent[e.Attempt])
				if e.Ending == balancer.Success {
					m.successTime += now - c.sent[e.Attempt]
				}
			}
			d.Class = c.class
			c.inFlight--
		}
		m.writeDetail(d)
		if c != nil {
			if e.Ended {
				how := "failed"
				if e.Ending == balancer.Success {
					how = "served"
					if aim := m.latencyTargets[c.class]; aim > 0 && now-c.arrived > aim {
						how = "late"
					}
				}
				m.recordAnswer(now, e.ID, c, how)
			}
			m.forget(e.ID, c)
		}
	case balancer.ClientGone:
		if c := m.open[e.ID]; c != nil {
			m.recordAnswer(now, e.ID, c, "gone")
			m.forget(e.ID, c)
		}
	case balancer.Fleet:
		m.writeDetail(Detail{AtMS: ms(now), What: "fleet", How: fmt.Sprintf("%d of %d, 1/%v of rations, %d servers", e.Index, e.Balancers, e.Divisor, len(e.Subset))})
	case balancer.PeerReports:
		for _, a := range e.Exclusions {
			m.writeDetail(Detail{AtMS: ms(now), What: "aside", Server: a.ID, LeftMS: ms(a.Until - now)})
		}
	case balancer.ServerList:
		for _, s := range e.Servers {
			m.writeDetail(Detail{AtMS: ms(now), What: "list", Server: s.ID, How: stateNames[s.State]})
		}
	}
}

func (m *Module) observeAction(now time.Duration, a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		m.counts.Sends++
		c := m.open[a.ID]
		if c == nil {
			return
		}
		if len(c.sent) > 0 {
			m.counts.Again++
		} else {
			m.counts.HeldMS = max(m.counts.HeldMS, ms(now-c.arrived))
		}
		c.sent = append(c.sent, now)
		c.inFlight++
		m.writeDetail(Detail{AtMS: ms(now), What: "send", ID: a.ID, Class: c.class, Server: a.Server, Attempt: len(c.sent) - 1, TookMS: ms(now - c.arrived)})
	case balancer.Cancel:
		m.counts.Cancelled++
	case balancer.Reject:
		m.recordAnswerByID(now, a.ID, "refused")
	case balancer.Fail:
		m.recordAnswerByID(now, a.ID, "failed")
	}
}

func (m *Module) recordAnswerByID(now time.Duration, id, how string) {
	if c := m.open[id]; c != nil {
		m.recordAnswer(now, id, c, how)
		m.forget(id, c)
	}
}

func (m *Module) recordAnswer(now time.Duration, id string, c *openRequest, how string) {
	if c.answered {
		return
	}
	c.answered = true
	m.counts.Answers[how]++
	m.counts.AnswerMS = max(m.counts.AnswerMS, ms(now-c.arrived))
	m.writeDetail(Detail{AtMS: ms(now), What: "answer", ID: id, Class: c.class, How: how, TookMS: ms(now - c.arrived)})
}

// forget drops a call that is answered and has no attempt out.
func (m *Module) forget(id string, c *openRequest) {
	if c.answered && c.inFlight <= 0 {
		delete(m.open, id)
	}
}

func (m *Module) writeDetail(d Detail) {
	if m.options.Detail {
		m.sink.enqueue(d)
	}
}

func ms(d time.Duration) float64 {
	return float64(d.Round(time.Microsecond)) / float64(time.Millisecond)
}

var endingNames = map[balancer.Ending]string{
	balancer.Success: "success", balancer.Failure: "failure",
	balancer.Overloaded: "overloaded", balancer.TimedOut: "timed_out", balancer.Unreachable: "unreachable",
	balancer.Broken: "broken", balancer.Canceled: "withdrawn", balancer.NeverSent: "void",
}

var stateNames = map[balancer.ServerState]string{balancer.Ready: "ready", balancer.Draining: "draining", balancer.Gone: "gone"}

// encode is apart for its error, which only a value that JSON has no word for could cause.
func encode(v any) []byte {
	line, err := json.Marshal(v)
	if err != nil {
		line, _ = json.Marshal(map[string]string{"error": err.Error()})
	}
	return append(line, '\n')
}
