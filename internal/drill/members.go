package drill

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"cranegrade/internal/fake"
	"cranegrade/internal/testfleet"
)

// fleetDrills are those that need several processes.
var fleetDrills = []string{"members", "deaths", "stops", "signals", "fleet-size"}

// fleetList lists them.
func fleetList(_ context.Context, r *environment) error {
	r.unjudged = true
	r.addFigure("drills", len(fleetDrills), "")
	for _, s := range drills {
		for _, name := range fleetDrills {
			if s.name == name {
				r.tables = append(r.tables, fmt.Sprintf("%-12s %s\n", s.name, s.about))
			}
		}
	}
	return nil
}

// mutations are the breaches that are built into the program.
var mutations = map[string]testfleet.Mutation{"seen": testfleet.MutationSeen, "stalled": testfleet.MutationStalled, "gullible": testfleet.MutationGullible}

// mutationOnly is what drills without a fleet do with such a breach.
func mutationOnly(context.Context, *environment) error {
	return errors.New("this breach is one of fleets: it is found by drill members")
}

// startFleet starts a fleet as the drill's options say.
func (r *environment) startFleet(c testfleet.FleetConfig) (*testfleet.Fleet, error) {
	c.Program, c.Seed, c.Slack = r.program, r.seed, r.slack
	if mutation := mutations[r.violation]; mutation != "" {
		var err error
		if c.Program, err = testfleet.BuildMutant(r.dir, mutation); err != nil {
			return nil, err
		}
	}
	f, err := testfleet.NewFleet(c)
	if err != nil {
		return nil, err
	}
	r.fleet, r.records = f, f.Recorder
	if err := f.StartAll(c.MemberCount); err != nil {
		return nil, err
	}
	return f, nil
}

// memberCount is how many processes the drills of fleets start.
const memberCount = 5

func memberIndices(n int) (l []int) {
	for i := range n {
		l = append(l, i)
	}
	return l
}

// faultSchedule plays a schedule of faults on five processes under load, while servers are replaced, and holds what they
// may take together against the whole all the time.
func faultSchedule(ctx context.Context, r *environment) error {
	f, err := r.startFleet(testfleet.FleetConfig{MemberCount: memberCount, ServerCount: 20})
	if err != nil {
		return err
	}
	limit := 20*time.Second + 10*r.slack
	if _, err := f.AwaitAgreement(ctx, limit, true, memberIndices(memberCount)...); err != nil {
		return err
	}
	schedule, length, err := r.schedulePlan(len(f.Servers))
	if err != nil {
		return err
	}
	watching, stop := context.WithCancel(ctx)
	var w *testfleet.ShareWatch
	var load, watch sync.WaitGroup
	watch.Go(func() { w = f.WatchShares(watching, 25*time.Millisecond) })
	for _, m := range f.Members {
		m.RunStreams(watching, &load, testfleet.Traffic(60, length)...)
	}
	sent := f.Fabric.BytesSent(0)
	err = f.PlaySchedule(ctx, schedule, func(s string) {
		if r.verbose {
			fmt.Fprintln(r.err, s)
		}
	})
	load.Wait()
	bytes := f.Fabric.BytesSent(0) - sent
	if err != nil {
		stop()
		return err
	}
	healed, err := f.AwaitAgreement(ctx, limit, true, memberIndices(memberCount)...)
	stop()
	watch.Wait()
	if err != nil {
		r.failf("after all is undone: %v", err)
	}
	r.addFigure("faults", len(schedule), "of the schedule")
	r.judgeWatch(w)
	r.addFigure("whole_again_ms", healed, "from the end of the last fault until all count each other and have their parts")
	r.addFigure("bytes_per_s", float64(bytes)/length.Seconds(), "that a member sends to others")
	r.schedule = schedule.String()
	return nil
}

