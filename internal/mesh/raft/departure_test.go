package raft

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// leave has a register told to end, and waits until it may.
func (f *simulation) leave(addr string, within time.Duration) bool {
	n := f.members[addr]
	n.raft.BeginLeave(f.now)
	f.processReady(addr)
	for end := f.now + within; f.now < end && !n.raft.MayLeave(); {
		f.run(f.step)
	}
	return n.raft.MayLeave()
}

// holdsAcknowledged says that a register's disk has all that was acknowledged.
func (f *simulation) holdsAcknowledged(addr string) bool {
	n := f.members[addr]
	for index := range f.acknowledged {
		if n.snapshot.Index < index && (len(n.log) == 0 || n.log[len(n.log)-1].Index < index) {
			return false
		}
	}
	return true
}

// A member that is told to end goes only once those that stay hold what it does; 50 ms later another disk is lost. Either the
// leader or a follower leaves, and the third lagged.
func TestDepartureThenWipe(t *testing.T) {
	for seed := range uint64(40) {
		f := newSimulation(t, 300+seed, "a", "b", "c")
		f.step = 2 * time.Millisecond
		f.run(2 * time.Second)
		f.write("one")
		lead := f.leader().self.Addr
		others := []string{}
		for _, a := range f.addrs() {
			if a != lead {
				others = append(others, a)
			}
		}
		lags, leaves, stays := others[0], others[1], lead
		if seed%2 == 0 {
			leaves, stays = lead, others[1]
		}
		f.isolated[lags] = true
		for n := range 5 {
			f.write(fmt.Sprint("while it lags ", n))
		}
		assert.Assert(t, !f.leave(leaves, 300*time.Millisecond), "what it holds is on one other disk")
		delete(f.isolated, lags)
		assert.Assert(t, f.leave(leaves, 3*time.Second))
		assert.Assert(t, f.holdsAcknowledged(lags) && f.holdsAcknowledged(stays))
		gone := f.members[leaves]
		delete(f.members, leaves)
		f.run(50 * time.Millisecond)
		f.write("without it")
		f.startEmpty(stays, 20) // the disk of the one that had the other copy is lost
		f.run(100 * time.Millisecond)
		assert.Assert(t, f.holdsAcknowledged(lags))
		f.members[leaves], gone.now = gone, f.now
		gone.start()
		f.run(4 * time.Second)
		f.write("after it")
		f.requireComplete("a", "b", "c")
	}
}

// What is acknowledged after a member was told that it may go does not rest on it, though it still runs.
func TestNothingRestsOnTheReleased(t *testing.T) {
	f := newSimulation(t, 41, "a", "b", "c")
	f.run(2 * time.Second)
	f.write("one")
	l := f.leader()
	leaves, stays := "b", "c"
	if l.self.Addr != "a" {
		leaves, stays = "a", map[string]string{"b": "c", "c": "b"}[l.self.Addr]
	}
	assert.Assert(t, f.leave(leaves, time.Second))
	f.isolated[stays] = true
	index, _, ok := l.raft.Propose(f.now, []byte("two"))
	assert.Assert(t, ok)
	f.processReady(l.self.Addr)
	f.run(700 * time.Millisecond) // less than it takes to miss a majority
	assert.Assert(t, l.raft.log.committed < index)
	delete(f.isolated, stays)
	f.run(time.Second)
	assert.Assert(t, f.members[stays].raft.log.committed >= index)
}

// Nobody waits for what can't be: a core of one, a leader of the first build, or all that end together.
func TestDepartureWithoutWaiting(t *testing.T) {
	f := newSimulation(t, 42, "a")
	f.run(2 * time.Second)
	assert.Assert(t, f.leave("a", time.Millisecond))

	f = newSimulation(t, 43, "a", "b", "c")
	for _, a := range []string{"a", "b"} {
		f.members[a].legacyProtocol = true
		f.members[a].start()
	}
	f.run(2 * time.Second)
	if f.leader().self.Addr == "c" {
		f.crash("c", time.Second)
		f.run(time.Second)
	}
	assert.Assert(t, f.leave("c", time.Millisecond))

	f = newSimulation(t, 44, "a", "b", "c")
	f.run(2 * time.Second)
	f.write("one")
	for _, a := range f.addrs() {
		f.members[a].raft.BeginLeave(f.now)
		f.processReady(a)
	}
	f.run(time.Second)
	for _, a := range f.addrs() {
		assert.Assert(t, f.members[a].raft.MayLeave(), a)
	}
}

