package drill

import (
	"context"
	"math"
	"sync"
	"time"

	"cranegrade/internal/testfleet"
)

const (
	minDeathsLength = 6 * time.Second
	settledAfter    = 6 * time.Second // after the deaths, from when the spread of load is measured
	unknownSpread   = 1e8             // a fewest number of requests above this is of a time without requests
)

// memberDeaths kills two of five members and measures what the servers get after that: first as standalone nodes, which do not know of each
// other, then as a fleet.
func memberDeaths(ctx context.Context, env *environment) error {
	if err := env.measureDeaths(ctx, "before", true); err != nil {
		return err
	}
	env.fleet.Close()
	env.fleet = nil // not closed again if the next one does not start
	return env.measureDeaths(ctx, "fleet", false)
}

// measureDeaths measures one kind of fleet; the names of its figures begin with prefix.
func (env *environment) measureDeaths(ctx context.Context, prefix string, standalone bool) error {
	length := max(env.length, minDeathsLength)
	f, err := env.startFleet(testfleet.FleetConfig{MemberCount: memberCount, ServerCount: fleetServers, Standalone: standalone})
	if err != nil {
		return err
	}
	if !standalone {
		if _, err := env.awaitAgreement(ctx, true, memberIndices(memberCount)...); err != nil {
			return err
		}
	}
	var load sync.WaitGroup
	for _, m := range f.Members {
		m.RunStreams(ctx, &load, testfleet.Traffic(200, 2*length)...)
	}
	start := f.Recorder.Now()
	time.Sleep(length / 2)
	died := f.Recorder.Now()
	least, most := f.LoadSpread(start, died)
	env.addFigure(prefix+"_alive_least", least, "requests of the server that got least, of the mean")
	env.addFigure(prefix+"_alive_most", most, "and of the one that got most")
	f.Members[1].Kill()
	f.Members[3].Kill()
	if !standalone {
		if err := env.measureTakeover(ctx, died, 0, 2, 4); err != nil {
			return err
		}
	}
	load.Wait()
	least, most = f.LoadSpread(died+settledAfter, died+2*length)
	if math.IsNaN(least) || least > unknownSpread {
		least, most = f.LoadSpread(died, f.Recorder.Now())
	}
	env.addFigure(prefix+"_after_least", least, "the same from six seconds after two of five have died")
	env.addFigure(prefix+"_after_most", most, "")
	return nil
}

// measureTakeover measures how long the survivors take to agree and to take over what the dead members had.
func (env *environment) measureTakeover(ctx context.Context, died time.Duration, survivors ...int) error {
	took, err := env.awaitAgreement(ctx, false, survivors...)
	if err != nil {
		return err
	}
	env.addFigure("agreed_ms", took, "from the deaths until the others count each other and nobody else")
	if _, err = env.awaitAgreement(ctx, true, survivors...); err != nil {
		return err
	}
	env.addFigure("parts_ms", env.fleet.Recorder.Now()-died, "and until they have taken over what the dead might have taken")
	return nil
}
