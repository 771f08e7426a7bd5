package main

import (
	"bytes"
	crand "crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/controlplane"
	"cranegrade/internal/mesh/maintenance"
)

// maintenanceCommands are those of `switchboard night`.
type maintenanceCommands struct {
	Plan  maintenancePlan        `command:"plan" description:"say whether a machine may come out now, and why not"`
	Start maintenanceStart       `command:"start" description:"order machines out, one after the other, as contracts approve"`
	OK    maintenanceApprove     `command:"approve" description:"approve an order that was placed with --ask; another than who placed it has to"`
	Watch maintenanceWatch       `command:"watch" description:"follow an order until it is over"`
	Abort maintenanceAbort       `command:"abort" description:"let the machine in again, and end the order"`
	Back  maintenanceComplete    `command:"back" description:"say that the maintenance of the machine that is out is done"`
	Trust maintenanceTrustClocks `command:"trust-clocks" description:"say that the registers' clocks are right, where they contradict what was agreed on"`
	List  maintenanceList        `command:"list" description:"print orders and the record of each"`
}

// callMaintenance is a call of the night service, at whichever register; it leads on to the leader.
func callMaintenance(addr string, c controlplane.MaintenanceRequest) (t controlplane.MaintenanceResponse, err error) {
	body, err := json.Marshal(c)
	if err != nil {
		return t, err
	}
	text, err := callAPI(http.MethodPost, addr, "/v1/night", body)
	if err != nil {
		return t, err
	}
	return t, errors.Annotate(json.NewDecoder(bytes.NewReader(text)).Decode(&t), "what came back")
}

type maintenancePlan struct {
	Length time.Duration `long:"length" default:"5m" description:"that the maintenance itself takes"`
	Args   struct {
		Control string `positional-arg-name:"ADDR" description:"ControlPlane of a register"`
		Machine string `positional-arg-name:"MACHINE" description:"its name, or its trunk"`
	} `positional-args:"yes" required:"yes"`
}

// Execute says whether a machine may come out; the exit code is 1 if it may not.
func (x *maintenancePlan) Execute([]string) error {
	t, err := callMaintenance(x.Args.Control, controlplane.MaintenanceRequest{Machine: x.Args.Machine, LengthSeconds: x.Length.Seconds()})
	if err != nil {
		return err
	}
	d := t.Verdict
	if err := printResult(t, func() {
		fmt.Printf("it is %s (%v apart)%s\n", t.Now.Earliest.UTC().Format("2006-01-02 15:04:05 MST"), t.Now.Latest.Sub(t.Now.Earliest).Round(time.Millisecond), map[bool]string{true: "; THE CLOCKS ARE IN DOUBT"}[t.ClocksDisagree])
		if d.Approved {
			fmt.Printf("approved by %s until %s; out and back takes up to %v besides\n", strings.Join(d.Contracts, ", "), d.ReturnBy.UTC().Format("2006-01-02 15:04 MST"), d.TransitionTime)
		} else {
			fmt.Println("not now")
		}
		for _, r := range d.Reasons {
			fmt.Println("  " + r.String())
		}
		for _, n := range d.NextWindows {
			fmt.Printf("hours: %s to %s\n", n.From.UTC().Format("2006-01-02 15:04"), n.To.UTC().Format("2006-01-02 15:04 MST"))
		}
		if len(d.Approvers) > 0 {
			fmt.Printf("who may: %s\n", strings.Join(d.Approvers, ", "))
		}
	}); err != nil {
		return err
	}
	if !d.Approved {
		return errNotWell
	}
	return nil
}

type maintenanceStart struct {
	ID       string        `long:"id" description:"of the order; else one is made"`
	Length   time.Duration `long:"length" default:"5m" description:"that the maintenance itself takes, for each machine"`
	By       string        `long:"by" required:"yes" description:"who orders it; the contracts name who may"`
	Reason   string        `long:"reason" description:"for the record; an override needs one"`
	Ask      bool          `long:"ask" description:"whoever gives it: it waits until one whom the contracts name approves it"`
	Override bool          `long:"override" description:"go on against what the contracts say; it stays in the record"`
	Watch    bool          `long:"watch" description:"and follow it until it is over"`
	Args     struct {
		Control  string   `positional-arg-name:"ADDR" description:"ControlPlane of a register"`
		Machines []string `positional-arg-name:"MACHINE" required:"1" description:"names, or trunks"`
	} `positional-args:"yes" required:"yes"`
}

// Execute places an order. Placed twice under one id it is one.
func (x *maintenanceStart) Execute([]string) error {
	if x.ID == "" {
		var p [4]byte
		crand.Read(p[:])
		x.ID = "order-" + hex.EncodeToString(p[:])
	}
	o := maintenance.Order{ID: x.ID, Machines: x.Args.Machines, Duration: x.Length, PlacedBy: x.By, Reason: x.Reason, Override: x.Override, NeedsApproval: x.Ask}
	t, err := callMaintenance(x.Args.Control, controlplane.MaintenanceRequest{Order: &o})
	if err != nil {
		return err
	}
	if x.Watch {
		return watchOrder(x.Args.Control, x.ID)
	}
	return printResult(t, func() { fmt.Printf("%s is placed\n", x.ID) })
}

