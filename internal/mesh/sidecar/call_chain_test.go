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

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/idempotency"
	"cranegrade/internal/mesh/logring"
	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/testkit"
)

// A chain is the real way of a call in one process: caller, line, trunk, line, server, with relays on both hops and a stand-in
// for the registers. Tests cut it where they want.

const chainHost = "shop.example"

// freeAddr is a loopback address that nothing listens on.
func freeAddr(t testing.TB) string {
	t.Helper()
	l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(256), 1+rand.IntN(250)))
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// fakeControlPlane stands in for the registers: items, records and keys, all in touch.
type fakeControlPlane struct {
	addr string

	mu            sync.Mutex // guards below
	items         *wire.ItemsT
	seenAs        map[string]string // a line's address as the others are told it
	records       map[string]*wire.RecordT
	conns         map[*transport.Conn]bool
	store         *idempotency.Store
	overrideGrant func(idempotency.LeaseRequest, idempotency.LeaseResult) idempotency.LeaseResult // planted; nil: none
	// late holds back the answers to claims, or with taken the claims themselves, until it is closed; nil: nothing does
	heldBack     chan struct{}
	holdRequests bool
}

func startFakeControlPlane(t testing.TB, configuration string) *fakeControlPlane {
	t.Helper()
	items, err := config.ParseItems([]byte(configuration))
	assert.NilError(t, err)
	r := &fakeControlPlane{items: config.ItemsToWire(items), seenAs: map[string]string{}, records: map[string]*wire.RecordT{}, conns: map[*transport.Conn]bool{}, store: idempotency.New()}
	r.items.Complete, r.items.Index = true, 1
	l, err := net.Listen("tcp4", freeAddr(t))
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	r.addr = l.Addr().String()
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				if c, err := transport.Accept(nc, func() *wire.HeartbeatT { return &wire.HeartbeatT{QuorumContact: true} }); err == nil {
					r.serve(c)
				}
			}()
		}
	}()
	return r
}

func (r *fakeControlPlane) serve(c *transport.Conn) {
	r.mu.Lock()
	r.conns[c] = true
	r.mu.Unlock()
	c.Send(&wire.HeartbeatT{QuorumContact: true})
	r.broadcast()
	for {
		m, err := c.Receive()
		if err != nil {
			break
		}
		switch v := m.Value.(type) {
		case *wire.RecordsT:
			r.mu.Lock()
			for _, x := range v.List {
				r.records[x.Addr] = x
			}
			r.mu.Unlock()
			r.broadcast()
		case *wire.CallT:
			r.reply(c, v)
		}
	}
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

// reply answers a call, at once or late.
func (r *fakeControlPlane) reply(c *transport.Conn, a *wire.CallT) {
	r.mu.Lock()
	late, taken := r.heldBack, r.holdRequests
	r.mu.Unlock()
	if late == nil || a.Kind != codec.CallLeaseKeys {
		c.Send(&wire.CallReplyT{Id: a.Id, Status: http.StatusOK, Body: r.answer(a)})
		return
	}
	var body []byte
	if !taken {
		body = r.answer(a)
	}
	go func() {
		<-late
		if taken {
			body = r.answer(a)
		}
		c.Send(&wire.CallReplyT{Id: a.Id, Status: http.StatusOK, Body: body})
	}()
}

// broadcast tells all lines of all lines.
func (r *fakeControlPlane) broadcast() {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := &wire.RecordsT{}
	for addr, x := range r.records {
		y := *x
		if as := r.seenAs[addr]; as != "" {
			y.Addr = as
		}
		all.List = append(all.List, &y)
	}
	for c := range r.conns {
		c.Send(all)
	}
}

func (r *fakeControlPlane) answer(a *wire.CallT) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch a.Kind {
	case codec.CallItems:
		return codec.EncodeTable(r.items)
	case codec.CallActivePolicy:
		return codec.EncodeTable(&wire.ActivePolicyT{})
	case codec.CallLeaseKeys:
		out := &wire.KeyLeaseResultsT{}
		for _, c := range wire.GetRootAsKeyLeaseRequests(a.Body, 0).UnPack().List {
			claim := idempotency.LeaseRequest{Key: c.Key, Token: c.Token, Attempt: c.Attempt, Holder: c.Holder, Release: c.Release, Window: time.Duration(c.WindowUs) * time.Microsecond}
			g := r.store.Apply(time.Second, claim)
			if r.overrideGrant != nil {
				g = r.overrideGrant(claim, g)
			}
			out.List = append(out.List, &wire.KeyLeaseResultT{Granted: g.Granted, Holder: g.Current.Holder, Token: g.Current.Token})
		}
		return codec.EncodeTable(out)
	}
	return nil
}

