package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	loadstats "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/structpb"

	"cranegrade/internal/fake"
	fakexds "cranegrade/internal/fake/xds"
	"cranegrade/internal/operator"
	sourcexds "cranegrade/internal/source/xds"
	"cranegrade/internal/testkit"
	"cranegrade/internal/xds/ads"
	"cranegrade/internal/xds/client"
	"cranegrade/internal/xds/resource"
)

// xdsWorld is a world with a control plane.
type xdsWorld struct {
	*world
	plane *fakexds.ControlPlane
	node  *Node
}

// openXDS is the program's, with shorter waits.
func openXDS(x operator.XDS) (XDSClient, error) {
	return sourcexds.Open(client.Config{
		Servers: x.Servers, Delta: x.Delta, Timeout: x.Timeout, MaxBytes: int(x.MaxResponse),
		Clusters: resource.ClustersConfig{Keep: x.KeepOnRemoval, Grace: x.EmptyGrace}, Reports: x.LoadReports,
		Node:     &corev3.Node{Id: x.NodeID},
		Failover: ads.FailoverConfig{First: 5 * time.Millisecond, Most: 50 * time.Millisecond},
	})
}

func newXDSWorld(t *testing.T) *xdsWorld {
	t.Helper()
	p, err := fakexds.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return &xdsWorld{world: newWorld(t), plane: p}
}

// xdsPlan is a plan whose pools follow clusters of the control plane.
func (w *xdsWorld) xdsPlan(delta bool, more string, pools ...string) operator.Plan {
	variant := "sotw"
	if delta {
		variant = "delta"
	}
	return planOf(w.t, fmt.Sprintf("[xds]\nservers = [%q]\nvariant = %q\nempty_grace = \"0s\"\n%s\n", w.plane.Addr(), variant, more), pools...)
}

func (w *xdsWorld) start(plan operator.Plan) {
	w.t.Helper()
	w.node = w.runWith(plan, Options{XDS: openXDS})
}

// entry is a server as the control plane lists it.
type xdsEntry struct {
	*fake.Server
	health corev3.HealthStatus
}

func (w *xdsWorld) cluster(name string) {
	w.plane.Set(resource.ClusterURL, map[string]proto.Message{name: &clusterv3.Cluster{
		Name:                 name,
		ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		EdsClusterConfig: &clusterv3.Cluster_EdsClusterConfig{
			EdsConfig: &corev3.ConfigSource{ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}}},
		},
	}})
}

func (w *xdsWorld) list(name string, drop uint32, entries ...xdsEntry) {
	a := &endpointv3.ClusterLoadAssignment{ClusterName: name}
	l := &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: "z"}}
	for _, e := range entries {
		_, ms := e.Incarnation()
		l.LbEndpoints = append(l.LbEndpoints, &endpointv3.LbEndpoint{
			HealthStatus:   e.health,
			HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{Address: resource.Address(e.Addr())}},
			Metadata: &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{resource.Metadata: {Fields: map[string]*structpb.Value{
				"uid": structpb.NewStringValue(e.ID()), "boot_ms": structpb.NewNumberValue(ms),
			}}}},
		})
	}
	if entries != nil {
		a.Endpoints = append(a.Endpoints, l)
	}
	if drop > 0 {
		a.Policy = &endpointv3.ClusterLoadAssignment_Policy{DropOverloads: []*endpointv3.ClusterLoadAssignment_Policy_DropOverload{
			{Category: "all", DropPercentage: &typev3.FractionalPercent{Numerator: drop}},
		}}
	}
	w.plane.Set(resource.EndpointURL, map[string]proto.Message{name: a})
}

func bothVariants(t *testing.T, f func(t *testing.T, w *xdsWorld, delta bool)) {
	for name, delta := range map[string]bool{"sotw": false, "delta": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f(t, newXDSWorld(t), delta)
		})
	}
}

