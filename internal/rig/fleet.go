package rig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"cranegrade/internal/admin"
	"cranegrade/internal/fleet"
	"cranegrade/internal/standin"
)

// FleetConfig says what a fleet of real processes is.
type FleetConfig struct {
	Program string // its path; "": it is built
	Members int
	Room    int // members that may be added later
	Nodes   int // as their files tell; 0: Members
	Servers int
	Seed    uint64
	Lease   time.Duration // 0: 1.2 s, so that short drills see the ends of leases
	Slack   time.Duration // see audit.Options
	Key     string        // of the gossip, in base64; "": none
	Alone   bool          // no [fleet]: count and place stand in the files, as they did
	Top     string        // more for the top of each file; {state} is the member's directory
	Pool    string        // more for the pool
}

// Fleet is real processes of the program, each with a state directory of its own, among servers, a registry and callers.
type Fleet struct {
	FleetConfig
	Dir      string
	Fabric   *Fabric
	Rec      *standin.Records
	Registry *standin.Registry
	Servers  []*standin.Server
	Members  []*Member

	began  time.Time
	mu     sync.Mutex // guards what follows, and the members' processes
	faults []Fault    // that were played, by the time since Began
}

// Member is one of the processes.
type Member struct {
	I       int
	Name    string
	P       *Process // nil: it was never started
	Callers *standin.Callers

	Program  string            // another than the fleet's; "": that
	Registry *standin.Registry // another than the fleet's; nil: that

	fleet  *Fleet
	addr   string // where callers come, the same after a restart
	admin  string
	paused bool
}

// Host is whose requests the fleet serves.
const Host = "app.example.org"

// NewFleet starts servers, registry and fabric; no member is started yet.
func NewFleet(c FleetConfig) (_ *Fleet, err error) {
	if c.Nodes == 0 {
		c.Nodes = c.Members
	}
	if c.Lease == 0 {
		c.Lease = 1200 * time.Millisecond
	}
	f := &Fleet{FleetConfig: c, Rec: standin.NewRecords(Classes...), began: time.Now()}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	if f.Dir, err = os.MkdirTemp("", "fleet"); err != nil {
		return nil, err
	}
	if f.Program == "" {
		if f.Program, err = Build(f.Dir); err != nil {
			return nil, err
		}
	}
	if f.Fabric, err = NewFabric(c.Members+c.Room, c.Seed); err != nil {
		return nil, err
	}
	if f.Registry, err = standin.NewRegistry(Host, f.Rec); err != nil {
		return nil, err
	}
	keys := standin.NewKeys()
	for i := range c.Servers {
		s := InCell(Usual, i%2)
		s.ID = fmt.Sprintf("s-%02d", i)
		server, err := standin.NewServer(s, f.Rec, keys)
		if err != nil {
			return nil, err
		}
		f.Servers = append(f.Servers, server)
		f.Registry.Set(server, "SERVING")
	}
	for i := range c.Members + c.Room {
		m := &Member{I: i, Name: fmt.Sprintf("n%d", i), fleet: f, addr: "127.0.0.1:0"}
		if err := os.MkdirAll(m.State(), 0o700); err != nil {
			return nil, err
		}
		f.Members = append(f.Members, m)
	}
	return f, nil
}

// Close ends all of it.
func (f *Fleet) Close() {
	var all sync.WaitGroup
	for _, m := range f.Members {
		all.Go(func() {
			if m.P != nil && m.Lives() {
				m.P.Kill()
			}
			if m.Callers != nil {
				m.Callers.Close()
			}
		})
	}
	all.Wait()
	if f.Fabric != nil {
		f.Fabric.Close()
	}
	if f.Registry != nil {
		f.Registry.Close()
	}
	for _, s := range f.Servers {
		s.Close()
	}
	os.RemoveAll(f.Dir)
}

// State is a member's own directory.
func (m *Member) State() string { return filepath.Join(m.fleet.Dir, m.Name) }

