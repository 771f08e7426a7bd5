package membership

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
)

// Heartbeat is the message that each member sends to each other member in every round. It shows that the sender is alive, and reports the
// members that the sender considers failed. If it echoes a heartbeat of the receiver it is also a grant: the receiver may act for one lease
// duration, counted from when it sent the echoed heartbeat.
type Heartbeat struct {
	From            string
	Incarnation     uint64   // of the sender
	To              uint64   // NameID of the receiver
	Seq             uint64   // increases with each round of the sender
	Epoch           uint32   // of the sender's entry on its own roster
	Leaving         bool     // the sender has stopped acting and leaves the fleet
	VotersCommitted bool     // all voters on the sender's roster are committed voters there, see Roster
	RosterHash      uint64   // Roster.Hash of the sender
	Echo            uint64   // Seq of the latest heartbeat that the sender received from the receiver; 0 if this is not a grant
	EchoIncarnation uint64   // of the receiver's process that sent the echoed heartbeat
	Failed          []uint64 // NameIDs of the members that the sender considers failed
}

// MaxFailed is the maximum number of failed members in a Heartbeat. Further ones are not reported and stay in the divisor, which is safe.
const MaxFailed = 100

// heartbeatFixedBytes is an upper bound for the size of an encoded Heartbeat without From and Failed.
const heartbeatFixedBytes = 80

// MaxHeartbeatBytes is the maximum size of an encoded Heartbeat.
const MaxHeartbeatBytes = heartbeatFixedBytes + MaxName + 8*MaxFailed

// wireVersion is the version of the encodings of Heartbeat and of roster entries.
const wireVersion = 1

// Flags of an encoded Heartbeat.
const (
	flagVotersCommitted = 1 << iota
	flagLeaving
)

// ErrHeartbeat is returned for a message that can't be decoded as a Heartbeat.
var ErrHeartbeat = errors.New("invalid heartbeat")

// NameID returns the hash that identifies a member in heartbeats.
func NameID(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// Encode returns the heartbeat with the first MaxFailed failed members, in at most MaxHeartbeatBytes.
func (h Heartbeat) Encode() []byte {
	var flags byte
	if h.VotersCommitted {
		flags |= flagVotersCommitted
	}
	if h.Leaving {
		flags |= flagLeaving
	}
	order := binary.LittleEndian
	b := make([]byte, 0, heartbeatFixedBytes+len(h.From)+8*len(h.Failed))
	b = append(b, wireVersion, flags, byte(len(h.From)))
	b = append(b, h.From...)
	for _, n := range []uint64{h.Incarnation, h.To, h.Seq, h.RosterHash, h.Echo, h.EchoIncarnation} {
		b = order.AppendUint64(b, n)
	}
	b = order.AppendUint32(b, h.Epoch)
	failed := h.Failed[:min(len(h.Failed), MaxFailed)]
	b = order.AppendUint16(b, uint16(len(failed)))
	for _, id := range failed {
		b = order.AppendUint64(b, id)
	}
	return b
}

// DecodeHeartbeat decodes a heartbeat, and returns the bytes that follow it. Errors wrap ErrHeartbeat.
func DecodeHeartbeat(b []byte) (h Heartbeat, rest []byte, err error) {
	d := decoder{rest: b}
	if version := d.uint8(); version != wireVersion {
		return Heartbeat{}, nil, fmt.Errorf("%w: version %d, want %d", ErrHeartbeat, version, wireVersion)
	}
	flags := d.uint8()
	h = Heartbeat{
		VotersCommitted: flags&flagVotersCommitted != 0,
		Leaving:         flags&flagLeaving != 0,
		From:            d.string(MaxName),
		Incarnation:     d.uint64(),
		To:              d.uint64(),
		Seq:             d.uint64(),
		RosterHash:      d.uint64(),
		Echo:            d.uint64(),
		EchoIncarnation: d.uint64(),
		Epoch:           d.uint32(),
	}
	count := int(d.uint16())
	if d.failed || count > MaxFailed || len(d.rest) < 8*count || !IsValidName(h.From) || h.Seq == 0 || h.Epoch == 0 {
		return Heartbeat{}, nil, ErrHeartbeat
	}
	for range count {
		h.Failed = append(h.Failed, d.uint64())
	}
	return h, d.rest, nil
}
