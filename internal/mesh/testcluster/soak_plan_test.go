package testcluster

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Environment variables of a soak by hand. Without them one seed is played, as CI does.
const (
	soakSeedsEnv    = "SOAK_SEEDS"    // such as 1-50, or one number
	soakSecondsEnv  = "SOAK_SECONDS"  // of faults, for each seed
	soakMembersEnv  = "SOAK_MEMBERS"  // control-plane members
	soakSidecarsEnv = "SOAK_SIDECARS" // sidecars, each with a server
	soakParallelEnv = "SOAK_PARALLEL" // seeds that are played at once
)

// soakOptions are what a soak is played with besides its seed.
type soakOptions struct {
	firstSeed, lastSeed uint64
	duration            time.Duration
	members, sidecars   int
	parallel            int
}

// defaultSoakOptions are those of CI.
func defaultSoakOptions() soakOptions {
	return soakOptions{firstSeed: 1, lastSeed: 2, duration: 30 * time.Second, members: 3, sidecars: 4, parallel: 2}
}

// soakOptionsFromEnv returns the options that the environment sets.
func soakOptionsFromEnv(t *testing.T) soakOptions {
	t.Helper()
	options := defaultSoakOptions()
	if seeds := os.Getenv(soakSeedsEnv); seeds != "" {
		first, last, isRange := strings.Cut(seeds, "-")
		options.firstSeed = parseSoakNumber[uint64](t, soakSeedsEnv, first)
		options.lastSeed = options.firstSeed
		if isRange {
			options.lastSeed = parseSoakNumber[uint64](t, soakSeedsEnv, last)
		}
	}
	for name, option := range map[string]*int{
		soakMembersEnv: &options.members, soakSidecarsEnv: &options.sidecars, soakParallelEnv: &options.parallel,
	} {
		if text := os.Getenv(name); text != "" {
			*option = parseSoakNumber[int](t, name, text)
		}
	}
	if text := os.Getenv(soakSecondsEnv); text != "" {
		options.duration = time.Duration(parseSoakNumber[int](t, soakSecondsEnv, text)) * time.Second
	}
	return options
}

func parseSoakNumber[N int | uint64](t *testing.T, name, text string) N {
	t.Helper()
	number, err := strconv.ParseUint(text, 10, 31)
	assert.NilError(t, err, name)
	assert.Assert(t, number > 0, "%s: 0", name)
	return N(number)
}

// soakAction is what a soak does to a machine or to the configuration.
type soakAction int

// Planned actions come first: a mesh must lose no request by them.
const (
	terminateSidecar soakAction = iota // SIGTERM, and a start once it has ended
	reloadSidecar                      // SIGHUP
	changeRoute
	drainServer // and the next instance
	terminateMember
	reloadMember
	killSidecar // SIGKILL at any moment, and a start
	pauseSidecar
	killMember
	pauseMember
	killAllMembers
	crashServer
	departServer // planned, and drawn apart: see planDepartures

	firstUnplanned = killSidecar
)

// soakActionCount is how many actions planSoak draws from.
const soakActionCount = int(crashServer) + 1

var soakActionNames = [...]string{
	"terminate sidecar", "reload sidecar", "change route", "drain server", "terminate member", "reload member",
	"kill sidecar", "pause sidecar", "kill member", "pause member", "kill all members", "crash server", "depart server",
}

func (a soakAction) String() string { return soakActionNames[a] }

// soakEvent is one action at one moment. Events may overlap, also on one machine.
type soakEvent struct {
	at     time.Duration // since the start of the soak
	action soakAction
	target int           // of the members or the sidecars, modulo their number
	pause  time.Duration // of the actions that pause
}

func (e soakEvent) String() string {
	return fmt.Sprintf("%v %v %d", e.at.Round(time.Millisecond), e.action, e.target)
}

const (
	soakSeriesInterval = 1500 * time.Millisecond // mean time between the starts of two series
	maxSoakSeries      = 6                       // events in one series
	maxSoakGap         = 200 * time.Millisecond  // between two events of a series
	maxSoakPause       = 700 * time.Millisecond
)

// isPlannedSoak reports whether a seed plays planned actions alone.
func isPlannedSoak(seed uint64) bool { return seed%2 == 1 }

// planSoak returns the events of a seed in order. Events come in series, in which the same machine is often struck more than once.
func planSoak(seed uint64, duration time.Duration) (events []soakEvent) {
	random := rand.New(rand.NewPCG(seed, seed))
	actions := soakActionCount
	if isPlannedSoak(seed) {
		actions = int(firstUnplanned)
	}
	for at := time.Duration(0); at < duration; at += soakSeriesInterval/2 + time.Duration(random.Int64N(int64(soakSeriesInterval))) {
		target := random.IntN(1 << 10)
		moment := at
		for range 1 + random.IntN(maxSoakSeries) {
			if random.IntN(2) == 0 {
				target = random.IntN(1 << 10)
			}
			events = append(events, soakEvent{
				at: moment, action: soakAction(random.IntN(actions)), target: target,
				pause: time.Duration(random.Int64N(int64(maxSoakPause))),
			})
			moment += time.Duration(random.Int64N(int64(maxSoakGap)))
		}
	}
	return events
}

// soakDepartureInterval is the mean time between two departures of servers.
const soakDepartureInterval = 4 * time.Second

// planDepartures returns the departures of servers of a seed in order. Some have a kill of the sidecar beside the server soon after, if the seed plays
// unplanned actions.
func planDepartures(seed uint64, duration time.Duration) (events []soakEvent) {
	random := rand.New(rand.NewPCG(seed, 1))
	for at := time.Duration(0); at < duration; at += soakDepartureInterval/2 + time.Duration(random.Int64N(int64(soakDepartureInterval))) {
		departure := soakEvent{
			at: at, action: departServer, target: random.IntN(1 << 10), pause: time.Duration(random.Int64N(int64(maxSoakPause))),
		}
		events = append(events, departure)
		for _, delay := range []time.Duration{0, soakServeOnTime + soakYoungAge} { // behind either departure of the two
			kill := soakEvent{at: at + delay + time.Duration(random.Int64N(int64(maxSoakPause))), action: killSidecar, target: departure.target}
			if !isPlannedSoak(seed) && random.IntN(2) == 0 {
				events = append(events, kill)
			}
		}
	}
	slices.SortStableFunc(events, func(a, b soakEvent) int { return cmp.Compare(a.at, b.at) })
	return events
}

// A seed always has the same plan, and planned seeds have no unplanned action.
func TestSoakPlan(t *testing.T) {
	seen := map[soakAction]bool{}
	for seed := range uint64(40) {
		events := planSoak(seed, time.Minute)
		assert.DeepEqual(t, fmt.Sprint(events), fmt.Sprint(planSoak(seed, time.Minute)))
		departures := planDepartures(seed, time.Minute)
		assert.DeepEqual(t, fmt.Sprint(departures), fmt.Sprint(planDepartures(seed, time.Minute)))
		for _, event := range departures {
			assert.Assert(t, event.action == departServer || !isPlannedSoak(seed), "seed %d: %v", seed, event)
		}
		for _, event := range events {
			seen[event.action] = true
			assert.Assert(t, event.action < firstUnplanned || !isPlannedSoak(seed), "seed %d: %v", seed, event)
		}
	}
	assert.Equal(t, len(seen), soakActionCount)
}
