// Package operations makes operators' configuration changes idempotent. An operation is one change of one configuration item: the version
// that the operator assigned to it, and a digest of its content. A History records the operations that were accepted for one item and were
// superseded since. It identifies duplicates of these operations, however late they arrive, and conflicts: operations with an accepted
// version but different content. Its owner (package config) bounds its size by dropping operations; a History records the highest version
// that was dropped.
//
// The package must never read a clock, and the same operations must lead to the same History on every control-plane member. A History is
// immutable and therefore safe for concurrent use. Its purpose is that of client sessions in Ongaro's dissertation on Raft, section 6.3,
// for items in place of commands.
package operations

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"
)

// Digest identifies the content of an operation: the first 16 bytes of its SHA-256 hash.
type Digest [16]byte

// DigestOf returns the digest of content that consists of several parts. The same bytes divided into other parts have another digest.
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
	// LogTime is the log time at which the operation was accepted or, if it became active, at which it was superseded.
	LogTime time.Duration
}

// Classification is the relation of an operation to a History.
type Classification uint8

// Classifications. The owner of the history applies a New operation, acknowledges a Duplicate without applying it again, and rejects the
// others.
const (
	// New is an operation for whose version no operation was accepted.
	New Classification = iota
	// Duplicate is an operation that was accepted before: its version and its digest are recorded.
	Duplicate
	// Conflict is an operation for whose version other content was accepted.
	Conflict
	// Unknown is an operation that may have been accepted: it is not recorded, and its version is not above the highest dropped one.
	Unknown
)

// String returns the name of the classification.
func (c Classification) String() string {
	return [...]string{"new", "duplicate", "conflict", "unknown"}[min(c, Unknown)]
}

// History is the recorded operations of one item. It is immutable. A nil History has no operations.
type History struct {
	accepted   []Operation // in ascending order of version
	incomplete bool        // operations up to maxDropped may be missing
	maxDropped int64       // highest version that was dropped, or may be missing; only meaningful if incomplete
}

// IncompleteThrough returns an empty History that classifies all versions up to the given one as Unknown.
func IncompleteThrough(version int64) *History {
	return &History{incomplete: true, maxDropped: version}
}

// Len returns the number of recorded operations.
func (h *History) Len() int { return len(h.Operations()) }

// Operations returns the recorded operations in ascending order of version. The caller must not modify them.
func (h *History) Operations() []Operation {
	if h == nil {
		return nil
	}
	return h.accepted
}

// Classify classifies the operation with the given version and digest.
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
	case h.incomplete && version <= h.maxDropped:
		return Unknown
	}
	return New
}

// With returns a history that also contains operation. If an operation of its version is already recorded, it returns h unchanged.
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

// Without returns a history without the operation of the given version, which it classifies as Unknown. If no operation of that version is
// recorded, it returns h unchanged.
func (h *History) Without(version int64) *History {
	i, found := h.find(version)
	if !found {
		return h
	}
	next := *h
	next.accepted = slices.Delete(slices.Clone(h.accepted), i, i+1)
	if !h.incomplete || version > h.maxDropped {
		next.incomplete, next.maxDropped = true, version
	}
	return &next
}

// find returns the index in accepted of the operation of a version, or the index at which to insert it.
func (h *History) find(version int64) (i int, found bool) {
	return slices.BinarySearchFunc(h.Operations(), version, func(o Operation, version int64) int {
		return cmp.Compare(o.Version, version)
	})
}
