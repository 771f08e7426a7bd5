package directory

import (
	"time"

	"cranegrade/internal/mesh/transport/wire"
)

// leavingBit is the bit of the encoded state that represents Record.Leaving.
const leavingBit = 0x80

// ToWire encodes records for the transport protocol.
func ToWire(records []Record) *wire.RecordsT {
	encoded := &wire.RecordsT{}
	for _, record := range records {
		encoded.List = append(encoded.List, recordToWire(record))
	}
	return encoded
}

func recordToWire(record Record) *wire.RecordT {
	state := byte(record.State)
	if record.Leaving {
		state |= leavingBit
	}
	return &wire.RecordT{
		Node:             record.Node,
		Incarnation:      record.Incarnation,
		Sequence:         record.Sequence,
		Addr:             record.Addr,
		Zone:             record.Zone,
		Service:          record.Service,
		ServerId:         record.ServerID,
		State:            state,
		Slots:            record.Slots,
		WarmupUs:         record.Warmup.Microseconds(),
		TransportVersion: record.ProtocolVersion,
	}
}

// FromWire decodes records.
func FromWire(encoded *wire.RecordsT) (records []Record) {
	for _, record := range encoded.List {
		records = append(records, recordFromWire(record))
	}
	return records
}

func recordFromWire(encoded *wire.RecordT) Record {
	return Record{
		Node:            encoded.Node,
		Incarnation:     encoded.Incarnation,
		Sequence:        encoded.Sequence,
		Addr:            encoded.Addr,
		Zone:            encoded.Zone,
		Service:         encoded.Service,
		ServerID:        encoded.ServerId,
		State:           ServerState(encoded.State &^ leavingBit),
		Leaving:         encoded.State&leavingBit != 0,
		Slots:           encoded.Slots,
		Warmup:          time.Duration(encoded.WarmupUs) * time.Microsecond,
		ProtocolVersion: encoded.TransportVersion,
	}
}
