package scale

import (
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/settings"
)

// Kinds of workers, as the command line names them.
const (
	workerFull     = "full"     // hollow sidecars with their complete control side
	workerAnnounce = "announce" // announcers
)

// maxLineBytes bounds a line of the protocol.
const maxLineBytes = 64 << 20

// request is one call to a worker, a line of JSON on its standard input. One field is set.
type request struct {
	Start   *startRequest   `json:"start,omitempty"`
	Await   *awaitRequest   `json:"await,omitempty"`
	Observe *observeRequest `json:"observe,omitempty"`
	Lease   *leaseRequest   `json:"claim,omitempty"`
	Account *accountRequest `json:"account,omitempty"`
}

// response is the answer to one request, a line of JSON on the worker's standard output.
type response struct {
	Err     string           `json:"err,omitempty"`
	Await   *awaitResponse   `json:"await,omitempty"`
	Observe *observeResponse `json:"observe,omitempty"`
	Lease   *leaseOutcome    `json:"claim,omitempty"`
	Account *account         `json:"account,omitempty"`
}

// startRequest starts sidecars with these settings.
type startRequest struct {
	Sidecars []settings.Settings `json:"sidecars"`
}

// awaitRequest waits until every sidecar has confirmed its configuration, and every full one knows Known sidecars and has Items items.
type awaitRequest struct {
	Known    int     `json:"known"`
	Items    int     `json:"items"`
	TimeoutS float64 `json:"timeout_s"`
}

// awaitResponse says whether the state was reached in time.
type awaitResponse struct {
	Reached bool  `json:"reached"`
	At      int64 `json:"at"` // Unix nanoseconds
	// FewestKnown and Confirmed say how far the sidecars got.
	FewestKnown int `json:"fewest_known"`
	Confirmed   int `json:"confirmed"`
}

// observeRequest begins an observation of a route or of a server, or asks about the one that runs.
type observeRequest struct {
	Route  string                `json:"route,omitempty"`  // whose versions are noted
	Server string                `json:"server,omitempty"` // address of the sidecar whose server is to reach State
	State  directory.ServerState `json:"state,omitempty"`
	Look   bool                  `json:"look,omitempty"` // only asks how far the sidecars are
	End    bool                  `json:"end,omitempty"`  // ends the observation, and asks what it saw
}

// observeResponse is what all sidecars of the worker had in force, and since when, in Unix nanoseconds.
type observeResponse struct {
	Versions map[int64]int64 `json:"versions"` // by version of the route: when the last sidecar had it or a later one
	Latest   int64           `json:"latest"`   // version that all sidecars have
	Reached  int64           `json:"reached"`  // when the last sidecar knew the server's state, or 0 if it does not yet
}

// leaseRequest has the sidecars lease keys at an even pace. Each key is new.
type leaseRequest struct {
	PerSecond float64 `json:"per_second"`
	Seconds   float64 `json:"seconds"`
	Prefix    string  `json:"prefix"` // of the keys
}

// leaseOutcome is what became of the leases.
type leaseOutcome struct {
	Granted  int       `json:"granted"`
	Failed   int       `json:"failed"`
	Delays   Quantiles `json:"delays"` // of those that were granted
	StartedS float64   `json:"started_s"`
}

// accountRequest asks for the traffic of the worker, and with Collect for its memory after a garbage collection.
type accountRequest struct {
	Collect bool `json:"collect"`
}

// account is the traffic and memory of a worker.
type account struct {
	Sent       map[string]int64 `json:"said"`  // bytes sent to the control plane since the start, by type of message
	Received   map[string]int64 `json:"heard"` // bytes received, the same
	Heap       int64            `json:"heap"`  // bytes in use after a collection, with the stacks of goroutines; 0 if not asked for
	Goroutines int              `json:"goroutines"`
}
