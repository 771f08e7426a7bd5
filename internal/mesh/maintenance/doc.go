// Package maintenance decides when a machine may be taken out for maintenance, and what is done then.
//
// It owns three things. Contracts approve hours (contract.go, validate.go, windows.go). A plan says whether a machine may be
// taken out now, and why not (view.go, plan.go). An order is the replicated record of machines that are drained, worked on and
// let in again, one after the other (order.go, ordertable.go, next.go). All of them go by a time of day on which a majority of
// the control-plane members' clocks agrees (clock.go).
//
// The package is pure: it never reads a clock, starts a goroutine, logs or does I/O, and the same calls give the same answers.
// The leader decides with Order.Next and proposes what that returns; each replica applies what was committed with
// OrderTable.Place and OrderTable.Apply, and must reach the same state as all others.
//
// Orders, changes and the agreed clock are stored as JSON in the raft log and in snapshots, contracts are configuration items:
// the names in their tags, the steps' values and the text that Place writes are data, and never change.
//
// Sources: docs/maintenance.md and docs/design/maintenance.md; for the agreed time, K. Marzullo, "Maintaining the time in a
// distributed system" (1984), and the bounded clocks of Spanner's TrueTime.
package maintenance
