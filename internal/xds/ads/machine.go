package ads

import (
	"fmt"
	"slices"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
)

// Config holds the settings of a machine.
type Config struct {
	Delta           bool // speak the incremental variant instead of SotW
	Node            *corev3.Node
	Types           []Type        // in the order in which a new stream subscribes to them
	ResourceTimeout time.Duration // after which a requested resource is taken not to exist; 0 means 15 s
}

// defaultResourceTimeout is the specification's ("Knowing When a Requested Resource Does Not Exist").
const defaultResourceTimeout = 15 * time.Second

// Machine is the protocol state of one client: its subscriptions, the resources received for them, and
// the state of the current stream. It belongs to one goroutine.
type Machine struct {
	cfg           Config
	subscriptions []*subscription // in the order of Config.Types
	byURL         map[string]*subscription
	streamOpen    bool
	actions       []Action // of the event being handled
}

// New returns a machine that subscribes to nothing and has no stream.
func New(cfg Config) *Machine {
	if cfg.ResourceTimeout == 0 {
		cfg.ResourceTimeout = defaultResourceTimeout
	}
	m := &Machine{cfg: cfg, byURL: map[string]*subscription{}}
	for _, t := range cfg.Types {
		sub := &subscription{Type: t, names: map[string]bool{}, resources: map[string]*Resource{}}
		m.subscriptions = append(m.subscriptions, sub)
		m.byURL[t.URL] = sub
	}
	return m
}

// Resources returns the stored resources of a type by name; nil if the type is unknown. The caller must
// not change them.
func (m *Machine) Resources(typeURL string) map[string]*Resource {
	if sub := m.byURL[typeURL]; sub != nil {
		return sub.resources
	}
	return nil
}

// StreamOpened starts the protocol on a new stream: every subscription is sent again. sameServer says
// that the stream leads to the control plane of the stream before. Versions have no meaning to another
// control plane, so none is sent to it, and what it does not name within the resource timeout is removed.
func (m *Machine) StreamOpened(now time.Duration, sameServer bool) []Action {
	m.streamOpen = true
	for _, sub := range m.subscriptions {
		sub.nonce, sub.requested = "", false
		if !sameServer {
			m.forgetServer(now, sub)
		}
		for _, r := range sub.resources {
			if r.Status == Requested {
				r.existenceDeadline = now + m.cfg.ResourceTimeout
			}
		}
		m.sendSubscription(sub, nil, nil)
	}
	return m.takeActions()
}

// forgetServer drops what only the control plane before understands: its versions and confirmations.
func (m *Machine) forgetServer(now time.Duration, sub *subscription) {
	sub.acceptedVersion = ""
	for _, r := range sub.resources {
		r.confirmed = false
	}
	// SotW responses remove what they do not name. A delta wildcard has nothing like that: the new control
	// plane does not know which resources it would have to remove.
	if sub.wildcard && m.cfg.Delta {
		sub.removeUnconfirmedAt = now + m.cfg.ResourceTimeout
	}
}

// StreamClosed notes that the stream is gone. The resources stay, and their times to live go on.
func (m *Machine) StreamClosed() {
	m.streamOpen = false
	for _, sub := range m.subscriptions {
		sub.removeUnconfirmedAt = 0
		for _, r := range sub.resources {
			r.existenceDeadline = 0 // the timeout runs only while the resource could arrive
		}
	}
}

// SetSubscription replaces the subscription to a type: to every resource (wildcard), to the named
// resources, or to both. Resources that are no longer subscribed to are dropped without an update.
func (m *Machine) SetSubscription(now time.Duration, typeURL string, wildcard bool, names []string) []Action {
	sub := m.byURL[typeURL]
	if sub == nil {
		return nil
	}
	next, added, removed := sub.diff(names)
	if sub.wildcard == wildcard && added == nil && removed == nil {
		return nil
	}
	sub.names, sub.wildcard = next, wildcard
	for _, name := range added {
		if sub.resources[name] == nil {
			r := &Resource{Name: name, ChangedAt: now}
			if m.streamOpen {
				r.existenceDeadline = now + m.cfg.ResourceTimeout
			}
			sub.resources[name] = r
		}
	}
	if !wildcard {
		for name := range sub.resources {
			if !next[name] {
				delete(sub.resources, name)
			}
		}
	}
	if m.streamOpen {
		m.sendSubscription(sub, added, removed)
	}
	return m.takeActions()
}

