package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	testDamping = Damping{SettleTime: time.Second, FlapDecay: 30 * time.Second}
	testPool    = PoolID("app")
)

// testMetadata returns the metadata of a member that serves testPool.
func testMetadata(name string, incarnation uint64) Metadata {
	return Metadata{Name: name, Incarnation: incarnation, Protocol: Protocol, Zone: "a", Pools: []PoolDigest{{testPool, 7}}}
}

// memberName returns a name for a number. The names sort in the order of the numbers.
func memberName(i int) string { return fmt.Sprintf("n%03d", i) }

// observe reports the state of a member to a view.
func observe(v *View, now time.Duration, name string, state Liveness) {
	switch state {
	case Alive:
		v.MemberAlive(now, testMetadata(name, 1), "x")
	case Failed:
		v.MemberFailed(now, name)
	case Left:
		v.MemberLeft(now, name)
	}
}

// TestViewsConvergeInAnyOrder checks that views that receive the same reports on up to 300 members, in any order and with duplicates, have
// the same positions, and that these positions are those among the live members.
func TestViewsConvergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		n := rapid.IntRange(1, 300).Draw(t, "members")
		var views []*View
		for _, i := range []int{0, n - 1} {
			v := NewView(0, testMetadata(memberName(i), 1), testDamping)
			for _, j := range rng.Perm(n) {
				v.MemberAlive(time.Duration(rng.IntN(900))*ms, testMetadata(memberName(j), 1), "x")
			}
			views = append(views, v)
		}
		states := map[string]Liveness{}
		var want []string
		for j := range n {
			name := memberName(j)
			if states[name] = Liveness(rng.IntN(3)); j == 0 || j == n-1 {
				states[name] = Alive
			}
			if states[name] == Alive {
				want = append(want, name)
			}
		}
		for _, v := range views {
			for _, j := range rng.Perm(n) {
				for range 1 + rng.IntN(2) {
					observe(v, time.Second, memberName(j), states[memberName(j)])
				}
			}
			v.Advance(time.Minute)
		}
		for _, v := range views {
			p := v.Position(testPool)
			if !slices.Equal(p.Order, want) || p.Established != len(want) || p.Seen != len(want) || p.Order[p.Index] != v.self.Name {
				t.Fatalf("%s is %d of %d (%d seen) in %v, want %v", v.self.Name, p.Index, p.Established, p.Seen, p.Order, want)
			}
		}
	})
}

// TestMemberIsEstablishedAfterSettleTime follows one member as it joins, fails, flaps and leaves.
func TestMemberIsEstablishedAfterSettleTime(t *testing.T) {
	v := NewView(0, testMetadata("a", 1), testDamping)
	wantEstablished := func(now time.Duration, want int) {
		t.Helper()
		v.Advance(now)
		if got := v.Position(testPool).Established; got != want {
			t.Fatalf("at %v %d members are established, want %d: %v", now, got, want, v.history)
		}
	}
	v.MemberAlive(0, testMetadata("b", 1), "x")
	wantEstablished(999*ms, 1)
	wantEstablished(time.Second, 2)
	v.MemberFailed(2*time.Second, "b")
	wantEstablished(2900*ms, 2)
	v.MemberAlive(2950*ms, testMetadata("b", 2), "y") // back within SettleTime, as another process: it stays established
	wantEstablished(20*time.Second, 2)
	v.MemberFailed(20*time.Second, "b")
	if next, ok := v.Next(); !ok || next != 21*time.Second {
		t.Errorf("the next change is due at %v, %v; want 21s", next, ok)
	}
	wantEstablished(21*time.Second, 1)
	v.MemberAlive(22*time.Second, testMetadata("b", 2), "y") // back after it was no longer established: this takes twice as long
	wantEstablished(23900*ms, 1)
	wantEstablished(24*time.Second, 2)
	v.MemberLeft(25*time.Second, "b")
	wantEstablished(25*time.Second, 1)
	if _, ok := v.Next(); ok {
		t.Error("a change is due although no member's state is pending")
	}
}

