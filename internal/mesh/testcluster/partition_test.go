package testcluster

import (
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/history"
	"cranegrade/internal/testfleet"
)

// partitionDuration is the duration of a partition. PARTITION_DURATION can set a longer one.
func partitionDuration(t *testing.T) time.Duration {
	t.Helper()
	text := os.Getenv("PARTITION_DURATION")
	if text == "" {
		return 2 * time.Second
	}
	d, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return d
}

// partitionTest is a mesh with calls of operators, in which one member is partitioned from the others repeatedly.
type partitionTest struct {
	cluster  *Cluster
	relay    *testfleet.Relay
	observer *observer
	operator *Operator
	version  int // of the change that is sent at the moment of a partition
}

// partitionKinds are the directions in which a member is partitioned.
var partitionKinds = []struct {
	name  string
	paths func(x *Machine, others ...*Machine) []testfleet.Direction
}{
	{"both directions", pathsBetween},
	{"from it", pathsTo},
	{"to it", func(x *Machine, others ...*Machine) (l []testfleet.Direction) {
		for _, w := range pathsTo(x, others...) {
			l = append(l, w.Reverse())
		}
		return l
	}},
}

// A member is partitioned from the others: the leader, a follower, and one that lost its disk and catches up. Meanwhile changes are possible
// at the others; the partitioned member acknowledges and rejects none, and serves no configuration; a sidecar that has it as its first
// seed gets the complete configuration nevertheless. A change that was acknowledged when the partition began, but whose answer was lost,
// is acknowledged again elsewhere.
func TestPartitionedMemberConfirmsNothing(t *testing.T) {
	runParallel(t)
	m, relay := startRelayedCluster(t, 3, 1, "stock", "orders")
	r := &partitionTest{cluster: m, relay: relay, observer: newObserver(), operator: m.Operator(0), version: 1}
	r.observer.recordInitialRoutes()
	stop := r.observer.watchLeaders(m.Members...)
	for _, d := range partitionKinds {
		t.Run("leader, "+d.name, func(t *testing.T) {
			x := m.awaitLeader(t)
			r.partition(t, x, d.paths(x, m.membersExcept(x)...))
		})
		t.Run("follower, "+d.name, func(t *testing.T) {
			x := m.membersExcept(m.awaitLeader(t))[0]
			r.partition(t, x, d.paths(x, m.membersExcept(x)...))
		})
	}
	for _, d := range partitionKinds[:2] {
		t.Run("catching up, "+d.name, func(t *testing.T) {
			x := m.membersExcept(m.awaitLeader(t))[1]
			r.wipeBehindSlowLinks(t, x)
			r.partition(t, x, d.paths(x, m.membersExcept(x)...))
		})
	}
	stop()
	r.observer.check(t)
	m.assertNoViolations(t)
}

// partition cuts some paths of x while operators write and read everywhere, and heals them again.
func (r *partitionTest) partition(t *testing.T, x *Machine, ways []testfleet.Direction) {
	t.Helper()
	others := r.cluster.membersExcept(x)
	w := r.observer.startWriters(r.cluster, 1, 3, r.cluster.Members...)
	before := r.loseAnswer(t, x)
	r.relay.Set(testfleet.Link{Cut: true}, ways...)
	began := r.observer.elapsed()
	r.relay.Set(testfleet.Link{}, r.operator.PathTo(x).Reverse())
	r.observer.awaitAcknowledged(t, r.operator, before, others...)
	r.restartSidecar(t, x, others)
	for n := 0; n == 0 || r.observer.elapsed() < began+partitionDuration(t); n++ { // changes go on
		r.observer.awaitAcknowledged(t, r.operator, r.nextChange(), others...)
	}
	ended := r.observer.elapsed()
	r.relay.Heal()
	w.stopAndAssert(t)
	for _, y := range r.cluster.Members {
		r.observer.awaitFetched(t, r.operator, y)
	}
	r.assertSilent(t, x, began, ended)
	for _, y := range r.cluster.Sidecars {
		y.awaitServed(t, "GET", "/read/x", "")
		y.awaitServed(t, "POST", "/send/x", fmt.Sprint("key-", r.version))
	}
}

