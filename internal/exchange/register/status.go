package register

import (
	"net/http"
	"time"

	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/trunk/wire"
	"hollyspur/internal/exchange/vault"
)

// statusWithin is how long Run's goroutine may take until a register says that it hangs.
const statusWithin = 500 * time.Millisecond

// answerStatus says how this register is. Where Run's goroutine hangs, on a disk for one, that is what is said.
func (r *Register) answerStatus(c *trunk.Conn, id uint64) {
	tell := func(s *wire.StatusT) {
		c.Send(&wire.ToldT{Id: id, Status: http.StatusOK, Body: trunk.Bytes(s)})
	}
	done := make(chan *wire.StatusT, 1)
	go func() {
		go r.Do(func() { done <- r.status() })
		select {
		case s := <-done:
			tell(s)
		case <-time.After(statusWithin):
			set := r.set.Load()
			s := &wire.StatusT{Name: set.NodeName, Addr: r.self.Addr, Zone: set.Zone, Register: true, Id: uint64(r.self.ID), Trouble: "it hangs, on its disk as a rule"}
			if text := r.trouble.Load(); text != nil {
				s.Trouble = *text
			}
			tell(s)
		}
	}()
}

// status is how this register is. It belongs to Run's goroutine.
func (r *Register) status() *wire.StatusT {
	set := r.set.Load()
	state := r.replica.State()
	members, view := r.replica.Members()
	s := &wire.StatusT{Name: set.NodeName, Addr: r.self.Addr, Zone: set.Zone, Register: true, Up: r.now().Microseconds(), Id: uint64(r.self.ID),
		Leader: r.replica.LeaderAddress(), Leads: r.replica.Leads(), Outside: r.replica.Outside(), Touch: r.touch.Load() > 0, Term: r.replica.Term(),
		Applied: r.replica.Applied(), Last: r.replica.Logged(), View: view, Members: vault.WireMembers(members), Items: state.Items.Holds(), Keys: uint32(state.Keys.Len()),
		Held: r.replica.Held(), Outs: state.Maintenance.Index, Time: r.wall().UnixNano(), RulesHeld: state.Rules.Board.Held, RulesBound: state.Rules.Board.Bound,
		BoundAt: state.Rules.Board.BoundAt, Said: trunk.Account()}
	for c := range r.lines {
		if c.Peer.Addr != "" { // else one who only looks
			s.Lines = append(s.Lines, c.Peer.Addr)
		}
	}
	return s
}
