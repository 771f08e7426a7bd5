// Package operations makes the operators' changes idempotent. An operation is one change of one configuration item: the version that
// its operator gave it, and a digest of its content. A History remembers the operations that were accepted for one item and were
// superseded since, so that a duplicate is recognised whenever it comes, and another content under a version that was accepted is
// distinguished from it. How much is remembered is bounded by the owner (package config); a History knows up to which version it is
// incomplete.
//
// The package is pure: it must never read a clock, and the same operations make the same History on every control-plane member. Its values
// are immutable, so any goroutine may use them. It does for items what client sessions do for commands in Ongaro's dissertation on Raft,
// section 6.3.
package operations

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"
)

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

// Classifications. The owner carries out a New operation, acknowledges a Duplicate without carrying it out again, and does neither with the
// others.
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
