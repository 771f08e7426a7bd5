package balancer

import (
	"math"
	"slices"
	"time"
)

// mayRetry reports whether the class's Effect and MaxAttempts allow one more attempt now.
func (b *Balancer) mayRetry(r *request) bool {
	if r.answered || r.streaming || r.consumed || len(r.attempts) >= max(1, b.settings.MaxAttempts) {
		return false
	}
	for _, a := range r.attempts {
		if a.neverRan {
			continue
		}
		latest := a.sent + r.class.Window - 2*b.settings.Tick
		if r.class.Effect == NonIdempotent || r.class.Effect == IdempotentByKey && b.now >= latest {
			return false
		}
	}
	return true
}

// retryOrAnswer retries a request without an attempt in flight if the retry budget allows that and an answer
// can still come in time, else it gives the final answer. Without a budget the retries of all tiers multiply.
func (b *Balancer) retryOrAnswer(r *request) {
	left := float64(r.deadline - b.now)
	cost := 1.0
	if r.attempts[len(r.attempts)-1].neverRan {
		cost = neverRanRetryCost
	}
	if !b.mayRetry(r) || b.retryTokens < cost || left < r.class.mean/2 {
		b.rejectOrFail(r)
		return
	}
	s := b.selectServer(r)
	if s == nil {
		b.rejectOrFail(r)
		return
	}
	b.retryTokens -= cost
	b.send(r, s)
}

// isFull reports whether as many calls are in flight as the servers can answer in good time. Only tier 0
// queues and sheds requests: a call that a deeper tier rejects wastes the work done above it.
func (b *Balancer) isFull() bool {
	return len(b.ready) == 0 || b.settings.Tier == 0 &&
		(b.admittedCalls() >= max(b.usableWindow(), minWindow) || b.now < b.pausedUntil())
}

// admittedCalls is the number of calls that count against the window. Calls at draining servers don't count,
// nor those that a server has beyond its share: one congested server would prevent calls at idle ones. Calls
// at an unresponsive server do count, because in overload every server answers slowly.
func (b *Balancer) admittedCalls() float64 {
	b.updateUsable()
	return float64(b.inFlight-b.excessCalls) + b.updateAbandoned(0, 1)
}

// updateAbandoned adds abandoned calls, on which the servers may still work, and returns the number of such
// calls. It decays exponentially with the time constant mean, the current mean latency in ns.
func (b *Balancer) updateAbandoned(more, mean float64) float64 {
	if b.abandonedCalls > 0 {
		b.abandonedCalls *= math.Exp(-float64(b.now-b.abandonedAt) / b.abandonedTimeConstant)
	}
	b.abandonedAt = b.now
	if more > 0 {
		b.abandonedTimeConstant = mean
		b.abandonedCalls += more
	}
	return b.abandonedCalls
}

// usableWindow is the share of the window for servers that may be sent calls now. The share of servers that
// are ejected, or limited by slow start, must not go to the others.
func (b *Balancer) usableWindow() float64 {
	b.updateUsable()
	return b.window * b.usableShare
}

// updateUsable updates usableShare and excessCalls, at most once per tick.
func (b *Balancer) updateUsable() {
	if b.usableComputedAt < 0 || b.now >= b.usableComputedAt+max(b.settings.Tick, 1) {
		b.usableShare, b.usableComputedAt, b.excessCalls = 0, b.now, 0
		ejected := 0
		perServer := b.window / max(1, float64(len(b.subset)))
		for _, s := range b.ready {
			b.excessCalls += max(0, s.calls-max(crowdedCalls, 1+int(perServer)))
			if b.isEjected(s) {
				ejected++
			} else if w := b.slowStartShare(s); w < 1 && b.wholeList {
				b.usableShare += w
			} else if w < 1 {
				b.usableShare += b.slowStartLimit(w) / b.callsPerServer
			} else {
				b.usableShare += min(1, float64(b.refusalLimit(s))/max(1, perServer))
			}
		}
		if len(b.servers) > len(b.ready) {
			for _, s := range b.servers {
				if !s.listed || s.State != Ready {
					b.excessCalls += s.calls
				}
			}
		}
		// Ejected servers in excess of maxExcluded are sent calls nevertheless.
		b.usableShare += float64(max(0, ejected-b.maxExcluded()))
		b.usableShare /= max(1, float64(len(b.ready)))
	}
}

// addPacingDebt adds the server time that a call is expected to use, in ns. A thousand replicas with one or
// two calls each are an overload already, so a window below minWindow limits the average: after minWindow
// calls a replica pauses until its window would have admitted them for their mean duration.
func (b *Balancer) addPacingDebt(c *class, work float64) {
	b.pacingDebt = max(b.pacingDebt-b.window*float64(b.now-b.pacingDebtAt), -minWindow*c.mean) + work
	b.pacingDebtAt = b.now
	if b.window >= minWindow {
		b.pacingDebt = 0 // the window limits the number of calls; old debt must not cause a pause later
	}
}

