// The decisions of the balancer. This file dispatches events and follows a request from its arrival to its
// final answer; server_list.go applies discovery updates, selection.go picks a server, health.go
// ejects outliers, and admission.go holds the admission window, the retry budget and load shedding.

package balancer

import (
	"slices"
	"strings"
	"time"
)

// Constants are shares, ratios or counts: every duration is a setting or was measured.
const (
	leftShare               = 0.5   // share of the ready servers in the left group
	pooledWeight            = 0.06  // weight of a new sample in pooled averages (about 16 samples)
	serverWeight            = 0.25  // weight of a new sample in a single server's averages
	luckThreshold           = 0.08  // a run of errors likelier than this at the overall error rate is chance
	minErrorShare           = 0.01  // least error rate that is assumed
	overlongDeviations      = 3.0   // deviations above the mean latency beyond which a wait is overlong
	slowRatio               = 2.5   // multiple of the expected latency from which on a server is slow
	slowThinningPower       = 2.0   // exponent of a server's slowness by which its draws are thinned
	minSamples              = 3     // samples before a server can be called slow
	maxExcludedShare        = 0.2   // share of the ready servers that health may exclude
	ejectionLatencies       = 12    // mean latencies that a first ejection or refusal limit lasts
	maxEjectionLevel        = 5     // doublings of an ejection, at most
	windowFloor             = 5.0   // own calls for each server that are always admitted
	retryTokenPerSuccess    = 0.15  // retry tokens earned by a success
	unsentRetryCost         = 0.1   // cost of a retry whose previous attempt never ran; else 1
	maxRetryTokens          = 10    // capacity of the retry budget
	targetFill              = 0.6   // highest mean latency that admission accepts, as a share of the aim
	busyRatio               = 1.5   // and as a multiple of the lowest geometric mean measured
	calmRatio               = 0.4   // increase of that multiple while nothing is shed: a node that
	calmPower               = 16    // rejects nothing is not overloaded; exponent of its decrease
	shedding                = 4.0   // decrease of the accepted latency by shedding, per unevenness
	windowUp                = 0.02  // increase of the window by a timely answer
	windowGrowthCeiling     = 0.9   // share of the accepted latency above which the window does not grow
	windowUsedShare         = 0.8   // share of the window that must be in use for it to grow
	windowRoom              = 0.1   // further increase, times the margin below the accepted latency
	windowDown              = 0.1   // least decrease of the window by a late answer
	windowStart             = 5.0   // own calls admitted for each server before anything is measured
	windowMaxDecrease       = 0.3   // largest decrease by one late answer
	windowAbandonedDecrease = 3.0   // decrease by each abandoned call, once most calls are abandoned
	windowProbeShare        = 0.1   // share of windowFloor that remains then, to probe for recovery
	maxAbandonedShare       = 0.5   // share of abandoned calls above which the window gives up its floor
	minWindow               = 2.0   // own calls that may be in flight whatever the window
	tenantBoost             = 10    // factor on the value of a request whose tenant has been served nothing
	tenantFade              = 0.005 // decay of the tenants' counts with each request
	maxTenants              = 256   // tenants that are counted; the least active is replaced
	quotaBurstSeconds       = 1.0   // burst of a quota, in seconds of its rate
	preadmittedFactor       = 2.0   // multiple of the window up to which preadmitted classes are not queued
	shortTryShare           = 0.95  // share of the longest client timeout seen below which one marks a retry
	crowdedCalls            = 2     // least number of own calls at which a server is skipped as crowded
	fullSpreadCopies        = 40    // copies whose Subscribe calls are spread over all of AskWithin
	maxSubscribeBackoff     = 4     // longest backoff between failed Subscribe calls, in units of AskWithin

	baselineWeight   = pooledWeight / 128 // weight of an answer in raising the lowest mean of busyRatio
	newServersWeight = 0.25               // the same for the new share of the list, times its own weight
)

// Handle takes one event at the clock time now and returns what to do, in order.
func (b *Balancer) Handle(now time.Duration, e Event) []Action {
	b.now = max(b.now, now)
	b.actions = nil
	switch e := e.(type) {
	case ServerList:
		b.handleServerList(e)
	case Fleet:
		b.handleFleet(e)
	case Classes:
		b.handleClasses(e.Classes)
	case PeerReports:
		b.handlePeerReports(e)
	case ListFailed:
		b.subscribeFailures++
		b.scheduleSubscribe(e.Garbled)
	case Request:
		b.handleRequest(e)
	case Outcome:
		b.handleOutcome(e)
	case Started:
		b.handleStarted(e)
	case ClientGone:
		if r := b.requests[e.ID]; r != nil {
			b.close(r)
		}
	case Timer:
		b.handleTimer(e)
	}
	return b.actions
}

func (b *Balancer) emit(a Action) { b.actions = append(b.actions, a) }

