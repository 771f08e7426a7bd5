package register

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

	"hollyspur/internal/exchange/control"
	"hollyspur/internal/exchange/dialplan"
	"hollyspur/internal/exchange/directory"
	"hollyspur/internal/exchange/night"
	"hollyspur/internal/exchange/patch"
	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/trunk/wire"
	"hollyspur/internal/mesh/replica"
)

// Times of the night service. Nothing of it runs where there are neither contracts nor orders.
const (
	surveyEvery  = 250 * time.Millisecond // while an order is open
	surveyWithin = 700 * time.Millisecond
	clockEvery   = 5 * time.Second // between two agreed times
	goneAfter    = 5 * time.Second // that a line is silent: it is waited for no longer
	longDownload = 10 * time.Second
	nightMargin  = 10 * time.Second
	warmUp       = 3 * time.Second
)

// board is the leader's side of the night service: what it last saw of the mesh. It belongs to Run's goroutine.
type board struct {
	at      time.Duration // of the last survey
	asking  bool
	status  map[string]*wire.StatusT // by address, of those that answered
	heard   map[string]time.Duration // when each last did
	samples []night.Sample
	clocked time.Duration
	trust   bool                     // an operator says that the clocks are right, whatever was agreed on before
	ready   map[string]time.Duration // since when a machine has been ready without a break
	// pending are the steps that were proposed and are not decided on, in the lead of that number: nothing is decided on a book
	// that is about to change
	pending, lead int
	waits         map[string]string // by order
	callers       callers
}

// callers are trunks to lines and registers, kept while there is an order.
type callers struct {
	mu sync.Mutex // guards below
	to map[string]*trunk.Caller
}

func (c *callers) status(ctx context.Context, addr string) (*wire.StatusT, error) {
	c.mu.Lock()
	x := c.to[addr]
	c.mu.Unlock()
	if x == nil {
		var err error
		if x, err = trunk.Call(ctx, addr, "night", nil); err != nil {
			return nil, err
		}
		c.mu.Lock()
		if c.to == nil {
			c.to = map[string]*trunk.Caller{}
		}
		c.to[addr] = x
		c.mu.Unlock()
	}
	s, err := x.Status(ctx)
	if err != nil {
		c.mu.Lock()
		delete(c.to, addr)
		c.mu.Unlock()
		x.Close()
	}
	return s, err
}

func (c *callers) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.to {
		x.Close()
	}
	c.to = nil
}

// contracts are those that stand.
func (r *Register) contracts() (l []night.Contract) {
	for _, i := range r.replica.State().Items.Items() {
		if i.Kind == patch.Contract && !i.Dropped {
			var c night.Contract
			if json.Unmarshal(i.Body, &c) == nil {
				l = append(l, c)
			}
		}
	}
	return l
}

// keepNight sees to orders and to the agreed time, at the leader.
func (r *Register) keepNight(now time.Duration) {
	open := r.replica.State().Maintenance.Book.Open()
	if !r.replica.Leads() {
		r.board.close()
		return
	}
	r.placeStanding(now)
	if len(open) == 0 && (len(r.contractsAt()) == 0 || now-r.board.clocked < clockEvery) {
		if len(open) == 0 && !r.replica.State().Rules.Board.Pending() {
			r.board.callers.close()
		}
		return
	}
	if r.board.asking || now-r.board.at < surveyEvery {
		return
	}
	r.survey(func() {
		r.agreeTime()
		r.advance()
	})
}

// contractsAt is contracts, read anew only where an item has changed since.
func (r *Register) contractsAt() []night.Contract {
	if at := r.replica.State().ItemsChanged; at != r.contractsOf {
		r.contractsOf, r.contractsNow = at, r.contracts()
	}
	return r.contractsNow
}

func (b *board) close() {
	b.callers.close()
	b.status, b.samples, b.ready, b.clocked, b.trust = nil, nil, nil, 0, false
	b.pending, b.lead = 0, b.lead+1
}

