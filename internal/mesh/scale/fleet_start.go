package scale

import (
	"errors"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"cranegrade/internal/mesh/settings"
)

const (
	startTimeout       = 60 * time.Second // for all sidecars to know each other
	zones              = 3                // that the sidecars are in, in turn
	addressesPerSubnet = 250              // sidecars with addresses in one /24 of loopback
	subnets            = 256              // of a /16; their numbers wrap round
)

const (
	// inboundPort is a port of a sidecar that nothing listens at: other sidecars know it by that.
	inboundPort = "1"
	// serverPort is the port at which a sidecar's server answers health checks.
	serverPort = "8002"
)

// startSidecars starts all sidecars, and waits until each knows all others.
func (f *fleet) startSidecars() (err error) {
	began := time.Now()
	if f.plan.kind == realSidecars {
		err = f.startReal()
	} else {
		err = f.startHollow()
	}
	f.startS = time.Since(began).Seconds()
	return err
}

// startReal starts real sidecars with servers, and waits until they are ready.
func (f *fleet) startReal() error {
	for range f.plan.size {
		if _, err := f.cluster.AddSidecar(serviceName(f.random.IntN(f.plan.services))); err != nil {
			return err
		}
	}
	f.started = f.plan.size
	if !f.cluster.AwaitReady(startTimeout) {
		return errors.New("the real sidecars are not ready")
	}
	return nil
}

// startHollow starts the announcers, the full sidecars, and a server beside each of the latter.
func (f *fleet) startHollow() (err error) {
	var all []settings.Settings
	for n := range f.plan.size {
		all = append(all, f.sidecarSettings(n))
	}
	full, announced := all[:f.plan.full], all[f.plan.full:]
	f.started = f.plan.size
	if len(announced) > 0 {
		if f.announcers, err = startWorker(f.program, workerAnnounce); err != nil {
			return err
		}
		if err := f.announcers.start(announced); err != nil {
			return err
		}
	}
	perWorker := len(full)
	if f.plan.kind == hollowSeparate {
		perWorker = 1
	}
	for part := range slices.Chunk(full, perWorker) {
		w, err := startWorker(f.program, workerFull)
		if err != nil {
			return err
		}
		f.fullWorkers = append(f.fullWorkers, w)
		if err := w.start(part); err != nil {
			return err
		}
	}
	for _, set := range full {
		if err := f.startServer(set); err != nil {
			return err
		}
	}
	return f.awaitSidecars()
}

// start has the worker start sidecars.
func (w *workerProcess) start(sidecars []settings.Settings) error {
	_, err := w.call(request{Start: &startRequest{Sidecars: sidecars}})
	return err
}

// sidecarSettings returns the settings of the nth sidecar, on an address of its own.
func (f *fleet) sidecarSettings(n int) settings.Settings {
	set := f.base
	ip := sidecarIP(f.cluster.Members[0].IP, n)
	_, controlPort, _ := net.SplitHostPort(f.cluster.Members[0].Addr("ControlPlane"))
	set.NodeName = fmt.Sprintf("side-%d", n+1)
	set.IPAddress = ip
	set.Zone = fmt.Sprintf("zone-%d", n%zones)
	set.ListenAddrs = settings.ListenAddresses{
		ControlPlane: net.JoinHostPort(ip, controlPort),
		Inbound:      net.JoinHostPort(ip, inboundPort),
	}
	set.DataDir = ""
	set.FirstStart = false
	set.HeartbeatS = settings.Seconds(f.experiment.HeartbeatS)
	set.Service = serviceName(int((uint64(n) + f.plan.seed) % uint64(f.plan.services)))
	return set
}

// sidecarIP returns the address of the nth sidecar of a cluster whose members are in the subnet 127.A.B. Sidecars are in the subnets
// 127.A.B+1 and on.
func sidecarIP(memberIP string, n int) string {
	var a, b int
	if _, err := fmt.Sscanf(strings.Join(strings.Split(memberIP, ".")[:3], "."), "127.%d.%d", &a, &b); err != nil {
		panic("scale: a member of the cluster is not on loopback: " + memberIP)
	}
	return fmt.Sprintf("127.%d.%d.%d", a, (b+1+n/addressesPerSubnet)%subnets, 1+n%addressesPerSubnet)
}

// startServer starts the server beside a sidecar.
func (f *fleet) startServer(set settings.Settings) error {
	host, _, _ := net.SplitHostPort(set.ListenAddrs.ControlPlane)
	s := &fakeServer{
		sidecarAddress: set.ListenAddrs.Inbound,
		controlAddress: set.ListenAddrs.ControlPlane,
		address:        net.JoinHostPort(host, serverPort),
		service:        set.Service,
		zone:           set.Zone,
		client:         f.client,
		heartbeats:     &f.heartbeats,
		node:           set.NodeName,
	}
	s.interval.Store(int64(seconds(f.experiment.HeartbeatS)))
	if err := s.start(); err != nil {
		return err
	}
	f.servers = append(f.servers, s)
	return nil
}

// awaitSidecars waits until all sidecars have their configuration, and the full ones know all that were started.
func (f *fleet) awaitSidecars() error {
	q := request{Await: &awaitRequest{
		Known:    f.started,
		Items:    f.plan.routes + f.plan.services,
		TimeoutS: startTimeout.Seconds(),
	}}
	for _, w := range f.workers() {
		r, err := w.call(q)
		if err != nil {
			return err
		}
		if !r.Await.Reached {
			return fmt.Errorf("of %d sidecars, one knows %d only, and %d of its worker have their configuration",
				f.started, r.Await.FewestKnown, r.Await.Confirmed)
		}
	}
	return nil
}

// startOneMore starts another full sidecar, and returns how long it took until all know it and it knows all.
func (f *fleet) startOneMore() (seconds float64, err error) {
	began := time.Now()
	set := f.sidecarSettings(f.started)
	f.started++
	if err := f.fullWorkers[0].start([]settings.Settings{set}); err != nil {
		return 0, err
	}
	if err := f.awaitSidecars(); err != nil {
		return 0, err
	}
	return time.Since(began).Seconds(), nil
}
