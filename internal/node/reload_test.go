package node

import (
	"fmt"
	"os"
	"runtime"
	"strings"
	"testing"

	"go.uber.org/goleak"

	"cranegrade/internal/engine"
	"cranegrade/internal/fake"
	"cranegrade/internal/operator"
	"cranegrade/internal/testkit"
)

// A pool keeps its module and connections if the plan does not change it, or changes its list or limits alone. After any
// other change a new pool takes its place. A plan that is rejected changes nothing.
func TestReloadKeepsPools(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	a, b := env.server("a", quick), env.server("b", quick)
	n := env.run(planOf(t, "", poolOf("a", servers(a)), poolOf("b", servers(b))))
	engineOf := func(name string) *engine.Engine {
		p := n.serving.Load().pools[name]
		if p == nil {
			return nil
		}
		return p.Engine()
	}
	engineA, engineB := engineOf("a"), engineOf("b")
	env.ask("a", read)
	reload(t, n, planOf(t, "", poolOf("a", servers(a)), poolOf("b", servers(b), "attempts = 7")))
	if engineOf("a") != engineA || engineOf("b") == engineB {
		t.Error("a was replaced, or b was not")
	}
	engineB = engineOf("b")
	reload(t, n, planOf(t, "", poolOf("a", servers(a, b), "limits = { calls = { max = 9 } }"), poolOf("b", servers(b), "attempts = 7")))
	if engineOf("a") != engineA || engineOf("b") != engineB {
		t.Error("a pool was replaced because of its list and limits")
	}
	testkit.Eventually(t, "the new list is not used", func() bool {
		env.ask("a", read)
		l := env.rec.History().Arrivals
		return l[len(l)-1].Server == "b"
	})
	otherAddress := planOf(t, "", poolOf("a", servers(a)))
	otherAddress.Listen = []string{"127.0.0.1:1"}
	if err := n.Reload(otherAddress); err == nil || engineOf("a") != engineA || engineOf("b") != engineB {
		t.Errorf("another address to listen on: %v", err)
	}
	invalid := planOf(t, "", poolOf("a", servers(a)), poolOf("b", servers(b)), poolOf("c", servers(b)))
	invalid.Pools[2].Settings.Classes = nil
	if err := n.Reload(invalid); err == nil || engineOf("a") != engineA || engineOf("b") != engineB || engineOf("c") != nil {
		t.Errorf("a pool with invalid settings: %v", err)
	}
	if x := env.ask("b", order); x.Status != 200 {
		t.Errorf("b answers %d", x.Status)
	}
}

// A removed pool finishes its requests, also those that are pending because it has no server, and then releases
// everything. A pool that is added under its name meanwhile is another one.
func TestRemovedPoolFinishes(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	list := env.registry("") // empty: requests are pending
	s, other := env.server("s", quick), env.server("other", quick)
	planWith := func(source string) operator.Plan {
		return planOf(t, "", poolOf("a", source), poolOf("b", servers(other)))
	}
	n := env.run(planWith(fmt.Sprintf("registry = %q", list.Addr())))
	old := n.serving.Load().pools["a"]
	answers := make(chan fake.Exchange, 1)
	go func() { answers <- env.ask("a", order) }()
	testkit.Eventually(t, "the request is not taken", func() bool { return old.Engine().OpenCalls() == 1 })

	reload(t, n, planOf(t, "", poolOf("b", servers(other)))) // without a
	if x := env.ask("a", read); x.Status != 404 {
		t.Errorf("a removed pool answers %d", x.Status)
	}
	reload(t, n, planWith(servers(other))) // again, with another list
	if x := env.ask("a", order); x.Status != 200 {
		t.Errorf("the pool added again answers %d", x.Status)
	}
	select {
	case x := <-answers:
		t.Fatalf("the pending request ended with %d", x.Status)
	case <-old.Engine().Done():
		t.Fatal("the pool has ended with a request pending")
	default:
	}
	list.Set(s, "SERVING") // only the old pool follows this registry
	if x := testkit.Wait(t, answers); x.Status != 200 {
		t.Errorf("the pending request: %d", x.Status)
	}
	testkit.Wait(t, old.Engine().Done())
	testkit.Eventually(t, "the old pool still watches the registry", func() bool { return list.Watchers() == 0 })
	for _, a := range env.rec.History().Arrivals {
		if a.Server == "s" && a.Host != "a.test" {
			t.Errorf("%+v", a)
		}
	}
	if got := len(env.rec.History().Arrivals); got != 2 {
		t.Errorf("%d arrivals, not 2", got)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.retiring) != 0 {
		t.Errorf("%d pools are still retiring", len(n.retiring))
	}
}

