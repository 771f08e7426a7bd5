package replica

import (
	"time"

	"hollyspur/internal/exchange/directory"
	"hollyspur/internal/exchange/patch"
	"hollyspur/internal/exchange/trunk/wire"
	"hollyspur/internal/exchange/vault"
)

// Greeting is what a sidecar is told when it connects, in this order.
func (r *Replica) Greeting() []any {
	return []any{r.membersMessage(), r.heartbeat(), directory.Wire(r.records.All()), r.state.Maintenance.Outs()}
}

// heartbeat says whether this replica is in touch. Sidecars hear it with each beat of a connection, when they connect, and at
// once when the replica comes back in touch.
func (r *Replica) heartbeat() *wire.BeatT { return &wire.BeatT{Touch: InTouch(r.touched, r.now)} }

// membersMessage are the addresses of the replicas, for sidecars.
func (r *Replica) membersMessage() *wire.MembersT {
	l, view := r.core.Members()
	return &wire.MembersT{List: vault.WireMembers(l), Index: view}
}

// TakeRecords merges records that a sidecar told of itself (direct), or another replica. The answer goes back to the sidecar: one
// that started with a clock set back learns that a later life of it is known.
func (r *Replica) TakeRecords(now time.Duration, records []directory.Record, direct bool) (answer []directory.Record) {
	r.at(now)
	var news []directory.Record
	r.records, news = r.records.Merge(r.now, records)
	if direct {
		for _, x := range records {
			if held, is := r.records.Get(x.Addr); is && held.Life > x.Life {
				answer = append(answer, held)
			}
		}
	}
	if len(news) > 0 {
		message := directory.Wire(news)
		r.env.TellSidecars(message)
		if direct {
			r.env.TellReplicas(message)
		}
	}
	return answer
}

// table is all items, as a message.
func (r *Replica) table() *wire.ItemsT {
	t := patch.Wire(r.state.Items.Items())
	t.Whole, t.Index = true, r.core.Applied()
	b := r.state.Rules.Board
	t.Print, t.BoundAt = b.Bound, b.BoundAt
	if b.Pending() { // else those that bind are among the items
		t.Bound = patch.Wire(r.state.Bound.Items()).List
	}
	return t
}
