package sim

import (
	"time"
)

// Bounds of the steady clocks' drift, in parts per million.
const maxDrift = 500

// process is one simulated process on a machine of its own. What it does, it does when an event is posted to it; while it is
// frozen, or busy with its disk, events wait.
type process struct {
	world       *World
	name        string
	address     string // "": it listens nowhere
	incarnation uint64 // rises with every start
	up          bool
	removed     bool // taken away for good
	dark        bool // its machine has no power
	frozen      bool
	busy        bool
	waiting     []func()
	settle      func() // called after one event or several
	clock       clock
	ends        []*side // of open connections
}

// clock is a process's steady clock. It drifts, and stands still while its machine is suspended.
type clock struct {
	drift int64         // parts per million
	at    time.Duration // of the world, when the clock showed shown
	shown time.Duration
	still bool
}

func (c *clock) now(world time.Duration) time.Duration {
	if c.still {
		return c.shown
	}
	passed := world - c.at
	return c.shown + passed + passed*time.Duration(c.drift)/1e6
}

// stop and run have the clock stand still and go on.
func (c *clock) stop(world time.Duration) { c.shown, c.at, c.still = c.now(world), world, true }
func (c *clock) run(world time.Duration)  { c.at, c.still = world, false }

func (w *World) newProcess(name, address string) *process {
	p := &process{world: w, name: name, address: address, settle: func() {}}
	p.clock.drift = w.random.Int64N(2*maxDrift+1) - maxDrift
	w.processes = append(w.processes, p)
	return p
}

// now is the process's own steady clock, which begins anew with each life.
func (p *process) now() time.Duration { return p.clock.now(p.world.now) }

// begin starts a life.
func (p *process) beginIncarnation() {
	p.incarnation++
	p.up, p.dark, p.frozen, p.busy, p.waiting = true, false, false, false, nil
	p.clock.at, p.clock.shown, p.clock.still = p.world.now, p.world.between(0, time.Second), false
}

// endIncarnation ends it. clean: the machine goes on and tells the peers; else they hear nothing.
func (p *process) endIncarnation(clean bool) {
	p.up, p.dark, p.frozen, p.busy, p.waiting = false, !clean, false, false, nil
	for _, e := range append([]*side(nil), p.ends...) {
		if clean {
			e.close()
		} else {
			e.vanish()
		}
	}
}

// post has the process handle an event, now or once it can.
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

// resume handles what has waited, all of it before the process settles.
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

// after has the process handle an event after a time of its own clock, in this life.
func (p *process) after(d time.Duration, f func()) {
	life := p.incarnation
	p.world.after(d-d*time.Duration(p.clock.drift)/1e6, func() {
		if p.incarnation == life {
			p.post(f)
		}
	})
}

// freeze stops the process; its clock goes on. suspend stops the whole machine, and its clock with it.
func (p *process) freeze() { p.frozen = p.up }

func (p *process) suspend() {
	if p.up {
		p.frozen = true
		p.clock.stop(p.world.now)
	}
}

func (p *process) thaw() {
	if !p.frozen {
		return
	}
	p.frozen = false
	if p.clock.still {
		p.clock.run(p.world.now)
	}
	p.resume()
}
