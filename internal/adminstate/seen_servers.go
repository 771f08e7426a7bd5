package adminstate

import "hash/fnv"

// SeenCapacity is how many servers that have left its list a node remembers. At two replacements a second these are those of
// four and a half hours, for about 1 MB of memory. A command for one that left earlier is refused as if it had never been
// listed.
const SeenCapacity = 1 << 15

// SeenServers remembers the servers that have left the list most recently, up to a capacity, by hashes of their ids. The zero
// value remembers none. It is not safe for concurrent use.
type SeenServers struct {
	ring     []uint64 // hashes; the oldest is at next once the ring is full
	next     int
	counts   map[uint64]int // how often each hash is in the ring
	capacity int
}

// NewSeenServers returns a SeenServers with that capacity.
func NewSeenServers(capacity int) *SeenServers {
	return &SeenServers{capacity: capacity, counts: map[uint64]int{}}
}

// Hash returns what is remembered of a server's id. Two ids with one hash are taken for one server, which at worst lets a
// command for a server that was never listed pass.
func Hash(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// Add remembers that a server has left the list.
func (s *SeenServers) Add(id string) { s.add(Hash(id)) }

// add remembers a server by the hash of its id, in place of the one that left first if the ring is full.
func (s *SeenServers) add(hash uint64) {
	if s.capacity == 0 || s.counts[hash] > 0 {
		return // a server that comes and goes keeps its place: it is listed most of the time anyway
	}
	if len(s.ring) < s.capacity {
		s.ring = append(s.ring, hash)
	} else {
		oldest := s.ring[s.next]
		s.counts[oldest]--
		if s.counts[oldest] == 0 {
			delete(s.counts, oldest)
		}
		s.ring[s.next] = hash
		s.next = (s.next + 1) % s.capacity
	}
	s.counts[hash]++
}

// Has reports whether a server is remembered.
func (s *SeenServers) Has(id string) bool { return s.counts[Hash(id)] > 0 }

// Export returns the hashes of up to limit servers that have left last, the oldest first, for Import in another process.
func (s *SeenServers) Export(limit int) []uint64 {
	oldestFirst := append(append([]uint64(nil), s.ring[s.next:]...), s.ring[:s.next]...)
	return oldestFirst[max(0, len(oldestFirst)-limit):]
}

// Import adds the hashes of another process.
func (s *SeenServers) Import(hashes []uint64) {
	for _, hash := range hashes {
		s.add(hash)
	}
}
