package drill

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"cranegrade/internal/fake"
	"cranegrade/internal/testfleet"
)

// reload changes the operator's file again and again under load: pools are changed, removed and added,
// a host moves between two pools, lists change, and some files are bad. One server is listed in two
// pools and drains in one of them.
func reload(ctx context.Context, r *environment) error {
	f, err := r.startReloadable()
	if err != nil {
		return err
	}
	before, residentBefore := r.node.Resources()
	var faults sync.WaitGroup
	reloads, bad := 0, 0
	playing, over := context.WithCancel(ctx)
	defer over()
	faults.Go(func() { reloads, bad = r.reloadAgainAndAgain(playing, f) })
	if r.violation == "" {
		faults.Go(func() { r.drainSharedServer(playing, f) })
	}
	faults.Go(func() { // ends what goes on for as long as there is traffic
		select {
		case <-time.After(r.length):
		case <-ctx.Done():
		}
		over()
	})
	stream := func(host string, class fake.Class, rate float64) fake.Stream {
		return fake.Stream{Name: strings.SplitN(host, ".", 2)[0], Host: host, Class: class, Rate: rate, BodyBytes: 100}
	}
	if err := r.play(ctx, &faults, stream("a.example.org", readClass, 60), stream("a.example.org", orderClass, 30),
		stream("b.example.org", sendClass, 60), stream("b.example.org", cellClass, 30),
		stream("m.example.org", readClass, 40), stream("m.example.org", sendClass, 40),
		stream("c.example.org", readClass, 40)); err != nil {
		return err
	}
	r.addFigure("reloads", reloads, "files read while requests ran")
	r.addFigure("bad_files", bad, "of these with a fault, and so without effect")
	if err := r.judgeResources(f, before, residentBefore); err != nil {
		return err
	}
	v := r.records.History()
	r.judgeRouted(v)
	r.tables = append(r.tables, streamTable(v), serverTable(v))
	return nil
}

// startReloadable starts three groups, of which b's first server is listed in a, too, and the program with its first file.
func (r *environment) startReloadable() (*fileState, error) {
	a, err := r.group("a", "a.example.org", inCell(usual, 1), inCell(usual, 1), inCell(usual, 2))
	if err != nil {
		return nil, err
	}
	b, err := r.group("b", "", inCell(usual, 1), inCell(usual, 1), inCell(usual, 2)) // its registry counts for every other host
	if err != nil {
		return nil, err
	}
	c, err := r.group("c", "c.example.org", inCell(usual, 1), inCell(usual, 1))
	if err != nil {
		return nil, err
	}
	a.registry.Set(b.servers[0], "SERVING")
	f := &fileState{groups: map[string]*serverGroup{"a": a, "b": b, "c": c}, moving: "b", hasC: true}
	if err := r.start(f.text()); err != nil {
		return nil, err
	}
	return f, r.settle(a, b, c)
}

// reloadAgainAndAgain rewrites the file for the drill's length, one in eight with a fault, and returns how many were
// written and how many of them were bad.
func (r *environment) reloadAgainAndAgain(ctx context.Context, f *fileState) (reloads, bad int) {
	for end := time.Now().Add(r.length); time.Now().Before(end); {
		select {
		case <-time.After(time.Duration(20+r.rng.IntN(120)) * time.Millisecond):
		case <-ctx.Done():
			return reloads, bad
		}
		text := f.step(r)
		if r.rng.IntN(8) == 0 {
			bad++
			text = strings.Replace(text, "[[pools]]", "[[poools]]", 1)
		}
		if err := r.rewrite(text); err != nil {
			r.failf("reload: %v", err)
			return reloads, bad
		}
		reloads++
	}
	return reloads, bad
}

