package sidecar

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/mesh/idempotency"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/message"
)

// Servers answer twice, late, in another's name, in none, with more bytes than told, in chunks, long, or turn calls away, to
// many callers at once on one cord. Each caller has its own answer, and what may not be repeated runs once.
func TestFaultyServers(t *testing.T) {
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

// Many calls are at work on one cord when it is cut: each is told that it may have run, and none runs again.
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

// A caller that breaks off behind each byte of its request, or is gone before the answer: what is not whole never runs.
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

// Two calls that may not be repeated in one segment, and bytes behind them that are no request: two answers, in order, and no
// third that is a call's.
func TestCallsInOneSegment(t *testing.T) {
	x := startCallChain(t, 1)
	a, b := newAttemptID(), newAttemptID()
	c := x.dial()
	defer c.c.Close()
	x.history.asked(a, onceCall, "")
	x.history.asked(b, onceCall, "")
	_, err := io.WriteString(c.c, requestText(a, onceCall, "plain", "", 15*time.Second)+requestText(b, onceCall, "plain", "", 15*time.Second)+"and more\r\n\r\n")
	assert.NilError(t, err)
	for _, id := range []string{a, b} {
		answer := c.readAnswer()
		assert.Equal(t, answer.Status, 200)
		x.history.answered(id, answer)
	}
	assert.Equal(t, c.readAnswer().Status, 400)
	x.assertNoViolations()
}

// A caller that waits for 100 before it sends its body has that, and one answer.
func TestExpectContinue(t *testing.T) {
	x := startCallChain(t, 1)
	id := newAttemptID()
	x.history.asked(id, onceCall, "")
	c := x.dial()
	defer c.c.Close()
	fmt.Fprintf(c.c, "POST /once/plain HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n", chainHost, id, len(callBody))
	interim, err := c.r.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, interim, "HTTP/1.1 100 Continue\r\n")
	_, err = c.r.ReadString('\n')
	assert.NilError(t, err)
	assert.Equal(t, x.history.runs(id), 0)
	io.WriteString(c.c, callBody)
	x.history.answered(id, c.readAnswer())
	assert.Equal(t, x.call(repeatableCall, "plain", "", 2*time.Second).Status, 200)
	x.assertNoViolations()
}

// Planted: an id of a request is used again while the first is at work. The second is not sent by it and told so, and the first
// has its own answer; without that the first's is lost, or goes to the second.
func TestStreamIDReuseInjected(t *testing.T) {
	for range 5 {
		x := startCallChain(t, 1)
		hold := make(chan struct{})
		x.fakeServers[0].hold.Store(&hold)
		first, second := newAttemptID(), newAttemptID()
		var all sync.WaitGroup
		all.Go(func() {
			if answer := x.callAs(first, onceCall, "plain", "", 5*time.Second); answer.Status != 200 {
				t.Errorf("the first: %+v", answer)
			}
		})
		await(t, func() bool { return x.history.runs(first) == 1 })
		x.near.upstreams.lastStreamID.Add(^uint64(0))
		if answer := x.callAs(second, onceCall, "plain", "", 5*time.Second); answer.Status != 503 {
			t.Errorf("the second: %+v", answer)
		}
		close(hold)
		all.Wait()
		x.assertNoViolations()
	}
}

// A line that uses an id again while the first is at work is told nothing more: no answer on that trunk can be told apart.
func TestStreamIDReuseByPeer(t *testing.T) {
	x := startCallChain(t, 1)
	hold := make(chan struct{})
	x.fakeServers[0].hold.Store(&hold)
	defer close(hold)
	c, err := transport.Dial(context.Background(), x.far[0].Addr(), &wire.HelloT{Name: "other"}, nil)
	assert.NilError(t, err)
	defer c.Close(nil)
	ids := []string{newAttemptID(), newAttemptID()}
	for n, id := range ids {
		request := &wire.RequestT{Id: 7, AttemptId: id, Method: "GET", Target: "/once/plain", Host: chainHost, TimeoutUs: time.Minute.Microseconds(), ServerId: "i-0",
			AtMostOnce: true, HeaderFields: []*wire.HeaderFieldT{{Name: headerAttemptID, Value: id}}}
		assert.NilError(t, c.Send(request))
		if n == 0 {
			await(t, func() bool { return x.history.runs(id) == 1 })
		}
	}
	_, err = c.Receive()
	assert.Assert(t, err != nil)
	assert.Equal(t, x.history.runs(ids[1]), 0)
}

