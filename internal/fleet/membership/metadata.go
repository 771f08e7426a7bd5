package membership

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
)

// Bounds of a member's metadata. They are checked on everything that is received, so that a faulty member costs little.
const (
	MaxName          = 64   // bytes of a member's name
	MaxZone          = 32   // bytes of a zone's name
	MaxMembers       = 4096 // members that are remembered, whatever their state
	MaxPools         = 48   // pools in a Metadata; a member with more counts as one that serves every pool
	MaxMetadataBytes = 512  // bytes of an encoded Metadata: the gossip carries no more for each member
)

// Versions of the protocol between members. A member with a version outside of this range does not count in any pool, but it may
// act: it keeps its share of every quota.
const (
	Protocol    = 1
	MinProtocol = 1
)

// PoolDigest is a pool as members compare it: by its name and its settings.
type PoolDigest struct {
	ID     uint32 // PoolID of its name
	Digest uint32 // of its settings
}

// Metadata describes a member. The gossip carries it to all others. While the process runs only Pools and AllPools change, at a reload.
type Metadata struct {
	Name        string
	Incarnation uint64 // drawn at random at each start, to distinguish processes of one name
	Protocol    uint8
	Zone        string
	AllPools    bool         // the member has more pools than MaxPools, and counts as one that serves every pool
	Pools       []PoolDigest // sorted by ID
}

// PoolID is the hash by which members name a pool.
func PoolID(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// SortPools sorts pools by ID, as Metadata has them, and drops duplicates. It changes the slice that it is given.
func SortPools(pools []PoolDigest) []PoolDigest {
	slices.SortFunc(pools, func(a, b PoolDigest) int { return cmp.Compare(a.ID, b.ID) })
	return slices.CompactFunc(pools, func(a, b PoolDigest) bool { return a.ID == b.ID })
}

// serves reports whether the member has the pool, and the digest of its settings. The digest is 0 if the member has too many pools to
// name them.
func (m Metadata) serves(pool uint32) (digest uint32, ok bool) {
	i, found := slices.BinarySearchFunc(m.Pools, pool, func(p PoolDigest, id uint32) int { return cmp.Compare(p.ID, id) })
	if found {
		return m.Pools[i].Digest, true
	}
	return 0, m.AllPools
}

// ErrMetadata is the error for metadata that can't be decoded or that belongs to another member.
var ErrMetadata = errors.New("invalid metadata of a member")

// allPoolsMarker stands in place of the number of pools if the member has more than MaxPools.
const allPoolsMarker = 0xff

// Encode returns the metadata in at most MaxMetadataBytes. Name and Zone must keep their bounds.
func (m Metadata) Encode() []byte {
	pools := SortPools(slices.Clone(m.Pools))
	all := m.AllPools || len(pools) > MaxPools
	b := []byte{m.Protocol, byte(len(m.Name))}
	b = append(b, m.Name...)
	b = append(b, byte(len(m.Zone)))
	b = append(b, m.Zone...)
	b = binary.LittleEndian.AppendUint64(b, m.Incarnation)
	if all {
		return append(b, allPoolsMarker)
	}
	b = append(b, byte(len(pools)))
	for _, pool := range pools {
		b = binary.LittleEndian.AppendUint32(b, pool.ID)
		b = binary.LittleEndian.AppendUint32(b, pool.Digest)
	}
	return b
}

// DecodeMetadata decodes what Encode returned. Bytes that follow it are ignored: a later version may add some. The error is an
// ErrMetadata.
func DecodeMetadata(b []byte) (Metadata, error) {
	if len(b) > MaxMetadataBytes {
		return Metadata{}, fmt.Errorf("%w: %d bytes, at most %d are allowed", ErrMetadata, len(b), MaxMetadataBytes)
	}
	d := decoder{rest: b}
	m := Metadata{Protocol: d.uint8(), Name: d.string(MaxName), Zone: d.string(MaxZone), Incarnation: d.uint64()}
	count := d.uint8()
	switch {
	case count == allPoolsMarker:
		m.AllPools = true
	case count > MaxPools:
		return Metadata{}, fmt.Errorf("%w: %d pools, at most %d are allowed", ErrMetadata, count, MaxPools)
	default:
		m.Pools = d.pools(int(count))
	}
	if d.failed || !IsValidName(m.Name) || m.Protocol == 0 {
		return Metadata{}, ErrMetadata
	}
	return m, nil
}

// pools decodes so many pools, which must be in ascending order.
func (d *decoder) pools(count int) (pools []PoolDigest) {
	for range count {
		pool := PoolDigest{ID: d.uint32(), Digest: d.uint32()}
		if n := len(pools); n > 0 && pools[n-1].ID >= pool.ID {
			d.failed = true
		}
		pools = append(pools, pool)
	}
	return pools
}

// asciiDelete is the first ASCII character after the visible ones.
const asciiDelete = 0x7f

// IsValidName reports whether a name may be a member's: 1 to MaxName visible ASCII characters, so that it can be logged as it is.
func IsValidName(name string) bool {
	if name == "" || len(name) > MaxName {
		return false
	}
	for _, c := range []byte(name) {
		if c <= ' ' || c >= asciiDelete {
			return false
		}
	}
	return true
}
