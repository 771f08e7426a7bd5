package drill

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"

	"cranegrade/internal/fake"
	fakexds "cranegrade/internal/fake/xds"
	"cranegrade/internal/testfleet"
)

const (
	xdsHost           = "xds.example.org"
	xdsServers        = 10_000
	xdsNodes          = 50 // of which the program is one, so it uses a subset of the servers
	xdsZones          = 3
	xdsServersPerCell = 100
	xdsServeTimeout   = 20 * time.Second // until the program serves by the list
	drainInterval     = 50 * time.Millisecond
	drainedFor        = 1500 * time.Millisecond
	shortLength       = 4 * time.Second // below which a drill takes its short form
	shortFormDivisor  = 20
)

// xds drains servers out of an assignment of 10,000, ten a second and more, under load: those that have just been sent to, so that it
// matters.
func xds(ctx context.Context, env *environment) error {
	controlPlane, err := fakexds.New()
	if err != nil {
		return err
	}
	defer controlPlane.Close()
	g, err := env.startControlPlaneGroup(controlPlane, "xds", xdsHost, xdsServerConfigs(env.shortened(xdsServers))...)
	if err != nil {
		return err
	}
	recordWrites(controlPlane, g)
	if err := env.startXDSProgram(controlPlane); err != nil {
		return err
	}
	_, residentBefore := env.node.Resources()
	if !testfleet.Await(xdsServeTimeout, func() bool {
		return env.callers.Do(fake.Stream{Host: xdsHost, Class: testfleet.ReadClass}).Status == http.StatusOK
	}) {
		return errors.New("nothing is served by the control plane's list")
	}
	cpuBefore := env.node.CPUTime()
	var faults sync.WaitGroup
	changes := 0
	playing, stop := context.WithTimeout(ctx, env.length)
	defer stop()
	faults.Go(func() { changes = env.drainRecentlyUsed(playing, g) })
	if err := env.runTraffic(ctx, &faults,
		fake.Stream{Host: xdsHost, Class: testfleet.ReadClass, Rate: 150},
		fake.Stream{Host: xdsHost, Class: testfleet.AlertClass, Rate: 100, BodyBytes: 100},
		fake.Stream{Host: xdsHost, Class: testfleet.OrderClass, Rate: 50, BodyBytes: 100}); err != nil {
		return err
	}
	env.reportXDS(g, changes, residentBefore, env.node.CPUTime()-cpuBefore)
	return nil
}

// xdsServerConfigs are n servers, spread over zones and cells.
func xdsServerConfigs(n int) []fake.ServerConfig {
	configs := make([]fake.ServerConfig, n)
	for i := range configs {
		configs[i] = testfleet.InCell(testfleet.DefaultServer, i/xdsServersPerCell)
		configs[i].Zone = fmt.Sprintf("z%d", i%xdsZones)
	}
	return configs
}

func (env *environment) startXDSProgram(controlPlane *fakexds.ControlPlane) error {
	config := fmt.Sprintf("listen = [\"127.0.0.1:0\"]\nnodes = %d\ndefault = \"xds\"\nlimits = { cores = 1, descriptors = 4096 }\n", xdsNodes)
	return env.startProgram(config + xdsConfig(env.usesDelta(), controlPlane) + testfleet.PoolConfig("xds", `xds = "xds"`))
}

// reportXDS reports how soon drained servers were not sent to any more, and what that cost.
func (env *environment) reportXDS(g *controlPlaneGroup, changes, residentBefore int, cpu time.Duration) {
	_, resident := env.node.Resources()
	after := afterDrains(env.recorder.History())
	variant := "state of the world"
	if env.usesDelta() {
		variant = "delta"
	}
	env.addFigure("variant", variant, "")
	env.addFigure("endpoints", len(g.servers), "in the assignment")
	env.addFigure("updates", changes, "of it, while requests ran")
	env.addFigure("drains", len(after), "servers drained or removed")
	env.addFigure("after_drain_max_ms", testfleet.Quantile(after, 1), "from the write to the last first byte at the server; 250 is allowed")
	env.addFigure("after_drain_p99_ms", testfleet.Quantile(after, 0.99), "")
	env.addFigure("cpu_share", cpu.Seconds()/env.length.Seconds(), "of one core, by the program")
	env.addFigure("resident_start_kb", residentBefore, "of the program, before the list")
	env.addFigure("resident_end_kb", resident, "")
	if len(after) == 0 && env.violation == "" {
		env.failf("no server was drained")
	}
	env.addStreamTable()
}

