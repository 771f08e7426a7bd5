package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// randomFaults draws the course of one simulation: members that start, die, leave and pause, and what the network does meanwhile.
//
// Either every name that ever appears is among the founders; or the fleet grows beyond them, by fewer members than could found
// another fleet, and no process comes back after its death: it would have lost its roster.
type randomFaults struct {
	t          *rapid.T
	sim        *simulation
	founders   int
	more       int // members that may join later
	grows      bool
	names      int // that were started
	delay      int // the longest of a message, in milliseconds
	lossInA100 int // messages of a hundred that are lost
}

func drawFaults(t *rapid.T) *randomFaults {
	founders := rapid.IntRange(1, 6).Draw(t, "members")
	more := rapid.IntRange(0, (founders-1)/2).Draw(t, "more")
	f := &randomFaults{t: t, founders: founders, more: more, grows: rapid.Bool().Draw(t, "grows")}
	f.sim = newSimulation(Lease{Duration: time.Second, Nodes: founders + more})
	if f.grows {
		f.sim.lease.Nodes = founders
	}
	f.sim.delay = f.drawDelay
	f.sim.demand = f.drawDemand
	return f
}

func (f *randomFaults) drawDelay() time.Duration {
	if f.lossInA100 > 0 && rapid.IntRange(0, 99).Draw(f.t, "lost") < f.lossInA100 {
		return -1
	}
	return time.Duration(1+rapid.IntRange(0, f.delay).Draw(f.t, "delay")) * ms
}

func (f *randomFaults) drawDemand() float64 {
	return float64(rapid.IntRange(0, 3).Draw(f.t, "want")) / 3
}

// start starts a process whose clock is up to 2 % fast or slow, and that meets some of the others.
func (f *randomFaults) start(name string) {
	p := f.sim.start(name, 1+float64(rapid.IntRange(-20, 20).Draw(f.t, "rate"))/1000)
	for _, other := range f.sim.processes {
		if !other.dead && other != p && rapid.IntRange(0, 2).Draw(f.t, "met") > 0 {
			f.sim.meet(other, p)
		}
	}
}

// startFounders starts the founders. If the fleet grows later they come together first.
func (f *randomFaults) startFounders() {
	for ; f.names < f.founders; f.names++ {
		f.start(fmt.Sprintf("n%d", f.names))
	}
	if !f.grows {
		f.sim.run(f.t, time.Duration(rapid.IntRange(0, 5000).Draw(f.t, "first"))*ms)
		return
	}
	for _, p := range f.sim.processes {
		f.sim.meet(f.sim.processes[0], p)
	}
	f.sim.run(f.t, 5*time.Second)
}

// injectOne draws a fault and the process that it happens to.
func (f *randomFaults) injectOne() {
	p := f.sim.processes[rapid.IntRange(0, len(f.sim.processes)-1).Draw(f.t, "who")]
	switch rapid.IntRange(0, 9).Draw(f.t, "fault") {
	case 0, 1:
		f.cutLinks()
	case 2:
		f.partition()
	case 3:
		clear(f.sim.cut)
		p.loans.SetDemand(quota, f.drawDemand())
	case 4:
		f.delay, f.lossInA100 = rapid.IntRange(0, 1500).Draw(f.t, "slow"), rapid.IntRange(0, 60).Draw(f.t, "loss")
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

// cutLinks cuts each direction of each link, or mends it.
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
	if !f.grows && rapid.Bool().Draw(f.t, "again") && f.sim.find(p.name) == nil {
		f.start(p.name)
	}
}

func (f *randomFaults) join() {
	if f.names < f.founders+f.more {
		f.start(fmt.Sprintf("n%d", f.names))
		f.names++
	}
}

// duplicateMessages has some of the messages in flight delivered once more, later.
func (f *randomFaults) duplicateMessages() {
	for _, m := range f.sim.inFlight {
		m.deliverAt += time.Duration(rapid.IntRange(0, 5000).Draw(f.t, "copy")) * ms
		if rapid.Bool().Draw(f.t, "twice") {
			f.sim.inFlight = append(f.sim.inFlight, m)
		}
	}
}

// mend ends all faults, and returns the processes that are there then, which have all met.
func (f *randomFaults) mend() (live []*process) {
	f.delay, f.lossInA100 = 0, 0
	clear(f.sim.cut)
	for _, p := range f.sim.processes {
		p.paused = false
		if p.dead && f.sim.find(p.name) == nil && !f.grows {
			f.start(p.name)
		}
	}
	for _, p := range f.sim.processes {
		if !p.dead && !p.roster.leaving {
			live = append(live, p)
		}
	}
	for _, p := range live {
		f.sim.meet(live[0], p)
	}
	return live
}

// hasMajority reports whether the live processes are a majority of all that were met, and of the voters. Without, none may have a share.
func (f *randomFaults) hasMajority(live []*process) bool {
	present, removed := map[string]bool{}, map[string]bool{}
	for _, p := range live {
		for _, e := range p.roster.Entries() {
			present[e.Name] = present[e.Name] || !e.Removed
			removed[e.Name] = removed[e.Name] || e.Removed
		}
	}
	here, left := 0, 0
	for name, isPresent := range present {
		if isPresent {
			here++
		} else if removed[name] {
			left++
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
	nodes := f.sim.lease.Nodes - left
	return 2*len(live) > max(here, nodes) && (voters == 0 || 2*liveVoters > max(voters, nodes))
}

// TestSharesNeverExceedWhole draws faults in any order. At every moment the shares must not add up to more than the whole; and once
// everything is mended, all members must have their shares again.
func TestSharesNeverExceedWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := drawFaults(t)
		f.startFounders()
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			f.injectOne()
			f.sim.run(t, time.Duration(rapid.IntRange(0, 4000).Draw(t, "then"))*ms)
		}
		live := f.mend()
		f.sim.run(t, 12*time.Second)
		if len(live) == 0 || !f.hasMajority(live) {
			return
		}
		for _, p := range live {
			if got := p.share.DivisorAt(p.clock(f.sim.now)); got != float64(len(live)) {
				t.Fatalf("%d members are live and everything is mended, but %s has a share of 1/%v\n%s", len(live), p.name, got, f.sim.describe())
			}
		}
	})
}
