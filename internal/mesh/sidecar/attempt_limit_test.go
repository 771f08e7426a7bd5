package sidecar

import (
	"fmt"
	"io"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/testkit"
)

// If all servers reject a call, it is sent to as many servers as its route allows attempts, and to no more.
func TestAttemptsAreBoundedByTheRoute(t *testing.T) {
	const servers, calls = 4, 5
	x := startCallChain(t, servers)
	var mu sync.Mutex // guards attemptsByID
	attemptsByID := map[string]int{}
	for n := range x.far {
		x.attachServer(n, func(a *arrival) bool {
			a.readBody()
			mu.Lock()
			attemptsByID[a.attemptID()]++
			mu.Unlock()
			_, err := io.WriteString(a.conn, "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		})
	}
	for _, allowed := range []int{1, 2} {
		name := fmt.Sprint("at-most-", allowed)
		x.configure(name, fmt.Sprintf(`{"Upsert":{"ListenerList":[{"HostName":"%s","PolicyRules":[{"Name":"%s","RouteType":"idempotent",
			"TargetLatencyS":0.1,"Priority":1,"ConfigVersion":2,"MatchCriteria":{"PathPrefix":"/%s/"},
			"ForwardAction":{"Service":"stock","TimeoutS":0.2,"RetryCount":%d}}]}]}}`, chainHost, name, name, allowed))
		mostAttempts := 0
		for range calls {
			id := newAttemptID()
			x.callWithID(id, kindOfCall(name), "plain", "", testkit.Limit)
			mu.Lock()
			assert.Assert(t, attemptsByID[id] <= allowed, "%d servers received a call whose route allows %d attempts", attemptsByID[id], allowed)
			mostAttempts = max(mostAttempts, attemptsByID[id])
			mu.Unlock()
		}
		assert.Equal(t, mostAttempts, allowed)
	}
}
