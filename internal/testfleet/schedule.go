package testfleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"cranegrade/internal/fake"
)

// FaultKind is the kind of a fault, as it is written in schedules.
type FaultKind string

// The kinds of faults.
const (
	KillMembers      FaultKind = "kill"   // SIGKILL, and a restart after Duration
	PauseMembers     FaultKind = "stop"   // SIGSTOP, and SIGCONT after Duration
	TerminateMembers FaultKind = "leave"  // SIGTERM, and a restart after Duration
	PartitionMembers FaultKind = "part"   // cuts all links between Partitions
	CutOneWay        FaultKind = "oneway" // cuts the links from Members[0] to all others
	ImpairLinks      FaultKind = "links"  // sets all links to Link
	RestartServer    FaultKind = "roll"   // drains a server, and restarts it in slow start after Duration
)

// Fault is one fault that is injected into a fleet, and undone after its duration. The JSON form is that of files of schedules; its
// durations are nanoseconds.
type Fault struct {
	At         time.Duration `json:"at"` // since the beginning of the schedule
	Kind       FaultKind     `json:"what"`
	Members    []int         `json:"members,omitempty"` // their numbers
	Server     int           `json:"server,omitempty"`  // its number
	Partitions [][]int       `json:"parts,omitempty"`   // the numbers of each partition's members
	Link       *Link         `json:"link,omitempty"`
	Duration   time.Duration `json:"for,omitempty"`
}

// Schedule is a list of faults in the order of time.
type Schedule []Fault

// String returns the schedule as ReadSchedule reads it.
func (s Schedule) String() string {
	text, err := json.Marshal(s)
	if err != nil {
		return err.Error() // a schedule holds nothing that cannot be marshalled
	}
	return string(text)
}

// DrawSchedule draws a schedule from a seed, for a fleet of a size and a run of a length. It has faults of all kinds, one after the other
// or at once, the last of them undone before the end. A majority of the members is always left running.
func DrawSchedule(seed uint64, members, servers int, length time.Duration) (s Schedule) {
	d := &scheduleDrawer{rng: rand.New(rand.NewPCG(seed, 0xfa17)), members: members, servers: servers, length: length}
	for at := length / 20; at < length*7/10; at += length/20 + d.upTo(length/8) {
		s = append(s, d.drawFault(at))
	}
	return s
}

// scheduleDrawer draws the faults of a schedule. The order of its draws decides what a seed gives.
type scheduleDrawer struct {
	rng              *rand.Rand
	members, servers int
	length           time.Duration
	membersDownUntil time.Duration // so that no two faults take down a majority together
}

// upTo draws a duration below a limit.
func (d *scheduleDrawer) upTo(limit time.Duration) time.Duration {
	return time.Duration(d.rng.Int64N(int64(limit)))
}

// someMembers draws between 1 and limit members.
func (d *scheduleDrawer) someMembers(limit int) []int {
	return d.rng.Perm(d.members)[:1+d.rng.IntN(max(1, limit))]
}

func (d *scheduleDrawer) drawFault(at time.Duration) Fault {
	minority := (d.members - 1) / 2
	timeLeft := d.length*17/20 - at
	f := Fault{At: at, Duration: min(timeLeft, d.length/20+d.upTo(d.length/4))}
	switch draw := d.rng.IntN(8); {
	case draw < 3 && at >= d.membersDownUntil && minority > 0:
		f.Kind = []FaultKind{KillMembers, PauseMembers, TerminateMembers}[draw]
		f.Members = d.someMembers(minority)
		d.membersDownUntil = at + f.Duration + d.length/20
	case draw == 3:
		size := 1 + d.rng.IntN(max(1, d.members-1))
		order := d.rng.Perm(d.members)
		f.Kind, f.Partitions = PartitionMembers, [][]int{order[:size], order[size:]}
	case draw == 4:
		f.Kind, f.Members = CutOneWay, d.someMembers(1)
	case draw == 5:
		f.Kind, f.Link = ImpairLinks, &Link{
			Loss: 0.3 * d.rng.Float64(), Duplicate: 0.2 * d.rng.Float64(),
			Delay: d.upTo(200 * time.Millisecond), Jitter: 1 + d.upTo(200*time.Millisecond),
		}
	default:
		f.Kind, f.Server, f.Duration = RestartServer, d.rng.IntN(d.servers), 300*time.Millisecond
	}
	return f
}

// scheduleStep is the beginning or the end of a fault.
type scheduleStep struct {
	at   time.Duration
	do   func() error
	name string
}

