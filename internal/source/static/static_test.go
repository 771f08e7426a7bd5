package static

import (
	"context"
	"errors"
	"testing"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
)

// The list is passed on once, unless the engine has it, and the source then waits for the end of its context.
func TestWatch(t *testing.T) {
	source := Source{{Server: balancer.Server{ID: "a"}, Addr: "127.0.0.1:1"}}
	for _, c := range []struct {
		name, since string
		updates     int
	}{
		{"from the beginning", "", 1},
		{"from another source's version", "41", 1},
		{"from its own version", version, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(context.Background())
			errReplaced := errors.New("replaced")
			cancel(errReplaced)
			var updates []engine.ListUpdate
			err := source.Watch(ctx, c.since, func(n engine.ListUpdate) { updates = append(updates, n) })
			if !errors.Is(err, errReplaced) {
				t.Errorf("ended with %v", err)
			}
			if len(updates) != c.updates {
				t.Fatalf("%d updates, want %d", len(updates), c.updates)
			}
			for _, n := range updates {
				if !n.Full || n.Version != version || len(n.Servers) != 1 {
					t.Errorf("update %+v", n)
				}
			}
		})
	}
}
