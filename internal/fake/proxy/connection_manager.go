package proxy

import (
	"context"
	"net/http"
	"slices"
	"strings"

	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
)

// callerAddr is the address that the proxy takes all callers to have. It is one of the range for documentation.
const callerAddr = "203.0.113.7"

// connectionManager is an HTTP connection manager: it sanitizes headers, chooses a route, and runs its filters and the router.
type connectionManager struct {
	proxy               *Proxy
	internal            bool // it belongs to an internal listener
	useRemoteAddress    bool
	preserveRequestID   bool // preserve_external_request_id
	generateRequestID   bool
	internalOnlyHeaders []string
	virtualHosts        []*routev3.VirtualHost
	filters             []*processorFilter // in their order, without the router
}

// externalRequestHeaders are removed from external requests (ConnectionManagerUtility::mutateRequestHeaders, as the documentation of
// "HTTP header sanitizing" lists them).
var externalRequestHeaders = []string{
	"x-envoy-retriable-status-codes", "x-envoy-retriable-header-names", "x-envoy-retry-on", "x-envoy-retry-grpc-on",
	"x-envoy-max-retries", "x-envoy-upstream-alt-stat-name", "x-envoy-upstream-rq-timeout-ms", "x-envoy-upstream-rq-per-try-timeout-ms",
	"x-envoy-upstream-rq-timeout-alt-response", "x-envoy-expected-rq-timeout-ms", "x-envoy-force-trace", "x-envoy-ip-tags",
	"x-envoy-original-url", "x-envoy-hedge-on-per-try-timeout",
}

// sanitize does what a connection manager does before any filter runs.
func (m *connectionManager) sanitize(r *request) {
	// All callers are external. At an internal listener they still are, because the address that they are known by there is what the
	// outer listener appended.
	isExternal := m.useRemoteAddress || m.internal
	if m.useRemoteAddress {
		forwardedFor := append(r.headers["x-forwarded-for"], callerAddr)
		r.headers.set("x-forwarded-for", strings.Join(forwardedFor, ","))
	}
	if isExternal {
		r.headers.remove(externalRequestHeaders...)
		r.headers.remove(m.internalOnlyHeaders...)
	}
	if m.generateRequestID && (r.headers.get("x-request-id") == "" || m.useRemoteAddress && !m.preserveRequestID) {
		r.headers.set("x-request-id", r.exchange.ID) // unique, as no two exchanges share an id
	}
}

// chooseRoute finds the first route of a matching virtual host that matches; nil if there is none.
func (m *connectionManager) chooseRoute(r *request) (*routev3.VirtualHost, *routev3.Route) {
	for _, vh := range m.virtualHosts {
		if !slices.Contains(vh.GetDomains(), "*") && !slices.Contains(vh.GetDomains(), r.headers.get(":authority")) {
			continue
		}
		for _, route := range vh.GetRoutes() {
			if routeMatches(route.GetMatch(), r.headers) {
				return vh, route
			}
		}
	}
	return nil, nil
}

func routeMatches(match *routev3.RouteMatch, h headers) bool {
	path, _, _ := strings.Cut(h.get(":path"), "?")
	if prefix := match.GetPrefix(); prefix != "" {
		if !strings.HasPrefix(path, prefix) {
			return false
		}
	} else if match.GetPath() != path {
		return false
	}
	for _, header := range match.GetHeaders() {
		if h.get(strings.ToLower(header.GetName())) == "" {
			return false
		}
	}
	return true
}

// serve carries a request through the layers: its headers are sanitized, a route is chosen, the filters run, the router sends it; then
// the filters see the response in reverse order.
func (m *connectionManager) serve(ctx context.Context, r *request) *response {
	m.sanitize(r)
	vh, route := m.chooseRoute(r)
	var resp *response
	passed := 0
	for _, f := range m.filters {
		passed++
		clearRoute, reply := f.handleRequest(ctx, r)
		if resp = reply; resp != nil {
			break
		}
		if clearRoute {
			vh, route = m.chooseRoute(r)
		}
	}
	defer func() {
		for _, f := range m.filters {
			f.closeStream(r)
		}
	}()
	switch {
	case resp != nil:
	case route == nil:
		resp = localReply(http.StatusNotFound, detailsRouteNotFound)
	default:
		resp = m.proxy.routeRequest(ctx, vh, route, r)
	}
	for _, f := range slices.Backward(m.filters[:passed]) {
		f.handleResponse(ctx, r, resp)
	}
	return resp
}
