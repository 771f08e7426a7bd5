package emulator

import (
	"container/heap"
	"fmt"
	"math"
	"slices"
	"time"

	"cranegrade/balancer"
)

// Server is a server of a tier. The requests that it runs share its cores evenly (processor sharing).
type Server struct {
	Speed          float64       // times the nominal one; see SetSpeed
	ErrorShare     float64       // share of requests that are answered with an error at once
	RejectsAll     bool          // rejects each request at once
	Received       int           // attempts that reached it
	ErrorResponses int           // attempts that it answered with an error by ErrorShare
	StartedAt      time.Duration // of its latest start; 0 if that is long ago

	world  *World
	tier   int
	id     string
	config Tier
	next   *node // for its calls to the next tier; nil in the last one

	state          balancer.ServerState
	stateChangedAt time.Duration
	dead           bool // its process has ended
	silent         bool // accepts requests and never answers
	warmUpWork     []sentWork

	running   int     // requests that hold a place, also while they wait for the next tier
	computing jobHeap // running requests that share the cores
	waiting   []*job
	progress  float64       // work that each job that has always been computing would have got, in s
	updatedAt time.Duration // of progress
	schedule  uint64        // number of the latest scheduled finish; earlier ones are void

	delayed delayedSlowdown
}

// job is an attempt at a server.
type job struct {
	attempt  *attempt
	deadline time.Duration
	phases   []float64 // work before each call to the next tier, and after the last, in s
	phase    int
	finishAt float64 // progress of the server at which the phase ends
	done     float64 // work that it got, in s
}

// newServer returns a server that runs and has nothing to do.
func newServer(w *World, tier, index int, config Tier) *Server {
	if config.Cores == 0 {
		config.Cores = 1
	}
	if config.DownstreamCalls == 0 {
		config.DownstreamCalls = 1
	}
	return &Server{
		world:   w,
		tier:    tier,
		id:      fmt.Sprintf("t%d-%04d", tier, index),
		config:  config,
		Speed:   1,
		delayed: delayedSlowdown{factor: 1},
	}
}

// entry is the server on the endpoint list.
func (s *Server) entry() balancer.Server {
	return balancer.Server{
		ID:        s.id,
		Zone:      "z",
		Cell:      0,
		State:     s.state,
		Size:      1,
		StartedAt: s.StartedAt,
	}
}

// load is how many requests are at the server, running or waiting.
func (s *Server) load() float64 { return float64(s.running + len(s.waiting)) }

// SetSpeed changes the speed from now on.
func (s *Server) SetSpeed(speed float64) {
	s.update()
	s.Speed = speed
	s.scheduleFinish()
}

// SetSilent makes the server accept requests and never answer, or ends that.
func (s *Server) SetSilent(silent bool) { s.silent = silent }

// Reboot makes the server lose all requests and go through slow start. It stays listed, with its new start.
func (s *Server) Reboot() {
	s.kill()
	s.dead = false
	s.silent = false
	s.StartedAt = s.world.now
	s.warmUpWork = nil
	s.world.publish(s)
}

// kill ends the server's process, and all requests there.
func (s *Server) kill() {
	s.update()
	for _, j := range slices.Concat([]*job(s.computing), s.waiting) {
		j.attempt.end(balancer.Broken)
	}
	s.computing = nil
	s.waiting = nil
	s.running = 0
	s.dead = true
	s.schedule++
}

// receive runs a request, queues it or rejects it.
func (s *Server) receive(a *attempt, deadline time.Duration) {
	s.Received++
	if s.ErrorShare > 0 && s.world.random.Float64() < s.ErrorShare {
		a.ran = true
		s.ErrorResponses++
		s.reply(a, balancer.Failure)
		return
	}
	if s.RejectsAll || s.running >= s.config.Concurrency && len(s.waiting) >= s.config.QueueLimit {
		s.reply(a, balancer.Overloaded)
		return
	}
	if s.dead {
		s.reply(a, balancer.Unreachable)
		return
	}
	if s.silent {
		a.ran = true
		return
	}
	mean := a.call.class.Work[s.tier].Seconds()
	if s.failsByOverload(mean) {
		s.reply(a, balancer.Broken)
		return
	}
	j := &job{attempt: a, deadline: deadline, phases: s.drawPhases(a.call.class, mean)}
	s.update()
	if s.running < s.config.Concurrency {
		s.start(j)
	} else {
		s.waiting = append(s.waiting, j)
	}
	s.scheduleFinish()
}

