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

// Servers respond twice, late, with the Attempt-Id of another request or without one, with more bytes than announced, in chunks, with a long body, or
// with a rejection, to many concurrent callers on one upstream. Each caller gets its own response, and calls that are not idempotent run once.
func TestFaultyServers(t *testing.T) {
	t.Parallel()
	x := startCallChain(t, 2)
	behaviors := []string{"plain", "twice", "late", "more", "chunks", "long", "shed", "failed", "contrary", "unnamed", "wrong"}
	var all sync.WaitGroup
	for _, kind := range []kindOfCall{onceCall, keyedCall, repeatableCall} {
		for n, behavior := range behaviors {
			all.Go(func() {
				c := x.dial()
				defer func() { c.c.Close() }()
				for round := range 12 {
					attempt, key := newAttemptID(), ""
					if kind == keyedCall {
						key = "k-" + attempt
					}
					// The calls on one connection differ, so that a surplus response would be matched to a different call.
					answer := c.call(attempt, kind, behaviors[(n+round)%len(behaviors)], key, 300*time.Millisecond)
					if answer.Status == 0 { // a truncated long response, or a connection that was closed after a rejection
						c.c.Close()
						c = x.dial()
					}
					if round == 0 && behavior == "plain" && answer.Status == 0 {
						t.Error("a plain call got no response")
					}
				}
			})
		}
	}
	all.Wait()
	// Later calls of each kind succeed: faulty responses have not corrupted the connections.
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

// An upstream connection is cut with many calls in flight: each caller gets a 502, because its call may have run, and no call runs again.
func TestUpstreamCutWithManyCallsInFlight(t *testing.T) {
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
					answer := x.callWithID(ids[n], onceCall, "plain", "", 5*time.Second)
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
			x.upstreamRelays[0].scheduleCut(cutID, c)
			all.Go(func() { x.callWithID(cutID, onceCall, "plain", "", 5*time.Second) })
			<-c.applied
			close(c.repaired)
			if mode != cutLate { // with cutLate, the responses only follow once hold is closed
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

// A caller disconnects after each byte of its request, the last included. An incomplete request never runs, and a complete one at most once.
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

// Two non-idempotent calls arrive in one segment, followed by bytes that are not a request. Both calls get their responses in order, and the rest gets
// a 400.
func TestPipelinedCallsInOneSegment(t *testing.T) {
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

// If a peer reuses a stream ID while the first attempt is in flight, the connection is closed, because responses to the two attempts could not be
// distinguished.
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

// A lease is granted after the requesting sidecar has given up and responded that the request has not run: either the reply is delayed, or the lease
// request is applied after its release. Repeats of the key run once at most, or are rejected because the key can't be granted.
func TestLeaseGrantedAfterTimeout(t *testing.T) {
	for _, delayRequests := range []bool{false, true} {
		t.Run(fmt.Sprintf("delayRequests=%v", delayRequests), func(t *testing.T) {
			t.Parallel()
			x := startCallChain(t, 2)
			for range 4 {
				delay := make(chan struct{})
				x.controlPlane.mu.Lock()
				x.controlPlane.leaseDelay, x.controlPlane.delayRequests = delay, delayRequests
				x.controlPlane.mu.Unlock()
				key := "k-" + newAttemptID()
				var all sync.WaitGroup
				for range 2 { // each through a randomly chosen far sidecar
					all.Go(func() {
						if answer := x.call(keyedCall, "plain", key, 2*time.Second); answer.Status == 200 || answer.Status == 0 {
							t.Errorf("unexpected response while no lease is granted: %+v", answer)
						}
					})
				}
				all.Wait()
				x.controlPlane.mu.Lock()
				x.controlPlane.leaseDelay = nil
				x.controlPlane.mu.Unlock()
				close(delay)
				for range 4 {
					x.call(keyedCall, "plain", key, 2*time.Second)
				}
			}
			x.assertNoViolations()
		})
	}
}

// A caller uses the same Attempt-Id for two calls with the same key. They are distinct calls: the lease of the first is not granted to a later attempt
// of the second.
func TestAttemptIDReusedForSameKey(t *testing.T) {
	t.Parallel()
	x := startCallChain(t, 3)
	acceptOnlyAt := func(server int) {
		for n, far := range x.far {
			far.inbound.draining.Store(n != server) // rejected before their key is claimed
		}
	}
	for range 20 {
		attempt := newAttemptID()
		key := "k-" + attempt
		acceptOnlyAt(0)
		await(t, func() bool { return x.callWithID(attempt, keyedCall, "plain", key, 2*time.Second).Status == 200 })
		acceptOnlyAt(2)
		x.callWithID(attempt, keyedCall, "plain", key, 2*time.Second)
	}
	// Only second runs are checked. The history records both calls under one ID, and a 503 to one does not mean that the other has not run.
	assert.Equal(t, x.countViolations("TWICE"), 0)
}
