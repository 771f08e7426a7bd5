package topology

import "slices"

// Warnings returns the problems that need an operator's attention, one line each.
func (t Topology) Warnings() (list []string) {
	if !t.QuorumContact {
		list = append(list, t.AskedMember+" is out of contact with a majority of the members: what it reported may be stale")
	}
	if len(t.Items) == 0 {
		list = append(list, "the configuration could not be confirmed by a majority, or there is none yet")
	}
	list = append(list, t.memberWarnings()...)
	for _, s := range t.Sidecars {
		list = append(list, s.warnings(t.PolicyFingerprint)...)
	}
	return append(list, t.serviceWarnings()...)
}

func (t Topology) memberWarnings() (list []string) {
	hasLeader := false
	for _, m := range t.Members {
		if warning := m.warning(); warning != "" {
			list = append(list, "member "+m.displayName()+" "+warning)
		}
		hasLeader = hasLeader || m.IsLeader
	}
	if !hasLeader {
		list = append(list, "no member leads")
	}
	return list
}

// warning returns the most serious problem of a member, or "" if there is none.
func (m Member) warning() string {
	switch {
	case m.Unreachable != "":
		return "does not answer: " + m.Unreachable
	case m.Fault != "":
		return "has a fault: " + m.Fault
	case !m.IsMember:
		return "is no voter and asks to join"
	case !m.QuorumContact:
		return "is out of contact with a majority"
	case len(m.StaleItems) > 0:
		return "lags: " + describeItems(m.StaleItems)
	}
	return ""
}

// warnings returns the problems of a sidecar and its server. fingerprint identifies the active policy set.
func (s Sidecar) warnings(fingerprint string) (list []string) {
	add := func(text string) { list = append(list, "sidecar "+s.displayName()+" "+text) }
	switch {
	case s.Unreachable != "":
		add("does not answer: " + s.Unreachable)
	case s.Leaving:
		add("is leaving")
	case !s.Ready:
		add("is not ready: it has no confirmed configuration")
	case !s.QuorumContact:
		add("is out of contact with the control plane")
	}
	if len(s.StaleItems) > 0 {
		add("lags: " + describeItems(s.StaleItems))
	}
	if s.Unreachable != "" {
		return list
	}
	switch {
	case s.Fenced:
		add("rejects what namespaces own: it could not confirm which policies are active")
	case fingerprint != "" && s.PolicyFingerprint != fingerprint:
		add("goes by other policies than the active ones")
	}
	if s.ServerID != "" && s.State != stateReady {
		list = append(list, "server "+s.ServerID+" of "+s.Service+" at "+s.displayName()+" is out ("+s.State+"): "+s.StateReason)
	}
	return list
}

func (t Topology) serviceWarnings() (list []string) {
	for _, service := range t.Services() {
		hasServer := slices.ContainsFunc(t.Sidecars, func(s Sidecar) bool {
			return s.Service == service && s.ServerID != "" && !s.IsUnavailable()
		})
		if !hasServer {
			list = append(list, "service "+service+" has no server")
		}
	}
	return list
}
