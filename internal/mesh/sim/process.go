package sim

import (
	"slices"
	"time"

	"cranegrade/internal/mesh/history"
)

// maxDrift bounds the drift of the monotonic clocks, in parts per million.
const maxDrift = 500

// process is one simulated process on a machine of its own. It acts only when an event is posted to it. Events wait while it is frozen
// or busy with its disk.
type process struct {
	world       *World
	name        string
	address     string // where it listens; empty if it does not
	incarnation uint64 // rises with each start
	up          bool
	removed     bool // removed for good
	poweredOff  bool // its machine has no power
	frozen      bool
	busy        bool     // it waits for its disk
	waiting     []func() // events to handle once it is neither frozen nor busy
	settle      func()   // called after each batch of events
	clock       clock
	connections []*side // open connections
}

// clock is the monotonic clock of a process. It drifts, and stops while its machine is suspended.
type clock struct {
	drift   int64         // parts per million
	at      time.Duration // time of the world at which the clock showed shown
	shown   time.Duration
	stopped bool
}

// now returns what the clock shows at a time of the world.
func (c *clock) now(world time.Duration) time.Duration {
	if c.stopped {
		return c.shown
	}
	passed := world - c.at
	return c.shown + passed + passed*time.Duration(c.drift)/1e6
}

// stop stops the clock.
func (c *clock) stop(world time.Duration) {
	c.shown = c.now(world)
	c.at = world
	c.stopped = true
}

// run starts the clock again.
func (c *clock) run(world time.Duration) {
	c.at = world
	c.stopped = false
}

// newProcess returns a process that was not started.
func (w *World) newProcess(name, address string) *process {
	p := &process{world: w, name: name, address: address, settle: func() {}}
	p.clock.drift = w.random.Int64N(2*maxDrift+1) - maxDrift
	w.processes = append(w.processes, p)
	return p
}

// now returns the time of the process's own clock, which begins anew with each incarnation.
func (p *process) now() time.Duration { return p.clock.now(p.world.now) }

// beginIncarnation starts the process.
func (p *process) beginIncarnation() {
	p.incarnation++
	p.up = true
	p.poweredOff = false
	p.discardEvents()
	p.clock.at = p.world.now
	p.clock.shown = p.world.between(0, time.Second)
	p.clock.stopped = false
}

// discardEvents discards the events that wait, and what they wait for.
func (p *process) discardEvents() {
	p.frozen = false
	p.busy = false
	p.waiting = nil
}

// endIncarnation ends the process. If clean, the machine goes on and closes its connections; otherwise the peers are not notified.
func (p *process) endIncarnation(clean bool) {
	p.up = false
	p.poweredOff = !clean
	p.discardEvents()
	for _, e := range slices.Clone(p.connections) {
		if clean {
			e.close()
		} else {
			e.vanish()
		}
	}
}

// callSince is a call of the process that began at a time of the world and ends now, as histories record it.
func (p *process) callSince(begun time.Duration, outcome history.Outcome) history.Call {
	return history.Call{Process: p.name, Begin: begun, Return: p.world.now, Outcome: outcome}
}

// post makes the process handle an event, now or as soon as it is not frozen and not busy.
func (p *process) post(f func()) {
	if !p.up {
		return
	}
	if p.frozen || p.busy {
		p.waiting = append(p.waiting, f)
		return
	}
	f()
	if p.up {
		p.settle()
	}
}

// resume handles all waiting events, and then calls settle.
func (p *process) resume() {
	for len(p.waiting) > 0 && p.up && !p.frozen && !p.busy {
		batch := p.waiting
		p.waiting = nil
		for _, f := range batch {
			if p.up {
				f()
			}
		}
		if p.up {
			p.settle()
		}
	}
}

// after schedules an event of the process by its own clock. If this incarnation has ended by then, the event is dropped.
func (p *process) after(d time.Duration, f func()) {
	incarnation := p.incarnation
	p.world.after(d-d*time.Duration(p.clock.drift)/1e6, func() {
		if p.incarnation == incarnation {
			p.post(f)
		}
	})
}

// freeze stops the process. Its clock goes on.
func (p *process) freeze() { p.frozen = p.up }

// suspend stops the machine including its clock.
func (p *process) suspend() {
	if p.up {
		p.frozen = true
		p.clock.stop(p.world.now)
	}
}

// thaw ends a freeze or suspension, and handles the events that wait.
func (p *process) thaw() {
	if !p.frozen {
		return
	}
	p.frozen = false
	if p.clock.stopped {
		p.clock.run(p.world.now)
	}
	p.resume()
}
