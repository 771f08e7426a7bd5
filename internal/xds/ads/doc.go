// Package ads is the client side of Envoy's aggregated discovery service (envoy.service.discovery.v3),
// written as pure state machines: events go in together with the time, actions come out. The package
// does no I/O, reads no clock and starts no goroutine. Package client is the shell that owns the
// streams, feeds the events in and carries the actions out.
//
// Machine implements both variants of the protocol, state of the world (SotW) and incremental (delta).
// It owns the subscriptions and the resources received for them, and keeps the resources when a stream
// breaks or another control plane takes over: a resource is removed only when a control plane says that
// it is gone, when its time to live ends, or when it is not confirmed in time.
//
// Failover decides which of several control planes is used and when each of them is dialed.
//
// Neither type is safe for concurrent use: each belongs to one goroutine.
//
// The specification is Envoy's "xDS REST and gRPC protocol"; docs/xds-conformance.md lists its
// requirements with the tests that cover them.
package ads