// schedulePlan is the schedule to play and for how long: drawn from the seed, read from a file, or, for a mutation, the
// faults that show it: a partition into two halves, and a member that stands still.
func (r *environment) schedulePlan(servers int) (schedule testfleet.Schedule, length time.Duration, err error) {
	length = max(r.length, 8*time.Second)
	if r.replay != "" {
		if schedule, err = testfleet.ReadSchedule(r.replay, memberCount, servers); err != nil {
			return nil, 0, err
		}
	} else {
		schedule = testfleet.DrawSchedule(r.seed, memberCount, servers, length)
	}
	if r.violation == "" {
		return schedule, length, nil
	}
	schedule = testfleet.Schedule{
		{At: 0, Kind: testfleet.PartitionMembers, Partitions: [][]int{{0, 1}, {2, 3, 4}}, Duration: 5 * time.Second},
		{At: 8 * time.Second, Kind: testfleet.PauseMembers, Members: []int{3}, Duration: 4 * time.Second},
	}
	return schedule, 14 * time.Second, nil
}

// judgeWatch reports what all members held together, which must never be more than the whole.
func (r *environment) judgeWatch(w *testfleet.ShareWatch) {
	r.addFigure("samples", w.Samples, "of what all members hold to be theirs of a ration")
	r.addFigure("most_held", w.MaxTotal, "of the whole, by all together at one moment")
	r.addFigure("over", w.Violations, "moments at which that was more than the whole")
	if w.Violations > 0 {
		r.failf("more than the whole was taken: %s", w.FirstViolation)
	}
	if w.Samples < 10 || w.MaxTotal <= 0.5 {
		r.failf("%d samples, the most %v: nothing was watched", w.Samples, w.MaxTotal)
	}
}

// pausedMembers has one of five stand still for a while, three times, each for longer, while servers are replaced all the time; what
// it holds and sends in the first moments after each is what it may.
func pausedMembers(ctx context.Context, r *environment) error {
	f, err := r.startFleet(testfleet.FleetConfig{MemberCount: memberCount, ServerCount: 20, ExtraPoolSettings: "tenants = [{ name = \"acme\", quota = 100 }]"})
	if err != nil {
		return err
	}
	limit := 20*time.Second + 10*r.slack
	all := memberIndices(memberCount)
	if _, err := f.AwaitAgreement(ctx, limit, true, all...); err != nil {
		return err
	}
	playing, over := context.WithCancel(ctx)
	defer over()
	var w *testfleet.ShareWatch
	var load, watch sync.WaitGroup
	watch.Go(func() { w = f.WatchShares(playing, 25*time.Millisecond) })
	for _, m := range f.Members {
		l := testfleet.Traffic(60, time.Hour)
		l[0].Account = "acme"
		m.RunStreams(playing, &load, l...)
	}
	load.Go(func() { r.rollServers(playing, f) })
	for i, share := range []float64{1.0 / 41, 10.0 / 41, 30.0 / 41} {
		long := time.Duration(share * float64(r.length))
		m := f.Members[(2*i+1)%memberCount]
		m.Pause()
		select {
		case <-time.After(long):
		case <-ctx.Done():
		}
		m.Resume()
		held := heldAtFirst(ctx, m)
		r.addFigure(fmt.Sprintf("held_after_%d", i+1), held, fmt.Sprintf("of a ration, in the first 100 ms after %v", long.Round(time.Millisecond)))
		if long > 2*f.Lease && held > 0 {
			r.failf("%v of a ration was held just after a stop of %v", held, long)
		}
		if _, err := f.AwaitAgreement(ctx, limit, true, all...); err != nil {
			r.failf("after a stop of %v: %v", long, err)
		}
	}
	over()
	load.Wait()
	watch.Wait()
	r.addFigure("most_held", w.MaxTotal, "of the whole, by all together at one moment")
	r.addFigure("samples", w.Samples, "of what all members held")
	if w.Violations > 0 {
		r.failf("more than the whole was taken: %s", w.FirstViolation)
	}
	return nil
}

