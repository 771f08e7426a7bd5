package drill

import (
	"context"
	"fmt"
	"sync"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"

	"cranegrade/internal/fake"
	fakexds "cranegrade/internal/fake/xds"
	"cranegrade/internal/xds/resource"
)

// xdsChaos has two control planes do all that control planes do wrong, one thing after the other, while
// three services go on.
func xdsChaos(ctx context.Context, r *environment) error {
	one, err := fakexds.New()
	if err != nil {
		return err
	}
	defer one.Close()
	two, err := fakexds.New()
	if err != nil {
		return err
	}
	defer two.Close()
	chaos := &planeChaos{r: r, plane: one, done: map[string]int{}}
	if err := chaos.start(two); err != nil {
		return err
	}
	var faults sync.WaitGroup
	playing, over := context.WithTimeout(ctx, r.length)
	defer over()
	faults.Go(func() { chaos.play(playing) })
	var streams []fake.Stream
	for _, g := range chaos.groups {
		for _, c := range []fake.Class{readClass, sendClass, cellClass, orderClass} {
			streams = append(streams, fake.Stream{Name: g.name, Host: g.host, Class: c, Rate: 25, BodyBytes: 100})
		}
	}
	if err := r.play(ctx, &faults, streams...); err != nil {
		return err
	}
	chaos.judge(r.records.History())
	return nil
}

// planeChaos is what a control plane does wrong, and to whom.
type planeChaos struct {
	r      *environment
	plane  *fakexds.ControlPlane
	groups []*planeGroup
	done   map[string]int // how often, by the action's name
}

// start starts three groups of servers, which both control planes are to tell, and the program while both are down.
func (c *planeChaos) start(second *fakexds.ControlPlane) error {
	file := "listen = [\"127.0.0.1:0\"]\nlimits = { cores = 1 }\n" + xdsText(c.r.seed%2 == 1, c.plane, second)
	routes := ""
	for _, name := range []string{"a", "b", "c"} {
		g, err := c.r.planeGroup(c.plane, name, name+".example.org", inCell(usual, 1), inCell(usual, 1), inCell(usual, 2), inCell(usual, 2))
		if err != nil {
			return err
		}
		c.groups = append(c.groups, g)
		// What the control plane told last, in the file: the control plane may be down at the start.
		source := fmt.Sprintf("xds = %q\nservers = [", name)
		for _, s := range g.servers {
			source += fmt.Sprintf("{ id = %q, address = %q, zone = \"a\", cell = %d }, ", s.ID(), s.Addr(), s.Config().Cell)
		}
		file += poolText(name, source+"]")
		routes += fmt.Sprintf("\n[[routes]]\nhost = \"%s.example.org\"\npool = %q\n", name, name)
	}
	watchWrites(c.plane, c.groups...)
	c.plane.Down()
	second.Down()
	return c.r.start(file + routes)
}

// planeAction is one thing that a control plane does wrong.
type planeAction struct {
	name string
	do   func()
}

// actions are all that the control plane does; the first one comes first, the others in turn.
func (c *planeChaos) actions() []planeAction {
	return []planeAction{
		{"up", func() { c.plane.Up() }},
		{"flap", c.flap},
		{"drain", func() { c.change(0, "DRAINING", 600*time.Millisecond) }},
		{"remove", func() { c.change(1, "DELETED", 100*time.Millisecond) }},
		{"storm", c.storm},
		{"nonsense", c.nonsense},
		{"empty", c.comeBackEmpty},
		{"restart", c.restartServer},
		{"silent", c.fallSilent},
		{"down", func() {
			c.plane.Down()
			time.Sleep(400 * time.Millisecond)
			c.plane.Up()
		}},
	}
}

func (c *planeChaos) anyGroup() *planeGroup { return c.groups[c.r.rng.IntN(len(c.groups))] }

func (c *planeChaos) flap() {
	for range 8 {
		time.Sleep(100 * time.Millisecond)
		c.plane.BreakStreams()
	}
}

// change tells another state of a server for a while.
func (c *planeChaos) change(server int, state fake.ListState, long time.Duration) {
	g := c.anyGroup()
	g.list(g.servers[server], state)
	time.Sleep(long)
	g.list(g.servers[server], "SERVING")
}

func (c *planeChaos) storm() {
	for range 400 {
		c.groups[0].change(func() []*fake.Server { return nil })
		time.Sleep(time.Millisecond)
	}
}

func (c *planeChaos) nonsense() {
	for _, url := range []string{resource.EndpointURL, resource.ClusterURL, "type.googleapis.com/nothing"} {
		bad := &anypb.Any{TypeUrl: url, Value: []byte("\xff\xfenonsense")}
		c.plane.Send(&discovery.DiscoveryResponse{TypeUrl: url, VersionInfo: "nonsense", Resources: []*anypb.Any{bad}}, false)
		c.plane.Send(&discovery.DeltaDiscoveryResponse{TypeUrl: url, Resources: []*discovery.Resource{{Name: "a", Resource: bad}}}, false)
	}
	c.plane.Send(&discovery.DeltaDiscoveryResponse{TypeUrl: resource.EndpointURL, RemovedResources: []string{"never"}}, false)
}

// comeBackEmpty has the control plane die and come back with nothing, and tell all again within the grace.
func (c *planeChaos) comeBackEmpty() {
	c.plane.Down()
	c.plane.Clear()
	c.plane.Up()
	time.Sleep(500 * time.Millisecond)
	for _, g := range c.groups {
		g.setCluster()
		g.change(func() []*fake.Server { return nil })
	}
}

// restartServer has a server come back under another boot time.
func (c *planeChaos) restartServer() {
	g := c.anyGroup()
	s := g.servers[2]
	g.list(s, "DELETED")
	s.Crash()
	time.Sleep(80 * time.Millisecond)
	if s.Restart() == nil {
		g.list(s, "SERVING")
	}
}

func (c *planeChaos) fallSilent() {
	c.plane.SetSilent(true)
	c.plane.BreakStreams()
	time.Sleep(400 * time.Millisecond)
	c.plane.SetSilent(false)
	c.plane.BreakStreams()
}

// play does one thing after the other until ctx ends; with a violation asked for, only the first.
func (c *planeChaos) play(ctx context.Context) {
	actions := c.actions()
	for i := 0; ; i++ {
		select {
		case <-time.After(c.r.length / time.Duration(3*len(actions))):
		case <-ctx.Done():
			return
		}
		action := actions[0]
		if i > 0 {
			action = actions[1+(i-1+int(c.r.seed))%(len(actions)-1)]
		}
		if c.r.violation != "" && i > 0 {
			return // the violation alone
		}
		action.do()
		c.done[action.name]++
	}
}

// judge reports what was done, and wants nearly all requests served, for the servers worked all the time.
func (c *planeChaos) judge(v fake.History) {
	total := 0
	for _, n := range c.done {
		total += n
	}
	c.r.addFigure("deeds", total, fmt.Sprint("of the control plane: ", c.done))
	c.r.addFigure("streams", c.plane.StreamsOpened(), "that the program opened to it")
	c.r.addFigure("after_drain_max_ms", quantile(afterDrains(v), 1), "")
	served := 0
	for _, x := range v.Exchanges {
		if x.Status == 200 {
			served++
		}
	}
	if c.r.violation == "" && served < len(v.Exchanges)*9/10 {
		c.r.failf("%d of %d requests served, though the servers worked", served, len(v.Exchanges))
	}
	c.r.tables = append(c.r.tables, streamTable(v), serverTable(v))
}
