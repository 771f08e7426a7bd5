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

// scriptedSource is a source that a test feeds.
type scriptedSource struct {
	name   string
	asked  chan string
	news   chan News
	fail   chan error
	closed chan struct{}
}

func newScriptedSource(name string) *scriptedSource {
	return &scriptedSource{name, make(chan string, 100), make(chan News), make(chan error), make(chan struct{}, 100)}
}

func (s *scriptedSource) String() string { return s.name }
func (s *scriptedSource) Follow(ctx context.Context, since string, news func(News)) error {
	s.asked <- since
	defer func() { s.closed <- struct{}{} }()
	for {
		select {
		case n := <-s.news:
			news(n)
		case err := <-s.fail:
			return err
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// One source is followed at a time, from the version that was applied last; another source from the
// beginning, whose news alone count.
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
	if v := testkit.Wait(t, one.asked); v != "1" {
		t.Errorf("asked since %q", v)
	}
	n := serverList("a", "b")
	n.Version = "2"
	one.news <- n
	testkit.Wait(t, lists)
	one.fail <- errors.New("broke")
	if v := testkit.Wait(t, one.asked); v != "2" {
		t.Errorf("after a break asked since %q", v)
	}
	testkit.Wait(t, one.closed)
	e.SetSource(two)
	if v := testkit.Wait(t, two.asked); v != "" {
		t.Errorf("the new source asked since %q", v)
	}
	testkit.Wait(t, one.closed)
	two.fail <- errors.New("down from the start")
	if v := testkit.Wait(t, two.asked); v != "" {
		t.Errorf("again since %q", v)
	}
	waitIdle(t, e)
	e.Do(func() {
		if len(e.endpoints) != 2 {
			t.Errorf("the list does not stay as it was: %d", len(e.endpoints))
		}
	})
	two.news <- serverList("c")
	if l := testkit.Wait(t, lists); len(l.Servers) != 1 || l.Servers[0].ID != "c" {
		t.Errorf("list %+v", l)
	}
}

// observingSource is a source that hears of attempts.
type observingSource struct {
	*scriptedSource
	began, ended, dropped atomic.Int64
}

func (o *observingSource) Began(string)                  { o.began.Add(1) }
func (o *observingSource) Ended(string, balancer.Ending) { o.ended.Add(1) }
func (o *observingSource) Dropped()                      { o.dropped.Add(1) }

// A source may have a share of calls refused: harmlessly, with advice, and without a word to the module.
func TestDropShareOfSourceRejects(t *testing.T) {
	h, o := newManualSender(), &observingSource{scriptedSource: newScriptedSource("drops")}
	e := startEngine(t, Config{Sender: h, Source: o})
	n := serverList("a", "b", "c", "d")
	n.Drop = 0.5
	e.Apply(n)
	const calls = 400
	refused := 0
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
			if ans.Verdict != Refused || ans.RetryAfter <= 0 {
				t.Fatalf("answer %+v", ans)
			}
			refused++
		case <-time.After(limit):
			t.Fatal("neither")
		}
	}
	waitIdle(t, e)
	if refused < calls/4 || refused > calls*3/4 || o.dropped.Load() != int64(refused) ||
		o.began.Load() != int64(calls-refused) || o.ended.Load() != o.began.Load() || e.Open() != 0 {
		t.Errorf("%d refused of %d; the source heard of %d, of %d begun and %d ended; %d open", refused, calls,
			o.dropped.Load(), o.began.Load(), o.ended.Load(), e.Open())
	}
	n.Drop = 0
	e.Apply(n)
	for i := range 50 {
		c, r := newCall(e, fmt.Sprint("more", i), "order", limit)
		e.Submit(c)
		testkit.Wait(t, h.started).End(balancer.Success, nil)
		testkit.Wait(t, r.ended)
	}
}

// The engine must not use a server that a list no longer names, nor an address that it has left.
func TestListDecidesUsableEndpoints(t *testing.T) {
	e := New(Config{Clock: NewClock(), Sender: newManualSender(), Module: moduleFunc(func(balancer.Event) []balancer.Action { return nil })})
	e.apply(serverList("a", "b", "c"))
	a, b, c := e.endpoints["a"], e.endpoints["b"], e.endpoints["c"]
	drain := serverList("a", "b")
	drain.Full, drain.Servers[0].State, drain.Servers[1].Addr = false, balancer.Draining, "b:9"
	e.apply(drain)
	if a.Usable() || b.Usable() || !c.Usable() || !e.endpoints["b"].Usable() {
		t.Error("after changes: a drains, b moved, c stays")
	}
	back := serverList("a")
	back.Full = false
	e.apply(back)
	if !a.Usable() || e.endpoints["a"] != a {
		t.Error("a serves again")
	}
	e.apply(serverList("a"))
	if c.Usable() || len(e.endpoints) != 1 {
		t.Error("a full list that names only a")
	}
	restarted := serverList("a")
	restarted.Servers[0].StartedAt = time.Second
	e.apply(restarted)
	if a.Usable() || !e.endpoints["a"].Usable() {
		t.Error("a started anew: its old connections are of no use")
	}
}
