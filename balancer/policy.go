// The decisions of the balancer. This file dispatches events and follows a request from its arrival to its
// final answer; server_list.go applies discovery updates, selection.go selects servers, health.go ejects
// unhealthy servers, and admission.go implements the admission window, the retry budget and load shedding.

package balancer

import (
	"slices"
	"strings"
	"time"
)

// The constants are shares, ratios or counts. Durations come from settings or from measured latencies.
const (
	leftGroupShare          = 0.5   // share of the ready servers in the left group
	pooledSampleWeight      = 0.06  // weight of a new sample in pooled averages (about 16 samples)
	serverSampleWeight      = 0.25  // weight of a new sample in a single server's averages
	errorRunSignificance    = 0.08  // a run of errors more probable than this by chance ejects no server
	minErrorShare           = 0.01  // lower bound of the estimated error rate
	outlierDeviations       = 3.0   // deviations above the mean latency beyond which a wait is an outlier
	slowLatencyRatio        = 2.5   // multiple of the expected latency above which a server is slow
	slowSamplingPower       = 2.0   // exponent with which slowness reduces how often a server is drawn
	minSamples              = 3     // samples before a server can be called slow
	maxExcludedShare        = 0.2   // largest share of the ready servers that is excluded for health
	ejectionLatencies       = 12    // duration of a first ejection or call limit, in mean latencies
	maxEjectionLevel        = 5     // largest number of times that this duration is doubled
	minCallsPerServer       = 5.0   // calls for each server that are always admitted
	retryTokenPerSuccess    = 0.15  // retry tokens earned by a success
	neverRanRetryCost       = 0.1   // retry tokens for a retry if the previous attempt never ran; else 1
	maxRetryTokens          = 10    // capacity of the retry budget
	targetRatio             = 0.6   // highest accepted mean latency, as a share of the aim
	baselineMultiple        = 1.5   // the same as a multiple of the baseline (lowest geometric mean)
	noShedAllowance         = 0.4   // its relative increase while nothing is shed, so without overload
	noShedPower             = 16    // exponent with which that increase falls as the share shed grows
	sheddingPenalty         = 4.0   // decrease of the accepted latency by shedding, per slowness variance
	windowIncrease          = 0.02  // increase of the window by an answer within the accepted latency
	maxGrowthOverload       = 0.9   // share of the accepted latency above which the window doesn't grow
	minGrowthUsage          = 0.8   // share of the window that must be in use for it to grow
	windowHeadroomGain      = 0.1   // further increase, times the margin to the accepted latency
	minWindowDecrease       = 0.1   // smallest decrease of the window by one late answer
	initialCallsPerServer   = 5.0   // calls admitted for each server before anything is measured
	maxWindowDecrease       = 0.3   // largest decrease of the window by one late answer
	abandonedCallDecrease   = 3.0   // decrease by one abandoned call, while most calls are abandoned
	windowProbeShare        = 0.1   // share of minCallsPerServer admitted then, to probe for recovery
	maxAbandonedShare       = 0.5   // share of abandoned calls above which only probes are guaranteed
	minWindow               = 2.0   // calls that may be in flight however small the window is
	tenantDeficitWeight     = 10    // increase of a request's value, times TenantWeight and tenantDeficit
	tenantCountDecay        = 0.005 // share by which the tenants' counts decay with each request
	maxTenants              = 256   // tenants with counts; a new one replaces the least active
	quotaBurstSeconds       = 1.0   // burst of a quota, in seconds of its rate
	preadmittedFactor       = 2.0   // multiple of the window below which preadmitted classes don't queue
	clientRetryTimeoutShare = 0.95  // a timeout below this share of the longest one marks a client's retry
	crowdedCalls            = 2     // least number of calls at which a server is skipped as crowded
	fullSpreadReplicas      = 40    // replicas whose Subscribe calls are spread over all of AskWithin
	maxSubscribeBackoff     = 4     // longest backoff between failed Subscribe calls, in units of AskWithin

	baselineWeight      = pooledSampleWeight / 128 // weight of an answer in raising the baseline
	newServerShareDecay = 0.25                     // decay of newServerShare by an answer, times its weight
)

// Handle processes an event at the clock time now and returns the actions to carry out, in order.
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
			b.finish(r)
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
	// A host may round times down, so a timer can fire slightly early. If nothing is due then, checkQueued
	// schedules another Wake.
	if r := b.requests[strings.TrimPrefix(e.Token, "r:")]; r != nil {
		if b.now+b.settings.Tick >= r.wakeAt {
			r.wakeAt = 0
		}
		b.checkQueued(r)
	}
}

// wakeAt schedules a check of a queued request, unless an earlier one is scheduled already.
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
		b.rejectOrFail(r)
		return
	}
	b.estimateFirstSend(r)
	for _, k := range b.classList {
		k.decay()
	}
	c.arrived++
	if r.quota = b.quotas[e.Tenant]; r.quota != nil {
		b.chargeQuota(r)
	}
	b.dispatch(r)
}

