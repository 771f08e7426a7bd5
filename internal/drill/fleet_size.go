package drill

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"cranegrade/internal/fleet/gossipsim"
)

const (
	fleetSizeSeeds  = 3 // that deaths are played with
	shortFormLimit  = 5 * time.Second
	deathPlayLength = time.Minute // simulated
)

// gossipCase is a simulated fleet.
type gossipCase struct {
	members int
	loss    float64 // share of messages that are lost
}

// gossipCases are the fleets that are played. At 300 members and a loss of 30 % the gossip consists of rumours and refutations only
// (docs/findings/fleet-faults.md), so that is left out; the short form leaves out whatever takes long.
func gossipCases(short bool) (cases []gossipCase) {
	for _, members := range []int{5, 50, 300} {
		for _, loss := range []float64{0, 0.05, 0.3} {
			tooMuchLoss := loss > 0.1 && (members == 300 || members == 50 && short)
			if tooMuchLoss || members == 300 && short {
				continue
			}
			cases = append(cases, gossipCase{members, loss})
		}
	}
	return cases
}

// fleetSize measures fleets that no machine holds, in simulated time: how soon deaths are known everywhere, and how often living members
// are taken for dead.
func fleetSize(ctx context.Context, env *environment) error {
	env.measuresOnly = true
	short := env.length < shortFormLimit
	cases := gossipCases(short)
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "members\tloss\ta tenth dies: right everywhere\tliving given up an hour\t"+
		"places of the living moved an hour\trumours a member and second")
	for _, c := range cases {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		known := env.playDeaths(c)
		length, calm := env.playWithoutDeaths(c, short)
		fmt.Fprintf(t, "%d\t%.0f %%\t%.2f s\t%.0f\t%.0f\t%.2f\n", c.members, 100*c.loss, known.Seconds(),
			float64(calm.FalseFailures)/length.Hours(), float64(calm.PositionChanges)/length.Hours(),
			float64(calm.RumoursSent)/length.Seconds()/float64(c.members))
	}
	_ = t.Flush() // into a builder
	env.addFigure("fleets", len(cases), "that were played")
	env.tables = append(env.tables, b.String())
	return nil
}

func (env *environment) gossipConfig(c gossipCase) gossipsim.Config {
	return gossipsim.Config{Members: c.members, Loss: c.loss, ProbeInterval: 300 * time.Millisecond, SettleTime: time.Second}
}

// playDeaths has a tenth of the members die, and returns the longest time until that was known everywhere.
func (env *environment) playDeaths(c gossipCase) (worst time.Duration) {
	config := env.gossipConfig(c)
	config.Deaths, config.Length = max(1, c.members/10), deathPlayLength
	for seed := range uint64(fleetSizeSeeds) {
		config.Seed = env.seed + seed
		result := gossipsim.Run(config)
		worst = max(worst, result.ConvergedAfter)
		if result.ConvergedAfter == 0 {
			env.failf("%d members at a loss of %v were not right within a minute", c.members, c.loss)
		}
	}
	return worst
}

// playWithoutDeaths plays a fleet in which nobody dies; a large one for a shorter time. It returns that time and the result.
func (env *environment) playWithoutDeaths(c gossipCase, short bool) (time.Duration, gossipsim.Result) {
	length := 10 * time.Minute
	if short {
		length = time.Minute
	}
	if c.members > 5 {
		length /= time.Duration(c.members / 5)
	}
	config := env.gossipConfig(c)
	config.Seed, config.Length = env.seed+fleetSizeSeeds-1, length
	return length, gossipsim.Run(config)
}
