package controlplane

import (
	"encoding/json"
	"net/http"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/api"
	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/maintenance"
	"cranegrade/internal/mesh/replica"
)

// MaintenanceRequest is an operator's call: a plan for a machine, an order, or a word on one. What it does not name is left out.
type MaintenanceRequest struct {
	Machine       string                   `json:"Machine,omitempty" validate:"max=256"`
	Order         *maintenance.Order       `json:"Order,omitempty"`
	Change        *maintenance.OrderChange `json:"Word,omitempty"`
	By            string                   `json:"By,omitempty" validate:"max=128"`
	LengthSeconds float64                  `json:"LengthS,omitempty" validate:"gte=0,lte=86400"`
	Machines      []string                 `json:"Machines,omitempty" validate:"max=256"`
	TrustClocks   bool                     `json:"Trust,omitempty"` // with By: the registers' clocks are right now, whatever was agreed on before
}

// MaintenanceResponse is the answer.
type MaintenanceResponse struct {
	Now            maintenance.TimeBounds `json:"now"`
	TimeAgreed     bool                   `json:"known"` // a time of day is agreed on
	ClocksDisagree bool                   `json:"doubt,omitempty"`
	Verdict        *maintenance.Verdict   `json:"verdict,omitempty"`
	Sequence       []string               `json:"inOrder,omitempty"` // the machines asked for, as they would come out
	Orders         []maintenance.Order    `json:"orders"`
	WaitingFor     map[string]string      `json:"waits,omitempty"` // by order: what it waits for
	Leader         string                 `json:"leader"`
}

// addressOf is a machine's trunk, by its name or by that.
func (r *Member) addressOf(name string) string {
	for _, l := range r.replica.Records().All() {
		if l.Node == name {
			return l.Addr
		}
	}
	for a, s := range r.maintenance.status {
		if s.Name == name {
			return a
		}
	}
	return name
}

// nameOf is a machine's name, by its trunk; that, if it is not known.
func (r *Member) nameOf(addr string) string {
	if l, is := r.replica.Records().Get(addr); is {
		return l.Node
	}
	if s := r.maintenance.status[addr]; s != nil {
		return s.Name
	}
	return addr
}

// answerMaintenance answers a call, at the leader.
func (r *Member) answerMaintenance(call MaintenanceRequest, done func(MaintenanceResponse, error)) {
	if !r.replica.IsLeader() {
		done(MaintenanceResponse{}, api.NewError(http.StatusServiceUnavailable, "not the leader any more"))
		return
	}
	if r.maintenance.status == nil && !r.maintenance.surveying { // it may not know the registers' names yet
		r.survey(func() { r.agreeTime(); r.answerMaintenance(call, done) })
		return
	}
	call.Machine = r.addressOf(call.Machine)
	for i, m := range call.Machines {
		call.Machines[i] = r.addressOf(m)
	}
	answer := func(err error) {
		t := MaintenanceResponse{ClocksDisagree: r.replica.State().Maintenance.Clock.InDoubt, Orders: r.replica.State().Maintenance.Orders.Orders, WaitingFor: r.maintenance.waitingFor, Leader: r.self.Addr}
		t.Now, t.TimeAgreed = r.agreedTime()
		if call.Machine != "" {
			d := r.meshView("").Plan(call.Machine, time.Duration(call.LengthSeconds*float64(time.Second)), t.Now)
			if !t.TimeAgreed {
				d.Approved, d.Reasons = false, append([]maintenance.Reason{{Text: maintenance.ErrNoAgreedTime.Error()}}, d.Reasons...)
			}
			t.Verdict = &d
		}
		if len(call.Machines) > 0 {
			t.Sequence = r.meshView("").Sequence(call.Machines, r.self.Addr)
		}
		var fault *api.Error
		if err != nil && !errors.As(err, &fault) {
			err = api.NewError(http.StatusConflict, err.Error())
		}
		done(t, err)
	}
	switch {
	case call.TrustClocks:
		if call.By == "" {
			answer(api.NewError(http.StatusBadRequest, "it needs who says so"))
			return
		}
		r.log.Info().Str("by", call.By).Msg("the clocks are to be trusted")
		r.survey(func() {
			r.maintenance.trustClocks, r.maintenance.timeAgreedAt = true, 0
			r.agreeTime()
			answer(nil)
		})
	case call.Order != nil:
		o := *call.Order
		for i, m := range o.Machines {
			o.Machines[i] = r.addressOf(m)
		}
		o.Machines = r.meshView("").Sequence(o.Machines, r.self.Addr)
		o.MachineNames = nil
		for _, m := range o.Machines {
			o.MachineNames = append(o.MachineNames, r.nameOf(m))
		}
		if !o.Override && !o.NeedsApproval {
			if err := r.checkApprover(o, o.PlacedBy); err != nil {
				answer(err)
				return
			}
		}
		r.proposeMaintenance(replica.MaintenanceOrder, o, answer)
	case call.Change != nil:
		if by := call.Change.ApprovedBy; by != "" {
			o, _ := r.replica.State().Maintenance.Orders.Find(call.Change.OrderID)
			if err := r.checkApprover(o, by); err != nil {
				answer(err)
				return
			}
		}
		r.proposeMaintenance(replica.MaintenanceUpdate, call.Change, answer)
	default:
		r.replica.ReadIndex(r.now(), func(_ uint64, ok bool) { // so that it is the leader's word, and not that of one that was it
			if !ok {
				done(MaintenanceResponse{}, api.NewError(http.StatusServiceUnavailable, "the core could not confirm it in time"))
				return
			}
			if call.Machine == "" || r.maintenance.surveying {
				answer(nil)
				return
			}
			r.survey(func() { r.agreeTime(); answer(nil) })
		})
	}
}

