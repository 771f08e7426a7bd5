package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"cranegrade/internal/fake"
	"cranegrade/internal/testkit"
)

// One pool is flooded, one has a server that hangs, one a server that rejects everything, and one has no list. Each uses up
// its own limits, and every request to the idle pool is served.
func TestPoolsDoNotStarveEachOther(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	slow := fake.ServerConfig{Concurrency: 1, QueueLimit: 1, ServiceTime: 50 * time.Millisecond, Zone: "a"}
	idle, flooded, hung, refusing := env.server("idle", quick), env.server("flooded", slow), env.server("hung", quick), env.server("refusing", quick)
	hung.SetMode(fake.Hanging)
	refusing.SetMode(fake.Rejecting)
	down := env.registry("")
	down.Down()
	n := env.run(planOf(t, "limits = { descriptors = 400 }\n", poolOf("idle", servers(idle)), poolOf("flooded", servers(flooded)),
		poolOf("hung", servers(hung)), poolOf("refusing", servers(refusing)),
		poolOf("dark", fmt.Sprintf("registry = %q", down.Addr()))))
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	var floodRequests atomic.Int64
	short := fake.Class{Name: "read", Effect: fake.Safe, Deadline: 300 * time.Millisecond}
	for _, name := range []string{"flooded", "hung", "refusing", "dark"} {
		for range 150 {
			all.Go(func() {
				for ctx.Err() == nil {
					env.callers.Do(fake.Stream{Host: name + ".test", Class: short})
					floodRequests.Add(1)
				}
			})
		}
	}
	for floodRequests.Load() < 600 {
		time.Sleep(time.Millisecond)
	}
	for range 100 {
		if x := env.ask("idle", order); x.Status != 200 {
			t.Fatalf("the idle pool: %d, %v", x.Status, x.Err)
		}
		pools := n.serving.Load().pools
		for name, p := range pools {
			if used, _ := p.Shares().Calls.Used(); used > n.plan.Totals.Calls {
				t.Errorf("%s has %d calls", name, used)
			}
		}
		if used, total := n.budgets.downstreamConns.Used(); used > total {
			t.Errorf("%d of %d callers", used, total)
		}
		if used, total := n.budgets.connections.Used(); used > total {
			t.Errorf("%d of %d connections", used, total)
		}
	}
	cancel()
	all.Wait()
	for _, b := range []interface{ Used() (int64, int64) }{n.budgets.calls, n.budgets.pendingCalls} {
		testkit.Eventually(t, "something is not returned to the budgets", func() bool { used, _ := b.Used(); return used == 0 })
	}
}

// A pool at its limit of calls rejects the next one at once, and its caller keeps its connection.
func TestCallsOverThePoolsLimitAreRejected(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	s := env.server("s", quick)
	s.SetMode(fake.Hanging)
	n := env.run(planOf(t, "", poolOf("a", servers(s), "limits = { calls = { max = 1 } }")))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	first := newRequest(t, n, "GET", "/read/1", "").WithContext(ctx)
	first.Host = "a.test"
	go http.DefaultTransport.RoundTrip(first)
	p := n.serving.Load().pools["a"]
	testkit.Eventually(t, "the request is not taken", func() bool { return p.Engine().OpenCalls() == 1 })
	c := dial(t, n.Addr().String())
	answers := bufio.NewReader(c)
	for i := range 3 { // all on one connection
		fmt.Fprintf(c, "GET /read/2 HTTP/1.1\r\nHost: a.test\r\nX-Correlation-Id: c-%d\r\nX-Time-Left: 9000m\r\n\r\n", i+2)
		resp, err := http.ReadResponse(answers, nil)
		if err != nil || resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || resp.Close {
			t.Fatalf("over the limit: %+v, %v", resp, err)
		}
		io.Copy(io.Discard, resp.Body)
	}
}

// Idle connections that one pool has borrowed are returned when another needs them.
func TestBorrowedConnectionsAreReturned(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	slow := quick
	slow.ServiceTime = 100 * time.Millisecond
	a, b := env.server("a", slow), env.server("b", slow)
	n := env.run(planOf(t, "limits = { connections = 8 }\n", poolOf("a", servers(a)), poolOf("b", servers(b))))
	askAtOnce := func(name string, requests int) (served int64) {
		var all sync.WaitGroup
		var ok atomic.Int64
		for range requests {
			all.Go(func() {
				if x := env.ask(name, read); x.Status == 200 {
					ok.Add(1)
				}
			})
		}
		all.Wait()
		return ok.Load()
	}
	// Both pools keep idle connections for longer than this test takes.
	share := n.serving.Load().pools["a"].Shares().Connections
	testkit.Eventually(t, "nothing is borrowed", func() bool {
		askAtOnce("a", 5)
		_, borrowed := share.Used()
		return borrowed > 0
	})
	testkit.Eventually(t, "the borrowed connections are not returned", func() bool {
		askAtOnce("b", 6)
		_, borrowed := share.Used()
		return borrowed == 0
	})
}
