package scale

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/mesh/testcluster"
	"cranegrade/internal/mesh/transport"
)

// Times of a fleet.
const (
	startTimeout  = 60 * time.Second // for all sidecars to know each other
	callTimeout   = 2 * time.Second
	changeTimeout = 5 * time.Second
	retryAfter    = 50 * time.Millisecond
	zones         = 3
)

// plan is what a fleet consists of.
type plan struct {
	size, full, services, routes int
	seed                         uint64
	phases                       []string
	real                         bool // the full sidecars are real ones, each in a process of its own
	alone                        bool // the full sidecars are hollow ones, each in a process of its own
	// brief: only phases and memory are measured, and nobody looks again and again whether changes are in force, which would
	// cost each worker some
	brief bool
}

// fleet is a mesh under measurement: control-plane processes, workers and servers. Its methods are called by one goroutine.
type fleet struct {
	x        Experiment
	plan     plan
	dir      string
	program  string // this one, for workers
	mesh     *testcluster.Cluster
	callers  []*transport.Client // to the control plane's members, in order
	full     []*workerProcess    // none: the full sidecars are real
	announce *workerProcess      // nil: there are no announcers
	servers  []*server
	client   *http.Client
	beats    atomic.Int64
	base     settings.Settings
	version  int
	random   *rand.Rand
	started  int // sidecars
	startS   float64
}

// newFleet starts a fleet. programs holds those that mesh.Build makes. What has been started is in the fleet also with an
// error, for close to end.
func newFleet(x Experiment, p plan, programs, program string) (*fleet, error) {
	if p.full == 0 || p.full > p.size {
		p.full = p.size
	}
	f := &fleet{x: x, plan: p, program: program, random: rand.New(rand.NewPCG(p.seed, 0)), client: &http.Client{Timeout: serverTimeout}}
	var err error
	if f.dir, err = os.MkdirTemp(programs, "fleet"); err != nil {
		return f, err
	}
	for _, name := range []string{"sidecar", "controlplane"} {
		if err := os.Link(filepath.Join(programs, name), filepath.Join(f.dir, name)); err != nil {
			return f, err
		}
	}
	if f.mesh, err = testcluster.New(f.dir, x.Registers); err != nil {
		return f, err
	}
	if f.base, err = settings.Load(filepath.Join(f.dir, f.mesh.Members[0].Name+".yaml")); err != nil {
		return f, err
	}
	if err := f.configure(); err != nil {
		return f, err
	}
	f.callers = make([]*transport.Client, len(f.mesh.Members))
	for i := range f.callers {
		if err := f.dial(i); err != nil {
			return f, err
		}
	}
	return f, f.startSidecars()
}

