package proxy

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"time"

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

	"cranegrade/internal/envoyconf"
)

// Defaults of a configuration.
const (
	defaultMessageTimeout    = 200 * time.Millisecond
	defaultConnectTimeout    = 5 * time.Second
	defaultOriginalDstHeader = "x-envoy-original-dst-host"
)

// compile makes the layers of a bootstrap configuration. What is not modelled and would matter is an error.
func (p *Proxy) compile(text []byte) error {
	bootstrap, err := envoyconf.Parse(text)
	if err != nil {
		return fmt.Errorf("reading the proxy's configuration: %w", err)
	}
	p.clusters, p.internalListeners = map[string]*cluster{}, map[string]*connectionManager{}
	for _, c := range bootstrap.GetStaticResources().GetClusters() {
		compiled, err := p.compileCluster(c)
		if err != nil {
			return fmt.Errorf("cluster %s: %w", c.GetName(), err)
		}
		p.clusters[c.GetName()] = compiled
	}
	if err := p.compileListeners(bootstrap.GetStaticResources().GetListeners()); err != nil {
		return err
	}
	for _, c := range p.clusters {
		if c.internalListener != "" && p.internalListeners[c.internalListener] == nil {
			return fmt.Errorf("there is no internal listener %s", c.internalListener)
		}
	}
	p.processor, err = p.processorAddr()
	return err
}

