package sidecar

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"cranegrade/internal/testkit"
)

// fakeServer is a server beside a sidecar. It runs requests that it has read completely. The last element of the path selects its response.
type fakeServer struct {
	id, addr string
	history  *callHistory
	hold     atomic.Pointer[chan struct{}] // if set, responses are delayed until the channel is closed
}

func startFakeServer(t testing.TB, id string, history *callHistory) *fakeServer {
	t.Helper()
	a := &fakeServer{id: id, history: history}
	a.addr = testkit.Listen(t, a.serve)
	return a
}

const httpHeadEnd = "\r\n\r\n"

func (a *fakeServer) serve(c net.Conn, r *bufio.Reader) {
	previous := "" // the ID of the request that was answered before on this connection
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(req.Body); err != nil {
			return // the request is incomplete
		}
		id := req.Header.Get(headerAttemptID)
		if req.Header.Get(headerTargetInstance) != a.id {
			io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		how := req.URL.Path[strings.LastIndex(req.URL.Path, "/")+1:]
		if how == "shed" {
			io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		a.history.recordRun(id, a.id)
		if hold := a.hold.Load(); hold != nil {
			<-*hold
		}
		if _, err := io.WriteString(c, scriptedResponse(how, id, previous)); err != nil {
			return
		}
		previous = id
	}
}

// scriptedResponse returns the text of a response to the request id, or what a faulty server sends in its place. previous is the ID of the request
// that was answered before on the connection, or empty.
func scriptedResponse(how, id, previous string) string {
	complete := func(id, more string) string {
		body := bodyOf(id) + more
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\nContent-Length: %d%s%s",
			id, sealOf(id), len(body), httpHeadEnd, body)
	}
	switch how {
	case "twice": // the response is sent twice, in one segment
		return complete(id, "") + complete(id, "")
	case "late": // the previous response is sent again, before this one
		if previous != "" {
			return complete(previous, "") + complete(id, "")
		}
	case "wrong": // the response to another request, and nothing else
		return complete("nobody", "")
	case "unnamed": // a successful response without Attempt-Id
		return strings.Replace(complete(id, ""), "Attempt-Id: "+id+"\r\n", "", 1)
	case "failed": // an error response without Attempt-Id
		return "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	case "contrary": // the server has run the request, but claims that it has not
		return strings.Replace(complete(id, ""), "\r\n", "\r\nNot-Executed: 1\r\n", 1)
	case "more": // bytes beyond the Content-Length
		return complete(id, "") + "and more"
	case "chunks":
		body := bodyOf(id)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\nTransfer-Encoding: chunked%s%x\r\n%s\r\n0\r\n\r\n",
			id, sealOf(id), httpHeadEnd, len(body), body)
	case "long":
		return complete(id, strings.Repeat("x", 200_000))
	}
	return complete(id, "")
}
