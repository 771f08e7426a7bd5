package node

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"hollyspur"
)

// registry is a stub of discovery: what comes on lines goes out on the watch that is open, one
// message or heartbeat at a time; "end" ends it. asked tells the query of each watch.
func registry(t *testing.T) (addr string, lines, asked chan string) {
	t.Helper()
	lines, asked = make(chan string), make(chan string, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.Path + "?" + r.URL.RawQuery
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		for {
			select {
			case l := <-lines:
				if l == "end" {
					return
				}
				fmt.Fprintln(w, l)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(s.CloseClientConnections)
	return strings.TrimPrefix(s.URL, "http://"), lines, asked
}

func entry(uid, state string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":"127.0.0.1:1","az":"a","model":"m","pod_group":3,`+
		`"state":%q,"capacity_hint":2,"boot_ms":1500}`, uid, state)
}

func message(rev int, all bool, entries ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":%v,"targets":[%s]}`, rev, all, strings.Join(entries, ","))
}

// TestWatch follows a node through what a watch can bring.
func TestWatch(t *testing.T) {
	t.Parallel()
	addr, lines, asked := registry(t)
	events := make(chan hollyspur.Event, 10)
	startNode(t, testConfig(addr, serving("old", "127.0.0.1:1")),
		moduleFunc(func(e hollyspur.Event) []hollyspur.Action {
			events <- e
			switch e := e.(type) {
			case hollyspur.ServerList:
				if e.Cached {
					return []hollyspur.Action{hollyspur.Subscribe{}}
				}
			case hollyspur.ListFailed:
				return []hollyspur.Action{hollyspur.Subscribe{}}
			}
			return nil
		}))
	list := func(full, cached bool, ids ...string) {
		t.Helper()
		l, is := wait(t, events).(hollyspur.ServerList)
		if !is || l.Full != full || l.Cached != cached || len(l.Servers) != len(ids) {
			t.Fatalf("event %+v", l)
		}
		for i, s := range l.Servers {
			if s.ID != ids[i] {
				t.Errorf("server %+v, want %s", s, ids[i])
			}
		}
	}
	failed := func() {
		t.Helper()
		if e, is := wait(t, events).(hollyspur.ListFailed); !is {
			t.Fatalf("event %+v, want ListFailed", e)
		}
	}
	query := func(since int) {
		t.Helper()
		if got, want := wait(t, asked), fmt.Sprintf("/registry/instances?follow=1&since=%d", since); got != want {
			t.Errorf("asked %s, want %s", got, want)
		}
	}
	list(true, true, "old")
	query(7)
	lines <- message(8, true, entry("a", "SERVING"), entry("b", "SERVING"))
	list(true, false, "a", "b")
	lines <- "" // a heartbeat
	lines <- message(9, false, entry("b", "DRAINING"))
	list(false, false, "b")
	lines <- "end"
	failed()
	query(9)
	// A line that is not whole or makes no sense ends the watch and changes nothing.
	for _, bad := range []string{"{", message(12, true, entry("c", "SLEEPING")), message(12, true, entry("", "SERVING")),
		message(12, true, strings.Replace(entry("c", "SERVING"), "127.0.0.1:1", "nowhere", 1))} {
		lines <- bad
		failed()
		query(9)
	}
	lines <- message(13, false, entry("a", "DELETED"))
	list(false, false, "a")
}

// A watch on a machine that was cut off stays open and silent; heartbeats keep one alive.
func TestWatchSilence(t *testing.T) {
	t.Parallel()
	addr, lines, _ := registry(t)
	d := newDiscovery(addr)
	d.silence = 200 * time.Millisecond
	ended := make(chan error, 1)
	got := make(chan List, 1)
	go func() { ended <- d.watch(context.Background(), 0, func(l List) { got <- l }) }()
	lines <- message(1, true)
	wait(t, got)
	if err := wait(t, ended); err != errSilent {
		t.Errorf("the watch ended with %v", err)
	}
}

// Heartbeats keep a watch whose list does not change.
func TestHeartbeats(t *testing.T) {
	t.Parallel()
	addr, lines, _ := registry(t)
	d := newDiscovery(addr)
	d.silence = time.Second
	ended := make(chan error, 1)
	go func() { ended <- d.watch(context.Background(), 0, nil) }()
	longest := time.Duration(0) // between two beats; this machine may stall
	for start, last := time.Now(), time.Now(); time.Since(start) < 2*d.silence; {
		select {
		case lines <- "":
			longest, last = max(longest, time.Since(last)), time.Now()
			time.Sleep(d.silence / 20)
		case err := <-ended:
			if longest = max(longest, time.Since(last)); longest < d.silence/2 {
				t.Fatalf("ended with %v though a beat came every %v", err, longest)
			}
			return
		}
	}
	lines <- "end"
	wait(t, ended)
}

func TestWatchRefused(t *testing.T) {
	t.Parallel()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(s.Close)
	d := newDiscovery(strings.TrimPrefix(s.URL, "http://"))
	if err := d.watch(context.Background(), 0, nil); err == nil || !strings.Contains(err.Error(), "503") {
		t.Errorf("got %v", err)
	}
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
	wait(t, asked)
	start := time.Now()
	for range 4 {
		wait(t, asked)
	}
	if took := time.Since(start); took < 3*watchRest {
		t.Errorf("five watches within %v", took)
	}
}

// One watch at a time: a second Subscribe ends the first, whose news count no more.
func TestOneWatch(t *testing.T) {
	t.Parallel()
	open, closed := make(chan struct{}, 10), make(chan struct{}, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		open <- struct{}{}
		<-r.Context().Done()
		closed <- struct{}{}
	}))
	t.Cleanup(s.CloseClientConnections)
	n := startNode(t, testConfig(strings.TrimPrefix(s.URL, "http://")),
		moduleFunc(func(hollyspur.Event) []hollyspur.Action { return nil }))
	n.loop.post(func() { n.loop.discovery.silence = time.Hour; n.loop.subscribe() })
	wait(t, open)
	n.loop.post(n.loop.subscribe)
	wait(t, open)
	wait(t, closed)
}

