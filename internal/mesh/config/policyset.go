package config

import (
	"github.com/juju/errors"

	"cranegrade/internal/mesh/policy"
)

// NewPolicySet builds a policy set from the routes of one table and the namespaces and policies of another. The tables differ while
// policies are committed but not active yet.
func NewPolicySet(routes, policies Table) *policy.Set {
	var namespaces []policy.Namespace
	var rules []policy.Policy
	if policies.HasPolicyItems() {
		for _, item := range policies.items {
			switch {
			case item.Deleted:
			case item.Kind == KindNamespace:
				namespaces = append(namespaces, decodeBody[policy.Namespace](item))
			case item.Kind == KindPolicy:
				rules = append(rules, decodeBody[policy.Policy](item))
			}
		}
	}
	var policyRoutes []policy.Route
	for _, item := range routes.items {
		if spec := item.RouteSpec(); spec != nil {
			policyRoutes = append(policyRoutes, policyRoute(item, spec))
		}
	}
	return policy.NewSet(namespaces, rules, policyRoutes)
}

// policyRoute returns the properties of a route that the policy set depends on.
func policyRoute(item Item, spec *RouteSpec) policy.Route {
	route := policy.Route{
		Name:        spec.Name,
		Host:        item.Host,
		Prefix:      spec.MatchCriteria.PathPrefix,
		Version:     item.Version,
		TimeoutS:    float64(spec.ForwardAction.TimeoutS),
		MaxAttempts: spec.ForwardAction.RetryCount,
		Priority:    spec.Priority,
		AtMostOnce:  spec.IsAtMostOnce(),
	}
	for _, destination := range spec.Destinations() {
		route.Services = append(route.Services, destination.Service)
	}
	return route
}

// checkPolicies checks whether the author of an update may change the updated items, and whether the resulting policies contradict each
// other. It sets the policy set of the next table. The error is of type ErrInvalid, ErrConflict or ErrForbidden.
func checkPolicies(current, next *Table, updated []Item, update Update) ([]policy.Effect, error) {
	if current.policySet == nil {
		current.policySet = NewPolicySet(*current, *current)
	}
	next.policySet = NewPolicySet(*next, *next)
	effects, err := policy.Evaluate(current.policySet, next.policySet, policyChange(updated, update))
	switch {
	case errors.Is(err, policy.ErrInvalidSet):
		return nil, newFieldError(requestLabel, "", "%v", err)
	case errors.Is(err, policy.ErrConflict):
		return nil, errors.WithType(err, ErrConflict)
	case err != nil:
		return nil, errors.WithType(err, ErrForbidden)
	}
	return effects, nil
}

// policyChange groups the items that an update changed by their kind for the evaluation of policies.
func policyChange(updated []Item, update Update) policy.Change {
	change := policy.Change{Author: update.Author, Consents: update.Consents}
	for _, item := range updated {
		switch item.Kind {
		case KindNamespace:
			change.Namespaces = append(change.Namespaces, item.Name)
		case KindPolicy:
			change.Policies = append(change.Policies, item.Name)
		case KindRoute:
			change.Routes = append(change.Routes, item.Name)
		default:
			change.Others = append(change.Others, item.label())
		}
	}
	return change
}

// PolicyItems returns a table with only the namespaces and policies, without tombstones.
func (t Table) PolicyItems() Table {
	policies := Table{items: map[Key]Item{}, policyCount: t.policyCount}
	if t.policyCount > 0 {
		for key, item := range t.items {
			if key.Kind.InPolicySet() && !item.Deleted {
				policies.items[key] = item
			}
		}
	}
	return policies
}

// HasPolicyItems reports whether the table has any namespace or policy that is not deleted.
func (t Table) HasPolicyItems() bool { return t.policyCount > 0 }

// PolicyFingerprint returns a fingerprint of the namespaces and policies of the table. It is empty if there are none.
func (t Table) PolicyFingerprint() string {
	if !t.HasPolicyItems() {
		return ""
	}
	items := t.PolicyItems().Items()
	return policy.Fingerprint(len(items), func(n int) (string, int64, []byte) {
		return items[n].label(), items[n].Version, items[n].Body
	})
}
