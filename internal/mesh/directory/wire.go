package directory

import (
	"time"

	"cranegrade/internal/mesh/transport/wire"
)

// ToWire words records for the trunk.
func ToWire(l []Record) *wire.RecordsT {
	t := &wire.RecordsT{}
	for _, r := range l {
		state := byte(r.State)
		if r.Leaving {
			state |= leavingBit
		}
		t.List = append(t.List, &wire.RecordT{Node: r.Node, Incarnation: r.Incarnation, Sequence: r.Sequence, Addr: r.Addr, Zone: r.Zone, Service: r.Service,
			ServerId: r.ServerID, State: state, Slots: r.Slots, WarmupUs: int64(r.Warmup / time.Microsecond), TransportVersion: r.ProtocolVersion})
	}
	return t
}

// leavingBit is the bit of a state that tells of the line itself.
const leavingBit = 0x80

// FromWire reads records.
func FromWire(t *wire.RecordsT) (l []Record) {
	for _, r := range t.List {
		l = append(l, Record{Node: r.Node, Incarnation: r.Incarnation, Sequence: r.Sequence, Addr: r.Addr, Zone: r.Zone, Service: r.Service, ServerID: r.ServerId,
			State: ServerState(r.State &^ leavingBit), Leaving: r.State&leavingBit != 0, Slots: r.Slots, Warmup: time.Duration(r.WarmupUs) * time.Microsecond, ProtocolVersion: r.TransportVersion})
	}
	return l
}
