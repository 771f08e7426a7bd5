package membership

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cranegrade/internal/fleet/shares"
)

// Draws are the same in every run, so that a run tells of the change and not of its luck; -rapid.seed=0 draws others.
func init() { flag.Set("rapid.seed", "1") }

const ms = time.Millisecond

// world is processes with rolls, and a network that may do anything to what goes between them.
type world struct {
	now   time.Duration
	lease Lease
	procs []*proc
	post  []letter
	delay func() time.Duration // of a message; negative: it is lost
	cut   map[[2]string]bool   // from, to
	runs  uint64
	want  func() float64 // what a process that starts would take of the ration
}

type proc struct {
	name    string
	roll    *Roster
	rate    float64 // of its clock
	began   time.Duration
	offset  time.Duration
	paused  bool
	dead    bool
	nextAt  time.Duration
	told    map[string]time.Duration // when it last sent its roll
	share   Share                    // as of its last tick, held against its clock
	book    *shares.Book
	leaving bool
}

type letter struct {
	at       time.Duration
	from, to *proc
	beat     *Heartbeat
	entries  []Entry
	wants    []shares.Want
	loans    []shares.Loan
}

const ration = shares.Ration(7)

func newWorld(l Lease) *world {
	return &world{lease: l, cut: map[[2]string]bool{}, delay: func() time.Duration { return ms }, want: func() float64 { return 0 }}
}

func (p *proc) clock(now time.Duration) time.Duration {
	return p.offset + time.Duration(float64(now-p.began)*p.rate)
}

func (w *world) start(name string, rate float64) *proc {
	w.runs++
	p := &proc{name: name, rate: rate, began: w.now, offset: time.Duration(w.runs) * time.Hour, nextAt: w.now, told: map[string]time.Duration{}}
	p.book = shares.NewBook(w.lease.MaxLoan())
	p.book.Want(ration, w.want())
	p.roll = NewRoster(p.clock(w.now), name, w.runs, w.lease)
	w.procs = append(w.procs, p)
	return p
}

// own is a process's part of the divisor.
func (p *proc) own(t time.Duration) float64 { return 1 / p.share.DivisorAt(t) }

// find is the process that runs under a name; nil if none does.
func (w *world) find(name string) *proc {
	for _, p := range w.procs {
		if p.name == name && !p.dead {
			return p
		}
	}
	return nil
}

func (w *world) send(l letter) {
	if w.cut[[2]string{l.from.name, l.to.name}] {
		return
	}
	if d := w.delay(); d >= 0 {
		l.at = w.now + d
		w.post = append(w.post, l)
	}
}

// meet has two processes tell each other their rolls, as a join does.
func (w *world) meet(a, b *proc) {
	w.send(letter{from: a, to: b, entries: a.roll.Entries()})
	w.send(letter{from: b, to: a, entries: b.roll.Entries()})
}

func (w *world) step(d time.Duration) {
	w.now += d
	post := w.post
	w.post = nil
	for _, l := range post {
		switch {
		case l.at > w.now || l.to.paused && !l.to.dead:
			w.post = append(w.post, l)
			continue
		case l.to.dead:
			continue
		}
		t := l.to.clock(w.now)
		if l.beat == nil {
			l.to.roll.Merge(t, l.entries)
			continue
		}
		stranger, sent := l.to.roll.Receive(t, *l.beat)
		l.to.book.Heard(t, l.from.name, l.wants, l.loans, sent)
		if stranger && (l.to.told[l.from.name] == 0 || t-l.to.told[l.from.name] > 200*ms) {
			l.to.told[l.from.name] = t
			w.send(letter{from: l.to, to: l.from, entries: l.to.roll.Entries()})
		}
	}
	for _, p := range w.procs {
		if p.dead || p.paused || w.now < p.nextAt {
			continue
		}
		p.nextAt = w.now + w.lease.HeartbeatInterval()
		for _, to := range p.roll.StartRound(p.clock(w.now)) {
			if q := w.find(to); q != nil {
				b, t := p.roll.Heartbeat(to), p.clock(w.now)
				w.send(letter{from: p, to: q, beat: &b, wants: p.book.Wants(), loans: p.book.Lend(t, to, p.own(t), p.share.Until, func(name string) bool {
					return slices.Contains(p.share.Members, name)
				})})
			}
		}
		p.share = p.roll.Share(p.clock(w.now))
		p.book.Forget(p.clock(w.now), func(string) bool { return true })
	}
}

