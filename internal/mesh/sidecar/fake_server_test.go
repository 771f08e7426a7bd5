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

// fakeServer is a server beside a sidecar. It runs requests that it has read completely, and responds as the path of the call says.
type fakeServer struct {
	id, addr string
	history  *callHistory
	hold     atomic.Pointer[chan struct{}] // answers wait until that is closed
}

func startFakeServer(t testing.TB, id string, history *callHistory) *fakeServer {
	t.Helper()
	a := &fakeServer{id: id, history: history}
	a.addr = testkit.Listen(t, a.serve)
	return a
}

const httpHeadEnd = "\r\n\r\n"

func (a *fakeServer) serve(c net.Conn, r *bufio.Reader) {
	before := "" // the call answered before on this connection
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(req.Body); err != nil {
			return // not complete
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
		a.history.ran(id, a.id)
		if hold := a.hold.Load(); hold != nil {
			<-*hold
		}
		if _, err := io.WriteString(c, answerAs(how, id, before)); err != nil {
			return
		}
		before = id
	}
}

// answerAs returns a response as text, or what a faulty server sends instead.
func answerAs(how, id, before string) string {
	complete := func(id, more string) string {
		body := bodyOf(id) + more
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\nContent-Length: %d%s%s",
			id, sealOf(id), len(body), httpHeadEnd, body)
	}
	switch how {
	case "twice": // in one segment
		return complete(id, "") + complete(id, "")
	case "late": // the answer before comes once more, in place of this
		if before != "" {
			return complete(before, "") + complete(id, "")
		}
	case "wrong": // another's alone, and no more
		return complete("nobody", "")
	case "unnamed": // a success that says not whose it is
		return strings.Replace(complete(id, ""), "Attempt-Id: "+id+"\r\n", "", 1)
	case "failed": // without saying whose it is
		return "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	case "contrary": // it has run it, and says that it has not
		return strings.Replace(complete(id, ""), "\r\n", "\r\nNot-Executed: 1\r\n", 1)
	case "more": // bytes beyond the length
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
