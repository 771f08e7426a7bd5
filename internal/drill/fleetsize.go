package drill

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"cranegrade/internal/fleet/gossipsim"
)

// fleetSize measures views of fleets that no machine holds, in simulated time: how soon deaths are right everywhere, and
// how often the living are given up.
func fleetSize(ctx context.Context, r *environment) error {
	r.unjudged = true
	long := 10 * time.Minute
	if r.length < 5*time.Second {
		long = time.Minute // a short form
	}
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "members\tloss\ta tenth dies: right everywhere\tliving given up an hour\tplaces of the living moved an hour\trumours a member and second")
	fleets := 0
	for _, n := range []int{5, 50, 300} {
		for _, loss := range []float64{0, 0.05, 0.3} {
			if n == 300 && (loss > 0.1 || r.length < 5*time.Second) || n == 50 && loss > 0.1 && r.length < 5*time.Second {
				continue // at 300 and 30 % the gossip is all rumours and refusals: docs/findings/fleet-faults.md
			}
			fleets++
			if ctx.Err() != nil {
				return ctx.Err()
			}
			c := gossipsim.Config{
				Members: n, Loss: loss, ProbeInterval: 300 * time.Millisecond, SettleTime: time.Second, Seed: r.seed, Deaths: max(1, n/10),
				Length: time.Minute,
			}
			var worst time.Duration
			for seed := range uint64(3) {
				c.Seed = r.seed + seed
				x := gossipsim.Run(c)
				if worst = max(worst, x.ConvergedAfter); x.ConvergedAfter == 0 {
					r.failf("%d members at a loss of %v were not right within a minute", n, loss)
				}
			}
			c.Deaths, c.Length = 0, long
			if n > 5 {
				c.Length = long / time.Duration(n/5)
			}
			x := gossipsim.Run(c)
			hours := c.Length.Hours()
			fmt.Fprintf(t, "%d\t%.0f %%\t%.2f s\t%.0f\t%.0f\t%.2f\n", n, 100*loss, worst.Seconds(), float64(x.FalseFailures)/hours, float64(x.PositionChanges)/hours,
				float64(x.RumoursSent)/c.Length.Seconds()/float64(n))
		}
	}
	t.Flush()
	r.addFigure("fleets", fleets, "that were played")
	r.tables = append(r.tables, b.String())
	return nil
}
