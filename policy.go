// Every decision of hollyspur. The interface (settings, events, actions) is in hollyspur.go, the
// types of what a Balancer remembers in state.go.
//
// Sections: constants, events, discovery, requests, the pick, eligibility, health,
// slow start, further attempts, admission, answers.

package hollyspur

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
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
	crowding    = 2   // own calls, above the mean, at which a server is passed over
	askSpread   = 40  // copies whose calls to discovery are spread over all of AskWithin; of fewer, over less
	askLongest  = 4   // times AskWithin between calls that fail

	bareMemory = memory / 128 // weight of an answer in forgetting the least mean that busyRatio is of
	newMemory  = 0.25         // and times its weight in the mean for the part of the list that is new
)

// New returns a Balancer that knows no servers yet. The error names the setting at fault.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{set: set, rng: rand.New(rand.NewPCG(seed, 0x51a7e)),
		servers: map[string]*server{}, requests: map[string]*request{},
		classes: map[string]*class{}, quotas: map[string]*quota{}, errors: 0.02, tokens: retryPurse / 2,
		divisor: float64(max(1, set.Balancers)),
		fill:    aimFill / 2, bare: math.Log(aimFill / 2), pace: math.Log(aimFill / 2)}
	longest := set.Classes[0]
	for _, c := range set.Classes {
		b.addClass(c)
		if c.Deadline > longest.Deadline {
			longest = c
		}
	}
	for _, t := range set.Tenants {
		q := &quota{whole: t.Quota, room: math.Inf(1)}
		q.divide(b.divisor)
		b.quotas[t.Name] = q
		b.quotaList = append(b.quotaList, q)
	}
	b.addClass(Class{Aim: longest.Aim, Deadline: longest.Deadline, Worth: longest.Worth})
	return b, nil
}

func (b *Balancer) addClass(c Class) {
	k := &class{Class: c, mean: float64(c.Aim) / 4, dev: float64(c.Aim) / 8}
	b.classes[c.Name] = k
	b.order = append(b.order, k)
}

// ---- Events ----

