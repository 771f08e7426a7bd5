package drill

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"cranegrade/internal/envoyconf"
	"cranegrade/internal/fake"
	"cranegrade/internal/fake/proxy"
	"cranegrade/internal/testfleet"
)

const (
	extprocHost    = "ext.example.org"
	messageTimeout = 200 * time.Millisecond // of a proxy
	deployServers  = 26
	deployPercent  = 77 // of the servers, that are replaced
	deployDrain    = 400 * time.Millisecond
	burstQuestions = 5000
	burstSpreadMS  = 200
	maxRetries     = 2 // of a proxy, in the modes that have retries
)

// extprocConfig is the operator's file of a program that proxies ask. extra are further lines of [ext_proc], poolExtra of the pool.
func extprocConfig(listen, extra string, g *serverGroup, poolExtra ...string) string {
	return fmt.Sprintf("default = %q\n[ext_proc]\nlisten = %q\n%s\n", g.name, listen, extra) +
		testfleet.PoolConfig(g.name, g.registryLine(), poolExtra...)
}

// startProxies starts proxies that ask the program.
func (env *environment) startProxies(n int, config proxy.Config) (proxies []*proxy.Proxy, err error) {
	config.Processor, config.Classes = env.node.Addr, testfleet.Classes
	for _, g := range env.groups {
		for _, s := range g.servers {
			config.Endpoints = append(config.Endpoints, s.Addr())
		}
	}
	config.Timeout = messageTimeout + env.slack
	for i := range n {
		p, err := proxy.New(fmt.Sprintf("p%d-%d", len(env.proxies), i), env.recorder, config)
		if err != nil {
			return nil, err
		}
		env.proxies = append(env.proxies, p)
		proxies = append(proxies, p)
	}
	return proxies, nil
}

// reportProxies reports the counters of all proxies together, and that every decision was followed.
func (env *environment) reportProxies() {
	var decisions, immediate, timeouts, sent, followed int64
	var decisionTimes []time.Duration
	for _, p := range env.proxies {
		decisions += p.Decisions.Load()
		immediate += p.ImmediateResponses.Load()
		timeouts += p.MessageTimeouts.Load()
		sent += p.UpstreamRequests.Load()
		followed += p.DecisionsFollowed.Load()
		decisionTimes = append(decisionTimes, p.DecisionTimes.All()...)
	}
	slices.Sort(decisionTimes)
	env.addFigure("decisions", decisions, "questions answered with a server")
	env.addFigure("immediate", immediate, "questions answered with a final response")
	env.addFigure("unanswered", timeouts, "questions without an answer within the proxy's message time-out")
	env.addFigure("sent", sent, "attempts that the proxies sent to a server")
	env.addFigure("heeded", followed, "and to one that was named for it")
	if followed != sent {
		env.failf("%d of %d attempts went elsewhere than decided", sent-followed, sent)
	}
	env.addFigure("word_p50_ms", testfleet.Quantile(decisionTimes, 0.5), "from a question to the answer")
	env.addFigure("word_p99_ms", testfleet.Quantile(decisionTimes, 0.99), "")
}

// processorSetup is a program that proxies ask in a mode, and the servers that it names.
type processorSetup struct {
	group       *serverGroup
	proxyConfig proxy.Config // of a proxy that behaves well
	extra       string       // lines of [ext_proc]
	poolExtra   string       // lines of the pool
}

// config is the operator's file.
func (s *processorSetup) config(listen string) string {
	return extprocConfig(listen, s.extra, s.group, s.poolExtra)
}

// startProcessor starts servers, and the program as a processor.
func (env *environment) startProcessor(mode envoyconf.Mode, configs ...fake.ServerConfig) (*processorSetup, error) {
	s := &processorSetup{proxyConfig: proxy.Config{Mode: mode}}
	switch mode {
	case envoyconf.EveryTry:
		s.extra, s.proxyConfig.MaxRetries = "retries = true\n", maxRetries
	case envoyconf.Fallbacks:
		s.poolExtra, s.proxyConfig.MaxRetries = "fallbacks = 2", maxRetries
	case envoyconf.ByHeader, envoyconf.ByMetadata: // without retries
	}
	var err error
	if s.group, err = env.startGroup("ext", extprocHost, configs...); err != nil {
		return nil, err
	}
	if env.port, err = fake.ReservePort(); err != nil {
		return nil, err
	}
	if err := env.startProgram(s.config(env.port.Addr())); err != nil {
		return nil, err
	}
	return s, env.awaitWatches(s.group)
}

// extproc has three proxies ask for each request. In the middle a rolling deploy replaces 77 % of the servers, and a burst of 5,000
// questions comes within 200 ms of its end.
func extproc(mode envoyconf.Mode) func(context.Context, *environment) error {
	return func(ctx context.Context, env *environment) error { return env.runExtproc(ctx, mode) }
}

func (env *environment) runExtproc(ctx context.Context, mode envoyconf.Mode) error {
	cells := make([]int, deployServers)
	for i := range cells {
		cells[i] = i % 4
	}
	setup, err := env.startProcessor(mode, serversInCells(cells...)...)
	if err != nil {
		return err
	}
	proxies, err := env.startProxies(3, setup.proxyConfig)
	if err != nil {
		return err
	}
	var faults sync.WaitGroup
	if env.violation == "" {
		env.atShare(ctx, &faults, 0.4, func() {
			setup.group.deploy()
			env.askInBurst(ctx, proxies)
		})
	}
	if err := env.runProxyTraffic(ctx, &faults, proxies,
		fake.Stream{Host: extprocHost, Class: testfleet.ReadClass, Rate: 150},
		fake.Stream{Host: extprocHost, Class: testfleet.AlertClass, Rate: 80, BodyBytes: 100},
		fake.Stream{Host: extprocHost, Class: testfleet.CampaignClass, Rate: 40, BodyBytes: 100},
		fake.Stream{Host: extprocHost, Class: testfleet.OrderClass, Rate: 40, BodyBytes: 100}); err != nil {
		return err
	}
	env.reportProxies()
	env.addFigure("after_drain_max_ms", testfleet.Quantile(afterDrains(env.recorder.History()), 1),
		"from the write to the last first byte at a drained server")
	env.addStreamTable()
	return nil
}

// deploy drains most servers of a group, and restarts them all at once after a while.
func (g *serverGroup) deploy() {
	replaced := g.servers[:len(g.servers)*deployPercent/100]
	for _, s := range replaced {
		g.setState(s, fake.ListDraining)
	}
	time.Sleep(deployDrain)
	var restarting sync.WaitGroup
	for _, s := range replaced {
		restarting.Go(func() { g.restart(s) })
	}
	restarting.Wait()
}

// askInBurst sends requests of all classes within burstSpreadMS.
func (env *environment) askInBurst(ctx context.Context, proxies []*proxy.Proxy) {
	var running sync.WaitGroup
	for i := range env.shortened(burstQuestions) {
		class := testfleet.Classes[i%len(testfleet.Classes)]
		running.Go(func() {
			time.Sleep(time.Duration(i%burstSpreadMS) * time.Millisecond)
			proxies[i%len(proxies)].Do(ctx, fake.Stream{Name: "burst", Host: extprocHost, Class: class})
		})
	}
	running.Wait()
}
