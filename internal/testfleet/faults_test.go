package testfleet

import (
	"context"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"cranegrade/internal/admin"
	"cranegrade/internal/fake"
	"cranegrade/internal/fleet"
	"cranegrade/internal/fleet/membership"
)

// moves is how often a member's place moved at others, as they tell of it.
func (f *Fleet) rosterMoves(t *testing.T, of string, at ...int) (n int) {
	t.Helper()
	for _, i := range at {
		s, err := f.Members[i].Status(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range s.Changes {
			if c.Name == of && strings.Contains(c.What, "count") {
				n++
			}
		}
	}
	return n
}

// TestPartitions cuts links between six processes under load, each time for less than anything may come of it and then
// for long enough: who has the majority goes on, nobody else has a part, and all is whole after it.
func TestPartitions(t *testing.T) {
	t.Parallel()
	f := startFleet(t, FleetConfig{MemberCount: 6, ServerCount: 4, Seed: 2})
	all := []int{0, 1, 2, 3, 4, 5}
	f.awaitAgreement(t, true, all...)
	ctx, stop := context.WithCancel(context.Background())
	var load sync.WaitGroup
	for _, m := range f.Members {
		m.RunStreams(ctx, &load, Traffic(20, time.Hour)...)
	}
	cut := func(from, to int) { f.Fabric.SetLink(from, to, Link{Cut: true}) }
	for _, c := range []struct {
		name     string
		fault    func()
		standing []int
	}{
		{"1 and 5", func() { f.Fabric.Partition([]int{0}, []int{1, 2, 3, 4, 5}) }, []int{1, 2, 3, 4, 5}},
		{"3 and 3", func() { f.Fabric.Partition([]int{0, 1, 2}, []int{3, 4, 5}) }, nil},
		{"three parts", func() { f.Fabric.Partition([]int{0, 1}, []int{2, 3}, []int{4, 5}) }, nil},
		{"a chain: 0 and 5 don't hear each other", func() { cut(0, 5); cut(5, 0) }, all},
		{"one is not heard", func() {
			f.Fabric.Partition([]int{0})
			cut(0, 1)
			cut(0, 2)
			cut(0, 3)
			cut(0, 4)
			cut(0, 5)
		}, []int{1, 2, 3, 4, 5}},
		{"400 ms each way", func() { f.Fabric.SetAllLinks(Link{Delay: 400 * time.Millisecond}) }, all},
		{"30 % lost, some twice and out of turn", func() { f.Fabric.SetAllLinks(Link{Loss: 0.3, Duplicate: 0.2, Jitter: 100 * time.Millisecond}) }, nil},
	} {
		c.fault()
		if sum, _ := f.SumShares(t.Context(), all...); sum > 1+1e-9 {
			t.Errorf("%s: %v of the whole is taken", c.name, sum)
		}
		f.Fabric.Heal()
		f.awaitAgreement(t, true, all...)
		c.fault()
		if strings.HasPrefix(c.name, "30") { // who stands in it is chance; that is never too much
			for range 20 {
				if sum, _ := f.SumShares(t.Context(), all...); sum > 1+1e-9 {
					t.Errorf("%s: %v of the whole is taken", c.name, sum)
				}
			}
		} else {
			f.awaitShares(t, c.standing...)
		}
		f.Fabric.Heal()
		f.awaitAgreement(t, true, all...)
	}
	stop()
	load.Wait()
	if v := assertRulesKept(t, f); v.Served < 100 {
		t.Errorf("%+v", v)
	}
}

// TestComingAndGoing: seeds that start last, growth from one to six and back, a rolling restart, a process back before
// anybody missed it, five back under their names at new addresses, a copy of a running one, all but one dead.
func TestComingAndGoing(t *testing.T) {
	t.Parallel()
	f := startFleet(t, FleetConfig{MemberCount: 1, SpareMembers: 9, ConfiguredNodes: 1, ServerCount: 4, Seed: 3})
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	var load sync.WaitGroup
	f.Members[0].RunStreams(ctx, &load, Traffic(40, time.Hour)...)
	f.awaitAgreement(t, true, 0)
	five := []int{0, 1, 2, 3, 4}
	for _, i := range five[1:] { // growth
		must(f.Members[i].Start())
	}
	f.awaitAgreement(t, true, five...)
	for _, i := range five[1:] { // a rolling restart
		f.Members[i].Terminate()
		must(f.Members[i].Start())
		f.awaitAgreement(t, true, five...)
	}
	// Back before anybody missed it: it never stops counting at the others.
	moved := f.rosterMoves(t, "n4", 0, 1, 2, 3)
	f.Members[4].Kill()
	must(f.Members[4].Start())
	f.awaitAgreement(t, true, five...)
	if now := f.rosterMoves(t, "n4", 0, 1, 2, 3); now != moved {
		t.Errorf("its place moved %d times", now-moved)
	}
	// A copy of a running member, at another address: one of them counts, and operators are told.
	f.Members[5].Name = "n4"
	must(f.Members[5].Start())
	if !Await(timeout, func() bool {
		s, err := f.Members[1].Status(t.Context())
		return err == nil && slices.ContainsFunc(s.Members, func(m fleet.MemberStatus) bool { return m.Name == "n4" && m.Twin != "" })
	}) {
		t.Error("two processes of one name are not told")
	}
	if r, err := f.Members[5].Role(t.Context()); err != nil || r.Standing {
		t.Errorf("the copy has a part: %+v, %v", r, err)
	}
	f.Members[5].Kill()
	f.awaitAgreement(t, true, five...)
	// Four die and come back one after the other at new addresses.
	for _, i := range five[1:] {
		f.Members[i].Kill()
		f.Members[i+5].Name = f.Members[i].Name
		must(f.Members[i+5].Start())
	}
	f.awaitAgreement(t, true, 0, 6, 7, 8, 9)
	// All but one die. It goes on, and takes no part until operators say that the others are dead.
	for _, i := range []int{6, 7, 8, 9} {
		f.Members[i].Kill()
	}
	f.awaitShares(t)
	for _, i := range five[1:] {
		resp, err := http.Post("http://"+f.Members[0].inspectionAddr+"/fleet/forget?name="+f.Members[i].Name, "", nil)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal(resp, err)
		}
		resp.Body.Close()
	}
	f.awaitShares(t, 0)
	stop()
	load.Wait()
	assertRulesKept(t, f)
}

