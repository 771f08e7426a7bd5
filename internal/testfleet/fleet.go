package testfleet

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"cranegrade/internal/fake"
)

// FleetConfig says what a fleet of real processes is.
type FleetConfig struct {
	Program           string // its path; "": it is built
	MemberCount       int
	SpareMembers      int // members that may be added later
	ConfiguredNodes   int // as their files tell; 0: Members
	ServerCount       int
	Seed              uint64
	Lease             time.Duration // 0: 1.2 s, so that short drills see the ends of leases
	Slack             time.Duration // see audit.Options
	GossipKey         string        // of the gossip, in base64; "": none
	Standalone        bool          // no [fleet]: count and place stand in the files, as they did
	ExtraSettings     string        // more for the top of each file; {state} is the member's directory
	ExtraPoolSettings string        // more for the pool
}

// Fleet is real processes of the program, each with a state directory of its own, among servers, a registry and callers.
type Fleet struct {
	FleetConfig
	Dir      string
	Fabric   *Fabric
	Recorder *fake.Recorder
	Registry *fake.Registry
	Servers  []*fake.Server
	Members  []*Member

	startedAt time.Time
	mu        sync.Mutex // guards what follows, and the members' processes
	faults    []Fault    // that were played, by the time since Began
}

// Host is whose requests the fleet serves.
const Host = "app.example.org"

// NewFleet starts servers, registry and fabric; no member is started yet.
func NewFleet(c FleetConfig) (_ *Fleet, err error) {
	if c.ConfiguredNodes == 0 {
		c.ConfiguredNodes = c.MemberCount
	}
	if c.Lease == 0 {
		c.Lease = 1200 * time.Millisecond
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
	keys := fake.NewKeyStore()
	for i := range c.ServerCount {
		s := InCell(DefaultServer, i%2)
		s.ID = fmt.Sprintf("s-%02d", i)
		server, err := fake.NewServer(s, f.Recorder, keys)
		if err != nil {
			return nil, err
		}
		f.Servers = append(f.Servers, server)
		f.Registry.Set(server, "SERVING")
	}
	for i := range c.MemberCount + c.SpareMembers {
		m := &Member{Index: i, Name: fmt.Sprintf("n%d", i), fleet: f, callerAddr: "127.0.0.1:0"}
		if err := os.MkdirAll(m.StateDir(), 0o700); err != nil {
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
			if m.Process != nil && m.IsRunning() {
				m.Process.Kill()
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

// Agree waits until the members of these numbers count exactly each other, each with a part of its own, and says how
// long that took; parts false: whether they have parts is left open.
func (f *Fleet) AwaitAgreement(limit time.Duration, parts bool, members ...int) (took time.Duration, err error) {
	want := f.sortedNames(members)
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

func (f *Fleet) sortedNames(members []int) (l []string) {
	for _, i := range members {
		l = append(l, f.Members[i].Name)
	}
	slices.Sort(l)
	return l
}

// Parts is the sum of the parts that these members hold to be theirs, and how many have one. Each is asked after the
// other, so a sum over 1 may be one that never was at one moment, but not where nothing changes.
func (f *Fleet) SumShares(members ...int) (sum float64, n int) {
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

// Traffic is requests of all classes at a rate together, for so long.
func Traffic(rate float64, long time.Duration) []fake.Stream {
	return []fake.Stream{
		{Class: ReadClass, Rate: rate * 0.5, Duration: long},
		{Class: AlertClass, Rate: rate * 0.25, Duration: long, BodyBytes: 200},
		{Class: CampaignClass, Rate: rate * 0.125, Duration: long, BodyBytes: 500},
		{Class: OrderClass, Rate: rate * 0.125, Duration: long, BodyBytes: 200},
	}
}
