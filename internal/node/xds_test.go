package node

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	loadstats "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"

	"cranegrade/internal/fake"
	"cranegrade/internal/testkit"
	"cranegrade/internal/xds/resource"
)

// An update removes the server that is serving a request, has it drain, or lists it as restarted. The attempt is not
// disturbed, nothing new is sent to the server's former process, and the request gets one answer.
func TestXDSRemovesBusyServer(t *testing.T) {
	t.Parallel()
	const removed, draining, restarted = "removed", "draining", "restarted"
	for _, change := range []string{removed, draining, restarted} {
		t.Run(change, func(t *testing.T) {
			bothVariants(t, func(t *testing.T, env *xdsEnv, delta bool) {
				slow := quick
				slow.ServiceTime = 300 * time.Millisecond
				busy, spare := env.server("busy", slow), env.server("spare", quick)
				env.cluster("c")
				env.list("c", 0, xdsEntry{busy, corev3.HealthStatus_HEALTHY})
				env.start(env.xdsPlan(delta, "", poolOf("a", `xds = "c"`)))
				answer := make(chan fake.Exchange, 1)
				go func() { answer <- env.ask("a", order) }()
				testkit.Eventually(t, "the request does not reach the server", func() bool { return len(env.rec.History().Arrivals) == 1 })
				switch change {
				case removed:
					env.list("c", 0, xdsEntry{spare, corev3.HealthStatus_HEALTHY})
				case draining:
					env.list("c", 0, xdsEntry{busy, corev3.HealthStatus_DRAINING}, xdsEntry{spare, corev3.HealthStatus_HEALTHY})
				case restarted: // removed and listed again within 100 ms, as another process
					env.list("c", 0, xdsEntry{spare, corev3.HealthStatus_HEALTHY})
					busy.Crash()
					if err := busy.Restart(); err != nil {
						t.Fatal(err)
					}
					env.list("c", 0, xdsEntry{busy, corev3.HealthStatus_HEALTHY}, xdsEntry{spare, corev3.HealthStatus_HEALTHY})
				}
				p := env.node.serving.Load().pools["a"]
				testkit.Eventually(t, "the update is not applied", func() bool {
					seen := len(env.rec.History().Arrivals)
					env.ask("a", read)
					l := env.rec.History().Arrivals[seen:]
					return len(l) > 0 && (l[0].Server == "spare" || change == restarted && l[0].Incarnation == 1)
				})
				want := 200
				if change == restarted {
					want = 502 // the process died, and the request may have run
				}
				x := testkit.Wait(t, answer)
				if x.Status != want {
					t.Errorf("the running request: %d, not %d", x.Status, want)
				}
				if change != restarted {
					for range 20 {
						env.ask("a", read)
					}
				}
				for _, a := range env.rec.History().Arrivals[1:] {
					if a.ID == x.ID || change != restarted && a.Server == "busy" && a.FirstByteAt > x.SentAt+time.Second {
						t.Errorf("sent to %s: %+v", a.Server, a)
					}
				}
				testkit.Eventually(t, "something is left open", func() bool { return p.Engine().OpenCalls() == 0 })
			})
		})
	}
}

// A cluster is removed and added again while a request is pending for it, which is served once the cluster has a server.
func TestXDSPendingRequestOutlivesClusterFlaps(t *testing.T) {
	t.Parallel()
	bothVariants(t, func(t *testing.T, env *xdsEnv, delta bool) {
		s := env.server("s", quick)
		env.cluster("c")
		env.list("c", 0) // no server: requests are pending
		env.start(env.xdsPlan(delta, "", poolOf("a", `xds = "c"`)))
		p := env.node.serving.Load().pools["a"]
		answer := make(chan fake.Exchange, 1)
		go func() { answer <- env.ask("a", order) }()
		testkit.Eventually(t, "the request is not taken", func() bool { return p.Engine().OpenCalls() == 1 })
		for range 3 {
			env.plane.Set(resource.ClusterURL, map[string]proto.Message{"c": nil})
			env.cluster("c")
		}
		env.list("c", 0, xdsEntry{s, corev3.HealthStatus_HEALTHY})
		if x := testkit.Wait(t, answer); x.Status != 200 {
			t.Errorf("the pending request: %d", x.Status)
		}
		if n := len(env.rec.History().Arrivals); n != 1 {
			t.Errorf("%d arrivals", n)
		}
	})
}

// While the control plane can't be reached at the start, the servers of the file serve. Its list replaces them.
func TestXDSDownAtStartServesFromFile(t *testing.T) {
	t.Parallel()
	bothVariants(t, func(t *testing.T, env *xdsEnv, delta bool) {
		known, current := env.server("known", quick), env.server("current", quick)
		env.cluster("c")
		env.list("c", 0, xdsEntry{current, corev3.HealthStatus_UNKNOWN})
		env.plane.Down()
		env.start(env.xdsPlan(delta, "", poolOf("a", "xds = \"c\"\n"+servers(known))))
		if x := env.ask("a", order); x.Status != 200 || env.rec.History().Arrivals[0].Server != "known" {
			t.Errorf("%d by %v", x.Status, env.rec.History().Arrivals)
		}
		if err := env.plane.Up(); err != nil {
			t.Fatal(err)
		}
		testkit.Eventually(t, "the control plane's list is not used", func() bool {
			env.ask("a", read)
			l := env.rec.History().Arrivals
			return l[len(l)-1].Server == "current"
		})
	})
}

