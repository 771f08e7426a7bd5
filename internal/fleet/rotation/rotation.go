// Package rotation decides whose turn something is that the members of a fleet should do one after the other and not all at once: above
// all the first attempt at a server that others found failing.
//
// The members need not talk for that. Each ranks all of them by rendezvous hashing: the order follows from the subject, the epoch and the
// members' names alone, and a member of rank i waits i steps. So a member that is dead, suspended or cut off loses its turn after
// one step. What an attempt found is known by then to those of later ranks, who act on it.
//
// Members whose views of the fleet differ may have the same rank. What is done in turns must therefore be harmless if two do it at once;
// the rotation makes that rare.
//
// The package is pure and keeps no state.
package rotation

import "time"

// MaxWaitSteps is the most steps that Wait returns: what nobody has done for so many steps may be done by everybody.
const MaxWaitSteps = 8

// Rank returns a member's rank for a subject in an epoch, from 0. members are hashes of the names of all members that take part, and self
// is that of this one.
func Rank(subject, epoch uint64, members []uint64, self uint64) int {
	own, rank := score(subject, epoch, self), 0
	for _, member := range members {
		if member != self && score(subject, epoch, member) > own {
			rank++
		}
	}
	return rank
}

// Wait returns how long a member of a rank waits for those before it.
func Wait(rank int, step time.Duration) time.Duration {
	return time.Duration(min(rank, MaxWaitSteps)) * step
}

// score mixes its arguments with the finalizer of MurmurHash3. All members must compute the same, so it must not change.
func score(subject, epoch, member uint64) uint64 {
	x := subject*0x9e3779b97f4a7c15 ^ epoch*0xc2b2ae3d27d4eb4f ^ member
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
