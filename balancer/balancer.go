// Package balancer decides where a load balancer sends each request, when it tries again and
// when it gives up. It does no I/O: the host feeds events to a Balancer and carries out the
// actions it returns. This file is the whole interface; every decision is in policy.go, server_list.go, selection.go, health.go and admission.go.
//
// A Balancer belongs to one goroutine. Its only clock is the now given to Handle, which must
// never go back, and its only randomness is the seed given to New, so the same events always
// give the same actions. Balancers share nothing. Memory is held for each request until it is
// answered and its attempts have ended, and for each server until it has left the list and its
// attempts have ended.
package balancer

import (
	"fmt"
	"time"
)

// Effect says what happens when a request runs more than once.
type Effect int

// The zero Effect is the careful one.
const (
	NonIdempotent   Effect = iota // must never run twice
	IdempotentByKey               // the servers of one scope discard repeats for a while
	Idempotent                    // may run any number of times
)

// Scope names the servers that discard the repeats of a keyed request.
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
	Scope     Scope         // for Keyed
	Window    time.Duration // for Keyed: how long repeats are discarded, from the first send
	Aim       time.Duration // answers within it earn full worth
	Deadline  time.Duration // how long a client waits over all its tries
	Typical   time.Duration // how long an answer takes, until it is known; 0: a quarter of the aim
	First     bool          // what waits for it has been let in already: it is not held back for the sake of others
	LateShare float64       // share of the worth that an answer after the aim earns
	Worth     float64
	Stream    bool
}

// Tenant has a quota of requests.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all copies of the tier
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

// Settings are fixed for the life of a Balancer.
type Settings struct {
	Classes     []Class
	Balancers   int     // copies that place calls on this tier
	Index       int     // of this copy among them, from 0
	Tier        int     // the tier sent to, 0 being the clients' first
	WholeWeight float64 // how much the whole of the worth counts when shedding
	ClassWeight float64 // how much the worst-served class counts when shedding
	// TenantWeight is how much it counts when shedding that a tenant gets less than an equal part of what is
	// served; 0: tenants are not told apart.
	TenantWeight float64
	// Tenants are those who have a quota. What one asks beyond it is worth OverShare of the usual, and
	// WorstTenantWeight is how much the one served worst within its quota counts when shedding.
	Tenants           []Tenant
	OverShare         float64
	WorstTenantWeight float64

	MaxAttempts   int
	SecondCopies  bool // two attempts of a request may be out at once
	StartCalls    int  // a server takes so many at once, as far as is known at the start; 0: not known
	Spares        int  // servers named beside the chosen one, where whoever carries an attempt may try them
	MayCancel     bool
	Sizes         Sizes
	AskDiscovery  bool          // the list follows only a Subscribe
	AskWithin     time.Duration // an unsubscribed copy must ask at least this often
	ToldAfter     time.Duration // what discovery has to tell counts as told by then, heard or not; 0: only what is heard
	Tick          time.Duration // events come no more often than this
	MaxRetryAfter time.Duration // longest advice that clients heed

	ColdFrom     float64       // share of its capacity that a fresh server has at least
	WarmAfter    time.Duration // time after which it has all of it
	FallMultiple float64       // a fresh server sent more than this times its capacity
	FallFor      time.Duration // for this long falls over
}

// Validate returns an error that names the setting at fault, or nil.
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

// ServerState is what discovery says of a server.
type ServerState int

// Server states.
const (
	Ready ServerState = iota
	Draining
	Gone
)

// Place is where servers stand: a zone, and the priority that the list gives them there, 0 first.
type Place struct {
	Zone     string
	Priority int
}

// Server is an entry of the discovery list.
type Server struct {
	ID        string
	Zone      string
	Priority  int     // in its zone, where the list tells one; 0 comes first
	Weight    float64 // of its zone among those of that priority, where the list tells one; the module does not read it
	Cell      int
	State     ServerState
	Size      float64       // as registered, against other servers'; see Settings.Sizes. 0: as 1
	StartedAt time.Duration // clock time of its last start; 0: long ago
}

// Ending says how an attempt ended.
type Ending int

// Endings. Overloaded, Unreachable and NeverSent prove that the attempt never ran.
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

// Load is a server's own report, late and noisy. Absent values are negative.
type Load struct {
	Busy    float64       // requests it holds
	Service time.Duration // recent service time without waiting
}

