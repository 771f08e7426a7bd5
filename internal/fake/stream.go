package fake

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// defaultMaxOpen is the number of requests of a stream that may be open at a time.
const defaultMaxOpen = 1000

// Stream is an open-loop load: requests arrive at random times (a Poisson process), whatever became of the ones before.
type Stream struct {
	Name          string // in the records; "": the class's name
	Host          string
	Class         Class
	Rate          float64       // requests a second
	Duration      time.Duration // how long requests arrive
	MaxOpen       int           // requests that may be open at a time; further ones are not sent, and counted. 0: 1,000
	BodyBytes     int           // size of the body, for classes that are not safe
	Path          string        // "": /CLASS/NUMBER
	BurstInterval time.Duration // if set, requests arrive in bursts at this interval in place of a Poisson process
	Account       string        // the tenant, sent as X-Account; "": not sent
}

// name is the name in the records.
func (s Stream) name() string {
	if s.Name != "" {
		return s.Name
	}
	return s.Class.Name
}

// path is the path of a request.
func (s Stream) path(id string) string {
	if s.Path != "" {
		return s.Path
	}
	return "/" + s.Class.Name + "/" + id
}

// RunStreams calls do for each request of the streams at its time, on a goroutine of its own, and unsent for each that is not sent
// because too many are open. It returns once no more requests arrive, or ctx has ended, and all calls of do have returned.
func RunStreams(ctx context.Context, seed uint64, do, unsent func(Stream), streams ...Stream) {
	rng := rand.New(rand.NewPCG(seed, 0xd21e))
	var running sync.WaitGroup
	for _, s := range streams {
		s.Name = s.name()
		streamRNG := rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))
		running.Go(func() { runStream(ctx, s, streamRNG, do, unsent) })
	}
	running.Wait()
}

func runStream(ctx context.Context, s Stream, rng *rand.Rand, do, unsent func(Stream)) {
	maxOpen := s.MaxOpen
	if maxOpen == 0 {
		maxOpen = defaultMaxOpen
	}
	open := make(chan struct{}, maxOpen)
	var running sync.WaitGroup
	defer running.Wait()
	start := time.Now()
	due := start
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		due = due.Add(s.nextInterval(rng))
		if due.Sub(start) > s.Duration {
			return
		}
		timer.Reset(time.Until(due))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		for range s.burstSize() {
			select {
			case open <- struct{}{}:
				running.Go(func() {
					do(s)
					<-open
				})
			default:
				unsent(s)
			}
		}
	}
}

// nextInterval is the time until the next request or burst.
func (s Stream) nextInterval(rng *rand.Rand) time.Duration {
	if s.BurstInterval > 0 {
		return s.BurstInterval
	}
	return time.Duration(rng.ExpFloat64() / s.Rate * float64(time.Second))
}

// burstSize is the number of requests that arrive at once.
func (s Stream) burstSize() int {
	if s.BurstInterval > 0 {
		return max(1, int(s.Rate*s.BurstInterval.Seconds()))
	}
	return 1
}