// survey asks every line and register how it is, and then calls done on Run's goroutine.
func (r *Register) survey(done func()) {
	b := &r.board
	b.asking, b.at = true, r.now()
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
		ctx, cancel := context.WithTimeout(r.ctx, surveyWithin)
		defer cancel()
		var mu sync.Mutex
		status := map[string]*wire.StatusT{r.self.Addr: own}
		samples := []night.Sample{{Member: ids[r.self.Addr], Wall: r.wall(), At: r.now()}}
		var all sync.WaitGroup
		for _, a := range addrs {
			all.Go(func() {
				asked := r.now()
				s, err := b.callers.status(ctx, a)
				if err != nil {
					return
				}
				came := r.now()
				mu.Lock()
				defer mu.Unlock()
				status[a] = s
				if s.Register && s.Time != 0 {
					samples = append(samples, night.Sample{Member: ids[a], Wall: time.Unix(0, s.Time), At: asked + (came-asked)/2, Trip: came - asked})
				}
			})
		}
		all.Wait()
		r.Do(func() {
			b.asking, b.status, b.samples = false, status, samples
			if b.heard == nil || len(b.heard) > 4096 {
				b.heard = map[string]time.Duration{}
			}
			for a := range status {
				b.heard[a] = r.now()
			}
			done()
			r.bindNext()
		})
	}()
}

// agreeTime proposes the time of day that the registers agree on.
func (r *Register) agreeTime() {
	now := r.now()
	n := &r.replica.State().Maintenance
	if !r.replica.Leads() || r.board.clocked > 0 && now-r.board.clocked < clockEvery && n.Term == r.replica.Term() {
		return
	}
	members, _ := r.replica.Members()
	gap := r.replica.LeaderlessFor()
	if n.Term == r.replica.Term() {
		gap = 0
	}
	held := n.Clock
	if r.board.trust {
		held = night.Clock{}
	}
	c, err := held.Agree(r.replica.Stamp(now), r.board.samples, now, len(members), gap)
	if err != nil {
		r.log.Info().Err(err).Msg("night")
		return
	}
	r.board.clocked, r.board.trust = now, false
	r.proposeNight(replica.MaintenanceTime, c, nil)
}

func (r *Register) proposeNight(kind byte, v any, done func(error)) {
	if done == nil {
		done = func(error) {}
	}
	text, err := json.Marshal(v)
	if err != nil {
		done(err)
		return
	}
	if !r.replica.Propose(r.now(), replica.Change(replica.ChangeMaintenance, &wire.NightT{Kind: kind, Text: text}), func(o replica.Outcome, known bool) {
		if !known {
			o.Err = control.Fault(http.StatusServiceUnavailable, "another leader took over; it may still be taken")
		}
		done(o.Err)
	}) {
		done(control.Fault(http.StatusServiceUnavailable, "not the leader any more"))
	}
}

// time is what time it may be; false: nothing is agreed on in this term.
func (r *Register) time() (night.Now, bool) {
	n := &r.replica.State().Maintenance
	return n.Clock.Now(r.replica.Stamp(r.now())), n.Clock.Known() && n.Term == r.replica.Term()
}

// view is the mesh as the night service sees it, without what an order itself has out.
func (r *Register) view(but string) night.View {
	set := r.set.Load()
	v := night.View{Contracts: r.contractsAt(), Load: map[string]float64{}, Terms: night.Terms{DrainWithin: set.Bounds.DrainS.D(), Download: longDownload, Warm: warmUp,
		Margin: nightMargin, Tolerance: set.FaultTolerance.Machines}}
	spaces := patch.Marks(patch.Table{}, r.replica.State().Items)
	for _, l := range r.replica.Records().All() {
		s := r.board.status[l.Addr]
		v.Machines = append(v.Machines, night.Machine{Addr: l.Addr, Name: l.Node, Zone: l.Zone, Service: l.Service, Namespaces: spaces.OwnersOfService(l.Service), Slots: int(l.Slots),
			Ready: l.State == directory.Ready && !l.Gone && s != nil && s.Ready})
		if s != nil {
			v.Load[l.Service] += float64(s.Open)
		}
	}
	members, _ := r.replica.Members()
	for _, m := range members {
		x := night.Machine{Addr: m.Addr, Name: m.Addr, Register: true, Ready: r.replica.Hears(m.ID)}
		if s := r.board.status[m.Addr]; s != nil {
			x.Name, x.Zone = s.Name, s.Zone
			x.Ready = x.Ready && s.Trouble == ""
		}
		v.Machines = append(v.Machines, x)
	}
	for _, o := range r.replica.State().Maintenance.Book.Open() {
		if o.Step != night.Waiting && o.ID != but {
			v.Out = append(v.Out, o.Machine())
		}
	}
	for _, x := range dialplan.Make(r.replica.State().Items).Routes() {
		route := night.Route{Name: x.Name, Timeout: x.Timeout, Download: x.Kind == dialplan.Download}
		for _, s := range x.Split {
			route.Services = append(route.Services, s.Service)
		}
		v.Routes = append(v.Routes, route)
	}
	sort.Slice(v.Routes, func(i, j int) bool { return v.Routes[i].Name < v.Routes[j].Name })
	return v
}

