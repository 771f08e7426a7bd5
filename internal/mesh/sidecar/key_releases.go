package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

const (
	// maxPendingReleases bounds the queue. Releases beyond it are dropped, and their keys stay leased for their window.
	maxPendingReleases = 4096
	// releaseRetryInterval is the pause between two attempts to send the same releases.
	releaseRetryInterval = 50 * time.Millisecond
)

// errNoMember is the error of a release that could not be sent because no control-plane member has been followed yet.
const errNoMember = errors.ConstError("key releases not sent: not connected to any control-plane member yet")

// releaseQueue queues releases of key leases whose requests never ran. The goroutine of run sends the releases in
// order, and retries until they are acknowledged.
type releaseQueue struct {
	env          *environment
	controlPlane *controlPlaneConn
	wake         chan struct{}

	mu      sync.Mutex // guards pending
	pending []*wire.KeyLeaseRequestT
}

func newReleaseQueue(env *environment, controlPlane *controlPlaneConn) *releaseQueue {
	return &releaseQueue{env: env, controlPlane: controlPlane, wake: make(chan struct{}, 1)}
}

// add queues the release of a key, unless the queue is full. It is sent once a control-plane member is followed.
func (q *releaseQueue) add(release *wire.KeyLeaseRequestT) {
	q.mu.Lock()
	if len(q.pending) < maxPendingReleases {
		q.pending = append(q.pending, release)
	}
	q.mu.Unlock()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// takePending removes all pending releases from the queue and returns them.
func (q *releaseQueue) takePending() []*wire.KeyLeaseRequestT {
	q.mu.Lock()
	defer q.mu.Unlock()
	releases := q.pending
	q.pending = nil
	return releases
}

// run sends releases until the sidecar ends.
func (q *releaseQueue) run() {
	for {
		select {
		case <-q.wake:
		case <-q.env.ctx.Done():
			return
		}
		for q.env.ctx.Err() == nil {
			releases := q.takePending()
			if len(releases) == 0 {
				break
			}
			q.sendUntilAcknowledged(releases)
		}
	}
}

// sendUntilAcknowledged sends releases repeatedly until a member has acknowledged them or the sidecar ends.
func (q *releaseQueue) sendUntilAcknowledged(releases []*wire.KeyLeaseRequestT) {
	for {
		err := q.send(releases)
		if err == nil || q.env.ctx.Err() != nil {
			return
		}
		time.Sleep(releaseRetryInterval)
	}
}

// send sends releases once to the followed member. It returns errNoMember if none is followed yet, a statusError if the
// member rejects them, or the error of the connection.
func (q *releaseQueue) send(releases []*wire.KeyLeaseRequestT) error {
	conn := q.controlPlane.conn.Load()
	if conn == nil {
		return errNoMember
	}
	ctx, cancel := context.WithTimeout(q.env.ctx, callTimeout)
	defer cancel()
	_, err := q.env.callMember(ctx, conn, codec.CallLeaseKeys, codec.EncodeTable(&wire.KeyLeaseRequestsT{List: releases}))
	return err
}
