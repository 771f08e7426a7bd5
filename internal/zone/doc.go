// Package zone decides in which zone a request is served, and keeps account and budgets of the traffic between zones.
//
// The package is pure: events and the time go in, decisions come out. It must never do I/O, read a clock or start a goroutine.
//
// A Selector decides which localities a request may go to: its own zone as long as the servers there have room, then the
// cheapest zone that has. The room of a locality is an adaptive limit on the calls in flight, measured by how the calls
// there end, not by how many of its servers are listed as healthy. Budgets limit the traffic of each pair of zones, an
// Account adds it up, and Accounting is both together behind a lock. Module joins them: it wraps the decision module of an
// engine and names in each request the localities that it may go to. Which server of a locality is used stays the decision
// module's choice.
//
// Goroutines: a Selector and a Module belong to the goroutine of one engine; Accounting may be called from any. The node
// that makes them owns them, and saves the state of the Accounting.
//
// Priorities and locality weights follow Envoy's EDS (priority levels, overprovisioning factor, locality weighted load
// balancing). Envoy's own arithmetic is in priority.go as a reference; docs/design/zones.md says where this package differs.
package zone
