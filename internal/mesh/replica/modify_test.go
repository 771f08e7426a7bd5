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

	"hollyspur/internal/exchange/core"
	"hollyspur/internal/exchange/patch"
	"hollyspur/internal/exchange/vault"
)

// alone is the environment of a replica that is the only member.
type alone struct{}

func (alone) Send(string, core.Message)                    {}
func (alone) Connect(string)                               {}
func (alone) AskReplica(string, byte, []byte, func(Reply)) {}
func (alone) Save(core.Ready, uint64) bool                 { return true }
func (alone) Compact(core.Snapshot, uint64)                {}
func (alone) TellSidecars(any)                             {}
func (alone) TellReplicas(any)                             {}

// leading is a replica that leads by itself, and the time.
func leading(t *testing.T) (*Replica, time.Duration) {
	self := core.Member{ID: 7, Addr: "10.0.0.1:7000"}
	r, err := New(Config{Address: self.Addr, Held: vault.Held{Self: self.ID, Snapshot: core.Found([]core.Member{self})}, Log: zerolog.Nop()}, alone{}, 0)
	assert.NilError(t, err)
	now := time.Duration(0)
	for ; !r.core.Current(); now += TickInterval {
		assert.Assert(t, now < time.Minute, "it does not lead")
		r.Tick(now)
		r.Turn()
	}
	return r, now
}

func order(version int, service string, routes ...string) []byte {
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
func TestModifyInOrder(t *testing.T) {
	r, now := leading(t)
	send := func(body []byte) *Reply {
		got := new(Reply)
		r.Modify(now, body, func(reply Reply) { *got = reply })
		return got
	}
	services := send([]byte(`{"Upsert":{"UpstreamGroups":[{"Name":"a","ConfigVersion":1},{"Name":"b","ConfigVersion":1}]}}`))
	r.Turn()
	assert.Equal(t, services.Status, http.StatusOK)
	replies := []*Reply{
		send(order(5, "a", "r")),
		send(order(6, "a", "r")),
		send(order(5, "b", "r", "beside")), // the other operator's, with another item
		send(order(5, "a", "r")),           // the first again
		send(order(5, "b", "apart")),
	}
	for range 10 {
		now += TickInterval
		r.Tick(now)
		r.Turn()
	}
	var got []int
	for _, reply := range replies {
		got = append(got, reply.Status)
	}
	assert.DeepEqual(t, got, []int{200, 200, 409, 200, 200})
	text, err := json.Marshal(r.state.Items.Layout())
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(text), "beside") && strings.Contains(string(text), "apart"), "%s", text)
	assert.Equal(t, len(r.modifying.latest), 0)
	// An order that was taken is acknowledged again with an entry behind it, which is empty, and not before that is agreed on.
	last := r.core.LastIndex()
	again := send(order(5, "a", "r"))
	assert.Equal(t, again.Status, 0)
	r.Turn()
	assert.Equal(t, again.Status, http.StatusOK)
	assert.Equal(t, r.core.LastIndex(), last+1)
	assert.Equal(t, r.core.Applied(), last+1)
}

func callOf(t *testing.T, body []byte) patch.Call {
	t.Helper()
	c, err := patch.ReadCall(body)
	assert.NilError(t, err)
	return c
}

// What another term proposed holds no call back.
func TestModifyingOfATerm(t *testing.T) {
	r, now := leading(t)
	service := []byte(`{"Upsert":{"UpstreamGroups":[{"Name":"a","ConfigVersion":1}]}}`)
	r.modifying.propose(r.core.Term()-1, r.core.LastIndex()+100, callOf(t, order(5, "a", "r")))
	r.modifying.propose(r.core.Term()-1, r.core.LastIndex()+100, callOf(t, service))
	status := 0
	r.Modify(now, service, func(reply Reply) { status = reply.Status })
	r.Turn()
	assert.Equal(t, status, http.StatusOK)
	status = 0
	r.Modify(now, order(5, "a", "r"), func(reply Reply) { status = reply.Status })
	r.Turn()
	assert.Equal(t, status, http.StatusOK)
}
