package fleet

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"cranegrade/internal/fleet/membership"
	"cranegrade/internal/fleet/shares"
	"cranegrade/internal/fleet/signal"
)

// Role is what this node is in a pool.
type Role struct {
	membership.Place
	membership.Share
	Divisor int // by which the pool's rations are divided
	At      time.Duration
}

// Hearsay is what a pool's module goes by of what others have told.
type Hearsay struct {
	Verdicts []signal.Verdict
	Set      []string // servers that it draws from; nil: all, or cut by number
	Moving   bool     // it is on its way to another set
}

// Gate is where a pool's module and the fleet meet: its role, which is read at each decision, what others have seen, and
// what it has seen itself.
type Gate struct {
	pool  uint32
	role  atomic.Pointer[Role]
	heard atomic.Pointer[Hearsay]
	parts atomic.Pointer[Parts]
	tell  func(d signal.Digest, to []string) // never waits
	wants func(g *Gate, shares map[string]float64)

	mu      sync.Mutex // guards what follows
	inbox   []word
	tenants map[string]shares.Ration
}

// Parts are this node's of the quotas of tenants.
type Parts struct {
	Of    map[string]float64 // 0 to 1; nil: all are as the divisor says
	Until time.Duration      // when less is its own again, if nothing more is heard
	Then  *Parts             // from then on
}

// quotas are the parts at that time. The same pointer is the same parts.
func (g *Gate) quotas(now time.Duration) *Parts {
	p := g.parts.Load()
	if p == nil {
		return noParts
	}
	if now >= p.Until && p.Then != nil {
		return p.Then
	}
	return p
}

var noParts = &Parts{}

// ration tells which tenants of the pool have quotas.
func (g *Gate) ration(uses map[string]*use) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tenants = map[string]shares.Ration{}
	for name := range uses {
		h := fnv.New32a()
		h.Write(binary.LittleEndian.AppendUint32(nil, g.pool))
		h.Write([]byte(name))
		g.tenants[name] = shares.Ration(h.Sum32())
	}
}

func (g *Gate) rations() map[string]shares.Ration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.tenants
}

func (g *Gate) want(l map[string]float64) {
	if g.wants != nil {
		g.wants(g, l)
	}
}

// share publishes what the book gives of each quota; own is the node's part of the pool's divisor, 0: none.
func (g *Gate) share(now time.Duration, b *shares.Book, own float64) {
	tenants := g.rations()
	if len(tenants) == 0 {
		return
	}
	p := &Parts{Of: map[string]float64{}, Until: 1 << 62, Then: &Parts{Of: map[string]float64{}, Until: 1 << 62}}
	for name, r := range tenants {
		part, until := b.Part(now, r, own)
		p.Of[name], p.Until = part, min(p.Until, until)
		p.Then.Of[name] = max(0, own-b.Lent(now, r))
	}
	was := g.quotas(now)
	if was != noParts && now < p.Until && similar(was.Of, p.Of) && was.Until == p.Until {
		return
	}
	g.parts.Store(p)
}

// similar says that two sets of parts are the same but for a little that is more.
func similar(was, is map[string]float64) bool {
	for name, part := range is {
		if w, known := was[name]; !known || part < w-1e-9 || part > w+0.01 {
			return false
		}
	}
	return len(was) == len(is)
}

// word is what another member has told.
type word struct {
	from   string
	run    uint64
	digest signal.Digest
}

// maxInbox bounds the words that wait for the module; of more the oldest are forgotten, for newer ones say more.
const maxInbox = 1024

// Role is the latest, and the part that may be taken by it at that time: +Inf if what it stands on is too old.
func (g *Gate) Role(now time.Duration) (*Role, float64) {
	r := g.role.Load()
	if !r.Standing(now) && !(plantStalled && r.Until > 0) {
		return r, math.Inf(1)
	}
	return r, float64(r.Divisor)
}

func (g *Gate) put(w word) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inbox = append(g.inbox, w); len(g.inbox) > maxInbox {
		g.inbox = slices.Delete(g.inbox, 0, 1)
	}
}

func (g *Gate) hear() (l []word) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l, g.inbox = g.inbox, nil
	return l
}

func (g *Gate) heardOf(h Hearsay) { g.heard.Store(&h) }

func (g *Gate) speak(d signal.Digest, to []string) {
	if g.tell != nil {
		g.tell(d, to)
	}
}

// letter is a digest on its way to everybody by the gossip; a later one of the same member and pool takes its place.
type letter struct {
	of  string
	msg []byte
}

func (l letter) Name() string    { return l.of }
func (l letter) Message() []byte { return l.msg }
func (l letter) Finished()       {}
func (l letter) Invalidates(o memberlist.Broadcast) bool {
	x, is := o.(letter)
	return is && x.of == l.of
}

// say sends a digest at once to those who draw from the same servers, and by the gossip to all.
func (f *Fleet) say(d signal.Digest, to []string) {
	b := append([]byte{signalMessage, byte(len(f.cfg.Name))}, f.cfg.Name...)
	b = binary.LittleEndian.AppendUint64(b, f.run)
	b = append(b, d.Encode()...)
	f.mu.Lock()
	l := f.list
	var nodes []memberlist.Node
	for _, name := range to {
		if n, is := f.nodes[name]; is && len(nodes) < maxBeside {
			nodes = append(nodes, n)
		}
	}
	open := l != nil && !f.closed && !f.leaving
	f.mu.Unlock()
	if !open {
		return
	}
	f.news.QueueBroadcast(letter{f.cfg.Name + "\x00" + string(binary.LittleEndian.AppendUint32(nil, d.Pool)), b})
	for i := range nodes {
		f.sent.Add(int64(len(b)))
		l.SendBestEffort(&nodes[i], b)
	}
}

// maxBeside bounds whom a digest goes to directly.
const maxBeside = 64

// told takes a digest, and passes it on as it is if it is news: by the gossip, in the name of who said it.
func (f *Fleet) toldOf(b []byte) {
	if len(b) < 2 || int(b[1]) > membership.MaxName || len(b) < 2+int(b[1])+8 {
		f.unreadable(signal.ErrDigest)
		return
	}
	from := string(b[2 : 2+int(b[1])])
	run := binary.LittleEndian.Uint64(b[2+int(b[1]):])
	d, err := signal.Decode(b[2+int(b[1])+8:])
	if err != nil {
		f.unreadable(err)
		return
	}
	f.mu.Lock()
	_, known := f.nodes[from]
	g := f.gates[d.Pool]
	key := from + "\x00" + string(binary.LittleEndian.AppendUint32(nil, d.Pool))
	last := f.lastWord[key]
	news := known && g != nil && (last.run != run || int32(d.Seq-last.digest.Seq) > 0)
	if news {
		f.lastWord[key] = word{run: run, digest: signal.Digest{Seq: d.Seq}}
	}
	f.mu.Unlock()
	if !news {
		return
	}
	g.put(word{from, run, d})
	f.news.QueueBroadcast(letter{key, slices.Clone(b)})
}
