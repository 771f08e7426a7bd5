// Package envoyconf reads the configuration of a proxy (Envoy's bootstrap, as YAML or JSON) and tells what in
// it would leave the external processor's decisions unheeded, or break one of the four rules.
//
// It goes by the published messages (envoy.config.bootstrap.v3 and what that holds) and the order of things
// that their comments give: the HTTP connection manager runs its filters, the router chooses the cluster and
// then the host, and only then the upstream filters run. It is pure: text in, findings out.
package envoyconf

import (
	"fmt"
	"slices"
	"strings"
	"time"

	bootstrapv3 "github.com/envoyproxy/go-control-plane/envoy/config/bootstrap/v3"
	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	routerv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/router/v3"
	hcmv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
	overridev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/load_balancing_policies/override_host/v3"
	subsetv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/load_balancing_policies/subset/v3"
	httpv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/upstreams/http/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"cranegrade/internal/extproc/stream"
)

// What the processor answers with, by the endpoint picker's conventions.
const (
	Header    = stream.DestinationHeader
	Namespace = stream.MetadataNamespace
)

// Facts are what the processor's own file says.
type Facts struct {
	DecideWithin time.Duration // how long it may take for a word
	Retries      bool          // it expects to be asked for every try
	Spares       int           // it names so many servers beside the chosen one at the most
	RetryHeader  string        // set in its answers to a try if there may be another; "": it says nothing
}

// Finding is something wrong.
type Finding struct {
	Path    string // to the field, as in static_resources.clusters[1].lb_policy
	Problem string // and what follows from it
	Mend    string
}

func (f Finding) String() string {
	return fmt.Sprintf("%s: %s; %s", f.Path, f.Problem, f.Mend)
}

// defaultMessageTimeout is that of ExternalProcessor.message_timeout.
const defaultMessageTimeout = 200 * time.Millisecond

// Check reads a configuration and tells what is wrong with it, in the order of the file. An error says that it
// is none, and where.
func Check(text []byte, facts Facts) ([]Finding, error) {
	b, err := Parse(text)
	if err != nil {
		return nil, err
	}
	c := &checker{facts: facts, clusters: map[string]*clusterv3.Cluster{}, paths: map[string]string{}, inner: map[string]bool{}}
	for i, cl := range b.GetStaticResources().GetClusters() {
		c.clusters[cl.GetName()], c.paths[cl.GetName()] = cl, fmt.Sprintf("static_resources.clusters[%d]", i)
	}
	c.bootstrap(b)
	return c.found, nil
}

type checker struct {
	facts    Facts
	clusters map[string]*clusterv3.Cluster
	paths    map[string]string
	found    []Finding
	asking   int // filters that ask, at the right place
	lost     bool

	inner map[string]bool // internal listeners whose connection manager asks
}

func (c *checker) add(path, problem, mend string) {
	c.found = append(c.found, Finding{path, problem, mend})
}

// as unpacks an Any of that type; false if it is another.
func as(a *anypb.Any, to proto.Message) bool {
	return a.MessageIs(to) && a.UnmarshalTo(to) == nil
}

// managers calls f for each connection manager of a bootstrap.
func managers(b *bootstrapv3.Bootstrap, f func(path string, l *listenerv3.Listener, m *hcmv3.HttpConnectionManager)) {
	for i, l := range b.GetStaticResources().GetListeners() {
		path := fmt.Sprintf("static_resources.listeners[%d]", i)
		for j, chain := range l.GetFilterChains() {
			for k, one := range chain.GetFilters() {
				m := &hcmv3.HttpConnectionManager{}
				if as(one.GetTypedConfig(), m) {
					f(fmt.Sprintf("%s.filter_chains[%d].filters[%d]", path, j, k), l, m)
				}
			}
		}
	}
}

// internalOf is the name of the internal listener that a cluster leads to; "": it leads elsewhere.
func internalOf(cl *clusterv3.Cluster) string {
	for _, e := range cl.GetLoadAssignment().GetEndpoints() {
		for _, le := range e.GetLbEndpoints() {
			if name := le.GetEndpoint().GetAddress().GetEnvoyInternalAddress().GetServerListenerName(); name != "" {
				return name
			}
		}
	}
	return ""
}

