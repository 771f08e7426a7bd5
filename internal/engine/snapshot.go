package engine

import (
	"context"

	"cranegrade/balancer"
)

// Learner is a Module that can export its estimates, and start from those of another module.
type Learner interface {
	Knowledge() *balancer.Knowledge // exports the estimates
	Learn(*balancer.Knowledge)      // imports estimates
}

// Export returns the server list as the source reported it and the module's estimates. It returns false if ctx or the engine
// ends first. It waits for the engine's goroutine, which therefore must not call it.
func (e *Engine) Export(ctx context.Context) (s Snapshot, ok bool) {
	exported := make(chan Snapshot, 1)
	go e.Do(func() {
		snapshot := Snapshot{Version: e.listVersion}
		for _, ep := range e.endpoints {
			snapshot.Servers = append(snapshot.Servers, ep.listed)
		}
		if learner, isLearner := e.cfg.Module.(Learner); isLearner {
			snapshot.Knowledge = learner.Knowledge()
		}
		exported <- snapshot
	})
	select {
	case s := <-exported:
		return s, true
	case <-ctx.Done():
	case <-e.done:
	}
	return Snapshot{}, false
}

// Snapshot is the state from which another engine can continue in place of the one that exported it.
type Snapshot struct {
	Version   string // version of the server list
	Servers   []Listed
	Knowledge *balancer.Knowledge // the module's estimates; nil if it is no Learner
}
