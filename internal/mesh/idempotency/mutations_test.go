package idempotency

import (
	"testing"

	"cranegrade/internal/testkit/mutation"
)

// TestLeaseMutations is a mutation test: each of these faults in granting leases must be detected by the named test of this package.
func TestLeaseMutations(t *testing.T) {
	mutation.Run(t, []mutation.Mutation{
		{
			Name: "a key granted to another request within the window of the lease", File: "store.go", KilledBy: "TestAllOrdersOfRequests",
			Original:    "	if l.Token != request.Token {\n		return false\n	}\n",
			Replacement: "	if l.Token != request.Token {\n		return l.Attempt < request.Attempt\n	}\n",
		},
		{
			Name: "a key granted to another holder for the same attempt", File: "store.go", KilledBy: "TestAttemptsOfOneToken",
			Original:    "l.Attempt == request.Attempt && l.Holder == request.Holder",
			Replacement: "l.Attempt == request.Attempt",
		},
		{
			Name: "a key granted to an earlier attempt than the one that has the lease", File: "store.go", KilledBy: "TestAttemptsOfOneToken",
			Original:    "return l.Attempt < request.Attempt ||",
			Replacement: "return l.Attempt != request.Attempt ||",
		},
		{
			Name: "a repeated request is refused", File: "store.go", KilledBy: "TestAllOrdersOfRequests",
			Original:    "return l.Attempt < request.Attempt || l.Attempt == request.Attempt && l.Holder == request.Holder",
			Replacement: "return l.Attempt < request.Attempt",
		},
		{
			Name: "a lease that never expires", File: "store.go", KilledBy: "TestLeaseExpiresAfterItsWindow",
			Original:    "return now-l.GrantedAt > l.duration() }",
			Replacement: "return false }",
		},
		{
			Name: "a lease that expires too early", File: "store.go", KilledBy: "TestLeaseExpiresAfterItsWindow",
			Original:    "return now-l.GrantedAt > l.duration() }",
			Replacement: "return now-l.GrantedAt >= l.duration() }",
		},
		{
			Name: "a request without a window gets a lease of no duration", File: "store.go", KilledBy: "TestDefaultWindow",
			Original:    "		return defaultWindow\n",
			Replacement: "		return 0\n",
		},
		{
			Name: "a release by another request takes effect", File: "store.go", KilledBy: "TestAllOrdersOfRequests",
			Original:    "if held && lease.Token == request.Token && lease.Attempt == request.Attempt {",
			Replacement: "if held && lease.Attempt == request.Attempt {",
		},
		{
			Name: "a release by another attempt takes effect", File: "store.go", KilledBy: "TestAttemptsOfOneToken",
			Original:    "if held && lease.Token == request.Token && lease.Attempt == request.Attempt {",
			Replacement: "if held && lease.Token == request.Token {",
		},
		{
			Name: "expired leases are not removed", File: "store.go", KilledBy: "TestLeaseExpiresAfterItsWindow",
			Original:    "	s.earliestExpiry = min(s.earliestExpiry, now+lease.duration())\n",
			Replacement: "",
		},
		{
			Name: "a sweep removes leases that have not expired", File: "store.go", KilledBy: "TestDefaultWindow",
			Original:    "		if lease.isExpired(now) {\n			delete",
			Replacement: "		if now > 0 {\n			delete",
		},
		{
			Name: "a full store grants requests", File: "store.go", KilledBy: "TestFullStoreGrantsNothing",
			Original:    "case !held && len(s.leases) >= MaxLeases:",
			Replacement: "case false:",
		},
		{
			Name: "a full store is not swept", File: "store.go", KilledBy: "TestFullStoreGrantsNothing",
			Original:    " || len(s.leases) >= MaxLeases {",
			Replacement: " {",
		},
	})
}
