package follower

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ms = time.Millisecond

// sidecar plays the shell: it keeps what the actions made of the connections.
type sidecar struct {
	t     *testing.T
	f     *Follower
	now   time.Duration
	open  map[DialID]string // address by dial, until closed or dropped
	home  DialID
	asked DialID // the latest Confirm that was not answered
	last  map[string]time.Duration
	trail []string
}

func newSidecar(t *testing.T, seeds ...string) *sidecar {
	s := &sidecar{t: t, open: map[DialID]string{}, last: map[string]time.Duration{}}
	s.f = New(0, seeds)
	s.carryOut()
	return s
}

func (s *sidecar) carryOut() {
	for _, a := range s.f.Take() {
		s.trail = append(s.trail, fmt.Sprint(s.now, a))
		switch a.Kind {
		case Dial:
			for _, addr := range s.open {
				assert.Assert(s.t, addr != a.Addr, "two dials of %s", addr)
			}
			s.open[a.ID], s.last[a.Addr] = a.Addr, s.now
		case Follow:
			_, is := s.open[a.ID]
			assert.Assert(s.t, is && s.home == 0, "follows %v while %v is followed", a.ID, s.home)
			s.home = a.ID
		case Confirm:
			assert.Equal(s.t, a.ID, s.home)
			s.asked = a.ID
		case Drop:
			s.gone(a.ID)
		}
	}
	assert.Equal(s.t, s.f.Home(), s.home)
	assert.Assert(s.t, s.f.Next() > s.now, "it is due at once again")
}

func (s *sidecar) gone(id DialID) {
	delete(s.open, id)
	if id == s.home {
		s.home, s.asked = 0, 0
	}
}

// to lets time pass up to a time, with the ticks that are due.
func (s *sidecar) to(at time.Duration) {
	for s.f.Next() <= at {
		s.now = s.f.Next()
		s.f.Tick(s.now)
		s.carryOut()
	}
	s.now = at
	s.f.Tick(at)
	s.carryOut()
}

func (s *sidecar) id(addr string) DialID {
	for id, a := range s.open {
		if a == addr {
			return id
		}
	}
	return 0
}

func (s *sidecar) spoke(addr string) { s.f.Spoke(s.now, s.id(addr)); s.carryOut() }

func (s *sidecar) beat(addr string, inTouch bool) {
	s.f.Heartbeat(s.now, s.id(addr), inTouch)
	s.carryOut()
}

func (s *sidecar) closed(addr string) {
	id := s.id(addr)
	s.gone(id)
	s.f.Closed(s.now, id)
	s.carryOut()
}

func (s *sidecar) confirmed(some bool) {
	id := s.asked
	s.asked = 0
	s.f.Confirmed(s.now, id, some)
	s.carryOut()
}

func (s *sidecar) homeIs(addr string) {
	s.t.Helper()
	assert.Equal(s.t, s.open[s.home], addr)
}

func (s *sidecar) reachable() bool {
	ok, until := s.f.Reachable()
	return ok || s.now < until
}

// settled follows a, which is in touch and confirmed.
func settled(t *testing.T) *sidecar {
	s := newSidecar(t, "a", "b", "c")
	s.spoke("a")
	s.beat("a", true)
	s.confirmed(true)
	return s
}

func TestFirstThatSpeaksIsFollowed(t *testing.T) {
	s := newSidecar(t, "a", "b", "c")
	assert.Equal(t, len(s.open), 3, "all are dialled side by side")
	assert.Assert(t, !s.reachable())
	s.to(5 * ms)
	s.spoke("b")
	s.homeIs("b")
	assert.Equal(t, s.asked, s.home, "its table is asked for at once")
	s.spoke("a")
	s.homeIs("b")
	assert.Equal(t, len(s.open), 3, "the others are kept until it is known to be in touch")
	s.beat("b", true)
	assert.Equal(t, len(s.open), 1)
	assert.Assert(t, s.reachable())
}

