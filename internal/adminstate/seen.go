package adminstate

import "hash/fnv"

// Seen remembers servers that were listed once and have left, by a hash of their ids: the latest, as many as it
// was made for. The zero Seen remembers none.
type Seen struct {
	ring []uint64
	next int
	has  map[uint64]int // how often in the ring
	most int
}

// MostSeen is how many ids of servers that left a node remembers: at two replacements a second those of four and
// a half hours, for about 1 MB. A call that names one which left before is told that it was never listed.
const MostSeen = 1 << 15

// NewSeen remembers so many.
func NewSeen(most int) *Seen { return &Seen{most: most, has: map[uint64]int{}} }

// Hash is what is remembered of an id.
func Hash(id string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(id))
	return h.Sum64()
}

// Add notes that a server has left the list.
func (s *Seen) Add(id string) { s.add(Hash(id)) }

func (s *Seen) add(h uint64) {
	if s.most == 0 || s.has[h] > 0 {
		return // it stays as old as it is: what comes and goes is listed most of the time
	}
	if len(s.ring) < s.most {
		s.ring = append(s.ring, h)
	} else {
		old := s.ring[s.next]
		if s.has[old]--; s.has[old] == 0 {
			delete(s.has, old)
		}
		s.ring[s.next] = h
		s.next = (s.next + 1) % s.most
	}
	s.has[h]++
}

// Has says that a server was listed once and is remembered.
func (s *Seen) Has(id string) bool { return s.has[Hash(id)] > 0 }

// Export gives up to most of the latest, oldest first, for Import in another process.
func (s *Seen) Export(most int) []uint64 {
	all := append(append([]uint64(nil), s.ring[s.next:]...), s.ring[:s.next]...)
	return all[max(0, len(all)-most):]
}

// Import adds what another process remembers.
func (s *Seen) Import(l []uint64) {
	for _, h := range l {
		s.add(h)
	}
}
