// Package operations makes the operators' changes idempotent. An operation is one change of one configuration item: the version that
// its operator gave it, and a digest of its content. A History remembers the operations that were accepted for one item and were
// superseded since, so that a duplicate is recognised whenever it comes, and another content under a version that was accepted is
// distinguished from it. How much is remembered is bounded by the owner (package config); a History knows below which version it is incomplete.
//
// The package is pure: it must never read a clock, and the same operations make the same History on every control-plane member. It
// does for items what client sessions do for commands in Ongaro's dissertation on Raft, section 6.3.
package operations

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/juju/errors"
)

// ErrEncoding is the error of Decode for bytes that are not an encoded History.
const ErrEncoding = errors.ConstError("not an operation history")

// Digest identifies the content of an operation: the first bytes of its SHA-256.
type Digest [16]byte

// DigestOf returns the digest of a content that is given in parts. Where one part ends and the next begins is part of the content.
func DigestOf(parts ...[]byte) Digest {
	hash := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return Digest(hash.Sum(nil)[:len(Digest{})])
}

// Operation is an accepted change of an item.
type Operation struct {
	Version int64
	Digest  Digest
	// LogTime is when the operation was accepted or, if it became active, when it was superseded.
	LogTime time.Duration
}

// Classification says how an operation relates to a History.
type Classification uint8

const (
	// New is an operation that was never accepted, and neither was another under its version.
	New Classification = iota
	// Duplicate is an operation that was accepted.
	Duplicate
	// Conflict is an operation under whose version another content was accepted.
	Conflict
	// Unknown is an operation that may have been accepted: the history does not reach back to its version.
	Unknown
)

// String returns the name of the classification.
func (c Classification) String() string {
	return [...]string{"new", "duplicate", "conflict", "unknown"}[min(c, Unknown)]
}

// History is the accepted operations of one item that are still remembered. It is immutable. A nil History has none.
type History struct {
	accepted     []Operation // by rising version
	incomplete   bool        // some operations were dropped
	maxForgotten int64       // the highest version among those
}

// IncompleteThrough returns an empty History in which all versions up to the given one are Unknown.
func IncompleteThrough(version int64) *History {
	return &History{incomplete: true, maxForgotten: version}
}

// Len returns how many operations are remembered.
func (h *History) Len() int { return len(h.Operations()) }

// Operations returns the remembered operations by rising version. The caller must not change them.
func (h *History) Operations() []Operation {
	if h == nil {
		return nil
	}
	return h.accepted
}

// Classify compares an operation, given by its version and digest, with the history.
func (h *History) Classify(version int64, digest Digest) Classification {
	if h == nil {
		return New
	}
	i, found := h.find(version)
	switch {
	case found && h.accepted[i].Digest == digest:
		return Duplicate
	case found:
		return Conflict
	case h.incomplete && version <= h.maxForgotten:
		return Unknown
	}
	return New
}

// With returns the history with one more operation. If its version is remembered already, that is the same history.
func (h *History) With(operation Operation) *History {
	i, found := h.find(operation.Version)
	if found {
		return h
	}
	var next History
	if h != nil {
		next = *h
	}
	accepted := make([]Operation, 0, len(next.accepted)+1)
	accepted = append(accepted, next.accepted[:i]...)
	accepted = append(accepted, operation)
	next.accepted = append(accepted, next.accepted[i:]...)
	return &next
}

// Without returns the history without the operation of a version, which is Unknown from then on.
func (h *History) Without(version int64) *History {
	i, found := h.find(version)
	if !found {
		return h
	}
	next := *h
	next.accepted = slices.Delete(slices.Clone(h.accepted), i, i+1)
	if !h.incomplete || version > h.maxForgotten {
		next.incomplete, next.maxForgotten = true, version
	}
	return &next
}

// find returns the index of the operation of a version, or the index at which it would be inserted.
func (h *History) find(version int64) (i int, found bool) {
	return slices.BinarySearchFunc(h.Operations(), version, func(o Operation, version int64) int {
		return cmp.Compare(o.Version, version)
	})
}

// An encoded history is a header (the format, whether some operations were forgotten, and up to which version) and a record of
// fixed size for each operation. Integers are big endian. Members store it on disk.
const (
	encodingVersion byte = 1

	headerSize = 1 + 1 + 8             // bytes
	recordSize = 8 + 8 + len(Digest{}) // bytes
)

// Encode returns the history in its stored form. An empty history has a header, too, so that an item with an empty history
// differs from one that an earlier release stored without any.
func (h *History) Encode() []byte {
	if h == nil {
		h = new(History)
	}
	encoded := make([]byte, 0, headerSize+len(h.accepted)*recordSize)
	incomplete := byte(0)
	if h.incomplete {
		incomplete = 1
	}
	encoded = append(encoded, encodingVersion, incomplete)
	encoded = binary.BigEndian.AppendUint64(encoded, uint64(h.maxForgotten))
	for _, operation := range h.accepted {
		encoded = binary.BigEndian.AppendUint64(encoded, uint64(operation.Version))
		encoded = binary.BigEndian.AppendUint64(encoded, uint64(operation.LogTime))
		encoded = append(encoded, operation.Digest[:]...)
	}
	return encoded
}

// Decode decodes the stored form of a history. Its errors are ErrEncoding.
func Decode(encoded []byte) (*History, error) {
	if len(encoded) < headerSize || encoded[0] != encodingVersion || encoded[1] > 1 || (len(encoded)-headerSize)%recordSize != 0 {
		return nil, errors.Annotatef(ErrEncoding, "%d bytes", len(encoded))
	}
	h := &History{incomplete: encoded[1] == 1, maxForgotten: int64(binary.BigEndian.Uint64(encoded[2:]))}
	for records := encoded[headerSize:]; len(records) > 0; records = records[recordSize:] {
		operation := decodeRecord(records)
		if n := len(h.accepted); n > 0 && h.accepted[n-1].Version >= operation.Version {
			return nil, errors.Annotatef(ErrEncoding, "version %d is out of order", operation.Version)
		}
		h.accepted = append(h.accepted, operation)
	}
	return h, nil
}

// decodeRecord decodes the first of several records.
func decodeRecord(records []byte) Operation {
	operation := Operation{
		Version: int64(binary.BigEndian.Uint64(records)),
		LogTime: time.Duration(binary.BigEndian.Uint64(records[8:])),
	}
	copy(operation.Digest[:], records[16:])
	return operation
}
