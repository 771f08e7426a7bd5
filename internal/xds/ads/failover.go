package ads

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// FailoverConfig sets how control planes are tried. Zero values take the defaults, which but for the
// number of servers are given here.
type FailoverConfig struct {
	Servers              int           // number of control planes, in order of priority; no default
	BaseDelay            time.Duration // backoff after the first failure; 200 ms
	MaxDelay             time.Duration // longest backoff; 30 s
	Multiplier           float64       // from one backoff to the next; 1.6
	Jitter               float64       // share by which a backoff is randomly shortened or lengthened; 0.2
	FirstResponseTimeout time.Duration // within which a stream must bring a response before the next server is tried too; 5 s
}

const (
	defaultBaseDelay            = 200 * time.Millisecond
	defaultMaxDelay             = 30 * time.Second
	defaultMultiplier           = 1.6
	defaultJitter               = 0.2
	defaultFirstResponseTimeout = 5 * time.Second
)

// withDefaults fills in the defaults.
func (c FailoverConfig) withDefaults() FailoverConfig {
	setDefault(&c.BaseDelay, defaultBaseDelay)
	setDefault(&c.MaxDelay, defaultMaxDelay)
	setDefault(&c.Multiplier, defaultMultiplier)
	setDefault(&c.Jitter, defaultJitter)
	setDefault(&c.FirstResponseTimeout, defaultFirstResponseTimeout)
	return c
}

func setDefault[T time.Duration | float64](value *T, to T) {
	if *value == 0 {
		*value = to
	}
}

// randomStream is the PCG stream of the jitter: one seed gives the same delays in each run.
const randomStream = 0xad5

// noServer is the active server before any has responded.
const noServer = -1

// Failover decides which control plane to use. It prefers the first that works. While that one does not,
// the next is tried as well; a better one keeps being tried and is returned to once it has responded.
//
// It is a state machine like Machine and belongs to one goroutine. Its randomness comes from the seed.
type Failover struct {
	cfg     FailoverConfig
	random  *rand.Rand
	servers []serverState
	active  int // the server whose responses count, or noServer
}

// serverState is the state of one control plane.
type serverState struct {
	phase      phase
	phaseSince time.Duration
	retryAt    time.Duration // end of the backoff, while backingOff
	backoff    time.Duration // the latest, without jitter
	// failedUnanswered says that the latest attempt failed before it brought a response.
	failedUnanswered bool
}

type phase int

const (
	idle       phase = iota // not needed
	connecting              // a stream was asked for and has brought nothing yet
	responding              // the stream has brought a response
	backingOff              // until the next attempt
)

// Step is something that the caller must do about a control plane.
type Step struct {
	Server int // index in order of priority
	Kind   StepKind
}

// StepKind is what a step asks for.
type StepKind int

// Kinds of steps.
const (
	OpenStream  StepKind = iota // open a stream to the server
	CloseStream                 // close the stream; its end is not to be reported
	UseServer                   // from now on the responses of this server count
)

// String names the kind.
func (k StepKind) String() string {
	switch k {
	case OpenStream:
		return "open stream"
	case CloseStream:
		return "close stream"
	case UseServer:
		return "use server"
	}
	return fmt.Sprintf("StepKind(%d)", int(k))
}

// NewFailover returns a failover that has not opened a stream yet.
func NewFailover(cfg FailoverConfig, seed uint64) *Failover {
	return &Failover{
		cfg:     cfg.withDefaults(),
		random:  rand.New(rand.NewPCG(seed, randomStream)),
		servers: make([]serverState, cfg.Servers),
		active:  noServer,
	}
}

// Active returns the index of the control plane whose responses count; -1 before any has responded.
func (f *Failover) Active() int { return f.active }

// Start opens a stream to the first server.
func (f *Failover) Start(now time.Duration) []Step { return f.Advance(now) }

// StreamResponded notes that a server's stream has brought a response. Only the first response of a stream has an effect.
func (f *Failover) StreamResponded(now time.Duration, server int) (steps []Step) {
	s := &f.servers[server]
	if s.phase != connecting {
		return nil
	}
	s.phase, s.phaseSince, s.failedUnanswered = responding, now, false
	if f.active != server {
		f.active = server
		steps = append(steps, Step{server, UseServer})
	}
	// Servers of lower priority are no longer needed.
	for i := server + 1; i < len(f.servers); i++ {
		if lower := f.servers[i].phase; lower == connecting || lower == responding {
			steps = append(steps, Step{i, CloseStream})
		}
		f.servers[i] = serverState{}
	}
	return append(steps, f.Advance(now)...)
}

// StreamEnded notes that a server's stream has ended, or could not be opened.
func (f *Failover) StreamEnded(now time.Duration, server int) []Step {
	s := &f.servers[server]
	if s.phase != connecting && s.phase != responding {
		return nil
	}
	// A stream that outlived the backoff before it was a success, so the backoff starts over. A server that
	// flaps faster backs off longer each time, although it responds.
	if s.phase == responding && now-s.phaseSince > max(s.backoff, f.cfg.BaseDelay) {
		s.backoff = 0
	}
	s.failedUnanswered = s.phase == connecting
	s.backoff = min(f.cfg.MaxDelay, max(f.cfg.BaseDelay, time.Duration(float64(s.backoff)*f.cfg.Multiplier)))
	s.phase, s.phaseSince = backingOff, now
	jitter := 1 + f.cfg.Jitter*(2*f.random.Float64()-1)
	s.retryAt = now + time.Duration(float64(s.backoff)*jitter)
	return f.Advance(now)
}

// Advance opens the streams that are due.
func (f *Failover) Advance(now time.Duration) (steps []Step) {
	for i := range f.servers {
		s := &f.servers[i]
		if s.phase == idle || s.phase == backingOff && now >= s.retryAt {
			s.phase, s.phaseSince = connecting, now
			steps = append(steps, Step{i, OpenStream})
		}
		// Up to the active server all are tried: a better one may work again.
		if i >= f.active && f.suffices(now, s) {
			break
		}
	}
	return steps
}

// suffices reports whether no server of lower priority is needed beside this one: it responds, or may still
// respond in time, or did respond before its stream broke and so is tried again by itself first.
func (f *Failover) suffices(now time.Duration, s *serverState) bool {
	switch s.phase {
	case responding:
		return true
	case backingOff:
		return !s.failedUnanswered
	case connecting:
		return !s.failedUnanswered && now-s.phaseSince < f.cfg.FirstResponseTimeout
	case idle:
	}
	return false
}

// NextDeadline returns when Advance has something to do; false if never.
func (f *Failover) NextDeadline() (at time.Duration, ok bool) {
	consider := func(t time.Duration) {
		if !ok || t < at {
			at, ok = t, true
		}
	}
	for i := range f.servers {
		s := &f.servers[i]
		switch {
		case s.phase == backingOff:
			consider(s.retryAt)
		case s.phase == connecting && !s.failedUnanswered && i+1 < len(f.servers) && f.servers[i+1].phase == idle:
			consider(s.phaseSince + f.cfg.FirstResponseTimeout)
		}
	}
	return at, ok
}
