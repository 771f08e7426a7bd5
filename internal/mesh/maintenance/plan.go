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
	Until    time.Time `json:"until,omitzero"` // when it no longer applies, if that is known
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
	TransitionTime time.Duration `json:"takes"`             // upper bound for draining and returning, without the maintenance itself
	ReturnBy       time.Time     `json:"until,omitzero"`    // when the machine must be back
	NextWindows    []Interval    `json:"next,omitempty"`    // windows that all contracts approve, the current one included
	Approvers      []string      `json:"approvers"`         // who may approve it: those named by every contract that covers the machine
}

const (
	lookAhead      = 60 * 24 * time.Hour // how far ahead plans search for windows
	maxNextWindows = 3                   // in a Verdict
)

// Plan returns whether a machine may be taken out now for a maintenance of the given length, and if not, why. Every
// contract that covers the machine has to approve, and at least one contract has to cover it.
func (v View) Plan(addr string, length time.Duration, now TimeBounds) Verdict {
	return v.evaluate(addr, now, func(transition time.Duration) time.Duration { return transition + length })
}

// Recheck returns whether a machine that is out or being drained may still be out for the time that it needs to come back.
func (v View) Recheck(addr string, now TimeBounds) Verdict {
	return v.evaluate(addr, now, func(time.Duration) time.Duration { return v.Parameters.WarmUp })
}

// evaluate checks whether a machine may be out from now on. neededTime returns for how long, given the machine's transition time.
func (v View) evaluate(addr string, now TimeBounds, neededTime func(transition time.Duration) time.Duration) (verdict Verdict) {
	machine, exists := v.machine(addr)
	if !exists {
		verdict.addReason(Reason{Text: addr + " is no machine that is known"})
		return verdict
	}
	verdict.TransitionTime = v.TransitionTime(machine)
	planned := absence{duration: neededTime(verdict.TransitionTime), margin: v.Parameters.Margin, now: now}
	horizon := Interval{now.Earliest, now.Latest.Add(lookAhead)}
	approved := []Interval{horizon}
	for _, contract := range v.Contracts {
		if !v.isCovered(contract, machine) {
			continue
		}
		verdict.addContract(contract)
		windows, barred := contract.Windows(horizon)
		approved = intersectIntervals(approved, windows)
		verdict.checkHours(contract, windows, barred, planned)
		v.checkCapacity(contract, machine, &verdict)
	}
	verdict.checkCommonWindow(approved, planned)
	v.checkQuorum(machine, &verdict)
	if v.isInMaintenance(addr) {
		verdict.addReason(Reason{Text: "another order has it already"})
	}
	verdict.Approved = len(verdict.Reasons) == 0
	return verdict
}

// absence is a time out of service that begins now.
type absence struct {
	duration, margin time.Duration
	now              TimeBounds
}

// interval returns the interval that contains the absence and its margin wherever between its bounds the current time is.
func (a absence) interval() Interval {
	return Interval{a.now.Earliest, a.now.Latest.Add(a.duration + a.margin)}
}

// addReason adds a reason why the machine may not be taken out.
func (verdict *Verdict) addReason(r Reason) { verdict.Reasons = append(verdict.Reasons, r) }

// addContract adds a contract that covers the machine. Approvers are those whom all such contracts name.
func (verdict *Verdict) addContract(c Contract) {
	if len(verdict.Contracts) == 0 {
		verdict.Approvers = slices.Clone(c.Approvers)
	} else {
		verdict.Approvers = slices.DeleteFunc(verdict.Approvers, func(name string) bool { return !slices.Contains(c.Approvers, name) })
	}
	verdict.Contracts = append(verdict.Contracts, c.Name)
}

// checkHours checks that an absence is within one window of a contract and not on a barred day.
func (verdict *Verdict) checkHours(c Contract, windows, barred []Interval, a absence) {
	if i := slices.IndexFunc(barred, a.interval().overlaps); i >= 0 {
		verdict.addReason(Reason{c.Name, fmt.Sprintf("the day is barred (%s)", c.barredReason(barred[i])), barred[i].To})
		return
	}
	if !slices.ContainsFunc(windows, func(w Interval) bool { return w.Contains(a.interval()) }) {
		verdict.addReason(outsideHours(c, windows, a))
	}
}

