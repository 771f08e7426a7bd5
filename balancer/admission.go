package balancer

import (
	"math"
	"slices"
	"time"
)

// mayRetry reports whether the class's effect and the limits allow one more attempt now.
func (b *Balancer) mayRetry(r *request) bool {
	if r.answered || r.streaming || r.consumed || len(r.attempts) >= max(1, b.settings.MaxAttempts) {
		return false
	}
	for _, a := range r.attempts {
		if a.neverRan {
			continue
		}
		last := a.sent + r.class.Window - 2*b.settings.Tick
		if r.class.Effect == NonIdempotent || r.class.Effect == IdempotentByKey && b.now >= last {
			return false
		}
	}
	return true
}

// retryOrAnswer decides what follows when no attempt is in flight: a retry, if the budget allows one and an
// answer can still come in time, or the final answer. Without the budget, the retries of all tiers multiply.
func (b *Balancer) retryOrAnswer(r *request) {
	left := float64(r.deadline - b.now)
	cost := 1.0
	if r.attempts[len(r.attempts)-1].neverRan {
		cost = unsentRetryCost
	}
	if !b.mayRetry(r) || b.retryTokens < cost || left < r.class.mean/2 {
		b.answer(r)
		return
	}
	s := b.choose(r)
	if s == nil {
		b.answer(r)
		return
	}
	b.retryTokens -= cost
	b.send(r, s)
}

// isFull reports whether as many calls are in flight as the tiers below answer in good time. Only the first
// tier queues and sheds: a call that is rejected further down wastes the work done above it.
func (b *Balancer) isFull() bool {
	return len(b.ready) == 0 || b.settings.Tier == 0 &&
		(b.admitted() >= max(b.limit(), minWindow) || b.now < b.pausedUntil())
}

// admitted is how many own calls count against the window. Calls at draining servers are no load on the
// others, nor are those that a server has beyond its share: a congested server would keep idle ones idle.
// Calls at a hung server do count, because in overload every server answers slowly.
func (b *Balancer) admitted() float64 {
	b.countUsable()
	return float64(b.inFlight-b.excessCalls) + b.abandoned(0, 1)
}

// abandoned adds calls that were abandoned while their servers may go on with them, and returns how many such
// calls there are: each fades over mean, the time that answers take now.
func (b *Balancer) abandoned(more, mean float64) float64 {
	if b.abandonedCalls > 0 {
		b.abandonedCalls *= math.Exp(-float64(b.now-b.abandonedAt) / b.abandonedFade)
	}
	b.abandonedAt = b.now
	if more > 0 {
		b.abandonedFade = mean
		b.abandonedCalls += more
	}
	return b.abandonedCalls
}

// limit is the share of the window that belongs to servers which may take calls now: the others must not
// carry the share of servers that are ejected, or that get few calls in slow start.
func (b *Balancer) limit() float64 {
	b.countUsable()
	return b.window * b.usableShare
}

// countUsable updates usableShare and excessCalls, once a tick.
func (b *Balancer) countUsable() {
	if b.usableCountedAt < 0 || b.now >= b.usableCountedAt+max(b.settings.Tick, 1) {
		b.usableShare, b.usableCountedAt, b.excessCalls = 0, b.now, 0
		ejected := 0
		part := b.window / max(1, float64(len(b.subset)))
		for _, s := range b.ready {
			b.excessCalls += max(0, s.calls-max(crowdedCalls, 1+int(part)))
			if b.isEjected(s) {
				ejected++
			} else if w := b.warmth(s); w < 1 && b.wholeList {
				b.usableShare += w
			} else if w < 1 {
				b.usableShare += b.slowStartLimit(w) / b.serverCalls
			} else {
				b.usableShare += min(1, float64(b.refusalLimit(s))/max(1, part))
			}
		}
		if len(b.servers) > len(b.ready) {
			for _, s := range b.servers {
				if !s.listed || s.State != Ready {
					b.excessCalls += s.calls
				}
			}
		}
		// Ejected servers beyond maxExcluded are drawn nevertheless.
		b.usableShare += float64(max(0, ejected-b.maxExcluded()))
		b.usableShare /= max(1, float64(len(b.ready)))
	}
}

