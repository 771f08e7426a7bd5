package resource

import (
	"errors"
	"fmt"
	"slices"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/proto"
)

// Bounds of an assignment.
const (
	maxPriority  = 128 // as in Envoy
	maxEndpoints = 200_000
)

// defaultOverprovisioningFactor is Envoy's default of overprovisioning_factor, 140 percent.
const defaultOverprovisioningFactor = 1.4

// Assignment is a parsed envoy.config.endpoint.v3.ClusterLoadAssignment: the endpoints of a cluster.
type Assignment struct {
	Name          string
	Endpoints     []Endpoint
	DropOverloads []DropOverload
	// OverprovisioningFactor says how many times its healthy share a priority is trusted to carry.
	OverprovisioningFactor float64
	IgnoredFields          []string // fields that were set and have no effect here, sorted

	parsed map[string]*parsedEndpoint // by the bytes, for the next ParseAssignment
}

// DropOverload is a category of requests that the control plane wants rejected.
type DropOverload struct {
	Category string
	Share    float64 // of the requests that the categories before it let pass; 0 to 1
}

// dropShare is the share of requests that all categories drop together, one after the other.
func (a *Assignment) dropShare() float64 {
	pass := 1.0
	for _, d := range a.DropOverloads {
		pass *= 1 - d.Share
	}
	return 1 - pass
}

// ParseAssignment parses and validates a serialized envoy.config.endpoint.v3.ClusterLoadAssignment. It
// returns the name whenever that can be read, also beside an error.
//
// Endpoints whose bytes equal those of an endpoint in previous, which may be nil, are taken over from
// there. So the cost grows with what changed, but for one look-up for each endpoint.
func ParseAssignment(text []byte, previous *Assignment) (name string, assignment *Assignment, err error) {
	assignment, err = parseAssignment(text, previous)
	if assignment == nil {
		return "", nil, err
	}
	if assignment.Name == "" {
		return "", nil, errors.New("a load assignment without a name")
	}
	if err != nil {
		return assignment.Name, nil, err
	}
	return assignment.Name, assignment, nil
}

// parseAssignment returns an assignment beside an error if its name could be read.
func parseAssignment(text []byte, previous *Assignment) (*Assignment, error) {
	// The endpoints are not unmarshaled with the rest: most of them are taken over from previous.
	rest, localities, err := splitField(text, fieldEndpoints)
	message := &endpointv3.ClusterLoadAssignment{}
	if err == nil {
		err = proto.Unmarshal(rest, message)
	}
	if err != nil {
		return nil, fmt.Errorf("it is no load assignment: %w", err)
	}
	p := newAssignmentParser(message.GetClusterName(), previous)
	p.ignore("", ignoredFields(message, "cluster_name", "policy"))
	if err := p.parsePolicy(message.GetPolicy()); err != nil {
		return p.assignment, err
	}
	for _, locality := range localities {
		if err := p.parseLocality(locality); err != nil {
			return p.assignment, err
		}
	}
	return p.assignment, p.finish()
}

// assignmentParser is the state of parsing one assignment.
type assignmentParser struct {
	assignment *Assignment
	previous   map[string]*parsedEndpoint
	addresses  map[string]bool
	ids        map[string]bool
	localities map[int]map[Locality]bool // by priority
	ignored    map[string]bool
}

func newAssignmentParser(name string, previous *Assignment) *assignmentParser {
	p := &assignmentParser{localities: map[int]map[Locality]bool{}, ignored: map[string]bool{}}
	size := 0
	if previous != nil {
		p.previous, size = previous.parsed, len(previous.parsed)
	}
	p.addresses, p.ids = make(map[string]bool, size), make(map[string]bool, size)
	p.assignment = &Assignment{
		Name:                   name,
		OverprovisioningFactor: defaultOverprovisioningFactor,
		Endpoints:              make([]Endpoint, 0, size),
		parsed:                 make(map[string]*parsedEndpoint, size),
	}
	return p
}

// ignore notes fields that were set and have no effect.
func (p *assignmentParser) ignore(prefix string, fields []string) {
	for _, field := range fields {
		p.ignored[prefix+field] = true
	}
}

func (p *assignmentParser) parsePolicy(policy *endpointv3.ClusterLoadAssignment_Policy) error {
	if policy == nil {
		return nil
	}
	for _, d := range policy.GetDropOverloads() {
		drop, err := parseDropOverload(d)
		if err != nil {
			return err
		}
		p.assignment.DropOverloads = append(p.assignment.DropOverloads, drop)
	}
	if factor := policy.GetOverprovisioningFactor(); factor != nil {
		if factor.GetValue() == 0 {
			return errors.New("an overprovisioning_factor of 0")
		}
		p.assignment.OverprovisioningFactor = float64(factor.GetValue()) / 100 // it is a percentage
	}
	p.ignore("policy.", ignoredFields(policy, "drop_overloads", "overprovisioning_factor"))
	return nil
}

