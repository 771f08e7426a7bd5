package ads

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// describeSteps writes steps as text: a letter for the kind and the server's index.
func describeSteps(steps []Step) (text string) {
	letters := map[StepKind]string{OpenStream: "o", CloseStream: "c", UseServer: "u"}
	for _, s := range steps {
		text += letters[s.Kind] + string(rune('0'+s.Server)) + " "
	}
	return text
}

func expectSteps(t *testing.T, what string, got []Step, want string) {
	t.Helper()
	if text := describeSteps(got); text != want {
		t.Errorf("%s: %q, want %q", what, text, want)
	}
}

func TestFailover(t *testing.T) {
	f := NewFailover(FailoverConfig{Servers: 3, Jitter: 1e-9}, 1)
	expectSteps(t, "start", f.Start(0), "o0 ")
	expectSteps(t, "the first fails", f.StreamEnded(10*msec, 0), "o1 ")
	expectSteps(t, "the second responds", f.StreamResponded(20*msec, 1), "u1 ")
	if f.Active() != 1 {
		t.Errorf("active is %d", f.Active())
	}
	expectSteps(t, "before the end of the backoff", f.Advance(200*msec), "")
	if at, ok := f.NextDeadline(); !ok || at < 209*msec || at > 211*msec {
		t.Errorf("next deadline %v", at)
	}
	expectSteps(t, "the first is retried", f.Advance(211*msec), "o0 ")
	expectSteps(t, "it responds: the second is not needed", f.StreamResponded(220*msec, 0), "u0 c1 ")
	expectSteps(t, "its stream ends: it is retried before any other", f.StreamEnded(10*sec, 0), "")
	expectSteps(t, "with the first backoff, since it lived long", f.Advance(10*sec+201*msec), "o0 ")
	expectSteps(t, "it fails: now the second", f.StreamEnded(10*sec+210*msec, 0), "o1 ")
	expectSteps(t, "the second fails too", f.StreamEnded(10*sec+220*msec, 1), "o2 ")
}

// A stream that brings no response does not keep the next server from being tried.
func TestFailoverFirstResponseTimeout(t *testing.T) {
	f := NewFailover(FailoverConfig{Servers: 2}, 1)
	f.Start(0)
	if at, ok := f.NextDeadline(); !ok || at != 5*sec {
		t.Errorf("next deadline %v, %v", at, ok)
	}
	expectSteps(t, "the time-out has passed", f.Advance(5*sec), "o1 ")
	expectSteps(t, "the second responds", f.StreamResponded(5*sec+1, 1), "u1 ")
	expectSteps(t, "the first responds at last", f.StreamResponded(6*sec, 0), "u0 c1 ")
	expectSteps(t, "a response of the closed stream", f.StreamResponded(6*sec, 1), "")
}

// The backoff grows up to its bound while a control plane flaps, and is jittered.
func TestFailoverBackoff(t *testing.T) {
	f := NewFailover(FailoverConfig{Servers: 1}, 7)
	f.Start(0)
	now, last := time.Duration(0), time.Duration(0)
	for i := range 60 {
		f.StreamResponded(now, 0)
		now += 100 * msec
		f.StreamEnded(now, 0)
		at, ok := f.NextDeadline()
		if !ok {
			t.Fatal("it is never retried")
		}
		backoff := at - now
		if backoff < 160*msec || backoff > 36*sec {
			t.Fatalf("attempt %d after %v", i, backoff)
		}
		if i > 30 && (backoff < 24*sec || backoff == last) {
			t.Fatalf("attempt %d after %v, before it %v", i, backoff, last)
		}
		last, now = backoff, at
		expectSteps(t, "retry", f.Advance(now), "o0 ")
	}
}

// TestFailoverProperty plays events in any order: at every time a stream is open or will be, each step
// fits the state of its stream, and once all servers respond the first one is in use.
func TestFailoverProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		servers := rapid.IntRange(1, 4).Draw(t, "servers")
		f := NewFailover(FailoverConfig{Servers: servers}, rapid.Uint64().Draw(t, "seed"))
		now := time.Duration(0)
		open := make([]bool, servers)
		used := -1
		play := func(steps []Step) {
			for _, s := range steps {
				switch s.Kind {
				case OpenStream:
					if open[s.Server] {
						t.Fatalf("a second stream is opened to %d", s.Server)
					}
					open[s.Server] = true
				case CloseStream:
					if !open[s.Server] {
						t.Fatalf("the stream to %d is closed and was not open", s.Server)
					}
					open[s.Server] = false
				case UseServer:
					used = s.Server
				}
			}
		}
		play(f.Start(now))
		t.Repeat(map[string]func(*rapid.T){
			"responded": func(t *rapid.T) {
				if i := rapid.IntRange(0, servers-1).Draw(t, "server"); open[i] {
					play(f.StreamResponded(now, i))
				}
			},
			"ended": func(t *rapid.T) {
				if i := rapid.IntRange(0, servers-1).Draw(t, "server"); open[i] {
					open[i] = false
					play(f.StreamEnded(now, i))
				}
			},
			"time": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 8000).Draw(t, "ms")) * msec
				play(f.Advance(now))
			},
			"": func(t *rapid.T) {
				if f.Active() != used {
					t.Fatalf("active is %d, the steps say %d", f.Active(), used)
				}
				anyOpen := false
				for _, o := range open {
					anyOpen = anyOpen || o
				}
				if _, ok := f.NextDeadline(); !anyOpen && !ok {
					t.Fatal("no stream is open, and none will be")
				}
			},
		})
		// From now on all servers respond.
		for range 100 * servers {
			now += 40 * sec
			play(f.Advance(now))
			for i := range open {
				if open[i] {
					play(f.StreamResponded(now, i))
				}
			}
		}
		if f.Active() != 0 {
			t.Fatalf("all servers respond, and %d is in use", f.Active())
		}
	})
}
