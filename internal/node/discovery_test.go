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

// TestWatch follows a node through what a watch can bring.
func TestWatch(t *testing.T) {
	t.Parallel()
	addr, lines, asked := testkit.RegistryStub(t)
	events := make(chan balancer.Event, 10)
	startNode(t, testConfig(addr, listed("old", "127.0.0.1:1")),
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
	list := func(full, cached bool, ids ...string) {
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
	failed := func(garbled bool) {
		t.Helper()
		if e, is := testkit.Wait(t, events).(balancer.ListFailed); !is || e.Garbled != garbled {
			t.Fatalf("event %+v, want ListFailed, garbled: %v", e, garbled)
		}
	}
	query := func(since int) {
		t.Helper()
		if got, want := testkit.Wait(t, asked), fmt.Sprintf("/registry/instances?follow=1&since=%d", since); got != want {
			t.Errorf("asked %s, want %s", got, want)
		}
	}
	list(true, true, "old")
	query(7)
	lines <- testkit.ListMessage(8, true, testkit.Entry("a", "SERVING"), testkit.Entry("b", "SERVING"))
	list(true, false, "a", "b")
	lines <- "" // a heartbeat
	list(false, false)
	lines <- testkit.ListMessage(9, false, testkit.Entry("b", "DRAINING"))
	list(false, false, "b")
	lines <- "end"
	failed(false)
	query(9)
	// A line that is not whole or makes no sense ends the watch and changes nothing.
	for _, bad := range []string{
		"{", testkit.ListMessage(12, true, testkit.Entry("c", "SLEEPING")), testkit.ListMessage(12, true, testkit.Entry("", "SERVING")),
		testkit.ListMessage(12, true, strings.Replace(testkit.Entry("c", "SERVING"), "127.0.0.1:1", "nowhere", 1)),
	} {
		lines <- bad
		failed(true)
		query(9)
	}
	lines <- testkit.ListMessage(13, false, testkit.Entry("a", "DELETED"))
	list(false, false, "a")
}

// A module that asks again at once does not make the node hammer a discovery that fails.
func TestFailedWatchRests(t *testing.T) {
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
	const rest = 50 * time.Millisecond
	if took := time.Since(start); took < 3*rest {
		t.Errorf("five watches within %v", took)
	}
}

// A reload that names another discovery asks there at once, again if that fails, and for the whole
// list: the new one's revisions need not go on from the old one's, whose watch ends.
func TestReloadMovesWatch(t *testing.T) {
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
	cfg := testConfig(oldAddr, listed("old", "127.0.0.1:1"))
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
	n.ReloadConfig(cfg) // the same again changes nothing
	for range 2 {
		if q := testkit.Wait(t, asked); q != "" {
			t.Fatalf("asked with %q, not for the whole list", q)
		}
	}
	select {
	case oldLines <- testkit.ListMessage(8, true, testkit.Entry("stale", "SERVING")):
		// The old watch may still be read, but counts no more.
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

// Where the list comes unasked the node watches by itself and again after a break.
func TestPushedList(t *testing.T) {
	t.Parallel()
	addr, lines, asked := testkit.RegistryStub(t)
	cfg := testConfig(addr)
	cfg.Settings.AskDiscovery = false
	startNode(t, cfg, nil)
	testkit.Wait(t, asked)
	lines <- "end"
	testkit.Wait(t, asked)
}

// A watch that discovery opens and ends at once, over and over: the node keeps the last good list and asks ever
// later, and no list is told.
func TestWatchThatEndsAtOnce(t *testing.T) {
	t.Parallel()
	asked := make(chan string, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.RawQuery
	}))
	t.Cleanup(s.Close)
	cfg := testConfig(strings.TrimPrefix(s.URL, "http://"), listed("old", "127.0.0.1:1"))
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
			t.Errorf("told %+v", l)
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
	if first := cfg.Settings.AskWithin / 40; longest < 4*first { // doubled six times by then, of which a part is drawn
		t.Errorf("waits no longer than %v after eight failures", longest)
	}
}
