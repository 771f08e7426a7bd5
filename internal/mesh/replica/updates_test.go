package replica

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/raft"
)

// soloEnvironment is the environment of a replica that is the only member.
type soloEnvironment struct{}

func (soloEnvironment) Send(string, raft.Message)                     {}
func (soloEnvironment) Connect(string)                                {}
func (soloEnvironment) CallReplica(string, byte, []byte, func(Reply)) {}
func (soloEnvironment) Save(raft.Ready, uint64) bool                  { return true }
func (soloEnvironment) Compact(raft.Snapshot, uint64)                 {}
func (soloEnvironment) BroadcastToSidecars(any)                       {}
func (soloEnvironment) BroadcastToReplicas(any)                       {}

// newSoloLeader is a replica that leads by itself, and the time.
func newSoloLeader(t *testing.T) (*Replica, time.Duration) {
	self := raft.Member{ID: 7, Addr: "10.0.0.1:7000"}
	r, err := New(Config{Address: self.Addr, Stored: raft.StoredState{Self: self.ID, Snapshot: raft.BootstrapSnapshot([]raft.Member{self})}, Log: zerolog.Nop()}, soloEnvironment{}, 0)
	assert.NilError(t, err)
	now := time.Duration(0)
	for ; !r.raft.IsCaughtUpLeader(); now += TickInterval {
		assert.Assert(t, now < time.Minute, "it does not lead")
		r.Tick(now)
		r.ProcessReady()
	}
	return r, now
}

func routesUpsert(version int, service string, routes ...string) []byte {
	var rules []string
	for _, name := range routes {
		rules = append(rules, fmt.Sprintf(`{"Name":%q,"RouteType":"idempotent","TargetLatencyS":1,"ConfigVersion":%d,"MatchCriteria":{"PathPrefix":"/p/"},
			"ForwardAction":{"Service":%q,"TimeoutS":2,"RetryCount":2}}`, name, version, service))
	}
	return fmt.Appendf(nil, `{"Upsert":{"ListenerList":[{"HostName":"h","PolicyRules":[%s]}]}}`, strings.Join(rules, ","))
}

// Calls that come at once and name one item are judged one after the other, each by what those before it have done: what is
// refused has no effect, also where it conflicts with a version that was overtaken in between, and what comes twice is
// acknowledged twice.
func TestCallsOfOneItemAreJudgedInOrder(t *testing.T) {
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
		send(routesUpsert(5, "b", "r", "beside")), // the other operator's, with another item
		send(routesUpsert(5, "a", "r")),           // the first again
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
	// An order that was taken is acknowledged again with an entry behind it, which is empty, and not before that is agreed on.
	last := r.raft.LastIndex()
	again := send(routesUpsert(5, "a", "r"))
	assert.Equal(t, again.Status, 0)
	r.ProcessReady()
	assert.Equal(t, again.Status, http.StatusOK)
	assert.Equal(t, r.raft.LastIndex(), last+1)
	assert.Equal(t, r.raft.AppliedIndex(), last+1)
}

func parseCall(t *testing.T, body []byte) config.Update {
	t.Helper()
	c, err := config.ParseUpdate(body)
	assert.NilError(t, err)
	return c
}

// What another term proposed holds no call back.
func TestProposalsOfAnotherTermDoNotBlock(t *testing.T) {
	r, now := newSoloLeader(t)
	service := []byte(`{"Upsert":{"UpstreamGroups":[{"Name":"a","ConfigVersion":1}]}}`)
	r.pendingUpdates.add(r.raft.Term()-1, r.raft.LastIndex()+100, parseCall(t, routesUpsert(5, "a", "r")))
	r.pendingUpdates.add(r.raft.Term()-1, r.raft.LastIndex()+100, parseCall(t, service))
	status := 0
	r.Modify(now, service, func(reply Reply) { status = reply.Status })
	r.ProcessReady()
	assert.Equal(t, status, http.StatusOK)
	status = 0
	r.Modify(now, routesUpsert(5, "a", "r"), func(reply Reply) { status = reply.Status })
	r.ProcessReady()
	assert.Equal(t, status, http.StatusOK)
}