// After a reload that moves a host to another pool, pending requests stay in the pool that accepted them.
func TestMovedHostLeavesPendingRequests(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	list := env.registry("")
	s, other := env.server("s", quick), env.server("other", quick)
	source := fmt.Sprintf("registry = %q", list.Addr())
	n := env.run(planOf(t, "", poolOf("a", source), poolOf("b", servers(other))))
	answers := make(chan fake.Exchange, 1)
	go func() { answers <- env.ask("a", order) }()
	a := n.serving.Load().pools["a"]
	testkit.Eventually(t, "the request is not taken", func() bool { return a.Engine().OpenCalls() == 1 })
	moved := strings.Replace(poolOf("a", source), `host = "a.test"`, `host = "elsewhere.test"`, 1)
	reload(t, n, planOf(t, "", moved, poolOf("b", servers(other)), "\n[[routes]]\nhost = \"a.test\"\npool = \"b\"\n"))
	if n.serving.Load().pools["a"] != a {
		t.Error("a pool was replaced because of a route")
	}
	if x := env.ask("a", order); x.Status != 200 {
		t.Errorf("the host in its new pool: %d", x.Status)
	}
	list.Set(s, "SERVING")
	if x := testkit.Wait(t, answers); x.Status != 200 {
		t.Errorf("the pending request: %d", x.Status)
	}
	l := env.rec.History().Arrivals
	if len(l) != 2 || l[0].Server != "other" || l[1].Server != "s" {
		t.Errorf("arrivals %+v", l)
	}
}

// Thousands of reloads leak no goroutine, descriptor or memory.
func TestReloadsDoNotLeak(t *testing.T) {
	const reloads = 2000
	before := goleak.IgnoreCurrent()
	defer goleak.VerifyNone(t, before)
	env := &testEnv{t: t, rec: fake.NewRecorder(read, order), keys: fake.NewKeyStore()}
	cfg := quick
	cfg.ID = "s"
	s, err := fake.NewServer(cfg, env.rec, env.keys)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	source := servers(s)
	plans := []operator.Plan{
		planOf(t, "", poolOf("a", source), poolOf("b", source)),
		planOf(t, "", poolOf("a", source), poolOf("c", source)),
		planOf(t, "", poolOf("a", source), poolOf("b", source, "attempts = 9"), poolOf("c", source)),
	}
	n, err := NewFromPlan(plans[0], Options{})
	if err != nil {
		t.Fatal(err)
	}
	n.drainDelay = 0
	cancel, done := runInBackground(n)
	callers := fake.NewCallers(env.rec, n.Addr().String(), 1, limit)
	reloadTimes := func(count int) {
		for i := range count {
			reload(t, n, plans[i%len(plans)])
			if x := callers.Do(fake.Stream{Host: "a.test", Class: read}); x.Status != 200 {
				t.Fatalf("reload %d: %d, %v", i, x.Status, x.Err)
			}
		}
		reload(t, n, plans[0])
		testkit.Eventually(t, "pools are still retiring", func() bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return len(n.retiring) == 0
		})
	}
	reloadTimes(100)
	early, goroutines, descriptors := heapInUse(), runtime.NumGoroutine(), openDescriptors()
	reloadTimes(reloads)
	// The records of the fakes grow by some hundred bytes for each request.
	if late := heapInUse(); late > early+reloads*2000+2<<20 {
		t.Errorf("%d bytes in use after 100 reloads, %d after %d", early, late, reloads)
	}
	testkit.Eventually(t, "more goroutines than before", func() bool { return runtime.NumGoroutine() <= goroutines+2 })
	if now := openDescriptors(); now > descriptors+4 {
		t.Errorf("%d descriptors before, %d after", descriptors, now)
	}
	callers.Close()
	cancel()
	if err := testkit.Wait(t, done); err != nil {
		t.Errorf("Run: %v", err)
	}
}

// heapInUse returns the bytes of the heap after a collection.
func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// openDescriptors returns how many file descriptors this process has open.
func openDescriptors() int {
	l, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(l)
}