// compileListeners makes the connection managers: one for callers, any number of internal ones.
func (p *Proxy) compileListeners(listeners []*listenerv3.Listener) error {
	for _, l := range listeners {
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
	return nil
}

// processorAddr is the address of the only processor that filters ask.
func (p *Proxy) processorAddr() (string, error) {
	addr := ""
	for _, f := range p.processorFilters {
		c := p.clusters[f.cluster]
		if c == nil || len(c.hosts) == 0 || addr != "" && c.hosts[0] != addr {
			return "", errors.New("the processor's cluster has no address, or there are several")
		}
		addr = c.hosts[0]
	}
	if addr == "" {
		return "", errors.New("no filter asks a processor")
	}
	return addr, nil
}

// unmarshalsTo reports whether a message is of m's type, and fills in m.
func unmarshalsTo(a *anypb.Any, m proto.Message) bool {
	return a.MessageIs(m) && a.UnmarshalTo(m) == nil
}

func (p *Proxy) compileListener(l *listenerv3.Listener) (*connectionManager, error) {
	chains := l.GetFilterChains()
	if len(chains) != 1 || len(chains[0].GetFilters()) != 1 {
		return nil, errors.New("not one filter chain of one filter")
	}
	hcm := &hcmv3.HttpConnectionManager{}
	if !unmarshalsTo(chains[0].GetFilters()[0].GetTypedConfig(), hcm) {
		return nil, errors.New("no HTTP connection manager")
	}
	m := &connectionManager{
		proxy: p, internal: l.GetInternalListener() != nil, useRemoteAddress: hcm.GetUseRemoteAddress().GetValue(),
		preserveRequestID: hcm.GetPreserveExternalRequestId(),
		generateRequestID: hcm.GetGenerateRequestId() == nil || hcm.GetGenerateRequestId().GetValue(),
		virtualHosts:      hcm.GetRouteConfig().GetVirtualHosts(),
	}
	for _, name := range hcm.GetRouteConfig().GetInternalOnlyHeaders() {
		m.internalOnlyHeaders = append(m.internalOnlyHeaders, strings.ToLower(name))
	}
	var err error
	if m.filters, err = p.compileHTTPFilters(hcm.GetHttpFilters()); err != nil {
		return nil, err
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

// compileHTTPFilters makes the filters of a connection manager up to the router, which ends the chain: what stands behind it never runs.
func (p *Proxy) compileHTTPFilters(configured []*hcmv3.HttpFilter) (filters []*processorFilter, err error) {
	for _, c := range configured {
		processor := &extprocv3.ExternalProcessor{}
		switch {
		case unmarshalsTo(c.GetTypedConfig(), &routerv3.Router{}):
			return filters, nil
		case unmarshalsTo(c.GetTypedConfig(), processor):
			f, err := p.newProcessorFilter(processor)
			if err != nil {
				return nil, err
			}
			filters = append(filters, f)
		default:
			return nil, fmt.Errorf("the filter %s is not modelled", c.GetName())
		}
	}
	return nil, errors.New("no router filter")
}

// checkRoute refuses a route that holds more than is modelled.
func (p *Proxy) checkRoute(r *routev3.Route) error {
	action := r.GetRoute()
	switch {
	case action == nil:
		return errors.New("a route without a cluster")
	case p.clusters[action.GetCluster()] == nil:
		return fmt.Errorf("there is no cluster %q", action.GetCluster())
	case r.GetMatch().GetPrefix() == "" && r.GetMatch().GetPath() == "":
		return errors.New("a route with neither prefix nor path")
	case len(action.GetRequestMirrorPolicies()) > 0:
		return errors.New("mirrors are not modelled")
	}
	for _, h := range r.GetMatch().GetHeaders() {
		if !h.GetPresentMatch() {
			return errors.New("of header matches only present_match is modelled")
		}
	}
	for _, condition := range retryConditions(action.GetRetryPolicy()) {
		switch condition {
		case "connect-failure", "reset", "5xx", "gateway-error", "refused-stream", "retriable-headers", "retriable-status-codes":
		default:
			return fmt.Errorf("retry_on %q is not modelled", condition)
		}
	}
	return nil
}

// newProcessorFilter makes an external processing filter. Bodies are not modelled.
func (p *Proxy) newProcessorFilter(config *extprocv3.ExternalProcessor) (*processorFilter, error) {
	mode := config.GetProcessingMode()
	for _, m := range []extprocv3.ProcessingMode_BodySendMode{mode.GetRequestBodyMode(), mode.GetResponseBodyMode()} {
		if m != extprocv3.ProcessingMode_NONE {
			return nil, fmt.Errorf("body mode %v is not modelled", m)
		}
	}
	f := &processorFilter{
		proxy: p, config: config, messageTimeout: defaultMessageTimeout,
		cluster: config.GetGrpcService().GetEnvoyGrpc().GetClusterName(),
	}
	if config.GetMessageTimeout() != nil {
		f.messageTimeout = config.GetMessageTimeout().AsDuration()
	}
	p.processorFilters = append(p.processorFilters, f)
	return f, nil
}

func (p *Proxy) compileCluster(c *clusterv3.Cluster) (*cluster, error) {
	compiled := &cluster{proxy: p, connectTimeout: defaultConnectTimeout}
	if c.GetConnectTimeout() != nil {
		compiled.connectTimeout = c.GetConnectTimeout().AsDuration()
	}
	if err := compiled.addEndpoints(c); err != nil {
		return nil, err
	}
	if err := compiled.addUpstreamFilters(c); err != nil {
		return nil, err
	}
	switch c.GetType() {
	case clusterv3.Cluster_ORIGINAL_DST:
		compiled.useOriginalDst(c.GetOriginalDstLbConfig())
	case clusterv3.Cluster_STATIC:
		if err := compiled.useLoadBalancingPolicy(c.GetLoadBalancingPolicy()); err != nil {
			return nil, err
		}
	default:
		return nil, fmt.Errorf("the type %v is not modelled", c.GetType())
	}
	return compiled, nil
}

// addEndpoints adds the hosts of a cluster, or its internal listener.
func (c *cluster) addEndpoints(config *clusterv3.Cluster) error {
	for _, locality := range config.GetLoadAssignment().GetEndpoints() {
		for _, endpoint := range locality.GetLbEndpoints() {
			address := endpoint.GetEndpoint().GetAddress()
			if name := address.GetEnvoyInternalAddress().GetServerListenerName(); name != "" {
				c.internalListener = name
				continue
			}
			socket := address.GetSocketAddress()
			if socket == nil {
				return errors.New("an endpoint without an address")
			}
			c.hosts = append(c.hosts, net.JoinHostPort(socket.GetAddress(), strconv.Itoa(int(socket.GetPortValue()))))
		}
	}
	return nil
}

// addUpstreamFilters adds the external processing filters among a cluster's own.
func (c *cluster) addUpstreamFilters(config *clusterv3.Cluster) error {
	for _, extension := range config.GetTypedExtensionProtocolOptions() {
		options := &httpv3.HttpProtocolOptions{}
		if !unmarshalsTo(extension, options) {
			continue
		}
		for _, configured := range options.GetHttpFilters() {
			processor := &extprocv3.ExternalProcessor{}
			if !unmarshalsTo(configured.GetTypedConfig(), processor) {
				continue
			}
			f, err := c.proxy.newProcessorFilter(processor)
			if err != nil {
				return err
			}
			c.filters = append(c.filters, f)
		}
	}
	return nil
}

func (c *cluster) useOriginalDst(config *clusterv3.Cluster_OriginalDstLbConfig) {
	c.originalDst = true
	if config.GetUseHttpHeader() {
		c.originalDstHeader = defaultOriginalDstHeader
		if name := config.GetHttpHeaderName(); name != "" {
			c.originalDstHeader = strings.ToLower(name)
		}
	}
	c.originalDstMetadata = config.GetMetadataKey()
}

func (c *cluster) useLoadBalancingPolicy(config *clusterv3.LoadBalancingPolicy) error {
	for _, policy := range config.GetPolicies() {
		override := &overridev3.OverrideHost{}
		if !unmarshalsTo(policy.GetTypedExtensionConfig().GetTypedConfig(), override) {
			return errors.New("of load-balancing policies only override_host is modelled")
		}
		c.overrideHost = override
		for _, fallback := range override.GetFallbackPolicy().GetPolicies() {
			subset := &subsetv3.Subset{}
			c.noFallback = unmarshalsTo(fallback.GetTypedExtensionConfig().GetTypedConfig(), subset) &&
				subset.GetFallbackPolicy() == subsetv3.Subset_NO_FALLBACK
		}
	}
	return nil
}
