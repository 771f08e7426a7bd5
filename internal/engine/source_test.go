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

// scriptedSource is a source whose updates and failures come from the test.
type scriptedSource struct {
	name    string
	watched chan string // versions from which it was watched
	updates chan ListUpdate
	fail    chan error
	closed  chan struct{} // has a token for each watch that has ended
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
		case u := <-s.updates:
			onUpdate(u)
		case err := <-s.fail:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// One source is watched at a time, from the version that was applied last. Another source is watched from the beginning, and
// only its updates count from then on.
func TestOneSourceIsWatchedFromItsVersion(t *testing.T) {
	one, two := newScriptedSource("one"), newScriptedSource("two")
	lists := make(chan balancer.ServerList, 10)
	module := moduleFunc(func(ev balancer.Event) []balancer.Action {
		if l, is := ev.(balancer.ServerList); is {
			lists <- l
		}
		return nil
	})
	e := startEngine(t, Config{Sender: newManualSender(), Source: one, Pushed: true, Module: module})
	e.Start(serverList("a"))
	testkit.Wait(t, lists)
	if v := testkit.Wait(t, one.watched); v != "1" {
		t.Errorf("watched from version %q", v)
	}
	n := serverList("a", "b")
	n.Version = "2"
	one.updates <- n
	testkit.Wait(t, lists)
	one.fail <- errors.New("broke")
	if v := testkit.Wait(t, one.watched); v != "2" {
		t.Errorf("after a failure watched from version %q", v)
	}
	testkit.Wait(t, one.closed)
	e.SetSource(two)
	if v := testkit.Wait(t, two.watched); v != "" {
		t.Errorf("the new source is watched from version %q", v)
	}
	testkit.Wait(t, one.closed)
	two.fail <- errors.New("down from the start")
	if v := testkit.Wait(t, two.watched); v != "" {
		t.Errorf("after another failure watched from version %q", v)
	}
	waitIdle(t, e)
	e.Do(func() {
		if len(e.endpoints) != 2 {
			t.Errorf("%d endpoints after the failure of a new source, want the 2 of the former list", len(e.endpoints))
		}
	})
	two.updates <- serverList("c")
	if l := testkit.Wait(t, lists); len(l.Servers) != 1 || l.Servers[0].ID != "c" {
		t.Errorf("list %+v", l)
	}
}

// observingSource is a source that counts what it observes.
type observingSource struct {
	*scriptedSource
	began, ended, dropped atomic.Int64
}

func (o *observingSource) AttemptStarted(string)                { o.began.Add(1) }
func (o *observingSource) AttemptEnded(string, balancer.Ending) { o.ended.Add(1) }
func (o *observingSource) RequestDropped()                      { o.dropped.Add(1) }

// A source may have a share of the calls rejected: without an attempt, with retry advice, and without the module.
func TestDropShareOfSourceRejects(t *testing.T) {
	h, o := newManualSender(), &observingSource{scriptedSource: newScriptedSource("drops")}
	e := startEngine(t, Config{Sender: h, Source: o})
	n := serverList("a", "b", "c", "d")
	n.DropShare = 0.5
	e.Apply(n)
	const calls = 400
	rejected := 0
	for i := range calls {
		c, r := newCall(e, fmt.Sprint(i), "order", limit)
		e.Submit(c)
		select {
		case a := <-h.started:
			a.End(balancer.Success, nil)
			if ans := testkit.Wait(t, r.ended); ans.Verdict != Served {
				t.Fatalf("answer %+v", ans)
			}
		case ans := <-r.ended:
			if ans.Verdict != Rejected || ans.RetryAfter <= 0 {
				t.Fatalf("answer %+v", ans)
			}
			rejected++
		case <-time.After(limit):
			t.Fatal("the call was neither sent nor rejected")
		}
	}
	waitIdle(t, e)
	if rejected < calls/4 || rejected > calls*3/4 || o.dropped.Load() != int64(rejected) ||
		o.began.Load() != int64(calls-rejected) || o.ended.Load() != o.began.Load() || e.OpenCalls() != 0 {
		t.Errorf("%d rejected of %d; the source observed %d dropped, %d begun and %d ended; %d calls open", rejected, calls,
			o.dropped.Load(), o.began.Load(), o.ended.Load(), e.OpenCalls())
	}
	n.DropShare = 0
	e.Apply(n)
	for i := range 50 {
		c, r := newCall(e, fmt.Sprint("more", i), "order", limit)
		e.Submit(c)
		testkit.Wait(t, h.started).End(balancer.Success, nil)
		testkit.Wait(t, r.ended)
	}
}

// The engine does not use a server that is no longer listed as ready, or an address that it has left.
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
		t.Error("after an update: a drains, b has another address, c is unchanged")
	}
	back := serverList("a")
	back.Full = false
	e.apply(back)
	if !a.Usable() || e.endpoints["a"] != a {
		t.Error("a is ready again, and the endpoint is the same")
	}
	e.apply(serverList("a"))
	if c.Usable() || len(e.endpoints) != 1 {
		t.Error("after a complete list of a alone")
	}
	restarted := serverList("a")
	restarted.Servers[0].StartedAt = time.Second
	e.apply(restarted)
	if a.Usable() || !e.endpoints["a"].Usable() {
		t.Error("after a restart of a the endpoint must be a new one, since connections to the former process are of no use")
	}
}
