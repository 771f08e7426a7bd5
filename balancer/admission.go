package balancer

import (
	"math"
	"slices"
	"time"
)

// maySendAgain says that the class's effect and the limits allow one more attempt now.
func (b *Balancer) maySendAgain(r *request) bool {
	if r.answered || r.streaming || r.spent || len(r.attempts) >= max(1, b.set.MaxAttempts) {
		return false
	}
	for _, a := range r.attempts {
		if a.unsent {
			continue
		}
		last := a.sent + r.class.Window - 2*b.set.Tick
		if r.class.Effect == Unsafe || r.class.Effect == Keyed && b.now >= last {
			return false
		}
	}
	return true
}

// further decides what follows when no attempt is left out: another within the budget and with
// time for an answer, or the final answer. Without the budget, retries of every tier multiply.
func (b *Balancer) further(r *request) {
	left := float64(r.deadline - b.now)
	cost := 1.0
	if r.attempts[len(r.attempts)-1].unsent {
		cost = unsentCost
	}
	if !b.maySendAgain(r) || b.tokens < cost || left < r.class.mean/2 {
		b.answer(r)
		return
	}
	s := b.choose(r)
	if s == nil {
		b.answer(r)
		return
	}
	b.tokens -= cost
	b.send(r, s)
}

// full says that the node has as many calls out as the tiers below answer in good time. Only the
// first tier holds back: a call refused further down wastes what was done above it.
func (b *Balancer) full() bool {
	return len(b.ready) == 0 || b.set.Tier == 0 &&
		(b.admitted() >= max(b.limit(), windowLeast) || b.now < b.pause())
}

// admitted is how many own calls are out at listed servers: those at one that drains are no load on the
// others, nor is what one has beyond its part, or a choked one would keep an idle one idle. At one that hangs
// they count, for in overload every server is slow to answer.
func (b *Balancer) admitted() float64 {
	b.countUsable()
	return float64(b.inFlight-b.astray) + b.ghosts(0, 1)
}

// ghosts adds calls that were given up, though their servers may work on for nobody and have no room for
// another meanwhile, and gives how many there are: each fades over the time that answers take now.
func (b *Balancer) ghosts(more, mean float64) float64 {
	if b.ghost > 0 {
		b.ghost *= math.Exp(-float64(b.now-b.ghostAt) / b.ghostFor)
	}
	b.ghostAt = b.now
	if more > 0 {
		b.ghostFor = mean
		b.ghost += more
	}
	return b.ghost
}

// limit is the part of the window that is for servers which may take calls now: the room of those that
// health keeps out, or that are cold and get few calls, is not the others' to carry.
func (b *Balancer) limit() float64 {
	b.countUsable()
	return b.window * b.usable
}

// countUsable counts anew what limit and admitted need, once a tick.
func (b *Balancer) countUsable() {
	if b.usableAt < 0 || b.now >= b.usableAt+max(b.set.Tick, 1) {
		b.usable, b.usableAt, b.astray = 0, b.now, 0
		out := 0
		part := b.window / max(1, float64(len(b.subset)))
		for _, s := range b.ready {
			b.astray += max(0, s.calls-max(crowding, 1+int(part)))
			if b.away(s) {
				out++
			} else if w := b.warmth(s); w < 1 && b.whole {
				b.usable += w
			} else if w < 1 {
				b.usable += b.coldRoom(w) / b.takes
			} else {
				b.usable += min(1, float64(b.roomy(s))/max(1, part))
			}
		}
		if len(b.servers) > len(b.ready) {
			for _, s := range b.servers {
				if !s.listed || s.State != Ready {
					b.astray += s.calls
				}
			}
		}
		// Those beyond what health may rule out are drawn all the same.
		b.usable += float64(max(0, out-b.mostOut()))
		b.usable /= max(1, float64(len(b.ready)))
	}
}

// owe books time that a call holds a server. A thousand copies with a call or two each are a crowd
// already, so a smaller window is kept on the average: a copy that has sent windowLeast calls at once
// pauses until its window would have held them for their mean time.
func (b *Balancer) owe(c *class, d float64) {
	b.debt = max(b.debt-b.window*float64(b.now-b.debtAt), -windowLeast*c.mean) + d
	b.debtAt = b.now
	if b.window >= windowLeast {
		b.debt = 0 // the count rules; what was owed then must not stop a copy when its window shrinks
	}
}

