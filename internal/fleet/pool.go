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

// Pool connects the fleet with the module of one pool. The fleet publishes this node's role and its shares of quotas, and delivers the
// digests of other members; the module hands over its own digests and demands. Its methods may be called from any goroutine, and none of
// them blocks on the network.
type Pool struct {
	name         string
	id           uint32 // membership.PoolID of name
	role         atomic.Pointer[Role]
	quotas       atomic.Pointer[QuotaShares] // nil before the first publication
	moduleState  atomic.Pointer[ModuleState]
	broadcast    func(digest outlier.Digest, to []string) // nil if digests go nowhere
	updateDemand func(p *Pool, demands map[string]float64)

	mu           sync.Mutex // guards what follows
	inbox        []peerDigest
	tenantQuotas map[string]shares.QuotaID // by tenant; replaced, never changed
}

// ModuleState is what the module of a pool makes of the fleet, for operators.
type ModuleState struct {
	Ejections    []outlier.Ejection
	Subset       []string // servers that first attempts are drawn from; nil for all, or a part by number
	SubsetMoving bool     // it is in transition to another subset
}

// newPool returns a pool without a role. Its role must be stored before a module uses it.
func newPool(name string) *Pool {
	p := &Pool{name: name, id: membership.PoolID(name)}
	p.moduleState.Store(&ModuleState{})
	return p
}

// Role returns the latest role and the divisor of the pool's quotas at that time: +Inf if the share has expired.
func (p *Pool) Role(now time.Duration) (role *Role, divisor float64) {
	role = p.role.Load()
	isUsable := role.IsValid(now) || mutations.ignoreExpiry && role.Until > 0
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

// maxInbox bounds the digests that wait for the module. Beyond it the oldest are dropped: newer ones tell more.
const maxInbox = 1024

// deliver queues a digest of another member for the module.
func (p *Pool) deliver(d peerDigest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inbox = append(p.inbox, d)
	if len(p.inbox) > maxInbox {
		p.inbox = slices.Delete(p.inbox, 0, 1)
	}
}

// takeInbox returns the queued digests and empties the queue.
func (p *Pool) takeInbox() (digests []peerDigest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	digests = p.inbox
	p.inbox = nil
	return digests
}

// send has a digest of this member sent to all, and directly to some.
func (p *Pool) send(digest outlier.Digest, directlyTo []string) {
	if p.broadcast != nil {
		p.broadcast(digest, directlyTo)
	}
}

// reportDemand passes on to the fleet what tenants would use here, as shares of their quotas.
func (p *Pool) reportDemand(demands map[string]float64) {
	if p.updateDemand != nil {
		p.updateDemand(p, demands)
	}
}
