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