// barredReason returns why an interval is barred: the reason of the first range of days that overlaps it.
func (c Contract) barredReason(barred Interval) string {
	for _, days := range c.Barred {
		withSingleRange := c
		withSingleRange.Barred = []BarredDays{days}
		if _, overlapping := withSingleRange.Windows(barred); len(overlapping) > 0 {
			return days.Why
		}
	}
	return "several"
}

// outsideHours returns why an absence is not within any of a contract's windows.
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
				window.To.UTC().Format("15:04 MST"), a.duration, a.margin)}
		}
	}
	return Reason{Contract: c.Name, Text: fmt.Sprintf("outside its hours, and none come in the next %d days", int(lookAhead.Hours()/24))}
}

// checkCommonWindow checks that a contract covers the machine, and that the absence is within a window that all such contracts approve.
func (verdict *Verdict) checkCommonWindow(approved []Interval, a absence) {
	if len(verdict.Contracts) == 0 {
		verdict.addReason(Reason{Text: "no contract covers it, so nobody has approved any hour"})
		return
	}
	verdict.NextWindows = approved[:min(len(approved), maxNextWindows)]
	if i := slices.IndexFunc(approved, func(w Interval) bool { return w.Contains(a.interval()) }); i >= 0 {
		verdict.ReturnBy = approved[i].To
	} else if len(verdict.Reasons) == 0 {
		verdict.addReason(Reason{Text: fmt.Sprintf("the hours of %v have no window together that is long enough", verdict.Contracts)})
	}
}

// capacity is what remains of a machine's service and zone without the machine.
type capacity struct {
	outOfService, outOfZone int // other machines of the service, and of the zone, that are out or not ready
	slots, readySlots       int // of the service: all slots with the machine's, and the ready ones without
}

// capacityWithout returns the capacity that remains without a machine.
func (v View) capacityWithout(machine Machine) (c capacity) {
	for _, m := range v.Machines {
		if m.ControlPlane {
			continue
		}
		sameService, isOther := m.Service == machine.Service, m.Addr != machine.Addr
		out := v.isInMaintenance(m.Addr) || !m.Ready
		if isOther && out && sameService {
			c.outOfService++
		}
		if isOther && out && m.Zone == machine.Zone {
			c.outOfZone++
		}
		if sameService {
			c.slots += m.Slots
		}
		if isOther && !out && sameService {
			c.readySlots += m.Slots
		}
	}
	return c
}

// checkCapacity checks how many other machines are out, and that enough capacity remains.
func (v View) checkCapacity(c Contract, machine Machine, verdict *Verdict) {
	if machine.ControlPlane {
		return
	}
	refuse := func(format string, args ...any) {
		verdict.addReason(Reason{Contract: c.Name, Text: fmt.Sprintf(format, args...)})
	}
	remaining := v.capacityWithout(machine)
	if limit := max(1, c.MostOut.Service); remaining.outOfService >= limit {
		refuse("%d machines of %s are out, and %d may be", remaining.outOfService, machine.Service, limit)
	}
	if limit := max(1, c.MostOut.Zone); remaining.outOfZone >= limit {
		refuse("%d machines of zone %s are out, and %d may be", remaining.outOfZone, machine.Zone, limit)
	}
	if remaining.slots > 0 && float64(remaining.readySlots) < c.LeastReady*float64(remaining.slots) {
		refuse("%d of %d slots of %s would stay, and %g of them must", remaining.readySlots, remaining.slots, machine.Service, c.LeastReady)
	}
	if load, measured := v.Load[machine.Service]; measured && load > float64(remaining.readySlots) {
		refuse("%.0f slots of %s are at work, and %d would stay", load, machine.Service, remaining.readySlots)
	}
	if machine.Service != "" && machine.Slots > 0 && remaining.readySlots == 0 {
		refuse("no server of %s would stay", machine.Service)
	}
}

// checkQuorum checks that, without a control-plane member, the others still have a majority if Parameters.FaultTolerance of them fail.
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
		verdict.addReason(Reason{Text: fmt.Sprintf("%d of %d control-plane members would stay, and a majority is %d", ready, members, quorum)})
	case ready-tolerance < quorum:
		verdict.addReason(Reason{Text: fmt.Sprintf("%d of %d control-plane members would stay, a majority is %d, "+
			"and so the loss of %d could not be borne: add control-plane members first", ready, members, quorum, tolerance)})
	}
}
