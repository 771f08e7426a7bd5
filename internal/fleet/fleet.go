// Package fleet is a node among others: the gossip that finds out who lives, the heartbeats by which members grant each
// other their parts, and the clock that goes on while the process is stopped. What it hears it hands to
// fleet/membership, which decides; what comes out it publishes to the modules of the pools. It decides nothing itself.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"cranegrade/internal/fleet/membership"
	"cranegrade/internal/fleet/shares"
)

// Config is what a member is told at its start.
type Config struct {
	Name      string
	Zone      string
	Listen    string // host:port, for TCP and UDP; it dials from that host, too
	Advertise string // host:port that others reach it at; "": as Listen
	Join      []string
	Key       []byte        // of 16, 24 or 32 bytes; nil: in the clear
	Lease     time.Duration // see membership.Lease; the same at all members
	Nodes     int           // members that start the fleet, at least; the same at all members
	Settle    time.Duration
	Probe     time.Duration // between two probes of members by the gossip
	Pools     []membership.Service
}

// flapForget is how long a member has to be there until one of its flaps is forgiven.
const flapForget = 30 * time.Second

// Fleet is this node among the others. Its methods may be called from any goroutine.
type Fleet struct {
	cfg         Config
	incarnation uint64
	wakeups     chan struct{}
	stop        chan struct{}
	done        sync.WaitGroup

	sent, received atomic.Int64                     // bytes of heartbeats, rosters and digests, without the gossip's own
	broadcasts     *memberlist.TransmitLimitedQueue // digests on their way to all
	known          atomic.Int64                     // members

	mu                 sync.Mutex // guards what follows; never held over a call of the gossip, which calls back under its own lock
	list               *memberlist.Memberlist
	view               *membership.View
	roster             *membership.Roster
	share              membership.Share // as of the last round
	loans              *shares.Book
	nodes              map[string]memberlist.Node // as last heard of, also those that have failed
	gates              map[uint32]*Gate
	pools              map[uint32]string
	rosterSentAt       map[string]time.Duration // when a member was last told the whole roster
	leaving            bool
	stalls             []Stall
	unreadableMessages int // messages that could not be read
	lastRound          time.Duration
	dialing            bool
	retry              time.Duration
	retryAt            time.Duration
	closed             bool
	latestDigests      map[string]peerDigest // that a member told of a pool, without what it said
	failedJoins        int                   // to reach who is lost, in vain
}

// Stall is a time in which this process did not run.
type Stall struct {
	At, For time.Duration
}

// Start has a node join a fleet. It returns at once: whom it can't reach is tried again until it is closed.
func Start(cfg Config) (*Fleet, error) {
	if len(cfg.Key) != 0 {
		if err := memberlist.ValidateKey(cfg.Key); err != nil {
			return nil, fmt.Errorf("fleet: %w", err)
		}
	}
	if cfg.Advertise == "" {
		cfg.Advertise = cfg.Listen
	}
	now := BootTime()
	f := &Fleet{
		cfg:           cfg,
		incarnation:   rand.Uint64(),
		wakeups:       make(chan struct{}, 1),
		stop:          make(chan struct{}),
		nodes:         map[string]memberlist.Node{},
		gates:         map[uint32]*Gate{},
		pools:         map[uint32]string{},
		rosterSentAt:  map[string]time.Duration{},
		latestDigests: map[string]peerDigest{},
		lastRound:     now,
	}
	f.broadcasts = &memberlist.TransmitLimitedQueue{RetransmitMult: 2, NumNodes: func() int { return int(f.known.Load()) + 1 }}
	f.view = membership.NewView(now, f.card(), membership.Settle{After: cfg.Settle, FlapForget: flapForget})
	f.roster = membership.NewRoster(now, cfg.Name, f.incarnation, f.lease())
	f.loans = shares.NewBook(f.lease().MaxLoan())
	if err := f.open(); err != nil {
		if !errors.Is(err, errInUse) {
			return nil, err
		}
		log.Printf("fleet: %v; it is tried again until that is free", err)
	}
	f.done.Go(f.run)
	return f, nil
}

