package outlier

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"math"
	"time"
)

// Limits and sizes of an encoded digest, which has to fit into one datagram together with the name of its sender.
const (
	MaxDigestBytes  = 256
	MaxObservations = 24

	encodingVersion  = 1
	headerBytes      = 12 // version, pool, sequence number, subset size, number of observations
	observationBytes = 9

	// ageUnit is the unit of Observation.Age.
	ageUnit = 100 * time.Millisecond
)

// Observation is a member's recent observation of one server, from its own requests. Counts saturate at 255.
type Observation struct {
	Server              uint32 // ServerID
	Start               uint8  // StartID, which distinguishes the process from those before a restart
	Failures, Successes uint8  // recent ones, see countHalvingInterval
	ConsecutiveFailures uint8  // since the latest success
	Age                 uint8  // time since the latest outcome, in units of ageUnit
}

// reportsFailure reports whether the observation says that the server is failing.
func (o Observation) reportsFailure() bool { return o.ConsecutiveFailures > 0 && o.Failures > 0 }

// Digest is the message that reports a member's observations of the servers of a pool to the other members.
type Digest struct {
	Pool         uint32
	Seq          uint32        // increases with each digest that a process sends for the pool
	SubsetSize   uint16        // number of servers in the member's subset
	Observations []Observation // by descending priority
}

// ServerID returns the hash that identifies a server in digests.
func ServerID(server string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(server))
	return h.Sum32()
}

// StartID returns a hash of a server's start time, which distinguishes its processes in digests.
func StartID(startedAt time.Duration) uint8 {
	n := uint64(startedAt / time.Millisecond)
	return uint8(n ^ n>>8 ^ n>>16 ^ n>>24)
}

// Encode returns the digest with its first MaxObservations observations, in at most MaxDigestBytes.
func (d Digest) Encode() []byte {
	order := binary.LittleEndian
	observations := d.Observations[:min(len(d.Observations), MaxObservations)]
	b := append(make([]byte, 0, MaxDigestBytes), encodingVersion)
	b = order.AppendUint32(b, d.Pool)
	b = order.AppendUint32(b, d.Seq)
	b = order.AppendUint16(b, d.SubsetSize)
	b = append(b, byte(len(observations)))
	for _, o := range observations {
		b = order.AppendUint32(b, o.Server)
		b = append(b, o.Start, o.Failures, o.Successes, o.ConsecutiveFailures, o.Age)
	}
	return b
}

// ErrDigest is returned for bytes that can't be decoded as a digest.
var ErrDigest = errors.New("invalid digest")

// Decode decodes a digest. It ignores trailing bytes, in which a later version may add fields. The error is ErrDigest.
func Decode(b []byte) (Digest, error) {
	if len(b) < headerBytes || b[0] != encodingVersion {
		return Digest{}, ErrDigest
	}
	order := binary.LittleEndian
	d := Digest{Pool: order.Uint32(b[1:]), Seq: order.Uint32(b[5:]), SubsetSize: order.Uint16(b[9:])}
	count := int(b[11])
	if count > MaxObservations || len(b) < headerBytes+count*observationBytes {
		return Digest{}, ErrDigest
	}
	b = b[headerBytes:]
	for range count {
		d.Observations = append(d.Observations, Observation{
			Server:              order.Uint32(b),
			Start:               b[4],
			Failures:            b[5],
			Successes:           b[6],
			ConsecutiveFailures: b[7],
			Age:                 b[8],
		})
		b = b[observationBytes:]
	}
	return d, nil
}

// saturate converts a count to a byte, at most 255.
func saturate(n int) uint8 { return uint8(min(n, math.MaxUint8)) }
