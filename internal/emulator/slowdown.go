package emulator

import (
	"math"
	"time"
)

// delayedSlowdown is the state of a DelayedSlowdown.
type delayedSlowdown struct {
	factor       float64 // how many times slower the server is; 1 if it is not slowed down
	meanLoad     float64
	busyShare    float64 // moving mean
	updatedAt    time.Duration
	slowSince    time.Duration
	restingSince time.Duration // negative if it is not resting
}

// updateDelayedSlowdown slows the server down when its mean load is too high, until it has rested.
func (s *Server) updateDelayedSlowdown() {
	config, d := s.config.Slowdown, &s.delayed
	if config.Kind != DelayedSlowdown {
		return
	}
	now := s.world.now
	elapsed := (now - d.updatedAt).Seconds()
	d.updatedAt = now
	weight := 1 - math.Exp(-elapsed/config.AveragingTime.Seconds())
	d.meanLoad += weight * (s.load() - d.meanLoad)
	d.busyShare += weight * (math.Min(1, float64(len(s.computing))/s.config.Cores) - d.busyShare)
	if d.factor == 1 {
		if d.meanLoad > config.Threshold {
			d.factor = config.Factor
			d.slowSince = now
			d.restingSince = -1
		}
		return
	}
	switch {
	case d.busyShare >= config.RestShare:
		d.restingSince = -1
	case d.restingSince < 0:
		d.restingSince = now
	}
	rested := d.restingSince >= 0 && now-d.restingSince >= config.RestTime
	if rested || config.MaxDuration > 0 && now-d.slowSince >= config.MaxDuration {
		d.factor = 1
		d.meanLoad = s.load()
	}
}

// sentWork is work that was sent to a server during its slow start.
type sentWork struct {
	at   time.Duration
	mean float64 // in s
}

// slowStartFactor is the share of its speed that the server has.
func (s *Server) slowStartFactor() float64 {
	config, age := s.config.SlowStart, s.world.now-s.StartedAt
	if s.StartedAt <= 0 || config.Window <= 0 || age >= config.Window {
		return 1
	}
	return config.InitialShare + (1-config.InitialShare)*float64(age)/float64(config.Window)
}

// failsByOverload adds up the mean work (s) that is sent to a server during its slow start, and kills the server when that
// is too much for it.
func (s *Server) failsByOverload(mean float64) bool {
	config, now := s.config.SlowStart, s.world.now
	if s.slowStartFactor() >= 1 || config.OverloadWindow <= 0 {
		s.warmUpWork = nil
		return false
	}
	s.warmUpWork = append(s.warmUpWork, sentWork{at: now, mean: mean})
	for s.warmUpWork[0].at < now-config.OverloadWindow {
		s.warmUpWork = s.warmUpWork[1:]
	}
	total := 0.0
	for _, work := range s.warmUpWork {
		total += work.mean
	}
	if total <= config.OverloadFactor*s.slowStartFactor()*s.Speed*s.config.Cores*config.OverloadWindow.Seconds() {
		return false
	}
	s.world.violation("at %v %s, in slow start since %v, was pushed over by %.2f s of work in %v",
		now, s.id, s.StartedAt, total, config.OverloadWindow)
	s.kill()
	return true
}