func (c *checker) bootstrap(b *bootstrapv3.Bootstrap) {
	managers(b, func(_ string, l *listenerv3.Listener, m *hcmv3.HttpConnectionManager) {
		for _, f := range m.GetHttpFilters() {
			if l.GetInternalListener() != nil && f.GetTypedConfig().MessageIs(&extprocv3.ExternalProcessor{}) {
				c.inner[l.GetName()] = true
			}
		}
	})
	led := map[string]bool{} // internal listeners that an outer route leads to
	managers(b, func(path string, l *listenerv3.Listener, m *hcmv3.HttpConnectionManager) {
		c.manager(path, l.GetInternalListener() != nil, m)
		if l.GetInternalListener() == nil {
			c.outer(path, m, led)
		}
	})
	managers(b, func(path string, l *listenerv3.Listener, m *hcmv3.HttpConnectionManager) {
		if c.inner[l.GetName()] && !led[l.GetName()] {
			c.add(path, "no route leads to this internal listener, so nobody is asked", "have the outer route's cluster name it as its envoy_internal_address")
		}
	})
	for _, cl := range b.GetStaticResources().GetClusters() {
		c.upstreamFilters(cl)
	}
	if c.asking == 0 && !c.lost {
		c.add("static_resources.listeners", "no HTTP connection manager has the filter envoy.filters.http.ext_proc, so nobody is asked",
			"put it before the router among http_filters")
	}
}

// upstreamFilters finds the processor where it answers too late: the host is chosen by then.
func (c *checker) upstreamFilters(cl *clusterv3.Cluster) {
	for name, a := range cl.GetTypedExtensionProtocolOptions() {
		o := &httpv3.HttpProtocolOptions{}
		if !as(a, o) {
			continue
		}
		for i, f := range o.GetHttpFilters() {
			if f.GetTypedConfig().MessageIs(&extprocv3.ExternalProcessor{}) {
				c.lost = true
				c.add(fmt.Sprintf("%s.typed_extension_protocol_options[%s].http_filters[%d]", c.paths[cl.GetName()], name, i),
					"the processor is an upstream filter: the router has chosen the host before these run, so its decision moves nothing and is booked all the same",
					"make it a filter of the HTTP connection manager; to be asked for every try, of one behind an internal listener")
			}
		}
	}
}

// outer checks a connection manager whose routes lead to one behind an internal listener, which asks for every
// try. What that one asks for is as good as what this one lets through.
func (c *checker) outer(path string, m *hcmv3.HttpConnectionManager, led map[string]bool) {
	leads := false
	for i, vh := range m.GetRouteConfig().GetVirtualHosts() {
		host := fmt.Sprintf("%s.route_config.virtual_hosts[%d]", path, i)
		for j, r := range vh.GetRoutes() {
			name := internalOf(c.clusters[r.GetRoute().GetCluster()])
			if !c.inner[name] {
				continue
			}
			leads, led[name] = true, true
			c.everyTry(fmt.Sprintf("%s.routes[%d]", host, j), host, vh, r)
		}
		if leads && !vh.GetIncludeRequestAttemptCount() {
			c.add(host+".include_request_attempt_count", "the processor is not told which try it is asked for, and a caller's own count reaches it",
				"set include_request_attempt_count: true")
		}
	}
	if leads {
		c.edge(path, m)
	}
}

