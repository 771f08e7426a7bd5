package config

import (
	"encoding/json"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/policy"
)

// checkPolicies has namespaces' rules looked at, where there are any, and turns the errors of that.
func checkPolicies(t, next *Table, raised []Item, c Update) ([]policy.Effect, error) {
	change := policy.Change{Author: c.Author, Consents: c.Consents}
	for _, i := range raised {
		switch i.Kind {
		case KindNamespace:
			change.Namespaces = append(change.Namespaces, i.Key.Name)
		case KindPolicy:
			change.Policies = append(change.Policies, i.Key.Name)
		case KindRoute:
			change.Routes = append(change.Routes, i.Key.Name)
		default:
			change.Others = append(change.Others, i.Kind.String()+" "+i.Key.Name)
		}
	}
	if t.policySet == nil {
		t.policySet = NewPolicySet(*t, *t)
	}
	next.policySet = NewPolicySet(*next, *next)
	effects, err := policy.Evaluate(t.policySet, next.policySet, change)
	switch {
	case errors.Is(err, policy.ErrInvalidSet):
		return nil, newFieldError("the call", "", "%v", err)
	case errors.Is(err, policy.ErrConflict):
		return nil, errors.WithType(err, ErrConflict)
	case err != nil:
		return nil, errors.WithType(err, ErrForbidden)
	}
	return effects, nil
}

// NewPolicySet are the routes of one table with the namespaces and rulings of another.
func NewPolicySet(routes, rules Table) *policy.Set {
	var spaces []policy.Namespace
	var rulings []policy.Policy
	var l []policy.Route
	if rules.policyCount > 0 {
		for _, i := range rules.items {
			switch {
			case i.Deleted:
			case i.Kind == KindNamespace:
				var n policy.Namespace
				json.Unmarshal(i.Body, &n) // checked when it was taken
				spaces = append(spaces, n)
			case i.Kind == KindPolicy:
				var r policy.Policy
				json.Unmarshal(i.Body, &r)
				rulings = append(rulings, r)
			}
		}
	}
	for _, i := range routes.items {
		if i.Kind == KindRoute && !i.Deleted {
			if r := i.RouteSpec(); r != nil {
				l = append(l, i.policyRoute(r))
			}
		}
	}
	return policy.NewSet(spaces, rulings, l)
}

// policyRoute is a route as classmark knows it.
func (i Item) policyRoute(r *RouteSpec) policy.Route {
	x := policy.Route{Name: r.Name, Host: i.Host, Prefix: r.MatchCriteria.PathPrefix, Version: i.Version, TimeoutS: float64(r.ForwardAction.TimeoutS),
		MaxAttempts: r.ForwardAction.RetryCount, Priority: r.Priority, AtMostOnce: r.RouteType == "keyed" || r.RouteType == "non_idempotent"}
	for _, s := range r.Destinations() {
		x.Services = append(x.Services, s.Service)
	}
	return x
}

// PolicyItems are the namespaces and rulings that stand, by themselves.
func (t Table) PolicyItems() Table {
	out := Table{items: map[Key]Item{}, policyCount: t.policyCount}
	if t.policyCount > 0 {
		for n, i := range t.items {
			if n.Kind.InPolicySet() && !i.Deleted {
				out.items[n] = i
			}
		}
	}
	return out
}

// HasPolicyItems says that there are any.
func (t Table) HasPolicyItems() bool { return t.policyCount > 0 }

// PolicyFingerprint is the fingerprint of the namespaces and rulings that stand; "": there are none.
func (t Table) PolicyFingerprint() string {
	if t.policyCount == 0 {
		return ""
	}
	l := t.PolicyItems().Items()
	return policy.Fingerprint(len(l), func(n int) (string, int64, []byte) {
		return l[n].Kind.String() + " " + l[n].Key.Name, l[n].Version, l[n].Body
	})
}
