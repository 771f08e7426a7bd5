package sidecar

import (
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/internal/mesh/directory"
)

// sidecarSilenceTimeout is the time without a new record after which a sidecar is removed from the directory.
const sidecarSilenceTimeout = 45 * time.Second

// directoryView is this sidecar's copy of the directory: all sidecars, and the state of the server beside each. The
// table is a snapshot that is replaced as a whole.
type directoryView struct {
	env         *environment
	pools       *servicePools
	localServer *localServer

	mu    sync.Mutex // guards changes of table, which is read without it
	table atomic.Pointer[directory.Table]
}

func newDirectoryView(env *environment) *directoryView {
	d := &directoryView{env: env}
	d.table.Store(&directory.Table{})
	return d
}

// mergeRecords merges records that a control-plane member sent, or this sidecar's own record.
func (d *directoryView) mergeRecords(records []directory.Record) {
	addr := d.env.addr()
	d.mu.Lock()
	next, changed := d.table.Load().Merge(d.env.clock.Now(), records)
	if len(changed) > 0 {
		d.table.Store(&next)
	}
	d.mu.Unlock()
	if len(changed) == 0 {
		return
	}
	for _, record := range changed {
		if record.Addr == addr {
			d.localServer.raiseIncarnation(record.Incarnation)
		}
	}
	d.pools.refreshServices()
}

// expire removes sidecars of which no new record has been received for sidecarSilenceTimeout.
func (d *directoryView) expire() {
	d.mu.Lock()
	next, dropped := d.table.Load().Expire(d.env.clock.Now(), sidecarSilenceTimeout)
	if len(dropped) > 0 {
		d.table.Store(&next)
	}
	d.mu.Unlock()
	if len(dropped) > 0 {
		d.pools.refreshServices()
	}
}
