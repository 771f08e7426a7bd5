package ads

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	statuspb "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/protobuf/types/known/anypb"
)

// Types of the tests: a SotW response names all clusters, and any endpoints.
const (
	clusterURL  = "type.googleapis.com/test.Cluster"
	endpointURL = "type.googleapis.com/test.Endpoint"
)

const (
	sec  = time.Second
	msec = time.Millisecond
)

// decodeText reads "NAME=VALUE"; a VALUE of "bad" is invalid, one of "panic" panics.
func decodeText(resource *anypb.Any, _ any) (string, any, error) {
	name, value, ok := strings.Cut(string(resource.GetValue()), "=")
	switch {
	case !ok:
		return "", nil, errors.New("it is no resource")
	case value == "bad":
		return name, nil, errors.New("it is bad")
	case value == "panic":
		panic("decoder")
	}
	return name, value, nil
}

func newMachine(delta bool) *Machine {
	return New(Config{
		Delta: delta,
		Node:  &corev3.Node{Id: "me"},
		Types: []Type{
			{URL: clusterURL, AllResourcesRequiredInSotW: true, Decode: decodeText},
			{URL: endpointURL, Decode: decodeText},
		},
	})
}

func body(url, text string) *anypb.Any { return &anypb.Any{TypeUrl: url, Value: []byte(text)} }

// sotwResponse is a response of resources written as "NAME=VALUE".
func sotwResponse(url, version, nonce string, resources ...string) *discovery.DiscoveryResponse {
	r := &discovery.DiscoveryResponse{TypeUrl: url, VersionInfo: version, Nonce: nonce}
	for _, text := range resources {
		r.Resources = append(r.Resources, body(url, text))
	}
	return r
}

// deltaResponse is the like of the incremental variant; "-NAME" is a removal, "NAME" a heartbeat.
func deltaResponse(url, nonce string, resources ...string) *discovery.DeltaDiscoveryResponse {
	r := &discovery.DeltaDiscoveryResponse{TypeUrl: url, Nonce: nonce, SystemVersionInfo: "s" + nonce}
	for _, text := range resources {
		name, _, hasValue := strings.Cut(text, "=")
		switch {
		case text[0] == '-':
			r.RemovedResources = append(r.RemovedResources, text[1:])
		case hasValue:
			r.Resources = append(r.Resources, &discovery.Resource{
				Name:     name,
				Version:  "v" + nonce,
				Resource: body(url, text),
			})
		default:
			r.Resources = append(r.Resources, &discovery.Resource{Name: name, Version: "v" + nonce})
		}
	}
	return r
}

// describe writes actions as text, so that a test can compare them with one string.
func describe(actions []Action) string {
	var texts []string
	for _, a := range actions {
		switch a := a.(type) {
		case ResourceUpdate:
			texts = append(texts, describeUpdate(a))
		case Notice:
			texts = append(texts, "notice")
		case SendRequest:
			if a.SotW != nil {
				texts = append(texts, describeSotW(a.SotW))
			} else {
				texts = append(texts, describeDelta(a.Delta))
			}
		}
	}
	return strings.Join(texts, "; ")
}

func describeUpdate(u ResourceUpdate) string {
	text := "update"
	for _, r := range u.Updated {
		text += fmt.Sprintf(" %s=%v", r.Name, r.Value)
	}
	for _, name := range u.Removed {
		text += " -" + name
	}
	return text
}

func describeSotW(r *discovery.DiscoveryRequest) string {
	text := fmt.Sprintf("request %s %v v=%s n=%s", shortTypeName(r.TypeUrl), r.ResourceNames, r.VersionInfo, r.ResponseNonce)
	return text + describeNodeAndError(r.Node, r.ErrorDetail)
}

func describeDelta(r *discovery.DeltaDiscoveryRequest) string {
	text := "request " + shortTypeName(r.TypeUrl)
	if r.ResourceNamesSubscribe != nil {
		text += fmt.Sprintf(" +%v", r.ResourceNamesSubscribe)
	}
	if r.ResourceNamesUnsubscribe != nil {
		text += fmt.Sprintf(" -%v", r.ResourceNamesUnsubscribe)
	}
	if len(r.InitialResourceVersions) > 0 {
		text += " have"
		for _, name := range slices.Sorted(maps.Keys(r.InitialResourceVersions)) {
			text += " " + name + ":" + r.InitialResourceVersions[name]
		}
	}
	return text + " n=" + r.ResponseNonce + describeNodeAndError(r.Node, r.ErrorDetail)
}

func describeNodeAndError(node *corev3.Node, errorDetail *statuspb.Status) string {
	text := ""
	if node != nil {
		text += " node"
	}
	if errorDetail != nil {
		text += " NACK(" + errorDetail.Message + ")"
	}
	return text
}

func expectActions(t *testing.T, what string, got []Action, want string) {
	t.Helper()
	if text := describe(got); text != want {
		t.Errorf("%s:\n got %s\nwant %s", what, text, want)
	}
}
