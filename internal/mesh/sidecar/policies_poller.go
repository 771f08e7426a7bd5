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

// policyPoller polls the followed member for which policies are active, from when any are known until the sidecar
// ends. The configuration keeps the results. Its goroutine ends with the environment's context; Run does not wait for
// it, since a connection's goroutine may start it at any time.
type policyPoller struct {
	env           *environment
	configuration *configuration
	controlPlane  *controlPlaneConn
	once          sync.Once // of start
	pollNow       chan struct{}
}

func newPolicyPoller(env *environment, c *configuration, controlPlane *controlPlaneConn) *policyPoller {
	return &policyPoller{
		env:           env,
		configuration: c,
		controlPlane:  controlPlane,
		pollNow:       make(chan struct{}, 1),
	}
}

// start starts the goroutine of run. Only the first call has an effect.
func (p *policyPoller) start() { p.once.Do(func() { go p.run() }) }

// pollSoon starts the next poll without waiting for the interval.
func (p *policyPoller) pollSoon() {
	select {
	case p.pollNow <- struct{}{}:
	default:
	}
}

// run polls at policy.ConfirmInterval, and whenever pollSoon was called.
func (p *policyPoller) run() {
	ticker := time.NewTicker(policy.ConfirmInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-p.pollNow:
		case <-p.env.ctx.Done():
			return
		}
		conn := p.controlPlane.current()
		if conn == nil {
			continue
		}
		if err := p.poll(conn); err != nil {
			p.env.log.Info().Err(err).Str("member_addr", conn.RemoteAddr()).Msg("poll of the active policies failed")
		}
	}
}

// poll polls once, and reads the complete table if another set is active than here.
func (p *policyPoller) poll(conn *transport.Conn) error {
	ctx, cancel := context.WithTimeout(p.env.ctx, callTimeout)
	defer cancel()
	askedAt := p.env.clock.Now()
	body, err := p.env.callMember(ctx, conn, codec.CallActivePolicy, nil)
	if err != nil {
		return errors.Annotate(err, "read of the active policies")
	}
	active, err := codec.DecodeTable(body, func(encoded []byte) *wire.ActivePolicyT {
		return wire.GetRootAsActivePolicy(encoded, 0).UnPack()
	})
	if err != nil {
		return errors.Annotatef(err, "reply of %s on the active policies", conn.RemoteAddr())
	}
	if p.configuration.confirmPolicies(active, askedAt) {
		return nil
	}
	_, err = p.controlPlane.readTable(conn)
	return err
}
