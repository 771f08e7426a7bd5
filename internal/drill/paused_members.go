package drill

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cranegrade/internal/fake"
	"cranegrade/internal/testfleet"
)

const (
	firstMoments = 100 * time.Millisecond // after a member is resumed, in which its share is watched
	drainTime    = 300 * time.Millisecond // between the draining and the restart of a server
)

// pauseShares are the lengths of the pauses, as shares of the drill's length: 1, 10 and 30 of 41 seconds.
var pauseShares = []float64{1.0 / 41, 10.0 / 41, 30.0 / 41}

// pausedMembers pauses one of five members, three times, each time for longer, while servers are replaced all the time. In the first moments
// after each pause the member must not use a share that has expired.
func pausedMembers(ctx context.Context, env *environment) error {
	f, err := env.startFleet(testfleet.FleetConfig{
		MemberCount: memberCount, ServerCount: fleetServers, ExtraPoolSettings: "tenants = [{ name = \"acme\", quota = 100 }]",
	})
	if err != nil {
		return err
	}
	if _, err := env.awaitAgreement(ctx, true, memberIndices(memberCount)...); err != nil {
		return err
	}
	playing, stop := context.WithCancel(ctx)
	defer stop()
	watched := env.watchShares(playing)
	var load sync.WaitGroup
	for _, m := range f.Members {
		streams := testfleet.Traffic(60, time.Hour)
		streams[0].Account = "acme"
		m.RunStreams(playing, &load, streams...)
	}
	load.Go(func() { restartServersInTurn(playing, f) })
	for i, share := range pauseShares {
		env.pauseMember(ctx, i+1, f.Members[(2*i+1)%memberCount], env.share(share))
	}
	stop()
	load.Wait()
	watch := watched()
	env.addFigure("most_held", watch.MaxTotal, "of the whole, by all together at one moment")
	env.addFigure("samples", watch.Samples, "of the shares that all members report")
	if watch.Violations > 0 {
		env.failf("more than the whole was taken: %s", watch.FirstViolation)
	}
	return nil
}

// pauseMember pauses a member, judges the share that it has just after it is resumed, and waits until all members agree.
func (env *environment) pauseMember(ctx context.Context, number int, m *testfleet.Member, length time.Duration) {
	m.Pause()
	pause(ctx, length)
	m.Resume()
	held := shareAtFirst(ctx, m)
	env.addFigure(fmt.Sprintf("held_after_%d", number), held,
		fmt.Sprintf("share of a member, in the first %v after a pause of %v", firstMoments, length.Round(time.Millisecond)))
	if length > 2*env.fleet.Lease && held > 0 {
		env.failf("a member had a share of %v just after a pause of %v", held, length)
	}
	if _, err := env.awaitAgreement(ctx, true, memberIndices(memberCount)...); err != nil {
		env.failf("after a pause of %v: %v", length, err)
	}
}

// restartServersInTurn restarts one server after the other until ctx ends, so that most of them are in slow start.
func restartServersInTurn(ctx context.Context, f *testfleet.Fleet) {
	for i := 0; ctx.Err() == nil; i++ {
		s := f.Servers[i%len(f.Servers)]
		f.Registry.Set(s, fake.ListDraining)
		select {
		case <-time.After(drainTime):
		case <-ctx.Done():
			return
		}
		s.Crash()
		if s.Restart() == nil {
			f.Registry.Set(s, fake.ListServing)
		}
	}
}

// shareAtFirst is the largest share that a member reports in its first moments after it was resumed.
func shareAtFirst(ctx context.Context, m *testfleet.Member) (largest float64) {
	ctx = context.WithoutCancel(ctx)
	for start := time.Now(); time.Since(start) < firstMoments; {
		if role, err := m.Role(ctx); err == nil {
			largest = max(largest, role.Of100/100)
		}
	}
	return largest
}
