package adminstate

import (
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A server is down from the first set-down until it is set up, also if the clock is set back, and then counts as started.
func TestServerIsDownUntilSetUp(t *testing.T) {
	var s State
	if s.SetServer("a", false, 1); s.IsDown("a") || len(s.Servers) != 0 {
		t.Error("a set-up of a server that is not down is remembered")
	}
	s.SetServer("a", true, 10)
	s.SetServer("a", true, 20)
	if !s.IsDown("a") || s.IsDown("b") || s.Servers["a"].At != 10 {
		t.Errorf("after two commands: %+v", s)
	}
	s.SetServer("a", false, 5) // the clock was set back
	if s.IsDown("a") || s.Servers["a"].At != 11 {
		t.Errorf("after one set-up: %+v", s)
	}
	for boot, want := range map[time.Duration]time.Duration{0: 11, 10: 11, 12: 12} {
		if b := s.EffectiveBoot("a", boot); b != want {
			t.Errorf("listed start %d: %d, want %d", boot, b, want)
		}
	}
	if s.EffectiveBoot("b", 3) != 3 {
		t.Error("a server that was never down has another start")
	}
}

// The number of servers that are down is bounded, and overrides that were revoked are forgotten to make room.
func TestNumberOfServersDownIsBounded(t *testing.T) {
	var s State
	for i := range MaxServersDown {
		if err := s.SetServer(fmt.Sprint(i), true, time.Duration(i+1)); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.SetServer("more", true, MaxServersDown+1); !errors.Is(err, ErrTooManyDown) {
		t.Errorf("one more: %v", err)
	}
	s.SetServer("0", false, MaxServersDown+2)
	if err := s.SetServer("more", true, MaxServersDown+3+revokedRetention); err != nil || len(s.Servers) != MaxServersDown {
		t.Errorf("%v, %d kept", err, len(s.Servers))
	}
}

// Whatever commands two processes get, and however often and in whatever order they exchange their states, both end in the
// same state, in which the latest command about each server holds.
func TestStatesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var side [2]State
		for i := range rapid.IntRange(1, 30).Draw(t, "commands") {
			at, now := rapid.IntRange(0, 1).Draw(t, "side"), time.Duration(i/2+1)
			on := rapid.Bool().Draw(t, "on")
			if rapid.IntRange(0, 4).Draw(t, "drain") == 0 {
				side[at].SetDrain(on, now)
			} else {
				side[at].SetServer(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"), on, now)
			}
			if rapid.Bool().Draw(t, "exchange") {
				side[1-at].Merge(side[at].Clone())
			}
		}
		a, b := side[0].Clone(), side[1].Clone()
		a.Merge(side[1])
		b.Merge(side[0])
		bothWithoutServers := len(a.Servers) == 0 && len(b.Servers) == 0 && a.Drain == b.Drain // one may be nil
		if !reflect.DeepEqual(a, b) && !bothWithoutServers {
			t.Fatalf("%+v and %+v", a, b)
		}
		if changed := a.Merge(b); len(changed) > 0 {
			t.Fatalf("merged again: %v", changed)
		}
		for id, o := range a.Servers {
			for _, s := range side {
				if w, is := s.Servers[id]; is && w.At > o.At {
					t.Fatalf("%s: %+v held before %+v", id, o, w)
				}
			}
		}
	})
}

// The oldest servers are forgotten first, one that leaves twice is counted once, and Export prefers the latest.
func TestSeenServersForgetsTheOldest(t *testing.T) {
	s := NewSeenServers(3)
	for _, id := range []string{"a", "b", "a", "c", "d"} {
		s.Add(id)
	}
	if s.Has("a") || !s.Has("b") || !s.Has("c") || !s.Has("d") || len(s.counts) != 3 {
		t.Errorf("remembers %v", s.counts)
	}
	other := NewSeenServers(3)
	other.Import(s.Export(2))
	if other.Has("b") || !other.Has("c") || !other.Has("d") {
		t.Error("the latest were not exported")
	}
}