// An update takes away the server that is just serving a request, or has it drain: the attempt ends as
// it does, nothing new goes there, and the request gets its one answer.
func TestXDSRemovesBusyServer(t *testing.T) {
	t.Parallel()
	for name, state := range map[string]int{"removed": 0, "draining": 1, "restarted": 2} {
		t.Run(name, func(t *testing.T) {
			bothVariants(t, func(t *testing.T, w *xdsWorld, delta bool) {
				slow := quick
				slow.ServiceTime = 300 * time.Millisecond
				busy, spare := w.server("busy", slow), w.server("spare", quick)
				w.cluster("c")
				w.list("c", 0, xdsEntry{busy, corev3.HealthStatus_HEALTHY})
				w.start(w.xdsPlan(delta, "", poolOf("a", `xds = "c"`)))
				answer := make(chan fake.Exchange, 1)
				go func() { answer <- w.ask("a", order) }()
				testkit.Eventually(t, "the request does not reach the server", func() bool { return len(w.rec.History().Arrivals) == 1 })
				switch state {
				case 0:
					w.list("c", 0, xdsEntry{spare, corev3.HealthStatus_HEALTHY})
				case 1:
					w.list("c", 0, xdsEntry{busy, corev3.HealthStatus_DRAINING}, xdsEntry{spare, corev3.HealthStatus_HEALTHY})
				case 2: // gone and back within 100 ms, as another process
					w.list("c", 0, xdsEntry{spare, corev3.HealthStatus_HEALTHY})
					busy.Crash()
					if err := busy.Restart(); err != nil {
						t.Fatal(err)
					}
					w.list("c", 0, xdsEntry{busy, corev3.HealthStatus_HEALTHY}, xdsEntry{spare, corev3.HealthStatus_HEALTHY})
				}
				p := w.node.serving.Load().pools["a"]
				testkit.Eventually(t, "the news is not taken", func() bool {
					seen := len(w.rec.History().Arrivals)
					w.ask("a", read)
					l := w.rec.History().Arrivals[seen:]
					return len(l) > 0 && (l[0].Server == "spare" || state == 2 && l[0].Incarnation == 1)
				})
				want := 200
				if state == 2 {
					want = 502 // its process died with it, and it may have run
				}
				x := testkit.Wait(t, answer)
				if x.Status != want {
					t.Errorf("the running request: %d, not %d", x.Status, want)
				}
				if state < 2 {
					for range 20 {
						w.ask("a", read)
					}
				}
				for _, a := range w.rec.History().Arrivals[1:] {
					if a.ID == x.ID || state < 2 && a.Server == "busy" && a.FirstByteAt > x.SentAt+time.Second {
						t.Errorf("sent to %s: %+v", a.Server, a)
					}
				}
				testkit.Eventually(t, "something is left open", func() bool { return p.Engine().OpenCalls() == 0 })
			})
		})
	}
}

// A cluster is removed and added while requests are held for it: they are served once it is back.
func TestXDSClusterFlapsWithHeld(t *testing.T) {
	t.Parallel()
	bothVariants(t, func(t *testing.T, w *xdsWorld, delta bool) {
		s := w.server("s", quick)
		w.cluster("c")
		w.list("c", 0) // no server: requests are held
		w.start(w.xdsPlan(delta, "", poolOf("a", `xds = "c"`)))
		p := w.node.serving.Load().pools["a"]
		answer := make(chan fake.Exchange, 1)
		go func() { answer <- w.ask("a", order) }()
		testkit.Eventually(t, "the request is not taken", func() bool { return p.Engine().OpenCalls() == 1 })
		for range 3 {
			w.plane.Set(resource.ClusterURL, map[string]proto.Message{"c": nil})
			w.cluster("c")
		}
		w.list("c", 0, xdsEntry{s, corev3.HealthStatus_HEALTHY})
		if x := testkit.Wait(t, answer); x.Status != 200 {
			t.Errorf("the held request: %d", x.Status)
		}
		if n := len(w.rec.History().Arrivals); n != 1 {
			t.Errorf("%d arrivals", n)
		}
	})
}

// The control plane is down at the start: the servers of the file serve, until it has told others.
func TestXDSDownAtTheStart(t *testing.T) {
	t.Parallel()
	bothVariants(t, func(t *testing.T, w *xdsWorld, delta bool) {
		known, told := w.server("known", quick), w.server("told", quick)
		w.cluster("c")
		w.list("c", 0, xdsEntry{told, corev3.HealthStatus_UNKNOWN})
		w.plane.Down()
		w.start(w.xdsPlan(delta, "", poolOf("a", "xds = \"c\"\n"+servers(known))))
		if x := w.ask("a", order); x.Status != 200 || w.rec.History().Arrivals[0].Server != "known" {
			t.Errorf("%d by %v", x.Status, w.rec.History().Arrivals)
		}
		if err := w.plane.Up(); err != nil {
			t.Fatal(err)
		}
		testkit.Eventually(t, "the control plane's list is not used", func() bool {
			w.ask("a", read)
			l := w.rec.History().Arrivals
			return l[len(l)-1].Server == "told"
		})
	})
}

