package sidecar

import (
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/testkit"
)

// A caller closes its connection while the server of its idempotent call is at work, or still receives its long body: the call is cancelled on
// both hops, by the end of the server's connection, well before any time-out.
func TestClientGoneCancelsRunningCall(t *testing.T) {
	for _, c := range []struct {
		name, how    string
		unsent       int // bytes that the caller has not sent when it leaves
		readsRequest bool
	}{
		{"short body", "plain", 0, true},
		{"long body", "upload", 0, true},
		{"part of a long body", "upload", 1, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := startCallChain(t, 1)
			running, ended := make(chan *arrival, maxScriptedArrivals), make(chan bool, maxScriptedArrivals)
			x.attachServer(0, func(a *arrival) bool {
				if c.readsRequest {
					a.readBody()
				}
				running <- a
				a.awaitEnd()
				ended <- true
				return false
			})
			x.occupyUpstream()
			caller := x.dial()
			text := requestText(newAttemptID(), repeatableCall, c.how, "", testkit.Limit)
			_, err := io.WriteString(caller.c, text[:len(text)-c.unsent])
			assert.NilError(t, err)
			receivePromptly(t, "the call never ran", running)
			caller.c.Close()
			receivePromptly(t, "the server is still at work for a caller that has gone", ended)
			x.awaitOpenCalls(1)
		})
	}
}

// A caller closes a connection on which several calls run that came in one segment: all of them are cancelled.
func TestClientGoneCancelsPipelinedCalls(t *testing.T) {
	const calls = 3
	x := startCallChain(t, 1)
	running, ended := make(chan *arrival, maxScriptedArrivals), make(chan bool, maxScriptedArrivals)
	x.attachServer(0, func(a *arrival) bool {
		running <- a
		a.awaitEnd()
		ended <- true
		return false
	})
	x.occupyUpstream()
	caller := x.dial()
	var text strings.Builder
	for range calls {
		fmt.Fprintf(&text, "GET /%s/plain HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n\r\n", repeatableCall, chainHost, newAttemptID())
	}
	_, err := io.WriteString(caller.c, text.String())
	assert.NilError(t, err)
	for range calls {
		receivePromptly(t, "a call never ran", running)
	}
	caller.c.Close()
	for range calls {
		receivePromptly(t, "the server is still at work for a caller that has gone", ended)
	}
	x.awaitOpenCalls(1)
}

// A caller leaves while it is sent a streamed response: the server's connection ends.
func TestClientGoneCancelsStream(t *testing.T) {
	x := startCallChain(t, 1)
	ended := make(chan bool, maxScriptedArrivals)
	x.attachServer(0, func(a *arrival) bool {
		a.readBody()
		a.beginChunks()
		for a.writeChunk("one piece") {
			time.Sleep(5 * time.Millisecond)
		}
		ended <- true
		return false
	})
	x.occupyUpstream()
	c := x.dial()
	c.write(newAttemptID(), repeatableCall, testkit.Limit)
	assert.Assert(t, strings.HasPrefix(c.readHead(), "HTTP/1.1 200 "))
	c.c.Close()
	receivePromptly(t, "the server still streams to a caller that has gone", ended)
	x.awaitOpenCalls(1)
}

