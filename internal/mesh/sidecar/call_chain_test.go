package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/logring"
	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/testkit"
)

// A call chain is the complete path of a call in one process: caller, sidecar, transport, sidecar, server. Both hops pass through relays, which cut
// connections where a test wants it, and the control plane is a fake.

const chainHost = "shop.example"

// freeAddr returns a loopback address on which nothing listens.
func freeAddr(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(256), 1+rand.IntN(250)))
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// listenAndServe listens on a free address until the test ends, and serves each connection on its own goroutine.
func listenAndServe(t testing.TB, serve func(net.Conn)) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp4", freeAddr(t))
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(accepted)
		}
	}()
	return listener.Addr().String()
}

// callChain is a caller's sidecar, and sidecars beside fake servers, each behind a relay.
type callChain struct {
	t              testing.TB
	history        *callHistory
	controlPlane   *fakeControlPlane
	near           *Sidecar
	terminateNear  func() // begins the shutdown of near
	far            []*Sidecar
	terminateFar   []func() // begin the shutdown of each
	fakeServers    []*fakeServer
	upstreamRelays []*relay // between near and each far sidecar
	serverRelays   []*relay // between each far sidecar and its server
}

var lastAttemptNumber atomic.Uint64

// startCallChain starts a chain with a number of servers, and waits until calls succeed.
func startCallChain(t testing.TB, servers int) *callChain {
	t.Helper()
	x := &callChain{t: t, history: newCallHistory()}
	rule := func(name string) string {
		kind := map[string]string{"once": "non_idempotent", "keyed": "keyed", "often": "idempotent"}[name]
		return fmt.Sprintf(`{"Name":"%s","RouteType":"%s","TargetLatencyS":1,"Priority":1,"ConfigVersion":1,"MatchCriteria":{"PathPrefix":"/%s/"},
			"ForwardAction":{"Service":"stock","TimeoutS":20,"RetryCount":3}}`, name, kind, name)
	}
	x.controlPlane = startFakeControlPlane(t, fmt.Sprintf(`{"Upsert":{"ListenerList":[{"HostName":"%s","PolicyRules":[%s,%s,%s]}],
		"UpstreamGroups":[{"Name":"stock","HealthPath":"/health","MaxConnections":1000,"Protocol":"h1","TlsEnabled":false,
			"DedupEnabled":false,"ConfigVersion":1}]}}`,
		chainHost, rule("once"), rule("keyed"), rule("often")))
	for n := range servers {
		far := x.newSidecar(fmt.Sprint("far-", n), "stock")
		r := startRelay(t, far.Addr(), &upstreamFraming{})
		x.controlPlane.mu.Lock()
		x.controlPlane.seenAs[far.Addr()] = r.addr
		x.controlPlane.mu.Unlock()
		a := startFakeServer(t, fmt.Sprint("i-", n), x.history)
		s := startRelay(t, a.addr, &httpFraming{})
		x.far, x.upstreamRelays = append(x.far, far), append(x.upstreamRelays, r)
		x.fakeServers, x.serverRelays = append(x.fakeServers, a), append(x.serverRelays, s)
		assert.NilError(t, far.localServer.heartbeat(a.id, Heartbeat{
			Address: s.addr, SystemInfo: SystemInfo{Service: "stock", SlotCount: 256},
			OperStatus: OperationalStatus{State: "ready", CallSeq: 1},
		}))
		x.terminateFar = append(x.terminateFar, runSidecar(t, far))
	}
	x.near = x.newSidecar("near", "caller")
	x.terminateNear = runSidecar(t, x.near)
	await(t, func() bool {
		n := 0
		for _, r := range x.near.directory.table.Load().All() {
			if r.ServerID != "" && r.State == directory.ServerReady {
				n++
			}
		}
		return n == servers && x.near.readiness.configured.Load() && x.near.controlPlane.isReachable() &&
			x.call(onceCall, "plain", "", 2*time.Second).Status == 200
	})
	return x
}

// await waits until a condition holds, and fails the test after testkit.Limit.
func await(t testing.TB, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(testkit.Limit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the awaited condition did not hold within the time limit")
		}
	}
}

// discardRing returns a log ring whose content is not used.
var discardRing = sync.OnceValue(func() *logring.Ring {
	_, ring := logring.New(io.Discard, "test")
	return ring
})

