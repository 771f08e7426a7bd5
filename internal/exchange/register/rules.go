package register

import (
	"net/http"
	"time"

	"hollyspur/internal/exchange/classmark"
	"hollyspur/internal/exchange/control"
	"hollyspur/internal/exchange/patch"
	"hollyspur/internal/exchange/trunk/wire"
	"hollyspur/internal/mesh/replica"
)

// Notice tells an owner what another's change did to a rule of theirs.
type Notice = replica.Notice

// binding is the leader's side of the two steps. It belongs to Run's goroutine.
type binding struct {
	of       string // the set that is to bind
	term     uint64
	since    time.Duration // that this leader has known it
	proposed bool
	waits    string
}

// keepRules has a set of rules that was agreed on bind once the lines hold it, at the leader.
func (r *Register) keepRules(now time.Duration) {
	x, b := &r.binding, r.replica.State().Rules.Board
	if !r.replica.Leads() || !b.Pending() {
		*x = binding{}
		return
	}
	if x.of != b.Held || x.term != r.replica.Term() {
		*x = binding{of: b.Held, term: r.replica.Term(), since: now}
	}
	if !r.board.asking && now-r.board.at >= surveyEvery {
		r.survey(func() {})
	}
}

// bindNext proposes that the set binds, if what the lines say allows it.
func (r *Register) bindNext() {
	x, b := &r.binding, r.replica.State().Rules.Board
	if !r.replica.Current() || x.of != b.Held || x.proposed || !b.Pending() {
		return
	}
	var lines []classmark.Seen
	for _, l := range r.replica.Records().All() {
		s := r.board.status[l.Addr]
		seen := classmark.Seen{Name: l.Node, Silent: s == nil}
		if s != nil {
			seen.Held = s.RulesHeld
		}
		lines = append(lines, seen)
	}
	var ok bool
	if ok, x.waits = b.Ready(lines, r.now()-x.since); !ok {
		return
	}
	r.log.Info().Str("rules", b.Held).Int("lines", len(lines)).Msg("rules are to bind")
	x.proposed = true
	if !r.replica.Propose(r.now(), replica.Change(replica.ChangeBound, &wire.BoundT{Print: b.Held}), func(replica.Outcome, bool) { r.binding.proposed = false }) {
		x.proposed = false
	}
}

// RulesCall asks how the rules are.
type RulesCall struct {
	Namespace string `json:"Namespace,omitempty" validate:"max=128"` // whose notices; "": all
}

// RulesTold is the answer.
type RulesTold struct {
	Board   classmark.Board `json:"board"`
	Waits   string          `json:"waits,omitempty"` // why what is agreed on does not bind yet
	Bound   *patch.Set      `json:"bound,omitempty"` // the namespaces and rulings that bind, where others are agreed on
	Notices []Notice        `json:"notices"`
	Leader  string          `json:"leader"`
}

// takeRules answers a call, at the leader.
func (r *Register) takeRules(call RulesCall, done func(RulesTold, error)) {
	r.replica.Confirm(r.now(), func(_ uint64, ok bool) { // so that it is the leader's word, and not that of one that was it
		if !ok {
			done(RulesTold{}, control.Fault(http.StatusServiceUnavailable, "the core could not confirm it in time"))
			return
		}
		t := RulesTold{Board: r.replica.State().Rules.Board, Waits: r.binding.waits, Notices: []Notice{}, Leader: r.self.Addr}
		if t.Board.Pending() {
			s := r.replica.State().Bound.Layout()
			t.Bound = &s
		}
		for _, n := range r.replica.State().Rules.Notices {
			for _, o := range n.Effect.Owners {
				if call.Namespace == "" || o == call.Namespace {
					t.Notices = append(t.Notices, n)
					break
				}
			}
		}
		done(t, nil)
	})
}