// Planted: a line gives answers in the order of their requests in place of by their ids. They are none, and no caller has
// another's.
func TestAnswersByOrderInjected(t *testing.T) {
	x := startCallChain(t, 1)
	const pairs = 10
	for range pairs {
		hold := make(chan struct{})
		x.fakeServers[0].hold.Store(&hold)
		ids := []string{newAttemptID(), newAttemptID()}
		var mu sync.Mutex
		of := map[string]uint64{}
		x.upstreamRelays[0].mu.Lock()
		x.upstreamRelays[0].change = func(p relayedMessage) []byte {
			m, err := codec.Decode(p.raw[4:])
			a, is := m.Value.(*wire.ResponseT)
			if err != nil || !is {
				return p.raw
			}
			mu.Lock()
			defer mu.Unlock()
			if id, known := of[p.attempt]; known {
				a.Id = id
			}
			return codec.Encode(a)
		}
		x.upstreamRelays[0].mu.Unlock()
		var all sync.WaitGroup
		for _, id := range ids {
			all.Go(func() {
				if answer := x.callAs(id, onceCall, "plain", "", 5*time.Second); answer.Status != 502 {
					t.Errorf("%s: %+v", id, answer)
				}
			})
		}
		await(t, func() bool { return x.history.runs(ids[0])+x.history.runs(ids[1]) == 2 })
		numbers := map[string]uint64{}
		for _, to := range x.near.upstreams.byAddr {
			to.mu.Lock()
			for n, p := range to.attempts {
				numbers[p.attemptID] = n
			}
			to.mu.Unlock()
		}
		mu.Lock()
		of[ids[0]], of[ids[1]] = numbers[ids[1]], numbers[ids[0]]
		mu.Unlock()
		close(hold)
		all.Wait()
	}
	x.assertNoViolations()
}

// injectEnding has an ending be taken for another until the test's end.
func injectEnding(t *testing.T, word byte, as balancer.Ending) {
	was := endingsByCode[word]
	endingsByCode[word] = as
	t.Cleanup(func() { endingsByCode[word] = was })
}

// countViolations counts the violations of a kind.
func (x *callChain) countViolations(kind string) (n int) {
	for _, v := range x.history.violations() {
		if len(v) >= len(kind) && v[:len(kind)] == kind {
			n++
		}
	}
	return n
}

// Planted: a call whose bytes went out is tried again, or called not run. Each is found where an answer is cut.
func TestRetriesInjected(t *testing.T) {
	for _, c := range []struct {
		name    string
		as      balancer.Ending
		servers int
		kind    string
	}{{"tried again", balancer.Unreachable, 2, "TWICE"}, {"called not run", balancer.Overloaded, 1, "REFUSED"}} {
		t.Run(c.name, func(t *testing.T) {
			injectEnding(t, codeBroken, c.as)
			x := startCallChain(t, c.servers)
			points := x.sweep(toServer, onceCall, cutReset, true, 0, 5)
			found := x.countViolations(c.kind)
			t.Logf("found in %d of %d cuts", found, points)
			if found == 0 {
				t.Error("not found")
			}
		})
	}
}

// Planted: the registers grant a key to a second line while the first holds it, as one that is late would. Found as a second run.
func TestLateGrantInjected(t *testing.T) {
	x := startCallChain(t, 2)
	x.controlPlane.mu.Lock()
	x.controlPlane.overrideGrant = func(_ idempotency.LeaseRequest, _ idempotency.LeaseResult) idempotency.LeaseResult {
		return idempotency.LeaseResult{Granted: true}
	}
	x.controlPlane.mu.Unlock()
	const keys = 20
	for range keys {
		attempt := newAttemptID()
		key := "k-" + attempt
		for range 4 {
			x.call(keyedCall, "plain", key, 2*time.Second)
		}
	}
	found := x.countViolations("TWICE")
	t.Logf("found for %d of %d keys", found, keys)
	if found == 0 {
		t.Error("not found")
	}
}

// A key's grant comes after its line has given it up and said that it has not run: told late by the registers, or taken late by
// them, behind its release. Whoever repeats the key has one run, or is told that it can't be granted.
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
				for range 2 { // by whichever line is drawn
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

// A caller uses one Attempt-Id for two calls of a key. They are two calls: what the first holds is not granted to a later try
// of the second.
func TestAttemptIDUsedTwice(t *testing.T) {
	x := startCallChain(t, 3)
	only := func(server int) {
		for n, far := range x.far {
			far.inbound.draining.Store(n != server) // turned away before their key is claimed
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

// An answer that begins twice is broken, and nothing is added to one that has ended: its caller sees the first's end.
func TestAnswerBeginsTwice(t *testing.T) {
	near, far := net.Pipe()
	defer near.Close()
	go io.Copy(io.Discard, far)
	c, err := transport.Accept(prefixed{near, bytes.NewReader(codec.Encode(&wire.HelloT{TransportVersion: transport.ProtocolVersion}))}, nil)
	assert.NilError(t, err)
	var streams []*message.Stream
	p := &upstreamAttempt{conn: c, id: 1, done: make(chan struct{}), attempt: engine.NewAttempt(nil, nil, time.Second, engine.Hooks{Began: func(r engine.Reply) {
		streams = append(streams, r.(*message.Stream))
	}})}
	p.applyAnswer(&wire.ResponseT{Id: 1, Status: 200, MoreBody: true, ContentLength: -1})
	p.applyAnswer(&wire.ResponseT{Id: 1, Status: 200, MoreBody: true, ContentLength: -1})
	p.handlePiece(&wire.BodyChunkT{Id: 1, Data: []byte("x")})
	<-p.done
	assert.Equal(t, len(streams), 1)
	assert.Equal(t, p.ending, balancer.Broken)
	assert.Assert(t, streams[0].Held() == 0 && streams[0].Trailer() == nil)
	body, err := streams[0].Next(context.Background()) // returns, for it has ended
	assert.Assert(t, body == nil && err == nil)
}
