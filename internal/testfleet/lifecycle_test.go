package testfleet

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"cranegrade/internal/fleet"
)

// stateSettings has members keep state and take operators' calls.
const stateSettings = "operator = \"127.0.0.1:0\"\nstate = \"{state}\""

// rosterMoves is how often a member's place in the roster moved, as others report.
func (f *Fleet) rosterMoves(t *testing.T, name string, reporters ...int) (moves int) {
	t.Helper()
	for _, i := range reporters {
		s := f.awaitStatus(t, i)
		for _, c := range s.Changes {
			if c.Name == name && strings.Contains(c.What, "count") {
				moves++
			}
		}
	}
	return moves
}

// awaitStatus returns a member's status once it answers. On a busy machine that may take longer than the time-out of a call.
func (f *Fleet) awaitStatus(t *testing.T, member int) (s fleet.Status) {
	t.Helper()
	var err error
	if !Await(eventTimeout, func() bool {
		s, err = f.Members[member].Status(t.Context())
		return err == nil
	}) {
		t.Fatal(err)
	}
	return s
}

// TestRestartsAndReplacements lets a fleet of one member grow to five, then restarts, and then replaces those under load. All of it happens
// to one fleet, so that replacements meet the roster that the restarts have left.
func TestRestartsAndReplacements(t *testing.T) {
	t.Parallel()
	f := startFleet(t, FleetConfig{MemberCount: 1, SpareMembers: 9, ConfiguredNodes: 1, ServerCount: 4, Seed: 3})
	stop := f.startStreams(t, []int{0}, Traffic(40, untilStopped)...)
	f.awaitAgreement(t, true, 0)
	five := memberIndices(5)
	f.startMembers(t, five[1:]...)
	f.awaitAgreement(t, true, five...)
	f.testRestarts(t, five)
	f.testReplacements(t, five[1:])
	stop()
	assertRulesKept(t, f)
}

// testRestarts: a rolling restart, a restart that nobody notices, and a duplicate of a running member.
func (f *Fleet) testRestarts(t *testing.T, five []int) {
	t.Helper()
	for _, i := range five[1:] {
		f.Members[i].Terminate()
		f.startMembers(t, i)
		f.awaitAgreement(t, true, five...)
	}
	f.assertQuickRestartIsUnnoticed(t, five)
	f.assertDuplicateHasNoShare(t, five)
}

// testReplacements: four members back under their names at new addresses, and the death of all but one.
func (f *Fleet) testReplacements(t *testing.T, others []int) {
	t.Helper()
	// Four members die and come back one after the other at new addresses.
	for _, i := range others {
		f.Members[i].Kill()
		f.Members[i+5].Name = f.Members[i].Name
		f.startMembers(t, i+5)
	}
	f.awaitAgreement(t, true, 0, 6, 7, 8, 9)

	// All but one die. It keeps serving, and takes no share until operators say that the others are dead.
	for _, i := range []int{6, 7, 8, 9} {
		f.Members[i].Kill()
	}
	f.awaitShares(t)
	for _, i := range others {
		f.forget(t, 0, f.Members[i].Name)
	}
	f.awaitShares(t, 0)
}

// assertQuickRestartIsUnnoticed kills and starts the last of the members so quickly that it never stops counting at the others.
func (f *Fleet) assertQuickRestartIsUnnoticed(t *testing.T, members []int) {
	t.Helper()
	last := members[len(members)-1]
	reporters := members[:len(members)-1]
	name := f.Members[last].Name
	before := f.rosterMoves(t, name, reporters...)
	f.Members[last].Kill()
	f.startMembers(t, last)
	f.awaitAgreement(t, true, members...)
	if now := f.rosterMoves(t, name, reporters...); now != before {
		t.Errorf("its place moved %d times", now-before)
	}
}

// assertDuplicateHasNoShare starts a copy of a running member at another address: one of the two counts, and operators are told.
func (f *Fleet) assertDuplicateHasNoShare(t *testing.T, members []int) {
	t.Helper()
	duplicate := f.Members[5]
	duplicate.Name = "n4"
	f.startMembers(t, 5)
	isReported := func(m fleet.MemberStatus) bool { return m.Name == "n4" && m.Twin != "" }
	if !Await(eventTimeout, func() bool {
		s, err := f.Members[1].Status(t.Context())
		return err == nil && slices.ContainsFunc(s.Members, isReported)
	}) {
		t.Error("two processes of one name are not reported")
	}
	if role, err := duplicate.Role(t.Context()); err != nil || role.Standing {
		t.Errorf("the duplicate has a share: %+v, %v", role, err)
	}
	duplicate.Kill()
	f.awaitAgreement(t, true, members...)
}

