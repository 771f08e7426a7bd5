package scale

// machineBound is the share of the machine's cores that may be busy in a phase: beyond it the phase counts as limited by the machine.
const machineBound = 0.85

// phaseBetween makes a phase of two samples. Its events are the servers' heartbeats.
func (f *fleet) phaseBetween(name string, from, to sample) Phase {
	span := to.at.Sub(from.at).Seconds()
	p := Phase{
		Name:        name,
		Seconds:     span,
		Events:      float64(to.heartbeats - from.heartbeats),
		Roles:       map[string]Load{},
		Delays:      map[string]Quantiles{},
		RecordsSent: f.recordsSent(from, to) / span,
	}
	p.Busy = to.machine.busySince(from.machine)
	if p.Busy > machineBound {
		p.Bound = "machine"
		p.Kept = f.experiment.KeepBound
	}
	n := float64(f.plan.full)
	sidecars := loadBetween(from.sidecars.usage, to.sidecars.usage, from.sidecars.sent, to.sidecars.sent, span, n)
	sidecars.Received = ratesBetween(from.sidecars.received, to.sidecars.received, span*n)
	p.Roles[RoleSidecar] = sidecars
	p.addMembers(from.members, to.members)
	return p
}

// addMembers adds the loads of the leader and of the other members, between two samples of all of them.
func (p *Phase) addMembers(from, to []memberSample) {
	var followers []Load
	for i, now := range to {
		before := from[i]
		load := loadBetween(before.usage, now.usage, before.sent, now.sent, p.Seconds, 1)
		load.Keys = float64(now.keys)
		p.LeaderChanged = p.LeaderChanged || now.isLeader != before.isLeader
		if now.isLeader {
			p.Roles[RoleLeader] = load
		} else {
			followers = append(followers, load)
		}
	}
	if len(followers) > 0 {
		p.Roles[RoleFollower] = meanLoad(followers)
	}
}

// recordsSent returns how many bytes of records the control plane sent on each connection. It sends each record to every sidecar and to
// every member's client here; the member that received it from its sidecar sends it to the other members, too.
func (f *fleet) recordsSent(from, to sample) (bytes float64) {
	for i, member := range to.members {
		bytes += float64(member.sent[trafficRecords] - from.members[i].sent[trafficRecords])
	}
	members := len(to.members)
	connections := f.started + members + (members - 1)
	return bytes / float64(connections)
}

// loadBetween returns what the processes of a role used between two moments, for each of n. span is in seconds.
func loadBetween(from, to Usage, sentFrom, sentTo map[string]int64, span, n float64) Load {
	return Load{
		Processor: (to.Processor - from.Processor) / span / n,
		Resident:  int64(float64(to.Resident) / n),
		Sent:      ratesBetween(sentFrom, sentTo, span*n),
		Read:      float64(to.Read-from.Read) / span / n,
		Written:   float64(to.Written-from.Written) / span / n,
	}
}

// ratesBetween returns what was added to each count, divided by a number. Counts that are the same are left out.
func ratesBetween(from, to map[string]int64, divisor float64) map[string]float64 {
	rates := map[string]float64{}
	for messageType, bytes := range to {
		if added := bytes - from[messageType]; added != 0 {
			rates[messageType] = float64(added) / divisor
		}
	}
	return rates
}

// meanLoad returns the mean of loads.
func meanLoad(loads []Load) (mean Load) {
	n := float64(len(loads))
	mean.Sent = map[string]float64{}
	for _, load := range loads {
		mean.Processor += load.Processor / n
		mean.Resident += int64(float64(load.Resident) / n)
		mean.Read += load.Read / n
		mean.Written += load.Written / n
		mean.Keys += load.Keys / n
		for messageType, rate := range load.Sent {
			mean.Sent[messageType] += rate / n
		}
	}
	return mean
}
