package outlier

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"math"
	"time"
)

// Bounds of an encoded digest. It has to fit into one datagram together with its sender's name.
const (
	MaxDigestBytes  = 256
	MaxObservations = 24

	encodingVersion  = 1
	headerBytes      = 12 // version, pool, sequence number, servers in use, number of observations
	observationBytes = 9

	// ageUnit is what Observation.Age is counted in.
	ageUnit = 100 * time.Millisecond
)

// Observation is what a member has recently observed itself of a server. Counts stay at 255 when they reach it.
type Observation struct {
	Server              uint32 // ServerID
	Start               uint8  // StartID: a server that was restarted is another one
	Failures, Successes uint8  // of the last seconds
	ConsecutiveFailures uint8  // since the latest success
	Age                 uint8  // of the latest outcome, in ageUnits
}

// reportsFailure reports whether the observation says that the server is failing.
func (o Observation) reportsFailure() bool { return o.ConsecutiveFailures > 0 && o.Failures > 0 }

// Digest is the message by which a member reports to the others what it observed of the servers of a pool.
type Digest struct {
	Pool         uint32
	Seq          uint32        // grows with each digest of a process and pool
	SubsetSize   uint16        // servers that the member draws from
	Observations []Observation // the most useful first
}

// ServerID is the hash by which digests name a server.
func ServerID(server string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(server))
	return h.Sum32()
}

// StartID is the hash by which digests name the start of a server's process.
func StartID(startedAt time.Duration) uint8 {
	n := uint64(startedAt / time.Millisecond)
	return uint8(n ^ n>>8 ^ n>>16 ^ n>>24)
}

// Encode encodes the digest, with its first MaxObservations observations, in at most MaxDigestBytes.
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

// ErrDigest is the error for a message that can't be decoded as a digest.
var ErrDigest = errors.New("invalid digest")

// Decode decodes a digest. Bytes that follow it are ignored: a later version may add some. The error is ErrDigest.
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

// saturate converts a count to what an Observation holds.
func saturate(n int) uint8 { return uint8(min(n, math.MaxUint8)) }
