package route

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// reportFunc records a fault of the route that is being compiled; key is the key at fault in the operator's file.
type reportFunc func(key, format string, args ...any)

// Compile compiles routes into a table. Requests that match no route go to the pool named fallback; "" means that Match
// returns false for them. If any route is faulty, Compile returns no table and all faults, in the order of the routes.
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
		key, count := host.add(compiled)
		if key == "regexp" && count > MaxRegexps || key != "regexp" && count > MaxSamePath {
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

// forEachHost calls f with the rules of every host pattern.
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

// rulesForHost returns the rules of a host pattern, and adds them to the table if they are new. It reports an invalid
// pattern and returns nil for it.
func (t *Table) rulesForHost(host string, fault reportFunc) *hostRules {
	if host == "" || host == "*" {
		return t.anyHost
	}
	byName := t.hosts
	name, wildcard := strings.CutPrefix(host, "*.")
	if wildcard {
		byName = t.suffixes
	}
	normalised, err := NormaliseHost(name)
	if err != nil || normalised == "" || strings.Contains(name, ":") && name[0] != '[' {
		fault("host", "%q is no host name, *.NAME or *, without a port", host)
		return nil
	}
	if wildcard && name[0] == '[' {
		fault("host", "%q: an address has no names below it", host)
		return nil
	}
	if byName[normalised] == nil {
		byName[normalised] = newHostRules()
	}
	return byName[normalised]
}

// compile compiles a route except for its host pattern. It reports the route's faults, and returns nil if there are any.
func compile(r Route, index int, report reportFunc) *rule {
	compiled := &rule{Route: r, index: index}
	faulty := false
	fault := func(key, format string, args ...any) {
		faulty = true
		report(key, format, args...)
	}
	compiled.compilePath(fault)
	checkConditions(r, fault)
	compiled.checkSplit(fault)
	if faulty {
		return nil
	}
	// The salt is derived from the route's host and path conditions, so that it is the same at every node and does not
	// change when other routes are added or removed.
	compiled.salt = hash(strings.Join([]string{r.Host, r.Path, r.Prefix, r.Regexp}, "\x00"))
	return compiled
}

// compilePath checks the condition on the path, and compiles the regular expression if it is one.
func (c *rule) compilePath(fault reportFunc) {
	conditions := 0
	for _, s := range []struct{ key, value string }{{"path", c.Path}, {"prefix", c.Prefix}} {
		if s.value == "" {
			continue
		}
		conditions++
		if normalised, err := NormalisePath(s.value); err != nil {
			fault(s.key, "%q: %v", s.value, err)
		} else if normalised != s.value {
			fault(s.key, "%q would never match: paths are matched as %q", s.value, normalised)
		}
	}
	if c.Regexp != "" {
		conditions++
		var err error
		if c.regexp, err = regexp.Compile(`\A(?:` + c.Regexp + `)\z`); err != nil {
			fault("regexp", "%v", err)
		}
	}
	if conditions > 1 {
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

// checkSplit checks the pools of a rule and their weights, and sets totalWeight.
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

// add adds a rule. It returns the key of the rule's path condition, "host" if it has none, and the number of rules that a
// match has to try in turn together with it, itself included.
func (h *hostRules) add(c *rule) (key string, count int) {
	switch {
	case c.Path != "":
		h.byPath[c.Path] = append(h.byPath[c.Path], c)
		return "path", len(h.byPath[c.Path])
	case c.regexp != nil:
		h.regexps = append(h.regexps, c)
		return "regexp", len(h.regexps)
	case c.Prefix != "":
		prefix := strings.TrimSuffix(c.Prefix, "/")
		h.byPrefix[prefix] = append(h.byPrefix[prefix], c)
		h.maxPrefixDepth = max(h.maxPrefixDepth, strings.Count(prefix, "/"))
		return "prefix", len(h.byPrefix[prefix])
	}
	h.anyPath = append(h.anyPath, c)
	return "host", len(h.anyPath)
}

// sortBySpecificity sorts rules that differ in methods, headers and classes by the precedence of the package comment, the
// most specific first.
func sortBySpecificity(rules []*rule) {
	oneIfAny := func(n int) int { return min(n, 1) } // methods and classes count by presence, not by number
	slices.SortFunc(rules, func(a, b *rule) int {
		return cmp.Or(cmp.Compare(oneIfAny(len(b.Methods)), oneIfAny(len(a.Methods))),
			cmp.Compare(len(b.Headers), len(a.Headers)),
			cmp.Compare(oneIfAny(len(b.Classes)), oneIfAny(len(a.Classes))), cmp.Compare(a.index, b.index))
	})
}