// chargeQuota records whether a request is within its tenant's quota, a token bucket. A client's retry was
// charged when the client first sent the request, so it consumes no token.
func (b *Balancer) chargeQuota(r *request) {
	for _, q := range b.quotaList {
		q.decay()
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

// estimateFirstSend estimates when the client first sent a request. Clients give each try the same timeout,
// shortened only by the class's deadline for all tries together. So a shorter timeout marks a client's retry
// and shows how much of that deadline has passed.
func (b *Balancer) estimateFirstSend(r *request) {
	left := r.deadline - b.now
	r.class.longestTimeout = max(r.class.longestTimeout, left)
	if b.settings.Tier == 0 && float64(left) < clientRetryTimeoutShare*float64(r.class.longestTimeout) {
		r.arrived = min(b.now, r.deadline-r.class.Deadline)
		r.clientRetry = true
	}
}

// dispatch sends a request, or queues it while no server may take it.
func (b *Balancer) dispatch(r *request) {
	preadmitted := r.class.First && b.admittedCalls() < preadmittedFactor*b.usableWindow()
	if r.inFlight == 0 && len(r.attempts) == 0 && b.isFull() && !preadmitted {
		b.enqueue(r)
		return
	}
	s := b.selectServer(r)
	if s == nil {
		b.enqueue(r)
		return
	}
	b.send(r, s)
}

func (b *Balancer) send(r *request, s *server) {
	a := &attempt{request: r, server: s, number: len(r.attempts), sent: b.now, zone: s.Zone, cell: s.Cell}
	if a.number == 0 {
		b.shedShare -= pooledSampleWeight / 4 * b.shedShare
	}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	b.dequeue(r)
	s.calls++
	s.waitingAttempts = append(s.waitingAttempts, a)
	b.inFlight++
	b.addPacingDebt(r.class, r.class.mean)
	timeout := max(r.deadline-b.now, b.settings.Tick)
	b.emit(Send{ID: r.id, Server: s.ID, Timeout: timeout, Spares: b.alternates(r)})
}

// alternates returns further servers for a request that was just sent, each selected like that of a retry.
// It omits servers in slow start: an attempt there is counted only when it has ended, too late to limit it.
func (b *Balancer) alternates(r *request) (ids []string) {
	if b.settings.Spares == 0 || r.class.Effect != Idempotent {
		return nil
	}
	sent := len(r.attempts)
	for range b.settings.Spares {
		s := b.selectServer(r)
		if s == nil {
			break
		}
		r.attempts = append(r.attempts, &attempt{server: s, ended: true}) // so that it is not selected twice
		if b.slowStartShare(s) == 1 {
			ids = append(ids, s.ID)
		}
	}
	r.attempts = r.attempts[:sent]
	return ids
}

// outlierWait is the time after which an unanswered attempt is slower than nearly all answers of its class.
func (b *Balancer) outlierWait(c *class) time.Duration {
	return time.Duration(c.mean + outlierDeviations*c.deviation)
}

// checkQueued sends a queued request if possible, or rejects it when its queueing time has ended.
func (b *Balancer) checkQueued(r *request) {
	switch {
	case r.answered || r.streaming:
	case r.queued && b.now >= b.queueDeadline(r):
		b.rejectOrFail(r)
	case r.queued:
		b.drainQueue()
		if r.queued {
			b.wakeAt(r, b.nextQueueCheck(r))
		}
	}
}

// enqueue queues a request, with a timer so that it is answered even without another event.
func (b *Balancer) enqueue(r *request) {
	if b.now >= b.queueDeadline(r) {
		b.rejectOrFail(r)
		return
	}
	if !r.queued {
		r.queued = true
		b.queue = append(b.queue, r)
	}
	b.wakeAt(r, b.nextQueueCheck(r))
}

func (b *Balancer) dequeue(r *request) {
	if !r.queued {
		return
	}
	r.queued = false
	b.queue = slices.DeleteFunc(b.queue, func(queued *request) bool { return queued == r })
}

// nextQueueCheck is the time of the next check of a queued request.
func (b *Balancer) nextQueueCheck(r *request) time.Duration {
	if resume := b.pausedUntil(); b.now < resume {
		return min(resume, b.queueDeadline(r))
	}
	return b.queueDeadline(r)
}

// queueDeadline is the latest time until which a request stays queued. After it an answer would probably miss
// the aim, and late answers use capacity that timely ones need. While there is no server a late answer is the
// best possible one, so the request waits almost until its deadline.
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
			if b.value(r) >= b.value(best) { // of equal values the newest, which has the most time left
				best = r
			}
		}
		s := b.selectServer(best)
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
			b.stopWaiting(a, Outcome{Attempt: a.number, Ending: Success})
			if e.Transfer {
				b.releaseCall(a)
				b.drainQueue()
			}
		}
	}
}

// releaseCall ends an attempt's call, once: at its outcome, or when only the transfer of its answer remains.
func (b *Balancer) releaseCall(a *attempt) {
	if !a.callEnded {
		a.callEnded = true
		b.inFlight--
		a.server.calls--
	}
}

// stopWaiting records that an attempt has ended, or that its answer has begun to stream.
func (b *Balancer) stopWaiting(a *attempt, e Outcome) {
	if i := slices.Index(a.server.waitingAttempts, a); i >= 0 {
		// The latency of an unresponsive server shows nothing about the load of the others.
		if !b.isUnresponsive(a.server) {
			b.adjustWindow(a.request, e)
		}
		a.server.waitingAttempts = slices.Delete(a.server.waitingAttempts, i, i+1)
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
	b.releaseCall(a)
	r.consumed = r.consumed || e.Consumed
	b.stopWaiting(a, e)
	b.recordOutcome(a, e)
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
		b.finish(r)
	case !r.answered && r.inFlight == 0:
		b.retryOrAnswer(r)
	}
	b.deleteIfDone(r)
	b.drainQueue()
}
