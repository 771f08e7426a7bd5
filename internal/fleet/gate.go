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
	pool         uint32
	role         atomic.Pointer[Role]
	hearsay      atomic.Pointer[Hearsay]
	parts        atomic.Pointer[Parts]
	broadcast    func(d signal.Digest, to []string) // never waits
	updateDemand func(g *Gate, shares map[string]float64)

	mu      sync.Mutex // guards what follows
	inbox   []peerDigest
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
func (g *Gate) ration(uses map[string]*demand) {
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

func (g *Gate) reportDemand(l map[string]float64) {
	if g.updateDemand != nil {
		g.updateDemand(g, l)
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

// peerDigest is what another member has told.
type peerDigest struct {
	from   string
	run    uint64
	digest signal.Digest
}

// maxInbox bounds the words that wait for the module; of more the oldest are forgotten, for newer ones say more.
const maxInbox = 1024

// Role is the latest, and the part that may be taken by it at that time: +Inf if what it stands on is too old.
func (g *Gate) Role(now time.Duration) (*Role, float64) {
	r := g.role.Load()
	if !r.IsValid(now) && !(mutations.ignoreExpiry && r.Until > 0) {
		return r, math.Inf(1)
	}
	return r, float64(r.Divisor)
}

func (g *Gate) deliver(w peerDigest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.inbox = append(g.inbox, w); len(g.inbox) > maxInbox {
		g.inbox = slices.Delete(g.inbox, 0, 1)
	}
}

func (g *Gate) takeInbox() (l []peerDigest) {
	g.mu.Lock()
	defer g.mu.Unlock()
	l, g.inbox = g.inbox, nil
	return l
}

func (g *Gate) setHearsay(h Hearsay) { g.hearsay.Store(&h) }

func (g *Gate) send(d signal.Digest, to []string) {
	if g.broadcast != nil {
		g.broadcast(d, to)
	}
}

// digestBroadcast is a digest on its way to everybody by the gossip; a later one of the same member and pool takes its place.
type digestBroadcast struct {
	of  string
	msg []byte
}

func (l digestBroadcast) Name() string    { return l.of }
func (l digestBroadcast) Message() []byte { return l.msg }
func (l digestBroadcast) Finished()       {}
func (l digestBroadcast) Invalidates(o memberlist.Broadcast) bool {
	x, is := o.(digestBroadcast)
	return is && x.of == l.of
}

// broadcastDigest sends a digest at once to those who draw from the same servers, and by the gossip to all.
func (f *Fleet) broadcastDigest(d signal.Digest, to []string) {
	b := append([]byte{digestMessage, byte(len(f.cfg.Name))}, f.cfg.Name...)
	b = binary.LittleEndian.AppendUint64(b, f.incarnation)
	b = append(b, d.Encode()...)
	f.mu.Lock()
	l := f.list
	var nodes []memberlist.Node
	for _, name := range to {
		if n, is := f.nodes[name]; is && len(nodes) < maxDirectPeers {
			nodes = append(nodes, n)
		}
	}
	open := l != nil && !f.closed && !f.leaving
	f.mu.Unlock()
	if !open {
		return
	}
	f.broadcasts.QueueBroadcast(digestBroadcast{f.cfg.Name + "\x00" + string(binary.LittleEndian.AppendUint32(nil, d.Pool)), b})
	for i := range nodes {
		f.sent.Add(int64(len(b)))
		l.SendBestEffort(&nodes[i], b)
	}
}

// maxDirectPeers bounds whom a digest goes to directly.
const maxDirectPeers = 64

// told takes a digest, and passes it on as it is if it is news: by the gossip, in the name of who said it.
func (f *Fleet) receiveDigest(b []byte) {
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
	last := f.latestDigests[key]
	news := known && g != nil && (last.run != run || int32(d.Seq-last.digest.Seq) > 0)
	if news {
		f.latestDigests[key] = peerDigest{run: run, digest: signal.Digest{Seq: d.Seq}}
	}
	f.mu.Unlock()
	if !news {
		return
	}
	g.deliver(peerDigest{from, run, d})
	f.broadcasts.QueueBroadcast(digestBroadcast{key, slices.Clone(b)})
}