func (f *Fleet) lease() membership.Lease {
	return membership.Lease{Duration: f.cfg.Lease, Nodes: f.cfg.Nodes}
}

func (f *Fleet) card() membership.Card {
	return membership.Card{Name: f.cfg.Name, Run: f.incarnation, Protocol: membership.Protocol, Zone: f.cfg.Zone, Pools: f.cfg.Pools}
}

var errInUse = errors.New("the address is in use")

// open opens the gossip.
func (f *Fleet) open() error {
	host, port, err := split(f.cfg.Listen)
	if err != nil {
		return fmt.Errorf("fleet: listen: %w", err)
	}
	toHost, toPort, err := split(f.cfg.Advertise)
	if err != nil {
		return fmt.Errorf("fleet: advertise: %w", err)
	}
	quiet := &gossipLog{}
	t, err := newTransport(host, port, quiet.logger())
	if err != nil {
		return err
	}
	if toPort == 0 {
		toPort = t.GetAutoBindPort()
	}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Transport, c.BindAddr, c.BindPort, c.AdvertiseAddr, c.AdvertisePort = f.cfg.Name, t, host, t.GetAutoBindPort(), toHost, toPort
	c.Logger, c.SecretKey, c.Label = quiet.logger(), f.cfg.Key, "cranegrade"
	c.ProbeInterval, c.ProbeTimeout = f.cfg.Probe, f.cfg.Probe/2
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = 3, 2 // times the interval and the logarithm of the members
	c.TCPTimeout, c.GossipInterval, c.PushPullInterval = 2*time.Second, min(200*time.Millisecond, f.cfg.Probe), 10*time.Second
	// Members that have failed are gossiped to for so long, so that one that only seemed to have hears it and says no.
	c.GossipToTheDeadTime, c.DeadNodeReclaimTime = time.Minute, time.Millisecond
	c.Delegate, c.Events, c.Conflict, c.Alive = delegate{f}, delegate{f}, delegate{f}, delegate{f}
	l, err := memberlist.Create(c)
	if err != nil {
		t.Shutdown()
		return fmt.Errorf("fleet: %w", err)
	}
	f.mu.Lock()
	closed := f.closed
	f.list, f.retry, f.retryAt = l, 0, BootTime()
	f.mu.Unlock()
	if closed {
		return l.Shutdown()
	}
	log.Printf("fleet: member %s on %s:%d, run %x", f.cfg.Name, host, t.GetAutoBindPort(), f.incarnation)
	return nil
}

func split(addr string) (host string, port int, err error) {
	host, p, err := net.SplitHostPort(addr)
	if err != nil {
		return "", 0, err
	}
	if port, err = strconv.Atoi(p); err != nil {
		return "", 0, err
	}
	return host, port, nil
}

// run heartbeats, and tries again what failed, until the end.
func (f *Fleet) run() {
	every := f.lease().HeartbeatInterval()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var next time.Duration
	for {
		select {
		case <-timer.C:
		case <-f.wakeups:
		case <-f.stop:
			return
		}
		now := BootTime()
		if now >= next {
			f.sendHeartbeats(now)
			next = now + every
		} else {
			f.advance(now)
		}
		f.reconnect(now)
		timer.Reset(max(time.Millisecond, min(next, f.nextChange())-now))
	}
}

// nextChange is when the view wants to be asked again.
func (f *Fleet) nextChange() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at, is := f.view.Next(); is {
		return at
	}
	return math.MaxInt64
}

func (f *Fleet) advance(now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publish(now)
}

// publish has the view and the roster take what has come due, and tells the gates of the pools what they say now. f.mu is held.
func (f *Fleet) publish(now time.Duration) {
	if f.closed {
		return // the gates say that this node has ended
	}
	f.view.Advance(now)
	share := f.roster.Share(now)
	f.share = share
	for pool, g := range f.gates {
		r := f.role(now, pool, share)
		if mutations.publishedRole != nil {
			r = mutations.publishedRole(now, g.role.Load(), r)
		}
		g.role.Store(r)
		own := 0.0
		if r.IsValid(now) {
			own = 1 / float64(r.Divisor)
		}
		g.share(now, f.loans, own)
	}
}

