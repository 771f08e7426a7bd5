// Package outlier implements outlier detection (as in Envoy) across the members of a fleet. Members share their observations of servers, so
// that a failing server costs each member fewer requests than if each had to detect the failure alone. Each member sends the others a
// small Digest of its own observations, and a Detector decides from the received digests which servers this member avoids.
//
// A report by another member is evidence, not proof. It ejects a server for a bounded time, until it is this member's turn to retry the
// server (package rotation), and it has no effect once this member's own requests to the server succeed. The effect of a member that
// reports wrongly is bounded:
//
//   - Reports of failures are ignored if they come from a member that reports many of its servers as failing: that member is more likely
//     to be unhealthy itself.
//   - Reports of failures of a server are ignored for a while if they come from a member that was wrong about that server.
//   - The reports of a single member eject only a few servers at a time, and each server only a few times in a row.
//
// The decision module limits the number of ejections again. Received observations are never forwarded as this member's own.
//
// The package is pure: time is an argument, and a Detector is not safe for concurrent use. docs/design/subsets.md
// describes the alternatives and has measurements.
package outlier
