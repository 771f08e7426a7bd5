package engine

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/testkit"
)

// scriptedSource is a Source whose updates and failures are sent by the test.
type scriptedSource struct {
	name    string
	watched chan string // the since argument of each Watch
	updates chan ListUpdate
	fail    chan error
	closed  chan struct{} // gets a value for each Watch that has returned
}

func newScriptedSource(name string) *scriptedSource {
	return &scriptedSource{
		name:    name,
		watched: make(chan string, 100),
		updates: make(chan ListUpdate),
		fail:    make(chan error),
		closed:  make(chan struct{}, 100),
	}
}

func (s *scriptedSource) String() string { return s.name }
func (s *scriptedSource) Watch(ctx context.Context, since string, onUpdate func(ListUpdate)) error {
	s.watched <- since
	defer func() { s.closed <- struct{}{} }()
	for {
		select {
		case update := <-s.updates:
			onUpdate(update)
		case err := <-s.fail:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// The engine watches one source at a time, and after a failure continues from the version that was applied last. A new source
// is watched from the beginning; the list of the previous one stays in use until the new source's list arrives.
func TestSourceIsWatchedFromAppliedVersion(t *testing.T) {
	one, two := newScriptedSource("one"), newScriptedSource("two")
	lists := make(chan balancer.ServerList, 10)
	module := moduleFunc(func(ev balancer.Event) []balancer.Action {
		if list, ok := ev.(balancer.ServerList); ok {
			lists <- list
		}
		return nil
	})
	e := startEngine(t, Config{Sender: newManualSender(), Source: one, Pushed: true, Module: module})
	e.Start(serverList("a"))
	testkit.Wait(t, lists)
	if v := testkit.Wait(t, one.watched); v != "1" {
		t.Errorf("watched from version %q, want 1", v)
	}
	update := serverList("a", "b")
	update.Version = "2"
	one.updates <- update
	testkit.Wait(t, lists)
	one.fail <- errors.New("connection lost")
	if v := testkit.Wait(t, one.watched); v != "2" {
		t.Errorf("after a failure watched from version %q, want 2", v)
	}
	testkit.Wait(t, one.closed)
	e.SetSource(two)
	if v := testkit.Wait(t, two.watched); v != "" {
		t.Errorf("the new source is watched from version %q, want the beginning", v)
	}
	testkit.Wait(t, one.closed)
	two.fail <- errors.New("unreachable from the start")
	if v := testkit.Wait(t, two.watched); v != "" {
		t.Errorf("after its failure the new source is watched from version %q, want the beginning", v)
	}
	waitIdle(t, e)
	e.Do(func() {
		if len(e.endpoints) != 2 {
			t.Errorf("%d endpoints after the failure of a new source, want the 2 of the previous list", len(e.endpoints))
		}
	})
	two.updates <- serverList("c")
	if l := testkit.Wait(t, lists); len(l.Servers) != 1 || l.Servers[0].ID != "c" {
		t.Errorf("list %+v, want the server c alone", l)
	}
}

// observingSource is a Source and an Observer that counts its notifications.
type observingSource struct {
	*scriptedSource
	started, ended, dropped atomic.Int64
}

func (s *observingSource) AttemptStarted(string)                { s.started.Add(1) }
func (s *observingSource) AttemptEnded(string, balancer.Ending) { s.ended.Add(1) }
func (s *observingSource) RequestDropped()                      { s.dropped.Add(1) }

// The engine rejects the share of calls that the source sets as DropShare, with retry advice and without an attempt.
func TestDropShareRejectsCalls(t *testing.T) {
	sender, source := newManualSender(), &observingSource{scriptedSource: newScriptedSource("drops")}
	e := startEngine(t, Config{Sender: sender, Source: source})
	update := serverList("a", "b", "c", "d")
	update.DropShare = 0.5
	e.Apply(update)
	const calls = 400
	rejected := 0
	for i := range calls {
		c, r := newCall(e, fmt.Sprint(i), "order", testTimeout)
		e.Submit(c)
		select {
		case a := <-sender.started:
			a.End(balancer.Success, nil)
			if ans := testkit.Wait(t, r.ended); ans.Verdict != Served {
				t.Fatalf("answer %+v after a successful attempt, want it served", ans)
			}
		case ans := <-r.ended:
			if ans.Verdict != Rejected || ans.RetryAfter <= 0 {
				t.Fatalf("answer %+v without an attempt, want it rejected with retry advice", ans)
			}
			rejected++
		case <-time.After(testTimeout):
			t.Fatal("the call was neither sent nor rejected")
		}
	}
	waitIdle(t, e)
	if rejected < calls/4 || rejected > calls*3/4 || source.dropped.Load() != int64(rejected) ||
		source.started.Load() != int64(calls-rejected) || source.ended.Load() != source.started.Load() || e.OpenCalls() != 0 {
		t.Errorf("%d of %d calls rejected; the source observed %d calls dropped, %d attempts started and %d ended; %d calls open",
			rejected, calls, source.dropped.Load(), source.started.Load(), source.ended.Load(), e.OpenCalls())
	}
	update.DropShare = 0
	e.Apply(update)
	for i := range 50 {
		c, r := newCall(e, fmt.Sprint("more", i), "order", testTimeout)
		e.Submit(c)
		testkit.Wait(t, sender.started).End(balancer.Success, nil)
		testkit.Wait(t, r.ended)
	}
}

// Only endpoints that are listed as ready are usable, and a server with another address or start time gets a new endpoint.
func TestListDecidesUsableEndpoints(t *testing.T) {
	e := New(Config{
		Clock:  NewClock(),
		Sender: newManualSender(),
		Module: moduleFunc(func(balancer.Event) []balancer.Action { return nil }),
	})
	e.apply(serverList("a", "b", "c"))
	a, b, c := e.endpoints["a"], e.endpoints["b"], e.endpoints["c"]
	drain := serverList("a", "b")
	drain.Full, drain.Servers[0].State, drain.Servers[1].Addr = false, balancer.Draining, "b:9"
	e.apply(drain)
	if a.Usable() || b.Usable() || !c.Usable() || !e.endpoints["b"].Usable() {
		t.Error("after a partial update, want a (draining) and the old endpoint of b unusable, c and the new endpoint of b usable")
	}
	ready := serverList("a")
	ready.Full = false
	e.apply(ready)
	if !a.Usable() || e.endpoints["a"] != a {
		t.Error("after a is ready again, want the same endpoint of a, usable")
	}
	e.apply(serverList("a"))
	if c.Usable() || len(e.endpoints) != 1 {
		t.Error("after a complete list of a alone, want c unusable and one endpoint")
	}
	restarted := serverList("a")
	restarted.Servers[0].StartedAt = time.Second
	e.apply(restarted)
	if a.Usable() || !e.endpoints["a"].Usable() {
		t.Error("after a restart of a, want a new endpoint: connections to the previous process must not be reused")
	}
}