// role is this node's in a pool by one share. f.mu is held.
func (f *Fleet) role(now time.Duration, pool uint32, share membership.Share) *Role {
	r := &Role{Place: f.view.Place(pool), Share: share, At: now}
	if !f.view.Settled() || r.Agreed < 1 {
		// Nobody was heard for long enough: the place is a guess, and most probably another's as well.
		r.Agreed, r.Index = max(f.cfg.Nodes, 1), int(membership.NameID(f.cfg.Name)%uint64(max(f.cfg.Nodes, 1)))
	}
	// Of those whom the share counts only members of the pool spend its rations; who is not known may be one.
	others := 0
	for _, m := range f.view.Members() {
		if share.Counts(m.Name) && f.view.Fits(&m, pool) == membership.Without {
			others++
		}
	}
	r.Divisor = max(1, share.Divisor-others)
	if mutations.role != nil {
		mutations.role(r)
	}
	return r
}

// sendHeartbeats sends a round of heartbeats, and notes how long this process has not run.
func (f *Fleet) sendHeartbeats(now time.Duration) {
	f.mu.Lock()
	if gap := now - f.lastRound; gap > 2*f.lease().HeartbeatInterval() {
		if f.stalls = append(f.stalls, Stall{now, gap}); len(f.stalls) > maxStalls {
			f.stalls = f.stalls[1:]
		}
		log.Printf("fleet: this process did not run for %v; until others are heard again it goes by no share that is older than %v",
			gap.Round(time.Millisecond), f.cfg.Lease)
	}
	f.lastRound = now
	l := f.list
	type addressed struct {
		to memberlist.Node
		b  []byte
	}
	var letters []addressed
	if l != nil && !f.closed {
		f.loans.Forget(now, func(name string) bool { _, is := f.nodes[name]; return is })
		wants := f.loans.Wants()
		for _, name := range f.roster.StartRound(now) {
			if n, is := f.nodes[name]; is {
				b := append([]byte{heartbeatMessage}, f.roster.Heartbeat(name).Encode()...)
				lent := f.loans.Lend(now, name, 1/f.share.DivisorAt(now), f.share.Until, f.share.Counts)
				letters = append(letters, addressed{n, append(b, shares.Encode(wants, lent)...)})
			}
		}
	}
	f.publish(now) // what is lent is not this node's any more before anybody hears of it
	f.mu.Unlock()
	for _, x := range letters {
		f.sent.Add(int64(len(x.b)))
		l.SendBestEffort(&x.to, x.b) // an error is a heartbeat that did not come
	}
}

const maxStalls = 20

// Between tries to reach who is lost, at first and at the most.
const (
	minJoinBackoff = 500 * time.Millisecond
	maxJoinBackoff = 30 * time.Second
	reopenInterval = 100 * time.Millisecond
)

// reconnect opens the gossip if that failed, and looks for members that are not seen: two halves of a fleet that have
// given each other up never meet unless somebody asks.
func (f *Fleet) reconnect(now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dialing || f.closed || f.leaving || now < f.retryAt {
		return
	}
	var lost []string
	for _, m := range f.view.Members() {
		if n, is := f.nodes[m.Name]; is && m.State == membership.Failed {
			lost = append(lost, n.Address())
		}
	}
	if len(f.nodes) == 0 || len(lost) > 0 {
		lost = append(lost, f.cfg.Join...)
	}
	if f.list != nil && len(lost) == 0 {
		f.retry, f.retryAt = 0, now+minJoinBackoff
		return
	}
	f.retry = min(maxJoinBackoff, max(minJoinBackoff, 2*f.retry))
	f.retryAt = now + f.retry/2 + rand.N(f.retry)
	if f.list == nil { // whoever has the address is about to give it up: a predecessor, or a process that has just died
		f.retry, f.retryAt = 0, now+reopenInterval
	}
	f.dialing = true
	l := f.list
	f.done.Go(func() {
		if l == nil {
			if err := f.open(); err != nil && !errors.Is(err, errInUse) {
				log.Print(err)
			}
		} else {
			rand.Shuffle(len(lost), func(i, j int) { lost[i], lost[j] = lost[j], lost[i] })
			if n, err := l.Join(lost[:min(len(lost), 3)]); n == 0 && err != nil {
				f.logJoinFailure(err)
			}
		}
		f.mu.Lock()
		f.dialing = false
		f.mu.Unlock()
		f.wake()
	})
}