// TestSeedsLast: the members whose addresses all the others have are the last to start.
func TestSeedsLast(t *testing.T) {
	t.Parallel()
	f := startFleet(t, FleetConfig{SpareMembers: 5, ConfiguredNodes: 5, ServerCount: 1, Seed: 4})
	f.FleetConfig.MemberCount = 2 // of whom the files tell
	for _, i := range []int{4, 3, 2} {
		if err := f.Members[i].Start(); err != nil {
			t.Fatal(err)
		}
	}
	f.awaitShares(t) // three of five, but nobody knows of another
	for _, i := range []int{1, 0} {
		if err := f.Members[i].Start(); err != nil {
			t.Fatal(err)
		}
	}
	f.awaitAgreement(t, true, 0, 1, 2, 3, 4)
}

// TestFlapping stops and resumes a member four times a second: nobody's place moves, nobody else is given up, and what
// is sent for it stays small.
func TestFlapping(t *testing.T) {
	t.Parallel()
	f := startFleet(t, FleetConfig{MemberCount: 4, ServerCount: 2, Seed: 5})
	f.awaitAgreement(t, true, 0, 1, 2, 3)
	before := make([]int, 4)
	for i, m := range f.Members {
		before[i] = f.rosterMoves(t, m.Name, 0, 1, 2)
	}
	sent, began := f.Fabric.BytesSent(0), time.Now()
	for range 20 {
		f.Members[3].Pause()
		time.Sleep(125 * time.Millisecond)
		f.Members[3].Resume()
		time.Sleep(125 * time.Millisecond)
	}
	for i, m := range f.Members {
		if now := f.rosterMoves(t, m.Name, 0, 1, 2); now != before[i] {
			t.Errorf("the place of %s moved %d times", m.Name, now-before[i])
		}
	}
	if rate := float64(f.Fabric.BytesSent(0)-sent) / time.Since(began).Seconds(); rate > 50_000 {
		t.Errorf("%.0f bytes a second are sent by one of four", rate)
	}
	f.awaitAgreement(t, true, 0, 1, 2, 3)
}

