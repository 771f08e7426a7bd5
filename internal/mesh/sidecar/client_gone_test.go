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

// A caller closes its connection while the server runs its idempotent call or still receives the call's long body. The call is cancelled on both
// hops well before any timeout; the server sees the end of its connection.
func TestClientGoneCancelsRunningCall(t *testing.T) {
	for _, c := range []struct {
		name, behavior string
		unsent         int // bytes that the caller has not sent when it closes the connection
		readsRequest   bool
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
			text := requestText(newAttemptID(), repeatableCall, c.behavior, "", testkit.Limit)
			_, err := io.WriteString(caller.c, text[:len(text)-c.unsent])
			assert.NilError(t, err)
			receivePromptly(t, "the call did not reach the server", running)
			caller.c.Close()
			receivePromptly(t, "the server still runs a call whose caller has disconnected", ended)
			x.awaitOpenCalls(1)
		})
	}
}

// A caller closes a connection on which several calls run that arrived in one TCP segment: all of them are cancelled.
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
		receivePromptly(t, "a call did not reach the server", running)
	}
	caller.c.Close()
	for range calls {
		receivePromptly(t, "the server still runs a call whose caller has disconnected", ended)
	}
	x.awaitOpenCalls(1)
}

// A caller disconnects while it receives a streamed response: the connection to the server is closed.
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
	receivePromptly(t, "the server still streams to a caller that has disconnected", ended)
	x.awaitOpenCalls(1)
}

// A caller disconnects while its call waits for a retry after a rejected attempt: no further attempt is made.
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
	receivePromptly(t, "the call did not reach the server", arrivals)
	caller.c.Close()
	x.awaitOpenCalls(0)
	for len(arrivals) > 0 {
		<-arrivals // attempts that began before the sidecar noticed that the caller had disconnected
	}
	select {
	case <-arrivals:
		t.Error("a call reached the server after its caller had disconnected")
	case <-time.After(maxModuleRetryAfter): // longer than the decision module's pauses between attempts
	}
}

// A caller disconnects while its call waits for a server: a server that becomes ready later does not receive that call.
func TestClientGoneWhileWaitingForServer(t *testing.T) {
	x := startCallChain(t, 1)
	x.far[0].localServer.deregister(x.fakeServers[0].id)
	engine := x.near.pools.get("stock").pool.Engine()
	abandoned := map[string]bool{}
	await(t, func() bool { // until the caller's sidecar has removed the server from its list
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
			t.Errorf("%s reached the server after its caller had disconnected", id)
		}
	}
}

// hasAnswer reports whether any byte of a response has been received.
func (c *callerConn) hasAnswer() bool {
	_ = c.c.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
	_, err := c.r.Peek(1)
	return err == nil
}

// awaitOpenCalls waits until n calls are in flight at the near sidecar and at the first far sidecar.
func (x *callChain) awaitOpenCalls(n int64) {
	x.t.Helper()
	awaitPromptly(x.t, "the number of open calls at the caller's sidecar did not become the expected one", func() bool {
		return x.near.pools.get("stock").pool.Engine().OpenCalls() == n
	})
	awaitPromptly(x.t, "the number of open requests at the server's sidecar did not become the expected one", func() bool {
		return x.far[0].inbound.openRequests.Load() == n
	})
}

// A caller pipelines a second call while the first runs, and then disconnects: both calls are cancelled.
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
		receivePromptly(t, "a call did not reach the server", running)
	}
	caller.c.Close()
	for range 2 {
		receivePromptly(t, "the server still runs a call whose caller has disconnected", ended)
	}
}

// flowControlStallTime is longer than it takes to fill all flow-control windows and buffers between a sender and a peer that does not read.
const flowControlStallTime = time.Second

// A caller stops reading, so that a streamed response blocks on flow control, and then disconnects: server and sidecar end the request.
func TestClientGoneWhileStreamIsBlocked(t *testing.T) {
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
			time.Sleep(flowControlStallTime)
			caller.c.Close()
			receivePromptly(t, "the server still streams to a caller that has disconnected", ended)
			x.awaitOpenCalls(1)
		})
	}
}
