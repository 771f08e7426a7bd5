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

// saveInterval is how often the zone account is saved: what a crash may lose of it.
const saveInterval = time.Second

// ZoneStore keeps the zone account over restarts. Calls of its methods do not overlap.
type ZoneStore interface {
	// Load returns what was saved. unread counts the entries that could not be decoded, which are left out.
	Load() (state zone.State, unread int, err error)
	// Save adds the changes of an account and drops the days before oldest, in days since 1970.
	Save(state zone.State, oldest int64) error
	// Close releases the file. Nothing is called afterwards.
	Close() error
}

// zoneAccounts holds a node's zone account and budgets, saves them, and knows the modules that write them.
type zoneAccounts struct {
	plan       *operator.Zones // nil if the plan has no zones; nothing below is used then
	accounting *zone.Accounting
	store      ZoneStore      // nil if nothing is saved
	stop       chan struct{}  // closed by close
	ended      sync.WaitGroup // saveLoop

	saving sync.Mutex // held from taking changes until they are saved, so that no later lease is overwritten by an earlier one

	mu      sync.Mutex              // guards modules
	modules map[string]*zone.Module // by pool
}

// openZones opens the zone account of a plan, and the store if the plan names one. Without zones in the plan the result is
// empty but not nil.
func openZones(plan *operator.Zones, open func(string) (ZoneStore, error)) (*zoneAccounts, error) {
	z := &zoneAccounts{plan: plan, stop: make(chan struct{}), modules: map[string]*zone.Module{}}
	if plan == nil {
		return z, nil
	}
	z.accounting = zone.NewAccounting(plan.Limits)
	if plan.State == "" {
		return z, nil
	}
	if open == nil {
		return nil, ErrNoZoneStore
	}
	store, err := open(plan.State)
	if err != nil {
		return nil, err
	}
	if err := z.restore(store); err != nil {
		return nil, errors.Join(err, store.Close())
	}
	z.store = store
	z.ended.Go(z.saveLoop)
	return z, nil
}

// restore loads the account, and saves the first lease of the budgets: what can't be saved must not be spent.
func (z *zoneAccounts) restore(store ZoneStore) error {
	state, unread, err := store.Load()
	if err != nil {
		return err
	}
	if unread > 0 {
		log.Printf("zone account loaded without unreadable entries: file=%s entries=%d", z.plan.State, unread)
	}
	z.accounting.Restore(state)
	z.accounting.RequireLeases()
	return z.saveLease(store)
}

// saveLease saves what has changed, together with the amount of each budget that may be spent until the next save.
func (z *zoneAccounts) saveLease(store ZoneStore) error {
	z.saving.Lock()
	defer z.saving.Unlock()
	state := z.accounting.PrepareLease(time.Duration(time.Now().UnixNano()))
	if err := store.Save(state, z.accounting.OldestDay()); err != nil {
		z.accounting.RestoreChanges(state)
		return err
	}
	z.accounting.ConfirmLease(state)
	return nil
}

// saveLoop saves the account until close, and at last what was really spent of the leases. It logs the first of several
// failures in a row.
func (z *zoneAccounts) saveLoop() {
	tick := time.NewTicker(saveInterval)
	defer tick.Stop()
	failed := false
	for {
		select {
		case <-tick.C:
			err := z.saveLease(z.store)
			if err != nil && !failed {
				logRetriedSave(err)
			}
			failed = err != nil
		case <-z.stop:
			if err := z.store.Save(z.accounting.TakeChanges(), z.accounting.OldestDay()); err != nil {
				log.Printf("zone account not saved at the stop: error=%q", err)
			}
			return
		}
	}
}

// logRetriedSave logs a failure that the next save, saveInterval later, makes good for if it succeeds.
func logRetriedSave(err error) {
	log.Printf("zone account not saved, retrying: interval=%v error=%q", saveInterval, err)
}

// close saves what is left and closes the store. It may be called on a nil z, after a provision that failed early.
func (z *zoneAccounts) close() {
	if z == nil || z.store == nil {
		return
	}
	close(z.stop)
	z.ended.Wait()
	if err := z.store.Close(); err != nil {
		log.Printf("zone account store not closed: error=%q", err)
	}
	z.store = nil
}

// add registers the module of a pool, in place of the one of a pool of that name before.
func (z *zoneAccounts) add(pool string, m *zone.Module) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.modules[pool] = m
}

// validateReload returns an error if a plan changes more of the zones than their budgets, which alone can change while the
// node runs.
func (z *zoneAccounts) validateReload(plan *operator.Zones) error {
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

// setLimits replaces the budgets.
func (z *zoneAccounts) setLimits(limits []zone.Limit) {
	z.accounting.SetLimits(limits)
	if z.store == nil {
		return
	}
	if err := z.saveLease(z.store); err != nil {
		logRetriedSave(err)
	}
}

// zoneConfig returns a plan's zone settings for a pool with these settings.
func zoneConfig(p operator.Zones, s balancer.Settings) zone.Config {
	c := p.Config
	c.SlowStartShare = s.ColdFrom
	c.SlowStartWindow = s.WarmAfter
	c.MaxAttempts = s.MaxAttempts
	if s.StartCalls > 0 {
		c.InitialLimit = float64(s.StartCalls)
	}
	c.LatencyTargets = make(map[string]time.Duration, len(s.Classes))
	for _, class := range s.Classes {
		c.LatencyTargets[class.Name] = class.Aim
	}
	return c
}

// Zones returns the zone account, the remaining budgets and the estimates of the zones that pools use.
func (n *Node) Zones() report.Report {
	now := time.Now()
	n.mu.Lock()
	r := report.Report{Node: n.plan.Name, At: now, Localities: map[string][]report.Locality{}}
	n.mu.Unlock()
	z := n.zones
	if z.plan == nil {
		return r
	}
	r.Home = z.plan.Config.Home
	z.mu.Lock()
	for pool, m := range z.modules {
		r.Localities[pool] = report.Localities(m.Localities())
	}
	z.mu.Unlock()
	r.Budgets = report.Budgets(z.accounting.Remaining(time.Duration(now.UnixNano())))
	r.Rows = report.Rows(z.accounting.Rows(), "", report.GroupBy{Pool: true, Class: true, Customer: true})
	return r
}
