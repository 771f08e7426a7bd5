// Every decision of the balancer: here what an event leads to, in list.go what discovery tells, in choice.go
// which server, in health.go how servers are judged, in admission.go what is let in, tried again, given up.

package balancer

import (
	"slices"
	"strings"
	"time"
)

// Constants are shares, ratios or counts; every length of time is a setting or was observed.
const (
	alpha       = 0.5  // share of the list in the left group
	memory      = 0.06 // weight of a new sample in pooled averages (about 16 samples)
	ownMemory   = 0.25 // weight of a new sample in a single server's averages
	chance      = 0.08 // a run of errors likelier than this by the peers' error share is luck
	tailSpread  = 3.0  // deviations above the mean at which a wait counts as overlong
	slowRatio   = 2.5  // times its peers' latency that makes a server slow
	slowThins   = 2.0  // power of a server's slowness by which its draws are thinned
	minSamples  = 3    // samples before a server can be called slow
	mostOut     = 0.2  // share of the list that health may exclude; beyond that all are drawn
	ejection    = 12   // mean latencies that a first ejection, or a lack of room, lasts
	maxLevel    = 5    // doublings of an ejection
	windowFloor = 5.0  // own calls a server that are always admitted
	retryEarn   = 0.15 // further attempts earned by a success
	unsentCost  = 0.1  // what a further attempt costs when the last one never ran
	retryPurse  = 10   // most that can be saved up
	aimFill     = 0.6  // mean latency over aim that admission lets be at the most
	busyRatio   = 1.5  // and times the least (geometric) mean of that which was seen
	calmRatio   = 0.4  // that much more is let be while nothing is shed: a node that turns nobody
	calmPower   = 16   // away has no crowd to keep out; and how soon it is gone as it does
	shedding    = 4.0  // part of aimFill given up when all is shed, for each unit of unevenness
	windowUp    = 0.02 // window gained by an answer in good time
	windowEdge  = 0.9  // part of the latency let be above which nothing is gained
	windowRoom  = 0.1  // and more, times how far latency is under what is let be
	windowDown  = 0.1  // window lost by a late one
	windowStart = 5.0  // own calls admitted per server before anything is known
	windowFast  = 0.3  // the most that is lost by one
	windowVain  = 3.0  // window lost by each call given up on, once most are
	windowProbe = 0.1  // part of windowFloor that is left then, to see when servers answer again
	mostVain    = 0.5  // share of calls given up on at which it gives way to next to nothing
	windowLeast = 2.0  // own calls that may be out at once whatever the window
	tenantBoost = 10   // times its value that a tenant's request has that got no service, at weight 1
	tenantFade  = 0.005
	maxTenants  = 256
	quotaBurst  = 1.0 // seconds of a quota that may come at once
	firstRoom   = 2.0 // times the window that those may fill which are not held back for others
	crowding    = 2   // own calls, above the mean, at which a server is passed over
	askSpread   = 40  // copies whose calls to discovery are spread over all of AskWithin; of fewer, over less
	askLongest  = 4   // times AskWithin between calls that fail

	bareMemory = memory / 128 // weight of an answer in forgetting the least mean that busyRatio is of
	newMemory  = 0.25         // and times its weight in the mean for the part of the list that is new
)

// Handle takes one event at the clock time now and returns what to do, in order.
func (b *Balancer) Handle(now time.Duration, e Event) []Action {
	b.now = max(b.now, now)
	b.out = nil
	switch e := e.(type) {
	case ServerList:
		b.takeList(e)
	case Fleet:
		b.takeFleet(e)
	case Classes:
		b.takeClasses(e.Classes)
	case Hearsay:
		b.takeHearsay(e)
	case ListFailed:
		b.subFails++
		b.askAgain(e.Garbled)
	case Request:
		b.accept(e)
	case Outcome:
		b.takeOutcome(e)
	case Started:
		b.takeStarted(e)
	case ClientGone:
		if r := b.requests[e.ID]; r != nil {
			b.close(r)
		}
	case Timer:
		b.takeTimer(e)
	}
	return b.out
}

func (b *Balancer) do(a Action) { b.out = append(b.out, a) }

