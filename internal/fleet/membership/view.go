package membership

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Settle says how slowly a view follows what is seen.
type Settle struct {
	After      time.Duration // a member that is seen to come or go for so long, without a break, has
	FlapForget time.Duration // a member that was there for so long is forgiven one flap
}

// maxFlaps bounds how often a flapping member doubles the time that it must stay: 32 times After.
const maxFlaps = 5

// Liveness is what is seen of a member now.
type Liveness int

// States of members.
const (
	Alive  Liveness = iota
	Failed          // it answers nobody
	Left            // it said so
)

func (l Liveness) String() string { return [...]string{"alive", "failed", "left"}[l] }

// Member is what is known of one.
type Member struct {
	Card
	Addr   string
	State  Liveness
	Since  time.Duration // of State
	Agreed bool          // it counts
	Flaps  int           // how often it came and went of late
	calm   time.Duration // when one of them is forgiven
	Twin   uint64        // run of another process with the same name; 0: none was met
}

// View is who is there, as one node sees it.
type View struct {
	settle   Settle
	me       Card
	members  map[string]*Member // with me
	history  history
	ignored  int  // members beyond MaxMembers
	released bool // the first settling is over
	started  time.Duration
}

// NewView returns the view of a node that has just started and sees only itself.
func NewView(now time.Duration, me Card, s Settle) *View {
	v := &View{settle: s, me: me, members: map[string]*Member{}, started: now}
	v.members[me.Name] = &Member{Card: me, State: Alive, Since: now, Agreed: true}
	return v
}

// Up is told that a member lives, again or still, and what it says of itself.
func (v *View) Up(now time.Duration, c Card, addr string) {
	if c.Name == v.me.Name {
		if c.Run != v.me.Run {
			v.Duplicate(now, c.Name, c.Run)
		}
		return
	}
	m := v.members[c.Name]
	if m == nil {
		if len(v.members) >= MaxMembers && !v.forget() {
			v.ignored++
			return
		}
		m = &Member{State: Left, Since: now, calm: now}
		v.members[c.Name] = m
	}
	switch {
	case m.State != Alive:
		why := "it is seen"
		if m.Run != 0 && m.Run != c.Run {
			why = "a new process of that name is seen"
		}
		if m.State == Failed && !m.Agreed {
			m.flap(now, v.settle)
		}
		m.State, m.Since = Alive, now
		v.history.add(Change{now, c.Name, "up", why})
	case m.Run != c.Run:
		v.history.add(Change{now, c.Name, "restarted", "a new process of that name is seen before the old one was missed"})
	}
	m.Card, m.Addr = c, addr
}

// Down is told that a member is not seen any more, or that it said that it leaves.
func (v *View) Down(now time.Duration, name string, left bool) {
	m := v.members[name]
	if m == nil || name == v.me.Name || m.State == Left || m.State == Failed && !left {
		return
	}
	m.Since = now
	if left { // nobody accuses it, and it takes nothing more: others take its part over at once
		m.State, m.Agreed = Left, false
		v.history.add(Change{now, name, "left", "it said so"})
		return
	}
	m.State = Failed
	v.history.add(Change{now, name, "failed", "nobody reaches it"})
}

// Duplicate is told of two processes with one name.
func (v *View) Duplicate(now time.Duration, name string, run uint64) {
	m := v.members[name]
	if m == nil || m.Twin == run {
		return
	}
	m.Twin = run
	v.history.add(Change{now, name, "twins", fmt.Sprintf("two processes have this name, runs %x and %x: a copied directory or file?", m.Run, run)})
}

// flap counts that a member came back after it had been given up.
func (m *Member) flap(now time.Duration, s Settle) {
	m.Flaps = min(m.Flaps+1, maxFlaps)
	m.calm = now + s.FlapForget
}

// due is when a member's place changes if nothing happens before; false: never.
func (v *View) due(m *Member) (time.Duration, bool) {
	switch {
	case m.Name == v.me.Name:
		return 0, false
	case m.State == Alive && !m.Agreed:
		return m.Since + v.settle.After<<m.Flaps, true
	case m.State == Failed && m.Agreed:
		return m.Since + v.settle.After, true
	}
	return 0, false
}

