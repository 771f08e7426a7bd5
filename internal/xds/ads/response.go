package ads

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	statuspb "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
)

// maxNamedFaults bounds how many bad resources a NACK names.
const maxNamedFaults = 20

// wrapperURL is the type of a resource in its SotW wrapper, which carries a name and a time to live.
const wrapperURL = "type.googleapis.com/envoy.service.discovery.v3.Resource"

// HandleResponse handles a response of the SotW variant. A response that is accepted or rejected is
// answered by exactly one request, with its nonce; one that is ignored is not answered.
func (m *Machine) HandleResponse(now time.Duration, response *discovery.DiscoveryResponse) []Action {
	sub := m.subscriptionOf(response.GetTypeUrl(), response.GetNonce())
	if sub == nil {
		return m.takeActions()
	}
	received, faults := unwrapResources(response)
	result := m.applyResources(now, sub, received)
	faults = append(faults, result.faults...)
	// After a fault nothing is removed: the resource that could not be read may be the one that seems to
	// be absent.
	if sub.AllResourcesRequiredInSotW && faults == nil {
		for name, r := range sub.resources {
			if r.Status == Received && !result.named[name] {
				sub.remove(now, r, result.update)
			}
		}
	}
	m.emitUpdate(result.update)
	sub.nonce = response.GetNonce()
	var errorDetail *statuspb.Status
	if faults != nil {
		errorDetail = m.errorDetail(sub, response.GetVersionInfo(), faults)
	} else {
		sub.acceptedVersion = response.GetVersionInfo()
	}
	m.emit(SendRequest{SotW: m.sotwRequest(sub, errorDetail)})
	return m.takeActions()
}

// HandleDeltaResponse handles a response of the incremental variant. It is answered as by HandleResponse.
func (m *Machine) HandleDeltaResponse(now time.Duration, response *discovery.DeltaDiscoveryResponse) []Action {
	sub := m.subscriptionOf(response.GetTypeUrl(), response.GetNonce())
	if sub == nil {
		return m.takeActions()
	}
	received := make([]receivedResource, 0, len(response.GetResources()))
	for _, r := range response.GetResources() {
		received = append(received, receivedResource{
			name:    r.GetName(),
			version: r.GetVersion(),
			body:    r.GetResource(),
			ttl:     ttlOf(r),
		})
	}
	result := m.applyResources(now, sub, received)
	for _, name := range response.GetRemovedResources() {
		if r := sub.resources[name]; r != nil { // a removal of what was never there is allowed
			sub.handleRemoval(now, r, result.update)
		}
	}
	m.emitUpdate(result.update)
	sub.nonce = response.GetNonce()
	request := &discovery.DeltaDiscoveryRequest{TypeUrl: sub.URL, ResponseNonce: sub.nonce}
	if result.faults != nil {
		request.ErrorDetail = m.errorDetail(sub, response.GetSystemVersionInfo(), result.faults)
	} else {
		sub.acceptedVersion = response.GetSystemVersionInfo()
	}
	m.emit(SendRequest{Delta: request})
	return m.takeActions()
}

// handleRemoval handles a name in removed_resources. For a resource that was only requested it is the
// control plane's statement that there is none.
func (s *subscription) handleRemoval(now time.Duration, r *Resource, update *ResourceUpdate) {
	r.confirmed = true
	switch r.Status {
	case Received:
		s.remove(now, r, update)
	case Requested:
		markNonexistent(now, r, update)
	case DoesNotExist:
	}
}

// subscriptionOf finds the subscription that a response belongs to. It returns nil if the response is ignored.
func (m *Machine) subscriptionOf(typeURL, nonce string) *subscription {
	sub := m.byURL[typeURL]
	switch {
	case !m.streamOpen:
		return nil // it was on its way when its stream ended
	case sub == nil:
		m.notice("ignoring a response of the unknown type %.200q", typeURL)
		return nil
	case !sub.requested:
		// It can't be answered: the answer would be a first request, and so a subscription.
		m.notice("ignoring a response of the type %s, which was not requested", typeURL)
		return nil
	case nonce == "":
		// Without a nonce the protocol has no way to acknowledge or reject it.
		m.notice("ignoring a response of the type %s without a nonce", typeURL)
		return nil
	}
	return sub
}

// receivedResource is what a response says of one resource.
type receivedResource struct {
	name    string // "" means not given beside the body
	version string
	body    *anypb.Any // nil means only the time to live is renewed
	ttl     timeToLive
}

func ttlOf(r *discovery.Resource) timeToLive {
	return timeToLive{present: r.GetTtl() != nil, duration: r.GetTtl().AsDuration()}
}

// unwrapResources reads the resources of a SotW response, some of which may stand in a wrapper. It
// returns the faults of wrappers that can't be read.
func unwrapResources(response *discovery.DiscoveryResponse) (received []receivedResource, faults []string) {
	for _, body := range response.GetResources() {
		r := receivedResource{version: response.GetVersionInfo(), body: body}
		if body.GetTypeUrl() == wrapperURL {
			wrapper := &discovery.Resource{}
			if err := proto.Unmarshal(body.GetValue(), wrapper); err != nil {
				faults = append(faults, fmt.Sprintf("a wrapped resource: %v", err))
				continue
			}
			r.name, r.body, r.ttl = wrapper.GetName(), wrapper.GetResource(), ttlOf(wrapper)
		}
		received = append(received, r)
	}
	return received, faults
}

