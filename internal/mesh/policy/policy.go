package policy

import (
	"fmt"
	"slices"

	"cranegrade/internal/mesh/validation"
)

// Policy is what a namespace requires of requests. Fields that are not set leave the decision to other policies. It
// is a configuration item, called a ruling there, with the same field names.
type Policy struct {
	Name          string   `json:"Name" validate:"required,max=256"`
	ConfigVersion int64    `json:"ConfigVersion"`
	Namespace     string   `json:"Namespace" validate:"required,max=128"`
	On            Selector `json:"On"`
	// Tries is how many servers one request may be sent to. With 0 the policy does not limit it.
	Tries int `json:"Tries,omitempty" validate:"gte=0,lte=1000"`
	// KeyedAgain is whether a request that may run only once may be sent to a second server after the first has rejected it.
	KeyedAgain *bool `json:"KeyedAgain,omitempty"`
	// RetryOn are the endings of an attempt after which there is a retry.
	RetryOn *[]string `json:"RetryOn,omitempty" validate:"omitempty,max=5,dive,oneof=refused unreachable failed broken timed_out"`
	// TimeoutS is how long a request may take at most, NeedsS the time that it must be given at least, in
	// seconds. With 0 the policy says nothing of it.
	TimeoutS float64 `json:"TimeoutS,omitempty" validate:"gte=0,lte=86400"`
	NeedsS   float64 `json:"NeedsS,omitempty" validate:"gte=0,lte=86400"`
	// RetryRatio is how many retries each sidecar may make per request.
	RetryRatio *float64 `json:"RetryRatio,omitempty" validate:"omitempty,gte=0,lte=1"`
	// Priority is the highest priority that requests may have; 0 is the highest of all.
	Priority *int        `json:"Priority,omitempty" validate:"omitempty,gte=0,lte=1000"`
	Callers  CallerRules `json:"Callers,omitzero"`
}

// Selector narrows a policy to a part of what its namespace owns. An empty selector selects everything: its routes,
// requests to its services, and requests from its services.
type Selector struct {
	Routes   []string `json:"Routes,omitempty" validate:"max=1024,dive,required,max=512"`
	Services []string `json:"Services,omitempty" validate:"max=1024,dive,required,max=512"`
	Callers  []string `json:"Callers,omitempty" validate:"max=1024,dive,required,max=512"`
}

func (s Selector) isEmpty() bool { return len(s.Routes)+len(s.Services)+len(s.Callers) == 0 }

func (s Selector) namesByRole() map[Role][]string {
	return map[Role][]string{RoleRouteOwner: s.Routes, RoleServiceOwner: s.Services, RoleCallerOwner: s.Callers}
}

// CallerRules is which services may call, by the names in their Caller-Service header.
type CallerRules struct {
	Allow []string `json:"Allow,omitempty" validate:"max=1024,dive,required,max=512"` // nil if all may
	Deny  []string `json:"Deny,omitempty" validate:"max=1024,dive,required,max=512"`
	Need  []string `json:"Need,omitempty" validate:"max=1024,dive,required,max=512"` // must be able to call
}

func (c CallerRules) isEmpty() bool { return len(c.Allow)+len(c.Deny)+len(c.Need) == 0 }

// lets reports whether these rules alone allow a service to call.
func (c CallerRules) lets(service string) bool {
	return !slices.Contains(c.Deny, service) && (c.Allow == nil || slices.Contains(c.Allow, service))
}

// Validate returns the first fault of a policy by itself, or nil if there is none.
func (p Policy) Validate() *validation.Fault {
	fault := validation.Check(p)
	switch {
	case fault != nil:
		return fault
	case len(p.clauses(RoleRouteOwner)) == 0:
		return &validation.Fault{Field: "Tries", Text: "is not there, nor any other field: the policy says nothing"}
	case !p.Callers.isEmpty() && len(p.On.Callers) > 0 && len(p.On.Routes)+len(p.On.Services) == 0:
		return &validation.Fault{Field: "Callers", Text: "says who may call, and On names only callers"}
	case p.NeedsS > 0 && p.TimeoutS > 0 && p.NeedsS > p.TimeoutS:
		return &validation.Fault{Field: "NeedsS", Text: fmt.Sprintf("is %g, more than its own TimeoutS of %g", p.NeedsS, p.TimeoutS)}
	}
	for _, service := range p.Callers.Need {
		if !p.Callers.lets(service) {
			return &validation.Fault{Field: "Callers.Need", Text: "names " + service + ", whom the policy itself does not let call"}
		}
	}
	return nil
}

// clauses returns the clauses of the policy in a role.
func (p Policy) clauses(role Role) (clauses Clauses) {
	source := Source{p.Namespace, "ruling " + p.Name, p.ConfigVersion, role}
	number := func(f Field, n float64) { clauses = append(clauses, Clause{Field: f, Number: n, Source: source}) }
	values := func(f Field, names []string) {
		clauses = append(clauses, Clause{Field: f, Values: sortedUnique(slices.Clone(names)), Source: source})
	}
	if p.Tries > 0 {
		number(FieldTries, float64(p.Tries))
	}
	if p.KeyedAgain != nil {
		number(FieldKeyedAgain, map[bool]float64{true: 1}[*p.KeyedAgain])
	}
	if p.RetryOn != nil {
		values(FieldRetryOn, *p.RetryOn)
	}
	if p.TimeoutS > 0 {
		number(FieldTimeout, p.TimeoutS)
	}
	if p.NeedsS > 0 {
		number(FieldNeeds, p.NeedsS)
	}
	if p.RetryRatio != nil {
		number(FieldRetryRatio, *p.RetryRatio)
	}
	if p.Priority != nil {
		number(FieldPriority, float64(*p.Priority))
	}
	if role == RoleCallerOwner { // the owner of a caller can't decide who may call
		return clauses
	}
	if p.Callers.Allow != nil {
		values(FieldAllow, p.Callers.Allow)
	}
	if len(p.Callers.Deny) > 0 {
		values(FieldDeny, p.Callers.Deny)
	}
	if len(p.Callers.Need) > 0 {
		values(FieldNeed, p.Callers.Need)
	}
	return clauses
}

// sortedUnique sorts names in place.
func sortedUnique(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}
