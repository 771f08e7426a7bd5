// Package patch is the configuration as items: how an operator's call is read and checked, and how items are merged. It
// is pure. An item's highest version holds; a lower or equal one changes nothing. A version that was taken with one content
// is refused with another, together with all that came in the same call, and a call that was taken is taken again without
// effect whatever has been taken since.
package config

import (
	"bytes"
	"encoding/json"
	"slices"
	"sort"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/operations"
	"cranegrade/internal/mesh/policy"
)

// Kind says what an item is.
type Kind uint8

// Kinds of items.
const (
	KindRoute Kind = iota
	KindService
	KindLimits
	KindContract  // of the night service
	KindNamespace // what a team owns
	KindPolicy    // what a namespace says of requests
)

// String names the kind as operators do.
func (k Kind) String() string {
	return [...]string{"route", "service", "limits", "contract", "namespace", "ruling"}[min(k, KindPolicy)]
}

// InPolicySet says that it binds in two steps (package classmark).
func (k Kind) InPolicySet() bool { return k == KindNamespace || k == KindPolicy }

// Key is an item's among all.
type Key struct {
	Kind Kind
	Name string
}

// Item is one item as it stands or was dropped. It is never changed once made.
type Item struct {
	Key
	Version int64
	Deleted bool
	Host    string // of a route
	Body    []byte // as JSON, in one form for one content
	// Stamp is the log's time at which it was dropped. Of those dropped the latest MostDropped are remembered.
	LogTime time.Duration

	routeSpec *RouteSpec          // of a route that stands, as read once
	history   *operations.History // of the item's earlier operations; only where calls are taken
}

// RouteSpec is a route's content; nil: it is no route, or none that can be read.
func (i Item) RouteSpec() *RouteSpec {
	if i.routeSpec != nil || i.Kind != KindRoute || i.Deleted {
		return i.routeSpec
	}
	var r RouteSpec
	if json.Unmarshal(i.Body, &r) != nil {
		return nil
	}
	return &r
}

// Bounds of a table. A call that would have more items stand is refused; of dropped ones the earliest are forgotten: an older
// change that comes again after so many others have been dropped is taken for a new one.
const (
	MaxItems      = 20_000
	MaxTombstones = 8_192
	// MaxOperations are remembered of all items together, besides those that stand. The earliest by log time are forgotten.
	MaxOperations = 32_768
)

// Table is the configuration: each item's newest. It is never changed once made.
type Table struct {
	items          map[Key]Item
	tombstones     int         // of items
	operationCount int         // operations that are remembered in all
	policyCount    int         // namespaces and rulings that stand
	policySet      *policy.Set // of all of them, once it was made
}

// Len is how many items there are, dropped ones among them.
func (t Table) Len() int { return len(t.items) }

// Get is an item; false: it was never told.
func (t Table) Get(n Key) (Item, bool) { i, is := t.items[n]; return i, is }

// Items are all, in a fixed order.
func (t Table) Items() []Item {
	l := make([]Item, 0, len(t.items))
	for _, i := range t.items {
		l = append(l, i)
	}
	sort.Slice(l, func(i, j int) bool {
		return l[i].Kind < l[j].Kind || l[i].Kind == l[j].Kind && l[i].Key.Name < l[j].Key.Name
	})
	return l
}

// Merge takes what is newer; raised are the items that it changed. It never goes back, in whatever order it is told.
func (t Table) Merge(items []Item) (_ Table, raised []Item) {
	var next map[Key]Item
	dropped, ruled, history := t.tombstones, t.policyCount, t.operationCount
	for _, i := range items {
		was, is := t.items[i.Key]
		if next != nil {
			was, is = next[i.Key]
		}
		if is && i.Version <= was.Version {
			continue
		}
		if next == nil {
			next = t.cloneItems(len(items))
		}
		if was.Deleted {
			dropped--
		}
		if i.Deleted {
			dropped++
		}
		if i.Kind.InPolicySet() {
			if is && !was.Deleted {
				ruled--
			}
			if !i.Deleted {
				ruled++
			}
		}
		i.routeSpec = i.RouteSpec()
		history += i.history.Len() - was.history.Len()
		next[i.Key] = i
		raised = append(raised, i)
	}
	if next == nil {
		return t, nil
	}
	if dropped > MaxTombstones {
		history -= pruneTombstones(next, dropped-MaxTombstones)
		dropped = MaxTombstones
	}
	return Table{items: next, tombstones: dropped, policyCount: ruled, operationCount: history}, raised
}

// cloneItems is a copy of the items with room for more.
func (t Table) cloneItems(more int) map[Key]Item {
	items := make(map[Key]Item, len(t.items)+more)
	for n, i := range t.items {
		items[n] = i
	}
	return items
}

