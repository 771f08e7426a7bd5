package route

import (
	"fmt"
	"math"
	"regexp"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// to returns a split with a single pool.
func to(pool string) []Split { return []Split{{Pool: pool, Weight: 1}} }

// mustCompile compiles routes. A route without a pool gets the pool "p" followed by the route's index.
func mustCompile(t testing.TB, fallback string, routes ...Route) *Table {
	t.Helper()
	for i := range routes {
		if routes[i].To == nil {
			routes[i].To = to(fmt.Sprint("p", i))
		}
	}
	table, faults := Compile(routes, fallback)
	if faults != nil {
		t.Fatal(faults)
	}
	return table
}

// request returns a GET request for a host and path as the caller wrote them.
func request(t testing.TB, host, path string) *Request {
	t.Helper()
	h, err := NormaliseHost(host)
	if err != nil {
		t.Fatalf("host %q: %v", host, err)
	}
	p, err := NormalisePath(path)
	if err != nil {
		t.Fatalf("path %q: %v", path, err)
	}
	return &Request{Host: h, Path: p, Method: "GET"}
}

// The most specific route wins, by the precedence that the package comment defines.
func TestPrecedence(t *testing.T) {
	table := mustCompile(t, "none", []Route{
		0: {},
		1: {Host: "a.example.org"},
		2: {Host: "*.example.org"},
		3: {Host: "*.b.example.org"},
		4: {Host: "a.example.org", Prefix: "/x"},
		5: {Host: "a.example.org", Prefix: "/x/y/"},
		6: {Host: "a.example.org", Path: "/x/y/z"},
		7: {Host: "a.example.org", Regexp: "/x/y/[0-9]+"},
		8: {Host: "a.example.org", Prefix: "/x", Methods: []string{"POST"}},
		9: {Host: "a.example.org", Prefix: "/x", Headers: []Header{{Name: "X-A", Value: "1"}}},
		10: {
			Host:    "a.example.org",
			Prefix:  "/x",
			Headers: []Header{{Name: "X-A", Value: "1"}, {Name: "X-B", Present: true}},
		},
		11: {Host: "a.example.org", Prefix: "/x", Classes: []string{"alert"}},
		12: {Prefix: "/only"},
		13: {Host: "c.example.org", Prefix: "/only"},
		14: {Host: "*.example.org", Path: "/exact"},
		15: {Host: "a.example.org", Regexp: "/x/y/[0-9]+"},
		16: {Host: "[::1]"},
	}...)
	for i, c := range []struct {
		host, path string
		change     func(*Request)
		want       int
	}{
		{"", "/", nil, 0},
		{"other.net", "/x", nil, 0},
		{"127.0.0.1:80", "/", nil, 0},
		{"a.example.org", "/", nil, 1},
		{"A.Example.ORG.", "/", nil, 1},
		{"a.example.org:8080", "/", nil, 1},
		{"z.example.org", "/", nil, 2},
		{"z.y.example.org", "/", nil, 2},
		{"example.org", "/", nil, 0},
		{"z.b.example.org", "/", nil, 3},
		{"b.example.org", "/", nil, 2},
		{"xexample.org", "/", nil, 0},
		{"a.example.org", "/x", nil, 4},
		{"a.example.org", "/x/", nil, 4},
		{"a.example.org", "/xy", nil, 1},
		{"a.example.org", "/x/q/r/s/t", nil, 4},
		{"a.example.org", "/x/y", nil, 5},
		{"a.example.org", "/x/y/", nil, 5},
		{"a.example.org", "/x/y/z", nil, 6},
		{"a.example.org", "/x/y/z/", nil, 5},
		{"a.example.org", "/x/yz", nil, 4},
		{"a.example.org", "/x/y/12", nil, 7},
		{"a.example.org", "/x/y/12a", nil, 5},
		{"a.example.org", "/x/a", func(r *Request) { r.Method = "POST" }, 8},
		{"a.example.org", "/x/a", func(r *Request) { r.Header = map[string][]string{"X-A": {"0", "1"}} }, 9},
		{"a.example.org", "/x/a", func(r *Request) { r.Header = map[string][]string{"X-A": {"2"}} }, 4},
		{"a.example.org", "/x/a", func(r *Request) { r.Header = map[string][]string{"X-A": {"1"}, "X-B": {""}} }, 10},
		{"a.example.org", "/x/a", func(r *Request) {
			r.Method, r.Header = "POST", map[string][]string{"X-A": {"1"}, "X-B": {""}}
		}, 8}, // a route that names methods precedes one that names any number of headers
		{"a.example.org", "/x/a", func(r *Request) { r.Class = "alert" }, 11},
		{"", "/only/this", nil, 12},
		{"c.example.org", "/only/this", nil, 13},
		{"c.example.org", "/other", nil, 2}, // no route of the most specific host matches
		{"q.example.org", "/exact", nil, 14},
		{"[::1]:99", "/", nil, 16},
		// Paths that have to be normalised.
		{"a.example.org", "//x///y//z", nil, 6},
		{"a.example.org", "/x/./y/q/../z", nil, 6},
		{"a.example.org", "/%78/%79/z", nil, 6},
		{"a.example.org", "/x%2fy/z", nil, 1},
		{"a.example.org", "/x/%2e%2E/x/y/z", nil, 6},
	} {
		r := request(t, c.host, c.path)
		if c.change != nil {
			c.change(r)
		}
		if got, ok := table.Match(r); !ok || got.Route != c.want {
			t.Errorf("%d: %s%s matches route %d, want %d", i, c.host, c.path, got.Route, c.want)
		}
	}
}

// A request that matches no route goes to the fallback pool, if there is one.
func TestFallback(t *testing.T) {
	r := request(t, "b", "/")
	if got, ok := mustCompile(t, "rest", Route{Host: "a"}).Match(r); !ok || got.Pool != "rest" || got.Route != -1 {
		t.Errorf("match %v, target %+v; want the pool rest and route -1", ok, got)
	}
	if _, ok := mustCompile(t, "", Route{Host: "a"}).Match(r); ok {
		t.Error("a request matches though there is no route for it and no fallback")
	}
	// A table whose only route has a prefix matches no other path.
	if _, ok := mustCompile(t, "", Route{Host: "b", Prefix: "/a/b"}).Match(r); ok {
		t.Error("/ matches the prefix /a/b")
	}
}

// A split gives each pool its share, and every table sends the same id to the same pool. Different routes split the ids
// differently.
func TestSplit(t *testing.T) {
	split := []Split{{"a", 70}, {"b", 30}, {"never", 0}}
	one := mustCompile(t, "", Route{Host: "a", To: split})
	two := mustCompile(t, "", Route{Host: "b", To: split}, Route{Host: "a", To: split})
	const n = 20000
	counts := map[string]int{}
	differ := 0
	for i := range n {
		r := &Request{Host: "a", Path: "/", ID: fmt.Sprintf("id-%d", i)}
		target, _ := one.Match(r)
		otherTarget, _ := two.Match(r)
		if target.Pool != otherTarget.Pool {
			t.Fatalf("%s goes to %s in one table and to %s in another", r.ID, target.Pool, otherTarget.Pool)
		}
		counts[target.Pool]++
		r.Host = "b"
		if otherRoute, _ := two.Match(r); otherRoute.Pool != target.Pool {
			differ++
		}
	}
	if share := float64(counts["a"]) / n; math.Abs(share-0.7) > 0.02 || counts["never"] > 0 {
		t.Errorf("requests by pool: %v, want 70 %% for a and none for never", counts)
	}
	if differ == 0 {
		t.Error("two routes split the same ids in the same way")
	}
}

// matchNaively returns the index of the route that wins by the precedence of the package comment, or -1. It tries every
// route.
func matchNaively(routes []Route, r *Request) int {
	best := -1
	var bestKey []int
	for i, c := range routes {
		host := 0
		switch name, wildcard := strings.CutPrefix(c.Host, "*."); {
		case c.Host == "":
		case wildcard && strings.HasSuffix(r.Host, "."+name):
			host = len(name)
		case !wildcard && c.Host == r.Host:
			host = 1000
		default:
			continue
		}
		kind, length := 0, 0
		switch prefix := strings.TrimSuffix(c.Prefix, "/"); {
		case c.Path != "":
			if c.Path != r.Path {
				continue
			}
			kind = 3
		case c.Regexp != "":
			if !regexp.MustCompile("^(?:" + c.Regexp + ")$").MatchString(r.Path) {
				continue
			}
			kind = 2
		case c.Prefix != "":
			if r.Path != prefix && !strings.HasPrefix(r.Path, prefix+"/") {
				continue
			}
			kind, length = 1, len(prefix)
		}
		if len(c.Methods) > 0 && !slices.Contains(c.Methods, r.Method) || len(c.Classes) > 0 && !slices.Contains(c.Classes, r.Class) {
			continue
		}
		if slices.ContainsFunc(c.Headers, func(h Header) bool {
			values := r.Header[h.Name]
			return len(values) == 0 || !h.Present && !slices.Contains(values, h.Value)
		}) {
			continue
		}
		key := []int{host, kind, length, min(1, len(c.Methods)), len(c.Headers), min(1, len(c.Classes)), -i}
		if best < 0 || slices.Compare(key, bestKey) > 0 {
			best, bestKey = i, key
		}
	}
	return best
}

// A table selects the same route as matchNaively, for random routes and requests.
func TestMatchEqualsNaiveMatch(t *testing.T) {
	hosts := []string{"", "a", "b.a", "c.b.a", "*.a", "*.b.a", "z"}
	paths := []string{"/", "/x", "/x/", "/x/y", "/x/y/", "/x/y/z", "/xy"}
	oneOf := func(values []string) *rapid.Generator[string] { return rapid.SampledFrom(values) }
	rapid.Check(t, func(t *rapid.T) {
		routes := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Route {
			r := Route{Host: oneOf(hosts).Draw(t, "host"), To: to("p")}
			switch p := oneOf(paths).Draw(t, "path"); rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				r.Path = p
			case 1:
				r.Prefix = p
			case 2:
				r.Regexp = oneOf([]string{"/x.*", ".*y", "/x/y|/xy"}).Draw(t, "regexp")
			}
			if rapid.Bool().Draw(t, "method") {
				r.Methods = []string{"POST"}
			}
			for _, h := range []Header{{"A", "1", false}, {"B", "", true}} {
				if rapid.IntRange(0, 2).Draw(t, "header") == 0 {
					r.Headers = append(r.Headers, h)
				}
			}
			if rapid.IntRange(0, 3).Draw(t, "class") == 0 {
				r.Classes = []string{"k", "l"}
			}
			return r
		}), 0, 30).Draw(t, "routes")
		table, faults := Compile(routes, "")
		if faults != nil {
			t.Fatal(faults)
		}
		for range 20 {
			r := &Request{
				Host:   oneOf([]string{"", "a", "b.a", "c.b.a", "d.c.b.a", "z", "y.z"}).Draw(t, "host"),
				Path:   oneOf(append(paths, "/q", "/x/y/z/w")).Draw(t, "path"),
				Method: oneOf([]string{"GET", "POST"}).Draw(t, "method"),
				Class:  oneOf([]string{"", "k", "m"}).Draw(t, "class"),
				Header: map[string][]string{},
			}
			for _, h := range []string{"A", "B"} {
				if rapid.Bool().Draw(t, h) {
					r.Header[h] = []string{oneOf([]string{"1", "2"}).Draw(t, "value")}
				}
			}
			got, ok := table.Match(r)
			want := matchNaively(routes, r)
			if ok != (want >= 0) || ok && got.Route != want {
				t.Fatalf("%+v matches route %d (%v), want %d", r, got.Route, ok, want)
			}
		}
	})
}

// BenchmarkMatch measures Match with different numbers of routes, on which its cost should not depend.
func BenchmarkMatch(b *testing.B) {
	for _, n := range []int{10, 1000, 100000} {
		var routes []Route
		for i := range n {
			r := Route{Host: fmt.Sprintf("h%d.example.org", i), To: to("p")}
			switch i % 4 {
			case 1:
				r.Host = fmt.Sprintf("*.h%d.example.org", i)
			case 2:
				r.Prefix = fmt.Sprintf("/a/b%d", i)
			case 3:
				r.Path = fmt.Sprintf("/a/b/c%d", i)
			}
			routes = append(routes, r)
		}
		table, faults := Compile(routes, "rest")
		if faults != nil {
			b.Fatal(faults)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				k := i * 7919 % n
				host := routes[k].Host
				if host[0] == '*' {
					host = "x.y" + host[1:]
				}
				h, _ := NormaliseHost(host)
				p, _ := NormalisePath("/a/b/c/d/e")
				r := Request{Host: h, Path: p, Method: "GET"}
				table.Match(&r)
			}
		})
	}
}
