package drill

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"

	"cranegrade/internal/fake"
	fakexds "cranegrade/internal/fake/xds"
	"cranegrade/internal/testfleet"
	"cranegrade/internal/xds/resource"
)

const (
	breaksOfFlap     = 8
	breakInterval    = 100 * time.Millisecond
	stormVersions    = 400
	stormInterval    = time.Millisecond
	outageOfPlane    = 400 * time.Millisecond
	emptyTime        = 500 * time.Millisecond // within the grace that the program gives an empty control plane
	serverDownTime   = 80 * time.Millisecond
	leastServedTenth = 9 // of ten requests, that must be served
)

// xdsChaos has two control planes do everything that control planes do wrong, one thing after the other, while three services are used.
func xdsChaos(ctx context.Context, env *environment) error {
	first, err := fakexds.New()
	if err != nil {
		return err
	}
	defer first.Close()
	second, err := fakexds.New()
	if err != nil {
		return err
	}
	defer second.Close()
	chaos := &controlPlaneChaos{env: env, controlPlane: first, counts: map[string]int{}}
	if err := chaos.start(second); err != nil {
		return err
	}
	var faults sync.WaitGroup
	playing, stop := context.WithTimeout(ctx, env.length)
	defer stop()
	faults.Go(func() { chaos.play(playing) })
	var streams []fake.Stream
	for _, g := range chaos.groups {
		for _, c := range testfleet.Classes {
			streams = append(streams, fake.Stream{Name: g.name, Host: g.host, Class: c, Rate: 25, BodyBytes: 100})
		}
	}
	if err := env.runTraffic(ctx, &faults, streams...); err != nil {
		return err
	}
	chaos.judge(env.recorder.History())
	return nil
}

// controlPlaneChaos is what a control plane does wrong, and to whom.
type controlPlaneChaos struct {
	env          *environment
	controlPlane *fakexds.ControlPlane
	groups       []*controlPlaneGroup
	counts       map[string]int // of actions, by name
}

// start starts three groups of servers, and the program while both control planes are down. The program knows the servers from its file
// until then.
func (c *controlPlaneChaos) start(second *fakexds.ControlPlane) error {
	config := oneCoreHeader + xdsConfig(c.env.usesDelta(), c.controlPlane, second)
	routes := ""
	for _, name := range []string{"a", "b", "c"} {
		host := name + ".example.org"
		g, err := c.env.startControlPlaneGroup(c.controlPlane, name, host, serversInCells(1, 1, 2, 2)...)
		if err != nil {
			return err
		}
		c.groups = append(c.groups, g)
		config += testfleet.PoolConfig(name, fmt.Sprintf("xds = %q\n", name)+staticServers(g.serverGroup))
		routes += route(host, name)
	}
	recordWrites(c.controlPlane, c.groups...)
	c.controlPlane.Down()
	second.Down()
	return c.env.startProgram(config + routes)
}

// controlPlaneAction is one thing that a control plane does wrong.
type controlPlaneAction struct {
	name string
	do   func()
}

// actions are all that the control plane does. The first one comes first, the others in turn.
func (c *controlPlaneChaos) actions() []controlPlaneAction {
	return []controlPlaneAction{
		{"up", c.comeUp},
		{"flap", c.flap},
		{"drain", func() { c.changeServer(0, fake.ListDraining, 600*time.Millisecond) }},
		{"remove", func() { c.changeServer(1, fake.ListDeleted, 100*time.Millisecond) }},
		{"storm", c.sendManyVersions},
		{"nonsense", c.sendNonsense},
		{"empty", c.comeBackEmpty},
		{"restart", c.restartServer},
		{"silent", c.fallSilent},
		{"down", c.goDown},
	}
}

func (c *controlPlaneChaos) drawGroup() *controlPlaneGroup {
	return c.groups[c.env.rng.IntN(len(c.groups))]
}

// comeUp starts the control plane. One that cannot start stays down, which the program must survive, too.
func (c *controlPlaneChaos) comeUp() { _ = c.controlPlane.Up() }

// flap breaks all streams several times.
func (c *controlPlaneChaos) flap() {
	for range breaksOfFlap {
		time.Sleep(breakInterval)
		c.controlPlane.BreakStreams()
	}
}