// checkApprover says whether the contracts that cover an order's machines name somebody; else the error says who they name.
func (r *Member) checkApprover(o maintenance.Order, by string) error {
	for _, m := range o.Machines {
		d := r.meshView("").Plan(m, o.Duration, maintenance.TimeBounds{})
		if len(d.Contracts) > 0 && !slices.Contains(d.Approvers, by) {
			return notApproverError(by, r.nameOf(m), d)
		}
	}
	return nil
}

func notApproverError(by, machine string, d maintenance.Verdict) error {
	return api.NewError(http.StatusForbidden, "for "+machine+" the contracts "+strings.Join(d.Contracts, ", ")+" name "+strings.Join(d.Approvers, ", ")+" as approvers, not "+by)
}

// initialOrders is what is to be placed once there is a configuration.
type initialOrders struct {
	Contracts json.RawMessage `json:"Contracts"` // a call of /v1/configuration/modify
	Orders    []struct {
		maintenance.Order
		DelaySeconds float64 `json:"AfterS"` // from when the configuration is first seen by this leader
	} `json:"Orders"`
	configuredAt time.Duration
	placed       int
}

func readInitialOrders(file string) (*initialOrders, error) {
	if file == "" {
		return nil, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	s := &initialOrders{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, err
	}
	if _, err := config.ParseItems(s.Contracts); err != nil {
		return nil, err
	}
	return s, nil
}

// placeInitialOrders places standing contracts and orders, one at a time. Whoever leads may do so again: an order placed twice
// under one id is one.
func (r *Member) placeInitialOrders(now time.Duration) {
	s := r.initialOrders
	if s == nil || r.replica.State().Items.Len() == 0 {
		return
	}
	if s.configuredAt == 0 {
		s.configuredAt = now
		items, _ := config.ParseItems(s.Contracts)
		r.replica.Propose(r.now(), replica.EncodeChange(replica.ChangeItems, config.ItemsToWire(items)), func(replica.Outcome, bool) {})
		return
	}
	if s.placed >= len(s.Orders) || now-s.configuredAt < time.Duration(s.Orders[s.placed].DelaySeconds*float64(time.Second)) || r.maintenance.surveying {
		return
	}
	if r.maintenance.status == nil { // it does not know the machines' names yet
		r.survey(func() {})
		return
	}
	o := s.Orders[s.placed].Order
	s.placed++
	o.Machines = slices.Clone(o.Machines)
	for i, m := range o.Machines {
		o.Machines[i] = r.addressOf(m)
	}
	r.proposeMaintenance(replica.MaintenanceOrder, o, func(err error) { r.log.Info().Err(err).Str("order", o.ID).Msg("standing order") })
}
