// Package balancer decides to which server a load balancer sends each request, when it retries and when it gives up.
// It does no I/O: the host, which is the program around it, passes events to a Balancer and carries out the actions that
// Handle returns, in order. This file has the interface; the decisions are in policy.go, server_list.go, selection.go,
// health.go and admission.go.
//
// A load balancer runs as several replicas, each with a Balancer of its own. They share no state and send to the same
// tier, which is a list of servers that provide one service. A call is an attempt that is in flight at a server; unless
// stated otherwise, it is one of this replica.
//
// A Balancer belongs to one goroutine. Its only clock is the argument now of Handle, and its only randomness is the
// seed given to New, so the same events always lead to the same actions. A request uses memory until it is answered and
// its attempts have ended, a server until it has left the list and its attempts have ended.
//
// A request that must not run twice (see Effect) is never retried when it may have run: only Overloaded, Unreachable
// and NeverSent prove that an attempt did not run.
//
// Servers are selected by the power of two choices (Mitzenmacher), with one choice from each of two groups and ties to
// the left one (Vöcking, "How asymmetry helps load balancing"). The retry budget follows Finagle's.
package balancer

import (
	"fmt"
	"time"
)

// Effect says what happens when a request runs more than once.
type Effect int

// Effects. The zero value, NonIdempotent, allows the fewest retries.
const (
	NonIdempotent   Effect = iota // must never run twice
	IdempotentByKey               // the servers of one Scope deduplicate requests by key for Class.Window
	Idempotent                    // may run any number of times
)

// Scope says which servers deduplicate a keyed request together.
type Scope int

// Scopes, from the narrowest to the widest.
const (
	ScopeCell Scope = iota // the servers of one cell, see Server.Cell
	ScopeZone              // the servers of one zone
	ScopeAll               // all servers of the tier
)

// Class describes one class of requests.
type Class struct {
	Name      string
	Effect    Effect
	Scope     Scope         // for IdempotentByKey
	Window    time.Duration // for IdempotentByKey: how long a key is deduplicated, from the first send
	Aim       time.Duration // latency target: an answer within it counts with all of Worth
	Deadline  time.Duration // how long a client waits, over all its tries
	Typical   time.Duration // initial estimate of the latency; 0 means a quarter of Aim
	First     bool          // preadmitted: its caller was admitted already, so it is not queued in favor of others
	LateShare float64       // share of Worth with which an answer after Aim counts
	Worth     float64       // value of an answer relative to other classes, for load shedding
	Stream    bool          // calls with streams, for gRPC pools; not used here
}

// Tenant is a tenant with a quota of requests.
type Tenant struct {
	Name  string
	Quota float64 // requests a second, over all replicas
}

// Sizes says what Server.Size means.
type Sizes int

// Meanings of Server.Size.
const (
	SizesUnknown Sizes = iota // nothing
	SizesNominal              // the registered capacity
	SizesRough                // an estimate of the capacity
	SizesLive                 // the capacity divided by a load that was measured earlier
)

// Settings configure a Balancer. The events Fleet and Classes change some of them later.
type Settings struct {
	Classes     []Class
	Balancers   int     // number of replicas that send to this tier
	Index       int     // index of this replica among them, from 0
	Tier        int     // depth of the tier that is sent to; clients' requests reach tier 0 first
	WholeWeight float64 // weight in load shedding of the sum of Worth over all answers
	ClassWeight float64 // weight in load shedding of the class with the smallest share of requests served
	// TenantWeight is the weight in load shedding of a tenant that is served less than an equal share; 0 means tenants
	// are not distinguished.
	TenantWeight float64
	// Tenants have quotas. The value of a request beyond its tenant's quota is multiplied by OverShare.
	// WorstTenantWeight is the weight in load shedding of the tenant with the smallest share of requests served
	// within its quota.
	Tenants           []Tenant
	OverShare         float64
	WorstTenantWeight float64

	MaxAttempts   int
	SecondCopies  bool // the host may run two attempts of a request at once; not used here
	StartCalls    int  // initial estimate of the calls that a server can process at once; 0 means none
	Spares        int  // number of alternate servers to name with each Send; 0 if the host does not use them
	MayCancel     bool // the host can cancel attempts
	Sizes         Sizes
	AskDiscovery  bool          // discovery sends the server list only after a Subscribe
	AskWithin     time.Duration // longest time between two Subscribe calls of a replica without a subscription
	ToldAfter     time.Duration // age at which a change counts as announced although no update came; 0 means never
	Tick          time.Duration // resolution of the clock
	MaxRetryAfter time.Duration // longest RetryAfter that clients follow

	ColdFrom     float64       // slow start: share of its capacity that a server has when it starts
	WarmAfter    time.Duration // slow start: time from then until it has its full capacity
	FallMultiple float64       // a server in slow start fails if its load exceeds this multiple of its capacity
	FallFor      time.Duration // for this long; neither is used here
}

