package controlplane

import (
	"net/http"
	"slices"
	"strings"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/api"
	"cranegrade/internal/mesh/duration"
	"cranegrade/internal/mesh/maintenance"
	"cranegrade/internal/mesh/replica"
)

// textNoName is the error text for a request that accepts the clocks without an operator's name.
const textNoName = "the name of the operator is missing"

// MaintenanceRequest is an operator's request: for the plan of a machine, to place an order, to change one, or only for the state of all
// orders. Fields that do not apply are left empty. The JSON names are those of the former release.
type MaintenanceRequest struct {
	Machine       string                   `json:"Machine,omitempty" validate:"max=256"`
	Order         *maintenance.Order       `json:"Order,omitempty"`
	Change        *maintenance.OrderChange `json:"Word,omitempty"`
	By            string                   `json:"By,omitempty" validate:"max=128"`
	LengthSeconds float64                  `json:"LengthS,omitempty" validate:"gte=0,lte=86400"`
	Machines      []string                 `json:"Machines,omitempty" validate:"max=256"`
	// TrustClocks is set if By confirms that the members' clocks are right, whatever time was committed before.
	TrustClocks bool `json:"Trust,omitempty"`
}

// MaintenanceResponse is the leader's answer.
type MaintenanceResponse struct {
	Now            maintenance.TimeBounds `json:"now"`
	TimeAgreed     bool                   `json:"known"`
	ClocksDisagree bool                   `json:"doubt,omitempty"`
	Verdict        *maintenance.Verdict   `json:"verdict,omitempty"` // whether Machine may be taken out
	Sequence       []string               `json:"inOrder,omitempty"` // Machines, in the order in which they would be drained
	Orders         []maintenance.Order    `json:"orders"`
	WaitingFor     map[string]string      `json:"waits,omitempty"` // by order
	Leader         string                 `json:"leader"`
}

// answer answers a request at the leader. done is called once, on the loop's goroutine.
func (c *maintenanceController) answer(request MaintenanceRequest, done func(apiResult[MaintenanceResponse])) {
	if !c.replica.IsLeader() {
		done(apiResult[MaintenanceResponse]{err: api.NewError(http.StatusServiceUnavailable, replica.TextLeadershipLost)})
		return
	}
	if c.survey.status == nil && !c.survey.running { // the names of members are only known from a survey
		c.survey.start(func() {
			c.agreeTime()
			c.answer(request, done)
		})
		return
	}
	request.Machine = c.addressOf(request.Machine)
	request.Machines = c.addressesOf(request.Machines)
	respond := func(err error) {
		done(apiResult[MaintenanceResponse]{response: c.response(request), err: toAPIError(err)})
	}
	switch {
	case request.TrustClocks:
		c.acceptClocks(request.By, respond)
	case request.Order != nil:
		c.placeOrder(*request.Order, respond)
	case request.Change != nil:
		c.changeOrder(*request.Change, respond)
	default:
		c.confirmAndPlan(request, respond, done)
	}
}

// response returns the state of all orders and, if the request names machines, a plan or a drain sequence.
func (c *maintenanceController) response(request MaintenanceRequest) MaintenanceResponse {
	state := &c.replica.State().Maintenance
	response := MaintenanceResponse{
		ClocksDisagree: state.Clock.InDoubt,
		Orders:         state.Orders.Orders,
		WaitingFor:     c.waitingFor,
		Leader:         c.self,
	}
	response.Now, response.TimeAgreed = c.agreedTime()
	if request.Machine != "" {
		length := duration.FromSeconds(request.LengthSeconds)
		verdict := c.meshView("").Plan(request.Machine, length, response.Now)
		if !response.TimeAgreed {
			verdict.Approved = false
			verdict.Reasons = append([]maintenance.Reason{{Text: maintenance.ErrNoAgreedTime.Error()}}, verdict.Reasons...)
		}
		response.Verdict = &verdict
	}
	if len(request.Machines) > 0 {
		response.Sequence = c.meshView("").Sequence(request.Machines, c.self)
	}
	return response
}

// toAPIError returns an error with an HTTP status: its own, or StatusConflict if it has none.
func toAPIError(err error) error {
	var withStatus *api.Error
	if err == nil || errors.As(err, &withStatus) {
		return err
	}
	return api.NewError(http.StatusConflict, err.Error())
}

