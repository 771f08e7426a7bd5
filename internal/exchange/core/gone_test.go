package core

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// leads is the one member that leads, as far as those that run know.
func (f *fleet) leads() (addr string) {
	for _, a := range f.addrs() {
		if n := f.nodes[a]; n.c.Leads() && !f.cut[a] {
			addr = a
		}
	}
	return addr
}

// kill ends a member and tells the others that its port refuses them, if they are told.
func (f *fleet) kill(addr string, told bool) {
	id := f.nodes[addr].self.ID
	f.cut[addr] = true
	for _, a := range f.addrs() {
		if a != addr && told {
			f.nodes[a].c.LeaderGone(f.now, id)
		}
	}
}

// Once the leader's process is known to have ended another leads long before the election timeout, in every order of the
// members, also where the first to ask lacks entries; without that knowledge none leads sooner than the timeout.
func TestLeaderGoneIsReplacedSoon(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		for _, told := range []bool{true, false} {
			f := newFleet(t, seed, "a", "b", "c")
			f.run(3 * time.Second)
			old := f.leads()
			assert.Assert(t, old != "")
			behind := f.addrs()[(seed)%3]
			f.oneWy[[2]string{old, behind}] = behind != old && seed%2 == 0
			_, _, ok := f.nodes[old].c.Propose(f.now, []byte("x"))
			assert.Assert(t, ok)
			f.turn(old)
			f.run(30 * time.Millisecond)
			f.kill(old, told)
			f.run(300 * time.Millisecond)
			if now := f.leads(); (now != "") != told {
				t.Fatalf("seed %d: told %v, and %q leads in the place of %q after 300 ms", seed, told, now, old)
			}
			f.run(3 * time.Second)
			assert.Assert(t, f.leads() != "")
		}
	}
}

// The first to ask may be refused, for the other has not heard yet that the leader is gone; where the other lacks entries it
// can't be elected itself, and its own question has the first ask again at once.
func TestLeaderGoneHeardLate(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		f := newFleet(t, seed, "a", "b", "c")
		f.run(3 * time.Second)
		old := f.leads()
		id := f.nodes[old].self.ID
		first, second := "a", "b"
		switch old {
		case "a":
			first, second = "b", "c"
		case "b":
			second = "c"
		}
		f.oneWy[[2]string{old, second}] = true
		_, _, ok := f.nodes[old].c.Propose(f.now, []byte("x"))
		assert.Assert(t, ok)
		f.turn(old)
		f.run(30 * time.Millisecond)
		f.kill(old, false)
		f.nodes[first].c.LeaderGone(f.now, id)
		f.run(30 * time.Millisecond)
		f.nodes[second].c.LeaderGone(f.now, id)
		f.run(150 * time.Millisecond)
		assert.Equal(t, f.leads(), first, "seed %d", seed)
	}
}

// Wrong evidence disturbs nobody: a leader that is alive keeps its term, whoever takes it for gone, as long as a majority
// hears it.
func TestLeaderGoneWrongly(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		f := newFleet(t, seed, "a", "b", "c")
		f.run(3 * time.Second)
		old := f.leads()
		term := f.nodes[old].c.Term()
		for round := range 30 {
			for i, a := range f.addrs() {
				if i == round%3 && a != old {
					f.nodes[a].c.LeaderGone(f.now, f.nodes[old].self.ID)
				}
			}
			f.run(150 * time.Millisecond)
		}
		assert.Equal(t, f.leads(), old)
		assert.Equal(t, f.nodes[old].c.Term(), term)
	}
}

// A leader that asks for pre-votes has started again: who followed it grants them without waiting for its silence.
func TestLeaderThatAsksLeadsNoMore(t *testing.T) {
	f := newFleet(t, 1, "a", "b", "c")
	f.run(3 * time.Second)
	old := f.leads()
	other := f.nodes["a"]
	if old == "a" {
		other = f.nodes["b"]
	}
	id, last := f.nodes[old].self.ID, other.c.last()
	ask := Message{Kind: Ask, From: id, To: other.self.ID, Index: last, LogTerm: other.c.lastTerm()}
	ask.Term = other.c.Term() // of before it led: late
	other.c.Step(f.now, ask)
	assert.Equal(t, other.c.Leader(), id)
	ask.Term++
	other.c.Step(f.now, ask)
	rd := other.c.Ready()
	assert.Equal(t, other.c.Leader(), ID(0))
	said := rd.After[len(rd.After)-1]
	assert.Assert(t, said.Kind == Asked && !said.Reject)
}

// A member that stalls for less than the election timeout, on its disk or for want of a processor, costs no election: neither a
// leader that sends nothing for so long nor a follower that hears nothing.
func TestShortStallKeepsTheLeader(t *testing.T) {
	const stall = electionT - beatT - 20*time.Millisecond // a beat may have been due just then, and takes a while
	for seed := uint64(1); seed <= 40; seed++ {
		f := newFleet(t, seed, "a", "b", "c")
		f.run(3*time.Second + time.Duration(seed)*beatT) // other waits are drawn
		old := f.leads()
		term := f.nodes[old].c.Term()
		for _, a := range f.addrs() {
			f.cut[a] = true
			f.run(stall)
			delete(f.cut, a)
			f.run(2 * beatT)
		}
		assert.Equal(t, f.leads(), old, "seed %d", seed)
		assert.Equal(t, f.nodes[old].c.Term(), term)
	}
}

// Members that miss a silent leader together ask in their order: the first election is the last, and the wait for it is bounded.
func TestSilentLeaderIsReplacedInOneElection(t *testing.T) {
	const bound = electionT + electionT/5 // of the first in the list, with its ticks and messages
	for seed := uint64(1); seed <= 40; seed++ {
		f := newFleet(t, seed, "a", "b", "c")
		f.run(3*time.Second + time.Duration(seed)*beatT) // other waits are drawn
		old := f.leads()
		term := f.nodes[old].c.Term()
		f.cut[old] = true
		f.run(bound)
		now := f.leads()
		assert.Assert(t, now != "", "seed %d: none leads after %v", seed, bound)
		assert.Equal(t, f.nodes[now].c.Term(), term+1, "seed %d", seed)
	}
}
