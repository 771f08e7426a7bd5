package testkit

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
)

// EndWatch ends the open watch when it is sent on the lines of a RegistryStub.
const EndWatch = "end"

// RegistryStub starts a registry that lists servers as the test says, until the test ends. What is sent on lines, a message or
// "" for a heartbeat, is written to the open watch; EndWatch ends it. The path and query of each watch are sent on queries,
// when the watch before it can no longer receive from lines: its caller may be gone before its handler notices.
func RegistryStub(t testing.TB) (addr string, lines, queries chan string) {
	t.Helper()
	lines, queries = make(chan string), make(chan string, 100)
	var mu sync.Mutex       // guards endCurrent
	endCurrent := func() {} // ends the open watch
	var open sync.Mutex     // held by the open watch
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		watch, end := context.WithCancel(r.Context())
		mu.Lock()
		endBefore := endCurrent
		endCurrent = end
		mu.Unlock()
		endBefore()
		open.Lock()
		defer open.Unlock()
		queries <- r.URL.Path + "?" + r.URL.RawQuery
		w.WriteHeader(http.StatusOK)
		w.(http.Flusher).Flush()
		writeLines(watch, w, lines)
	}))
	t.Cleanup(s.CloseClientConnections)
	return strings.TrimPrefix(s.URL, "http://"), lines, queries
}

// writeLines writes lines to a watch until it ends.
func writeLines(watch context.Context, w http.ResponseWriter, lines <-chan string) {
	for {
		select {
		case line := <-lines:
			if line == EndWatch {
				return
			}
			fmt.Fprintln(w, line)
			w.(http.Flusher).Flush()
		case <-watch.Done():
			return
		}
	}
}

// Entry returns a server as the registry lists it.
func Entry(uid, state string) string {
	return fmt.Sprintf(`{"uid":%q,"endpoint":"127.0.0.1:1","az":"a","model":"m","pod_group":3,`+
		`"state":%q,"capacity_hint":2,"boot_ms":1500}`, uid, state)
}

// ListMessage returns a message of the registry. all says that the entries are the complete list.
func ListMessage(revision int, all bool, entries ...string) string {
	return fmt.Sprintf(`{"rev":%d,"all":%v,"targets":[%s]}`, revision, all, strings.Join(entries, ","))
}
