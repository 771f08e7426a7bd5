package replica

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/idempotency"
	"cranegrade/internal/mesh/policy"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// State is what the replicas agree on: configuration items, idempotency keys, maintenance and rules. It changes by committed
// entries alone, and the same entries make the same state everywhere.
type State struct {
	Items        config.Table
	KeyLeases    *idempotency.Store
	Maintenance  Maintenance
	ActivePolicy config.Table // the namespaces and rulings that bind; those that are agreed on are among Items
	Policy       PolicyState
	ItemsIndex   uint64 // the entry that changed Items last
}

// Kinds of changes, the first byte of an entry's data.
const (
	ChangeItems        byte = 1
	ChangeKeyLeases    byte = 2
	ChangeMaintenance  byte = 3
	ChangeActivePolicy byte = 4
)

// EncodeChange words a change for the log.
func EncodeChange(kind byte, t codec.Packer) []byte {
	return append([]byte{kind}, codec.EncodeTable(t)...)
}

// Outcome is what became of a change.
type Outcome struct {
	UpdatedItems       []config.Item // of items: those that are newer now
	Err                error         // of items: why none of them was taken
	LeaseResults       []idempotency.LeaseResult
	MaintenanceChanged bool // the maintenance state may have changed
	PolicyActivated    bool // other rules bind now
}

// Apply takes a committed change.
func (s *State) Apply(e raft.Entry) (o Outcome) {
	at, data := e.LogTime, e.Data
	if len(data) == 0 {
		return o
	}
	// A copy: the trunk's tables need their bytes aligned as they were made.
	body := append([]byte(nil), data[1:]...)
	switch data[0] {
	case ChangeItems:
		t, err := codec.DecodeTable(body, func(p []byte) *wire.ItemsT { return wire.GetRootAsItems(p, 0).UnPack() })
		if err != nil {
			return Outcome{Err: err}
		}
		c := config.UpdateFromWire(t)
		for i := range c.Items {
			c.Items[i].LogTime = at
		}
		var effects []policy.Effect
		s.Items, o.UpdatedItems, effects, o.Err = s.Items.ApplyUpdate(c)
		s.ItemsIndex = e.Index
		s.Policy.recordChange(e, c, s.Items, o.UpdatedItems, effects)
	case ChangeActivePolicy:
		t, err := codec.DecodeTable(body, func(p []byte) *wire.ActivePolicyT { return wire.GetRootAsActivePolicy(p, 0).UnPack() })
		if err != nil {
			return Outcome{Err: err}
		}
		if s.Policy.Rollout, o.PolicyActivated = s.Policy.Rollout.Activate(t.Fingerprint, e.Index); o.PolicyActivated {
			s.ActivePolicy = s.Items.PolicyItems()
		}
	case ChangeMaintenance:
		t, err := codec.DecodeTable(body, func(p []byte) *wire.MaintenanceChangeT { return wire.GetRootAsMaintenanceChange(p, 0).UnPack() })
		if err == nil {
			err = s.Maintenance.apply(e, t.Kind, t.Json)
		}
		o.Err, o.MaintenanceChanged = err, true
	case ChangeKeyLeases:
		t, err := codec.DecodeTable(body, func(p []byte) *wire.KeyLeaseRequestsT { return wire.GetRootAsKeyLeaseRequests(p, 0).UnPack() })
		if err != nil {
			return Outcome{Err: err}
		}
		for _, c := range t.List {
			o.LeaseResults = append(o.LeaseResults, s.KeyLeases.Apply(at, idempotency.LeaseRequest{Key: c.Key, Token: c.Token, Attempt: c.Attempt, Holder: c.Holder, Release: c.Release,
				Window: time.Duration(c.WindowUs) * time.Microsecond}))
		}
	}
	return o
}

// Encode words the state for a snapshot.
func (s *State) Encode() []byte {
	t := &wire.StateT{Items: config.TableToStorage(s.Items)}
	if s.Maintenance.Index > 0 || s.Maintenance.Clock.IsKnown() {
		t.Maintenance, _ = json.Marshal(s.Maintenance) // of its own types, which have no other form
	}
	if s.Policy.Rollout != (policy.Rollout{}) {
		t.Policy, _ = json.Marshal(s.Policy) // the same
		t.ActivePolicy = config.ItemsToWire(s.ActivePolicy.Items()).List
	}
	for _, h := range s.KeyLeases.Leases() {
		t.KeyLeases = append(t.KeyLeases, &wire.KeyLeaseT{Key: h.Key, Token: h.Token, Attempt: h.Attempt, Holder: h.Holder, GrantedAtNs: int64(h.GrantedAt), WindowNs: int64(h.Window)})
	}
	return codec.EncodeTable(t)
}

// Decode reads what Save has worded; nothing is the empty state.
func (s *State) Decode(data []byte) error {
	s.Items, s.KeyLeases, s.Maintenance, s.ActivePolicy, s.Policy = config.Table{}, idempotency.New(), Maintenance{}, config.Table{}, PolicyState{}
	s.ItemsIndex++
	if len(data) == 0 {
		return nil
	}
	t, err := codec.DecodeTable(data, func(p []byte) *wire.StateT { return wire.GetRootAsState(p, 0).UnPack() })
	if err != nil {
		return errors.Annotate(err, "the state of a snapshot")
	}
	s.Items = config.TableFromStorage(t.Items)
	if len(t.Maintenance) > 0 {
		if err := json.Unmarshal(t.Maintenance, &s.Maintenance); err != nil {
			return errors.Annotate(err, "the night service's state of a snapshot")
		}
	}
	if len(t.Policy) > 0 {
		if err := json.Unmarshal(t.Policy, &s.Policy); err != nil {
			return errors.Annotate(err, "the rules' state of a snapshot")
		}
		s.ActivePolicy, _ = s.ActivePolicy.Merge(config.ItemsFromWire(&wire.ItemsT{List: t.ActivePolicy}))
	}
	var held []idempotency.Lease
	for _, h := range t.KeyLeases {
		held = append(held, idempotency.Lease{LeaseRequest: idempotency.LeaseRequest{Key: h.Key, Token: h.Token, Attempt: h.Attempt, Holder: h.Holder, Window: time.Duration(h.WindowNs)},
			GrantedAt: time.Duration(h.GrantedAtNs)})
	}
	s.KeyLeases = idempotency.Restore(held)
	return nil
}
