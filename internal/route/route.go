// Package route names the pool of a request. A Table is compiled once from the routes of the
// operator's file and then only read; it does no I/O and has no clock.
//
// # Precedence
//
// The most specific route wins, by these in order:
//
//  1. host: exact, then the longest suffix ("*.example.org", any number of labels), then any. Only the
//     most specific host with a route that matches in all counts;
//  2. path: exact, then regular expression, then the prefix of most bytes, then any;
//  3. a route that names methods before one that does not;
//  4. more headers before fewer;
//  5. a route that names classes before one that does not;
//  6. the order in the file.
//
// A regular expression comes before every prefix because its specificity can't be compared with
// theirs, and after the usual prefix "/" it would never be reached.
//
// # Cost
//
// A match looks up the host, at most one suffix for each of its labels, and in each of those hosts the
// path and at most one prefix for each of its segments: maps all, so the number of hosts and paths
// does not count. Only routes of one host and one path, and regular expressions of one host, are tried
// in turn; Compile limits these.
package route

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"regexp"
	"slices"
	"strings"
)

// Limits on what is tried in turn.
const (
	MaxSamePath = 64  // routes of one host and one path
	MaxRegexps  = 64  // regular expressions of one host
	MaxSplit    = 64  // pools of one route
	MaxWeight   = 1e6 // of one pool in a route
)

// Request is what a route is chosen by. Host and Path are in the normal form of the functions of
// these names.
type Request struct {
	Host   string
	Path   string
	Method string
	Header map[string][]string // by canonical name; as in net/http
	Class  string              // as the protocol names it; "": not told
	ID     string              // decides a weighted split, the same at every node
}

// Header is a header that a route wants.
type Header struct {
	Name    string // canonical
	Value   string // to be equal to one of the request's, if Present is false
	Present bool   // any value will do
}

// Split is a pool's part of a route.
type Split struct {
	Pool   string
	Weight int // 0 or more; not all of a route's are 0
}

// Route sends the requests that match all that it names to a pool.
type Route struct {
	Host    string // "": any; "*.example.org": all below it
	Path    string // exact
	Prefix  string // by whole segments: "/a" matches /a, /a/ and /a/b, not /ab
	Regexp  string // of the whole path, in RE2's syntax
	Methods []string
	Headers []Header // all of them
	Classes []string // any of them
	To      []Split
	Class   string // that matching requests have in the pool; "": as they came
}

// Fault is what keeps a route from being compiled.
type Fault struct {
	Route int    // its index
	Key   string // of the operator's file: host, path, prefix, regexp, methods, headers, classes, to
	Text  string
}

func (f Fault) Error() string { return fmt.Sprintf("route %d: %s: %s", f.Route, f.Key, f.Text) }

// rule is a compiled route.
type rule struct {
	Route
	index       int
	regexp      *regexp.Regexp
	totalWeight uint64 // of the weights
	salt        uint64 // lest routes split the same ids alike
}

// hostRules are the routes of one host.
type hostRules struct {
	byPath         map[string][]*rule
	regexps        []*rule
	byPrefix       map[string][]*rule // without trailing slash, but for "" as /
	maxPrefixDepth int                // segments of the longest prefix
	anyPath        []*rule
}

// Table is a compiled set of routes. It may be read by many goroutines.
type Table struct {
	hosts    map[string]*hostRules
	suffixes map[string]*hostRules // by what follows "*."
	anyHost  *hostRules
	fallback string
}

// Compile makes a table. Requests that match no route go to the pool named by fallback; "": none. The
// faults are all there are, in the order of the routes; with any there is no table.
func Compile(routes []Route, fallback string) (*Table, []Fault) {
	t := &Table{hosts: map[string]*hostRules{}, suffixes: map[string]*hostRules{}, anyHost: newHostRules(), fallback: fallback}
	var faults []Fault
	for i, r := range routes {
		fault := func(key, format string, args ...any) {
			faults = append(faults, Fault{i, key, fmt.Sprintf(format, args...)})
		}
		at := t.rulesForHost(r.Host, fault)
		c := compile(r, i, fault)
		if at == nil || c == nil {
			continue
		}
		key, same := at.add(c)
		if key == "regexp" && same > MaxRegexps || key != "regexp" && same > MaxSamePath {
			fault(key, "too many routes for the same host and %s", key)
		}
	}
	if faults != nil {
		return nil, faults
	}
	t.forEachHost(func(p *hostRules) {
		sortBySpecificity(p.regexps)
		sortBySpecificity(p.anyPath)
		for _, l := range p.byPath {
			sortBySpecificity(l)
		}
		for _, l := range p.byPrefix {
			sortBySpecificity(l)
		}
	})
	return t, nil
}

func (t *Table) forEachHost(f func(*hostRules)) {
	f(t.anyHost)
	for _, p := range t.hosts {
		f(p)
	}
	for _, p := range t.suffixes {
		f(p)
	}
}

func newHostRules() *hostRules {
	return &hostRules{byPath: map[string][]*rule{}, byPrefix: map[string][]*rule{}}
}

