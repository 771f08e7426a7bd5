// Package resource reads clusters and endpoints in xDS form and translates them to the module's list of
// servers. It is pure: messages and times go in, lists come out.
//
// What the module can't use is refused (then the control plane is told), or ignored and named in
// Ignored (then an operator can see it), never guessed at. docs/xds.md has a table of every field.
package resource

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/structpb"

	"cranegrade/internal/xds/ads"
)

// The types' URLs.
const (
	ClusterURL  = "type.googleapis.com/envoy.config.cluster.v3.Cluster"
	EndpointURL = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
)

// Metadata is the namespace of endpoints' metadata that is read: uid, cell and boot_ms.
const Metadata = "cranegrade.endpoint"

// Types are those that a client asks for, in the order in which it does (clusters first).
func Types() []ads.Type {
	return []ads.Type{
		{URL: ClusterURL, AllResourcesRequiredInSotW: true, Decode: func(a *anypb.Any, _ any) (string, any, error) {
			name, c, err := ReadCluster(a.GetValue())
			if err != nil {
				return name, nil, err
			}
			return name, c, nil
		}},
		{
			URL: EndpointURL, ResourceName: func(a *anypb.Any) string { return assignmentName(a.GetValue()) },
			Decode: func(a *anypb.Any, prev any) (string, any, error) {
				before, _ := prev.(*Assignment)
				name, x, err := ReadAssignment(a.GetValue(), before)
				if err != nil {
					return name, nil, err
				}
				return name, x, nil
			},
		},
	}
}

// Cluster is a cluster as the node uses it.
type Cluster struct {
	Name    string
	Service string      // the name of its assignment; "" for a static cluster
	Static  *Assignment // of a static cluster
	Connect time.Duration
	Ignored []string // fields that were set and have no effect here
}

// ReadCluster reads and checks an envoy.config.cluster.v3.Cluster. The name is given wherever it can be
// read.
func ReadCluster(text []byte) (string, *Cluster, error) {
	m := &clusterv3.Cluster{}
	if err := proto.Unmarshal(text, m); err != nil {
		return "", nil, fmt.Errorf("it is no cluster: %w", err)
	}
	c := &Cluster{Name: m.GetName(), Connect: m.GetConnectTimeout().AsDuration()}
	if c.Name == "" {
		return "", nil, fmt.Errorf("a cluster without a name")
	}
	if c.Connect < 0 {
		return c.Name, nil, fmt.Errorf("connect_timeout is %v", c.Connect)
	}
	if m.GetClusterType() != nil {
		return c.Name, nil, fmt.Errorf("the cluster type %q is not supported", m.GetClusterType().GetName())
	}
	switch m.GetType() {
	case clusterv3.Cluster_EDS:
		switch source := m.GetEdsClusterConfig().GetEdsConfig().GetConfigSourceSpecifier().(type) {
		case *corev3.ConfigSource_Ads, *corev3.ConfigSource_Self:
		case nil:
			return c.Name, nil, fmt.Errorf("eds_cluster_config names no config source")
		default:
			return c.Name, nil, fmt.Errorf("eds_config is %T, but only ads and self are supported", source)
		}
		c.Service = m.GetEdsClusterConfig().GetServiceName()
		if c.Service == "" {
			c.Service = c.Name
		}
	case clusterv3.Cluster_STATIC:
		a := m.GetLoadAssignment()
		if a == nil {
			return c.Name, nil, fmt.Errorf("a static cluster without load_assignment")
		}
		text, err := proto.Marshal(a)
		if err != nil {
			return c.Name, nil, fmt.Errorf("load_assignment: %w", err)
		}
		static, err := readAssignment(text, nil)
		if err != nil {
			return c.Name, nil, fmt.Errorf("load_assignment: %w", err)
		}
		c.Static = static
	default:
		return c.Name, nil, fmt.Errorf("the discovery type %v is not supported, only EDS and STATIC", m.GetType())
	}
	c.Ignored = ignored(m, "name", "type", "eds_cluster_config", "load_assignment", "connect_timeout")
	return c.Name, c, nil
}

// ignored names the fields of a message that are set and not among those that are read.
func ignored(m proto.Message, read ...string) (l []string) {
	r := m.ProtoReflect()
	fields := r.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if r.Has(f) && !slices.Contains(read, string(f.Name())) {
			l = append(l, string(f.Name()))
		}
	}
	slices.Sort(l)
	return l
}

// Health is an endpoint's health_status, as far as it matters here.
type Health int

