package cli

import (
	crand "crypto/rand"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"cranegrade/internal/mesh/apiclient"
	"cranegrade/internal/mesh/controlplane"
	"cranegrade/internal/mesh/demo"
	"cranegrade/internal/mesh/maintenance"
)

// maintenanceCommands are the subcommands of meshctl maintenance.
type maintenanceCommands struct {
	env         *environment
	Length      time.Duration          `long:"length" hidden:"yes" default:"4s"` // option of the demo that formerly had this name
	Plan        maintenancePlan        `command:"plan" description:"print whether a machine may be taken out now, and if not why"`
	Start       maintenanceStart       `command:"start" description:"order that machines be taken out one after the other, as contracts approve"`
	Approve     maintenanceApprove     `command:"approve" description:"approve an order that was placed with --ask by somebody else"`
	Watch       maintenanceWatch       `command:"watch" description:"follow an order until it is finished"`
	Abort       maintenanceAbort       `command:"abort" description:"put the machine back into service, and end the order"`
	Complete    maintenanceComplete    `command:"complete" description:"end the maintenance of the machine that is out"`
	Back        maintenanceComplete    `command:"back" hidden:"yes" description:"former name of complete"`
	TrustClocks maintenanceTrustClocks `command:"trust-clocks" description:"accept the members' present clocks, whatever was agreed on before"`
	List        maintenanceList        `command:"list" description:"print all orders with their records"`
}

func newMaintenanceCommands(env *environment) *maintenanceCommands {
	return &maintenanceCommands{
		env:         env,
		Plan:        maintenancePlan{env: env},
		Start:       maintenanceStart{env: env},
		Approve:     maintenanceApprove{env: env},
		Watch:       maintenanceWatch{env: env},
		Abort:       maintenanceAbort{env: env},
		Complete:    maintenanceComplete{env: env},
		Back:        maintenanceComplete{env: env},
		TrustClocks: maintenanceTrustClocks{env: env},
		List:        maintenanceList{env: env},
	}
}

// Execute runs the demo that formerly had this name, as long as former names work.
func (c *maintenanceCommands) Execute(args []string) error {
	if len(args) > 0 {
		return &flags.Error{Type: flags.ErrUnknownCommand, Message: fmt.Sprintf("Unknown command `%s' of maintenance", args[0])}
	}
	return demo.Maintenance(c.env.out, c.Length)
}

// apiAddress is the argument of commands that call a control-plane member and need nothing else.
type apiAddress struct {
	API string `positional-arg-name:"ADDR" description:"ControlPlane of a member"`
}

// orderArgs are the arguments of a command about one order.
type orderArgs struct {
	API string `positional-arg-name:"ADDR" description:"ControlPlane of a member"`
	ID  string `positional-arg-name:"ORDER"`
}