// rulesForHost is the host's place in the table; nil after a fault.
func (t *Table) rulesForHost(host string, fault func(key, format string, args ...any)) *hostRules {
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

// compile checks all of a route but its host; nil after a fault.
func compile(r Route, order int, report func(key, format string, args ...any)) *rule {
	c := &rule{Route: r, index: order}
	bad := false
	fault := func(key, format string, args ...any) {
		bad = true
		report(key, format, args...)
	}
	kinds := 0
	for _, s := range []struct{ key, value string }{{"path", r.Path}, {"prefix", r.Prefix}} {
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
	if r.Regexp != "" {
		kinds++
		var err error
		if c.regexp, err = regexp.Compile(`\A(?:` + r.Regexp + `)\z`); err != nil {
			fault("regexp", "%v", err)
		}
	}
	if kinds > 1 {
		fault("path", "only one of path, prefix and regexp")
	}
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
	if len(r.To) == 0 {
		fault("to", "no pool")
	}
	if len(r.To) > MaxSplit {
		fault("to", "%d pools, %d at most", len(r.To), MaxSplit)
	}
	seen := map[string]bool{}
	for _, s := range r.To {
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
	if len(r.To) > 0 && c.totalWeight == 0 {
		fault("to", "no pool has a weight")
	}
	if bad {
		return nil
	}
	// The salt comes from what the route matches, so that it is the same at every node and stays when
	// other routes come and go.
	c.salt = hash(strings.Join([]string{r.Host, r.Path, r.Prefix, r.Regexp}, "\x00"))
	return c
}

// add puts a rule in its place and says what kind that is and how many are there now.
func (p *hostRules) add(c *rule) (key string, same int) {
	switch {
	case c.Path != "":
		p.byPath[c.Path] = append(p.byPath[c.Path], c)
		return "path", len(p.byPath[c.Path])
	case c.regexp != nil:
		p.regexps = append(p.regexps, c)
		return "regexp", len(p.regexps)
	case c.Prefix != "":
		at := strings.TrimSuffix(c.Prefix, "/")
		p.byPrefix[at] = append(p.byPrefix[at], c)
		p.maxPrefixDepth = max(p.maxPrefixDepth, strings.Count(at, "/"))
		return "prefix", len(p.byPrefix[at])
	}
	p.anyPath = append(p.anyPath, c)
	return "host", len(p.anyPath)
}

// sortBySpecificity puts the most specific first.
func sortBySpecificity(l []*rule) {
	named := func(n int) int { return min(n, 1) }
	slices.SortFunc(l, func(a, b *rule) int {
		return cmp.Or(cmp.Compare(named(len(b.Methods)), named(len(a.Methods))),
			cmp.Compare(len(b.Headers), len(a.Headers)),
			cmp.Compare(named(len(b.Classes)), named(len(a.Classes))), cmp.Compare(a.index, b.index))
	})
}

// Target is where a request goes.
type Target struct {
	Pool  string
	Class string // "": as the request came
	Route int    // index of the route; -1: the fallback
}

// Match finds a request's route; false if there is none and no fallback.
func (t *Table) Match(r *Request) (Target, bool) {
	c := t.hosts[r.Host].match(r)
	for rest := r.Host; c == nil; {
		_, below, found := strings.Cut(rest, ".")
		if !found {
			break
		}
		c, rest = t.suffixes[below].match(r), below
	}
	if c == nil {
		c = t.anyHost.match(r)
	}
	if c == nil {
		return Target{Pool: t.fallback, Route: -1}, t.fallback != ""
	}
	return Target{Pool: c.splitPool(r.ID), Class: c.Class, Route: c.index}, true
}

func (p *hostRules) match(r *Request) *rule {
	if p == nil {
		return nil
	}
	if c := firstMatch(p.byPath[r.Path], r); c != nil {
		return c
	}
	for _, c := range p.regexps {
		if c.matches(r) && c.regexp.MatchString(r.Path) {
			return c
		}
	}
	if len(p.byPrefix) > 0 {
		if c := p.matchPrefix(r); c != nil {
			return c
		}
	}
	return firstMatch(p.anyPath, r)
}

// matchPrefix tries the prefixes of the path from the longest that there is any of.
func (p *hostRules) matchPrefix(r *Request) *rule {
	end, depth := len(r.Path), 0
	for i := 0; i < len(r.Path); i++ {
		if r.Path[i] == '/' {
			if depth == p.maxPrefixDepth {
				end = i
				break
			}
			depth++
		}
	}
	for at := r.Path[:end]; ; {
		if c := firstMatch(p.byPrefix[at], r); c != nil {
			return c
		}
		i := strings.LastIndexByte(at, '/')
		if i < 0 {
			return nil
		}
		at = at[:i]
	}
}

func firstMatch(l []*rule, r *Request) *rule {
	for _, c := range l {
		if c.matches(r) {
			return c
		}
	}
	return nil
}

// matches says that a request has the methods, headers and classes that a rule names.
func (c *rule) matches(r *Request) bool {
	if len(c.Methods) > 0 && !slices.Contains(c.Methods, r.Method) ||
		len(c.Classes) > 0 && !slices.Contains(c.Classes, r.Class) {
		return false
	}
	for _, h := range c.Headers {
		values := r.Header[h.Name]
		if len(values) == 0 || !h.Present && !slices.Contains(values, h.Value) {
			return false
		}
	}
	return true
}

// splitPool splits by the id alone, so that every node sends a request, and each repeat under its id, to the
// same pool.
func (c *rule) splitPool(id string) string {
	if len(c.To) == 1 {
		return c.To[0].Pool
	}
	at := mix(hash(id)^c.salt) % c.totalWeight
	for _, s := range c.To {
		if at < uint64(s.Weight) {
			return s.Pool
		}
		at -= uint64(s.Weight)
	}
	panic("route: weights do not add up")
}

func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// mix spreads a hash over all bits (the finaliser of SplitMix64): FNV's low bits of like ids are alike.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