func (x *callChain) newSidecar(name, service string) *Sidecar {
	x.t.Helper()
	host, port, err := net.SplitHostPort(x.controlPlane.addr)
	assert.NilError(x.t, err)
	first, err := strconv.Atoi(port)
	assert.NilError(x.t, err)
	set := settings.Defaults()
	set.NodeName, set.IPAddress, set.Zone, set.Service = name, "127.0.0.1", "zone", service
	set.SeedNodes, set.InternalPortRange = []string{net.JoinHostPort(host, "1")}, []int{first, first + 1}
	set.HeartbeatS, set.Bounds.GraceS = 600, 0.2
	set.ListenAddrs = settings.ListenAddresses{
		Inbound: freeAddr(x.t), Outbound: freeAddr(x.t), Readiness: freeAddr(x.t),
		ControlPlane: freeAddr(x.t),
	}
	l, err := New(set, zerolog.Nop(), discardRing())
	assert.NilError(x.t, err)
	l.localServer.instances.startedAt = time.Time{} // it believes heartbeats, as a sidecar that was started long ago
	return l
}

// runSidecar runs a sidecar until the test ends, or until terminate has been called.
func runSidecar(t testing.TB, l *Sidecar) (terminate func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return cancel
}

// callerConn is a connection of a caller, for any number of calls one after another.
type callerConn struct {
	x          *callChain
	c          net.Conn
	r          *bufio.Reader
	mustRedial bool // the latest response closes the connection
}

// outbound returns the address of the near sidecar's outbound listener.
func (x *callChain) outbound() string { return x.near.env.settings.Load().ListenAddrs.Outbound }

func (x *callChain) dial() *callerConn {
	x.t.Helper()
	c, err := net.Dial("tcp4", x.outbound())
	assert.NilError(x.t, err)
	return &callerConn{x: x, c: c, r: bufio.NewReader(c)}
}

// newAttemptID returns a new Attempt-Id.
func newAttemptID() string { return fmt.Sprintf("a%07d", lastAttemptNumber.Add(1)) }

// call makes one call on a new connection. behavior is the last segment of its path, which selects what the fake server does.
func (x *callChain) call(kind kindOfCall, behavior, key string, budget time.Duration) callerAnswer {
	return x.callWithID(newAttemptID(), kind, behavior, key, budget)
}

// callWithID makes one call with an Attempt-Id on a new connection.
func (x *callChain) callWithID(attempt string, kind kindOfCall, behavior, key string, budget time.Duration) callerAnswer {
	c := x.dial()
	defer c.c.Close()
	return c.call(attempt, kind, behavior, key, budget)
}

const callBody = "twelve bytes"

// uploadBytes is the length of a body that is uploaded in chunks.
const uploadBytes = 200_000

// call makes one call, reads its response and records both in the history.
func (c *callerConn) call(attempt string, kind kindOfCall, behavior, key string, budget time.Duration) callerAnswer {
	c.x.history.recordCall(attempt, kind, key)
	t := c.exchange(attempt, kind, behavior, key, budget)
	c.x.history.recordResponse(attempt, t)
	return t
}

// exchange writes one call and reads its response. It uses a new connection if the previous response has closed the current one.
func (c *callerConn) exchange(attempt string, kind kindOfCall, behavior, key string, budget time.Duration) callerAnswer {
	if c.mustRedial {
		c.c.Close()
		*c = *c.x.dial()
	}
	c.c.SetDeadline(time.Now().Add(budget + testkit.Limit))
	if _, err := io.WriteString(c.c, requestText(attempt, kind, behavior, key, budget)); err != nil {
		return callerAnswer{}
	}
	return c.readAnswer()
}

// requestText returns the HTTP/1.1 text of a call.
func requestText(attempt string, kind kindOfCall, behavior, key string, budget time.Duration) string {
	body := callBody
	if behavior == "upload" {
		body = strings.Repeat("x", uploadBytes)
	}
	head := fmt.Sprintf("POST /%s/%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Budget: %d\r\nContent-Length: %d\r\n",
		kind, behavior, chainHost, attempt, budget.Milliseconds(), len(body))
	if key != "" {
		head += "Operation-Key: " + key + "\r\n"
	}
	return head + "\r\n" + body
}

// readAnswer reads one response. It returns the zero value if the connection ends before a response is complete.
func (c *callerConn) readAnswer() callerAnswer {
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return callerAnswer{}
	}
	c.mustRedial = resp.Close
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return callerAnswer{}
	}
	return callerAnswer{
		Status: resp.StatusCode, AttemptID: resp.Header.Get(headerAttemptID), Seal: resp.Header.Get(headerServerSeal),
		Body: string(text), RetryAfter: resp.Header.Get(headerRetryAfter),
	}
}

// assertNoViolations reports each violation that the history contains as an error of the test.
func (x *callChain) assertNoViolations() {
	x.t.Helper()
	for _, v := range x.history.violations() {
		x.t.Error(v)
	}
}
