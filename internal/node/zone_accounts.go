package node

import (
	"errors"
	"log"
	"reflect"
	"sync"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/operator"
	"cranegrade/internal/zone"
	"cranegrade/internal/zone/report"
)

// ZoneStore keeps the account of zones over restarts.
type ZoneStore interface {
	Load() (state zone.State, unread int, err error)
	Save(state zone.State, oldest int64) error
	Close() error
}

// ErrNoZoneStore says that a file wants what the program has not.
var ErrNoZoneStore = errors.New("this program is built without a store for the account of zones")

// zoneAccounts is a node's book of zones, and the modules that write it.
type zoneAccounts struct {
	plan  *operator.Zones // nil: zones are not told apart
	book  *zone.Book
	store ZoneStore // nil: nothing is kept
	stop  chan struct{}
	ended sync.WaitGroup

	saving sync.Mutex // one writing after another: a later lease is never overwritten by an earlier one

	mu      sync.Mutex // guards modules
	modules map[string]*zone.Module
}

// saveInterval is how often the account is kept: what a crash may lose of it.
const saveInterval = time.Second

// openZones opens what a plan says of zones; without any it is empty.
func openZones(plan *operator.Zones, open func(string) (ZoneStore, error)) (*zoneAccounts, error) {
	z := &zoneAccounts{plan: plan, stop: make(chan struct{}), modules: map[string]*zone.Module{}}
	if plan == nil {
		return z, nil
	}
	z.book = zone.NewBook(plan.Limits)
	if plan.State == "" {
		return z, nil
	}
	if open == nil {
		return nil, ErrNoZoneStore
	}
	s, err := open(plan.State)
	if err != nil {
		return nil, err
	}
	state, unread, err := s.Load()
	if err != nil {
		s.Close()
		return nil, err
	}
	if unread > 0 {
		log.Printf("zones: %d entries of %s can't be read and are left out", unread, plan.State)
	}
	z.book.Restore(state)
	z.book.RequireLeases()
	if err := z.saveLease(s); err != nil { // what can't be written can't be spent
		s.Close()
		return nil, err
	}
	z.store = s
	z.ended.Go(z.saveLoop)
	return z, nil
}

// saveLease saves what has changed, and what may be spent of budgets until the next time.
func (z *zoneAccounts) saveLease(s ZoneStore) error {
	z.saving.Lock()
	defer z.saving.Unlock()
	state := z.book.PrepareLease(time.Duration(time.Now().UnixNano()))
	if err := s.Save(state, z.book.OldestDay()); err != nil {
		z.book.RestoreChanges(state)
		return err
	}
	z.book.ConfirmLease(state)
	return nil
}

// saveLoop saves what has changed until close, and then what was really spent.
func (z *zoneAccounts) saveLoop() {
	tick := time.NewTicker(saveInterval)
	defer tick.Stop()
	failed := false
	for {
		select {
		case <-tick.C:
			err := z.saveLease(z.store)
			if err != nil && !failed {
				log.Printf("zones: %v; it is tried again every %v", err, saveInterval)
			}
			failed = err != nil
		case <-z.stop:
			if err := z.store.Save(z.book.TakeChanges(), z.book.OldestDay()); err != nil {
				log.Printf("zones: %v", err)
			}
			return
		}
	}
}

// close saves what is left and closes the store.
func (z *zoneAccounts) close() {
	if z == nil || z.store == nil {
		return
	}
	close(z.stop)
	z.ended.Wait()
	if err := z.store.Close(); err != nil {
		log.Printf("zones: closing the store: %v", err)
	}
	z.store = nil
}

func (z *zoneAccounts) add(pool string, m *zone.Module) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.modules[pool] = m
}

// checkReload goes over to another plan's budgets. What else zones are told by changes only at a start.
func (z *zoneAccounts) checkReload(plan *operator.Zones) error {
	if (plan == nil) != (z.plan == nil) {
		return errors.New("[zones] comes and goes only at a start")
	}
	if plan == nil {
		return nil
	}
	if plan.State != z.plan.State || !reflect.DeepEqual(plan.Config, z.plan.Config) {
		return errors.New("of [zones] only the budgets can change; the rest does at a start")
	}
	return nil
}

// setLimits puts other budgets in place of the present ones.
func (z *zoneAccounts) setLimits(l []zone.Limit) {
	z.book.SetLimits(l)
	if z.store != nil {
		if err := z.saveLease(z.store); err != nil {
			log.Printf("zones: %v; it is tried again every %v", err, saveInterval)
		}
	}
}

// zoneConfig is a plan's for a pool.
func zoneConfig(p operator.Zones, s balancer.Settings) zone.Config {
	c := p.Config
	c.Cold, c.Warm, c.Tries = s.ColdFrom, s.WarmAfter, s.MaxAttempts
	if s.StartCalls > 0 {
		c.Start = float64(s.StartCalls)
	}
	c.Aims = make(map[string]time.Duration, len(s.Classes))
	for _, class := range s.Classes {
		c.Aims[class.Name] = class.Aim
	}
	return c
}

// Zones is what the node holds of zones.
func (n *Node) Zones() report.Report {
	now := time.Now()
	n.mu.Lock()
	r := report.Report{Node: n.plan.Name, At: now, Pools: map[string][]report.Area{}}
	n.mu.Unlock()
	z := n.zones
	if z.plan == nil {
		return r
	}
	r.Home = z.plan.Config.Home
	z.mu.Lock()
	for pool, m := range z.modules {
		r.Pools[pool] = report.Areas(m.Views())
	}
	z.mu.Unlock()
	r.Budgets = report.Budgets(z.book.Remaining(time.Duration(now.UnixNano())))
	r.Rows = report.Rows(z.book.Rows(), "", report.By{Pool: true, Class: true, Customer: true})
	return r
}
