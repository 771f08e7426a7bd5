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
	wakeups     chan struct{}  // makes run check for due work at once
	stop        chan struct{}  // closed by Close
	tasks       sync.WaitGroup // all goroutines; Close waits for them

	bytesSent, bytesReceived atomic.Int64                     // heartbeats, rosters and digests; memberlist's own messages are not counted
	digestQueue              *memberlist.TransmitLimitedQueue // digests that the gossip spreads to all members
	otherMemberCount         atomic.Int64                     // len(nodes); digestQueue reads it without mu

	// mu guards the fields below. It must not be held while calling memberlist, which calls the delegate under its own lock.
	mu                sync.Mutex
	gossip            *memberlist.Memberlist // nil until its address could be bound
	view              *membership.View
	roster            *membership.Roster
	share             membership.Share // as of the last publish
	loans             *shares.LoanTable
	nodes             map[string]memberlist.Node // other members, including failed ones, with their last address
	pools             map[uint32]*Pool           // by membership.PoolID
	rosterSentAt      map[string]time.Duration   // when a roster was last sent, by member
	latestDigests     map[string]digestVersion   // by digestKey
	malformedMessages int
	stalls            []Stall // the latest maxStalls
	lastRoundAt       time.Duration
	leaving           bool
	closed            bool

	// State of reconnect.
	connecting     bool
	connectBackoff time.Duration
	connectAt      time.Duration
	failedJoins    int
}

// Stall is a period in which this process did not run.
type Stall struct {
	EndedAt  time.Duration
	Duration time.Duration
}

// maxStalls is how many stalls are kept for Status.
const maxStalls = 20

// Start makes this node join a fleet. It returns without waiting for other members: unreachable members, and a listen address that is in
// use, are retried until Close. It returns an error if the configuration is invalid or the address can't be listened on.
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
		NumNodes:       func() int { return int(f.otherMemberCount.Load()) + 1 },
	}
	f.view = membership.NewView(now, f.metadata(), config.damping())
	f.roster = membership.NewRoster(now, config.Name, f.incarnation, config.lease())
	if err := f.openGossip(); err != nil {
		if !errors.Is(err, errAddressInUse) {
			return nil, err
		}
		log.Printf("fleet: %v; retrying until it is free", err)
	}
	f.tasks.Go(f.run)
	return f, nil
}

// metadata returns this member's metadata. The caller holds f.mu, except in Start, before f is shared.
func (f *Fleet) metadata() membership.Metadata {
	return membership.Metadata{
		Name:        f.config.Name,
		Incarnation: f.incarnation,
		Protocol:    membership.Protocol,
		Zone:        f.config.Zone,
		Pools:       f.config.Pools,
	}
}

// wake makes run check for due work at once. It does not block.
func (f *Fleet) wake() {
	select {
	case f.wakeups <- struct{}{}:
	default:
	}
}

// Pool returns the pool of that name. The first call creates it; its role is kept up to date from then on.
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
		p.role.Store(f.deriveRole(now, id, f.roster.Share(now)))
	}
	return p
}

// SetPools replaces this node's pools after a reload, and announces them to the other members.
func (f *Fleet) SetPools(pools []membership.PoolDigest) {
	f.mu.Lock()
	same := slices.Equal(f.config.Pools, pools)
	f.config.Pools = pools
	f.view.SetSelf(f.metadata())
	gossip := f.gossip
	f.mu.Unlock()
	if !same && gossip != nil {
		_ = gossip.UpdateNode(updateTimeout) // on a time-out the remaining members learn of it through later gossip
	}
	f.wake()
}

// updateTimeout bounds how long SetPools waits until the update has been gossiped.
const updateTimeout = time.Second

// ErrNoMember is returned by Forget for a name that is not on the roster, or is this node's own.
var ErrNoMember = errors.New("no such member")

// Forget removes a member from the roster. The caller must be sure that the member is dead; a live one rejoins as a new member.
func (f *Fleet) Forget(name string) error {
	f.mu.Lock()
	removed := f.roster.Remove(BootTime(), name)
	f.mu.Unlock()
	if !removed {
		return fmt.Errorf("%w: %q", ErrNoMember, name)
	}
	log.Printf("fleet: member %s was removed from the roster by an operator", name)
	f.wake()
	return nil
}

// Leave makes this node stop using its share, and announces its departure to the other members, which take over the share. It returns once
// the announcement is sent, or at ctx's deadline, or after leaveTimeout if ctx has no deadline.
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
		_ = gossip.Leave(timeout) // members that miss the announcement take over the share later, by the lease
	}
	f.sendHeartbeats(BootTime()) // again: a member that misses the heartbeat learns of the departure only from a roster
}

// leaveTimeout bounds a Leave whose context has no deadline.
const leaveTimeout = time.Second

// Close ends the membership and waits for its goroutines. Without a preceding Leave the other members detect this node as failed.
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
		_ = gossip.Shutdown() // nothing can be done about an error here
	}
	f.tasks.Wait()
}