type orderArgs struct {
	Control string `positional-arg-name:"ADDR" description:"ControlPlane of a register"`
	ID      string `positional-arg-name:"ORDER"`
}

type maintenanceWatch struct {
	Args orderArgs `positional-args:"yes" required:"yes"`
}

// Execute follows an order.
func (x *maintenanceWatch) Execute([]string) error { return watchOrder(x.Args.Control, x.Args.ID) }

// watchOrder prints each step of an order as it is made, and what it waits for. It ends with the order; the exit code is 1 if it
// was aborted or turned back.
func watchOrder(addr, id string) error {
	shown, last := 0, ""
	for {
		t, err := callMaintenance(addr, controlplane.MaintenanceRequest{})
		if err != nil {
			return err
		}
		b := maintenance.OrderTable{Orders: t.Orders}
		o, is := b.Find(id)
		if !is {
			return errors.Errorf("no order %q", id)
		}
		for _, e := range o.Events[min(shown, len(o.Events)):] {
			fmt.Printf("%s  %-24s %-10s %s\n", e.Time.Earliest.UTC().Format("15:04:05.0"), e.Machine, e.Step, e.Text)
		}
		shown = len(o.Events)
		if o.Step.IsFinished() {
			if o.Step == maintenance.StepAborted {
				return errNotWell
			}
			return nil
		}
		if w := t.WaitingFor[id]; w != "" && w != last {
			last = w
			fmt.Printf("%10s  %-24s %-10s waits: %s\n", "", o.CurrentMachineName(), o.Step, w)
		}
		time.Sleep(pollInterval)
	}
}

const pollInterval = 200 * time.Millisecond

type maintenanceAbort struct {
	By   string    `long:"by" required:"yes" description:"who says so"`
	Args orderArgs `positional-args:"yes" required:"yes"`
}

// Execute aborts an order.
func (x *maintenanceAbort) Execute([]string) error {
	return changeOrder(x.Args.Control, maintenance.OrderChange{OrderID: x.Args.ID, Abort: true, Text: "aborted by " + x.By})
}

type maintenanceApprove struct {
	By   string    `long:"by" required:"yes" description:"who approves it; the contracts name who may"`
	Args orderArgs `positional-args:"yes" required:"yes"`
}

// Execute approves an order.
func (x *maintenanceApprove) Execute([]string) error {
	return changeOrder(x.Args.Control, maintenance.OrderChange{OrderID: x.Args.ID, ApprovedBy: x.By, Text: "approved by " + x.By})
}

type maintenanceComplete struct {
	By   string    `long:"by" required:"yes" description:"who says so"`
	Args orderArgs `positional-args:"yes" required:"yes"`
}

// Execute says that the maintenance is done.
func (x *maintenanceComplete) Execute([]string) error {
	return changeOrder(x.Args.Control, maintenance.OrderChange{OrderID: x.Args.ID, MaintenanceDone: true, Text: "the maintenance is done, says " + x.By})
}

func changeOrder(addr string, c maintenance.OrderChange) error {
	t, err := callMaintenance(addr, controlplane.MaintenanceRequest{Change: &c})
	if err != nil {
		return err
	}
	return printResult(t, func() { fmt.Printf("%s: %s\n", c.OrderID, c.Text) })
}

type maintenanceTrustClocks struct {
	By   string `long:"by" required:"yes" description:"who says so"`
	Args struct {
		Control string `positional-arg-name:"ADDR" description:"ControlPlane of a register"`
	} `positional-args:"yes" required:"yes"`
}

// Execute has the time of day be agreed on anew, by the clocks alone.
func (x *maintenanceTrustClocks) Execute([]string) error {
	t, err := callMaintenance(x.Args.Control, controlplane.MaintenanceRequest{TrustClocks: true, By: x.By})
	if err != nil {
		return err
	}
	return printResult(t, func() { fmt.Println("the time of day is agreed on anew") })
}

type maintenanceList struct {
	Args struct {
		Control string `positional-arg-name:"ADDR" description:"ControlPlane of a register"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints all orders with their records.
func (x *maintenanceList) Execute([]string) error {
	t, err := callMaintenance(x.Args.Control, controlplane.MaintenanceRequest{})
	if err != nil {
		return err
	}
	return printResult(t, func() {
		for _, o := range t.Orders {
			fmt.Printf("%s by %s: %s, %d of %d machines%s\n", o.ID, o.PlacedBy, o.Step, min(o.Position+1, len(o.Machines)), len(o.Machines), map[bool]string{true: ", OVERRIDE: " + o.Reason}[o.Override])
			for _, e := range o.Events {
				fmt.Printf("  %s  %-24s %-10s %s\n", e.Time.Earliest.UTC().Format("2006-01-02 15:04:05"), e.Machine, e.Step, e.Text)
			}
		}
	})
}
