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
	// maxPendingReleases bounds the queue; keys beyond it stay leased for their window.
	maxPendingReleases = 4096
	// releaseRetryInterval is the pause between two attempts to send the same releases.
	releaseRetryInterval = 50 * time.Millisecond
)

// errNoMember says that no control-plane member has been followed yet.
const errNoMember = errors.ConstError("no control-plane member is followed")

// releaseQueue holds the keys whose leases have to be released because their requests never ran. The goroutine of run
// sends the releases in order, and repeats each until it is acknowledged.
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

// add queues the release of a key. It is sent as soon as a member is followed.
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

// take removes and returns all pending releases.
func (q *releaseQueue) take() []*wire.KeyLeaseRequestT {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.pending
	q.pending = nil
	return taken
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
			releases := q.take()
			if len(releases) == 0 {
				break
			}
			q.sendUntilTaken(releases)
		}
	}
}

// sendUntilTaken repeats releases until a member has acknowledged them or the sidecar ends.
func (q *releaseQueue) sendUntilTaken(releases []*wire.KeyLeaseRequestT) {
	for {
		err := q.send(releases)
		if err == nil || q.env.ctx.Err() != nil {
			return
		}
		time.Sleep(releaseRetryInterval)
	}
}

// send sends releases once to the followed member. The error is errNoMember if none is followed yet, a statusError, or
// that of the connection.
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