// Healths, from the best.
const (
	Healthy   Health = iota // HEALTHY and UNKNOWN: it is used
	Degraded                // used where the healthy ones do not suffice
	Unhealthy               // UNHEALTHY and TIMEOUT: used only if there is nothing else at all
	Draining                // never used for anything new
)

// Endpoint is one server of an assignment.
type Endpoint struct {
	ID       string // the metadata's uid, else the address: stable either way
	Addr     string // ip:port
	Zone     string // of its locality
	Locality Locality
	Priority int
	Weight   float64
	Share    float64 // weight of its locality among those of its priority; 0: not told
	Health   Health
	Cell     int
	Boot     time.Duration // Unix time of its last start; 0: long ago, or not told
}

// Locality is where an endpoint is.
type Locality struct{ Region, Zone, SubZone string }

// name is the locality in one word, the same at every node: its zone, after its region if it has one.
func (l Locality) name() string {
	switch {
	case l.Zone == "":
		return l.Region
	case l.Region == "":
		return l.Zone
	}
	return l.Region + "/" + l.Zone
}

// Drop is a category of requests that the control plane wants refused.
type Drop struct {
	Category string
	Share    float64 // of those that the categories before it let pass
}

// Assignment is a cluster's endpoints.
type Assignment struct {
	Name      string
	Endpoints []Endpoint
	Drops     []Drop
	Overshoot float64 // how many times its healthy share a priority is trusted to carry; 1.4 by default
	Ignored   []string

	read map[string]*parsed // by the bytes, for the next reading
}

// Bounds of an assignment.
const (
	maxPriority  = 128
	maxEndpoints = 200_000
)

// parsed is an endpoint as it was read from these bytes.
type parsed struct {
	raw string
	Endpoint
	ignored []string
}

// ReadAssignment reads and checks an envoy.config.endpoint.v3.ClusterLoadAssignment. Endpoints whose
// bytes are those of one in prev, which may be nil, are taken over from there: reading an assignment
// costs in step with what changed, but for a look at each endpoint.
func ReadAssignment(text []byte, prev *Assignment) (string, *Assignment, error) {
	a, err := readAssignment(text, prev)
	if a == nil {
		return "", nil, err
	}
	if a.Name == "" {
		return "", nil, fmt.Errorf("a load assignment without a name")
	}
	if err != nil {
		return a.Name, nil, err
	}
	return a.Name, a, nil
}

// Fields of the messages that are taken apart.
const (
	fieldEndpoints   = protowire.Number(2) // of ClusterLoadAssignment
	fieldLBEndpoints = protowire.Number(2) // of LocalityLbEndpoints
)

// split takes the values of one field of a message out of it.
func split(text []byte, field protowire.Number) (rest []byte, values [][]byte, err error) {
	for len(text) > 0 {
		num, typ, n := protowire.ConsumeTag(text)
		if n < 0 {
			return nil, nil, protowire.ParseError(n)
		}
		m := protowire.ConsumeFieldValue(num, typ, text[n:])
		if m < 0 {
			return nil, nil, protowire.ParseError(m)
		}
		if num == field && typ == protowire.BytesType {
			v, _ := protowire.ConsumeBytes(text[n:])
			values = append(values, v)
		} else {
			rest = append(rest, text[:n+m]...)
		}
		text = text[n+m:]
	}
	return rest, values, nil
}

