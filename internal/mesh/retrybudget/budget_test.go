package retrybudget

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// However requests and tries fall, a line that uses half of the rule's ratio keeps the rule in every window, wherever it
// lies: the requests are those of that window, of the one before it or of the one half a window before, whichever has most.
func TestEveryWindow(t *testing.T) {
	for seed := range uint64(15) {
		rng := rand.New(rand.NewPCG(seed, 2))
		rule := Limits{Window: 10 * time.Second, Ratio: 0.1 + 0.2*rng.Float64(), MinRetries: float64(rng.IntN(5))}
		p := New(rule)
		type event struct {
			at      time.Duration
			further bool
		}
		var events []event
		now := time.Duration(0)
		for now < 60*time.Second {
			now += time.Duration(rng.ExpFloat64() * float64(40*time.Millisecond))
			if rng.IntN(40) == 0 {
				now += time.Duration(rng.Int64N(int64(4 * time.Second))) // a lull
			}
			if rng.IntN(3) > 0 {
				p.RecordRequest(now)
				events = append(events, event{now, false})
			} else if p.AllowRetry(now) {
				events = append(events, event{now, true})
			}
		}
		granted := 0
		requests := func(from time.Duration) (n float64) {
			for _, e := range events {
				if !e.further && e.at >= from && e.at <= from+rule.Window {
					n++
				}
			}
			return n
		}
		for i, first := range events {
			if !first.further {
				continue
			}
			var further float64
			for _, e := range events[i:] {
				if e.further && e.at <= first.at+rule.Window {
					further++
				}
			}
			granted += int(further)
			most := max(requests(first.at), requests(first.at-rule.Window), requests(first.at-rule.Window/2))
			if further > most*2*rule.Ratio+rule.MinRetries+1e-9 {
				t.Fatalf("seed %d, from %v: %v further tries for %v requests", seed, first.at, further, most)
			}
		}
		if granted == 0 {
			t.Fatalf("seed %d: nothing was granted", seed)
		}
	}
}

// Retries of those who call times retries of those who are called: with every attempt failing, three services in a row and
// three tries each, 27 runs of the last would come of one request. Each line's purse bounds it to the ratio's power and the
// slack, whatever the rules on the way allow; a rule's own ratio bounds it further.
func TestChain(t *testing.T) {
	const depth, tries, requests = 3, 3, 20_000
	runs := func(ratio, slack float64) (last int) {
		var purses [depth]*Budget
		for i := range purses {
			purses[i] = New(Limits{Window: 10 * time.Second, Ratio: ratio, MinRetries: slack})
		}
		var call func(level int, now time.Duration)
		call = func(level int, now time.Duration) {
			if level == depth {
				return
			}
			for n := range tries {
				if n == 0 {
					purses[level].RecordRequest(now)
				} else if !purses[level].AllowRetry(now) {
					return
				}
				if level == depth-1 {
					last++
				}
				call(level+1, now)
			}
		}
		for n := range requests {
			call(0, time.Duration(n)*time.Millisecond)
		}
		return last
	}
	assert.Equal(t, runs(1000, 0), requests*27, "unbounded: the worst case")
	for _, ratio := range []float64{0.1, 0.2, 0} {
		most := requests * math.Pow(1+ratio, depth)
		got := float64(runs(ratio, 3))
		// A window's slack counts anew in each window, and is multiplied on the way.
		slack := 3 * 2 * depth * math.Pow(1+ratio, depth) * (requests/10_000 + 1)
		assert.Assert(t, got <= most+slack && got >= requests, "%g: %g runs, %g and %g", ratio, got, most, slack)
	}
}
