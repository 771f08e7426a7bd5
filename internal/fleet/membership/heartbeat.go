package membership

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
)

// Heartbeat is what each member tells each other one, again and again: that it can act, what it last heard of the other, and
// whom it has not heard. It grants: whoever is echoed may act for a lease from when it sent what is echoed.
type Heartbeat struct {
	From       string
	Run        uint64 // of the sender
	To         uint64 // NameID of whom it is for
	Seq        uint64 // grows with each round of the sender's heartbeats
	Epoch      uint32 // of the sender's entry of the roster
	Leaving    bool   // it acts no more
	Settled    bool   // all that it knows to be seated take part in its majorities
	RosterHash uint64 // what the sender's roster holds, see Roster.Hash
	Echo       uint64 // the receiver's latest heartbeat that was heard; 0: no grant
	EchoRun    uint64 // of the receiver's process
	Out        []uint64
}

// MaxOut bounds the names in a Heartbeat; of more, those beyond are not claimed to be out, which is the careful side.
const MaxOut = 100

// MaxHeartbeatBytes is the most bytes of an encoded Heartbeat.
const MaxHeartbeatBytes = 80 + MaxName + 8*MaxOut

const wireVersion = 1

// ErrHeartbeat is the reason for a message that is no Heartbeat.
var ErrHeartbeat = errors.New("not a beat")

// NameID is how heartbeats name members.
func NameID(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// Encode writes the heartbeat.
func (b Heartbeat) Encode() []byte {
	var flags byte
	if b.Settled {
		flags |= 1
	}
	if b.Leaving {
		flags |= 2
	}
	e := binary.LittleEndian
	t := append(make([]byte, 0, 80+len(b.From)+8*len(b.Out)), wireVersion, flags, byte(len(b.From)))
	t = append(t, b.From...)
	for _, n := range []uint64{b.Run, b.To, b.Seq, b.RosterHash, b.Echo, b.EchoRun} {
		t = e.AppendUint64(t, n)
	}
	t = e.AppendUint32(t, b.Epoch)
	out := b.Out[:min(len(b.Out), MaxOut)]
	t = e.AppendUint16(t, uint16(len(out)))
	for _, n := range out {
		t = e.AppendUint64(t, n)
	}
	return t
}

// DecodeHeartbeat reads a heartbeat, and gives what follows it.
func DecodeHeartbeat(t []byte) (b Heartbeat, rest []byte, err error) {
	r := reader{b: t}
	if r.byte() != wireVersion {
		return Heartbeat{}, nil, fmt.Errorf("%w: another version", ErrHeartbeat)
	}
	flags := r.byte()
	b = Heartbeat{
		Settled: flags&1 != 0, Leaving: flags&2 != 0, From: r.text(MaxName), Run: r.uint64(), To: r.uint64(), Seq: r.uint64(),
		RosterHash: r.uint64(), Echo: r.uint64(), EchoRun: r.uint64(), Epoch: r.uint32(),
	}
	n := int(r.uint16())
	if r.bad || n > MaxOut || len(r.b) < 8*n || !IsValidName(b.From) || b.Seq == 0 || b.Epoch == 0 {
		return Heartbeat{}, nil, ErrHeartbeat
	}
	for range n {
		b.Out = append(b.Out, r.uint64())
	}
	return b, r.b, nil
}

// Entry is a name on the roster. Of two for one name the one of the higher epoch holds; of one epoch whoever is gone is
// gone, and whoever is seated is seated: entries may be merged in any order and any number of times.
type Entry struct {
	Name   string
	Epoch  uint32
	Seated bool
	Gone   bool // it left, or operators say that it is no more
}

func (e Entry) merge(o Entry) Entry {
	switch {
	case o.Epoch > e.Epoch:
		return o
	case o.Epoch == e.Epoch:
		e.Seated, e.Gone = e.Seated || o.Seated, e.Gone || o.Gone
	}
	return e
}

// MaxEpoch bounds how often a name can come back; beyond it entries are not believed.
const MaxEpoch = 1 << 30

// EncodeEntries writes a roster, and DecodeEntries reads one.
func EncodeEntries(l []Entry) []byte {
	l = l[:min(len(l), MaxMembers)]
	t := binary.LittleEndian.AppendUint16([]byte{wireVersion}, uint16(len(l)))
	for _, e := range l {
		var flags byte
		if e.Seated {
			flags |= 1
		}
		if e.Gone {
			flags |= 2
		}
		t = append(t, flags, byte(len(e.Name)))
		t = append(t, e.Name...)
		t = binary.LittleEndian.AppendUint32(t, e.Epoch)
	}
	return t
}

// ErrEntries is the reason for a message that is no roster.
var ErrEntries = errors.New("not a roll")

// DecodeEntries reads what EncodeEntries wrote.
func DecodeEntries(t []byte) ([]Entry, error) {
	r := reader{b: t}
	if r.byte() != wireVersion {
		return nil, fmt.Errorf("%w: another version", ErrEntries)
	}
	n := int(r.uint16())
	if r.bad || n > MaxMembers || len(r.b) < 7*n {
		return nil, ErrEntries
	}
	l := make([]Entry, 0, n)
	for range n {
		flags := r.byte()
		e := Entry{Seated: flags&1 != 0, Gone: flags&2 != 0, Name: r.text(MaxName), Epoch: r.uint32()}
		if r.bad || !IsValidName(e.Name) || e.Epoch == 0 || e.Epoch > MaxEpoch {
			return nil, ErrEntries
		}
		l = append(l, e)
	}
	return l, nil
}
