package fleet

import (
	"time"

	"cranegrade/internal/fleet/outlier"
)

// mutations is the seam by which tests and drills make a member misbehave on purpose, to show that the misbehaviour is
// found. All fields are zero in service: nothing that ships sets them. Test files of this package may, and so does the
// source that package testfleet adds when it builds a faulty program. They are set before the first member starts
// and not changed while one runs.
var mutations struct {
	// role alters a member's role in a pool once it has been derived from its view and its share.
	role func(*Role)
	// publishedRole replaces the role that is about to be published; previous is nil before the first.
	publishedRole func(now time.Duration, previous, next *Role) *Role
	// ignoreExpiry keeps a role in force after the grants that it rests on have expired.
	ignoreExpiry bool
	// digest replaces the digests that a member sends to the others.
	digest func(*Module) outlier.Digest
	// trustUnbounded has others' digests believed without the bounds that protect servers from a wrong reporter.
	trustUnbounded bool
}