// nextChange returns a new change.
func (r *partitionTest) nextChange() routeChange {
	r.version++
	return newRouteChange(fmt.Sprint("ana-", r.version), "ana", r.version, fmt.Sprintf("/ana-%d/", r.version))
}

// loseAnswer sends a change to x and blocks its answer. A process that is not a member yet may not answer at all.
func (r *partitionTest) loseAnswer(t *testing.T, x *Machine) routeChange {
	t.Helper()
	back := r.operator.PathTo(x).Reverse()
	r.relay.Set(testfleet.Link{Cut: true}, back)
	o, done := r.nextChange(), make(chan history.Outcome, 1)
	go func() {
		outcome, _ := r.observer.send(r.operator, x, o)
		done <- outcome
	}()
	over := false
	assert.Assert(t, testfleet.Await(testTimeout, func() bool {
		select {
		case outcome := <-done:
			assert.Equal(t, outcome, history.Unknown, "an answer has passed a cut")
			over = true
		default:
		}
		return over || r.relay.BytesPending(back) > 0
	}))
	return o
}

// restartSidecar restarts a sidecar with x as its first seed. When it is ready it must have all changes acknowledged before.
func (r *partitionTest) restartSidecar(t *testing.T, x *Machine, others []*Machine) {
	t.Helper()
	line := r.cluster.Sidecars[0]
	line.Kill()
	seeds := []string{x.Addr("ControlPlane")}
	for _, y := range others {
		seeds = append(seeds, y.Addr("ControlPlane"))
	}
	assert.NilError(t, line.SetSeeds(seeds...))
	o := r.nextChange()
	r.observer.awaitAcknowledged(t, r.operator, o, others...)
	assert.NilError(t, line.Start())
	assert.Assert(t, r.cluster.AwaitReady(testTimeout), "the line that started is not ready")
	held := line.itemVersions(t)[o.items[0].Name]
	assert.Assert(t, held >= o.items[0].Version,
		"the sidecar is ready with version %d; %d had been acknowledged before it started", held, o.items[0].Version)
}

// assertSilent checks that x acknowledged and rejected no change and served no configuration while it was partitioned.
func (r *partitionTest) assertSilent(t *testing.T, x *Machine, began, ended time.Duration) {
	t.Helper()
	inside := func(c history.Call, member string) bool {
		return member == x.Name && c.Begin > began && c.Return < ended && c.Outcome != history.Unknown
	}
	r.observer.mu.Lock()
	defer r.observer.mu.Unlock()
	for _, c := range r.observer.history.Changes {
		assert.Assert(t, !inside(c.Call, c.Member), "cut off, it answers an order: %+v", c)
	}
	for _, f := range r.observer.history.Fetches {
		assert.Assert(t, !inside(f.Call, f.Member), "cut off, it shows the configuration: %+v", f)
	}
}

// wipeBehindSlowLinks wipes the disk of x and restarts it behind slow links, so that it needs some time to catch up.
func (r *partitionTest) wipeBehindSlowLinks(t *testing.T, x *Machine) {
	t.Helper()
	others := r.cluster.membersExcept(x)
	lead := r.cluster.awaitLeader(t, others...)
	r.cluster.addFillerRoutes(t, r.operator, lead, 300)
	r.relay.Set(testfleet.Link{Rate: 20 << 10}, append(pathsTo(others[0], x), pathsTo(others[1], x)...)...)
	x.Kill()
	assert.NilError(t, x.WipeDisk())
	assert.NilError(t, x.Start())
	assert.Assert(t, testfleet.Await(testTimeout, func() bool {
		at, s := lead.statusPastRelay(), x.statusPastRelay()
		return at != nil && s != nil && s.AppliedIndex < at.AppliedIndex && r.relay.BytesPending(lead.PathTo(x)) > 0
	}), "it is not seen to catch up")
}
