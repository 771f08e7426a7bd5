package membership

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Entry is a name on the roster. Entries form a state-based CRDT: of two entries for one name the one of the higher epoch wins, and
// within an epoch Voter and Removed only ever become true. So they may be merged in any order and any number of times.
type Entry struct {
	Name    string
	Epoch   uint32 // grows when a removed name comes back
	Voter   bool   // the member counts in majorities
	Removed bool   // it left, or an operator removed it
}

// merge returns the join of two entries of one name.
func (e Entry) merge(other Entry) Entry {
	switch {
	case other.Epoch > e.Epoch:
		return other
	case other.Epoch == e.Epoch:
		e.Voter = e.Voter || other.Voter
		e.Removed = e.Removed || other.Removed
	}
	return e
}

// flags encodes Voter and Removed, on the wire and in the roster's hash.
func (e Entry) flags() (flags byte) {
	if e.Voter {
		flags |= flagVoter
	}
	if e.Removed {
		flags |= flagRemoved
	}
	return flags
}

// MaxEpoch bounds how often a name can come back; entries beyond it are invalid.
const MaxEpoch = 1 << 30

// Flags of an encoded Entry.
const (
	flagVoter = 1 << iota
	flagRemoved
)

// minEntryBytes is the least that an encoded Entry takes: flags, length of the name, one byte of the name, epoch.
const minEntryBytes = 7

// ErrEntries is the error for a message that can't be decoded as roster entries.
var ErrEntries = errors.New("invalid roster")

// EncodeEntries encodes the first MaxMembers entries of a roster.
func EncodeEntries(entries []Entry) []byte {
	entries = entries[:min(len(entries), MaxMembers)]
	b := binary.LittleEndian.AppendUint16([]byte{wireVersion}, uint16(len(entries)))
	for _, e := range entries {
		b = append(b, e.flags(), byte(len(e.Name)))
		b = append(b, e.Name...)
		b = binary.LittleEndian.AppendUint32(b, e.Epoch)
	}
	return b
}

// DecodeEntries decodes what EncodeEntries returned. The error is an ErrEntries.
func DecodeEntries(b []byte) ([]Entry, error) {
	d := decoder{rest: b}
	if version := d.uint8(); version != wireVersion {
		return nil, fmt.Errorf("%w: version %d, want %d", ErrEntries, version, wireVersion)
	}
	count := int(d.uint16())
	if d.failed || count > MaxMembers || len(d.rest) < minEntryBytes*count {
		return nil, ErrEntries
	}
	entries := make([]Entry, 0, count)
	for range count {
		flags := d.uint8()
		e := Entry{Voter: flags&flagVoter != 0, Removed: flags&flagRemoved != 0, Name: d.string(MaxName), Epoch: d.uint32()}
		if d.failed || !e.isValid() {
			return nil, ErrEntries
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// isValid reports whether an entry may be on a roster.
func (e Entry) isValid() bool { return IsValidName(e.Name) && e.Epoch != 0 && e.Epoch <= MaxEpoch }
