// Package config holds the configuration of the mesh as versioned items. It owns how an operator's request is parsed and
// validated, how items are merged, which operations on an item are remembered, and the errors that an operator sees.
//
// Merging follows last-writer-wins by version, as in a register of a state-based CRDT: of two versions of an item the higher one
// wins and a lower or equal one changes nothing, so that tables that saw the same items are equal in whatever order they came. A
// deleted item stays as a tombstone that carries its version. On top of that an update is idempotent: a request that was accepted
// is accepted again without effect, whatever was accepted since, and a version that was accepted with one content is refused
// with another, together with the whole request that carries it (package operations).
//
// The package is pure. It must never read a clock, draw a random number or do I/O: every control-plane member applies the same
// log of updates, and all have to arrive at the same table. Items and tables are never changed once they were made, so any
// goroutine may read them without a lock.
//
// Sources: docs/design/control.md for the pages' JSON and the rules of versions; M. Shapiro and others, "Conflict-free
// replicated data types" (2011), for the merge.
package config
