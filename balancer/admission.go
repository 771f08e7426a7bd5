package balancer

import (
	"math"
	"slices"
	"time"
)

// mayRetry says that the class's effect and the limits allow one more attempt now.
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

// retryOrAnswer decides what follows when no attempt is left out: another within the budget and with
// time for an answer, or the final answer. Without the budget, retries of every tier multiply.
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

// isFull says that the node has as many calls out as the tiers below answer in good time. Only the
// first tier holds back: a call refused further down wastes what was done above it.
func (b *Balancer) isFull() bool {
	return len(b.ready) == 0 || b.settings.Tier == 0 &&
		(b.admitted() >= max(b.limit(), minWindow) || b.now < b.pausedUntil())
}

// admitted is how many own calls are out at listed servers: those at one that drains are no load on the
// others, nor is what one has beyond its part, or a choked one would keep an idle one idle. At one that hangs
// they count, for in overload every server is slow to answer.
func (b *Balancer) admitted() float64 {
	b.countUsable()
	return float64(b.inFlight-b.excessCalls) + b.abandoned(0, 1)
}

// abandoned adds calls that were given up, though their servers may work on for nobody and have no room for
// another meanwhile, and gives how many there are: each fades over the time that answers take now.
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

// limit is the part of the window that is for servers which may take calls now: the room of those that
// health keeps out, or that are cold and get few calls, is not the others' to carry.
func (b *Balancer) limit() float64 {
	b.countUsable()
	return b.window * b.usableShare
}

