package membership

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Damping configures how slowly a View follows the gossip, similar to route flap damping (RFC 2439).
type Damping struct {
	// SettleTime is how long a member must be alive without interruption until it is established, or failed until it no longer is.
	SettleTime time.Duration
	// FlapDecay is how long a member must stay alive until its number of flaps decreases by one.
	FlapDecay time.Duration
}

// maxFlaps is the maximum of Member.Flaps. Each flap doubles the time until a member is established, up to 32 times SettleTime.
const maxFlaps = 5

// Liveness is the state of a member as the gossip reports it.
type Liveness int

// The states of a member.
const (
	Alive  Liveness = iota
	Failed          // the gossip reports it as dead
	Left            // it announced that it was leaving
)

// notSeenYet is the state of a new member until memberReturned makes it Alive, within the same call. It is Left because members that left
// and new members are treated alike: they are not established, and their arrival is not counted as a flap.
const notSeenYet = Left

// String returns the name of the state, as it is shown to operators.
func (l Liveness) String() string { return [...]string{"alive", "failed", "left"}[l] }

// Member is the state of a member in a View.
type Member struct {
	Metadata
	Addr                 string // host:port of its gossip transport
	State                Liveness
	Since                time.Duration // when State began
	Established          bool          // capacity is divided among the established members, see Damping.SettleTime
	Flaps                int           // number of recent failures after which it returned, up to maxFlaps
	DuplicateIncarnation uint64        // of another process with the same name; 0 if there is none
	nextFlapDecayAt      time.Duration // when Flaps decreases next if the member stays alive
}

// View is one node's view of the members, as reported by the gossip.
type View struct {
	damping   Damping
	self      Metadata
	members   map[string]*Member // by name, including this node
	history   history
	ignored   int  // number of new members that were ignored because of MaxMembers
	settled   bool // the first SettleTime has passed
	startedAt time.Duration
}

// NewView returns the view of a node that has just started and knows only itself.
func NewView(now time.Duration, self Metadata, damping Damping) *View {
	v := &View{damping: damping, self: self, members: map[string]*Member{}, startedAt: now}
	v.members[self.Name] = &Member{Metadata: self, State: Alive, Since: now, Established: true}
	return v
}

// MemberAlive records that the gossip reports a member as alive, with this metadata and address. The member may be new, known or back.
func (v *View) MemberAlive(now time.Duration, metadata Metadata, addr string) {
	if metadata.Name == v.self.Name {
		if metadata.Incarnation != v.self.Incarnation {
			v.DuplicateName(now, metadata.Name, metadata.Incarnation)
		}
		return
	}
	m := v.members[metadata.Name]
	if m == nil {
		if len(v.members) >= MaxMembers && !v.evictOldest() {
			v.ignored++
			return
		}
		m = &Member{State: notSeenYet, Since: now, nextFlapDecayAt: now}
		v.members[metadata.Name] = m
	}
	switch {
	case m.State != Alive:
		v.memberReturned(now, m, metadata)
	case m.Incarnation != metadata.Incarnation:
		v.history.add(Change{
			At:     now,
			Name:   metadata.Name,
			Kind:   ChangeRestarted,
			Reason: "a new process of that name is seen before the old one was missed",
		})
	}
	m.Metadata = metadata
	m.Addr = addr
}

// memberReturned records that a member is alive that was not before.
func (v *View) memberReturned(now time.Duration, m *Member, metadata Metadata) {
	reason := "it is seen"
	if m.Incarnation != 0 && m.Incarnation != metadata.Incarnation {
		reason = "a new process of that name is seen"
	}
	if m.State == Failed && !m.Established {
		m.Flaps = min(m.Flaps+1, maxFlaps)
		m.nextFlapDecayAt = now + v.damping.FlapDecay
	}
	m.State = Alive
	m.Since = now
	v.history.add(Change{At: now, Name: metadata.Name, Kind: ChangeUp, Reason: reason})
}

// MemberFailed records that the gossip reports a member as dead. The member stays established until it has been failed for SettleTime.
func (v *View) MemberFailed(now time.Duration, name string) {
	m := v.members[name]
	if m == nil || name == v.self.Name || m.State != Alive {
		return
	}
	m.State = Failed
	m.Since = now
	v.history.add(Change{At: now, Name: name, Kind: ChangeFailed, Reason: "nobody reaches it"})
}

