package sidecar

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"cranegrade/internal/testkit"
)

// hop is the part of a call chain on which a connection is cut.
type hop string

const (
	betweenSidecars hop = "between sidecars"
	toServer        hop = "to the server"
)

// relaysAt returns the relays of a hop.
func (x *callChain) relaysAt(h hop) []*relay {
	if h == betweenSidecars {
		return x.upstreamRelays
	}
	return x.serverRelays
}

// silentBudget is the time budget of calls whose connection is cut without a reset or close.
const silentBudget = 60 * time.Millisecond

// maxTriesPerPoint is the maximum number of calls that are made to cut one call at a given byte.
const maxTriesPerPoint = 50

// cutCall makes a call that is cut, then repeats it if it is keyed, and then makes another call. applied reports whether the cut took effect.
func (x *callChain) cutCall(h hop, kind kindOfCall, c *cut) (first callerAnswer, applied bool) {
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
		r.scheduleCut(attempt, c)
	}
	conn := x.dial()
	defer conn.c.Close()
	first = conn.call(attempt, kind, "plain", key, budget)
	close(c.repaired)
	select {
	case <-c.applied:
		applied = true
		if c.mode == cutLate {
			<-c.released
		}
	default:
	}
	// On the same connection, if the caller's sidecar has kept it open: the next response there must be that of the next call.
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
			x.t.Errorf("%s %s %s after %d: unexpected response to the repeat: %+v", h, kind, c.mode, c.after, again)
		}
	}
	// The decision module sends no calls to a server that has just timed out, and rejects them with a Retry-After instead.
	await(x.t, func() bool {
		after := next.call(newAttemptID(), repeatableCall, "plain", "", 5*time.Second)
		if after.Status != 200 && after.Status != 503 {
			x.t.Errorf("%s %s %s after %d: unexpected response to the next call: %+v", h, kind, c.mode, c.after, after)
			return true
		}
		return after.Status == 200
	})
	return first, applied
}

// cutAtOffsets cuts calls after from bytes of the request or the response, then after every step bytes more, up to its end. It returns the number of
// offsets.
func (x *callChain) cutAtOffsets(h hop, kind kindOfCall, mode cutMode, answer bool, from, step int) (points int) {
	for after := from; ; after += step {
		c := newCut(mode, answer, after)
		for tries := 1; ; tries++ { // a call may be rejected or time out before it reaches the cut
			first, applied := x.cutCall(h, kind, c)
			if applied {
				break
			}
			if first.Status == 200 || tries == maxTriesPerPoint {
				x.t.Errorf("%s %s %s after %d: the cut did not take effect, the response is %+v", h, kind, mode, after, first)
				return points
			}
			c = newCut(mode, answer, after)
		}
		points++
		if after >= c.totalBytes {
			return points
		}
	}
}

// The connection of a keyed or non-idempotent call is cut after each byte of the request and of the response, on each hop, in each mode. Each call
// runs at most once. Its caller gets exactly one response, which is its own, and a 503 only if the call has not run. The next call gets its own
// response.
func TestConnectionCutAtEachByte(t *testing.T) {
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
							if h == betweenSidecars && n > 0 { // a cut there ends all open calls of the connection
								chains[n] = startCallChain(t, 1)
							}
							all.Go(func() { points[n] = chains[n].cutAtOffsets(h, kind, mode, answer, n, step) })
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

// The connection of a streamed request is cut before each of its frames, including the final one, which carries no data. Before the final frame the
// server already has the whole body, so if the key were released there, the request could run again.
func TestConnectionCutBetweenFrames(t *testing.T) {
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
				c.skipFrames = frames
				x.upstreamRelays[0].scheduleCut(attempt, c)
				first := x.callWithID(attempt, kind, "upload", key, 2*time.Second)
				close(c.repaired)
				await(t, func() bool { return x.far[0].inbound.openRequests.Load() == 0 })
				if kind == keyedCall {
					await(t, func() bool { return x.call(keyedCall, "upload", key, 2*time.Second).Status != 503 })
				}
				select {
				case <-c.applied:
				default:
					if first.Status != 200 { // rejected before it reached the cut
						frames--
						continue
					}
					if frames < 3 {
						t.Errorf("the request was cut at only %d frames", frames)
					}
					x.assertNoViolations()
					return
				}
			}
		})
	}
}