// everyTry checks a route whose tries are each asked for.
func (c *checker) everyTry(path, host string, vh *routev3.VirtualHost, r *routev3.Route) {
	p, at := r.GetRoute().GetRetryPolicy(), path+".route.retry_policy"
	if p == nil {
		p, at = vh.GetRetryPolicy(), host+".retry_policy"
	}
	switch on := strings.FieldsFunc(p.GetRetryOn(), func(r rune) bool { return r == ',' || r == ' ' }); {
	case !c.facts.Retries:
		if len(on) > 0 {
			c.add(at, "the processor's file has no retries = true, so it takes each try for the last and answers for good", "set it, or take the policy out")
		}
	case len(on) == 0:
		c.add(at, "the processor's file has retries = true, and the proxy never tries again, so what may be tried waits for nothing", "retry on retriable-headers")
	default:
		for _, x := range on {
			if x != "retriable-headers" {
				c.add(at+".retry_on", fmt.Sprintf("%q has the proxy try again on its own, also what the processor has given up", x),
					"retry on retriable-headers alone: the processor says in its answers whether there is another try")
			}
		}
		named := false
		for _, h := range p.GetRetriableHeaders() {
			named = named || strings.EqualFold(h.GetName(), c.facts.RetryHeader)
		}
		if !named {
			c.add(at+".retriable_headers", "none of them is the header by which the processor allows another try", "name "+c.facts.RetryHeader)
		}
		off := func(l []string) bool {
			return slices.ContainsFunc(l, func(x string) bool { return strings.EqualFold(x, c.facts.RetryHeader) })
		}
		if named && !off(vh.GetResponseHeadersToRemove()) && !off(r.GetResponseHeadersToRemove()) {
			c.add(host+".response_headers_to_remove", "callers see the header that is between the proxy and the processor, and may be proxies that believe it", "name "+c.facts.RetryHeader)
		}
	}
	if p.GetPerTryTimeout() != nil || p.GetPerTryIdleTimeout() != nil {
		c.add(at+".per_try_timeout", "a try that it ends shows the processor no answer, so there is no other: the caller gets 504 with time left",
			"take it out: the processor's class has the deadline")
	}
	if vh.GetHedgePolicy() != nil {
		c.hedge(host + ".hedge_policy")
	}
	if r.GetRoute().GetHedgePolicy() != nil {
		c.hedge(path + ".route.hedge_policy")
	}
}

// edge checks what a connection manager lets through from callers.
func (c *checker) edge(path string, m *hcmv3.HttpConnectionManager) {
	if !m.GetUseRemoteAddress().GetValue() {
		c.add(path+".use_remote_address", "it is not set, so x-envoy-* headers of callers are believed: their retry policies, time-outs and attempt counts",
			"set use_remote_address: true where callers connect from outside")
	}
	if m.GetPreserveExternalRequestId() {
		c.add(path+".preserve_external_request_id", "a caller's x-request-id is kept, so he can name another's open request",
			"leave it out, or tell the processor another id_header that the proxy sets")
	}
	if m.GetGenerateRequestId() != nil && !m.GetGenerateRequestId().GetValue() {
		c.add(path+".generate_request_id", "requests have no id of the proxy's making, so tries cannot be matched", "leave it out: it is true by default")
	}
}

// manager checks a connection manager that asks.
func (c *checker) manager(path string, inner bool, m *hcmv3.HttpConnectionManager) {
	at, router := -1, -1
	filter := &extprocv3.ExternalProcessor{}
	for i, f := range m.GetHttpFilters() {
		one := &extprocv3.ExternalProcessor{}
		switch a := f.GetTypedConfig(); {
		case as(a, one):
			if at < 0 {
				at, filter = i, one
			}
		case router < 0 && a.MessageIs(&routerv3.Router{}):
			router = i
		}
	}
	if at < 0 {
		return
	}
	c.asking++
	here := fmt.Sprintf("%s.http_filters[%d]", path, at)
	if router >= 0 && at > router {
		c.add(here, "the processor comes after the router, which ends the chain, so it is never asked", "put it before the router")
	}
	c.filter(here, filter)
	if !inner {
		c.edge(path, m)
	}
	if m.GetRouteConfig() == nil {
		c.add(path+".route_config", "the routes are not in this file, so nothing is known of clusters and retries", "check the routes that the proxy is sent as well")
		return
	}
	for i, vh := range m.GetRouteConfig().GetVirtualHosts() {
		host := fmt.Sprintf("%s.route_config.virtual_hosts[%d]", path, i)
		c.retries(host+".retry_policy", vh.GetRetryPolicy(), nil)
		if vh.GetHedgePolicy() != nil {
			c.hedge(host + ".hedge_policy")
		}
		again := false
		for j, r := range vh.GetRoutes() {
			c.route(fmt.Sprintf("%s.routes[%d]", host, j), r, filter)
			o, _ := override(c.clusters[r.GetRoute().GetCluster()])
			again = again || r.GetRoute().GetRetryPolicy().GetRetryOn() != "" && o != nil
		}
		if again && !vh.GetIncludeAttemptCountInResponse() {
			c.add(host+".include_attempt_count_in_response", "the processor is not told that a fallback was tried, so it takes the last try's word for all of them",
				"set include_attempt_count_in_response: true")
		}
		if c.facts.Retries && !inner {
			c.add(host, "the processor's file has retries = true, and this filter is asked once for all tries: what may be tried again waits for nothing",
				"ask behind an internal listener (proxy-config -mode every-try), or turn retries off in the processor's file")
		}
	}
}