func (b *Balancer) handleTimer(e Timer) {
	if e.Token == "list" {
		if b.subscribeAt > 0 && b.now+b.settings.Tick >= b.subscribeAt {
			b.subscribeAt = 0
			b.emit(Subscribe{})
		}
		return
	}
	// A host may round times down, so a timer can fire slightly early. A review that finds nothing due
	// schedules another one.
	if r := b.requests[strings.TrimPrefix(e.Token, "r:")]; r != nil {
		if b.now+b.settings.Tick >= r.wakeAt {
			r.wakeAt = 0
		}
		b.review(r)
	}
}

// wakeAt schedules a review of a request, unless an earlier one is scheduled already.
func (b *Balancer) wakeAt(r *request, at time.Duration) {
	at = max(at, b.now+1)
	if r.wakeAt > b.now && r.wakeAt <= at {
		return
	}
	r.wakeAt = at
	b.emit(Wake{At: at, Token: "r:" + r.id})
}

func (b *Balancer) handleRequest(e Request) {
	if b.requests[e.ID] != nil {
		return
	}
	c := b.classes[e.Class]
	if c == nil {
		c = b.classList[len(b.classList)-1] // the class for unknown names: NonIdempotent
	}
	r := &request{
		id: e.ID, class: c, arrived: b.now, deadline: e.Deadline, clientRetry: e.ClientRetry,
		cost: float64(e.Cost), places: e.Places,
	}
	b.requests[e.ID] = r
	if e.Candidates != nil {
		r.candidates = make(map[string]bool, len(e.Candidates))
		for _, id := range e.Candidates {
			r.candidates[id] = true
		}
	}
	if b.settings.TenantWeight > 0 {
		r.tenant = b.countTenant(e.Tenant)
	}
	if e.Places != nil && len(e.Places) == 0 {
		b.answer(r)
		return
	}
	b.backdate(r)
	for _, k := range b.classList {
		k.fade()
	}
	c.arrived++
	if r.quota = b.quotas[e.Tenant]; r.quota != nil {
		b.chargeQuota(r)
	}
	b.dispatch(r)
}

// chargeQuota records whether a request is within its tenant's quota, a token bucket. A client's retry was
// charged when the client first sent it, so it takes no token.
func (b *Balancer) chargeQuota(r *request) {
	for _, q := range b.quotaList {
		q.fade()
	}
	q := r.quota
	q.refill(b.now)
	if r.overQuota = q.available < 1; r.overQuota {
		return
	}
	if !r.clientRetry {
		q.available--
	}
	q.arrived++
}

// backdate estimates when the client first sent a request. Clients give every try the same timeout, unless
// the class's deadline, which covers all tries, ends sooner: a shorter timeout marks a client's retry and
// shows how much of that deadline has passed.
func (b *Balancer) backdate(r *request) {
	left := r.deadline - b.now
	r.class.longestTry = max(r.class.longestTry, left)
	if b.settings.Tier == 0 && float64(left) < shortTryShare*float64(r.class.longestTry) {
		r.arrived = min(b.now, r.deadline-r.class.Deadline)
		r.clientRetry = true
	}
}

// dispatch sends a request, or queues it while no server may take it.
func (b *Balancer) dispatch(r *request) {
	preadmitted := r.class.First && b.admitted() < preadmittedFactor*b.limit()
	if r.inFlight == 0 && len(r.attempts) == 0 && b.isFull() && !preadmitted {
		b.enqueue(r)
		return
	}
	s := b.choose(r)
	if s == nil {
		b.enqueue(r)
		return
	}
	b.send(r, s)
}

func (b *Balancer) send(r *request, s *server) {
	a := &attempt{request: r, server: s, number: len(r.attempts), sent: b.now, zone: s.Zone, cell: s.Cell}
	if a.number == 0 {
		b.shedShare -= pooledWeight / 4 * b.shedShare
	}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	b.dequeue(r)
	s.calls++
	s.openAttempts = append(s.openAttempts, a)
	b.inFlight++
	b.addPacingDebt(r.class, r.class.mean)
	timeout := max(r.deadline-b.now, b.settings.Tick)
	b.emit(Send{ID: r.id, Server: s.ID, Timeout: timeout, Spares: b.alternates(r)})
}

// alternates returns further servers for a request that was just sent, each picked like the next attempt's.
// Only warm ones: an attempt there is not counted before it has ended, so slow start could not bound it.
func (b *Balancer) alternates(r *request) (ids []string) {
	if b.settings.Spares == 0 || r.class.Effect != Idempotent {
		return nil
	}
	sent := len(r.attempts)
	for range b.settings.Spares {
		s := b.choose(r)
		if s == nil {
			break
		}
		r.attempts = append(r.attempts, &attempt{server: s, ended: true}) // so that it is not picked twice
		if b.warmth(s) == 1 {
			ids = append(ids, s.ID)
		}
	}
	r.attempts = r.attempts[:sent]
	return ids
}

