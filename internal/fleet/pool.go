package fleet

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/internal/fleet/membership"
	"cranegrade/internal/fleet/outlier"
	"cranegrade/internal/fleet/shares"
)

// Pool exchanges data between the Fleet and the Module of one pool. The Fleet publishes this node's role and its shares of quotas, and
// delivers the digests of other members; the Module passes its own digests and demands to the Fleet. Its methods may be called from any
// goroutine, and none of them blocks on the network.
type Pool struct {
	name         string
	id           uint32 // membership.PoolID of name
	role         atomic.Pointer[Role]
	quotas       atomic.Pointer[QuotaShares] // nil before the first publication
	moduleState  atomic.Pointer[ModuleState]
	broadcast    func(digest outlier.Digest, to []string)  // nil: digests are not sent
	updateDemand func(p *Pool, demands map[string]float64) // nil: demands are not reported

	mu           sync.Mutex // guards the fields below
	inbox        []peerDigest
	tenantQuotas map[string]shares.QuotaID // by tenant; replaced as a whole, never modified
}

// ModuleState is the state of a pool's Module that a Status shows.
type ModuleState struct {
	Ejections    []outlier.Ejection
	Subset       []string // servers for first attempts; nil: all, or a subset that the decision module computes from its index
	SubsetMoving bool     // a transition to another subset is in progress
}

// newPool returns a pool without a role. The caller must store a role before a module uses the pool.
func newPool(name string) *Pool {
	p := &Pool{name: name, id: membership.PoolID(name)}
	p.moduleState.Store(&ModuleState{})
	return p
}

// Role returns the latest role, and the divisor of the pool's quotas at time now, which is +Inf if the share has expired.
func (p *Pool) Role(now time.Duration) (role *Role, divisor float64) {
	role = p.role.Load()
	isUsable := role.IsValid(now) || mutationHooks.ignoreExpiry && role.Until > 0
	if !isUsable {
		return role, math.Inf(1)
	}
	return role, float64(role.Divisor)
}

// peerDigest is a digest of another member.
type peerDigest struct {
	from        string
	incarnation uint64
	digest      outlier.Digest
}

// maxInboxDigests is the maximum number of digests that wait for the module. Beyond it the oldest are dropped, as the most outdated.
const maxInboxDigests = 1024

// deliver queues a digest of another member for the module.
func (p *Pool) deliver(d peerDigest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inbox = append(p.inbox, d)
	if len(p.inbox) > maxInboxDigests {
		p.inbox = slices.Delete(p.inbox, 0, 1)
	}
}

// drainInbox returns the queued digests and clears the queue.
func (p *Pool) drainInbox() (digests []peerDigest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	digests = p.inbox
	p.inbox = nil
	return digests
}

// send sends a digest of this member to all members, to those in directlyTo without waiting for the gossip.
func (p *Pool) send(digest outlier.Digest, directlyTo []string) {
	if p.broadcast != nil {
		p.broadcast(digest, directlyTo)
	}
}

// reportDemand reports the tenants' demands on this node to the fleet, as fractions of their quotas.
func (p *Pool) reportDemand(demands map[string]float64) {
	if p.updateDemand != nil {
		p.updateDemand(p, demands)
	}
}