// file is the member's.
func (m *Member) file() string {
	f := m.fleet
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nlisten = [%q]\nadmin = \"127.0.0.1:0\"\ndefault = \"app\"\nlimits = { cores = 1 }\nnodes = %d\n%s\n", m.Name, m.addr, f.Nodes, strings.ReplaceAll(f.Top, "{state}", m.State()))
	if f.Alone {
		fmt.Fprintf(&b, "index = %d\n", m.I%f.Nodes)
	} else {
		var join []string
		for i := range min(3, f.FleetConfig.Members) {
			join = append(join, fmt.Sprintf("%q", f.Fabric.Seen(i)))
		}
		fmt.Fprintf(&b, "[fleet]\n")
		if f.Key != "" {
			fmt.Fprintf(&b, "key = %q\n", f.Key)
		}
		fmt.Fprintf(&b, "listen = %q\nadvertise = %q\njoin = [%s]\nlease = %q\nsettle = \"500ms\"\nprobe = \"200ms\"\n",
			f.Fabric.Own(m.I), f.Fabric.Seen(m.I), strings.Join(join, ", "), f.Lease)
	}
	registry := f.Registry
	if m.Registry != nil {
		registry = m.Registry
	}
	b.WriteString(PoolText("app", fmt.Sprintf("registry = %q", registry.Addr()), f.Pool))
	return b.String()
}

// Start starts a member, or starts it again, and returns once it listens.
func (m *Member) Start() error {
	f := m.fleet
	config := filepath.Join(m.State(), "node.toml")
	if err := os.WriteFile(config, []byte(m.file()), 0o600); err != nil {
		return err
	}
	program := f.Program
	if m.Program != "" {
		program = m.Program
	}
	p, err := Start(program, config)
	if err != nil {
		return fmt.Errorf("%s: %w", m.Name, err)
	}
	admin, err := p.Said("telling what it holds on ")
	if err != nil {
		p.Kill()
		return err
	}
	f.mu.Lock()
	m.P, m.addr, m.admin, m.paused = p, p.Addr, admin, false
	if m.Callers == nil {
		m.Callers = standin.NewCallers(f.Rec, p.Addr, f.Seed<<8|uint64(m.I+1), 2*time.Second+f.Slack)
		m.Callers.Through(m.Name)
	}
	f.mu.Unlock()
	f.Rec.Back(m.Name)
	return nil
}

// Upgrade starts a successor beside the running process, and ends that once the new one has taken over.
func (m *Member) Upgrade() error {
	old := m.P
	if err := m.Start(); err != nil {
		return err
	}
	addr, err := m.P.Said("operators call on ")
	if err != nil {
		return err
	}
	if !Await(10*time.Second, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		yes, _, err := admin.Send(ctx, addr, admin.Command{Verb: admin.Check})
		return yes && err == nil
	}) {
		return errors.New("the successor does not say yes")
	}
	old.Stop()
	return nil
}

// Ask runs a command of the program about this member, with a file that names where it can be asked.
func (m *Member) Ask(args ...string) (string, error) {
	path := filepath.Join(m.State(), "ask.toml")
	text := strings.Replace(m.file(), `admin = "127.0.0.1:0"`, fmt.Sprintf("admin = %q", m.admin), 1)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return "", err
	}
	out, err := exec.Command(m.fleet.Program, append(args, "-config", path)...).CombinedOutput()
	return string(out), err
}

// Lives says that its process runs or is stopped.
func (m *Member) Lives() bool {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if m.P == nil {
		return false
	}
	select {
	case <-m.P.Ended:
		return false
	default:
		return true
	}
}

// Kill ends it by SIGKILL.
func (m *Member) Kill() {
	m.fleet.Rec.Out(m.Name, true)
	m.P.Kill()
}

// Leave ends it by SIGTERM.
func (m *Member) Leave() {
	m.P.Stop()
	m.fleet.Rec.Out(m.Name, true) // what comes to it from now on finds nobody
}

// Pause stops it by SIGSTOP, and Resume has it go on.
func (m *Member) Pause() {
	m.fleet.Rec.Out(m.Name, false)
	m.P.Pause()
}

