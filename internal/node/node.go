package node

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/internal/admin"
	"cranegrade/internal/engine"
	"cranegrade/internal/operator"
	"cranegrade/internal/pool"
	"cranegrade/internal/route"
)

// Node is one load balancer process. Run is called once; all other methods may be called from any goroutine.
type Node struct {
	// Set by provision and not replaced afterwards.
	options       Options
	clock         engine.Clock
	budgets       budgets
	newCallers    *pool.Share // connections of callers before their first request, which no pool owns yet
	listeners     []net.Listener
	fronts        []Front
	adminState    *adminState
	commandServer *admin.Server     // nil if the plan has no address for operators' commands
	inspection    *inspectionServer // nil if the plan has no admin address
	hotRestart    *hotRestart       // nil if the plan has no state directory, so that no process can take over
	zones         *zoneAccounts
	fleet         Member        // nil if the node is in no fleet
	drainDelay    time.Duration // how long a draining node without a successor still accepts connections

	serving           atomic.Pointer[servingSet]
	ready             atomic.Bool  // requests are accepted
	stopping          atomic.Bool  // the drain has begun
	handedOff         atomic.Bool  // a successor accepts new callers
	drainTimeoutNanos atomic.Int64 // how long a draining node waits for requests in flight

	mu        sync.Mutex // guards the fields below and serializes reloads
	plan      operator.Plan
	processes int64                   // processes that share the node's limits, this one included
	xds       XDSClient               // nil if the plan names no control planes
	retiring  map[*pool.Pool]struct{} // removed by a reload, with calls still open

	retired sync.WaitGroup // goroutines that finish what a reload or the drain has removed
	stopped chan struct{}  // closed once Run no longer needs the pools; no reload is accepted from then on
}

// servingSet is what fronts use to find the pool of a request. A reload replaces it as a whole.
type servingSet struct {
	routes   *route.Table // nil if every request is for onlyPool, with the first segment of the path as its class
	pools    map[string]*pool.Pool
	onlyPool *pool.Pool // meaningful if routes is nil
}

// forEachPool calls do for every pool that has calls: those that serve, and those that finish after their removal. do must
// not block, as n.mu is held.
func (n *Node) forEachPool(do func(*pool.Pool)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.serving.Load().pools {
		do(p)
	}
	for p := range n.retiring {
		do(p)
	}
}

// New returns a node for the platform's configuration. It listens but serves nothing before Run. A node that is not run
// holds its listeners until the process ends.
func New(cfg Config, o Options) (*Node, error) { return provision(cfg.plan(), o, nil) }

// NewFromPlan is New for the plan of an operator's file. An error of the type ErrNo... says that the program was built
// without something that the plan asks for.
func NewFromPlan(p operator.Plan, o Options) (*Node, error) { return provision(p, o, nil) }

// Addr returns the address that the node listens on, the first if there are several.
func (n *Node) Addr() net.Addr { return n.fronts[0].Addr() }

// Addrs returns the addresses that the node listens on: those for HTTP/1.1, for HTTP/2 and for proxies, in this order.
func (n *Node) Addrs() (addrs []net.Addr) {
	for _, f := range n.fronts {
		addrs = append(addrs, f.Addr())
	}
	return addrs
}
