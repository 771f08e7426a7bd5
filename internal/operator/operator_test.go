package operator

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/route"
)

// Every example in the repository is valid.
func TestExamplesAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../deploy/examples/*.toml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("%d examples, %v", len(paths), err)
	}
	for _, p := range paths {
		if _, err := Load(p); err != nil {
			t.Error(err)
		}
	}
}

// validFile uses most tables, but its route names a class that pool b does not have.
const validFile = `name = "edge"
listen = ["127.0.0.1:0"]
default = "a"
nodes = 4
index = 2
[limits]
descriptors = 1024
calls = 100
[[pools]]
name = "a"
registry = "127.0.0.1:8500"
[[pools.classes]]
name = "send"
effect = "keyed"
scope = "zone"
window = "10s"
aim = "2s"
deadline = "5s"
late_share = 0.5
worth = 2
[[pools]]
name = "b"
sizes = "rough"
servers = [ { address = "127.0.0.1:1", zone = "z", cell = 3, size = 2.5 }, { id = "x", address = "127.0.0.1:2", draining = true } ]
limits = { calls = { min = 60, max = 80 }, bodies = { max = "64KiB" } }
[[pools.classes]]
name = "read"
effect = "safe"
aim = "100ms"
deadline = "1s"
[[routes]]
host = "*.B.example.org."
prefix = "/read"
headers = { x-tenant = "7", x-any = true }
split = { b = 3, a = 1 }
classes = ["read"]
class = "send"
`

// What a valid file says is in the plan, and defaults fill in the rest.
func TestParseFillsThePlan(t *testing.T) {
	withoutClass := strings.Replace(validFile, "class = \"send\"\n", "", 1)
	_, err := Parse("good", []byte(withoutClass+`
[[routes]]
path = "/x"
pool = "a"
class = "send"
`))
	if err == nil || !strings.Contains(err.Error(), `pool a has no class "read"`) {
		t.Fatalf("a split whose pool lacks the class: %v", err)
	}
	p, err := Parse("good", []byte(strings.Replace(withoutClass, "classes = [\"read\"]\n", "", 1)))
	if err != nil {
		t.Fatal(err)
	}
	a, b := p.Pools[0], p.Pools[1]
	if p.Name != "edge" || !slices.Equal(p.Listen, []string{"127.0.0.1:0"}) || p.Totals.Calls != 100 ||
		a.Settings.Balancers != 4 || a.Settings.Index != 2 || a.List.Registry != "127.0.0.1:8500" || !a.Pushed {
		t.Errorf("%+v", p)
	}
	if c := a.Settings.Classes[0]; c.Effect != balancer.IdempotentByKey || c.Scope != balancer.ScopeZone || c.Window != 10*time.Second ||
		c.Aim != 2*time.Second || c.Deadline != 5*time.Second || c.LateShare != 0.5 || c.Worth != 2 {
		t.Errorf("class %+v", c)
	}
	if s := b.List.Static; len(s) != 2 || s[0].ID != "127.0.0.1:1" || s[0].Zone != "z" || s[0].Cell != 3 || s[0].Size != 2.5 ||
		s[1].ID != "x" || s[1].State != balancer.Draining {
		t.Errorf("servers %+v", s)
	}
	// The file does not set a's minimum: half of the calls are divided evenly between the two pools, a quarter each.
	if a.Limits.Calls.Min != 25 || a.Limits.Calls.Max != 0 || b.Limits.Calls.Min != 60 || b.Limits.Calls.Max != 80 || b.Limits.RequestBodies.Max != 64<<10 {
		t.Errorf("limits %+v and %+v", a.Limits, b.Limits)
	}
	r := route.Request{Host: "x.b.example.org", Path: "/read/1", Header: map[string][]string{"X-Tenant": {"7"}, "X-Any": {"1"}}}
	if to, ok := p.Routes.Match(&r); !ok || to.Route != 0 {
		t.Errorf("the request matches %+v", to)
	}
	if err := p.Pools[0].Settings.Validate(); err != nil {
		t.Error(err)
	}
}

// Each mistake of a file is reported with file, line and key, and all of them at once.
func TestFaultsNameFileLineAndKey(t *testing.T) {
	files, err := filepath.Glob("testdata/bad/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, path := range files {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		// A line with a mistake has the expected fault in a comment: "#! key: text", several of them separated by " | ".
		var want []string
		for i, line := range strings.Split(string(text), "\n") {
			if _, marks, is := strings.Cut(line, "#! "); is {
				for _, m := range strings.Split(marks, " | ") {
					want = append(want, fmt.Sprintf("%s:%d: %s", path, i+1, m))
				}
			}
		}
		slices.Sort(want)
		_, err = Parse(path, text)
		var faults Faults
		if !errors.As(err, &faults) {
			t.Errorf("%s: %v", path, err)
			continue
		}
		var got []string
		for _, f := range faults {
			got = append(got, f.Error())
		}
		slices.Sort(got)
		if !slices.Equal(got, want) {
			t.Errorf("%s:\n got %s\nwant %s", path, strings.Join(got, "\n     "), strings.Join(want, "\n     "))
		}
	}
}

// Each mistake in [fleet] is reported with its key.
func TestFleetFaultsNameTheKey(t *testing.T) {
	const valid = "name = \"n1\"\nnodes = 3\n[fleet]\nlisten = \"127.0.0.1:7946\"\n"
	for text, key := range map[string]string{
		valid + "join = [\"nowhere\"]":                                 "fleet.join[0]",
		valid + "key = \"short\"":                                      "fleet.key",
		valid + "lease = \"10ms\"":                                     "fleet.lease",
		valid + "settle = \"1h\"":                                      "fleet.settle",
		valid + "probe = \"1ms\"":                                      "fleet.probe",
		valid + "advertise = \"0.0.0.0:7946\"":                         "fleet.advertise",
		valid + "zone = \"" + strings.Repeat("z", 40) + "\"":           "fleet.zone",
		valid + "colour = 1":                                           "fleet.colour",
		strings.Replace(valid, "nodes = 3", "", 1):                     "fleet.listen",
		strings.Replace(valid, "name = \"n1\"", "", 1):                 "fleet.listen",
		strings.Replace(valid, "\"n1\"", "\"n 1\"", 1):                 "name",
		strings.Replace(valid, "127.0.0.1:7946", "here:7946", 1):       "fleet.listen",
		strings.Replace(valid, "nodes = 3", "nodes = 3\nindex = 1", 1): "index",
		valid: "",
	} {
		_, rest, _ := strings.Cut(validFile, "index = 2")
		rest, _, _ = strings.Cut(rest, "[[routes]]")
		top, table, _ := strings.Cut(text, "[fleet]")
		_, err := Parse("f", []byte(top+"listen = [\"127.0.0.1:0\"]\ndefault = \"a\"\n[fleet]"+table+rest))
		var faults Faults
		if key == "" {
			if err != nil {
				t.Error(err)
			}
			continue
		}
		if !errors.As(err, &faults) || !slices.ContainsFunc(faults, func(f Fault) bool { return f.Key == key && (f.Line > 0 || key == "name") }) {
			t.Errorf("%q: no fault of %s: %v", text, key, err)
		}
	}
}

// A file that is missing or too long is an error that names it.
func TestUnreadableFileIsNamed(t *testing.T) {
	if _, err := Load(filepath.Join(t.TempDir(), "none.toml")); err == nil || !strings.Contains(err.Error(), "none.toml") {
		t.Errorf("%v", err)
	}
	if _, err := Parse("long", make([]byte, maxFileBytes+1)); err == nil {
		t.Error("a file over the limit passes")
	}
}

// FuzzParse: any text gives either a plan with valid settings or faults whose lines are in the file.
func FuzzParse(f *testing.F) {
	f.Add(validFile)
	paths, _ := filepath.Glob("testdata/bad/*.toml")
	more, _ := filepath.Glob("../../deploy/examples/*.toml")
	for _, p := range append(paths, more...) {
		text, err := os.ReadFile(p)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(string(text))
	}
	f.Fuzz(func(t *testing.T, text string) {
		p, err := Parse("f", []byte(text))
		if err != nil {
			var faults Faults
			if !errors.As(err, &faults) || len(faults) == 0 {
				t.Fatalf("%v", err)
			}
			for _, x := range faults {
				if x.Line < 0 || x.Line > strings.Count(text, "\n")+1 || x.Text == "" {
					t.Fatalf("%+v", x)
				}
			}
			return
		}
		for _, pp := range p.Pools {
			if err := pp.Settings.Validate(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// The flow-control window of callers over HTTP/2 fits the memory for bodies, unless the file sets it.
func TestH2WindowFitsTheMemoryForBodies(t *testing.T) {
	file := func(more string) string {
		return "listen_h2 = [\"127.0.0.1:0\"]\ndefault = \"a\"\n" + more + "\n[[pools]]\nname = \"a\"\nregistry = \"127.0.0.1:1\"\n[[pools.classes]]\nname = \"read\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"1s\"\n"
	}
	for more, check := range map[string]func(p Plan) bool{
		"":                          func(p Plan) bool { return p.H2.Window == 1<<20 },
		"h2 = { window = 2000000 }": func(p Plan) bool { return p.H2.Window == 2_000_000 },
		"limits = { memory_mb = 64, descriptors = 1000 }": func(p Plan) bool {
			return p.H2.Window >= 64<<10 && (p.H2.Window == 64<<10 || int64(p.H2.Window)*p.Totals.DownstreamConns <= p.Totals.RequestBodies)
		},
	} {
		p, err := Parse("test", []byte(file(more)))
		if err != nil {
			t.Fatal(err)
		}
		if !check(p) {
			t.Errorf("%s: a window of %d, %d callers, %d bytes of bodies", more, p.H2.Window, p.Totals.DownstreamConns, p.Totals.RequestBodies)
		}
	}
}