// overlong is the wait beyond which an attempt is slower than nearly all answers of its class.
func (b *Balancer) overlong(c *class) time.Duration {
	return time.Duration(c.mean + overlongDeviations*c.deviation)
}

// review does what is due for a queued request: it sends it, or rejects it at the end of its queueing time.
func (b *Balancer) review(r *request) {
	switch {
	case r.answered || r.streaming:
	case r.queued && b.now >= b.queueDeadline(r):
		b.answer(r)
	case r.queued:
		b.drainQueue()
		if r.queued {
			b.wakeAt(r, b.nextReview(r))
		}
	}
}

// enqueue queues a request, with a timer so that it is answered even if no other event comes.
func (b *Balancer) enqueue(r *request) {
	if b.now >= b.queueDeadline(r) {
		b.answer(r)
		return
	}
	if !r.queued {
		r.queued = true
		b.queue = append(b.queue, r)
	}
	b.wakeAt(r, b.nextReview(r))
}

func (b *Balancer) dequeue(r *request) {
	if !r.queued {
		return
	}
	r.queued = false
	b.queue = slices.DeleteFunc(b.queue, func(queued *request) bool { return queued == r })
}

// nextReview is when a queued request is reviewed next.
func (b *Balancer) nextReview(r *request) time.Duration {
	if resume := b.pausedUntil(); b.now < resume {
		return min(resume, b.queueDeadline(r))
	}
	return b.queueDeadline(r)
}

// queueDeadline is until when a request is queued: while its answer is likely to meet the aim, because late
// answers use capacity that timely ones need. Without any server a late answer is the best possible, so
// the request then waits almost until its deadline.
func (b *Balancer) queueDeadline(r *request) time.Duration {
	last := r.deadline - 2*b.settings.Tick
	if len(b.ready) == 0 {
		return last
	}
	aim := r.class.Aim
	queueTime := max(aim/4, aim-time.Duration(r.class.mean+2*r.class.deviation))
	return min(last, r.arrived+queueTime)
}

// drainQueue sends queued requests while the window has room, the most valuable first.
func (b *Balancer) drainQueue() {
	for left := len(b.queue); left > 0 && len(b.queue) > 0 && !b.isFull(); left-- {
		best := b.queue[0]
		for _, r := range b.queue[1:] {
			if b.value(r) >= b.value(best) { // of equal ones the newest, which has the most time left
				best = r
			}
		}
		s := b.choose(best)
		if s == nil {
			return
		}
		b.send(best, s)
	}
}

func (b *Balancer) handleStarted(e Started) {
	r := b.requests[e.ID]
	if r == nil {
		return
	}
	r.streaming = true
	for _, a := range r.attempts {
		if a.number != e.Attempt {
			b.cancel(a)
		} else {
			a.began = b.now
			b.endWait(a, Outcome{Attempt: a.number, Ending: Success})
			if e.Transfer {
				b.endCall(a)
				b.drainQueue()
			}
		}
	}
}

// endCall uncounts an attempt's call, once: when it ends, or when its server only transfers the answer.
func (b *Balancer) endCall(a *attempt) {
	if !a.callEnded {
		a.callEnded = true
		b.inFlight--
		a.server.calls--
	}
}

// endWait ends the wait for an attempt's answer, which has arrived or begun to stream.
func (b *Balancer) endWait(a *attempt, e Outcome) {
	if i := slices.Index(a.server.openAttempts, a); i >= 0 {
		// The latency of a hung server says nothing about the load of the others.
		if !b.isSilent(a.server) {
			b.adjustWindow(a.request, e)
		}
		a.server.openAttempts = slices.Delete(a.server.openAttempts, i, i+1)
	}
}

func (b *Balancer) cancel(a *attempt) {
	if !a.ended && b.settings.MayCancel {
		b.emit(Cancel{ID: a.request.id, Attempt: a.number})
	}
}

func (b *Balancer) handleOutcome(e Outcome) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := r.attempts[e.Attempt]
	a.ended = true
	a.neverRan = e.Ending == Overloaded || e.Ending == Unreachable || e.Ending == NeverSent
	r.inFlight--
	b.endCall(a)
	r.consumed = r.consumed || e.Consumed
	b.endWait(a, e)
	b.learn(a, e)
	if !a.server.listed && a.server.calls == 0 && b.servers[a.server.ID] == a.server {
		delete(b.servers, a.server.ID)
	}
	switch {
	case e.Ended:
		if e.Ending == Success && !r.answered && a.sent+a.latency(b.now) <= r.arrived+r.class.Aim {
			r.class.served++
			if r.quota != nil && !r.overQuota {
				r.quota.served++
			}
			if r.tenant != nil {
				r.tenant.served += b.tenants.scale
				b.tenants.served += b.tenants.scale
			}
		}
		b.close(r)
	case !r.answered && r.inFlight == 0:
		b.retryOrAnswer(r)
	}
	b.forget(r)
	b.drainQueue()
}
