package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/fake"
	"cranegrade/internal/operator"
	"cranegrade/internal/testkit"
)

var (
	read  = fake.Class{Name: "read", Effect: fake.Safe, Deadline: limit}
	order = fake.Class{Name: "order", Effect: fake.Unsafe, Deadline: limit}
	quick = fake.ServerConfig{Concurrency: 50, QueueLimit: 50, ServiceTime: time.Millisecond, Zone: "a"}
)

// planOf is the plan of an operator's file with these pools; each of them has the host NAME.test.
func planOf(t testing.TB, head string, pools ...string) operator.Plan {
	t.Helper()
	text := "listen = [\"127.0.0.1:0\"]\n" + head
	for _, p := range pools {
		text += p
	}
	plan, err := operator.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

// poolOf is a pool of an operator's file and the route of its host.
func poolOf(name, source string, more ...string) string {
	return fmt.Sprintf(`
[[pools]]
name = %q
%s
%s
[[pools.classes]]
name = "read"
effect = "safe"
aim = "10s"
deadline = %q
[[pools.classes]]
name = "order"
effect = "unsafe"
aim = "10s"
deadline = %q
[[routes]]
host = "%s.test"
pool = %q
`, name, source, strings.Join(more, "\n"), limit, limit, name, name)
}

func servers(l ...*fake.Server) string {
	text := "servers = ["
	for _, s := range l {
		text += fmt.Sprintf("{ id = %q, address = %q },", s.ID(), s.Addr())
	}
	return text + "]"
}

// world is stand-ins for a test.
type world struct {
	t       testing.TB
	rec     *fake.Recorder
	keys    *fake.KeyStore
	callers *fake.Callers
}

func newWorld(t testing.TB) *world {
	return &world{t: t, rec: fake.NewRecorder(read, order), keys: fake.NewKeyStore()}
}

func (w *world) server(id string, cfg fake.ServerConfig) *fake.Server {
	w.t.Helper()
	cfg.ID = id
	s, err := fake.NewServer(cfg, w.rec, w.keys)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(s.Close)
	return s
}

func (w *world) registry(name string) *fake.Registry {
	w.t.Helper()
	g, err := fake.NewRegistry(name, w.rec)
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(g.Close)
	return g
}

// run runs a node until the test ends, and callers of it.
func (w *world) run(plan operator.Plan) *Node { return w.runWith(plan, Options{}) }

func (w *world) ask(name string, c fake.Class) fake.Exchange {
	return w.callers.Do(fake.Stream{Host: name + ".test", Class: c})
}

func reload(t testing.TB, n *Node, plan operator.Plan) {
	t.Helper()
	if err := n.ReloadPlan(plan); err != nil {
		t.Fatal(err)
	}
}

func TestRouting(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	a, b := w.server("a", quick), w.server("b", quick)
	w.run(planOf(t, "", poolOf("a", servers(a)), poolOf("b", servers(b))))
	for name, want := range map[string]string{"a": "a", "b": "b", "B.TEST:80.": "", "c": ""} {
		x := w.ask(name, order)
		if want == "" {
			if x.Status != 404 && x.Status != 400 {
				t.Errorf("%s: %d", name, x.Status)
			}
			continue
		}
		l := w.rec.History().Arrivals
		if x.Status != 200 || l[len(l)-1].Server != want {
			t.Errorf("%s: %d at %v", name, x.Status, l)
		}
	}
}

// An unchanged pool keeps its module and connections; one whose list or limits change too; another
// change puts a new pool in its place. A file that can't be gone over to changes nothing.
func TestReloadKeepsPools(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	a, b := w.server("a", quick), w.server("b", quick)
	n := w.run(planOf(t, "", poolOf("a", servers(a)), poolOf("b", servers(b))))
	get := func(name string) *engine.Engine {
		p := n.serving.Load().pools[name]
		if p == nil {
			return nil
		}
		return p.Engine()
	}
	ea, eb := get("a"), get("b")
	w.ask("a", read)
	reload(t, n, planOf(t, "", poolOf("a", servers(a)), poolOf("b", servers(b), "attempts = 7")))
	if get("a") != ea || get("b") == eb {
		t.Error("a stays, b is another")
	}
	eb = get("b")
	reload(t, n, planOf(t, "", poolOf("a", servers(a, b), "limits = { calls = { max = 9 } }"), poolOf("b", servers(b), "attempts = 7")))
	if get("a") != ea || get("b") != eb {
		t.Error("a list and limits make another pool")
	}
	testkit.Eventually(t, "the new list is not used", func() bool {
		w.ask("a", read)
		l := w.rec.History().Arrivals
		return l[len(l)-1].Server == "b"
	})
	worse := planOf(t, "", poolOf("a", servers(a)))
	worse.Listen = []string{"127.0.0.1:1"}
	if err := n.ReloadPlan(worse); err == nil || get("a") != ea || get("b") != eb {
		t.Errorf("another address to listen on: %v", err)
	}
	spoilt := planOf(t, "", poolOf("a", servers(a)), poolOf("b", servers(b)), poolOf("c", servers(b)))
	spoilt.Pools[2].Settings.Classes = nil
	if err := n.ReloadPlan(spoilt); err == nil || get("a") != ea || get("b") != eb || get("c") != nil {
		t.Errorf("a pool that can't be: %v", err)
	}
	if x := w.ask("b", order); x.Status != 200 {
		t.Errorf("b answers %d", x.Status)
	}
}

// A pool that is removed finishes what it has taken, also what it holds for want of a server, and then
// leaves nothing. One that is added under its name meanwhile is another.
func TestRemovedPoolFinishes(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	list := w.registry("") // empty: requests are held
	s, other := w.server("s", quick), w.server("other", quick)
	with := func(source string) operator.Plan {
		return planOf(t, "", poolOf("a", source), poolOf("b", servers(other)))
	}
	n := w.run(with(fmt.Sprintf("registry = %q", list.Addr())))
	old := n.serving.Load().pools["a"]
	answers := make(chan fake.Exchange, 1)
	go func() { answers <- w.ask("a", order) }()
	testkit.Eventually(t, "the request is not taken", func() bool { return old.Engine().OpenCalls() == 1 })

	reload(t, n, planOf(t, "", poolOf("b", servers(other)))) // without a
	if x := w.ask("a", read); x.Status != 404 {
		t.Errorf("a pool that was removed answers %d", x.Status)
	}
	reload(t, n, with(servers(other))) // again, with another list
	if x := w.ask("a", order); x.Status != 200 {
		t.Errorf("the pool added again answers %d", x.Status)
	}
	select {
	case x := <-answers:
		t.Fatalf("the held request ended with %d", x.Status)
	case <-old.Engine().Done():
		t.Fatal("the pool has ended with a request held")
	default:
	}
	list.Set(s, "SERVING") // told to the old pool alone
	if x := testkit.Wait(t, answers); x.Status != 200 {
		t.Errorf("the held request: %d", x.Status)
	}
	testkit.Wait(t, old.Engine().Done())
	testkit.Eventually(t, "the old pool's watch goes on", func() bool { return list.Watchers() == 0 })
	for _, a := range w.rec.History().Arrivals {
		if a.Server == "s" && a.Host != "a.test" {
			t.Errorf("%+v", a)
		}
	}
	if got := len(w.rec.History().Arrivals); got != 2 {
		t.Errorf("%d arrivals, not 2", got)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.retiring) != 0 {
		t.Errorf("%d pools are still retiring", len(n.retiring))
	}
}

// A reload that moves a host to another pool leaves its held requests in the pool that took them.
func TestMovedHost(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	list := w.registry("")
	s, other := w.server("s", quick), w.server("other", quick)
	source := fmt.Sprintf("registry = %q", list.Addr())
	n := w.run(planOf(t, "", poolOf("a", source), poolOf("b", servers(other))))
	answers := make(chan fake.Exchange, 1)
	go func() { answers <- w.ask("a", order) }()
	a := n.serving.Load().pools["a"]
	testkit.Eventually(t, "the request is not taken", func() bool { return a.Engine().OpenCalls() == 1 })
	moved := strings.Replace(poolOf("a", source), `host = "a.test"`, `host = "elsewhere.test"`, 1)
	reload(t, n, planOf(t, "", moved, poolOf("b", servers(other)), "\n[[routes]]\nhost = \"a.test\"\npool = \"b\"\n"))
	if n.serving.Load().pools["a"] != a {
		t.Error("a route makes another pool")
	}
	if x := w.ask("a", order); x.Status != 200 {
		t.Errorf("the host in its new pool: %d", x.Status)
	}
	list.Set(s, "SERVING")
	if x := testkit.Wait(t, answers); x.Status != 200 {
		t.Errorf("the held request: %d", x.Status)
	}
	l := w.rec.History().Arrivals
	if len(l) != 2 || l[0].Server != "other" || l[1].Server != "s" {
		t.Errorf("arrivals %+v", l)
	}
}

// The same address in two pools: draining in one, it serves on in the other.
func TestSharedServer(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	ga, gb := w.registry("a.test"), w.registry("b.test")
	s, spare := w.server("s", quick), w.server("spare", quick)
	ga.Set(s, "SERVING")
	gb.Set(s, "SERVING")
	w.run(planOf(t, "", poolOf("a", fmt.Sprintf("registry = %q", ga.Addr())), poolOf("b", fmt.Sprintf("registry = %q", gb.Addr()))))
	for _, name := range []string{"a", "b"} {
		if x := w.ask(name, order); x.Status != 200 {
			t.Errorf("%s: %d", name, x.Status)
		}
	}
	ga.Set(spare, "SERVING")
	ga.Set(s, "DRAINING")
	testkit.Eventually(t, "a goes on using the server", func() bool {
		seen := len(w.rec.History().Arrivals)
		for range 5 {
			w.ask("a", read)
		}
		for _, a := range w.rec.History().Arrivals[seen:] {
			if a.Server == "s" {
				return false
			}
		}
		return true
	})
	for range 5 {
		if x := w.ask("b", order); x.Status != 200 {
			t.Errorf("b: %d", x.Status)
		}
	}
}

// One pool is flooded, one hangs, one refuses, one has no list: each fills its own limits, and the
// calm one is served in full.
func TestPoolsDoNotStarveEachOther(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	slow := fake.ServerConfig{Concurrency: 1, QueueLimit: 1, ServiceTime: 50 * time.Millisecond, Zone: "a"}
	calm, flooded, hung, refusing := w.server("calm", quick), w.server("flooded", slow), w.server("hung", quick), w.server("refusing", quick)
	hung.SetMode(fake.Hanging)
	refusing.SetMode(fake.Rejecting)
	down := w.registry("")
	down.Down()
	n := w.run(planOf(t, "limits = { descriptors = 400 }\n", poolOf("calm", servers(calm)), poolOf("flooded", servers(flooded)),
		poolOf("hung", servers(hung)), poolOf("refusing", servers(refusing)),
		poolOf("dark", fmt.Sprintf("registry = %q", down.Addr()))))
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	var flood atomic.Int64
	short := fake.Class{Name: "read", Effect: fake.Safe, Deadline: 300 * time.Millisecond}
	for _, name := range []string{"flooded", "hung", "refusing", "dark"} {
		for range 150 {
			all.Go(func() {
				for ctx.Err() == nil {
					w.callers.Do(fake.Stream{Host: name + ".test", Class: short})
					flood.Add(1)
				}
			})
		}
	}
	for flood.Load() < 600 {
		time.Sleep(time.Millisecond)
	}
	for range 100 {
		if x := w.ask("calm", order); x.Status != 200 {
			t.Fatalf("the calm pool: %d, %v", x.Status, x.Err)
		}
		pools := n.serving.Load().pools
		for name, p := range pools {
			if used, _ := p.Shares().Calls.Used(); used > n.plan.Totals.Calls {
				t.Errorf("%s has %d calls", name, used)
			}
		}
		if used, total := n.budgets.callers.Used(); used > total {
			t.Errorf("%d of %d callers", used, total)
		}
		if used, total := n.budgets.connections.Used(); used > total {
			t.Errorf("%d of %d connections", used, total)
		}
	}
	cancel()
	all.Wait()
	for _, b := range []interface{ Used() (int64, int64) }{n.budgets.calls, n.budgets.held} {
		testkit.Eventually(t, "something is not given back", func() bool { used, _ := b.Used(); return used == 0 })
	}
}

// A pool over its limit of calls turns the next away at once, and its caller's connection stays.
func TestCallsLimit(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	s := w.server("s", quick)
	s.SetMode(fake.Hanging)
	n := w.run(planOf(t, "", poolOf("a", servers(s), "limits = { calls = { max = 1 } }")))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first := newRequest(t, n, "GET", "/read/1", "").WithContext(ctx)
	first.Host = "a.test"
	go http.DefaultTransport.RoundTrip(first)
	p := n.serving.Load().pools["a"]
	testkit.Eventually(t, "the request is not taken", func() bool { return p.Engine().OpenCalls() == 1 })
	c := dial(t, n.Addr().String())
	answers := bufio.NewReader(c)
	for i := range 3 { // on one connection
		fmt.Fprintf(c, "GET /read/2 HTTP/1.1\r\nHost: a.test\r\nX-Correlation-Id: c-%d\r\nX-Time-Left: 9000m\r\n\r\n", i+2)
		resp, err := http.ReadResponse(answers, nil)
		if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || resp.Close {
			t.Fatalf("over the limit: %+v, %v", resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
}

// Idle connections that one pool has borrowed come back when another wants for them.
func TestBorrowedConnectionsComeBack(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	slow := quick
	slow.ServiceTime = 100 * time.Millisecond
	a, b := w.server("a", slow), w.server("b", slow)
	n := w.run(planOf(t, "limits = { connections = 8 }\n", poolOf("a", servers(a)), poolOf("b", servers(b))))
	at := func(name string, requests int) (served int64) {
		var all sync.WaitGroup
		var ok atomic.Int64
		for range requests {
			all.Go(func() {
				if x := w.ask(name, read); x.Status == 200 {
					ok.Add(1)
				}
			})
		}
		all.Wait()
		return ok.Load()
	}
	// Both keep what is idle for longer than this test takes.
	share := n.serving.Load().pools["a"].Shares().Connections
	testkit.Eventually(t, "nothing is borrowed", func() bool {
		at("a", 5)
		_, borrowed := share.Used()
		return borrowed > 0
	})
	testkit.Eventually(t, "what was borrowed does not come back", func() bool {
		at("b", 6)
		_, borrowed := share.Used()
		return borrowed == 0
	})
}

// Thousands of reloads leave nothing behind: no goroutine, no descriptor, no memory that grows.
func TestManyReloads(t *testing.T) {
	const reloads = 2000
	before := goleak.IgnoreCurrent()
	defer goleak.VerifyNone(t, before)
	w := &world{t: t, rec: fake.NewRecorder(read, order), keys: fake.NewKeyStore()}
	cfg := quick
	cfg.ID = "s"
	s, err := fake.NewServer(cfg, w.rec, w.keys)
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
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	callers := fake.NewCallers(w.rec, n.Addr().String(), 1, limit)
	round := func(k int) {
		for i := range k {
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
	heap := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	round(100)
	early, goroutines, descriptors := heap(), runtime.NumGoroutine(), openDescriptors()
	round(reloads)
	// The records of the stand-ins grow with the requests, some hundred bytes each.
	if late := heap(); late > early+reloads*2000+2<<20 {
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

func openDescriptors() int {
	l, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		return 0
	}
	return len(l)
}

// Two hundred pools in one process: each costs little when idle.
func TestManyPools(t *testing.T) {
	const pools = 200
	w := newWorld(t)
	s := w.server("s", quick)
	var texts []string
	for i := range pools {
		texts = append(texts, poolOf(fmt.Sprintf("p%d", i), servers(s)))
	}
	plan := planOf(t, "limits = { memory_mb = 192, descriptors = 1024 }\n", texts...)
	heap := func() int64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc + m.StackInuse)
	}
	before := heap()
	n := w.run(plan)
	for i := range pools {
		if x := w.ask(fmt.Sprintf("p%d", i), order); x.Status != 200 {
			t.Fatalf("pool %d: %d", i, x.Status)
		}
	}
	each := (heap() - before) / pools
	t.Logf("%d bytes of heap and stacks a pool, after one request to each", each)
	if each > 192<<20/pools/4 {
		t.Errorf("%d bytes a pool", each)
	}
	runtime.KeepAlive(n)
}

// The settings of a plan reach the module.
func TestPlanSettings(t *testing.T) {
	t.Parallel()
	p := planOf(t, "nodes = 3\nindex = 1\n", poolOf("a", "registry = \"127.0.0.1:1\"")).Pools[0]
	if _, err := balancer.New(p.Settings, 1); err != nil || p.Settings.Balancers != 3 || p.Settings.Index != 1 {
		t.Errorf("%+v, %v", p.Settings, err)
	}
}
