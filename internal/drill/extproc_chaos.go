package drill

import (
	"context"
	"os"
	"sync"
	"sync/atomic"

	"cranegrade/internal/envoyconf"
	"cranegrade/internal/fake"
	"cranegrade/internal/fake/proxy"
	"cranegrade/internal/testfleet"
)

const droppedShare = 3 // one in so many streams to the processor is dropped by careless proxies

// extprocChaos has proxies that drop the stream to the processor and retry whatever happened, beside good ones; servers that fail, reject and
// crash; and a processor that dies and starts again.
func extprocChaos(mode envoyconf.Mode) func(context.Context, *environment) error {
	return func(ctx context.Context, env *environment) error { return env.runExtprocChaos(ctx, mode) }
}

func (env *environment) runExtprocChaos(ctx context.Context, mode envoyconf.Mode) error {
	setup, err := env.startProcessor(mode, serversInCells(1, 1, 2, 2, 2)...)
	if err != nil {
		return err
	}
	good, err := env.startProxies(2, setup.proxyConfig)
	if err != nil {
		return err
	}
	careless, err := env.startProxies(2, carelessConfig(setup.proxyConfig))
	if err != nil {
		return err
	}
	var faults sync.WaitGroup
	kills := 0
	if env.violation == "" {
		env.scheduleProcessorFaults(ctx, &faults, setup, &kills)
	}
	streams := func(name string, rate float64) (streams []fake.Stream) {
		for _, c := range testfleet.Classes {
			streams = append(streams, fake.Stream{Name: name, Host: extprocHost, Class: c, Rate: rate, BodyBytes: 100, Duration: env.length})
		}
		return streams
	}
	faults.Go(func() { proxy.Run(ctx, careless, env.seed+1, streams("dropping", 15)...) })
	if err := env.runProxyTraffic(ctx, &faults, good, streams("good", 30)...); err != nil {
		return err
	}
	env.reportProxies()
	env.addFigure("kills", kills, "of the processor")
	env.addTrafficTables()
	return nil
}

// carelessConfig is the configuration of a proxy that drops streams and, where it asks for every attempt, retries whatever happened.
func carelessConfig(config proxy.Config) proxy.Config {
	var requests atomic.Uint64
	config.RetryEverything = config.Mode == envoyconf.EveryTry
	config.DropStream = func() bool { return requests.Add(1)%droppedShare == 0 }
	return config
}

// scheduleProcessorFaults has servers fail, reject and crash, and the processor die with its state and start again at its address; kills
// counts how often.
func (env *environment) scheduleProcessorFaults(ctx context.Context, faults *sync.WaitGroup, setup *processorSetup, kills *int) {
	g := setup.group
	env.atShare(ctx, faults, 0.25, func() { g.servers[0].SetMode(fake.Failing) })
	env.atShare(ctx, faults, 0.4, func() {
		g.servers[0].SetMode(fake.Serving)
		g.servers[1].SetMode(fake.Rejecting)
	})
	env.atShare(ctx, faults, 0.55, func() {
		g.servers[1].SetMode(fake.Serving)
		g.crashForAWhile(g.servers[2])
	})
	env.atShare(ctx, faults, 0.7, func() {
		env.node.Kill()
		successor, err := env.startAgain(setup.config(env.node.Addr))
		if err != nil {
			env.failf("starting the processor again: %v", err)
			return
		}
		env.node = successor
		*kills++
	})
}

// startAgain starts the program once more, with another file.
func (env *environment) startAgain(config string) (*testfleet.Process, error) {
	if err := os.WriteFile(env.node.Config, []byte(config), configMode); err != nil {
		return nil, err
	}
	return testfleet.Start(env.program, env.node.Config)
}
