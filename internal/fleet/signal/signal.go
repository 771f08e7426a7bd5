// Package signal is what members tell each other of servers: a small digest of what each has itself seen, and what is
// made of others'. It is pure; time is an argument.
//
// A word of others is a reason to be careful, never a fact: it puts a server aside for a bounded time, until this
// member's turn to try it comes, and is forgotten when its own calls there end well. What one member says moves little:
// one that accuses much of what it draws from is not believed at all, for it is likelier sick itself; one whose word
// was not borne out is not believed of that server for a while; and of all servers only a few are put aside at a time,
// which the module bounds once more. Nothing heard is passed on as seen.
package signal

import (
	"cmp"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"slices"
	"time"
)

// Bounds of a digest: it fits a datagram of 256 bytes.
const (
	MaxDigest = 256
	MaxFacts  = 24
	header    = 12
	factSize  = 9
)

// Fact is what a member has itself seen of a server of late.
type Fact struct {
	Server    uint32 // see ID
	Boot      uint8  // of its start: one that started anew is another
	Bad, Good uint8  // endings within the last seconds
	Streak    uint8  // bad ones since the last good one
	Age       uint8  // of the last ending, in tenths of a second
}

// Digest is what a member tells.
type Digest struct {
	Pool  uint32
	Seq   uint32 // grows with each
	Draws uint16 // servers that it draws from
	Facts []Fact // the most useful first
}

// ID names a server in a digest.
func ID(server string) uint32 {
	h := fnv.New32a()
	h.Write([]byte(server))
	return h.Sum32()
}

// BootByte names a server's start in a digest.
func BootByte(boot time.Duration) uint8 {
	n := uint64(boot / time.Millisecond)
	return uint8(n ^ n>>8 ^ n>>16 ^ n>>24)
}

const version = 1

// Encode writes the digest in at most MaxDigest bytes.
func (d Digest) Encode() []byte {
	e := binary.LittleEndian
	facts := d.Facts[:min(len(d.Facts), MaxFacts)]
	b := append(make([]byte, 0, MaxDigest), version)
	b = e.AppendUint32(b, d.Pool)
	b = e.AppendUint32(b, d.Seq)
	b = e.AppendUint16(b, d.Draws)
	b = append(b, byte(len(facts)))
	for _, f := range facts {
		b = e.AppendUint32(b, f.Server)
		b = append(b, f.Boot, f.Bad, f.Good, f.Streak, f.Age)
	}
	return b
}

// ErrDigest is the reason for a message that is no digest.
var ErrDigest = errors.New("not a digest")

// Decode reads a digest. What follows it, from a later version, is left unread.
func Decode(b []byte) (Digest, error) {
	if len(b) < header || b[0] != version {
		return Digest{}, ErrDigest
	}
	e := binary.LittleEndian
	d := Digest{Pool: e.Uint32(b[1:]), Seq: e.Uint32(b[5:]), Draws: e.Uint16(b[9:])}
	n := int(b[11])
	if n > MaxFacts || len(b) < header+n*factSize {
		return Digest{}, ErrDigest
	}
	for b = b[header:]; n > 0; n, b = n-1, b[factSize:] {
		d.Facts = append(d.Facts, Fact{e.Uint32(b), b[4], b[5], b[6], b[7], b[8]})
	}
	return d, nil
}

// Times that words hold for.
const (
	span    = 4 * time.Second        // that Bad and Good are of, at the most
	fresh   = 3 * time.Second        // an accusation that is older is none
	defends = 2 * time.Second        // and a defence
	step    = 300 * time.Millisecond // between turns: longer than a word takes to those who draw from the same
	hold    = 500 * time.Millisecond // that a server is put aside at first, doubled with each try that ends badly
	doubles = 3
	longest = hold<<doubles + 8*step // the most
	doubt   = 20 * time.Second       // for which a member is not believed of a server that it was wrong about
)

// Bounds on what words may do.
const (
	run       = 2   // bad endings in a row, over all members, that put a server aside; no member counts for more
	single    = 2   // times in a row that one member's word is enough, unless this one has tried the server since
	ownShare  = 0.4 // of the servers that a member draws from: if it accuses more than that, and more than one, it is the sick one
	listShare = 0.1 // of the list, and one at the least, that is put aside on single words
)

// server is what is known of one.
type server struct {
	id   uint32
	name string
	boot time.Duration
	// Seen by this member.
	bad, good, streak int
	since             time.Duration // that bad and good are counted from
	last, lastGood    time.Duration
	// Heard.
	epoch    uint64        // counts the tries that it was put aside for
	evidence time.Duration // the latest bad ending anywhere that was weighed
	until    time.Duration // put aside
	by       []string
	alone    int // times in a row that a single member's word was enough, and this one had not tried it
}