// rollServers restarts one server after the other until ctx ends, so that most of them are cold.
func (r *environment) rollServers(ctx context.Context, f *testfleet.Fleet) {
	for i := 0; ctx.Err() == nil; i++ {
		s := f.Servers[i%len(f.Servers)]
		f.Registry.Set(s, "DRAINING")
		select {
		case <-time.After(300 * time.Millisecond):
		case <-ctx.Done():
			return
		}
		s.Crash()
		if s.Restart() == nil {
			f.Registry.Set(s, "SERVING")
		}
	}
}

// heldAtFirst is the most of a ration that a member holds in its first 100 ms after it was resumed.
func heldAtFirst(ctx context.Context, m *testfleet.Member) (held float64) {
	for first := time.Now(); time.Since(first) < 100*time.Millisecond; {
		if role, err := m.Role(ctx); err == nil {
			held = max(held, role.Of100/100)
		}
	}
	return held
}

// Sizes of the drill of wrong accusations.
const (
	accusedMembers = 6  // the last of them accuses healthy servers
	accusedServers = 12 // the first three of them are accused
	accusedCount   = 3
	minNamedShare  = 0.6 // of the mean, that an accused server must get
)

// illness is a time in which a server was really unhealthy.
type illness struct {
	server   *fake.Server
	from, to time.Duration
}

// wrongAccusations has servers of a fleet fail, hang and refuse, one after the other as the seed says, while members die,
// stand still and lose links, and one member tells all the others that three healthy servers fail.
func wrongAccusations(ctx context.Context, r *environment) error {
	f, err := r.startWithLiar()
	if err != nil {
		return err
	}
	limit := 20*time.Second + 10*r.slack
	if _, err := f.AwaitAgreement(ctx, limit, true, memberIndices(accusedMembers)...); err != nil {
		return err
	}
	length := max(r.length, 8*time.Second)
	playing, over := context.WithCancel(ctx)
	defer over()
	var load sync.WaitGroup
	for _, m := range f.Members {
		m.RunStreams(playing, &load, testfleet.Traffic(60, length)...)
	}
	var illnesses []illness
	begin := f.Recorder.Now()
	load.Go(func() { illnesses = r.sickenServers(playing, f, begin, length) })
	var schedule testfleet.Schedule
	for _, x := range testfleet.DrawSchedule(r.seed, accusedMembers-1, accusedServers, length) { // the liar lives
		if x.Kind != testfleet.RestartServer {
			schedule = append(schedule, x)
		}
	}
	if r.violation != "" {
		schedule = nil
	}
	if err := f.PlaySchedule(ctx, schedule, func(string) {}); err != nil {
		return err
	}
	load.Wait()
	if _, err := f.AwaitAgreement(ctx, limit, true, memberIndices(accusedMembers)...); err != nil {
		r.failf("after all is undone: %v", err)
	}
	r.judgeAccused(f, illnesses)
	r.schedule = schedule.String()
	return nil
}

// startWithLiar starts a fleet whose last member accuses healthy servers.
func (r *environment) startWithLiar() (*testfleet.Fleet, error) {
	liar, err := testfleet.BuildMutant(r.dir, testfleet.MutationLiar)
	if err != nil {
		return nil, err
	}
	program := r.program
	if mutation := mutations[r.violation]; mutation != "" {
		if program, err = testfleet.BuildMutant(r.dir, mutation); err != nil {
			return nil, err
		}
	}
	f, err := testfleet.NewFleet(testfleet.FleetConfig{Program: program, MemberCount: accusedMembers, ServerCount: accusedServers, Seed: r.seed, Slack: r.slack})
	if err != nil {
		return nil, err
	}
	r.fleet, r.records = f, f.Recorder
	f.Members[accusedMembers-1].Program = liar
	return f, f.StartAll(accusedMembers)
}

