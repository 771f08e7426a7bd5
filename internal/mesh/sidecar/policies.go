package sidecar

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"cranegrade/balancer"
	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/policy"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// activePolicies are the namespaces and rulings that this line goes by, and how far it knows that they bind (classmark/bind.go). A set
// that it holds and that does not bind yet is among the line's items only.
type activePolicies struct {
	table        config.Table
	state        atomic.Pointer[policy.SidecarState]
	activeSince  atomic.Int64 // when bound was taken, of the line's clock
	startPolling sync.Once    // starts asking, which goes on then
	pollNow      chan struct{}
}

func (r *activePolicies) current() policy.SidecarState {
	if l := r.state.Load(); l != nil {
		return *l
	}
	return policy.SidecarState{}
}

// setPolicyState is called with the line's lock held.
func (l *Sidecar) setPolicyState(x policy.SidecarState) {
	l.policies.state.Store(&x)
	if x.HasPolicies {
		l.policies.startPolling.Do(func() {
			l.policies.pollNow = make(chan struct{}, 1)
			go l.pollActivePolicies()
		})
	}
}

// isFenced says that this line does not know for certain which rules bind.
func (l *Sidecar) isFenced() bool { return l.policies.current().IsFenced(l.clock.Now()) }

// noteHeldPolicies notes that items were taken. The caller holds the lock.
func (l *Sidecar) noteHeldPolicies(raised []config.Item) {
	for _, i := range raised {
		if i.Kind.InPolicySet() {
			l.setPolicyState(l.policies.current().Receive(l.items.PolicyFingerprint()))
			return
		}
	}
}

// activatePolicies goes by the set that is held from now on. The caller holds the lock.
func (l *Sidecar) activatePolicies(leaf policy.SidecarState, bound config.Table) {
	l.policies.table = bound
	l.policies.activeSince.Store(int64(l.clock.Now()))
	l.setPolicyState(leaf)
	l.rebuildRouting()
	l.log.Info().Str("rules", leaf.Active).Uint64("at", leaf.ActiveIndex).Msg("rules bind")
}

// applyActivePolicies takes word that a set binds.
func (l *Sidecar) applyActivePolicies(b *wire.ActivePolicyT) {
	l.mu.Lock()
	defer l.mu.Unlock()
	leaf, take, ask := l.policies.current().Activate(b.Fingerprint, b.Index)
	if take {
		l.activatePolicies(leaf, l.items.PolicyItems())
	}
	if ask {
		leaf.HasPolicies = true
		l.setPolicyState(leaf)
		select {
		case l.policies.pollNow <- struct{}{}:
		default:
		}
	}
}

// applyConfirmedTable takes all items, and which rules bind, as a read confirmed them that was asked for at a time; false: the rules are
// not those of the fingerprint, and it has to be asked again.
func (l *Sidecar) applyConfirmedTable(t *wire.ItemsT, asked time.Duration) bool {
	l.mergeItems(config.ItemsFromWire(t))
	l.mu.Lock()
	defer l.mu.Unlock()
	was := l.policies.current()
	leaf := was.Restore(t.ActiveFingerprint, t.ActiveIndex, asked)
	if leaf.ActiveIndex == was.ActiveIndex && leaf.Active == was.Active {
		l.setPolicyState(leaf)
		return true
	}
	bound, _ := config.Table{}.Merge(config.ItemsFromWire(&wire.ItemsT{List: t.ActivePolicy}))
	if leaf.Active == l.items.PolicyFingerprint() {
		bound = l.items.PolicyItems()
	}
	if bound.PolicyFingerprint() != leaf.Active {
		return false
	}
	l.activatePolicies(leaf, bound)
	return true
}

// pollActivePolicies asks whether the rules still bind, for as long as the line runs.
func (l *Sidecar) pollActivePolicies() {
	t := time.NewTicker(policy.ConfirmInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-l.policies.pollNow:
		case <-l.ctx.Done():
			return
		}
		c := l.controlPlane.conn.Load()
		if c == nil || c.Err() != nil {
			continue
		}
		if err := l.confirmActivePolicies(c); err != nil {
			l.log.Info().Err(err).Str("register", c.RemoteAddr()).Msg("rules")
		}
	}
}

func (l *Sidecar) confirmActivePolicies(c *transport.Conn) error {
	ctx, cancel := context.WithTimeout(l.ctx, callTimeout)
	defer cancel()
	asked := l.clock.Now()
	t, err := l.calls.Call(ctx, c, codec.CallActivePolicy, nil)
	if err != nil {
		return err
	}
	if t.Status != http.StatusOK {
		return errors.Errorf("status %d", t.Status)
	}
	b, err := codec.DecodeTable(t.Body, func(p []byte) *wire.ActivePolicyT { return wire.GetRootAsActivePolicy(p, 0).UnPack() })
	if err != nil {
		return err
	}
	l.mu.Lock()
	leaf, same := l.policies.current().Confirm(b.Fingerprint, b.Index, b.CommittedFingerprint, asked)
	if same {
		l.setPolicyState(leaf)
	}
	l.mu.Unlock()
	if same {
		return nil
	}
	_, err = l.controlPlane.readTable(c)
	return err
}

// checkPolicy says whether the merged rule lets a request be; else why not.
func (l *Sidecar) checkPolicy(m *policy.Decision, caller string) (status int, text string) {
	switch {
	case l.isFenced():
		return http.StatusServiceUnavailable, "which rules bind could not be confirmed for a while"
	case m.DeniedBy != nil:
		return http.StatusForbidden, "by " + m.DeniedBy.String() + " " + caller + " may not call it"
	}
	return 0, ""
}

// retryConditionNames are the endings after which a rule may allow a further try, as it names them.
var retryConditionNames = map[balancer.Ending]string{balancer.Overloaded: "refused", balancer.Unreachable: "unreachable", balancer.Failure: "failed",
	balancer.Broken: "broken", balancer.TimedOut: "timed_out"}