// addPacingDebt adds server time that a call is expected to use. A thousand copies with one or two calls each
// are an overload already, so a window below minWindow is kept on average: a copy that has sent minWindow
// calls pauses until its window would have admitted them for their mean duration.
func (b *Balancer) addPacingDebt(c *class, d float64) {
	b.pacingDebt = max(b.pacingDebt-b.window*float64(b.now-b.pacingDebtAt), -minWindow*c.mean) + d
	b.pacingDebtAt = b.now
	if b.window >= minWindow {
		b.pacingDebt = 0 // the window is enforced by count; old debt must not stop the copy when it shrinks
	}
}

// pausedUntil is when the pacing debt is paid off.
func (b *Balancer) pausedUntil() time.Duration {
	if b.window >= minWindow {
		return 0
	}
	return b.pacingDebtAt + time.Duration(b.pacingDebt/b.window)
}

// fairServers is the number of ready servers for each copy of this tier.
func (b *Balancer) fairServers() float64 {
	return float64(len(b.ready)) / float64(max(1, b.settings.Balancers))
}

// adjustWindow adapts the window so that the mean latency stays at a set share of the aim: overloaded servers
// stay slow, so the excess has to be queued or rejected here. It grows slowly, because the effect of requests
// admitted now shows only in their answers.
func (b *Balancer) adjustWindow(r *request, e Outcome) {
	if b.settings.Tier > 0 || e.Ending == NeverSent || e.Ending == Failure {
		return
	}
	use := float64(b.now-r.attempts[e.Attempt].sent) / float64(r.class.Aim)
	switch {
	case e.Ending == Canceled && use <= b.targetUse:
		return // its latency is not known, only that it would have been higher
	case e.Ending != Success && e.Ending != Canceled:
		use = max(use, 1)
	}
	b.learnUse(min(use, 1))
	floor, overload := min(b.window, b.serverCalls*b.fairServers()), b.overload()
	abandoned := e.Ending == TimedOut || e.Ending == Canceled && use > 1
	if abandoned {
		b.abandonedShare += pooledWeight * (1 - b.abandonedShare)
	} else {
		b.abandonedShare -= pooledWeight * b.abandonedShare
	}
	switch {
	case abandoned && b.abandonedShare > maxAbandonedShare:
		// The servers are busy with abandoned calls. They recover only if they get less than is always
		// admitted otherwise, so each abandoned call shrinks the window, down to a few probes.
		floor = min(b.window, windowProbeShare*b.serverCalls*b.fairServers())
		b.window -= windowAbandonedDecrease * min(1, b.window)
	case overload > 1:
		// Within a round of answers the window falls towards the size that would have met the target: a
		// window that is ten times too large must not take ten times as long to correct.
		b.window -= max(windowDown, min(windowMaxDecrease, (1-1/overload)/2)) * min(1, b.window)
	case overload < windowGrowthCeiling && b.admitted()+1 >= windowUsedShare*b.limit():
		b.window += windowUp * min(1, b.window)
		if b.window >= minWindow { // one or two calls of a copy show too little of what all copies do
			b.window += windowRoom * max(0, 1-overload)
		}
	}
	if b.window = max(b.window, floor); e.Ending == Success && use <= 1 {
		// After such a collapse the window doubles with each round of timely answers.
		b.window = max(b.window, min(b.window+1, b.serverCalls*b.fairServers()))
	}
}

// learnUse adds the share of the aim that an answer took, at most 1, to the means. The lowest mean shows how
// much the work takes without queueing; a fixed share of the aim alone would starve slow work, or overload
// the servers of quick work. It is a mean of logs, so that a few calls at a hung server do not look like an
// overload of all. In the first rounds the quickest answers come first, so these do not set the lowest mean.
func (b *Balancer) learnUse(use float64) {
	weight := 2 / (b.window + 16)
	b.targetUse += weight * (use - b.targetUse)
	b.logUse += weight * (math.Log(max(use, 1e-6)) - b.logUse)
	if b.samples++; b.samples > 2*windowStart*b.fairServers() {
		rise := max(baselineWeight, weight*b.newShare)
		b.leastLogUse = min(b.logUse, b.leastLogUse+rise*(b.logUse-b.leastLogUse))
		b.newShare -= newServersWeight * weight * b.newShare
	} else {
		b.leastLogUse = b.logUse
	}
}

