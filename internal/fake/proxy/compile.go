package proxy

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	routerv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/router/v3"
	hcmv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
	overridev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/load_balancing_policies/override_host/v3"
	subsetv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/load_balancing_policies/subset/v3"
	httpv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/upstreams/http/v3"
	metadatav3 "github.com/envoyproxy/go-control-plane/envoy/type/metadata/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"cranegrade/internal/envoyconf"
)

// compile takes from a bootstrap the part that matters here, and refuses what would matter and is not modelled.
func (p *Proxy) compile(text []byte) error {
	b, err := envoyconf.Parse(text)
	if err != nil {
		return fmt.Errorf("the proxy's configuration: %w", err)
	}
	p.clusters, p.internalListeners = map[string]*cluster{}, map[string]*connectionManager{}
	for _, c := range b.GetStaticResources().GetClusters() {
		x, err := p.compileCluster(c)
		if err != nil {
			return fmt.Errorf("cluster %s: %w", c.GetName(), err)
		}
		p.clusters[c.GetName()] = x
	}
	for _, l := range b.GetStaticResources().GetListeners() {
		m, err := p.compileListener(l)
		if err != nil {
			return fmt.Errorf("listener %s: %w", l.GetName(), err)
		}
		switch {
		case m.internal:
			p.internalListeners[l.GetName()] = m
		case p.downstream != nil:
			return fmt.Errorf("listener %s: a second one for callers", l.GetName())
		default:
			p.downstream = m
		}
	}
	if p.downstream == nil {
		return errors.New("no listener for callers")
	}
	for _, c := range p.clusters {
		if c.internalListener != "" && p.internalListeners[c.internalListener] == nil {
			return fmt.Errorf("there is no internal listener %s", c.internalListener)
		}
	}
	processor := ""
	for _, a := range p.processorFilters {
		c := p.clusters[a.cluster]
		if c == nil || len(c.hosts) == 0 || processor != "" && c.hosts[0] != processor {
			return errors.New("the processor's cluster has no address, or there are several")
		}
		processor = c.hosts[0]
	}
	if processor == "" {
		return errors.New("no filter asks a processor")
	}
	p.processor = processor
	return nil
}

func unmarshalsTo(a *anypb.Any, m proto.Message) bool {
	return a.MessageIs(m) && a.UnmarshalTo(m) == nil
}

func (p *Proxy) compileListener(l *listenerv3.Listener) (*connectionManager, error) {
	chains := l.GetFilterChains()
	if len(chains) != 1 || len(chains[0].GetFilters()) != 1 {
		return nil, errors.New("not one filter chain of one filter")
	}
	h := &hcmv3.HttpConnectionManager{}
	if !unmarshalsTo(chains[0].GetFilters()[0].GetTypedConfig(), h) {
		return nil, errors.New("no HTTP connection manager")
	}
	m := &connectionManager{
		proxy: p, internal: l.GetInternalListener() != nil, useRemoteAddress: h.GetUseRemoteAddress().GetValue(),
		preserveRequestID: h.GetPreserveExternalRequestId(), generateRequestID: h.GetGenerateRequestId() == nil || h.GetGenerateRequestId().GetValue(),
		virtualHosts: h.GetRouteConfig().GetVirtualHosts(),
	}
	for _, x := range h.GetRouteConfig().GetInternalOnlyHeaders() {
		m.internalOnlyHeaders = append(m.internalOnlyHeaders, strings.ToLower(x))
	}
	routed := false
	for _, f := range h.GetHttpFilters() {
		x := &extprocv3.ExternalProcessor{}
		switch {
		case unmarshalsTo(f.GetTypedConfig(), &routerv3.Router{}):
			routed = true
		case routed: // the router ends the chain: what stands behind it never runs
		case unmarshalsTo(f.GetTypedConfig(), x):
			a, err := p.newProcessorFilter(x)
			if err != nil {
				return nil, err
			}
			m.filters = append(m.filters, a)
		default:
			return nil, fmt.Errorf("the filter %s is not modelled", f.GetName())
		}
	}
	if !routed {
		return nil, errors.New("no router filter")
	}
	for _, vh := range m.virtualHosts {
		for _, r := range vh.GetRoutes() {
			if err := p.checkRoute(r); err != nil {
				return nil, err
			}
		}
	}
	return m, nil
}

// known refuses a route with more in it than is modelled.
func (p *Proxy) checkRoute(r *routev3.Route) error {
	a := r.GetRoute()
	switch {
	case a == nil:
		return errors.New("a route that goes nowhere")
	case p.clusters[a.GetCluster()] == nil:
		return fmt.Errorf("there is no cluster %q", a.GetCluster())
	case r.GetMatch().GetPrefix() == "" && r.GetMatch().GetPath() == "":
		return errors.New("a route with neither prefix nor path")
	case len(a.GetRequestMirrorPolicies()) > 0:
		return errors.New("mirrors are not modelled")
	}
	for _, h := range r.GetMatch().GetHeaders() {
		if !h.GetPresentMatch() {
			return errors.New("of header matches only present_match is modelled")
		}
	}
	for _, on := range retryOn(a.GetRetryPolicy()) {
		switch on {
		case "connect-failure", "reset", "5xx", "gateway-error", "refused-stream", "retriable-headers", "retriable-status-codes":
		default:
			return fmt.Errorf("retry_on %q is not modelled", on)
		}
	}
	return nil
}

