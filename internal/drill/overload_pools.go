package drill

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cranegrade/internal/fake"
	"cranegrade/internal/testfleet"
)

const (
	poolsShortLength = 6 * time.Second // below which the drill takes its short form
	poolsSlowFrom    = 0.25            // when the servers become slow, by the drill's length
	poolsSlowTo      = 0.5
	poolsSlowdown    = 10
)

// overloadPools has a hundred pools in one process. The servers of ten become ten times as slow for a while; the other ninety must not be
// affected, and the ten must have recovered once it is over.
func overloadPools(ctx context.Context, env *environment) error {
	pools, slow := 100, 10
	if env.length < poolsShortLength {
		pools, slow = 20, 2
	}
	streams, err := env.startManyPools(pools, slow)
	if err != nil {
		return err
	}
	start := env.recorder.Now()
	var faults sync.WaitGroup
	if env.violation == "" {
		var slowServers []*fake.Server
		for _, g := range env.groups[:slow] {
			slowServers = append(slowServers, g.servers[0])
		}
		env.atShare(ctx, &faults, poolsSlowFrom, func() { setSlowdown(slowServers, poolsSlowdown) })
		env.atShare(ctx, &faults, poolsSlowTo, func() { setSlowdown(slowServers, 1) })
	}
	if err := env.runTraffic(ctx, &faults, streams...); err != nil {
		return err
	}
	h := env.recorder.History()
	good := func(stream string, from, to float64) float64 {
		return goodput(h, stream, start+env.share(from), start+env.share(to))
	}
	env.addFigure("pools", pools, "in one process, each with a server")
	env.addFigure("calm_goodput_during", good("calm", poolsSlowFrom, poolsSlowTo), "of those whose servers were as ever, while the others were slow")
	env.addFigure("calm_goodput", good("calm", 0, 1), "and over the whole")
	env.addFigure("choked_goodput_during", good("choked", poolsSlowFrom, poolsSlowTo), "of those whose servers were ten times as slow")
	env.addFigure("choked_goodput_after", good("choked", poolsSlowTo+0.1, 1), "from a tenth of the drill after that on")
	return nil
}

// startManyPools starts the program with pools of one server each, and returns a stream for each pool. The first ones are those that will be
// slow.
func (env *environment) startManyPools(pools, slow int) (streams []fake.Stream, err error) {
	server := fake.ServerConfig{
		Concurrency: 4, QueueLimit: 100, ServiceTime: 30 * time.Millisecond, SlowStart: testfleet.SlowStart, Zone: "a", IgnoreDisconnects: true,
	}
	config, routes := "listen = [\"127.0.0.1:0\"]\n", ""
	for i := range pools {
		name := fmt.Sprintf("p%03d", i)
		g, err := env.startGroup(name, name+".example.org", server)
		if err != nil {
			return nil, err
		}
		config += testfleet.PoolConfig(name, g.registryLine())
		routes += route(g.host, name)
		s := fake.Stream{Name: "calm", Host: g.host, Class: testfleet.ReadClass, Rate: 4}
		if i < slow {
			s.Name, s.Rate = "choked", 40
		}
		streams = append(streams, s)
	}
	if err := env.startProgram(config + routes); err != nil {
		return nil, err
	}
	return streams, env.awaitWatches(env.groups...)
}