// pausedUntil is the time when the pacing debt falls to zero.
func (b *Balancer) pausedUntil() time.Duration {
	if b.window >= minWindow {
		return 0
	}
	return b.pacingDebtAt + time.Duration(b.pacingDebt/b.window)
}

// fairServers is the number of ready servers divided by the number of replicas.
func (b *Balancer) fairServers() float64 {
	return float64(len(b.ready)) / float64(max(1, b.settings.Balancers))
}

// adjustWindow adapts the window to an answer so that the mean latency stays at an accepted share of the aim.
// Overloaded servers stay slow, so excess requests have to be queued or rejected here. The window grows
// slowly, because the effect of requests admitted now shows only in their answers.
func (b *Balancer) adjustWindow(r *request, e Outcome) {
	if b.settings.Tier > 0 || e.Ending == NeverSent || e.Ending == Failure {
		return
	}
	ratio := float64(b.now-r.attempts[e.Attempt].sent) / float64(r.class.Aim)
	switch {
	case e.Ending == Canceled && ratio <= b.meanLatencyRatio:
		return // the latency would have been higher, by an unknown amount
	case e.Ending != Success && e.Ending != Canceled:
		ratio = max(ratio, 1)
	}
	b.recordLatencyRatio(min(ratio, 1))
	floor, overload := min(b.window, b.callsPerServer*b.fairServers()), b.overload()
	abandoned := e.Ending == TimedOut || e.Ending == Canceled && ratio > 1
	if abandoned {
		b.abandonedShare += pooledSampleWeight * (1 - b.abandonedShare)
	} else {
		b.abandonedShare -= pooledSampleWeight * b.abandonedShare
	}
	switch {
	case abandoned && b.abandonedShare > maxAbandonedShare:
		// The servers are busy with abandoned calls. They recover only if they get fewer calls than the usual
		// minimum, so each abandoned call shrinks the window, down to a few calls that probe for recovery.
		floor = min(b.window, windowProbeShare*b.callsPerServer*b.fairServers())
		b.window -= abandonedCallDecrease * min(1, b.window)
	case overload > 1:
		// During one window of answers the window shrinks towards the size that would have met the target:
		// the correction must not take ten times as long if the window is ten times too large.
		b.window -= max(minWindowDecrease, min(maxWindowDecrease, (1-1/overload)/2)) * min(1, b.window)
	case overload < maxGrowthOverload && b.admittedCalls()+1 >= minGrowthUsage*b.usableWindow():
		b.window += windowIncrease * min(1, b.window)
		if b.window >= minWindow { // one or two calls show too little of the load by all replicas
			b.window += windowHeadroomGain * max(0, 1-overload)
		}
	}
	if b.window = max(b.window, floor); e.Ending == Success && ratio <= 1 {
		// After it has shrunk to probes, the window doubles with each window of timely answers.
		b.window = max(b.window, min(b.window+1, b.callsPerServer*b.fairServers()))
	}
}

// recordLatencyRatio adds an answer's latency/aim, at most 1, to the means. The baseline, the lowest mean,
// shows the latency without queueing: a fixed share of the aim alone would reject too much slow work, and
// overload the servers of quick work. It is a mean of logs, so that a few calls at an unresponsive server do
// not look like an overload of all. The first answers are the quickest ones, so they don't set the baseline.
func (b *Balancer) recordLatencyRatio(ratio float64) {
	weight := 2 / (b.window + 16)
	b.meanLatencyRatio += weight * (ratio - b.meanLatencyRatio)
	b.meanLogRatio += weight * (math.Log(max(ratio, 1e-6)) - b.meanLogRatio)
	if b.samples++; b.samples > 2*initialCallsPerServer*b.fairServers() {
		rise := max(baselineWeight, weight*b.newServerShare)
		b.baselineLogRatio = min(b.meanLogRatio, b.baselineLogRatio+rise*(b.meanLogRatio-b.baselineLogRatio))
		b.newServerShare -= newServerShareDecay * weight * b.newServerShare
	} else {
		b.baselineLogRatio = b.meanLogRatio
	}
}

// overload is the mean latency divided by the accepted one. The latter is lower the more is shed and the more
// the servers' latencies differ: then some are probably overloaded, while servers that are equally slow are
// merely busy. Differences explained by chance do not count, or shedding would cause more shedding.
func (b *Balancer) overload() float64 {
	tolerance := 1 - b.shedShare*min(1, sheddingPenalty*max(0, b.slownessVariance()-b.chanceVariance()))
	limit := baselineMultiple * (1 + noShedAllowance*math.Pow(1-b.shedShare, noShedPower))
	return max(b.meanLatencyRatio/targetRatio, math.Exp(b.meanLogRatio-b.baselineLogRatio)/limit) / tolerance
}

// slownessVariance is the variance of the servers' slowness.
func (b *Balancer) slownessVariance() float64 {
	var n, sum, squares float64
	for _, s := range b.ready {
		if s.samples > 0 {
			n++
			sum += s.slowness
			squares += s.slowness * s.slowness
		}
	}
	n = max(n, 1)
	return squares/n - sum/n*sum/n
}