func TestOneInTouchIsPreferred(t *testing.T) {
	s := newSidecar(t, "a", "b", "c")
	s.spoke("a")
	s.beat("a", false)
	s.spoke("b")
	s.beat("b", false)
	s.homeIs("a")
	s.spoke("c")
	s.beat("c", true)
	s.homeIs("c")
	assert.Equal(t, len(s.open), 1)
}

// The bound of silence, to the nanosecond: what keeps a home and what does not, with requests that wait and without.
func TestSilence(t *testing.T) {
	s := settled(t)
	s.to(SilenceBound - 1)
	s.homeIs("a")
	s.f.Heard(s.now, s.home, s.now) // anything heard counts from when it came
	s.carryOut()
	s.to(2*SilenceBound - 2)
	s.homeIs("a")
	s.to(2*SilenceBound - 1)
	assert.Equal(t, s.home, DialID(0))
	assert.Assert(t, s.id("b") != 0 && s.id("c") != 0 && s.id("a") == 0, "the others are dialled at once, and it is not")
	s.closed("b")
	s.closed("c")
	s.to(s.now + LeftRest - 1)
	assert.Equal(t, s.id("a"), DialID(0))
	s.to(s.now + 1)
	assert.Assert(t, s.id("a") != 0)

	s = settled(t)
	s.to(100 * ms)
	s.f.Waiting(s.now, true)
	s.to(WaitingSilence - 1)
	s.homeIs("a")
	s.to(WaitingSilence)
	assert.Equal(t, s.home, DialID(0))

	s = settled(t)
	s.to(WaitingSilence - 10*ms)
	s.f.Waiting(s.now, true) // it has been silent for long, but these have not waited yet
	s.carryOut()
	s.to(WaitingSilence - 10*ms + WaitingAfter - 1)
	s.homeIs("a")
	s.to(s.now + 1)
	assert.Equal(t, s.home, DialID(0))

	s = settled(t)
	s.f.Waiting(s.now, true)
	s.f.Waiting(s.now, false)
	s.carryOut()
	s.to(SilenceBound - 1)
	s.homeIs("a")
}

// A home that has lost its leader is kept until another one is in touch; requests are refused once the grace is over.
func TestOutOfTouch(t *testing.T) {
	s := settled(t)
	s.to(100 * ms)
	s.beat("a", false)
	assert.Assert(t, s.reachable())
	s.to(100*ms + OutOfTouch - 1)
	assert.Equal(t, len(s.open), 1)
	s.to(100*ms + OutOfTouch)
	assert.Equal(t, len(s.open), 3)
	s.homeIs("a")
	s.to(100*ms + Grace - 1)
	assert.Assert(t, s.reachable())
	s.to(100*ms + Grace)
	assert.Assert(t, !s.reachable())
	s.beat("a", false)
	s.spoke("b")
	s.beat("b", false)
	s.homeIs("a")
	s.beat("a", true) // an election that has ended
	assert.Assert(t, s.reachable())
	assert.Equal(t, len(s.open), 1)
	s.beat("a", false)
	s.to(s.now + OutOfTouch)
	s.spoke("c")
	s.beat("c", true)
	s.homeIs("c")
	assert.Equal(t, s.asked, s.home, "what the new one tells is confirmed, too")
	assert.Assert(t, s.reachable())
	assert.Equal(t, s.id("a"), DialID(0))
}

// A home whose connection ends: the others are dialled at once, and it again after a pause that grows and is bounded.
func TestHomeEnds(t *testing.T) {
	s := settled(t)
	s.to(50 * ms)
	s.closed("a")
	assert.Assert(t, s.reachable(), "requests wait for another")
	assert.Equal(t, s.last["b"], s.now)
	assert.Equal(t, s.last["c"], s.now)
	for _, rest := range []time.Duration{FirstRest, 2 * FirstRest, 4 * FirstRest, MostRest, MostRest} {
		at := s.now
		s.to(at + rest - 1)
		assert.Assert(t, s.last["a"] <= at)
		s.to(at + rest)
		assert.Equal(t, s.last["a"], s.now)
		s.closed("a")
	}
	s.to(50*ms + Grace)
	assert.Assert(t, !s.reachable())
}