// Requests that drop_overloads selects are rejected with 503 before any attempt, and load reports count them.
func TestXDSDropOverloadsAndLoadReports(t *testing.T) {
	t.Parallel()
	env := newXDSEnv(t)
	env.plane.SetLoadReportRequest(&loadstats.LoadStatsResponse{SendAllClusters: true, LoadReportingInterval: durationpb.New(time.Millisecond)})
	s := env.server("s", quick)
	env.cluster("c")
	env.list("c", 100, xdsEntry{s, corev3.HealthStatus_HEALTHY})
	env.start(env.xdsPlan(true, "load_reports = \"100ms\"\n", poolOf("a", `xds = "c"`)))
	testkit.Eventually(t, "nothing is dropped", func() bool {
		before := len(env.rec.History().Arrivals) // the first may be pending until the list comes, and then be sent
		x := env.ask("a", order)
		return x.Status == 503 && x.RetryAfter && len(env.rec.History().Arrivals) == before
	})
	env.list("c", 0, xdsEntry{s, corev3.HealthStatus_HEALTHY})
	testkit.Eventually(t, "still dropped", func() bool { return env.ask("a", order).Status == 200 })
	testkit.Eventually(t, "the load is not reported", func() bool {
		issued, dropped := uint64(0), uint64(0)
		for _, r := range env.plane.LoadReports() {
			for _, c := range r.ClusterStats {
				dropped += c.TotalDroppedRequests
				for _, l := range c.UpstreamLocalityStats {
					issued += l.TotalSuccessfulRequests
				}
			}
		}
		return issued >= 1 && dropped >= 1
	})
}

// After a reload with other control planes, pools keep their servers until those have sent a list.
func TestXDSReload(t *testing.T) {
	t.Parallel()
	env, other := newXDSEnv(t), newXDSEnv(t)
	s := env.server("s", quick)
	env.cluster("c")
	env.list("c", 0, xdsEntry{s, corev3.HealthStatus_HEALTHY})
	env.start(env.xdsPlan(true, "", poolOf("a", `xds = "c"`)))
	testkit.Eventually(t, "not served", func() bool { return env.ask("a", read).Status == 200 })
	engine := env.node.serving.Load().pools["a"].Engine()
	reload(t, env.node, other.xdsPlan(false, "", poolOf("a", `xds = "c"`)))
	if x := env.ask("a", order); x.Status != 200 {
		t.Errorf("with the new control plane silent: %d", x.Status)
	}
	testkit.Eventually(t, "the old control plane is still followed", func() bool { return env.plane.BreakStreams() == 0 })
	next := env.server("next", quick)
	other.cluster("c")
	other.list("c", 0, xdsEntry{next, corev3.HealthStatus_HEALTHY})
	testkit.Eventually(t, "the new list is not used", func() bool {
		env.ask("a", read)
		l := env.rec.History().Arrivals
		return l[len(l)-1].Server == "next"
	})
	if env.node.serving.Load().pools["a"].Engine() != engine {
		t.Error("a pool was replaced because of a control plane")
	}
	reload(t, env.node, planOf(t, "", poolOf("a", servers(s)))) // without control planes
	testkit.Eventually(t, "the control plane is still followed", func() bool { return other.plane.BreakStreams() == 0 })
	if x := env.ask("a", order); x.Status != 200 {
		t.Errorf("without control planes: %d", x.Status)
	}
}

// The inspection server shows the clusters and endpoints. A program that is built without xDS rejects the plan.
func TestXDSDump(t *testing.T) {
	t.Parallel()
	env := newXDSEnv(t)
	env.cluster("c")
	env.list("c", 0, xdsEntry{env.server("s", quick), corev3.HealthStatus_HEALTHY})
	plan := env.xdsPlan(true, "", poolOf("a", `xds = "c"`), poolOf("b", `xds = "none"`))
	plan.Admin = "127.0.0.1:0"
	env.start(plan)
	testkit.Eventually(t, "the dump is not complete", func() bool {
		resp, err := http.Get("http://" + env.node.InspectionAddr().String() + "/xds/dump")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		s := string(text)
		return strings.Contains(s, "in use") && strings.Contains(s, "by the assignment c") && strings.Contains(s, "there is no such cluster")
	})
	http.DefaultClient.CloseIdleConnections()
	if _, err := NewFromPlan(plan, Options{}); !errors.Is(err, ErrNoXDS) {
		t.Errorf("without xDS: %v", err)
	}
}
