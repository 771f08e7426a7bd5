package drill

import (
	"context"
	"strings"
	"sync"

	"cranegrade/internal/fake"
	"cranegrade/internal/testfleet"
)

// serverGatewayFunc starts a gateway that speaks a protocol for a server.
type serverGatewayFunc func(server string, seed uint64) (*fake.Gateway, error)

// multiplexedDrill describes a drill over HTTP/2 or gRPC on both sides: callers share few connections to the program, which shares few to
// each server.
type multiplexedDrill struct {
	name             string // of the pool, and of the protocol in the operator's file
	newClientGateway func(node string) (*fake.Gateway, error)
	newServerGateway serverGatewayFunc
	adjustPool       func(config string) string
}

// h2Drill is the tour over HTTP/2. One server drains, one crashes and comes back in slow start, and others hang, fail and reject for a while.
func h2Drill(ctx context.Context, env *environment) error {
	return env.runMultiplexed(ctx, multiplexedDrill{
		name:             "h2",
		newClientGateway: fake.NewH2ClientGateway,
		newServerGateway: func(server string, _ uint64) (*fake.Gateway, error) { return fake.NewH2ServerGateway(server) },
		adjustPool:       func(config string) string { return config },
	})
}

// grpcDrill is the same in gRPC, where reads are answered in pieces. A share of the responses is broken, in every way that the protocol
// knows.
func grpcDrill(faultShare float64) func(context.Context, *environment) error {
	d := multiplexedDrill{
		name:             "grpc",
		newClientGateway: func(node string) (*fake.Gateway, error) { return fake.NewGRPCClientGateway(node, "grpc.example.org") },
		newServerGateway: func(server string, seed uint64) (*fake.Gateway, error) {
			return fake.NewGRPCServerGateway(server, seed, faultShare)
		},
		adjustPool: func(config string) string {
			return strings.Replace(config, "name = \"read\"\n", "name = \"read\"\nstream = true\n", 1)
		},
	}
	return func(ctx context.Context, env *environment) error { return env.runMultiplexed(ctx, d) }
}

func (env *environment) runMultiplexed(ctx context.Context, d multiplexedDrill) error {
	env.newClientGateway = d.newClientGateway
	host := d.name + ".example.org"
	g, err := env.startGroupBehindGateways(d.name, host, d.newServerGateway)
	if err != nil {
		return err
	}
	pool := d.adjustPool(testfleet.PoolConfig(d.name, g.registryLine(), "protocol = \""+d.name+"\""))
	if err := env.startProgram("listen_h2 = [\"127.0.0.1:0\"]\ndefault = \"" + d.name + "\"\n" + pool); err != nil {
		return err
	}
	if err := env.awaitWatches(g); err != nil {
		return err
	}
	var faults sync.WaitGroup
	if env.violation == "" {
		env.scheduleServerFaults(ctx, &faults, g)
	}
	if err := env.runTraffic(ctx, &faults,
		fake.Stream{Host: host, Class: testfleet.ReadClass, Rate: 150},
		fake.Stream{Host: host, Class: testfleet.AlertClass, Rate: 60, BodyBytes: 200},
		fake.Stream{Host: host, Class: testfleet.CampaignClass, Rate: 30, BodyBytes: 60_000},
		fake.Stream{Host: host, Class: testfleet.OrderClass, Rate: 30, BodyBytes: 500}); err != nil {
		return err
	}
	env.addTrafficTables()
	return nil
}

// startGroupBehindGateways starts five servers, each behind a gateway of its own.
func (env *environment) startGroupBehindGateways(name, host string, newGateway serverGatewayFunc) (*serverGroup, error) {
	g, err := env.startGroup(name, host)
	if err != nil {
		return nil, err
	}
	for _, config := range serversInCells(0, 0, 1, 1, 2) {
		s, err := env.startServer(g, config)
		if err != nil {
			return nil, err
		}
		gateway, err := newGateway(s.Addr(), env.rng.Uint64())
		if err != nil {
			return nil, err
		}
		env.gateways = append(env.gateways, gateway)
		s.AdvertiseAs(gateway.Addr())
		g.setState(s, fake.ListServing)
	}
	return g, nil
}

// scheduleServerFaults has one server after the other drain, crash, hang, fail and reject.
func (env *environment) scheduleServerFaults(ctx context.Context, faults *sync.WaitGroup, g *serverGroup) {
	setMode := func(i int, m fake.Mode) func() { return func() { g.servers[i].SetMode(m) } }
	env.atShare(ctx, faults, 0.1, func() { g.setState(g.servers[0], fake.ListDraining) })
	env.atShare(ctx, faults, 0.3, func() { g.setState(g.servers[0], fake.ListServing) })
	env.atShare(ctx, faults, 0.35, func() { g.crashForAWhile(g.servers[1]) })
	env.atShare(ctx, faults, 0.5, setMode(2, fake.Hanging))
	env.atShare(ctx, faults, 0.6, setMode(2, fake.Serving))
	env.atShare(ctx, faults, 0.7, setMode(3, fake.Failing))
	env.atShare(ctx, faults, 0.8, setMode(3, fake.Serving))
	env.atShare(ctx, faults, 0.85, setMode(4, fake.Rejecting))
	env.atShare(ctx, faults, 0.9, setMode(4, fake.Serving))
}
