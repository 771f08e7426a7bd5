package replica

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"hollyspur/internal/exchange/classmark"
	"hollyspur/internal/exchange/core"
	"hollyspur/internal/exchange/patch"
	"hollyspur/internal/exchange/ticket"
	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/trunk/wire"
)

// State is what the replicas agree on: configuration items, idempotency keys, maintenance and rules. It changes by committed
// entries alone, and the same entries make the same state everywhere.
type State struct {
	Items        patch.Table
	Keys         *ticket.Book
	Maintenance  Maintenance
	Bound        patch.Table // the namespaces and rulings that bind; those that are agreed on are among Items
	Rules        Rules
	ItemsChanged uint64 // the entry that changed Items last
}

// Kinds of changes, the first byte of an entry's data.
const (
	ChangeItems       byte = 1
	ChangeClaims      byte = 2
	ChangeMaintenance byte = 3
	ChangeBound       byte = 4
)

// Change words a change for the log.
func Change(kind byte, t trunk.Packer) []byte { return append([]byte{kind}, trunk.Bytes(t)...) }

// Outcome is what became of a change.
type Outcome struct {
	Raised      []patch.Item // of items: those that are newer now
	Err         error        // of items: why none of them was taken
	Grants      []ticket.Grant
	Maintenance bool // the maintenance state may have changed
	Bound       bool // other rules bind now
}

// Apply takes a committed change.
func (s *State) Apply(e core.Entry) (o Outcome) {
	at, data := e.Stamp, e.Data
	if len(data) == 0 {
		return o
	}
	// A copy: the trunk's tables need their bytes aligned as they were made.
	body := append([]byte(nil), data[1:]...)
	switch data[0] {
	case ChangeItems:
		t, err := trunk.Parse(body, func(p []byte) *wire.ItemsT { return wire.GetRootAsItems(p, 0).UnPack() })
		if err != nil {
			return Outcome{Err: err}
		}
		c := patch.CallOf(t)
		for i := range c.Items {
			c.Items[i].Stamp = at
		}
		var effects []classmark.Effect
		s.Items, o.Raised, effects, o.Err = s.Items.Take(c)
		s.ItemsChanged = e.Index
		s.Rules.changed(e, c, s.Items, o.Raised, effects)
	case ChangeBound:
		t, err := trunk.Parse(body, func(p []byte) *wire.BoundT { return wire.GetRootAsBound(p, 0).UnPack() })
		if err != nil {
			return Outcome{Err: err}
		}
		if s.Rules.Board, o.Bound = s.Rules.Board.Bind(t.Print, e.Index); o.Bound {
			s.Bound = s.Items.Ruled()
		}
	case ChangeMaintenance:
		t, err := trunk.Parse(body, func(p []byte) *wire.NightT { return wire.GetRootAsNight(p, 0).UnPack() })
		if err == nil {
			err = s.Maintenance.apply(e, t.Kind, t.Text)
		}
		o.Err, o.Maintenance = err, true
	case ChangeClaims:
		t, err := trunk.Parse(body, func(p []byte) *wire.ClaimsT { return wire.GetRootAsClaims(p, 0).UnPack() })
		if err != nil {
			return Outcome{Err: err}
		}
		for _, c := range t.List {
			o.Grants = append(o.Grants, s.Keys.Take(at, ticket.Claim{Key: c.Key, Ticket: c.Ticket, Nth: c.Nth, Holder: c.Holder, Release: c.Release,
				Window: time.Duration(c.Window) * time.Microsecond}))
		}
	}
	return o
}

// Save words the state for a snapshot.
func (s *State) Save() []byte {
	t := &wire.StateT{Items: patch.Stored(s.Items)}
	if s.Maintenance.Index > 0 || s.Maintenance.Clock.Known() {
		t.Night, _ = json.Marshal(s.Maintenance) // of its own types, which have no other form
	}
	if s.Rules.Board != (classmark.Board{}) {
		t.Rules, _ = json.Marshal(s.Rules) // the same
		t.Bound = patch.Wire(s.Bound.Items()).List
	}
	for _, h := range s.Keys.All() {
		t.Tickets = append(t.Tickets, &wire.TicketT{Key: h.Key, Ticket: h.Ticket, Nth: h.Nth, Holder: h.Holder, Stamp: int64(h.Stamp), Window: int64(h.Window)})
	}
	return trunk.Bytes(t)
}

// Load reads what Save has worded; nothing is the empty state.
func (s *State) Load(data []byte) error {
	s.Items, s.Keys, s.Maintenance, s.Bound, s.Rules = patch.Table{}, ticket.New(), Maintenance{}, patch.Table{}, Rules{}
	s.ItemsChanged++
	if len(data) == 0 {
		return nil
	}
	t, err := trunk.Parse(data, func(p []byte) *wire.StateT { return wire.GetRootAsState(p, 0).UnPack() })
	if err != nil {
		return errors.Annotate(err, "the state of a snapshot")
	}
	s.Items = patch.Restore(t.Items)
	if len(t.Night) > 0 {
		if err := json.Unmarshal(t.Night, &s.Maintenance); err != nil {
			return errors.Annotate(err, "the night service's state of a snapshot")
		}
	}
	if len(t.Rules) > 0 {
		if err := json.Unmarshal(t.Rules, &s.Rules); err != nil {
			return errors.Annotate(err, "the rules' state of a snapshot")
		}
		s.Bound, _ = s.Bound.Merge(patch.ItemsOf(&wire.ItemsT{List: t.Bound}))
	}
	var held []ticket.Held
	for _, h := range t.Tickets {
		held = append(held, ticket.Held{Claim: ticket.Claim{Key: h.Key, Ticket: h.Ticket, Nth: h.Nth, Holder: h.Holder, Window: time.Duration(h.Window)},
			Stamp: time.Duration(h.Stamp)})
	}
	s.Keys = ticket.Load(held)
	return nil
}
