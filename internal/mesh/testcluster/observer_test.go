package testcluster

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/history"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/testfleet"
)

// observer records the answers that operators get from a mesh of real processes, for the checkers of package history.
type observer struct {
	began time.Time

	mu      sync.Mutex // guards history
	history history.History
}

func newObserver() *observer { return &observer{began: time.Now()} }

func (o *observer) elapsed() time.Duration { return time.Since(o.began) }

func (o *observer) record(e history.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.history.Record(e)
}

// check runs every checker on the recorded history.
func (o *observer) check(t *testing.T) {
	t.Helper()
	o.mu.Lock()
	defer o.mu.Unlock()
	report := history.Check(&o.history, history.Bounds{Search: 2 * time.Second})
	for _, v := range report.Violations {
		t.Errorf("%v", v)
	}
	if len(report.Undecided) > 0 {
		t.Logf("not decided within the search's bound: %v", report.Undecided)
	}
	t.Logf("history: %d orders, %d fetches", len(o.history.Changes), len(o.history.Fetches))
}

const routeKind = "route"

// routeChange is one change of an operator, which may be sent many times.
type routeChange struct {
	name  string
	body  []byte
	items []history.ItemVersion
}

// newRouteChange returns a change of one route. content, a path, distinguishes changes of the same version.
func newRouteChange(name, route string, version int, content string) routeChange {
	return routeChange{
		name, ModifyCall(version, nil, RouteItem(route, "idempotent", content, "stock", version)),
		[]history.ItemVersion{{Item: history.Item{Kind: routeKind, Name: route}, Version: int64(version), Digest: content}},
	}
}

// recordInitialRoutes records the routes that startRelayedCluster has applied.
func (o *observer) recordInitialRoutes() {
	for name, content := range map[string]string{"read": "/read/", "send": "/send/"} {
		o.record(history.Change{
			Call:     history.Call{Process: "start", Outcome: history.Acknowledged, Return: o.elapsed()},
			ChangeID: "start-" + name,
			Items:    []history.ItemVersion{{Item: history.Item{Kind: routeKind, Name: name}, Version: 1, Digest: content}},
		})
	}
}

// outcomeOfStatus returns the outcome of a change by the status of its answer.
func outcomeOfStatus(status int) history.Outcome {
	switch status {
	case http.StatusOK:
		return history.Acknowledged
	case http.StatusBadRequest, http.StatusForbidden, http.StatusConflict:
		return history.Refused
	}
	return history.Unknown
}

// watchLeaders records the leaders, as the members report them, until stop is called.
func (o *observer) watchLeaders(at ...*Machine) (stop func()) {
	end, ended := make(chan struct{}), make(chan struct{})
	type reign struct{ id, term uint64 }
	seen := map[reign]bool{}
	go func() {
		defer close(ended)
		for {
			for _, x := range at {
				if s := x.statusPastRelay(); s != nil && s.IsLeader && !seen[reign{s.MemberId, s.Term}] {
					seen[reign{s.MemberId, s.Term}] = true
					o.record(history.Leader{At: o.elapsed(), Process: x.Name, ID: s.MemberId, Term: s.Term})
				}
			}
			select {
			case <-time.After(watchInterval):
			case <-end:
				return
			}
		}
	}()
	return func() { close(end); <-ended }
}

const watchInterval = 50 * time.Millisecond

// send sends a change once, and records the outcome.
func (o *observer) send(by *Operator, at *Machine, x routeChange) (history.Outcome, string) {
	begin := o.elapsed()
	status, text := by.Modify(at, x.body)
	call := history.Call{Process: by.IP, Begin: begin, Return: o.elapsed(), Outcome: outcomeOfStatus(status)}
	o.record(history.Change{Call: call, ChangeID: x.name, Member: at.Name, Items: x.items})
	return call.Outcome, fmt.Sprintf("%d %s", status, text)
}

// awaitAcknowledged sends a change to members in turn until one acknowledges it. None may refuse it.
func (o *observer) awaitAcknowledged(t *testing.T, by *Operator, x routeChange, at ...*Machine) {
	t.Helper()
	n, last := 0, ""
	assert.Assert(t, testfleet.Await(testTimeout, func() bool {
		outcome, text := o.send(by, at[n%len(at)], x)
		n, last = n+1, text
		assert.Assert(t, outcome != history.Refused, "order %s is refused: %s", x.name, text)
		return outcome == history.Acknowledged
	}), "order %s has no acknowledgement: %s", x.name, last)
}

