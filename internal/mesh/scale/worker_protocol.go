package scale

import (
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/settings"
)

// Kinds of workers, as the command line names them.
const (
	workerFull     = "full"     // hollow sidecars with their whole control side
	workerAnnounce = "announce" // announcers
)

// request is one call to a worker, a line of JSON on its standard input; one field is set.
type request struct {
	Start   *startRequest   `json:"start,omitempty"`
	Await   *awaitRequest   `json:"await,omitempty"`
	Observe *observeRequest `json:"observe,omitempty"`
	Claim   *claimRequest   `json:"claim,omitempty"`
	Account *accountRequest `json:"account,omitempty"`
}

// response answers one, a line of JSON on standard output.
type response struct {
	Err     string        `json:"err,omitempty"`
	Await   *awaited      `json:"await,omitempty"`
	Observe *observed     `json:"observe,omitempty"`
	Claim   *claimOutcome `json:"claim,omitempty"`
	Account *account      `json:"account,omitempty"`
}

// startRequest starts sidecars with these settings.
type startRequest struct {
	Sidecars []settings.Settings `json:"sidecars"`
}

// awaitRequest waits until every sidecar has confirmed its configuration, knows so many sidecars and holds so many items.
type awaitRequest struct {
	Known    int     `json:"known"`
	Items    int     `json:"items"`
	TimeoutS float64 `json:"timeout_s"`
}

// awaited is when that came about, in Unix nanoseconds.
type awaited struct {
	Reached bool  `json:"reached"`
	At      int64 `json:"at"`
	// FewestKnown and Confirmed tell how far it got where it was not reached.
	FewestKnown int `json:"fewest_known"`
	Confirmed   int `json:"confirmed"`
}

// observeRequest begins an observation, or ends the one that runs and asks what it saw.
type observeRequest struct {
	Route  string                `json:"route,omitempty"`  // whose versions are noted
	Server string                `json:"server,omitempty"` // the sidecar whose server's state is waited for
	State  directory.ServerState `json:"state,omitempty"`
	Look   bool                  `json:"look,omitempty"` // only asks how far it is
	End    bool                  `json:"end,omitempty"`
}

// observed is what every sidecar of the worker had in force and when, in Unix nanoseconds.
type observed struct {
	Versions map[int64]int64 `json:"versions"` // by version of the route: when the last sidecar had it or a later one
	Latest   int64           `json:"latest"`   // the last of them
	Reached  int64           `json:"reached"`  // when the last sidecar knew the server's state; 0: not yet
}

// claimRequest has the sidecars claim keys, each one never claimed before, at an even pace.
type claimRequest struct {
	PerSecond float64 `json:"per_second"`
	Seconds   float64 `json:"seconds"`
	Prefix    string  `json:"prefix"`
}

// claimOutcome is what became of them.
type claimOutcome struct {
	Granted  int       `json:"granted"`
	Failed   int       `json:"failed"`
	Delays   Quantiles `json:"delays"` // of those that were granted
	StartedS float64   `json:"started_s"`
}

// accountRequest asks what the worker has said and heard; Collect: and what its heap holds after a collection.
type accountRequest struct {
	Collect bool `json:"collect"`
}

// account is the answer.
type account struct {
	Said       map[string]int64 `json:"said"`  // bytes sent to the control plane since the start, by purpose
	Heard      map[string]int64 `json:"heard"` // bytes received, the same
	Heap       int64            `json:"heap"`  // bytes in use after a collection, with goroutines' stacks; 0: not asked for
	Goroutines int              `json:"goroutines"`
}
