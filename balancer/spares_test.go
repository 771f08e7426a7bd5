package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Spares are named only if the settings ask for them, and only for idempotent classes: other warm, ready servers, each
// once. Naming them does not change the state of attempts.
func TestSpares(t *testing.T) {
	class := func(name string, e Effect) Class {
		return Class{
			Name:     name,
			Effect:   e,
			Scope:    ScopeAll,
			Window:   time.Minute,
			Aim:      time.Second,
			Deadline: time.Second,
			Worth:    1,
		}
	}
	for _, want := range []int{0, 2, 9} {
		b, err := New(Settings{
			Classes:      []Class{class("read", Idempotent), class("order", NonIdempotent), class("send", IdempotentByKey)},
			Balancers:    1,
			Spares:       want,
			MaxAttempts:  3,
			Tick:         time.Millisecond,
			ColdFrom:     0.3,
			WarmAfter:    time.Hour,
			FallMultiple: 3,
			FallFor:      time.Second,
		}, 1)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Minute
		b.Handle(now, ServerList{Full: true, Servers: []Server{
			{ID: "a"},
			{ID: "b"},
			{ID: "c"},
			{ID: "d"},
			{ID: "cold", StartedAt: now},
			{ID: "drains", State: Draining},
		}})
		for i, name := range []string{"read", "order", "send", "read"} {
			id := fmt.Sprint(i)
			s := b.Handle(now, Request{ID: id, Class: name, Deadline: now + time.Second})[0].(Send)
			most := 0
			if name == "read" {
				most = min(want, 4)
			}
			if len(s.Spares) > most || name == "read" && want == 2 && len(s.Spares) == 0 {
				t.Errorf("%d wanted, %s: %v", want, name, s.Spares)
			}
			seen := []string{s.Server, "cold", "drains"}
			for _, x := range s.Spares {
				if slices.Contains(seen, x) {
					t.Errorf("%s beside %s: %v", x, s.Server, s.Spares)
				}
				seen = append(seen, x)
			}
			if n := len(b.requests[id].attempts); n != 1 {
				t.Errorf("%d attempts are known", n)
			}
			b.Handle(now, Outcome{ID: id, Server: s.Server, Ending: Success, Ended: true})
		}
	}
}
