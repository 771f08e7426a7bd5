package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// randomFaults draws the events of one simulation: members that start, crash, leave and pause, and faults of the network.
//
// If growsBeyondFounders is false, Lease.Nodes covers all members that ever start, and crashed members may restart. Otherwise Lease.Nodes
// covers only the founders. Then fewer members join than could found a second fleet, and no member restarts after a crash, as it would
// have lost its roster.
type randomFaults struct {
	t                   *rapid.T
	sim                 *simulation
	founders            int
	maxJoiners          int // members that may join after the initial ones
	growsBeyondFounders bool
	started             int // members that were started, by name
	maxDelay            int // largest delay of a message, in milliseconds
	lossPercent         int // percentage of messages that are lost
}

func drawFaults(t *rapid.T) *randomFaults {
	founders := rapid.IntRange(1, 6).Draw(t, "founders")
	maxJoiners := rapid.IntRange(0, (founders-1)/2).Draw(t, "maxJoiners")
	f := &randomFaults{t: t, founders: founders, maxJoiners: maxJoiners, growsBeyondFounders: rapid.Bool().Draw(t, "growsBeyondFounders")}
	f.sim = newSimulation(Lease{Duration: time.Second, Nodes: founders + maxJoiners})
	if f.growsBeyondFounders {
		f.sim.lease.Nodes = founders
	}
	f.sim.delay = f.drawDelay
	f.sim.demand = f.drawDemand
	return f
}

func (f *randomFaults) drawDelay() time.Duration {
	if f.lossPercent > 0 && rapid.IntRange(0, 99).Draw(f.t, "lost") < f.lossPercent {
		return -1
	}
	return time.Duration(1+rapid.IntRange(0, f.maxDelay).Draw(f.t, "delay")) * ms
}

func (f *randomFaults) drawDemand() float64 {
	return float64(rapid.IntRange(0, 3).Draw(f.t, "demand")) / 3
}

// start starts a process whose clock is up to 2 % fast or slow, and that exchanges rosters with some of the others.
func (f *randomFaults) start(name string) {
	p := f.sim.start(name, 1+float64(rapid.IntRange(-20, 20).Draw(f.t, "clock rate"))/1000)
	for _, other := range f.sim.processes {
		if !other.dead && other != p && rapid.IntRange(0, 2).Draw(f.t, "introduced") > 0 {
			f.sim.introduce(other, p)
		}
	}
}

// startFounders starts the initial members. If the fleet will grow beyond them, it also introduces them and lets them found the fleet.
func (f *randomFaults) startFounders() {
	for ; f.started < f.founders; f.started++ {
		f.start(fmt.Sprintf("n%d", f.started))
	}
	if !f.growsBeyondFounders {
		f.sim.run(f.t, time.Duration(rapid.IntRange(0, 5000).Draw(f.t, "initial time"))*ms)
		return
	}
	for _, p := range f.sim.processes {
		f.sim.introduce(f.sim.processes[0], p)
	}
	f.sim.run(f.t, 5*time.Second)
}

// injectFault draws an event and the process that it affects.
func (f *randomFaults) injectFault() {
	p := f.sim.processes[rapid.IntRange(0, len(f.sim.processes)-1).Draw(f.t, "process")]
	switch rapid.IntRange(0, 9).Draw(f.t, "fault") {
	case 0, 1:
		f.cutLinks()
	case 2:
		f.partition()
	case 3:
		clear(f.sim.cut)
		p.loans.SetDemand(quota, f.drawDemand())
	case 4:
		f.maxDelay, f.lossPercent = rapid.IntRange(0, 1500).Draw(f.t, "max delay"), rapid.IntRange(0, 60).Draw(f.t, "loss")
	case 5:
		p.paused = !p.paused && !p.dead
	case 6:
		f.kill(p)
	case 7:
		f.join()
	case 8:
		if !p.dead && !p.paused && rapid.IntRange(0, 3).Draw(f.t, "leaves") == 0 {
			p.leave(f.sim.now)
		}
	case 9:
		f.duplicateMessages()
	}
}

