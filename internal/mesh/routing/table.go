// Package routing decides where a request goes: the host and the longest matching prefix of the path select a route, and the weights
// of the route's destinations select a service. It owns the routing table, which is built from configuration items and read by each
// sidecar for every request.
//
// The package is pure. A Table is immutable, so that requests read it without a lock; it must never hold anything that changes between
// two configurations, such as servers or their load.
package routing

import (
	"slices"
	"strings"
	"time"

	"cranegrade/internal/mesh/config"
)

// Table is all routes, with the parts of the configuration that requests of any route need.
type Table struct {
	Services   map[string]config.ServiceSpec // by name
	Limits     config.LimitsSpec
	MaxTimeout time.Duration // longest Timeout of all routes

	byName map[string]*Route
	byHost map[string][]*Route // by host in lower case; longer prefixes first
}

// NewTable returns the routing table of a configuration, without policies.
func NewTable(items config.Table) *Table { return NewTableWithPolicies(items, config.Table{}, "") }

// NewTableWithPolicies returns the routing table of a configuration, with the policies of another one as they apply to the calls of
// one service, caller. The two differ while a new policy set is committed but not active.
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

// add adds what an item configures. Kinds that do not concern requests are left out.
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
	routes := t.byHost[host] // most hosts are in lower case already
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

// RoutesByService returns the routes that name each service as a destination, in no order.
func (t *Table) RoutesByService() map[string][]*Route {
	byService := map[string][]*Route{}
	for _, route := range t.byName {
		for _, destination := range route.Destinations {
			byService[destination.Service] = append(byService[destination.Service], route)
		}
	}
	return byService
}
