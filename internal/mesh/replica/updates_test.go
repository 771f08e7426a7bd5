package replica

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/config"
)

// routesUpsert returns an operator's update that upserts routes to a service, all in the same version.
func routesUpsert(version int, service string, routes ...string) []byte {
	// The line break must stay: the golden record has a hash of the bytes of forwarded updates.
	const format = `{"Name":%q,"RouteType":"idempotent","TargetLatencyS":1,"ConfigVersion":%d,"MatchCriteria":{"PathPrefix":"/p/"},
			"ForwardAction":{"Service":%q,"TimeoutS":2,"RetryCount":2}}`
	var rules []string
	for _, name := range routes {
		rules = append(rules, fmt.Sprintf(format, name, version, service))
	}
	return fmt.Appendf(nil, `{"Upsert":{"ListenerList":[{"HostName":"h","PolicyRules":[%s]}]}}`, strings.Join(rules, ","))
}

// TestUpdatesOfOneItemAreAdmittedInOrder checks that concurrent updates of the same item are admitted one after the other, each against the
// state that the updates before it have led to. A rejected update has no effect, also if it conflicts with a version that was superseded
// in the meantime, and a duplicate is acknowledged like the original.
func TestUpdatesOfOneItemAreAdmittedInOrder(t *testing.T) {
	r, now := newSoloLeader(t)
	send := func(body []byte) *Reply {
		got := new(Reply)
		r.Modify(now, body, func(reply Reply) { *got = reply })
		return got
	}
	services := send([]byte(`{"Upsert":{"UpstreamGroups":[{"Name":"a","ConfigVersion":1},{"Name":"b","ConfigVersion":1}]}}`))
	r.ProcessReady()
	assert.Equal(t, services.Status, http.StatusOK)
	replies := []*Reply{
		send(routesUpsert(5, "a", "r")),
		send(routesUpsert(6, "a", "r")),
		send(routesUpsert(5, "b", "r", "beside")), // conflicts with the first; also names another item
		send(routesUpsert(5, "a", "r")),           // duplicate of the first
		send(routesUpsert(5, "b", "apart")),
	}
	for range 10 {
		now += TickInterval
		r.Tick(now)
		r.ProcessReady()
	}
	var got []int
	for _, reply := range replies {
		got = append(got, reply.Status)
	}
	assert.DeepEqual(t, got, []int{200, 200, 409, 200, 200})
	text, err := json.Marshal(r.state.Items.Document())
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(text), "beside") && strings.Contains(string(text), "apart"), "%s", text)
	assert.Equal(t, len(r.pendingUpdates.latest), 0)
	// A duplicate is acknowledged only once an empty entry after the update is committed.
	last := r.raft.LastIndex()
	duplicate := send(routesUpsert(5, "a", "r"))
	assert.Equal(t, duplicate.Status, 0)
	r.ProcessReady()
	assert.Equal(t, duplicate.Status, http.StatusOK)
	assert.Equal(t, r.raft.LastIndex(), last+1)
	assert.Equal(t, r.raft.AppliedIndex(), last+1)
}

// parseUpdate parses an operator's update.
func parseUpdate(t *testing.T, body []byte) config.Update {
	t.Helper()
	update, err := config.ParseUpdate(body)
	assert.NilError(t, err)
	return update
}

// TestProposalsOfAnotherTermDoNotBlock checks that no update waits for entries that were proposed in another term.
func TestProposalsOfAnotherTermDoNotBlock(t *testing.T) {
	r, now := newSoloLeader(t)
	service := []byte(`{"Upsert":{"UpstreamGroups":[{"Name":"a","ConfigVersion":1}]}}`)
	r.pendingUpdates.add(r.raft.Term()-1, r.raft.LastIndex()+100, parseUpdate(t, routesUpsert(5, "a", "r")))
	r.pendingUpdates.add(r.raft.Term()-1, r.raft.LastIndex()+100, parseUpdate(t, service))
	status := 0
	r.Modify(now, service, func(reply Reply) { status = reply.Status })
	r.ProcessReady()
	assert.Equal(t, status, http.StatusOK)
	status = 0
	r.Modify(now, routesUpsert(5, "a", "r"), func(reply Reply) { status = reply.Status })
	r.ProcessReady()
	assert.Equal(t, status, http.StatusOK)
}

// TestNewLeaderWaitsForEarlierTerms checks that a new leader admits no update before it has applied all entries that earlier leaders may
// have committed.
func TestNewLeaderWaitsForEarlierTerms(t *testing.T) {
	c, old := newSettledCluster(t)
	c.isolate(old)
	var next *clusterNode
	for ; next == nil || next == old; next = c.leader() {
		assert.Assert(t, c.now < time.Minute)
		c.step(100 * time.Microsecond)
	}
	assert.Assert(t, !next.replica.IsReadyLeader())
	status, last := 0, next.replica.raft.LastIndex()
	next.call(func(r *Replica) {
		update := []byte(`{"Upsert":{"UpstreamGroups":[{"Name":"a","ConfigVersion":1}]}}`)
		r.Modify(c.now, update, func(reply Reply) { status = reply.Status })
	})
	assert.Equal(t, next.replica.raft.LastIndex(), last)
	c.run(time.Second)
	assert.Equal(t, status, http.StatusOK)
}
