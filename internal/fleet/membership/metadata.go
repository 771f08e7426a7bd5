package membership

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
)

// Limits on members and their metadata. They are checked on all received metadata, to limit the cost of a faulty member.
const (
	MaxName          = 64   // bytes of a member's name
	MaxZone          = 32   // bytes of a zone's name
	MaxMembers       = 4096 // members that are kept in memory, in any state
	MaxPools         = 48   // pools in a Metadata; a member with more is treated as serving every pool
	MaxMetadataBytes = 512  // bytes of an encoded Metadata: the limit of the gossip protocol for each member
)

// Supported versions of the protocol between members. A member with a version outside of this range participates in no pool, but it keeps
// its share of every quota.
const (
	Protocol    = 1
	MinProtocol = 1
)

// PoolDigest identifies a pool and its settings, so that members can compare them.
type PoolDigest struct {
	ID     uint32 // PoolID of its name
	Digest uint32 // hash of its settings
}

// Metadata describes a member. The gossip distributes it to all members. Only Pools and AllPools change while the process runs, on reloads.
type Metadata struct {
	Name        string
	Incarnation uint64 // random number of each process, to distinguish processes with the same name
	Protocol    uint8
	Zone        string
	AllPools    bool         // the member has more than MaxPools pools, and is treated as serving every pool
	Pools       []PoolDigest // sorted by ID
}

// PoolID returns the hash that identifies a pool among members.
func PoolID(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// SortPools sorts pools by ID, as Metadata requires, and drops duplicates. It modifies the slice in place.
func SortPools(pools []PoolDigest) []PoolDigest {
	slices.SortFunc(pools, func(a, b PoolDigest) int { return cmp.Compare(a.ID, b.ID) })
	return slices.CompactFunc(pools, func(a, b PoolDigest) bool { return a.ID == b.ID })
}

// serves reports whether the member serves the pool, and returns the digest of its settings, which is 0 if the member has too many pools to
// list them.
func (m Metadata) serves(pool uint32) (digest uint32, ok bool) {
	i, found := slices.BinarySearchFunc(m.Pools, pool, func(p PoolDigest, id uint32) int { return cmp.Compare(p.ID, id) })
	if found {
		return m.Pools[i].Digest, true
	}
	return 0, m.AllPools
}

// ErrMetadata is returned for metadata that can't be decoded or that belongs to another member.
var ErrMetadata = errors.New("invalid member metadata")

// allPoolsMarker is encoded instead of the number of pools if the member has more than MaxPools.
const allPoolsMarker = 0xff

// Encode returns the metadata in at most MaxMetadataBytes. Name and Zone must not exceed MaxName and MaxZone.
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

// DecodeMetadata decodes the result of Encode. It ignores trailing bytes, in which a later version may add fields. Errors wrap ErrMetadata.
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

// pools decodes count pools, which must be in ascending order of their IDs.
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

// asciiDelete is the control character that follows the visible ASCII characters.
const asciiDelete = 0x7f

// IsValidName reports whether a member may have this name: 1 to MaxName visible ASCII characters, so that it can be logged unescaped.
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
