package testfleet

import (
	"testing"
	"time"
)

// partitionCase is a fault of the network between six processes.
type partitionCase struct {
	name    string
	inject  func(*Fabric)
	holders []int // who has a share while it lasts
	random  bool  // who has one is chance
}

// cutBoth cuts the links between two processes.
func cutBoth(f *Fabric, i, j int) {
	f.SetLink(i, j, Link{Cut: true})
	f.SetLink(j, i, Link{Cut: true})
}

var partitionCases = []partitionCase{
	{name: "1 and 5", inject: func(f *Fabric) { f.Partition([]int{0}, []int{1, 2, 3, 4, 5}) }, holders: []int{1, 2, 3, 4, 5}},
	{name: "3 and 3", inject: func(f *Fabric) { f.Partition([]int{0, 1, 2}, []int{3, 4, 5}) }},
	{name: "three parts", inject: func(f *Fabric) { f.Partition([]int{0, 1}, []int{2, 3}, []int{4, 5}) }},
	{name: "0 and 5 do not reach each other", inject: func(f *Fabric) { cutBoth(f, 0, 5) }, holders: memberIndices(6)},
	{name: "one is not heard", inject: func(f *Fabric) {
		for to := 1; to < 6; to++ {
			f.SetLink(0, to, Link{Cut: true})
		}
	}, holders: []int{1, 2, 3, 4, 5}},
	{name: "400 ms each way", inject: func(f *Fabric) { f.SetAllLinks(Link{Delay: 400 * time.Millisecond}) }, holders: memberIndices(6)},
	{name: "30 % lost, some duplicated and out of order", inject: func(f *Fabric) {
		f.SetAllLinks(Link{Loss: 0.3, Duplicate: 0.2, Jitter: 100 * time.Millisecond})
	}, random: true},
}

// TestPartitionedMinorityHasNoShare impairs links between six processes under load, each time for too short to have an effect and then for
// long enough. The majority continues, nobody else has a share, and all agree once the network is healed.
func TestPartitionedMinorityHasNoShare(t *testing.T) {
	t.Parallel()
	f := startFleet(t, FleetConfig{MemberCount: 6, ServerCount: 4, Seed: 2})
	all := memberIndices(6)
	f.awaitAgreement(t, true, all...)
	stop := f.startStreams(t, all, Traffic(20, untilStopped)...)
	for _, c := range partitionCases {
		t.Log(c.name)
		c.inject(f.Fabric)
		f.assertShareSum(t)
		f.Fabric.Heal()
		f.awaitAgreement(t, true, all...)
		c.inject(f.Fabric)
		if c.random {
			for range 20 {
				f.assertShareSum(t)
			}
		} else {
			f.awaitShares(t, c.holders...)
		}
		f.Fabric.Heal()
		f.awaitAgreement(t, true, all...)
	}
	stop()
	assertServed(t, f, 100)
}

// TestPartitionDuringServerReplacement partitions a fleet of eight into three and five while every server is replaced. The two sides
// together do not overload servers in slow start, and all agree after it.
func TestPartitionDuringServerReplacement(t *testing.T) {
	t.Parallel()
	f := startFleet(t, FleetConfig{MemberCount: 8, ServerCount: 6, Seed: 12})
	all := memberIndices(8)
	f.awaitAgreement(t, true, all...)
	stop := f.startStreams(t, all, Traffic(40, untilStopped)...)
	f.Fabric.Partition([]int{0, 1, 2}, []int{3, 4, 5, 6, 7})
	for _, s := range f.Servers {
		f.restartServer(t, s, 300*time.Millisecond) // its requests end meanwhile
		f.assertShareSum(t)
	}
	f.awaitShares(t, 3, 4, 5, 6, 7)
	f.Fabric.Heal()
	f.awaitAgreement(t, true, all...)
	stop()
	assertServed(t, f, 300)
}