// pause is when what is owed is paid off.
func (b *Balancer) pause() time.Duration {
	if b.window >= windowLeast {
		return 0
	}
	return b.debtAt + time.Duration(b.debt/b.window)
}

// fairServers is how many servers there are for each copy of this tier.
func (b *Balancer) fairServers() float64 {
	return float64(len(b.ready)) / float64(max(1, b.set.Balancers))
}

// steer moves the window so that the mean latency stays at a set part of the aim: crowded servers
// choke and stay slow, so the crowd must wait or be refused here. It grows slowly: the crowd let in
// a moment ago shows only when its answers come.
func (b *Balancer) steer(r *request, e Outcome) {
	if b.set.Tier > 0 || e.Ending == Void || e.Ending == Failure {
		return
	}
	over := float64(b.now-r.attempts[e.Attempt].sent) / float64(r.class.Aim)
	switch {
	case e.Ending == Withdrawn && over <= b.fill:
		return // how long it would have taken is not known, only that it was no less
	case e.Ending != Success && e.Ending != Withdrawn:
		over = max(over, 1)
	}
	weight := 2 / (b.window + 16)
	b.fill += weight * (min(over, 1) - b.fill)
	// Servers that were idle a while ago show how much of the aim bare work fills; crowding is what comes on
	// top, and a fixed share of the aim would starve slow work or choke the servers of quick work. The mean
	// of logs, for a few calls at a server that hangs must not look like a crowd at all of them. Of the
	// first rounds the shortest come first, so they don't tell the least.
	b.pace += weight * (math.Log(max(min(over, 1), 1e-6)) - b.pace)
	if b.answers++; b.answers > 2*windowStart*b.fairServers() {
		b.bare = min(b.pace, b.bare+max(bareMemory, weight*b.fresh)*(b.pace-b.bare))
		b.fresh -= newMemory * weight * b.fresh
	} else {
		b.bare = b.pace
	}
	// The more is shed and the less alike the servers are, the surer it is that some choke: then leaner
	// is better, while servers that are evenly slow are merely busy. What chance alone makes uneven does not
	// count, or shedding would be its own reason. The floor keeps bare work that fills much of the aim
	// from being taken for a crowd until nothing is sent.
	lean := 1 - b.shed*min(1, shedding*max(0, b.unevenness()-b.luck()))
	busy := busyRatio * (1 + calmRatio*math.Pow(1-b.shed, calmPower))
	crowd := max(b.fill/aimFill, math.Exp(b.pace-b.bare)/busy) / lean
	least := min(b.window, b.takes*b.fairServers())
	vain := e.Ending == TimedOut || e.Ending == Withdrawn && over > 1
	if vain {
		b.vain += memory * (1 - b.vain)
	} else {
		b.vain -= memory * b.vain
	}
	switch {
	case vain && b.vain > mostVain:
		// Servers are busy with what nobody waits for any more. Only less than is always admitted lets them
		// work that off, so the window goes with the calls that failed, down to next to none.
		least = min(b.window, windowProbe*b.takes*b.fairServers())
		b.window -= windowVain * min(1, b.window)
	case crowd > 1:
		// In a round of answers the window falls towards what would have brought the aimed-for latency,
		// for one that is ten times too large must not take ten times as long to mend.
		b.window -= max(windowDown, min(windowFast, (1-1/crowd)/2)) * min(1, b.window)
	case crowd < windowEdge && b.admitted()+1 >= 0.8*b.limit():
		b.window += windowUp * min(1, b.window)
		if b.window >= windowLeast { // a copy with a call or two can't tell what all of them together do
			b.window += windowRoom * max(0, 1-crowd)
		}
	}
	if b.window = max(b.window, least); e.Ending == Success && over <= 1 {
		// Out of such a hole it doubles each round.
		b.window = max(b.window, min(b.window+1, b.takes*b.fairServers()))
	}
}

