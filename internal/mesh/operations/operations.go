// Package operations makes the operators' changes idempotent. An operation is one change of one item: the version that its
// operator gave it and a digest of its content. A History remembers the operations that were taken for one item and were
// followed by others, so that the same operation is recognised when it comes again, and another content under a version that
// was taken is told from it. What is remembered is bounded by its owner; a History knows below which version it has
// forgotten some. The package is pure.
package operations

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
	"time"

	"github.com/juju/errors"
)

// ErrEncoding says that the bytes given to Decode are no History.
const ErrEncoding = errors.ConstError("not an operation history")

// Digest identifies the content of an operation.
type Digest [16]byte

// DigestOf is the digest of a content given in parts. The parts' boundaries are part of the content.
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

// Operation is one that was taken.
type Operation struct {
	Version int64
	Digest  Digest
	LogTime time.Duration // log time at which it was taken or, if it stood, at which it was superseded
}

// Classification says what an operation is to a History.
type Classification uint8

// Verdicts.
const (
	New       Classification = iota // it was never taken, and no other was under its version
	Duplicate                       // it was taken
	Conflict                        // another content was taken under its version
	Unknown                         // whether it was taken has been forgotten
)

// History is what is remembered of one item's operations. Nil is that of an item that had none. It is never changed once made.
type History struct {
	accepted     []Operation // by rising version
	incomplete   bool        // some were forgotten
	maxForgotten int64       // the highest version of those
}

// IncompleteThrough is a history that knows nothing of the versions up to the given one.
func IncompleteThrough(version int64) *History {
	return &History{incomplete: true, maxForgotten: version}
}

// Len is how many operations are remembered.
func (h *History) Len() int { return len(h.Operations()) }

// Operations are those that are remembered, by rising version. The caller must not change them.
func (h *History) Operations() []Operation {
	if h == nil {
		return nil
	}
	return h.accepted
}

// Classify tells what an operation is.
func (h *History) Classify(version int64, digest Digest) Classification {
	if h == nil {
		return New
	}
	at, found := h.find(version)
	switch {
	case found && h.accepted[at].Digest == digest:
		return Duplicate
	case found:
		return Conflict
	case h.incomplete && version <= h.maxForgotten:
		return Unknown
	}
	return New
}

// With is the history with one more operation. One whose version is remembered already changes nothing.
func (h *History) With(o Operation) *History {
	at, found := h.find(o.Version)
	if found {
		return h
	}
	var next History
	if h != nil {
		next = *h
	}
	taken := make([]Operation, 0, len(next.accepted)+1)
	taken = append(taken, next.accepted[:at]...)
	taken = append(taken, o)
	next.accepted = append(taken, next.accepted[at:]...)
	return &next
}

// Without is the history that has forgotten the operation of a version.
func (h *History) Without(version int64) *History {
	at, found := h.find(version)
	if !found {
		return h
	}
	next := *h
	next.accepted = slices.Delete(slices.Clone(h.accepted), at, at+1)
	if !h.incomplete || version > h.maxForgotten {
		next.incomplete, next.maxForgotten = true, version
	}
	return &next
}

func (h *History) find(version int64) (at int, found bool) {
	return slices.BinarySearchFunc(h.Operations(), version, func(o Operation, version int64) int { return cmp.Compare(o.Version, version) })
}

// Sizes of an encoded history in bytes: the head holds the format, whether some were forgotten, and up to which version.
const (
	encodingVersion byte = 1
	headerSize           = 1 + 1 + 8
	recordSize           = 8 + 8 + len(Digest{})
)

// Encode is the history as bytes, of at least headSize: an item that was stored without a history is told from one that has
// an empty one.
func (h *History) Encode() []byte {
	if h == nil {
		h = new(History)
	}
	out := make([]byte, 0, headerSize+len(h.accepted)*recordSize)
	lossy := byte(0)
	if h.incomplete {
		lossy = 1
	}
	out = append(out, encodingVersion, lossy)
	out = binary.BigEndian.AppendUint64(out, uint64(h.maxForgotten))
	for _, o := range h.accepted {
		out = binary.BigEndian.AppendUint64(out, uint64(o.Version))
		out = binary.BigEndian.AppendUint64(out, uint64(o.LogTime))
		out = append(out, o.Digest[:]...)
	}
	return out
}

// Decode reads what Encode made. The error is ErrEncoding.
func Decode(in []byte) (*History, error) {
	if len(in) < headerSize || in[0] != encodingVersion || in[1] > 1 || (len(in)-headerSize)%recordSize != 0 {
		return nil, errors.Annotatef(ErrEncoding, "%d bytes", len(in))
	}
	h := &History{incomplete: in[1] == 1, maxForgotten: int64(binary.BigEndian.Uint64(in[2:]))}
	for in = in[headerSize:]; len(in) > 0; in = in[recordSize:] {
		o := Operation{Version: int64(binary.BigEndian.Uint64(in)), LogTime: time.Duration(binary.BigEndian.Uint64(in[8:]))}
		copy(o.Digest[:], in[16:])
		if n := len(h.accepted); n > 0 && h.accepted[n-1].Version >= o.Version {
			return nil, errors.Annotatef(ErrEncoding, "version %d is out of order", o.Version)
		}
		h.accepted = append(h.accepted, o)
	}
	return h, nil
}
