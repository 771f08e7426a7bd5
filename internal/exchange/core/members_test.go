package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleet plays registers in simulated time: messages take a while, may be lost, and links may be cut.
type fleet struct {
	t     *testing.T
	rng   *rand.Rand
	now   time.Duration
	nodes map[string]*node // by address
	cut   map[string]bool  // machines that nobody reaches
	oneWy map[[2]string]bool
	loss  float64
	queue []timed
	acked map[uint64]string
	seen  map[uint64]string
	terms map[uint64]ID              // leaders by term
	step  time.Duration              // of time, at once
	sent  func(to string, m Message) // called with each message that is sent; nil: nothing is
	drop  func(m Message) bool       // loses what it says so of; nil: nothing
	each  func()                     // called after each step; nil: nothing is

	observe func(*node, Ready) // called with each Ready before it is carried out; nil: nobody looks
}

type timed struct {
	at       time.Duration
	from, to string
	m        Message
}

func newFleet(t *testing.T, seed uint64, addrs ...string) *fleet {
	f := &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), nodes: map[string]*node{}, cut: map[string]bool{}, oneWy: map[[2]string]bool{},
		acked: map[uint64]string{}, seen: map[uint64]string{}, terms: map[uint64]ID{}, step: 10 * time.Millisecond}
	var members []Member
	for i, a := range addrs {
		members = append(members, Member{ID(i + 1), a})
	}
	for _, m := range members {
		f.nodes[m.Addr] = &node{self: m, snap: Found(members)}
		f.nodes[m.Addr].start()
	}
	return f
}

// join starts an empty register.
func (f *fleet) join(addr string, id ID) {
	x := &node{self: Member{id, addr}, now: f.now}
	x.start()
	f.nodes[addr] = x
}

func (f *fleet) turn(addr string) {
	n := f.nodes[addr]
	w := &world{nodes: []*node{n}, applied: f.seen, leaders: f.terms, configs: map[uint64]Configuration{}, observe: f.observe}
	if err := w.turn(0, whole, plant{}); err != nil {
		f.t.Fatal(err)
	}
	for _, m := range w.net {
		to := n.c.Addr(m.To)
		if m.Kind == NotMember && m.Addr != "" {
			to = m.Addr
		}
		if to == "" { // as a shell would find it
			for a, x := range f.nodes {
				if x.self.ID == m.To {
					to = a
				}
			}
		}
		f.send(addr, to, m)
	}
}

func (f *fleet) send(from, to string, m Message) {
	if f.sent != nil {
		f.sent(to, m)
	}
	if f.drop != nil && f.drop(m) {
		return
	}
	if f.rng.Float64() >= f.loss {
		f.queue = append(f.queue, timed{f.now + time.Millisecond + time.Duration(f.rng.Int64N(int64(5*time.Millisecond))), from, to, m})
	}
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now += f.step
		due := f.queue
		f.queue = nil
		for _, x := range due {
			if x.at > f.now {
				f.queue = append(f.queue, x)
			} else if n := f.nodes[x.to]; n != nil && !f.cut[x.to] && !f.cut[x.from] && !f.oneWy[[2]string{x.from, x.to}] {
				f.take(n, x.m)
				f.turn(x.to)
			}
		}
		addrs := f.addrs()
		for _, a := range addrs {
			n := f.nodes[a]
			n.now = f.now
			n.c.Tick(f.now)
			if n.c.Outside() { // what the shell does for one that knows others by address only
				for _, b := range addrs {
					if b != a {
						f.send(a, b, Message{Kind: Join, From: n.self.ID, Addr: a, Version: n.c.version()})
					}
				}
			}
			f.turn(a)
		}
		if f.each != nil {
			f.each()
		}
	}
}

// take gives a register a message, as much of it as its build reads.
func (f *fleet) take(n *node, m Message) {
	if n.first {
		if m.Kind > lastOfFirstBuild {
			return
		}
		m.Version = 0
		m.Entries = slices.Clone(m.Entries)
		for i := range m.Entries {
			m.Entries[i].Outgoing, m.Entries[i].Version = nil, 0
		}
		if m.Snapshot != nil {
			s := *m.Snapshot
			s.Outgoing, s.Version, m.Snapshot = nil, 0, &s
		}
	}
	n.c.Step(f.now, m)
}

func (f *fleet) addrs() (l []string) {
	for a := range f.nodes {
		l = append(l, a)
	}
	slices.Sort(l)
	return l
}