// changeServer lists a server in another state for a while.
func (c *controlPlaneChaos) changeServer(server int, state fake.ListState, duration time.Duration) {
	g := c.drawGroup()
	g.setState(g.servers[server], state)
	time.Sleep(duration)
	g.setState(g.servers[server], fake.ListServing)
}

// sendManyVersions publishes one assignment again and again.
func (c *controlPlaneChaos) sendManyVersions() {
	for range stormVersions {
		c.groups[0].republish()
		time.Sleep(stormInterval)
	}
}

// sendNonsense sends resources that cannot be read, a type that does not exist, and the removal of a resource that never existed.
func (c *controlPlaneChaos) sendNonsense() {
	for _, url := range []string{resource.EndpointURL, resource.ClusterURL, "type.googleapis.com/nothing"} {
		bad := &anypb.Any{TypeUrl: url, Value: []byte("\xff\xfenonsense")}
		c.controlPlane.Send(&discovery.DiscoveryResponse{TypeUrl: url, VersionInfo: "nonsense", Resources: []*anypb.Any{bad}}, false)
		c.controlPlane.Send(&discovery.DeltaDiscoveryResponse{TypeUrl: url, Resources: []*discovery.Resource{{Name: "a", Resource: bad}}}, false)
	}
	c.controlPlane.Send(&discovery.DeltaDiscoveryResponse{TypeUrl: resource.EndpointURL, RemovedResources: []string{"never"}}, false)
}

// comeBackEmpty has the control plane die and come back with nothing, and serve everything again within the grace.
func (c *controlPlaneChaos) comeBackEmpty() {
	c.controlPlane.Down()
	c.controlPlane.Clear()
	c.comeUp()
	time.Sleep(emptyTime)
	for _, g := range c.groups {
		g.setCluster()
		g.republish()
	}
}

// restartServer has a server come back as another incarnation.
func (c *controlPlaneChaos) restartServer() {
	g := c.drawGroup()
	s := g.servers[2]
	g.setState(s, fake.ListDeleted)
	s.Crash()
	time.Sleep(serverDownTime)
	g.startAgain(s)
}

// fallSilent has the control plane accept streams for a while and send nothing on them.
func (c *controlPlaneChaos) fallSilent() {
	c.controlPlane.SetSilent(true)
	c.controlPlane.BreakStreams()
	time.Sleep(outageOfPlane)
	c.controlPlane.SetSilent(false)
	c.controlPlane.BreakStreams()
}

func (c *controlPlaneChaos) goDown() {
	c.controlPlane.Down()
	time.Sleep(outageOfPlane)
	c.comeUp()
}

// play does one thing after the other until ctx ends; with a violation asked for, only the first.
func (c *controlPlaneChaos) play(ctx context.Context) {
	actions := c.actions()
	for i := 0; ; i++ {
		select {
		case <-time.After(c.env.length / time.Duration(3*len(actions))):
		case <-ctx.Done():
			return
		}
		if c.env.violation != "" && i > 0 {
			return
		}
		action := actions[0]
		if i > 0 {
			action = actions[1+(i-1+int(c.env.seed))%(len(actions)-1)]
		}
		action.do()
		c.counts[action.name]++
	}
}

// judge reports what was done, and wants nearly all requests served, because the servers worked all the time.
func (c *controlPlaneChaos) judge(h fake.History) {
	total := 0
	for _, n := range c.counts {
		total += n
	}
	c.env.addFigure("deeds", total, fmt.Sprint("of the control plane: ", c.counts))
	c.env.addFigure("streams", c.controlPlane.StreamsOpened(), "that the program opened to it")
	c.env.addFigure("after_drain_max_ms", testfleet.Quantile(afterDrains(h), 1), "")
	served := 0
	for _, x := range h.Exchanges {
		if x.Status == http.StatusOK {
			served++
		}
	}
	if c.env.violation == "" && served < len(h.Exchanges)*leastServedTenth/10 {
		c.env.failf("%d of %d requests served, although the servers worked", served, len(h.Exchanges))
	}
	c.env.addTrafficTables()
}