// drainSharedServer has the shared server drain in a, and only there, while another one drains in b.
func (r *environment) drainSharedServer(ctx context.Context, f *fileState) {
	a, b := f.groups["a"], f.groups["b"]
	for draining := false; ; {
		select {
		case <-time.After(r.length / 7):
		case <-ctx.Done():
			return
		}
		draining = !draining
		state := map[bool]fake.ListState{true: "DRAINING", false: "SERVING"}[draining]
		a.registry.Set(b.servers[0], state)
		b.registry.Set(b.servers[1], state)
	}
}

// judgeResources goes back to the first file: what pools that are gone held must have been given back.
func (r *environment) judgeResources(f *fileState, before, residentBefore int) error {
	f.moving, f.hasC, f.calls, f.static, f.aim = "b", true, 0, false, 0
	if err := r.rewrite(f.text()); err != nil {
		return err
	}
	r.callers.Close()
	var after, resident int
	returned := testfleet.Await(20*time.Second, func() bool {
		after, resident = r.node.Resources()
		return after <= before+2
	})
	r.addFigure("descriptors_before", before, "of the program, before any traffic")
	r.addFigure("descriptors_after", after, "and after it, once idle connections had ended")
	r.addFigure("resident_before_kb", residentBefore, "")
	r.addFigure("resident_after_kb", resident, "")
	if !returned && before > 0 {
		r.failf("%d descriptors before and %d after", before, after)
	}
	if r.node.Crashed() {
		r.failf("the program ended")
	}
	return nil
}

// judgeRouted counts requests that were refused for want of a pool although their host always had one.
func (r *environment) judgeRouted(v fake.History) {
	wrong := 0
	for _, x := range v.Exchanges {
		if x.Status == 404 && x.Stream != "c" || x.Status == 409 || x.Status == 400 {
			wrong++
		}
	}
	if wrong > 0 {
		r.failf("%d requests for hosts that always had a pool were turned away without one", wrong)
	}
}

// fileState is what the file says now.
type fileState struct {
	groups map[string]*serverGroup
	moving string // the pool of m.example.org
	hasC   bool
	calls  int  // a's limit; 0: none of its own
	static bool // c's list is in the file
	aim    int  // a part of b's settings that makes it another pool
}

// step changes one thing.
func (f *fileState) step(r *environment) string {
	switch r.rng.IntN(5) {
	case 0:
		f.moving = map[string]string{"a": "b", "b": "a"}[f.moving]
	case 1:
		f.hasC = !f.hasC
	case 2:
		f.calls = 100 + r.rng.IntN(100)
	case 3:
		f.static = !f.static
	case 4:
		f.aim++
	}
	return f.text()
}

func (f *fileState) text() string {
	a, b, c := f.groups["a"], f.groups["b"], f.groups["c"]
	limits := ""
	if f.calls > 0 {
		limits = fmt.Sprintf("limits = { calls = { min = 10, max = %d } }", f.calls)
	}
	text := "listen = [\"127.0.0.1:0\"]\nlimits = { cores = 1 }\n" + poolText("a", a.registryText(), limits) +
		poolText("b", b.registryText(), fmt.Sprintf("weights = { whole = 0.%d }", 5+f.aim%2))
	routes := "\n[[routes]]\nhost = \"a.example.org\"\npool = \"a\"\n[[routes]]\nhost = \"b.example.org\"\npool = \"b\"\n" +
		fmt.Sprintf("[[routes]]\nhost = \"m.example.org\"\npool = %q\n", f.moving)
	if f.hasC {
		source := c.registryText()
		if f.static {
			source = "servers = ["
			for _, s := range c.servers {
				source += fmt.Sprintf("{ id = %q, address = %q, zone = \"a\", cell = 1 }, ", s.ID(), s.Addr())
			}
			source += "]"
		}
		text += poolText("c", source)
		routes += "[[routes]]\nhost = \"c.example.org\"\npool = \"c\"\n[[routes]]\nhost = \"*.example.org\"\nprefix = \"/never\"\npool = \"c\"\n"
	}
	return text + routes
}
