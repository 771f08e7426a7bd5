package fleet

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/fleet/membership"
	"cranegrade/internal/fleet/rotation"
	"cranegrade/internal/fleet/signal"
	"cranegrade/internal/fleet/subset"
)

// Decider is a decision module; engine.Module is the same.
type Decider interface {
	Handle(now time.Duration, e balancer.Event) []balancer.Action
}

// Module stands between an engine and its module and tells that, before each event, what has changed among the nodes:
// its place, its part of rations, the servers that it draws from, and what others have seen of servers. A process that
// was stopped finds its part gone, for the grants that it stands on have run out meanwhile, before it decides anything
// else. Of what passes it notes how calls end, for the others. Like its module it belongs to one goroutine.
type Module struct {
	decider Decider
	gate    *Gate
	now     func() time.Duration
	sized   bool // the list tells sizes, which the shared order goes by
	me      uint64
	uses    map[string]*demand // of tenants with a quota

	listed         map[string]balancer.Server
	startedAt      map[string]time.Duration // of the ready ones
	listChanged    bool                     // of the list, since it was last shared out
	order          []string                 // of members, that it was shared out to
	pending        chan assignment          // of a sharing that is under way; nil: none is
	owners         map[string][]uint64      // of each server: members that draw from it, as of the last sharing
	maxInlinePairs int                      // pairs of members and servers that are shared out on the engine's goroutine
	mover          *subset.Mover
	book           *signal.Book
	peers          []string // members that draw from any server that this one does

	part      float64
	place     [2]int
	set       []string
	aside     []balancer.Exclusion
	checkedAt time.Duration
	sentAt    time.Duration
	urgent    bool // a call has ended badly since
	quotas    *Parts
	countedAt time.Duration // when uses were last reckoned
}

// demand is what a tenant asks of this node.
type demand struct {
	quota    float64 // of all nodes, requests a second
	requests int     // since it was last reckoned
	rate     float64
}

// demandInterval is how often what tenants ask is reckoned; the latest counts for half.
const demandInterval = 250 * time.Millisecond

// reportDemand tells the fleet what tenants would take here, as shares of their quotas.
func (m *Module) reportDemand(at time.Duration) {
	if len(m.uses) == 0 || at < m.countedAt+demandInterval {
		return
	}
	long := (at - m.countedAt).Seconds()
	m.countedAt = at
	if long > 10*demandInterval.Seconds() { // nothing has come for a while
		long = 10 * demandInterval.Seconds()
	}
	shares := make(map[string]float64, len(m.uses))
	for name, u := range m.uses {
		u.rate = (u.rate + float64(u.requests)/long) / 2
		u.requests = 0
		shares[name] = u.rate / u.quota
	}
	m.gate.reportDemand(shares)
}

// assignment is how servers are shared out.
type assignment struct {
	mine   []string // sorted; nil: there is nobody to share with
	owners map[string][]uint64
	peers  []string
}

// Times of the module's looks.
const (
	checkInterval  = 20 * time.Millisecond
	digestInterval = 250 * time.Millisecond // what a member says changes no more often
	moveInterval   = 200 * time.Millisecond
	// maxInlineAssignment is how many pairs of members and servers are shared out on the engine's goroutine.
	maxInlineAssignment = 20_000
)

// NewModule returns a module that goes by a gate; now tells the time that the gate goes by.
func NewModule(in Decider, g *Gate, me string, s balancer.Settings, now func() time.Duration) *Module {
	id := membership.NameID(me)
	uses := make(map[string]*demand, len(s.Tenants))
	for _, t := range s.Tenants {
		if t.Quota > 0 {
			uses[t.Name] = &demand{quota: t.Quota}
		}
	}
	g.ration(uses)
	book := signal.NewBook(g.pool, id)
	book.TrustUnbounded = mutations.trustUnbounded
	sized := s.Sizes == balancer.SizesNominal || s.Sizes == balancer.SizesRough
	return &Module{
		uses: uses, decider: in, gate: g, now: now, sized: sized, me: id, listed: map[string]balancer.Server{},
		startedAt:      map[string]time.Duration{},
		maxInlinePairs: maxInlineAssignment, mover: subset.NewMover(moveInterval), book: book, checkedAt: math.MinInt64, quotas: &Parts{},
	}
}

