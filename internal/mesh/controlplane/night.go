package controlplane

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"cranegrade/internal/mesh/api"
	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/maintenance"
	"cranegrade/internal/mesh/replica"
	"cranegrade/internal/mesh/routing"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/wire"
)

// Times of the night service. Nothing of it runs where there are neither contracts nor orders.
const (
	surveyInterval    = 250 * time.Millisecond // while an order is open
	surveyTimeout     = 700 * time.Millisecond
	clockInterval     = 5 * time.Second // between two agreed times
	silenceTimeout    = 5 * time.Second // that a line is silent: it is waited for no longer
	downloadAllowance = 10 * time.Second
	maintenanceMargin = 10 * time.Second
	warmUpTime        = 3 * time.Second
)

// maintenanceState is the leader's side of the night service: what it last saw of the mesh. It belongs to Run's goroutine.
type maintenanceState struct {
	surveyedAt   time.Duration // of the last survey
	surveying    bool
	status       map[string]*wire.StatusT // by address, of those that answered
	lastHeard    map[string]time.Duration // when each last did
	samples      []maintenance.ClockSample
	timeAgreedAt time.Duration
	trustClocks  bool                     // an operator says that the clocks are right, whatever was agreed on before
	readySince   map[string]time.Duration // since when a machine has been ready without a break
	// pending are the steps that were proposed and are not decided on, in the lead of that number: nothing is decided on a book
	// that is about to change
	pending, leadership int
	waitingFor          map[string]string // by order
	connections         statusConnections
}

// statusConnections are trunks to lines and registers, kept while there is an order.
type statusConnections struct {
	mu        sync.Mutex // guards below
	byAddress map[string]*transport.Client
}

func (c *statusConnections) status(ctx context.Context, addr string) (*wire.StatusT, error) {
	c.mu.Lock()
	x := c.byAddress[addr]
	c.mu.Unlock()
	if x == nil {
		var err error
		if x, err = transport.DialClient(ctx, addr, "night", nil); err != nil {
			return nil, err
		}
		c.mu.Lock()
		if c.byAddress == nil {
			c.byAddress = map[string]*transport.Client{}
		}
		c.byAddress[addr] = x
		c.mu.Unlock()
	}
	s, err := x.Status(ctx)
	if err != nil {
		c.mu.Lock()
		delete(c.byAddress, addr)
		c.mu.Unlock()
		x.Close()
	}
	return s, err
}

func (c *statusConnections) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.byAddress {
		x.Close()
	}
	c.byAddress = nil
}

// readContracts are those that stand.
func (r *Member) readContracts() (l []maintenance.Contract) {
	for _, i := range r.replica.State().Items.Items() {
		if i.Kind == config.KindContract && !i.Deleted {
			var c maintenance.Contract
			if json.Unmarshal(i.Body, &c) == nil {
				l = append(l, c)
			}
		}
	}
	return l
}

// runMaintenance sees to orders and to the agreed time, at the leader.
func (r *Member) runMaintenance(now time.Duration) {
	open := r.replica.State().Maintenance.Orders.Open()
	if !r.replica.IsLeader() {
		r.maintenance.close()
		return
	}
	r.placeInitialOrders(now)
	if len(open) == 0 && (len(r.currentContracts()) == 0 || now-r.maintenance.timeAgreedAt < clockInterval) {
		if len(open) == 0 && !r.replica.State().Policy.Rollout.IsPending() {
			r.maintenance.connections.close()
		}
		return
	}
	if r.maintenance.surveying || now-r.maintenance.surveyedAt < surveyInterval {
		return
	}
	r.survey(func() {
		r.agreeTime()
		r.advanceOrders()
	})
}

// currentContracts is contracts, read anew only where an item has changed since.
func (r *Member) currentContracts() []maintenance.Contract {
	if at := r.replica.State().ItemsIndex; at != r.contractsIndex {
		r.contractsIndex, r.contracts = at, r.readContracts()
	}
	return r.contracts
}

func (b *maintenanceState) close() {
	b.connections.close()
	b.status, b.samples, b.readySince, b.timeAgreedAt, b.trustClocks = nil, nil, nil, 0, false
	b.pending, b.leadership = 0, b.leadership+1
}