// Event is something that happened: one of the types below.
type Event interface{ event() }

type (
	// ServerList brings news from discovery. Full: the complete list, absent servers are gone.
	// Otherwise only changed entries; none says that discovery is heard and has nothing new.
	ServerList struct {
		Full     bool
		Cached   bool // last held before a restart, possibly out of date
		Operator bool // an operator's word, not discovery's, which has not been heard by it
		Servers  []Server
	}
	// Fleet tells this copy's place anew, where the copies are not fixed by the settings. Divisor is what rations of all
	// copies are divided by for this one, 1 or more; +Inf: no part of any is this copy's until it is told another.
	Fleet struct {
		Balancers, Index int
		Divisor          float64
		// Subset names the servers that first attempts are drawn from; nil: they are cut from the shared order by number.
		Subset []string
		Whole  bool // first attempts are drawn from the whole list, whatever their number
		// Takes is how many calls a server takes at once from all copies together, as far as is known; 0: not known.
		ServerCalls float64
		// Quotas are this copy's parts of tenants' quotas, 0 to 1, in place of 1/Divisor where they name one.
		Quotas map[string]float64
	}
	// Classes adds classes to those of the settings, or tells some of them anew, where they change while it runs.
	Classes struct{ Classes []Class }
	// PeerReports tells what other copies have seen of servers. One that is named is put aside until then as if it were
	// ejected, and comes back by one safe trial, for nothing of it was seen by this copy.
	PeerReports struct{ Exclusions []Exclusion }
	// Exclusion is a server that others have good reason not to use.
	Exclusion struct {
		ID        string
		StartedAt time.Duration // its start that this is said of
		Until     time.Duration // clock time
	}
	// ListFailed says that a Subscribe failed or that the subscription broke. Garbled: discovery is there and
	// answered, but what it said can't be read, or broke off.
	ListFailed struct{ Garbled bool }
	// Request is a client's request; the Balancer owes it one final answer by Deadline.
	Request struct {
		ID          string
		Class       string
		Deadline    time.Duration // clock time
		ClientRetry bool          // the client marked it as a repeat
		Cost        time.Duration // hint of its work, as time on a standard core; 0: no hint
		Tenant      string        // who asks, see Settings.TenantWeight and Settings.Tenants
		Candidates  []string      // ids of the servers that it may go to; nil: any
		// Places are those that it may go to, in order: the next only if the one before has no server for it. nil:
		// any; empty: none.
		Places []Place
		From   string // zone of whoever asks, if told; the module does not read it
		Size   int64  // bytes of its body; the module does not read it
	}
	// Outcome ends one attempt. Ended: the request has its final answer.
	Outcome struct {
		ID       string
		Attempt  int
		Server   string
		Ending   Ending
		Latency  time.Duration
		Ended    bool
		Consumed bool // part of the request has gone and can't be sent again
		Load     *Load
		// What went between: the bytes of bodies, and whether the request was written whole. The module reads none.
		Wrote   bool
		Out, In int64
	}
	// Started says that a streamed answer has begun: the attempt is the client's from here on. Transfer: the server has
	// done its work, and what takes time is only the way to the client.
	Started struct {
		ID       string
		Attempt  int
		Transfer bool
	}
	// ClientGone says that the client left; nothing more is owed.
	ClientGone struct{ ID string }
	// Timer is a Wake come due.
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

// Action is something the host must do, in the order given: one of the types below.
type Action interface{ action() }

type (
	// Send starts the next attempt of a request (numbered from 0); it times out after Timeout.
	// Spares, for safe classes where Settings ask for them, may be tried in that order in place of Server.
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
	// Reject is a final answer that promises that a retry does no harm.
	Reject struct {
		ID         string
		RetryAfter time.Duration // advice; 0: none
	}
	// Fail is a final answer that promises nothing.
	Fail struct{ ID string }
	// Wake asks for a Timer with this token at the clock time At.
	Wake struct {
		At    time.Duration
		Token string
	}
	// Subscribe asks discovery for the list and its changes.
	Subscribe struct{}
)

func (Send) action()      {}
func (Cancel) action()    {}
func (Reject) action()    {}
func (Fail) action()      {}
func (Wake) action()      {}
func (Subscribe) action() {}
