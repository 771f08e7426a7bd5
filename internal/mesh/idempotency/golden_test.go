package idempotency

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Size of the golden record.
const (
	goldenSeeds    = 20
	goldenRequests = 4000
)

// goldenRun is what one seed's requests came to.
type goldenRun struct {
	Seed     uint64 `json:"seed"`
	Granted  int    `json:"granted"`
	Refused  int    `json:"refused"`
	Released int    `json:"released"`
	Held     int    `json:"held"` // at the end
	Hash     string `json:"hash"` // over each answer and, now and then, all that is held
}

// TestGolden plays drawn requests by seed and compares the answers and what is held with the record under testdata. The hashes
// are over values alone, so that they outlast any renaming. After a change that is meant: go test -run TestGolden -update.
func TestGolden(t *testing.T) {
	var runs []goldenRun
	for seed := range uint64(goldenSeeds) {
		runs = append(runs, playGolden(seed))
	}
	text, err := json.MarshalIndent(runs, "", " ")
	assert.NilError(t, err)
	golden.Assert(t, string(text)+"\n", "golden.json")
}

// playGolden plays one seed. The store is read back from what it holds now and then, as after a restart.
func playGolden(seed uint64) goldenRun {
	random := rand.New(rand.NewPCG(seed, 0x901d))
	sum := sha256.New()
	run := goldenRun{Seed: seed}
	b := New()
	now := time.Duration(0)
	keys, tickets := 1+random.IntN(40), 1+random.IntN(6)
	for range goldenRequests {
		now += time.Duration(random.Int64N(int64(200 * time.Millisecond)))
		c := drawRequest(random, keys, tickets)
		g := b.Apply(now, c)
		switch {
		case c.Release:
			run.Released++
		case g.Granted:
			run.Granted++
		default:
			run.Refused++
		}
		fmt.Fprintf(sum, "%t\n", g.Granted)
		hashHeld(sum, g.Current)
		switch random.IntN(100) {
		case 0:
			b = Restore(b.Leases())
		case 1:
			for _, h := range b.Leases() {
				hashHeld(sum, h)
			}
		}
	}
	run.Held = b.Len()
	run.Hash = hex.EncodeToString(sum.Sum(nil))
	return run
}

// drawRequest is a request for one of a few keys, by one of a few tickets.
func drawRequest(random *rand.Rand, keys, tickets int) LeaseRequest {
	return LeaseRequest{
		Key:     fmt.Sprint("key-", random.IntN(keys)),
		Token:   fmt.Sprint("ticket-", random.IntN(tickets)),
		Attempt: uint32(random.IntN(3)),
		Holder:  fmt.Sprint("holder-", random.IntN(3)),
		Release: random.IntN(5) == 0,
		Window:  []time.Duration{0, time.Second, 5 * time.Second, time.Minute}[random.IntN(4)],
	}
}

func hashHeld(sum hash.Hash, h Lease) {
	fmt.Fprintf(sum, "%q %q %d %q %t %d %d\n", h.Key, h.Token, h.Attempt, h.Holder, h.Release, h.Window, h.GrantedAt)
}
