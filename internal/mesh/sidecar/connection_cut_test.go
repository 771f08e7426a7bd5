package sidecar

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"cranegrade/internal/testkit"
)

// hop is the hop on which a call is cut.
type hop string

const (
	betweenSidecars hop = "between sidecars"
	toServer        hop = "to the server"
)

func (x *callChain) relaysAt(h hop) []*relay {
	if h == betweenSidecars {
		return x.upstreamRelays
	}
	return x.serverRelays
}

// patience of the caller for calls whose connection says nothing any more.
const silentBudget = 60 * time.Millisecond

// maxTriesPerPoint is how often one point is tried at most.
const maxTriesPerPoint = 50

// cutCall makes one call that is cut and then another, with a repeat of a keyed call in between. struck says that the cut took effect.
func (x *callChain) cutCall(h hop, kind kindOfCall, c *cut) (first callerAnswer, struck bool) {
	x.t.Helper()
	attempt, key := newAttemptID(), ""
	if kind == keyedCall {
		key = "k-" + attempt
	}
	budget := 2 * time.Second
	if c.mode == cutSilent || c.mode == cutLate {
		budget = silentBudget
	}
	for _, r := range x.relaysAt(h) {
		r.plan(attempt, c)
	}
	conn := x.dial()
	defer conn.c.Close()
	first = conn.call(attempt, kind, "plain", key, budget)
	close(c.mended)
	select {
	case <-c.struck:
		struck = true
		if c.mode == cutLate {
			<-c.released
		}
	default:
	}
	// On the same connection, where the caller's sidecar has left it open: whatever comes there is the next call's own answer.
	next := conn
	if first.Status == 0 {
		x.t.Errorf("%s %s %s after %d: the caller's connection ended", h, kind, c.mode, c.after)
		next = x.dial()
		defer next.c.Close()
	}
	if kind == keyedCall {
		again := next.call(newAttemptID(), keyedCall, "plain", key, 2*time.Second)
		switch again.Status {
		case 200, 409, 502, 503, 504:
		default:
			x.t.Errorf("%s %s %s after %d: the repeat is answered %+v", h, kind, c.mode, c.after, again)
		}
	}
	// The module holds calls off a server that timed out: they are told when to come again.
	await(x.t, func() bool {
		after := next.call(newAttemptID(), repeatableCall, "plain", "", 5*time.Second)
		if after.Status != 200 && after.Status != 503 {
			x.t.Errorf("%s %s %s after %d, then: %+v", h, kind, c.mode, c.after, after)
			return true
		}
		return after.Status == 200
	})
	return first, struck
}

// sweep cuts calls after each byte of the request or of the response, from a first byte on with a step.
func (x *callChain) sweep(h hop, kind kindOfCall, mode cutMode, answer bool, from, step int) (points int) {
	for after := from; ; after += step {
		c := newCut(mode, answer, after)
		for tries := 1; ; tries++ { // it may be rejected, or its time be over, before it comes to the cut
			first, struck := x.cutCall(h, kind, c)
			if struck {
				break
			}
			if first.Status == 200 || tries == maxTriesPerPoint {
				x.t.Errorf("%s %s %s after %d: not struck, %+v", h, kind, mode, after, first)
				return points
			}
			c = newCut(mode, answer, after)
		}
		points++
		if after >= c.of {
			return points
		}
	}
}

// A keyed and a non-idempotent call are cut after each byte of the request and of the response, on each hop, in each mode. Each runs at most once.
// Its caller gets one response, its own, and 503 only if it has not run. The next call gets its own response.
func TestCutAtEachByte(t *testing.T) {
	for _, h := range []hop{betweenSidecars, toServer} {
		for _, kind := range []kindOfCall{onceCall, keyedCall} {
			for _, mode := range []cutMode{cutReset, cutClose, cutSilent, cutLate} {
				for _, answer := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s/%s/%s/answer=%v", h, kind, mode, answer), func(t *testing.T) {
						t.Parallel()
						const ways = 4
						step := ways
						if testkit.Race {
							step *= 4
						}
						var all sync.WaitGroup
						var points [ways]int
						chains := [ways]*callChain{startCallChain(t, 1)}
						for n := range ways {
							chains[n] = chains[0]
							if h == betweenSidecars && n > 0 { // a cut ends all that is under way there
								chains[n] = startCallChain(t, 1)
							}
							all.Go(func() { points[n] = chains[n].sweep(h, kind, mode, answer, n, step) })
						}
						all.Wait()
						for _, x := range chains {
							x.assertNoViolations()
						}
						t.Log(points, "points")
					})
				}
			}
		}
	}
}

// The connection of a streamed request is cut before each of its frames, including the one that only ends the body. At that point the server has
// the complete request, so a key that was released would run again.
func TestCutBetweenPieces(t *testing.T) {
	for _, kind := range []kindOfCall{onceCall, keyedCall} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			x := startCallChain(t, 1)
			for frames := 0; ; frames++ {
				attempt, key := newAttemptID(), ""
				if kind == keyedCall {
					key = "k-" + attempt
				}
				c := newCut(cutReset, false, 0)
				c.frames = frames
				x.upstreamRelays[0].plan(attempt, c)
				first := x.callAs(attempt, kind, "upload", key, 2*time.Second)
				close(c.mended)
				await(t, func() bool { return x.far[0].inbound.openRequests.Load() == 0 })
				if kind == keyedCall {
					await(t, func() bool { return x.call(keyedCall, "upload", key, 2*time.Second).Status != 503 })
				}
				select {
				case <-c.struck:
				default:
					if first.Status != 200 { // rejected before
						frames--
						continue
					}
					if frames < 3 {
						t.Errorf("only %d frames", frames)
					}
					x.assertNoViolations()
					return
				}
			}
		})
	}
}