// drop_overloads refuses harmlessly, and load is reported.
func TestXDSDropsAndLoad(t *testing.T) {
	t.Parallel()
	w := newXDSWorld(t)
	w.plane.SetLoadReportRequest(&loadstats.LoadStatsResponse{SendAllClusters: true, LoadReportingInterval: durationpb.New(time.Millisecond)})
	s := w.server("s", quick)
	w.cluster("c")
	w.list("c", 100, xdsEntry{s, corev3.HealthStatus_HEALTHY})
	w.start(w.xdsPlan(true, "load_reports = \"100ms\"\n", poolOf("a", `xds = "c"`)))
	testkit.Eventually(t, "nothing is dropped", func() bool {
		before := len(w.rec.History().Arrivals) // the first may be held until the list comes, and then sent
		x := w.ask("a", order)
		return x.Status == 503 && x.RetryAfter && len(w.rec.History().Arrivals) == before
	})
	w.list("c", 0, xdsEntry{s, corev3.HealthStatus_HEALTHY})
	testkit.Eventually(t, "still dropped", func() bool { return w.ask("a", order).Status == 200 })
	testkit.Eventually(t, "the load is not reported", func() bool {
		issued, dropped := uint64(0), uint64(0)
		for _, r := range w.plane.LoadReports() {
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

// A reload goes over to other control planes, and pools keep what they have until those have told more.
func TestXDSReload(t *testing.T) {
	t.Parallel()
	w, other := newXDSWorld(t), newXDSWorld(t)
	s := w.server("s", quick)
	w.cluster("c")
	w.list("c", 0, xdsEntry{s, corev3.HealthStatus_HEALTHY})
	w.start(w.xdsPlan(true, "", poolOf("a", `xds = "c"`)))
	testkit.Eventually(t, "not served", func() bool { return w.ask("a", read).Status == 200 })
	engine := w.node.serving.Load().pools["a"].Engine()
	reload(t, w.node, other.xdsPlan(false, "", poolOf("a", `xds = "c"`)))
	if x := w.ask("a", order); x.Status != 200 {
		t.Errorf("with the new control plane silent: %d", x.Status)
	}
	testkit.Eventually(t, "the old control plane is still followed", func() bool { return w.plane.BreakStreams() == 0 })
	next := w.server("next", quick)
	other.cluster("c")
	other.list("c", 0, xdsEntry{next, corev3.HealthStatus_HEALTHY})
	testkit.Eventually(t, "the new list is not used", func() bool {
		w.ask("a", read)
		l := w.rec.History().Arrivals
		return l[len(l)-1].Server == "next"
	})
	if w.node.serving.Load().pools["a"].Engine() != engine {
		t.Error("another control plane makes another pool")
	}
	reload(t, w.node, planOf(t, "", poolOf("a", servers(s)))) // without any
	testkit.Eventually(t, "the control plane is still followed", func() bool { return other.plane.BreakStreams() == 0 })
	if x := w.ask("a", order); x.Status != 200 {
		t.Errorf("without control planes: %d", x.Status)
	}
}

// The node tells at its admin address what it holds. A program built without xDS says so.
func TestXDSDump(t *testing.T) {
	t.Parallel()
	w := newXDSWorld(t)
	w.cluster("c")
	w.list("c", 0, xdsEntry{w.server("s", quick), corev3.HealthStatus_HEALTHY})
	plan := w.xdsPlan(true, "", poolOf("a", `xds = "c"`), poolOf("b", `xds = "none"`))
	plan.Admin = "127.0.0.1:0"
	w.start(plan)
	testkit.Eventually(t, "the dump does not tell what there is", func() bool {
		resp, err := http.Get("http://" + w.node.InspectionAddr().String() + "/xds/dump")
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		s := string(text)
		return strings.Contains(s, "in use") && strings.Contains(s, "by the assignment c") && strings.Contains(s, "there is no such cluster")
	})
	http.DefaultClient.CloseIdleConnections()
	if _, err := NewFromPlan(plan, Options{}); err != ErrNoXDS {
		t.Errorf("without xDS: %v", err)
	}
}

// runWith runs a node until the test ends, and callers of it.
func (w *world) runWith(plan operator.Plan, o Options) *Node {
	w.t.Helper()
	n, err := NewFromPlan(plan, o)
	if err != nil {
		w.t.Fatal(err)
	}
	n.drainDelay = 0
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	w.callers = fake.NewCallers(w.rec, n.Addr().String(), 1, limit)
	w.t.Cleanup(func() {
		w.callers.Close()
		cancel()
		select {
		case err := <-done:
			if err != nil {
				w.t.Errorf("Run: %v", err)
			}
		case <-time.After(limit):
			w.t.Error("Run goes on")
		}
	})
	return n
}