// spent is the sum of all parts that may be taken now, by what each process goes by.
func (w *world) spent() (sum float64) {
	for _, p := range w.procs {
		if !p.dead && !p.paused {
			t := p.clock(w.now)
			part, _ := p.book.Part(t, ration, p.own(t))
			sum += part
		}
	}
	return sum
}

func (w *world) tell() (s string) {
	for _, p := range w.procs {
		s += fmt.Sprintf("%s dead=%v paused=%v part=%v %+v voters=%v\n", p.name, p.dead, p.paused, p.share.DivisorAt(p.clock(w.now)), p.share, p.roll.voters)
		for _, x := range p.roll.Members(p.clock(w.now)) {
			s += fmt.Sprintf("    %+v\n", x)
		}
	}
	return s
}

func (w *world) run(t interface{ Fatalf(string, ...any) }, d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.step(20 * ms)
		if sum := w.spent(); sum > 1+1e-9 {
			t.Fatalf("at %v all together may take %v of the whole\n%s", w.now, sum, w.tell())
		}
	}
}

// group starts members that all meet.
func (w *world) group(n int) {
	for i := range n {
		p := w.start(fmt.Sprintf("n%d", i), 1)
		if i > 0 {
			w.meet(w.procs[0], p)
		}
	}
}

// sides cuts the links between names of different sides.
func (w *world) sides(sides ...[]int) {
	of := map[string]int{}
	for i, side := range sides {
		for _, n := range side {
			of[fmt.Sprintf("n%d", n)] = i
		}
	}
	w.cut = map[[2]string]bool{}
	for a, x := range of {
		for b, y := range of {
			if x != y {
				w.cut[[2]string{a, b}] = true
			}
		}
	}
}

func (w *world) parts() (l []float64) {
	for _, p := range w.procs {
		if !p.dead {
			l = append(l, p.share.DivisorAt(p.clock(w.now)))
		}
	}
	return l
}

// TestPartitions plays the courses of a fleet of known faults, and what each member may take at their ends.
func TestPartitions(t *testing.T) {
	inf := math.Inf(1)
	all := func(n int, part float64) (l []float64) {
		for range n {
			l = append(l, part)
		}
		return l
	}
	const settled = 4 * time.Second // more than twice the times of a lease of a second
	for name, c := range map[string]struct {
		n, nodes int
		fault    func(*world)
		in, back []float64
	}{
		"nothing":      {5, 5, func(*world) {}, all(5, 5), all(5, 5)},
		"1 and 4":      {5, 5, func(w *world) { w.sides([]int{0}, []int{1, 2, 3, 4}) }, []float64{inf, 4, 4, 4, 4}, all(5, 5)},
		"3 and 3":      {6, 6, func(w *world) { w.sides([]int{0, 1, 2}, []int{3, 4, 5}) }, all(6, inf), all(6, 6)},
		"three parts":  {5, 5, func(w *world) { w.sides([]int{0, 1}, []int{2, 3}, []int{4}) }, all(5, inf), all(5, 5)},
		"a chain":      {3, 3, func(w *world) { w.cut[[2]string{"n0", "n2"}], w.cut[[2]string{"n2", "n0"}] = true, true }, all(3, 3), all(3, 3)},
		"one is heard": {5, 5, func(w *world) { one(w, "n0", true) }, []float64{inf, 5, 5, 5, 5}, all(5, 5)},
		"one hears":    {5, 5, func(w *world) { one(w, "n0", false) }, []float64{inf, 4, 4, 4, 4}, all(5, 5)},
		"two die":      {5, 5, func(w *world) { w.procs[0].dead, w.procs[1].dead = true, true }, all(3, 3), all(3, 3)},
		"all but one": {5, 5, func(w *world) {
			for _, p := range w.procs[1:] {
				p.dead = true
			}
		}, []float64{inf}, []float64{inf}},
		"back at once":    {5, 5, func(w *world) { w.procs[0].dead = true; w.meet(w.procs[1], w.start("n0", 1)) }, all(5, 5), all(5, 5)},
		"two leave":       {5, 5, func(w *world) { w.leave(0); w.leave(1) }, append(all(2, inf), 3, 3, 3), append(all(2, inf), 3, 3, 3)},
		"one stopped":     {5, 5, func(w *world) { w.procs[4].paused = true }, []float64{4, 4, 4, 4, inf}, all(5, 5)},
		"growth":          {3, 3, func(w *world) { w.meet(w.procs[0], w.start("n8", 1)); w.meet(w.procs[1], w.start("n9", 1)) }, all(5, 5), all(5, 5)},
		"two of five met": {2, 5, func(*world) {}, all(2, inf), all(2, inf)},
		"twins":           {3, 3, func(w *world) { p := w.start("n0", 1); p.name = "twin"; w.meet(w.procs[1], p) }, []float64{3, 3, 3, inf}, []float64{3, 3, 3, inf}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(Lease{Duration: time.Second, Nodes: c.nodes})
			w.group(c.n)
			w.run(t, settled)
			c.fault(w)
			w.run(t, settled)
			if got := w.parts(); !slices.Equal(got, c.in) {
				t.Errorf("in the fault the parts are %v, not %v\n%s", got, c.in, w.tell())
			}
			w.cut = map[[2]string]bool{}
			for _, p := range w.procs {
				p.paused = false
			}
			w.run(t, settled)
			if got := w.parts(); !slices.Equal(got, c.back) {
				t.Errorf("after it the parts are %v, not %v\n%s", got, c.back, w.tell())
			}
		})
	}
}

