package testfleet

import (
	"context"
	"sync"
	"testing"
	"time"

	"cranegrade/internal/fake"
)

// quotaWatchInterval is between two sums of the members' quotas.
const quotaWatchInterval = 25 * time.Millisecond

// quotaShare is a member's share of the only tenant's quota; 0 if it reports none.
func (f *Fleet) quotaShare(ctx context.Context, member int) float64 {
	role, err := f.Members[member].Role(ctx)
	if err != nil || len(role.Quotas) != 1 {
		return 0
	}
	return role.Quotas[0].Part
}

// TestQuotaFollowsTheTraffic has a tenant's traffic come to one of five processes, and then to another one. The one with the traffic has most
// of the quota, also after it was cut off.
func TestQuotaFollowsTheTraffic(t *testing.T) {
	t.Parallel()
	const most, little = 0.85, 0.1
	f := startFleet(t, FleetConfig{
		MemberCount: 5, ServerCount: 4, Seed: 9, ExtraPoolSettings: "tenants = [{ name = \"acme\", quota = 50 }]",
	})
	all := memberIndices(5)
	f.awaitAgreement(t, true, all...)
	maxTotal := f.watchQuotas(t, all)
	share := func(member int) float64 { return f.quotaShare(t.Context(), member) }
	acme := fake.Stream{Class: ReadClass, Rate: 100, Duration: untilStopped, Account: "acme"}

	stop := f.startStreams(t, []int{1}, acme)
	if !Await(eventTimeout, func() bool { return share(1) > most }) {
		t.Errorf("the only one with traffic has %v of the quota", share(1))
	}
	stop()
	stop = f.startStreams(t, []int{3}, acme)
	if !Await(eventTimeout, func() bool { return share(3) > most && share(1) < little }) {
		t.Errorf("the only one with traffic has %v of the quota, the one before it %v", share(3), share(1))
	}
	f.Fabric.Partition([]int{3}, []int{0, 1, 2, 4})
	f.awaitShares(t, 0, 1, 2, 4)
	if got := share(3); got > 0 {
		t.Errorf("cut off it has %v of the quota", got)
	}
	f.Fabric.Heal()
	f.awaitAgreement(t, true, all...)
	if !Await(eventTimeout, func() bool { return share(3) > most }) {
		t.Errorf("after the cut it has %v of the quota", share(3))
	}
	stop()
	t.Logf("together they reported at most %v of the quota, each asked after the other", maxTotal())
	assertRulesKept(t, f)
}

// watchQuotas sums up the members' shares of the quota again and again, until the largest sum is asked for or the test ends. Shares change in
// steps and members are asked one after the other, so the sum may exceed 1 although it never did at one moment: it is only logged.
func (f *Fleet) watchQuotas(t *testing.T, members []int) (maxTotal func() float64) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var watching sync.WaitGroup
	largest := 0.0
	watching.Go(func() {
		for ctx.Err() == nil {
			sum := 0.0
			for _, i := range members {
				sum += f.quotaShare(ctx, i)
			}
			largest = max(largest, sum)
			time.Sleep(quotaWatchInterval) // what is measured needs the processor, too
		}
	})
	stop := func() {
		cancel()
		watching.Wait()
	}
	t.Cleanup(stop)
	return func() float64 {
		stop()
		return largest
	}
}
