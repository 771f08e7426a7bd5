package memberselection

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"testing"
	"time"

	"cranegrade/internal/testkit/goldenrecord"
)

const (
	goldenSeeds  = 64
	goldenEvents = 2000
	// goldenAnyConnInterval: one in this many events refers to any connection that ever existed, which is usually closed.
	goldenAnyConnInterval = 8
)

// goldenRun passes random events to one selector and hashes all its actions and return values in order. Only times, numbers and
// addresses are hashed, so that renamed identifiers or reworded close reasons do not change the record: a reason is represented by the
// order in which it first appears.
type goldenRun struct {
	rng      *rand.Rand
	selector *Selector
	now      time.Duration
	events   uint64
	open     []ConnID
	seen     []ConnID
	reasons  map[string]int
	hash     hash.Hash
}

var goldenAddresses = []string{"a", "b", "c", "d", "e"}

func newGoldenRun(seed uint64) *goldenRun {
	g := &goldenRun{rng: rand.New(rand.NewPCG(seed, 57)), reasons: map[string]int{"": 0}, hash: sha256.New()}
	g.selector = New(0, goldenAddresses[:3])
	g.record()
	return g
}

// record takes the actions and hashes them together with the selector's current state.
func (g *goldenRun) record() {
	for _, a := range g.selector.TakeActions() {
		text := fmt.Sprint(a.Reason)
		reason, ok := g.reasons[text]
		if !ok {
			reason = len(g.reasons)
			g.reasons[text] = reason
		}
		fmt.Fprintln(g.hash, "action", int64(g.now), uint8(a.Kind), uint64(a.ID), a.Addr, reason)
		switch a.Kind {
		case Dial:
			g.open = append(g.open, a.ID)
			g.seen = append(g.seen, a.ID)
		case Close:
			g.markClosed(a.ID)
		default: // Follow and Confirm neither open nor close a connection
		}
	}
	reachable, until := g.selector.Reachable()
	fmt.Fprintln(g.hash, "state", int64(g.now), uint64(g.selector.Followed()), reachable, int64(until), int64(g.selector.NextTick()))
}

// markClosed removes a connection from the open ones.
func (g *goldenRun) markClosed(id ConnID) {
	for i, o := range g.open {
		if o == id {
			g.open = append(g.open[:i:i], g.open[i+1:]...)
			return
		}
	}
}

// drawID returns a random connection: usually an open one, sometimes any that ever existed.
func (g *goldenRun) drawID() ConnID {
	if len(g.open) == 0 || g.rng.IntN(goldenAnyConnInterval) == 0 {
		return g.seen[g.rng.IntN(len(g.seen))]
	}
	return g.open[g.rng.IntN(len(g.open))]
}

// drawTime advances the time: to the selector's next tick for half of the events, by up to 200 ms for the others.
func (g *goldenRun) drawTime() {
	at := g.now + time.Duration(g.rng.Int64N(int64(200*time.Millisecond)))
	if next := g.selector.NextTick(); g.rng.IntN(2) == 0 && next < g.now+time.Minute {
		at = next
	}
	g.now = max(g.now, at)
}

func (g *goldenRun) event() {
	g.events++
	g.drawTime()
	switch g.rng.IntN(14) {
	case 0, 1, 2:
		g.selector.FirstMessageReceived(g.now, g.drawID())
	case 3, 4:
		g.selector.HeartbeatReceived(g.now, g.drawID(), true)
	case 5:
		g.selector.HeartbeatReceived(g.now, g.drawID(), false)
	case 6:
		g.selector.MessageReceived(g.now, g.drawID(), g.now-time.Duration(g.rng.Int64N(int64(100*time.Millisecond))))
	case 7:
		id := g.drawID()
		g.markClosed(id)
		g.selector.ConnectionClosed(g.now, id)
	case 8:
		g.selector.SetRequestsWaiting(g.now, g.rng.IntN(2) == 0)
	case 9:
		g.selector.SetMembers(g.now, g.events/8+g.rng.Uint64N(10), g.drawAddresses())
	case 10:
		g.selector.SetSeeds(g.now, g.drawAddresses())
	case 11, 12:
		g.selector.ConfirmationReceived(g.now, g.drawID(), g.rng.IntN(2) == 0)
	case 13:
		g.selector.Tick(g.now - time.Duration(g.rng.Int64N(int64(50*time.Millisecond))))
	}
	g.record()
}

// drawAddresses returns a random list of addresses, which may be empty or contain duplicates.
func (g *goldenRun) drawAddresses() (l []string) {
	for range g.rng.IntN(len(goldenAddresses) + 1) {
		l = append(l, goldenAddresses[g.rng.IntN(len(goldenAddresses))])
	}
	return l
}

// TestGoldenActions checks that the random events of each seed give the same actions as when testdata/golden.json was recorded. Update
// the record with -update only for an intended change of behaviour.
func TestGoldenActions(t *testing.T) {
	record := map[string]string{}
	for seed := range uint64(goldenSeeds) {
		g := newGoldenRun(seed)
		for range goldenEvents {
			g.event()
		}
		record[fmt.Sprintf("seed %02d", seed)] = hex.EncodeToString(g.hash.Sum(nil)[:16])
	}
	goldenrecord.AssertFile(t, record, "\t")
}
