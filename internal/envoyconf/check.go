// Package envoyconf reads and writes the configuration of a proxy that asks an external processor: Envoy's bootstrap, as
// YAML or JSON. Check finds what in it would leave the processor's decisions without effect, or break one of the four
// rules; Build writes one in which it finds nothing.
//
// The package follows Envoy's published messages (envoy.config.bootstrap.v3 and what it contains) and the order of
// processing that their comments give: the HTTP connection manager runs its filters, the router selects the cluster and
// then the host, and only after that the upstream filters run. It is pure: text in, findings or text out. It sees
// static_resources alone, not what a control plane sends the proxy.
package envoyconf

import (
	"fmt"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

// ProcessorSettings are the settings of the processor that the proxy's configuration has to fit.
type ProcessorSettings struct {
	DecisionTimeout time.Duration // decide_within: the longest time to a decision
	Retries         bool          // retries: it expects to be asked for each attempt
	MaxFallbacks    int           // fallbacks: the most endpoints that it names after the one it picked, over all pools
	// RetryHeader is the header that it sets in the response of a failed attempt if the proxy may retry; "" means none.
	RetryHeader string
}

// Finding is a fault of a configuration.
type Finding struct {
	Path    string // of the field, such as static_resources.clusters[1].lb_policy
	Problem string // what is wrong, and its consequence
	Remedy  string // what to change
}

// String is the finding in one line.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s; %s", f.Path, f.Problem, f.Remedy)
}

// Check returns the faults of a configuration: those of the connection managers in the order of the file, then those of
// the clusters. An error says that the text is not a valid bootstrap, and where.
func Check(text []byte, settings ProcessorSettings) ([]Finding, error) {
	bootstrap, err := Parse(text)
	if err != nil {
		return nil, err
	}
	c := &checker{
		settings:        settings,
		clusters:        map[string]*clusterv3.Cluster{},
		clusterPaths:    map[string]string{},
		askingInternal:  map[string]bool{},
		reachedInternal: map[string]bool{},
	}
	for i, cluster := range bootstrap.GetStaticResources().GetClusters() {
		c.clusters[cluster.GetName()] = cluster
		c.clusterPaths[cluster.GetName()] = fmt.Sprintf("static_resources.clusters[%d]", i)
	}
	c.checkBootstrap(bootstrap)
	return c.findings, nil
}

// checker collects the findings of one configuration.
type checker struct {
	settings     ProcessorSettings
	clusters     map[string]*clusterv3.Cluster // by name
	clusterPaths map[string]string             // by the cluster's name
	findings     []Finding

	askingManagers    int             // connection managers with the processor's filter
	hasUpstreamFilter bool            // the processor is an upstream filter somewhere
	askingInternal    map[string]bool // names of internal listeners whose connection manager asks the processor
	reachedInternal   map[string]bool // those of them that a route of another listener leads to
}

func (c *checker) add(f Finding) { c.findings = append(c.findings, f) }

// unpack reads an Any into a message of its type. It returns false if the Any holds another type.
func unpack(a *anypb.Any, to proto.Message) bool {
	return a.MessageIs(to) && a.UnmarshalTo(to) == nil
}
