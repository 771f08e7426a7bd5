package audit

import (
	"time"

	"cranegrade/internal/fake"
)

// listedServer is a server on the endpoint list of a registry.
type listedServer struct{ list, server string }

// serverRun is one run of a server's process.
type serverRun struct {
	server      string
	incarnation int
}

// received reports whether an arrival was at this run of the server.
func (r serverRun) received(arrival fake.Arrival) bool {
	return arrival.Server == r.server && arrival.Incarnation == r.incarnation
}

// checkDrains checks rule 3 for each arrival.
func (c *checker) checkDrains() {
	exchanges := map[string]fake.Exchange{}
	if len(c.outages) > 0 {
		for _, exchange := range c.records.Exchanges {
			exchanges[exchange.ID] = exchange
		}
	}
	updates := map[listedServer][]fake.ListUpdate{} // in the order of time
	for _, update := range c.records.Updates {
		key := listedServer{list: update.List, server: update.Server}
		updates[key] = append(updates[key], update)
	}
	for _, arrival := range c.records.Arrivals {
		ofServer, found := updates[listedServer{list: arrival.Host, server: arrival.Server}]
		if !found {
			ofServer = updates[listedServer{list: "", server: arrival.Server}]
		}
		if since, draining := drainingSince(ofServer, arrival.FirstByteAt); draining {
			c.checkDrain(arrival, since, exchanges[arrival.ID].Process)
		}
	}
}

// drainingSince reports whether a server was listed as draining or removed at a time, and since when without a break.
func drainingSince(updates []fake.ListUpdate, at time.Duration) (since time.Duration, draining bool) {
	for _, update := range updates {
		if update.At > at {
			break
		}
		if update.Withdrawn && !draining {
			since = update.At
		}
		draining = update.Withdrawn
	}
	return since, draining
}

// checkDrain checks rule 3 for an arrival at a draining server. A process that was stopped could not read the update, and
// has the usual time once it goes on.
func (c *checker) checkDrain(arrival fake.Arrival, since time.Duration, process string) {
	limit := c.options.DrainDelay + c.options.Slack
	stoppedSince := c.outageDuring(process, since, arrival.FirstByteAt)
	stoppedLately := c.outageDuring(process, arrival.FirstByteAt-limit, arrival.FirstByteAt)
	if stoppedSince && stoppedLately {
		return
	}
	delay := arrival.FirstByteAt - since
	c.MaxDrainDelay = max(c.MaxDrainDelay, delay)
	if delay > limit {
		c.violation(&c.LateDrains, "%s (%s) went to %s %v after that was listed as draining",
			arrival.ID, arrival.Class, arrival.Server, delay)
	}
}

// checkSlowStarts checks rule 4. An overload is a violation if at least two thirds of the work that caused it came after the
// server's start was listed; before that nobody could know of it.
func (c *checker) checkSlowStarts() {
	starts := map[serverRun]fake.ServerStart{}
	for _, start := range c.records.Starts {
		starts[serverRun{server: start.Server, incarnation: start.Incarnation}] = start
	}
	for _, fall := range c.records.WarmupCrashes {
		run := serverRun{server: fall.Server, incarnation: fall.Incarnation}
		listedAt, listed := c.startListedAt(run)
		if !listed {
			continue
		}
		window := starts[run].SlowStart.OverloadWindow
		all, informed := 0, 0
		for _, arrival := range c.records.Arrivals {
			if !run.received(arrival) || arrival.LastByteAt > fall.At || arrival.LastByteAt < fall.At-window {
				continue
			}
			all++
			if arrival.FirstByteAt >= listedAt {
				informed++
			}
		}
		if 3*informed >= 2*all {
			c.violation(&c.SlowStartOverloads,
				"%s was overloaded in its slow start by %d requests within %v, %d of them after its start was listed",
				fall.Server, all, window, informed)
		}
	}
}

// startListedAt is when a run of a server was first listed.
func (c *checker) startListedAt(run serverRun) (at time.Duration, listed bool) {
	for _, update := range c.records.Updates {
		if update.Server == run.server && update.Incarnation == run.incarnation {
			return update.At, true
		}
	}
	return 0, false
}