// Handle takes one event at the clock time now and returns what to do, in order.
func (b *Balancer) Handle(now time.Duration, e Event) []Action {
	b.now = max(b.now, now)
	b.out = nil
	switch e := e.(type) {
	case ServerList:
		b.takeList(e)
	case Fleet:
		b.takeFleet(e)
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

// ---- Discovery ----

// takeList applies news of the servers. A new boot time resets what is known of a server. News of
// changes costs in step with the changes: the ready servers are kept in their order.
func (b *Balancer) takeList(e ServerList) {
	if !e.Ordered {
		b.heard = b.now
	}
	if !e.Full && len(e.Servers) == 0 {
		b.subFails = 0
		return
	}
	before := float64(len(b.ready))
	if e.Full {
		for _, s := range b.servers {
			s.listed = false
		}
		b.ready = b.ready[:0]
	}
	for _, n := range e.Servers {
		s := b.servers[n.ID]
		if s == nil {
			s = &server{}
			b.servers[n.ID] = s
		} else {
			if !e.Full {
				b.leaveReady(s)
			}
			if s.Boot != n.Boot {
				*s = server{calls: s.calls, open: s.open}
			}
		}
		s.Server = n
		s.listed = n.State != Gone
		switch {
		case !s.listed && s.calls == 0:
			delete(b.servers, n.ID)
		case !e.Full:
			b.joinReady(s)
		}
	}
	if e.Full {
		b.rebuildReady()
	}
	b.cutGroups()
	after := float64(len(b.ready))
	if before > 0 && after > 0 {
		// The least latency was other servers': those left may be slower, and those that came are cold.
		b.fresh = min(1, b.fresh+math.Abs(after-before)/max(after, before))
	}
	b.resize(before, after)
	if e.Cached {
		b.askAgain(false)
	} else {
		b.subFails = 0
	}
	b.release()
}

// resize fits the window and the subset to what this copy's part of the servers was and is: what a server
// takes has not changed with their number.
func (b *Balancer) resize(before, after float64) {
	if before > 0 && after > 0 {
		b.window *= after / before
	}
	if b.window > 0 && b.vain <= mostVain {
		b.window = max(b.window, windowFloor*b.fairServers())
	}
	b.usableAt = -1
	b.subset = b.takeSubset()
	b.largest, b.meanSize = 1, 1
	if b.set.Sizes == SizesNominal || b.set.Sizes == SizesRough { // else all are alike
		b.largest, b.meanSize = 0, 0
		for _, s := range b.subset {
			b.largest = max(b.largest, b.size(s))
			b.meanSize += b.size(s) / float64(len(b.subset))
		}
	}
	if b.window == 0 {
		b.window = max(windowStart, float64(b.set.StartCalls)) * b.fairServers()
	}
}

// before is the shared order: every copy sorts by id, which all see alike.
func (b *Balancer) before(x, y *server) bool {
	if b.size(x) != b.size(y) {
		return b.size(x) > b.size(y) // a subset of each size, and ties go to the larger
	}
	return x.Cell < y.Cell || x.Cell == y.Cell && x.ID < y.ID
}

func (b *Balancer) rebuildReady() {
	for id, s := range b.servers {
		if !s.listed && s.calls == 0 {
			delete(b.servers, id)
		} else if s.listed && s.State == Ready {
			b.ready = append(b.ready, s)
		}
	}
	sort.Slice(b.ready, func(i, j int) bool { return b.before(b.ready[i], b.ready[j]) })
	for i, s := range b.ready {
		s.right = i >= b.cut()
	}
}

// joinReady puts a server into its place among the ready ones, if it is ready; leaveReady takes it out.
func (b *Balancer) joinReady(s *server) {
	if !s.listed || s.State != Ready {
		return
	}
	i := sort.Search(len(b.ready), func(i int) bool { return b.before(s, b.ready[i]) })
	s.right = i > 0 && b.ready[i-1].right // as its neighbour, so that the groups stay two runs
	b.ready = slices.Insert(b.ready, i, s)
}

func (b *Balancer) leaveReady(s *server) {
	if s.listed && s.State == Ready {
		i := sort.Search(len(b.ready), func(i int) bool { return !b.before(b.ready[i], s) })
		b.ready = slices.Delete(b.ready, i, i+1)
	}
}

// cut is the index at which the right group begins.
func (b *Balancer) cut() int { return int(math.Ceil(alpha * float64(len(b.ready)))) }

// cutGroups moves the border between the two groups to the cut.
func (b *Balancer) cutGroups() {
	cut := b.cut()
	for i := cut - 1; i >= 0 && b.ready[i].right; i-- {
		b.ready[i].right = false
	}
	for i := cut; i < len(b.ready) && !b.ready[i].right; i++ {
		b.ready[i].right = true
	}
}

// askAgain plans a Subscribe where the list must be asked for. Discovery takes calls one after another,
// and one that it gave up on may still be its work: copies that start, or lose their subscription,
// together keep it from ever answering in time. So the calls are spread over a time in step with the
// number of copies, twice as long with each failure: what many copies call for within AskWithin may be more
// than discovery can ever do. That one answer was garbled is no news to the others.
func (b *Balancer) askAgain(alone bool) {
	if !b.set.AskDiscovery {
		return
	}
	spread := b.set.AskWithin / askSpread
	if !alone {
		spread *= time.Duration(min(askSpread, max(1, b.set.Balancers)))
	}
	wait := min(askLongest*b.set.AskWithin, spread<<min(max(0, b.subFails-1), maxLevel))
	b.subWanted = b.now + time.Duration(b.rng.Float64()*float64(wait)) + 1
	b.do(Wake{At: b.subWanted, Token: "list"})
}

// ---- Requests ----

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
	if r.out == 0 && len(r.attempts) == 0 && b.full() {
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

// ---- The pick ----

// pick is the design's rule: one server drawn uniformly from each group, the fewer own calls
// win, equal counts above zero go left, and at zero the side is drawn by the groups' shares.
// An empty group leaves the draw to the other.
func (b *Balancer) pick(left, right []*server) *server {
	if len(left) == 0 || len(right) == 0 {
		return b.draw(append(left, right...))
	}
	l, r := b.draw(left), b.draw(right)
	switch {
	case l.calls < r.calls:
		return l
	case r.calls < l.calls:
		return r
	case l.calls > 0:
		return l
	case b.rng.IntN(len(left)+len(right)) < len(left):
		return l
	}
	return r
}

func (b *Balancer) draw(group []*server) *server {
	if len(group) == 0 {
		return nil
	}
	return group[b.rng.IntN(len(group))]
}

// choose keeps the eligible servers of each group and picks.
func (b *Balancer) choose(r *request) *server {
	var left, right []*server
	for _, s := range b.eligible(r) {
		if s.right {
			right = append(right, s)
		} else {
			left = append(left, s)
		}
	}
	return b.pick(left, right)
}

// ---- Eligibility ----

// eligible says which ready servers may be drawn for a request: those in its scope that it has not
// tried, fit, warm enough and, as long as that leaves any, with room. A copy's subset comes first.
func (b *Balancer) eligible(r *request) (cold []*server) {
	unfit := b.ruledOut(r)
	for _, from := range b.reach(r) {
		for _, limit := range []func(*server) int{b.crowded, b.roomy, unlimited} {
			warm, idle := b.narrow(r, from, unfit, limit)
			if warm != nil {
				return warm
			}
			if cold == nil {
				cold = idle
			}
		}
	}
	return cold
}

// reach lists the servers that a request is drawn for, those first that come first: this copy's subset,
// or those of the first of its places.
func (b *Balancer) reach(r *request) [2][]*server {
	if r.places == nil {
		return [2][]*server{b.subset, b.ready}
	}
	var l [2][]*server
	for _, s := range b.ready {
		switch i := slices.Index(r.places, Place{s.Zone, s.Priority}); {
		case i == 0:
			l[0] = append(l[0], s)
			fallthrough
		case i > 0:
			l[1] = append(l[1], s)
		}
	}
	return l
}

// ruledOut marks the servers that health keeps out. When many look bad to one node, the fault is
// likelier its own or the tier below's, and those left would take all the load: only the worst are
// kept out, up to a set share of the list, and fewer the more is shed: in overload every server is
// missed, and time-outs show load rather than ill health.
func (b *Balancer) ruledOut(r *request) map[*server]bool {
	out := map[*server]bool{}
	var sick []*server
	for _, s := range b.ready {
		if b.unfit(s, r) {
			sick = append(sick, s)
		}
	}
	sort.SliceStable(sick, func(i, j int) bool { return sick[i].streak > sick[j].streak })
	for _, s := range sick[:min(len(sick), b.mostOut())] {
		out[s] = true
	}
	return out
}

// mostOut is how many servers health may keep out: of several at least one unless most is shed, for a share
// of a short list rounds to none, and a server that fails at once wins every pick.
func (b *Balancer) mostOut() int {
	most := int(mostOut * (1 - b.shed) * float64(len(b.ready)))
	if most == 0 && len(b.ready) > 1 && b.shed < 0.5 {
		return 1
	}
	return most
}

// narrow applies everything but the fallbacks. Apart it gives the idle cold servers: a request's first
// try may go to one, whatever the thinning, when a deploy has left no warm server in the whole list.
func (b *Balancer) narrow(r *request, from []*server, unfit map[*server]bool,
	limit func(*server) int) (warm, idle []*server) {
	var small []*server
	for _, s := range from {
		switch {
		case b.untold(s) || unfit[s] || s.calls >= limit(s) || !b.inScope(r, s) || tried(r, s):
		case r.among != nil && !r.among[s.ID]:
		case b.warmEnough(s) && b.sizeEnough(s):
			warm = append(warm, s)
		case b.warmth(s) == 1:
			small = append(small, s)
		case s.calls == 0 && len(r.attempts) == 0:
			idle = append(idle, s)
		}
	}
	if warm == nil {
		warm = small
	}
	return warm, idle
}

// crowded is the count of own calls at which a server is passed over: uniform draws now and then
// meet the same few servers twice, and a crowd of several nodes' calls there chokes it. It is never
// under two, so that the pick, not a search for idle servers, decides between none and one.
func (b *Balancer) crowded(s *server) int {
	if n := len(s.open); n > 0 && n <= crowding && b.inFlight <= crowding*len(b.subset) &&
		b.now-s.open[0].sent > b.overlong(s.open[0].req.class) {
		return 0 // others' calls wait there as well; where there are more of ours, some are always long
	}
	return min(b.roomy(s), max(crowding, 1+b.inFlight/max(1, len(b.subset))))
}

// roomy is the count of own calls at which a server is passed over because it refused one more a
// while ago: its queue or its connections, which other copies hold idle, are full, and refusals
// come at once and drain its count. It is not ill, so the cap on those ruled out does not apply.
func (b *Balancer) roomy(s *server) int {
	if b.now < s.full {
		return s.room
	}
	return math.MaxInt
}

func unlimited(*server) int { return math.MaxInt }

// untold says that a server may drain or be gone without our having heard, though that counts as told by
// now: discovery has been silent for so long, and the server has taken nothing of ours in the later half of
// that. A server that drains turns calls away, but not at once: it is listed first.
func (b *Balancer) untold(s *server) bool {
	return b.set.ToldAfter > 0 && b.now > max(b.heard, s.took-b.set.ToldAfter/2)+b.set.ToldAfter
}

// tried says that the request has been to the server before.
func tried(r *request, s *server) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.srv == s })
}

