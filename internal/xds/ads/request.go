package ads

import (
	"slices"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	statuspb "google.golang.org/genproto/googleapis/rpc/status"
)

// wildcardName stands for every resource in a list of names.
const wildcardName = "*"

// sendSubscription sends what is subscribed to: all of it with the first request of a stream, later the
// difference (added, removed) where the variant has one.
func (m *Machine) sendSubscription(sub *subscription, added, removed []string) {
	first := !sub.requested
	if first && !sub.wildcard && len(sub.names) == 0 {
		return // an empty first request would be a wildcard subscription
	}
	sub.requested = true
	if !m.cfg.Delta {
		m.emit(SendRequest{SotW: m.sotwRequest(sub, nil)})
		return
	}
	if first {
		m.emit(SendRequest{Delta: m.firstDeltaRequest(sub)})
		return
	}
	m.emit(SendRequest{Delta: &discovery.DeltaDiscoveryRequest{
		TypeUrl:                  sub.URL,
		ResourceNamesSubscribe:   added,
		ResourceNamesUnsubscribe: removed,
	}})
}

// firstDeltaRequest is the first request of a type on a stream. It names the versions that the client
// already has, so that this control plane sends only what differs.
func (m *Machine) firstDeltaRequest(sub *subscription) *discovery.DeltaDiscoveryRequest {
	versions := map[string]string{}
	for name, r := range sub.resources {
		if r.Status == Received && r.confirmed {
			versions[name] = r.Version
		}
	}
	return &discovery.DeltaDiscoveryRequest{
		Node:                    m.cfg.Node,
		TypeUrl:                 sub.URL,
		ResourceNamesSubscribe:  sub.resourceNames(),
		InitialResourceVersions: versions,
	}
}

// sotwRequest is a request of the SotW variant: the subscription, the last accepted version, and the
// nonce of the last response. It acknowledges that response, or rejects it with errorDetail (NACK).
func (m *Machine) sotwRequest(sub *subscription, errorDetail *statuspb.Status) *discovery.DiscoveryRequest {
	r := &discovery.DiscoveryRequest{
		TypeUrl:       sub.URL,
		VersionInfo:   sub.acceptedVersion,
		ResponseNonce: sub.nonce,
		ResourceNames: sub.resourceNames(),
		ErrorDetail:   errorDetail,
	}
	if sub.nonce == "" {
		// The node is needed on the first request of a stream, and any request before the first response
		// may turn out to be that one.
		r.Node = m.cfg.Node
	}
	return r
}

// resourceNames is the subscription in the protocol's form: a wildcard beside names is the name "*", and
// a wildcard alone is an empty list.
func (s *subscription) resourceNames() []string {
	names := make([]string, 0, len(s.names)+1)
	if s.wildcard && len(s.names) > 0 {
		names = append(names, wildcardName)
	}
	for name := range s.names {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
