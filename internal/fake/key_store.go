package fake

import (
	"fmt"
	"sync"
	"time"
)

const (
	keyStoreLimit  = 1 << 16     // keys above which old ones are forgotten
	keyStoreMaxAge = time.Minute // of a key that is kept then
)

// KeyStore holds the idempotency keys that a set of servers has seen, each within the scope of its class.
type KeyStore struct {
	mu     sync.Mutex
	seenAt map[string]time.Duration // by class, key and scope
}

// NewKeyStore returns an empty store.
func NewKeyStore() *KeyStore { return &KeyStore{seenAt: map[string]time.Duration{}} }

// checkAndAdd reports whether the servers of the key's scope have seen the key within the class's window, and adds it if not.
func (k *KeyStore) checkAndAdd(key string, c Class, zone string, cell int, now time.Duration) (duplicate bool) {
	id := c.Name + "\x00" + key
	switch c.Scope {
	case ScopeZone:
		id += "\x00" + zone
	case ScopeCell:
		id += fmt.Sprintf("\x00%s\x00%d", zone, cell)
	case ScopeAll:
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if at, known := k.seenAt[id]; known && now-at < c.Window {
		return true
	}
	k.seenAt[id] = now
	if len(k.seenAt) > keyStoreLimit {
		k.forgetOldKeys(now)
	}
	return false
}

// forgetOldKeys bounds the store's memory. The caller holds mu.
func (k *KeyStore) forgetOldKeys(now time.Duration) {
	for id, at := range k.seenAt {
		if now-at > keyStoreMaxAge {
			delete(k.seenAt, id)
		}
	}
}