// readAssignment gives an assignment with its name beside an error, if that could be read.
func readAssignment(text []byte, prev *Assignment) (*Assignment, error) {
	rest, localities, err := split(text, fieldEndpoints)
	m := &endpointv3.ClusterLoadAssignment{}
	if err == nil {
		err = proto.Unmarshal(rest, m)
	}
	if err != nil {
		return nil, fmt.Errorf("it is no load assignment: %w", err)
	}
	a := &Assignment{Name: m.GetClusterName(), Overshoot: 1.4}
	ignore := map[string]bool{}
	note := func(prefix string, fields []string) {
		for _, f := range fields {
			ignore[prefix+f] = true
		}
	}
	note("", ignored(m, "cluster_name", "policy"))
	if err := a.policy(m.GetPolicy(), ignore); err != nil {
		return a, err
	}
	var before map[string]*parsed
	size := 0
	if prev != nil {
		before, size = prev.read, len(prev.read)
	}
	a.read, a.Endpoints = make(map[string]*parsed, size), make([]Endpoint, 0, size)
	addrs, ids := make(map[string]bool, size), make(map[string]bool, size)
	priorities := map[int]map[Locality]bool{}
	for _, text := range localities {
		rest, endpoints, err := split(text, fieldLBEndpoints)
		l := &endpointv3.LocalityLbEndpoints{}
		if err == nil {
			err = proto.Unmarshal(rest, l)
		}
		if err != nil {
			return a, fmt.Errorf("a locality can't be read: %w", err)
		}
		locality := Locality{l.GetLocality().GetRegion(), l.GetLocality().GetZone(), l.GetLocality().GetSubZone()}
		zone, p := locality.name(), int(l.GetPriority())
		if p > maxPriority {
			return a, fmt.Errorf("the priority %d is over %d", p, maxPriority)
		}
		if l.GetLedsClusterLocalityConfig() != nil || l.GetLoadBalancerEndpoints() != nil {
			return a, fmt.Errorf("locality %q: its endpoints are told elsewhere (LEDS), which is not supported", zone)
		}
		if priorities[p] == nil {
			priorities[p] = map[Locality]bool{}
		}
		if priorities[p][locality] {
			return a, fmt.Errorf("locality %q stands in priority %d twice", zone, p)
		}
		priorities[p][locality] = true
		note("endpoints.", ignored(l, "locality", "priority"))
		if len(a.Endpoints)+len(endpoints) > maxEndpoints {
			return a, fmt.Errorf("more than %d endpoints", maxEndpoints)
		}
		for _, raw := range endpoints {
			e := before[string(raw)]
			if e == nil {
				if e, err = readEndpoint(raw); err != nil {
					return a, fmt.Errorf("locality %q: %w", zone, err)
				}
			}
			ep := e.Endpoint
			ep.Locality, ep.Zone, ep.Priority = locality, zone, p
			ep.Share = float64(l.GetLoadBalancingWeight().GetValue())
			if addrs[ep.Addr] {
				return a, fmt.Errorf("the address %s stands there twice", ep.Addr)
			}
			if ids[ep.ID] {
				return a, fmt.Errorf("the uid %q stands there twice", ep.ID)
			}
			addrs[ep.Addr], ids[ep.ID] = true, true
			note("", e.ignored)
			a.read[e.raw] = e
			a.Endpoints = append(a.Endpoints, ep)
		}
	}
	for p := range len(priorities) {
		if priorities[p] == nil {
			return a, fmt.Errorf("the priorities have a gap at %d", p)
		}
	}
	for f := range ignore {
		a.Ignored = append(a.Ignored, f)
	}
	slices.Sort(a.Ignored)
	return a, nil
}

func readEndpoint(raw []byte) (*parsed, error) {
	m := &endpointv3.LbEndpoint{}
	if err := proto.Unmarshal(raw, m); err != nil {
		return nil, fmt.Errorf("an endpoint can't be read: %w", err)
	}
	ep, err := endpoint(m)
	if err != nil {
		return nil, err
	}
	e := &parsed{raw: string(raw), Endpoint: ep}
	for _, f := range ignored(m, "endpoint", "health_status", "metadata", "load_balancing_weight") {
		e.ignored = append(e.ignored, "lb_endpoints."+f)
	}
	for _, f := range ignored(m.GetEndpoint(), "address") {
		e.ignored = append(e.ignored, "endpoint."+f)
	}
	return e, nil
}

// assignmentName reads the name alone.
func assignmentName(text []byte) string {
	name := ""
	for len(text) > 0 {
		num, typ, n := protowire.ConsumeTag(text)
		if n < 0 {
			return name
		}
		m := protowire.ConsumeFieldValue(num, typ, text[n:])
		if m < 0 {
			return name
		}
		if num == 1 && typ == protowire.BytesType {
			v, _ := protowire.ConsumeBytes(text[n:])
			name = string(v)
		}
		text = text[n+m:]
	}
	return name
}

