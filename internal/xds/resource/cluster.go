package resource

import (
	"errors"
	"fmt"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"google.golang.org/protobuf/proto"
)

// Cluster is a parsed envoy.config.cluster.v3.Cluster. Its endpoints come either from an assignment of its
// own or through EDS: exactly one of EDSServiceName and StaticAssignment is set.
type Cluster struct {
	Name             string
	EDSServiceName   string      // name of the assignment to subscribe to
	StaticAssignment *Assignment // endpoints of a STATIC cluster
	ConnectTimeout   time.Duration
	IgnoredFields    []string // fields that were set and have no effect here, sorted
}

// ParseCluster parses and validates a serialized envoy.config.cluster.v3.Cluster. It returns the name
// whenever that can be read, also beside an error.
func ParseCluster(text []byte) (name string, cluster *Cluster, err error) {
	message := &clusterv3.Cluster{}
	if err := proto.Unmarshal(text, message); err != nil {
		return "", nil, fmt.Errorf("it is no cluster: %w", err)
	}
	name = message.GetName()
	cluster = &Cluster{Name: name, ConnectTimeout: message.GetConnectTimeout().AsDuration()}
	if err := cluster.parse(message); err != nil {
		return name, nil, err
	}
	cluster.IgnoredFields = ignoredFields(message, "name", "type", "eds_cluster_config", "load_assignment", "connect_timeout")
	return name, cluster, nil
}

func (c *Cluster) parse(message *clusterv3.Cluster) error {
	if c.Name == "" {
		return errors.New("a cluster without a name")
	}
	if c.ConnectTimeout < 0 {
		return fmt.Errorf("connect_timeout is %v", c.ConnectTimeout)
	}
	if message.GetClusterType() != nil {
		return fmt.Errorf("the cluster type %q is not supported", message.GetClusterType().GetName())
	}
	switch message.GetType() {
	case clusterv3.Cluster_EDS:
		return c.parseEDS(message.GetEdsClusterConfig())
	case clusterv3.Cluster_STATIC:
		return c.parseStatic(message)
	default:
		return fmt.Errorf("the discovery type %v is not supported, only EDS and STATIC", message.GetType())
	}
}

func (c *Cluster) parseEDS(config *clusterv3.Cluster_EdsClusterConfig) error {
	switch source := config.GetEdsConfig().GetConfigSourceSpecifier().(type) {
	case *corev3.ConfigSource_Ads, *corev3.ConfigSource_Self:
	case nil:
		return errors.New("eds_cluster_config names no config source")
	default:
		return fmt.Errorf("eds_config is %T, but only ads and self are supported", source)
	}
	c.EDSServiceName = config.GetServiceName()
	if c.EDSServiceName == "" {
		c.EDSServiceName = c.Name
	}
	return nil
}

func (c *Cluster) parseStatic(message *clusterv3.Cluster) error {
	assignment := message.GetLoadAssignment()
	if assignment == nil {
		return errors.New("a static cluster without load_assignment")
	}
	text, err := proto.Marshal(assignment)
	if err != nil {
		return fmt.Errorf("load_assignment: %w", err)
	}
	// The name of the assignment, which an EDS assignment must have, does not matter here.
	parsed, err := parseAssignment(text, nil)
	if err != nil {
		return fmt.Errorf("load_assignment: %w", err)
	}
	c.StaticAssignment = parsed
	return nil
}