// pruneTombstones removes so many of the dropped items, the earliest first, by names where they were dropped together: alike on
// every register. It returns how many operations were forgotten with them.
func pruneTombstones(items map[Key]Item, n int) (operations int) {
	var l []Item
	for _, i := range items {
		if i.Deleted {
			l = append(l, i)
		}
	}
	sort.Slice(l, func(a, b int) bool {
		if l[a].LogTime != l[b].LogTime {
			return l[a].LogTime < l[b].LogTime
		}
		return l[a].Kind < l[b].Kind || l[a].Kind == l[b].Kind && l[a].Key.Name < l[b].Key.Name
	})
	for _, i := range l[:n] {
		operations += i.history.Len()
		delete(items, i.Key)
	}
	return operations
}

// ApplyItems takes items whole or not at all, as the mesh's operator's.
func (t Table) ApplyItems(items []Item) (_ Table, raised []Item, err error) {
	next, raised, _, err := t.ApplyUpdate(Update{Items: items})
	return next, raised, err
}

// ApplyUpdate takes a call whole or not at all. effects are what it changes of rules that others own.
//
// Which items stand follows from the call and the items alone; the history decides on the answer. So registers whose histories
// differ agree on the items. A call that raises items and has a version of another that was taken with another content takes
// effect and is not acknowledged (ErrOpen): Admit turns it down before it is proposed.
func (t Table) ApplyUpdate(c Update) (_ Table, raised []Item, effects []policy.Effect, err error) {
	verdict, doubt := t.classifyUpdate(c)
	if verdict == operations.Duplicate || verdict == operations.Unknown {
		return t, nil, nil, doubt
	}
	c.Items = withRouteSpecs(c.Items)
	if err := t.validate(c); err != nil {
		return t, nil, nil, err
	}
	next, raised := t.Merge(c.Items)
	if len(next.items)-next.tombstones > MaxItems {
		return t, nil, nil, newFieldError("the call", "", "more than %d items would stand", MaxItems)
	}
	if len(raised) > 0 && t.policyCount+next.policyCount > 0 || c.Author != "" {
		if effects, err = checkPolicies(&t, &next, raised, c); err != nil {
			return t, nil, nil, err
		}
	}
	switch {
	case doubt == nil:
		next = t.recordOutdated(t.recordSuperseded(next, raised), c)
	case len(raised) == 0:
		return t, nil, nil, doubt
	default:
		next = t.recordSuperseded(next, raised)
		doubt = errors.WithType(errors.Errorf("%v; the rest of the call has taken effect", doubt), ErrUndetermined)
	}
	if next.operationCount > MaxOperations {
		next.pruneOperations(next.operationCount - operationsAfterPruning)
	}
	return next, raised, effects, doubt
}

// withRouteSpecs are the same items with the routes' contents read, once for all that is to come: of a large call that is most of
// the work.
func withRouteSpecs(items []Item) []Item {
	out := make([]Item, len(items))
	for n, i := range items {
		i.routeSpec = i.RouteSpec()
		out[n] = i
	}
	return out
}

// validate is what a call that was not taken before has against what stands; nil: nothing.
func (t Table) validate(c Update) error {
	called := map[string]bool{}
	for _, i := range c.Items {
		if i.Kind == KindService && !i.Deleted {
			called[i.Key.Name] = true
		}
	}
	for _, i := range c.Items {
		if i.Kind == KindRoute && !i.Deleted {
			r := i.RouteSpec()
			if r == nil {
				return newFieldError("route "+i.Key.Name, "", "can't be read")
			}
			for _, s := range r.Destinations() {
				if was, is := t.items[Key{KindService, s.Service}]; !called[s.Service] && (!is || was.Deleted) {
					return newFieldError("route "+i.Key.Name, "ForwardAction", "the service %q is not known", s.Service)
				}
			}
		}
		if was, is := t.items[i.Key]; is && was.Version == i.Version && !was.hasSameContent(i) {
			return errors.WithType(errors.Errorf("%s %s: version %d has another content already", i.Kind, i.Key.Name, i.Version), ErrConflict)
		}
	}
	return nil
}

func (i Item) hasSameContent(o Item) bool {
	return i.Deleted == o.Deleted && i.Host == o.Host && bytes.Equal(i.Body, o.Body)
}

// Document lays out the items that stand as the first call's set.
func (t Table) Document() Document {
	s := Document{ListenerList: []Listener{}, UpstreamGroups: []json.RawMessage{}}
	for _, i := range t.Items() {
		switch {
		case i.Deleted:
		case i.Kind == KindLimits:
			s.Limits = i.Body
		case i.Kind == KindService:
			s.UpstreamGroups = append(s.UpstreamGroups, i.Body)
		case i.Kind == KindContract:
			s.ContractList = append(s.ContractList, i.Body)
		case i.Kind == KindNamespace:
			s.NamespaceList = append(s.NamespaceList, i.Body)
		case i.Kind == KindPolicy:
			s.RulingList = append(s.RulingList, i.Body)
		default:
			n := slices.IndexFunc(s.ListenerList, func(l Listener) bool { return l.HostName == i.Host })
			if n < 0 {
				n = len(s.ListenerList)
				s.ListenerList = append(s.ListenerList, Listener{HostName: i.Host})
			}
			s.ListenerList[n].PolicyRules = append(s.ListenerList[n].PolicyRules, i.Body)
		}
	}
	return s
}
