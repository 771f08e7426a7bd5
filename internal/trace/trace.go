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

// Handler is a decision module; engine.Module is the same.
type Handler interface {
	Handle(now time.Duration, e balancer.Event) []balancer.Action
}

// Believer is a module that can tell what it believes.
type Believer interface {
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
	in     Handler
	to     *Sink
	opt    Options
	aims   map[string]time.Duration
	last   time.Duration // of the last summary
	counts Counts
	took   time.Duration // of successes, summed
	open   map[string]*call
}

// call is an unanswered request.
type call struct {
	class   string
	arrived time.Duration
	sent    []time.Duration
	out     int
	done    bool
}

// New returns a module that traces in.
func New(in Handler, classes []balancer.Class, to *Sink, opt Options) *Module {
	if opt.Every <= 0 {
		opt.Every = time.Second
	}
	if opt.Servers == 0 {
		opt.Servers = 32
	}
	m := &Module{in: in, to: to, opt: opt, aims: map[string]time.Duration{}, open: map[string]*call{}}
	for _, c := range classes {
		m.aims[c.Name] = c.Aim
	}
	m.reset()
	return m
}

func (m *Module) reset() {
	m.counts = Counts{Endings: map[string]int{}, Answers: map[string]int{}}
	m.took = 0
}

// Handle passes an event on.
func (m *Module) Handle(now time.Duration, e balancer.Event) []balancer.Action {
	if m.last == 0 {
		m.last = now
	}
	if now-m.last >= m.opt.Every {
		m.summary(now)
	}
	m.event(now, e)
	actions := m.in.Handle(now, e)
	for _, a := range actions {
		m.action(now, a)
	}
	return actions
}

func (m *Module) summary(now time.Duration) {
	s := Summary{AtMS: ms(now), SpanMS: ms(now - m.last), Counts: m.counts, Dropped: m.to.Dropped()}
	if n := m.counts.Endings[endings[balancer.Success]]; n > 0 {
		s.Counts.MeanMS = ms(m.took) / float64(n)
	}
	if b, can := m.in.(Believer); can {
		v := b.Beliefs(m.opt.Servers)
		s.Beliefs = &v
	}
	m.to.put(s)
	m.last = now
	m.reset()
}

func (m *Module) event(now time.Duration, e balancer.Event) {
	switch e := e.(type) {
	case balancer.Request:
		m.counts.Requests++
		if m.open[e.ID] == nil {
			m.open[e.ID] = &call{class: e.Class, arrived: now}
		}
		m.detail(Detail{AtMS: ms(now), What: "request", ID: e.ID, Class: e.Class, LeftMS: ms(e.Deadline - now)})
	case balancer.Outcome:
		m.counts.Endings[endings[e.Ending]]++
		c := m.open[e.ID]
		d := Detail{AtMS: ms(now), What: "end", ID: e.ID, Server: e.Server, Attempt: e.Attempt, How: endings[e.Ending]}
		if c != nil {
			if e.Attempt >= 0 && e.Attempt < len(c.sent) {
				d.TookMS = ms(now - c.sent[e.Attempt])
				if e.Ending == balancer.Success {
					m.took += now - c.sent[e.Attempt]
				}
			}
			d.Class = c.class
			c.out--
		}
		m.detail(d)
		if c != nil {
			if e.Ended {
				how := "failed"
				if e.Ending == balancer.Success {
					how = "served"
					if aim := m.aims[c.class]; aim > 0 && now-c.arrived > aim {
						how = "late"
					}
				}
				m.answer(now, e.ID, c, how)
			}
			m.forget(e.ID, c)
		}
	case balancer.ClientGone:
		if c := m.open[e.ID]; c != nil {
			m.answer(now, e.ID, c, "gone")
			m.forget(e.ID, c)
		}
	case balancer.Fleet:
		m.detail(Detail{AtMS: ms(now), What: "fleet", How: fmt.Sprintf("%d of %d, 1/%v of rations, %d servers", e.Index, e.Balancers, e.Divisor, len(e.Subset))})
	case balancer.Hearsay:
		for _, a := range e.Aside {
			m.detail(Detail{AtMS: ms(now), What: "aside", Server: a.ID, LeftMS: ms(a.Until - now)})
		}
	case balancer.ServerList:
		for _, s := range e.Servers {
			m.detail(Detail{AtMS: ms(now), What: "list", Server: s.ID, How: states[s.State]})
		}
	}
}

func (m *Module) action(now time.Duration, a balancer.Action) {
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
		c.out++
		m.detail(Detail{AtMS: ms(now), What: "send", ID: a.ID, Class: c.class, Server: a.Server, Attempt: len(c.sent) - 1, TookMS: ms(now - c.arrived)})
	case balancer.Cancel:
		m.counts.Cancelled++
	case balancer.Refuse:
		m.answered(now, a.ID, "refused")
	case balancer.Fail:
		m.answered(now, a.ID, "failed")
	}
}

func (m *Module) answered(now time.Duration, id, how string) {
	if c := m.open[id]; c != nil {
		m.answer(now, id, c, how)
		m.forget(id, c)
	}
}

func (m *Module) answer(now time.Duration, id string, c *call, how string) {
	if c.done {
		return
	}
	c.done = true
	m.counts.Answers[how]++
	m.counts.AnswerMS = max(m.counts.AnswerMS, ms(now-c.arrived))
	m.detail(Detail{AtMS: ms(now), What: "answer", ID: id, Class: c.class, How: how, TookMS: ms(now - c.arrived)})
}

// forget drops a call that is answered and has no attempt out.
func (m *Module) forget(id string, c *call) {
	if c.done && c.out <= 0 {
		delete(m.open, id)
	}
}

func (m *Module) detail(d Detail) {
	if m.opt.Detail {
		m.to.put(d)
	}
}

func ms(d time.Duration) float64 {
	return float64(d.Round(time.Microsecond)) / float64(time.Millisecond)
}

var endings = map[balancer.Ending]string{balancer.Success: "success", balancer.Failure: "failure",
	balancer.Overloaded: "overloaded", balancer.TimedOut: "timed_out", balancer.Unreachable: "unreachable",
	balancer.Broken: "broken", balancer.Withdrawn: "withdrawn", balancer.Void: "void"}

var states = map[balancer.ServerState]string{balancer.Ready: "ready", balancer.Draining: "draining", balancer.Gone: "gone"}

// encode is apart for its error, which only a value that JSON has no word for could cause.
func encode(v any) []byte {
	line, err := json.Marshal(v)
	if err != nil {
		line, _ = json.Marshal(map[string]string{"error": err.Error()})
	}
	return append(line, '\n')
}
