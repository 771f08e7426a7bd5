package register

import (
	"encoding/json"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"hollyspur/internal/exchange/control"
	"hollyspur/internal/exchange/night"
	"hollyspur/internal/exchange/patch"
	"hollyspur/internal/mesh/replica"
)

// NightCall is an operator's call: a plan for a machine, an order, or a word on one. What it does not name is left out.
type NightCall struct {
	Machine  string        `json:"Machine,omitempty" validate:"max=256"`
	Order    *night.Order  `json:"Order,omitempty"`
	Word     *night.Change `json:"Word,omitempty"`
	By       string        `json:"By,omitempty" validate:"max=128"`
	LengthS  float64       `json:"LengthS,omitempty" validate:"gte=0,lte=86400"`
	Machines []string      `json:"Machines,omitempty" validate:"max=256"`
	Trust    bool          `json:"Trust,omitempty"` // with By: the registers' clocks are right now, whatever was agreed on before
}

// NightTold is the answer.
type NightTold struct {
	Now     night.Now         `json:"now"`
	Known   bool              `json:"known"` // a time of day is agreed on
	Doubt   bool              `json:"doubt,omitempty"`
	Verdict *night.Verdict    `json:"verdict,omitempty"`
	InOrder []string          `json:"inOrder,omitempty"` // the machines asked for, as they would come out
	Orders  []night.Order     `json:"orders"`
	Waits   map[string]string `json:"waits,omitempty"` // by order: what it waits for
	Leader  string            `json:"leader"`
}

// named is a machine's trunk, by its name or by that.
func (r *Register) named(name string) string {
	for _, l := range r.replica.Records().All() {
		if l.Node == name {
			return l.Addr
		}
	}
	for a, s := range r.board.status {
		if s.Name == name {
			return a
		}
	}
	return name
}

// nameOf is a machine's name, by its trunk; that, if it is not known.
func (r *Register) nameOf(addr string) string {
	if l, is := r.replica.Records().Get(addr); is {
		return l.Node
	}
	if s := r.board.status[addr]; s != nil {
		return s.Name
	}
	return addr
}

// takeNight answers a call, at the leader.
func (r *Register) takeNight(call NightCall, done func(NightTold, error)) {
	if !r.replica.Leads() {
		done(NightTold{}, control.Fault(http.StatusServiceUnavailable, "not the leader any more"))
		return
	}
	if r.board.status == nil && !r.board.asking { // it may not know the registers' names yet
		r.survey(func() { r.agreeTime(); r.takeNight(call, done) })
		return
	}
	call.Machine = r.named(call.Machine)
	for i, m := range call.Machines {
		call.Machines[i] = r.named(m)
	}
	answer := func(err error) {
		t := NightTold{Doubt: r.replica.State().Maintenance.Clock.Doubt, Orders: r.replica.State().Maintenance.Book.Orders, Waits: r.board.waits, Leader: r.self.Addr}
		t.Now, t.Known = r.time()
		if call.Machine != "" {
			d := r.view("").Plan(call.Machine, time.Duration(call.LengthS*float64(time.Second)), t.Now)
			if !t.Known {
				d.Approved, d.Reasons = false, append([]night.Reason{{Text: night.ErrNoTime.Error()}}, d.Reasons...)
			}
			t.Verdict = &d
		}
		if len(call.Machines) > 0 {
			t.InOrder = r.view("").Order(call.Machines, r.self.Addr)
		}
		var fault *control.Error
		if err != nil && !errors.As(err, &fault) {
			err = control.Fault(http.StatusConflict, err.Error())
		}
		done(t, err)
	}
	switch {
	case call.Trust:
		if call.By == "" {
			answer(control.Fault(http.StatusBadRequest, "it needs who says so"))
			return
		}
		r.log.Info().Str("by", call.By).Msg("the clocks are to be trusted")
		r.survey(func() {
			r.board.trust, r.board.clocked = true, 0
			r.agreeTime()
			answer(nil)
		})
	case call.Order != nil:
		o := *call.Order
		for i, m := range o.Machines {
			o.Machines[i] = r.named(m)
		}
		o.Machines = r.view("").Order(o.Machines, r.self.Addr)
		o.Names = nil
		for _, m := range o.Machines {
			o.Names = append(o.Names, r.nameOf(m))
		}
		if !o.Override && !o.Asked {
			if err := r.mayApprove(o, o.By); err != nil {
				answer(err)
				return
			}
		}
		r.proposeNight(replica.MaintenancePlace, o, answer)
	case call.Word != nil:
		if by := call.Word.Approve; by != "" {
			o, _ := r.replica.State().Maintenance.Book.Find(call.Word.ID)
			if err := r.mayApprove(o, by); err != nil {
				answer(err)
				return
			}
		}
		r.proposeNight(replica.MaintenanceWord, call.Word, answer)
	default:
		r.replica.Confirm(r.now(), func(_ uint64, ok bool) { // so that it is the leader's word, and not that of one that was it
			if !ok {
				done(NightTold{}, control.Fault(http.StatusServiceUnavailable, "the core could not confirm it in time"))
				return
			}
			if call.Machine == "" || r.board.asking {
				answer(nil)
				return
			}
			r.survey(func() { r.agreeTime(); answer(nil) })
		})
	}
}

// mayApprove says whether the contracts that cover an order's machines name somebody; else the error says who they name.
func (r *Register) mayApprove(o night.Order, by string) error {
	for _, m := range o.Machines {
		d := r.view("").Plan(m, o.Length, night.Now{})
		if len(d.Contracts) > 0 && !slices.Contains(d.Approvers, by) {
			return errNotApprover(by, r.nameOf(m), d)
		}
	}
	return nil
}

func errNotApprover(by, machine string, d night.Verdict) error {
	return control.Fault(http.StatusForbidden, "for "+machine+" the contracts "+strings.Join(d.Contracts, ", ")+" name "+strings.Join(d.Approvers, ", ")+" as approvers, not "+by)
}

// standing is what is to be placed once there is a configuration.
type standing struct {
	Contracts json.RawMessage `json:"Contracts"` // a call of /v1/configuration/modify
	Orders    []struct {
		night.Order
		AfterS float64 `json:"AfterS"` // from when the configuration is first seen by this leader
	} `json:"Orders"`
	since  time.Duration
	placed int
}

func readStanding(file string) (*standing, error) {
	if file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s := &standing{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, err
	}
	if _, err := patch.Read(s.Contracts); err != nil {
		return nil, err
	}
	return s, nil
}

// placeStanding places standing contracts and orders, one at a time. Whoever leads may do so again: an order placed twice
// under one id is one.
func (r *Register) placeStanding(now time.Duration) {
	s := r.standing
	if s == nil || r.replica.State().Items.Len() == 0 {
		return
	}
	if s.since == 0 {
		s.since = now
		items, _ := patch.Read(s.Contracts)
		r.replica.Propose(r.now(), replica.Change(replica.ChangeItems, patch.Wire(items)), func(replica.Outcome, bool) {})
		return
	}
	if s.placed >= len(s.Orders) || now-s.since < time.Duration(s.Orders[s.placed].AfterS*float64(time.Second)) || r.board.asking {
		return
	}
	if r.board.status == nil { // it does not know the machines' names yet
		r.survey(func() {})
		return
	}
	o := s.Orders[s.placed].Order
	s.placed++
	o.Machines = slices.Clone(o.Machines)
	for i, m := range o.Machines {
		o.Machines[i] = r.named(m)
	}
	r.proposeNight(replica.MaintenancePlace, o, func(err error) { r.log.Info().Err(err).Str("order", o.ID).Msg("standing order") })
}
