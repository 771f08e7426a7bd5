package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"time"

	"cranegrade/internal/mesh/operations"
)

// Kind is the kind of an item. The values are part of the wire format and of the stored format.
type Kind uint8

// Kinds of items.
const (
	KindRoute     Kind = iota // the destinations of requests with a host and a path prefix
	KindService               // a group of servers, the destination of routes
	KindLimits                // limits of all listeners; there is one item of this kind, without a name
	KindContract              // the hours in which machines may be taken out of service for maintenance
	KindNamespace             // the hosts, path prefixes and services that a team owns
	KindPolicy                // requirements of a namespace for requests
)

var kindNames = [...]string{"route", "service", "limits", "contract", "namespace", "ruling"}

// String returns the name of the kind in the JSON format. A kind that was added in a later version of the program returns the name
// of the last kind of this version.
func (k Kind) String() string { return kindNames[min(k, KindPolicy)] }

// InPolicySet reports whether items of this kind belong to the policy set, which is first committed and then activated in a second
// step (package policy).
func (k Kind) InPolicySet() bool { return k == KindNamespace || k == KindPolicy }

// Key identifies an item.
type Key struct {
	Kind Kind
	Name string
}

// label returns the key in the form used in error messages.
func (k Key) label() string { return k.Kind.String() + " " + k.Name }

// compareKeys orders keys by kind, then by name.
func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Item is one version of a configuration item, or the tombstone of a deleted one. An Item is immutable.
type Item struct {
	Key
	Version int64
	Deleted bool
	Host    string // host of a route; empty for all other kinds
	Body    []byte // canonical JSON: equal contents have equal bytes
	// LogTime is the time of the log entry that contained the item. Tombstones and operations are pruned in its order.
	LogTime time.Duration

	routeSpec *RouteSpec          // decoded content of a route that is not deleted; may be nil
	history   *operations.History // earlier operations on this key; only on control-plane members
}

// RouteSpec returns the content of a route. It returns nil if the item is not a route, is a tombstone, or cannot be decoded.
func (i Item) RouteSpec() *RouteSpec {
	if i.routeSpec != nil || i.Kind != KindRoute || i.Deleted {
		return i.routeSpec
	}
	var spec RouteSpec
	if json.Unmarshal(i.Body, &spec) != nil {
		return nil
	}
	return &spec
}

// ServiceSpec returns the content of an item of KindService.
func (i Item) ServiceSpec() ServiceSpec { return decodeBody[ServiceSpec](i) }

// LimitsSpec returns the content of the item of KindLimits.
func (i Item) LimitsSpec() LimitsSpec { return decodeBody[LimitsSpec](i) }

// decodeBody decodes the body of an item. Since items are validated before they are accepted, decoding can fail only for a body that
// another version of the program stored. In that case the fields that could be decoded are used.
func decodeBody[T any](item Item) (decoded T) {
	_ = json.Unmarshal(item.Body, &decoded)
	return decoded
}

func (i Item) hasSameContent(other Item) bool {
	return i.Deleted == other.Deleted && i.Host == other.Host && bytes.Equal(i.Body, other.Body)
}

// digest returns a digest of the content of an item, which does not cover its version.
func (i Item) digest() operations.Digest {
	deleted := []byte{0}
	if i.Deleted {
		deleted[0] = 1
	}
	return operations.DigestOf(deleted, []byte(i.Host), i.Body)
}

// operation returns the operation that set the item to its current version.
func (i Item) operation() operations.Operation {
	return operations.Operation{Version: i.Version, Digest: i.digest(), LogTime: i.LogTime}
}
