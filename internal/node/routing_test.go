package node

import (
	"fmt"
	"testing"

	"cranegrade/internal/testkit"
)

// A request goes to the pool of its host, however the host is written; an unknown host is rejected.
func TestRouting(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	a, b := env.server("a", quick), env.server("b", quick)
	env.run(planOf(t, "", poolOf("a", servers(a)), poolOf("b", servers(b))))
	for name, want := range map[string]string{"a": "a", "b": "b", "B.TEST:80.": "", "c": ""} {
		x := env.ask(name, order)
		if want == "" {
			if x.Status != 404 && x.Status != 400 {
				t.Errorf("%s: %d", name, x.Status)
			}
			continue
		}
		l := env.rec.History().Arrivals
		if x.Status != 200 || l[len(l)-1].Server != want {
			t.Errorf("%s: %d at %v", name, x.Status, l)
		}
	}
}

// A server that two pools list drains in one and still serves in the other.
func TestServerOfTwoPoolsDrainsInOne(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	ga, gb := env.registry("a.test"), env.registry("b.test")
	s, spare := env.server("s", quick), env.server("spare", quick)
	ga.Set(s, "SERVING")
	gb.Set(s, "SERVING")
	env.run(planOf(t, "", poolOf("a", fmt.Sprintf("registry = %q", ga.Addr())), poolOf("b", fmt.Sprintf("registry = %q", gb.Addr()))))
	for _, name := range []string{"a", "b"} {
		if x := env.ask(name, order); x.Status != 200 {
			t.Errorf("%s: %d", name, x.Status)
		}
	}
	ga.Set(spare, "SERVING")
	ga.Set(s, "DRAINING")
	testkit.Eventually(t, "a still uses the server", func() bool {
		seen := len(env.rec.History().Arrivals)
		for range 5 {
			env.ask("a", read)
		}
		for _, a := range env.rec.History().Arrivals[seen:] {
			if a.Server == "s" {
				return false
			}
		}
		return true
	})
	for range 5 {
		if x := env.ask("b", order); x.Status != 200 {
			t.Errorf("b: %d", x.Status)
		}
	}
}
