package node

import (
	"net/http"
	"strings"

	front "cranegrade/internal/front/http1"
	"cranegrade/internal/pool"
	"cranegrade/internal/route"
)

// NoRoute says why a request has no pool.
type NoRoute struct {
	Status int // HTTP status code
	Text   string
}

// Find returns the pool and the class of a request, for fronts of any protocol. path is as the caller wrote it, without
// the query; header is keyed by canonical name; id is the request's id, by which split routes choose. If
// noRoute is not nil, there is no pool.
func (n *Node) Find(
	method, authority, path string, header map[string][]string, id string,
) (p *pool.Pool, class string, noRoute *NoRoute) {
	return n.serving.Load().find(method, authority, path, header, id)
}

// Serves reports whether the pool of that name is served, and whether there is one. The name "" stands for the node as a
// whole.
func (n *Node) Serves(name string) (serving, known bool) {
	s := n.serving.Load()
	known = name == "" || s.pools[name] != nil
	return known && !n.stopping.Load(), known
}

// callerRoutes is the node as its HTTP fronts see it (front.Routes).
type callerRoutes struct{ n *Node }

// Route implements front.Routes.
func (r callerRoutes) Route(hr *http.Request) (*pool.Pool, string, *front.Rejection) {
	s := r.n.serving.Load()
	if s.routes == nil {
		return s.onlyPool, firstSegment(hr.URL.Path), nil
	}
	return s.route(hr)
}

// headerRequestID is the header with a request's id, by canonical name.
const headerRequestID = "X-Correlation-Id"

// route is find for an HTTP request.
func (s *servingSet) route(hr *http.Request) (*pool.Pool, string, *front.Rejection) {
	id := ""
	if ids := hr.Header[headerRequestID]; len(ids) > 0 {
		id = ids[0]
	}
	p, class, noRoute := s.find(hr.Method, hr.Host, hr.URL.EscapedPath(), hr.Header, id)
	if noRoute != nil {
		return nil, "", &front.Rejection{Status: noRoute.Status, Text: noRoute.Text}
	}
	return p, class, nil
}

// find implements Node.Find.
func (s *servingSet) find(
	method, authority, path string, header map[string][]string, id string,
) (p *pool.Pool, class string, noRoute *NoRoute) {
	r := route.Request{Method: method, Header: header, ID: id}
	var err error
	if r.Host, err = route.NormaliseHost(authority); err == nil {
		r.Path, err = route.NormalisePath(path)
	}
	if err != nil {
		return nil, "", &NoRoute{Status: http.StatusBadRequest, Text: err.Error()}
	}
	r.Class = firstSegment(r.Path)
	if s.routes == nil {
		return s.onlyPool, r.Class, nil
	}
	target, found := s.routes.Match(&r)
	if !found {
		return nil, "", &NoRoute{Status: http.StatusNotFound, Text: "no route for this host and path"}
	}
	class = r.Class
	if target.Class != "" {
		class = target.Class
	}
	return s.pools[target.Pool], class, nil
}

// firstSegment returns the first segment of a path, which names the class of a request unless a route names another.
func firstSegment(path string) string {
	segment, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return segment
}
