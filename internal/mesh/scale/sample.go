package scale

import (
	"context"
	"fmt"
	"time"

	"cranegrade/internal/mesh/transport"
)

// machineBound is the share of the machine's cores beyond which a phase counts as limited by the machine.
const machineBound = 0.85

// statusTries is how often a member is asked how it is.
const statusTries = 10

// member is a control-plane process at a moment.
type member struct {
	usage Usage
	said  map[string]int64
	leads bool
	keys  uint32
}

// sidecars are all full sidecars at a moment, together.
type sidecars struct {
	usage       Usage
	said, heard map[string]int64
}

// sample is a fleet at a moment.
type sample struct {
	at        time.Time
	all, idle float64 // the machine's processor time
	members   []member
	sidecars  sidecars
	beats     int64
}

func (f *fleet) sample() (s sample, err error) {
	for i, r := range f.mesh.Members {
		m, err := f.member(i, r.Process.Cmd.Process.Pid)
		if err != nil {
			return s, err
		}
		s.members = append(s.members, m)
	}
	if f.plan.real {
		s.sidecars, err = f.realSidecars()
	} else {
		s.sidecars, err = f.hollowSidecars()
	}
	s.at, s.beats = time.Now(), f.beats.Load()
	s.all, s.idle = machineTime()
	return s, err
}

// member asks a control-plane process how it is. One whose main goroutine is late says so and little else, and is asked again.
func (f *fleet) member(i, pid int) (m member, err error) {
	for range statusTries {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		status, err := f.callers[i].Status(ctx)
		cancel()
		if err != nil { // on a machine that is too busy the connection may have ended for its silence
			if err := f.dial(i); err != nil {
				return m, err
			}
			continue
		}
		if status.Fault == "" {
			m.said, m.leads, m.keys = byPurpose(status.Traffic), status.IsLeader, status.KeyCount
			m.usage, err = processUsage(pid)
			return m, err
		}
	}
	return m, fmt.Errorf("member %d of the control plane is too late to say how it is", i+1)
}

func (f *fleet) hollowSidecars() (s sidecars, err error) {
	s.said, s.heard = map[string]int64{}, map[string]int64{}
	err = f.callFull(request{Account: &accountRequest{}}, func(r response) {
		addAll(s.said, r.Account.Said)
		addAll(s.heard, r.Account.Heard)
	})
	if err != nil {
		return s, err
	}
	for _, w := range f.full {
		u, err := processUsage(w.pid())
		if err != nil {
			return s, err
		}
		s.usage.add(u)
	}
	return s, nil
}

func addAll(to, from map[string]int64) {
	for purpose, n := range from {
		to[purpose] += n
	}
}

func (f *fleet) realSidecars() (s sidecars, err error) {
	s.said = map[string]int64{}
	for _, x := range f.mesh.Sidecars {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		c, err := transport.DialClient(ctx, x.Addr("Inbound"), "meshscale", nil)
		if err != nil {
			cancel()
			return s, err
		}
		status, err := c.Status(ctx)
		c.Close()
		cancel()
		if err != nil {
			return s, err
		}
		addAll(s.said, byPurpose(status.Traffic))
		u, err := processUsage(x.Process.Cmd.Process.Pid)
		if err != nil {
			return s, err
		}
		s.usage.add(u)
	}
	return s, nil
}

// between makes a phase of two samples.
func (f *fleet) between(name string, from, to sample) Phase {
	span := to.at.Sub(from.at).Seconds()
	p := Phase{Name: name, Seconds: span, Events: float64(to.beats - from.beats), Roles: map[string]Load{}, Delays: map[string]Quantiles{}}
	if all := to.all - from.all; all > 0 {
		p.Busy = 1 - (to.idle-from.idle)/all
	}
	if p.Busy > machineBound {
		p.Bound, p.Kept = "machine", f.x.KeepBound
	}
	n := float64(f.plan.full)
	side := load(from.sidecars.usage, to.sidecars.usage, from.sidecars.said, to.sidecars.said, span, n)
	side.Heard = rates(from.sidecars.heard, to.sidecars.heard, span*n)
	p.Roles[RoleSidecar] = side
	p.Told = f.told(from, to) / span
	var followers []Load
	for i, m := range to.members {
		was := from.members[i]
		l := load(was.usage, m.usage, was.said, m.said, span, 1)
		l.Keys = float64(m.keys)
		p.LeaderChanged = p.LeaderChanged || m.leads != was.leads
		if m.leads {
			p.Roles[RoleLeader] = l
		} else {
			followers = append(followers, l)
		}
	}
	if len(followers) > 0 {
		p.Roles[RoleFollower] = mean(followers)
	}
	return p
}

// told is how many bytes of records the control plane said to each connection: to each sidecar and to each member's caller
// here, and a record's home besides to the other members.
func (f *fleet) told(from, to sample) (bytes float64) {
	for i, m := range to.members {
		bytes += float64(m.said["records"] - from.members[i].said["records"])
	}
	members := len(to.members)
	return bytes / float64(f.started+members+members-1)
}

// load is what a role's processes used between two moments, for each of n.
func load(from, to Usage, said, saidNow map[string]int64, span, n float64) Load {
	return Load{
		Processor: (to.Processor - from.Processor) / span / n, Resident: int64(float64(to.Resident) / n), Said: rates(said, saidNow, span*n),
		Read: float64(to.Read-from.Read) / span / n, Written: float64(to.Written-from.Written) / span / n,
	}
}

func rates(from, to map[string]int64, by float64) map[string]float64 {
	m := map[string]float64{}
	for purpose, n := range to {
		if d := n - from[purpose]; d != 0 {
			m[purpose] = float64(d) / by
		}
	}
	return m
}

func mean(l []Load) (m Load) {
	n := float64(len(l))
	m.Said = map[string]float64{}
	for _, x := range l {
		m.Processor += x.Processor / n
		m.Resident += int64(float64(x.Resident) / n)
		m.Read += x.Read / n
		m.Written += x.Written / n
		m.Keys += x.Keys / n
		for p, b := range x.Said {
			m.Said[p] += b / n
		}
	}
	return m
}