// logJoinFailure says why nobody was reached, at first and after ever more tries.
func (f *Fleet) logJoinFailure(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failedJoins++; f.failedJoins&(f.failedJoins-1) == 0 {
		text := strings.Join(strings.Fields(err.Error()), " ")
		log.Printf("fleet: nobody was reached, in %d tries, the last: %s", f.failedJoins, text[:min(len(text), maxLogLine)])
	}
}

func (f *Fleet) wake() {
	select {
	case f.wakeups <- struct{}{}:
	default:
	}
}

// Gate gives a pool's gate, which tells its role from now on.
func (f *Fleet) Gate(name string) *Gate {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := membership.PoolID(name)
	g := f.gates[id]
	if g == nil {
		now := BootTime()
		g = &Gate{pool: id, broadcast: f.broadcastDigest, updateDemand: f.updateDemand}
		g.hearsay.Store(&Hearsay{})
		f.gates[id], f.pools[id] = g, name
		g.role.Store(f.role(now, id, f.roster.Share(now)))
	}
	return g
}

// updateDemand notes what tenants would take at this node.
func (f *Fleet) updateDemand(g *Gate, l map[string]float64) {
	rations := g.rations()
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, share := range l {
		if share < minDemand {
			share = 0
		}
		f.loans.Want(rations[name], share)
	}
}

// minDemand is what a want is worth telling from on.
const minDemand = 0.002

// SetPools tells others that this node's pools are these, after a reload.
func (f *Fleet) SetPools(pools []membership.Service) {
	f.mu.Lock()
	same := slices.Equal(f.cfg.Pools, pools)
	f.cfg.Pools = pools
	f.view.Self(f.card())
	l := f.list
	f.mu.Unlock()
	if !same && l != nil {
		l.UpdateNode(time.Second)
	}
	f.wake()
}

// ErrNoMember says that a name is not on the roster, or is this node's own.
var ErrNoMember = errors.New("no such member")

// Forget takes a member off the roster: whoever calls says that it is dead. One that is not comes back as a new one.
func (f *Fleet) Forget(name string) error {
	f.mu.Lock()
	is := f.roster.Remove(BootTime(), name)
	f.mu.Unlock()
	if !is {
		return fmt.Errorf("%w: %q", ErrNoMember, name)
	}
	log.Printf("fleet: %s is taken off the roll by hand", name)
	f.wake()
	return nil
}

// Leave has this node act no more and tells the others, who take its part over. It returns once that is said, or ctx ends.
func (f *Fleet) Leave(ctx context.Context) {
	f.mu.Lock()
	now := BootTime()
	f.leaving = true
	f.roster.Leave(now)
	f.publish(now)
	l := f.list
	f.mu.Unlock()
	f.sendHeartbeats(now)
	if l == nil {
		return
	}
	limit := time.Second
	if end, is := ctx.Deadline(); is {
		limit = time.Until(end)
	}
	if limit > 0 {
		l.Leave(limit)
	}
	f.sendHeartbeats(BootTime()) // a lost heartbeat would have the others wait for a roster
}

// Close ends it; without Leave others miss this node and take it for failed.
func (f *Fleet) Close() {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.closed = true
	l := f.list
	for _, g := range f.gates {
		r := *g.role.Load()
		r.Share = membership.Share{Divisor: r.Share.Divisor, Reason: "this node has ended"}
		g.role.Store(&r)
	}
	f.mu.Unlock()
	close(f.stop)
	if l != nil {
		l.Shutdown()
	}
	f.done.Wait()
}
