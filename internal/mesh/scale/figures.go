package scale

// figure takes a value from a measurement; ok is false where the measurement does not hold it.
type figure func(m Measurement) (value float64, ok bool)

// inPhase takes a figure from a phase, if that counts.
func inPhase(name string, of func(Phase) float64) figure {
	return func(m Measurement) (float64, bool) {
		p := m.phase(name)
		if p == nil || !p.counts() || p.Events == 0 && name != PhaseIdle {
			return 0, false
		}
		return of(*p), true
	}
}

// receivedIdle is what a sidecar receives. Of records it is what is sent to it, which does not depend on how fast it reads.
func receivedIdle(p Phase) float64 {
	received := p.Roles[RoleSidecar].Received
	if p.RecordsSent == 0 {
		return sum(received)
	}
	return sum(received) - received[trafficRecords] + p.RecordsSent
}

func sentBy(role string) func(Phase) float64 {
	return func(p Phase) float64 { return sum(p.Roles[role].Sent) }
}

func processorIdle(role string) figure {
	return inPhase(PhaseIdle, func(p Phase) float64 { return p.Roles[role].Processor })
}

func resident(role string) figure {
	return inPhase(PhaseIdle, func(p Phase) float64 { return float64(p.Roles[role].Resident) })
}

// delay takes one of the quantiles of a delay.
func delay(phase, name string, of func(Quantiles) float64) figure {
	return func(m Measurement) (float64, bool) {
		p := m.phase(phase)
		if p == nil || !p.counts() || p.Delays[name].Count == 0 {
			return 0, false
		}
		return of(p.Delays[name]), true
	}
}

// beyondIdle takes a figure from a phase with events and the idle phase before it, if both count.
func beyondIdle(phase string, of func(m Measurement, idle, busy Phase) (float64, bool)) figure {
	return func(m Measurement) (float64, bool) {
		idle, busy := m.phase(PhaseIdle), m.phase(phase)
		if idle == nil || busy == nil || !idle.counts() || !busy.counts() || busy.Events <= 0 {
			return 0, false
		}
		return of(m, *idle, *busy)
	}
}

// perEvent is how much more of a figure per second there is than in the idle phase, for each event.
func perEvent(phase string, perSecond func(Phase) float64) figure {
	return beyondIdle(phase, func(_ Measurement, idle, busy Phase) (float64, bool) {
		return (perSecond(busy) - perSecond(idle)) * busy.Seconds / busy.Events, true
	})
}

// processorPerEvent is the processor time of a role that an event costs.
func processorPerEvent(phase, role string, at costAt) figure {
	return beyondIdle(phase, func(m Measurement, idle, busy Phase) (float64, bool) {
		events := busy.Events
		if at == costAtItsOwn {
			events /= float64(m.Full)
		}
		return (busy.Roles[role].Processor - idle.Roles[role].Processor) * busy.Seconds / events, true
	})
}

// sentPerEvent is how many bytes of some types of messages a role sends for an event.
func sentPerEvent(phase, role string, types ...string) figure {
	return beyondIdle(phase, func(_ Measurement, idle, busy Phase) (float64, bool) {
		var more float64
		for _, t := range types {
			more += busy.Roles[role].Sent[t] - idle.Roles[role].Sent[t]
		}
		return more * busy.Seconds / busy.Events, true
	})
}

// readPerEvent is how many bytes a sidecar reads for an event.
func readPerEvent(phase string) figure {
	return perEvent(phase, func(p Phase) float64 { return p.Roles[RoleSidecar].Read })
}

// processorPerHeartbeat is the processor time of a server's heartbeat at its sidecar.
func processorPerHeartbeat(m Measurement) (float64, bool) {
	return beyondIdle(PhaseHeartbeats, func(m Measurement, idle, busy Phase) (float64, bool) {
		more := (busy.Events/busy.Seconds - idle.Events/idle.Seconds) / float64(m.Full)
		return (busy.Roles[RoleSidecar].Processor - idle.Roles[RoleSidecar].Processor) / more, more > 0
	})(m)
}

// recordBytesPerRestart is how many bytes of records a sidecar receives for a restart of a server.
func recordBytesPerRestart(m Measurement) (float64, bool) {
	return perEvent(PhaseRestarts, func(p Phase) float64 { return p.Roles[RoleSidecar].Received[trafficRecords] })(m)
}

// bytesPerLease is how many bytes a sidecar sends and receives for a key lease of its own. There are none of these in the idle phase.
func bytesPerLease(m Measurement) (float64, bool) {
	return beyondIdle(PhaseLeases, func(m Measurement, _, busy Phase) (float64, bool) {
		sidecar := busy.Roles[RoleSidecar]
		return (sidecar.Sent[trafficCall] + sidecar.Received[trafficReply]) * busy.Seconds / (busy.Events / float64(m.Full)), true
	})(m)
}
