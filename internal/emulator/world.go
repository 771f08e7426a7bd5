// Package emulator is a discrete-event simulation of a chain of services under overload: open-loop clients, nodes that each
// host a decision module, and servers that slow down under load, have bounded queues, and go on working for clients that
// have given up.
//
// It is pure: it must never read a clock, start a goroutine or do I/O, and one seed gives one course of events. An overload of
// minutes takes milliseconds and a fleet of eighty nodes seconds, so that tests can play many of them.
//
// A World is built from a Config and run once. It shows the mechanisms that overload depends on: running requests share the
// cores of their server, a request's deadline goes on while it waits in the queue, a client that gives up does not stop the
// work unless the server checks, and a server of one tier is the client of the next. Servers of the first tier may drain,
// be removed and go through slow start, and nodes learn so from a discovery service of limited capacity. There are no
// connections; drills (internal/drill) test those with real processes.
package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cranegrade/internal/eventqueue"
)

// worldStream is the second half of the seed of a World's generator, which keeps its draws apart from those of others that have
// the same seed.
const worldStream = 0xe301

// World is a simulation, in progress or ended. It belongs to one goroutine.
type World struct {
	Counts

	config       Config
	random       *rand.Rand
	now          time.Duration
	events       eventqueue.Queue
	tiers        [][]*Server
	nodes        []*node // of the first tier
	openRequests int     // of clients
	discovery    discoveryState
	started      int // servers by StartServer
}

// Run runs a simulation until all requests are answered.
func Run(config Config) (*World, error) {
	w := &World{config: config, random: rand.New(rand.NewPCG(config.Seed, worldStream)), Counts: newCounts(config)}
	if config.Setup != nil {
		config.Setup(w)
	}
	if err := w.provision(); err != nil {
		return nil, err
	}
	if config.Discovery != nil {
		w.heartbeat(0)
	}
	for _, change := range config.Changes {
		w.at(change.At, func() { change.Do(w) })
	}
	w.scheduleArrival()
	for event, ok := w.events.Next(); ok; event, ok = w.events.Next() {
		w.now = event.At
		event.Run()
	}
	if w.openRequests != 0 {
		w.violation("%d requests never answered", w.openRequests)
	}
	return w, nil
}

// provision makes the servers and the nodes.
func (w *World) provision() error {
	for tier, tierConfig := range w.config.Tiers {
		var servers []*Server
		for index := range tierConfig.Servers {
			servers = append(servers, newServer(w, tier, index, tierConfig))
		}
		w.tiers = append(w.tiers, servers)
	}
	for tier, servers := range w.tiers[:len(w.tiers)-1] {
		for index, server := range servers {
			next, err := w.newNode(tier+1, index, len(servers))
			if err != nil {
				return err
			}
			server.next = next
		}
	}
	nodes := max(1, w.config.Nodes)
	for index := range nodes {
		node, err := w.newNode(0, index, nodes)
		if err != nil {
			return err
		}
		w.nodes = append(w.nodes, node)
	}
	return nil
}

// Now is the simulated time.
func (w *World) Now() time.Duration { return w.now }

// Servers are the servers of a tier that are listed.
func (w *World) Servers(tier int) []*Server { return w.tiers[tier] }

// RestartNode replaces a node of the first tier by one that knows nothing. Requests that were open at the old one fail.
func (w *World) RestartNode(index int) error {
	old := w.nodes[index]
	replacement, err := w.newNode(0, index, len(w.nodes))
	if err != nil {
		return err
	}
	old.dead = true
	for _, call := range old.openCalls() {
		call.answer(failed, 0)
	}
	w.nodes[index] = replacement
	return nil
}

// After runs something when a time has passed.
func (w *World) After(delay time.Duration, run func()) { w.at(w.now+delay, run) }

// ArrivalsEnded reports whether the last request of a client has arrived. What repeats itself has to stop then, or Run does
// not end.
func (w *World) ArrivalsEnded() bool { return w.now > w.config.Duration }

// at schedules run for a time, or for now if that is past.
func (w *World) at(at time.Duration, run func()) { w.events.Schedule(max(at, w.now), run) }

// violation records that a rule was broken.
func (w *World) violation(format string, args ...any) {
	w.Violations = append(w.Violations, fmt.Sprintf(format, args...))
}
