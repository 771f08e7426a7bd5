// Package balancer decides to which server a load balancer sends each request, when it retries and when it gives up.
// It does no I/O: the host passes events to a Balancer and carries out the actions that it returns, in order. This
// file is the interface; the decisions are in policy.go, server_list.go, selection.go, health.go and admission.go.
//
// A Balancer belongs to one goroutine. Its only clock is the argument now of Handle, and its only randomness is the
// seed given to New, so the same events always give the same actions. Balancers share no state. A request uses memory
// until it is answered and its attempts have ended, a server until it has left the list and its attempts have ended.
//
// It must never send a request again that may have run and must not run twice (see Effect): only Overloaded, Unreachable
// and NeverSent prove that an attempt did not run.
//
// Sources: the draw of a server is the power of two choices (Mitzenmacher) over two groups with ties to the left one
// (Vöcking, "How asymmetry helps load balancing"); the retry budget is that of Finagle.
package balancer

import (
	"fmt"
	"time"
)

// Effect says what happens when a request runs more than once.
type Effect int

// Effects. The zero value is the safe one.
const (
	NonIdempotent   Effect = iota // must never run twice
	IdempotentByKey               // the servers of one Scope deduplicate requests by their keys for Class.Window
	Idempotent                    // may run any number of times
)

// Scope says which servers deduplicate a keyed request together.
type Scope int

// Scopes, from the narrowest.
const (
	ScopeCell Scope = iota
	ScopeZone
	ScopeAll
)

// Class describes one class of requests.
type Class struct {
	Name      string
	Effect    Effect
	Scope     Scope         // for IdempotentByKey
	Window    time.Duration // for IdempotentByKey: how long a key is deduplicated, from the first send
	Aim       time.Duration // latency target: answers within it earn full worth
	Deadline  time.Duration // how long a client waits, over all its tries
	Typical   time.Duration // initial estimate of the latency; 0 means a quarter of Aim
	First     bool          // preadmitted: its caller was admitted already, so it is not queued in favour of others
	LateShare float64       // share of the worth that an answer after Aim earns
	Worth     float64
	Stream    bool
}

// Tenant is a tenant with a quota of requests.
type Tenant struct {
	Name  string
	Quota float64 // requests a second, over all copies of the tier
}

// Sizes says what Server.Size means.
type Sizes int

// Meanings of Server.Size.
const (
	SizesUnknown Sizes = iota // nothing
	SizesNominal              // the registered capacity
	SizesRough                // about the capacity
	SizesLive                 // the capacity over the load of a while ago
)

// Settings configure a Balancer. Fleet and Classes change some of them later.
type Settings struct {
	Classes     []Class
	Balancers   int     // number of copies that send to this tier
	Index       int     // of this copy among them, from 0
	Tier        int     // tier that is sent to; 0 is the one that clients' requests reach first
	WholeWeight float64 // weight of the total worth in load shedding
	ClassWeight float64 // weight of the class served worst in load shedding
	// TenantWeight is the weight in load shedding of a tenant that is served less than an equal share; 0 means tenants
	// are not distinguished.
	TenantWeight float64
	// Tenants are those with a quota. The value of a request beyond the quota is multiplied by OverShare, and
	// WorstTenantWeight is the weight in load shedding of the tenant served worst within its quota.
	Tenants           []Tenant
	OverShare         float64
	WorstTenantWeight float64

	MaxAttempts   int
	SecondCopies  bool // the host may run two attempts of a request at once; unused by the decisions
	StartCalls    int  // calls that a server can take at once, as known at the start; 0 means not known
	Spares        int  // alternate servers named with each Send, if the host may try them
	MayCancel     bool // the host can cancel attempts
	Sizes         Sizes
	AskDiscovery  bool          // the server list comes only after a Subscribe
	AskWithin     time.Duration // longest time between two Subscribe calls of a copy without a subscription
	ToldAfter     time.Duration // time after which a change counts as announced, received or not; 0 means only when received
	Tick          time.Duration // resolution of the clock
	MaxRetryAfter time.Duration // longest RetryAfter that clients heed

	ColdFrom     float64       // slow start: share of its capacity that a new server has at first
	WarmAfter    time.Duration // slow start: time after which it has all of it
	FallMultiple float64       // a new server that gets more than this multiple of its capacity
	FallFor      time.Duration // for this long fails
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
		at := fmt.Sprintf("Classes[%d]", i)
		checks = append(checks, check{at + ".Name", c.Name != "" && !names[c.Name]}, check{at + ".Aim", c.Aim > 0},
			check{at + ".Deadline", c.Deadline > 0}, check{at + ".Window", c.Window >= 0},
			check{at + ".Worth", c.Worth >= 0},
			check{at + ".LateShare", c.LateShare >= 0 && c.LateShare <= 1})
		names[c.Name] = true
	}
	for i, t := range s.Tenants {
		at := fmt.Sprintf("Tenants[%d]", i)
		checks = append(checks, check{at + ".Name", t.Name != ""}, check{at + ".Quota", t.Quota >= 0})
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
	Ready ServerState = iota
	Draining
	Gone
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
	Cell      int
	State     ServerState
	Size      float64       // relative capacity as registered, see Settings.Sizes; 0 counts as 1
	StartedAt time.Duration // clock time of its last start; 0 means long ago
}

