package fake

import (
	"strconv"
	"testing"
	"time"
)

// A key is known to the servers of its scope, for as long as its window.
func TestKeysAreKnownWithinScopeAndWindow(t *testing.T) {
	const window = 10 * time.Second
	for _, c := range []struct {
		name      string
		scope     Scope
		zone      string
		cell      int
		at        time.Duration
		duplicate bool
	}{
		{"the same server", ScopeCell, "a", 1, 0, true},
		{"another cell, scope cell", ScopeCell, "a", 2, 0, false},
		{"another cell, scope zone", ScopeZone, "a", 2, 0, true},
		{"another zone, scope zone", ScopeZone, "b", 1, 0, false},
		{"another zone, scope all", ScopeAll, "b", 1, 0, true},
		{"just within the window", ScopeAll, "a", 1, window - 1, true},
		{"after the window", ScopeAll, "a", 1, window, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			keys := NewKeyStore()
			class := Class{Name: "send", Effect: Keyed, Scope: c.scope, Window: window}
			if keys.checkAndAdd("k", class, "a", 1, 0) {
				t.Fatal("a new key is known")
			}
			if got := keys.checkAndAdd("k", class, c.zone, c.cell, c.at); got != c.duplicate {
				t.Errorf("duplicate %v, want %v", got, c.duplicate)
			}
		})
	}
}

// Old keys are forgotten once there are many.
func TestKeyStoreIsBounded(t *testing.T) {
	keys := NewKeyStore()
	class := Class{Name: "send", Effect: Keyed, Scope: ScopeAll, Window: time.Second}
	for i := range keyStoreLimit {
		keys.checkAndAdd(strconv.Itoa(i), class, "a", 1, 0)
	}
	keys.checkAndAdd("new", class, "a", 1, 2*keyStoreMaxAge)
	if n := len(keys.seenAt); n != 1 {
		t.Errorf("%d keys are kept, want only the new one", n)
	}
}
