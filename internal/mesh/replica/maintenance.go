package replica

import (
	"encoding/json"
	"time"

	"hollyspur/internal/exchange/core"
	"hollyspur/internal/exchange/night"
	"hollyspur/internal/exchange/trunk/wire"
)

// Kinds of changes of the maintenance state.
const (
	MaintenancePlace byte = iota + 1 // an order, night.Order
	MaintenanceWord                  // a word on one, night.Change
	MaintenanceTime                  // the time agreed on, night.Clock
)

// Maintenance is what is agreed on of maintenance: the orders and the time of day.
type Maintenance struct {
	Book  night.Book  `json:"book"`
	Clock night.Clock `json:"clock"`
	Term  uint64      `json:"term"` // of the leader whose entry the clock is of
	Index uint64      `json:"index"`
}

// apply takes a committed change.
func (m *Maintenance) apply(e core.Entry, kind byte, text []byte) error {
	now := m.Clock.Now(e.Stamp)
	switch kind {
	case MaintenancePlace:
		var o night.Order
		if err := json.Unmarshal(text, &o); err != nil {
			return err
		}
		b, err := m.Book.Place(o, now)
		if err != nil {
			return err
		}
		m.Book = b
	case MaintenanceWord:
		var c night.Change
		if err := json.Unmarshal(text, &c); err != nil {
			return err
		}
		b, err := m.Book.Apply(c, now)
		if err != nil {
			return err
		}
		m.Book = b
	case MaintenanceTime:
		var c night.Clock
		if err := json.Unmarshal(text, &c); err != nil {
			return err
		}
		m.Clock, m.Term = c, e.Term
		return nil
	}
	m.Index = e.Index
	return nil
}

// Outs are the machines that orders have out, for sidecars and replicas.
func (m *Maintenance) Outs() *wire.OutsT {
	t := &wire.OutsT{Index: m.Index}
	for _, o := range m.Book.Open() {
		if o.Step.Holds() {
			t.List = append(t.List, &wire.OutT{Addr: o.Machine(), Order: o.ID, Leading: o.Step != night.Draining, Heir: o.Heir})
		}
	}
	return t
}

// Leaderless is for how long nobody led since the last agreed time, as this replica knows from its own steady clock: log time
// stands still then.
type Leaderless struct {
	total time.Duration // night.GapUnknown: the replica did not live through it
	term  uint64        // of the latest entry
	stamp time.Duration // the same
	at    time.Duration // when that was applied; 0: none was
}

// entry notes an entry that is applied; agreed: it holds a new agreed time.
func (l *Leaderless) entry(e core.Entry, now time.Duration, agreed bool) {
	switch {
	case l.at == 0:
		l.total = night.GapUnknown
	case e.Term != l.term && l.total >= 0:
		l.total += max(0, (now-l.at)-(e.Stamp-l.stamp))
	}
	l.term, l.stamp, l.at = e.Term, e.Stamp, max(1, now)
	if agreed {
		l.total = 0
	}
}