// TestForged has strangers talk to members: noise, messages cut short, too long, played again, and members that are not
// what they say. Nothing moves, memory stays, and the log says little.
func TestForged(t *testing.T) {
	t.Parallel()
	key := []byte("0123456789abcdef")
	f := startFleet(t, FleetConfig{MemberCount: 3, ServerCount: 1, Seed: 6, GossipKey: base64.StdEncoding.EncodeToString(key)})
	f.awaitAgreement(t, true, 0, 1, 2)
	_, before := f.Members[0].Process.Resources()
	to := f.Fabric.ListenAddr(0)
	u, err := net.Dial("udp", to)
	if err != nil {
		t.Fatal(err)
	}
	defer u.Close()
	rng := rand.New(rand.NewPCG(6, 6))
	for i := range 3000 {
		b := make([]byte, 1+rng.IntN([]int{10, 100, 1400, 60_000}[i%4]))
		for j := range b {
			b[j] = byte(rng.Uint32())
		}
		if i%2 == 0 {
			b[0] = byte(rng.IntN(15)) // kinds that there are
		}
		u.Write(b)
		if i%50 == 0 {
			if c, err := net.Dial("tcp", to); err == nil {
				c.Write(b)
				defer c.Close()
			}
		}
	}
	f.Fabric.SetAllLinks(Link{Duplicate: 1, Jitter: 500 * time.Millisecond}) // all is played twice, and in any order
	time.Sleep(time.Second)
	f.Fabric.Heal()
	// Strangers that know the key, but are no members that can be counted.
	for i, s := range []struct {
		name string
		meta []byte
	}{
		{strings.Repeat("n", 10_000), membership.Card{Name: "x", Protocol: 1}.Encode()},
		{"noise", []byte("noise")},
		{"other", membership.Card{Name: "n1", Protocol: 1}.Encode()},
		{"bad name", membership.Card{Name: "bad name", Protocol: 1}.Encode()},
		{"later", membership.Card{Name: "later", Protocol: 9, Run: 1, All: true}.Encode()},
	} {
		c := memberlist.DefaultLocalConfig()
		c.Name, c.BindAddr, c.BindPort, c.AdvertiseAddr, c.Label, c.SecretKey, c.LogOutput = s.name, fmt.Sprintf("127.0.3.%d", i+1), 0, fmt.Sprintf("127.0.3.%d", i+1), "cranegrade", key, discardWriter{}
		c.Delegate = strangerDelegate(s.meta)
		l, err := memberlist.Create(c)
		if err != nil {
			continue // the library itself turns it away
		}
		defer l.Shutdown()
		l.Join([]string{f.Fabric.PublicAddr(0), to})
	}
	// The last is of a later protocol: it takes no part, but may act, as far as anybody knows.
	if !Await(timeout, func() bool {
		r, err := f.Members[0].Role(t.Context())
		return err == nil && r.Differ["later"] == "another protocol"
	}) {
		t.Error("a member of another protocol is not told")
	}
	for _, m := range f.Members {
		s, err := m.Status(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if r := s.Pools[0]; !slices.Equal(r.Order, []string{"n0", "n1", "n2"}) {
			t.Errorf("%s counts %v", m.Name, r.Order)
		}
		if len(s.Members) > 4 {
			t.Errorf("%s knows %d members", m.Name, len(s.Members))
		}
		if n := strings.Count(m.Process.Tail(), "\n"); n > 40 {
			t.Errorf("%s has said %d lines", m.Name, n)
		}
	}
	if _, after := f.Members[0].Process.Resources(); before > 0 && after > before+40_000 {
		t.Errorf("%d kB resident, %d before", after, before)
	}
}

type discardWriter struct{}

func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }

// stranger tells only its card.
type strangerDelegate []byte

func (s strangerDelegate) NodeMeta(int) []byte           { return s }
func (strangerDelegate) NotifyMsg([]byte)                {}
func (strangerDelegate) GetBroadcasts(int, int) [][]byte { return nil }
func (strangerDelegate) LocalState(bool) []byte          { return nil }
func (strangerDelegate) MergeRemoteState([]byte, bool)   {}

