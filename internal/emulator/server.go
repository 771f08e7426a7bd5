package emulator

import (
	"container/heap"
	"fmt"
	"math"
	"time"

	"cranegrade/balancer"
)

// Server is a server of a tier. The requests that it runs share its cores evenly.
type Server struct {
	w    *World
	tier int
	id   string
	cfg  Tier
	next *node // for its calls to the next tier; nil: the last

	Speed     float64       // times the nominal
	Errors    float64       // share of requests answered with an error at once
	Arrived   int           // attempts that reached it
	Erred     int           // and of these, those answered with an error
	Refuses   bool          // turns everything away at once
	Boot      time.Duration // of its last start; 0: long ago
	state     balancer.ServerState
	changed   time.Duration // when its state last did
	dead      bool          // its process is gone
	silent    bool          // it takes requests and says nothing
	sent      []arrival     // while cold
	slower    float64       // what a delayed slowdown divides by; 1: none
	slots     int           // in use
	computing work          // sharing the cores
	waiting   []*job
	virtual   float64 // work that each computing job has got since the beginning, in s
	since     time.Duration
	tick      uint64 // of the plan for the next finish

	// Of the delayed slowdown.
	mean      float64 // of requests held
	busyShare float64
	measured  time.Duration
	slowAt    time.Duration
	restSince time.Duration
}

// job is an attempt at a server.
type job struct {
	a        *attempt
	deadline time.Duration
	phases   []float64 // work before each call to the next tier, and after the last, in s
	phase    int
	finish   float64 // in virtual work
	done     float64 // work got
}

func newServer(w *World, tier, n int, cfg Tier) *Server {
	if cfg.Cores == 0 {
		cfg.Cores = 1
	}
	if cfg.Calls == 0 {
		cfg.Calls = 1
	}
	return &Server{w: w, tier: tier, id: fmt.Sprintf("t%d-%04d", tier, n), cfg: cfg, Speed: 1, slower: 1}
}

func (s *Server) entry() balancer.Server {
	return balancer.Server{ID: s.id, Zone: "z", Cell: 0, State: s.state, Size: 1, StartedAt: s.Boot}
}

// Held is how many requests it runs or keeps waiting.
func (s *Server) Held() int { return s.slots + len(s.waiting) }

// SetSpeed changes its speed from now on.
func (s *Server) SetSpeed(v float64) {
	s.settle()
	s.Speed = v
	s.replan()
}

// arrive takes a request or turns it away.
func (s *Server) arrive(a *attempt, deadline time.Duration) {
	s.Arrived++
	if s.Errors > 0 && s.w.rng.Float64() < s.Errors {
		a.running = true
		s.Erred++
		s.reply(a, balancer.Failure)
		return
	}
	if s.Refuses || s.slots >= s.cfg.Slots && len(s.waiting) >= s.cfg.Queue {
		s.reply(a, balancer.Overloaded)
		return
	}
	if s.dead {
		s.reply(a, balancer.Unreachable)
		return
	}
	if s.silent {
		a.running = true
		return
	}
	j := &job{a: a, deadline: deadline}
	phases := 1
	if s.next != nil {
		phases += s.cfg.Calls
	}
	mean := a.c.class.Work[s.tier].Seconds()
	if s.pushedOver(mean) {
		s.reply(a, balancer.Broken)
		return
	}
	total := mean * a.c.class.Dist.draw(s.w.rng)
	for range phases {
		j.phases = append(j.phases, total/float64(phases))
	}
	s.settle()
	if s.slots < s.cfg.Slots {
		s.start(j)
	} else {
		s.waiting = append(s.waiting, j)
	}
	s.replan()
}

func (s *Server) reply(a *attempt, e balancer.Ending) {
	s.w.after(s.w.plan.Wire, func() { a.end(e) })
}

// start gives a job a slot. settle comes before, replan after.
func (s *Server) start(j *job) {
	s.slots++
	j.a.running = true
	s.compute(j)
}

func (s *Server) compute(j *job) {
	j.finish = s.virtual + j.phases[j.phase]
	heap.Push(&s.computing, j)
}

