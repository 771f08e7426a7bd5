package idempotency

import (
	"testing"

	"cranegrade/internal/testkit/mutation"
)

// Each error in who is granted a key is found by a test of this package.
func TestPlantedErrors(t *testing.T) {
	mutation.Run(t, []mutation.Mutation{
		{
			Name: "a key granted to another request in its window", File: "ticket.go", KilledBy: "TestAllOrders",
			Original:    "		h.Ticket == c.Ticket && h.Nth < c.Nth,",
			Replacement: "		h.Nth < c.Nth,",
		},
		{
			Name: "a key granted again to another holder of one attempt", File: "ticket.go", KilledBy: "TestAttemptsOfOneToken",
			Original:    "h.Ticket == c.Ticket && h.Nth == c.Nth && h.Holder == c.Holder:",
			Replacement: "h.Ticket == c.Ticket && h.Nth == c.Nth:",
		},
		{
			Name: "a key granted to an attempt before the one that holds it", File: "ticket.go", KilledBy: "TestAttemptsOfOneToken",
			Original:    "h.Ticket == c.Ticket && h.Nth < c.Nth,",
			Replacement: "h.Ticket == c.Ticket && h.Nth != c.Nth,",
		},
		{
			Name: "a repeated claim refused", File: "ticket.go", KilledBy: "TestAllOrders",
			Original:    "h.Ticket == c.Ticket && h.Nth == c.Nth && h.Holder == c.Holder: // it asks",
			Replacement: "false: // it asks",
		},
		{
			Name: "a window that never ends", File: "ticket.go", KilledBy: "TestWindow",
			Original:    "return now-h.Stamp > h.window() }",
			Replacement: "return false }",
		},
		{
			Name: "a window that ends too soon", File: "ticket.go", KilledBy: "TestWindow",
			Original:    "return now-h.Stamp > h.window() }",
			Replacement: "return now-h.Stamp >= h.window() }",
		},
		{
			Name: "a claim without a window that holds nothing", File: "ticket.go", KilledBy: "TestDefaultWindow",
			Original:    "		return unnamed\n",
			Replacement: "		return 0\n",
		},
		{
			Name: "a release by another request", File: "ticket.go", KilledBy: "TestAllOrders",
			Original:    "if is && h.Ticket == c.Ticket && h.Nth == c.Nth {",
			Replacement: "if is && h.Nth == c.Nth {",
		},
		{
			Name: "a release by another attempt", File: "ticket.go", KilledBy: "TestAttemptsOfOneToken",
			Original:    "if is && h.Ticket == c.Ticket && h.Nth == c.Nth {",
			Replacement: "if is && h.Ticket == c.Ticket {",
		},
		{
			Name: "what is past its window kept", File: "ticket.go", KilledBy: "TestWindow",
			Original:    "		b.first = min(b.first, now+b.held[c.Key].window())\n",
			Replacement: "",
		},
		{
			Name: "a sweep of what is within its window", File: "ticket.go", KilledBy: "TestDefaultWindow",
			Original:    "		if h.over(now) {\n			delete(b.held, k)",
			Replacement: "		if now > 0 {\n			delete(b.held, k)",
		},
		{
			Name: "a full book that grants", File: "ticket.go", KilledBy: "TestFullStoreGrantsNothing",
			Original:    "case !is && len(b.held) >= MostHeld: // all",
			Replacement: "case false: // all",
		},
		{
			Name: "a full book that is not swept", File: "ticket.go", KilledBy: "TestFullStoreGrantsNothing",
			Original:    " || len(b.held) >= MostHeld {",
			Replacement: " {",
		},
	})
}
