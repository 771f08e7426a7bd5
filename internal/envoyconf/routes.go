package envoyconf

import (
	"fmt"
	"slices"
	"strings"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"

	"cranegrade/internal/extproc/stream"
)

// retriableHeaders is the condition of a retry policy by which response headers allow a retry.
const retriableHeaders = "retriable-headers"

// checkVirtualHost checks the routes behind a connection manager that asks the processor.
func (c *checker) checkVirtualHost(path string, internal bool, virtualHost *routev3.VirtualHost, processor *extprocv3.ExternalProcessor) {
	c.checkUnaskedRetries(path+".retry_policy", virtualHost.GetRetryPolicy(), nil)
	if virtualHost.GetHedgePolicy() != nil {
		c.addHedging(path + ".hedge_policy")
	}
	retriesFallbacks := false
	for i, route := range virtualHost.GetRoutes() {
		c.checkRoute(fmt.Sprintf("%s.routes[%d]", path, i), route, processor)
		policy, _ := overrideHostPolicy(c.clusters[route.GetRoute().GetCluster()])
		retriesFallbacks = retriesFallbacks || route.GetRoute().GetRetryPolicy().GetRetryOn() != "" && policy != nil
	}
	if retriesFallbacks && !virtualHost.GetIncludeAttemptCountInResponse() {
		c.add(Finding{
			Path:    path + ".include_attempt_count_in_response",
			Problem: "the processor does not learn that a fallback was tried, so it takes the ending of the last attempt for that of all",
			Remedy:  "set include_attempt_count_in_response: true",
		})
	}
	if c.settings.Retries && !internal {
		c.add(Finding{
			Path:    path,
			Problem: "the processor's file has retries = true, but this filter is asked once for all attempts: a request that may be retried waits for nothing",
			Remedy:  "ask behind an internal listener (proxy-config -mode every-try), or turn retries off in the processor's file",
		})
	}
}

// checkRoute checks a route that is taken after the processor has been asked.
func (c *checker) checkRoute(path string, route *routev3.Route, processor *extprocv3.ExternalProcessor) {
	for i, header := range route.GetMatch().GetHeaders() {
		if strings.EqualFold(header.GetName(), stream.DestinationHeader) {
			c.add(Finding{
				Path:    fmt.Sprintf("%s.match.headers[%d]", path, i),
				Problem: "the route is matched by the header that the processor sets, before the processor has been asked",
				Remedy:  "have the processor clear the route cache (clear_route_cache = true), or match on something else",
			})
		}
	}
	action := route.GetRoute()
	if action == nil {
		return
	}
	cluster := c.clusters[action.GetCluster()]
	c.checkUnaskedRetries(path+".route.retry_policy", action.GetRetryPolicy(), cluster)
	if action.GetHedgePolicy() != nil {
		c.addHedging(path + ".route.hedge_policy")
	}
	if len(action.GetRequestMirrorPolicies()) > 0 {
		c.add(Finding{
			Path:    path + ".route.request_mirror_policies",
			Problem: "a copy of each request is sent without a decision, also of those that are not idempotent",
			Remedy:  "mirror only idempotent requests, on a route of their own",
		})
	}
	if cluster == nil {
		c.add(Finding{
			Path:    path + ".route",
			Problem: "its cluster is not in this file, so it can't be checked that the decision has effect",
			Remedy:  "name one that is, or check what the proxy is sent",
		})
		return
	}
	c.checkDestination(cluster, processor)
}

// checkRoutesToInternal checks a connection manager whose routes lead to an internal listener that asks for each
// attempt. What this one accepts from clients reaches the processor behind it.
func (c *checker) checkRoutesToInternal(m connectionManager) {
	leadsThere := false
	for i, virtualHost := range m.config.GetRouteConfig().GetVirtualHosts() {
		path := fmt.Sprintf("%s.route_config.virtual_hosts[%d]", m.path, i)
		for j, route := range virtualHost.GetRoutes() {
			listener := internalListener(c.clusters[route.GetRoute().GetCluster()])
			if !c.askingInternal[listener] {
				continue
			}
			leadsThere, c.reachedInternal[listener] = true, true
			c.checkAskedRetries(fmt.Sprintf("%s.routes[%d]", path, j), path, virtualHost, route)
		}
		if leadsThere && !virtualHost.GetIncludeRequestAttemptCount() {
			c.add(Finding{
				Path:    path + ".include_request_attempt_count",
				Problem: "the processor does not learn which attempt it is asked for, and a client's own count reaches it",
				Remedy:  "set include_request_attempt_count: true",
			})
		}
	}
	if leadsThere {
		c.checkEdge(m)
	}
}