// countUsable counts anew what limit and admitted need, once a tick.
func (b *Balancer) countUsable() {
	if b.usableCountedAt < 0 || b.now >= b.usableCountedAt+max(b.settings.Tick, 1) {
		b.usableShare, b.usableCountedAt, b.excessCalls = 0, b.now, 0
		out := 0
		part := b.window / max(1, float64(len(b.subset)))
		for _, s := range b.ready {
			b.excessCalls += max(0, s.calls-max(crowdedCalls, 1+int(part)))
			if b.isEjected(s) {
				out++
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
		// Those beyond what health may rule out are drawn all the same.
		b.usableShare += float64(max(0, out-b.maxExcluded()))
		b.usableShare /= max(1, float64(len(b.ready)))
	}
}

// addPacingDebt books time that a call holds a server. A thousand copies with a call or two each are a crowd
// already, so a smaller window is kept on the average: a copy that has sent windowLeast calls at once
// pauses until its window would have held them for their mean time.
func (b *Balancer) addPacingDebt(c *class, d float64) {
	b.pacingDebt = max(b.pacingDebt-b.window*float64(b.now-b.pacingDebtAt), -minWindow*c.mean) + d
	b.pacingDebtAt = b.now
	if b.window >= minWindow {
		b.pacingDebt = 0 // the count rules; what was owed then must not stop a copy when its window shrinks
	}
}

// pausedUntil is when what is owed is paid off.
func (b *Balancer) pausedUntil() time.Duration {
	if b.window >= minWindow {
		return 0
	}
	return b.pacingDebtAt + time.Duration(b.pacingDebt/b.window)
}

// fairServers is how many servers there are for each copy of this tier.
func (b *Balancer) fairServers() float64 {
	return float64(len(b.ready)) / float64(max(1, b.settings.Balancers))
}

// adjustWindow moves the window so that the mean latency stays at a set part of the aim: crowded servers
// choke and stay slow, so the crowd must wait or be refused here. It grows slowly: the crowd let in
// a moment ago shows only when its answers come.
func (b *Balancer) adjustWindow(r *request, e Outcome) {
	if b.settings.Tier > 0 || e.Ending == NeverSent || e.Ending == Failure {
		return
	}
	over := float64(b.now-r.attempts[e.Attempt].sent) / float64(r.class.Aim)
	switch {
	case e.Ending == Canceled && over <= b.targetUse:
		return // how long it would have taken is not known, only that it was no less
	case e.Ending != Success && e.Ending != Canceled:
		over = max(over, 1)
	}
	weight := 2 / (b.window + 16)
	b.targetUse += weight * (min(over, 1) - b.targetUse)
	// Servers that were idle a while ago show how much of the aim bare work fills; crowding is what comes on
	// top, and a fixed share of the aim would starve slow work or choke the servers of quick work. The mean
	// of logs, for a few calls at a server that hangs must not look like a crowd at all of them. Of the
	// first rounds the shortest come first, so they don't tell the least.
	b.logUse += weight * (math.Log(max(min(over, 1), 1e-6)) - b.logUse)
	if b.samples++; b.samples > 2*windowStart*b.fairServers() {
		recall := max(baselineWeight, weight*b.newShare)
		b.leastLogUse = min(b.logUse, b.leastLogUse+recall*(b.logUse-b.leastLogUse))
		b.newShare -= newServersWeight * weight * b.newShare
	} else {
		b.leastLogUse = b.logUse
	}
	// The more is shed and the less alike the servers are, the surer it is that some choke: then leaner
	// is better, while servers that are evenly slow are merely busy. What chance alone makes uneven does not
	// count, or shedding would be its own reason. The floor keeps bare work that fills much of the aim
	// from being taken for a crowd until nothing is sent.
	lean := 1 - b.shedShare*min(1, shedding*max(0, b.unevenness()-b.chanceUnevenness()))
	busy := busyRatio * (1 + calmRatio*math.Pow(1-b.shedShare, calmPower))
	crowd := max(b.targetUse/targetFill, math.Exp(b.logUse-b.leastLogUse)/busy) / lean
	least := min(b.window, b.serverCalls*b.fairServers())
	vain := e.Ending == TimedOut || e.Ending == Canceled && over > 1
	if vain {
		b.abandonedShare += pooledWeight * (1 - b.abandonedShare)
	} else {
		b.abandonedShare -= pooledWeight * b.abandonedShare
	}
	switch {
	case vain && b.abandonedShare > maxAbandonedShare:
		// Servers are busy with what nobody waits for any more. Only less than is always admitted lets them
		// work that off, so the window goes with the calls that failed, down to next to none.
		least = min(b.window, windowProbeShare*b.serverCalls*b.fairServers())
		b.window -= windowAbandonedDecrease * min(1, b.window)
	case crowd > 1:
		// In a round of answers the window falls towards what would have brought the aimed-for latency,
		// for one that is ten times too large must not take ten times as long to mend.
		b.window -= max(windowDown, min(windowMaxDecrease, (1-1/crowd)/2)) * min(1, b.window)
	case crowd < windowGrowthCeiling && b.admitted()+1 >= 0.8*b.limit():
		b.window += windowUp * min(1, b.window)
		if b.window >= minWindow { // a copy with a call or two can't tell what all of them together do
			b.window += windowRoom * max(0, 1-crowd)
		}
	}
	if b.window = max(b.window, least); e.Ending == Success && over <= 1 {
		// Out of such a hole it doubles each round.
		b.window = max(b.window, min(b.window+1, b.serverCalls*b.fairServers()))
	}
}

// unevenness is the variance of the servers' mean log latencies.
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

// chanceUnevenness is the part of unevenness that servers show though they are alike: what the variance of
// single answers leaves in a mean of that memory.
func (b *Balancer) chanceUnevenness() float64 {
	return b.latencyVariance * serverWeight / (2 - serverWeight)
}

// value is what an answer in a class adds to the result for the time it takes, so that shedding
// hits what is worth least; the class served worst counts extra, so none starves.
func (b *Balancer) value(r *request) float64 {
	c := r.class
	var total float64
	worst := c
	for _, k := range b.classList {
		total += k.Worth * k.arrived
		if k.isWorseThan(worst.servedCounts) {
			worst = k
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
	if r.clientRetry { // its aim runs from the client's first try and is mostly over
		v *= c.LateShare
	}
	return v / c.mean * (1 + b.settings.TenantWeight*tenantBoost*b.tenantDeficit(r.tenant))
}

// isWorstServed says that of all quotas this one is served worst.
func (b *Balancer) isWorstServed(q *quota) bool {
	return !slices.ContainsFunc(b.quotaList, func(o *quota) bool { return o.isWorseThan(q.servedCounts) })
}

// countTenant counts a tenant's request. Of more than maxTenants the one that asked least of late is
// forgotten, so that made-up names cost a bounded search and no memory.
func (b *Balancer) countTenant(name string) *tenant {
	t := &b.tenants
	if t.byName == nil {
		*t = tenants{byName: map[string]*tenant{}, scale: 1}
	}
	if t.scale *= 1 + tenantFade; t.scale > 1e100 {
		for _, x := range t.byName {
			x.requested, x.served = x.requested/t.scale, x.served/t.scale
		}
		t.served, t.scale = t.served/t.scale, 1
	}
	x := t.byName[name]
	if x == nil {
		if len(t.byName) >= maxTenants {
			least := ""
			for n, y := range t.byName {
				z := t.byName[least]
				if z == nil || y.requested < z.requested || y.requested == z.requested && n < least {
					least = n
				}
			}
			delete(t.byName, least)
		}
		x = &tenant{}
		t.byName[name] = x
	}
	x.requested += t.scale
	if t.since--; t.since <= 0 {
		t.since, t.active = maxTenants/4, 0
		for _, y := range t.byName {
			if y.requested > t.scale/2 {
				t.active++
			}
		}
		// What is served fades with what is asked, and is summed anew against drift.
		t.served = 0
		for _, y := range t.byName {
			t.served += y.served
		}
	}
	return x
}

// tenantDeficit is how far a tenant is from an equal part of what was served of late: 0 none, 1 all of it.
// The part counts and not the share of its own requests, or the one that floods would be served worst.
func (b *Balancer) tenantDeficit(x *tenant) float64 {
	if x == nil || b.tenants.served <= 0 {
		return 0
	}
	return max(0, 1-x.served/b.tenants.served*max(1, b.tenants.active))
}

// answer gives the final answer: a refusal where the rules let it promise that a retry is
// harmless, else a failure. With an attempt still out it waits for that.
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
		// A client sent away for long comes back when its aim is mostly over, and its late answer
		// takes the room of one in time; the window, not the clients' absence, holds the load off.
		b.emit(Reject{ID: r.id, RetryAfter: min(b.settings.MaxRetryAfter, b.settings.Tick)})
	} else {
		b.emit(Fail{ID: r.id})
	}
	b.close(r)
}

// close ends a request and calls off what is still out for it.
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

// forget drops a request once nothing of it is left.
func (b *Balancer) forget(r *request) {
	if r.answered && r.inFlight == 0 {
		delete(b.requests, r.id)
	}
}
