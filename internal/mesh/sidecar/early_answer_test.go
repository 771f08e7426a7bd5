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

// A server answers a long request before it has read the body, keeps the connection and reads on later. It gets what is left of that body or the
// connection's end, and no byte of another request; its answer reaches the caller, and the next call is served over another connection.
func TestAnswerBeforeTheEndOfALongBody(t *testing.T) {
	x := startCallChain(t, 1)
	rest := make(chan string, maxScriptedArrivals)
	later := make(chan struct{})
	x.attachServer(0, func(a *arrival) bool {
		if a.request.ContentLength < uploadBytes {
			a.readBody()
			a.succeed()
			return true
		}
		a.succeed()
		<-later
		_ = a.conn.SetReadDeadline(time.Now().Add(promptly))
		text, _ := io.ReadAll(a.reader)
		rest <- string(text)
		return false
	})
	caller := x.dial()
	defer caller.c.Close()
	text := requestText(newAttemptID(), repeatableCall, "upload", "", testkit.Limit/2)
	_, err := io.WriteString(caller.c, text[:len(text)-uploadBytes/4]) // the caller is not done yet
	assert.NilError(t, err)
	assert.Equal(t, caller.readAnswer().Status, http.StatusOK)
	for range 3 {
		await(t, func() bool { return x.call(repeatableCall, "plain", "", time.Second).Status == http.StatusOK })
	}
	close(later)
	got := receivePromptly(t, "the connection stays open", rest)
	assert.Equal(t, strings.Trim(got, "x"), "", "other bytes than the body's")
}

// responseCut says how much of a response without a length was sent when its connection was reset.
type responseCut struct {
	name  string
	begun bool // the caller has got the head of the response before the reset
}

// A response without a length ends with its connection. If that is reset, the caller does not get a complete response: neither one with a status
// of success whose end looks like that of a body, over HTTP/1.1 or 1.0, nor one that seems complete.
func TestResetResponseWithoutLengthIsIncomplete(t *testing.T) {
	for _, cut := range []responseCut{{"before the caller has any of it", false}, {"after the caller has its head", true}} {
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
				assert.Assert(t, caller.readAnswer().Status != http.StatusOK, "an incomplete response seems complete")
			})
		}
	}
}
