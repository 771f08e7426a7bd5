// Package routing selects the route and the service of a request: the host and the longest matching path prefix select a route, and
// the weights of the route's destinations select a service. It contains the routing table, which is built from configuration items and
// which each sidecar reads for every request.
//
// The package does no I/O and reads no clock. A Table is immutable, so that requests read it without a lock. It must never contain
// anything that changes while the configuration stays the same, such as servers or their load.
package routing

import (
	"slices"
	"strings"
	"time"

	"cranegrade/internal/mesh/config"
)

// Table contains all routes, and the parts of the configuration that apply to requests of any route.
type Table struct {
	Services   map[string]config.ServiceSpec // by name
	Limits     config.LimitsSpec
	MaxTimeout time.Duration // the longest Timeout of all routes

	byName map[string]*Route
	byHost map[string][]*Route // by host in lower case; longer prefixes first
}

// NewTable returns the routing table of a configuration, without policies.
func NewTable(items config.Table) *Table { return NewTableWithPolicies(items, config.Table{}, "") }

// NewTableWithPolicies returns the routing table for the routes of one configuration and the policies of another, as they apply to
// requests from the service caller. The two configurations differ while a new policy set is committed but not active yet.
func NewTableWithPolicies(items, policies config.Table, caller string) *Table {
	table := &Table{
		Services: map[string]config.ServiceSpec{},
		byName:   map[string]*Route{},
		byHost:   map[string][]*Route{},
	}
	for _, item := range items.Items() {
		table.add(item)
	}
	if policies.HasPolicyItems() {
		set := config.NewPolicySet(items, policies)
		for _, route := range table.byName {
			route.bindPolicies(set, caller)
		}
	}
	for _, routes := range table.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return table
}

// add adds the route, service or limits that an item configures. It ignores the other kinds of items, which do not affect routing.
func (t *Table) add(item config.Item) {
	if item.Deleted {
		return
	}
	switch item.Kind {
	case config.KindLimits:
		t.Limits = item.LimitsSpec()
	case config.KindService:
		t.Services[item.Name] = item.ServiceSpec()
	case config.KindRoute:
		if route := newRoute(item); route != nil {
			t.byName[route.Name] = route
			host := strings.ToLower(route.Host)
			t.byHost[host] = append(t.byHost[host], route)
			t.MaxTimeout = max(t.MaxTimeout, route.Timeout)
		}
	case config.KindContract, config.KindNamespace, config.KindPolicy:
	}
}

// Match returns the route for a request's host, with or without a port, and path, or nil if no route matches.
func (t *Table) Match(host, path string) *Route {
	host = withoutPort(host)
	routes := t.byHost[host] // fast path: most hosts are in lower case
	if routes == nil {
		routes = t.byHost[strings.ToLower(host)]
	}
	for _, route := range routes {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Route returns a route by its name, or nil.
func (t *Table) Route(name string) *Route { return t.byName[name] }

// Routes returns all routes by their names. The caller must not change the map.
func (t *Table) Routes() map[string]*Route { return t.byName }

// RoutesByService returns, for each service, the routes that have it as a destination, in no particular order.
func (t *Table) RoutesByService() map[string][]*Route {
	byService := map[string][]*Route{}
	for _, route := range t.byName {
		for _, destination := range route.Destinations {
			byService[destination.Service] = append(byService[destination.Service], route)
		}
	}
	return byService
}