// Handle passes an event on, after what has changed.
func (m *Module) Handle(now time.Duration, e balancer.Event) (actions []balancer.Action) {
	at := m.now()
	switch x := e.(type) {
	case balancer.ServerList:
		m.updateServers(x)
	case balancer.Request:
		if u := m.uses[x.Tenant]; u != nil && !x.ClientRetry {
			u.requests++
		}
	case balancer.Outcome:
		bad := x.Ending == balancer.Failure || x.Ending == balancer.TimedOut || x.Ending == balancer.Unreachable || x.Ending == balancer.Broken
		m.urgent = m.urgent || bad
		m.book.Ended(at, x.Server, bad, bad || x.Ending == balancer.Success)
	}
	role, part := m.gate.Role(at)
	quotas := m.gate.quotas(at)
	if part != m.part || at >= m.checkedAt+checkInterval || m.listChanged || quotas != m.quotas {
		m.checkedAt = at
		actions = m.update(now, at, role, part, quotas)
	}
	return append(actions, m.decider.Handle(now, e)...)
}

// updateServers keeps what is listed.
func (m *Module) updateServers(x balancer.ServerList) {
	if x.Full {
		clear(m.listed)
	}
	for _, s := range x.Servers {
		if s.State == balancer.Gone {
			delete(m.listed, s.ID)
		} else {
			m.listed[s.ID] = s
		}
	}
	m.listChanged = m.listChanged || x.Full || len(x.Servers) > 0
}

// update tells the module what has changed.
func (m *Module) update(now, at time.Duration, r *Role, part float64, quotas *Parts) (actions []balancer.Action) {
	if m.listChanged || !slices.Equal(m.order, r.Order) {
		m.assignSubsets(r)
	}
	if m.pending != nil {
		select {
		case p := <-m.pending:
			m.adoptAssignment(p)
		default:
		}
	}
	set := m.mover.Step(at)
	if place := [2]int{r.Agreed, r.Index}; part != m.part || place != m.place || quotas != m.quotas || !slices.Equal(set, m.set) {
		m.part, m.place, m.set, m.quotas = part, place, set, quotas
		of := quotas.Of
		if math.IsInf(part, 1) {
			of = nil // what it stood on is too old for what was lent, too
		}
		event := balancer.Fleet{Balancers: r.Agreed, Index: r.Index, Divisor: part, Subset: set, Quotas: of}
		actions = append(actions, m.decider.Handle(now, event)...)
	}
	m.reportDemand(at)
	actions = append(actions, m.applyDigests(now, at)...)
	if (at >= m.sentAt+digestInterval || m.urgent && at >= m.sentAt+checkInterval) && len(m.order) > 1 {
		m.sentAt, m.urgent = at, false
		if d, is := m.book.Digest(at); is || mutations.digest != nil {
			if mutations.digest != nil {
				d = mutations.digest(m)
			}
			m.gate.send(d, m.peers)
		}
	}
	return actions
}

// assignSubsets has the servers shared out among the members that count; of many it takes the answer later.
func (m *Module) assignSubsets(r *Role) {
	if m.pending != nil {
		return // one after the other: it is looked at again
	}
	m.listChanged, m.order = false, r.Order
	clear(m.startedAt)
	servers := make([]balancer.Server, 0, len(m.listed))
	for _, s := range m.listed {
		if s.State == balancer.Ready {
			servers = append(servers, s)
			m.startedAt[s.ID] = s.StartedAt
		}
	}
	order, me, sized := m.order, r.Index, m.sized
	if len(order) < 2 || me >= len(order) {
		m.adoptAssignment(assignment{})
		return
	}
	if len(order)*len(servers) <= m.maxInlinePairs {
		m.adoptAssignment(assign(order, me, servers, sized))
		return
	}
	done := make(chan assignment, 1)
	m.pending = done
	go func() { done <- assign(order, me, servers, sized) }()
}