// Advance does what is due: it ends times to live and removes resources that did not come in time.
func (m *Machine) Advance(now time.Duration) []Action {
	for _, sub := range m.subscriptions {
		update := &ResourceUpdate{TypeURL: sub.URL}
		for _, r := range sub.resources {
			switch {
			case r.expiresAt > 0 && now >= r.expiresAt:
				m.notice("%s %s: its time to live has ended", shortTypeName(sub.URL), r.Name)
				sub.remove(now, r, update)
			case r.existenceDeadline > 0 && now >= r.existenceDeadline:
				m.notice("%s %s: not received within %v, taken not to exist", shortTypeName(sub.URL), r.Name, m.cfg.ResourceTimeout)
				markNonexistent(now, r, update)
			}
		}
		if sub.removeUnconfirmedAt > 0 && now >= sub.removeUnconfirmedAt {
			sub.removeUnconfirmedAt = 0
			m.removeUnconfirmed(now, sub, update)
		}
		m.emitUpdate(update)
	}
	return m.takeActions()
}

// removeUnconfirmed removes what the control plane before had sent and the current one has not named.
func (m *Machine) removeUnconfirmed(now time.Duration, sub *subscription, update *ResourceUpdate) {
	for _, r := range sub.resources {
		if r.Status == Received && !r.confirmed {
			m.notice("%s %s: the new control plane does not name it", shortTypeName(sub.URL), r.Name)
			sub.remove(now, r, update)
		}
	}
}

// NextDeadline returns when Advance has something to do; false if never.
func (m *Machine) NextDeadline() (at time.Duration, ok bool) {
	consider := func(t time.Duration) {
		if t > 0 && (!ok || t < at) {
			at, ok = t, true
		}
	}
	for _, sub := range m.subscriptions {
		consider(sub.removeUnconfirmedAt)
		for _, r := range sub.resources {
			consider(r.expiresAt)
			consider(r.existenceDeadline)
		}
	}
	return at, ok
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Machine) notice(format string, args ...any) { m.emit(Notice{fmt.Sprintf(format, args...)}) }

// emitUpdate emits an update, in a fixed order, unless nothing has changed.
func (m *Machine) emitUpdate(update *ResourceUpdate) {
	if update.isEmpty() {
		return
	}
	update.sort()
	m.emit(*update)
}

func (m *Machine) takeActions() []Action {
	actions := m.actions
	m.actions = nil
	return actions
}

// subscription is what a machine knows of one type: what is subscribed to, what was received, and where
// the stream stands.
type subscription struct {
	Type
	wildcard  bool
	names     map[string]bool
	resources map[string]*Resource

	acceptedVersion     string        // of the last accepted response of this control plane
	nonce               string        // of the last response on this stream
	requested           bool          // a request of this type was sent on this stream
	removeUnconfirmedAt time.Duration // when resources of the control plane before are removed; 0 means never
}

// diff compares the subscription with the new names and returns these as a set, with the names that are
// added and removed, sorted; nil where there are none.
func (s *subscription) diff(names []string) (next map[string]bool, added, removed []string) {
	next = make(map[string]bool, len(names))
	for _, name := range names {
		if !next[name] && !s.names[name] {
			added = append(added, name)
		}
		next[name] = true
	}
	for name := range s.names {
		if !next[name] {
			removed = append(removed, name)
		}
	}
	slices.Sort(added)
	slices.Sort(removed)
	return next, added, removed
}

// includes reports whether a resource of this name is subscribed to.
func (s *subscription) includes(name string) bool { return s.wildcard || s.names[name] }

// remove removes a resource. One that is subscribed to by name stays known as nonexistent.
func (s *subscription) remove(now time.Duration, r *Resource, update *ResourceUpdate) {
	update.Removed = append(update.Removed, r.Name)
	if !s.names[r.Name] {
		delete(s.resources, r.Name)
		return
	}
	*r = Resource{
		Name:            r.Name,
		Status:          DoesNotExist,
		ChangedAt:       now,
		RejectionReason: r.RejectionReason,
		RejectedAt:      r.RejectedAt,
		confirmed:       r.confirmed,
	}
}

// markNonexistent ends the wait for a requested resource.
func markNonexistent(now time.Duration, r *Resource, update *ResourceUpdate) {
	r.Status, r.ChangedAt, r.existenceDeadline = DoesNotExist, now, 0
	update.Removed = append(update.Removed, r.Name)
}