func parseDropOverload(d *endpointv3.ClusterLoadAssignment_Policy_DropOverload) (DropOverload, error) {
	if d.GetCategory() == "" {
		return DropOverload{}, errors.New("a drop_overloads without a category")
	}
	var denominator float64
	switch d.GetDropPercentage().GetDenominator() {
	case typev3.FractionalPercent_HUNDRED:
		denominator = 100
	case typev3.FractionalPercent_TEN_THOUSAND:
		denominator = 10_000
	case typev3.FractionalPercent_MILLION:
		denominator = 1_000_000
	default:
		return DropOverload{}, fmt.Errorf("drop_overloads %q: the denominator %v is not known", d.GetCategory(), d.GetDropPercentage().GetDenominator())
	}
	share := min(1, float64(d.GetDropPercentage().GetNumerator())/denominator)
	return DropOverload{Category: d.GetCategory(), Share: share}, nil
}

// parseLocality parses a LocalityLbEndpoints.
func (p *assignmentParser) parseLocality(text []byte) error {
	rest, endpoints, err := splitField(text, fieldLBEndpoints)
	message := &endpointv3.LocalityLbEndpoints{}
	if err == nil {
		err = proto.Unmarshal(rest, message)
	}
	if err != nil {
		return fmt.Errorf("a locality can't be read: %w", err)
	}
	locality := Locality{
		Region:  message.GetLocality().GetRegion(),
		Zone:    message.GetLocality().GetZone(),
		SubZone: message.GetLocality().GetSubZone(),
	}
	priority := int(message.GetPriority())
	if err := p.checkLocality(message, locality, priority); err != nil {
		return err
	}
	p.ignore("endpoints.", ignoredFields(message, "locality", "priority"))
	if len(p.assignment.Endpoints)+len(endpoints) > maxEndpoints {
		return fmt.Errorf("more than %d endpoints", maxEndpoints)
	}
	zone := locality.zoneName()
	weight := float64(message.GetLoadBalancingWeight().GetValue())
	for _, raw := range endpoints {
		parsed, err := p.parseEndpoint(raw)
		if err != nil {
			return fmt.Errorf("locality %q: %w", zone, err)
		}
		endpoint := parsed.Endpoint // a copy, since assignments share what was parsed
		endpoint.Locality = locality
		endpoint.Zone = zone
		endpoint.Priority = priority
		endpoint.LocalityWeight = weight
		if err := p.add(&endpoint); err != nil {
			return err
		}
	}
	return nil
}

// checkLocality checks a locality apart from its endpoints.
func (p *assignmentParser) checkLocality(message *endpointv3.LocalityLbEndpoints, locality Locality, priority int) error {
	if priority > maxPriority {
		return fmt.Errorf("the priority %d is over %d", priority, maxPriority)
	}
	//nolint:staticcheck // load_balancer_endpoints is deprecated, and still rejected where a control plane sends it
	if message.GetLedsClusterLocalityConfig() != nil || message.GetLoadBalancerEndpoints() != nil {
		return fmt.Errorf("locality %q: its endpoints are told elsewhere (LEDS), which is not supported", locality.zoneName())
	}
	if p.localities[priority] == nil {
		p.localities[priority] = map[Locality]bool{}
	}
	if p.localities[priority][locality] {
		return fmt.Errorf("locality %q stands in priority %d twice", locality.zoneName(), priority)
	}
	p.localities[priority][locality] = true
	return nil
}

// parseEndpoint returns the endpoint of these bytes, from the previous assignment if it is there.
func (p *assignmentParser) parseEndpoint(raw []byte) (*parsedEndpoint, error) {
	parsed := p.previous[string(raw)]
	if parsed == nil {
		var err error
		if parsed, err = parseEndpoint(raw); err != nil {
			return nil, err
		}
	}
	p.ignore("", parsed.ignoredFields)
	p.assignment.parsed[parsed.raw] = parsed
	return parsed, nil
}

// add adds an endpoint, whose address and id must be its own.
func (p *assignmentParser) add(endpoint *Endpoint) error {
	if p.addresses[endpoint.Addr] {
		return fmt.Errorf("the address %s stands there twice", endpoint.Addr)
	}
	if p.ids[endpoint.ID] {
		return fmt.Errorf("the uid %q stands there twice", endpoint.ID)
	}
	p.addresses[endpoint.Addr], p.ids[endpoint.ID] = true, true
	p.assignment.Endpoints = append(p.assignment.Endpoints, *endpoint)
	return nil
}

// finish checks the assignment as a whole.
func (p *assignmentParser) finish() error {
	for priority := range len(p.localities) {
		if p.localities[priority] == nil {
			return fmt.Errorf("the priorities have a gap at %d", priority)
		}
	}
	for field := range p.ignored {
		p.assignment.IgnoredFields = append(p.assignment.IgnoredFields, field)
	}
	slices.Sort(p.assignment.IgnoredFields)
	return nil
}
