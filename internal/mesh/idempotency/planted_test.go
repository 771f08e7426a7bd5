package idempotency

import (
	"testing"

	"cranegrade/internal/testkit/mutation"
)

// TestPlantedErrors is a mutation test: each planted error in granting leases must be found by a test of this package.
func TestPlantedErrors(t *testing.T) {
	mutation.Run(t, []mutation.Mutation{
		{
			Name: "a key granted to another request in its window", File: "store.go", KilledBy: "TestAllOrdersOfRequests",
			Original:    "	if l.Token != request.Token {\n		return false\n	}\n",
			Replacement: "	if l.Token != request.Token {\n		return l.Attempt < request.Attempt\n	}\n",
		},
		{
			Name: "a key granted again to another holder of one attempt", File: "store.go", KilledBy: "TestAttemptsOfOneToken",
			Original:    "l.Attempt == request.Attempt && l.Holder == request.Holder",
			Replacement: "l.Attempt == request.Attempt",
		},
		{
			Name: "a key granted to an attempt before the one that holds it", File: "store.go", KilledBy: "TestAttemptsOfOneToken",
			Original:    "return l.Attempt < request.Attempt ||",
			Replacement: "return l.Attempt != request.Attempt ||",
		},
		{
			Name: "a repeated request refused", File: "store.go", KilledBy: "TestAllOrdersOfRequests",
			Original:    "return l.Attempt < request.Attempt || l.Attempt == request.Attempt && l.Holder == request.Holder",
			Replacement: "return l.Attempt < request.Attempt",
		},
		{
			Name: "a lease that never ends", File: "store.go", KilledBy: "TestLeaseEndsWithItsWindow",
			Original:    "return now-l.GrantedAt > l.duration() }",
			Replacement: "return false }",
		},
		{
			Name: "a lease that ends too soon", File: "store.go", KilledBy: "TestLeaseEndsWithItsWindow",
			Original:    "return now-l.GrantedAt > l.duration() }",
			Replacement: "return now-l.GrantedAt >= l.duration() }",
		},
		{
			Name: "a request without a window that holds nothing", File: "store.go", KilledBy: "TestDefaultWindow",
			Original:    "		return defaultWindow\n",
			Replacement: "		return 0\n",
		},
		{
			Name: "a release by another request", File: "store.go", KilledBy: "TestAllOrdersOfRequests",
			Original:    "if held && lease.Token == request.Token && lease.Attempt == request.Attempt {",
			Replacement: "if held && lease.Attempt == request.Attempt {",
		},
		{
			Name: "a release by another attempt", File: "store.go", KilledBy: "TestAttemptsOfOneToken",
			Original:    "if held && lease.Token == request.Token && lease.Attempt == request.Attempt {",
			Replacement: "if held && lease.Token == request.Token {",
		},
		{
			Name: "expired leases kept", File: "store.go", KilledBy: "TestLeaseEndsWithItsWindow",
			Original:    "	s.earliestExpiry = min(s.earliestExpiry, now+lease.duration())\n",
			Replacement: "",
		},
		{
			Name: "a sweep of leases that have not expired", File: "store.go", KilledBy: "TestDefaultWindow",
			Original:    "		if lease.isExpired(now) {\n			delete",
			Replacement: "		if now > 0 {\n			delete",
		},
		{
			Name: "a full store that grants", File: "store.go", KilledBy: "TestFullStoreGrantsNothing",
			Original:    "case !held && len(s.leases) >= MaxLeases:",
			Replacement: "case false:",
		},
		{
			Name: "a full store that is not swept", File: "store.go", KilledBy: "TestFullStoreGrantsNothing",
			Original:    " || len(s.leases) >= MaxLeases {",
			Replacement: " {",
		},
	})
}
