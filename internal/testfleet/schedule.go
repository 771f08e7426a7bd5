package testfleet

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"
)

// Fault is one thing that is done to a fleet.
type Fault struct {
	At         time.Duration `json:"at"` // since the beginning of the schedule
	Kind       string        `json:"what"`
	Members    []int         `json:"members,omitempty"` // whom it is done to
	Server     int           `json:"server,omitempty"`
	Partitions [][]int       `json:"parts,omitempty"`
	Link       *Link         `json:"link,omitempty"`
	Duration   time.Duration `json:"for,omitempty"` // until it is undone
}

// What may be done.
const (
	KillMembers      = "kill"   // SIGKILL, and a start again after For
	PauseMembers     = "stop"   // SIGSTOP, and SIGCONT after For
	TerminateMembers = "leave"  // SIGTERM, and a start again after For
	PartitionMembers = "part"   // every way between the parts
	CutOneWay        = "oneway" // from Members[0] to all others
	ImpairLinks      = "links"  // Link on every way
	RestartServer    = "roll"   // a server is restarted, cold
)

// Schedule is faults in the order of time.
type Schedule []Fault

// String is the schedule as it can be written down and played again.
func (s Schedule) String() string {
	b, _ := json.Marshal(s)
	return string(b)
}

// Draw draws a schedule for members of a fleet from a seed: faults of all kinds, one after the other or together, the
// last of them undone before the end. At least a majority of the members is let live.
func DrawSchedule(seed uint64, members, servers int, length time.Duration) (s Schedule) {
	rng := rand.New(rand.NewPCG(seed, 0xfa17))
	up := func(to time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(to))) }
	some := func(most int) []int { return rng.Perm(members)[:1+rng.IntN(max(1, most))] }
	minority := (members - 1) / 2
	busy := 0 * time.Second // until when a member is dead, so that no two such faults take the majority
	for at := length / 20; at < length*7/10; at += length/20 + up(length/8) {
		left := length*17/20 - at
		f := Fault{At: at, Duration: min(left, length/20+up(length/4))}
		switch k := rng.IntN(8); {
		case k < 3 && at >= busy && minority > 0:
			f.Kind, f.Members = []string{KillMembers, PauseMembers, TerminateMembers}[k], some(minority)
			busy = at + f.Duration + length/20
		case k == 3:
			cut := 1 + rng.IntN(max(1, members-1))
			p := rng.Perm(members)
			f.Kind, f.Partitions = PartitionMembers, [][]int{p[:cut], p[cut:]}
		case k == 4:
			f.Kind, f.Members = CutOneWay, some(1)
		case k == 5:
			f.Kind, f.Link = ImpairLinks, &Link{Loss: 0.3 * rng.Float64(), Duplicate: 0.2 * rng.Float64(), Delay: up(200 * time.Millisecond), Jitter: 1 + up(200*time.Millisecond)}
		default:
			f.Kind, f.Server, f.Duration = RestartServer, rng.IntN(servers), 300*time.Millisecond
		}
		s = append(s, f)
	}
	return s
}

// Play does what a schedule says and returns once the last fault is undone, or ctx ends. tell hears of each.
func (f *Fleet) PlaySchedule(ctx context.Context, s Schedule, tell func(string)) error {
	type step struct {
		at time.Duration
		do func() error
		as string
	}
	var steps []step
	for _, x := range s {
		do, undo := f.steps(x)
		steps = append(steps, step{x.At, do, x.Kind})
		if undo != nil {
			steps = append(steps, step{x.At + x.Duration, undo, "end of " + x.Kind})
		}
	}
	slices.SortStableFunc(steps, func(a, b step) int { return int(a.at - b.at) })
	began := time.Now()
	for _, x := range steps {
		select {
		case <-time.After(x.at - time.Since(began)):
		case <-ctx.Done():
			return ctx.Err()
		}
		tell(fmt.Sprintf("%6.2fs %s", time.Since(began).Seconds(), x.as))
		if err := x.do(); err != nil {
			return fmt.Errorf("%s: %w", x.as, err)
		}
	}
	return nil
}

// fault is how to do something, and how to undo it.
func (f *Fleet) steps(x Fault) (do, undo func() error) {
	each := func(g func(m *Member) error) func() error {
		return func() error {
			for _, i := range x.Members {
				if err := g(f.Members[i]); err != nil {
					return err
				}
			}
			return nil
		}
	}
	quiet := func(g func(m *Member)) func() error {
		return each(func(m *Member) error { g(m); return nil })
	}
	again := each(func(m *Member) error { return m.Start() })
	heal := func() error { f.Fabric.Heal(); return nil }
	switch x.Kind {
	case KillMembers:
		return quiet((*Member).Kill), again
	case PauseMembers:
		return quiet((*Member).Pause), quiet((*Member).Resume)
	case TerminateMembers:
		return quiet((*Member).Terminate), again
	case PartitionMembers:
		return func() error { f.Fabric.Partition(x.Partitions...); return nil }, heal
	case CutOneWay:
		return func() error {
			for i := range f.Members {
				if i != x.Members[0] {
					f.Fabric.SetLink(x.Members[0], i, Link{Cut: true})
				}
			}
			return nil
		}, heal
	case ImpairLinks:
		return func() error { f.Fabric.SetAllLinks(*x.Link); return nil }, heal
	case RestartServer:
		s := f.Servers[x.Server]
		return func() error { f.Registry.Set(s, "DRAINING"); return nil }, func() error {
			s.Crash()
			if err := s.Restart(); err != nil {
				return err
			}
			f.Registry.Set(s, "SERVING")
			return nil
		}
	}
	return func() error { return fmt.Errorf("no fault %q", x.Kind) }, nil
}

// ReadSchedule reads a schedule from a file, for a fleet of so many members and servers.
func ReadSchedule(path string, members, servers int) (s Schedule, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	for i, x := range s {
		all := x.Members
		for _, p := range x.Partitions {
			all = append(slices.Clone(all), p...)
		}
		if x.Server < 0 || x.Server >= servers || slices.ContainsFunc(all, func(m int) bool { return m < 0 || m >= members }) ||
			x.Kind == ImpairLinks && x.Link == nil || x.Kind == CutOneWay && len(x.Members) == 0 {
			return nil, fmt.Errorf("%s: fault %d is of no member or server that there is", path, i)
		}
	}
	return s, nil
}