// A member that is told to end while a learner stands by gives its place to that one before it goes: another disk that is lost
// 50 ms later is the only vote that is missing. Either the leader leaves or a follower.
func TestDepartureWithLearner(t *testing.T) {
	for seed := range uint64(40) {
		f := newSimulation(t, 400+seed, "a", "b", "c")
		f.step = 2 * time.Millisecond
		f.run(2 * time.Second)
		f.write("one")
		f.startEmpty("d", 20)
		f.run(time.Second)
		lead := f.leader().self.Addr
		assert.Assert(t, !f.leader().raft.log.configuration.isVoter(20), "there are as many members as there should be")
		others := slices.DeleteFunc([]string{"a", "b", "c"}, func(a string) bool { return a == lead })
		leaves, wiped := others[0], others[1]
		if seed%2 == 0 {
			leaves = lead
		}
		f.requireMembersAtLeast(3)
		assert.Assert(t, f.leave(leaves, time.Second))
		delete(f.members, leaves)
		f.run(50 * time.Millisecond)
		f.startEmpty(wiped, 30)
		f.run(4 * time.Second)
		f.write("after it")
		f.requireComplete(f.addrs()...)
		assert.Assert(t, f.leader().raft.log.configuration.isVoter(20) && f.leader().raft.log.configuration.isVoter(30))
	}
}

// A learner that has come and hears nothing more, or never catches up, keeps no member from going.
func TestDepartureWithLostLearner(t *testing.T) {
	for seed := range uint64(20) {
		f := newSimulation(t, 500+seed, "a", "b", "c")
		f.run(2 * time.Second)
		f.write("one")
		lead := f.leader().self.Addr
		f.startEmpty("d", 20)
		f.cutLinks[[2]string{lead, "d"}] = true // it asks, and is not told anything
		f.run(200 * time.Millisecond)
		leaves := lead
		if seed%2 == 0 {
			leaves = f.follower()
		}
		assert.Assert(t, f.leave(leaves, 4*testElectionTimeout))
	}
}

// A member that goes for good, leader or follower, gives its place to a learner that stands by. 50 ms after it was told to end
// another loses its disk; those that are left are a majority all the same.
func TestDepartureGivesPlace(t *testing.T) {
	for seed := range uint64(40) {
		f := newSimulation(t, 700+seed, "a", "b", "c")
		f.step = 2 * time.Millisecond
		f.run(2 * time.Second)
		f.write("one")
		f.startEmpty("d", 10)
		f.run(time.Second)
		f.write("two")
		lead := f.leader().self.Addr
		others := slices.DeleteFunc(f.addrs(), func(a string) bool { return a == lead || a == "d" })
		leaves, wiped, stays := lead, others[0], others[1]
		if seed%2 == 0 {
			leaves, wiped = others[0], lead
		}
		f.members[leaves].raft.BeginLeave(f.now)
		f.processReady(leaves)
		f.run(50 * time.Millisecond)
		f.startEmpty(wiped, 20)
		for end := f.now + 1500*time.Millisecond; f.now < end && !f.members[leaves].raft.MayLeave(); {
			f.run(f.step)
		}
		delete(f.members, leaves)
		f.run(6 * time.Second)
		f.write("after it")
		left := []string{stays, wiped, "d"}
		slices.Sort(left)
		f.requireComplete(left...)
	}
}

// A learner that lacks something, or that says nothing any more, holds up nobody who is to go.
func TestDepartureWaitsForNoLearnerThatLags(t *testing.T) {
	for seed := range uint64(8) {
		f := newSimulation(t, 760+seed, "a", "b", "c")
		f.run(2 * time.Second)
		f.startEmpty("d", 10)
		f.run(time.Second)
		if f.isolated["d"] = seed%4 < 2; !f.isolated["d"] {
			for _, a := range []string{"a", "b", "c"} {
				f.cutLinks[[2]string{a, "d"}] = true
			}
		}
		f.write("without the learner")
		f.run(time.Second)
		leaves := f.leader().self.Addr
		if seed%2 == 0 {
			leaves = slices.DeleteFunc(f.addrs(), func(a string) bool { return a == leaves || a == "d" })[0]
		}
		assert.Assert(t, f.leave(leaves, time.Second), "seed %d", seed)
	}
}
