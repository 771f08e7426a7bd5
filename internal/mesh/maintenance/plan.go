package maintenance

import (
	"fmt"
	"slices"
	"time"
)

// Reason is why a machine may not be taken out now.
type Reason struct {
	Contract string    `json:"contract,omitempty"` // empty if the reason does not come from a contract
	Text     string    `json:"text"`
	Until    time.Time `json:"until,omitzero"` // when it ends, if that is known
}

// String returns the reason as operators read it.
func (r Reason) String() string {
	text := r.Text
	if r.Contract != "" {
		text = "contract " + r.Contract + ": " + text
	}
	if !r.Until.IsZero() {
		text += ", until " + r.Until.UTC().Format("2006-01-02 15:04 MST")
	}
	return text
}

// Verdict is the result of a plan for one machine. It is sent to operators as JSON.
type Verdict struct {
	Approved       bool          `json:"approved"`
	Reasons        []Reason      `json:"reasons,omitempty"` // why it is not approved
	Contracts      []string      `json:"contracts"`         // that cover the machine
	TransitionTime time.Duration `json:"takes"`             // to go out and to come back, at most, without the maintenance itself
	ReturnBy       time.Time     `json:"until,omitzero"`    // when the machine must be back
	NextWindows    []Interval    `json:"next,omitempty"`    // windows that all contracts approve, the current one included
	Approvers      []string      `json:"approvers"`         // who may approve it: those named by every contract that covers the machine
}

const (
	lookAhead      = 60 * 24 * time.Hour // how far ahead windows are searched
	maxNextWindows = 3
)

// Plan returns whether a machine may be taken out now for a maintenance of some length, and if not, why. It is
// approved if every contract that covers the machine approves it. A machine that no contract covers is not approved.
func (v View) Plan(addr string, length time.Duration, now TimeBounds) Verdict {
	return v.evaluate(addr, now, func(transition time.Duration) time.Duration { return transition + length })
}

// Recheck returns whether a machine that is out or being drained may stay out for the time that it needs to come back.
func (v View) Recheck(addr string, now TimeBounds) Verdict {
	return v.evaluate(addr, now, func(time.Duration) time.Duration { return v.Parameters.WarmUp })
}

// evaluate plans for the time that a machine needs from now on, which needs returns for its transition time.
func (v View) evaluate(addr string, now TimeBounds, needs func(transition time.Duration) time.Duration) (verdict Verdict) {
	machine, known := v.machine(addr)
	if !known {
		verdict.refuse(Reason{Text: addr + " is no machine that is known"})
		return verdict
	}
	verdict.TransitionTime = v.TransitionTime(machine)
	absence := absence{time: needs(verdict.TransitionTime), margin: v.Parameters.Margin, now: now}
	horizon := Interval{now.Earliest, now.Latest.Add(lookAhead)}
	approved := []Interval{horizon}
	for _, contract := range v.Contracts {
		if !v.isCovered(contract, machine) {
			continue
		}
		verdict.addContract(contract)
		windows, barred := contract.Windows(horizon)
		approved = intersectIntervals(approved, windows)
		verdict.checkHours(contract, windows, barred, absence)
		v.checkCapacity(contract, machine, &verdict)
	}
	verdict.checkCommonWindow(approved, absence)
	v.checkQuorum(machine, &verdict)
	if v.isInMaintenance(addr) {
		verdict.refuse(Reason{Text: "another order has it already"})
	}
	verdict.Approved = len(verdict.Reasons) == 0
	return verdict
}

// absence is how long a machine would be out from now on.
type absence struct {
	time, margin time.Duration
	now          TimeBounds
}

// interval returns an interval that contains the absence, whatever the time is between the bounds.
func (a absence) interval() Interval {
	return Interval{a.now.Earliest, a.now.Latest.Add(a.time + a.margin)}
}

func (d *Verdict) refuse(r Reason) { d.Reasons = append(d.Reasons, r) }

// addContract adds a contract that covers the machine. Only those whom all contracts name may approve.
func (d *Verdict) addContract(c Contract) {
	if len(d.Contracts) == 0 {
		d.Approvers = slices.Clone(c.Approvers)
	} else {
		d.Approvers = slices.DeleteFunc(d.Approvers, func(name string) bool { return !slices.Contains(c.Approvers, name) })
	}
	d.Contracts = append(d.Contracts, c.Name)
}

// checkHours checks that an absence is within one window of a contract and not on a barred day.
func (d *Verdict) checkHours(c Contract, windows, barred []Interval, a absence) {
	if i := slices.IndexFunc(barred, a.interval().overlaps); i >= 0 {
		d.refuse(Reason{c.Name, fmt.Sprintf("the day is barred (%s)", c.barredReason(barred[i])), barred[i].To})
		return
	}
	if !slices.ContainsFunc(windows, func(w Interval) bool { return w.Contains(a.interval()) }) {
		d.refuse(outsideHours(c, windows, a))
	}
}

