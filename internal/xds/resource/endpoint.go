package resource

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/structpb"
)

// MetadataNamespace is the namespace of endpoint metadata that is read. It holds uid, cell and boot_ms,
// for which xDS has no fields.
const MetadataNamespace = "cranegrade.endpoint"

const (
	maxUIDBytes = 256
	// maxStartMS bounds boot_ms, in milliseconds, so that the time fits into a time.Duration.
	maxStartMS = math.MaxInt64 / 1e6
)

// Health is an endpoint's health_status, as far as it matters here.
type Health int

// Healths, from the best to the worst.
const (
	Healthy   Health = iota // HEALTHY and UNKNOWN: in use
	Degraded                // used where the healthy endpoints do not suffice
	Unhealthy               // UNHEALTHY and TIMEOUT: used only if there is no other endpoint at all
	Draining                // never used for new requests
)

// String names the health.
func (h Health) String() string {
	switch h {
	case Healthy:
		return "healthy"
	case Degraded:
		return "degraded"
	case Unhealthy:
		return "unhealthy"
	case Draining:
		return "draining"
	}
	return fmt.Sprintf("Health(%d)", int(h))
}

// Locality is where an endpoint is.
type Locality struct{ Region, Zone, SubZone string }

// zoneName is the zone as the module knows it, the same at every node: the locality's zone, behind its
// region if it has one.
func (l Locality) zoneName() string {
	switch {
	case l.Zone == "":
		return l.Region
	case l.Region == "":
		return l.Zone
	}
	return l.Region + "/" + l.Zone
}

// Endpoint is one server of an assignment.
type Endpoint struct {
	ID             string // the uid of its metadata, else its address
	Addr           string // ip:port
	Zone           string // derived from its locality
	Locality       Locality
	Priority       int // 0 is the highest
	Weight         float64
	LocalityWeight float64 // weight of its locality among those of its priority; 0 means not given
	Health         Health
	Cell           int
	StartedAt      time.Duration // Unix time of its last start; 0 means long ago, or not given
}

// parsedEndpoint is an endpoint with the bytes that it was parsed from. The fields of Endpoint that come
// from its locality are not set.
type parsedEndpoint struct {
	raw string
	Endpoint
	ignoredFields []string
}

func parseEndpoint(raw []byte) (*parsedEndpoint, error) {
	message := &endpointv3.LbEndpoint{}
	if err := proto.Unmarshal(raw, message); err != nil {
		return nil, fmt.Errorf("an endpoint can't be read: %w", err)
	}
	parsed := &parsedEndpoint{raw: string(raw)}
	if err := parsed.parse(message); err != nil {
		return nil, err
	}
	for _, field := range ignoredFields(message, "endpoint", "health_status", "metadata", "load_balancing_weight") {
		parsed.ignoredFields = append(parsed.ignoredFields, "lb_endpoints."+field)
	}
	for _, field := range ignoredFields(message.GetEndpoint(), "address") {
		parsed.ignoredFields = append(parsed.ignoredFields, "endpoint."+field)
	}
	return parsed, nil
}

func (e *Endpoint) parse(message *endpointv3.LbEndpoint) error {
	if message.GetEndpoint() == nil {
		return errors.New("an endpoint that is only named, not told")
	}
	addr, err := parseSocketAddress(message.GetEndpoint().GetAddress().GetSocketAddress())
	if err != nil {
		return err
	}
	e.Addr, e.ID = addr, addr
	e.Weight = 1
	if w := message.GetLoadBalancingWeight(); w != nil {
		if w.GetValue() == 0 {
			return fmt.Errorf("%s: a load_balancing_weight of 0", e.Addr)
		}
		e.Weight = float64(w.GetValue())
	}
	switch status := message.GetHealthStatus(); status {
	case corev3.HealthStatus_UNKNOWN, corev3.HealthStatus_HEALTHY:
		e.Health = Healthy
	case corev3.HealthStatus_DEGRADED:
		e.Health = Degraded
	case corev3.HealthStatus_UNHEALTHY, corev3.HealthStatus_TIMEOUT:
		e.Health = Unhealthy
	case corev3.HealthStatus_DRAINING:
		e.Health = Draining
	default:
		return fmt.Errorf("%s: the health_status %d is not known", e.Addr, status)
	}
	return e.parseMetadata(message.GetMetadata().GetFilterMetadata()[MetadataNamespace])
}

// parseSocketAddress returns the ip:port of a TCP socket address.
func parseSocketAddress(socket *corev3.SocketAddress) (string, error) {
	if socket == nil {
		return "", errors.New("an endpoint without a socket address")
	}
	ip, err := netip.ParseAddr(socket.GetAddress())
	if err != nil || ip.Zone() != "" {
		return "", fmt.Errorf("the address %.100q is no IP address", socket.GetAddress())
	}
	if socket.GetProtocol() != corev3.SocketAddress_TCP {
		return "", fmt.Errorf("%s: the protocol %v is not supported", ip, socket.GetProtocol())
	}
	port := socket.GetPortValue()
	if port == 0 || port > math.MaxUint16 {
		return "", fmt.Errorf("%s: no port between 1 and 65535", ip)
	}
	return netip.AddrPortFrom(ip, uint16(port)).String(), nil
}

// parseMetadata reads the fields of MetadataNamespace. Unknown ones are rejected, since a misspelled name
// would otherwise go unnoticed.
func (e *Endpoint) parseMetadata(metadata *structpb.Struct) error {
	for key, value := range metadata.GetFields() {
		var err error
		switch key {
		case "uid":
			err = e.parseUID(value)
		case "cell":
			err = e.parseCell(value)
		case "boot_ms":
			err = e.parseStart(value)
		default:
			err = fmt.Errorf("%s: the metadata's %.40q is not known", e.Addr, key)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (e *Endpoint) parseUID(value *structpb.Value) error {
	uid := value.GetStringValue()
	if uid == "" || len(uid) > maxUIDBytes {
		return fmt.Errorf("%s: the metadata's uid is no string of 1 to %d bytes", e.Addr, maxUIDBytes)
	}
	e.ID = uid
	return nil
}

func (e *Endpoint) parseCell(value *structpb.Value) error {
	n := value.GetNumberValue()
	if n != math.Trunc(n) || n < 0 || n > math.MaxInt32 {
		return fmt.Errorf("%s: the metadata's cell %v is no whole number", e.Addr, n)
	}
	e.Cell = int(n)
	return nil
}

// parseStart reads boot_ms. Numbers of a Struct are doubles, so some control planes write it as a string
// of digits.
func (e *Endpoint) parseStart(value *structpb.Value) error {
	ms := value.GetNumberValue()
	if text := value.GetStringValue(); text != "" {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fmt.Errorf("%s: the metadata's boot_ms %.40q is no number", e.Addr, text)
		}
		ms = float64(n)
	}
	if !(ms >= 0 && ms < maxStartMS) { // in this form it also rejects NaN
		return fmt.Errorf("%s: the metadata's boot_ms %v is no time", e.Addr, ms)
	}
	e.StartedAt = time.Duration(ms * float64(time.Millisecond))
	return nil
}

// Address returns an ip:port in the protocol's form; nil if it is none.
func Address(addr string) *corev3.Address {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil
	}
	return &corev3.Address{Address: &corev3.Address_SocketAddress{SocketAddress: &corev3.SocketAddress{
		Address:       ap.Addr().String(),
		PortSpecifier: &corev3.SocketAddress_PortValue{PortValue: uint32(ap.Port())},
	}}}
}
