package testcluster

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/history"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/testfleet"
)

// Amount of changes while a member is down, and the links on which it catches up.
const (
	changesWhileAway     = 1000
	claimsWhileAway      = 3500    // entries of the log, each of several keys; with the changes more than the log keeps
	defaultKeysWhileAway = 21000   // CATCHUP_KEYS names more
	slowLinkRate         = 250_000 // bytes a second: 2 Mbit/s
	maxKeyBytes          = 250     // of a key in a snapshot, at the most
	maxChangeBytes       = 1000    // of a change in the log, at the most
	catchUpSlack         = 15 * time.Second
	maxHeartbeatGap      = 1500 * time.Millisecond // that heartbeats may wait behind a snapshot
)

// catchUpBound is twice the transfer time of all data over the link, and a margin for elections and a busy machine.
func catchUpBound(keys int) time.Duration {
	bytes := keys*maxKeyBytes + changesWhileAway*maxChangeBytes
	return 2*time.Duration(bytes)*time.Second/slowLinkRate + catchUpSlack
}

func keysWhileAway(t *testing.T) int {
	t.Helper()
	text := os.Getenv("CATCHUP_KEYS")
	if text == "" {
		return defaultKeysWhileAway
	}
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return n
}

// A member is down for a thousand changes and thousands of keys, returns behind links of 2 Mbit/s, and the leader is lost while it catches
// up. The remaining member leads, in contact and without another election, until the member has caught up, which it does within the
// bound; the member itself does not lead before.
func TestCatchUpOverSlowLinks(t *testing.T) {
	m, relay := startRelayedCluster(t, 3, 1, "stock", "orders")
	seen, ana := newObserver(), m.Operator(0)
	seen.recordInitialRoutes()
	lead := m.awaitLeader(t)
	away, stays := m.membersExcept(lead)[0], m.membersExcept(lead)[1]
	away.Kill()
	keys := keysWhileAway(t)
	seen.applyManyChanges(t, m, lead)
	claimKeys(t, lead, keys)
	target := lead.statusPastRelay().AppliedIndex
	for _, x := range []*Machine{lead, stays} {
		relay.Set(testfleet.Link{Rate: slowLinkRate}, pathsBetween(away, x)...)
	}
	stop := seen.watchLeaders(m.Members...)
	assert.NilError(t, away.Start())
	began := time.Now()
	assert.Assert(t, testfleet.Await(testTimeout, func() bool { return relay.BytesForwarded(lead.PathTo(away)) > 64<<10 }), "it is told nothing")
	assert.Assert(t, away.statusPastRelay().AppliedIndex < target, "it has caught up before the leader is lost")
	lead.Kill()
	m.awaitLeader(t, stays)
	term := stays.statusPastRelay().Term
	touched := time.Now()
	for caught := false; !caught; {
		at, heads := away.statusPastRelay(), stays.statusPastRelay()
		assert.Assert(t, at != nil && heads != nil, "a register does not answer")
		if heads.QuorumContact {
			touched = time.Now()
		}
		caught = at.AppliedIndex >= target
		assert.Assert(t, caught || !at.IsLeader, "it leads with entry %d of %d", at.AppliedIndex, target)
		assert.Assert(t, caught || heads.IsLeader && heads.Term == term,
			"another election: leads %v, term %d after %d", heads.IsLeader, heads.Term, term)
		assert.Assert(t, time.Since(touched) < maxHeartbeatGap, "the leader hears no majority for %v", time.Since(touched))
		assert.Assert(t, time.Since(began) < catchUpBound(keys), "entry %d of %d after %v", at.AppliedIndex, target, time.Since(began))
		assert.Equal(t, m.Sidecars[1].Send("GET", "/read/x", "", nil).Status, 200)
	}
	t.Logf("caught up after %v; %d bytes were sent to it", time.Since(began),
		relay.BytesForwarded(lead.PathTo(away))+relay.BytesForwarded(stays.PathTo(away)))
	seen.awaitAcknowledged(t, ana, newRouteChange("after", "after", 2, "/after/"), stays, away)
	seen.awaitFetched(t, ana, away)
	assert.Equal(t, int(away.statusPastRelay().KeyCount), int(stays.statusPastRelay().KeyCount))
	stop()
	seen.check(t)
	m.assertNoViolations(t)
}

// applyManyChanges makes a thousand changes of fifty routes, by eight operators at once, and waits until all are acknowledged.
func (o *observer) applyManyChanges(t *testing.T, m *Cluster, at *Machine) {
	t.Helper()
	const operators, routes = 8, 50
	var all sync.WaitGroup
	for n := range operators {
		by := m.Operator(1 + n)
		all.Go(func() {
			for k := n; k < changesWhileAway; k += operators {
				route, version := fmt.Sprint("many-", k%routes), 2+k/routes
				x := newRouteChange(fmt.Sprint(route, "-", version), route, version, fmt.Sprintf("/%s-%d/", route, version))
				for outcome := history.Unknown; outcome == history.Unknown && !t.Failed(); {
					var text string
					if outcome, text = o.send(by, at, x); outcome == history.Refused {
						t.Errorf("%s is refused: %s", x.name, text)
					}
				}
			}
		})
	}
	all.Wait()
	assert.Assert(t, !t.Failed())
}

// claimKeys requests leases of keys as a sidecar does, and waits until they are granted.
func claimKeys(t *testing.T, at *Machine, keys int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	x, err := transport.DialClient(ctx, at.cluster.addr(at.IP, portBehindRelay), "claims", nil)
	assert.NilError(t, err)
	defer x.Close()
	var all sync.WaitGroup
	work := make(chan int)
	for range 64 {
		all.Go(func() {
			for n := range work {
				c := &wire.KeyLeaseRequestsT{}
				for k := range keys / claimsWhileAway {
					c.List = append(c.List, &wire.KeyLeaseRequestT{
						Key: fmt.Sprintf("away-%d-%d", n, k), Token: fmt.Sprint("ticket-", n),
						Holder:   "127.0.0.1:1/abcdef",
						WindowUs: time.Hour.Microseconds(),
					})
				}
				if _, err := x.Call(ctx, codec.CallLeaseKeys, codec.EncodeTable(c)); err != nil {
					t.Errorf("claim %d: %v", n, err)
				}
			}
		})
	}
	for n := range claimsWhileAway {
		work <- n
	}
	close(work)
	all.Wait()
	assert.Assert(t, !t.Failed())
}