// checkAskedRetries checks a route for each of whose attempts the processor is asked.
func (c *checker) checkAskedRetries(path, hostPath string, virtualHost *routev3.VirtualHost, route *routev3.Route) {
	policy, policyPath := route.GetRoute().GetRetryPolicy(), path+".route.retry_policy"
	if policy == nil {
		policy, policyPath = virtualHost.GetRetryPolicy(), hostPath+".retry_policy"
	}
	conditions := strings.FieldsFunc(policy.GetRetryOn(), func(r rune) bool { return r == ',' || r == ' ' })
	switch {
	case !c.settings.Retries:
		if len(conditions) > 0 {
			c.add(Finding{
				Path:    policyPath,
				Problem: "the processor's file has no retries = true, so it takes each attempt for the last one",
				Remedy:  "set it, or remove the policy",
			})
		}
	case len(conditions) == 0:
		c.add(Finding{
			Path:    policyPath,
			Problem: "the processor's file has retries = true, but the proxy never retries: a request that may be retried waits for nothing",
			Remedy:  "retry on " + retriableHeaders,
		})
	default:
		c.checkRetryConditions(policyPath, conditions)
		c.checkRetryHeader(policyPath, hostPath, policy, virtualHost, route)
	}
	if policy.GetPerTryTimeout() != nil || policy.GetPerTryIdleTimeout() != nil {
		c.add(Finding{
			Path:    policyPath + ".per_try_timeout",
			Problem: "an attempt that it ends has no response for the processor, so there is no retry: the client gets 504 with time left",
			Remedy:  "remove it: the deadline of the processor's class holds",
		})
	}
	if virtualHost.GetHedgePolicy() != nil {
		c.addHedging(hostPath + ".hedge_policy")
	}
	if route.GetRoute().GetHedgePolicy() != nil {
		c.addHedging(path + ".route.hedge_policy")
	}
}

// checkRetryConditions checks that the proxy retries only where the processor allows it.
func (c *checker) checkRetryConditions(policyPath string, conditions []string) {
	for _, condition := range conditions {
		if condition != retriableHeaders {
			c.add(Finding{
				Path:    policyPath + ".retry_on",
				Problem: fmt.Sprintf("%q has the proxy retry on its own, also a request that the processor has given up", condition),
				Remedy:  "retry on " + retriableHeaders + " alone: the processor says in the response whether a retry is allowed",
			})
		}
	}
}

// checkRetryHeader checks that the processor's retry header has effect and does not reach clients.
func (c *checker) checkRetryHeader(
	policyPath, hostPath string, policy *routev3.RetryPolicy, virtualHost *routev3.VirtualHost, route *routev3.Route,
) {
	isRetryHeader := func(name string) bool { return strings.EqualFold(name, c.settings.RetryHeader) }
	named := false
	for _, header := range policy.GetRetriableHeaders() {
		named = named || isRetryHeader(header.GetName())
	}
	if !named {
		c.add(Finding{
			Path:    policyPath + ".retriable_headers",
			Problem: "none of them is the header by which the processor allows a retry",
			Remedy:  "name " + c.settings.RetryHeader,
		})
		return
	}
	removed := slices.ContainsFunc(virtualHost.GetResponseHeadersToRemove(), isRetryHeader) ||
		slices.ContainsFunc(route.GetResponseHeadersToRemove(), isRetryHeader)
	if !removed {
		c.add(Finding{
			Path:    hostPath + ".response_headers_to_remove",
			Problem: "clients get the header that is meant for this proxy, and may be proxies that act on it",
			Remedy:  "name " + c.settings.RetryHeader,
		})
	}
}

// checkUnaskedRetries checks a retry policy behind a filter that is asked once for all attempts. The host of each retry
// must then come from the processor's list. cluster is nil if it is not known.
func (c *checker) checkUnaskedRetries(path string, policy *routev3.RetryPolicy, cluster *clusterv3.Cluster) {
	if policy == nil || policy.GetRetryOn() == "" {
		return
	}
	overrideHost, _ := overrideHostPolicy(cluster)
	if overrideHost == nil {
		c.add(Finding{
			Path:    path,
			Problem: "the proxy retries without asking, also what must not run twice, and in addition to the attempts that the processor counts",
			Remedy:  "remove it; or use the processor's list (proxy-config -mode fallbacks), or be asked for each attempt (-mode every-try)",
		})
		return
	}
	if !hasNoFallbackHost(overrideHost) {
		c.add(Finding{
			Path:    path,
			Problem: "after the processor's list the fallback policy picks a host without a decision",
			Remedy:  "make the fallback policy one that finds none: envoy.load_balancing_policies.subset with NO_FALLBACK",
		})
	}
	if retries := policy.GetNumRetries().GetValue(); retries > uint32(c.settings.MaxFallbacks) {
		c.add(Finding{
			Path:    path + ".num_retries",
			Problem: fmt.Sprintf("%d retries, but the processor names %d fallbacks", retries, c.settings.MaxFallbacks),
			Remedy:  "make it no more than the pool's fallbacks",
		})
	}
}

func (c *checker) addHedging(path string) {
	c.add(Finding{
		Path:    path,
		Problem: "two attempts run at once, also of requests that are not idempotent",
		Remedy:  "remove it: the processor decides on hedged requests",
	})
}