// chanceVariance is the slowness variance of equal servers: that of an exponential moving average with weight
// serverSampleWeight, over answers with variance latencyVariance.
func (b *Balancer) chanceVariance() float64 {
	return b.latencyVariance * serverSampleWeight / (2 - serverSampleWeight)
}

// value is the worth of an answer per server time. Queued requests are sent by decreasing value, so those of
// the least value are shed. The class, the quota and the tenant with the least share served add to it.
func (b *Balancer) value(r *request) float64 {
	c := r.class
	var total float64
	worst := c
	for _, other := range b.classList {
		total += other.Worth * other.arrived
		if other.isWorseThan(worst.servedCounts) {
			worst = other
		}
	}
	v := b.settings.WholeWeight * c.Worth / max(total, 1e-9)
	if worst == c {
		v += b.settings.ClassWeight / max(c.arrived, 1e-9)
	}
	if r.overQuota {
		v *= b.settings.OverShare
	} else if r.quota != nil && b.isWorstServed(r.quota) {
		v += b.settings.WorstTenantWeight / max(r.quota.arrived, 1e-9)
	}
	if r.clientRetry { // the aim counts from the client's first try, so most of it has passed
		v *= c.LateShare
	}
	return v / c.mean * (1 + b.settings.TenantWeight*tenantDeficitWeight*b.tenantDeficit(r.tenant))
}

// isWorstServed reports whether no other quota is served worse.
func (b *Balancer) isWorstServed(q *quota) bool {
	return !slices.ContainsFunc(b.quotaList, func(o *quota) bool { return o.isWorseThan(q.servedCounts) })
}

// countTenant counts a tenant's request. Beyond maxTenants it drops the tenant with the fewest recent
// requests, so that invented names cost bounded time and memory.
func (b *Balancer) countTenant(name string) *tenant {
	t := &b.tenants
	if t.byName == nil {
		*t = tenants{byName: map[string]*tenant{}, scale: 1}
	}
	if t.scale *= 1 + tenantCountDecay; t.scale > 1e100 {
		for _, other := range t.byName {
			other.requested, other.served = other.requested/t.scale, other.served/t.scale
		}
		t.served, t.scale = t.served/t.scale, 1
	}
	counted := t.byName[name]
	if counted == nil {
		if len(t.byName) >= maxTenants {
			dropped := ""
			for otherName, other := range t.byName {
				least := t.byName[dropped]
				if least == nil || other.requested < least.requested ||
					other.requested == least.requested && otherName < dropped {
					dropped = otherName
				}
			}
			delete(t.byName, dropped)
		}
		counted = &tenant{}
		t.byName[name] = counted
	}
	counted.requested += t.scale
	if t.untilRecount--; t.untilRecount <= 0 {
		t.untilRecount, t.active = maxTenants/4, 0
		for _, other := range t.byName {
			if other.requested > t.scale/2 {
				t.active++
			}
		}
		// The sum of served is computed anew so that rounding errors do not accumulate.
		t.served = 0
		for _, other := range t.byName {
			t.served += other.served
		}
	}
	return counted
}

// tenantDeficit is how far a tenant is below an equal share of the requests recently served: 0 for a full
// share, 1 if none of its requests were served. It ignores how many requests the tenant sent, because by the
// share of its requests that are served a tenant that floods would be served worst.
func (b *Balancer) tenantDeficit(t *tenant) float64 {
	if t == nil || b.tenants.served <= 0 {
		return 0
	}
	return max(0, 1-t.served/b.tenants.served*max(1, b.tenants.active))
}

// rejectOrFail gives a request without a successful attempt its final answer: a Reject if a retry by the
// client is safe, otherwise a Fail.
func (b *Balancer) rejectOrFail(r *request) {
	if r.answered || r.streaming {
		return
	}
	retryIsSafe := true
	for _, a := range r.attempts {
		effect, scope := r.class.Effect, r.class.Scope
		if !a.neverRan && (effect == NonIdempotent || effect == IdempotentByKey && scope != ScopeAll) {
			retryIsSafe = false
		}
	}
	if len(r.attempts) == 0 {
		b.shedShare += pooledSampleWeight / 4 * (1 - b.shedShare)
	}
	if retryIsSafe {
		// After a long delay most of the client's aim has passed, and its late answer would use capacity that
		// timely ones need. The window limits the load, so a short RetryAfter is harmless.
		b.emit(Reject{ID: r.id, RetryAfter: min(b.settings.MaxRetryAfter, b.settings.Tick)})
	} else {
		b.emit(Fail{ID: r.id})
	}
	b.finish(r)
}

// finish marks a request as answered and cancels its attempts in flight.
func (b *Balancer) finish(r *request) {
	if r.answered {
		return
	}
	r.answered = true
	b.dequeue(r)
	for _, a := range r.attempts {
		b.cancel(a)
	}
	b.deleteIfDone(r)
}

// deleteIfDone deletes a request if it is answered and has no attempt in flight.
func (b *Balancer) deleteIfDone(r *request) {
	if r.answered && r.inFlight == 0 {
		delete(b.requests, r.id)
	}
}
