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

const (
	watchTimeout  = 10 * time.Second // until the program follows a list
	answerGrace   = 2 * time.Second  // for which callers wait after a deadline
	configMode    = 0o600            // permissions of files
	oneCoreHeader = "listen = [\"127.0.0.1:0\"]\nlimits = { cores = 1 }\n"
)

// environment is the program of one drill among the fakes, with what the drill has found so far. Its methods are called from the drill's
// goroutine, unless they say otherwise.
type environment struct {
	options
	rng      *rand.Rand
	recorder *fake.Recorder
	keyStore *fake.KeyStore
	dir      string // temporary
	stderr   io.Writer
	node     *testfleet.Process // nil: there are several processes, in fleet
	fleet    *testfleet.Fleet   // nil: there is one process, node
	groups   []*serverGroup
	relay    *fake.Relay // between callers and the program; nil: none
	callers  *fake.Callers
	port     *fake.ReservedPort // that the program listens on, so that it can be started there again; nil: a free one
	proxies  []*proxy.Proxy     // that ask the program

	newClientGateway func(node string) (*fake.Gateway, error) // starts the gateway that callers go through; nil: none
	gateways         []*fake.Gateway

	operations operationsLog

	schedule string // of faults, in JSON; "": none

	measuresOnly bool // the drill's traffic is not recorded, so there is nothing to judge
	figures      []figure
	tables       []string
	failures     []string
}

func newEnvironment(o options, stderr io.Writer) (*environment, error) {
	env := &environment{
		options: o, rng: rand.New(rand.NewPCG(o.seed, 0xd811)), stderr: stderr, keyStore: fake.NewKeyStore(),
		recorder: fake.NewRecorder(testfleet.Classes...),
	}
	dir, err := os.MkdirTemp("", "drill")
	if err != nil {
		return nil, err
	}
	env.dir = dir
	if env.program == "" {
		if env.program, err = testfleet.Build(dir); err != nil {
			env.close()
			return nil, err
		}
	}
	return env, nil
}

// close ends everything that the drill started and removes its directory. The program is killed: what it does in a drain is judged by the
// drills that end it by SIGTERM themselves.
func (env *environment) close() {
	if env.callers != nil {
		env.callers.Close()
	}
	if env.fleet != nil {
		env.fleet.Close()
	}
	for _, p := range env.proxies {
		p.Close()
	}
	if env.node != nil {
		env.node.Kill()
	}
	if env.port != nil {
		env.port.Close()
	}
	for _, g := range env.gateways {
		g.Close()
	}
	if env.relay != nil {
		env.relay.Close()
	}
	for _, g := range env.groups {
		g.close()
	}
	_ = os.RemoveAll(env.dir) // temporary
}

// startProgram starts the program with an operator's file, and the callers.
func (env *environment) startProgram(config string) error {
	path := filepath.Join(env.dir, "node.toml")
	if err := os.WriteFile(path, []byte(config), configMode); err != nil {
		return err
	}
	var err error
	if env.node, err = testfleet.Start(env.program, path); err != nil {
		return err
	}
	addr := env.node.Addr
	if env.newClientGateway != nil {
		gateway, err := env.newClientGateway(addr)
		if err != nil {
			return err
		}
		env.gateways = append(env.gateways, gateway)
		addr = gateway.Addr()
	}
	if env.violation == violationLost { // otherwise nothing stands between callers and the program
		if env.relay, err = fake.NewRelay(addr); err != nil {
			return err
		}
		addr = env.relay.Addr()
	}
	env.callers = fake.NewCallers(env.recorder, addr, env.seed, answerGrace+env.slack)
	return nil
}

// rewriteConfig gives the program another file and has it reload that.
func (env *environment) rewriteConfig(config string) error {
	if err := os.WriteFile(env.node.Config, []byte(config), configMode); err != nil {
		return err
	}
	return env.node.Cmd.Process.Signal(syscall.SIGHUP)
}

// awaitWatches waits until the program follows the lists of these groups, so that traffic does not begin before it knows any server.
func (env *environment) awaitWatches(groups ...*serverGroup) error {
	for _, g := range groups {
		if !testfleet.Await(watchTimeout, func() bool { return g.registry.Watchers() > 0 }) {
			return fmt.Errorf("the program does not follow the list of %s", g.name)
		}
	}
	return nil
}

// share is a share of the drill's length.
func (env *environment) share(x float64) time.Duration { return time.Duration(x * float64(env.length)) }

// atShare runs f, on a goroutine that running counts, once a share of the drill's length has passed, unless ctx ends before.
func (env *environment) atShare(ctx context.Context, running *sync.WaitGroup, share float64, f func()) {
	running.Go(func() {
		select {
		case <-time.After(env.share(share)):
			f()
		case <-ctx.Done():
		}
	})
}

// runTraffic sends the requests of the streams for the drill's length, commits the violation that was asked for, and waits until all of
// that and the faults have ended. Where the violation takes longer, the streams are sent again, because it needs traffic.
func (env *environment) runTraffic(ctx context.Context, faults *sync.WaitGroup, streams ...fake.Stream) error {
	return env.runTrafficBy(ctx, faults, env.callers.Run, streams)
}

// runProxyTraffic is runTraffic by proxies that ask the program.
func (env *environment) runProxyTraffic(ctx context.Context, faults *sync.WaitGroup, proxies []*proxy.Proxy, streams ...fake.Stream) error {
	send := func(ctx context.Context, streams ...fake.Stream) { proxy.Run(ctx, proxies, env.seed, streams...) }
	return env.runTrafficBy(ctx, faults, send, streams)
}

// runTrafficBy is runTraffic by whoever sends the streams.
func (env *environment) runTrafficBy(
	ctx context.Context, faults *sync.WaitGroup, send func(context.Context, ...fake.Stream), streams []fake.Stream,
) error {
	for i := range streams {
		if streams[i].Duration == 0 {
			streams[i].Duration = env.length
		}
	}
	var violationErr error
	committed := make(chan struct{})
	if env.violation == "" {
		close(committed)
	} else {
		faults.Go(func() {
			defer close(committed)
			violationErr = violations[env.violation](ctx, env)
		})
	}
	for sending := true; sending; {
		send(ctx, streams...)
		select {
		case <-committed:
			sending = false
		default:
			sending = ctx.Err() == nil
		}
	}
	faults.Wait()
	if violationErr != nil {
		return fmt.Errorf("committing the violation %s: %w", env.violation, violationErr)
	}
	return ctx.Err()
}

// stay keeps everything running until ctx ends.
func (env *environment) stay(ctx context.Context, w io.Writer) {
	if ctx.Err() != nil {
		return
	}
	fmt.Fprintf(w, "\nstill up; Ctrl-C ends it. The program (pid %d) listens on %s, its file is %s.\n",
		env.node.Cmd.Process.Pid, env.node.Addr, env.node.Config)
	for _, g := range env.groups {
		for _, s := range g.servers {
			fmt.Fprintf(w, "  server %s on %s\n", s.ID(), s.Addr())
		}
	}
	fmt.Fprintf(w, "try: curl -i -H 'Host: %s' -H 'X-Correlation-Id: me-1' -H 'X-Time-Left: 1000m' http://%s/read/1\n",
		env.groups[0].host, env.node.Addr)
	<-ctx.Done()
}

// pause waits for a duration, or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
