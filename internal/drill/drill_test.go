package drill

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// program is built once for all tests.
var programPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "drill-test")
	if err != nil {
		panic(err)
	}
	programPath = filepath.Join(dir, "cranegrade")
	if out, err := exec.Command("go", "build", "-o", programPath, "cranegrade/cmd/cranegrade").CombinedOutput(); err != nil {
		panic(string(out))
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// maxParallelDrills bounds the drills that run at once: each is a program, its servers and its callers, held to time-outs.
const maxParallelDrills = 6

var parallelDrills = make(chan struct{}, maxParallelDrills)

// runParallel has a test run beside others, once fewer than maxParallelDrills do.
func runParallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	parallelDrills <- struct{}{}
	t.Cleanup(func() { <-parallelDrills })
}

// runDrill runs a short form, with patience for slow machines: rules are judged, not speed.
func runDrill(t *testing.T, args ...string) (map[string]any, int) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code := Run(context.Background(), append([]string{"-json", "-slack", "3s", "-program", programPath}, args...), &stdout, &stderr)
	object := map[string]any{}
	if err := json.Unmarshal(stdout.Bytes(), &object); err != nil {
		t.Fatalf("%v: %q, %s", err, stdout.String(), stderr.String())
	}
	return object, code
}

// Each drill keeps the rules, and something happens in it.
func TestDrills(t *testing.T) {
	for _, s := range drills {
		t.Run(s.name, func(t *testing.T) {
			if strings.HasPrefix(s.name, "extproc") || slices.Contains(fleetDrills, s.name) {
				runParallel(t) // so many, and mostly waiting
			}
			got, code := runDrill(t, "-for", "2s", s.name)
			if code != 0 {
				t.Errorf("exit %d, %v", code, got["wrong"])
			}
			for _, key := range []string{"requests", "served", "refused", "failed", "lost", "twice", "drain_late", "cold_over"} {
				if _, is := got[key].(float64); !is {
					t.Errorf("no figure %s in %v", key, got)
				}
			}
			if key := map[string]string{"load": "requests_per_s", "xds-size": "changes", "fleet": "drills", "fleet-size": "fleets"}[s.name]; key != "" {
				if got[key].(float64) <= 0 {
					t.Errorf("%v", got)
				}
				return
			}
			if got["served"].(float64) < 50 {
				t.Errorf("%v served", got["served"])
			}
		})
	}
}

// Each breach that the rig commits is found, and under its own name.
func TestPlants(t *testing.T) {
	for plant, key := range map[string]string{"lost": "lost", "twice": "twice", "drain": "drain_late", "cold": "cold_over"} {
		// A list of the registry, one of a control plane, requests that a proxy carries, and calls of gRPC.
		for _, name := range []string{"tour", "xds-chaos", "extproc-chaos", "grpc-chaos"} {
			t.Run(name+" "+plant, func(t *testing.T) {
				runParallel(t)
				got, code := runDrill(t, "-plant", plant, name)
				if code != 1 || got[key].(float64) == 0 {
					t.Errorf("exit %d, %v", code, got)
				}
			})
		}
	}
}

// A ban that is forgotten is found, and so are the four in the drill of operators.
func TestPlantsOfOperators(t *testing.T) {
	for plant, key := range map[string]string{"ban": "after_ban", "lost": "lost", "twice": "twice", "drain": "drain_late", "cold": "cold_over"} {
		t.Run(plant, func(t *testing.T) {
			runParallel(t)
			got, code := runDrill(t, "-plant", plant, "operators")
			if code != 1 || got[key].(float64) == 0 {
				t.Errorf("exit %d, %v", code, got)
			}
		})
	}
}

// A fleet whose rations follow what is seen at once, and one whose stopped process goes by what it stood on, are found
// to take more than the whole.
func TestPlantsOfMembers(t *testing.T) {
	for _, plant := range []string{"seen", "stalled"} {
		t.Run(plant, func(t *testing.T) {
			runParallel(t)
			got, code := runDrill(t, "-plant", plant, "members")
			if over, _ := got["over"].(float64); code != 1 || over == 0 {
				t.Errorf("exit %d, %v", code, got)
			}
		})
	}
}

// A fleet that believes one member's words without bounds is found to leave healthy servers unused.
func TestPlantOfSignals(t *testing.T) {
	runParallel(t)
	got, code := runDrill(t, "-plant", "gullible", "signals")
	if share, _ := got["named_share"].(float64); code != 1 || share >= 0.6 {
		t.Errorf("exit %d, %v", code, got)
	}
}

func TestUsage(t *testing.T) {
	for _, args := range [][]string{{}, {"nothing"}, {"-plant", "weeds", "tour"}, {"-colour", "tour"}, {"tour", "pools"}} {
		var stdout, stderr bytes.Buffer
		if code := Run(context.Background(), args, &stdout, &stderr); code != 2 || stderr.Len() == 0 {
			t.Errorf("%q: exit %d, %q", args, code, stderr.String())
		}
	}
	var stdout, stderr bytes.Buffer
	if code := Run(context.Background(), []string{"-list"}, &stdout, &stderr); code != 0 || strings.Count(stdout.String(), "\n") != len(drills) {
		t.Errorf("-list: exit %d, %q", code, stdout.String())
	}
}