// assign shares servers out. Their order is the module's own, so that the groups are.
func assign(members []string, me int, servers []balancer.Server, sized bool) (p assignment) {
	size := func(s balancer.Server) float64 {
		if sized && s.Size > 0 {
			return s.Size
		}
		return 1
	}
	slices.SortFunc(servers, func(a, b balancer.Server) int {
		return cmp.Or(cmp.Compare(size(b), size(a)), cmp.Compare(a.Cell, b.Cell), cmp.Compare(a.ID, b.ID))
	})
	l := make([]subset.Server, len(servers))
	for i, s := range servers {
		l[i] = subset.Server{Name: membership.NameID(s.ID), Right: i >= (len(servers)+1)/2}
	}
	ids := make([]uint64, len(members))
	for i, name := range members {
		ids[i] = membership.NameID(name)
	}
	chosen := subset.Choose(ids, l)
	p.owners = make(map[string][]uint64, len(servers))
	for j, own := range chosen {
		for _, i := range own {
			p.owners[servers[i].ID] = append(p.owners[servers[i].ID], ids[j])
		}
	}
	if chosen[me] == nil { // all draw from all
		for _, s := range servers {
			p.owners[s.ID] = ids
			p.mine = append(p.mine, s.ID)
		}
		slices.Sort(p.mine)
		p.peers = slices.Delete(slices.Clone(members), me, me+1)
		return p
	}
	with := map[uint64]bool{}
	for _, i := range chosen[me] {
		p.mine = append(p.mine, servers[i].ID)
		for _, id := range p.owners[servers[i].ID] {
			with[id] = true
		}
	}
	slices.Sort(p.mine)
	for j, name := range members {
		if j != me && with[ids[j]] {
			p.peers = append(p.peers, name)
		}
	}
	return p
}

// adoptAssignment goes over to a sharing.
func (m *Module) adoptAssignment(p assignment) {
	m.pending, m.owners, m.peers = nil, p.owners, p.peers
	if p.mine == nil { // nobody to share with: all are this node's, at once
		m.mover = subset.NewMover(moveInterval)
	}
	m.mover.Aim(p.mine, func(id string) bool { _, is := m.startedAt[id]; return is })
	draws := len(p.mine)
	if draws == 0 {
		draws = len(m.startedAt)
	}
	m.book.List(m.startedAt, draws)
}

// applyDigests takes what others have told, and tells the module what is made of it.
func (m *Module) applyDigests(now, at time.Duration) []balancer.Action {
	for _, w := range m.gate.takeInbox() {
		m.book.Heard(at, w.from, membership.NameID(w.from), w.run, w.digest)
	}
	verdicts := m.book.Verdicts(at, func(server string) []uint64 { return m.owners[server] }, rotation.Place)
	m.gate.setHearsay(Hearsay{Verdicts: verdicts, Set: m.set, Moving: m.mover.Moving()})
	var l, news []balancer.Exclusion
	for _, v := range verdicts {
		l = append(l, balancer.Exclusion{ID: v.Server, StartedAt: v.Boot, Until: now + v.Until - at})
	}
	for _, a := range l { // whom the module has not been told of, but for what the two clocks differ by
		i := slices.IndexFunc(m.aside, func(b balancer.Exclusion) bool { return b.ID == a.ID && b.StartedAt == a.StartedAt })
		if i < 0 || (m.aside[i].Until-a.Until).Abs() > checkInterval {
			news = append(news, a)
		}
	}
	for _, b := range m.aside { // and who is not put aside any more
		if b.Until > now && !slices.ContainsFunc(l, func(a balancer.Exclusion) bool { return a.ID == b.ID && a.StartedAt == b.StartedAt }) {
			news = append(news, balancer.Exclusion{ID: b.ID, StartedAt: b.StartedAt, Until: now})
		}
	}
	m.aside = l
	if len(news) == 0 {
		return nil
	}
	return m.decider.Handle(now, balancer.PeerReports{Exclusions: news})
}

type learner interface {
	Knowledge() *balancer.Knowledge
	Learn(*balancer.Knowledge)
}

// Knowledge is what the module behind it has learned; nil if it can't tell.
func (m *Module) Knowledge() *balancer.Knowledge {
	if l, is := m.decider.(learner); is {
		return l.Knowledge()
	}
	return nil
}

// Learn has the module behind it go on with that, if it can.
func (m *Module) Learn(k *balancer.Knowledge) {
	if l, is := m.decider.(learner); is {
		l.Learn(k)
	}
}
