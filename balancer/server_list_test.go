package balancer

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// After any sequence of updates the ready servers, their groups and the subset are the same as after one complete list, and
// no state is kept of servers that are gone.
func TestIncrementalUpdatesMatchFullList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := Settings{
			Classes: []Class{{
				Name:     "read",
				Effect:   Idempotent,
				Aim:      time.Second,
				Deadline: time.Second,
				Worth:    1,
			}},
			Balancers:   rapid.IntRange(1, 5).Draw(t, "balancers"),
			MaxAttempts: 3,
			Tick:        time.Millisecond,
			Sizes:       Sizes(rapid.IntRange(0, 2).Draw(t, "sizes")),
		}
		set.Index = rapid.IntRange(0, set.Balancers-1).Draw(t, "index")
		b, err := New(set, 1)
		if err != nil {
			t.Fatal(err)
		}
		entry := rapid.Custom(func(t *rapid.T) Server {
			return Server{
				ID:        fmt.Sprint("s", rapid.IntRange(0, 15).Draw(t, "id")),
				Cell:      rapid.IntRange(0, 2).Draw(t, "cell"),
				State:     ServerState(rapid.IntRange(0, 2).Draw(t, "state")),
				Size:      float64(rapid.IntRange(0, 2).Draw(t, "size")),
				StartedAt: time.Duration(rapid.IntRange(0, 1).Draw(t, "boot")),
			}
		})
		want := map[string]Server{} // the complete list
		now, requests := time.Duration(0), 0
		var open []Send
		t.Repeat(map[string]func(*rapid.T){
			"update": func(t *rapid.T) {
				full := rapid.IntRange(0, 4).Draw(t, "full") == 0
				l := rapid.SliceOfN(entry, 0, 6).Draw(t, "servers")
				if full {
					clear(want)
				}
				for _, s := range l {
					if s.State == Gone {
						delete(want, s.ID)
					} else {
						want[s.ID] = s
					}
				}
				b.Handle(now, ServerList{Full: full, Servers: l})
			},
			"request": func(t *rapid.T) {
				now += time.Millisecond
				requests++
				for _, a := range b.Handle(now, Request{
					ID:       fmt.Sprint(requests),
					Class:    "read",
					Deadline: now + time.Hour,
				}) {
					if s, ok := a.(Send); ok {
						open = append(open, s)
					}
				}
			},
			"outcome": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("no attempt is in flight")
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				b.Handle(now, Outcome{ID: open[i].ID, Server: open[i].Server, Ending: Success, Ended: true})
				open = slices.Delete(open, i, i+1)
			},
			"": func(t *rapid.T) {
				fresh, err := New(set, 1)
				if err != nil {
					t.Fatal(err)
				}
				var l []Server
				for _, s := range want {
					l = append(l, s)
				}
				fresh.Handle(0, ServerList{Full: true, Servers: l})
				describe := func(l []*server) (s string) {
					for _, x := range l {
						s += fmt.Sprintf("%s/%d/%v/%v ", x.ID, x.Cell, x.Size, x.inRightGroup)
					}
					return s
				}
				if x, y := describe(b.ready), describe(fresh.ready); x != y {
					t.Fatalf("ready servers %s, after a complete list %s", x, y)
				}
				if x, y := describe(b.subset), describe(fresh.subset); x != y {
					t.Fatalf("subset %s, after a complete list %s", x, y)
				}
				if b.largestSize != fresh.largestSize && len(b.ready) > 0 || len(b.ready) > 0 && b.meanSize != fresh.meanSize {
					t.Fatalf("largest and mean size %v and %v, after a complete list %v and %v", b.largestSize, b.meanSize, fresh.largestSize, fresh.meanSize)
				}
				for id, s := range b.servers {
					if _, listed := want[id]; !listed && s.calls == 0 {
						t.Fatalf("state of server %s is kept although it is gone", id)
					}
				}
			},
		})
	})
}

// BenchmarkServerListUpdate measures an update of one server. Its cost grows far more slowly than the list.
func BenchmarkServerListUpdate(bench *testing.B) {
	for _, n := range []int{100, 10_000} {
		bench.Run(fmt.Sprint(n), func(bench *testing.B) {
			b, err := New(Settings{
				Classes: []Class{{
					Name:     "read",
					Effect:   Idempotent,
					Aim:      time.Second,
					Deadline: time.Second,
					Worth:    1,
				}},
				Balancers:   100,
				MaxAttempts: 3,
				Tick:        time.Millisecond,
			}, 1)
			if err != nil {
				bench.Fatal(err)
			}
			var l []Server
			for i := range n {
				l = append(l, Server{ID: fmt.Sprint("s", i)})
			}
			b.Handle(0, ServerList{Full: true, Servers: l})
			rng := rand.New(rand.NewPCG(1, 2))
			bench.ReportAllocs()
			for i := 0; bench.Loop(); i++ {
				s := l[rng.IntN(n)]
				s.State = ServerState(i % 2)
				b.Handle(time.Duration(i), ServerList{Servers: []Server{s}})
			}
		})
	}
}

// Replicas have the same order of servers, whatever the order of the updates.
func TestReplicasShareTheOrder(t *testing.T) {
	a, b := newBalancer(t, nil), newBalancer(t, nil)
	l := servers(7)
	a.Handle(0, ServerList{Full: true, Servers: l})
	for i := len(l) - 1; i >= 0; i-- {
		b.Handle(0, ServerList{Servers: l[i : i+1]})
	}
	for i := range l {
		if a.ready[i].ID != b.ready[i].ID {
			t.Fatalf("order differs at %d: %s, %s", i, a.ready[i].ID, b.ready[i].ID)
		}
	}
}

// A server with a new start time was restarted: its learned state is discarded.
func TestRestartDiscardsLearnedState(t *testing.T) {
	b := newBalancer(t, nil)
	list := servers(4)
	b.Handle(0, ServerList{Full: true, Servers: list})
	s := b.servers["s01"]
	s.ejectedUntil, s.ejectionLevel, s.slowness = time.Hour, 3, 1
	list[1].StartedAt = time.Second
	b.Handle(2*time.Second, ServerList{Servers: list[1:2]})
	if s := b.servers["s01"]; s.ejectedUntil != 0 || s.ejectionLevel != 0 || s.slowness != 0 {
		t.Errorf("after its restart: %+v", s)
	}
}