// inScope keeps a keyed request that may have run to the servers that discard its repeats.
func (b *Balancer) inScope(r *request, s *server) bool {
	if r.class.Effect != Keyed {
		return true
	}
	for _, a := range r.attempts {
		if a.unsent {
			continue
		}
		if r.class.Scope == ScopeZone && a.zone != s.Zone {
			return false
		}
		if r.class.Scope == ScopeCell && (a.cell != s.Cell || a.zone != s.Zone) {
			return false
		}
	}
	return true
}

// ---- Health ----

// unfit says that a server should not be drawn now for its health.
func (b *Balancer) unfit(s *server, r *request) bool {
	if b.away(s) {
		return true
	}
	// After an ejection one safe trial at a time decides: a bad server must not eat a request that
	// cannot be repeated, nor many at once.
	return s.level > 0 && s.goods == 0 && (r.class.Effect == Unsafe || s.calls > 0)
}

// away says that a server is ejected, put aside on others' word, or silent.
func (b *Balancer) away(s *server) bool { return b.now < max(s.until, s.aside) || b.silent(s) }

// silent says that an old call to the server is unanswered while a younger one was answered
// elsewhere: a machine gone quiet, hung or pausing shows nothing else until time-outs end.
func (b *Balancer) silent(s *server) bool {
	if len(s.open) == 0 {
		return false
	}
	a := s.open[0]
	wait := b.overlong(a.req.class)
	return b.now-a.sent > wait && b.lastOK > a.sent+wait/2 && s.lastOK < a.sent+wait/2
}