// Resume has it go on.
func (m *Member) Resume() {
	m.P.Resume()
	m.fleet.Rec.Back(m.Name)
}

// StartAll starts the first n members at once.
func (f *Fleet) StartAll(n int) error {
	errs := make([]error, n)
	var all sync.WaitGroup
	for i, m := range f.Members[:n] {
		all.Go(func() { errs[i] = m.Start() })
	}
	all.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	if !Await(10*time.Second, func() bool { return f.Registry.Watchers() >= n }) {
		return errors.New("the list is not followed by all")
	}
	return nil
}

// Status is what a member holds of the fleet.
func (m *Member) Status() (s fleet.Status, err error) {
	m.fleet.mu.Lock()
	admin := m.admin
	m.fleet.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/fleet", nil)
	if err != nil {
		return s, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", resp.Status, text)
	}
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(text, &s)
}

// Role is what a member holds its role in the pool to be.
func (m *Member) Role() (fleet.PoolStatus, error) {
	s, err := m.Status()
	if err == nil && len(s.Pools) != 1 {
		err = fmt.Errorf("%s has %d pools", m.Name, len(s.Pools))
	}
	if err != nil {
		return fleet.PoolStatus{}, err
	}
	return s.Pools[0], nil
}

// Agree waits until the members of these numbers count exactly each other, each with a part of its own, and says how
// long that took; parts false: whether they have parts is left open.
func (f *Fleet) Agree(limit time.Duration, parts bool, members ...int) (took time.Duration, err error) {
	want := f.names(members)
	began := time.Now()
	last := ""
	if Await(limit, func() bool {
		for _, i := range members {
			r, err := f.Members[i].Role()
			if err != nil {
				last = fmt.Sprintf("%s: %v", f.Members[i].Name, err)
				return false
			}
			if !slices.Equal(r.Order, want) || parts && (!r.Standing || r.Divisor != len(want)) {
				last = fmt.Sprintf("%s holds %+v", f.Members[i].Name, r)
				return false
			}
		}
		return true
	}) {
		return time.Since(began), nil
	}
	return 0, fmt.Errorf("%v do not agree within %v: %s", want, limit, last)
}

func (f *Fleet) names(members []int) (l []string) {
	for _, i := range members {
		l = append(l, f.Members[i].Name)
	}
	slices.Sort(l)
	return l
}

// Parts is the sum of the parts that these members hold to be theirs, and how many have one. Each is asked after the
// other, so a sum over 1 may be one that never was at one moment, but not where nothing changes.
func (f *Fleet) Parts(members ...int) (sum float64, n int) {
	for _, i := range members {
		if r, err := f.Members[i].Role(); err == nil && r.Standing {
			sum += 1 / float64(r.Divisor)
			n++
		}
	}
	return sum, n
}

// Load is how the requests that reached servers from one time of the records to another lie over them: the least and
// the most of the mean.
func (f *Fleet) Load(from, to time.Duration) (least, most float64) {
	count := map[string]int{}
	total := 0
	for _, a := range f.Rec.View().Arrivals {
		if a.First >= from && a.First < to {
			count[a.Server]++
			total++
		}
	}
	least = 1e9
	for _, s := range f.Servers {
		x := float64(count[s.ID()]) / (float64(total) / float64(len(f.Servers)))
		least, most = min(least, x), max(most, x)
	}
	return least, most
}

// Stream is a stream of requests that come to one member.
func (m *Member) Stream(ctx context.Context, all *sync.WaitGroup, streams ...standin.Stream) {
	for i := range streams {
		streams[i].Host = Host
		if streams[i].Name == "" {
			streams[i].Name = m.Name
		}
	}
	all.Go(func() { m.Callers.Run(ctx, streams...) })
}

// Traffic is requests of all classes at a rate together, for so long.
func Traffic(rate float64, long time.Duration) []standin.Stream {
	return []standin.Stream{{Class: Read, Rate: rate * 0.5, For: long}, {Class: Send, Rate: rate * 0.25, For: long, Body: 200},
		{Class: Cell, Rate: rate * 0.125, For: long, Body: 500}, {Class: Order, Rate: rate * 0.125, For: long, Body: 200}}
}

