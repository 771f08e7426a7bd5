package operator

import (
	"fmt"
	"net/textproto"
	"slices"
	"strings"

	"cranegrade/balancer"
	"cranegrade/internal/route"
)

// maxSplitWeight keeps the weight of a pool in a split within an int of any size; internal/route checks it further.
const maxSplitWeight = 1 << 31

// routes reads the [[routes]] and compiles them.
func (d *document) routes(t *table, p *Plan) {
	pools := map[string]*Pool{}
	for i := range p.Pools {
		pools[p.Pools[i].Name] = &p.Pools[i]
	}
	fallback := t.text("default", "")
	if t.has("default") && pools[fallback] == nil {
		t.fault("default", "there is no pool %q", fallback)
	}
	tables := t.subtables("routes")
	if len(tables) == 0 && fallback == "" {
		t.fault("routes", "missing: without routes a default pool is needed")
	}
	routes := d.readRoutes(tables, pools)
	compiled, faults := route.Compile(routes, fallback)
	for _, f := range faults {
		rt := tables[f.Route]
		rt.fault(fileKey(rt, f.Key), "%s", f.Text)
	}
	p.Routes = compiled
}

// readRoutes reads the routes, and reports those that a route before hides because it matches the same requests.
func (d *document) readRoutes(tables []*table, pools map[string]*Pool) []route.Route {
	routes := make([]route.Route, 0, len(tables))
	seen := map[string]int{}
	for i, rt := range tables {
		r := readRoute(rt, pools)
		match := fmt.Sprintf("%q", []any{r.Host, r.Path, r.Prefix, r.Regexp, r.Methods, r.Headers, r.Classes})
		if first, ok := seen[match]; ok {
			d.fault(rt.path, "would never be reached: routes[%d] matches the same and stands before it", first)
		} else {
			seen[match] = i
		}
		routes = append(routes, r)
	}
	return routes
}

// fileKey returns the key in the file for a field that internal/route names.
func fileKey(rt *table, field string) string {
	switch {
	case field != "to":
		return field
	case rt.has("split"):
		return "split"
	}
	return "pool"
}

// readRoute reads one of the [[routes]].
func readRoute(t *table, pools map[string]*Pool) route.Route {
	r := route.Route{
		Host:    t.text("host", ""),
		Path:    t.text("path", ""),
		Prefix:  t.text("prefix", ""),
		Regexp:  t.text("regexp", ""),
		Methods: t.textList("methods"),
		Classes: t.textList("classes"),
		Class:   t.text("class", ""),
	}
	if r.Host == "*" {
		r.Host = "" // any host
	}
	r.Host = strings.ToLower(strings.TrimSuffix(r.Host, "."))
	if ht := t.subtable("headers"); ht != nil {
		r.Headers = readHeaders(ht)
	}
	r.To = readTargets(t)
	checkTargets(t, &r, pools)
	t.rejectUnknownKeys()
	return r
}

// readTargets reads the pools that a route leads to: one, or several by weight.
func readTargets(t *table) (to []route.Split) {
	only := t.text("pool", "")
	switch split := t.subtable("split"); {
	case split != nil && t.has("pool"):
		t.fault("split", "a route has a pool or a split, not both")
		to = []route.Split{{Pool: only, Weight: 1}}
	case split != nil:
		for _, name := range split.sortedKeys() { // the same order on every node, so that all split alike
			to = append(to, route.Split{Pool: name, Weight: int(min(split.count(name, 0), maxSplitWeight))})
		}
	case t.has("pool"):
		to = []route.Split{{Pool: only, Weight: 1}}
	}
	return to
}

// checkTargets reports pools that do not exist, and classes that these pools do not have.
func checkTargets(t *table, r *route.Route, pools map[string]*Pool) {
	for _, to := range r.To {
		key := "pool"
		if !t.has("pool") {
			key = "split." + to.Pool
		}
		p := pools[to.Pool]
		if p == nil {
			t.fault(key, "there is no pool %q", to.Pool)
			continue
		}
		for _, name := range neededClasses(r) {
			if !slices.ContainsFunc(p.Settings.Classes, func(c balancer.Class) bool { return c.Name == name }) {
				t.fault(key, "pool %s has no class %q", to.Pool, name)
			}
		}
	}
}

// neededClasses returns the classes that a pool must have for a route to lead to it: the one that the route gives to its
// requests, or else those that it matches.
func neededClasses(r *route.Route) (names []string) {
	for _, name := range append(slices.Clone(r.Classes), r.Class) {
		if name != "" && (r.Class == "" || name == r.Class) {
			names = append(names, name)
		}
	}
	return names
}

// readHeaders reads the headers that a route matches: by a value, or true for any value.
func readHeaders(t *table) (headers []route.Header) {
	for _, name := range t.sortedKeys() {
		v, _ := t.get(name)
		h := route.Header{Name: textproto.CanonicalMIMEHeaderKey(name)}
		switch v := v.(type) {
		case string:
			h.Value = v
		case bool:
			h.Present = v
			if !v {
				t.fault(name, "a value is wanted, or true for any")
			}
		default:
			t.fault(name, "a value is wanted, or true for any, not %s", describe(v))
		}
		if !isToken(name) {
			t.fault(name, "%q is no name of a header", name)
		}
		if slices.ContainsFunc(headers, func(before route.Header) bool { return before.Name == h.Name }) {
			t.fault(name, "stands there twice in another spelling")
		}
		headers = append(headers, h)
	}
	return headers
}

// isToken reports whether s can be the name of a header (RFC 9110, section 5.6.2).
func isToken(s string) bool {
	return s != "" && consistsOf(s, "!#$%&'*+-.^_`|~")
}