// filter checks the processor's own settings.
func (c *checker) filter(path string, f *extprocv3.ExternalProcessor) {
	if f.GetFailureModeAllow() {
		c.add(path+".failure_mode_allow", "when the processor does not answer, requests go on undecided: to servers that drain, are cold or ill",
			"leave it false")
	}
	if f.GetObservabilityMode() {
		c.add(path+".observability_mode", "the proxy does not wait for answers, so none is heeded", "leave it false")
	}
	within := defaultMessageTimeout
	if f.GetMessageTimeout() != nil {
		within = f.GetMessageTimeout().AsDuration()
	}
	if within <= c.facts.DecideWithin {
		c.add(path+".message_timeout", fmt.Sprintf("%v is no longer than the processor's decide_within of %v, so words come late and count for nothing", within, c.facts.DecideWithin),
			"make it longer, or decide_within shorter")
	}
	if f.GetDisableImmediateResponse() {
		c.add(path+".disable_immediate_response", "the processor can refuse nothing: its final answers end as errors of the stream", "leave it false")
	}
	p := f.GetProcessingMode()
	if p.GetRequestHeaderMode() == extprocv3.ProcessingMode_SKIP {
		c.add(path+".processing_mode.request_header_mode", "requests are not asked for", "make it SEND")
	}
	if p.GetResponseHeaderMode() == extprocv3.ProcessingMode_SKIP {
		c.add(path+".processing_mode.response_header_mode", "the processor never hears what became of a request, so its slot stays taken until the stream ends and nothing is learned",
			"make it SEND")
	}
	switch p.GetRequestBodyMode() {
	case extprocv3.ProcessingMode_BUFFERED, extprocv3.ProcessingMode_BUFFERED_PARTIAL:
		c.add(path+".processing_mode.request_body_mode", "the request is sent only when its body is in, so after a slow body more than 250 ms may have passed since a drain",
			"make it NONE: the decision needs no body")
	}
	if rules := f.GetMutationRules(); rules != nil && rules.GetDisallowAll().GetValue() {
		c.add(path+".mutation_rules.disallow_all", "the processor may set no header, so its decision is dropped", "leave it out")
	}
}

// lets says that dynamic metadata of the namespace is let in.
func lets(f *extprocv3.ExternalProcessor, namespace string) bool {
	return slices.Contains(f.GetMetadataOptions().GetReceivingNamespaces().GetUntyped(), namespace)
}

// route checks where requests go once they have been asked for.
func (c *checker) route(path string, r *routev3.Route, f *extprocv3.ExternalProcessor) {
	for i, h := range r.GetMatch().GetHeaders() {
		if strings.EqualFold(h.GetName(), Header) {
			c.add(fmt.Sprintf("%s.match.headers[%d]", path, i), "the route is chosen by the header that the processor sets, before it has been asked",
				"have the processor clear the route cache (clear_route_cache = true), or match on something else")
		}
	}
	a := r.GetRoute()
	if a == nil {
		return
	}
	c.retries(path+".route.retry_policy", a.GetRetryPolicy(), c.clusters[a.GetCluster()])
	if a.GetHedgePolicy() != nil {
		c.hedge(path + ".route.hedge_policy")
	}
	if len(a.GetRequestMirrorPolicies()) > 0 {
		c.add(path+".route.request_mirror_policies", "a second copy of each request runs on servers that nobody decided, unsafe ones too", "mirror reads only, on a route of their own")
	}
	cl := c.clusters[a.GetCluster()]
	if cl == nil {
		c.add(path+".route", "its cluster is not in this file, so it is not known whether the decision is heeded", "name one that is, or check what the proxy is sent")
		return
	}
	c.heeds(cl, f)
}