// one cuts a link one way: the member is heard by nobody, or hears nobody.
func one(w *world, name string, hears bool) {
	for _, p := range w.procs {
		if p.name != name && hears {
			w.cut[[2]string{p.name, name}] = true
		} else if p.name != name {
			w.cut[[2]string{name, p.name}] = true
		}
	}
}

func (w *world) leave(i int) {
	p := w.procs[i]
	p.roll.Leave(p.clock(w.now))
	p.share = p.roll.Share(p.clock(w.now))
}

// TestPromise draws faults in any order and holds the sum of all parts against the whole at each moment; and once
// all is mended, that all have their parts again.
func TestPromise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "members")
		// Either every name that ever comes is told from the start; or the fleet grows beyond that, by less than could
		// found another, and no process comes back without its memory.
		more := rapid.IntRange(0, (n-1)/2).Draw(t, "more")
		grows := rapid.Bool().Draw(t, "grows")
		w := newWorld(Lease{Duration: time.Second, Nodes: n + more})
		if grows {
			w.lease.Nodes = n
		}
		var delay, loss int
		w.delay = func() time.Duration {
			if loss > 0 && rapid.IntRange(0, 99).Draw(t, "lost") < loss {
				return -1
			}
			return time.Duration(1+rapid.IntRange(0, delay).Draw(t, "delay")) * ms
		}
		w.want = func() float64 { return float64(rapid.IntRange(0, 3).Draw(t, "want")) / 3 }
		names := 0
		start := func(name string) {
			p := w.start(name, 1+float64(rapid.IntRange(-20, 20).Draw(t, "rate"))/1000)
			for _, q := range w.procs {
				if !q.dead && q != p && rapid.IntRange(0, 2).Draw(t, "met") > 0 {
					w.meet(q, p)
				}
			}
		}
		for ; names < n; names++ {
			start(fmt.Sprintf("n%d", names))
		}
		if grows {
			for _, p := range w.procs {
				w.meet(w.procs[0], p)
			}
			w.run(t, 5*time.Second) // those of the start are together before others come
		} else {
			w.run(t, time.Duration(rapid.IntRange(0, 5000).Draw(t, "first"))*ms)
		}
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			p := w.procs[rapid.IntRange(0, len(w.procs)-1).Draw(t, "who")]
			switch rapid.IntRange(0, 9).Draw(t, "fault") {
			case 0, 1: // a partition, each way of each link as it falls
				for _, a := range w.procs {
					for _, b := range w.procs {
						w.cut[[2]string{a.name, b.name}] = rapid.IntRange(0, 2).Draw(t, "cut") == 0
					}
				}
			case 2: // sides
				side := map[string]int{}
				for _, a := range w.procs {
					side[a.name] = rapid.IntRange(0, 1).Draw(t, "side")
				}
				for _, a := range w.procs {
					for _, b := range w.procs {
						w.cut[[2]string{a.name, b.name}] = side[a.name] != side[b.name]
					}
				}
			case 3:
				clear(w.cut)
				p.book.Want(ration, w.want())
			case 4:
				delay, loss = rapid.IntRange(0, 1500).Draw(t, "slow"), rapid.IntRange(0, 60).Draw(t, "loss")
			case 5:
				p.paused = !p.paused && !p.dead
			case 6:
				p.dead = true
				if !grows && rapid.Bool().Draw(t, "again") && w.find(p.name) == nil {
					start(p.name)
				}
			case 7:
				if names < n+more {
					start(fmt.Sprintf("n%d", names))
					names++
				}
			case 8:
				if !p.dead && !p.paused && rapid.IntRange(0, 3).Draw(t, "leaves") == 0 {
					p.roll.Leave(p.clock(w.now))
					p.share = p.roll.Share(p.clock(w.now))
				}
			case 9: // a late copy of what was sent
				for _, l := range w.post {
					if l.at += time.Duration(rapid.IntRange(0, 5000).Draw(t, "copy")) * ms; rapid.Bool().Draw(t, "twice") {
						w.post = append(w.post, l)
					}
				}
			}
			w.run(t, time.Duration(rapid.IntRange(0, 4000).Draw(t, "then"))*ms)
		}
		delay, loss = 0, 0
		clear(w.cut)
		for _, p := range w.procs {
			p.paused = false
			if p.dead && w.find(p.name) == nil && !grows {
				start(p.name)
			}
		}
		var live []*proc
		for _, p := range w.procs {
			if !p.dead && !p.roll.leaving {
				live = append(live, p)
			}
		}
		for _, p := range live {
			w.meet(live[0], p)
		}
		w.run(t, 12*time.Second)
		if len(live) == 0 {
			return
		}
		roll, gone := map[string]bool{}, map[string]bool{} // of all that were ever met, and of those known to have left
		for _, p := range live {
			for _, e := range p.roll.Entries() {
				roll[e.Name] = roll[e.Name] || !e.Gone
				gone[e.Name] = gone[e.Name] || e.Gone
			}
		}
		here, left := 0, 0
		for name, is := range roll {
			if is {
				here++
			} else if gone[name] {
				left++
			}
		}
		// No majority may be left, of all or of those who are seated: then nobody can have a part.
		seated, present := 0, 0
		for _, e := range live[0].roll.Entries() {
			if e.Seated && !e.Gone {
				seated++
				if w.find(e.Name) != nil {
					present++
				}
			}
		}
		if 2*len(live) <= max(here, w.lease.Nodes-left) || seated > 0 && 2*present <= max(seated, w.lease.Nodes-left) {
			return
		}
		for _, p := range live {
			if got := p.share.DivisorAt(p.clock(w.now)); got != float64(len(live)) {
				t.Fatalf("%d members are there, all is mended, and %s has a part of 1/%v\n%s", len(live), p.name, got, w.tell())
			}
		}
	})
}

// TestLoans: with use at one of eight members only, and then at another, that one has nearly all of the whole within two
// leases, and all together never more.
func TestLoans(t *testing.T) {
	w := newWorld(Lease{Duration: time.Second, Nodes: 8})
	w.group(8)
	w.run(t, 4*time.Second)
	for _, who := range []int{0, 5} {
		for i, p := range w.procs {
			p.book.Want(ration, 0)
			if i == who {
				p.book.Want(ration, 2)
			}
		}
		w.run(t, 2*time.Second)
		p := w.procs[who]
		if part, _ := p.book.Part(p.clock(w.now), ration, p.own(p.clock(w.now))); part < 0.88 {
			t.Errorf("member %d, the only one with use, has %v of the whole", who, part)
		}
	}
	w.procs[2].dead = true // with what it lent
	w.run(t, 4*time.Second)
	p := w.procs[5]
	if part, _ := p.book.Part(p.clock(w.now), ration, p.own(p.clock(w.now))); part < 0.88 {
		t.Errorf("after a death it has %v of the whole", part)
	}
}
