// Package route selects the pool of a request. A Table is compiled once from the routes of the operator's file and is
// read-only afterwards. The package is pure: it must never do I/O, read a clock or draw random numbers, so that every
// node sends a request to the same pool.
//
// # Precedence
//
// The most specific route wins, by these in order:
//
//  1. host: exact, then the longest suffix ("*.example.org", any number of labels), then any. Only the
//     most specific host that has a matching route counts;
//  2. path: exact, then regular expression, then the prefix of most bytes, then any;
//  3. a route that names methods before one that does not;
//  4. more headers before fewer;
//  5. a route that names classes before one that does not;
//  6. the order in the file.
//
// A regular expression comes before every prefix because its specificity can't be compared with
// that of a prefix, and behind the common prefix "/" it would never be reached.
//
// # Cost
//
// A match looks up the host, at most one suffix for each of its labels, and for each of these the path and at most one
// prefix for each of its segments. All of them are maps, so the cost does not depend on the number of hosts and paths.
// Only the routes of one host and one path, and the regular expressions of one host, are tried in turn; Compile limits
// their number.
package route

import (
	"fmt"
	"hash/fnv"
	"regexp"
	"slices"
	"strings"
)

// Limits on the routes that are tried in turn, and on the split of one route.
const (
	MaxSamePath = 64  // routes of one host and one path
	MaxRegexps  = 64  // regular expressions of one host
	MaxSplit    = 64  // pools of one route
	MaxWeight   = 1e6 // of one pool in a route
)

// Request is what a route is selected by. Host and Path are in the normal form that the functions of these names return.
type Request struct {
	Host   string
	Path   string
	Method string
	Header map[string][]string // by canonical name; as in net/http
	Class  string              // as the caller names it; "" means none
	ID     string              // decides a weighted split, at every node alike
}

// Header is a header field that a route requires.
type Header struct {
	Name    string // canonical
	Value   string // required value, unless Present is set
	Present bool   // any value matches
}

// Split is a pool's weight in a route.
type Split struct {
	Pool   string
	Weight int // 0 or more; at least one of a route is over 0
}

// Route sends the requests that match all of its conditions to one of its pools.
type Route struct {
	Host    string // "" means any, and "*.example.org" every name below it
	Path    string // exact
	Prefix  string // by whole segments: "/a" matches /a, /a/ and /a/b, not /ab
	Regexp  string // of the complete path, in RE2 syntax
	Methods []string
	Headers []Header // all of them
	Classes []string // any of them
	To      []Split
	Class   string // that matching requests get; "" means they keep theirs
}

// Fault is a reason why a route can't be compiled.
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
	totalWeight uint64 // sum of the weights
	salt        uint64 // so that routes split the same ids differently
}

// hostRules are the rules of one host.
type hostRules struct {
	byPath         map[string][]*rule
	regexps        []*rule
	byPrefix       map[string][]*rule // without the trailing slash, so that "/" is ""
	maxPrefixDepth int                // slashes in the longest prefix
	anyPath        []*rule
}

// Table is a compiled set of routes. It is immutable, so many goroutines may use it.
type Table struct {
	hosts    map[string]*hostRules
	suffixes map[string]*hostRules // by what follows "*."
	anyHost  *hostRules
	fallback string
}

// Target is the result of a match.
type Target struct {
	Pool  string
	Class string // "" means that of the request
	Route int    // index of the route in Compile; -1 means the fallback
}

// Match finds the route of a request. It returns false if none matches and there is no fallback.
func (t *Table) Match(r *Request) (Target, bool) {
	matched := t.hosts[r.Host].match(r)
	for rest := r.Host; matched == nil; {
		_, below, found := strings.Cut(rest, ".")
		if !found {
			break
		}
		matched, rest = t.suffixes[below].match(r), below
	}
	if matched == nil {
		matched = t.anyHost.match(r)
	}
	if matched == nil {
		return Target{Pool: t.fallback, Route: -1}, t.fallback != ""
	}
	return Target{Pool: matched.splitPool(r.ID), Class: matched.Class, Route: matched.index}, true
}

func (h *hostRules) match(r *Request) *rule {
	if h == nil {
		return nil
	}
	if matched := firstMatch(h.byPath[r.Path], r); matched != nil {
		return matched
	}
	for _, matched := range h.regexps {
		if matched.matches(r) && matched.regexp.MatchString(r.Path) {
			return matched
		}
	}
	if len(h.byPrefix) > 0 {
		if matched := h.matchPrefix(r); matched != nil {
			return matched
		}
	}
	return firstMatch(h.anyPath, r)
}

// matchPrefix tries the prefixes of the path, from the longest one that any rule could have.
func (h *hostRules) matchPrefix(r *Request) *rule {
	end, depth := len(r.Path), 0
	for i := 0; i < len(r.Path); i++ {
		if r.Path[i] == '/' {
			if depth == h.maxPrefixDepth {
				end = i
				break
			}
			depth++
		}
	}
	for at := r.Path[:end]; ; {
		if c := firstMatch(h.byPrefix[at], r); c != nil {
			return c
		}
		i := strings.LastIndexByte(at, '/')
		if i < 0 {
			return nil
		}
		at = at[:i]
	}
}

// firstMatch returns the first of the rules that matches, or nil if there is none.
func firstMatch(rules []*rule, r *Request) *rule {
	for _, candidate := range rules {
		if candidate.matches(r) {
			return candidate
		}
	}
	return nil
}

// matches reports whether a request meets the conditions on method, class and headers.
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

// splitPool selects a pool by weight and by the id alone, so that every node sends a request, and every retry under the
// same id, to the same pool.
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

// mix spreads a hash over all bits (the finaliser of SplitMix64), because the low bits of FNV differ little for similar
// ids.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
