// Package zone implements locality-aware routing: it chooses the zone that serves a request, and accounts for and limits
// the traffic between zones.
//
// The package is deterministic: callers pass in events and the current time and get decisions back. It must never do I/O,
// read a clock or start a goroutine.
//
// A Selector chooses the localities that a request may go to: the client's own zone while it has spare capacity, then the
// cheapest zone that does. Each locality has an adaptive concurrency limit, which follows the outcomes of calls rather than
// the number of servers listed as healthy. A Budget limits the traffic of a pair of zones, an Account adds up traffic, and
// Accounting combines both behind a lock. Module wraps the decision module of an engine and sets the permitted localities
// of each request; the decision module then picks the server.
//
// Goroutines: a Selector and a Module belong to the goroutine of one engine; Accounting may be used by any
// goroutine. The node creates them and saves the state of the Accounting.
//
// Priorities and locality weights follow Envoy's EDS (priority levels, overprovisioning factor, locality weighted load
// balancing). Envoy's own arithmetic is in priority.go as a reference; docs/design/zones.md says where this package differs.
package zone
