package fake

import "time"

// SlowStart describes how a server behaves after a restart: its capacity rises linearly from a share of the full one, and it crashes
// if it receives more than a multiple of its present capacity.
type SlowStart struct {
	InitialShare   float64       // of the full capacity, at the start; 0: the server has full capacity at once
	Duration       time.Duration // until the server has its full capacity
	OverloadFactor float64       // the multiple of the present capacity above which the server crashes
	OverloadWindow time.Duration // the span over which arrivals are counted for that
}

// warmupCrashSlack is the number of arrivals by which random bursts may exceed the limit of a server that is warming up.
const warmupCrashSlack = 2

// CapacityShare is the share of its full capacity that a server has at an age since its restart.
func (s SlowStart) CapacityShare(age time.Duration) float64 {
	if s.InitialShare == 0 || age >= s.Duration {
		return 1
	}
	return s.InitialShare + (1-s.InitialShare)*float64(age)/float64(s.Duration)
}

// capacityShare is the share of its full capacity that the server has. The first incarnation started long ago and is warm. The caller
// holds mu.
func (s *Server) capacityShare(now time.Duration) float64 {
	if s.incarnation == 0 {
		return 1
	}
	return s.config.SlowStart.CapacityShare(now - s.startedAt)
}

// exceedsWarmupLimit counts an arrival and reports whether it makes a server that is warming up crash. The caller holds mu.
func (s *Server) exceedsWarmupLimit(now time.Duration) bool {
	share := s.capacityShare(now)
	if share == 1 || s.crashedInWarmup {
		s.recentArrivals = nil
		return false
	}
	window := s.config.SlowStart.OverloadWindow
	s.recentArrivals = append(s.recentArrivals, now)
	for now-s.recentArrivals[0] > window {
		s.recentArrivals = s.recentArrivals[1:]
	}
	limit := s.config.SlowStart.OverloadFactor*share*s.capacity()*window.Seconds() + warmupCrashSlack
	if float64(len(s.recentArrivals)) <= limit {
		return false
	}
	s.crashedInWarmup = true
	crash := WarmupCrash{Server: s.config.ID, Incarnation: s.incarnation, At: now}
	s.recorder.update(func() { s.recorder.warmupCrashes = append(s.recorder.warmupCrashes, crash) })
	return true
}