type maintenancePlan struct {
	env    *environment
	Length time.Duration `long:"length" default:"5m" description:"that the maintenance itself takes"`
	Args   struct {
		API     string `positional-arg-name:"ADDR" description:"ControlPlane of a member"`
		Machine string `positional-arg-name:"MACHINE" description:"its name, or its transport address"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints whether a machine may be taken out. The exit code is 1 if it may not.
func (c *maintenancePlan) Execute([]string) error {
	request := controlplane.MaintenanceRequest{Machine: c.Args.Machine, LengthSeconds: c.Length.Seconds()}
	response, err := c.env.api(c.Args.API).Maintenance(request)
	if err != nil {
		return err
	}
	if err := c.env.print(response, func() { c.printText(response) }); err != nil {
		return err
	}
	if !response.Verdict.Approved {
		return errNotWell
	}
	return nil
}

// minuteLayout is how times of windows are printed.
const minuteLayout = "2006-01-02 15:04"

func (c *maintenancePlan) printText(response controlplane.MaintenanceResponse) {
	now, verdict := response.Now, response.Verdict
	c.env.printf("it is %s (%v apart)", now.Earliest.UTC().Format("2006-01-02 15:04:05 MST"),
		now.Latest.Sub(now.Earliest).Round(time.Millisecond))
	if response.ClocksDisagree {
		c.env.printf("; THE CLOCKS ARE IN DOUBT")
	}
	c.env.println()
	if verdict.Approved {
		c.env.printf("approved by %s until %s; out and back takes up to %v besides\n",
			strings.Join(verdict.Contracts, ", "), verdict.ReturnBy.UTC().Format(minuteLayout+" MST"), verdict.TransitionTime)
	} else {
		c.env.println("not now")
	}
	for _, reason := range verdict.Reasons {
		c.env.println("  " + reason.String())
	}
	for _, window := range verdict.NextWindows {
		c.env.printf("hours: %s to %s\n", window.From.UTC().Format(minuteLayout), window.To.UTC().Format(minuteLayout+" MST"))
	}
	if len(verdict.Approvers) > 0 {
		c.env.printf("who may: %s\n", strings.Join(verdict.Approvers, ", "))
	}
}

type maintenanceStart struct {
	env      *environment
	ID       string        `long:"id" description:"of the order; default: a random one"`
	Length   time.Duration `long:"length" default:"5m" description:"that the maintenance itself takes, for each machine"`
	By       string        `long:"by" required:"yes" description:"who orders it; the contracts name who may"`
	Reason   string        `long:"reason" description:"for the record; an override needs one"`
	Ask      bool          `long:"ask" description:"place an order that waits until somebody whom the contracts name approves it"`
	Override bool          `long:"override" description:"proceed against the contracts; the record keeps it"`
	Watch    bool          `long:"watch" description:"follow the order until it is finished"`
	Args     struct {
		API      string   `positional-arg-name:"ADDR" description:"ControlPlane of a member"`
		Machines []string `positional-arg-name:"MACHINE" required:"1" description:"names, or transport addresses"`
	} `positional-args:"yes" required:"yes"`
}

// orderIDBytes is the length of the random part of an order's id.
const orderIDBytes = 4

// Execute places an order. It is idempotent: an order that is placed again under its id is the same order.
func (c *maintenanceStart) Execute([]string) error {
	if c.ID == "" {
		var random [orderIDBytes]byte
		crand.Read(random[:]) // never fails
		c.ID = "order-" + hex.EncodeToString(random[:])
	}
	order := maintenance.Order{
		ID:            c.ID,
		Machines:      c.Args.Machines,
		Duration:      c.Length,
		PlacedBy:      c.By,
		Reason:        c.Reason,
		Override:      c.Override,
		NeedsApproval: c.Ask,
	}
	response, err := c.env.api(c.Args.API).Maintenance(controlplane.MaintenanceRequest{Order: &order})
	if err != nil {
		return err
	}
	if c.Watch {
		return c.env.watchOrder(c.Args.API, c.ID)
	}
	return c.env.print(response, func() { c.env.printf("%s is placed\n", c.ID) })
}

type maintenanceWatch struct {
	env  *environment
	Args orderArgs `positional-args:"yes" required:"yes"`
}

// Execute follows an order.
func (c *maintenanceWatch) Execute([]string) error { return c.env.watchOrder(c.Args.API, c.Args.ID) }

// watchOrder prints the steps of an order, and what it waits for, until the order ends. The exit code is 1 if the order was aborted
// or rolled back.
func (env *environment) watchOrder(addr, id string) error {
	step, err := env.api(addr).FollowOrder(id, func(p apiclient.OrderProgress) { p.WriteText(env.out) })
	if err != nil {
		return err
	}
	if step == maintenance.StepAborted {
		return errNotWell
	}
	return nil
}

type maintenanceAbort struct {
	env  *environment
	By   string    `long:"by" required:"yes" description:"who says so"`
	Args orderArgs `positional-args:"yes" required:"yes"`
}

// Execute aborts an order.
func (c *maintenanceAbort) Execute([]string) error {
	return c.env.changeOrder(c.Args.API, maintenance.OrderChange{
		OrderID: c.Args.ID,
		Abort:   true,
		Text:    "aborted by " + c.By,
	})
}

type maintenanceApprove struct {
	env  *environment
	By   string    `long:"by" required:"yes" description:"who approves it; the contracts name who may"`
	Args orderArgs `positional-args:"yes" required:"yes"`
}

// Execute approves an order.
func (c *maintenanceApprove) Execute([]string) error {
	return c.env.changeOrder(c.Args.API, maintenance.OrderChange{
		OrderID:    c.Args.ID,
		ApprovedBy: c.By,
		Text:       "approved by " + c.By,
	})
}

type maintenanceComplete struct {
	env  *environment
	By   string    `long:"by" required:"yes" description:"who says so"`
	Args orderArgs `positional-args:"yes" required:"yes"`
}

// Execute completes the maintenance, so that the machine returns to service.
func (c *maintenanceComplete) Execute([]string) error {
	return c.env.changeOrder(c.Args.API,
		maintenance.OrderChange{OrderID: c.Args.ID, MaintenanceDone: true, Text: "the maintenance is done, says " + c.By})
}

// changeOrder sends a change of an order and prints it.
func (env *environment) changeOrder(addr string, change maintenance.OrderChange) error {
	response, err := env.api(addr).Maintenance(controlplane.MaintenanceRequest{Change: &change})
	if err != nil {
		return err
	}
	return env.print(response, func() { env.printf("%s: %s\n", change.OrderID, change.Text) })
}

type maintenanceTrustClocks struct {
	env  *environment
	By   string     `long:"by" required:"yes" description:"who says so"`
	Args apiAddress `positional-args:"yes" required:"yes"`
}

// Execute makes the members agree on the time of day again, by their present clocks alone.
func (c *maintenanceTrustClocks) Execute([]string) error {
	response, err := c.env.api(c.Args.API).Maintenance(controlplane.MaintenanceRequest{TrustClocks: true, By: c.By})
	if err != nil {
		return err
	}
	return c.env.print(response, func() { c.env.println("the time of day is agreed on anew") })
}

type maintenanceList struct {
	env  *environment
	Args apiAddress `positional-args:"yes" required:"yes"`
}

// Execute prints all orders with their records.
func (c *maintenanceList) Execute([]string) error {
	response, err := c.env.api(c.Args.API).Maintenance(controlplane.MaintenanceRequest{})
	if err != nil {
		return err
	}
	return c.env.print(response, func() {
		for _, order := range response.Orders {
			c.printOrder(order)
		}
	})
}

func (c *maintenanceList) printOrder(order maintenance.Order) {
	override := ""
	if order.Override {
		override = ", OVERRIDE: " + order.Reason
	}
	c.env.printf("%s by %s: %s, %d of %d machines%s\n",
		order.ID, order.PlacedBy, order.Step, min(order.Position+1, len(order.Machines)), len(order.Machines), override)
	for _, e := range order.Events {
		c.env.printf("  %s  %-24s %-10s %s\n", e.Time.Earliest.UTC().Format("2006-01-02 15:04:05"), e.Machine, e.Step, e.Text)
	}
}
