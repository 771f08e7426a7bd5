package operator

import (
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/pool"
	"cranegrade/internal/route"
	"cranegrade/internal/wire"
	"cranegrade/internal/zone"
)

// Plan says what a node is made of. Two plans are compared at a reload, so it is data only.
type Plan struct {
	Name     string   // of the node, for its log
	Listen   []string // host:port each
	ListenH2 []string // and those for HTTP/2 without TLS
	H2       H2
	Cores    float64 // 0: not told
	MemoryMB float64 // 0: not told
	Totals   Totals
	Pools    []Pool
	Routes   *route.Table // nil: all is for the only pool, by the first part of the path
	XDS      *XDS         // nil: none
	ExtProc  *ExtProc     // nil: no proxies ask
	Admin    string       // host:port on loopback where the node tells what it holds; "": nowhere
	Zones    *Zones       // nil: zones are not told apart
	Fleet    *Fleet       // nil: what others there are is told by nodes and index alone
	Operator string       // host:port where operators call; "": nowhere
	State    string       // directory for what a successor of this process is to find; "": none
}

// Fleet says how this node finds the others (docs/fleet.md).
type Fleet struct {
	Listen    string   // host:port, TCP and UDP
	Advertise string   // host:port that the others reach it at
	Join      []string // members to ask at the start
	Key       []byte   // that all members share; nil: in the clear
	Zone      string
	Nodes     int           // that start the fleet
	Lease     time.Duration // for which a grant holds
	Settle    time.Duration // until who comes or goes counts as there or not
	Probe     time.Duration // between probes of members
}

// Zones says where the load of a zone goes (docs/zones.md).
type Zones struct {
	Config zone.Config  // but for what depends on the pool
	Limits []zone.Limit // this node's part of the budgets
	State  string       // the file that keeps the account; "": it ends with the process
}

// XDS says where clusters and endpoints come from (docs/xds.md).
type XDS struct {
	Servers       []string // control planes, host:port, in order of priority
	Delta         bool     // the incremental variant
	NodeID        string
	NodeCluster   string
	Region        string
	Zone          string
	SubZone       string
	Timeout       time.Duration // for a resource that does not come
	KeepOnRemoval bool          // a cluster that is removed keeps its servers
	EmptyGrace    time.Duration // how long all clusters stay that one response removes
	MaxResponse   int64         // bytes
	LoadReports   time.Duration // how often load is reported at the most; 0: never
}

// ExtProc says how proxies ask where requests should go (docs/extproc.md).
type ExtProc struct {
	Listen             string        // host:port
	DecisionTimeout    time.Duration // for a decision
	Linger             time.Duration // for a request whose stream is lost
	Retries            bool          // proxies ask again for further tries
	Streams            int64         // open on one connection
	Rate               float64       // questions a second of one proxy; 0: no limit
	IDHeader           string        // header that names a request
	ClearRouteCache    bool          // clear_route_cache
	HeadersOnly        bool          // mode_override to headers only
	TimeLeft           bool          // tell servers, in x-time-left, how long they have
	RememberedRequests int64         // requests that are over and remembered

	ProxyStreams int64 // of one proxy, over all its connections; 0: no limit

	RetryHeader string // set in the answer to a failed try if there may be another
}

// Totals are what the process may hold in all.
type Totals struct {
	Calls, Held, Connections, Bodies, LongAnswers, Callers int64
	NewCallers                                             pool.Quota // of Callers, for those without a request yet
}

// Limits are a pool's parts of the totals.
type Limits struct{ Calls, Held, Connections, Bodies, LongAnswers, Callers pool.Quota }

// Pool says what a pool is made of. A reload that changes Limits or List does so in the running pool;
// one that changes anything else puts a new pool in its place.
type Pool struct {
	Name     string
	Settings balancer.Settings
	Conns    wire.Connections
	Seed     uint64 // 0: the node draws one
	Known    engine.ListUpdate
	Pushed   bool
	List     List
	Limits   Limits
	Zoned    bool // its requests are served by zone
	H2       bool // its servers speak HTTP/2 without TLS
	GRPC     bool // and over that gRPC only
	Mux      Mux  // how these are used
}

// H2 bounds what a caller's connection over HTTP/2 may hold.
type H2 struct {
	Streams int // open at a time; those beyond are refused as never begun
	Window  int // bytes of bodies on their way, over all its streams
}

// Mux bounds connections to a server over HTTP/2.
type Mux struct {
	ConnectionsPerServer int // to one server
	StreamsPerConnection int // attempts on one, whatever the server allows
}

// List says where a pool's list comes from: a registry, a cluster, or else the file.
type List struct {
	Registry string // host:port
	XDS      string // a cluster's name
	Levels   bool   // of the cluster all priorities are told
	Static   []engine.Listed
}

// Unlimited is a total that never runs out.
const Unlimited = 1 << 62

const (
	// reservedDescriptors descriptors are for the listeners, the watches, the log and the runtime.
	reservedDescriptors = 32
	// answersShare of the memory is for answers over message.MaxBody.
	answersShare = 0.15
	// bodiesShare of the memory is for callers' bodies: every caller with the longest is too much.
	bodiesShare = 0.1
)

// TotalsFor divides a process's descriptors and memory. Without a limit of memory there is none of
// bodies and answers. more descriptors are needed besides: one for each list that is watched.
func TotalsFor(sockets int, memoryMB float64, more int) Totals {
	t := Totals{Calls: Unlimited, Held: Unlimited, Bodies: Unlimited, LongAnswers: Unlimited}
	left := sockets - reservedDescriptors - more
	// A call out needs a caller, and callers hold idle connections besides: they get the larger part.
	t.Connections = int64(max(1, left*2/5))
	t.Callers = max(1, int64(left)-t.Connections)
	if memoryMB > 0 {
		t.Bodies = int64(memoryMB * bodiesShare * (1 << 20))
		t.LongAnswers = int64(memoryMB * answersShare * (1 << 20))
	}
	return t
}

// Defaults of a file.
const (
	defaultDescriptors  = 1024
	defaultIdle         = 15 * time.Second
	defaultConnect      = 250 * time.Millisecond
	defaultAttempts     = 3
	defaultRetryAfter   = 2 * time.Second
	defaultColdFrom     = 0.33
	defaultWarmAfter    = 10 * time.Second
	defaultFallMultiple = 4
	defaultFallFor      = 1500 * time.Millisecond
	defaultWhole        = 0.55
	defaultWorstClass   = 0.3
	defaultWorstTenant  = 0.1
	defaultOverQuota    = 0.2
	defaultRetryHeader  = "x-cranegrade-retry"
	defaultTimeout      = 15 * time.Second // the specification's
	defaultGrace        = 30 * time.Second
	defaultLease        = 5 * time.Second
	defaultSettle       = time.Second
	defaultProbe        = 300 * time.Millisecond
	defaultMaxResponse  = 16 << 20
)
