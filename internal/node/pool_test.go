package node

import (
	"fmt"
	"runtime"
	"testing"

	"cranegrade/balancer"
)

// The balancer accepts the settings of a plan, which tell it how many nodes there are and which one it is in.
func TestPlanSettingsReachTheBalancer(t *testing.T) {
	t.Parallel()
	p := planOf(t, "nodes = 3\nindex = 1\n", poolOf("a", "registry = \"127.0.0.1:1\"")).Pools[0]
	if _, err := balancer.New(p.Settings, 1); err != nil || p.Settings.Balancers != 3 || p.Settings.Index != 1 {
		t.Errorf("%+v, %v", p.Settings, err)
	}
}

// Two hundred pools fit into one process: each takes little memory when idle.
func TestMemoryOfIdlePools(t *testing.T) {
	const pools = 200
	env := newTestEnv(t)
	s := env.server("s", quick)
	var texts []string
	for i := range pools {
		texts = append(texts, poolOf(fmt.Sprintf("p%d", i), servers(s)))
	}
	plan := planOf(t, "limits = { memory_mb = 192, descriptors = 1024 }\n", texts...)
	before := heapAndStacksInUse()
	n := env.run(plan)
	for i := range pools {
		if x := env.ask(fmt.Sprintf("p%d", i), order); x.Status != 200 {
			t.Fatalf("pool %d: %d", i, x.Status)
		}
	}
	each := (heapAndStacksInUse() - before) / pools
	t.Logf("%d bytes of heap and stacks a pool, after one request to each", each)
	if each > 192<<20/pools/4 {
		t.Errorf("%d bytes a pool", each)
	}
	runtime.KeepAlive(n)
}