// Watch is what members were found to hold.
type Watch struct {
	Samples int
	Most    float64 // of the whole that all together held at a time
	Over    int     // times that it was more than the whole
	Detail  string  // of the first
}

// Watch watches until ctx ends. What two members hold counts together only if each held it from before the other was asked
// until after: a sum that never was at one moment is no breach.
func (f *Fleet) Watch(ctx context.Context, every time.Duration) *Watch {
	w := &Watch{}
	type answer struct {
		name        string
		asked, came time.Time
		part        float64
		ok          bool
	}
	before := make([]answer, len(f.Members))
	for ctx.Err() == nil {
		answers := make([]answer, len(f.Members))
		var all sync.WaitGroup
		for i, m := range f.Members {
			all.Go(func() {
				if !m.Lives() {
					return
				}
				a := answer{name: m.Name, asked: time.Now()}
				r, err := m.Role()
				a.came, a.ok = time.Now(), err == nil
				a.part = r.Of100 / 100
				answers[i] = a
			})
		}
		all.Wait() // for a second at the most, where one is stopped
		// Held from the answer before to the question now: it is the same in both.
		sum, n, text := 0.0, 0, ""
		var from, to time.Time
		for i, a := range answers {
			b := before[i]
			if !a.ok || !b.ok || a.name != b.name {
				continue
			}
			from, to = later(from, b.came), earlier(to, a.asked)
			sum += min(a.part, b.part)
			n++
			text += fmt.Sprintf(" %s %.3f", a.name, min(a.part, b.part))
		}
		before = answers
		w.Samples++
		if n > 0 && from.Before(to) {
			if w.Most = max(w.Most, sum); sum > 1+1e-6 {
				if w.Over++; w.Over == 1 {
					w.Detail = fmt.Sprintf("together%s at %v", text, time.Since(f.began).Round(time.Millisecond))
				}
			}
		}
		select {
		case <-time.After(every):
		case <-ctx.Done():
		}
	}
	return w
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// Keep copies a member's state directory as it is, under a name; Restore puts that copy back, of another member's too,
// copyFiles copies the regular files of a directory; sockets are the process's that made them.
func copyFiles(to, from string) error {
	files, err := os.ReadDir(from)
	if err == nil {
		err = os.MkdirAll(to, 0o700)
	}
	for _, x := range files {
		if err != nil || !x.Type().IsRegular() {
			continue
		}
		var text []byte
		if text, err = os.ReadFile(filepath.Join(from, x.Name())); err == nil {
			err = os.WriteFile(filepath.Join(to, x.Name()), text, 0o600)
		}
	}
	return err
}

// Empty leaves nothing, and Tear cuts every file in it short. None is done while its process lives.
func (m *Member) Keep(name string) error {
	to := filepath.Join(m.fleet.Dir, "kept-"+name)
	if err := os.RemoveAll(to); err != nil {
		return err
	}
	return copyFiles(to, m.State())
}

// Restore puts a copy back that Keep made.
func (m *Member) Restore(name string) error {
	if err := m.Empty(); err != nil {
		return err
	}
	return copyFiles(m.State(), filepath.Join(m.fleet.Dir, "kept-"+name))
}

// Empty leaves nothing of its state.
func (m *Member) Empty() error {
	if err := os.RemoveAll(m.State()); err != nil {
		return err
	}
	return os.MkdirAll(m.State(), 0o700)
}

// Tear cuts every file of its state short by a half.
func (m *Member) Tear() error {
	files, err := os.ReadDir(m.State())
	if err != nil {
		return err
	}
	for _, x := range files {
		path := filepath.Join(m.State(), x.Name())
		info, err := x.Info()
		if err != nil || !info.Mode().IsRegular() {
			continue
		}
		if err := os.Truncate(path, info.Size()/2); err != nil {
			return err
		}
	}
	return nil
}