// Validate returns an error that names the invalid setting, or nil.
func (s Settings) Validate() error {
	type check struct {
		name string
		ok   bool
	}
	checks := []check{
		{"Classes", len(s.Classes) > 0},
		{"Balancers", s.Balancers >= 0},
		{"Index", s.Index >= 0},
		{"Tier", s.Tier >= 0},
		{"MaxAttempts", s.MaxAttempts >= 0},
		{"AskWithin", s.AskWithin >= 0},
		{"Tick", s.Tick >= 0},
		{"ToldAfter", s.ToldAfter >= 0},
		{"Spares", s.Spares >= 0},
		{"StartCalls", s.StartCalls >= 0},
		{"TenantWeight", s.TenantWeight >= 0},
		{"WorstTenantWeight", s.WorstTenantWeight >= 0},
		{"OverShare", s.OverShare >= 0 && s.OverShare <= 1},
		{"MaxRetryAfter", s.MaxRetryAfter >= 0},
		{"ColdFrom", s.ColdFrom >= 0 && s.ColdFrom <= 1},
		{"WarmAfter", s.WarmAfter >= 0},
		{"FallMultiple", s.FallMultiple >= 0},
		{"FallFor", s.FallFor >= 0},
	}
	names := map[string]bool{}
	for i, c := range s.Classes {
		path := fmt.Sprintf("Classes[%d]", i)
		checks = append(checks, check{path + ".Name", c.Name != "" && !names[c.Name]}, check{path + ".Aim", c.Aim > 0},
			check{path + ".Deadline", c.Deadline > 0}, check{path + ".Window", c.Window >= 0},
			check{path + ".Worth", c.Worth >= 0},
			check{path + ".LateShare", c.LateShare >= 0 && c.LateShare <= 1})
		names[c.Name] = true
	}
	for i, t := range s.Tenants {
		path := fmt.Sprintf("Tenants[%d]", i)
		checks = append(checks, check{path + ".Name", t.Name != ""}, check{path + ".Quota", t.Quota >= 0})
	}
	for _, c := range checks {
		if !c.ok {
			return fmt.Errorf("balancer: setting %s is missing, out of range or there twice", c.name)
		}
	}
	return nil
}

// ServerState is the state of a server according to discovery.
type ServerState int

// Server states.
const (
	Ready    ServerState = iota // accepts calls
	Draining                    // finishes its calls and gets no new ones
	Gone                        // has left the list
)

// Place is a zone and a priority in it; 0 is the highest.
type Place struct {
	Zone     string
	Priority int
}

// Server is an entry of the discovery list.
type Server struct {
	ID        string
	Zone      string
	Priority  int     // in its zone; 0 is the highest
	Weight    float64 // of its zone among those of that priority; not used here
	Cell      int     // group of servers in the zone, see Scope
	State     ServerState
	Size      float64       // relative capacity as registered, see Settings.Sizes; 0 counts as 1
	StartedAt time.Duration // clock time of its last start; 0 means that it is not in slow start
}

// Ending is the outcome of an attempt.
type Ending int

// Endings. After Overloaded, Unreachable and NeverSent it is certain that the attempt never ran.
const (
	Success     Ending = iota // a valid answer
	Failure                   // the server answered with an error
	Overloaded                // the server refused it before it ran
	TimedOut                  // no answer within Send.Timeout
	Unreachable               // no connection to the server
	Broken                    // the connection was lost, or the answer was malformed
	Canceled                  // the host canceled it
	NeverSent                 // the host did not send it
)

// Load is a load report that a server sends. It may be late and inaccurate. Unknown values are negative.
type Load struct {
	Busy    float64       // requests that the server is processing or queueing
	Service time.Duration // recent service time, without queueing
}

// Event is something that happened: one of the types below.
type Event interface{ event() }