// sight is what was seen of a machine.
func (r *Register) sight(o night.Order) night.Sight {
	b, addr := &r.board, o.Machine()
	s := b.status[addr]
	if s == nil {
		delete(b.ready, addr)
		return night.Sight{}
	}
	x := night.Sight{There: true, Held: s.Held, Open: int(s.Open), Callers: int(s.Callers), Unready: !s.Ready, Handed: s.Handed == o.ID, Work: workOf(s), Register: s.Register, Homes: len(s.Lines), Leads: s.Leads}
	if s.Register {
		x.Ready = !s.Held && s.Touch && !s.Outside
	} else {
		l, _ := r.replica.Records().Get(addr)
		x.Ready = !s.Held && s.Ready && (s.Server == "" || l.State == directory.Ready)
		var waits []string
		for _, l := range r.replica.Records().All() {
			if l.Addr == addr {
				continue
			}
			y := b.status[l.Addr]
			switch {
			case y == nil && r.now()-b.heard[l.Addr] > goneAfter: // the machine itself turns away what such a one sends
			case y == nil:
				waits = append(waits, l.Node+" does not answer")
			case y.Outs < r.replica.State().Maintenance.Index:
				waits = append(waits, l.Node+" has not heard of it")
			case slices.Contains(y.Sends, addr):
				waits = append(waits, l.Node+" still has requests there")
			}
		}
		x.Sending, x.Waits = len(waits), strings.Join(waits[:min(3, len(waits))], ", ")
	}
	if b.ready == nil {
		b.ready = map[string]time.Duration{}
	}
	since, was := b.ready[addr]
	switch {
	case !x.Ready:
		delete(b.ready, addr)
	case !was:
		b.ready[addr] = r.now()
	default:
		x.Warm = r.now()-since >= warmUp
	}
	return x
}

// workOf tells what runs at a line's server and how what ran there has ended.
func workOf(s *wire.StatusT) string {
	var open, ended []string
	for _, w := range s.Work {
		if w.Open > 0 {
			open = append(open, fmt.Sprintf("%d %s", w.Open, w.Kind))
		}
		for _, x := range []struct {
			n   int64
			how string
		}{{w.Answered, "answered"}, {w.Refused, "turned away"}, {w.Broken, "broken off"}} {
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

// advance takes each open order one step further, if it can go.
func (r *Register) advance() {
	b := &r.board
	if !r.replica.Current() || b.pending > 0 {
		return
	}
	now, known := r.time()
	b.waits = map[string]string{}
	begins := false // one machine at a time begins to come out: the next plan has to know of it
	for _, o := range r.replica.State().Maintenance.Book.Open() {
		if !known {
			b.waits[o.ID] = night.ErrNoTime.Error()
			continue
		}
		c, ok, waits := o.Next(r.view(o.ID), r.sight(o), now)
		if !ok {
			b.waits[o.ID] = waits
			continue
		}
		if c.Step == night.Draining {
			if begins {
				b.waits[o.ID] = "another order begins"
				continue
			}
			begins = true
		}
		r.log.Info().Str("order", o.ID).Str("machine", o.Machine()).Str("step", string(c.Step)).Msg(c.Text)
		b.pending++
		lead := b.lead
		r.proposeNight(replica.MaintenanceWord, c, func(error) {
			if b.lead == lead {
				b.pending--
			}
		})
	}
}
