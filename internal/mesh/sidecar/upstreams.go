package sidecar

import (
	"sync"
	"sync/atomic"

	"cranegrade/internal/engine"
)

// upstreams owns the connections to other sidecars, by address. It implements engine.Sender: an attempt is a stream on
// one of these connections. Its methods may be called by any goroutine.
type upstreams struct {
	env       *environment
	directory *directoryView

	mu           sync.Mutex // guards byAddr
	byAddr       map[string]*upstream
	lastStreamID atomic.Uint64
}

func newUpstreams(env *environment, directory *directoryView) *upstreams {
	return &upstreams{env: env, directory: directory, byAddr: map[string]*upstream{}}
}

// get returns the upstream of an address, and creates it if there is none.
func (u *upstreams) get(addr string) *upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	connection := u.byAddr[addr]
	if connection == nil {
		connection = &upstream{
			env:      u.env,
			addr:     addr,
			attempts: map[uint64]*upstreamAttempt{},
		}
		u.byAddr[addr] = connection
	}
	return connection
}

// Drop implements engine.Sender. It does nothing: open attempts continue, and Sweep closes idle connections.
func (u *upstreams) Drop(*engine.Endpoint) {}

// Sweep implements engine.Sender. It closes idle connections to sidecars that are no longer in the directory.
func (u *upstreams) Sweep() {
	table := u.directory.table.Load()
	u.mu.Lock()
	defer u.mu.Unlock()
	for addr, connection := range u.byAddr {
		if _, isListed := table.Get(addr); !isListed && connection.closeIfIdle() {
			delete(u.byAddr, addr)
		}
	}
}

// activeAddrs returns the addresses of upstreams with open attempts.
func (u *upstreams) activeAddrs() (addrs []string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for addr, connection := range u.byAddr {
		if connection.isActive() {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// close closes all connections. Attempts that are still open end as broken.
func (u *upstreams) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, connection := range u.byAddr {
		connection.close()
	}
}
