package ads

import (
	"cmp"
	"slices"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
)

// Action is something that the caller must do, in the order returned: SendRequest, ResourceUpdate or
// Notice.
type Action interface{ isAction() }

type (
	// SendRequest sends a request on the open stream. Exactly one of the fields is set, by the variant.
	SendRequest struct {
		SotW  *discovery.DiscoveryRequest
		Delta *discovery.DeltaDiscoveryRequest
	}
	// ResourceUpdate is a change of the stored resources of one type: those that are new or differ, and
	// the names of those that no longer exist. Both lists are sorted by name.
	ResourceUpdate struct {
		TypeURL string
		Updated []*Resource
		Removed []string
	}
	// Notice is a message for operators.
	Notice struct{ Text string }
)

func (SendRequest) isAction()    {}
func (ResourceUpdate) isAction() {}
func (Notice) isAction()         {}

func (u *ResourceUpdate) isEmpty() bool { return len(u.Updated) == 0 && len(u.Removed) == 0 }

func (u *ResourceUpdate) sort() {
	slices.SortFunc(u.Updated, func(a, b *Resource) int { return cmp.Compare(a.Name, b.Name) })
	slices.Sort(u.Removed)
}