// policy reads drops and overprovisioning.
func (a *Assignment) policy(p *endpointv3.ClusterLoadAssignment_Policy, ignore map[string]bool) error {
	if p == nil {
		return nil
	}
	for _, d := range p.GetDropOverloads() {
		if d.GetCategory() == "" {
			return fmt.Errorf("a drop_overloads without a category")
		}
		denominator, known := map[typev3.FractionalPercent_DenominatorType]float64{
			typev3.FractionalPercent_HUNDRED: 100, typev3.FractionalPercent_TEN_THOUSAND: 10_000,
			typev3.FractionalPercent_MILLION: 1_000_000,
		}[d.GetDropPercentage().GetDenominator()]
		if !known {
			return fmt.Errorf("drop_overloads %q: the denominator %v is not known", d.GetCategory(), d.GetDropPercentage().GetDenominator())
		}
		a.Drops = append(a.Drops, Drop{d.GetCategory(), min(1, float64(d.GetDropPercentage().GetNumerator())/denominator)})
	}
	if f := p.GetOverprovisioningFactor(); f != nil {
		if f.GetValue() == 0 {
			return fmt.Errorf("an overprovisioning_factor of 0")
		}
		a.Overshoot = float64(f.GetValue()) / 100
	}
	for _, f := range ignored(p, "drop_overloads", "overprovisioning_factor") {
		ignore["policy."+f] = true
	}
	return nil
}

func endpoint(m *endpointv3.LbEndpoint) (Endpoint, error) {
	var ep Endpoint
	if m.GetEndpoint() == nil {
		return ep, fmt.Errorf("an endpoint that is only named, not told")
	}
	socket := m.GetEndpoint().GetAddress().GetSocketAddress()
	if socket == nil {
		return ep, fmt.Errorf("an endpoint without a socket address")
	}
	ip, err := netip.ParseAddr(socket.GetAddress())
	if err != nil || ip.Zone() != "" {
		return ep, fmt.Errorf("the address %.100q is no IP address", socket.GetAddress())
	}
	if socket.GetProtocol() != corev3.SocketAddress_TCP {
		return ep, fmt.Errorf("%s: the protocol %v is not supported", ip, socket.GetProtocol())
	}
	port := socket.GetPortValue()
	if port == 0 || port > math.MaxUint16 {
		return ep, fmt.Errorf("%s: no port between 1 and 65535", ip)
	}
	ep.Addr = netip.AddrPortFrom(ip, uint16(port)).String()
	ep.ID = ep.Addr
	ep.Weight = 1
	if w := m.GetLoadBalancingWeight(); w != nil {
		if w.GetValue() == 0 {
			return ep, fmt.Errorf("%s: a load_balancing_weight of 0", ep.Addr)
		}
		ep.Weight = float64(w.GetValue())
	}
	switch s := m.GetHealthStatus(); s {
	case corev3.HealthStatus_UNKNOWN, corev3.HealthStatus_HEALTHY:
	case corev3.HealthStatus_DEGRADED:
		ep.Health = Degraded
	case corev3.HealthStatus_UNHEALTHY, corev3.HealthStatus_TIMEOUT:
		ep.Health = Unhealthy
	case corev3.HealthStatus_DRAINING:
		ep.Health = Draining
	default:
		return ep, fmt.Errorf("%s: the health_status %d is not known", ep.Addr, s)
	}
	return ep, ep.metadata(m.GetMetadata().GetFilterMetadata()[Metadata])
}

// metadata reads what xDS has no fields for.
func (ep *Endpoint) metadata(s *structpb.Struct) error {
	for key, v := range s.GetFields() {
		switch key {
		case "uid":
			uid := v.GetStringValue()
			if uid == "" || len(uid) > 256 {
				return fmt.Errorf("%s: the metadata's uid is no string of 1 to 256 bytes", ep.Addr)
			}
			ep.ID = uid
		case "cell":
			n := v.GetNumberValue()
			if n != math.Trunc(n) || n < 0 || n > math.MaxInt32 {
				return fmt.Errorf("%s: the metadata's cell %v is no whole number", ep.Addr, n)
			}
			ep.Cell = int(n)
		case "boot_ms":
			ms := v.GetNumberValue()
			if s := v.GetStringValue(); s != "" { // numbers of a Struct are doubles; some write them as text
				n, err := strconv.ParseInt(s, 10, 64)
				if err != nil {
					return fmt.Errorf("%s: the metadata's boot_ms %.40q is no number", ep.Addr, s)
				}
				ms = float64(n)
			}
			if !(ms >= 0 && ms < math.MaxInt64/1e6) {
				return fmt.Errorf("%s: the metadata's boot_ms %v is no time", ep.Addr, ms)
			}
			ep.Boot = time.Duration(ms * float64(time.Millisecond))
		default:
			return fmt.Errorf("%s: the metadata's %.40q is not known", ep.Addr, key)
		}
	}
	return nil
}

// Address is an ip:port in the form of the protocol.
func Address(addr string) *corev3.Address {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil
	}
	return &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
		Address: ap.Addr().String(), PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(ap.Port())},
	}}}
}
