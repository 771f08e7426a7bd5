package scale

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync/atomic"
	"time"

	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/mesh/testcluster"
	"cranegrade/internal/mesh/transport"
)

// callTimeout bounds a call to a control-plane member or a real sidecar.
const callTimeout = 2 * time.Second

// clientName is what measurements introduce themselves as.
const clientName = "meshscale"

// sidecarKind is how the full sidecars of a fleet are run.
type sidecarKind uint8

const (
	hollowTogether sidecarKind = iota // hollow sidecars, all in one process
	hollowSeparate                    // hollow sidecars, each in a process of its own
	realSidecars                      // real ones, each in a process of its own
)

// String returns what progress messages say of the kind.
func (k sidecarKind) String() string {
	switch k {
	case hollowSeparate:
		return "each in a process of its own"
	case realSidecars:
		return "real"
	default:
		return ""
	}
}

// plan is what a fleet consists of and what is measured of it.
type plan struct {
	size     int // sidecars of all kinds
	full     int // of these, those that are no announcers
	services int
	routes   int
	seed     uint64
	phases   []string // in their order
	kind     sidecarKind
	// brief says that only phases and memory are measured, and that no sidecar is observed for changes to come into force, since the
	// observation costs each worker some processor time.
	brief bool
}

// fleet is a mesh under measurement: control-plane processes, workers and servers. It belongs to one goroutine.
type fleet struct {
	experiment    Experiment
	plan          plan
	dir           string
	program       string // this one, for workers
	cluster       *testcluster.Cluster
	memberClients []*transport.Client // in the order of the control plane's members
	fullWorkers   []*workerProcess    // none if the full sidecars are real
	announcers    *workerProcess      // nil if there are none
	servers       []*fakeServer
	crashed       []*fakeServer
	client        *http.Client // of the servers
	heartbeats    atomic.Int64 // sent by all servers
	base          settings.Settings
	version       int // of the configuration
	random        *rand.Rand
	started       int // sidecars
	startS        float64
}

// newFleet starts a fleet. programs is the folder of the programs that testcluster.BuildPrograms makes. On an error
// the fleet holds what has been started; close ends that, too.
func newFleet(ctx context.Context, x Experiment, p plan, programs, program string) (*fleet, error) {
	if p.full == 0 || p.full > p.size {
		p.full = p.size
	}
	f := &fleet{
		experiment: x,
		plan:       p,
		program:    program,
		random:     rand.New(rand.NewPCG(p.seed, 0)),
		client:     &http.Client{Timeout: serverTimeout},
	}
	if err := f.startControlPlane(programs); err != nil {
		return f, err
	}
	if err := f.configure(); err != nil {
		return f, err
	}
	f.memberClients = make([]*transport.Client, len(f.cluster.Members))
	for i := range f.memberClients {
		if err := f.dialMember(ctx, i); err != nil {
			return f, err
		}
	}
	return f, f.startSidecars()
}

// startControlPlane starts the control plane in a folder of its own.
func (f *fleet) startControlPlane(programs string) (err error) {
	if f.dir, err = os.MkdirTemp(programs, "fleet"); err != nil {
		return err
	}
	for _, name := range []string{"sidecar", "controlplane"} {
		if err := os.Link(filepath.Join(programs, name), filepath.Join(f.dir, name)); err != nil {
			return err
		}
	}
	if f.cluster, err = testcluster.New(f.dir, f.experiment.Members); err != nil {
		return err
	}
	f.base, err = f.memberSettings(0)
	return err
}

// memberSettings returns the settings of a control-plane member.
func (f *fleet) memberSettings(i int) (settings.Settings, error) {
	return settings.Load(filepath.Join(f.dir, f.cluster.Members[i].Name+".yaml"))
}

// dialMember connects to a control-plane member to read its status, in place of the connection that there was.
func (f *fleet) dialMember(ctx context.Context, i int) error {
	set, err := f.memberSettings(i)
	if err != nil {
		return err
	}
	if client := f.memberClients[i]; client != nil {
		client.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	f.memberClients[i], err = transport.DialClient(ctx, set.MemberAddress(""), clientName, nil)
	return err
}

// workers returns all workers.
func (f *fleet) workers() []*workerProcess {
	all := slices.Clone(f.fullWorkers)
	if f.announcers != nil {
		all = append(all, f.announcers)
	}
	return all
}

// callFull calls the workers of full sidecars one after the other, and passes each response to take.
func (f *fleet) callFull(q request, take func(response)) error {
	for _, w := range f.fullWorkers {
		r, err := w.call(q)
		if err != nil {
			return err
		}
		take(r)
	}
	return nil
}

// close ends all processes and servers, and removes what they had on disk.
func (f *fleet) close() {
	for _, s := range f.servers {
		s.close()
	}
	for _, client := range f.memberClients {
		if client != nil {
			client.Close()
		}
	}
	for _, w := range f.workers() {
		w.close()
	}
	if f.cluster != nil {
		f.cluster.Close()
	}
	for _, s := range slices.Concat(f.servers, f.crashed) {
		s.wait()
	}
	f.client.CloseIdleConnections()
	if f.dir != "" {
		_ = os.RemoveAll(f.dir) // within the folder of the run, which is removed at its end
	}
}