// judge learns from an ending: the class's latency, the server's health relative to its peers.
func (b *Balancer) judge(a *attempt, e Outcome) {
	s, c := a.srv, a.req.class
	took := float64(a.took(b.now))
	bad := 0.0
	if e.Ending == Success || e.Ending == Failure {
		s.took = max(s.took, a.sent)
	}
	switch e.Ending {
	case Success:
		b.tokens = min(retryPurse, b.tokens+retryEarn)
		b.lastOK, s.lastOK = b.now, b.now
		b.judgeSpeed(s, a.req, took)
		if c.cost == 0 {
			c.cost = a.req.cost
		}
		c.cost += memory * (a.req.cost - c.cost)
		c.dev += memory * (math.Abs(took-c.mean) - c.dev)
		c.mean += memory * (took - c.mean)
		s.streak, s.refusals = 0, 0
		if a.sent > s.turned && s.calls+1 >= s.room {
			s.room++ // it took as many as it was thought to have room for
		}
		if s.goods++; s.goods >= minSamples && s.level > 0 {
			s.level, s.goods = s.level-1, 1
		}
	case Overloaded, Unreachable:
		if a.sent < s.turned && e.Ending == Overloaded {
			return // sent before the last one was known: the same lack of room
		}
		s.room = s.calls
		if e.Ending == Overloaded && took > c.mean/2 {
			s.room = max(1, s.room) // slow to refuse, it wins no picks by that: one at a time shows more
		}
		s.full = b.now + time.Duration((0.5+b.rng.Float64())*ejection*c.mean)<<s.refusals
		s.turned, s.refusals = b.now, min(s.refusals+1, maxLevel)
		return
	case Failure, Broken, TimedOut:
		bad = 1
		if e.Ending == TimedOut {
			b.owe(c, took) // a server may work on for nobody
			b.ghosts(1, c.mean)
		}
	case Withdrawn:
		if took > c.mean+tailSpread*c.dev {
			b.ghosts(1, c.mean)
			b.judgeSpeed(s, a.req, took)
		}
		return
	default:
		return
	}
	if bad > 0 {
		s.streak++
		s.goods = 0
		// Errors that strike everywhere come from the tier below; ejecting on them would leave
		// nobody. A run counts only if the peers' error share makes it unlikely, and one that is
		// answered is no run: a server out for it takes a quarter of four with it.
		if (s.streak > 1 || e.Ending != Failure) && math.Pow(b.errors, float64(s.streak)) < chance {
			b.eject(s, c)
		}
	}
	b.errors += memory * (bad - b.errors)
	b.errors = max(b.errors, 0.01)
}

