package envoyconf

import (
	"fmt"

	bootstrapv3 "github.com/envoyproxy/go-control-plane/envoy/config/bootstrap/v3"
	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	routerv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/router/v3"
	hcmv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
	httpv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/upstreams/http/v3"
)

// connectionManager is an HTTP connection manager and where it stands.
type connectionManager struct {
	path     string
	listener *listenerv3.Listener
	config   *hcmv3.HttpConnectionManager
}

// isInternal reports whether only other listeners of the same proxy connect to it.
func (m connectionManager) isInternal() bool { return m.listener.GetInternalListener() != nil }

// asksProcessor reports whether an external processor is among its filters.
func (m connectionManager) asksProcessor() bool {
	for _, filter := range m.config.GetHttpFilters() {
		if filter.GetTypedConfig().MessageIs(&extprocv3.ExternalProcessor{}) {
			return true
		}
	}
	return false
}

// connectionManagers finds all of a bootstrap, in its order.
func connectionManagers(b *bootstrapv3.Bootstrap) []connectionManager {
	var managers []connectionManager
	for i, listener := range b.GetStaticResources().GetListeners() {
		for j, chain := range listener.GetFilterChains() {
			for k, filter := range chain.GetFilters() {
				config := &hcmv3.HttpConnectionManager{}
				if unpack(filter.GetTypedConfig(), config) {
					path := fmt.Sprintf("static_resources.listeners[%d].filter_chains[%d].filters[%d]", i, j, k)
					managers = append(managers, connectionManager{path, listener, config})
				}
			}
		}
	}
	return managers
}

func (c *checker) checkBootstrap(b *bootstrapv3.Bootstrap) {
	managers := connectionManagers(b)
	for _, m := range managers {
		if m.isInternal() && m.asksProcessor() {
			c.askingInternal[m.listener.GetName()] = true
		}
	}
	for _, m := range managers {
		c.checkConnectionManager(m)
		if !m.isInternal() {
			c.checkRoutesToInternal(m)
		}
	}
	for _, m := range managers {
		if name := m.listener.GetName(); c.askingInternal[name] && !c.reachedInternal[name] {
			c.add(Finding{
				Path:    m.path,
				Problem: "no route leads to this internal listener, so the processor is never asked",
				Remedy:  "have the cluster of the outer route name it as its envoy_internal_address",
			})
		}
	}
	for _, cluster := range b.GetStaticResources().GetClusters() {
		c.checkUpstreamFilters(cluster)
	}
	if c.askingManagers == 0 && !c.hasUpstreamFilter {
		c.add(Finding{
			Path:    "static_resources.listeners",
			Problem: "no HTTP connection manager has the filter envoy.filters.http.ext_proc, so the processor is never asked",
			Remedy:  "put it before the router among http_filters",
		})
	}
}

// checkUpstreamFilters finds the processor where it answers too late: upstream filters run after the router has
// selected the host.
func (c *checker) checkUpstreamFilters(cluster *clusterv3.Cluster) {
	for name, extension := range cluster.GetTypedExtensionProtocolOptions() {
		options := &httpv3.HttpProtocolOptions{}
		if !unpack(extension, options) {
			continue
		}
		for i, filter := range options.GetHttpFilters() {
			if filter.GetTypedConfig().MessageIs(&extprocv3.ExternalProcessor{}) {
				c.hasUpstreamFilter = true
				c.add(Finding{
					Path: fmt.Sprintf("%s.typed_extension_protocol_options[%s].http_filters[%d]",
						c.clusterPaths[cluster.GetName()], name, i),
					Problem: "the processor is an upstream filter: the router has selected the host before these run, so the decision has no effect but is accounted for",
					Remedy:  "make it a filter of the HTTP connection manager; to be asked for each attempt, of one behind an internal listener",
				})
			}
		}
	}
}

// checkConnectionManager checks a connection manager that asks the processor, and its routes.
func (c *checker) checkConnectionManager(m connectionManager) {
	position, routerPosition := -1, -1
	processor := &extprocv3.ExternalProcessor{}
	for i, filter := range m.config.GetHttpFilters() {
		candidate := &extprocv3.ExternalProcessor{}
		switch config := filter.GetTypedConfig(); {
		case unpack(config, candidate):
			if position < 0 {
				position, processor = i, candidate
			}
		case routerPosition < 0 && config.MessageIs(&routerv3.Router{}):
			routerPosition = i
		}
	}
	if position < 0 {
		return
	}
	c.askingManagers++
	path := fmt.Sprintf("%s.http_filters[%d]", m.path, position)
	if routerPosition >= 0 && position > routerPosition {
		c.add(Finding{
			Path:    path,
			Problem: "the processor comes after the router, which ends the filter chain, so it is never asked",
			Remedy:  "put it before the router",
		})
	}
	c.checkProcessorFilter(path, processor)
	if !m.isInternal() {
		c.checkEdge(m)
	}
	if m.config.GetRouteConfig() == nil {
		c.add(Finding{
			Path:    m.path + ".route_config",
			Problem: "the routes are not in this file, so clusters and retries can't be checked",
			Remedy:  "check the routes that the proxy is sent as well",
		})
		return
	}
	for i, virtualHost := range m.config.GetRouteConfig().GetVirtualHosts() {
		c.checkVirtualHost(fmt.Sprintf("%s.route_config.virtual_hosts[%d]", m.path, i), m.isInternal(), virtualHost, processor)
	}
}

// checkEdge checks what a connection manager accepts from clients.
func (c *checker) checkEdge(m connectionManager) {
	if !m.config.GetUseRemoteAddress().GetValue() {
		c.add(Finding{
			Path:    m.path + ".use_remote_address",
			Problem: "it is not set, so the proxy trusts x-envoy-* headers of clients: their retry policies, time-outs and attempt counts",
			Remedy:  "set use_remote_address: true where clients connect from outside",
		})
	}
	if m.config.GetPreserveExternalRequestId() {
		c.add(Finding{
			Path:    m.path + ".preserve_external_request_id",
			Problem: "the x-request-id of a client is kept, so a client can use the id of another client's open request",
			Remedy:  "leave it out, or set the processor's id_header to another header that the proxy sets",
		})
	}
	if generate := m.config.GetGenerateRequestId(); generate != nil && !generate.GetValue() {
		c.add(Finding{
			Path:    m.path + ".generate_request_id",
			Problem: "the proxy gives requests no id, so the attempts of one can't be matched",
			Remedy:  "leave it out: it is true by default",
		})
	}
}