// cutLinks cuts or restores each direction of each link.
func (f *randomFaults) cutLinks() {
	for _, a := range f.sim.processes {
		for _, b := range f.sim.processes {
			f.sim.cut[[2]string{a.name, b.name}] = rapid.IntRange(0, 2).Draw(f.t, "cut") == 0
		}
	}
}

// partition splits the fleet into two sides.
func (f *randomFaults) partition() {
	sideOf := map[string]int{}
	for _, p := range f.sim.processes {
		sideOf[p.name] = rapid.IntRange(0, 1).Draw(f.t, "side")
	}
	for _, a := range f.sim.processes {
		for _, b := range f.sim.processes {
			f.sim.cut[[2]string{a.name, b.name}] = sideOf[a.name] != sideOf[b.name]
		}
	}
}

func (f *randomFaults) kill(p *process) {
	p.dead = true
	if !f.growsBeyondFounders && rapid.Bool().Draw(f.t, "restart") && f.sim.find(p.name) == nil {
		f.start(p.name)
	}
}

func (f *randomFaults) join() {
	if f.started < f.founders+f.maxJoiners {
		f.start(fmt.Sprintf("n%d", f.started))
		f.started++
	}
}

// duplicateMessages duplicates some of the messages in flight. The copies are delivered later.
func (f *randomFaults) duplicateMessages() {
	for _, m := range f.sim.inFlight {
		m.deliverAt += time.Duration(rapid.IntRange(0, 5000).Draw(f.t, "copy delay")) * ms
		if rapid.Bool().Draw(f.t, "duplicated") {
			f.sim.inFlight = append(f.sim.inFlight, m)
		}
	}
}

// repairAll ends all faults, restarts crashed members that may restart, and introduces all live processes to the first one. It returns the
// live processes.
func (f *randomFaults) repairAll() (live []*process) {
	f.maxDelay, f.lossPercent = 0, 0
	clear(f.sim.cut)
	for _, p := range f.sim.processes {
		p.paused = false
		if p.dead && f.sim.find(p.name) == nil && !f.growsBeyondFounders {
			f.start(p.name)
		}
	}
	for _, p := range f.sim.processes {
		if !p.dead && !p.roster.leaving {
			live = append(live, p)
		}
	}
	for _, p := range live {
		f.sim.introduce(live[0], p)
	}
	return live
}

// hasMajority reports whether the live processes are a majority of all known members and of the voters. Otherwise none may have a share.
func (f *randomFaults) hasMajority(live []*process) bool {
	present, removed := map[string]bool{}, map[string]bool{}
	for _, p := range live {
		for _, e := range p.roster.Entries() {
			present[e.Name] = present[e.Name] || !e.Removed
			removed[e.Name] = removed[e.Name] || e.Removed
		}
	}
	presentCount, leftCount := 0, 0
	for name, isPresent := range present {
		if isPresent {
			presentCount++
		} else if removed[name] {
			leftCount++
		}
	}
	voters, liveVoters := 0, 0
	for _, e := range live[0].roster.Entries() {
		if e.Voter && !e.Removed {
			voters++
			if f.sim.find(e.Name) != nil {
				liveVoters++
			}
		}
	}
	nodes := f.sim.lease.Nodes - leftCount
	return 2*len(live) > max(presentCount, nodes) && (voters == 0 || 2*liveVoters > max(voters, nodes))
}

// TestSharesNeverExceedWhole injects random faults. At any time the shares must not add up to more than the whole. After all faults have
// ended, all live members must have their shares again.
func TestSharesNeverExceedWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFaults(t)
		f.startFounders()
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			f.injectFault()
			f.sim.run(t, time.Duration(rapid.IntRange(0, 4000).Draw(t, "time after fault"))*ms)
		}
		live := f.repairAll()
		f.sim.run(t, 12*time.Second)
		if len(live) == 0 || !f.hasMajority(live) {
			return
		}
		for _, p := range live {
			if got := p.share.DivisorAt(p.clock(f.sim.now)); got != float64(len(live)) {
				t.Fatalf("%d members are live and no fault is left, but %s has a share of 1/%v\n%s", len(live), p.name, got, f.sim.describe())
			}
		}
	})
}
