package mesh

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/trunk/wire"
	"hollyspur/internal/mesh/history"
	"hollyspur/internal/rig"
)

// What happens while a register is away, and how it catches up.
const (
	awayChanges = 1000
	awayClaims  = 3500    // entries of the log, each of several keys; with the changes more than the log keeps
	awayKeys    = 21000   // WORST_KEYS names more
	slowLink    = 250_000 // bytes a second: 2 Mbit/s
	keyBytes    = 250     // of a key in a snapshot, at the most
	changeBytes = 1000    // of a change in the log, at the most
	catchUpRest = 15 * time.Second
	beatGap     = 1500 * time.Millisecond // that beats may wait behind a snapshot
)

// catchUpWithin is the bound: twice the time that everything takes on the link, and some for elections and a busy machine.
func catchUpWithin(keys int) time.Duration {
	bytes := keys*keyBytes + awayChanges*changeBytes
	return 2*time.Duration(bytes)*time.Second/slowLink + catchUpRest
}

func keysWhileAway(t *testing.T) int {
	t.Helper()
	text := os.Getenv("WORST_KEYS")
	if text == "" {
		return awayKeys
	}
	n, err := strconv.Atoi(text)
	assert.NilError(t, err)
	return n
}

// A register is away for a thousand changes and thousands of keys, comes back behind links of 2 Mbit/s, and the leader is lost while
// it catches up. The one that is left leads on, in touch and without another election, until the register has all, which it has within the bound;
// the register itself does not lead before.
func TestCatchUpSlowly(t *testing.T) {
	m, relay := startRelayed(t, 3, 1, "stock", "orders")
	seen, ana := newObserver(), m.Operator(0)
	seen.begins()
	lead := m.leader(t)
	away, stays := m.but(lead)[0], m.but(lead)[1]
	away.Kill()
	keys := keysWhileAway(t)
	seen.changeMany(t, m, lead)
	claimMany(t, lead, keys)
	target := lead.status().Applied
	for _, x := range []*Machine{lead, stays} {
		relay.Set(rig.Link{Rate: slowLink}, apart(away, x)...)
	}
	stop := seen.watch(m.Registers...)
	assert.NilError(t, away.Start())
	began := time.Now()
	assert.Assert(t, rig.Await(patience, func() bool { return relay.Passed(lead.Way(away)) > 64<<10 }), "it is told nothing")
	assert.Assert(t, away.status().Applied < target, "it has caught up before the leader is lost")
	lead.Kill()
	m.leader(t, stays)
	term := stays.status().Term
	touched := time.Now()
	for caught := false; !caught; {
		at, heads := away.status(), stays.status()
		assert.Assert(t, at != nil && heads != nil, "a register does not answer")
		if heads.Touch {
			touched = time.Now()
		}
		caught = at.Applied >= target
		assert.Assert(t, caught || !at.Leads, "it leads with entry %d of %d", at.Applied, target)
		assert.Assert(t, caught || heads.Leads && heads.Term == term, "another election: leads %v, term %d after %d", heads.Leads, heads.Term, term)
		assert.Assert(t, time.Since(touched) < beatGap, "the leader hears no majority for %v", time.Since(touched))
		assert.Assert(t, time.Since(began) < catchUpWithin(keys), "entry %d of %d after %v", at.Applied, target, time.Since(began))
		assert.Equal(t, m.Lines[1].Call("GET", "/read/x", "", nil).Status, 200)
	}
	t.Logf("caught up after %v; %d bytes were sent to it", time.Since(began), relay.Passed(lead.Way(away))+relay.Passed(stays.Way(away)))
	seen.acknowledged(t, ana, orderOf("after", "after", 2, "/after/"), stays, away)
	seen.fetched(t, ana, away)
	assert.Equal(t, int(away.status().Keys), int(stays.status().Keys))
	stop()
	seen.check(t)
	m.clean(t)
}

// changeMany has a thousand changes of fifty routes acknowledged, by eight operators at once.
func (o *observer) changeMany(t *testing.T, m *Mesh, at *Machine) {
	t.Helper()
	const operators, routes = 8, 50
	var all sync.WaitGroup
	for n := range operators {
		by := m.Operator(1 + n)
		all.Go(func() {
			for k := n; k < awayChanges; k += operators {
				route, version := fmt.Sprint("many-", k%routes), 2+k/routes
				x := orderOf(fmt.Sprint(route, "-", version), route, version, fmt.Sprintf("/%s-%d/", route, version))
				for outcome := history.Unknown; outcome == history.Unknown && !t.Failed(); {
					var text string
					if outcome, text = o.send(by, at, x); outcome == history.Refused {
						t.Errorf("%s is refused: %s", x.name, text)
					}
				}
			}
		})
	}
	all.Wait()
	assert.Assert(t, !t.Failed())
}

// claimMany has keys granted, as a line claims them.
func claimMany(t *testing.T, at *Machine, keys int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	x, err := trunk.Call(ctx, at.of.at(at.IP, portTrunks), "claims", nil)
	assert.NilError(t, err)
	defer x.Close()
	var all sync.WaitGroup
	work := make(chan int)
	for range 64 {
		all.Go(func() {
			for n := range work {
				c := &wire.ClaimsT{}
				for k := range keys / awayClaims {
					c.List = append(c.List, &wire.ClaimT{Key: fmt.Sprintf("away-%d-%d", n, k), Ticket: fmt.Sprint("ticket-", n), Holder: "127.0.0.1:1/abcdef",
						Window: time.Hour.Microseconds()})
				}
				if _, err := x.Ask(ctx, trunk.AskClaims, trunk.Bytes(c)); err != nil {
					t.Errorf("claim %d: %v", n, err)
				}
			}
		})
	}
	for n := range awayClaims {
		work <- n
	}
	close(work)
	all.Wait()
	assert.Assert(t, !t.Failed())
}