// Advance takes what has come due by now.
func (v *View) Advance(now time.Duration) {
	v.released = v.released || now >= v.started+v.settle.After
	for _, m := range v.members {
		if at, is := v.due(m); is && now >= at {
			m.Agreed = !m.Agreed
			what, why := "counts", fmt.Sprintf("seen for %v", now-m.Since)
			if !m.Agreed {
				what, why = "does not count", fmt.Sprintf("not seen for %v", now-m.Since)
			}
			v.history.add(Change{now, m.Name, what, why})
		}
		if m.Flaps > 0 && m.State == Alive && m.Agreed && now >= m.calm {
			m.Flaps--
			m.calm = now + v.settle.FlapForget
		}
	}
}

// Next is when Advance has something to do; false: never, unless something is told before.
func (v *View) Next() (next time.Duration, is bool) {
	for _, m := range v.members {
		if at, due := v.due(m); due && (!is || at < next) {
			next, is = at, true
		}
	}
	if at := v.started + v.settle.After; !v.released && (!is || at < next) {
		next, is = at, true
	}
	return next, is
}

// Settled says that the first settling is over: before that nobody else counts, and what is told of places is a guess.
func (v *View) Settled() bool { return v.released }

// forget drops the member that has been gone longest; false if none is gone.
func (v *View) forget() bool {
	var oldest *Member
	for _, m := range v.members {
		if m.State != Alive && !m.Agreed && (oldest == nil || m.Since < oldest.Since || m.Since == oldest.Since && m.Name < oldest.Name) {
			oldest = m
		}
	}
	if oldest != nil {
		delete(v.members, oldest.Name)
	}
	return oldest != nil
}

// Standing of a member in a pool, by what it says of itself.
type Fit int

// How members fit, from what is tolerated to what is not counted.
const (
	Same     Fit = iota
	Settings     // other settings of the pool: counted, and told, for both spend the same rations
	Without      // it does not serve the pool: not counted
	Foreign      // it speaks another protocol: not counted, but it may act
)

func (f Fit) String() string {
	return [...]string{"same", "other settings", "not in this pool", "another protocol"}[f]
}

// Fits compares a member with this node as far as a pool goes.
func (v *View) Fits(m *Member, pool uint32) Fit {
	own, _ := v.me.serves(pool)
	digest, is := m.serves(pool)
	switch {
	case m.Protocol < MinProtocol || m.Protocol > Protocol:
		return Foreign
	case !is:
		return Without
	case digest != own && !m.All && !v.me.All:
		return Settings
	}
	return Same
}

// Place is who takes part in a pool.
type Place struct {
	Order  []string // the members that count, by name: the same at all who have seen the same
	Index  int      // of this node among them
	Seen   int      // members that serve the pool and are seen now, whether they count yet or not
	Agreed int      // members that count: what capacity is divided by
}

// Place is this node's in a pool.
func (v *View) Place(pool uint32) Place {
	var p Place
	for name, m := range v.members {
		if fit := v.Fits(m, pool); name != v.me.Name && fit != Same && fit != Settings {
			continue
		}
		if m.State == Alive {
			p.Seen++
		}
		if m.Agreed {
			p.Order = append(p.Order, name)
		}
	}
	slices.Sort(p.Order)
	p.Agreed = len(p.Order)
	p.Index, _ = slices.BinarySearch(p.Order, v.me.Name)
	return p
}

// Members are all that are known, by name.
func (v *View) Members() (l []Member) {
	for _, m := range v.members {
		l = append(l, *m)
	}
	slices.SortFunc(l, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return l
}

// Changes are the last changes, and how many members were left out for there are too many.
func (v *View) Changes() (l []Change, ignored int) { return slices.Clone(v.history), v.ignored }

// Self tells the view that this node's pools are others.
func (v *View) Self(c Card) {
	v.me = c
	v.members[c.Name].Card = c
}