// overload is the mean latency over what is accepted, which is less the more is shed and the more the
// servers' latencies differ: then some are probably overloaded, while servers that are evenly slow are
// merely busy. The difference that chance explains does not count, or shedding would cause more shedding.
func (b *Balancer) overload() float64 {
	tolerance := 1 - b.shedShare*min(1, shedding*max(0, b.unevenness()-b.chanceUnevenness()))
	busy := busyRatio * (1 + calmRatio*math.Pow(1-b.shedShare, calmPower))
	return max(b.targetUse/targetFill, math.Exp(b.logUse-b.leastLogUse)/busy) / tolerance
}

// unevenness is the variance of the servers' mean log latencies, relative to their classes.
func (b *Balancer) unevenness() float64 {
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

// chanceUnevenness is the unevenness that equal servers show: what the variance of single answers leaves in
// an exponential mean of weight serverWeight.
func (b *Balancer) chanceUnevenness() float64 {
	return b.latencyVariance * serverWeight / (2 - serverWeight)
}

// value is what an answer is worth for the server time it takes: the queue is sent in this order, so that
// shedding hits what is worth least. The class, quota and tenant served worst count extra.
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
	if r.clientRetry { // its aim runs from the client's first try, so most of it has passed
		v *= c.LateShare
	}
	return v / c.mean * (1 + b.settings.TenantWeight*tenantBoost*b.tenantDeficit(r.tenant))
}

// isWorstServed reports whether no other quota is served worse.
func (b *Balancer) isWorstServed(q *quota) bool {
	return !slices.ContainsFunc(b.quotaList, func(o *quota) bool { return o.isWorseThan(q.servedCounts) })
}

// countTenant counts a tenant's request. Beyond maxTenants the one with the fewest recent requests is
// dropped, so that invented names cost a bounded search and bounded memory.
func (b *Balancer) countTenant(name string) *tenant {
	t := &b.tenants
	if t.byName == nil {
		*t = tenants{byName: map[string]*tenant{}, scale: 1}
	}
	if t.scale *= 1 + tenantFade; t.scale > 1e100 {
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
	if t.since--; t.since <= 0 {
		t.since, t.active = maxTenants/4, 0
		for _, other := range t.byName {
			if other.requested > t.scale/2 {
				t.active++
			}
		}
		// The sum of served fades with scale; it is computed anew so that rounding does not accumulate.
		t.served = 0
		for _, other := range t.byName {
			t.served += other.served
		}
	}
	return counted
}

// tenantDeficit is how far a tenant is below an equal share of what was recently served: 0 not at all, 1 it
// was served nothing. It does not use the share of the tenant's own requests: by that, one that floods is
// served worst.
func (b *Balancer) tenantDeficit(t *tenant) float64 {
	if t == nil || b.tenants.served <= 0 {
		return 0
	}
	return max(0, 1-t.served/b.tenants.served*max(1, b.tenants.active))
}

// answer gives the final answer of a request without a successful attempt: a rejection, which promises that a
// retry is harmless, or where that can't be promised a failure.
func (b *Balancer) answer(r *request) {
	if r.answered || r.streaming {
		return
	}
	harmless := true
	for _, a := range r.attempts {
		effect, scope := r.class.Effect, r.class.Scope
		if !a.neverRan && (effect == NonIdempotent || effect == IdempotentByKey && scope != ScopeAll) {
			harmless = false
		}
	}
	if len(r.attempts) == 0 {
		b.shedShare += pooledWeight / 4 * (1 - b.shedShare)
	}
	if harmless {
		// A client that waits long retries when most of its aim has passed, and its late answer takes the
		// place of a timely one. The window limits the load, so the advice is short.
		b.emit(Reject{ID: r.id, RetryAfter: min(b.settings.MaxRetryAfter, b.settings.Tick)})
	} else {
		b.emit(Fail{ID: r.id})
	}
	b.close(r)
}

// close ends a request and cancels its attempts in flight.
func (b *Balancer) close(r *request) {
	if r.answered {
		return
	}
	r.answered = true
	b.dequeue(r)
	for _, a := range r.attempts {
		b.cancel(a)
	}
	b.forget(r)
}

// forget deletes a request that is answered and has no attempt in flight.
func (b *Balancer) forget(r *request) {
	if r.answered && r.inFlight == 0 {
		delete(b.requests, r.id)
	}
}
