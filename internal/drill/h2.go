package drill

import (
	"context"
	"strings"
	"sync"
	"time"

	"cranegrade/internal/fake"
)

// h2Drill is the tour over HTTP/2 on both sides: callers share few connections to the program, which shares few to
// each server. One server drains, one crashes and comes back cold, one hangs for a while and one answers with errors.
func h2Drill(ctx context.Context, r *environment) error {
	r.towards = fake.NewH2ClientGateway
	return multiplexed(ctx, r, "h2", func(server string, _ uint64) (*fake.Gateway, error) { return fake.NewH2ServerGateway(server) }, `protocol = "h2"`)
}

// grpcDrill is the same in gRPC, where reads are answered in pieces; with chaos servers also break answers in every
// way that the protocol has.
func grpcDrill(chaos float64) func(context.Context, *environment) error {
	return func(ctx context.Context, r *environment) error {
		r.towards = func(node string) (*fake.Gateway, error) { return fake.NewGRPCClientGateway(node, "grpc.example.org") }
		return multiplexed(ctx, r, "grpc", func(server string, seed uint64) (*fake.Gateway, error) {
			return fake.NewGRPCServerGateway(server, seed, chaos)
		}, `protocol = "grpc"`)
	}
}

// multiplexed is the tour of h2Drill with servers behind such sidecars.
func multiplexed(ctx context.Context, r *environment, name string, before func(server string, seed uint64) (*fake.Gateway, error),
	more string,
) error {
	host := name + ".example.org"
	g, err := r.groupBehindSidecars(name, host, before)
	if err != nil {
		return err
	}
	text := poolText(name, g.registryText(), more)
	if name == "grpc" {
		text = strings.Replace(text, "name = \"read\"\n", "name = \"read\"\nstream = true\n", 1)
	}
	if err := r.start("listen_h2 = [\"127.0.0.1:0\"]\ndefault = \"" + name + "\"\n" + text); err != nil {
		return err
	}
	if err := r.settle(g); err != nil {
		return err
	}
	var faults sync.WaitGroup
	if r.violation == "" {
		r.scheduleServerFaults(ctx, &faults, g)
	}
	if err := r.play(ctx, &faults,
		fake.Stream{Host: host, Class: readClass, Rate: 150},
		fake.Stream{Host: host, Class: sendClass, Rate: 60, BodyBytes: 200},
		fake.Stream{Host: host, Class: cellClass, Rate: 30, BodyBytes: 60_000},
		fake.Stream{Host: host, Class: orderClass, Rate: 30, BodyBytes: 500}); err != nil {
		return err
	}
	v := r.records.History()
	r.tables = append(r.tables, streamTable(v), serverTable(v))
	return nil
}

// groupBehindSidecars starts five servers, each behind a sidecar of its own that speaks the protocol for it.
func (r *environment) groupBehindSidecars(name, host string, before func(server string, seed uint64) (*fake.Gateway, error)) (*serverGroup, error) {
	g, err := r.group(name, host)
	if err != nil {
		return nil, err
	}
	for i := range 5 {
		cfg := inCell(usual, i/2)
		cfg.ID = name + "-" + string(rune('0'+i))
		s, err := fake.NewServer(cfg, r.records, r.keys)
		if err != nil {
			return nil, err
		}
		g.servers = append(g.servers, s)
		side, err := before(s.Addr(), r.rng.Uint64())
		if err != nil {
			return nil, err
		}
		r.sidecars = append(r.sidecars, side)
		s.AdvertiseAs(side.Addr())
		g.registry.Set(s, "SERVING")
	}
	return g, nil
}

// scheduleServerFaults has one server after the other drain, crash, hang, fail and refuse.
func (r *environment) scheduleServerFaults(ctx context.Context, faults *sync.WaitGroup, g *serverGroup) {
	set := func(i int, m fake.Mode) func() { return func() { g.servers[i].SetMode(m) } }
	r.at(ctx, faults, 0.1, func() { g.registry.Set(g.servers[0], "DRAINING") })
	r.at(ctx, faults, 0.3, func() { g.registry.Set(g.servers[0], "SERVING") })
	r.at(ctx, faults, 0.35, func() {
		g.servers[1].Crash()
		time.Sleep(300 * time.Millisecond)
		if err := g.servers[1].Restart(); err == nil {
			g.registry.Set(g.servers[1], "SERVING")
		}
	})
	r.at(ctx, faults, 0.5, set(2, fake.Hanging))
	r.at(ctx, faults, 0.6, set(2, fake.Serving))
	r.at(ctx, faults, 0.7, set(3, fake.Failing))
	r.at(ctx, faults, 0.8, set(3, fake.Serving))
	r.at(ctx, faults, 0.85, set(4, fake.Rejecting))
	r.at(ctx, faults, 0.9, set(4, fake.Serving))
}
