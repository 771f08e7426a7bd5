package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	rigs "cranegrade/internal/rig"
	"cranegrade/internal/standin"
)

// fleetDrills are those that need several processes.
var fleetDrills = []string{"members", "deaths", "stops", "signals", "fleet-size"}

// fleetList lists them.
func fleetList(_ context.Context, r *rig) error {
	r.unjudged = true
	r.figure("drills", len(fleetDrills), "")
	for _, s := range scenarios {
		for _, name := range fleetDrills {
			if s.name == name {
				r.tables = append(r.tables, fmt.Sprintf("%-12s %s\n", s.name, s.about))
			}
		}
	}
	return nil
}

// planted are the breaches that are built into the program.
var planted = map[string]rigs.Mutation{"seen": rigs.MutationSeen, "stalled": rigs.MutationStalled, "gullible": rigs.MutationGullible}

// plantedInProgram is what drills without a fleet do with such a breach.
func plantedInProgram(context.Context, *rig) error {
	return errors.New("this breach is one of fleets: it is found by drill members")
}

// fleetOf starts a fleet as the drill's options say.
func (r *rig) fleetOf(c rigs.FleetConfig) (*rigs.Fleet, error) {
	c.Program, c.Seed, c.Slack = r.program, r.seed, r.slack
	if mutation := planted[r.plant]; mutation != "" {
		var err error
		if c.Program, err = rigs.BuildMutant(r.dir, mutation); err != nil {
			return nil, err
		}
	}
	f, err := rigs.NewFleet(c)
	if err != nil {
		return nil, err
	}
	r.fleet, r.rec = f, f.Rec
	if err := f.StartAll(c.Members); err != nil {
		return nil, err
	}
	return f, nil
}

// memberCount is how many processes the drills of fleets start.
const memberCount = 5

func everyone(n int) (l []int) {
	for i := range n {
		l = append(l, i)
	}
	return l
}

// members plays a schedule of faults on five processes under load, while servers are replaced, and holds what they
// may take together against the whole all the time.
func members(ctx context.Context, r *rig) error {
	f, err := r.fleetOf(rigs.FleetConfig{Members: memberCount, Servers: 20})
	if err != nil {
		return err
	}
	limit := 20*time.Second + 10*r.slack
	if _, err := f.Agree(limit, true, everyone(memberCount)...); err != nil {
		return err
	}
	length := max(r.length, 8*time.Second)
	schedule := rigs.Draw(r.seed, memberCount, len(f.Servers), length)
	if r.replay != "" {
		if schedule, err = rigs.ReadSchedule(r.replay, memberCount, len(f.Servers)); err != nil {
			return err
		}
	}
	if r.plant != "" { // what shows it: two halves, and one that stands still
		schedule = rigs.Schedule{{At: 0, What: rigs.CutParts, Parts: [][]int{{0, 1}, {2, 3, 4}}, For: 5 * time.Second},
			{At: 8 * time.Second, What: rigs.StopMembers, Members: []int{3}, For: 4 * time.Second}}
		length = 14 * time.Second
	}
	watching, stop := context.WithCancel(ctx)
	var w *rigs.Watch
	var load, watch sync.WaitGroup
	watch.Go(func() { w = f.Watch(watching, 25*time.Millisecond) })
	for _, m := range f.Members {
		m.Stream(watching, &load, rigs.Traffic(60, length)...)
	}
	sent := f.Fabric.Bytes(0)
	err = f.Play(ctx, schedule, func(s string) {
		if r.verbose {
			fmt.Fprintln(r.err, s)
		}
	})
	load.Wait()
	bytes := f.Fabric.Bytes(0) - sent
	if err != nil {
		stop()
		return err
	}
	healed, err := f.Agree(limit, true, everyone(memberCount)...)
	stop()
	watch.Wait()
	if err != nil {
		r.failf("after all is undone: %v", err)
	}
	r.figure("faults", len(schedule), "of the schedule")
	r.figure("samples", w.Samples, "of what all members hold to be theirs of a ration")
	r.figure("most_held", w.Most, "of the whole, by all together at one moment")
	r.figure("over", w.Over, "moments at which that was more than the whole")
	r.figure("whole_again_ms", healed, "from the end of the last fault until all count each other and have their parts")
	r.figure("bytes_per_s", float64(bytes)/length.Seconds(), "that a member sends to others")
	if w.Over > 0 {
		r.failf("more than the whole was taken: %s", w.Detail)
	}
	if w.Samples < 10 || w.Most <= 0.5 {
		r.failf("%d samples, the most %v: nothing was watched", w.Samples, w.Most)
	}
	r.schedule = schedule.String()
	return nil
}

