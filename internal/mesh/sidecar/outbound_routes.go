package sidecar

import (
	"math/rand/v2"
	"net/http"
	"strings"

	front "cranegrade/internal/front/http1"
	"cranegrade/internal/mesh/routing"
	"cranegrade/internal/pool"
)

// routeResolver selects the pool for a caller's request. It implements front.Routes.
type routeResolver struct {
	configuration *configuration
	pools         *servicePools
	readiness     *readiness
}

// Route implements front.Routes: it returns the pool of the request's service and, as its class, the name of its route.
func (r *routeResolver) Route(request *http.Request) (*pool.Pool, string, *front.Rejection) {
	route := matchRoute(r.configuration.routing.Load(), request)
	if !r.readiness.configured.Load() {
		return nil, "", reject(request, http.StatusServiceUnavailable, "no confirmed configuration yet")
	}
	if route == nil {
		return nil, "", reject(request, http.StatusNotFound, "no route")
	}
	service := r.pools.get(route.PickService(rand.Float64()))
	if service == nil {
		return nil, "", reject(request, http.StatusServiceUnavailable, "the route's service is not known yet")
	}
	return service.pool, route.Name, nil
}

// matchRoute returns the route of a request, or nil if there is none.
func matchRoute(table *routing.Table, request *http.Request) *routing.Route {
	path, _, _ := strings.Cut(request.RequestURI, "?")
	return table.Match(request.Host, path)
}

// reject returns the rejection of a request whose body has not been read. The caller may retry after a 503.
func reject(request *http.Request, status int, text string) *front.Rejection {
	return &front.Rejection{
		Status:         status,
		Text:           text,
		MayRetry:       status == http.StatusServiceUnavailable,
		KeepConnection: hasNoBody(request),
	}
}
