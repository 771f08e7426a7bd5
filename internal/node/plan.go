package node

import (
	"math/rand/v2"
	"net/http"
	"strings"

	"cranegrade/internal/admin"
	"cranegrade/internal/engine"
	front "cranegrade/internal/front/http1"
	"cranegrade/internal/operator"
	"cranegrade/internal/pool"
	"cranegrade/internal/route"
	"cranegrade/internal/source/registry"
	"cranegrade/internal/source/static"
)

// plan is the platform's configuration as a plan: one pool that may have everything.
func (c Config) plan() operator.Plan {
	known := c.Known.News()
	known.Cached = true
	return operator.Plan{
		Name: c.Name, Listen: []string{c.Listen}, Cores: c.Cores, MemoryMB: c.MemoryMB,
		Operator: c.Operator, State: c.State,
		Totals: operator.TotalsFor(c.Sockets, c.MemoryMB, operatorsDescriptors(c.Operator)),
		Pools: []operator.Pool{{
			Settings: c.Settings, Conns: c.Conns, Seed: c.Seed, Known: known,
			Pushed: !c.Settings.AskDiscovery, List: operator.List{Registry: c.Discovery},
		}},
	}
}

// operatorsDescriptors are set aside for operators' calls and a successor.
func operatorsDescriptors(addr string) int {
	if addr == "" {
		return 0
	}
	return admin.MaxConnections + 8
}

// source opens where a pool's list comes from.
func (n *Node) source(l operator.List, x XDSClient) engine.Source {
	switch {
	case l.Registry != "":
		return registry.New(l.Registry)
	case l.XDS != "":
		return x.Source(l.XDS, l.Levels)
	}
	return static.Source(l.Static)
}

// seed is the pool's own, or one drawn now.
func seed(p operator.Pool) uint64 {
	if p.Seed != 0 {
		return p.Seed
	}
	return rand.Uint64()
}

// firstSegment is the class of a request by the protocol's page.
func firstSegment(path string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return name
}

// route names the pool and class of a request by the operator's routes.
func (s *servingSet) route(hr *http.Request) (*pool.Pool, string, *front.Refusal) {
	id := ""
	if ids := hr.Header["X-Correlation-Id"]; len(ids) > 0 {
		id = ids[0]
	}
	p, class, refusal := s.find(hr.Method, hr.Host, hr.URL.EscapedPath(), hr.Header, id)
	if refusal != nil {
		return nil, "", &front.Refusal{Status: refusal.Status, Text: refusal.Text}
	}
	return p, class, nil
}

// NoRoute says why a request has no pool.
type NoRoute struct {
	Status int // of HTTP
	Text   string
}

// find is route for any protocol. path is as the caller wrote it, without the query; header is by
// canonical name.
func (s *servingSet) find(method, authority, path string, header map[string][]string, id string) (*pool.Pool, string, *NoRoute) {
	r := route.Request{Method: method, Header: header, ID: id}
	var err error
	if r.Host, err = route.Host(authority); err == nil {
		r.Path, err = route.Path(path)
	}
	if err != nil {
		return nil, "", &NoRoute{http.StatusBadRequest, err.Error()}
	}
	r.Class = firstSegment(r.Path)
	if s.routes == nil {
		return s.onlyPool, r.Class, nil
	}
	to, found := s.routes.Match(&r)
	if !found {
		return nil, "", &NoRoute{http.StatusNotFound, "no route for this host and path"}
	}
	class := r.Class
	if to.Class != "" {
		class = to.Class
	}
	return s.pools[to.Pool], class, nil
}

// Find names the pool and class of a request, for fronts of any protocol.
func (n *Node) Find(method, authority, path string, header map[string][]string, id string) (*pool.Pool, string, *NoRoute) {
	return n.serving.Load().find(method, authority, path, header, id)
}

// Serves says whether the pool of that name is served, "" for all, and whether there is one.
func (n *Node) Serves(name string) (serving, known bool) {
	s := n.serving.Load()
	known = name == "" || s.pools[name] != nil
	return known && !n.stopping.Load(), known
}
