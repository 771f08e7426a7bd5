package drill

import (
	"context"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"cranegrade/internal/envoyconf"
	"cranegrade/internal/fake"
	"cranegrade/internal/fake/proxy"
	"cranegrade/internal/testfleet"
)

// extText is the operator's file of a node that proxies ask.
func extText(listen, more string, g *serverGroup, pool ...string) string {
	return fmt.Sprintf("default = %q\n[ext_proc]\nlisten = %q\n%s\n", g.name, listen, more) + poolText(g.name, g.registryText(), pool...)
}

// startProxies starts proxies that ask the program.
func (r *environment) startProxies(n int, cfg proxy.Config) (l []*proxy.Proxy, err error) {
	cfg.Processor, cfg.Classes = r.node.Addr, allClasses
	for _, g := range r.groups {
		for _, s := range g.servers {
			cfg.Endpoints = append(cfg.Endpoints, s.Addr())
		}
	}
	cfg.Timeout = 200*time.Millisecond + r.slack
	for i := range n {
		p, err := proxy.New(fmt.Sprintf("p%d-%d", len(r.proxies), i), r.records, cfg)
		if err != nil {
			return nil, err
		}
		r.proxies = append(r.proxies, p)
		l = append(l, p)
	}
	return l, nil
}

// extFigures are those of the proxies.
func (r *environment) extFigures() {
	var decisions, immediate, unanswered, sent, heeded int64
	var waits []time.Duration
	for _, p := range r.proxies {
		decisions += p.Decisions.Load()
		immediate += p.ImmediateResponses.Load()
		unanswered += p.MessageTimeouts.Load()
		sent, heeded = sent+p.UpstreamRequests.Load(), heeded+p.DecisionsFollowed.Load()
		waits = append(waits, p.DecisionTimes.All()...)
	}
	slices.Sort(waits)
	r.addFigure("decisions", decisions, "questions answered with a server")
	r.addFigure("immediate", immediate, "questions answered with a final answer")
	r.addFigure("unanswered", unanswered, "questions without a word within the proxy's message time-out")
	r.addFigure("sent", sent, "tries that the proxies sent to a server")
	r.addFigure("heeded", heeded, "and to one that was named for it")
	if heeded != sent {
		r.failf("%d of %d tries went elsewhere than decided", sent-heeded, sent)
	}
	r.addFigure("word_p50_ms", quantile(waits, 0.5), "from a question to the word")
	r.addFigure("word_p99_ms", quantile(waits, 0.99), "")
}

// plays runs proxies' traffic and the breach that was asked for.
func (r *environment) plays(ctx context.Context, faults *sync.WaitGroup, l []*proxy.Proxy, streams ...fake.Stream) error {
	send := func(ctx context.Context, streams ...fake.Stream) { proxy.Run(ctx, l, r.seed, streams...) }
	return r.drive(ctx, faults, send, streams)
}

// asked is a program that proxies ask in a mode, and the servers that it names.
type asked struct {
	g    *serverGroup
	base proxy.Config // of a good proxy
	ext  string       // keys of [ext_proc]
	pool string       // and of the pool
}

// text is its file.
func (a *asked) text(listen string) string { return extText(listen, a.ext, a.g, a.pool) }

// startAsked starts servers and the program.
func (r *environment) startAsked(host string, mode envoyconf.Mode, servers ...fake.ServerConfig) (*asked, error) {
	a := &asked{base: proxy.Config{Mode: mode}}
	switch mode {
	case envoyconf.EveryTry:
		a.ext, a.base.MaxRetries = "retries = true\n", 2
	case envoyconf.Fallbacks:
		a.pool, a.base.MaxRetries = "fallbacks = 2", 2
	}
	var err error
	if a.g, err = r.group("ext", host, servers...); err != nil {
		return nil, err
	}
	if err := r.start(a.text("127.0.0.1:0")); err != nil {
		return nil, err
	}
	return a, r.settle(a.g)
}

// extproc has three proxies ask for each request; in the middle a rolling deploy replaces 77 % of the
// servers, and a burst of 5,000 questions comes within 200 ms of its end.
func extproc(mode envoyconf.Mode) func(context.Context, *environment) error {
	return func(ctx context.Context, r *environment) error { return r.extproc(ctx, mode) }
}

