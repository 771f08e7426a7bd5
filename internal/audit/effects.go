package audit

import (
	"cmp"
	"net/http"
	"slices"

	"cranegrade/internal/fake"
)

// checkEffects checks rule 2 for each request that reached a server, and that a client sent it.
func (c *checker) checkEffects() {
	sent := map[string]bool{}
	for _, exchange := range c.records.Exchanges {
		sent[exchange.ID] = true
	}
	for _, id := range c.requestIDs() {
		arrivals := c.arrivals[id]
		if !sent[id] {
			c.violation(&c.Duplicates, "%q for %.100q reached %s, but no client sent it", id, arrivals[0].Path, arrivals[0].Server)
			continue
		}
		c.checkArrivals(arrivals)
	}
}

// mayHaveRun reports whether the program has no proof that an arrival did not run.
func mayHaveRun(arrival fake.Arrival) bool { return !arrival.Unprocessed }

// checkArrivals checks rule 2 on the arrivals of one request: each against the first before it that makes it a violation.
func (c *checker) checkArrivals(arrivals []fake.Arrival) {
	class := c.records.Classes[arrivals[0].Class]
	if class.Effect == fake.Safe {
		return
	}
	arrivals = slices.Clone(arrivals)
	slices.SortStableFunc(arrivals, func(a, b fake.Arrival) int { return cmp.Compare(a.LastByteAt, b.LastByteAt) })
	for i, later := range arrivals {
		for _, earlier := range arrivals[:i] {
			if mayHaveRun(earlier) && c.checkRepeat(class, earlier, later) {
				break
			}
		}
	}
}

// checkRepeat checks whether a request may be sent again after it may have run, and reports whether that is a violation.
func (c *checker) checkRepeat(class fake.Class, earlier, later fake.Arrival) bool {
	switch {
	case class.Effect == fake.Unsafe:
		c.violation(&c.Duplicates, "%s (%s) went to %s though it may have run at %s", later.ID, class.Name, later.Server, earlier.Server)
	case !shareKeys(class.Scope, earlier, later):
		c.violation(&c.Duplicates, "%s (%s) went to %s, which does not know the keys of %s",
			later.ID, class.Name, later.Server, earlier.Server)
	case later.LastByteAt > earlier.LastByteAt+class.Window+c.options.Slack:
		c.violation(&c.Duplicates, "%s (%s) went to %s %v after it went to %s",
			later.ID, class.Name, later.Server, later.LastByteAt-earlier.LastByteAt, earlier.Server)
	default:
		return false
	}
	return true
}

// shareKeys reports whether the servers of two arrivals know each other's idempotency keys.
func shareKeys(scope fake.Scope, a, b fake.Arrival) bool {
	switch scope {
	case fake.ScopeAll:
		return true
	case fake.ScopeZone:
		return a.Zone == b.Zone
	case fake.ScopeCell:
	}
	return a.Zone == b.Zone && a.Cell == b.Cell
}

// checkRejections checks that no request was rejected that may have run: a rejection promises that it may safely be sent again.
func (c *checker) checkRejections() {
	mayRunTwice := map[string]fake.Arrival{}
	for _, arrival := range c.records.Arrivals {
		class := c.records.Classes[arrival.Class]
		repeatHarms := class.Effect == fake.Unsafe || class.Effect == fake.Keyed && class.Scope != fake.ScopeAll
		if repeatHarms && mayHaveRun(arrival) {
			mayRunTwice[arrival.ID] = arrival
		}
	}
	for _, exchange := range c.records.Exchanges {
		rejected := exchange.Status == http.StatusTooManyRequests || exchange.Status == http.StatusServiceUnavailable
		if arrival, harms := mayRunTwice[exchange.ID]; harms && rejected {
			c.violation(&c.Duplicates, "%s (%s) was rejected though it may have run at %s", exchange.ID, exchange.Class, arrival.Server)
		}
	}
}