// MemberLeft records that a member has announced that it is leaving. It is no longer established, without a delay: the announcement comes
// from the member itself, which accepts no further work.
func (v *View) MemberLeft(now time.Duration, name string) {
	m := v.members[name]
	if m == nil || name == v.self.Name || m.State == Left {
		return
	}
	m.State = Left
	m.Since = now
	m.Established = false
	v.history.add(Change{At: now, Name: name, Kind: ChangeLeft, Reason: "it said so"})
}

// DuplicateName records that there is another process with the name of a member.
func (v *View) DuplicateName(now time.Duration, name string, incarnation uint64) {
	m := v.members[name]
	if m == nil || m.DuplicateIncarnation == incarnation {
		return
	}
	m.DuplicateIncarnation = incarnation
	reason := fmt.Sprintf("two processes have this name, runs %x and %x: a copied directory or file?", m.Incarnation, incarnation)
	v.history.add(Change{At: now, Name: name, Kind: ChangeDuplicate, Reason: reason})
}

// nextEstablishedChange returns when Established of a member changes if its State doesn't. It reports false if Established won't change.
func (v *View) nextEstablishedChange(m *Member) (at time.Duration, ok bool) {
	switch {
	case m.Name == v.self.Name:
		return 0, false
	case m.State == Alive && !m.Established:
		return m.Since + v.damping.SettleTime<<m.Flaps, true
	case m.State == Failed && m.Established:
		return m.Since + v.damping.SettleTime, true
	}
	return 0, false
}

// Advance applies all changes that are due by now.
func (v *View) Advance(now time.Duration) {
	v.settled = v.settled || now >= v.startedAt+v.damping.SettleTime
	for _, m := range v.members {
		if at, ok := v.nextEstablishedChange(m); ok && now >= at {
			v.toggleEstablished(now, m)
		}
		if m.Flaps > 0 && m.State == Alive && m.Established && now >= m.nextFlapDecayAt {
			m.Flaps--
			m.nextFlapDecayAt = now + v.damping.FlapDecay
		}
	}
}

// toggleEstablished inverts and records whether a member is established.
func (v *View) toggleEstablished(now time.Duration, m *Member) {
	m.Established = !m.Established
	kind, reason := ChangeEstablished, fmt.Sprintf("seen for %v", now-m.Since)
	if !m.Established {
		kind, reason = ChangeNotEstablished, fmt.Sprintf("not seen for %v", now-m.Since)
	}
	v.history.add(Change{At: now, Name: m.Name, Kind: kind, Reason: reason})
}

// Next returns when the next change by Advance is due, unless new reports arrive before. It reports false if no change is pending.
func (v *View) Next() (next time.Duration, ok bool) {
	for _, m := range v.members {
		if at, due := v.nextEstablishedChange(m); due && (!ok || at < next) {
			next, ok = at, true
		}
	}
	if at := v.startedAt + v.damping.SettleTime; !v.settled && (!ok || at < next) {
		next, ok = at, true
	}
	return next, ok
}

// IsSettled reports whether the first SettleTime has passed. Until then no other member is established, and positions are not reliable.
func (v *View) IsSettled() bool { return v.settled }

// evictOldest removes the member that has been failed or gone for longest and is not established. It reports false if there is none.
func (v *View) evictOldest() bool {
	var oldest *Member
	for _, m := range v.members {
		if m.State == Alive || m.Established {
			continue
		}
		if oldest == nil || m.Since < oldest.Since || m.Since == oldest.Since && m.Name < oldest.Name {
			oldest = m
		}
	}
	if oldest != nil {
		delete(v.members, oldest.Name)
	}
	return oldest != nil
}

// Members returns copies of all known members, sorted by name.
func (v *View) Members() (members []Member) {
	for _, m := range v.members {
		members = append(members, *m)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// Changes returns the latest changes, the oldest first, and the number of new members that were ignored because of MaxMembers.
func (v *View) Changes() (changes []Change, ignored int) { return slices.Clone(v.history), v.ignored }

// SetSelf replaces this node's own metadata after a reload has changed its pools. The name must not change.
func (v *View) SetSelf(metadata Metadata) {
	v.self = metadata
	v.members[metadata.Name].Metadata = metadata
}
