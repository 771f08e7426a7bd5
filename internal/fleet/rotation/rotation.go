// Package rotation says whose turn something is that one member should do, or one after the other, and not all at once:
// the first try at a server that others found failing, above all. It is pure and needs no word between members. Every
// member puts all of them in an order that follows from the subject and its epoch alone, and the member at place i waits
// i steps. A holder that is dead, stopped or cut off has so lost its turn after one step; one whose try is over is heard
// of by what it saw, and who comes after it goes by that.
//
// Members whose views differ may hold a turn together: as many as there are views that put another first. What is
// given turns must therefore be harmless when two do it; turns make it rare.
package rotation

import "time"

// Place is a member's place in the order for a subject in an epoch, 0 first; among are hashes of the names of all who take
// part, with its own.
func Place(subject, epoch uint64, among []uint64, me uint64) int {
	own, place := score(subject, epoch, me), 0
	for _, m := range among {
		if m != me && score(subject, epoch, m) > own {
			place++
		}
	}
	return place
}

// most steps are waited, however many there are: a subject that nobody tries in that time is everybody's.
const most = 8

// Wait is how long a member at a place waits for those before it.
func Wait(place int, step time.Duration) time.Duration {
	return time.Duration(min(place, most)) * step
}

func score(subject, epoch, member uint64) uint64 {
	x := subject*0x9e3779b97f4a7c15 ^ epoch*0xc2b2ae3d27d4eb4f ^ member
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
