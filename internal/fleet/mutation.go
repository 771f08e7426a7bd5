package fleet

import (
	"time"

	"cranegrade/internal/fleet/outlier"
)

// mutationHooks lets tests and drills inject faults into a member, to show that they are detected (mutation testing). In production all
// fields are zero. Only test files of this package set them, and the source files that package testfleet adds when it builds a faulty
// program. They must be set before the first member starts, and must not change while one runs.
var mutationHooks struct {
	// alterRole modifies a member's role in a pool after it was derived from the view and the share.
	alterRole func(*Role)
	// replaceRole returns the role to publish instead of next; previous is nil before the first.
	replaceRole func(now time.Duration, previous, next *Role) *Role
	// ignoreExpiry makes pools use a role after its grants have expired.
	ignoreExpiry bool
	// replaceDigest returns the digest to send instead of the member's own.
	replaceDigest func(*Module) outlier.Digest
	// trustUnbounded disables the bounds that protect servers against false reports of other members.
	trustUnbounded bool
}
