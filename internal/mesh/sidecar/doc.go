// Package sidecar is the sidecar: the process beside an application server through which the server's requests to
// other services go out and those of others come in. It assembles the front for callers, a pool with engine and
// decision module for each service, the upstream connections to other sidecars, the part that runs requests at the
// local server, that server's heartbeats, and the connection to the control plane from which the sidecar learns all
// else.
//
// # What it owns
//
// It owns the state of the local server, which it publishes as a record, and the responses stored for repeated keys.
// Everything else is a copy of what control-plane members sent: items, active policies and the machines in maintenance,
// on which they agreed, and the directory, on which nobody has to agree. The copies are snapshots that are replaced as
// a whole, so that a request uses the same one from beginning to end. Nothing is kept on disk.
//
// # What it must never do
//
//   - It sends no byte of a keyed request to the server before the control plane has granted the key's lease.
//   - It answers with Retry-After only if no attempt can have run or the route is idempotent.
//   - It sends nothing new to a server that drains. This is checked at the moment of sending, not when a request is
//     admitted.
//   - It decides nothing that a pure package decides: the decision module, routing, directory, retrybudget,
//     memberselection, policy and idempotency. It carries their decisions out.
//
// # Goroutines and locks
//
// New and Run are called once, each by one goroutine; Reload and Addr may be called by any. Each concern is a type
// that owns its state. Its methods may be called by any goroutine, except where they say that the caller holds a lock
// or is run's goroutine. Locks are taken in the order configuration or maintenanceView, localServer, servicePools,
// service, and none is held during a call or a wait.
//
// # Files
//
//   - outbound_*: requests of the application beside the sidecar; upstream*: their attempts at other sidecars
//   - inbound_*: requests of other sidecars
//   - key_*: leases of idempotency keys; response_*: stored responses, and how other sidecars get them
//   - local_server*: the server beside the sidecar: its heartbeats, its health and the protocol towards it
//   - controlplane_*: the connection to the followed member
//   - configuration.go and policies*: what is in force here; service*: the pools that follow from it
//   - directory_*: the other sidecars and their servers; maintenance.go: which machines are out
//   - sidecar.go, environment.go, readiness.go, status.go: assembly and lifecycle; hollow.go: the control side alone
//
// # Sources
//
// The protocol between callers, sidecars and servers is in docs/design/mesh.md, the control side in
// docs/design/control.md. HTTP follows RFC 9110, flow control RFC 9113, section 5.2. docs/ARCHITECTURE.md describes
// the path of a request.
package sidecar
