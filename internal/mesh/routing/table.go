// Package dialplan is where a request goes: by its host, by the longest prefix that begins its path, and by the weights of
// the route found. It is pure; a Plan is made of the items that stand and never changed.
package routing

import (
	"encoding/json"
	"net"
	"slices"
	"sort"
	"strings"
	"time"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/policy"
)

// Kind says what may be repeated.
type Kind uint8

// Kinds of routes.
const (
	AtMostOnce Kind = iota // at most once for each try
	Keyed                  // at most once for each key
	Idempotent             // any number of times
	Download               // the same, and answers are large
)

// IsIdempotent says that requests may run more than once.
func (k Kind) IsIdempotent() bool { return k >= Idempotent }

// Route is one route as it is in force.
type Route struct {
	Name, Host, Prefix     string
	Version                int64
	Kind                   Kind
	Destinations           []config.WeightedService // of a sum over 0
	Timeout, LatencyTarget time.Duration
	MaxAttempts            int // servers that one try may be sent to
	Priority               int // 0 is the highest
	totalWeight            float64
	policies               map[string]*policy.Decision // by the service that is called
}

// PolicyDecision is the merged rule for requests that go to a service; nil: no namespace has a word on them, and the route holds as it is.
func (r *Route) PolicyDecision(service string) *policy.Decision { return r.policies[service] }

// HasDestination says that a service is among those that the route sends to.
func (r *Route) HasDestination(service string) bool {
	return slices.ContainsFunc(r.Destinations, func(s config.WeightedService) bool { return s.Service == service && s.Weight > 0 })
}

// PickService is where a request goes, for a number drawn uniformly from [0, 1).
func (r *Route) PickService(draw float64) string {
	draw *= r.totalWeight
	last := ""
	for _, s := range r.Destinations {
		if s.Weight <= 0 {
			continue
		}
		if last = s.Service; draw < s.Weight {
			return last
		}
		draw -= s.Weight
	}
	return last
}

// Table is all routes.
type Table struct {
	byName     map[string]*Route
	byHost     map[string][]*Route           // the longest prefix first
	Services   map[string]config.ServiceSpec // the services
	Limits     config.LimitsSpec
	MaxTimeout time.Duration // of the routes' timeouts
}

// NewTable makes the plan of the items that stand.
func NewTable(t config.Table) *Table { return NewTableWithPolicies(t, config.Table{}, "") }

// NewTableWithPolicies is Make with the namespaces and rulings of another table, as they hold for a service that calls.
func NewTableWithPolicies(t, rules config.Table, caller string) *Table {
	p := &Table{byName: map[string]*Route{}, byHost: map[string][]*Route{}, Services: map[string]config.ServiceSpec{}}
	for _, i := range t.Items() {
		switch {
		case i.Deleted:
		case i.Kind == config.KindLimits:
			json.Unmarshal(i.Body, &p.Limits) // checked when it was taken
		case i.Kind == config.KindService:
			var g config.ServiceSpec
			json.Unmarshal(i.Body, &g)
			p.Services[i.Key.Name] = g
		case i.Kind == config.KindRoute:
			if r := newRoute(i); r != nil {
				p.byName[r.Name] = r
				host := strings.ToLower(r.Host)
				p.byHost[host] = append(p.byHost[host], r)
				p.MaxTimeout = max(p.MaxTimeout, r.Timeout)
			}
		}
	}
	if rules.HasPolicyItems() {
		set := config.NewPolicySet(t, rules)
		for _, r := range p.byName {
			r.bindPolicies(set, caller)
		}
	}
	for _, l := range p.byHost {
		sort.SliceStable(l, func(i, j int) bool { return len(l[i].Prefix) > len(l[j].Prefix) })
	}
	return p
}

func newRoute(i config.Item) *Route {
	rule := i.RouteSpec()
	if rule == nil {
		return nil
	}
	r := &Route{Name: rule.Name, Host: i.Host, Prefix: rule.MatchCriteria.PathPrefix, Version: i.Version, Destinations: rule.Destinations(),
		Timeout: rule.ForwardAction.TimeoutS.Duration(), LatencyTarget: rule.TargetLatencyS.Duration(), MaxAttempts: rule.ForwardAction.RetryCount, Priority: rule.Priority}
	if r.LatencyTarget <= 0 || r.LatencyTarget > r.Timeout {
		r.LatencyTarget = r.Timeout
	}
	switch rule.RouteType {
	case "keyed":
		r.Kind = Keyed
	case "idempotent":
		r.Kind = Idempotent
	case "download":
		r.Kind = Download
	}
	for _, s := range r.Destinations {
		r.totalWeight += s.Weight
	}
	return r
}

func (r *Route) bindPolicies(set *policy.Set, caller string) {
	of, is := set.Route(r.Name)
	if !is {
		return
	}
	for _, s := range r.Destinations {
		if words, ruled := set.ClausesFor(of, s.Service, caller); ruled {
			if r.policies == nil {
				r.policies = map[string]*policy.Decision{}
			}
			r.policies[s.Service] = words.Decide(of, caller)
		}
	}
}

// Match is the route of a request; nil: there is none.
func (p *Table) Match(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	l := p.byHost[host]
	if l == nil {
		l = p.byHost[strings.ToLower(host)]
	}
	for _, r := range l {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Route is a route by its name; nil: there is none.
func (p *Table) Route(name string) *Route { return p.byName[name] }

// Routes are all, in no order.
func (p *Table) Routes() map[string]*Route { return p.byName }

// RoutesByService are all that a route may send to, with the routes that do.
func (p *Table) RoutesByService() map[string][]*Route {
	m := map[string][]*Route{}
	for _, r := range p.byName {
		for _, s := range r.Destinations {
			m[s.Service] = append(m[s.Service], r)
		}
	}
	return m
}
