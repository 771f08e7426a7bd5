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

// Plan says what a node is made of. It is data only: a reload compares two plans with reflect.DeepEqual.
type Plan struct {
	Name     string       // of the node, for its log and as a fleet member; default "cranegrade"
	Listen   []string     // host:port each, for callers by HTTP/1.1
	ListenH2 []string     // host:port each, for callers by HTTP/2 without TLS
	H2       H2           // of the connections to ListenH2
	Cores    float64      // CPU cores that the process may use; default 0, which means not known
	MemoryMB float64      // MiB that the process may use (memory_mb); default 0, which means not known
	Totals   Totals       // what the process may use in all
	Pools    []Pool       // at least one
	Routes   *route.Table // nil if every request is for the only pool, with the first segment of the path as its class
	XDS      *XDS         // nil if no pool follows control planes
	ExtProc  *ExtProc     // nil if there is no front for proxies that ask
	Admin    string       // host:port on loopback for inspection; default empty, which means no inspection
	Zones    *Zones       // nil if requests are not told apart by zone
	Fleet    *Fleet       // nil if the other nodes are known by their number alone
	Operator string       // host:port on loopback for operators' commands; default empty, which means none
	State    string       // directory for a hot restart; default empty, which means no hot restart
}

// Fleet says how this node finds the other members of its fleet (docs/fleet.md).
type Fleet struct {
	Listen    string        // host:port, TCP and UDP
	Advertise string        // host:port by which the others reach this node; default Listen
	Join      []string      // host:port of members to ask at the start; default none
	Key       []byte        // AES key that all members share; if nil, messages are not encrypted
	Zone      string        // of this node; default ""
	Nodes     int           // how many nodes start the fleet (nodes, at the top of the file); default 1
	Lease     time.Duration // how long a share of what all members use is valid; default 5 s
	Settle    time.Duration // how long until a member counts as joined or gone; default 1 s
	Probe     time.Duration // between probes of members; default 300 ms
}

// Zones says where the requests of a zone go (docs/zones.md).
type Zones struct {
	Config zone.Config  // without what depends on the pool
	Limits []zone.Limit // this node's part of the budgets
	State  string       // file that keeps the account; default empty, which means that the account ends with the process
}

// XDS says where clusters and endpoints come from (docs/xds.md).
type XDS struct {
	Servers       []string      // control planes, host:port, in order of priority
	Delta         bool          // the incremental variant of the protocol (variant = "delta", else "sotw"); default true
	NodeID        string        // default Plan.Name
	NodeCluster   string        // default "cranegrade"
	Region        string        // of this node, as are Zone and SubZone; default ""
	Zone          string        // default ""
	SubZone       string        // default ""
	Timeout       time.Duration // until a resource that does not come counts as missing (resource_timeout); default 15 s, as specified
	KeepOnRemoval bool          // a cluster that is removed keeps its servers; default false
	EmptyGrace    time.Duration // how long clusters stay if one response removes all of them; default 30 s
	MaxResponse   int64         // bytes of a response; default 16 MiB
	LoadReports   time.Duration // least interval between load reports; default 0, which means that none are sent
}

// ExtProc says how proxies ask where requests should go, by Envoy's external processor protocol (docs/extproc.md).
type ExtProc struct {
	Listen             string        // host:port
	DecisionTimeout    time.Duration // how long a question may wait for its decision (decide_within); default 150 ms
	Linger             time.Duration // for how long a request outlives its stream; default 500 ms
	Retries            bool          // proxies ask again for retries; default false
	Streams            int64         // open at a time on one connection; default 10,000
	Rate               float64       // questions per second of one proxy; default 0, which means no limit
	IDHeader           string        // header with the id of a request; default x-request-id
	ClearRouteCache    bool          // set clear_route_cache in answers; default false
	HeadersOnly        bool          // have proxies send headers only, by mode_override; default true
	TimeLeft           bool          // tell servers how much time they have, in x-time-left; default false
	RememberedRequests int64         // finished requests that are remembered (remember); default 100,000
	ProxyStreams       int64         // open at a time by one proxy on all its connections; default 0, which means no limit
	RetryHeader        string        // set in the answer to a failed attempt that may be retried; default x-cranegrade-retry
}

