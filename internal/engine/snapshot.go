package engine

import (
	"context"

	"cranegrade/balancer"
)

// Learner is a module that can start from the estimates of another one.
type Learner interface {
	Knowledge() *balancer.Knowledge
	Learn(*balancer.Knowledge)
}

// Export returns the list as the source reported it and the module's estimates, which are nil if it is no Learner. It
// returns false if ctx or the engine ends first. It is called from any goroutine but the engine's.
func (e *Engine) Export(ctx context.Context) (s Snapshot, ok bool) {
	got := make(chan Snapshot, 1)
	go e.Do(func() {
		snapshot := Snapshot{Version: e.listVersion}
		for _, ep := range e.endpoints {
			snapshot.Servers = append(snapshot.Servers, ep.listed)
		}
		if l, is := e.cfg.Module.(Learner); is {
			snapshot.Knowledge = l.Knowledge()
		}
		got <- snapshot
	})
	select {
	case s := <-got:
		return s, true
	case <-ctx.Done():
	case <-e.done:
	}
	return Snapshot{}, false
}

// Snapshot is what a new engine needs to continue in the place of this one.
type Snapshot struct {
	Version   string // of the list
	Servers   []Listed
	Knowledge *balancer.Knowledge // nil means no estimates
}