// judgeSpeed compares a latency with the class's mean; a server slow over several answers is
// ejected, so that others carry its load and it can recover.
func (b *Balancer) judgeSpeed(s *server, r *request, took float64) {
	c := r.class
	expected := c.mean
	if r.cost > 0 && c.cost > 0 {
		expected *= math.Sqrt(r.cost / c.cost) // waits do not grow with the work
	}
	if size := b.size(s); size < b.meanSize {
		expected *= b.meanSize / size // a small machine's own pace is no sign of trouble
	}
	off := math.Log(max(took, 1)/expected) - s.slow
	b.spread += memory / 4 * (off*off - b.spread)
	s.slow += ownMemory * off
	if s.samples++; s.samples >= minSamples && s.slow > math.Log(slowRatio) {
		s.samples, s.slow, s.goods = 0, 0, 0
		b.eject(s, c)
	}
}

// eject keeps a server out for a time that doubles while its trials fail.
func (b *Balancer) eject(s *server, c *class) {
	if b.now < s.until {
		return
	}
	s.until = b.now + time.Duration(ejection*c.mean)<<s.level
	s.level = min(s.level+1, maxLevel)
}

// ---- Size and slow start ----

// size is a server's registered capacity against others', where the list tells it.
func (b *Balancer) size(s *server) float64 {
	if s.Size > 0 && (b.set.Sizes == SizesNominal || b.set.Sizes == SizesRough) {
		return s.Size
	}
	return 1
}

// sizeEnough thins the draw of a server to its size and, where its answers took longer than others',
// by that: uniform draws would crowd servers that are small, crowded by other programs or pausing.
func (b *Balancer) sizeEnough(s *server) bool {
	return b.rng.Float64()*b.largest < b.size(s)*math.Exp(-slowThins*max(0, s.slow))
}

// warmth is the share of its capacity that a server surely has.
func (b *Balancer) warmth(s *server) float64 {
	age := b.now - s.Boot
	if s.Boot <= 0 || age >= b.set.WarmAfter {
		return 1
	}
	grown := max(0, float64(age)/float64(b.set.WarmAfter))
	return b.set.ColdFrom + (1-b.set.ColdFrom)*grown
}

// warmEnough thins the draw of a cold server to its share of a warm one's, and bounds own calls at it.
func (b *Balancer) warmEnough(s *server) bool {
	w := b.warmth(s)
	return w == 1 || (float64(s.calls) < b.coldRoom(w) && b.rng.Float64() < w)
}

// coldRoom is how many own calls a server of that warmth gets at a time: its share of what is always
// admitted, divided among the copies, for many that each send a little would push it over together.
func (b *Balancer) coldRoom(warmth float64) float64 {
	return max(1, math.Floor(windowFloor*warmth/b.divisor))
}

// ---- Further attempts ----

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

// ---- Admission ----

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
			} else if w := b.warmth(s); w < 1 {
				b.usable += b.coldRoom(w) / windowFloor
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
	least := min(b.window, windowFloor*b.fairServers())
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
		least = min(b.window, windowProbe*windowFloor*b.fairServers())
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
		b.window = max(b.window, min(b.window+1, windowFloor*b.fairServers()))
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

// ---- Answers ----

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
