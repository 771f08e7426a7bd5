// Package membership answers, for a node among others, who is there, who it is among them, and how sure that is.
//
// View keeps who is seen to live and turns that, slowly, into who is agreed to be there: what capacity is divided by.
// Roster keeps who must be taken to be able to act, and whether this node may: what rations are divided by. The first may
// err for a while and cost only service; the second must not. Both are pure: time is an argument, elapsed time on the
// node's own clock that goes on while the process is stopped, and what comes out is values. Neither starts anything,
// and neither is safe for use by several goroutines.
//
// It owns no list of servers and makes no decision about a request.
package membership

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

// Bounds of all that others tell.
const (
	MaxName      = 64   // bytes of a member's name
	MaxZone      = 32   // bytes of a zone
	MaxMembers   = 4096 // names that are kept, whatever their state
	MaxPools     = 48   // pools that a card names; a member with more is taken to serve every pool
	MaxCardBytes = 512  // bytes of a card, which is what the gossip carries for each member
)

// Versions of what members say to each other. A member outside of them is not counted as one that takes part, but may
// act: it keeps its part of every ration.
const (
	Protocol    = 1
	MinProtocol = 1
)

// Service is a pool as members compare it: by its name and by what its settings say.
type Service struct{ ID, Digest uint32 }

// Card is what a member says of itself. It does not change while its process runs, but for Pools at a reload.
type Card struct {
	Name     string
	Run      uint64 // drawn at each start: tells processes of one name apart
	Protocol uint8
	Zone     string
	All      bool // it has more pools than a card can name
	Pools    []Service
}

// PoolID is how a card names a pool.
func PoolID(name string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// SortServices brings pools into the order that a card has them in, and leaves out what stands there twice.
func SortServices(l []Service) []Service {
	slices.SortFunc(l, func(a, b Service) int { return cmp.Compare(a.ID, b.ID) })
	return slices.CompactFunc(l, func(a, b Service) bool { return a.ID == b.ID })
}

// serves says whether the member has the pool, and with which settings.
func (c Card) serves(pool uint32) (digest uint32, is bool) {
	i, is := slices.BinarySearchFunc(c.Pools, pool, func(s Service, id uint32) int { return cmp.Compare(s.ID, id) })
	if is {
		return c.Pools[i].Digest, true
	}
	return 0, c.All
}

// ErrCard is the reason for a card that can't be read.
var ErrCard = errors.New("not a member's card")

// Encode writes the card in at most MaxCard bytes.
func (c Card) Encode() []byte {
	pools := SortServices(slices.Clone(c.Pools))
	all := c.All || len(pools) > MaxPools
	if all {
		pools = nil
	}
	b := []byte{c.Protocol, byte(len(c.Name))}
	b = append(b, c.Name...)
	b = append(b, byte(len(c.Zone)))
	b = append(b, c.Zone...)
	b = binary.LittleEndian.AppendUint64(b, c.Run)
	if all {
		return append(b, 0xff)
	}
	b = append(b, byte(len(pools)))
	for _, p := range pools {
		b = binary.LittleEndian.AppendUint32(b, p.ID)
		b = binary.LittleEndian.AppendUint32(b, p.Digest)
	}
	return b
}

// DecodeCard reads a card. What follows it, from a later version, is left unread.
func DecodeCard(b []byte) (Card, error) {
	r := reader{b: b}
	if len(b) > MaxCardBytes {
		return Card{}, fmt.Errorf("%w: %d bytes", ErrCard, len(b))
	}
	c := Card{Protocol: r.byte(), Name: r.text(MaxName), Zone: r.text(MaxZone), Run: r.uint64()}
	if n := r.byte(); n == 0xff {
		c.All = true
	} else if n > MaxPools {
		r.bad = true
	} else {
		for range n {
			s := Service{r.uint32(), r.uint32()}
			if l := len(c.Pools); l > 0 && c.Pools[l-1].ID >= s.ID {
				r.bad = true
			}
			c.Pools = append(c.Pools, s)
		}
	}
	if r.bad || !IsValidName(c.Name) || c.Protocol == 0 {
		return Card{}, ErrCard
	}
	return c, nil
}

// IsValidName says that a name can stand in a log line as it is.
func IsValidName(s string) bool {
	if s == "" || len(s) > MaxName {
		return false
	}
	for _, c := range []byte(s) {
		if c <= ' ' || c >= 0x7f {
			return false
		}
	}
	return true
}

// reader takes a message apart; once something is missing everything is zero and bad stays.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) take(n int) []byte {
	if r.bad || len(r.b) < n {
		r.bad = true
		return make([]byte, min(n, 8)) // only numbers read what is missing
	}
	b := r.b[:n]
	r.b = r.b[n:]
	return b
}

func (r *reader) byte() byte     { return r.take(1)[0] }
func (r *reader) uint16() uint16 { return binary.LittleEndian.Uint16(r.take(2)) }
func (r *reader) uint32() uint32 { return binary.LittleEndian.Uint32(r.take(4)) }
func (r *reader) uint64() uint64 { return binary.LittleEndian.Uint64(r.take(8)) }

func (r *reader) text(most int) string {
	n := int(r.byte())
	if n > most || r.bad || len(r.b) < n {
		r.bad = true
		return ""
	}
	return string(r.take(n))
}

// Change is something that became of a member, for operators.
type Change struct {
	At   time.Duration // elapsed time, see the package comment
	Name string
	What string
	Why  string
}

// history keeps the last changes.
type history []Change

const maxHistory = 20

func (h *history) add(c Change) {
	if *h = append(*h, c); len(*h) > maxHistory {
		*h = slices.Delete(*h, 0, 1)
	}
}
