package drill

import (
	"context"
	"sync"
	"time"

	"cranegrade/internal/fake"
)

// tour is a first look: one pool, three servers, every class; one server drains and comes back, one
// crashes and starts again.
func tour(ctx context.Context, r *environment) error {
	const host = "tour.example.org"
	g, err := r.group("tour", host, inCell(usual, 1), inCell(usual, 1), inCell(usual, 2))
	if err != nil {
		return err
	}
	if err := r.start("listen = [\"127.0.0.1:0\"]\ndefault = \"tour\"\nlimits = { cores = 1 }\n" + poolText("tour", g.registryText())); err != nil {
		return err
	}
	if err := r.settle(g); err != nil {
		return err
	}
	var faults sync.WaitGroup
	if r.violation == "" {
		r.at(ctx, &faults, 0.2, func() { g.registry.Set(g.servers[0], "DRAINING") })
		r.at(ctx, &faults, 0.4, func() { g.registry.Set(g.servers[0], "SERVING") })
		r.at(ctx, &faults, 0.5, func() {
			g.servers[1].Crash()
			time.Sleep(300 * time.Millisecond)
			if err := g.servers[1].Restart(); err == nil {
				g.registry.Set(g.servers[1], "SERVING")
			}
		})
	}
	err = r.play(ctx, &faults,
		fake.Stream{Host: host, Class: readClass, Rate: 120},
		fake.Stream{Host: host, Class: sendClass, Rate: 60, BodyBytes: 200},
		fake.Stream{Host: host, Class: cellClass, Rate: 30, BodyBytes: 2000},
		fake.Stream{Host: host, Class: orderClass, Rate: 30, BodyBytes: 500})
	if err != nil {
		return err
	}
	v := r.records.History()
	r.tables = append(r.tables, streamTable(v), serverTable(v))
	return nil
}
