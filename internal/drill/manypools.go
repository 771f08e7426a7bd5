package drill

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cranegrade/internal/fake"
)

// overloadPools has a hundred pools in one process. The servers of ten become ten times as slow for a while;
// the other ninety must not notice, and the ten must be back once it is over.
func overloadPools(ctx context.Context, r *environment) error {
	pools, choked := 100, 10
	if r.length < 6*time.Second { // the short form
		pools, choked = 20, 2
	}
	cfg := fake.ServerConfig{Concurrency: 4, QueueLimit: 100, ServiceTime: 30 * time.Millisecond, SlowStart: cold, Zone: "a", IgnoreDisconnects: true}
	file := "listen = [\"127.0.0.1:0\"]\n"
	routes := ""
	var streams []fake.Stream
	for i := range pools {
		name := fmt.Sprintf("p%03d", i)
		g, err := r.group(name, name+".example.org", cfg)
		if err != nil {
			return err
		}
		file += poolText(name, g.registryText())
		routes += fmt.Sprintf("\n[[routes]]\nhost = %q\npool = %q\n", g.host, name)
		s := fake.Stream{Name: "calm", Host: g.host, Class: readClass, Rate: 4}
		if i < choked {
			s.Name, s.Rate = "choked", 40
		}
		streams = append(streams, s)
	}
	if err := r.start(file + routes); err != nil {
		return err
	}
	if err := r.settle(r.groups...); err != nil {
		return err
	}
	start := r.records.Now()
	const from, to = 0.25, 0.5
	var faults sync.WaitGroup
	slower := func(share, times float64) {
		r.at(ctx, &faults, share, func() {
			for _, g := range r.groups[:choked] {
				g.servers[0].SetSlowdown(times)
			}
		})
	}
	if r.violation == "" {
		slower(from, 10)
		slower(to, 1)
	}
	if err := r.play(ctx, &faults, streams...); err != nil {
		return err
	}
	v := r.records.History()
	share := func(x float64) time.Duration { return start + time.Duration(x*float64(r.length)) }
	good := func(stream string, from, to float64) float64 { return goodput(v, stream, share(from), share(to)) }
	r.addFigure("pools", pools, "in one process, each with a server")
	r.addFigure("calm_goodput_during", good("calm", from, to), "of those whose servers were as ever, while the others were slow")
	r.addFigure("calm_goodput", good("calm", 0, 1), "and over the whole")
	r.addFigure("choked_goodput_during", good("choked", from, to), "of those whose servers were ten times as slow")
	r.addFigure("choked_goodput_after", good("choked", to+0.1, 1), "from a tenth of the drill after that on")
	return nil
}