// fakeServer is a server beside a line. It runs what it has read whole, and answers as the call's path says.
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
			return // not whole
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

// answerAs words an answer, or what a server in trouble sends in its place.
func answerAs(how, id, before string) string {
	whole := func(id, more string) string {
		body := bodyOf(id) + more
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\nContent-Length: %d%s%s", id, sealOf(id), len(body), httpHeadEnd, body)
	}
	switch how {
	case "twice": // in one segment
		return whole(id, "") + whole(id, "")
	case "late": // the answer before comes once more, in place of this
		if before != "" {
			return whole(before, "") + whole(id, "")
		}
	case "wrong": // another's alone, and no more
		return whole("nobody", "")
	case "unnamed": // a success that says not whose it is
		return strings.Replace(whole(id, ""), "Attempt-Id: "+id+"\r\n", "", 1)
	case "failed": // without a word of whose it is
		return "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	case "contrary": // it has run it, and says that it has not
		return strings.Replace(whole(id, ""), "\r\n", "\r\nNot-Executed: 1\r\n", 1)
	case "more": // bytes beyond the length
		return whole(id, "") + "and more"
	case "chunks":
		body := bodyOf(id)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Seal: %s\r\nTransfer-Encoding: chunked%s%x\r\n%s\r\n0\r\n\r\n", id, sealOf(id), httpHeadEnd, len(body), body)
	case "long":
		return whole(id, strings.Repeat("x", 200_000))
	}
	return whole(id, "")
}

// callChain is a caller's line and lines beside servers, each behind a relay.
type callChain struct {
	t              testing.TB
	history        *callHistory
	controlPlane   *fakeControlPlane
	near           *Sidecar
	far            []*Sidecar
	fakeServers    []*fakeServer
	upstreamRelays []*relay // on the way from near to each far line
	serverRelays   []*relay // on the way from each far line to its server
}

var lastAttemptNumber atomic.Uint64

// startCallChain starts a chain with so many servers.
func startCallChain(t testing.TB, servers int) *callChain {
	t.Helper()
	x := &callChain{t: t, history: newCallHistory()}
	rule := func(name string) string {
		kind := map[string]string{"once": "non_idempotent", "keyed": "keyed", "often": "idempotent"}[name]
		return fmt.Sprintf(`{"Name":"%s","RouteType":"%s","TargetLatencyS":1,"Priority":1,"ConfigVersion":1,"MatchCriteria":{"PathPrefix":"/%s/"},
			"ForwardAction":{"Service":"stock","TimeoutS":20,"RetryCount":3}}`, name, kind, name)
	}
	x.controlPlane = startFakeControlPlane(t, fmt.Sprintf(`{"Upsert":{"ListenerList":[{"HostName":"%s","PolicyRules":[%s,%s,%s]}],
		"UpstreamGroups":[{"Name":"stock","HealthPath":"/health","MaxConnections":1000,"Protocol":"h1","TlsEnabled":false,"DedupEnabled":false,"ConfigVersion":1}]}}`,
		chainHost, rule("once"), rule("keyed"), rule("often")))
	for n := range servers {
		far := x.newSidecar(fmt.Sprint("far-", n), "stock")
		r := startRelay(t, far.Addr(), &upstreamFraming{})
		x.controlPlane.mu.Lock()
		x.controlPlane.seenAs[far.Addr()] = r.addr
		x.controlPlane.mu.Unlock()
		a := startFakeServer(t, fmt.Sprint("i-", n), x.history)
		s := startRelay(t, a.addr, &httpFraming{})
		x.far, x.upstreamRelays, x.fakeServers, x.serverRelays = append(x.far, far), append(x.upstreamRelays, r), append(x.fakeServers, a), append(x.serverRelays, s)
		assert.NilError(t, far.localServer.heartbeat(a.id, Heartbeat{Address: s.addr, SystemInfo: SystemInfo{Service: "stock", SlotCount: 256}, OperStatus: OperationalStatus{State: "ready", CallSeq: 1}}))
		runSidecar(t, far)
	}
	x.near = x.newSidecar("near", "caller")
	runSidecar(t, x.near)
	await(t, func() bool {
		n := 0
		for _, r := range x.near.directory.Load().All() {
			if r.ServerID != "" && r.State == directory.ServerReady {
				n++
			}
		}
		return n == servers && x.near.serving.Load() && x.near.controlPlane.isReachable() && x.call(onceCall, "plain", "", 2*time.Second).Status == 200
	})
	return x
}

