package drill

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"cranegrade/internal/fake"
	"cranegrade/internal/testfleet"
)

// Sizes of the drill of wrong accusations.
const (
	accusedMembers  = 6  // the last of them accuses healthy servers
	accusedServers  = 12 // the first three of them are accused
	accusedCount    = 3
	minAccusedShare = 0.6 // of the mean, that an accused server must get
)

// unhealthyTime is a time in which a server was really unhealthy.
type unhealthyTime struct {
	server   *fake.Server
	from, to time.Duration
}

func (u unhealthyTime) contains(a fake.Arrival) bool {
	return a.Server == u.server.ID() && a.FirstByteAt >= u.from && a.FirstByteAt < u.to
}

// wrongAccusations has servers of a fleet fail, hang and reject, one after the other as the seed says, while members die, stand still and
// lose links, and one member tells all the others that three healthy servers fail.
func wrongAccusations(ctx context.Context, env *environment) error {
	f, err := env.startFleetWithLiar()
	if err != nil {
		return err
	}
	all := memberIndices(accusedMembers)
	if _, err := env.awaitAgreement(ctx, true, all...); err != nil {
		return err
	}
	length := max(env.length, minFleetLength)
	playing, stop := context.WithCancel(ctx)
	defer stop()
	var load sync.WaitGroup
	for _, m := range f.Members {
		m.RunStreams(playing, &load, testfleet.Traffic(60, length)...)
	}
	var unhealthy []unhealthyTime
	start := f.Recorder.Now()
	load.Go(func() { unhealthy = env.makeServersUnhealthy(playing, f, start, length) })
	schedule := env.accusationSchedule(length)
	if err := f.PlaySchedule(ctx, schedule, func(string) {}); err != nil {
		return err
	}
	load.Wait()
	if _, err := env.awaitAgreement(ctx, true, all...); err != nil {
		env.failf("after all faults are undone: %v", err)
	}
	env.judgeAccused(f, unhealthy)
	env.schedule = schedule.String()
	return nil
}

// accusationSchedule draws faults of members and links; the liar keeps running. A violation that was asked for is shown without them.
func (env *environment) accusationSchedule(length time.Duration) (schedule testfleet.Schedule) {
	if env.violation != "" {
		return nil
	}
	for _, fault := range testfleet.DrawSchedule(env.seed, accusedMembers-1, accusedServers, length) {
		if fault.Kind != testfleet.RestartServer {
			schedule = append(schedule, fault)
		}
	}
	return schedule
}

// startFleetWithLiar starts a fleet whose last member accuses healthy servers.
func (env *environment) startFleetWithLiar() (*testfleet.Fleet, error) {
	liar, err := testfleet.BuildMutant(env.dir, testfleet.MutationLiar)
	if err != nil {
		return nil, err
	}
	f, err := env.newFleet(testfleet.FleetConfig{MemberCount: accusedMembers, ServerCount: accusedServers})
	if err != nil {
		return nil, err
	}
	f.Members[accusedMembers-1].Program = liar
	return f, f.StartAll(accusedMembers)
}

// makeServersUnhealthy has one server at a time be unhealthy, none of those that are wrongly accused, and returns when which was.
func (env *environment) makeServersUnhealthy(
	ctx context.Context, f *testfleet.Fleet, start, length time.Duration,
) (unhealthy []unhealthyTime) {
	modes := []fake.Mode{fake.Failing, fake.Hanging, fake.Rejecting}
	for ctx.Err() == nil && f.Recorder.Now() < start+length*7/10 {
		s := f.Servers[accusedCount+env.rng.IntN(accusedServers-accusedCount)]
		s.SetMode(modes[env.rng.IntN(len(modes))])
		u := unhealthyTime{server: s, from: f.Recorder.Now()}
		pause(ctx, length/8+time.Duration(env.rng.Int64N(int64(length/8))))
		s.SetMode(fake.Serving)
		u.to = f.Recorder.Now()
		unhealthy = append(unhealthy, u)
	}
	return unhealthy
}

// judgeAccused reports what unhealthy servers cost, and compares what the accused servers got with the mean.
func (env *environment) judgeAccused(f *testfleet.Fleet, unhealthy []unhealthyTime) {
	wasted, healthy := 0, 0
	perServer := map[string]int{}
	for _, a := range f.Recorder.History().Arrivals {
		if slices.ContainsFunc(unhealthy, func(u unhealthyTime) bool { return u.contains(a) }) {
			wasted++
		} else {
			healthy++
			perServer[a.Server]++
		}
	}
	// The module ejects at most a fifth of the list, whatever it is told: two of the three accused servers.
	share := math.Inf(1)
	for _, s := range f.Servers[:accusedCount] {
		share = min(share, float64(perServer[s.ID()])/(float64(healthy)/accusedServers))
	}
	env.addFigure("illnesses", len(unhealthy), "times in which a server was unhealthy, one at a time")
	env.addFigure("paid", wasted, "attempts at servers while these were unhealthy")
	env.addFigure("paid_each", float64(wasted)/float64(max(1, len(unhealthy))), "the same for each")
	env.addFigure("named_share", share,
		"of the mean: the least that a server got of the three that one member told all others were failing")
	if share < minAccusedShare {
		env.failf("a healthy server got %.2f of the mean, because one member accused it", share)
	}
}