// TestUpgradeOfMember: a successor takes its predecessor's place, and nobody else's moves. Operators see it all.
func TestUpgradeOfMember(t *testing.T) {
	t.Parallel()
	f := startFleet(t, FleetConfig{MemberCount: 3, ServerCount: 2, Seed: 10, ExtraSettings: "operator = \"127.0.0.1:0\"\nstate = \"{state}\""})
	f.awaitAgreement(t, true, 0, 1, 2)
	ctx, stop := context.WithCancel(context.Background())
	var load sync.WaitGroup
	f.Members[1].RunStreams(ctx, &load, Traffic(60, time.Hour)...)
	before := f.rosterMoves(t, "n1", 0, 2)
	if err := f.Members[1].Upgrade(t.Context()); err != nil {
		t.Fatal(err)
	}
	f.awaitAgreement(t, true, 0, 1, 2)
	if now := f.rosterMoves(t, "n1", 0, 2) - before; now > 0 {
		t.Errorf("its place moved %d times", now)
	}
	stop()
	load.Wait()
	if v := assertRulesKept(t, f); v.Served < 20 || v.Failed > 0 {
		t.Errorf("%+v", v)
	}
	text, err := f.Members[0].RunCommand("fleet")
	if err != nil || !strings.Contains(text, "3 names") || !strings.Contains(text, "3 of 2") {
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
	if !Await(timeout, func() bool {
		text, err := f.Members[1].RunCommand("fleet", "-json")
		return err == nil && strings.Contains(text, `"gone": true`)
	}) {
		t.Error("the others do not hear of it")
	}
}

// TestStates starts a member again with its state, with an older copy, with a torn one, with none and with another's: it
// starts each time, takes its place, and has the orders that its state holds.
func TestStates(t *testing.T) {
	t.Parallel()
	f := startFleet(t, FleetConfig{MemberCount: 3, ServerCount: 4, Seed: 13, ExtraSettings: "operator = \"127.0.0.1:0\"\nstate = \"{state}\""})
	f.awaitAgreement(t, true, 0, 1, 2)
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	order := func(m *Member, verb admin.Verb, id string) {
		t.Helper()
		addr, err := m.Process.AwaitLogged("operators call on ")
		must(err)
		if !Await(timeout, func() bool { // its list may not have come yet
			ctx, cancel := context.WithTimeout(context.Background(), timeout)
			defer cancel()
			yes, _, err := admin.Send(ctx, addr, admin.Command{Verb: verb, ID: id})
			return yes && err == nil
		}) {
			t.Fatalf("%s %s is refused", verb, id)
		}
	}
	m := f.Members[1]
	m.Kill()
	must(m.SaveState("before"))
	must(m.Start())
	order(m, admin.SetDown, "s-00")
	f.Members[2].Kill()
	must(f.Members[2].SaveState("another's"))
	must(f.Members[2].Start())
	for _, c := range []struct {
		name string
		do   func() error
		out  bool
	}{
		{"its own", func() error { return nil }, true},
		{"an older copy", func() error { return m.RestoreState("before") }, false},
		{"its own once more", func() error { return m.RestoreState("after") }, true},
		{"a torn one", m.TruncateState, false},
		{"another's", func() error { return m.RestoreState("another's") }, false},
		{"none", m.ClearState, false},
	} {
		m.Kill()
		if c.name == "its own" {
			must(m.SaveState("after"))
		}
		must(c.do())
		must(m.Start())
		f.awaitAgreement(t, true, 0, 1, 2)
		from := f.Recorder.Now()
		for range 60 {
			m.Callers.Do(fake.Stream{Host: Host, Class: ReadClass})
		}
		n := 0
		for _, a := range f.Recorder.History().Arrivals {
			if a.FirstByteAt > from && a.Server == "s-00" {
				n++
			}
		}
		if c.out != (n == 0) {
			t.Errorf("with %s the server that was taken out got %d of 60", c.name, n)
		}
	}
	assertRulesKept(t, f)
}
