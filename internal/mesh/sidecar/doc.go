// Package sidecar implements the sidecar: the proxy process beside an application server. It sends the application's
// requests to other services and receives the requests of other sidecars for the application server.
//
// The package assembles the HTTP front for the application's requests (package front), a connection pool with an
// engine and a decision module (package balancer) for each service, the connections to other sidecars, the component
// that runs requests at the local server, the API for that server's heartbeats, and the connection to the control
// plane, which supplies the configuration and the directory of sidecars.
//
// # State
//
// The sidecar is the source of two kinds of state: the state of its local server, which it publishes as a directory
// record, and the responses stored for repeated idempotency keys. All other state is a copy of what control-plane
// members sent. The members agree by consensus on the configuration items, the active policies and the machines in
// maintenance; the directory is merged by record version, without consensus. Each copy is an immutable snapshot that is
// replaced as a whole, so that a request uses the same one from beginning to end. Nothing is stored on disk.
//
// # Invariants
//
//   - No byte of a keyed request is sent to the server before the control plane has granted the lease of its key.
//   - A response has a Retry-After only if no attempt can have run or the route is idempotent.
//   - No new request is sent to a draining server. This is checked at the moment of sending, not when a request is
//     admitted.
//   - Decisions are made by packages without I/O: the decision module, routing, directory, retrybudget,
//     memberselection, policy and idempotency. This package only carries them out.
//
// # Goroutines and locks
//
// New and Run are each called once, by one goroutine; Reload and Addr may be called by any goroutine. Each concern is a
// type that owns its state. Its methods may be called by any goroutine, unless their comment says that the caller holds
// a lock or that they belong to run's goroutine. Locks are acquired in the order configuration or maintenanceView,
// localServer, servicePools, service. No lock is held during a call or a wait.
//
// # Files
//
//   - outbound_*: requests of the application beside the sidecar; upstream*: attempts of those requests at other
//     sidecars
//   - inbound_*: requests of other sidecars
//   - key_*: leases of idempotency keys; response_*: stored responses, and how other sidecars get them
//   - local_server*: the server beside the sidecar: its heartbeats, its health and the protocol towards it
//   - controlplane_*: the connection to the followed control-plane member
//   - configuration.go and policies*: the configuration in force in this sidecar; service*: the pools built from it
//   - directory_*: the other sidecars and their servers; maintenance.go: which machines are in maintenance
//   - sidecar.go, environment.go, readiness.go, status.go: assembly and lifecycle; hollow.go: a sidecar without traffic
//
// # References
//
// The protocol between callers, sidecars and servers is described in docs/design/mesh.md, the control plane in
// docs/design/control.md, and the path of a request in docs/ARCHITECTURE.md. HTTP follows RFC 9110, flow control
// RFC 9113, section 5.2.
package sidecar
