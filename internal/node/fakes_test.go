package node

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cranegrade/internal/fake"
	"cranegrade/internal/operator"
)

var (
	read  = fake.Class{Name: "read", Effect: fake.Safe, Deadline: limit}
	order = fake.Class{Name: "order", Effect: fake.Unsafe, Deadline: limit}
	quick = fake.ServerConfig{Concurrency: 50, QueueLimit: 50, ServiceTime: time.Millisecond, Zone: "a"}
)

// planOf returns the plan of an operator's file: listen, what head adds, and these pools.
func planOf(t testing.TB, head string, pools ...string) operator.Plan {
	t.Helper()
	text := "listen = [\"127.0.0.1:0\"]\n" + head + strings.Join(pools, "")
	plan, err := operator.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return plan
}

// poolOf returns a pool of an operator's file, and a route to it for the host NAME.test. source says where its servers are
// listed.
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

// servers returns the line of an operator's file that lists these servers.
func servers(l ...*fake.Server) string {
	text := "servers = ["
	for _, s := range l {
		text += fmt.Sprintf("{ id = %q, address = %q },", s.ID(), s.Addr())
	}
	return text + "]"
}

// testEnv is a node's surroundings: fake servers and registries, callers of the node, and a record of what all of them saw.
type testEnv struct {
	t       testing.TB
	rec     *fake.Recorder
	keys    *fake.KeyStore
	callers *fake.Callers // of the node that run has started
}

func newTestEnv(t testing.TB) *testEnv {
	return &testEnv{t: t, rec: fake.NewRecorder(read, order), keys: fake.NewKeyStore()}
}

// server starts a fake server that runs until the test ends.
func (env *testEnv) server(id string, cfg fake.ServerConfig) *fake.Server {
	env.t.Helper()
	cfg.ID = id
	s, err := fake.NewServer(cfg, env.rec, env.keys)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(s.Close)
	return s
}

// registry starts a fake registry that runs until the test ends.
func (env *testEnv) registry(name string) *fake.Registry {
	env.t.Helper()
	g, err := fake.NewRegistry(name, env.rec)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(g.Close)
	return g
}

// run starts a node, and callers of it, until the test ends. The node does not wait for callers when it drains.
func (env *testEnv) run(plan operator.Plan) *Node { return env.runWith(plan, Options{}) }

// runWith is run with the parts of a program.
func (env *testEnv) runWith(plan operator.Plan, o Options) *Node {
	env.t.Helper()
	n, err := NewFromPlan(plan, o)
	if err != nil {
		env.t.Fatal(err)
	}
	n.drainDelay = 0
	runNode(env.t, n)
	env.callers = fake.NewCallers(env.rec, n.Addr().String(), 1, limit)
	env.t.Cleanup(env.callers.Close) // before the node stops, which waits for callers
	return n
}

// ask sends a request of a class to the pool of that name and returns its outcome.
func (env *testEnv) ask(name string, c fake.Class) fake.Exchange {
	return env.callers.Do(fake.Stream{Host: name + ".test", Class: c})
}

// reload changes the plan of a node and fails the test if the node rejects it.
func reload(t testing.TB, n *Node, plan operator.Plan) {
	t.Helper()
	if err := n.Reload(plan); err != nil {
		t.Fatal(err)
	}
}
