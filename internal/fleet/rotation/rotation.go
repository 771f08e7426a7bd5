// Package rotation staggers an action that the members of a fleet should perform one after the other instead of all at once, such as the
// first attempt at a server that other members found failing.
//
// The members exchange no messages for this. Each ranks all members by rendezvous hashing, so that the order depends only on the subject of
// the action, the epoch and the members' names, and the member of rank i waits i steps. A member that is dead, suspended or partitioned
// thus misses its turn, and the next one acts one step later. Members of later ranks know the results of earlier attempts by then, and act
// on it.
//
// Members with different views of the fleet may compute the same rank. The action must therefore be harmless if two members perform it at
// once; the rotation only makes that rare.
//
// The package is pure and keeps no state.
package rotation

import "time"

// MaxWaitSteps is the maximum number of steps that a member waits. After that all remaining members may act at once.
const MaxWaitSteps = 8

// Rank returns a member's rank, from 0, for a subject in an epoch. members are the hashes of the names of all participating members, and
// self is the hash of this member's name.
func Rank(subject, epoch uint64, members []uint64, self uint64) int {
	own, rank := score(subject, epoch, self), 0
	for _, member := range members {
		if member != self && score(subject, epoch, member) > own {
			rank++
		}
	}
	return rank
}

// Wait returns how long a member waits before it acts: one step for each member of lower rank, up to MaxWaitSteps.
func Wait(rank int, step time.Duration) time.Duration {
	return time.Duration(min(rank, MaxWaitSteps)) * step
}

// score mixes its arguments with the finalizer of MurmurHash3. It must not change: members of different versions must compute the same
// ranks.
func score(subject, epoch, member uint64) uint64 {
	x := subject*0x9e3779b97f4a7c15 ^ epoch*0xc2b2ae3d27d4eb4f ^ member
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
