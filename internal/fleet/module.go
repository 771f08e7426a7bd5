package fleet

import (
	"time"

	"hollyspur"
)

// Decider is a decision module; engine.Module is the same.
type Decider interface {
	Handle(now time.Duration, e hollyspur.Event) []hollyspur.Action
}

// Module stands between an engine and its module, and tells that its place among the nodes and its part of rations
// before each event whenever they have changed. A process that was stopped finds its part gone, for the grants that it
// stands on have run out meanwhile, before it decides anything else. Like its module it belongs to one goroutine.
type Module struct {
	in   Decider
	gate *Gate
	now  func() time.Duration
	told hollyspur.Fleet
}

// NewModule returns a module that goes by a gate; now tells the time that the gate goes by.
func NewModule(in Decider, g *Gate, now func() time.Duration) *Module {
	return &Module{in: in, gate: g, now: now}
}

// Handle passes an event on.
func (m *Module) Handle(now time.Duration, e hollyspur.Event) []hollyspur.Action {
	r, part := m.gate.Role(m.now())
	is := hollyspur.Fleet{Balancers: r.Agreed, Index: r.Index, Divisor: part}
	if is == m.told {
		return m.in.Handle(now, e)
	}
	m.told = is
	return append(m.in.Handle(now, is), m.in.Handle(now, e)...)
}

type learner interface {
	Knowledge() *hollyspur.Knowledge
	Learn(*hollyspur.Knowledge)
}

// Knowledge is what the module behind it has learned; nil if it can't tell.
func (m *Module) Knowledge() *hollyspur.Knowledge {
	if l, is := m.in.(learner); is {
		return l.Knowledge()
	}
	return nil
}

// Learn has the module behind it go on with that, if it can.
func (m *Module) Learn(k *hollyspur.Knowledge) {
	if l, is := m.in.(learner); is {
		l.Learn(k)
	}
}
