// Package config implements the configuration of the mesh as a table of versioned items. It parses and validates operators'
// requests, merges items, decides which operations on an item are remembered, and defines the errors that operators see.
//
// Merging is last-writer-wins by version, as in the register of a state-based CRDT: of two versions of an item the higher one wins,
// and a lower or equal version changes nothing. Tables into which the same items were merged are therefore equal, regardless of the
// order. A deleted item is kept as a tombstone with its version. In addition, updates are idempotent: a repeated request that was
// accepted before is accepted again without effect, whatever was accepted in the meantime. If a version was accepted with one
// content, a request that contains the same version with another content is refused as a whole (package operations).
//
// The package is deterministic. It must never read a clock, draw a random number or do I/O, because every control-plane member
// applies the same log of updates and all must produce the same table. Items and tables are immutable, so any goroutine may read
// them without a lock.
//
// The JSON format and the rules for versions are described in docs/design/control.md. For the merge see M. Shapiro and others,
// "Conflict-free replicated data types" (2011).
package config