func (r *environment) extproc(ctx context.Context, mode envoyconf.Mode) error {
	const host = "ext.example.org"
	cfgs := make([]fake.ServerConfig, 26)
	for i := range cfgs {
		cfgs[i] = inCell(usual, i%4)
	}
	a, err := r.startAsked(host, mode, cfgs...)
	if err != nil {
		return err
	}
	g := a.g
	l, err := r.startProxies(3, a.base)
	if err != nil {
		return err
	}
	var faults sync.WaitGroup
	if r.violation == "" {
		r.at(ctx, &faults, 0.4, func() {
			replaced := g.servers[:len(g.servers)*77/100]
			for _, s := range replaced {
				g.list(s, "DRAINING")
			}
			time.Sleep(400 * time.Millisecond)
			var all sync.WaitGroup
			for _, s := range replaced {
				all.Go(func() {
					s.Crash()
					if s.Restart() == nil {
						g.list(s, "SERVING")
					}
				})
			}
			all.Wait()
			var burst sync.WaitGroup
			for i := range r.size(5000) {
				burst.Go(func() {
					time.Sleep(time.Duration(i%200) * time.Millisecond)
					l[i%len(l)].Do(ctx, fake.Stream{Name: "burst", Host: host, Class: allClasses[i%len(allClasses)]})
				})
			}
			burst.Wait()
		})
	}
	if err := r.plays(ctx, &faults, l, fake.Stream{Host: host, Class: readClass, Rate: 150}, fake.Stream{Host: host, Class: sendClass, Rate: 80, BodyBytes: 100},
		fake.Stream{Host: host, Class: cellClass, Rate: 40, BodyBytes: 100}, fake.Stream{Host: host, Class: orderClass, Rate: 40, BodyBytes: 100}); err != nil {
		return err
	}
	r.extFigures()
	r.addFigure("after_drain_max_ms", quantile(afterDrains(r.records.History()), 1), "from the write to the last first byte at a drained server")
	r.tables = append(r.tables, streamTable(r.records.History()))
	return nil
}

// extprocChaos has proxies that drop the side channel, try again whatever happened, use servers of their
// own liking, and answer clients by themselves; and a processor that dies and starts again.
func extprocChaos(mode envoyconf.Mode) func(context.Context, *environment) error {
	return func(ctx context.Context, r *environment) error { return r.extprocChaos(ctx, mode) }
}

func (r *environment) extprocChaos(ctx context.Context, mode envoyconf.Mode) error {
	const host = "ext.example.org"
	a, err := r.startAsked(host, mode, inCell(usual, 1), inCell(usual, 1), inCell(usual, 2), inCell(usual, 2), inCell(usual, 2))
	if err != nil {
		return err
	}
	good, err := r.startProxies(2, a.base)
	if err != nil {
		return err
	}
	var n int
	var mu sync.Mutex
	careless := a.base
	careless.RetryEverything = mode == envoyconf.EveryTry
	careless.DropStream = func() bool {
		mu.Lock()
		defer mu.Unlock()
		n++
		return n%3 == 0
	}
	dropping, err := r.startProxies(2, careless)
	if err != nil {
		return err
	}
	var faults sync.WaitGroup
	kills := 0
	if r.violation == "" {
		r.scheduleExtprocFaults(ctx, &faults, a, &kills)
	}
	streams := func(name string, rate float64) (l []fake.Stream) {
		for _, c := range allClasses {
			l = append(l, fake.Stream{Name: name, Host: host, Class: c, Rate: rate, BodyBytes: 100, Duration: r.length})
		}
		return l
	}
	faults.Go(func() { proxy.Run(ctx, dropping, r.seed+1, streams("dropping", 15)...) })
	if err := r.plays(ctx, &faults, good, streams("good", 30)...); err != nil {
		return err
	}
	r.extFigures()
	r.addFigure("kills", kills, "of the processor")
	r.tables = append(r.tables, streamTable(r.records.History()), serverTable(r.records.History()))
	return nil
}

// scheduleExtprocFaults has servers fail, refuse and crash, and the processor die with what it has and start again at its
// address; kills counts how often.
func (r *environment) scheduleExtprocFaults(ctx context.Context, faults *sync.WaitGroup, a *asked, kills *int) {
	g := a.g
	r.at(ctx, faults, 0.25, func() { g.servers[0].SetMode(fake.Failing) })
	r.at(ctx, faults, 0.4, func() { g.servers[0].SetMode(fake.Serving); g.servers[1].SetMode(fake.Rejecting) })
	r.at(ctx, faults, 0.55, func() {
		g.servers[1].SetMode(fake.Serving)
		g.servers[2].Crash()
		time.Sleep(300 * time.Millisecond)
		if g.servers[2].Restart() == nil {
			g.list(g.servers[2], "SERVING")
		}
	})
	r.at(ctx, faults, 0.7, func() { // the processor dies with what it has, and starts again at its address
		r.node.Kill()
		again, err := r.again(a.text(r.node.Addr))
		if err != nil {
			r.failf("starting the processor again: %v", err)
			return
		}
		r.node = again
		*kills++
	})
}

// again starts the program once more.
func (r *environment) again(file string) (*testfleet.Process, error) {
	if err := os.WriteFile(r.node.Config, []byte(file), 0o600); err != nil {
		return nil, err
	}
	return testfleet.Start(r.program, r.node.Config)
}
