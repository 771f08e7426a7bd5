package replica

import (
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"hollyspur/internal/exchange/core"
	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/trunk/wire"
)

// recorded is an Environment that keeps what was asked of it.
type recorded struct {
	asked  []string // addresses
	answer []func(Reply)
	told   []any // to sidecars
	sent   []core.Message
}

func (e *recorded) Send(_ string, m core.Message) { e.sent = append(e.sent, m) }
func (e *recorded) Connect(string)                {}
func (e *recorded) AskReplica(address string, _ byte, _ []byte, done func(Reply)) {
	e.asked, e.answer = append(e.asked, address), append(e.answer, done)
}
func (e *recorded) Save(core.Ready, uint64) bool  { return true }
func (e *recorded) Compact(core.Snapshot, uint64) {}
func (e *recorded) TellSidecars(message any)      { e.told = append(e.told, message) }
func (e *recorded) TellReplicas(any)              {}

// replicaA is the replica a of a, b and c.
func replicaA(t *testing.T) (*Replica, *recorded) {
	e := &recorded{}
	seeds := []string{"a", "b", "c"}
	r, err := New(Config{Address: "a", Held: Beginning{Address: "a", Seeds: seeds, FirstStart: true}.Held(), Seeds: seeds, FaultsTolerated: 1, Log: zerolog.Nop()}, e, 0)
	assert.NilError(t, err)
	return r, e
}

// heartbeatOf has the replica hear that another leads a term.
func heartbeatOf(r *Replica, now time.Duration, address string, term uint64) {
	r.Step(now, core.Message{Kind: core.Append, From: founderID(address), To: r.self.ID, Term: term, Index: 1, LogTerm: 1, Commit: 1})
	r.Turn()
}

// A claim that was passed on to a leader which stands still is answered as soon as another leads, once; the sidecars hear at
// once that the replica is in touch again.
func TestForwardsEndWithTheLeader(t *testing.T) {
	r, e := replicaA(t)
	heartbeatOf(r, 0, "b", 2)
	var replies []Reply
	claim := func(now time.Duration) {
		r.Answer(now, trunk.AskClaims, nil, true, func(reply Reply) { replies = append(replies, reply) })
		r.Turn()
	}
	claim(time.Millisecond)
	claim(2 * time.Millisecond)
	e.answer[0](Reply{Status: http.StatusOK})
	assert.Equal(t, len(replies), 1)
	for now := time.Duration(0); now < 2*time.Second; now += TickInterval { // b stands still
		r.Tick(now)
		r.Turn()
	}
	assert.Equal(t, r.Touched(), time.Duration(0))
	e.told = nil
	heartbeatOf(r, 2*time.Second, "c", 9)
	assert.Equal(t, len(replies), 2)
	assert.Equal(t, replies[1].Status, http.StatusServiceUnavailable)
	e.answer[1](Reply{Status: http.StatusOK}) // too late
	assert.Equal(t, len(replies), 2)
	assert.Equal(t, len(e.told), 1)
	assert.Assert(t, e.told[0].(*wire.BeatT).Touch)
	claim(2 * time.Second)
	assert.DeepEqual(t, e.asked, []string{"b", "b", "c"})
}

// Only the leader's end is a reason to seek another, and Tick is due soon then.
func TestPeerGone(t *testing.T) {
	r, e := replicaA(t)
	heartbeatOf(r, 0, "b", 2)
	_, is := r.PeerGone(time.Millisecond, "c")
	assert.Assert(t, !is)
	_, is = r.PeerGone(time.Millisecond, "")
	assert.Assert(t, !is)
	wait, is := r.PeerGone(time.Millisecond, "b")
	assert.Assert(t, is && wait < electionTimeout/2)
	e.sent = nil
	r.Tick(time.Millisecond + wait)
	r.Turn()
	assert.Assert(t, len(e.sent) > 0 && e.sent[0].Kind == core.Ask)
}
