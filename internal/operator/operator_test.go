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

// Every example in the repository is good.
func TestExamples(t *testing.T) {
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

const good = `name = "edge"
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

func TestGood(t *testing.T) {
	// The route above names a class that b does not have: give it one that both have.
	p, err := Parse("good", []byte(strings.Replace(good, "class = \"send\"\n", "", 1)+`
[[routes]]
path = "/x"
pool = "a"
class = "send"
`))
	if err == nil || !strings.Contains(err.Error(), `pool a has no class "read"`) {
		t.Fatalf("a split whose pool lacks the class: %v", err)
	}
	p, err = Parse("good", []byte(strings.Replace(strings.Replace(good, "class = \"send\"\n", "", 1), "classes = [\"read\"]\n", "", 1)))
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
	// a's part is not told: a quarter of the calls, half of them dealt to two pools.
	if a.Limits.Calls.Min != 25 || a.Limits.Calls.Max != 0 || b.Limits.Calls.Min != 60 || b.Limits.Calls.Max != 80 || b.Limits.Bodies.Max != 64<<10 {
		t.Errorf("limits %+v and %+v", a.Limits, b.Limits)
	}
	r := route.Request{Host: "x.b.example.org", Path: "/read/1", Header: map[string][]string{"X-Tenant": {"7"}, "X-Any": {"1"}}}
	if to, ok := p.Routes.Match(&r); !ok || to.Route != 0 {
		t.Errorf("goes to %+v", to)
	}
	if err := p.Pools[0].Settings.Validate(); err != nil {
		t.Error(err)
	}
}

// Each fault is told with its line and key, and all of them at once.
func TestFaults(t *testing.T) {
	files, err := filepath.Glob("testdata/bad/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	for _, path := range files {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		// A line that has a fault says so in a comment: "#! key: reason", more than one by " | ".
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

// Every fault of [fleet] is told with its key.
func TestFleetFaults(t *testing.T) {
	const fine = "name = \"n1\"\nnodes = 3\n[fleet]\nlisten = \"127.0.0.1:7946\"\n"
	for text, key := range map[string]string{
		fine + "join = [\"nowhere\"]":                                 "fleet.join[0]",
		fine + "key = \"short\"":                                      "fleet.key",
		fine + "lease = \"10ms\"":                                     "fleet.lease",
		fine + "settle = \"1h\"":                                      "fleet.settle",
		fine + "probe = \"1ms\"":                                      "fleet.probe",
		fine + "advertise = \"0.0.0.0:7946\"":                         "fleet.advertise",
		fine + "zone = \"" + strings.Repeat("z", 40) + "\"":           "fleet.zone",
		fine + "colour = 1":                                           "fleet.colour",
		strings.Replace(fine, "nodes = 3", "", 1):                     "fleet.listen",
		strings.Replace(fine, "name = \"n1\"", "", 1):                 "fleet.listen",
		strings.Replace(fine, "\"n1\"", "\"n 1\"", 1):                 "name",
		strings.Replace(fine, "127.0.0.1:7946", "here:7946", 1):       "fleet.listen",
		strings.Replace(fine, "nodes = 3", "nodes = 3\nindex = 1", 1): "index",
		fine: "",
	} {
		_, rest, _ := strings.Cut(good, "index = 2")
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

func TestNoFile(t *testing.T) {
	if _, err := Load(filepath.Join(t.TempDir(), "none.toml")); err == nil || !strings.Contains(err.Error(), "none.toml") {
		t.Errorf("%v", err)
	}
	if _, err := Parse("long", make([]byte, maxFileBytes+1)); err == nil {
		t.Error("a file over the limit passes")
	}
}

// FuzzParse: whatever a file holds, there is a plan or there are faults with lines of the file, and a
// plan's settings are valid.
func FuzzParse(f *testing.F) {
	f.Add(good)
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

// What callers over HTTP/2 may have on its way is bounded by the room for bodies, unless the file says more.
func TestH2Window(t *testing.T) {
	file := func(more string) string {
		return "listen_h2 = [\"127.0.0.1:0\"]\ndefault = \"a\"\n" + more + "\n[[pools]]\nname = \"a\"\nregistry = \"127.0.0.1:1\"\n[[pools.classes]]\nname = \"read\"\neffect = \"safe\"\naim = \"1s\"\ndeadline = \"1s\"\n"
	}
	for more, check := range map[string]func(p Plan) bool{
		"":                          func(p Plan) bool { return p.H2.Window == 1<<20 },
		"h2 = { window = 2000000 }": func(p Plan) bool { return p.H2.Window == 2_000_000 },
		"limits = { memory_mb = 64, descriptors = 1000 }": func(p Plan) bool {
			return p.H2.Window >= 64<<10 && (p.H2.Window == 64<<10 || int64(p.H2.Window)*p.Totals.Callers <= p.Totals.Bodies)
		},
	} {
		p, err := Parse("test", []byte(file(more)))
		if err != nil {
			t.Fatal(err)
		}
		if !check(p) {
			t.Errorf("%s: a window of %d, %d callers, %d bytes of bodies", more, p.H2.Window, p.Totals.Callers, p.Totals.Bodies)
		}
	}
}