func (f *fleet) leader() *node {
	var best *node
	for _, a := range f.addrs() {
		if n := f.nodes[a]; n.c.Leads() && !f.cut[a] && (best == nil || n.c.Term() > best.c.Term()) {
			best = n
		}
	}
	return best
}

// write has something agreed on and waits for it.
func (f *fleet) write(text string) {
	f.t.Helper()
	for range 200 {
		if l := f.leader(); l != nil {
			if index, term, ok := l.c.Propose(f.now, []byte(text)); ok {
				f.turn(l.self.Addr)
				for range 100 {
					if got := f.seen[index]; got != "" && l.c.Applied() >= index {
						if got == fmt.Sprint(term, Change, text, []Member(nil)) {
							f.acked[index] = got
							return
						}
						break
					}
					f.run(10 * time.Millisecond)
				}
			}
		}
		f.run(10 * time.Millisecond)
	}
	f.t.Fatalf("%q is not agreed on", text)
}

// whole checks that the members are those and that all of them have what was acknowledged.
func (f *fleet) whole(addrs ...string) {
	f.t.Helper()
	f.run(time.Second)
	for _, a := range addrs {
		n := f.nodes[a]
		members, _ := n.c.Members()
		var l []string
		for _, m := range members {
			l = append(l, m.Addr)
		}
		slices.Sort(l)
		assert.DeepEqual(f.t, l, addrs)
		for index, text := range f.acked {
			assert.Assert(f.t, n.c.Applied() >= index)
			assert.Equal(f.t, f.seen[index], text)
		}
	}
}

func TestReplaced(t *testing.T) {
	f := newFleet(t, 1, "a", "b", "c")
	f.run(2 * time.Second)
	f.write("one")
	delete(f.nodes, "c")
	f.write("two")
	f.join("d", 20)
	f.run(4 * time.Second)
	f.whole("a", "b", "d")
	// And the one that was the leader.
	old := f.leader().self.Addr
	delete(f.nodes, old)
	f.write("three")
	f.join("e", 30)
	f.run(4 * time.Second)
	rest := slices.DeleteFunc([]string{"a", "b", "d"}, func(a string) bool { return a == old })
	f.whole(append(rest, "e")...)
}

// One wiped after another, each once the one before was taken in again, and the leader each time.
func TestWipedInTurn(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(t, seed, "a", "b", "c")
		f.run(2 * time.Second)
		for n := range 4 {
			f.write(fmt.Sprint("write ", n))
			f.join(f.leader().self.Addr, ID(100+n))
			f.run(4 * time.Second)
		}
		f.write("last")
		f.whole("a", "b", "c")
	}
}

// A member that was cut off while its place was given away learns so, and is taken in when there is room again.
func TestLetGo(t *testing.T) {
	f := newFleet(t, 3, "a", "b", "c")
	f.run(2 * time.Second)
	f.cut["c"] = true
	if f.leader() == nil || f.leader().self.Addr == "c" {
		f.run(2 * time.Second)
	}
	f.write("one")
	f.join("d", 20)
	f.run(4 * time.Second)
	f.write("two")
	f.cut["c"] = false
	f.run(3 * time.Second)
	f.whole("a", "b", "d")
	term := f.leader().c.Term()
	f.run(5 * time.Second)
	assert.Equal(t, f.leader().c.Term(), term, "one that was let go unseats nobody")
	delete(f.nodes, "d")
	f.run(6 * time.Second)
	f.whole("a", "b", "c")
}

// A leader that others hear but that hears nobody steps down; its reads are refused, not answered from what it holds.
func TestOneWay(t *testing.T) {
	f := newFleet(t, 4, "a", "b", "c")
	f.run(2 * time.Second)
	l := f.leader()
	for _, a := range f.addrs() {
		f.oneWy[[2]string{a, l.self.Addr}] = true
	}
	assert.Assert(t, l.c.Ask(f.now, 7))
	f.run(3 * time.Second)
	assert.Assert(t, !l.c.Leads() && !l.c.InTouch(f.now))
	clear(f.oneWy)
	f.write("on")
	f.whole("a", "b", "c")
}