func await(t testing.TB, ok func() bool) {
	t.Helper()
	for until := time.Now().Add(testkit.Limit); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("waited in vain")
		}
	}
}

// discardRing is a log that nobody reads: making one sets what is the process's own.
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
	set.ListenAddrs = settings.ListenAddresses{Inbound: freeAddr(x.t), Outbound: freeAddr(x.t), Readiness: freeAddr(x.t), ControlPlane: freeAddr(x.t)}
	l, err := New(set, zerolog.Nop(), discardRing())
	assert.NilError(x.t, err)
	return l
}

// runSidecar runs a line until the test's end.
func runSidecar(t testing.TB, l *Sidecar) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
}

// callerConn is a connection of a caller, for any number of calls in turn.
type callerConn struct {
	x          *callChain
	c          net.Conn
	r          *bufio.Reader
	mustRedial bool // the latest answer said that none follows here
}

// outbound is where callers connect.
func (x *callChain) outbound() string { return x.near.settings.Load().ListenAddrs.Outbound }

func (x *callChain) dial() *callerConn {
	x.t.Helper()
	c, err := net.Dial("tcp4", x.outbound())
	assert.NilError(x.t, err)
	return &callerConn{x: x, c: c, r: bufio.NewReader(c)}
}

// newAttemptID is a new id of a call.
func newAttemptID() string { return fmt.Sprintf("a%07d", lastAttemptNumber.Add(1)) }

// call makes one call on a connection of its own.
func (x *callChain) call(kind kindOfCall, how, key string, budget time.Duration) callerAnswer {
	return x.callAs(newAttemptID(), kind, how, key, budget)
}

func (x *callChain) callAs(attempt string, kind kindOfCall, how, key string, budget time.Duration) callerAnswer {
	c := x.dial()
	defer c.c.Close()
	return c.call(attempt, kind, how, key, budget)
}

const callBody = "twelve bytes"

// uploadBytes is a body that comes in pieces.
const uploadBytes = 200_000

// call makes one call and reads its one answer.
func (c *callerConn) call(attempt string, kind kindOfCall, how, key string, budget time.Duration) callerAnswer {
	c.x.history.asked(attempt, kind, key)
	t := c.exchange(attempt, kind, how, key, budget)
	c.x.history.answered(attempt, t)
	return t
}

// exchange writes one call and reads its answer, on another connection where the answer before said that it is the last one.
func (c *callerConn) exchange(attempt string, kind kindOfCall, how, key string, budget time.Duration) callerAnswer {
	if c.mustRedial {
		c.c.Close()
		*c = *c.x.dial()
	}
	c.c.SetDeadline(time.Now().Add(budget + testkit.Limit))
	if _, err := io.WriteString(c.c, requestText(attempt, kind, how, key, budget)); err != nil {
		return callerAnswer{}
	}
	return c.readAnswer()
}

// requestText is a call as its caller writes it.
func requestText(attempt string, kind kindOfCall, how, key string, budget time.Duration) string {
	body := callBody
	if how == "upload" {
		body = strings.Repeat("x", uploadBytes)
	}
	head := fmt.Sprintf("POST /%s/%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Budget: %d\r\nContent-Length: %d\r\n", kind, how, chainHost, attempt, budget.Milliseconds(), len(body))
	if key != "" {
		head += "Operation-Key: " + key + "\r\n"
	}
	return head + "\r\n" + body
}

// readAnswer reads one answer; the zero told where there is no whole one.
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
	return callerAnswer{Status: resp.StatusCode, AttemptID: resp.Header.Get(headerAttemptID), Seal: resp.Header.Get(headerServerSeal), Body: string(text), RetryAfter: resp.Header.Get(headerRetryAfter)}
}

// assertNoViolations fails the test for each rule that was broken.
func (x *callChain) assertNoViolations() {
	x.t.Helper()
	for _, v := range x.history.violations() {
		x.t.Error(v)
	}
}
