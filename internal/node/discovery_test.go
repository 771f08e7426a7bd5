package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/testkit"
)

// TestRegistryWatchEvents shows which events the module gets for what a watch of the registry can bring.
func TestRegistryWatchEvents(t *testing.T) {
	t.Parallel()
	addr, lines, asked := testkit.RegistryStub(t)
	events := make(chan balancer.Event, 10)
	startNode(t, testConfig(addr, listed("old", unusedAddr)),
		moduleFunc(func(e balancer.Event) []balancer.Action {
			events <- e
			switch e := e.(type) {
			case balancer.ServerList:
				if e.Cached {
					return []balancer.Action{balancer.Subscribe{}}
				}
			case balancer.ListFailed:
				return []balancer.Action{balancer.Subscribe{}}
			}
			return nil
		}))
	expectList := func(full, cached bool, ids ...string) {
		t.Helper()
		l, is := testkit.Wait(t, events).(balancer.ServerList)
		if !is || l.Full != full || l.Cached != cached || len(l.Servers) != len(ids) {
			t.Fatalf("event %+v", l)
		}
		for i, s := range l.Servers {
			if s.ID != ids[i] {
				t.Errorf("server %+v, want %s", s, ids[i])
			}
		}
	}
	expectFailure := func(garbled bool) {
		t.Helper()
		if e, is := testkit.Wait(t, events).(balancer.ListFailed); !is || e.Garbled != garbled {
			t.Fatalf("event %+v, want ListFailed, garbled: %v", e, garbled)
		}
	}
	expectQuery := func(since int) {
		t.Helper()
		if got, want := testkit.Wait(t, asked), fmt.Sprintf("/registry/instances?follow=1&since=%d", since); got != want {
			t.Errorf("asked %s, want %s", got, want)
		}
	}
	expectList(true, true, "old")
	expectQuery(7)
	lines <- testkit.ListMessage(8, true, testkit.Entry("a", "SERVING"), testkit.Entry("b", "SERVING"))
	expectList(true, false, "a", "b")
	lines <- "" // a heartbeat of the registry
	expectList(false, false)
	lines <- testkit.ListMessage(9, false, testkit.Entry("b", "DRAINING"))
	expectList(false, false, "b")
	lines <- testkit.EndWatch
	expectFailure(false)
	expectQuery(9)
	// A malformed line ends the watch and does not change the list.
	for _, bad := range []string{
		"{", testkit.ListMessage(12, true, testkit.Entry("c", "SLEEPING")), testkit.ListMessage(12, true, testkit.Entry("", "SERVING")),
		testkit.ListMessage(12, true, strings.Replace(testkit.Entry("c", "SERVING"), "127.0.0.1:1", "nowhere", 1)),
	} {
		lines <- bad
		expectFailure(true)
		expectQuery(9)
	}
	lines <- testkit.ListMessage(13, false, testkit.Entry("a", "DELETED"))
	expectList(false, false, "a")
}