// The log's time never runs faster than time, over all leaders.
func TestStamps(t *testing.T) {
	f := newFleet(t, 5, "a", "b", "c")
	f.run(2 * time.Second)
	for n := range 5 {
		f.write(fmt.Sprint(n))
		f.cut[f.leader().self.Addr] = true
		f.run(3 * time.Second)
		clear(f.cut)
		f.run(time.Second)
	}
	f.write("last")
	n := f.leader()
	last := time.Duration(0)
	for _, e := range n.c.log {
		assert.Assert(t, e.Stamp >= last && e.Stamp <= f.now)
		last = e.Stamp
	}
}

// A store compacted on the way: who lags is sent the snapshot.
func TestInstall(t *testing.T) {
	f := newFleet(t, 6, "a", "b", "c")
	f.run(2 * time.Second)
	f.cut["c"] = true
	f.run(3 * time.Second)
	for n := range 10 {
		f.write(fmt.Sprint(n))
	}
	l := f.leader()
	l.compact([]byte("state"))
	assert.Assert(t, l.snap.Index > 1 && l.c.Logged() == 0)
	f.cut["c"] = false
	f.run(2 * time.Second)
	f.write("behind it")
	f.whole("a", "b", "c")
}

// A leader that is about to end has another take over, well before anybody would miss it.
func TestYield(t *testing.T) {
	f := newFleet(t, 7, "a", "b", "c")
	f.run(2 * time.Second)
	f.write("one")
	l := f.leader()
	l.c.Yield(f.now)
	f.turn(l.self.Addr)
	f.run(100 * time.Millisecond)
	assert.Assert(t, f.leader() != nil && f.leader() != l && !l.c.Leads())
	f.write("two")
	f.whole("a", "b", "c")
}

// One that comes back with a long tail of a leader that is none any more is behind for a few messages, not for one try an
// entry; until then it is not in touch, though it hears the leader.
func TestCatchUp(t *testing.T) {
	w := led(t, 3)
	old := w.nodes[0]
	for n := range 300 { // the others hear nothing of these
		old.c.Propose(old.now, []byte{byte(n)})
	}
	if err := w.turn(0, whole, plant{}); err != nil {
		t.Fatal(err)
	}
	w.net = nil
	for _, i := range []int{2, 1} { // they miss it; the second asks for votes
		w.net = nil
		w.nodes[i].now += 3 * electionT
		w.nodes[i].c.Tick(w.nodes[i].now)
		if err := w.turn(i, whole, plant{}); err != nil {
			t.Fatal(err)
		}
	}
	settleBut(t, w, 1)
	lead := w.nodes[1]
	if !lead.c.Leads() {
		t.Fatal("the second does not lead")
	}
	for n := range 300 {
		lead.c.Propose(lead.now, []byte{byte(n), 'b'})
	}
	if err := w.turn(1, whole, plant{}); err != nil {
		t.Fatal(err)
	}
	settleBut(t, w, 1)
	// The first hears again. A beat is all that starts each try.
	rounds := 0
	for ; old.c.commit < lead.c.commit; rounds++ {
		if rounds > 8 {
			t.Fatalf("after %d beats it has %d of %d entries", rounds, old.c.commit, lead.c.commit)
		}
		for _, n := range w.nodes {
			n.now += beatT
		}
		lead.c.Tick(lead.now)
		if err := w.turn(1, whole, plant{}); err != nil {
			t.Fatal(err)
		}
		for len(w.net) > 0 && old.c.commit < lead.c.commit {
			m := w.net[0]
			w.net = w.net[1:]
			i := int(m.To) - 1
			w.nodes[i].c.Step(w.nodes[i].now, m)
			if err := w.turn(i, whole, plant{}); err != nil {
				t.Fatal(err)
			}
			if old.c.commit < lead.c.commit && old.c.InTouch(old.now) {
				t.Fatalf("it is in touch with %d of %d entries", old.c.commit, lead.c.commit)
			}
		}
	}
	if !old.c.InTouch(old.now) {
		t.Error("it has all, and is not in touch")
	}
	t.Logf("%d beats", rounds)
}

// settleBut delivers all that is under way but for what concerns some.
func settleBut(t *testing.T, w *world, but ...ID) {
	for len(w.net) > 0 {
		m := w.net[0]
		w.net = w.net[1:]
		if slices.Contains(but, m.To) || slices.Contains(but, m.From) {
			continue
		}
		i := int(m.To) - 1
		w.nodes[i].c.Step(w.nodes[i].now, m)
		if err := w.turn(i, whole, plant{}); err != nil {
			t.Fatal(err)
		}
	}
}