// A caller leaves while its call waits for the next attempt, after a server has rejected the one before: none follows.
func TestClientGoneEndsRetries(t *testing.T) {
	x := startCallChain(t, 1)
	arrivals := make(chan *arrival, maxScriptedArrivals)
	x.attachServer(0, func(a *arrival) bool {
		a.readBody()
		arrivals <- a
		_, err := io.WriteString(a.conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	})
	caller := x.dial()
	caller.write(newAttemptID(), repeatableCall, testkit.Limit)
	receivePromptly(t, "the call never came to the server", arrivals)
	caller.c.Close()
	x.awaitOpenCalls(0)
	for len(arrivals) > 0 {
		<-arrivals // began before the sidecar knew that the caller has gone
	}
	select {
	case <-arrivals:
		t.Error("a call comes to the server after its caller has gone")
	case <-time.After(maxModuleRetryAfter): // longer than the module's pauses
	}
}

// A caller leaves while its call waits for a server: when there is one, it does not get that call.
func TestClientGoneLeavesQueue(t *testing.T) {
	x := startCallChain(t, 1)
	x.far[0].localServer.deregister(x.fakeServers[0].id)
	engine := x.near.pools.get("stock").pool.Engine()
	abandoned := map[string]bool{}
	await(t, func() bool { // until the caller's sidecar knows that there is no server
		caller, id := x.dial(), newAttemptID()
		defer caller.c.Close()
		abandoned[id] = true
		caller.write(id, repeatableCall, testkit.Limit)
		await(t, func() bool { return engine.OpenCalls() > 0 || caller.hasAnswer() })
		return engine.OpenCalls() > 0 && !caller.hasAnswer()
	})
	x.awaitOpenCalls(0)
	arrived := make(chan string, maxScriptedArrivals)
	next := x.scriptedServer(func(a *arrival) bool {
		a.readBody()
		arrived <- a.attemptID()
		a.succeed()
		return true
	})
	x.heartbeatOf(0, "i-next", next, "ready", 1)
	await(t, func() bool { return x.call(repeatableCall, "plain", "", time.Second).Status == 200 })
	for len(arrived) > 0 {
		if id := <-arrived; abandoned[id] {
			t.Errorf("%s came to the server after its caller had gone", id)
		}
	}
}

// hasAnswer reports whether a part of an answer has come.
func (c *callerConn) hasAnswer() bool {
	_ = c.c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, err := c.r.Peek(1)
	return err == nil
}

// awaitOpenCalls waits until both sides have that many calls in flight.
func (x *callChain) awaitOpenCalls(n int64) {
	x.t.Helper()
	awaitPromptly(x.t, "the caller's sidecar still has the call", func() bool {
		return x.near.pools.get("stock").pool.Engine().OpenCalls() == n
	})
	awaitPromptly(x.t, "the server's sidecar still has the request", func() bool { return x.far[0].inbound.openRequests.Load() == n })
}

// A caller leaves on whose connection another call came while the first ran: both are cancelled.
func TestClientGoneCancelsCallsPipelinedLater(t *testing.T) {
	x := startCallChain(t, 1)
	running, ended := make(chan *arrival, maxScriptedArrivals), make(chan bool, maxScriptedArrivals)
	x.attachServer(0, func(a *arrival) bool {
		running <- a
		a.awaitEnd()
		ended <- true
		return false
	})
	x.occupyUpstream()
	caller := x.dial()
	for range 2 {
		_, err := fmt.Fprintf(caller.c, "GET /often/plain HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n\r\n", chainHost, newAttemptID())
		assert.NilError(t, err)
		receivePromptly(t, "a call never ran", running)
	}
	caller.c.Close()
	for range 2 {
		receivePromptly(t, "the server is still at work for a caller that has gone", ended)
	}
}

// untilWindowsAreFull is longer than it takes until a server that streams can write no more, because its caller does not read.
const untilWindowsAreFull = time.Second

// A caller that reads no more leaves while a streamed response waits for it: server and sidecar let go of the request.
func TestClientGoneWhileStreamWaits(t *testing.T) {
	for _, kind := range []kindOfCall{repeatableCall, onceCall} {
		t.Run(string(kind), func(t *testing.T) {
			t.Parallel()
			x := startCallChain(t, 1)
			ended := make(chan bool, maxScriptedArrivals)
			x.attachServer(0, func(a *arrival) bool {
				a.readBody()
				a.beginChunks()
				for a.writeChunk(strings.Repeat("x", 16<<10)) {
				}
				ended <- true
				return false
			})
			x.occupyUpstream()
			caller := x.dial()
			caller.write(newAttemptID(), kind, testkit.Limit)
			caller.readHead()
			time.Sleep(untilWindowsAreFull)
			caller.c.Close()
			receivePromptly(t, "the server still streams to a caller that has gone", ended)
			x.awaitOpenCalls(1)
		})
	}
}