func TestDialThatDoesNotSpeak(t *testing.T) {
	s := newSidecar(t, "a")
	first := s.id("a")
	s.to(DialTimeout - 1)
	assert.Equal(t, s.id("a"), first)
	s.to(DialTimeout)
	assert.Assert(t, s.id("a") != 0 && s.id("a") != first)
	s.f.Spoke(s.now, first) // late, of a dial that was given up
	s.carryOut()
	assert.Equal(t, s.home, DialID(0))
}

// The members told last are dialled, also where no seed is right any more, and a home that is no member stays until it is left.
func TestMembers(t *testing.T) {
	s := settled(t)
	s.f.Members(s.now, 5, []string{"d", "e"})
	s.f.Members(s.now, 4, []string{"x"})
	s.f.Members(s.now, 6, nil)
	s.f.Seeds(s.now, []string{"y"})
	s.carryOut()
	s.homeIs("a")
	s.closed("a")
	for _, addr := range []string{"d", "e", "y"} {
		assert.Assert(t, s.id(addr) != 0, addr)
	}
	assert.Assert(t, s.id("b") == 0 && s.id("x") == 0)
	s.f.Seeds(s.now, []string{"z"})
	s.carryOut()
	assert.Assert(t, s.id("y") == 0 && s.id("z") != 0)
}

func TestConfirm(t *testing.T) {
	s := newSidecar(t, "a", "b")
	s.spoke("a")
	s.confirmed(false)
	assert.Assert(t, !s.reachable())
	s.to(ConfirmRest - 1)
	assert.Equal(t, s.asked, DialID(0))
	s.to(ConfirmRest)
	assert.Equal(t, s.asked, s.home)
	old := s.asked
	s.closed("a")
	s.spoke("b")
	s.f.Confirmed(s.now, old, true) // the answer of one that is left counts for nothing
	s.carryOut()
	assert.Assert(t, !s.reachable())
	assert.Equal(t, s.asked, s.home)
	s.confirmed(true)
	assert.Assert(t, s.reachable(), "a majority stood behind it")
	assert.Equal(t, len(s.open), 1)
}

// Random events: at most one dial of an address, one home at a time, never due at once (sidecar.carryOut checks these); while
// there is no home every address is dialled again soon, and the same events give the same actions.
func TestRandomEvents(t *testing.T) {
	play := func(seed uint64) []string {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := newSidecar(t, "a", "b", "c")
		addrs := []string{"a", "b", "c", "d"}
		for range 2000 {
			s.to(s.now + time.Duration(rng.Int64N(int64(200*ms))))
			addr := addrs[rng.IntN(len(addrs))]
			switch rng.IntN(10) {
			case 0, 1:
				s.spoke(addr)
			case 2, 3:
				s.beat(addr, true)
			case 4:
				s.beat(addr, false)
			case 5, 6:
				if s.id(addr) != 0 {
					s.closed(addr)
				}
			case 7:
				s.f.Waiting(s.now, rng.IntN(2) == 0)
				s.carryOut()
			case 8:
				s.f.Members(s.now, rng.Uint64N(100), addrs[:1+rng.IntN(4)])
				s.carryOut()
			case 9:
				if s.asked != 0 {
					s.confirmed(rng.IntN(2) == 0)
				}
			}
			if s.home == 0 {
				for _, c := range s.f.candidates {
					assert.Assert(t, c.id != 0 || c.retryAt <= s.now+LeftRest, "%s is not dialled again", c.addr)
				}
			}
		}
		return s.trail
	}
	for seed := range uint64(30) {
		assert.DeepEqual(t, play(seed), play(seed))
	}
}