// applyResult is the outcome of applying the resources of a response.
type applyResult struct {
	update *ResourceUpdate
	named  map[string]bool // the names that the response contained, valid or not
	faults []string        // what is wrong with the invalid ones, sorted
}

// decodedResource is a received resource that is valid by itself.
type decodedResource struct {
	receivedResource
	value  any
	digest [sha256.Size]byte
}

// applyResources applies resources one by one: an invalid one does not keep the others from being
// applied. A name that occurs twice is invalid altogether, since there is no telling which one holds.
func (m *Machine) applyResources(now time.Duration, sub *subscription, received []receivedResource) applyResult {
	result := applyResult{update: &ResourceUpdate{TypeURL: sub.URL}, named: make(map[string]bool, len(received))}
	valid := make([]decodedResource, 0, len(received))
	duplicates := map[string]bool{}
	for i, r := range received {
		if r.body == nil && r.name == "" {
			result.faults = append(result.faults, fmt.Sprintf("resource %d is empty", i))
			continue
		}
		decoded, err := m.decodeReceived(sub, r)
		if err != nil {
			result.faults = append(result.faults, sub.reject(now, decoded.name, i, err))
			result.named[decoded.name] = true
			continue
		}
		if result.named[decoded.name] {
			duplicates[decoded.name] = true
		}
		result.named[decoded.name] = true
		valid = append(valid, decoded)
	}
	for name := range duplicates {
		result.faults = append(result.faults, sub.reject(now, name, -1, errDuplicateName))
	}
	slices.Sort(result.faults)
	for i := range valid {
		if r := &valid[i]; !duplicates[r.name] && sub.includes(r.name) {
			sub.store(now, r, result.update)
		}
	}
	return result
}

var errDuplicateName = errors.New("it stands there twice")

// decodeReceived decodes a resource, unless it is byte for byte the stored one. The result carries the
// name also beside an error, if the name could be read.
func (m *Machine) decodeReceived(sub *subscription, r receivedResource) (decodedResource, error) {
	decoded := decodedResource{receivedResource: r}
	if r.body == nil {
		return decoded, nil
	}
	decoded.digest = sha256.Sum256(r.body.GetValue())
	stored := sub.resources[r.name]
	if r.name != "" && stored != nil && stored.Status == Received && stored.digest == decoded.digest && r.body.GetTypeUrl() == sub.URL {
		decoded.value = stored.Value
		return decoded, nil
	}
	name, value, err := sub.decode(r.body)
	if r.name == "" {
		decoded.name = name
	} else if err == nil && name != r.name {
		err = fmt.Errorf("it is named %q inside", name)
	}
	decoded.value = value
	return decoded, err
}

// decode decodes a resource. A panic of the decoder counts as an invalid resource: input from a socket
// must not end the process.
func (s *subscription) decode(body *anypb.Any) (name string, value any, err error) {
	defer func() {
		if p := recover(); p != nil {
			name, value, err = "", nil, fmt.Errorf("it can't be decoded: %v", p)
		}
	}()
	if body.GetTypeUrl() != s.URL {
		return "", nil, fmt.Errorf("it is of the type %.200q", body.GetTypeUrl())
	}
	var prev any
	if s.ResourceName != nil {
		if stored := s.resources[s.ResourceName(body)]; stored != nil {
			prev = stored.Value
		}
	}
	return s.Decode(body, prev)
}

// store takes over a valid resource and adds it to the update if its value differs.
func (s *subscription) store(now time.Duration, r *decodedResource, update *ResourceUpdate) {
	stored := s.resources[r.name]
	if r.body == nil {
		// A heartbeat: it renews the time to live of a resource that is there, and means nothing else.
		if stored != nil && stored.Status == Received {
			stored.confirmed = true
			stored.setTTL(now, r.ttl)
		}
		return
	}
	if stored == nil {
		stored = &Resource{Name: r.name}
		s.resources[r.name] = stored
	}
	if stored.Status != Received || stored.digest != r.digest {
		stored.ChangedAt, stored.Value, stored.digest = now, r.value, r.digest
		update.Updated = append(update.Updated, stored)
	}
	stored.Version = r.version
	stored.Status = Received
	stored.existenceDeadline = 0
	stored.confirmed = true
	stored.RejectionReason = ""
	stored.RejectedAt = 0
	stored.setTTL(now, r.ttl)
}

// reject notes that an update of a resource is invalid and returns the fault in words; a stored value
// stays in use. Without a name the resource is called by its index in the response.
func (s *subscription) reject(now time.Duration, name string, index int, err error) string {
	if name == "" {
		return fmt.Sprintf("resource %d: %v", index, err)
	}
	if stored := s.resources[name]; stored != nil {
		stored.RejectionReason, stored.RejectedAt = err.Error(), now
		stored.confirmed = true
	}
	return fmt.Sprintf("%s: %v", name, err)
}

// errorDetail is the error_detail of a NACK. It also tells operators.
func (m *Machine) errorDetail(sub *subscription, version string, faults []string) *statuspb.Status {
	text := strings.Join(faults[:min(len(faults), maxNamedFaults)], "; ")
	if more := len(faults) - maxNamedFaults; more > 0 {
		text += fmt.Sprintf("; and %d more", more)
	}
	m.notice("rejecting version %.100q of %s: %.2000s", version, shortTypeName(sub.URL), text)
	return &statuspb.Status{Code: int32(codes.InvalidArgument), Message: text}
}
