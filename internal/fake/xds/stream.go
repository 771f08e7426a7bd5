package xds

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"
)

const (
	maxQueuedResponses = 4096 // of a stream; a client that reads less loses its stream
	wildcardName       = "*"  // subscribes to all resources of a type
)

// stream is one discovery stream of a client. The control plane's lock guards it.
type stream struct {
	number    int // from 1
	delta     bool
	cancel    context.CancelFunc
	responses chan proto.Message
	nonces    int // that were used

	// By type:
	subscribed   map[string]map[string]bool // names; nil before the first request of the type
	wildcard     map[string]bool            // all names are subscribed to
	sentVersions map[string]map[string]string
}

// nextNonce returns a nonce that no other response has.
func (s *stream) nextNonce() string {
	s.nonces++
	return fmt.Sprintf("n%d-%d", s.number, s.nonces)
}

// enqueue queues a response. A client that does not read loses its stream.
func (s *stream) enqueue(m proto.Message) {
	select {
	case s.responses <- m:
	default:
		s.cancel()
	}
}

// StreamAggregatedResources serves the state-of-the-world variant.
func (p *ControlPlane) StreamAggregatedResources(
	client grpc.BidiStreamingServer[discovery.DiscoveryRequest, discovery.DiscoveryResponse],
) error {
	s, ctx := p.openStream(client.Context(), false)
	record := func(r *discovery.DiscoveryRequest) Request { return Request{Stream: s.number, SotW: r} }
	go readRequests(p, s, client.Recv, record, p.handleSotW)
	return p.writeResponses(ctx, s, func(m proto.Message) error {
		response, ok := m.(*discovery.DiscoveryResponse)
		if !ok {
			return fmt.Errorf("sending a response: %T is of another variant", m)
		}
		return client.Send(response)
	})
}

// DeltaAggregatedResources serves the incremental variant.
func (p *ControlPlane) DeltaAggregatedResources(
	client grpc.BidiStreamingServer[discovery.DeltaDiscoveryRequest, discovery.DeltaDiscoveryResponse],
) error {
	s, ctx := p.openStream(client.Context(), true)
	record := func(r *discovery.DeltaDiscoveryRequest) Request { return Request{Stream: s.number, Delta: r} }
	go readRequests(p, s, client.Recv, record, p.handleDelta)
	return p.writeResponses(ctx, s, func(m proto.Message) error {
		response, ok := m.(*discovery.DeltaDiscoveryResponse)
		if !ok {
			return fmt.Errorf("sending a response: %T is of another variant", m)
		}
		return client.Send(response)
	})
}

// openStream registers a stream.
func (p *ControlPlane) openStream(ctx context.Context, delta bool) (*stream, context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streamsOpened++
	s := &stream{
		number: p.streamsOpened, delta: delta, cancel: cancel, responses: make(chan proto.Message, maxQueuedResponses),
		subscribed: map[string]map[string]bool{}, wildcard: map[string]bool{}, sentVersions: map[string]map[string]string{},
	}
	p.streams[s] = struct{}{}
	return s, ctx
}

