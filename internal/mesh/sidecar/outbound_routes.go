package sidecar

import (
	"math/rand/v2"
	"net/http"
	"strings"

	front "cranegrade/internal/front/http1"
	"cranegrade/internal/mesh/routing"
	"cranegrade/internal/pool"
)

// routeResolver finds the pool of a caller's request. It implements front.Routes.
type routeResolver struct {
	configuration *configuration
	pools         *servicePools
	readiness     *readiness
}

// Route implements front.Routes: the class of a request is the name of its route.
func (r *routeResolver) Route(hr *http.Request) (*pool.Pool, string, *front.Rejection) {
	route := matchRoute(r.configuration.routing.Load(), hr)
	if !r.readiness.configured.Load() {
		return nil, "", reject(hr, http.StatusServiceUnavailable, "no confirmed configuration yet")
	}
	if route == nil {
		return nil, "", reject(hr, http.StatusNotFound, "no route")
	}
	s := r.pools.get(route.PickService(rand.Float64()))
	if s == nil {
		return nil, "", reject(hr, http.StatusServiceUnavailable, "the route's service is not known yet")
	}
	return s.pool, route.Name, nil
}

// matchRoute returns the route of a request; nil: there is none.
func matchRoute(table *routing.Table, hr *http.Request) *routing.Route {
	path, _, _ := strings.Cut(hr.RequestURI, "?")
	return table.Match(hr.Host, path)
}

// reject rejects a request before its body is read. A 503 says when to retry.
func reject(hr *http.Request, status int, text string) *front.Rejection {
	return &front.Rejection{
		Status:         status,
		Text:           text,
		MayRetry:       status == http.StatusServiceUnavailable,
		KeepConnection: hasNoBody(hr),
	}
}