// Ending is the outcome of an attempt.
type Ending int

// Endings. After Overloaded, Unreachable and NeverSent it is certain that the attempt never ran.
const (
	Success Ending = iota
	Failure
	Overloaded
	TimedOut
	Unreachable
	Broken
	Canceled
	NeverSent
)

// Load is a server's own load report. It may be late and inaccurate. Unknown values are negative.
type Load struct {
	Busy    float64       // requests in the server
	Service time.Duration // recent service time, without queueing
}

// Event is something that happened: one of the types below.
type Event interface{ event() }

type (
	// ServerList is an update from discovery: with Full the complete list, from which absent servers are gone, else
	// the changed entries. An update without entries shows that discovery is alive.
	ServerList struct {
		Full     bool
		Cached   bool // restored after a restart, possibly out of date
		Operator bool // from an operator: it does not show that discovery is alive
		Servers  []Server
	}
	// Fleet changes the number of copies and this copy's index. Divisor, 1 or more, divides the limits that all copies
	// share, for this copy's share; +Inf means it has no share until the next Fleet.
	Fleet struct {
		Balancers, Index int
		Divisor          float64
		// Subset has the ids of the servers that attempts are drawn from first; nil means Stripes selects them.
		Subset []string
		Whole  bool // the subset is the whole list
		// ServerCalls is how many calls a server can take at once from all copies together; 0 means not known.
		ServerCalls float64
		// Quotas are this copy's shares of tenants' quotas, 0 to 1, by tenant; 1/Divisor where there is none.
		Quotas map[string]float64
	}
	// Classes adds classes to those of the settings, or changes existing ones.
	Classes struct{ Classes []Class }
	// PeerReports excludes servers that other copies found unhealthy, as if this copy had ejected them. Such a server
	// returns after a successful probe by one retryable request.
	PeerReports struct{ Exclusions []Exclusion }
	// Exclusion is a server that other copies have ejected.
	Exclusion struct {
		ID        string
		StartedAt time.Duration // of the process that was ejected: a restart ends the exclusion
		Until     time.Duration // clock time
	}
	// ListFailed reports that a Subscribe failed or that the subscription ended. Garbled: discovery answered, but the
	// answer was malformed or incomplete.
	ListFailed struct{ Garbled bool }
	// Request is a client's request. The Balancer gives it one final answer by Deadline.
	Request struct {
		ID          string
		Class       string
		Deadline    time.Duration // clock time
		ClientRetry bool          // the client marked it as a retry
		Cost        time.Duration // hint of its work, as time on a standard core; 0 means none
		Tenant      string        // see Settings.TenantWeight and Settings.Tenants
		Candidates  []string      // ids of the servers that it may go to; nil means any
		// Places are those that it may go to, in order of preference: the next one only if those before have no
		// eligible server. nil means any, and empty none.
		Places []Place
		From   string // zone of the caller, if known; not used here
		Size   int64  // bytes of its body; not used here
	}
	// Outcome is the end of one attempt. Ended: the request has its final answer.
	Outcome struct {
		ID       string
		Attempt  int
		Server   string
		Ending   Ending
		Latency  time.Duration
		Ended    bool
		Consumed bool // part of the request body was sent and is not kept: no retry is possible
		Load     *Load
		// Whether the request was written completely, and the bytes of the bodies; not used here.
		Wrote   bool
		Out, In int64
	}
	// Started reports that a streamed answer has begun: it is forwarded to the client, so no other attempt can replace
	// it. Transfer: the server has done its work, and only the transfer to the client takes time.
	Started struct {
		ID       string
		Attempt  int
		Transfer bool
	}
	// ClientGone reports that the client has disconnected. No final answer is needed.
	ClientGone struct{ ID string }
	// Timer reports that a Wake is due.
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
	// Spares, for idempotent classes if Settings.Spares is set, may be tried in that order in place of Server.
	Send struct {
		ID, Server string
		Timeout    time.Duration
		Spares     []string
	}
	// Cancel stops waiting for an attempt; its Outcome still comes.
	Cancel struct {
		ID      string
		Attempt int
	}
	// Reject is a final answer that promises that a retry is safe.
	Reject struct {
		ID         string
		RetryAfter time.Duration // advice; 0 means none
	}
	// Fail is a final answer without that promise: the request may have run.
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
