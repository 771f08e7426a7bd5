package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A Send names spares only if the settings have any, and only for idempotent classes: other ready servers that are not in
// slow start, each once. Naming them adds no attempts.
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
	for _, spares := range []int{0, 2, 9} {
		b, err := New(Settings{
			Classes:      []Class{class("read", Idempotent), class("order", NonIdempotent), class("send", IdempotentByKey)},
			Balancers:    1,
			Spares:       spares,
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
			{ID: "draining", State: Draining},
		}})
		for i, name := range []string{"read", "order", "send", "read"} {
			id := fmt.Sprint(i)
			s := b.Handle(now, Request{ID: id, Class: name, Deadline: now + time.Second})[0].(Send)
			most := 0
			if name == "read" {
				most = min(spares, 4)
			}
			if len(s.Spares) > most || name == "read" && spares == 2 && len(s.Spares) == 0 {
				t.Errorf("setting of %d spares, class %s: got %v", spares, name, s.Spares)
			}
			excluded := []string{s.Server, "cold", "draining"}
			for _, x := range s.Spares {
				if slices.Contains(excluded, x) {
					t.Errorf("spare %s of a request sent to %s: %v", x, s.Server, s.Spares)
				}
				excluded = append(excluded, x)
			}
			if n := len(b.requests[id].attempts); n != 1 {
				t.Errorf("the request has %d attempts, want 1", n)
			}
			b.Handle(now, Outcome{ID: id, Server: s.Server, Ending: Success, Ended: true})
		}
	}
}
