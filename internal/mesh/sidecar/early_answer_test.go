package sidecar

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/testkit"
)

// A server responds to a request before it has read the whole body, keeps the connection open and continues to read later. The caller gets the
// response, and the next calls are served over other connections. On the first connection the server reads only the rest of that body or the end of
// the connection, but no byte of another request.
func TestResponseBeforeEndOfRequestBody(t *testing.T) {
	x := startCallChain(t, 1)
	restOfConn := make(chan string, maxScriptedArrivals)
	readOn := make(chan struct{})
	x.attachServer(0, func(a *arrival) bool {
		if a.request.ContentLength < uploadBytes {
			a.readBody()
			a.succeed()
			return true
		}
		a.succeed()
		<-readOn
		_ = a.conn.SetReadDeadline(time.Now().Add(promptTimeout))
		text, _ := io.ReadAll(a.reader)
		restOfConn <- string(text)
		return false
	})
	caller := x.dial()
	defer caller.c.Close()
	text := requestText(newAttemptID(), repeatableCall, "upload", "", testkit.Limit/2)
	_, err := io.WriteString(caller.c, text[:len(text)-uploadBytes/4]) // the caller has not sent the end of the body yet
	assert.NilError(t, err)
	assert.Equal(t, caller.readAnswer().Status, http.StatusOK)
	for range 3 {
		await(t, func() bool { return x.call(repeatableCall, "plain", "", time.Second).Status == http.StatusOK })
	}
	close(readOn)
	got := receivePromptly(t, "the server read no end of the connection", restOfConn)
	assert.Equal(t, strings.Trim(got, "x"), "", "the server read bytes that are not part of the body")
}

// responseCut is a point in a response without a length at which its connection is reset.
type responseCut struct {
	name  string
	begun bool // whether the caller receives the head of the response before the reset
}

// A response without a length ends with its connection. If the server's connection is reset, the caller must not receive a successful response that
// looks complete, neither over HTTP/1.1 nor over HTTP/1.0.
func TestResetResponseWithoutLengthIsIncomplete(t *testing.T) {
	for _, cut := range []responseCut{{"before the caller has received anything", false}, {"after the caller has received the head", true}} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(fmt.Sprintf("%s, %s", cut.name, version), func(t *testing.T) {
				t.Parallel()
				x := startCallChain(t, 1)
				reset := make(chan struct{})
				x.attachServer(0, func(a *arrival) bool {
					a.readBody()
					fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\nConnection: close\r\n\r\nhalf of it",
						a.attemptID(), sealOf(a.attemptID()))
					<-reset
					_ = a.conn.(*net.TCPConn).SetLinger(0)
					return false
				})
				if !cut.begun {
					close(reset)
				}
				caller := x.dial()
				defer caller.c.Close()
				text := requestText(newAttemptID(), onceCall, "plain", "", testkit.Limit/2)
				_, err := io.WriteString(caller.c, strings.Replace(text, "HTTP/1.1", version, 1))
				assert.NilError(t, err)
				if cut.begun {
					_, err := caller.r.Peek(1)
					assert.NilError(t, err)
					close(reset)
				}
				assert.Assert(t, caller.readAnswer().Status != http.StatusOK, "a truncated response looks complete")
			})
		}
	}
}

// Guards against a keyed request that runs twice, and is answered 503 although it has run, because its server begins work before it has read the whole
// of a long body. It happened when the request ended before its last byte: the server broke off its early response or the connection, or the caller left.
// The request then counted as one that can't have run, and the lease of its key was released.
func TestLongKeyedRequestThatEndsEarlyRunsOnce(t *testing.T) {
	for name, c := range map[string]struct {
		end          func(a *arrival) // what the server does after it has begun
		callerLeaves bool             // once the server has begun
	}{
		"the server breaks off its response": {end: func(a *arrival) {
			fmt.Fprintf(a.conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\nContent-Length: 5000\r\n\r\na part of it",
				a.attemptID(), sealOf(a.attemptID()))
		}},
		"the server closes the connection": {end: func(*arrival) {}},
		"the server resets the connection": {end: func(a *arrival) { _ = a.conn.(*net.TCPConn).SetLinger(0) }},
		"the caller leaves":                {end: func(a *arrival) { a.awaitEnd() }, callerLeaves: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := startCallChain(t, 2)
			begun := make(chan string, maxScriptedArrivals)
			for n := range x.far {
				x.attachServer(n, func(a *arrival) bool {
					if a.request.ContentLength < uploadBytes {
						a.readBody()
						x.history.recordRun(a.attemptID(), x.fakeServers[n].id)
						a.succeed()
						return true
					}
					if _, err := io.CopyN(io.Discard, a.request.Body, uploadBytes/8); err != nil {
						return false
					}
					x.history.recordRun(a.attemptID(), x.fakeServers[n].id)
					begun <- a.attemptID()
					c.end(a)
					return false
				})
			}
			x.awaitServing()
			attempt, key := newAttemptID(), "k-"+newAttemptID()
			x.history.recordCall(attempt, keyedCall, key)
			caller := x.dial()
			defer caller.c.Close()
			text := requestText(attempt, keyedCall, "upload", key, testkit.Limit/2)
			_, err := io.WriteString(caller.c, text[:len(text)-uploadBytes/4]) // its end does not come before the server has begun
			assert.NilError(t, err)
			assert.Equal(t, receivePromptly(t, "the server did not begin", begun), attempt)
			answer := callerAnswer{}
			if c.callerLeaves {
				caller.c.Close()
			} else {
				answer = caller.readAnswer()
				assert.Equal(t, answer.Status, http.StatusBadGateway)
			}
			x.history.recordResponse(attempt, answer)
			await(t, func() bool { return x.far[0].inbound.openRequests.Load()+x.far[1].inbound.openRequests.Load() == 0 })
			for range 5 {
				answer := x.call(keyedCall, "upload", key, time.Second)
				assert.Assert(t, answer.Status == http.StatusBadGateway || answer.Status == http.StatusConflict, "%+v", answer)
			}
			x.assertNoViolations()
		})
	}
}

// awaitServing waits until calls to scripted servers succeed.
func (x *callChain) awaitServing() {
	x.t.Helper()
	await(x.t, func() bool { return x.call(repeatableCall, "plain", "", time.Second).Status == http.StatusOK })
}
