package idempotency

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

// Extent of the golden record.
const (
	goldenSeeds    = 20
	goldenRequests = 4000
)

// goldenRun is the result of applying the requests of one seed.
type goldenRun struct {
	Seed     uint64 `json:"seed"`
	Granted  int    `json:"granted"`
	Refused  int    `json:"refused"`
	Released int    `json:"released"`
	Held     int    `json:"held"` // leases at the end
	Hash     string `json:"hash"` // of each result and, at random times, of all leases
}

// TestGolden applies random requests for several seeds and compares the results and the leases with the record under testdata. The
// hashes cover values only, so that renamed identifiers do not change them. To update the record after an intended change of behaviour,
// run go test -run TestGolden -update.
func TestGolden(t *testing.T) {
	var runs []goldenRun
	for seed := range uint64(goldenSeeds) {
		runs = append(runs, playGolden(seed))
	}
	goldenrecord.AssertFile(t, runs, " ")
}

// playGolden applies the requests of one seed. At random times it restores the store from its leases, as after a restart.
func playGolden(seed uint64) goldenRun {
	random := rand.New(rand.NewPCG(seed, 0x901d))
	sum := sha256.New()
	run := goldenRun{Seed: seed}
	store := New()
	now := time.Duration(0)
	keys, tokens := 1+random.IntN(40), 1+random.IntN(6)
	for range goldenRequests {
		now += time.Duration(random.Int64N(int64(200 * time.Millisecond)))
		request := drawRequest(random, keys, tokens)
		result := store.Apply(now, request)
		switch {
		case request.Release:
			run.Released++
		case result.Granted:
			run.Granted++
		default:
			run.Refused++
		}
		fmt.Fprintf(sum, "%t\n", result.Granted)
		hashLease(sum, result.Current)
		switch random.IntN(100) {
		case 0:
			store = Restore(store.Leases())
		case 1:
			for _, lease := range store.Leases() {
				hashLease(sum, lease)
			}
		}
	}
	run.Held = store.Len()
	run.Hash = hex.EncodeToString(sum.Sum(nil))
	return run
}

// drawRequest returns a random request with one of a few keys and one of a few tokens.
func drawRequest(random *rand.Rand, keys, tokens int) LeaseRequest {
	return LeaseRequest{
		Key:     fmt.Sprint("key-", random.IntN(keys)),
		Token:   fmt.Sprint("ticket-", random.IntN(tokens)),
		Attempt: uint32(random.IntN(3)),
		Holder:  fmt.Sprint("holder-", random.IntN(3)),
		Release: random.IntN(5) == 0,
		Window:  []time.Duration{0, time.Second, 5 * time.Second, time.Minute}[random.IntN(4)],
	}
}

func hashLease(sum hash.Hash, lease Lease) {
	fmt.Fprintf(sum, "%q %q %d %q %t %d %d\n",
		lease.Key, lease.Token, lease.Attempt, lease.Holder, lease.Release, lease.Window, lease.GrantedAt)
}