// stops has one of five stand still for a while, three times, each for longer, while servers are replaced all the time; what
// it holds and sends in the first moments after each is what it may.
func stops(ctx context.Context, r *rig) error {
	f, err := r.fleetOf(rigs.FleetConfig{Members: memberCount, Servers: 20, Pool: "tenants = [{ name = \"acme\", quota = 100 }]"})
	if err != nil {
		return err
	}
	limit := 20*time.Second + 10*r.slack
	all := everyone(memberCount)
	if _, err := f.Agree(limit, true, all...); err != nil {
		return err
	}
	playing, over := context.WithCancel(ctx)
	defer over()
	var w *rigs.Watch
	var load, watch sync.WaitGroup
	watch.Go(func() { w = f.Watch(playing, 25*time.Millisecond) })
	for _, m := range f.Members {
		l := rigs.Traffic(60, time.Hour)
		l[0].Account = "acme"
		m.Stream(playing, &load, l...)
	}
	load.Go(func() { // a rolling deploy that goes on: most servers are cold
		for i := 0; playing.Err() == nil; i++ {
			s := f.Servers[i%len(f.Servers)]
			f.Registry.Set(s, "DRAINING")
			select {
			case <-time.After(300 * time.Millisecond):
			case <-playing.Done():
				return
			}
			s.Crash()
			if s.Restart() == nil {
				f.Registry.Set(s, "SERVING")
			}
		}
	})
	for i, share := range []float64{1.0 / 41, 10.0 / 41, 30.0 / 41} {
		long := time.Duration(share * float64(r.length))
		m := f.Members[(2*i+1)%memberCount]
		m.Pause()
		select {
		case <-time.After(long):
		case <-ctx.Done():
		}
		m.Resume()
		held, first := 0.0, time.Now()
		for time.Since(first) < 100*time.Millisecond {
			if role, err := m.Role(); err == nil {
				held = max(held, role.Of100/100)
			}
		}
		r.figure(fmt.Sprintf("held_after_%d", i+1), held, fmt.Sprintf("of a ration, in the first 100 ms after %v", long.Round(time.Millisecond)))
		if long > 2*f.Lease && held > 0 {
			r.failf("%v of a ration was held just after a stop of %v", held, long)
		}
		if _, err := f.Agree(limit, true, all...); err != nil {
			r.failf("after a stop of %v: %v", long, err)
		}
	}
	over()
	load.Wait()
	watch.Wait()
	r.figure("most_held", w.Most, "of the whole, by all together at one moment")
	r.figure("samples", w.Samples, "of what all members held")
	if w.Over > 0 {
		r.failf("more than the whole was taken: %s", w.Detail)
	}
	return nil
}