// unevenness is the variance of the servers' mean log latencies.
func (b *Balancer) unevenness() float64 {
	var n, sum, squares float64
	for _, s := range b.ready {
		if s.samples > 0 {
			n++
			sum += s.slow
			squares += s.slow * s.slow
		}
	}
	n = max(n, 1)
	return squares/n - sum/n*sum/n
}

// luck is the part of unevenness that servers show though they are alike: what single answers' variance
// leaves in a mean of that memory.
func (b *Balancer) luck() float64 { return b.spread * ownMemory / (2 - ownMemory) }

// value is what an answer in a class adds to the result for the time it takes, so that shedding
// hits what is worth least; the class served worst counts extra, so none starves.
func (b *Balancer) value(r *request) float64 {
	c := r.class
	var total float64
	worst := c
	for _, k := range b.order {
		total += k.Worth * k.arrive
		if k.worse(worst.service) {
			worst = k
		}
	}
	v := b.set.WholeWeight * c.Worth / max(total, 1e-9)
	if worst == c {
		v += b.set.ClassWeight / max(c.arrive, 1e-9)
	}
	if r.over {
		v *= b.set.OverShare
	} else if r.quota != nil && b.starved(r.quota) {
		v += b.set.WorstTenantWeight / max(r.quota.arrive, 1e-9)
	}
	if r.repeat { // its aim runs from the client's first try and is mostly over
		v *= c.LateShare
	}
	return v / c.mean * (1 + b.set.TenantWeight*tenantBoost*b.deficit(r.tenant))
}

// starved says that of all quotas this one is served worst.
func (b *Balancer) starved(q *quota) bool {
	return !slices.ContainsFunc(b.quotaList, func(o *quota) bool { return o.worse(q.service) })
}

// asked counts a tenant's request. Of more than maxTenants the one that asked least of late is forgotten, so
// that made-up names cost a bounded search and no memory.
func (b *Balancer) asked(name string) *tenant {
	t := &b.tenants
	if t.byName == nil {
		*t = tenants{byName: map[string]*tenant{}, scale: 1}
	}
	if t.scale *= 1 + tenantFade; t.scale > 1e100 {
		for _, x := range t.byName {
			x.asked, x.served = x.asked/t.scale, x.served/t.scale
		}
		t.served, t.scale = t.served/t.scale, 1
	}
	x := t.byName[name]
	if x == nil {
		if len(t.byName) >= maxTenants {
			least := ""
			for n, y := range t.byName {
				if z := t.byName[least]; z == nil || y.asked < z.asked || y.asked == z.asked && n < least {
					least = n
				}
			}
			delete(t.byName, least)
		}
		x = &tenant{}
		t.byName[name] = x
	}
	x.asked += t.scale
	if t.since--; t.since <= 0 {
		t.since, t.active = maxTenants/4, 0
		for _, y := range t.byName {
			if y.asked > t.scale/2 {
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

// deficit is how far a tenant is from an equal part of what was served of late: 0 none, 1 all of it. The
// part counts and not the share of its own requests, or the one that floods would be served worst.
func (b *Balancer) deficit(x *tenant) float64 {
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
		if !a.unsent && (r.class.Effect == Unsafe || r.class.Effect == Keyed && r.class.Scope != ScopeAll) {
			harmless = false
		}
	}
	if len(r.attempts) == 0 {
		b.shed += memory / 4 * (1 - b.shed)
	}
	if harmless {
		// A client sent away for long comes back when its aim is mostly over, and its late answer
		// takes the room of one in time; the window, not the clients' absence, holds the load off.
		b.do(Refuse{ID: r.id, RetryAfter: min(b.set.MaxRetryAfter, b.set.Tick)})
	} else {
		b.do(Fail{ID: r.id})
	}
	b.close(r)
}

// close ends a request and calls off what is still out for it.
func (b *Balancer) close(r *request) {
	if r.answered {
		return
	}
	r.answered = true
	b.unhold(r)
	for _, a := range r.attempts {
		b.cancel(a)
	}
	b.forget(r)
}

// forget drops a request once nothing of it is left.
func (b *Balancer) forget(r *request) {
	if r.answered && r.out == 0 {
		delete(b.requests, r.id)
	}
}
