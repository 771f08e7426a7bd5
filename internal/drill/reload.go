package drill

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"cranegrade/internal/fake"
	"cranegrade/internal/testfleet"
)

const (
	resourcesTimeout  = 20 * time.Second // until the program has closed what it does not need any more
	spareDescriptors  = 2                // that the program may have open beyond those before the drill
	badReloadShare    = 8                // one in so many files has an error
	drainedPartsOfRun = 7                // the shared server changes its state so often
)

// reload changes the operator's file again and again under load: pools are changed, removed and added, a host moves between two pools,
// lists change, and some files have an error. One server is listed in two pools and drains in one of them.
func reload(ctx context.Context, env *environment) error {
	f, err := env.startReloadable()
	if err != nil {
		return err
	}
	before, residentBefore := env.node.Resources()
	var faults sync.WaitGroup
	reloads, bad := 0, 0
	playing, stop := context.WithTimeout(ctx, env.length)
	defer stop()
	faults.Go(func() { reloads, bad = env.reloadAgainAndAgain(playing, f) })
	if env.violation == "" {
		faults.Go(func() { env.drainSharedServer(playing, f) })
	}
	if err := env.runTraffic(ctx, &faults, reloadStreams()...); err != nil {
		return err
	}
	env.addFigure("reloads", reloads, "files read while requests ran")
	env.addFigure("bad_files", bad, "of these with an error, and so without effect")
	if err := env.judgeResources(f, before, residentBefore); err != nil {
		return err
	}
	env.judgeRouted(env.recorder.History())
	env.addTrafficTables()
	return nil
}

func reloadStreams() []fake.Stream {
	stream := func(host string, class fake.Class, rate float64) fake.Stream {
		name, _, _ := strings.Cut(host, ".")
		return fake.Stream{Name: name, Host: host, Class: class, Rate: rate, BodyBytes: 100}
	}
	return []fake.Stream{
		stream("a.example.org", testfleet.ReadClass, 60), stream("a.example.org", testfleet.OrderClass, 30),
		stream("b.example.org", testfleet.AlertClass, 60), stream("b.example.org", testfleet.CampaignClass, 30),
		stream("m.example.org", testfleet.ReadClass, 40), stream("m.example.org", testfleet.AlertClass, 40),
		stream("c.example.org", testfleet.ReadClass, 40),
	}
}

// startReloadable starts three groups, of which b's first server is listed in a, too, and the program with its first file.
func (env *environment) startReloadable() (*reloadableConfig, error) {
	a, err := env.startGroup("a", "a.example.org", serversInCells(1, 1, 2)...)
	if err != nil {
		return nil, err
	}
	b, err := env.startGroup("b", "", serversInCells(1, 1, 2)...) // its registry counts for every other host
	if err != nil {
		return nil, err
	}
	c, err := env.startGroup("c", "c.example.org", serversInCells(1, 1)...)
	if err != nil {
		return nil, err
	}
	a.registry.Set(b.servers[0], fake.ListServing)
	f := &reloadableConfig{a: a, b: b, c: c, poolOfM: "b", hasC: true}
	if err := env.startProgram(f.text()); err != nil {
		return nil, err
	}
	return f, env.awaitWatches(a, b, c)
}

// reloadAgainAndAgain rewrites the file for the drill's length, one in eight with an error, and returns how many were written and how many
// of them were bad.
func (env *environment) reloadAgainAndAgain(ctx context.Context, f *reloadableConfig) (reloads, bad int) {
	for end := time.Now().Add(env.length); time.Now().Before(end); {
		select {
		case <-time.After(time.Duration(20+env.rng.IntN(120)) * time.Millisecond):
		case <-ctx.Done():
			return reloads, bad
		}
		f.changeOneThing(env)
		text := f.text()
		if env.rng.IntN(badReloadShare) == 0 {
			bad++
			text = strings.Replace(text, "[[pools]]", "[[poools]]", 1)
		}
		if err := env.rewriteConfig(text); err != nil {
			env.failf("reload: %v", err)
			return reloads, bad
		}
		reloads++
	}
	return reloads, bad
}

