package membership

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Damping sets how slowly a View follows what the gossip reports, in the manner of route flap damping (RFC 2439).
type Damping struct {
	// SettleTime is how long a member must be seen without a break until it is established, or missed until it is no longer.
	SettleTime time.Duration
	// FlapDecay is how long a member must stay until one of its flaps is forgiven.
	FlapDecay time.Duration
}

// maxFlaps bounds how often flaps double the time that a member must stay until it is established: to 32 times SettleTime.
const maxFlaps = 5

// Liveness is the state of a member as the gossip reports it.
type Liveness int

// The states of a member.
const (
	Alive  Liveness = iota
	Failed          // the gossip reports it as dead
	Left            // it announced that it leaves
)

// notSeenYet is the state of a new member until memberBack makes it Alive, within the same call. It is Left because a member that
// left and one that was never seen are treated alike: neither is established, and that it comes is not counted as a flap.
const notSeenYet = Left

// String returns the name of the state, as operators read it.
func (l Liveness) String() string { return [...]string{"alive", "failed", "left"}[l] }

// Member is what is known of a member.
type Member struct {
	Metadata
	Addr                 string // host:port of its gossip
	State                Liveness
	Since                time.Duration // when State began
	Established          bool          // capacity is divided among the established members, see Damping.SettleTime
	Flaps                int           // how often it has failed and come back lately, up to maxFlaps
	DuplicateIncarnation uint64        // of another process with the same name; 0 if none was met
	flapForgivenAt       time.Duration // when the next flap is forgiven if it stays
}

// View holds the members as one node sees them through the gossip.
type View struct {
	damping   Damping
	self      Metadata
	members   map[string]*Member // by name, with this node
	history   history
	ignored   int  // members that were not remembered, because of MaxMembers
	settled   bool // the first SettleTime has passed
	startedAt time.Duration
}

// NewView returns the view of a node that has just started and sees only itself.
func NewView(now time.Duration, self Metadata, damping Damping) *View {
	v := &View{damping: damping, self: self, members: map[string]*Member{}, startedAt: now}
	v.members[self.Name] = &Member{Metadata: self, State: Alive, Since: now, Established: true}
	return v
}

// MemberAlive records that the gossip sees a member, for the first time, again or still, with this metadata and address.
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
		m = &Member{State: notSeenYet, Since: now, flapForgivenAt: now}
		v.members[metadata.Name] = m
	}
	switch {
	case m.State != Alive:
		v.memberBack(now, m, metadata)
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

// memberBack records that a member is alive which was not before.
func (v *View) memberBack(now time.Duration, m *Member, metadata Metadata) {
	reason := "it is seen"
	if m.Incarnation != 0 && m.Incarnation != metadata.Incarnation {
		reason = "a new process of that name is seen"
	}
	if m.State == Failed && !m.Established {
		m.Flaps = min(m.Flaps+1, maxFlaps)
		m.flapForgivenAt = now + v.damping.FlapDecay
	}
	m.State = Alive
	m.Since = now
	v.history.add(Change{At: now, Name: metadata.Name, Kind: ChangeUp, Reason: reason})
}

// MemberFailed records that the gossip reports a member as dead. It stays established until it has been missed for SettleTime.
func (v *View) MemberFailed(now time.Duration, name string) {
	m := v.members[name]
	if m == nil || name == v.self.Name || m.State != Alive {
		return
	}
	m.State = Failed
	m.Since = now
	v.history.add(Change{At: now, Name: name, Kind: ChangeFailed, Reason: "nobody reaches it"})
}

// MemberLeft records that a member has announced that it leaves. It is not established any more from then on, without
// a delay: the announcement is its own, and it takes no further work.
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

// DuplicateName records that another process with the name of a member was met.
func (v *View) DuplicateName(now time.Duration, name string, incarnation uint64) {
	m := v.members[name]
	if m == nil || m.DuplicateIncarnation == incarnation {
		return
	}
	m.DuplicateIncarnation = incarnation
	reason := fmt.Sprintf("two processes have this name, runs %x and %x: a copied directory or file?", m.Incarnation, incarnation)
	v.history.add(Change{At: now, Name: name, Kind: ChangeDuplicate, Reason: reason})
}

// establishedChangeDue returns when Established of a member changes if its state stays. It reports false if that does not change.
func (v *View) establishedChangeDue(m *Member) (at time.Duration, ok bool) {
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

// Advance applies everything that is due by now.
func (v *View) Advance(now time.Duration) {
	v.settled = v.settled || now >= v.startedAt+v.damping.SettleTime
	for _, m := range v.members {
		if at, ok := v.establishedChangeDue(m); ok && now >= at {
			v.toggleEstablished(now, m)
		}
		if m.Flaps > 0 && m.State == Alive && m.Established && now >= m.flapForgivenAt {
			m.Flaps--
			m.flapForgivenAt = now + v.damping.FlapDecay
		}
	}
}

// toggleEstablished has a member become established that was not, or the other way round.
func (v *View) toggleEstablished(now time.Duration, m *Member) {
	m.Established = !m.Established
	kind, reason := ChangeEstablished, fmt.Sprintf("seen for %v", now-m.Since)
	if !m.Established {
		kind, reason = ChangeNotEstablished, fmt.Sprintf("not seen for %v", now-m.Since)
	}
	v.history.add(Change{At: now, Name: m.Name, Kind: kind, Reason: reason})
}

// Next returns when Advance has something to do if nothing is recorded before. It reports false if it never has.
func (v *View) Next() (next time.Duration, ok bool) {
	for _, m := range v.members {
		if at, due := v.establishedChangeDue(m); due && (!ok || at < next) {
			next, ok = at, true
		}
	}
	if at := v.startedAt + v.damping.SettleTime; !v.settled && (!ok || at < next) {
		next, ok = at, true
	}
	return next, ok
}

// IsSettled reports whether the first SettleTime is over. Until then no other member is established, and positions are guesses.
func (v *View) IsSettled() bool { return v.settled }

// evictOldest forgets the member that has been gone for longest. It reports false if none is gone.
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

// Members returns copies of all known members, by name.
func (v *View) Members() (members []Member) {
	for _, m := range v.members {
		members = append(members, *m)
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return members
}

// Changes returns the latest changes, the oldest first, and how many members were not remembered because of MaxMembers.
func (v *View) Changes() (changes []Change, ignored int) { return slices.Clone(v.history), v.ignored }

// SetSelf replaces this node's own metadata, after a reload changed its pools. The name must stay.
func (v *View) SetSelf(metadata Metadata) {
	v.self = metadata
	v.members[metadata.Name].Metadata = metadata
}