// A module that subscribes again at once does not make the node flood a registry that fails with requests.
func TestFailedWatchBacksOff(t *testing.T) {
	t.Parallel()
	asked := make(chan struct{}, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- struct{}{}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(s.Close)
	cfg := testConfig(strings.TrimPrefix(s.URL, "http://"))
	cfg.Settings.AskWithin = 0
	startNode(t, cfg, nil)
	testkit.Wait(t, asked)
	start := time.Now()
	for range 4 {
		testkit.Wait(t, asked)
	}
	const backoff = 50 * time.Millisecond
	if took := time.Since(start); took < 3*backoff {
		t.Errorf("five watches within %v", took)
	}
}

// A reload with another registry asks it at once, again if that fails, and for the complete list, since its revisions need
// not continue those of the former registry. The watch of the former registry ends.
func TestReloadFollowsAnotherRegistry(t *testing.T) {
	t.Parallel()
	oldAddr, oldLines, oldAsked := testkit.RegistryStub(t)
	asked, oldEnded := make(chan string, 100), make(chan struct{})
	fails := 1
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RawQuery
		switch {
		case r.URL.RawQuery != "":
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		case fails > 0:
			fails--
			w.WriteHeader(http.StatusServiceUnavailable)
		default:
			<-oldEnded
			fmt.Fprintln(w, testkit.ListMessage(3, true, testkit.Entry("new", "SERVING")))
		}
	}))
	t.Cleanup(s.CloseClientConnections)

	events := make(chan balancer.Event, 10)
	cfg := testConfig(oldAddr, listed("old", unusedAddr))
	n := startNode(t, cfg, moduleFunc(func(e balancer.Event) []balancer.Action {
		events <- e
		if l, is := e.(balancer.ServerList); is && l.Cached {
			return []balancer.Action{balancer.Subscribe{}}
		}
		return nil
	}))
	testkit.Wait(t, oldAsked)
	testkit.Wait(t, events)
	cfg.Discovery = strings.TrimPrefix(s.URL, "http://")
	n.ReloadConfig(cfg)
	n.ReloadConfig(cfg) // changes nothing more
	for range 2 {
		if q := testkit.Wait(t, asked); q != "" {
			t.Fatalf("asked with %q, not for the complete list", q)
		}
	}
	select {
	case oldLines <- testkit.ListMessage(8, true, testkit.Entry("stale", "SERVING")):
		// The former watch may still be read, but its lists are ignored.
	default:
	}
	close(oldEnded)
	if q := testkit.Wait(t, asked); q != "follow=1&since=3" {
		t.Errorf("watches with %q", q)
	}
	l, is := testkit.Wait(t, events).(balancer.ServerList)
	if !is || !l.Full || len(l.Servers) != 1 || l.Servers[0].ID != "new" {
		t.Errorf("event %+v", l)
	}
}

// If lists are pushed, the node watches the registry without a subscription of the module, and again after the watch ends.
func TestPushedListIsWatchedAgain(t *testing.T) {
	t.Parallel()
	addr, lines, asked := testkit.RegistryStub(t)
	cfg := testConfig(addr)
	cfg.Settings.AskDiscovery = false
	startNode(t, cfg, nil)
	testkit.Wait(t, asked)
	lines <- testkit.EndWatch
	testkit.Wait(t, asked)
}

// If the registry ends every watch at once, the node keeps the last list, backs off exponentially, and the module gets no
// list.
func TestWatchEndingAtOnceBacksOff(t *testing.T) {
	t.Parallel()
	asked := make(chan string, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RawQuery
	}))
	t.Cleanup(s.Close)
	cfg := testConfig(strings.TrimPrefix(s.URL, "http://"), listed("old", unusedAddr))
	cfg.Settings.AskDiscovery, cfg.Settings.AskWithin, cfg.Settings.Balancers = true, 400*time.Millisecond, 1
	var mu sync.Mutex
	var longest time.Duration
	b, err := balancer.New(cfg.Settings, 5)
	if err != nil {
		t.Fatal(err)
	}
	clock := engine.NewClock()
	startNode(t, cfg, moduleFunc(func(e balancer.Event) []balancer.Action {
		mu.Lock()
		defer mu.Unlock()
		if l, is := e.(balancer.ServerList); is && !l.Cached {
			t.Errorf("the module got the list %+v", l)
		}
		now := clock.Now()
		acts := b.Handle(now, e)
		for _, a := range acts {
			if w, is := a.(balancer.Wake); is && w.Token == "list" {
				longest = max(longest, w.At-now)
			}
		}
		return acts
	}))
	for range 8 {
		if q := testkit.Wait(t, asked); q != "follow=1&since=7" {
			t.Errorf("asked with %q", q)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if first := cfg.Settings.AskWithin / 40; longest < 4*first { // doubled six times by then, with jitter
		t.Errorf("waits no longer than %v after eight failures", longest)
	}
}
