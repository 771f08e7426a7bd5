package policy

import (
	"fmt"
	"slices"

	"cranegrade/internal/mesh/validation"
)

// Policy is the limits that a namespace sets on requests. Fields that are not set leave the decision to other policies.
// It is stored as a configuration item, called a ruling, with the same field names.
type Policy struct {
	Name          string   `json:"Name" validate:"required,max=256"`
	ConfigVersion int64    `json:"ConfigVersion"`
	Namespace     string   `json:"Namespace" validate:"required,max=128"`
	On            Selector `json:"On"`
	// Tries is the maximum number of servers that one request is sent to. 0 sets no limit.
	Tries int `json:"Tries,omitempty" validate:"gte=0,lte=1000"`
	// KeyedAgain is whether a request that may run only once may be sent to a second server after the first has rejected it.
	KeyedAgain *bool `json:"KeyedAgain,omitempty"`
	// RetryOn are the outcomes of an attempt after which it may be retried.
	RetryOn *[]string `json:"RetryOn,omitempty" validate:"omitempty,max=5,dive,oneof=refused unreachable failed broken timed_out"`
	// TimeoutS is the maximum time for a request, and NeedsS the minimum that other policies must leave for it, in seconds. 0 means not
	// set.
	TimeoutS float64 `json:"TimeoutS,omitempty" validate:"gte=0,lte=86400"`
	NeedsS   float64 `json:"NeedsS,omitempty" validate:"gte=0,lte=86400"`
	// RetryRatio is the maximum number of retries per request, for each sidecar.
	RetryRatio *float64 `json:"RetryRatio,omitempty" validate:"omitempty,gte=0,lte=1"`
	// Priority is the highest priority that requests may have; 0 is the highest of all.
	Priority *int        `json:"Priority,omitempty" validate:"omitempty,gte=0,lte=1000"`
	Callers  CallerRules `json:"Callers,omitzero"`
}

// Selector limits a policy to some of the routes, called services and calling services that its namespace owns. An empty
// selector selects them all.
type Selector struct {
	Routes   []string `json:"Routes,omitempty" validate:"max=1024,dive,required,max=512"`
	Services []string `json:"Services,omitempty" validate:"max=1024,dive,required,max=512"`
	Callers  []string `json:"Callers,omitempty" validate:"max=1024,dive,required,max=512"`
}

func (s Selector) isEmpty() bool { return len(s.Routes)+len(s.Services)+len(s.Callers) == 0 }

// namesByRole returns the selected names by the role in which the policy applies to them.
func (s Selector) namesByRole() map[Role][]string {
	return map[Role][]string{RoleRouteOwner: s.Routes, RoleServiceOwner: s.Services, RoleCallerOwner: s.Callers}
}

// CallerRules are which services may call, by the name in the Caller-Service header.
type CallerRules struct {
	Allow []string `json:"Allow,omitempty" validate:"max=1024,dive,required,max=512"` // nil if all may
	Deny  []string `json:"Deny,omitempty" validate:"max=1024,dive,required,max=512"`
	Need  []string `json:"Need,omitempty" validate:"max=1024,dive,required,max=512"` // services that other policies must let call
}

func (c CallerRules) isEmpty() bool { return len(c.Allow)+len(c.Deny)+len(c.Need) == 0 }

// permits reports whether these rules alone let a service call.
func (c CallerRules) permits(service string) bool {
	return !slices.Contains(c.Deny, service) && (c.Allow == nil || slices.Contains(c.Allow, service))
}

// Validate returns the first fault of a policy, without regard to other items, or nil if there is none.
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
		if !p.Callers.permits(service) {
			return &validation.Fault{Field: "Callers.Need", Text: "names " + service + ", whom the policy itself does not let call"}
		}
	}
	return nil
}

// clauses returns the clauses of the policy if it applies in the given role.
func (p Policy) clauses(role Role) (clauses Clauses) {
	source := Source{p.Namespace, "ruling " + p.Name, p.ConfigVersion, role}
	addNumber := func(f Field, n float64) { clauses = append(clauses, Clause{Field: f, Number: n, Source: source}) }
	addValues := func(f Field, names []string) {
		clauses = append(clauses, Clause{Field: f, Values: sortedUnique(slices.Clone(names)), Source: source})
	}
	if p.Tries > 0 {
		addNumber(FieldTries, float64(p.Tries))
	}
	if p.KeyedAgain != nil {
		addNumber(FieldKeyedAgain, map[bool]float64{true: 1}[*p.KeyedAgain])
	}
	if p.RetryOn != nil {
		addValues(FieldRetryOn, *p.RetryOn)
	}
	if p.TimeoutS > 0 {
		addNumber(FieldTimeout, p.TimeoutS)
	}
	if p.NeedsS > 0 {
		addNumber(FieldNeededTime, p.NeedsS)
	}
	if p.RetryRatio != nil {
		addNumber(FieldRetryRatio, *p.RetryRatio)
	}
	if p.Priority != nil {
		addNumber(FieldPriority, float64(*p.Priority))
	}
	if role == RoleCallerOwner { // the owner of a calling service does not decide who may call other services
		return clauses
	}
	if p.Callers.Allow != nil {
		addValues(FieldAllowedCallers, p.Callers.Allow)
	}
	if len(p.Callers.Deny) > 0 {
		addValues(FieldDeniedCallers, p.Callers.Deny)
	}
	if len(p.Callers.Need) > 0 {
		addValues(FieldRequiredCallers, p.Callers.Need)
	}
	return clauses
}

// sortedUnique sorts names in place and returns them without duplicates.
func sortedUnique(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}
