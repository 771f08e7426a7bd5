// Package node is one process's worth of the load balancer: listeners towards clients, routes, pools with their
// engines, and the senders and discovery sources that these use. It owns the life of a process, whose phases are
// visible in the files:
//
//   - provision (provision.go): open what the plan names, without a request being served;
//   - validate: the plan comes checked (internal/operator, config.go); a reload is checked in reload_plan.go;
//   - serve (serve.go), with reloads (reload.go) and operators' commands (admin_state.go) meanwhile;
//   - drain (drain.go): requests in flight are completed, new ones go elsewhere;
//   - stop (stop.go): what is left is closed, the pools before what they use.
//
// It never decides where a request goes, which is the balancer's matter, and parses nothing but the platform's
// configuration.
package node

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/internal/admin"
	"cranegrade/internal/engine"
	front "cranegrade/internal/front/http1"
	"cranegrade/internal/operator"
	"cranegrade/internal/pool"
	"cranegrade/internal/route"
)

// Node is one process's worth of fronts and pools.
type Node struct {
	options       Options
	inspection    *inspectionServer // nil: none
	zones         *zoneAccounts
	fleet         Member // nil: this node is in none
	clock         engine.Clock
	budgets       budgets
	newCallers    *pool.Share // for callers' connections before their first request
	fronts        []Front
	serving       atomic.Pointer[servingSet]
	drainDelay    time.Duration // how long a stopping node goes on as before
	adminState    *adminState
	commandServer *admin.Server // nil: operators can't call
	hotRestart    *hotRestart   // nil: nobody hands anything over
	processes     int64         // processes that share the node's limits
	listeners     []net.Listener
	ready         atomic.Bool // clients are taken

	stopping          atomic.Bool
	handedOff         atomic.Bool  // a successor takes new callers
	drainTimeoutNanos atomic.Int64 // ns that callers may wait for what a stopping node has taken

	mu       sync.Mutex // guards what follows, and orders reloads
	plan     operator.Plan
	xds      XDSClient // nil: none
	retiring map[*pool.Pool]struct{}
	stopped  chan struct{} // closed when Run no longer wants the pools
	retired  sync.WaitGroup
}

// servingSet is what fronts use, replaced as a whole by a reload.
type servingSet struct {
	routes   *route.Table          // nil: all is for the only pool, by the first part of the path
	pools    map[string]*pool.Pool // by name
	onlyPool *pool.Pool
}

// New returns a node that listens, by the platform's configuration. Run serves; a node that is not run must not be kept.
func New(cfg Config, o Options) (*Node, error) { return provision(cfg.plan(), o, nil) }

// NewFromPlan returns a node that listens, by an operator's plan.
func NewFromPlan(p operator.Plan, o Options) (*Node, error) { return provision(p, o, nil) }

// Addr is the address that the node listens on; of several the first.
func (n *Node) Addr() net.Addr { return n.fronts[0].Addr() }

// Addrs are the addresses that the node listens on.
func (n *Node) Addrs() (l []net.Addr) {
	for _, f := range n.fronts {
		l = append(l, f.Addr())
	}
	return l
}

// callerRoutes is the node as fronts see it.
type callerRoutes struct{ n *Node }

func (r callerRoutes) Route(hr *http.Request) (*pool.Pool, string, *front.Refusal) {
	s := r.n.serving.Load()
	if s.routes == nil {
		return s.onlyPool, firstSegment(hr.URL.Path), nil
	}
	return s.route(hr)
}
