package retrybudget

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// event is a request or an allowed retry that was sent.
type event struct {
	at    time.Duration
	retry bool
}

// randomEvents passes random requests and retries to a budget and returns the requests and the retries that it allowed.
func randomEvents(random *rand.Rand, budget *Budget) (events []event) {
	const end, meanPause, maxLull = 60 * time.Second, 40 * time.Millisecond, 4 * time.Second
	for now := time.Duration(0); now < end; {
		now += time.Duration(random.ExpFloat64() * float64(meanPause))
		if random.IntN(40) == 0 {
			now += time.Duration(random.Int64N(int64(maxLull)))
		}
		if random.IntN(3) > 0 {
			budget.RecordRequest(now)
			events = append(events, event{now, false})
		} else if budget.AllowRetry(now) {
			events = append(events, event{now, true})
		}
	}
	return events
}

// countIn counts the requests or the retries between two times, both inclusive.
func countIn(events []event, retry bool, from, to time.Duration) (count float64) {
	for _, e := range events {
		if e.retry == retry && e.at >= from && e.at <= to {
			count++
		}
	}
	return count
}

// A sidecar that is configured with half of a ratio keeps the whole ratio in every window, whenever the window starts and requests and
// retries occur. The retries of a window are compared with the requests of that window, of the one before it or of the one that starts
// half a window earlier, whichever has the most.
func TestRetriesStayWithinTwiceTheRatio(t *testing.T) {
	for seed := range uint64(15) {
		random := rand.New(rand.NewPCG(seed, 2))
		limits := Limits{Window: 10 * time.Second, Ratio: 0.1 + 0.2*random.Float64(), MinRetries: float64(random.IntN(5))}
		events := randomEvents(random, New(limits))
		allowed := 0
		for n, first := range events {
			if !first.retry {
				continue
			}
			retries := countIn(events[n:], true, first.at, first.at+limits.Window)
			allowed += int(retries)
			requests := 0.0
			for _, earlier := range []time.Duration{0, limits.Window, limits.Window / 2} {
				from := first.at - earlier
				requests = max(requests, countIn(events, false, from, from+limits.Window))
			}
			if retries > requests*2*limits.Ratio+limits.MinRetries+1e-9 {
				t.Fatalf("seed %d, from %v: %v retries for %v requests", seed, first.at, retries, requests)
			}
		}
		if allowed == 0 {
			t.Fatalf("seed %d: no retry was allowed", seed)
		}
	}
}

// Retries at several levels multiply: if every attempt fails in a chain of three services with three attempts each, one request causes
// 27 calls to the last service. A budget at each level bounds the calls to (1+ratio)^depth per request, apart from the minimum number
// of retries.
func TestRetriesThroughServiceChainAreBounded(t *testing.T) {
	const depth, attempts, requests = 3, 3, 20_000
	callsOfLast := func(ratio, minRetries float64) (calls int) {
		var budgets [depth]*Budget
		for i := range budgets {
			budgets[i] = New(Limits{Window: 10 * time.Second, Ratio: ratio, MinRetries: minRetries})
		}
		var call func(level int, now time.Duration)
		call = func(level int, now time.Duration) {
			if level == depth {
				return
			}
			for n := range attempts {
				if n == 0 {
					budgets[level].RecordRequest(now)
				} else if !budgets[level].AllowRetry(now) {
					return
				}
				if level == depth-1 {
					calls++
				}
				call(level+1, now)
			}
		}
		for n := range requests {
			call(0, time.Duration(n)*time.Millisecond)
		}
		return calls
	}
	assert.Equal(t, callsOfLast(1000, 0), requests*27, "without an effective budget: the worst case")
	for _, ratio := range []float64{0.1, 0.2, 0} {
		limit := requests * math.Pow(1+ratio, depth)
		calls := float64(callsOfLast(ratio, 3))
		// The minimum number of retries applies to each window and multiplies from level to level.
		margin := 3 * 2 * depth * math.Pow(1+ratio, depth) * (requests/10_000 + 1)
		assert.Assert(t, calls <= limit+margin && calls >= requests, "%g: %g calls, limit %g and margin %g", ratio, calls, limit, margin)
	}
}