// drainSharedServer has the shared server drain in a, and only there, while another one drains in b.
func (env *environment) drainSharedServer(ctx context.Context, f *reloadableConfig) {
	state := fake.ListServing
	for {
		select {
		case <-time.After(env.length / drainedPartsOfRun):
		case <-ctx.Done():
			return
		}
		if state == fake.ListServing {
			state = fake.ListDraining
		} else {
			state = fake.ListServing
		}
		f.a.registry.Set(f.b.servers[0], state)
		f.b.registry.Set(f.b.servers[1], state)
	}
}

// judgeResources goes back to the first file. What pools used that are gone must have been released.
func (env *environment) judgeResources(f *reloadableConfig, before, residentBefore int) error {
	f.reset()
	if err := env.rewriteConfig(f.text()); err != nil {
		return err
	}
	env.callers.Close()
	var after, resident int
	released := testfleet.Await(resourcesTimeout, func() bool {
		after, resident = env.node.Resources()
		return after <= before+spareDescriptors
	})
	env.addFigure("descriptors_before", before, "of the program, before any traffic")
	env.addFigure("descriptors_after", after, "and after it, once idle connections had ended")
	env.addFigure("resident_before_kb", residentBefore, "")
	env.addFigure("resident_after_kb", resident, "")
	if !released && before > 0 {
		env.failf("%d descriptors before and %d after", before, after)
	}
	if env.node.Crashed() {
		env.failf("the program ended")
	}
	return nil
}

// judgeRouted counts requests that were rejected for want of a pool although their host always had one.
func (env *environment) judgeRouted(h fake.History) {
	wrong := 0
	for _, x := range h.Exchanges {
		switch x.Status {
		case http.StatusNotFound:
			if x.Stream != "c" {
				wrong++
			}
		case http.StatusConflict, http.StatusBadRequest:
			wrong++
		}
	}
	if wrong > 0 {
		env.failf("%d requests for hosts that always had a pool were turned away without one", wrong)
	}
}

// reloadableConfig is the operator's file as it is now.
type reloadableConfig struct {
	a, b, c     *serverGroup
	poolOfM     string // the pool of m.example.org
	hasC        bool   // there is a pool c
	maxCallsOfA int    // limit of its calls; 0: none
	hasStaticC  bool   // c's list is in the file
	changesOfB  int    // a setting of b follows it, which makes b another pool
}

// reset goes back to the first file.
func (f *reloadableConfig) reset() {
	f.poolOfM, f.hasC, f.maxCallsOfA, f.hasStaticC, f.changesOfB = "b", true, 0, false, 0
}

// changeOneThing draws a change.
func (f *reloadableConfig) changeOneThing(env *environment) {
	switch env.rng.IntN(5) {
	case 0:
		f.poolOfM = map[string]string{"a": "b", "b": "a"}[f.poolOfM]
	case 1:
		f.hasC = !f.hasC
	case 2:
		f.maxCallsOfA = 100 + env.rng.IntN(100)
	case 3:
		f.hasStaticC = !f.hasStaticC
	case 4:
		f.changesOfB++
	}
}

func (f *reloadableConfig) text() string {
	limits := ""
	if f.maxCallsOfA > 0 {
		limits = fmt.Sprintf("limits = { calls = { min = 10, max = %d } }", f.maxCallsOfA)
	}
	text := oneCoreHeader + testfleet.PoolConfig("a", f.a.registryLine(), limits) +
		testfleet.PoolConfig("b", f.b.registryLine(), fmt.Sprintf("weights = { whole = 0.%d }", 5+f.changesOfB%2))
	routes := route("a.example.org", "a") + route("b.example.org", "b") + route("m.example.org", f.poolOfM)
	if f.hasC {
		source := f.c.registryLine()
		if f.hasStaticC {
			source = staticServers(f.c)
		}
		text += testfleet.PoolConfig("c", source)
		routes += route("c.example.org", "c") + "[[routes]]\nhost = \"*.example.org\"\nprefix = \"/never\"\npool = \"c\"\n"
	}
	return text + routes
}
