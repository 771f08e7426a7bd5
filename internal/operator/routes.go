package operator

import (
	"fmt"
	"net/textproto"
	"slices"
	"strings"

	"cranegrade/balancer"
	"cranegrade/internal/route"
)

// routes reads the [[routes]] and compiles them.
func (f *document) routes(t *table, p *Plan) {
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
	routes := make([]route.Route, 0, len(tables))
	seen := map[string]int{}
	for i, rt := range tables {
		r := f.route(rt, pools)
		key := fmt.Sprintf("%q", []any{r.Host, r.Path, r.Prefix, r.Regexp, r.Methods, r.Headers, r.Classes})
		if first, is := seen[key]; is {
			f.fault(rt.path, "would never be reached: routes[%d] matches the same and stands before it", first)
		} else {
			seen[key] = i
		}
		routes = append(routes, r)
	}
	table, faults := route.Compile(routes, fallback)
	for _, x := range faults {
		at := tables[x.Route]
		if x.Key == "to" {
			x.Key = "pool"
			if at.has("split") {
				x.Key = "split"
			}
		}
		at.fault(x.Key, "%s", x.Text)
	}
	p.Routes = table
}

// route reads one of the [[routes]].
func (f *document) route(t *table, pools map[string]*Pool) route.Route {
	r := route.Route{
		Host: t.text("host", ""), Path: t.text("path", ""), Prefix: t.text("prefix", ""),
		Regexp: t.text("regexp", ""), Methods: t.textList("methods"), Classes: t.textList("classes"), Class: t.text("class", ""),
	}
	if r.Host == "*" {
		r.Host = ""
	}
	r.Host = strings.ToLower(strings.TrimSuffix(r.Host, "."))
	if h := t.subtable("headers"); h != nil {
		r.Headers = headers(h)
	}
	r.To = splits(t)
	checkTargets(t, &r, pools)
	t.rejectUnknownKeys()
	return r
}

// splits reads which pools a route goes to: one, or several by weight.
func splits(t *table) (to []route.Split) {
	only := t.text("pool", "")
	switch split := t.subtable("split"); {
	case split != nil && t.has("pool"):
		t.fault("split", "a route has a pool or a split, not both")
		to = []route.Split{{Pool: only, Weight: 1}}
	case split != nil:
		names := make([]string, 0, len(split.m))
		for name := range split.m {
			names = append(names, name)
		}
		slices.Sort(names) // the file's order is not kept; by name every node splits alike
		for _, name := range names {
			to = append(to, route.Split{Pool: name, Weight: int(min(split.count(name, 0), 1<<31))})
		}
	case t.has("pool"):
		to = []route.Split{{Pool: only, Weight: 1}}
	}
	return to
}

// checkTargets reports pools that there are not, and classes that these do not have.
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
		for _, c := range append(r.Classes[:len(r.Classes):len(r.Classes)], r.Class) {
			if c == "" || r.Class != "" && c != r.Class {
				continue
			}
			if !slices.ContainsFunc(p.Settings.Classes, func(x balancer.Class) bool { return x.Name == c }) {
				t.fault(key, "pool %s has no class %q", to.Pool, c)
			}
		}
	}
}

// headers reads the headers that a route wants: a value, or true for any.
func headers(t *table) (l []route.Header) {
	names := make([]string, 0, len(t.m))
	for name := range t.m {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		v, _ := t.get(name)
		h := route.Header{Name: textproto.CanonicalMIMEHeaderKey(name)}
		switch v := v.(type) {
		case string:
			h.Value = v
		case bool:
			if h.Present = v; !v {
				t.fault(name, "a value is wanted, or true for any")
			}
		default:
			t.fault(name, "a value is wanted, or true for any, not %s", describe(v))
		}
		if !isToken(name) {
			t.fault(name, "%q is no name of a header", name)
		}
		if slices.ContainsFunc(l, func(x route.Header) bool { return x.Name == h.Name }) {
			t.fault(name, "stands there twice in another spelling")
		}
		l = append(l, h)
	}
	return l
}

// isToken says that s can be the name of a header (RFC 9110, section 5.6.2).
func isToken(s string) bool {
	return s != "" && !strings.ContainsFunc(s, func(c rune) bool {
		return !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || strings.ContainsRune("!#$%&'*+-.^_`|~", c))
	})
}
