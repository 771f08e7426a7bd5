package adminstate

import "hash/fnv"

// SeenServers remembers servers that were listed once and have left, by a hash of their ids: the latest, as many as it
// was made for. The zero Seen remembers none.
type SeenServers struct {
	ring     []uint64
	next     int
	counts   map[uint64]int // how often in the ring
	capacity int
}

// SeenCapacity is how many ids of servers that left a node remembers: at two replacements a second those of four and
// a half hours, for about 1 MB. A call that names one which left before is told that it was never listed.
const SeenCapacity = 1 << 15

// NewSeenServers remembers so many.
func NewSeenServers(most int) *SeenServers {
	return &SeenServers{capacity: most, counts: map[uint64]int{}}
}

// Hash is what is remembered of an id.
func Hash(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// Add notes that a server has left the list.
func (s *SeenServers) Add(id string) { s.add(Hash(id)) }

func (s *SeenServers) add(h uint64) {
	if s.capacity == 0 || s.counts[h] > 0 {
		return // it stays as old as it is: what comes and goes is listed most of the time
	}
	if len(s.ring) < s.capacity {
		s.ring = append(s.ring, h)
	} else {
		old := s.ring[s.next]
		if s.counts[old]--; s.counts[old] == 0 {
			delete(s.counts, old)
		}
		s.ring[s.next] = h
		s.next = (s.next + 1) % s.capacity
	}
	s.counts[h]++
}

// Has says that a server was listed once and is remembered.
func (s *SeenServers) Has(id string) bool { return s.counts[Hash(id)] > 0 }

// Export gives up to most of the latest, oldest first, for Import in another process.
func (s *SeenServers) Export(most int) []uint64 {
	all := append(append([]uint64(nil), s.ring[s.next:]...), s.ring[:s.next]...)
	return all[max(0, len(all)-most):]
}

// Import adds what another process remembers.
func (s *SeenServers) Import(l []uint64) {
	for _, h := range l {
		s.add(h)
	}
}
