package raft

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Members that start together after a loss of power, in any order and within 0.3 s, soon have a leader again, though the first
// messages of each go to members that are not there yet, and though one may lack entries.
func TestStartTogether(t *testing.T) {
	const step, spread = 10 * time.Millisecond, 300 * time.Millisecond
	var took []time.Duration
	for seed := uint64(1); seed <= 300; seed++ {
		rng := rand.New(rand.NewPCG(seed, 2))
		f := newSimulation(t, seed, "a", "b", "c")
		f.run(3 * time.Second)
		lead := f.leaderAddr()
		behind := f.addrs()[rng.IntN(3)]
		f.isolated[behind] = behind != lead
		f.members[lead].raft.Propose(f.now, []byte("x"))
		f.processReady(lead)
		f.run(50 * time.Millisecond)
		start := map[string]time.Duration{}
		for _, a := range f.addrs() {
			f.isolated[a] = true
			start[a] = f.now + time.Duration(rng.Int64N(int64(spread)))
		}
		f.queue = nil
		last := f.now
		for _, at := range start {
			last = max(last, at)
		}
		for f.leaderAddr() == "" || f.now < last {
			f.run(step)
			for a, at := range start {
				if f.isolated[a] && f.now >= at {
					f.isolated[a] = false
					f.members[a].now = f.now
					f.members[a].start()
				}
			}
			if f.now > last+2*testElectionTimeout {
				t.Fatalf("seed %d: no leader", seed)
			}
		}
		took = append(took, f.now-last)
	}
	slices.Sort(took)
	assert.Assert(t, took[len(took)/2] < testElectionTimeout/4, "in the median %v after the last start", took[len(took)/2])
	t.Logf("a leader %v after the last start (median), at most %v", took[len(took)/2], took[len(took)-1])
}