// forget has a member forget another one, as operators do with one that is dead.
func (f *Fleet) forget(t *testing.T, at int, name string) {
	t.Helper()
	resp, err := http.Post("http://"+f.Members[at].inspectionAddr+"/fleet/forget?name="+name, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		t.Fatal(resp)
	}
}

// TestSeedsStartLast starts the members whose addresses are in all files after the others.
func TestSeedsStartLast(t *testing.T) {
	t.Parallel()
	f := startFleet(t, FleetConfig{SpareMembers: 5, ConfiguredNodes: 5, ServerCount: 1, Seed: 4})
	f.MemberCount = 2 // whose addresses are in the files
	f.startMembers(t, 4, 3, 2)
	f.awaitShares(t) // three of five run, but none knows of another
	f.startMembers(t, 1, 0)
	f.awaitAgreement(t, true, memberIndices(5)...)
}

// TestFlappingMemberKeepsItsPlace pauses and resumes a member again and again, each time for a quarter of the settling time. Nobody's place
// moves, and what is sent because of it stays small. The fleet is a slow one, so that no other process of a busy machine seems to have
// failed meanwhile.
func TestFlappingMemberKeepsItsPlace(t *testing.T) {
	t.Parallel()
	const (
		slowness          = 3
		pauseLength       = slowness * defaultSettle / 4
		maxBytesPerSecond = 50_000 / slowness
	)
	f := startFleet(t, FleetConfig{MemberCount: 4, ServerCount: 2, Seed: 5, Slowness: slowness})
	all := memberIndices(4)
	f.awaitAgreement(t, true, all...)
	before := make([]int, len(all))
	for i, m := range f.Members {
		before[i] = f.rosterMoves(t, m.Name, 0, 1, 2)
	}
	sent, start := f.Fabric.BytesSent(0), time.Now()
	for range 20 {
		f.Members[3].Pause()
		time.Sleep(pauseLength)
		f.Members[3].Resume()
		time.Sleep(pauseLength)
	}
	for i, m := range f.Members {
		if now := f.rosterMoves(t, m.Name, 0, 1, 2); now != before[i] {
			t.Errorf("the place of %s moved %d times", m.Name, now-before[i])
		}
	}
	if rate := float64(f.Fabric.BytesSent(0)-sent) / time.Since(start).Seconds(); rate > maxBytesPerSecond {
		t.Errorf("one of four sends %.0f bytes a second", rate)
	}
	f.awaitAgreement(t, true, all...)
}

// TestUpgradeKeepsThePlace: a successor takes its predecessor's place, and nobody else's moves. The program's commands show operators all of
// it, and a dead member that is forgotten.
func TestUpgradeKeepsThePlace(t *testing.T) {
	t.Parallel()
	f := startFleet(t, FleetConfig{MemberCount: 3, ServerCount: 2, Seed: 10, ExtraSettings: stateSettings})
	f.awaitAgreement(t, true, 0, 1, 2)
	stop := f.startStreams(t, []int{1}, Traffic(60, untilStopped)...)
	before := f.rosterMoves(t, "n1", 0, 2)
	if err := f.Members[1].Upgrade(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.awaitAgreement(t, true, 0, 1, 2)
	if moves := f.rosterMoves(t, "n1", 0, 2) - before; moves > 0 {
		t.Errorf("its place moved %d times", moves)
	}
	stop()
	if v := assertRulesKept(t, f); v.Served < 20 || v.Failed > 0 {
		t.Errorf("%+v", v)
	}
	var text string
	var err error
	if !Await(eventTimeout, func() bool { // a grant that came late has expired for a moment
		text, err = f.Members[0].RunCommand("fleet")
		return err == nil && strings.Contains(text, "3 names") && strings.Contains(text, "3 of 2")
	}) {
		t.Errorf("%v: %s", err, text)
	}
	if text, err := f.Members[0].RunCommand("fleet", "forget", "nobody"); err == nil || !strings.Contains(text, "no such member") {
		t.Errorf("%v: %s", err, text)
	}
	f.Members[2].Kill()
	f.awaitAgreement(t, true, 0, 1)
	if text, err := f.Members[0].RunCommand("fleet", "forget", "n2"); err != nil || !strings.Contains(text, "off the roll") {
		t.Errorf("%v: %s", err, text)
	}
	if !Await(eventTimeout, func() bool {
		text, err := f.Members[1].RunCommand("fleet", "-json")
		return err == nil && strings.Contains(text, `"gone": true`)
	}) {
		t.Error("the others do not learn of it")
	}
}
