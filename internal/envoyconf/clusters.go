package envoyconf

import (
	"fmt"
	"strings"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	overridev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/load_balancing_policies/override_host/v3"
	subsetv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/load_balancing_policies/subset/v3"

	"cranegrade/internal/extproc/stream"
)

// checkDestination checks that a cluster sends requests to the endpoint that the processor picked.
func (c *checker) checkDestination(cluster *clusterv3.Cluster, processor *extprocv3.ExternalProcessor) {
	if cluster.GetType() == clusterv3.Cluster_ORIGINAL_DST {
		c.checkOriginalDestination(cluster, processor)
		return
	}
	path := c.clusterPaths[cluster.GetName()]
	policy, index := overrideHostPolicy(cluster)
	if policy == nil {
		c.add(Finding{
			Path:    path,
			Problem: "the cluster's own load balancer selects the host, whatever the processor decides",
			Remedy:  "use type ORIGINAL_DST with original_dst_lb_config.use_http_header, or the load-balancing policy override_host",
		})
		return
	}
	policyPath := fmt.Sprintf("%s.load_balancing_policy.policies[%d]", path, index)
	usesDecision := false
	for i, source := range policy.GetOverrideHostSources() {
		usesDecision = usesDecision || strings.EqualFold(source.GetHeader(), stream.DestinationHeader) || source.GetMetadata() != nil
		if key := source.GetMetadata(); key != nil {
			c.checkMetadataKey(fmt.Sprintf("%s.override_host_sources[%d].metadata", policyPath, i), key.GetKey(), processor)
		}
	}
	if !usesDecision {
		c.add(Finding{
			Path:    policyPath + ".override_host_sources",
			Problem: "none of them is what the processor sets",
			Remedy:  "name the header " + stream.DestinationHeader,
		})
	}
}

// checkOriginalDestination checks a cluster that sends requests to the one address in a header or in metadata.
func (c *checker) checkOriginalDestination(cluster *clusterv3.Cluster, processor *extprocv3.ExternalProcessor) {
	path := c.clusterPaths[cluster.GetName()]
	if c.settings.MaxFallbacks > 0 {
		c.add(Finding{
			Path:    path + ".type",
			Problem: "the processor's file has fallbacks, so it names a list of endpoints, which is not an address: such requests are sent nowhere",
			Remedy:  "remove fallbacks from the pools, or use the load-balancing policy override_host",
		})
	}
	config := cluster.GetOriginalDstLbConfig()
	switch key := config.GetMetadataKey(); {
	case key != nil:
		c.checkMetadataKey(path+".original_dst_lb_config.metadata_key", key.GetKey(), processor)
	case !config.GetUseHttpHeader():
		c.add(Finding{
			Path:    path + ".original_dst_lb_config.use_http_header",
			Problem: "requests go to the address that the client connected to",
			Remedy:  "set it, and http_header_name: " + stream.DestinationHeader,
		})
	case !strings.EqualFold(config.GetHttpHeaderName(), stream.DestinationHeader):
		c.add(Finding{
			Path:    path + ".original_dst_lb_config.http_header_name",
			Problem: fmt.Sprintf("%q is not the header that the processor sets", config.GetHttpHeaderName()),
			Remedy:  "make it " + stream.DestinationHeader,
		})
	}
}

// checkMetadataKey checks that metadata by which the host is selected is the processor's, and that the filter accepts it.
func (c *checker) checkMetadataKey(path, namespace string, processor *extprocv3.ExternalProcessor) {
	if namespace != stream.MetadataNamespace {
		c.add(Finding{
			Path:    path,
			Problem: fmt.Sprintf("the processor sets no metadata of %q", namespace),
			Remedy:  "make it " + stream.MetadataNamespace,
		})
	} else if !receivesMetadata(processor, namespace) {
		c.add(Finding{
			Path:    path,
			Problem: "the filter does not accept the processor's metadata, so the host is selected without it",
			Remedy:  "name " + stream.MetadataNamespace + " in the filter's metadata_options.receiving_namespaces.untyped",
		})
	}
}

// internalListener is the name of the internal listener that a cluster leads to, or "" if it leads elsewhere.
func internalListener(cluster *clusterv3.Cluster) string {
	for _, locality := range cluster.GetLoadAssignment().GetEndpoints() {
		for _, endpoint := range locality.GetLbEndpoints() {
			if name := endpoint.GetEndpoint().GetAddress().GetEnvoyInternalAddress().GetServerListenerName(); name != "" {
				return name
			}
		}
	}
	return ""
}

// overrideHostPolicy is a cluster's policy override_host and its index among the policies, or nil if it has none.
func overrideHostPolicy(cluster *clusterv3.Cluster) (*overridev3.OverrideHost, int) {
	for i, policy := range cluster.GetLoadBalancingPolicy().GetPolicies() {
		overrideHost := &overridev3.OverrideHost{}
		if unpack(policy.GetTypedExtensionConfig().GetTypedConfig(), overrideHost) {
			return overrideHost, i
		}
	}
	return nil, 0
}

// hasNoFallbackHost reports whether there is no host but those that the processor named: the fallback policy is an empty
// subset.
func hasNoFallbackHost(policy *overridev3.OverrideHost) bool {
	for _, fallback := range policy.GetFallbackPolicy().GetPolicies() {
		subset := &subsetv3.Subset{}
		if unpack(fallback.GetTypedExtensionConfig().GetTypedConfig(), subset) {
			return subset.GetFallbackPolicy() == subsetv3.Subset_NO_FALLBACK && len(subset.GetSubsetSelectors()) == 0
		}
	}
	return false
}
