// Package hotrestart lets a process of a node take over from the one before it, as in Envoy's hot restart,
// and lets both hold the same administrative state while they run.
//
// A Server waits in the node's directory of state for a successor, which calls Connect. The successor gets
// a State, a versioned value (state.go), and the listening sockets (SCM_RIGHTS). After that the Link
// between the two carries changes of the administrative state both ways (link.go). Save and Load keep the
// administrative state over the time in which no process runs (file.go).
//
// The package never delays a start: without a predecessor, or with one that sends nothing valid within the
// handshake's time-out, a process starts as if it were alone. It accepts files, sockets and peers of its
// own user alone.
//
// A Server and a started Link each have a goroutine, which ends with Close. Close does not wait for it,
// since it may be called while the goroutine's callbacks wait for locks of the caller; Link.Done says when
// that of a link has ended. The design is in docs/design/handover.md.
package hotrestart