// survey asks every line and register how it is, and then calls done on Run's goroutine.
func (r *Member) survey(done func()) {
	b := &r.maintenance
	b.surveying, b.surveyedAt = true, r.now()
	var addrs []string
	for _, l := range r.replica.Records().All() {
		addrs = append(addrs, l.Addr)
	}
	members, _ := r.replica.Members()
	ids := map[string]uint64{}
	for _, m := range members {
		ids[m.Addr] = uint64(m.ID)
		if m.Addr != r.self.Addr {
			addrs = append(addrs, m.Addr)
		}
	}
	own := r.status()
	go func() {
		ctx, cancel := context.WithTimeout(r.ctx, surveyTimeout)
		defer cancel()
		var mu sync.Mutex
		status := map[string]*wire.StatusT{r.self.Addr: own}
		samples := []maintenance.ClockSample{{Member: ids[r.self.Addr], Wall: r.wallClock(), ReadAt: r.now()}}
		var all sync.WaitGroup
		for _, a := range addrs {
			all.Go(func() {
				asked := r.now()
				s, err := b.connections.status(ctx, a)
				if err != nil {
					return
				}
				came := r.now()
				mu.Lock()
				defer mu.Unlock()
				status[a] = s
				if s.ControlPlane && s.WallTimeNs != 0 {
					samples = append(samples, maintenance.ClockSample{Member: ids[a], Wall: time.Unix(0, s.WallTimeNs), ReadAt: asked + (came-asked)/2, RoundTrip: came - asked})
				}
			})
		}
		all.Wait()
		r.post(func() {
			b.surveying, b.status, b.samples = false, status, samples
			if b.lastHeard == nil || len(b.lastHeard) > 4096 {
				b.lastHeard = map[string]time.Duration{}
			}
			for a := range status {
				b.lastHeard[a] = r.now()
			}
			done()
			r.activatePolicies()
		})
	}()
}

// agreeTime proposes the time of day that the registers agree on.
func (r *Member) agreeTime() {
	now := r.now()
	n := &r.replica.State().Maintenance
	if !r.replica.IsLeader() || r.maintenance.timeAgreedAt > 0 && now-r.maintenance.timeAgreedAt < clockInterval && n.ClockTerm == r.replica.Term() {
		return
	}
	members, _ := r.replica.Members()
	gap := r.replica.LeaderGap()
	if n.ClockTerm == r.replica.Term() {
		gap = 0
	}
	held := n.Clock
	if r.maintenance.trustClocks {
		held = maintenance.Clock{}
	}
	c, err := held.Agree(r.replica.LogTime(now), r.maintenance.samples, now, len(members), gap)
	if err != nil {
		r.log.Info().Err(err).Msg("night")
		return
	}
	r.maintenance.timeAgreedAt, r.maintenance.trustClocks = now, false
	r.proposeMaintenance(replica.MaintenanceClock, c, nil)
}

func (r *Member) proposeMaintenance(kind byte, v any, done func(error)) {
	if done == nil {
		done = func(error) {}
	}
	text, err := json.Marshal(v)
	if err != nil {
		done(err)
		return
	}
	if !r.replica.Propose(r.now(), replica.EncodeChange(replica.ChangeMaintenance, &wire.MaintenanceChangeT{Kind: kind, Json: text}), func(o replica.Outcome, known bool) {
		if !known {
			o.Err = api.NewError(http.StatusServiceUnavailable, "another leader took over; it may still be taken")
		}
		done(o.Err)
	}) {
		done(api.NewError(http.StatusServiceUnavailable, "not the leader any more"))
	}
}

// agreedTime is what time it may be; false: nothing is agreed on in this term.
func (r *Member) agreedTime() (maintenance.TimeBounds, bool) {
	n := &r.replica.State().Maintenance
	return n.Clock.Now(r.replica.LogTime(r.now())), n.Clock.IsKnown() && n.ClockTerm == r.replica.Term()
}

// meshView is the mesh as the night service sees it, without what an order itself has out.
func (r *Member) meshView(but string) maintenance.View {
	set := r.settings.Load()
	v := maintenance.View{Contracts: r.currentContracts(), Load: map[string]float64{}, Parameters: maintenance.Parameters{DrainTimeout: set.Bounds.DrainS.Duration(), DownloadAllowance: downloadAllowance, WarmUp: warmUpTime,
		Margin: maintenanceMargin, FaultTolerance: set.FaultTolerance.Machines}}
	spaces := config.NewPolicySet(config.Table{}, r.replica.State().Items)
	for _, l := range r.replica.Records().All() {
		s := r.maintenance.status[l.Addr]
		v.Machines = append(v.Machines, maintenance.Machine{Addr: l.Addr, Name: l.Node, Zone: l.Zone, Service: l.Service, Namespaces: spaces.OwnersOfService(l.Service), Slots: int(l.Slots),
			Ready: l.State == directory.ServerReady && !l.Leaving && s != nil && s.Ready})
		if s != nil {
			v.Load[l.Service] += float64(s.OpenRequests)
		}
	}
	members, _ := r.replica.Members()
	for _, m := range members {
		x := maintenance.Machine{Addr: m.Addr, Name: m.Addr, ControlPlane: true, Ready: r.replica.HearsFrom(m.ID)}
		if s := r.maintenance.status[m.Addr]; s != nil {
			x.Name, x.Zone = s.Name, s.Zone
			x.Ready = x.Ready && s.Fault == ""
		}
		v.Machines = append(v.Machines, x)
	}
	for _, o := range r.replica.State().Maintenance.Orders.Open() {
		if o.Step != maintenance.StepWaiting && o.ID != but {
			v.InMaintenance = append(v.InMaintenance, o.CurrentMachine())
		}
	}
	for _, x := range routing.NewTable(r.replica.State().Items).Routes() {
		route := maintenance.Route{Name: x.Name, Timeout: x.Timeout, Download: x.Kind == routing.Download}
		for _, s := range x.Destinations {
			route.Services = append(route.Services, s.Service)
		}
		v.Routes = append(v.Routes, route)
	}
	sort.Slice(v.Routes, func(i, j int) bool { return v.Routes[i].Name < v.Routes[j].Name })
	return v
}

