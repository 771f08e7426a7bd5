package drill

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"cranegrade/internal/fake"
	"cranegrade/internal/fake/proxy"
	"cranegrade/internal/testfleet"
)

// environment is a program among stand-ins.
type environment struct {
	options
	rng     *rand.Rand
	records *fake.Recorder
	keys    *fake.KeyStore
	dir     string
	err     io.Writer
	node    *testfleet.Process // nil: there are several, in fleet
	fleet   *testfleet.Fleet   // nil: there is one
	groups  []*serverGroup
	relay   *fake.Relay
	callers *fake.Callers
	proxies []*proxy.Proxy // proxies that ask the program
	classes []fake.Class

	towards  func(node string) (*fake.Gateway, error) // callers go through such a sidecar; nil: through none
	sidecars []*fake.Gateway

	bansMu        sync.Mutex      // guards what follows
	bans          []ban           // servers taken out by hand
	calls         int             // operators' calls
	handoverTimes []time.Duration // how long a process that was succeeded took to end

	schedule string // of faults, which can be played again

	unjudged bool // it measures, and its traffic is not recorded
	figures  []figure
	tables   []string
	failures []string
}

// figure is one of a scenario's own.
type figure struct {
	name  string
	value any
	about string
}

// serverGroup is the servers of a pool and the registry that lists them.
type serverGroup struct {
	name     string         // of the pool
	host     string         // whose requests it serves
	registry *fake.Registry // nil if something else tells the list
	servers  []*fake.Server
	list     func(s *fake.Server, state fake.ListState) // has the list tell a server: SERVING, DRAINING or DELETED
}

// What all drills share with the rig.
var (
	readClass, sendClass, cellClass, orderClass = testfleet.ReadClass, testfleet.AlertClass, testfleet.CampaignClass, testfleet.OrderClass
	allClasses, cold, usual                     = testfleet.Classes, testfleet.SlowStart, testfleet.DefaultServer
	poolText, inCell                            = testfleet.PoolConfig, testfleet.InCell
	times, quantile, streamTable, serverTable   = testfleet.Latencies, testfleet.Quantile, testfleet.StreamTable, testfleet.ServerTable
)

func newEnvironment(o options, stderr io.Writer) (*environment, error) {
	r := &environment{
		options: o, rng: rand.New(rand.NewPCG(o.seed, 0xd811)), err: stderr, keys: fake.NewKeyStore(),
		records: fake.NewRecorder(allClasses...),
	}
	dir, err := os.MkdirTemp("", "drill")
	if err != nil {
		return nil, err
	}
	r.dir = dir
	if r.program == "" {
		if r.program, err = testfleet.Build(dir); err != nil {
			r.close()
			return nil, err
		}
	}
	return r, nil
}

func (r *environment) close() {
	if r.callers != nil {
		r.callers.Close()
	}
	if r.fleet != nil {
		r.fleet.Close()
	}
	for _, p := range r.proxies {
		p.Close()
	}
	if r.node != nil {
		r.node.Stop()
	}
	for _, s := range r.sidecars {
		s.Close()
	}
	if r.relay != nil {
		r.relay.Close()
	}
	for _, g := range r.groups {
		if g.registry != nil {
			g.registry.Close()
		}
		for _, s := range g.servers {
			s.Close()
		}
	}
	os.RemoveAll(r.dir)
}

func (r *environment) addFigure(name string, value any, about string) {
	if d, is := value.(time.Duration); is {
		value = float64(d.Microseconds()) / 1000
	}
	if f, is := value.(float64); is {
		value = float64(int64(f*1000+0.5)) / 1000
	}
	r.figures = append(r.figures, figure{name, value, about})
}

