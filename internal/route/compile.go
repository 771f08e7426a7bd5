package route

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// reportFunc notes a fault of the route at hand, by its key in the operator's file.
type reportFunc func(key, format string, args ...any)

// Compile makes a table. Requests that match no route go to the pool named by fallback; "" means they match nothing. It
// returns all faults, in the order of the routes; if there is one, there is no table.
func Compile(routes []Route, fallback string) (*Table, []Fault) {
	t := &Table{
		hosts:    map[string]*hostRules{},
		suffixes: map[string]*hostRules{},
		anyHost:  newHostRules(),
		fallback: fallback,
	}
	var faults []Fault
	for i, r := range routes {
		fault := func(key, format string, args ...any) {
			faults = append(faults, Fault{i, key, fmt.Sprintf(format, args...)})
		}
		host := t.rulesForHost(r.Host, fault)
		compiled := compile(r, i, fault)
		if host == nil || compiled == nil {
			continue
		}
		key, same := host.add(compiled)
		if key == "regexp" && same > MaxRegexps || key != "regexp" && same > MaxSamePath {
			fault(key, "too many routes for the same host and %s", key)
		}
	}
	if faults != nil {
		return nil, faults
	}
	t.forEachHost(func(h *hostRules) {
		sortBySpecificity(h.regexps)
		sortBySpecificity(h.anyPath)
		for _, rules := range h.byPath {
			sortBySpecificity(rules)
		}
		for _, rules := range h.byPrefix {
			sortBySpecificity(rules)
		}
	})
	return t, nil
}

// forEachHost calls f with the rules of every host.
func (t *Table) forEachHost(f func(*hostRules)) {
	f(t.anyHost)
	for _, h := range t.hosts {
		f(h)
	}
	for _, h := range t.suffixes {
		f(h)
	}
}

func newHostRules() *hostRules {
	return &hostRules{byPath: map[string][]*rule{}, byPrefix: map[string][]*rule{}}
}

// rulesForHost returns the rules of a host pattern, which it adds to the table if need be; nil after a fault.
func (t *Table) rulesForHost(host string, fault reportFunc) *hostRules {
	if host == "" || host == "*" {
		return t.anyHost
	}
	in := t.hosts
	name, wild := strings.CutPrefix(host, "*.")
	if wild {
		in = t.suffixes
	}
	normal, err := Host(name)
	if err != nil || normal == "" || strings.Contains(name, ":") && name[0] != '[' {
		fault("host", "%q is no host name, *.NAME or *, without a port", host)
		return nil
	}
	if wild && name[0] == '[' {
		fault("host", "%q: an address has no names below it", host)
		return nil
	}
	if in[normal] == nil {
		in[normal] = newHostRules()
	}
	return in[normal]
}

// compile checks a route except for its host; nil after a fault.
func compile(r Route, index int, report reportFunc) *rule {
	compiled := &rule{Route: r, index: index}
	bad := false
	fault := func(key, format string, args ...any) {
		bad = true
		report(key, format, args...)
	}
	compiled.compilePath(fault)
	checkConditions(r, fault)
	compiled.checkSplit(fault)
	if bad {
		return nil
	}
	// The salt comes from what the route matches, so that it is the same at every node and stays when
	// other routes come and go.
	compiled.salt = hash(strings.Join([]string{r.Host, r.Path, r.Prefix, r.Regexp}, "\x00"))
	return compiled
}

// compilePath checks the condition on the path, and compiles its regular expression.
func (c *rule) compilePath(fault reportFunc) {
	kinds := 0
	for _, s := range []struct{ key, value string }{{"path", c.Path}, {"prefix", c.Prefix}} {
		if s.value == "" {
			continue
		}
		kinds++
		if normal, err := Path(s.value); err != nil {
			fault(s.key, "%q: %v", s.value, err)
		} else if normal != s.value {
			fault(s.key, "%q would never match: paths are matched as %q", s.value, normal)
		}
	}
	if c.Regexp != "" {
		kinds++
		var err error
		if c.regexp, err = regexp.Compile(`\A(?:` + c.Regexp + `)\z`); err != nil {
			fault("regexp", "%v", err)
		}
	}
	if kinds > 1 {
		fault("path", "only one of path, prefix and regexp")
	}
}

// checkConditions checks the conditions on methods and headers.
func checkConditions(r Route, fault reportFunc) {
	for _, m := range r.Methods {
		if m == "" || strings.ContainsFunc(m, func(c rune) bool { return c < 'A' || c > 'Z' }) {
			fault("methods", "%q is no method in capital letters", m)
		}
	}
	for _, h := range r.Headers {
		if h.Name == "" {
			fault("headers", "a header without a name")
		}
	}
}

// checkSplit checks the pools of a rule, and sums up their weights.
func (c *rule) checkSplit(fault reportFunc) {
	if len(c.To) == 0 {
		fault("to", "no pool")
	}
	if len(c.To) > MaxSplit {
		fault("to", "%d pools, %d at most", len(c.To), MaxSplit)
	}
	seen := map[string]bool{}
	for _, s := range c.To {
		switch {
		case s.Pool == "":
			fault("to", "a pool without a name")
		case s.Weight < 0 || s.Weight > MaxWeight:
			fault("to", "%s: a weight of %d is not between 0 and %d", s.Pool, s.Weight, int(MaxWeight))
		case seen[s.Pool]:
			fault("to", "%s stands there twice", s.Pool)
		}
		seen[s.Pool] = true
		c.totalWeight += uint64(max(0, s.Weight))
	}
	if len(c.To) > 0 && c.totalWeight == 0 {
		fault("to", "no pool has a weight")
	}
}

// add stores a rule. It returns the kind of its path condition and how many rules of that kind would be tried with it.
func (h *hostRules) add(c *rule) (key string, same int) {
	switch {
	case c.Path != "":
		h.byPath[c.Path] = append(h.byPath[c.Path], c)
		return "path", len(h.byPath[c.Path])
	case c.regexp != nil:
		h.regexps = append(h.regexps, c)
		return "regexp", len(h.regexps)
	case c.Prefix != "":
		at := strings.TrimSuffix(c.Prefix, "/")
		h.byPrefix[at] = append(h.byPrefix[at], c)
		h.maxPrefixDepth = max(h.maxPrefixDepth, strings.Count(at, "/"))
		return "prefix", len(h.byPrefix[at])
	}
	h.anyPath = append(h.anyPath, c)
	return "host", len(h.anyPath)
}

// sortBySpecificity puts the most specific rule first, as the package comment defines it.
func sortBySpecificity(rules []*rule) {
	named := func(n int) int { return min(n, 1) }
	slices.SortFunc(rules, func(a, b *rule) int {
		return cmp.Or(cmp.Compare(named(len(b.Methods)), named(len(a.Methods))),
			cmp.Compare(len(b.Headers), len(a.Headers)),
			cmp.Compare(named(len(b.Classes)), named(len(a.Classes))), cmp.Compare(a.index, b.index))
	})
}