// writeResponses writes a stream's responses until it ends.
func (p *ControlPlane) writeResponses(ctx context.Context, s *stream, send func(proto.Message) error) error {
	defer func() {
		s.cancel()
		p.mu.Lock()
		delete(p.streams, s)
		p.mu.Unlock()
	}()
	for {
		select {
		case m := <-s.responses:
			p.mu.Lock()
			onWrite := p.onWrite
			p.mu.Unlock()
			if onWrite != nil {
				onWrite(typeAndVersion(m))
			}
			if err := send(m); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func typeAndVersion(m proto.Message) (typeURL, version string) {
	switch r := m.(type) {
	case *discovery.DiscoveryResponse:
		return r.TypeUrl, r.VersionInfo
	case *discovery.DeltaDiscoveryResponse:
		return r.TypeUrl, r.SystemVersionInfo
	}
	return "", ""
}

// readRequests records the requests of a stream and has each handled, until the stream ends.
func readRequests[R any](p *ControlPlane, s *stream, recv func() (R, error), record func(R) Request, handle func(*stream, R)) {
	defer s.cancel()
	for {
		r, err := recv()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.requests = append(p.requests, record(r))
		if !p.silent {
			handle(s, r)
		}
		p.mu.Unlock()
	}
}

// handleSotW takes a request of the state-of-the-world variant, which names the complete subscription. The caller holds mu.
func (p *ControlPlane) handleSotW(s *stream, r *discovery.DiscoveryRequest) {
	typeURL := r.GetTypeUrl()
	subscribed := map[string]bool{}
	for _, name := range r.GetResourceNames() {
		subscribed[name] = true
	}
	// No names subscribe to all resources only in a stream's first request of the type, and as long as none have been named.
	isFirst := s.subscribed[typeURL] == nil
	s.wildcard[typeURL] = subscribed[wildcardName] || len(subscribed) == 0 && (isFirst || s.wildcard[typeURL])
	s.subscribed[typeURL] = subscribed
	// A resource that is no longer subscribed to is sent again if it is subscribed to later.
	for name := range s.sentVersions[typeURL] {
		if !s.wildcard[typeURL] && !subscribed[name] {
			delete(s.sentVersions[typeURL], name)
		}
	}
	p.sendChanges(s, typeURL)
}

// handleDelta takes a request of the incremental variant, which names changes of the subscription. The caller holds mu.
func (p *ControlPlane) handleDelta(s *stream, r *discovery.DeltaDiscoveryRequest) {
	typeURL := r.GetTypeUrl()
	if s.subscribed[typeURL] == nil {
		s.subscribed[typeURL], s.sentVersions[typeURL] = map[string]bool{}, map[string]string{}
		s.wildcard[typeURL] = len(r.GetResourceNamesSubscribe()) == 0
		maps.Copy(s.sentVersions[typeURL], r.GetInitialResourceVersions())
	}
	var absent []string
	for _, name := range r.GetResourceNamesSubscribe() {
		if name == wildcardName {
			s.wildcard[typeURL] = true
			continue
		}
		s.subscribed[typeURL][name] = true
		_, isServed := p.resources[typeURL][name]
		_, wasSent := s.sentVersions[typeURL][name]
		if !isServed && !wasSent {
			absent = append(absent, name)
		}
	}
	for _, name := range r.GetResourceNamesUnsubscribe() {
		delete(s.subscribed[typeURL], name)
		delete(s.sentVersions[typeURL], name)
	}
	if len(absent) > 0 && typeURL == ClusterURL { // that a cluster does not exist is answered at once
		s.enqueue(&discovery.DeltaDiscoveryResponse{
			TypeUrl: typeURL, Nonce: s.nextNonce(), SystemVersionInfo: strconv.Itoa(p.version), RemovedResources: absent,
		})
	}
	p.sendChanges(s, typeURL)
}

// sendChanges sends a stream the resources of a type that it does not have in their present version. The caller holds mu.
func (p *ControlPlane) sendChanges(s *stream, typeURL string) {
	if !s.wildcard[typeURL] && len(s.subscribed[typeURL]) == 0 {
		return
	}
	if s.sentVersions[typeURL] == nil {
		s.sentVersions[typeURL] = map[string]string{}
	}
	changed, removed := p.changes(s, typeURL)
	if s.delta {
		p.sendDelta(s, typeURL, changed, removed)
	} else {
		p.sendSotW(s, typeURL, changed, removed)
	}
}

// isSubscribed reports whether a stream wants a resource.
func (s *stream) isSubscribed(typeURL, name string) bool {
	return s.wildcard[typeURL] || s.subscribed[typeURL][name]
}

// changes returns the names, sorted, of the resources that a stream has in another version or not at all, and of those that it has
// and that are no longer served.
func (p *ControlPlane) changes(s *stream, typeURL string) (changed, removed []string) {
	sent, served := s.sentVersions[typeURL], p.resources[typeURL]
	for name, r := range served {
		if s.isSubscribed(typeURL, name) && sent[name] != r.version {
			changed = append(changed, name)
		}
	}
	for name := range sent {
		if _, isServed := served[name]; !isServed {
			removed = append(removed, name)
		}
	}
	slices.Sort(changed)
	slices.Sort(removed)
	return changed, removed
}

func (p *ControlPlane) sendDelta(s *stream, typeURL string, changed, removed []string) {
	if len(changed)+len(removed) == 0 {
		return
	}
	response := &discovery.DeltaDiscoveryResponse{
		TypeUrl: typeURL, Nonce: s.nextNonce(), SystemVersionInfo: strconv.Itoa(p.version), RemovedResources: removed,
	}
	for _, name := range changed {
		response.Resources = append(response.Resources, p.resources[typeURL][name].wrapped(name))
	}
	p.markSent(s, typeURL, changed, removed)
	s.enqueue(response)
}

// sendSotW sends a state-of-the-world response. Of clusters it contains all that are subscribed to, whatever changed; of endpoints only
// what changed, and nothing is sent for a removal.
func (p *ControlPlane) sendSotW(s *stream, typeURL string, changed, removed []string) {
	isComplete := typeURL == ClusterURL
	if len(changed) == 0 && (!isComplete || len(removed) == 0) {
		return
	}
	names := changed
	if isComplete {
		names = slices.DeleteFunc(slices.Sorted(maps.Keys(p.resources[typeURL])), func(name string) bool {
			return !s.isSubscribed(typeURL, name)
		})
	}
	response := &discovery.DiscoveryResponse{TypeUrl: typeURL, Nonce: s.nextNonce(), VersionInfo: strconv.Itoa(p.version)}
	for _, name := range names {
		r := p.resources[typeURL][name]
		body := r.body
		if r.ttl > 0 { // a time to live travels in a wrapper
			body, _ = anypb.New(r.wrapped(name))
		}
		response.Resources = append(response.Resources, body)
	}
	p.markSent(s, typeURL, names, removed)
	s.enqueue(response)
}

// markSent notes what a response contains.
func (p *ControlPlane) markSent(s *stream, typeURL string, sent, removed []string) {
	for _, name := range sent {
		s.sentVersions[typeURL][name] = p.resources[typeURL][name].version
	}
	for _, name := range removed {
		delete(s.sentVersions[typeURL], name)
	}
}

// wrapped is the resource as the incremental variant sends it.
func (r servedResource) wrapped(name string) *discovery.Resource {
	w := &discovery.Resource{Name: name, Version: r.version, Resource: r.body}
	if r.ttl > 0 {
		w.Ttl = durationpb.New(r.ttl)
	}
	return w
}
