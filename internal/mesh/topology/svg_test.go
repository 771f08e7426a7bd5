package topology

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// drawingDirEnv names the environment variable with a folder to which TestDrawingShowsEverything writes its drawings for inspection.
const drawingDirEnv = "TOPOLOGY_DRAWINGS"

// The drawing of 16 and of 80 machines has every machine, route and warning.
func TestDrawingShowsEverything(t *testing.T) {
	for _, sidecars := range []int{13, 77} {
		sample := sampleTopology(sidecars)
		var drawn bytes.Buffer
		sample.WriteSVG(&drawn)
		text := drawn.String()
		for _, s := range sample.Sidecars {
			assert.Assert(t, strings.Contains(text, ">"+s.Name+"<"), s.Name)
		}
		for _, r := range sample.Routes {
			assert.Assert(t, strings.Contains(text, r.Host+r.Prefix))
		}
		for i, m := range sample.Members {
			assert.Assert(t, strings.Contains(text, map[bool]string{true: ">leader ", false: ">member "}[i == 1]+m.Name+"<"))
		}
		for _, warning := range sample.Warnings() {
			assert.Assert(t, strings.Contains(text, ">"+warning+"<"), warning)
		}
		if dir := os.Getenv(drawingDirEnv); dir != "" {
			assert.NilError(t, os.WriteFile(filepath.Join(dir, fmt.Sprint("mesh-", sidecars, ".svg")), drawn.Bytes(), 0o600))
		}
	}
}

// sampleTopology returns a mesh with a number of sidecars, some of them unavailable.
func sampleTopology(sidecars int) Topology {
	t := Topology{
		AskedMember: "10.1.0.42:7380", QuorumContact: true, ConfigurationIndex: 5,
		Items: []ItemVersion{{Kind: "route", Name: "r-1", Version: 7}},
	}
	for i := range 3 {
		addr := fmt.Sprintf("10.%d.0.42:7380", i+1)
		process := Process{Name: fmt.Sprint("core-", i+1), Addr: addr, Zone: fmt.Sprint("hall-", i%3), QuorumContact: true}
		t.Members = append(t.Members, Member{Process: process, IsMember: true, IsLeader: i == 1, Term: 4, AppliedIndex: 1200})
	}
	for i := range sidecars {
		process := Process{
			Name: fmt.Sprintf("sidecar-hall-%d-%d", i%3, i), Addr: fmt.Sprintf("10.%d.0.%d:7381", i%3+1, i),
			Zone: fmt.Sprint("hall-", i%3), QuorumContact: true,
		}
		s := Sidecar{
			Process: process, FollowedMember: fmt.Sprintf("10.%d.0.42:7380", i%3+1), Ready: true, Service: fmt.Sprint("service-", i%4),
			ServerID: fmt.Sprintf("i-%06x", i*7919), State: stateReady, Slots: 12,
		}
		switch i {
		case 2:
			s.State, s.StateReason = stateDraining, "it announced its shutdown"
		case 5:
			s.State, s.StateReason = stateDown, "it has sent no heartbeat for 5s"
		case 7:
			s.Unreachable = "no answer"
		case 8:
			s.StaleItems = t.Items
		}
		t.Sidecars = append(t.Sidecars, s)
	}
	for i := range 8 {
		t.Routes = append(t.Routes, Route{
			Name: fmt.Sprint("r-", i), Host: "push.example", Prefix: fmt.Sprintf("/p%d/", i), Kind: "idempotent",
			Version: 7, TimeoutS: 2, MaxAttempts: 2, Destinations: []WeightedService{
				{Service: fmt.Sprint("service-", i%4), Share: 0.9}, {Service: fmt.Sprint("service-", (i+1)%4), Share: 0.1},
			},
		})
	}
	return t
}