// PlaySchedule injects the faults of a schedule and returns once the last one is undone, an injection fails, or ctx ends. report is called
// with a line for each step.
func (f *Fleet) PlaySchedule(ctx context.Context, s Schedule, report func(string)) error {
	start := time.Now()
	for _, step := range f.steps(s) {
		select {
		case <-time.After(step.at - time.Since(start)):
		case <-ctx.Done():
			return ctx.Err()
		}
		report(fmt.Sprintf("%6.2fs %s", time.Since(start).Seconds(), step.name))
		if err := step.do(); err != nil {
			return fmt.Errorf("injecting the fault %s: %w", step.name, err)
		}
	}
	return nil
}

// steps are the beginnings and ends of a schedule's faults in the order of time.
func (f *Fleet) steps(s Schedule) (steps []scheduleStep) {
	for _, fault := range s {
		inject, undo := f.actions(fault)
		steps = append(steps, scheduleStep{fault.At, inject, string(fault.Kind)})
		if undo != nil {
			steps = append(steps, scheduleStep{fault.At + fault.Duration, undo, "end of " + string(fault.Kind)})
		}
	}
	slices.SortStableFunc(steps, func(a, b scheduleStep) int { return int(a.at - b.at) })
	return steps
}

// actions returns how a fault is injected, and how it is undone; a nil undo means that it cannot be.
func (f *Fleet) actions(fault Fault) (inject, undo func() error) {
	restart := f.forMembers(fault.Members, (*Member).Start)
	heal := func() error {
		f.Fabric.Heal()
		return nil
	}
	switch fault.Kind {
	case KillMembers:
		return f.forMembers(fault.Members, withoutError((*Member).Kill)), restart
	case PauseMembers:
		return f.forMembers(fault.Members, withoutError((*Member).Pause)), f.forMembers(fault.Members, withoutError((*Member).Resume))
	case TerminateMembers:
		return f.forMembers(fault.Members, withoutError((*Member).Terminate)), restart
	case PartitionMembers:
		return func() error {
			f.Fabric.Partition(fault.Partitions...)
			return nil
		}, heal
	case CutOneWay:
		return func() error {
			f.cutOneWay(fault.Members[0])
			return nil
		}, heal
	case ImpairLinks:
		return func() error {
			f.Fabric.SetAllLinks(*fault.Link)
			return nil
		}, heal
	case RestartServer:
		return f.serverRestart(f.Servers[fault.Server])
	}
	return func() error { return fmt.Errorf("there is no fault %q", fault.Kind) }, nil
}

// forMembers returns a function that does something to each of these members, until it fails for one.
func (f *Fleet) forMembers(members []int, do func(*Member) error) func() error {
	return func() error {
		for _, i := range members {
			if err := do(f.Members[i]); err != nil {
				return err
			}
		}
		return nil
	}
}

func withoutError(do func(*Member)) func(*Member) error {
	return func(m *Member) error {
		do(m)
		return nil
	}
}

func (f *Fleet) cutOneWay(from int) {
	for to := range f.Members {
		if to != from {
			f.Fabric.SetLink(from, to, Link{Cut: true})
		}
	}
}

// serverRestart returns how a server is drained, and how it is restarted after that.
func (f *Fleet) serverRestart(s *fake.Server) (drain, restart func() error) {
	drain = func() error {
		f.Registry.Set(s, fake.ListDraining)
		return nil
	}
	restart = func() error {
		s.Crash()
		if err := s.Restart(); err != nil {
			return err
		}
		f.Registry.Set(s, fake.ListServing)
		return nil
	}
	return drain, restart
}

// ReadSchedule reads a schedule from a JSON file, for a fleet of a size.
func ReadSchedule(path string, members, servers int) (s Schedule, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("reading the schedule %s: %w", path, err)
	}
	for i, f := range s {
		if err := f.validate(members, servers); err != nil {
			return nil, fmt.Errorf("%s: fault %d: %w", path, i, err)
		}
	}
	return s, nil
}

// validate reports what of a fault does not fit a fleet of a size.
func (f Fault) validate(members, servers int) error {
	named := slices.Concat(append([][]int{f.Members}, f.Partitions...)...)
	switch {
	case f.Server < 0 || f.Server >= servers:
		return fmt.Errorf("there is no server %d", f.Server)
	case slices.ContainsFunc(named, func(m int) bool { return m < 0 || m >= members }):
		return fmt.Errorf("not all of the members %v exist", named)
	case f.Kind == ImpairLinks && f.Link == nil:
		return errors.New("no link is given")
	case f.Kind == CutOneWay && len(f.Members) == 0:
		return errors.New("no member is given")
	}
	return nil
}