func (r *environment) failf(format string, args ...any) {
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

// group starts servers and a registry that lists them.
func (r *environment) group(name, host string, servers ...fake.ServerConfig) (*serverGroup, error) {
	g := &serverGroup{name: name, host: host}
	r.groups = append(r.groups, g)
	var err error
	if g.registry, err = fake.NewRegistry(host, r.records); err != nil {
		return nil, err
	}
	g.list = g.registry.Set
	for i, cfg := range servers {
		cfg.ID = fmt.Sprintf("%s-%d", name, i)
		s, err := fake.NewServer(cfg, r.records, r.keys)
		if err != nil {
			return nil, err
		}
		g.servers = append(g.servers, s)
		g.registry.Set(s, "SERVING")
	}
	return g, nil
}

func (g *serverGroup) registryText() string { return fmt.Sprintf("registry = %q", g.registry.Addr()) }

// start starts the program with an operator's file, and the callers.
func (r *environment) start(file string) error {
	path := filepath.Join(r.dir, "node.toml")
	if err := os.WriteFile(path, []byte(file), 0o600); err != nil {
		return err
	}
	var err error
	if r.node, err = testfleet.Start(r.program, path); err != nil {
		return err
	}
	addr := r.node.Addr
	if r.towards != nil {
		s, err := r.towards(addr)
		if err != nil {
			return err
		}
		r.sidecars = append(r.sidecars, s)
		addr = s.Addr()
	}
	if r.violation == "lost" { // else nothing of ours stands on the path
		if r.relay, err = fake.NewRelay(addr); err != nil {
			return err
		}
		addr = r.relay.Addr()
	}
	r.callers = fake.NewCallers(r.records, addr, r.seed, 2*time.Second+r.slack)
	return nil
}

// rewrite gives the program another file and tells it to read that.
func (r *environment) rewrite(file string) error {
	if err := os.WriteFile(r.node.Config, []byte(file), 0o600); err != nil {
		return err
	}
	return r.node.Cmd.Process.Signal(syscall.SIGHUP)
}

// settle waits until every watch that is wanted is open, so that traffic does not begin before lists
// are told. It gives up, without an error, when that takes too long: a drill may want a dark registry.
func (r *environment) settle(groups ...*serverGroup) error {
	for _, g := range groups {
		if !testfleet.Await(10*time.Second, func() bool { return g.registry.Watchers() > 0 }) {
			return fmt.Errorf("the list of %s is not followed", g.name)
		}
	}
	return nil
}

// at runs f once a share of the drill's length has passed, unless ctx ends before.
func (r *environment) at(ctx context.Context, all *sync.WaitGroup, share float64, f func()) {
	all.Go(func() {
		select {
		case <-time.After(time.Duration(share * float64(r.length))):
			f()
		case <-ctx.Done():
		}
	})
}

// play runs the streams for the drill's length, with the breach that was asked for, and waits for all
// to end.
func (r *environment) play(ctx context.Context, faults *sync.WaitGroup, streams ...fake.Stream) error {
	return r.drive(ctx, faults, r.callers.Run, streams)
}

// drive is play for whoever sends the streams.
func (r *environment) drive(ctx context.Context, faults *sync.WaitGroup, send func(context.Context, ...fake.Stream),
	streams []fake.Stream,
) error {
	for i := range streams {
		if streams[i].Duration == 0 {
			streams[i].Duration = r.length
		}
	}
	var planted error
	if r.violation != "" {
		faults.Go(func() { planted = violations[r.violation](ctx, r) })
	}
	send(ctx, streams...)
	faults.Wait()
	if planted != nil {
		return fmt.Errorf("planting %s: %w", r.violation, planted)
	}
	return ctx.Err()
}

// stay keeps everything up until ctx ends.
func (r *environment) stay(ctx context.Context, w io.Writer) {
	if ctx.Err() != nil {
		return
	}
	fmt.Fprintf(w, "\nstill up; Ctrl-C ends it. The program (pid %d) listens on %s, its file is %s.\n", r.node.Cmd.Process.Pid, r.node.Addr, r.node.Config)
	for _, g := range r.groups {
		for _, s := range g.servers {
			fmt.Fprintf(w, "  server %s on %s\n", s.ID(), s.Addr())
		}
	}
	fmt.Fprintf(w, "try: curl -i -H 'Host: %s' -H 'X-Correlation-Id: me-1' -H 'X-Time-Left: 1000m' http://%s/read/1\n", r.groups[0].host, r.node.Addr)
	<-ctx.Done()
}