// signals has servers of a fleet fail, hang and refuse, one after the other as the seed says, while members die, stand still
// and lose links, and one member tells all the others that three healthy servers fail.
func signals(ctx context.Context, r *rig) error {
	const count, servers = 6, 12
	liar, err := rigs.BuildMutant(r.dir, rigs.MutationLiar)
	if err != nil {
		return err
	}
	program := r.program
	if mutation := planted[r.plant]; mutation != "" {
		if program, err = rigs.BuildMutant(r.dir, mutation); err != nil {
			return err
		}
	}
	f, err := rigs.NewFleet(rigs.FleetConfig{Program: program, Members: count, Servers: servers, Seed: r.seed, Slack: r.slack})
	if err != nil {
		return err
	}
	r.fleet, r.rec = f, f.Rec
	f.Members[count-1].Program = liar
	if err := f.StartAll(count); err != nil {
		return err
	}
	limit := 20*time.Second + 10*r.slack
	if _, err := f.Agree(limit, true, everyone(count)...); err != nil {
		return err
	}
	length := max(r.length, 8*time.Second)
	playing, over := context.WithCancel(ctx)
	defer over()
	var load sync.WaitGroup
	for _, m := range f.Members {
		m.Stream(playing, &load, rigs.Traffic(60, length)...)
	}
	begin := f.Rec.Now()
	// One server at a time is sick, none of the three that the liar names.
	type illness struct {
		server   *standin.Server
		from, to time.Duration
	}
	var ill []illness
	load.Go(func() {
		for playing.Err() == nil && f.Rec.Now() < begin+length*7/10 {
			s := f.Servers[3+r.rng.IntN(servers-3)]
			s.SetMode([]standin.Mode{standin.Failing, standin.Hanging, standin.Refusing}[r.rng.IntN(3)])
			x := illness{server: s, from: f.Rec.Now()}
			select {
			case <-time.After(length/8 + time.Duration(r.rng.Int64N(int64(length/8)))):
			case <-playing.Done():
			}
			s.SetMode(standin.Serving)
			x.to = f.Rec.Now()
			ill = append(ill, x)
		}
	})
	var schedule rigs.Schedule
	for _, x := range rigs.Draw(r.seed, count-1, servers, length) { // the liar lives
		if x.What != rigs.RollServers {
			schedule = append(schedule, x)
		}
	}
	if r.plant != "" {
		schedule = nil
	}
	if err := f.Play(ctx, schedule, func(string) {}); err != nil {
		return err
	}
	load.Wait()
	if _, err := f.Agree(limit, true, everyone(count)...); err != nil {
		r.failf("after all is undone: %v", err)
	}
	v := f.Rec.View()
	paid, well := 0, 0
	named := map[string]int{}
	for _, a := range v.Arrivals {
		sick := false
		for _, x := range ill {
			sick = sick || a.Server == x.server.ID() && a.First >= x.from && a.First < x.to
		}
		switch {
		case sick:
			paid++
		default:
			well++
			named[a.Server]++
		}
	}
	share := math.Inf(1) // the module keeps out a fifth of the list at the most, whatever it is told: two of the three
	for _, s := range f.Servers[:3] {
		share = min(share, float64(named[s.ID()])/(float64(well)/servers))
	}
	r.figure("illnesses", len(ill), "of servers, one at a time")
	r.figure("paid", paid, "attempts at servers while these were sick")
	r.figure("paid_each", float64(paid)/float64(max(1, len(ill))), "the same for each")
	r.figure("named_share", share, "of the mean: the least that a server got of the three that one member told all others were failing")
	if share < 0.6 {
		r.failf("a server that is well got %.2f of the mean, on one member's word", share)
	}
	r.schedule = schedule.String()
	return nil
}

// deaths kills two of five and measures what the servers get after that, with the members' view and as it was without.
func deaths(ctx context.Context, r *rig) error {
	length := max(r.length, 6*time.Second)
	for _, alone := range []bool{true, false} {
		if r.fleet != nil {
			r.fleet.Close()
		}
		f, err := r.fleetOf(rigs.FleetConfig{Members: memberCount, Servers: 20, Alone: alone})
		if err != nil {
			return err
		}
		name := map[bool]string{true: "before", false: "fleet"}[alone]
		if !alone {
			if _, err := f.Agree(20*time.Second+10*r.slack, true, everyone(memberCount)...); err != nil {
				return err
			}
		}
		var load sync.WaitGroup
		for _, m := range f.Members {
			m.Stream(ctx, &load, rigs.Traffic(200, 2*length)...)
		}
		begin := f.Rec.Now()
		time.Sleep(length / 2)
		died := f.Rec.Now()
		least, most := f.Load(begin, died)
		r.figure(name+"_alive_least", least, "requests of the server that got least, of the mean")
		r.figure(name+"_alive_most", most, "and of the one that got most")
		f.Members[1].Kill()
		f.Members[3].Kill()
		if !alone {
			took, err := f.Agree(20*time.Second+10*r.slack, false, 0, 2, 4)
			if err != nil {
				return err
			}
			r.figure("agreed_ms", took, "from the deaths until the others count each other and nobody else")
			if took, err = f.Agree(20*time.Second+10*r.slack, true, 0, 2, 4); err != nil {
				return err
			}
			r.figure("parts_ms", f.Rec.Now()-died, "and until they have taken over what the dead might have taken")
		}
		load.Wait()
		least, most = f.Load(died+6*time.Second, died+2*length)
		if math.IsNaN(least) || least > 1e8 {
			least, most = f.Load(died, f.Rec.Now())
		}
		r.figure(name+"_after_least", least, "the same from six seconds after two of five have died")
		r.figure(name+"_after_most", most, "")
	}
	return nil
}
