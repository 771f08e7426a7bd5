package drill

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"slices"
	"strings"
	"testing"

	"cranegrade/internal/testfleet"
)

// minServed is the number of requests that a drill must serve in its short form, or nothing happened in it.
const minServed = 50

// violationLength is how long traffic runs where a violation is committed: for longer only if that takes longer.
const violationLength = "6s"

// programPath is the program, built once for all tests.
var programPath string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "drill-test")
	if err != nil {
		panic(err)
	}
	if programPath, err = testfleet.Build(dir); err != nil {
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// maxParallelDrills bounds the drills that run at once: each is a program, its servers and its callers, held to time-outs.
const maxParallelDrills = 6

var parallelDrills = make(chan struct{}, maxParallelDrills)

// drillsAlone are the drills that run before all others, one after the other: each keeps all cores busy, judges how much was served, or
// opens more connections than the program may have, which closes new ones that callers on a busy machine are slow to use.
var drillsAlone = []string{"load", "xds-size", "pools", "xds-chaos", "overload-start"}

// runParallel has a test run beside others, once fewer than maxParallelDrills do.
func runParallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	parallelDrills <- struct{}{}
	t.Cleanup(func() { <-parallelDrills })
}

// report is the JSON object that a drill prints.
type report map[string]any

// number is a figure of the report.
func (r report) number(t *testing.T, key string) float64 {
	t.Helper()
	v, ok := r[key].(float64)
	if !ok {
		t.Fatalf("no figure %s in %v", key, r)
	}
	return v
}

// runDrill runs a drill, with slack for slow machines: rules are judged, not speed.
func runDrill(t *testing.T, args ...string) (report, int) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	args = append([]string{"-json", "-slack", "3s", "-program", programPath}, args...)
	code := Run(context.Background(), args, &stdout, &stderr)
	r := report{}
	if err := json.Unmarshal(stdout.Bytes(), &r); err != nil {
		t.Fatalf("%v: %q, %s", err, stdout.String(), stderr.String())
	}
	return r, code
}

// assertFound checks that a drill has found a violation, under its own name.
func assertFound(t *testing.T, key string, args ...string) {
	t.Helper()
	got, code := runDrill(t, args...)
	if code != exitBroken || got.number(t, key) == 0 {
		t.Errorf("exit %d, %v", code, got)
	}
}

// measuredFigures are of drills that only measure: the figure that shows that something happened.
var measuredFigures = map[string]string{"load": "requests_per_s", "xds-size": "changes", "fleet": "drills", "fleet-size": "fleets"}

// assertKept checks that a drill keeps the rules in its short form, and that something happens in it.
func assertKept(t *testing.T, name string) {
	t.Helper()
	got, code := runDrill(t, "-for", "2s", name)
	if code != exitKept {
		t.Errorf("exit %d, %v", code, got["wrong"])
	}
	for _, key := range []string{"requests", "served", "refused", "failed", "lost", "twice", "drain_late", "cold_over"} {
		got.number(t, key)
	}
	if key := measuredFigures[name]; key != "" {
		if got.number(t, key) <= 0 {
			t.Errorf("%v", got)
		}
		return
	}
	if served := got.number(t, "served"); served < minServed {
		t.Errorf("%v served", served)
	}
}

// Each drill that has to run alone keeps the rules.
func TestDrillsAlone(t *testing.T) {
	for _, name := range drillsAlone {
		t.Run(name, func(t *testing.T) { assertKept(t, name) })
	}
}

// Each of the other drills keeps the rules.
func TestDrills(t *testing.T) {
	t.Parallel()
	for _, d := range drills {
		if slices.Contains(drillsAlone, d.name) {
			continue
		}
		t.Run(d.name, func(t *testing.T) {
			runParallel(t)
			assertKept(t, d.name)
		})
	}
}

// ruleFigures are the violations of the four rules, with the figures that show them.
var ruleFigures = map[string]string{"lost": "lost", "twice": "twice", "drain": "drain_late", "cold": "cold_over"}

// Each violation of a rule is found, under its own name.
func TestViolationsAreFound(t *testing.T) {
	t.Parallel()
	for violation, figure := range ruleFigures {
		// The list comes from the registry, or from a control plane; requests are carried by a proxy, or by gRPC.
		for _, name := range []string{"tour", "xds-chaos", "extproc-chaos", "grpc-chaos"} {
			t.Run(name+" "+violation, func(t *testing.T) {
				runParallel(t)
				assertFound(t, figure, "-for", violationLength, "-plant", violation, name)
			})
		}
	}
}

// Requests to a server that operators set down are found, and so are the four violations, in the drill of operators.
func TestViolationsOfOperatorsAreFound(t *testing.T) {
	t.Parallel()
	figures := map[string]string{"ban": "after_ban"}
	for violation, figure := range ruleFigures {
		figures[violation] = figure
	}
	for violation, figure := range figures {
		t.Run(violation, func(t *testing.T) {
			runParallel(t)
			assertFound(t, figure, "-for", violationLength, "-plant", violation, "operators")
		})
	}
}

// A fleet whose shares follow the reachable members at once, and one whose paused member uses shares that have expired, are found: their
// shares add up to more than 1.
func TestShareMutationsAreFound(t *testing.T) {
	t.Parallel()
	for _, mutation := range []string{"seen", "stalled"} {
		t.Run(mutation, func(t *testing.T) {
			runParallel(t)
			assertFound(t, "over", "-plant", mutation, "members")
		})
	}
}

// A fleet that believes one member's reports without bounds is found to leave healthy servers unused.
func TestGullibleMutationIsFound(t *testing.T) {
	runParallel(t)
	got, code := runDrill(t, "-plant", "gullible", "signals")
	if share := got.number(t, "named_share"); code != exitBroken || share >= 0.6 {
		t.Errorf("exit %d, %v", code, got)
	}
}

// Wrong arguments are refused with a message.
func TestWrongArgumentsAreRefused(t *testing.T) {
	for name, args := range map[string][]string{
		"no drill":          {},
		"unknown drill":     {"nothing"},
		"unknown violation": {"-plant", "weeds", "tour"},
		"unknown flag":      {"-colour", "tour"},
		"two drills":        {"tour", "pools"},
	} {
		t.Run(name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			if code := Run(context.Background(), args, &stdout, &stderr); code != exitUsage || stderr.Len() == 0 {
				t.Errorf("%q: exit %d, %q", args, code, stderr.String())
			}
		})
	}
}

// The list has a line for each drill.
func TestListNamesAllDrills(t *testing.T) {
	var stdout, stderr bytes.Buffer
	code := Run(context.Background(), []string{"-list"}, &stdout, &stderr)
	if code != exitKept || strings.Count(stdout.String(), "\n") != len(drills) {
		t.Errorf("exit %d, %q", code, stdout.String())
	}
}

// TestExitCodes pins the codes that scripts rely on.
func TestExitCodes(t *testing.T) {
	if exitKept != 0 || exitBroken != 1 || exitUsage != 2 {
		t.Errorf("kept %d, broken %d, usage %d, want 0, 1, 2", exitKept, exitBroken, exitUsage)
	}
}
