package drill

import (
	"context"
	"sync"
	"time"

	"cranegrade/internal/fake"
	"cranegrade/internal/testfleet"
)

// crashTime is how long a server is down that crashes and starts again.
const crashTime = 300 * time.Millisecond

// tour is a first look: one pool, three servers, every class; one server drains and comes back, one crashes and starts again.
func tour(ctx context.Context, env *environment) error {
	const host = "tour.example.org"
	g, err := env.startGroup("tour", host, serversInCells(1, 1, 2)...)
	if err != nil {
		return err
	}
	config := "listen = [\"127.0.0.1:0\"]\ndefault = \"tour\"\nlimits = { cores = 1 }\n" + testfleet.PoolConfig("tour", g.registryLine())
	if err := env.startProgram(config); err != nil {
		return err
	}
	if err := env.awaitWatches(g); err != nil {
		return err
	}
	var faults sync.WaitGroup
	if env.violation == "" {
		env.atShare(ctx, &faults, 0.2, func() { g.setState(g.servers[0], fake.ListDraining) })
		env.atShare(ctx, &faults, 0.4, func() { g.setState(g.servers[0], fake.ListServing) })
		env.atShare(ctx, &faults, 0.5, func() { g.crashForAWhile(g.servers[1]) })
	}
	if err := env.runTraffic(ctx, &faults,
		fake.Stream{Host: host, Class: testfleet.ReadClass, Rate: 120},
		fake.Stream{Host: host, Class: testfleet.AlertClass, Rate: 60, BodyBytes: 200},
		fake.Stream{Host: host, Class: testfleet.CampaignClass, Rate: 30, BodyBytes: 2000},
		fake.Stream{Host: host, Class: testfleet.OrderClass, Rate: 30, BodyBytes: 500}); err != nil {
		return err
	}
	env.addTrafficTables()
	return nil
}
