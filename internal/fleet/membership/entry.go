package membership

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Entry is the roster's record of one member. Entries form a state-based CRDT: of two entries with the same name the one with the higher
// epoch wins, and within an epoch Voter and Removed only change from false to true. So entries may be merged in any order and repeatedly.
type Entry struct {
	Name    string
	Epoch   uint32 // increases when a removed member rejoins
	Voter   bool   // the member is included in majorities
	Removed bool   // the member left, or an operator removed it
}

// merge returns the merged state of two entries with the same name.
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

// MaxEpoch is the highest valid epoch of an entry. It limits how often a removed member can rejoin.
const MaxEpoch = 1 << 30

// Flags of an encoded Entry.
const (
	flagVoter = 1 << iota
	flagRemoved
)

// minEntryBytes is the size of the smallest encoded Entry: flags, length of the name, one byte of the name, epoch.
const minEntryBytes = 7

// ErrEntries is returned for a message that can't be decoded as roster entries.
var ErrEntries = errors.New("invalid roster entries")

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

// DecodeEntries decodes the result of EncodeEntries. Errors wrap ErrEntries.
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
