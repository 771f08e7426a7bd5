package sidecar

import (
	"context"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// claimRetryInterval is the pause between two attempts of a lease request.
const claimRetryInterval = 30 * time.Millisecond

// errClaimsUnanswered is the error of a lease request that claimBreaker rejected because no lease requests are being
// answered.
const errClaimsUnanswered = errors.ConstError("key lease request not sent: the control plane is not answering lease requests")

// keyClaims requests key leases from the control plane. Any goroutine may call claim.
type keyClaims struct {
	env          *environment
	controlPlane *controlPlaneConn
	breaker      claimBreaker
}

// claim requests the lease of a key. It retries until ctx ends, at whichever member is followed at the time. After an
// error the lease may still be granted later.
func (k *keyClaims) claim(ctx context.Context, request *wire.KeyLeaseRequestT) (result *wire.KeyLeaseResultT, err error) {
	clock := k.env.clock
	if !k.breaker.admit(clock.Now()) {
		return nil, errClaimsUnanswered
	}
	k.reportWaiting()
	defer func() {
		k.breaker.finish(clock.Now(), err == nil)
		k.reportWaiting()
	}()
	body := codec.EncodeTable(&wire.KeyLeaseRequestsT{List: []*wire.KeyLeaseRequestT{request}})
	for {
		if conn := k.controlPlane.current(); conn != nil {
			if result := k.tryClaim(ctx, conn, body); result != nil {
				return result, nil
			}
		}
		select {
		case <-time.After(claimRetryInterval):
		case <-ctx.Done():
			return nil, errors.Annotate(ctx.Err(), "key lease request ended without an answer")
		}
	}
}

// tryClaim sends a lease request once. It returns nil if there was no valid reply.
func (k *keyClaims) tryClaim(ctx context.Context, conn *transport.Conn, body []byte) *wire.KeyLeaseResultT {
	reply, err := k.env.callMember(ctx, conn, codec.CallLeaseKeys, body)
	if err != nil {
		return nil
	}
	results, err := codec.DecodeTable(reply, func(p []byte) *wire.KeyLeaseResultsT {
		return wire.GetRootAsKeyLeaseResults(p, 0).UnPack()
	})
	if err != nil || len(results.List) != 1 {
		return nil
	}
	return results.List[0]
}

// reportWaiting tells the member selector whether lease requests are waiting, because it must then detect sooner that
// the followed member is silent. It posts an event only if that has changed. The goroutine that handles the event reads
// the value again, so that the order of events does not matter.
func (k *keyClaims) reportWaiting() {
	if _, changed := k.breaker.checkWaiting(); !changed {
		return
	}
	k.controlPlane.post(func(now time.Duration) {
		waiting, _ := k.breaker.checkWaiting()
		k.controlPlane.selector.SetRequestsWaiting(now, waiting)
	})
}
