// Package patch is the configuration as items: how an operator's call is read and checked, and how items are merged. It
// is pure. An item's highest version holds; a lower or equal one changes nothing. A version that was taken with one content
// is refused with another, together with all that came in the same call, and a call that was taken is taken again without
// effect whatever has been taken since.
package patch

import (
	"bytes"
	"encoding/json"
	"slices"
	"sort"
	"time"

	"github.com/juju/errors"

	"hollyspur/internal/exchange/classmark"
	"hollyspur/internal/mesh/operations"
)

// Kind says what an item is.
type Kind uint8

// Kinds of items.
const (
	Route Kind = iota
	Service
	Limits
	Contract  // of the night service
	Namespace // what a team owns
	Ruling    // what a namespace says of requests
)

// String names the kind as operators do.
func (k Kind) String() string {
	return [...]string{"route", "service", "limits", "contract", "namespace", "ruling"}[min(k, Ruling)]
}

// Ruled says that it binds in two steps (package classmark).
func (k Kind) Ruled() bool { return k == Namespace || k == Ruling }

// Name is an item's among all.
type Name struct {
	Kind Kind
	Name string
}

// Item is one item as it stands or was dropped. It is never changed once made.
type Item struct {
	Name
	Version int64
	Dropped bool
	Host    string // of a route
	Body    []byte // as JSON, in one form for one content
	// Stamp is the log's time at which it was dropped. Of those dropped the latest MostDropped are remembered.
	Stamp time.Duration

	rule    *Rule               // of a route that stands, as read once
	history *operations.History // of the item's earlier operations; only where calls are taken
}

// Rule is a route's content; nil: it is no route, or none that can be read.
func (i Item) Rule() *Rule {
	if i.rule != nil || i.Kind != Route || i.Dropped {
		return i.rule
	}
	var r Rule
	if json.Unmarshal(i.Body, &r) != nil {
		return nil
	}
	return &r
}

// Bounds of a table. A call that would have more items stand is refused; of dropped ones the earliest are forgotten: an older
// change that comes again after so many others have been dropped is taken for a new one.
const (
	MostItems   = 20_000
	MostDropped = 8_192
	// MostOperations are remembered of all items together, besides those that stand. The earliest by log time are forgotten.
	MostOperations = 32_768
)

// Table is the configuration: each item's newest. It is never changed once made.
type Table struct {
	items   map[Name]Item
	dropped int            // of items
	history int            // operations that are remembered in all
	ruled   int            // namespaces and rulings that stand
	marks   *classmark.Set // of all of them, once it was made
}

// Len is how many items there are, dropped ones among them.
func (t Table) Len() int { return len(t.items) }

// Get is an item; false: it was never told.
func (t Table) Get(n Name) (Item, bool) { i, is := t.items[n]; return i, is }

// Items are all, in a fixed order.
func (t Table) Items() []Item {
	l := make([]Item, 0, len(t.items))
	for _, i := range t.items {
		l = append(l, i)
	}
	sort.Slice(l, func(i, j int) bool {
		return l[i].Kind < l[j].Kind || l[i].Kind == l[j].Kind && l[i].Name.Name < l[j].Name.Name
	})
	return l
}

// Merge takes what is newer; raised are the items that it changed. It never goes back, in whatever order it is told.
func (t Table) Merge(items []Item) (_ Table, raised []Item) {
	var next map[Name]Item
	dropped, ruled, history := t.dropped, t.ruled, t.history
	for _, i := range items {
		was, is := t.items[i.Name]
		if next != nil {
			was, is = next[i.Name]
		}
		if is && i.Version <= was.Version {
			continue
		}
		if next == nil {
			next = t.copied(len(items))
		}
		if was.Dropped {
			dropped--
		}
		if i.Dropped {
			dropped++
		}
		if i.Kind.Ruled() {
			if is && !was.Dropped {
				ruled--
			}
			if !i.Dropped {
				ruled++
			}
		}
		i.rule = i.Rule()
		history += i.history.Len() - was.history.Len()
		next[i.Name] = i
		raised = append(raised, i)
	}
	if next == nil {
		return t, nil
	}
	if dropped > MostDropped {
		history -= forget(next, dropped-MostDropped)
		dropped = MostDropped
	}
	return Table{items: next, dropped: dropped, ruled: ruled, history: history}, raised
}

// copied is a copy of the items with room for more.
func (t Table) copied(more int) map[Name]Item {
	items := make(map[Name]Item, len(t.items)+more)
	for n, i := range t.items {
		items[n] = i
	}
	return items
}