// drawPhases draws the work of a request, in even parts between its calls to the next tier.
func (s *Server) drawPhases(class *Class, mean float64) []float64 {
	count := 1
	if s.next != nil {
		count += s.config.DownstreamCalls
	}
	total := mean * class.Distribution.draw(s.world.random)
	return slices.Repeat([]float64{total / float64(count)}, count)
}

// reply ends an attempt, of which its node hears after the network delay.
func (s *Server) reply(a *attempt, ending balancer.Ending) {
	s.world.After(s.world.config.NetworkDelay, func() { a.end(ending) })
}

// start lets a job run. The caller calls update before and scheduleFinish after it, as for compute.
func (s *Server) start(j *job) {
	s.running++
	j.attempt.ran = true
	s.compute(j)
}

// compute begins the present phase of a job.
func (s *Server) compute(j *job) {
	j.finishAt = s.progress + j.phases[j.phase]
	heap.Push(&s.computing, j)
}

// rate is the work that each computing job gets a second.
func (s *Server) rate() float64 {
	n := float64(len(s.computing))
	if n == 0 {
		return 0
	}
	rate := s.Speed * s.slowStartFactor() * math.Min(1, s.config.Cores/n) / s.delayed.factor
	switch slowdown := s.config.Slowdown; {
	case slowdown.Kind == ProportionalSlowdown:
		rate /= 1 + slowdown.Factor*math.Max(0, s.load()-slowdown.Threshold)
	case slowdown.Kind == CliffSlowdown && s.load() > slowdown.Threshold:
		rate /= slowdown.Factor
	}
	return rate
}

// update brings the progress of the jobs up to now, at the rate since the last update. It comes before each change that affects
// the rate.
func (s *Server) update() {
	elapsed := (s.world.now - s.updatedAt).Seconds()
	s.updatedAt = s.world.now
	progress := elapsed * s.rate()
	s.progress += progress
	for _, j := range s.computing {
		j.done += progress
	}
	s.updateDelayedSlowdown()
}

// rateCheckInterval is how often jobs are rescheduled while the rate changes by itself.
const rateCheckInterval = 100 * time.Millisecond

// finishTolerance is how close to its end a job counts as finished, in s of work, against rounding.
const finishTolerance = 1e-12

// scheduleFinish schedules the next end of a phase in place of the one that was scheduled before.
func (s *Server) scheduleFinish() {
	s.schedule++
	if len(s.computing) == 0 {
		return
	}
	scheduled := s.schedule
	remaining := math.Max(0, s.computing[0].finishAt-s.progress)
	delay := time.Duration(remaining/s.rate()*float64(time.Second)) + 1
	if s.config.Slowdown.Kind == DelayedSlowdown || s.slowStartFactor() < 1 {
		delay = min(delay, rateCheckInterval)
	}
	s.world.After(delay, func() {
		if s.schedule != scheduled {
			return
		}
		s.update()
		for len(s.computing) > 0 && s.computing[0].finishAt <= s.progress+finishTolerance {
			s.phaseFinished(heap.Pop(&s.computing).(*job))
		}
		s.scheduleFinish()
	})
}

// phaseFinished ends a job, or makes its next call to the next tier. The caller calls scheduleFinish.
func (s *Server) phaseFinished(j *job) {
	j.phase++
	if j.phase == len(j.phases) {
		s.finish(j, balancer.Success)
		return
	}
	if j.attempt.ended && s.config.DropsAbandoned {
		s.finish(j, balancer.Failure)
		return
	}
	s.next.accept(j.attempt.call.class, j.deadline, false, func(result callResult, _ time.Duration) {
		s.update()
		if result == served {
			s.compute(j)
		} else {
			s.finish(j, balancer.Failure)
		}
		s.scheduleFinish()
	})
}

// finish ends a job, and starts the next that waits.
func (s *Server) finish(j *job, ending balancer.Ending) {
	s.running--
	seconds := s.world.Seconds
	counts := &seconds[min(len(seconds)-1, int(s.world.now/time.Second))]
	counts.WorkDone += j.done
	if j.attempt.ended || ending != balancer.Success {
		counts.WorkWasted += j.done
	}
	if !j.attempt.ended {
		s.reply(j.attempt, ending)
	}
	for len(s.waiting) > 0 && s.running < s.config.Concurrency {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		if next.attempt.ended && s.config.DropsAbandoned {
			continue
		}
		s.start(next)
	}
}

// jobHeap is the computing jobs, the first to finish first.
type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].finishAt < h[j].finishAt }
func (h jobHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *jobHeap) Push(j any)        { *h = append(*h, j.(*job)) }

func (h *jobHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
