package sidecar

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/policy"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// policyPoller polls the followed member for the active policy set, from the first time that policies are received until
// the sidecar ends. It passes the replies to the configuration. Its goroutine ends with the environment's context; Run
// does not wait for it, since a connection's goroutine may start it at any time.
type policyPoller struct {
	env           *environment
	configuration *configuration
	controlPlane  *controlPlaneConn
	once          sync.Once // guards start
	pollRequested chan struct{}
}

func newPolicyPoller(env *environment, c *configuration, controlPlane *controlPlaneConn) *policyPoller {
	return &policyPoller{
		env:           env,
		configuration: c,
		controlPlane:  controlPlane,
		pollRequested: make(chan struct{}, 1),
	}
}

// start starts run on its own goroutine. Only the first call has an effect.
func (p *policyPoller) start() { p.once.Do(func() { go p.run() }) }

// requestPoll makes the next poll start without waiting for the interval.
func (p *policyPoller) requestPoll() {
	select {
	case p.pollRequested <- struct{}{}:
	default:
	}
}

// run polls every policy.ConfirmInterval, and whenever requestPoll was called.
func (p *policyPoller) run() {
	ticker := time.NewTicker(policy.ConfirmInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-p.pollRequested:
		case <-p.env.ctx.Done():
			return
		}
		conn := p.controlPlane.current()
		if conn == nil {
			continue
		}
		if err := p.poll(conn); err != nil {
			p.env.log.Info().Err(err).Str("member_addr", conn.RemoteAddr()).
				Msg("poll of the active policies failed, polling again at the next interval")
		}
	}
}

// poll polls once. If the active set is not the one in force in this sidecar, it reads the complete table.
func (p *policyPoller) poll(conn *transport.Conn) error {
	ctx, cancel := context.WithTimeout(p.env.ctx, callTimeout)
	defer cancel()
	requestedAt := p.env.clock.Now()
	body, err := p.env.callMember(ctx, conn, codec.CallActivePolicy, nil)
	if err != nil {
		return errors.Annotate(err, "read the active policies")
	}
	active, err := codec.DecodeTable(body, func(encoded []byte) *wire.ActivePolicyT {
		return wire.GetRootAsActivePolicy(encoded, 0).UnPack()
	})
	if err != nil {
		return errors.Annotatef(err, "decode the active policies from control-plane member %s", conn.RemoteAddr())
	}
	if p.configuration.confirmPolicies(active, requestedAt) {
		return nil
	}
	_, err = p.controlPlane.readTable(conn)
	return err
}
