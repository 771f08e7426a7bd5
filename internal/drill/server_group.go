package drill

import (
	"fmt"
	"strings"
	"time"

	"cranegrade/internal/fake"
	"cranegrade/internal/testfleet"
)

// serverGroup is the servers of a pool and the list that the program knows them by.
type serverGroup struct {
	name     string         // of the pool
	host     string         // whose requests it serves; "": all that no other group serves
	registry *fake.Registry // nil: a control plane has the list
	servers  []*fake.Server
	setState func(s *fake.Server, state fake.ListState) // lists a server in a state
}

// startGroup starts servers and a registry that lists them.
func (env *environment) startGroup(name, host string, configs ...fake.ServerConfig) (*serverGroup, error) {
	g := &serverGroup{name: name, host: host}
	env.groups = append(env.groups, g)
	var err error
	if g.registry, err = fake.NewRegistry(host, env.recorder); err != nil {
		return nil, err
	}
	g.setState = g.registry.Set
	for _, config := range configs {
		s, err := env.startServer(g, config)
		if err != nil {
			return nil, err
		}
		g.registry.Set(s, fake.ListServing)
	}
	return g, nil
}

// startServer adds a server to a group, without listing it.
func (env *environment) startServer(g *serverGroup, config fake.ServerConfig) (*fake.Server, error) {
	config.ID = fmt.Sprintf("%s-%d", g.name, len(g.servers))
	s, err := fake.NewServer(config, env.recorder, env.keyStore)
	if err != nil {
		return nil, err
	}
	g.servers = append(g.servers, s)
	return s, nil
}

func (g *serverGroup) close() {
	if g.registry != nil {
		g.registry.Close()
	}
	for _, s := range g.servers {
		s.Close()
	}
}

// registryLine is the line of the operator's file that names the group's registry.
func (g *serverGroup) registryLine() string { return fmt.Sprintf("registry = %q", g.registry.Addr()) }

// restart crashes a server and, if it starts again, lists it as serving.
func (g *serverGroup) restart(s *fake.Server) {
	s.Crash()
	g.startAgain(s)
}

// startAgain starts a crashed server and lists it as serving. A server that does not start stays in its state, as a real one would.
func (g *serverGroup) startAgain(s *fake.Server) {
	if s.Restart() == nil {
		g.setState(s, fake.ListServing)
	}
}

// setSlowdown sets the slowdown of servers.
func setSlowdown(servers []*fake.Server, factor float64) {
	for _, s := range servers {
		s.SetSlowdown(factor)
	}
}

// route is the section of the operator's file that routes a host to a pool.
func route(host, pool string) string {
	return fmt.Sprintf("\n[[routes]]\nhost = %q\npool = %q\n", host, pool)
}

// staticServers is the line of the operator's file that lists a group's servers.
func staticServers(g *serverGroup) string {
	var b strings.Builder
	b.WriteString("servers = [")
	for _, s := range g.servers {
		fmt.Fprintf(&b, "{ id = %q, address = %q, zone = \"a\", cell = %d }, ", s.ID(), s.Addr(), s.Config().Cell)
	}
	b.WriteString("]")
	return b.String()
}

// crashForAWhile crashes a server, and starts it again after crashTime.
func (g *serverGroup) crashForAWhile(s *fake.Server) {
	s.Crash()
	time.Sleep(crashTime)
	g.startAgain(s)
}

// serversInCells returns the configurations of default servers in these cells.
func serversInCells(cells ...int) (configs []fake.ServerConfig) {
	for _, cell := range cells {
		configs = append(configs, testfleet.InCell(testfleet.DefaultServer, cell))
	}
	return configs
}
