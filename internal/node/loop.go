package node

import (
	"bytes"
	"context"
	"io"
	"log"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"hollyspur"
)

// clock is Unix time that never goes back: the wall's at the start plus what has passed since.
type clock struct{ start time.Time }

func (c clock) now() time.Duration {
	return time.Duration(c.start.UnixNano()) + time.Since(c.start)
}

// request is a caller's request. The loop owns it, but for what the front fills in before accept
// and for the atomic.
type request struct {
	id       string // ours: a caller's id may come again
	callerID string
	class    string
	repeat   bool
	cost     time.Duration
	deadline time.Duration // clock time by which the module is to answer
	last     time.Duration // clock time at which the node answers for it
	forward  *http.Request // what goes to a server
	body     []byte
	answer   chan answer // holds the final answer; never blocks

	finished atomic.Bool // answered, or its caller has gone; set by the loop alone
	lastCall *time.Timer // for an answer by the node itself
	attempts []*attempt
	out      int // attempts that have not ended
}

// answer is the final answer to a caller.
type answer struct {
	status      int
	body        []byte
	contentType string
	retryAfter  time.Duration
}

// attempt is one Send of the module.
type attempt struct {
	req    *request
	n      int
	server string
	sent   time.Duration
	cancel context.CancelCauseFunc
}

// module decides; hollyspur.Balancer is the one in service.
type module interface {
	Handle(now time.Duration, e hollyspur.Event) []hollyspur.Action
}

// loop owns the module. All its methods but post run on the one goroutine of run; I/O happens on
// others, which post what came of it.
type loop struct {
	clock       clock
	module      module
	upstream    *upstream
	discovery   *discovery
	maxAttempts int
	pushed      bool // the list comes unasked: the node watches without a Subscribe
	events      chan func()
	done        chan struct{} // closed when run has ended

	queue     []hollyspur.Event // for the module, in order
	requests  map[string]*request
	callerIDs map[string]bool // of requests
	servers   map[string]*server
	rev       int64 // of the list we hold
	nextID    uint64
	stopWatch context.CancelFunc
}

func newLoop(cfg Config, m module, up *upstream, disc *discovery) *loop {
	return &loop{clock: clock{time.Now()}, module: m, upstream: up, discovery: disc,
		maxAttempts: cfg.Settings.MaxAttempts, pushed: !cfg.Settings.AskDiscovery,
		events: make(chan func(), 1024), done: make(chan struct{}),
		requests: map[string]*request{}, callerIDs: map[string]bool{}, servers: map[string]*server{},
		stopWatch: func() {}}
}

// run works off events until ctx ends.
func (l *loop) run(ctx context.Context) {
	defer close(l.done)
	defer func() { l.stopWatch() }()
	sweep := time.NewTicker(time.Second)
	defer sweep.Stop()
	for {
		select {
		case f := <-l.events:
			f()
		case <-sweep.C:
			go l.upstream.sweepStale()
		case <-ctx.Done():
			return
		}
	}
}

// post hands the loop something to do. It may wait, so the loop itself must not call it.
func (l *loop) post(f func()) {
	select {
	case l.events <- f:
	case <-l.done:
	}
}

// after posts f when d has passed.
func (l *loop) after(d time.Duration, f func()) *time.Timer {
	return time.AfterFunc(d, func() { l.post(f) })
}

// handle gives the module an event, and then those that its own actions caused at once.
func (l *loop) handle(e hollyspur.Event) {
	l.queue = append(l.queue, e)
	for len(l.queue) > 0 {
		e := l.queue[0]
		l.queue = l.queue[1:]
		for _, a := range l.module.Handle(l.clock.now(), e) {
			l.carryOut(a)
		}
	}
}

