// Package maintenance decides when a machine may be taken out for maintenance, and which steps that takes.
//
// Contracts approve maintenance windows (contract.go, validate.go, windows.go). A plan says whether a machine may be
// taken out now, and if not, why (view.go, plan.go). An order is the replicated record of machines that are drained,
// maintained and returned to service one after the other (order.go, ordertable.go, next.go). All three use a time of
// day on which a majority of the control-plane members' clocks agree (clock.go).
//
// The package is pure: it never reads a clock, starts a goroutine, logs or does I/O, and the same calls give the same
// results. The leader decides the next change of an order with Order.Next and proposes it. Each replica applies
// committed changes with OrderTable.Place and OrderTable.Apply, which must lead to the same state everywhere.
//
// Orders, changes and the agreed clock are stored as JSON in the raft log and in snapshots; contracts are configuration
// items. The names in their struct tags, the values of the steps and the text that Place writes are therefore data and
// must never change.
//
// Sources: docs/maintenance.md and docs/design/maintenance.md; for the agreed time, K. Marzullo, "Maintaining the time
// in a distributed system" (1984), and the bounded clocks of Spanner's TrueTime.
package maintenance
