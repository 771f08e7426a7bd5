package demo

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Each scene comes to its end on a mesh of real processes, and finds nothing that is against the rules. The scenes of policies are
// audited by TestAuditPolicies alone: a response may name its policy beside the next set while that becomes active, which the scene
// finds and says.
func TestScenes(t *testing.T) {
	over, cancel := context.WithCancel(t.Context())
	cancel()
	for _, x := range []struct {
		name string
		play func(out *bytes.Buffer) error
		last string // that the scene prints
	}{
		{
			"failover", func(out *bytes.Buffer) error { return Failover(over, out, 3*time.Second) },
			"no order ran twice, and every answer belongs to its request",
		},
		{
			"maintenance", func(out *bytes.Buffer) error { return Maintenance(out, time.Second) },
			"no order ran twice, downloads are complete",
		},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			var out bytes.Buffer
			assert.NilError(t, x.play(&out), out.String())
			assert.Assert(t, strings.Contains(out.String(), x.last), out.String())
		})
	}
}
