package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// neverFewer has the test fail once a leader's configuration has fewer members than there should be.
func (f *fleet) neverFewer(than int) {
	f.each = func() {
		for _, a := range f.addrs() {
			if n := f.nodes[a]; n.c.Leads() && len(n.c.config.Members) < than {
				f.t.Fatalf("%s leads %+v at %v", a, n.c.config, f.now)
			}
		}
	}
}

// crash has a register start again with its disk after a while.
func (f *fleet) crash(addr string, down time.Duration) {
	n := f.nodes[addr]
	f.cut[addr] = true
	f.run(down)
	n.now = f.now
	n.start()
	delete(f.cut, addr)
}

// A lost member's place is never empty: the learner that has caught up is exchanged for it, at its own address or at another.
func TestExchange(t *testing.T) {
	for _, at := range []string{"c", "d"} {
		f := newFleet(t, 11, "a", "b", "c")
		f.run(2 * time.Second)
		f.write("one")
		gone := "c"
		if f.leader().self.Addr == "c" {
			gone = "a"
		}
		if at == "c" {
			at = gone
		}
		f.neverFewer(3)
		delete(f.nodes, gone)
		f.run(3 * time.Second)
		f.join(at, 20)
		f.run(2 * time.Second)
		f.write("two")
		f.whole(f.addrs()...)
		assert.Equal(t, len(f.addrs()), 3)
	}
}

// phases runs a scenario with a fault at each moment of an exchange, 4 ms apart, from the join on until it is done.
func phases(t *testing.T, fault func(f *fleet, lead string)) {
	for at := time.Duration(0); at < 400*time.Millisecond; at += 4 * time.Millisecond {
		f := newFleet(t, uint64(at), "a", "b", "c")
		f.step = 2 * time.Millisecond
		f.run(2 * time.Second)
		f.write("one")
		lead := f.leader().self.Addr
		gone := slices.IndexFunc(f.addrs(), func(a string) bool { return a != lead })
		f.join(f.addrs()[gone], 20) // its disk is lost
		f.run(at)
		f.neverFewer(3)
		fault(f, lead)
		f.run(4 * time.Second)
		f.write("two")
		f.whole("a", "b", "c")
		assert.Assert(t, f.leader().c.config.votes(f.nodes[f.addrs()[gone]].self.ID) && !f.leader().c.config.joint())
	}
}

// The leader is lost at each moment of an exchange; it comes back with its disk.
func TestLeaderLostInExchange(t *testing.T) {
	phases(t, func(f *fleet, lead string) { f.crash(lead, time.Second) })
}

// The learner is lost at each moment of an exchange, with its disk: another id takes the place.
func TestJoinerLostInExchange(t *testing.T) {
	phases(t, func(f *fleet, lead string) {
		for a, n := range f.nodes {
			if n.self.ID == 20 {
				f.join(a, 30)
			}
		}
	})
}

// The leader's disk is lost right after the exchange of another was committed: nothing that was acknowledged is lost with it.
func TestTwoWipesAroundAnExchange(t *testing.T) {
	for seed := range uint64(50) {
		f := newFleet(t, 100+seed, "a", "b", "c")
		f.step = 2 * time.Millisecond
		f.run(2 * time.Second)
		f.write("one")
		lead := f.leader()
		gone := slices.IndexFunc(f.addrs(), func(a string) bool { return a != lead.self.Addr })
		f.join(f.addrs()[gone], 20)
		for range 2000 {
			if lead.c.config.votes(20) && !lead.c.config.joint() && lead.c.commit >= lead.c.config.Index {
				break
			}
			f.run(f.step)
		}
		f.write("two")
		f.join(lead.self.Addr, 30)
		f.run(5 * time.Second)
		f.write("three")
		f.whole("a", "b", "c")
	}
}

// A member that an exchange put in is voted for by one that has not heard of the exchange: else the two that are left, of three
// of which one is down, would never have a leader.
func TestVoteForOneUnknown(t *testing.T) {
	w := led(t, 3)
	n := &node{self: Member{4, "r4"}}
	n.start()
	w.nodes = append(w.nodes, n)
	// The first has 4 take the place of 3; the second hears nothing of it.
	w.nodes[0].c.takeJoin(Message{Kind: Join, From: 4, Addr: "r4"})
	w.nodes[0].c.add(Entry{Kind: View, Members: []Member{{1, "r1"}, {2, "r2"}, {4, "r4"}}})
	assert.NilError(t, w.turn(0, whole, plant{}))
	settleBut(t, w, 2, 3)
	assert.Assert(t, n.c.config.votes(4) && !w.nodes[1].c.config.votes(4))
	// The first is gone, and 4 has what the second lacks.
	for range 4 {
		if n.c.Leads() {
			break
		}
		n.now += 3 * electionT
		w.nodes[1].now += 3 * electionT
		n.c.Tick(n.now)
		assert.NilError(t, w.turn(3, whole, plant{}))
		settleBut(t, w, 1, 3)
	}
	assert.Assert(t, n.c.Leads())
}

// A leader that a change takes out does not count itself for the new members, and gives up once the change is committed.
func TestLeaderTakenOut(t *testing.T) {
	w := led(t, 3)
	for _, m := range []Member{{4, "r4"}, {5, "r5"}} {
		n := &node{self: m}
		n.start()
		w.nodes = append(w.nodes, n)
	}
	old := w.nodes[0].c
	old.add(Entry{Kind: View, Members: []Member{{2, "r2"}, {4, "r4"}, {5, "r5"}}, Outgoing: old.config.Members, Version: Version})
	assert.NilError(t, w.turn(0, whole, plant{}))
	settleBut(t, w, 4, 5)
	assert.Assert(t, old.commit < old.config.Index, "of the new members it has the second alone, and itself is none")
	for range 6 {
		for _, n := range w.nodes {
			n.now += beatT
		}
		old.Tick(w.nodes[0].now)
		assert.NilError(t, w.turn(0, whole, plant{}))
		settle(t, w)
	}
	assert.Assert(t, !old.Leads() && old.Outside())
	assert.Assert(t, slices.ContainsFunc(w.nodes[1:], func(n *node) bool { return n.c.Leads() && !n.c.config.joint() }))
}

// Registers of the first build beside those of this one, either leading: a lost member is replaced the way that all know, and
// once all are of this build by an exchange.
func TestBothBuilds(t *testing.T) {
	for first := range 8 {
		f := newFleet(t, uint64(first), "a", "b", "c")
		for i, a := range f.addrs() {
			if f.nodes[a].first = first>>i&1 == 1; f.nodes[a].first {
				f.nodes[a].start()
			}
		}
		f.run(2 * time.Second)
		for n := range 4 {
			f.write(fmt.Sprint("write ", n))
			lost := f.addrs()[n%3]
			f.nodes[lost] = &node{self: Member{ID(100 + n), lost}, now: f.now, first: n < 2 && f.nodes[lost].first}
			f.nodes[lost].start()
			f.run(4 * time.Second)
		}
		f.write("last")
		f.whole("a", "b", "c")
		for _, a := range f.addrs() { // all are of this build now
			if n := f.nodes[a]; n.first {
				n.first, n.now = false, f.now
				n.start()
			}
		}
		f.run(2 * time.Second)
		f.neverFewer(3)
		f.join("b", 200)
		f.run(4 * time.Second)
		f.whole("a", "b", "c")
	}
}
