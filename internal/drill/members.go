package drill

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"cranegrade/internal/testfleet"
)

const (
	memberCount        = 5
	fleetServers       = 20
	minFleetLength     = 8 * time.Second       // of drills whose faults need time to have an effect
	shareWatchInterval = 25 * time.Millisecond // between samples of the members' shares
	minShareSamples    = 10
	minTotalShare      = 0.5 // that the members must have together at some moment, or nothing was watched
)

// fleetDrills are the drills with several processes, or of their views of each other.
var fleetDrills = []string{"members", "deaths", "stops", "signals", "fleet-size"}

// fleetList lists the drills of fleets.
func fleetList(_ context.Context, env *environment) error {
	env.measuresOnly = true
	env.addFigure("drills", len(fleetDrills), "")
	for _, d := range drills {
		if slices.Contains(fleetDrills, d.name) {
			env.tables = append(env.tables, fmt.Sprintf("%-12s %s\n", d.name, d.summary))
		}
	}
	return nil
}

// mutations are the violations that are built into the program, by the name that the command line gives.
var mutations = map[string]testfleet.Mutation{
	"seen": testfleet.MutationSeen, "stalled": testfleet.MutationStalled, "gullible": testfleet.MutationGullible,
}

// mutationOnly is what drills without a fleet do with such a violation.
func mutationOnly(context.Context, *environment) error {
	return errors.New("this violation is one of fleets: it is found by drill members")
}

// memberIndices are the numbers of the first n members.
func memberIndices(n int) (all []int) {
	for i := range n {
		all = append(all, i)
	}
	return all
}

// agreementTimeout is how long members may take to agree.
func (env *environment) agreementTimeout() time.Duration { return 20*time.Second + 10*env.slack }

// awaitAgreement waits until these members count exactly each other; withShares: and each has a share.
func (env *environment) awaitAgreement(ctx context.Context, withShares bool, members ...int) (took time.Duration, err error) {
	return env.fleet.AwaitAgreement(context.WithoutCancel(ctx), env.agreementTimeout(), withShares, members...)
}

// fleetProgram is the program to start: the one that was asked for, or one with the mutation that was.
func (env *environment) fleetProgram() (string, error) {
	if mutation := mutations[env.violation]; mutation != "" {
		return testfleet.BuildMutant(env.dir, mutation)
	}
	return env.program, nil
}

// newFleet makes a fleet by the drill's options, without starting members.
func (env *environment) newFleet(c testfleet.FleetConfig) (*testfleet.Fleet, error) {
	var err error
	if c.Program, err = env.fleetProgram(); err != nil {
		return nil, err
	}
	c.Seed, c.Slack = env.seed, env.slack
	f, err := testfleet.NewFleet(c)
	if err != nil {
		return nil, err
	}
	env.fleet, env.recorder = f, f.Recorder
	return f, nil
}

// startFleet makes a fleet and starts its members.
func (env *environment) startFleet(c testfleet.FleetConfig) (*testfleet.Fleet, error) {
	f, err := env.newFleet(c)
	if err != nil {
		return nil, err
	}
	return f, f.StartAll(c.MemberCount)
}

// faultSchedule injects the faults of a schedule into a fleet of five under load, and watches that the shares of the members never add up
// to more than 1.
func faultSchedule(ctx context.Context, env *environment) error {
	f, err := env.startFleet(testfleet.FleetConfig{MemberCount: memberCount, ServerCount: fleetServers})
	if err != nil {
		return err
	}
	all := memberIndices(memberCount)
	if _, err := env.awaitAgreement(ctx, true, all...); err != nil {
		return err
	}
	schedule, length, err := env.schedulePlan(len(f.Servers))
	if err != nil {
		return err
	}
	playing, stop := context.WithCancel(ctx)
	defer stop()
	watched := env.watchShares(playing)
	var load sync.WaitGroup
	for _, m := range f.Members {
		m.RunStreams(playing, &load, testfleet.Traffic(60, length)...)
	}
	sentBefore := f.Fabric.BytesSent(0)
	err = f.PlaySchedule(ctx, schedule, func(step string) {
		if env.verbose {
			fmt.Fprintln(env.stderr, step)
		}
	})
	load.Wait()
	bytesSent := f.Fabric.BytesSent(0) - sentBefore
	if err != nil {
		return err
	}
	healed, err := env.awaitAgreement(ctx, true, all...)
	stop()
	watch := watched()
	if err != nil {
		env.failf("after all faults are undone: %v", err)
	}
	env.addFigure("faults", len(schedule), "of the schedule")
	env.judgeShares(watch)
	env.addFigure("whole_again_ms", healed, "from the end of the last fault until all members agree and have their shares")
	env.addFigure("bytes_per_s", float64(bytesSent)/length.Seconds(), "that a member sends to others")
	env.schedule = schedule.String()
	return nil
}

// watchShares watches the shares of the fleet's members until ctx ends. watched waits for that and returns what was found.
func (env *environment) watchShares(ctx context.Context) (watched func() *testfleet.ShareWatch) {
	fleet := env.fleet
	result := make(chan *testfleet.ShareWatch, 1)
	go func() { result <- fleet.WatchShares(ctx, shareWatchInterval) }()
	return func() *testfleet.ShareWatch { return <-result }
}

// schedulePlan is the schedule to inject and how long traffic runs: drawn from the seed, read from a file, or, for a mutation, the faults
// that show it: a partition into two and three members, and a member that is paused.
func (env *environment) schedulePlan(servers int) (schedule testfleet.Schedule, length time.Duration, err error) {
	length = max(env.length, minFleetLength)
	if env.replay != "" {
		if schedule, err = testfleet.ReadSchedule(env.replay, memberCount, servers); err != nil {
			return nil, 0, err
		}
	} else {
		schedule = testfleet.DrawSchedule(env.seed, memberCount, servers, length)
	}
	if env.violation == "" {
		return schedule, length, nil
	}
	schedule = testfleet.Schedule{
		{At: 0, Kind: testfleet.PartitionMembers, Partitions: [][]int{{0, 1}, {2, 3, 4}}, Duration: 5 * time.Second},
		{At: 8 * time.Second, Kind: testfleet.PauseMembers, Members: []int{3}, Duration: 4 * time.Second},
	}
	return schedule, 14 * time.Second, nil
}

// judgeShares reports the sum of all members' shares, which must never exceed 1.
func (env *environment) judgeShares(w *testfleet.ShareWatch) {
	env.addFigure("samples", w.Samples, "of the shares that all members report")
	env.addFigure("most_held", w.MaxTotal, "of the whole, by all together at one moment")
	env.addFigure("over", w.Violations, "moments at which that was more than the whole")
	if w.Violations > 0 {
		env.failf("more than the whole was taken: %s", w.FirstViolation)
	}
	if w.Samples < minShareSamples || w.MaxTotal <= minTotalShare {
		env.failf("%d samples, the most %v: nothing was watched", w.Samples, w.MaxTotal)
	}
}