func (l *loop) carryOut(a hollyspur.Action) {
	switch a := a.(type) {
	case hollyspur.Send:
		l.send(a)
	case hollyspur.Cancel:
		if r := l.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
			r.attempts[a.Attempt].cancel(errWithdrawn)
		}
	case hollyspur.Refuse:
		l.finish(a.ID, answer{status: http.StatusServiceUnavailable, retryAfter: a.RetryAfter})
	case hollyspur.Fail:
		l.finish(a.ID, answer{status: http.StatusBadGateway})
	case hollyspur.Wake:
		l.after(a.At-l.clock.now(), func() { l.handle(hollyspur.Timer{Token: a.Token}) })
	case hollyspur.Subscribe:
		l.subscribe()
	}
}

// ---- Requests ----

// accept takes a request from the front.
func (l *loop) accept(r *request) {
	if l.callerIDs[r.callerID] {
		// Passed on it would be a second copy of the one that is open.
		r.finished.Store(true)
		r.answer <- answer{status: http.StatusConflict}
		return
	}
	l.callerIDs[r.callerID] = true
	l.nextID++
	r.id = strconv.FormatUint(l.nextID, 10)
	l.requests[r.id] = r
	// The module answers by the deadline; should it ever say nothing, the caller still gets an
	// answer in time.
	r.lastCall = l.after(r.last-l.clock.now(), func() {
		if !r.finished.Load() {
			log.Printf("request %s: no answer from the module by its deadline", r.id)
			l.abandon(r)
		}
	})
	l.handle(hollyspur.Request{ID: r.id, Class: r.class, Deadline: r.deadline, Repeat: r.repeat,
		Cost: r.cost})
}

// abandon fails a request without the module, which is told that nothing is owed any more.
func (l *loop) abandon(r *request) {
	l.finish(r.id, answer{status: http.StatusBadGateway})
	l.handle(hollyspur.ClientGone{ID: r.id})
}

// abandonAll fails whatever is unanswered.
func (l *loop) abandonAll() {
	for _, r := range l.requests {
		if !r.finished.Load() {
			l.abandon(r)
		}
	}
}

// gone notes that a caller has closed its connection.
func (l *loop) gone(r *request) {
	if l.close(r) {
		l.handle(hollyspur.ClientGone{ID: r.id})
		l.forget(r)
		return
	}
	select {
	case a := <-r.answer: // which nobody will read
		l.upstream.free(a.body)
	default:
	}
}

// finish gives a request its final answer, once; false if it had one.
func (l *loop) finish(id string, a answer) bool {
	r := l.requests[id]
	if r == nil || !l.close(r) {
		return false
	}
	r.answer <- a
	l.forget(r)
	return true
}

// close finishes a request; false if it was before.
func (l *loop) close(r *request) bool {
	if !r.finished.CompareAndSwap(false, true) {
		return false
	}
	r.lastCall.Stop()
	return true
}

// forget drops a request that is finished and has no attempt out.
func (l *loop) forget(r *request) {
	if r.finished.Load() && r.out == 0 {
		delete(l.requests, r.id)
		delete(l.callerIDs, r.callerID)
	}
}

// ---- Attempts ----

// send starts an attempt. Every Send gets exactly one Outcome.
func (l *loop) send(a hollyspur.Send) {
	r := l.requests[a.ID]
	if r == nil {
		log.Printf("send for the unknown request %s", a.ID)
		return
	}
	now := l.clock.now()
	timeout := r.deadline - now
	if a.Timeout != 0 { // 0: until the deadline
		timeout = min(timeout, a.Timeout)
	}
	ctx, cancel := context.WithCancelCause(context.Background())
	at := &attempt{req: r, n: len(r.attempts), server: a.Server, sent: now, cancel: cancel}
	r.attempts = append(r.attempts, at)
	r.out++
	s := l.servers[a.Server]
	if r.finished.Load() || timeout <= 0 || s == nil || l.maxAttempts > 0 && at.n >= l.maxAttempts {
		l.queue = append(l.queue, l.end(at, result{ending: hollyspur.Void}))
		return
	}
	ctx, stop := context.WithTimeoutCause(ctx, timeout, errTimedOut)
	out := r.forward.Clone(ctx)
	if len(r.body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(r.body))
	}
	out.Header.Set("X-Time-Left", timeLeft(timeout))
	go func() {
		res := l.upstream.attempt(ctx, s, out, func() bool { return !r.finished.Load() })
		stop()
		l.post(func() { l.handle(l.end(at, res)) })
	}()
}

