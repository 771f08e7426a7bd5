// Package model plays a large fleet's gossip in simulated time, to measure what its members' views come to: the
// published behaviour of SWIM with Lifeguard's suspicion as hashicorp/memberlist sets it (probe, indirect probes, probe
// by stream, suspicion that shortens with confirmations, rumours by fan-out), and over it the views that are in
// service. It is pure and belongs to the rig.
package model

import (
	"math"
	"math/rand/v2"
	"time"

	"cranegrade/internal/fleet/membership"
)

// Config says what is played.
type Config struct {
	Members int
	Loss    float64 // of datagrams, and of each way of a stream
	Probe   time.Duration
	Settle  time.Duration
	Seed    uint64
	Deaths  int           // members that die at once
	For     time.Duration // that is played, after the deaths if there are any
}

// Result is what came of it.
type Result struct {
	Right   time.Duration // from the deaths until the places are right at all who live; 0: they never were
	Accused int           // living members given up by anybody
	Moved   int           // places of living members that moved, over all
	Rumours int           // that were sent on, by all
}

const (
	tick   = 50 * time.Millisecond
	gossip = 200 * time.Millisecond
	fanOut = 3
	helps  = 3
	mult   = 3 // of the suspicion's time
	longer = 2 // the most of it, times the least
)

// rumour is news on its way.
type rumour struct {
	what        int // suspect, dead, alive
	of, from    int
	incarnation int
}

const (
	suspect = iota
	dead
	alive
)

// node is one member.
type node struct {
	view   *membership.View
	dies   bool
	order  []int
	at     int
	next   time.Duration
	mine   int // own incarnation
	known  []belief
	queue  []queued
	counts int
}

type belief struct {
	state, incarnation int
	until              time.Duration // the end of a suspicion
	since              time.Duration
	confirmed          int
}

type queued struct {
	rumour
	left int
}

type play struct {
	Config
	rng   *rand.Rand
	now   time.Duration
	nodes []*node
	seen  map[int]map[rumour]bool // of each node
	Result
}

// Play plays a fleet that is settled at its beginning.
func Play(c Config) Result {
	p := &play{Config: c, rng: rand.New(rand.NewPCG(c.Seed, 0x5717)), seen: map[int]map[rumour]bool{}}
	name := func(i int) string {
		return string([]byte{'n', byte('0' + i/100), byte('0' + i/10%10), byte('0' + i%10)})
	}
	card := func(i int) membership.Card {
		return membership.Card{Name: name(i), Run: 1, Protocol: membership.Protocol, Pools: []membership.Service{{ID: 1, Digest: 1}}}
	}
	for i := range c.Members {
		n := &node{view: membership.NewView(0, card(i), membership.Settle{After: c.Settle, FlapForget: 30 * time.Second}), known: make([]belief, c.Members)}
		for j := range c.Members {
			n.view.Up(0, card(j), "")
		}
		n.order, n.next = p.rng.Perm(c.Members), time.Duration(p.rng.Int64N(int64(c.Probe)))
		n.view.Advance(c.Settle)
		p.nodes, p.seen[i] = append(p.nodes, n), map[rumour]bool{}
	}
	p.now = c.Settle
	began := p.now
	for i := range c.Deaths {
		p.nodes[i].dies = true
	}
	left := c.Members - c.Deaths
	for ; p.now < began+c.For; p.now += tick {
		for i, n := range p.nodes {
			if n.dies {
				continue
			}
			if p.now >= n.next {
				n.next += c.Probe
				p.probe(i, n)
			}
			for j := range n.known {
				if b := &n.known[j]; b.state == suspect+1 && p.now >= b.until {
					p.hear(i, rumour{dead, j, i, b.incarnation}, name)
				}
			}
			if p.now%gossip == 0 {
				p.spread(i, n, name)
			}
			n.view.Advance(p.now)
		}
		if c.Deaths > 0 {
			right := true
			for _, n := range p.nodes[c.Deaths:] {
				right = right && n.view.Place(1).Agreed == left
			}
			if right {
				p.Right = p.now - began
				return p.Result
			}
		}
	}
	for _, n := range p.nodes[c.Deaths:] {
		changes, _ := n.view.Changes()
		for _, x := range changes {
			if x.What == "does not count" {
				p.Moved++
			}
		}
	}
	return p.Result
}