// fetch reads the configuration once, and records the result.
func (o *observer) fetch(by *Operator, at *Machine) (ok bool) {
	begin := o.elapsed()
	status, text := by.Fetch(at)
	call := history.Call{Process: by.IP, Begin: begin, Return: o.elapsed(), Outcome: history.Unknown}
	var items []history.ItemVersion
	if status == http.StatusOK {
		call.Outcome, items = history.Acknowledged, routeVersions(text)
	}
	o.record(history.Fetch{Call: call, Member: at.Name, Items: items})
	return status == http.StatusOK
}

// awaitFetched waits until a member returns the configuration.
func (o *observer) awaitFetched(t *testing.T, by *Operator, at *Machine) {
	t.Helper()
	assert.Assert(t, testfleet.Await(testTimeout, func() bool { return o.fetch(by, at) }), "%s shows no configuration", at.Name)
}

// fillerPrefix is the prefix of routes that only enlarge the state. They are not recorded.
const fillerPrefix = "filler-"

// routeVersions reads the routes of a configuration.
func routeVersions(text string) (l []history.ItemVersion) {
	var set struct {
		ListenerList []struct {
			PolicyRules []struct {
				Name          string
				ConfigVersion int64
				MatchCriteria struct{ PathPrefix string }
			}
		}
	}
	if json.Unmarshal([]byte(text), &set) != nil {
		return nil
	}
	for _, listener := range set.ListenerList {
		for _, r := range listener.PolicyRules {
			if strings.HasPrefix(r.Name, fillerPrefix) {
				continue
			}
			l = append(l, history.ItemVersion{
				Item:    history.Item{Kind: routeKind, Name: r.Name},
				Version: r.ConfigVersion, Digest: r.MatchCriteria.PathPrefix,
			})
		}
	}
	return l
}

// itemVersions returns the versions of the items that a machine reports to have.
func (x *Machine) itemVersions(t *testing.T) map[string]int64 {
	t.Helper()
	var s *wire.StatusT
	assert.Assert(t, testfleet.Await(testTimeout, func() bool { s = x.statusPastRelay(); return s != nil }), "%s does not say how it is", x.Name)
	l := map[string]int64{}
	for _, i := range s.ItemVersions {
		l[i.Name] = max(l[i.Name], i.Version)
	}
	return l
}

// writers are operators that write to and read from every member in turn until they are stopped.
type writers struct {
	stop    chan struct{}
	all     sync.WaitGroup
	mu      sync.Mutex // guards refused
	refused []string
}

const writerPause = 25 * time.Millisecond // between an operator's calls

// startWriters starts operators with numbers from first on. Each changes its own route, one version after the other, and retries each
// change at other members until it is acknowledged. One more operator reads.
func (o *observer) startWriters(m *Cluster, first, operators int, at ...*Machine) *writers {
	w := &writers{stop: make(chan struct{})}
	for n := first; n < first+operators; n++ {
		w.all.Go(func() { o.writeRoute(w, m.Operator(n), fmt.Sprint("own-", n), n, at) })
	}
	reader := m.Operator(first + operators)
	w.all.Go(func() {
		for n := 0; !w.stopped(); n++ {
			o.fetch(reader, at[n%len(at)])
		}
	})
	return w
}

func (o *observer) writeRoute(w *writers, by *Operator, route string, n int, at []*Machine) {
	for version := 2; !w.stopped(); version++ {
		x := newRouteChange(fmt.Sprint(route, "-", version), route, version, fmt.Sprintf("/%s-%d/", route, version))
		for try := n + version; !w.stopped(); try++ {
			outcome, text := o.send(by, at[try%len(at)], x)
			if outcome == history.Refused {
				w.mu.Lock()
				w.refused = append(w.refused, x.name+": "+text)
				w.mu.Unlock()
			}
			if outcome != history.Unknown {
				break
			}
		}
	}
}

func (w *writers) stopped() bool {
	select {
	case <-w.stop:
		return true
	case <-time.After(writerPause):
		return false
	}
}

// stopAndAssert stops the operators and waits for their calls in flight. None of their changes may have been refused.
func (w *writers) stopAndAssert(t *testing.T) {
	t.Helper()
	close(w.stop)
	w.all.Wait()
	assert.Assert(t, len(w.refused) == 0, "%v", w.refused)
}