func (b *Balancer) takeTimer(e Timer) {
	if e.Token == "list" {
		if b.subWanted > 0 && b.now+b.set.Tick >= b.subWanted {
			b.subWanted = 0
			b.do(Subscribe{})
		}
		return
	}
	// A host may round a time down, so a timer can come a hair early: nothing relies on its being
	// late enough, and a review that finds nothing due yet asks for another.
	if r := b.requests[strings.TrimPrefix(e.Token, "r:")]; r != nil {
		if b.now+b.set.Tick >= r.wake {
			r.wake = 0
		}
		b.review(r)
	}
}

// wakeAt asks for a review of a request, unless one is due by then already.
func (b *Balancer) wakeAt(r *request, at time.Duration) {
	at = max(at, b.now+1)
	if r.wake > b.now && r.wake <= at {
		return
	}
	r.wake = at
	b.do(Wake{At: at, Token: "r:" + r.id})
}

func (b *Balancer) accept(e Request) {
	if b.requests[e.ID] != nil {
		return
	}
	c := b.classes[e.Class]
	if c == nil {
		c = b.order[len(b.order)-1] // unknown: unsafe
	}
	r := &request{id: e.ID, class: c, arrived: b.now, deadline: e.Deadline, repeat: e.Repeat,
		cost: float64(e.Cost), places: e.Places}
	b.requests[e.ID] = r
	if e.Among != nil {
		r.among = make(map[string]bool, len(e.Among))
		for _, id := range e.Among {
			r.among[id] = true
		}
	}
	if b.set.TenantWeight > 0 {
		r.tenant = b.asked(e.Tenant)
	}
	if e.Places != nil && len(e.Places) == 0 {
		b.answer(r)
		return
	}
	b.backdate(r)
	for _, k := range b.order {
		k.fade()
	}
	c.arrive++
	if r.quota = b.quotas[e.Tenant]; r.quota != nil {
		b.charge(r)
	}
	b.place(r)
}

// charge says whether a request is within its tenant's quota. A client's further try asks for nothing
// new, so it takes nothing of it.
func (b *Balancer) charge(r *request) {
	for _, q := range b.quotaList {
		q.fade()
	}
	q := r.quota
	q.fill(b.now)
	if r.over = q.room < 1; r.over {
		return
	}
	if !r.repeat {
		q.room--
	}
	q.arrive++
}

// backdate finds when the client first asked. Tries are all given the same time unless the class's
// deadline, which runs over all of them, ends sooner: a shorter one tells how much is over already.
func (b *Balancer) backdate(r *request) {
	left := r.deadline - b.now
	r.class.longestTry = max(r.class.longestTry, left)
	if b.set.Tier == 0 && float64(left) < 0.95*float64(r.class.longestTry) {
		r.arrived = min(b.now, r.deadline-r.class.Deadline)
		r.repeat = true
	}
}

// place sends a request, or holds it while no server may take it.
func (b *Balancer) place(r *request) {
	ahead := r.class.First && b.admitted() < firstRoom*b.limit()
	if r.out == 0 && len(r.attempts) == 0 && b.full() && !ahead {
		b.hold(r)
		return
	}
	s := b.choose(r)
	if s == nil {
		b.hold(r)
		return
	}
	b.send(r, s)
}

func (b *Balancer) send(r *request, s *server) {
	a := &attempt{req: r, srv: s, n: len(r.attempts), sent: b.now, zone: s.Zone, cell: s.Cell}
	if a.n == 0 {
		b.shed -= memory / 4 * b.shed
	}
	r.attempts = append(r.attempts, a)
	r.out++
	b.unhold(r)
	s.calls++
	s.open = append(s.open, a)
	b.inFlight++
	b.owe(r.class, r.class.mean)
	b.do(Send{ID: r.id, Server: s.ID, Timeout: max(r.deadline-b.now, b.set.Tick), Spares: b.spares(r)})
}

// spares are further servers for a request that was just sent, each picked as the next attempt would be.
// Only warm ones: what is tried there is not counted until it has ended.
func (b *Balancer) spares(r *request) (ids []string) {
	if b.set.Spares == 0 || r.class.Effect != Safe {
		return nil
	}
	sent := len(r.attempts)
	for range b.set.Spares {
		s := b.choose(r)
		if s == nil {
			break
		}
		r.attempts = append(r.attempts, &attempt{srv: s, ended: true}) // lest it is picked twice
		if b.warmth(s) == 1 {
			ids = append(ids, s.ID)
		}
	}
	r.attempts = r.attempts[:sent]
	return ids
}