// acceptClocks proposes a time of day from the members' present clocks, ignoring the one that was committed before.
func (c *maintenanceController) acceptClocks(by string, respond func(error)) {
	if by == "" {
		respond(api.NewError(http.StatusBadRequest, textNoName))
		return
	}
	c.log.Info().Str("by", by).Msg("operator accepted the members' clocks")
	c.survey.start(func() {
		c.trustClocks, c.timeAgreedAt = true, 0
		c.agreeTime()
		respond(nil)
	})
}

// placeOrder proposes a new order, with its machines in the sequence in which they may be drained.
func (c *maintenanceController) placeOrder(order maintenance.Order, respond func(error)) {
	order.Machines = c.meshView("").Sequence(c.addressesOf(order.Machines), c.self)
	order.MachineNames = nil
	for _, machine := range order.Machines {
		order.MachineNames = append(order.MachineNames, c.nameOf(machine))
	}
	if !order.Override && !order.NeedsApproval {
		if err := c.checkApprover(order, order.PlacedBy); err != nil {
			respond(err)
			return
		}
	}
	c.propose(replica.MaintenanceOrder, order, respond)
}

// changeOrder proposes an operator's change of an order.
func (c *maintenanceController) changeOrder(change maintenance.OrderChange, respond func(error)) {
	if change.ApprovedBy != "" {
		order, _ := c.replica.State().Maintenance.Orders.Find(change.OrderID)
		if err := c.checkApprover(order, change.ApprovedBy); err != nil {
			respond(err)
			return
		}
	}
	c.propose(replica.MaintenanceUpdate, change, respond)
}

// confirmAndPlan answers from this member's state once a quorum has confirmed that it still leads. It surveys the mesh first if a plan is
// requested.
func (c *maintenanceController) confirmAndPlan(request MaintenanceRequest, respond func(error), done func(apiResult[MaintenanceResponse])) {
	c.replica.ReadIndex(c.clock.now(), func(read replica.ReadIndexResult) {
		switch {
		case !read.Confirmed:
			done(apiResult[MaintenanceResponse]{err: api.NewError(http.StatusServiceUnavailable, textNotConfirmed)})
		case request.Machine == "" || c.survey.running:
			respond(nil)
		default:
			c.survey.start(func() {
				c.agreeTime()
				respond(nil)
			})
		}
	})
}

// addressOf returns the address of the machine with a name, or the name itself if no machine has it.
func (c *maintenanceController) addressOf(name string) string {
	for _, record := range c.replica.Records().All() {
		if record.Node == name {
			return record.Addr
		}
	}
	for address, status := range c.survey.status {
		if status.Name == name {
			return address
		}
	}
	return name
}

// addressesOf returns the result of addressOf for each name, in a new slice.
func (c *maintenanceController) addressesOf(names []string) []string {
	addresses := slices.Clone(names)
	for i, name := range names {
		addresses[i] = c.addressOf(name)
	}
	return addresses
}

// nameOf returns the name of the machine at an address, or the address itself if the machine is not known.
func (c *maintenanceController) nameOf(address string) string {
	if record, ok := c.replica.Records().Get(address); ok {
		return record.Node
	}
	if status := c.survey.status[address]; status != nil {
		return status.Name
	}
	return address
}

// checkApprover returns an error unless the contracts that cover an order's machines, if any, name by as an approver.
func (c *maintenanceController) checkApprover(order maintenance.Order, by string) error {
	for _, machine := range order.Machines {
		verdict := c.meshView("").Plan(machine, order.Duration, maintenance.TimeBounds{})
		if len(verdict.Contracts) > 0 && !slices.Contains(verdict.Approvers, by) {
			return notApproverError(by, c.nameOf(machine), verdict)
		}
	}
	return nil
}

// notApproverError returns the error for an approver whom the contracts do not name.
func notApproverError(by, machine string, verdict maintenance.Verdict) error {
	return api.NewError(http.StatusForbidden, "for "+machine+" the contracts "+strings.Join(verdict.Contracts, ", ")+" name "+
		strings.Join(verdict.Approvers, ", ")+" as approvers, not "+by)
}
