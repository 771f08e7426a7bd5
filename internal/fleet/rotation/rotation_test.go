package rotation

import (
	"testing"
	"time"
)

// TestRanksAreFairPermutations checks that in every epoch each rank belongs to exactly one member, and that over many epochs all members
// are first about equally often.
func TestRanksAreFairPermutations(t *testing.T) {
	members := []uint64{1, 2, 3, 4, 5}
	timesFirst := map[uint64]int{}
	for epoch := range uint64(500) {
		ranks := map[int]bool{}
		for _, member := range members {
			rank := Rank(7, epoch, members, member)
			ranks[rank] = true
			if rank == 0 {
				timesFirst[member]++
			}
		}
		if len(ranks) != len(members) {
			t.Fatalf("in epoch %d the ranks are %v", epoch, ranks)
		}
	}
	for member, times := range timesFirst {
		if times < 60 || times > 140 {
			t.Errorf("member %d is first %d times of 500", member, times)
		}
	}
}

func TestWaitIsBounded(t *testing.T) {
	if got := Wait(1000, time.Second); got > 8*time.Second {
		t.Errorf("a member of rank 1000 waits %v, want at most 8 steps of a second", got)
	}
}

// TestScoreIsStableAcrossVersions: members of different versions run side by side during an upgrade and must compute
// the same ranks.
func TestScoreIsStableAcrossVersions(t *testing.T) {
	if got, want := score(7, 3, 5), uint64(0xf9b245f97ed4d649); got != want {
		t.Errorf("the score is %x, want %x", got, want)
	}
}
