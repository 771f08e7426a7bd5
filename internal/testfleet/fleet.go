package testfleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"cranegrade/internal/fake"
)

// Host is the host whose requests the fleet serves.
const Host = "app.example.org"

const (
	defaultLease     = 1200 * time.Millisecond // short, so that short drills see leases expire
	defaultSettle    = 500 * time.Millisecond
	defaultProbe     = 200 * time.Millisecond
	watchesTimeout   = 40 * time.Second // until all members follow the list
	shareSumRounding = 1e-6             // by which a sum of shares may exceed 1
)

// FleetConfig describes a fleet of real processes.
type FleetConfig struct {
	Program         string // path of the program; "": it is built
	MemberCount     int
	SpareMembers    int // further members, which a test may start later
	ConfiguredNodes int // the number of nodes in the members' files; 0: MemberCount
	ServerCount     int
	Seed            uint64
	Lease           time.Duration // of a member's shares; 0: 1.2 s
	Slowness        int           // factor of the times within which members notice each other's failures; 0: 1
	Slack           time.Duration // see audit.Options
	GossipKey       string        // in base64; "": none
	Standalone      bool          // no [fleet]: the files say how many nodes there are, and which one each is

	ExtraSettings     string // further lines for the top of each file; {state} is the member's directory
	ExtraPoolSettings string // further lines for the pool
}

// Fleet is a set of real processes of the program, each with a state directory of its own, among servers, a registry and callers.
type Fleet struct {
	FleetConfig
	Dir      string
	Fabric   *Fabric
	Recorder *fake.Recorder
	Registry *fake.Registry
	Servers  []*fake.Server
	Members  []*Member

	startedAt time.Time
	mu        sync.Mutex // guards the members' processes and addresses
}

// NewFleet starts servers, registry and fabric, and no member yet.
func NewFleet(c FleetConfig) (_ *Fleet, err error) {
	if c.ConfiguredNodes == 0 {
		c.ConfiguredNodes = c.MemberCount
	}
	c.Slowness = max(1, c.Slowness)
	if c.Lease == 0 {
		c.Lease = defaultLease * time.Duration(c.Slowness)
	}
	f := &Fleet{FleetConfig: c, Recorder: fake.NewRecorder(Classes...), startedAt: time.Now()}
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
	if f.Fabric, err = NewFabric(c.MemberCount+c.SpareMembers, c.Seed); err != nil {
		return nil, err
	}
	if f.Registry, err = fake.NewRegistry(Host, f.Recorder); err != nil {
		return nil, err
	}
	if err := f.startServers(); err != nil {
		return nil, err
	}
	if err := f.addMembers(); err != nil {
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startServers() error {
	keys := fake.NewKeyStore()
	for i := range f.ServerCount {
		config := InCell(DefaultServer, i%2)
		config.ID = fmt.Sprintf("s-%02d", i)
		server, err := fake.NewServer(config, f.Recorder, keys)
		if err != nil {
			return err
		}
		f.Servers = append(f.Servers, server)
		f.Registry.Set(server, fake.ListServing)
	}
	return nil
}

func (f *Fleet) addMembers() error {
	for i := range f.MemberCount + f.SpareMembers {
		port, err := fake.ReservePort()
		if err != nil {
			return err
		}
		m := &Member{Index: i, Name: fmt.Sprintf("n%d", i), fleet: f, callerPort: port}
		if err := os.MkdirAll(m.StateDir(), stateDirMode); err != nil {
			return err
		}
		f.Members = append(f.Members, m)
	}
	return nil
}

// Close kills all processes, closes all fakes and removes the fleet's directory.
func (f *Fleet) Close() {
	var closing sync.WaitGroup
	for _, m := range f.Members {
		closing.Go(func() {
			if m.Process != nil && m.IsRunning() {
				m.Process.Kill()
			}
			if m.Callers != nil {
				m.Callers.Close()
			}
			m.callerPort.Close()
		})
	}
	closing.Wait()
	if f.Fabric != nil {
		f.Fabric.Close()
	}
	if f.Registry != nil {
		f.Registry.Close()
	}
	for _, s := range f.Servers {
		s.Close()
	}
	_ = os.RemoveAll(f.Dir) // a temporary directory
}

// StartAll starts the first n members at once and waits until all of them follow the list.
func (f *Fleet) StartAll(n int) error {
	errs := make([]error, n)
	var starting sync.WaitGroup
	for i, m := range f.Members[:n] {
		starting.Go(func() { errs[i] = m.Start() })
	}
	starting.Wait()
	if err := errors.Join(errs...); err != nil {
		return err
	}
	if !Await(watchesTimeout, func() bool { return f.Registry.Watchers() >= n }) {
		return errors.New("not all members follow the list")
	}
	return nil
}

// AwaitAgreement waits until the members of these numbers count exactly each other, each with a share of its own, and returns how long
// that took. Without withShares it does not matter whether they have shares.
func (f *Fleet) AwaitAgreement(
	ctx context.Context, limit time.Duration, withShares bool, members ...int,
) (took time.Duration, err error) {
	names := f.sortedNames(members)
	start := time.Now()
	lastDisagreement := ""
	if Await(limit, func() bool {
		for _, i := range members {
			role, err := f.Members[i].Role(ctx)
			if err != nil {
				lastDisagreement = fmt.Sprintf("%s: %v", f.Members[i].Name, err)
				return false
			}
			if !slices.Equal(role.Order, names) || withShares && (!role.Standing || role.Divisor != len(names)) {
				lastDisagreement = fmt.Sprintf("%s reports %+v", f.Members[i].Name, role)
				return false
			}
		}
		return true
	}) {
		return time.Since(start), nil
	}
	return 0, fmt.Errorf("%v do not agree within %v: %s", names, limit, lastDisagreement)
}

func (f *Fleet) sortedNames(members []int) (names []string) {
	for _, i := range members {
		names = append(names, f.Members[i].Name)
	}
	slices.Sort(names)
	return names
}

// LoadSpread returns how the requests that arrived between two times of the recorder are spread over the servers: the fewest and the
// most that a server received, as multiples of the mean.
func (f *Fleet) LoadSpread(from, to time.Duration) (least, most float64) {
	count := map[string]int{}
	total := 0
	for _, a := range f.Recorder.History().Arrivals {
		if a.FirstByteAt >= from && a.FirstByteAt < to {
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
