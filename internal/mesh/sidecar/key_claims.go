package sidecar

import (
	"context"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// claimRetryInterval is the pause between two attempts of one claim.
const claimRetryInterval = 30 * time.Millisecond

// errClaimsUnanswered says that a claim was given up at once, for none is answered at the moment.
const errClaimsUnanswered = errors.ConstError("keys are not granted at the moment")

// keyClaims has the control plane grant the leases of keys.
type keyClaims struct {
	env          *environment
	controlPlane *controlPlaneConn
	breaker      claimBreaker
}

// claim asks for the lease of a key, and again, by then maybe at another member, while there is time. An error says nothing of
// whether the lease is granted: that may still come about.
func (k *keyClaims) claim(ctx context.Context, claim *wire.KeyLeaseRequestT) (grant *wire.KeyLeaseResultT, err error) {
	clock := k.env.clock
	if !k.breaker.admit(clock.Now()) {
		return nil, errClaimsUnanswered
	}
	k.reportWaiting()
	defer func() {
		k.breaker.finish(clock.Now(), err == nil)
		k.reportWaiting()
	}()
	body := codec.EncodeTable(&wire.KeyLeaseRequestsT{List: []*wire.KeyLeaseRequestT{claim}})
	for {
		if conn := k.controlPlane.current(); conn != nil {
			if grant := k.callClaim(ctx, conn, body); grant != nil {
				return grant, nil
			}
		}
		select {
		case <-time.After(claimRetryInterval):
		case <-ctx.Done():
			return nil, errors.Annotate(ctx.Err(), "the key was not granted in time")
		}
	}
}

// callClaim makes one call for one claim; nil: there is no usable reply.
func (k *keyClaims) callClaim(ctx context.Context, conn *transport.Conn, body []byte) *wire.KeyLeaseResultT {
	reply, err := k.env.callMember(ctx, conn, codec.CallLeaseKeys, body)
	if err != nil {
		return nil
	}
	grants, err := codec.DecodeTable(reply, func(p []byte) *wire.KeyLeaseResultsT {
		return wire.GetRootAsKeyLeaseResults(p, 0).UnPack()
	})
	if err != nil || len(grants.List) != 1 {
		return nil
	}
	return grants.List[0]
}

// reportWaiting reports to the selector whether claims wait: the followed member's silence is detected sooner then. It posts only
// where that has changed. The value is read on the connection's goroutine, so that events which overtake each other do no harm.
func (k *keyClaims) reportWaiting() {
	if _, changed := k.breaker.checkWaiting(); !changed {
		return
	}
	k.controlPlane.post(func(now time.Duration) {
		waiting, _ := k.breaker.checkWaiting()
		k.controlPlane.selector.SetRequestsWaiting(now, waiting)
	})
}
