// Package outlier is outlier detection (as in Envoy) by several members of a fleet: they share what they observe of servers, so that a
// failing server costs each of them fewer requests than it would alone. Each member sends the others a small Digest of what it has
// observed itself, and a Detector decides which servers a member avoids because of the others' digests.
//
// A report of others is a reason to be careful, not a fact. It ejects a server for a bounded time, until it is this member's turn to try
// it (package rotation), and is void as soon as this member's own requests there succeed. What a wrong member can do is
// bounded:
//
//   - A member that reports many of its servers as failing is not believed at all: it is more likely to be unhealthy itself.
//   - A member that was wrong about a server is not believed about it for a while.
//   - One member alone ejects only a few servers at a time, and one server only a few times in a row.
//
// The decision module bounds all ejections once more. What was received is never passed on as this member's own observation.
//
// The package is pure: time is an argument, and a Detector is not safe for concurrent use. docs/design/subsets.md has the alternatives
// and figures.
package outlier