// end notes that an attempt has ended and words it for the module. The first success is the
// request's answer.
func (l *loop) end(at *attempt, res result) hollyspur.Outcome {
	r := at.req
	at.cancel(nil)
	r.out--
	if res.ending == hollyspur.Success &&
		!l.finish(r.id, answer{status: http.StatusOK, body: res.body, contentType: res.contentType}) {
		l.upstream.free(res.body)
	}
	l.forget(r)
	return hollyspur.Outcome{ID: r.id, Attempt: at.n, Server: at.server, Ending: res.ending,
		Latency: l.clock.now() - at.sent, Ended: r.finished.Load()}
}

// ---- Discovery ----

// takeList applies news of the servers: first to what the I/O may use, then to the module.
func (l *loop) takeList(list List, cached bool) {
	l.rev = list.Rev
	listed := map[string]bool{}
	e := hollyspur.ServerList{Full: list.All, Cached: cached}
	for _, t := range list.Targets {
		sv := t.server()
		e.Servers = append(e.Servers, sv)
		listed[t.UID] = sv.State != hollyspur.Gone
		s := l.servers[t.UID]
		if s == nil || s.addr != t.Endpoint || s.boot != sv.Boot {
			// Connections to an earlier process or address are of no use.
			l.removeServer(t.UID)
			s = &server{id: t.UID, addr: t.Endpoint, boot: sv.Boot}
			l.servers[t.UID] = s
		}
		s.usable.Store(sv.State == hollyspur.Ready)
		if sv.State != hollyspur.Ready {
			l.upstream.dropIdle(s)
		}
		if sv.State == hollyspur.Gone {
			l.removeServer(t.UID)
		}
	}
	if list.All {
		for id := range l.servers {
			if !listed[id] {
				l.removeServer(id)
			}
		}
	}
	l.handle(e)
}

func (l *loop) removeServer(id string) {
	if s := l.servers[id]; s != nil {
		s.usable.Store(false)
		l.upstream.dropIdle(s)
		delete(l.servers, id)
	}
}

const (
	// rewatch is how long a broken watch rests where the list comes unasked; elsewhere the module says.
	rewatch = time.Second
	// moveAgain is the rest between tries to reach a new discovery for the first time. What it has to
	// tell counts as told 4 s after the reload, which leaves no time for the module's growing waits.
	moveAgain = 500 * time.Millisecond
	// watchRest follows every failure, whatever the module's wait: it has none if AskWithin is unset.
	watchRest = 50 * time.Millisecond
)

// moveWatch goes over to the discovery at another address. Its revisions do not compare with those
// of the one before, so it is asked for the whole list first.
func (l *loop) moveWatch(addr string) {
	if addr == l.discovery.addr {
		return
	}
	log.Printf("discovery is at %s from now on", addr)
	l.discovery = l.discovery.at(addr)
	l.rev = unknownRev
	l.subscribe()
}

// subscribe opens a watch in place of the one before.
func (l *loop) subscribe() {
	l.stopWatch()
	ctx, cancel := context.WithCancel(context.Background())
	l.stopWatch = cancel
	d, since := l.discovery, l.rev
	go func() {
		err := d.watch(ctx, since, func(list List) {
			l.post(func() {
				if ctx.Err() == nil { // else a newer watch tells the same
					l.takeList(list, false)
				}
			})
		})
		l.post(func() {
			if ctx.Err() != nil {
				return
			}
			log.Printf("watch: %v", err)
			rest, then := watchRest, func() { l.handle(hollyspur.ListFailed{}) }
			switch {
			case l.rev == unknownRev:
				rest, then = moveAgain, l.subscribe
			case l.pushed:
				rest, then = rewatch, l.subscribe
				l.handle(hollyspur.ListFailed{})
			}
			l.after(rest, func() {
				if ctx.Err() == nil { // else another was opened meanwhile
					then()
				}
			})
		})
	}()
}