// A reload that names another discovery asks there at once, again if that fails, and for the whole
// list: the new one's revisions need not go on from the old one's, whose watch ends.
func TestReloadMovesWatch(t *testing.T) {
	t.Parallel()
	oldAddr, oldLines, oldAsked := registry(t)
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
			fmt.Fprintln(w, message(3, true, entry("new", "SERVING")))
		}
	}))
	t.Cleanup(s.CloseClientConnections)

	events := make(chan hollyspur.Event, 10)
	cfg := testConfig(oldAddr, serving("old", "127.0.0.1:1"))
	n := startNode(t, cfg, moduleFunc(func(e hollyspur.Event) []hollyspur.Action {
		events <- e
		if l, is := e.(hollyspur.ServerList); is && l.Cached {
			return []hollyspur.Action{hollyspur.Subscribe{}}
		}
		return nil
	}))
	wait(t, oldAsked)
	wait(t, events)
	cfg.Discovery = strings.TrimPrefix(s.URL, "http://")
	n.Reload(cfg)
	n.Reload(cfg) // the same again changes nothing
	for range 2 {
		if q := wait(t, asked); q != "" {
			t.Fatalf("asked with %q, not for the whole list", q)
		}
	}
	select {
	case oldLines <- message(8, true, entry("stale", "SERVING")):
		// The old watch may still be read, but counts no more.
	default:
	}
	close(oldEnded)
	if q := wait(t, asked); q != "follow=1&since=3" {
		t.Errorf("watches with %q", q)
	}
	l, is := wait(t, events).(hollyspur.ServerList)
	if !is || !l.Full || len(l.Servers) != 1 || l.Servers[0].ID != "new" {
		t.Errorf("event %+v", l)
	}
}

// Where the list comes unasked the node watches by itself and again after a break.
func TestPushedList(t *testing.T) {
	t.Parallel()
	addr, lines, asked := registry(t)
	cfg := testConfig(addr)
	cfg.Settings.AskDiscovery = false
	startNode(t, cfg, nil)
	wait(t, asked)
	lines <- "end"
	wait(t, asked)
}

// Boot times are Unix time, as is the node's clock, whenever the node itself started.
func TestBootTime(t *testing.T) {
	c := clock{time.Now()}
	boot := c.start.Add(-3 * time.Second) // before the node
	s := Target{UID: "s", State: "SERVING", BootMS: float64(boot.UnixMilli())}.server()
	if age := c.now() - s.Boot; age < 3*time.Second || age > 3*time.Second+limit {
		t.Errorf("age %v", age)
	}
	if s := (Target{}).server(); s.Boot != 0 {
		t.Errorf("a boot long ago is %v", s.Boot)
	}
}

// The loop must not use a server that a list no longer names, nor an address that it has left.
func TestListRulesServers(t *testing.T) {
	m := moduleFunc(func(hollyspur.Event) []hollyspur.Action { return nil })
	cfg := testConfig("127.0.0.1:1")
	l := newLoop(cfg, m, newUpstream(cfg, 1), newDiscovery(cfg.Discovery))
	l.takeList(List{All: true, Targets: []Target{serving("a", "127.0.0.1:1"), serving("b", "127.0.0.1:2"),
		serving("c", "127.0.0.1:3")}}, false)
	a, b, c := l.servers["a"], l.servers["b"], l.servers["c"]
	drain := serving("a", "127.0.0.1:1")
	drain.State = "DRAINING"
	l.takeList(List{Targets: []Target{drain, serving("b", "127.0.0.1:9")}}, false)
	if a.usable.Load() || b.usable.Load() || !c.usable.Load() || !l.servers["b"].usable.Load() {
		t.Error("after changes: a drains, b moved, c stays")
	}
	l.takeList(List{Targets: []Target{serving("a", "127.0.0.1:1")}}, false)
	if !a.usable.Load() || l.servers["a"] != a {
		t.Error("a serves again")
	}
	l.takeList(List{All: true, Targets: []Target{serving("a", "127.0.0.1:1")}}, false)
	if c.usable.Load() || len(l.servers) != 1 {
		t.Error("a full list that names only a")
	}
}