// Book is what one member has seen and heard of the servers of a pool.
type Book struct {
	pool    uint32
	me      uint64
	servers map[string]*server
	byID    map[uint32]*server
	others  map[string]*other
	draws   int
	seq     uint32
	doubts  map[[2]uint64]time.Duration // of a member and a server, until when

	// TrustUnbounded takes away the bounds on what others' digests may do. False in service: package fleet's mutations set it.
	TrustUnbounded bool
}

// other is a member's last digest.
type other struct {
	name  uint64
	seq   uint32
	run   uint64
	at    time.Duration
	facts []Fact
	draws int
}

// MaxOthers bounds the members whose words are kept.
const MaxOthers = 4096

// NewBook returns an empty book of a pool; me is a hash of this member's name.
func NewBook(pool uint32, me uint64) *Book {
	return &Book{pool: pool, me: me, servers: map[string]*server{}, byID: map[uint32]*server{}, others: map[string]*other{}, doubts: map[[2]uint64]time.Duration{}}
}

// List tells the servers that there are, and how many of them this member draws from.
func (b *Book) List(boots map[string]time.Duration, draws int) {
	b.draws = draws
	for name, s := range b.servers {
		if _, is := boots[name]; !is {
			delete(b.servers, name)
			delete(b.byID, s.id)
		}
	}
	for name, boot := range boots {
		s := b.servers[name]
		if s == nil || s.boot != boot {
			s = &server{id: ID(name), name: name, boot: boot}
			b.servers[name], b.byID[s.id] = s, s // of two that share an id one is spoken of, and BootByte tells them apart mostly
		}
	}
}

// Ended notes how a call there ended; told false: it says nothing of the server's health.
func (b *Book) Ended(now time.Duration, name string, bad, told bool) {
	s := b.servers[name]
	if s == nil || !told {
		return
	}
	if now-s.since > span {
		s.since, s.bad, s.good = now, s.bad/2, s.good/2
	}
	s.last = now
	if bad {
		s.bad++
		s.streak++
		return
	}
	s.good++
	s.streak, s.lastGood = 0, now
	s.until = min(s.until, now)
	// Who accused it was wrong, or speaks of its own way to it.
	for _, o := range b.others { // in any order
		if f, is := o.fact(s); is && accuses(f) && now-o.at < fresh {
			b.doubts[[2]uint64{o.name, uint64(s.id)}] = now + doubt
		}
	}
}

// clear forgets what others said of a server.
func (s *server) clear() { s.until, s.epoch, s.by, s.alone = 0, 0, nil, 0 }

func (o *other) fact(s *server) (Fact, bool) {
	for _, f := range o.facts {
		if f.Server == s.id && f.Boot == BootByte(s.boot) {
			return f, true
		}
	}
	return Fact{}, false
}

func accuses(f Fact) bool { return f.Streak > 0 && f.Bad > 0 }

// Digest is what this member tells now; false: it has nothing to tell. Accusations come first, then what others accuse
// and this member finds well.
func (b *Book) Digest(now time.Duration) (Digest, bool) {
	type told struct {
		Fact
		worth int
	}
	var l []told
	for _, s := range b.servers {
		if s.last == 0 || now-s.last > fresh {
			continue
		}
		f := Fact{
			Server: s.id, Boot: BootByte(s.boot), Bad: uint8(min(s.bad, 255)), Good: uint8(min(s.good, 255)), Streak: uint8(min(s.streak, 255)),
			Age: uint8(min((now-s.last)/(100*time.Millisecond), 255)),
		}
		worth := 0
		switch {
		case accuses(f):
			worth = 1000 + s.streak
		case s.by != nil && s.good > 0 && s.streak == 0:
			worth = 500
		case s.bad > 0:
			worth = s.bad
		}
		if worth > 0 {
			l = append(l, told{f, worth})
		}
	}
	if len(l) == 0 {
		return Digest{}, false
	}
	slices.SortFunc(l, func(x, y told) int { return cmp.Or(cmp.Compare(y.worth, x.worth), cmp.Compare(x.Server, y.Server)) })
	b.seq++
	d := Digest{Pool: b.pool, Seq: b.seq, Draws: uint16(min(b.draws, 65535))}
	for _, x := range l[:min(len(l), MaxFacts)] {
		d.Facts = append(d.Facts, x.Fact)
	}
	return d, true
}