func retryOn(p *routev3.RetryPolicy) []string {
	return strings.FieldsFunc(p.GetRetryOn(), func(r rune) bool { return r == ',' || r == ' ' })
}

func (p *Proxy) newProcessorFilter(x *extprocv3.ExternalProcessor) (*processorFilter, error) {
	mode := x.GetProcessingMode()
	for _, m := range []extprocv3.ProcessingMode_BodySendMode{mode.GetRequestBodyMode(), mode.GetResponseBodyMode()} {
		if m != extprocv3.ProcessingMode_NONE {
			return nil, fmt.Errorf("body mode %v is not modelled", m)
		}
	}
	a := &processorFilter{proxy: p, config: x, messageTimeout: 200 * time.Millisecond, cluster: x.GetGrpcService().GetEnvoyGrpc().GetClusterName()}
	p.processorFilters = append(p.processorFilters, a)
	if x.GetMessageTimeout() != nil {
		a.messageTimeout = x.GetMessageTimeout().AsDuration()
	}
	return a, nil
}

func (p *Proxy) compileCluster(c *clusterv3.Cluster) (*cluster, error) {
	x := &cluster{proxy: p, connectTimeout: 5 * time.Second}
	if c.GetConnectTimeout() != nil {
		x.connectTimeout = c.GetConnectTimeout().AsDuration()
	}
	for _, e := range c.GetLoadAssignment().GetEndpoints() {
		for _, le := range e.GetLbEndpoints() {
			a := le.GetEndpoint().GetAddress()
			if n := a.GetEnvoyInternalAddress().GetServerListenerName(); n != "" {
				x.internalListener = n
				continue
			}
			s := a.GetSocketAddress()
			if s == nil {
				return nil, errors.New("an endpoint without an address")
			}
			x.hosts = append(x.hosts, net.JoinHostPort(s.GetAddress(), strconv.Itoa(int(s.GetPortValue()))))
		}
	}
	for _, a := range c.GetTypedExtensionProtocolOptions() {
		o := &httpv3.HttpProtocolOptions{}
		if !unmarshalsTo(a, o) {
			continue
		}
		for _, f := range o.GetHttpFilters() {
			y := &extprocv3.ExternalProcessor{}
			if unmarshalsTo(f.GetTypedConfig(), y) {
				up, err := p.newProcessorFilter(y)
				if err != nil {
					return nil, err
				}
				x.filters = append(x.filters, up)
			}
		}
	}
	switch c.GetType() {
	case clusterv3.Cluster_ORIGINAL_DST:
		o := c.GetOriginalDstLbConfig()
		x.originalDst = true
		if o.GetUseHttpHeader() {
			x.originalDstHeader = "x-envoy-original-dst-host"
			if n := o.GetHttpHeaderName(); n != "" {
				x.originalDstHeader = strings.ToLower(n)
			}
		}
		x.originalDstMetadata = o.GetMetadataKey()
	case clusterv3.Cluster_STATIC:
		for _, pol := range c.GetLoadBalancingPolicy().GetPolicies() {
			o := &overridev3.OverrideHost{}
			if !unmarshalsTo(pol.GetTypedExtensionConfig().GetTypedConfig(), o) {
				return nil, errors.New("of load-balancing policies only override_host is modelled")
			}
			x.overrideHost = o
			for _, fb := range o.GetFallbackPolicy().GetPolicies() {
				s := &subsetv3.Subset{}
				x.noFallback = unmarshalsTo(fb.GetTypedExtensionConfig().GetTypedConfig(), s) && s.GetFallbackPolicy() == subsetv3.Subset_NO_FALLBACK
			}
		}
	default:
		return nil, fmt.Errorf("the type %v is not modelled", c.GetType())
	}
	return x, nil
}

// keyOf is the namespace and the one step of a metadata key.
func metadataPath(k *metadatav3.MetadataKey) (namespace, name string) {
	if path := k.GetPath(); len(path) > 0 {
		name = path[0].GetKey()
	}
	return k.GetKey(), name
}

// format is the value of a header to add, of those that are modelled: text, %REQ(NAME)% and %UPSTREAM_REMOTE_ADDRESS%.
func formatHeader(o *corev3.HeaderValueOption, req headers, host string) string {
	v := o.GetHeader().GetValue()
	if host == "" {
		host = "-"
	}
	v = strings.ReplaceAll(v, "%UPSTREAM_REMOTE_ADDRESS%", host)
	for {
		before, rest, found := strings.Cut(v, "%REQ(")
		if !found {
			return v
		}
		name, after, _ := strings.Cut(rest, ")%")
		v = before + req.get(strings.ToLower(name)) + after
	}
}