func (p *play) lost(ways int) bool { return p.rng.Float64() >= math.Pow(1-p.Loss, float64(ways)) }

// probe asks the next member whether it lives: itself, through others, and by a stream.
func (p *play) probe(i int, n *node) {
	for range p.Members {
		if n.at >= len(n.order) {
			n.order, n.at = p.rng.Perm(p.Members), 0
		}
		j := n.order[n.at]
		n.at++
		if j == i || n.known[j].state == dead+1 {
			continue
		}
		ok := !p.nodes[j].dies && !p.lost(2)
		for range helps {
			h := p.rng.IntN(p.Members)
			ok = ok || h != i && !p.nodes[h].dies && !p.nodes[j].dies && !p.lost(4)
		}
		ok = ok || !p.nodes[j].dies && !p.lost(3)
		if !ok {
			p.hear(i, rumour{suspect, j, i, n.known[j].incarnation}, nil)
		}
		return
	}
}

// timeout is how long a suspicion lasts with so many who share it.
func (p *play) timeout(confirmed int) time.Duration {
	least := float64(mult) * max(1, math.Log10(max(1, float64(p.Members)))) * float64(p.Probe)
	want := mult - 2
	if p.Members-2 < want || want < 1 {
		return time.Duration(least)
	}
	most := longer * least
	return time.Duration(max(least, most-math.Log(float64(confirmed)+1)/math.Log(float64(want)+1)*(most-least)))
}

// hear has a node take news, and pass it on if it is news.
func (p *play) hear(i int, r rumour, name func(int) string) {
	n := p.nodes[i]
	b := &n.known[r.of]
	switch {
	case r.of == i:
		if r.what != alive && r.incarnation >= n.mine { // it says no
			n.mine = r.incarnation + 1
			p.pass(n, rumour{alive, i, i, n.mine})
		}
		return
	case r.what == alive:
		if r.incarnation <= b.incarnation {
			return
		}
		if b.state == dead+1 && name != nil {
			n.view.Up(p.now, membership.Card{Name: name(r.of), Run: 1, Protocol: membership.Protocol, Pools: []membership.Service{{ID: 1, Digest: 1}}}, "")
		}
		*b = belief{incarnation: r.incarnation}
	case r.incarnation < b.incarnation || b.state == dead+1:
		return
	case r.what == suspect:
		if p.seen[i][r] {
			return
		}
		p.seen[i][r] = true
		if b.state == suspect+1 {
			b.confirmed++
		} else {
			*b = belief{state: suspect + 1, incarnation: r.incarnation, since: p.now}
		}
		b.until = b.since + p.timeout(b.confirmed)
	default:
		*b = belief{state: dead + 1, incarnation: r.incarnation}
		n.view.Down(p.now, membershipName(name, r.of), false)
		if !p.nodes[r.of].dies && r.from == i {
			p.Accused++
		}
	}
	p.pass(n, r)
}

func membershipName(name func(int) string, i int) string {
	if name == nil {
		return ""
	}
	return name(i)
}

// pass queues a rumour for as many rounds as the library would.
func (p *play) pass(n *node, r rumour) {
	n.queue = append(n.queue, queued{r, 4 * int(math.Ceil(math.Log10(float64(p.Members+1))))})
}

// spread sends what a node has queued to a few others.
func (p *play) spread(i int, n *node, name func(int) string) {
	for range fanOut {
		j := p.rng.IntN(p.Members)
		if j == i {
			continue
		}
		lost := p.lost(1)
		for k := range n.queue {
			if n.queue[k].left <= 0 {
				continue
			}
			n.queue[k].left--
			p.Rumours++
			if !lost && !p.nodes[j].dies {
				p.hear(j, n.queue[k].rumour, name)
			}
		}
	}
	keep := n.queue[:0]
	for _, q := range n.queue {
		if q.left > 0 {
			keep = append(keep, q)
		}
	}
	n.queue = keep
}