// Heard takes another member's digest; run is its process, whose numbers begin anew.
func (b *Book) Heard(now time.Duration, from string, member, run uint64, d Digest) {
	o := b.others[from]
	if o == nil {
		if len(b.others) >= MaxOthers {
			for name, x := range b.others {
				if now-x.at > 10*fresh {
					delete(b.others, name)
				}
			}
			if len(b.others) >= MaxOthers {
				return
			}
		}
		o = &other{}
		b.others[from] = o
	}
	if o.run == run && int32(d.Seq-o.seq) <= 0 {
		return // late, or again
	}
	*o = other{name: member, seq: d.Seq, run: run, at: now, facts: d.Facts, draws: int(d.Draws)}
}

// believed says that a member's accusations are to be taken at their word at all: one that has much to complain of is
// likelier sick itself, or cut off.
func (o *other) believed() bool {
	n := 0
	for _, f := range o.facts {
		if accuses(f) {
			n++
		}
	}
	return n <= max(1, int(ownShare*float64(o.draws)))
}

// Verdict is what is made of others' words of a server.
type Verdict struct {
	Server string
	Boot   time.Duration
	Until  time.Duration // it is put aside until then
	By     []string      // on whose word, by name
}

// weigh is what others say of a server now: how many bad endings in a row they have together, no member counting for more than
// it takes, and when the latest was; and whether anybody found it well since.
func (b *Book) weigh(now time.Duration, s *server, believed map[*other]bool) (by []string, bad int, latest time.Duration, well bool) {
	good := time.Duration(0)
	for from, o := range b.others {
		f, is := o.fact(s)
		if !is {
			continue
		}
		at := o.at - time.Duration(f.Age)*100*time.Millisecond
		switch {
		case now-at > fresh:
		case accuses(f) && believed[o] && (b.TrustUnbounded || b.doubts[[2]uint64{o.name, uint64(s.id)}] == 0):
			by = append(by, from)
			bad += min(int(f.Streak), run)
			latest = max(latest, at)
		case f.Streak == 0 && f.Good > 0:
			good = max(good, at)
		}
	}
	slices.Sort(by)
	return by, bad, latest, good > latest
}

// Verdicts are the servers that are put aside now, until when, and on whose word; among gives hashes of the names of the members that
// draw from a server, whose turns decide who tries it first.
func (b *Book) Verdicts(now time.Duration, among func(server string) []uint64, place func(subject, epoch uint64, among []uint64, me uint64) int) (l []Verdict) {
	for k, until := range b.doubts {
		if now >= until {
			delete(b.doubts, k)
		}
	}
	believed := map[*other]bool{}
	spoken := map[*server]bool{}
	for _, o := range b.others {
		if believed[o] = o.believed() || b.TrustUnbounded; now-o.at > fresh {
			continue
		}
		for _, f := range o.facts {
			if s := b.byID[f.Server]; s != nil && f.Boot == BootByte(s.boot) {
				spoken[s] = true
			}
		}
	}
	for s := range spoken {
		by, bad, latest, well := b.weigh(now, s, believed)
		own := s.streak == 0 && s.lastGood > latest
		switch {
		case (own || well && s.streak == 0) && !b.TrustUnbounded:
			s.until = min(s.until, now)
		case b.TrustUnbounded && len(by) > 0:
			s.until, s.by = now+longest, by
		case now < s.until || len(by) == 0 || bad+min(s.streak, run) < run || latest <= s.evidence:
			// Nothing new; and what comes while it is put aside is not of a try that was due.
		case len(by) == 1 && s.alone >= single && s.last <= s.until:
			// One member's word has been enough often enough: now this one tries it itself.
		default:
			// It is put aside, for longer each time that a try ended so, until this member's turn to try it.
			s.epoch++
			if s.alone++; len(by) > 1 || s.last > s.until {
				s.alone = 1
			}
			turn := min(place(uint64(s.id), s.epoch, among(s.name), b.me), 8)
			s.evidence, s.by = latest, by
			s.until = now + hold<<min(s.epoch-1, doubles) + time.Duration(turn)*step
		}
	}
	for _, s := range b.servers {
		if now < s.until {
			l = append(l, Verdict{s.name, s.boot, s.until, s.by})
		} else if s.epoch > 0 && now-s.until > 2*longest {
			s.clear()
		}
	}
	// The most accused first, and of those with a single accuser only so many.
	slices.SortFunc(l, func(x, y Verdict) int {
		return cmp.Or(cmp.Compare(len(y.By), len(x.By)), cmp.Compare(x.Server, y.Server))
	})
	alone, most := 0, max(1, int(listShare*float64(len(b.servers))))
	return slices.DeleteFunc(l, func(v Verdict) bool {
		if len(v.By) == 1 {
			alone++
		}
		return len(v.By) == 1 && alone > most && !b.TrustUnbounded
	})
}
