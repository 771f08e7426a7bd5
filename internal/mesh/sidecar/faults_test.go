package sidecar

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/wire"
)

// Servers respond twice, late, in the name of another request, in none, with more bytes than announced, in chunks, with a long body, or with a
// rejection, to many concurrent callers on one upstream. Each caller gets its own response, and calls that are not idempotent run once.
func TestFaultyServers(t *testing.T) {
	t.Parallel()
	x := startCallChain(t, 2)
	hows := []string{"plain", "twice", "late", "more", "chunks", "long", "shed", "failed", "contrary", "unnamed", "wrong"}
	var all sync.WaitGroup
	for _, kind := range []kindOfCall{onceCall, keyedCall, repeatableCall} {
		for n, how := range hows {
			all.Go(func() {
				c := x.dial()
				defer func() { c.c.Close() }()
				for round := range 12 {
					attempt, key := newAttemptID(), ""
					if kind == keyedCall {
						key = "k-" + attempt
					}
					// Calls of one connection differ, so that an answer behind another is one to a different call.
					answer := c.call(attempt, kind, hows[(n+round)%len(hows)], key, 300*time.Millisecond)
					if answer.Status == 0 { // a long answer that broke, or the connection was closed behind a refusal
						c.c.Close()
						c = x.dial()
					}
					if round == 0 && how == "plain" && answer.Status == 0 {
						t.Error("a plain call has no answer")
					}
				}
			})
		}
	}
	all.Wait()
	// Calls that servers spoilt have not spoilt the connections of those that come after, of each kind.
	for _, kind := range []kindOfCall{onceCall, keyedCall, repeatableCall} {
		served := 0
		await(t, func() bool {
			key := ""
			if kind == keyedCall {
				key = "k-" + newAttemptID()
			}
			if x.call(kind, "plain", key, 2*time.Second).Status == 200 {
				served++
			}
			return served == 10
		})
	}
	x.assertNoViolations()
}

// When an upstream is cut with many calls in flight, each caller learns that its call may have run, and none runs again.
func TestManyAttemptsOnOneUpstream(t *testing.T) {
	for _, mode := range []cutMode{cutReset, cutClose, cutLate} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			x := startCallChain(t, 1)
			hold := make(chan struct{})
			x.fakeServers[0].hold.Store(&hold)
			const many = 3
			var all sync.WaitGroup
			ids := make([]string, many)
			for n := range ids {
				ids[n] = newAttemptID()
				all.Go(func() {
					answer := x.callAs(ids[n], onceCall, "plain", "", 5*time.Second)
					if want := map[bool]int{true: 200, false: 502}[mode == cutLate]; answer.Status != want {
						t.Errorf("%s: %+v", ids[n], answer)
					}
				})
			}
			await(t, func() bool {
				n := 0
				for _, id := range ids {
					n += x.history.runs(id)
				}
				return n == many
			})
			c := newCut(mode, false, 10)
			cutID := newAttemptID()
			x.upstreamRelays[0].plan(cutID, c)
			all.Go(func() { x.callAs(cutID, onceCall, "plain", "", 5*time.Second) })
			<-c.struck
			close(c.mended)
			if mode != cutLate { // their answers come after the end
				await(t, func() bool {
					n := 0
					for _, id := range ids {
						n += x.history.answers(id)
					}
					return n == many
				})
			}
			close(hold)
			all.Wait()
			assert.Equal(t, x.call(repeatableCall, "plain", "", 5*time.Second).Status, 200)
			x.assertNoViolations()
		})
	}
}

// A caller disconnects after each byte of its request, or before the response. An incomplete request never runs.
func TestCallerDisconnects(t *testing.T) {
	for _, mode := range []cutMode{cutReset, cutClose} {
		for _, kind := range []kindOfCall{onceCall, keyedCall} {
			t.Run(fmt.Sprintf("%s/%s", mode, kind), func(t *testing.T) {
				t.Parallel()
				x := startCallChain(t, 1)
				for n, of := 1, 2; n <= of; n++ {
					attempt, key := newAttemptID(), ""
					if kind == keyedCall {
						key = "k-" + attempt
					}
					text := requestText(attempt, kind, "plain", key, 2*time.Second)
					of = len(text)
					c := x.dial()
					io.WriteString(c.c, text[:n])
					if mode == cutReset {
						c.c.(*net.TCPConn).SetLinger(0)
					}
					c.c.Close()
					answer := x.call(repeatableCall, "plain", "", 5*time.Second)
					assert.Assert(t, answer.Status == 200 || answer.Status == 503, "%+v", answer)
					if runs := x.history.runs(attempt); n < of && runs > 0 || runs > 1 {
						t.Errorf("%d of %d bytes: %d runs", n, of, runs)
					}
				}
			})
		}
	}
}

