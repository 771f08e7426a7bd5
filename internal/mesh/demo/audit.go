package demo

import (
	"fmt"
	"slices"
	"time"

	"cranegrade/internal/mesh/policy"
)

// observedPolicy is the policy that applied to a request, as named by the response.
type observedPolicy struct {
	began, ended time.Time // of the request
	sidecar      string
	route        string
	caller       string // the service beside the sidecar
	policy       string // the merged policy's fingerprint
	set          string // the fingerprint of the policy set
}

// policyAudit is what the observations of a run show.
type policyAudit struct {
	differences []string      // violations
	sets        int           // number of policy sets that were active at some time
	widest      time.Duration // longest time that a sidecar used a set after another sidecar had used the next one
}

// auditPolicies checks the policies that applied to requests: under one policy set, a route has the same merged policy for a caller
// on every sidecar; and no sidecar uses a set for longer than policy.FenceTimeout after another sidecar has used the next one.
func auditPolicies(observed []observedPolicy) policyAudit {
	observed = slices.Clone(observed)
	slices.SortStableFunc(observed, func(a, b observedPolicy) int { return a.began.Compare(b.began) })
	audit := policyAudit{differences: differingPolicies(observed)}
	firstSeen := firstSeenSets(observed)
	audit.sets = len(firstSeen)
	next := successors(firstSeen)
	for _, observation := range observed {
		successor, replaced := next[observation.set]
		if !replaced {
			continue
		}
		late := observation.began.Sub(firstSeen[successor])
		audit.widest = max(audit.widest, late)
		if late > policy.FenceTimeout {
			audit.differences = append(audit.differences,
				fmt.Sprintf("%s goes by set %s %v after set %s was in force elsewhere", observation.sidecar, observation.set, late, successor))
		}
	}
	return audit
}

// differingPolicies returns the requests of one route and caller to which one set applied different merged policies.
func differingPolicies(observed []observedPolicy) (differences []string) {
	type decision struct{ route, caller, set string }
	last := map[decision]observedPolicy{}
	for _, observation := range observed {
		key := decision{observation.route, observation.caller, observation.set}
		if before, found := last[key]; found && before.policy != observation.policy {
			differences = append(differences, fmt.Sprintf("%s from %s: %s has policy %s and %s has %s, both by set %s",
				observation.route, observation.caller, before.sidecar, before.policy, observation.sidecar, observation.policy, observation.set))
		}
		last[key] = observation
	}
	return differences
}

// firstSeenSets returns for each set the time by which it was certainly active: when the first response that names it arrived.
func firstSeenSets(observed []observedPolicy) map[string]time.Time {
	first := map[string]time.Time{}
	for _, observation := range observed {
		if at, seen := first[observation.set]; !seen || observation.ended.Before(at) {
			first[observation.set] = observation.ended
		}
	}
	return first
}

// successors returns the sets that came after each set.
func successors(firstSeen map[string]time.Time) map[string]string {
	var order []string
	for set := range firstSeen {
		order = append(order, set)
	}
	slices.SortFunc(order, func(a, b string) int { return firstSeen[a].Compare(firstSeen[b]) })
	next := map[string]string{}
	for i := 1; i < len(order); i++ {
		next[order[i-1]] = order[i]
	}
	return next
}