// dial connects with a member of the control plane anew, to ask how it is.
func (f *fleet) dial(i int) error {
	set, err := settings.Load(filepath.Join(f.dir, f.mesh.Members[i].Name+".yaml"))
	if err != nil {
		return err
	}
	if c := f.callers[i]; c != nil {
		c.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	f.callers[i], err = transport.DialClient(ctx, set.MemberAddress(""), "meshscale", nil)
	return err
}

// configure has the whole configuration acknowledged.
func (f *fleet) configure() error {
	f.version = 1
	var names []string
	for i := range f.plan.services {
		names = append(names, serviceName(i))
	}
	var routes []map[string]any
	for i := range f.plan.routes {
		routes = append(routes, testcluster.RouteItem(routeName(i), "keyed", fmt.Sprintf("/r%d/", i), serviceName(i%f.plan.services), f.version))
	}
	body := testcluster.ModifyCall(f.version, names, routes...)
	for end := time.Now().Add(startTimeout); ; time.Sleep(retryAfter) {
		status, text := f.mesh.Members[0].Modify(body)
		if status == http.StatusOK {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("the configuration is not acknowledged: %d %s", status, text)
		}
	}
}

func serviceName(i int) string { return fmt.Sprintf("service-%04d", i) }
func routeName(i int) string   { return fmt.Sprintf("route-%05d", i) }

// change changes the first route; the version that it has then. Like operators do, it sends the same again, to any member,
// until that is acknowledged.
func (f *fleet) change() (version int64, err error) {
	f.version++
	body := testcluster.ModifyCall(f.version, nil, testcluster.RouteItem(routeName(0), "keyed", "/r0/", serviceName(0), f.version))
	for end := time.Now().Add(changeTimeout); ; time.Sleep(retryAfter) {
		at := f.mesh.Members[f.random.IntN(len(f.mesh.Members))]
		status, text := at.Modify(body)
		if status == http.StatusOK {
			return int64(f.version), nil
		}
		if time.Now().After(end) {
			return 0, fmt.Errorf("a change is answered %d %s", status, text)
		}
	}
}

// settingsOf are those of the nth sidecar, on an address of its own.
func (f *fleet) settingsOf(n int) settings.Settings {
	s := f.base
	net1 := strings.Join(strings.Split(f.mesh.Members[0].IP, ".")[:3], ".") // 127.A.B, whose B is moved on
	var a, b int
	fmt.Sscanf(net1, "127.%d.%d", &a, &b)
	ip := fmt.Sprintf("127.%d.%d.%d", a, (b+1+n/addressesPerNet)%256, 1+n%addressesPerNet)
	_, control, _ := net.SplitHostPort(f.mesh.Members[0].Addr("ControlPlane"))
	s.NodeName, s.IPAddress, s.Zone = fmt.Sprintf("side-%d", n+1), ip, fmt.Sprintf("zone-%d", n%zones)
	s.ListenAddrs = settings.ListenAddresses{ControlPlane: net.JoinHostPort(ip, control), Inbound: net.JoinHostPort(ip, "1")}
	s.DataDir, s.FirstStart = "", false
	s.HeartbeatS = settings.Seconds(f.x.HeartbeatS)
	s.Service = serviceName(int((uint64(n) + f.plan.seed) % uint64(f.plan.services)))
	return s
}

// startSidecars starts all, and waits until each knows all others.
func (f *fleet) startSidecars() (err error) {
	began := time.Now()
	if f.plan.real {
		err = f.startReal()
	} else {
		err = f.startHollow()
	}
	f.startS = time.Since(began).Seconds()
	return err
}

func (f *fleet) startReal() error {
	for range f.plan.size {
		if _, err := f.mesh.AddSidecar(serviceName(f.random.IntN(f.plan.services))); err != nil {
			return err
		}
	}
	f.started = f.plan.size
	if !f.mesh.AwaitReady(startTimeout) {
		return errors.New("the real sidecars are not ready")
	}
	return nil
}

func (f *fleet) startHollow() (err error) {
	var full, announce []settings.Settings
	for n := range f.plan.size {
		if n < f.plan.full {
			full = append(full, f.settingsOf(n))
		} else {
			announce = append(announce, f.settingsOf(n))
		}
	}
	f.started = f.plan.size
	if len(announce) > 0 {
		if f.announce, err = startWorker(f.program, workerAnnounce); err != nil {
			return err
		}
		if _, err := f.announce.call(request{Start: &startRequest{Sidecars: announce}}); err != nil {
			return err
		}
	}
	each := len(full)
	if f.plan.alone {
		each = 1
	}
	for part := range slices.Chunk(full, each) {
		w, err := startWorker(f.program, workerFull)
		if err != nil {
			return err
		}
		f.full = append(f.full, w)
		if _, err := w.call(request{Start: &startRequest{Sidecars: part}}); err != nil {
			return err
		}
	}
	for _, s := range full {
		f.startServer(s)
	}
	return f.await()
}

func (f *fleet) startServer(s settings.Settings) {
	host, _, _ := net.SplitHostPort(s.ListenAddrs.ControlPlane)
	v := &server{
		sidecar: s.ListenAddrs.Inbound, control: s.ListenAddrs.ControlPlane, address: net.JoinHostPort(host, "2"), service: s.Service, zone: s.Zone, client: f.client,
		beats: &f.beats, node: s.NodeName,
	}
	v.period.Store(int64(seconds(f.x.HeartbeatS)))
	v.start()
	f.servers = append(f.servers, v)
}

// await waits until all sidecars have their configuration, and the full ones know all that were started.
func (f *fleet) await() error {
	q := request{Await: &awaitRequest{Known: f.started, Items: f.plan.routes + f.plan.services, TimeoutS: startTimeout.Seconds()}}
	for _, w := range f.workers() {
		r, err := w.call(q)
		if err != nil {
			return err
		}
		if !r.Await.Reached {
			return fmt.Errorf("of %d sidecars, one knows %d only, and %d of its worker have their configuration", f.started, r.Await.FewestKnown, r.Await.Confirmed)
		}
	}
	return nil
}

// startOne starts one full sidecar more; how long it took until all know it and it knows all.
func (f *fleet) startOne() (seconds float64, err error) {
	began := time.Now()
	s := f.settingsOf(f.started)
	f.started++
	if _, err := f.full[0].call(request{Start: &startRequest{Sidecars: []settings.Settings{s}}}); err != nil {
		return 0, err
	}
	if err := f.await(); err != nil {
		return 0, err
	}
	return time.Since(began).Seconds(), nil
}

func (f *fleet) workers() []*workerProcess {
	l := slices.Clone(f.full)
	if f.announce != nil {
		l = append(l, f.announce)
	}
	return l
}

// callFull asks the workers of full sidecars one after the other, and hands each answer on.
func (f *fleet) callFull(q request, take func(response)) error {
	for _, w := range f.full {
		r, err := w.call(q)
		if err != nil {
			return err
		}
		take(r)
	}
	return nil
}

// close ends all processes and removes what they had on disk.
func (f *fleet) close() {
	for _, s := range f.servers {
		s.close()
	}
	for _, c := range f.callers {
		if c != nil {
			c.Close()
		}
	}
	for _, w := range f.workers() {
		w.close()
	}
	if f.mesh != nil {
		f.mesh.Close()
	}
	f.client.CloseIdleConnections()
	if f.dir != "" {
		os.RemoveAll(f.dir)
	}
}