// barredReason returns why an interval is barred.
func (c Contract) barredReason(barred Interval) string {
	for _, days := range c.Barred {
		only := c
		only.Barred = []BarredDays{days}
		if _, overlapping := only.Windows(barred); len(overlapping) > 0 {
			return days.Why
		}
	}
	return "several"
}

// outsideHours explains why an absence is not within any of a contract's windows.
func outsideHours(c Contract, windows []Interval, a absence) Reason {
	needed := a.interval()
	for _, window := range windows {
		switch {
		case window.From.After(needed.To):
			return Reason{c.Name, "outside its hours", window.From}
		case window.From.After(needed.From):
			return Reason{c.Name, "the window has not opened for certain", window.From}
		case window.To.After(needed.From):
			return Reason{Contract: c.Name, Text: fmt.Sprintf("its window ends at %s, and it would take %v and a margin of %v",
				window.To.UTC().Format("15:04 MST"), a.time, a.margin)}
		}
	}
	return Reason{Contract: c.Name, Text: fmt.Sprintf("outside its hours, and none come in the next %d days", int(lookAhead.Hours()/24))}
}

// checkCommonWindow checks that there is any contract, and that the absence is within a window that all contracts approve.
func (d *Verdict) checkCommonWindow(approved []Interval, a absence) {
	if len(d.Contracts) == 0 {
		d.refuse(Reason{Text: "no contract covers it, so nobody has approved any hour"})
		return
	}
	d.NextWindows = approved[:min(len(approved), maxNextWindows)]
	if i := slices.IndexFunc(approved, func(w Interval) bool { return w.Contains(a.interval()) }); i >= 0 {
		d.ReturnBy = approved[i].To
	} else if len(d.Reasons) == 0 {
		d.refuse(Reason{Text: fmt.Sprintf("the hours of %v have no window together that is long enough", d.Contracts)})
	}
}

// capacity is what would remain of a service and a zone without a machine.
type capacity struct {
	outOfService, outOfZone int // other machines that are out or not ready
	slots, readySlots       int // of its service: all, and those ready without the machine
}

func (v View) capacityWithout(machine Machine) (c capacity) {
	for _, m := range v.Machines {
		if m.ControlPlane {
			continue
		}
		sameService, other := m.Service == machine.Service, m.Addr != machine.Addr
		out := v.isInMaintenance(m.Addr) || !m.Ready
		if other && out && sameService {
			c.outOfService++
		}
		if other && out && m.Zone == machine.Zone {
			c.outOfZone++
		}
		if sameService {
			c.slots += m.Slots
		}
		if other && !out && sameService {
			c.readySlots += m.Slots
		}
	}
	return c
}

// checkCapacity checks how many machines are out, and the capacity that remains.
func (v View) checkCapacity(c Contract, machine Machine, verdict *Verdict) {
	if machine.ControlPlane {
		return
	}
	refuse := func(format string, args ...any) {
		verdict.refuse(Reason{Contract: c.Name, Text: fmt.Sprintf(format, args...)})
	}
	left := v.capacityWithout(machine)
	if limit := max(1, c.MostOut.Service); left.outOfService >= limit {
		refuse("%d machines of %s are out, and %d may be", left.outOfService, machine.Service, limit)
	}
	if limit := max(1, c.MostOut.Zone); left.outOfZone >= limit {
		refuse("%d machines of zone %s are out, and %d may be", left.outOfZone, machine.Zone, limit)
	}
	if left.slots > 0 && float64(left.readySlots) < c.LeastReady*float64(left.slots) {
		refuse("%d of %d slots of %s would stay, and %g of them must", left.readySlots, left.slots, machine.Service, c.LeastReady)
	}
	if load, known := v.Load[machine.Service]; known && load > float64(left.readySlots) {
		refuse("%.0f slots of %s are at work, and %d would stay", load, machine.Service, left.readySlots)
	}
	if machine.Service != "" && machine.Slots > 0 && left.readySlots == 0 {
		refuse("no server of %s would stay", machine.Service)
	}
}

// checkQuorum checks that without a control-plane member the configured number of further members may be lost.
func (v View) checkQuorum(machine Machine, verdict *Verdict) {
	if !machine.ControlPlane {
		return
	}
	members, ready := 0, 0
	for _, m := range v.Machines {
		if !m.ControlPlane {
			continue
		}
		members++
		if m.Ready && m.Addr != machine.Addr && !v.isInMaintenance(m.Addr) {
			ready++
		}
	}
	quorum, tolerance := members/2+1, v.Parameters.FaultTolerance
	switch {
	case ready < quorum:
		verdict.refuse(Reason{Text: fmt.Sprintf("%d of %d control-plane members would stay, and a majority is %d", ready, members, quorum)})
	case ready-tolerance < quorum:
		verdict.refuse(Reason{Text: fmt.Sprintf("%d of %d control-plane members would stay, a majority is %d, "+
			"and so the loss of %d could not be borne: add control-plane members first", ready, members, quorum, tolerance)})
	}
}
