// Every decision of the balancer: here what an event leads to, in server_list.go what discovery tells, in
// selection.go which server, in health.go how servers are judged, in admission.go what is let in, tried again
// and given up.

package balancer

import (
	"slices"
	"strings"
	"time"
)

// Constants are shares, ratios or counts; every length of time is a setting or was observed.
const (
	leftShare               = 0.5  // share of the list in the left group
	pooledWeight            = 0.06 // weight of a new sample in pooled averages (about 16 samples)
	serverWeight            = 0.25 // weight of a new sample in a single server's averages
	luckThreshold           = 0.08 // a run of errors likelier than this by the peers' error share is luck
	overlongDeviations      = 3.0  // deviations above the mean at which a wait counts as overlong
	slowRatio               = 2.5  // times its peers' latency that makes a server slow
	slowThinningPower       = 2.0  // power of a server's slowness by which its draws are thinned
	minSamples              = 3    // samples before a server can be called slow
	maxExcludedShare        = 0.2  // share of the list that health may exclude; beyond that all are drawn
	ejectionLatencies       = 12   // mean latencies that a first ejection, or a lack of room, lasts
	maxEjectionLevel        = 5    // doublings of an ejection
	windowFloor             = 5.0  // own calls a server that are always admitted
	retryTokenPerSuccess    = 0.15 // further attempts earned by a success
	unsentRetryCost         = 0.1  // what a further attempt costs when the last one never ran
	maxRetryTokens          = 10   // most that can be saved up
	targetFill              = 0.6  // mean latency over aim that admission lets be at the most
	busyRatio               = 1.5  // and times the least (geometric) mean of that which was seen
	calmRatio               = 0.4  // that much more is let be while nothing is shed: a node that turns nobody
	calmPower               = 16   // away has no crowd to keep out; and how soon it is gone as it does
	shedding                = 4.0  // part of aimFill given up when all is shed, for each unit of unevenness
	windowUp                = 0.02 // window gained by an answer in good time
	windowGrowthCeiling     = 0.9  // part of the latency let be above which nothing is gained
	windowRoom              = 0.1  // and more, times how far latency is under what is let be
	windowDown              = 0.1  // window lost by a late one
	windowStart             = 5.0  // own calls admitted per server before anything is known
	windowMaxDecrease       = 0.3  // the most that is lost by one
	windowAbandonedDecrease = 3.0  // window lost by each call given up on, once most are
	windowProbeShare        = 0.1  // part of windowFloor that is left then, to see when servers answer again
	maxAbandonedShare       = 0.5  // share of calls given up on at which it gives way to next to nothing
	minWindow               = 2.0  // own calls that may be out at once whatever the window
	tenantBoost             = 10   // times its value has a request of a tenant without any service
	tenantFade              = 0.005
	maxTenants              = 256
	quotaBurstSeconds       = 1.0 // seconds of a quota that may come at once
	preadmittedFactor       = 2.0 // times the window that those may fill which are not held back for others
	crowdedCalls            = 2   // own calls, above the mean, at which a server is passed over
	fullSpreadCopies        = 40  // copies whose calls are spread over all of AskWithin; of fewer, over less
	maxSubscribeBackoff     = 4   // times AskWithin between calls that fail

	baselineWeight   = pooledWeight / 128 // weight of an answer in forgetting the least mean of busyRatio
	newServersWeight = 0.25               // and times its weight in the mean, for the new part of the list
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
	// A host may round a time down, so a timer can come a hair early: nothing relies on its being
	// late enough, and a review that finds nothing due yet asks for another.
	if r := b.requests[strings.TrimPrefix(e.Token, "r:")]; r != nil {
		if b.now+b.settings.Tick >= r.wakeAt {
			r.wakeAt = 0
		}
		b.review(r)
	}
}

// wakeAt asks for a review of a request, unless one is due by then already.
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
		c = b.classList[len(b.classList)-1] // unknown: unsafe
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

// chargeQuota says whether a request is within its tenant's quota. A client's further try asks for nothing
// new, so it takes nothing of it.
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

// backdate finds when the client first asked. Tries are all given the same time unless the class's
// deadline, which runs over all of them, ends sooner: a shorter one tells how much is over already.
func (b *Balancer) backdate(r *request) {
	left := r.deadline - b.now
	r.class.longestTry = max(r.class.longestTry, left)
	if b.settings.Tier == 0 && float64(left) < 0.95*float64(r.class.longestTry) {
		r.arrived = min(b.now, r.deadline-r.class.Deadline)
		r.clientRetry = true
	}
}

// dispatch sends a request, or holds it while no server may take it.
func (b *Balancer) dispatch(r *request) {
	ahead := r.class.First && b.admitted() < preadmittedFactor*b.limit()
	if r.inFlight == 0 && len(r.attempts) == 0 && b.isFull() && !ahead {
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

// alternates are further servers for a request that was just sent, each picked as the next attempt would be.
// Only warm ones: what is tried there is not counted until it has ended.
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
		r.attempts = append(r.attempts, &attempt{server: s, ended: true}) // lest it is picked twice
		if b.warmth(s) == 1 {
			ids = append(ids, s.ID)
		}
	}
	r.attempts = r.attempts[:sent]
	return ids
}

// overlong is the wait for an answer that most of a class's answers stay well under.
func (b *Balancer) overlong(c *class) time.Duration {
	return time.Duration(c.mean + overlongDeviations*c.deviation)
}

// review does whatever has come due for a request.
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

// enqueue keeps a request back; its timer makes sure that it is answered.
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
	b.queue = slices.DeleteFunc(b.queue, func(h *request) bool { return h == r })
}

// nextReview is when a held request is looked at again.
func (b *Balancer) nextReview(r *request) time.Duration {
	if p := b.pausedUntil(); b.now < p {
		return min(p, b.queueDeadline(r))
	}
	return b.queueDeadline(r)
}

// queueDeadline is how long holding makes sense: until an answer may well miss the aim, for late answers
// take the room of those in time. With no server at all a late answer is the best there can be, so
// then almost until the deadline.
func (b *Balancer) queueDeadline(r *request) time.Duration {
	last := r.deadline - 2*b.settings.Tick
	if len(b.ready) == 0 {
		return last
	}
	aim := r.class.Aim
	hold := max(aim/4, aim-time.Duration(r.class.mean+2*r.class.deviation))
	return min(last, r.arrived+hold)
}

// drainQueue sends held requests while there is room, the most valuable first.
func (b *Balancer) drainQueue() {
	for tries := len(b.queue); tries > 0 && len(b.queue) > 0 && !b.isFull(); tries-- {
		best := b.queue[0]
		for _, r := range b.queue[1:] {
			if b.value(r) >= b.value(best) { // equal: the youngest has most time left
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

// endCall counts a call off, once: when it ends, or when its server has done all but hand the answer over.
func (b *Balancer) endCall(a *attempt) {
	if !a.callEnded {
		a.callEnded = true
		b.inFlight--
		a.server.calls--
	}
}

// endWait ends the wait for an attempt's answer, which has come or begun.
func (b *Balancer) endWait(a *attempt, e Outcome) {
	if i := slices.Index(a.server.openAttempts, a); i >= 0 {
		// A hung server's waits tell nothing of how crowded the others are.
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
