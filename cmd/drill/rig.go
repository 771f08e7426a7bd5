package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"hollyspur/internal/standin"
	"hollyspur/internal/standin/proxy"
)

// rig is a program among stand-ins.
type rig struct {
	options
	rng     *rand.Rand
	rec     *standin.Records
	keys    *standin.Keys
	dir     string
	err     io.Writer
	node    *program
	groups  []*group
	relay   *standin.Relay
	callers *standin.Callers
	asking  []*proxy.Proxy // proxies that ask the program
	classes []standin.Class

	towards  func(node string) (*standin.Sidecar, error) // callers go through such a sidecar; nil: through none
	sidecars []*standin.Sidecar

	bansMu  sync.Mutex      // guards what follows
	bans    []ban           // servers taken out by hand
	calls   int             // operators' calls
	gaveWay []time.Duration // how long a process that was succeeded took to end

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

// group is the servers of a pool and the registry that lists them.
type group struct {
	name     string            // of the pool
	host     string            // whose requests it serves
	registry *standin.Registry // nil if something else tells the list
	servers  []*standin.Server
	list     func(s *standin.Server, state string) // has the list tell a server: SERVING, DRAINING or DELETED
}

// The classes of all drills. Their windows and deadlines are short, so that short drills reach them.
var (
	readClass  = standin.Class{Name: "read", Effect: standin.Safe, Deadline: 2 * time.Second}
	sendClass  = standin.Class{Name: "alert-send", Effect: standin.Keyed, Scope: standin.ScopeAll, Window: 10 * time.Second, Deadline: 3 * time.Second}
	cellClass  = standin.Class{Name: "campaign-send", Effect: standin.Keyed, Scope: standin.ScopeCell, Window: 10 * time.Second, Deadline: 3 * time.Second}
	orderClass = standin.Class{Name: "order", Effect: standin.Unsafe, Deadline: 3 * time.Second}
	allClasses = []standin.Class{readClass, sendClass, cellClass, orderClass}
	cold       = standin.Cold{From: 0.33, Warm: 4 * time.Second, Multiple: 4, For: 1500 * time.Millisecond}
)

func newRig(o options, stderr io.Writer) (*rig, error) {
	r := &rig{options: o, rng: rand.New(rand.NewPCG(o.seed, 0xd811)), err: stderr, keys: standin.NewKeys(),
		rec: standin.NewRecords(allClasses...)}
	dir, err := os.MkdirTemp("", "drill")
	if err != nil {
		return nil, err
	}
	r.dir = dir
	if r.program == "" {
		r.program = filepath.Join(dir, "cranegrade")
		build := exec.Command("go", "build", "-o", r.program, "hollyspur/cmd/cranegrade")
		if out, err := build.CombinedOutput(); err != nil {
			r.close()
			return nil, fmt.Errorf("building the program: %w\n%s", err, out)
		}
	}
	return r, nil
}

func (r *rig) close() {
	if r.callers != nil {
		r.callers.Close()
	}
	for _, p := range r.asking {
		p.Close()
	}
	if r.node != nil {
		r.node.stop()
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

func (r *rig) figure(name string, value any, about string) {
	if d, is := value.(time.Duration); is {
		value = float64(d.Microseconds()) / 1000
	}
	if f, is := value.(float64); is {
		value = float64(int64(f*1000+0.5)) / 1000
	}
	r.figures = append(r.figures, figure{name, value, about})
}

func (r *rig) failf(format string, args ...any) {
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

// group starts servers and a registry that lists them.
func (r *rig) group(name, host string, servers ...standin.ServerConfig) (*group, error) {
	g := &group{name: name, host: host}
	r.groups = append(r.groups, g)
	var err error
	if g.registry, err = standin.NewRegistry(host, r.rec); err != nil {
		return nil, err
	}
	g.list = g.registry.Set
	for i, cfg := range servers {
		cfg.ID = fmt.Sprintf("%s-%d", name, i)
		s, err := standin.NewServer(cfg, r.rec, r.keys)
		if err != nil {
			return nil, err
		}
		g.servers = append(g.servers, s)
		g.registry.Set(s, "SERVING")
	}
	return g, nil
}

// poolText is a pool of the operator's file, but for where its list comes from.
func poolText(name, source string, more ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n[[pools]]\nname = %q\n%s\nattempts = 4\n", name, source)
	for _, m := range more {
		fmt.Fprintln(&b, m)
	}
	fmt.Fprintf(&b, "connections = { idle = \"2s\", connect_within = \"250ms\" }\n")
	fmt.Fprintf(&b, "cold = { from = %v, warm_after = %q, fall_multiple = %v, fall_for = %q }\n", cold.From, cold.Warm, cold.Multiple, cold.For)
	for _, c := range allClasses {
		effect := map[standin.Effect]string{standin.Safe: "safe", standin.Keyed: "keyed", standin.Unsafe: "unsafe"}[c.Effect]
		fmt.Fprintf(&b, "[[pools.classes]]\nname = %q\neffect = %q\naim = \"500ms\"\ndeadline = %q\nlate_share = 0.5\n", c.Name, effect, c.Deadline)
		if c.Effect == standin.Keyed {
			fmt.Fprintf(&b, "scope = %q\nwindow = %q\n", map[standin.Scope]string{standin.ScopeAll: "all", standin.ScopeCell: "cell"}[c.Scope], c.Window)
		}
	}
	return b.String()
}

func (g *group) registryText() string { return fmt.Sprintf("registry = %q", g.registry.Addr()) }

// start starts the program with an operator's file, and the callers.
func (r *rig) start(file string) error {
	path := filepath.Join(r.dir, "node.toml")
	if err := os.WriteFile(path, []byte(file), 0o600); err != nil {
		return err
	}
	var err error
	if r.node, err = startProgram(r.program, path); err != nil {
		return err
	}
	addr := r.node.addr
	if r.towards != nil {
		s, err := r.towards(addr)
		if err != nil {
			return err
		}
		r.sidecars = append(r.sidecars, s)
		addr = s.Addr()
	}
	if r.plant == "lost" { // else nothing of ours stands on the path
		if r.relay, err = standin.NewRelay(addr); err != nil {
			return err
		}
		addr = r.relay.Addr()
	}
	r.callers = standin.NewCallers(r.rec, addr, r.seed, 2*time.Second+r.slack)
	return nil
}

// rewrite gives the program another file and tells it to read that.
func (r *rig) rewrite(file string) error {
	if err := os.WriteFile(r.node.config, []byte(file), 0o600); err != nil {
		return err
	}
	return r.node.cmd.Process.Signal(syscall.SIGHUP)
}

// settle waits until every watch that is wanted is open, so that traffic does not begin before lists
// are told. It gives up, without an error, when that takes too long: a drill may want a dark registry.
func (r *rig) settle(groups ...*group) error {
	for _, g := range groups {
		if !await(10*time.Second, func() bool { return g.registry.Watchers() > 0 }) {
			return fmt.Errorf("the list of %s is not followed", g.name)
		}
	}
	return nil
}

// await looks again and again, for as long as limit.
func await(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// at runs f once a share of the drill's length has passed, unless ctx ends before.
func (r *rig) at(ctx context.Context, all *sync.WaitGroup, share float64, f func()) {
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
func (r *rig) play(ctx context.Context, faults *sync.WaitGroup, streams ...standin.Stream) error {
	return r.drive(ctx, faults, r.callers.Run, streams)
}

// drive is play for whoever sends the streams.
func (r *rig) drive(ctx context.Context, faults *sync.WaitGroup, send func(context.Context, ...standin.Stream),
	streams []standin.Stream) error {
	for i := range streams {
		if streams[i].For == 0 {
			streams[i].For = r.length
		}
	}
	var planted error
	if r.plant != "" {
		faults.Go(func() { planted = plants[r.plant](ctx, r) })
	}
	send(ctx, streams...)
	faults.Wait()
	if planted != nil {
		return fmt.Errorf("planting %s: %w", r.plant, planted)
	}
	return ctx.Err()
}

// stay keeps everything up until ctx ends.
func (r *rig) stay(ctx context.Context, w io.Writer) {
	if ctx.Err() != nil {
		return
	}
	fmt.Fprintf(w, "\nstill up; Ctrl-C ends it. The program (pid %d) listens on %s, its file is %s.\n", r.node.cmd.Process.Pid, r.node.addr, r.node.config)
	for _, g := range r.groups {
		for _, s := range g.servers {
			fmt.Fprintf(w, "  server %s on %s\n", s.ID(), s.Addr())
		}
	}
	fmt.Fprintf(w, "try: curl -i -H 'Host: %s' -H 'X-Correlation-Id: me-1' -H 'X-Time-Left: 1000m' http://%s/read/1\n", r.groups[0].host, r.node.addr)
	<-ctx.Done()
}

// times are the sorted times to the answers of a stream's requests that were sent within a span.
func times(l []standin.Exchange, keep func(standin.Exchange) bool) (t []time.Duration) {
	for _, x := range l {
		if keep(x) && x.Status == 200 {
			t = append(t, x.Answered-x.Sent)
		}
	}
	slices.Sort(t)
	return t
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// streamTable tells what became of each stream.
func streamTable(v standin.View) string {
	type row struct{ n, served, refused, failed int }
	rows := map[string]*row{}
	for _, x := range v.Exchanges {
		w := rows[x.Stream]
		if w == nil {
			w = &row{}
			rows[x.Stream] = w
		}
		w.n++
		switch x.Status {
		case 200:
			w.served++
		case 429, 503:
			w.refused++
		default:
			w.failed++
		}
	}
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "stream\trequests\tserved\trefused\tfailed\tp50 ms\tp99 ms")
	for _, n := range slices.Sorted(maps.Keys(rows)) {
		w := rows[n]
		l := times(v.Exchanges, func(x standin.Exchange) bool { return x.Stream == n })
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\n", n, w.n, w.served, w.refused, w.failed,
			quantile(l, 0.5).Seconds()*1000, quantile(l, 0.99).Seconds()*1000)
	}
	t.Flush()
	return b.String()
}

// serverTable tells what each server got.
func serverTable(v standin.View) string {
	type row struct{ n, ran, repeats, away int }
	rows := map[string]*row{}
	for _, a := range v.Arrivals {
		w := rows[a.Server]
		if w == nil {
			w = &row{}
			rows[a.Server] = w
		}
		w.n++
		if a.Ran {
			w.ran++
		}
		if a.Repeat {
			w.repeats++
		}
		if a.Unprocessed {
			w.away++
		}
	}
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "server\tattempts\tran\trepeats dropped\tturned away")
	for _, n := range slices.Sorted(maps.Keys(rows)) {
		w := rows[n]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\n", n, w.n, w.ran, w.repeats, w.away)
	}
	t.Flush()
	return b.String()
}

// program is the real program, running.
type program struct {
	cmd    *exec.Cmd
	config string
	addr   string
	ended  chan struct{}

	mu    sync.Mutex // guards lines and told
	lines []string
	told  bool // to stop
}

// startProgram starts the program and waits until it listens.
func startProgram(path, config string) (*program, error) {
	return startCommand(exec.Command(path, "-config", config), config)
}

func startCommand(cmd *exec.Cmd, config string) (*program, error) {
	p := &program{cmd: cmd, config: config, ended: make(chan struct{})}
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting the program: %w", err)
	}
	listening := make(chan string, 1)
	go func() {
		lines := bufio.NewScanner(stderr)
		for lines.Scan() {
			p.mu.Lock()
			if p.lines = append(p.lines, lines.Text()); len(p.lines) > 200 {
				p.lines = p.lines[1:]
			}
			p.mu.Unlock()
			if _, addr, is := strings.Cut(lines.Text(), "listening on "); is {
				select {
				case listening <- addr:
				default:
				}
			}
		}
		p.cmd.Wait()
		close(p.ended)
	}()
	select {
	case p.addr = <-listening:
		return p, nil
	case <-p.ended:
		return nil, errors.New("the program ended at once:\n" + p.tail())
	case <-time.After(20 * time.Second):
		p.stop()
		return nil, errors.New("the program does not listen:\n" + p.tail())
	}
}

func (p *program) tail() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines, "\n")
}

// crashed says that the program ended without being told to.
func (p *program) crashed() bool {
	select {
	case <-p.ended:
		p.mu.Lock()
		defer p.mu.Unlock()
		return !p.told
	default:
		return false
	}
}

// stop ends the program, and waits for it.
func (p *program) stop() {
	p.mu.Lock()
	p.told = true
	p.mu.Unlock()
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(10 * time.Second):
		p.cmd.Process.Kill()
		<-p.ended
	}
}

// resources are what the program holds, from /proc; zeros where there is none.
func (p *program) resources() (descriptors int, residentKB int) {
	dir := fmt.Sprintf("/proc/%d", p.cmd.Process.Pid)
	if l, err := os.ReadDir(dir + "/fd"); err == nil {
		descriptors = len(l)
	}
	text, err := os.ReadFile(dir + "/status")
	if err != nil {
		return descriptors, 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		fmt.Sscanf(line, "VmRSS: %d kB", &residentKB)
	}
	return descriptors, residentKB
}