// Two non-idempotent calls arrive in one segment, followed by bytes that are not a request. There are two responses, in order, and no third
// response to a call.
func TestCallsInOneSegment(t *testing.T) {
	t.Parallel()
	x := startCallChain(t, 1)
	a, b := newAttemptID(), newAttemptID()
	c := x.dial()
	defer c.c.Close()
	x.history.recordCall(a, onceCall, "")
	x.history.recordCall(b, onceCall, "")
	_, err := io.WriteString(c.c, requestText(a, onceCall, "plain", "", 15*time.Second)+
		requestText(b, onceCall, "plain", "", 15*time.Second)+"and more\r\n\r\n")
	assert.NilError(t, err)
	for _, id := range []string{a, b} {
		answer := c.readAnswer()
		assert.Equal(t, answer.Status, 200)
		x.history.recordResponse(id, answer)
	}
	assert.Equal(t, c.readAnswer().Status, 400)
	x.assertNoViolations()
}

// A caller that waits for 100 Continue before it sends its body gets it, and then one response.
func TestExpectContinue(t *testing.T) {
	t.Parallel()
	x := startCallChain(t, 1)
	id := newAttemptID()
	x.history.recordCall(id, onceCall, "")
	c := x.dial()
	defer c.c.Close()
	fmt.Fprintf(c.c, "POST /once/plain HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n",
		chainHost, id, len(callBody))
	interim, err := c.r.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, interim, "HTTP/1.1 100 Continue\r\n")
	_, err = c.r.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, x.history.runs(id), 0)
	io.WriteString(c.c, callBody)
	x.history.recordResponse(id, c.readAnswer())
	assert.Equal(t, x.call(repeatableCall, "plain", "", 2*time.Second).Status, 200)
	x.assertNoViolations()
}

// If a sidecar uses a stream ID again while the first attempt is in flight, the connection is closed, since responses on it could not be told
// apart.
func TestStreamIDReuseByPeer(t *testing.T) {
	t.Parallel()
	x := startCallChain(t, 1)
	hold := make(chan struct{})
	x.fakeServers[0].hold.Store(&hold)
	defer close(hold)
	c, err := transport.Dial(context.Background(), x.far[0].Addr(), &wire.HelloT{Name: "other"}, nil)
	assert.NilError(t, err)
	defer c.Close(nil)
	ids := []string{newAttemptID(), newAttemptID()}
	for n, id := range ids {
		request := &wire.RequestT{
			Id: 7, AttemptId: id, Method: "GET", Target: "/once/plain", Host: chainHost,
			TimeoutUs: time.Minute.Microseconds(), ServerId: "i-0",
			AtMostOnce: true, HeaderFields: []*wire.HeaderFieldT{{Name: headerAttemptID, Value: id}},
		}
		assert.NilError(t, c.Send(request))
		if n == 0 {
			await(t, func() bool { return x.history.runs(id) == 1 })
		}
	}
	_, err = c.Receive()
	assert.Assert(t, err != nil)
	assert.Equal(t, x.history.runs(ids[1]), 0)
}

// A lease is granted after its sidecar has given up and responded that the request has not run, because the reply is delayed or the lease request
// arrives after its release. A repeat of the key runs once, or is rejected because the key can't be granted.
func TestLateGrant(t *testing.T) {
	for _, taken := range []bool{false, true} {
		t.Run(fmt.Sprintf("taken late=%v", taken), func(t *testing.T) {
			t.Parallel()
			x := startCallChain(t, 2)
			for range 4 {
				late := make(chan struct{})
				x.controlPlane.mu.Lock()
				x.controlPlane.heldBack, x.controlPlane.holdRequests = late, taken
				x.controlPlane.mu.Unlock()
				key := "k-" + newAttemptID()
				var all sync.WaitGroup
				for range 2 { // by whichever sidecar is drawn
					all.Go(func() {
						if answer := x.call(keyedCall, "plain", key, 2*time.Second); answer.Status == 200 || answer.Status == 0 {
							t.Errorf("while nothing is granted: %+v", answer)
						}
					})
				}
				all.Wait()
				x.controlPlane.mu.Lock()
				x.controlPlane.heldBack = nil
				x.controlPlane.mu.Unlock()
				close(late)
				for range 4 {
					x.call(keyedCall, "plain", key, 2*time.Second)
				}
			}
			x.assertNoViolations()
		})
	}
}

// A caller uses one Attempt-Id for two calls of a key. They still count as two calls: the lease of the first is not granted to a later attempt of
// the second.
func TestAttemptIDUsedTwice(t *testing.T) {
	t.Parallel()
	x := startCallChain(t, 3)
	only := func(server int) {
		for n, far := range x.far {
			far.inbound.draining.Store(n != server) // rejected before their key is claimed
		}
	}
	for range 20 {
		attempt := newAttemptID()
		key := "k-" + attempt
		only(0)
		await(t, func() bool { return x.callAs(attempt, keyedCall, "plain", key, 2*time.Second).Status == 200 })
		only(2)
		x.callAs(attempt, keyedCall, "plain", key, 2*time.Second)
	}
	// A 503 to one of the two says nothing of the other, and the history knows them by one id.
	assert.Equal(t, x.countViolations("TWICE"), 0)
}
