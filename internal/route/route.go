// Package route selects the pool for a request. A Table is compiled once from the routes of the operator's file and is
// read-only afterwards. The package is pure: it must not do I/O, read a clock or draw random numbers, so that every node
// selects the same pool for a request.
//
// # Precedence
//
// The most specific matching route wins. Routes are compared by these criteria, in order:
//
//  1. host: exact, then the longest suffix ("*.example.org", any number of labels), then any. Only the
//     most specific host that has a matching route counts;
//  2. path: exact, then regular expression, then the longest prefix in bytes, then any;
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
// A match looks up the host and at most one suffix for each label of it. For each of these that has routes it looks up the
// path and at most one prefix for each segment of it. All lookups are in maps, so the cost does not depend on the number
// of hosts and paths. Only the routes of one host and one path, and the regular expressions of one host, are tried one
// after another; Compile limits their number.
package route

import (
	"fmt"
	"hash/fnv"
	"regexp"
	"slices"
	"strings"
)

// Limits on the routes that a match tries one after another, and on the split of one route.
const (
	MaxSamePath = 64  // routes of one host and one path
	MaxRegexps  = 64  // regular expressions of one host
	MaxSplit    = 64  // pools of one route
	MaxWeight   = 1e6 // weight of one pool in a route
)

// Request holds the properties of a request by which its route is selected. Host and Path are as returned by
// NormaliseHost and NormalisePath.
type Request struct {
	Host   string
	Path   string
	Method string
	Header map[string][]string // values by canonical field name, as in net/http
	Class  string              // class that the caller has set; "" means none
	ID     string              // request id, which decides a weighted split
}

// Header is a header field that a route requires.
type Header struct {
	Name    string // canonical field name
	Value   string // required value, unless Present is set
	Present bool   // the field is required with any value
}

// Split is a pool's weight in a route.
type Split struct {
	Pool   string
	Weight int // at least 0, and over 0 for at least one pool of a route
}

// Route is a rule of the operator's file: requests that match all of its conditions go to one of the pools in To.
type Route struct {
	Host    string   // "" or "*" means any; "*.example.org" means every name below example.org
	Path    string   // exact
	Prefix  string   // by whole segments: "/a" matches /a, /a/ and /a/b, not /ab
	Regexp  string   // of the complete path, in RE2 syntax
	Methods []string // one of them; nil means any
	Headers []Header // all of them
	Classes []string // one of them; nil means any
	To      []Split
	Class   string // class that matching requests get; "" means that they keep theirs
}

// Fault is a reason why a route can't be compiled.
type Fault struct {
	Route int    // index of the route in the argument of Compile
	Key   string // key in the operator's file: host, path, prefix, regexp, methods, headers, classes, to
	Text  string
}

func (f Fault) Error() string { return fmt.Sprintf("route %d: %s: %s", f.Route, f.Key, f.Text) }

// rule is a compiled route.
type rule struct {
	Route
	index       int // in the argument of Compile
	regexp      *regexp.Regexp
	totalWeight uint64 // sum of the weights
	salt        uint64 // makes routes split the same ids differently
}

// hostRules are the rules of one host pattern.
type hostRules struct {
	byPath         map[string][]*rule
	regexps        []*rule
	byPrefix       map[string][]*rule // keys have no trailing slash: that of the prefix "/" is ""
	maxPrefixDepth int                // slashes in the longest prefix
	anyPath        []*rule            // rules without a condition on the path
}

// Table is a compiled set of routes. It is immutable, and so safe for concurrent use.
type Table struct {
	hosts    map[string]*hostRules // by exact host
	suffixes map[string]*hostRules // by the part of the pattern after "*."
	anyHost  *hostRules
	fallback string // pool of requests that match no route; "" means none
}

// Target is the result of a match.
type Target struct {
	Pool  string
	Class string // class to set; "" means that the request keeps its class
	Route int    // index of the route in the argument of Compile; -1 means the fallback
}

// Match finds the route of a request. It returns false if none matches and there is no fallback.
func (t *Table) Match(r *Request) (Target, bool) {
	matched := t.hosts[r.Host].match(r)
	for rest := r.Host; matched == nil; {
		_, suffix, found := strings.Cut(rest, ".")
		if !found {
			break
		}
		matched, rest = t.suffixes[suffix].match(r), suffix
	}
	if matched == nil {
		matched = t.anyHost.match(r)
	}
	if matched == nil {
		return Target{Pool: t.fallback, Route: -1}, t.fallback != ""
	}
	return Target{Pool: matched.splitPool(r.ID), Class: matched.Class, Route: matched.index}, true
}

// match returns the most specific rule that matches the request, or nil. h may be nil.
func (h *hostRules) match(r *Request) *rule {
	if h == nil {
		return nil
	}
	if matched := firstMatch(h.byPath[r.Path], r); matched != nil {
		return matched
	}
	for _, candidate := range h.regexps {
		if candidate.matches(r) && candidate.regexp.MatchString(r.Path) {
			return candidate
		}
	}
	if len(h.byPrefix) > 0 {
		if matched := h.matchPrefix(r); matched != nil {
			return matched
		}
	}
	return firstMatch(h.anyPath, r)
}

// matchPrefix returns the most specific rule with a prefix of the path, or nil. It tries the prefixes from the longest one,
// limited to maxPrefixDepth segments, to the empty one.
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
	for prefix := r.Path[:end]; ; {
		if matched := firstMatch(h.byPrefix[prefix], r); matched != nil {
			return matched
		}
		i := strings.LastIndexByte(prefix, '/')
		if i < 0 {
			return nil
		}
		prefix = prefix[:i]
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

// splitPool selects a pool by the weights and the request id alone, so that every node selects the same pool for a request
// and for its retries under the same id.
func (c *rule) splitPool(id string) string {
	if len(c.To) == 1 {
		return c.To[0].Pool
	}
	point := mix(hash(id)^c.salt) % c.totalWeight // in [0, totalWeight)
	for _, s := range c.To {
		if point < uint64(s.Weight) {
			return s.Pool
		}
		point -= uint64(s.Weight)
	}
	panic("route: weights do not add up")
}

// hash returns the 64-bit FNV-1a hash of s.
func hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return h.Sum64()
}

// mix is the finaliser of SplitMix64. It is needed because the low bits of FNV hashes of similar ids differ little.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