// sickenServers has one server at a time be unhealthy, none of those that are wrongly accused, and returns when which was.
func (r *environment) sickenServers(ctx context.Context, f *testfleet.Fleet, begin, length time.Duration) (l []illness) {
	for ctx.Err() == nil && f.Recorder.Now() < begin+length*7/10 {
		s := f.Servers[accusedCount+r.rng.IntN(accusedServers-accusedCount)]
		s.SetMode([]fake.Mode{fake.Failing, fake.Hanging, fake.Rejecting}[r.rng.IntN(3)])
		x := illness{server: s, from: f.Recorder.Now()}
		select {
		case <-time.After(length/8 + time.Duration(r.rng.Int64N(int64(length/8)))):
		case <-ctx.Done():
		}
		s.SetMode(fake.Serving)
		x.to = f.Recorder.Now()
		l = append(l, x)
	}
	return l
}

// judgeAccused reports what unhealthy servers cost, and holds what the accused servers got against the mean.
func (r *environment) judgeAccused(f *testfleet.Fleet, illnesses []illness) {
	paid, well := 0, 0
	perServer := map[string]int{}
	for _, a := range f.Recorder.History().Arrivals {
		sick := slices.ContainsFunc(illnesses, func(x illness) bool {
			return a.Server == x.server.ID() && a.FirstByteAt >= x.from && a.FirstByteAt < x.to
		})
		if sick {
			paid++
		} else {
			well++
			perServer[a.Server]++
		}
	}
	share := math.Inf(1) // the module keeps out a fifth of the list at the most, whatever it is told: two of the three
	for _, s := range f.Servers[:accusedCount] {
		share = min(share, float64(perServer[s.ID()])/(float64(well)/accusedServers))
	}
	r.addFigure("illnesses", len(illnesses), "of servers, one at a time")
	r.addFigure("paid", paid, "attempts at servers while these were sick")
	r.addFigure("paid_each", float64(paid)/float64(max(1, len(illnesses))), "the same for each")
	r.addFigure("named_share", share, "of the mean: the least that a server got of the three that one member told all others were failing")
	if share < minNamedShare {
		r.failf("a server that is well got %.2f of the mean, on one member's word", share)
	}
}

// memberDeaths kills two of five and measures what the servers get after that, with the members' view and as it was without.
func memberDeaths(ctx context.Context, r *environment) error {
	length := max(r.length, 6*time.Second)
	for _, alone := range []bool{true, false} {
		if r.fleet != nil {
			r.fleet.Close()
		}
		f, err := r.startFleet(testfleet.FleetConfig{MemberCount: memberCount, ServerCount: 20, Standalone: alone})
		if err != nil {
			return err
		}
		name := map[bool]string{true: "before", false: "fleet"}[alone]
		if !alone {
			if _, err := f.AwaitAgreement(ctx, 20*time.Second+10*r.slack, true, memberIndices(memberCount)...); err != nil {
				return err
			}
		}
		var load sync.WaitGroup
		for _, m := range f.Members {
			m.RunStreams(ctx, &load, testfleet.Traffic(200, 2*length)...)
		}
		begin := f.Recorder.Now()
		time.Sleep(length / 2)
		died := f.Recorder.Now()
		least, most := f.LoadSpread(begin, died)
		r.addFigure(name+"_alive_least", least, "requests of the server that got least, of the mean")
		r.addFigure(name+"_alive_most", most, "and of the one that got most")
		f.Members[1].Kill()
		f.Members[3].Kill()
		if !alone {
			took, err := f.AwaitAgreement(ctx, 20*time.Second+10*r.slack, false, 0, 2, 4)
			if err != nil {
				return err
			}
			r.addFigure("agreed_ms", took, "from the deaths until the others count each other and nobody else")
			if took, err = f.AwaitAgreement(ctx, 20*time.Second+10*r.slack, true, 0, 2, 4); err != nil {
				return err
			}
			r.addFigure("parts_ms", f.Recorder.Now()-died, "and until they have taken over what the dead might have taken")
		}
		load.Wait()
		least, most = f.LoadSpread(died+6*time.Second, died+2*length)
		if math.IsNaN(least) || least > 1e8 {
			least, most = f.LoadSpread(died, f.Recorder.Now())
		}
		r.addFigure(name+"_after_least", least, "the same from six seconds after two of five have died")
		r.addFigure(name+"_after_most", most, "")
	}
	return nil
}