// drainedServer is a server that is drained or removed until a time.
type drainedServer struct {
	server *fake.Server
	until  time.Time
}

// drainRecentlyUsed drains or removes servers that have just been sent to, and brings each back after a while, until ctx ends. It returns
// the number of changes of the assignment.
func (env *environment) drainRecentlyUsed(ctx context.Context, g *controlPlaneGroup) (changes int) {
	var drained []drainedServer // in the order of their times
	byID := map[string]*fake.Server{}
	for _, s := range g.servers {
		byID[s.ID()] = s
	}
	for {
		select {
		case <-time.After(drainInterval):
		case <-ctx.Done():
			return changes
		}
		recent := env.recorder.RecentArrivals(3)
		g.change(func() (changed []*fake.Server) {
			for _, a := range recent {
				s := byID[a.Server]
				if slices.ContainsFunc(drained, func(d drainedServer) bool { return d.server == s }) {
					continue
				}
				env.drainOrRemove(g, s)
				drained = append(drained, drainedServer{s, time.Now().Add(drainedFor)})
				changed = append(changed, s)
			}
			for len(drained) > 0 && time.Now().After(drained[0].until) {
				s := drained[0].server
				drained = drained[1:]
				g.health[s.ID()], g.removed[s.ID()] = corev3.HealthStatus_HEALTHY, false
				changed = append(changed, s)
			}
			changes++
			return changed
		})
	}
}

// drainOrRemove draws what becomes of a server. The caller holds the group's lock.
func (env *environment) drainOrRemove(g *controlPlaneGroup, s *fake.Server) {
	if env.rng.IntN(2) == 0 {
		g.health[s.ID()] = corev3.HealthStatus_DRAINING
	} else {
		g.removed[s.ID()] = true
	}
}

// shortened is a number of servers or requests, of which the short form of a drill takes a part.
func (env *environment) shortened(n int) int {
	if env.length < shortLength {
		return n / shortFormDivisor
	}
	return n
}

// withdrawal is a time in which a server is draining or removed.
type withdrawal struct {
	from, to    time.Duration // to is 0 while it lasts
	lastArrival time.Duration // since from; 0: there was none
}

func (w withdrawal) contains(at time.Duration) bool { return at >= w.from && (w.to == 0 || at < w.to) }

// afterDrains returns, for each time that the program was told that a server is withdrawn, how long after that the last request reached the
// server, sorted; 0 for none.
func afterDrains(h fake.History) (after []time.Duration) {
	withdrawals := findWithdrawals(h)
	for _, a := range h.Arrivals {
		for i := range withdrawals[a.Server] {
			if w := &withdrawals[a.Server][i]; w.contains(a.FirstByteAt) {
				w.lastArrival = max(w.lastArrival, a.FirstByteAt-w.from)
			}
		}
	}
	for _, ofServer := range withdrawals {
		for _, w := range ofServer {
			after = append(after, w.lastArrival)
		}
	}
	slices.Sort(after)
	return after
}

// findWithdrawals returns the withdrawals of each server in the order of time.
func findWithdrawals(h fake.History) map[string][]withdrawal {
	withdrawals := map[string][]withdrawal{}
	for _, u := range h.Updates {
		ofServer := withdrawals[u.Server]
		isOpen := len(ofServer) > 0 && ofServer[len(ofServer)-1].to == 0
		switch {
		case u.Withdrawn && !isOpen:
			withdrawals[u.Server] = append(ofServer, withdrawal{from: u.At})
		case !u.Withdrawn && isOpen:
			ofServer[len(ofServer)-1].to = u.At
		}
	}
	return withdrawals
}