// forget removes so many of the dropped items, the earliest first, by names where they were dropped together: alike on
// every register. It returns how many operations were forgotten with them.
func forget(items map[Name]Item, n int) (operations int) {
	var l []Item
	for _, i := range items {
		if i.Dropped {
			l = append(l, i)
		}
	}
	sort.Slice(l, func(a, b int) bool {
		if l[a].Stamp != l[b].Stamp {
			return l[a].Stamp < l[b].Stamp
		}
		return l[a].Kind < l[b].Kind || l[a].Kind == l[b].Kind && l[a].Name.Name < l[b].Name.Name
	})
	for _, i := range l[:n] {
		operations += i.history.Len()
		delete(items, i.Name)
	}
	return operations
}

// Apply takes items whole or not at all, as the mesh's operator's.
func (t Table) Apply(items []Item) (_ Table, raised []Item, err error) {
	next, raised, _, err := t.Take(Call{Items: items})
	return next, raised, err
}

// Take takes a call whole or not at all. effects are what it changes of rules that others own.
//
// Which items stand follows from the call and the items alone; the history decides on the answer. So registers whose histories
// differ agree on the items. A call that raises items and has a version of another that was taken with another content takes
// effect and is not acknowledged (ErrOpen): Admit turns it down before it is proposed.
func (t Table) Take(c Call) (_ Table, raised []Item, effects []classmark.Effect, err error) {
	verdict, doubt := t.judgeCall(c)
	if verdict == operations.Repeated || verdict == operations.Unknown {
		return t, nil, nil, doubt
	}
	c.Items = withRules(c.Items)
	if err := t.unfit(c); err != nil {
		return t, nil, nil, err
	}
	next, raised := t.Merge(c.Items)
	if len(next.items)-next.dropped > MostItems {
		return t, nil, nil, invalid("the call", "", "more than %d items would stand", MostItems)
	}
	if len(raised) > 0 && t.ruled+next.ruled > 0 || c.By != "" {
		if effects, err = judge(&t, &next, raised, c); err != nil {
			return t, nil, nil, err
		}
	}
	switch {
	case doubt == nil:
		next = t.rememberLate(t.rememberRaised(next, raised), c)
	case len(raised) == 0:
		return t, nil, nil, doubt
	default:
		next = t.rememberRaised(next, raised)
		doubt = errors.WithType(errors.Errorf("%v; the rest of the call has taken effect", doubt), ErrOpen)
	}
	if next.history > MostOperations {
		next.forgetOperations(next.history - operationsKept)
	}
	return next, raised, effects, doubt
}

// withRules are the same items with the routes' contents read, once for all that is to come: of a large call that is most of
// the work.
func withRules(items []Item) []Item {
	out := make([]Item, len(items))
	for n, i := range items {
		i.rule = i.Rule()
		out[n] = i
	}
	return out
}

// unfit is what a call that was not taken before has against what stands; nil: nothing.
func (t Table) unfit(c Call) error {
	called := map[string]bool{}
	for _, i := range c.Items {
		if i.Kind == Service && !i.Dropped {
			called[i.Name.Name] = true
		}
	}
	for _, i := range c.Items {
		if i.Kind == Route && !i.Dropped {
			r := i.Rule()
			if r == nil {
				return invalid("route "+i.Name.Name, "", "can't be read")
			}
			for _, s := range r.Services() {
				if was, is := t.items[Name{Service, s.Service}]; !called[s.Service] && (!is || was.Dropped) {
					return invalid("route "+i.Name.Name, "ForwardAction", "the service %q is not known", s.Service)
				}
			}
		}
		if was, is := t.items[i.Name]; is && was.Version == i.Version && !was.same(i) {
			return errors.WithType(errors.Errorf("%s %s: version %d has another content already", i.Kind, i.Name.Name, i.Version), ErrConflict)
		}
	}
	return nil
}

func (i Item) same(o Item) bool {
	return i.Dropped == o.Dropped && i.Host == o.Host && bytes.Equal(i.Body, o.Body)
}

// Layout lays out the items that stand as the first call's set.
func (t Table) Layout() Set {
	s := Set{ListenerList: []Listener{}, UpstreamGroups: []json.RawMessage{}}
	for _, i := range t.Items() {
		switch {
		case i.Dropped:
		case i.Kind == Limits:
			s.Limits = i.Body
		case i.Kind == Service:
			s.UpstreamGroups = append(s.UpstreamGroups, i.Body)
		case i.Kind == Contract:
			s.ContractList = append(s.ContractList, i.Body)
		case i.Kind == Namespace:
			s.NamespaceList = append(s.NamespaceList, i.Body)
		case i.Kind == Ruling:
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