type (
	// ServerList is an update from discovery. If Full is set it is the complete list, and servers missing in it are
	// gone; otherwise it has the changed entries. An update without entries is a heartbeat of discovery.
	ServerList struct {
		Full     bool
		Cached   bool // restored after a restart, possibly out of date
		Operator bool // from an operator, so it is no sign that discovery is alive
		Servers  []Server
	}
	// Fleet changes the number of replicas and this replica's index. This replica's share of the limits that all
	// replicas have together is 1/Divisor. Divisor is at least 1; +Inf means no share until the next Fleet.
	Fleet struct {
		Balancers, Index int
		Divisor          float64
		// Subset has the ids of the servers that this replica prefers; nil means that SubsetIndexes selects them.
		Subset []string
		Whole  bool // the subset is the whole list
		// ServerCalls is how many calls a server can process at once from all replicas together; 0 means not known.
		ServerCalls float64
		// Quotas are this replica's shares of tenants' quotas, 0 to 1, by tenant. The default is 1/Divisor.
		Quotas map[string]float64
	}
	// Classes adds classes to those of the settings, or changes existing ones.
	Classes struct{ Classes []Class }
	// PeerReports excludes servers that other replicas found unhealthy, as if this replica had ejected them. Such a
	// server is used again after a successful probe by one retryable request.
	PeerReports struct{ Exclusions []Exclusion }
	// Exclusion is a server that other replicas have ejected.
	Exclusion struct {
		ID        string
		StartedAt time.Duration // start time of the server when it was ejected: a restart ends the exclusion
		Until     time.Duration // clock time
	}
	// ListFailed reports that a Subscribe failed or that the subscription ended. Garbled means that discovery answered,
	// but with a malformed or incomplete answer.
	ListFailed struct{ Garbled bool }
	// Request is a client's request. The host or the Balancer gives it one final answer by Deadline.
	Request struct {
		ID          string
		Class       string
		Deadline    time.Duration // clock time
		ClientRetry bool          // the client marked it as a retry
		Cost        time.Duration // estimate of its work, as time on a standard core; 0 means unknown
		Tenant      string        // see Settings.TenantWeight and Settings.Tenants
		Candidates  []string      // ids of the servers that it may be sent to; nil means any
		// Places are the zones and priorities that it may be sent to, in order of preference. A later one is used only
		// if those before it have no eligible server. nil allows all servers, an empty slice none.
		Places []Place
		From   string // zone of the caller, if known; not used here
		Size   int64  // bytes of its body; not used here
	}
	// Outcome is the end of one attempt. Ended means that the request has its final answer.
	Outcome struct {
		ID       string
		Attempt  int
		Server   string
		Ending   Ending
		Latency  time.Duration // as measured by the host; not used here
		Ended    bool
		Consumed bool  // part of the request body was sent and was not buffered, so no retry is possible
		Load     *Load // report of the server, if any; not used here
		// Whether the request was written completely, and the sizes of the bodies in bytes; not used here.
		Wrote   bool
		Out, In int64
	}
	// Started reports that a streamed answer has begun. It is forwarded to the client, so no other attempt can replace
	// it. Transfer means that the server has finished its work and only the transfer to the client remains.
	Started struct {
		ID       string
		Attempt  int
		Transfer bool
	}
	// ClientGone reports that the client has disconnected. No final answer is needed.
	ClientGone struct{ ID string }
	// Timer reports that the time of a Wake has come.
	Timer struct{ Token string }
)

func (ServerList) event()  {}
func (Fleet) event()       {}
func (Classes) event()     {}
func (PeerReports) event() {}
func (ListFailed) event()  {}
func (Request) event()     {}
func (Outcome) event()     {}
func (Started) event()     {}
func (ClientGone) event()  {}
func (Timer) event()       {}

// Action is something that the host must do: one of the types below.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request (numbered from 0); it times out after Timeout.
	// Spares are servers that the host may try in place of Server, in that order. Only idempotent requests have them,
	// and only if Settings.Spares is set.
	Send struct {
		ID, Server string
		Timeout    time.Duration
		Spares     []string
	}
	// Cancel stops waiting for an attempt. The host still reports its Outcome.
	Cancel struct {
		ID      string
		Attempt int
	}
	// Reject is a final answer that tells the client that it can retry safely.
	Reject struct {
		ID         string
		RetryAfter time.Duration // suggested delay of the retry; 0 means none
	}
	// Fail is a final answer to a request that may have run, so a retry may not be safe.
	Fail struct{ ID string }
	// Wake requests a Timer with this token at the clock time At.
	Wake struct {
		At    time.Duration
		Token string
	}
	// Subscribe requests the server list and its changes from discovery.
	Subscribe struct{}
)

func (Send) action()      {}
func (Cancel) action()    {}
func (Reject) action()    {}
func (Fail) action()      {}
func (Wake) action()      {}
func (Subscribe) action() {}
