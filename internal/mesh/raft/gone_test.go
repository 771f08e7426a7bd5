package raft

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// leaderAddr is the one member that leads, as far as those that run know.
func (f *simulation) leaderAddr() (addr string) {
	for _, a := range f.addrs() {
		if n := f.members[a]; n.raft.IsLeader() && !f.isolated[a] {
			addr = a
		}
	}
	return addr
}

// endProcess ends a member and tells the others that its port refuses them, if they are told.
func (f *simulation) endProcess(addr string, told bool) {
	id := f.members[addr].self.ID
	f.isolated[addr] = true
	for _, a := range f.addrs() {
		if a != addr && told {
			f.members[a].raft.ReportLeaderExited(f.now, id)
		}
	}
}

// Once the leader's process is known to have ended another leads long before the election timeout, in every order of the
// members, also where the first to ask lacks entries; without that knowledge none leads sooner than the timeout.
func TestLeaderGoneIsReplacedSoon(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		for _, told := range []bool{true, false} {
			f := newSimulation(t, seed, "a", "b", "c")
			f.run(3 * time.Second)
			old := f.leaderAddr()
			assert.Assert(t, old != "")
			behind := f.addrs()[(seed)%3]
			f.cutLinks[[2]string{old, behind}] = behind != old && seed%2 == 0
			_, _, ok := f.members[old].raft.Propose(f.now, []byte("x"))
			assert.Assert(t, ok)
			f.processReady(old)
			f.run(30 * time.Millisecond)
			f.endProcess(old, told)
			f.run(300 * time.Millisecond)
			if now := f.leaderAddr(); (now != "") != told {
				t.Fatalf("seed %d: told %v, and %q leads in the place of %q after 300 ms", seed, told, now, old)
			}
			f.run(3 * time.Second)
			assert.Assert(t, f.leaderAddr() != "")
		}
	}
}

// The first to ask may be refused, for the other has not heard yet that the leader is gone; where the other lacks entries it
// can't be elected itself, and its own question has the first ask again at once.
func TestLeaderGoneHeardLate(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		f := newSimulation(t, seed, "a", "b", "c")
		f.run(3 * time.Second)
		old := f.leaderAddr()
		id := f.members[old].self.ID
		first, second := "a", "b"
		switch old {
		case "a":
			first, second = "b", "c"
		case "b":
			second = "c"
		}
		f.cutLinks[[2]string{old, second}] = true
		_, _, ok := f.members[old].raft.Propose(f.now, []byte("x"))
		assert.Assert(t, ok)
		f.processReady(old)
		f.run(30 * time.Millisecond)
		f.endProcess(old, false)
		f.members[first].raft.ReportLeaderExited(f.now, id)
		f.run(30 * time.Millisecond)
		f.members[second].raft.ReportLeaderExited(f.now, id)
		f.run(150 * time.Millisecond)
		assert.Equal(t, f.leaderAddr(), first, "seed %d", seed)
	}
}

// Wrong evidence disturbs nobody: a leader that is alive keeps its term, whoever takes it for gone, as long as a majority
// hears it.
func TestLeaderGoneWrongly(t *testing.T) {
	for seed := uint64(1); seed <= 20; seed++ {
		f := newSimulation(t, seed, "a", "b", "c")
		f.run(3 * time.Second)
		old := f.leaderAddr()
		term := f.members[old].raft.Term()
		for round := range 30 {
			for i, a := range f.addrs() {
				if i == round%3 && a != old {
					f.members[a].raft.ReportLeaderExited(f.now, f.members[old].self.ID)
				}
			}
			f.run(150 * time.Millisecond)
		}
		assert.Equal(t, f.leaderAddr(), old)
		assert.Equal(t, f.members[old].raft.Term(), term)
	}
}

// A leader that asks for pre-votes has started again: who followed it grants them without waiting for its silence.
func TestLeaderThatAsksLeadsNoMore(t *testing.T) {
	f := newSimulation(t, 1, "a", "b", "c")
	f.run(3 * time.Second)
	old := f.leaderAddr()
	other := f.members["a"]
	if old == "a" {
		other = f.members["b"]
	}
	id, last := f.members[old].self.ID, other.raft.log.lastIndex()
	ask := Message{Kind: PreVote, From: id, To: other.self.ID, Index: last, LogTerm: other.raft.log.lastTerm()}
	ask.Term = other.raft.Term() // of before it led: late
	other.raft.Step(f.now, ask)
	assert.Equal(t, other.raft.Leader(), id)
	ask.Term++
	other.raft.Step(f.now, ask)
	rd := other.raft.Ready()
	assert.Equal(t, other.raft.Leader(), ID(0))
	said := rd.MessagesAfterSave[len(rd.MessagesAfterSave)-1]
	assert.Assert(t, said.Kind == PreVoteResponse && !said.Reject)
}

// A member that stalls for less than the election timeout, on its disk or for want of a processor, costs no election: neither a
// leader that sends nothing for so long nor a follower that hears nothing.
func TestShortStallKeepsTheLeader(t *testing.T) {
	const stall = testElectionTimeout - testHeartbeatInterval - 20*time.Millisecond // a beat may have been due just then, and takes a while
	for seed := uint64(1); seed <= 40; seed++ {
		f := newSimulation(t, seed, "a", "b", "c")
		f.run(3*time.Second + time.Duration(seed)*testHeartbeatInterval) // other waits are drawn
		old := f.leaderAddr()
		term := f.members[old].raft.Term()
		for _, a := range f.addrs() {
			f.isolated[a] = true
			f.run(stall)
			delete(f.isolated, a)
			f.run(2 * testHeartbeatInterval)
		}
		assert.Equal(t, f.leaderAddr(), old, "seed %d", seed)
		assert.Equal(t, f.members[old].raft.Term(), term)
	}
}

// Members that miss a silent leader together ask in their order: the first election is the last, and the wait for it is bounded.
func TestSilentLeaderIsReplacedInOneElection(t *testing.T) {
	const bound = testElectionTimeout + testElectionTimeout/5 // of the first in the list, with its ticks and messages
	for seed := uint64(1); seed <= 40; seed++ {
		f := newSimulation(t, seed, "a", "b", "c")
		f.run(3*time.Second + time.Duration(seed)*testHeartbeatInterval) // other waits are drawn
		old := f.leaderAddr()
		term := f.members[old].raft.Term()
		f.isolated[old] = true
		f.run(bound)
		now := f.leaderAddr()
		assert.Assert(t, now != "", "seed %d: none leads after %v", seed, bound)
		assert.Equal(t, f.members[now].raft.Term(), term+1, "seed %d", seed)
	}
}