// heeds checks that a cluster sends to where the processor says.
func (c *checker) heeds(cl *clusterv3.Cluster, f *extprocv3.ExternalProcessor) {
	path := c.paths[cl.GetName()]
	const mend = "use type ORIGINAL_DST with original_dst_lb_config.use_http_header, or the load-balancing policy override_host"
	if o := cl.GetOriginalDstLbConfig(); cl.GetType() == clusterv3.Cluster_ORIGINAL_DST {
		if c.facts.Spares > 0 {
			c.add(path+".type", "the processor's file has fallbacks, so it names a list of servers, which is no address: such requests go nowhere",
				"take fallbacks out of the pools, or use the load-balancing policy override_host")
		}
		switch key := o.GetMetadataKey(); {
		case key != nil:
			c.metadata(path+".original_dst_lb_config.metadata_key", key.GetKey(), f)
		case !o.GetUseHttpHeader():
			c.add(path+".original_dst_lb_config.use_http_header", "requests go to the address that the caller connected to", "set it, and http_header_name: "+Header)
		case !strings.EqualFold(o.GetHttpHeaderName(), Header):
			c.add(path+".original_dst_lb_config.http_header_name", fmt.Sprintf("%q is not the header that the processor sets", o.GetHttpHeaderName()), "make it "+Header)
		}
		return
	}
	o, i := override(cl)
	if o == nil {
		c.add(path, "its own balancer chooses the host, whatever the processor says", mend)
		return
	}
	at := fmt.Sprintf("%s.load_balancing_policy.policies[%d]", path, i)
	ok := false
	for j, s := range o.GetOverrideHostSources() {
		ok = ok || strings.EqualFold(s.GetHeader(), Header) || s.GetMetadata() != nil
		if k := s.GetMetadata(); k != nil {
			c.metadata(fmt.Sprintf("%s.override_host_sources[%d].metadata", at, j), k.GetKey(), f)
		}
	}
	if !ok {
		c.add(at+".override_host_sources", "none of them is what the processor sets", "name the header "+Header)
	}
}

func (c *checker) metadata(path, namespace string, f *extprocv3.ExternalProcessor) {
	if namespace != Namespace {
		c.add(path, fmt.Sprintf("the processor sets no metadata of %q", namespace), "make it "+Namespace)
	} else if !lets(f, namespace) {
		c.add(path, "the processor's metadata is not let in, so the host is chosen without it",
			"name "+Namespace+" in the filter's metadata_options.receiving_namespaces.untyped")
	}
}

// retries checks a policy by which the proxy tries again after a filter that is asked once for all tries. Then
// the next host must be of the processor's list.
func (c *checker) retries(path string, p *routev3.RetryPolicy, cl *clusterv3.Cluster) {
	if p == nil || p.GetRetryOn() == "" {
		return
	}
	o, _ := override(cl)
	if o == nil {
		c.add(path, "the proxy tries again without asking, also what must not run twice, and on top of what the module counts",
			"take it out; or go down the processor's list (proxy-config -mode fallbacks), or be asked for every try (-mode every-try)")
		return
	}
	if !ends(o) {
		c.add(path, "past the processor's list the fallback policy takes a host that nobody decided",
			"make the fallback policy one that finds none: envoy.load_balancing_policies.subset with NO_FALLBACK")
	}
	if most := uint32(c.facts.Spares); p.GetNumRetries().GetValue() > most {
		c.add(path+".num_retries", fmt.Sprintf("%d further tries, and the processor names %d further servers", p.GetNumRetries().GetValue(), most),
			"make it no more than the pool's fallbacks")
	}
}

// override is a cluster's policy override_host, and which of its policies that is; nil: it has none.
func override(cl *clusterv3.Cluster) (*overridev3.OverrideHost, int) {
	for i, p := range cl.GetLoadBalancingPolicy().GetPolicies() {
		o := &overridev3.OverrideHost{}
		if as(p.GetTypedExtensionConfig().GetTypedConfig(), o) {
			return o, i
		}
	}
	return nil, 0
}

// ends says that without a host that the processor named there is none.
func ends(o *overridev3.OverrideHost) bool {
	for _, p := range o.GetFallbackPolicy().GetPolicies() {
		s := &subsetv3.Subset{}
		if as(p.GetTypedExtensionConfig().GetTypedConfig(), s) {
			return s.GetFallbackPolicy() == subsetv3.Subset_NO_FALLBACK && len(s.GetSubsetSelectors()) == 0
		}
	}
	return false
}

func (c *checker) hedge(path string) {
	c.add(path, "two tries are out at once, of unsafe requests too", "take it out: the module decides on second copies")
}