// observe is what was seen of a machine.
func (r *Member) observe(o maintenance.Order) maintenance.Observation {
	b, addr := &r.maintenance, o.CurrentMachine()
	s := b.status[addr]
	if s == nil {
		delete(b.readySince, addr)
		return maintenance.Observation{}
	}
	x := maintenance.Observation{Reachable: true, Cordoned: s.InMaintenance, ServerRequests: int(s.OpenRequests), CallerRequests: int(s.DownstreamRequests), CallersMoved: !s.Ready, KeysHandedOver: s.HandedOverOrder == o.ID, WorkText: describeWork(s), ControlPlane: s.ControlPlane, FollowingSidecars: len(s.Sidecars), IsLeader: s.IsLeader}
	if s.ControlPlane {
		x.Ready = !s.InMaintenance && s.QuorumContact && !s.IsNonMember
	} else {
		l, _ := r.replica.Records().Get(addr)
		x.Ready = !s.InMaintenance && s.Ready && (s.ServerId == "" || l.State == directory.ServerReady)
		var waits []string
		for _, l := range r.replica.Records().All() {
			if l.Addr == addr {
				continue
			}
			y := b.status[l.Addr]
			switch {
			case y == nil && r.now()-b.lastHeard[l.Addr] > silenceTimeout: // the machine itself turns away what such a one sends
			case y == nil:
				waits = append(waits, l.Node+" does not answer")
			case y.MaintenanceIndex < r.replica.State().Maintenance.Index:
				waits = append(waits, l.Node+" has not heard of it")
			case slices.Contains(y.UpstreamAddrs, addr):
				waits = append(waits, l.Node+" still has requests there")
			}
		}
		x.Senders, x.SendersText = len(waits), strings.Join(waits[:min(3, len(waits))], ", ")
	}
	if b.readySince == nil {
		b.readySince = map[string]time.Duration{}
	}
	since, was := b.readySince[addr]
	switch {
	case !x.Ready:
		delete(b.readySince, addr)
	case !was:
		b.readySince[addr] = r.now()
	default:
		x.Warm = r.now()-since >= warmUpTime
	}
	return x
}

// describeWork tells what runs at a line's server and how what ran there has ended.
func describeWork(s *wire.StatusT) string {
	var open, ended []string
	for _, w := range s.Work {
		if w.Open > 0 {
			open = append(open, fmt.Sprintf("%d %s", w.Open, w.Kind))
		}
		for _, x := range []struct {
			n   int64
			how string
		}{{w.Answered, "answered"}, {w.Rejected, "turned away"}, {w.Broken, "broken off"}} {
			if x.n > 0 {
				ended = append(ended, fmt.Sprintf("%d %s %s", x.n, w.Kind, x.how))
			}
		}
	}
	if len(open) == 0 {
		open = []string{"none"}
	}
	if len(ended) == 0 {
		ended = []string{"nothing"}
	}
	return "in flight " + strings.Join(open, ", ") + "; ended since: " + strings.Join(ended, ", ")
}

// advanceOrders takes each open order one step further, if it can go.
func (r *Member) advanceOrders() {
	b := &r.maintenance
	if !r.replica.IsReadyLeader() || b.pending > 0 {
		return
	}
	now, known := r.agreedTime()
	b.waitingFor = map[string]string{}
	begins := false // one machine at a time begins to come out: the next plan has to know of it
	for _, o := range r.replica.State().Maintenance.Orders.Open() {
		if !known {
			b.waitingFor[o.ID] = maintenance.ErrNoAgreedTime.Error()
			continue
		}
		c, ok, waits := o.Next(r.meshView(o.ID), r.observe(o), now)
		if !ok {
			b.waitingFor[o.ID] = waits
			continue
		}
		if c.Step == maintenance.StepDraining {
			if begins {
				b.waitingFor[o.ID] = "another order begins"
				continue
			}
			begins = true
		}
		r.log.Info().Str("order", o.ID).Str("machine", o.CurrentMachine()).Str("step", string(c.Step)).Msg(c.Text)
		b.pending++
		lead := b.leadership
		r.proposeMaintenance(replica.MaintenanceUpdate, c, func(error) {
			if b.leadership == lead {
				b.pending--
			}
		})
	}
}
