package fleet

import (
	"context"
	"errors"
	"fmt"
	"log"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"cranegrade/internal/fleet/membership"
	"cranegrade/internal/fleet/shares"
)

// Fleet is this node's membership in a fleet. Its methods may be called from any goroutine.
type Fleet struct {
	config      Config // Pools is guarded by mu
	incarnation uint64
	wakeups     chan struct{}  // has run look what is due
	stop        chan struct{}  // closed by Close
	tasks       sync.WaitGroup // all goroutines; Close waits for them

	bytesSent, bytesReceived atomic.Int64                     // of heartbeats, rosters and digests, without the gossip's own messages
	digestQueue              *memberlist.TransmitLimitedQueue // digests that the gossip sends to all
	knownMembers             atomic.Int64                     // len(nodes), for digestQueue

	// mu guards what follows. It must not be held during a call of the gossip, which calls the delegate under its own lock.
	mu                 sync.Mutex
	gossip             *memberlist.Memberlist // nil while its address is in use, or before it is opened
	view               *membership.View
	roster             *membership.Roster
	share              membership.Share // as last published
	loans              *shares.LoanTable
	nodes              map[string]memberlist.Node // other members as last heard of, also those that have failed
	pools              map[uint32]*Pool           // by membership.PoolID
	rosterSentAt       map[string]time.Duration   // by member
	latestDigests      map[string]digestVersion   // by digestKey
	unreadableMessages int
	stalls             []Stall // the latest
	lastRoundAt        time.Duration
	leaving            bool
	closed             bool

	// See reconnect.
	connecting     bool
	connectBackoff time.Duration
	connectAt      time.Duration
	failedJoins    int
}

// Stall is a time in which this process did not run.
type Stall struct {
	At  time.Duration // its end
	For time.Duration
}

// maxStalls bounds the stalls that are kept for operators.
const maxStalls = 20

// Start has this node join a fleet, and returns at once: members that can't be reached, and an address that is in use, are tried again
// until Close. An error says that the configuration can't be used, or that its address can't be listened on.
func Start(config Config) (*Fleet, error) {
	if len(config.Key) != 0 {
		if err := memberlist.ValidateKey(config.Key); err != nil {
			return nil, fmt.Errorf("fleet: key: %w", err)
		}
	}
	if config.Advertise == "" {
		config.Advertise = config.Listen
	}
	now := BootTime()
	f := &Fleet{
		config:        config,
		incarnation:   rand.Uint64(),
		wakeups:       make(chan struct{}, 1),
		stop:          make(chan struct{}),
		loans:         shares.NewLoanTable(config.lease().MaxLoan()),
		nodes:         map[string]memberlist.Node{},
		pools:         map[uint32]*Pool{},
		rosterSentAt:  map[string]time.Duration{},
		latestDigests: map[string]digestVersion{},
		lastRoundAt:   now,
	}
	f.digestQueue = &memberlist.TransmitLimitedQueue{
		RetransmitMult: digestRetransmitMult,
		NumNodes:       func() int { return int(f.knownMembers.Load()) + 1 },
	}
	f.view = membership.NewView(now, f.metadata(), config.damping())
	f.roster = membership.NewRoster(now, config.Name, f.incarnation, config.lease())
	if err := f.openGossip(); err != nil {
		if !errors.Is(err, errAddressInUse) {
			return nil, err
		}
		log.Printf("fleet: %v; it is tried again until it is free", err)
	}
	f.tasks.Go(f.run)
	return f, nil
}

// metadata is this member's own. The caller holds f.mu, but for Start.
func (f *Fleet) metadata() membership.Metadata {
	return membership.Metadata{
		Name:        f.config.Name,
		Incarnation: f.incarnation,
		Protocol:    membership.Protocol,
		Zone:        f.config.Zone,
		Pools:       f.config.Pools,
	}
}

// wake has run look what is due. It does not block.
func (f *Fleet) wake() {
	select {
	case f.wakeups <- struct{}{}:
	default:
	}
}

// Pool returns the pool of that name, whose role is kept up to date from now on.
func (f *Fleet) Pool(name string) *Pool {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := membership.PoolID(name)
	p := f.pools[id]
	if p == nil {
		p = newPool(name)
		p.broadcast = f.broadcastDigest
		p.updateDemand = f.updateDemand
		f.pools[id] = p
		now := BootTime()
		p.role.Store(f.role(now, id, f.roster.Share(now)))
	}
	return p
}

// SetPools announces this node's pools to the other members, after a reload.
func (f *Fleet) SetPools(pools []membership.PoolDigest) {
	f.mu.Lock()
	same := slices.Equal(f.config.Pools, pools)
	f.config.Pools = pools
	f.view.SetSelf(f.metadata())
	gossip := f.gossip
	f.mu.Unlock()
	if !same && gossip != nil {
		_ = gossip.UpdateNode(updateTimeout) // members that it did not reach in time learn it by the gossip later
	}
	f.wake()
}

// updateTimeout bounds how long SetPools waits for the others.
const updateTimeout = time.Second

// ErrNoMember is the error of Forget for a name that is not on the roster, or is this node's own.
var ErrNoMember = errors.New("no such member")

// Forget removes a member from the roster. The caller vouches that it is dead; if it is not, it comes back as a new member.
func (f *Fleet) Forget(name string) error {
	f.mu.Lock()
	removed := f.roster.Remove(BootTime(), name)
	f.mu.Unlock()
	if !removed {
		return fmt.Errorf("%w: %q", ErrNoMember, name)
	}
	log.Printf("fleet: an operator has removed member %s from the roster", name)
	f.wake()
	return nil
}

// Leave has this node stop acting, and announces that to the other members, who take over its share. It returns once that is sent, and at
// ctx's deadline at the latest, or after leaveTimeout if ctx has none.
func (f *Fleet) Leave(ctx context.Context) {
	f.mu.Lock()
	now := BootTime()
	f.leaving = true
	f.roster.Leave(now)
	f.publish(now)
	gossip := f.gossip
	f.mu.Unlock()
	f.sendHeartbeats(now)
	if gossip == nil {
		return
	}
	timeout := leaveTimeout
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	if timeout > 0 {
		_ = gossip.Leave(timeout) // members that it did not reach in time take over the share later
	}
	f.sendHeartbeats(BootTime()) // once more: if a heartbeat is lost the others learn it only from a roster
}

// leaveTimeout bounds a Leave whose context has no deadline.
const leaveTimeout = time.Second

// Close ends the membership and waits for its goroutines. Without a Leave before the others find that this node has failed.
func (f *Fleet) Close() {
	f.mu.Lock()
	if f.closed {
		f.mu.Unlock()
		return
	}
	f.closed = true
	gossip := f.gossip
	for _, p := range f.pools {
		role := *p.role.Load()
		role.Share = membership.Share{Divisor: role.Share.Divisor, Reason: "this node has ended"}
		p.role.Store(&role)
	}
	f.mu.Unlock()
	close(f.stop)
	if gossip != nil {
		_ = gossip.Shutdown() // there is nothing left to do about a failure
	}
	f.tasks.Wait()
}