// rate is the work that each computing job gets a second.
func (s *Server) rate() float64 {
	n := float64(len(s.computing))
	if n == 0 {
		return 0
	}
	r := s.Speed * s.warmth() * math.Min(1, s.cfg.Cores/n) / s.slower
	switch d := s.cfg.Slowdown; {
	case d.Kind == "proportional":
		r /= 1 + d.Factor*math.Max(0, float64(s.Held())-d.At)
	case d.Kind == "cliff" && float64(s.Held()) > d.At:
		r /= d.Factor
	}
	return r
}

// settle brings what the jobs have got up to now.
func (s *Server) settle() {
	dt := (s.w.now - s.since).Seconds()
	s.since = s.w.now
	got := dt * s.rate()
	s.virtual += got
	for _, j := range s.computing {
		j.done += got
	}
	s.judge()
}

// judge is the delayed slowdown: too many held on the average, and it is slower until it has rested.
func (s *Server) judge() {
	d := s.cfg.Slowdown
	if d.Kind != "delayed" {
		return
	}
	dt := (s.w.now - s.measured).Seconds()
	s.measured = s.w.now
	f := 1 - math.Exp(-dt/d.Over.Seconds())
	s.mean += f * (float64(s.Held()) - s.mean)
	s.busyShare += f * (math.Min(1, float64(len(s.computing))/s.cfg.Cores) - s.busyShare)
	if s.slower == 1 {
		if s.mean > d.At {
			s.slower, s.slowAt, s.restSince = d.Factor, s.w.now, -1
		}
		return
	}
	switch {
	case s.busyShare >= d.Below:
		s.restSince = -1
	case s.restSince < 0:
		s.restSince = s.w.now
	}
	if s.restSince >= 0 && s.w.now-s.restSince >= d.Rest || d.Most > 0 && s.w.now-s.slowAt >= d.Most {
		s.slower, s.mean = 1, float64(s.Held())
	}
}

// replan plans the next finish anew.
func (s *Server) replan() {
	s.tick++
	if len(s.computing) == 0 {
		return
	}
	tick := s.tick
	left := math.Max(0, s.computing[0].finish-s.virtual)
	due := time.Duration(left/s.rate()*float64(time.Second)) + 1
	if s.cfg.Slowdown.Kind == "delayed" || s.warmth() < 1 {
		due = min(due, 100*time.Millisecond) // the rate may change meanwhile
	}
	s.w.after(due, func() {
		if s.tick != tick {
			return
		}
		s.settle()
		for len(s.computing) > 0 && s.computing[0].finish <= s.virtual+1e-12 {
			s.finished(heap.Pop(&s.computing).(*job))
		}
		s.replan()
	})
}

// finished ends a phase of a job. The caller replans.
func (s *Server) finished(j *job) {
	if j.phase++; j.phase == len(j.phases) {
		s.end(j, balancer.Success)
		return
	}
	if j.a.gone && s.cfg.Looks {
		s.end(j, balancer.Failure)
		return
	}
	s.next.take(j.a.c.class, j.deadline, false, func(v verdict, _ time.Duration) {
		s.settle()
		if v == verdictServed {
			s.compute(j)
		} else {
			s.end(j, balancer.Failure)
		}
		s.replan()
	})
}

// end frees a job's slot for the next that waits.
func (s *Server) end(j *job, e balancer.Ending) {
	s.slots--
	sec := &s.w.Seconds[min(len(s.w.Seconds)-1, int(s.w.now/time.Second))]
	sec.WorkDone += j.done
	if j.a.gone || e != balancer.Success {
		sec.WorkWasted += j.done
	}
	if !j.a.gone {
		s.reply(j.a, e)
	}
	for len(s.waiting) > 0 && s.slots < s.cfg.Slots {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		if next.a.gone && s.cfg.Looks {
			continue
		}
		s.start(next)
	}
}

// work is the computing jobs, the first to finish first.
type work []*job

func (q work) Len() int           { return len(q) }
func (q work) Less(i, j int) bool { return q[i].finish < q[j].finish }
func (q work) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *work) Push(x any)        { *q = append(*q, x.(*job)) }
func (q *work) Pop() any {
	old := *q
	j := old[len(old)-1]
	*q = old[:len(old)-1]
	return j
}