// overlong is the wait for an answer that most of a class's answers stay well under.
func (b *Balancer) overlong(c *class) time.Duration {
	return time.Duration(c.mean + tailSpread*c.dev)
}

// review does whatever has come due for a request.
func (b *Balancer) review(r *request) {
	switch {
	case r.answered || r.streaming:
	case r.held && b.now >= b.holdUntil(r):
		b.answer(r)
	case r.held:
		b.release()
		if r.held {
			b.wakeAt(r, b.heldUntil(r))
		}
	}
}

// hold keeps a request back; its timer makes sure that it is answered.
func (b *Balancer) hold(r *request) {
	if b.now >= b.holdUntil(r) {
		b.answer(r)
		return
	}
	if !r.held {
		r.held = true
		b.held = append(b.held, r)
	}
	b.wakeAt(r, b.heldUntil(r))
}

func (b *Balancer) unhold(r *request) {
	if !r.held {
		return
	}
	r.held = false
	b.held = slices.DeleteFunc(b.held, func(h *request) bool { return h == r })
}

// heldUntil is when a held request is looked at again.
func (b *Balancer) heldUntil(r *request) time.Duration {
	if p := b.pause(); b.now < p {
		return min(p, b.holdUntil(r))
	}
	return b.holdUntil(r)
}

// holdUntil is how long holding makes sense: until an answer may well miss the aim, for late answers
// take the room of those in time. With no server at all a late answer is the best there can be, so
// then almost until the deadline.
func (b *Balancer) holdUntil(r *request) time.Duration {
	last := r.deadline - 2*b.set.Tick
	if len(b.ready) == 0 {
		return last
	}
	aim := r.class.Aim
	hold := max(aim/4, aim-time.Duration(r.class.mean+2*r.class.dev))
	return min(last, r.arrived+hold)
}

// release sends held requests while there is room, the most valuable first.
func (b *Balancer) release() {
	for tries := len(b.held); tries > 0 && len(b.held) > 0 && !b.full(); tries-- {
		best := b.held[0]
		for _, r := range b.held[1:] {
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

func (b *Balancer) takeStarted(e Started) {
	r := b.requests[e.ID]
	if r == nil {
		return
	}
	r.streaming = true
	for _, a := range r.attempts {
		if a.n != e.Attempt {
			b.cancel(a)
		} else {
			a.began = b.now
			b.settle(a, Outcome{Attempt: a.n, Ending: Success})
			if e.Transfer {
				b.free(a)
				b.release()
			}
		}
	}
}

// free counts a call off, once: when it ends, or when its server has done all but hand the answer over.
func (b *Balancer) free(a *attempt) {
	if !a.freed {
		a.freed = true
		b.inFlight--
		a.srv.calls--
	}
}

// settle ends the wait for an attempt's answer, which has come or begun.
func (b *Balancer) settle(a *attempt, e Outcome) {
	if i := slices.Index(a.srv.open, a); i >= 0 {
		// A hung server's waits tell nothing of how crowded the others are.
		if !b.silent(a.srv) {
			b.steer(a.req, e)
		}
		a.srv.open = slices.Delete(a.srv.open, i, i+1)
	}
}

func (b *Balancer) cancel(a *attempt) {
	if !a.ended && b.set.MayCancel {
		b.do(Cancel{ID: a.req.id, Attempt: a.n})
	}
}

func (b *Balancer) takeOutcome(e Outcome) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := r.attempts[e.Attempt]
	a.ended = true
	a.unsent = e.Ending == Overloaded || e.Ending == Unreachable || e.Ending == Void
	r.out--
	b.free(a)
	r.spent = r.spent || e.Spent
	b.settle(a, e)
	b.judge(a, e)
	if !a.srv.listed && a.srv.calls == 0 && b.servers[a.srv.ID] == a.srv {
		delete(b.servers, a.srv.ID)
	}
	switch {
	case e.Ended:
		if e.Ending == Success && !r.answered && a.sent+a.took(b.now) <= r.arrived+r.class.Aim {
			r.class.serve++
			if r.quota != nil && !r.over {
				r.quota.serve++
			}
			if r.tenant != nil {
				r.tenant.served += b.tenants.scale
				b.tenants.served += b.tenants.scale
			}
		}
		b.close(r)
	case !r.answered && r.out == 0:
		b.further(r)
	}
	b.forget(r)
	b.release()
}
