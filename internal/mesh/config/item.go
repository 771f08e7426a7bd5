package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"time"

	"cranegrade/internal/mesh/operations"
)

// Kind says what an item configures. The values are part of the wire format and of what members store.
type Kind uint8

// Kinds of items.
const (
	KindRoute     Kind = iota // where requests of a host and a path prefix go
	KindService               // a group of servers that routes send to
	KindLimits                // limits of all listeners; there is one item of this kind, without a name
	KindContract              // hours in which machines may be taken out for maintenance
	KindNamespace             // what a team owns
	KindPolicy                // what a namespace says of requests
)

var kindNames = [...]string{"route", "service", "limits", "contract", "namespace", "ruling"}

// String returns the kind as the pages name it. A kind that a later build has added reads as the last one known.
func (k Kind) String() string { return kindNames[min(k, KindPolicy)] }

// InPolicySet reports whether items of this kind belong to the policy set, which is accepted first and becomes active in a second
// step (package policy).
func (k Kind) InPolicySet() bool { return k == KindNamespace || k == KindPolicy }

// Key identifies an item.
type Key struct {
	Kind Kind
	Name string
}

// label returns the key as error messages name it.
func (k Key) label() string { return k.Kind.String() + " " + k.Name }

// compareKeys orders keys by kind, then by name.
func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}

// Item is one version of an item, or the tombstone of one that was deleted. An Item is never changed once it was made.
type Item struct {
	Key
	Version int64
	Deleted bool
	Host    string // of a route; empty for all other kinds
	Body    []byte // canonical JSON: equal contents have equal bytes
	// LogTime is the time of the log entry that carried the item. It decides which tombstones and operations are pruned first.
	LogTime time.Duration

	routeSpec *RouteSpec          // of a route that was not deleted, decoded once
	history   *operations.History // earlier operations on this key; kept by control-plane members only
}

// RouteSpec returns the content of a route. It is nil if the item is no route, is a tombstone, or has a body that can't be
// decoded.
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

// decodeBody decodes the body of an item that was validated when it was accepted. An error can then only come from a body that
// another build stored; the fields that could be decoded count.
func decodeBody[T any](item Item) (decoded T) {
	_ = json.Unmarshal(item.Body, &decoded)
	return decoded
}

func (i Item) hasSameContent(other Item) bool {
	return i.Deleted == other.Deleted && i.Host == other.Host && bytes.Equal(i.Body, other.Body)
}

// digest identifies the content of an item, without its version.
func (i Item) digest() operations.Digest {
	deleted := []byte{0}
	if i.Deleted {
		deleted[0] = 1
	}
	return operations.DigestOf(deleted, []byte(i.Host), i.Body)
}

// operation returns the operation that made the item what it is.
func (i Item) operation() operations.Operation {
	return operations.Operation{Version: i.Version, Digest: i.digest(), LogTime: i.LogTime}
}