func TestDuplicateNameIsRecorded(t *testing.T) {
	v := NewView(0, testMetadata("a", 1), testDamping)
	v.MemberAlive(26*time.Second, testMetadata("a", 9), "z")
	recorded := slices.ContainsFunc(v.history, func(c Change) bool { return c.Kind == "twins" }) // the text that operators read
	if m := v.Members()[0]; m.DuplicateIncarnation != 9 || !recorded {
		t.Errorf("a second process with the same name is not recorded: %+v, %v", m, v.history)
	}
}

// TestFlappingIsDamped checks that a member whose state changes at random becomes or stops being established at most ten times in a minute,
// and that a member that flaps twice a second never becomes established.
func TestFlappingIsDamped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewView(0, testMetadata("a", 1), testDamping)
		changes, established, alive := 0, 1, false
		fastFlapping := rapid.Bool().Draw(t, "fastFlapping")
		for now := time.Duration(0); now < time.Minute; now += 50 * ms {
			if fastFlapping && now%(250*ms) == 0 || !fastFlapping && rapid.IntRange(0, 25).Draw(t, "flap") == 0 {
				if alive = !alive; alive {
					observe(v, now, "b", Alive)
				} else {
					observe(v, now, "b", Failed)
				}
			}
			v.Advance(now)
			if p := v.Position(testPool); p.Established != established {
				established = p.Established
				changes++
			}
		}
		if changes > 10 || fastFlapping && changes > 0 {
			t.Fatalf("the number of established members changed %d times: %v", changes, v.history)
		}
	})
}

// TestIncompatibleMembersHaveNoPosition checks the classification of members that differ from this node, and that a pool's positions
// include only members that serve the pool and have a supported protocol version.
func TestIncompatibleMembersHaveNoPosition(t *testing.T) {
	v := NewView(0, testMetadata("a", 1), testDamping)
	other, none, foreign, many := testMetadata("other", 1), testMetadata("none", 1), testMetadata("foreign", 1), testMetadata("many", 1)
	other.Pools[0].Digest, none.Pools, foreign.Protocol, many.AllPools, many.Pools = 8, nil, Protocol+1, true, nil
	for _, c := range []struct {
		member Metadata
		want   Compatibility
	}{
		{other, DifferentSettings},
		{none, PoolNotServed},
		{foreign, IncompatibleProtocol},
		{many, Compatible},
	} {
		v.MemberAlive(0, c.member, "x")
		if got := v.Compare(v.members[c.member.Name], testPool); got != c.want {
			t.Errorf("%s is %q, want %q", c.member.Name, got, c.want)
		}
	}
	v.Advance(time.Minute)
	if p := v.Position(testPool); !slices.Equal(p.Order, []string{"a", "many", "other"}) {
		t.Errorf("the order of the pool's members is %v, want [a many other]", p.Order)
	}
}

// TestRememberedMembersAreBounded checks that new members beyond MaxMembers are ignored, unless one that has left can be evicted.
func TestRememberedMembersAreBounded(t *testing.T) {
	v := NewView(0, testMetadata("a", 1), testDamping)
	const beyond = 100
	for i := range MaxMembers - 1 + beyond {
		v.MemberAlive(time.Minute, testMetadata(fmt.Sprint("x", i), 1), "x")
	}
	if len(v.members) != MaxMembers || v.ignored != beyond {
		t.Errorf("%d members are remembered, %d ignored; want %d and %d", len(v.members), v.ignored, MaxMembers, beyond)
	}
	v.MemberLeft(time.Minute, "x7")
	v.MemberAlive(time.Minute, testMetadata("late", 1), "x")
	if v.members["late"] == nil || v.members["x7"] != nil {
		t.Error("a member that has left is not evicted for a new one")
	}
	if len(v.history) > maxRecordedChanges {
		t.Errorf("%d changes are kept, want at most %d", len(v.history), maxRecordedChanges)
	}
}