// Totals are what the process may use in all, in calls, connections or bytes: the keys of [limits], which are named here
// where they differ from the field. TotalsFor and Plan.defaultTotals say what the defaults are.
type Totals struct {
	Calls           int64      // accepted and not yet answered
	PendingCalls    int64      // of those, the ones that wait for a server (held)
	Connections     int64      // to servers
	RequestBodies   int64      // bytes of request bodies (bodies)
	ResponseBuffers int64      // bytes of response bodies over message.MaxBody (long_answers)
	DownstreamConns int64      // connections of callers (callers)
	NewCallers      pool.Quota // part of DownstreamConns for connections before their first request
}

// Limits are a pool's quotas of the totals. By default a minimum is the pool's part of half the total, and there is no
// maximum.
type Limits struct {
	Calls           pool.Quota
	PendingCalls    pool.Quota
	Connections     pool.Quota
	RequestBodies   pool.Quota // bytes
	ResponseBuffers pool.Quota // bytes
	DownstreamConns pool.Quota
}

// Pool says what a pool is made of. A reload that changes Limits or List alone keeps the running pool; after any other
// change a new pool takes its place.
type Pool struct {
	Name        string            // unique in the file; empty for the only pool of the platform's configuration
	Settings    balancer.Settings // of the balancer
	Connections wire.Connections  // to servers; idle default 15 s, connect time-out default 250 ms
	Seed        uint64            // of the balancer's random choices; if 0, the node draws one
	Known       engine.ListUpdate // servers that are used until the first list comes
	Pushed      bool              // the list is followed without the balancer asking for it
	List        List              // where the servers are listed
	Limits      Limits            // of what the process may use
	Zoned       bool              // requests are served by zone; default: whether there is [zones]
	H2          bool              // servers speak HTTP/2 without TLS; default false
	GRPC        bool              // servers speak gRPC, which implies H2; default false
	Mux         Mux               // of connections over HTTP/2
}

// H2 bounds what a caller's connection over HTTP/2 may use.
type H2 struct {
	Streams int // open at a time, 1 to 10,000; those beyond are refused as not processed; default 250
	Window  int // flow-control window of all streams together, 64 KiB to 64 MiB; default 1 MiB, less if memory is short
}

// Mux bounds the connections to a server over HTTP/2.
type Mux struct {
	ConnectionsPerServer int // 1 to 1,000; default 4
	StreamsPerConnection int // attempts in flight, 1 to 10,000, however many the server allows; default 100
}

// List says where a pool's servers are listed: by a registry, by a cluster, or in the file.
type List struct {
	Registry string          // host:port of a registry; empty if the list is of another kind
	XDS      string          // name of a cluster at the control planes; empty if the list is of another kind
	Levels   bool            // the endpoints of all the cluster's priorities are used
	Static   []engine.Listed // if neither Registry nor XDS is set
}

// bytesPerMiB converts the memory that a file sets, which is in MiB.
const bytesPerMiB = 1 << 20

// Unlimited is a total that never runs out.
const Unlimited = 1 << 62

const (
	// reservedDescriptors are set aside for the listeners, the watches, the log and the runtime.
	reservedDescriptors = 32
	// serverPart of each descriptorParts descriptors that are left are for connections to servers, the others for callers.
	serverPart      = 2
	descriptorParts = 5
	// answersShare is the share of the memory for responses over message.MaxBody.
	answersShare = 0.15
	// bodiesShare is the share of the memory for request bodies. It is too little for the longest from every caller at once.
	bodiesShare = 0.1
)

// TotalsFor divides a process's descriptors, without those for other uses, and its memory in MiB. If the memory is not known
// (0), bodies and answers are unlimited, as are calls, which connections limit. descriptorsForOthers has one for each list
// that is watched.
func TotalsFor(descriptors int, memoryMB float64, descriptorsForOthers int) Totals {
	t := Totals{Calls: Unlimited, PendingCalls: Unlimited, RequestBodies: Unlimited, ResponseBuffers: Unlimited}
	left := descriptors - reservedDescriptors - descriptorsForOthers
	// Each call to a server needs a caller, and callers keep idle connections as well, so they get the larger part.
	t.Connections = int64(max(1, left*serverPart/descriptorParts))
	t.DownstreamConns = max(1, int64(left)-t.Connections)
	if memoryMB > 0 {
		t.RequestBodies = int64(memoryMB * bodiesShare * bytesPerMiB)
		t.ResponseBuffers = int64(memoryMB * answersShare * bytesPerMiB)
	}
	return t
}
