package operator

import "cranegrade/internal/pool"

// sharedLimit is one of the things that pools share.
type sharedLimit struct {
	key      string
	bytes    bool
	total    *int64
	quota    func(*Limits) *pool.Quota
	reserved int64 // of the total, for other than pools
}

// questionBytes is what an open question of a proxy takes, as measured (docs/design/extproc.md), rounded up.
const questionBytes = 24 << 10

// limits reads what the process may hold and each pool's part of it. Where a pool's minimum is not
// told, half the total is dealt out evenly, so that none can be starved by default.
func (f *document) limits(t *table, pools []*table, p *Plan) {
	shared := f.totals(t, len(pools), p)
	for i, pt := range pools {
		lt := pt.tableOrEmpty("limits")
		for _, k := range shared {
			k.readQuota(lt, k.quota(&p.Pools[i].Limits), len(pools))
		}
		lt.rejectUnknownKeys()
		pt.rejectUnknownKeys()
	}
	for _, k := range shared {
		k.checkMinima(pools, p)
	}
}

// totals reads [limits].
func (f *document) totals(t *table, pools int, p *Plan) []sharedLimit {
	l := t.tableOrEmpty("limits")
	p.MemoryMB, p.Cores = l.number("memory_mb", 0), l.number("cores", 0)
	descriptors := l.count("descriptors", defaultDescriptors)
	if least := int64(reservedDescriptors + 2*pools + 8); descriptors < least || descriptors > 1<<24 {
		l.fault("descriptors", "%d is not between %d, the least for %d pools, and %d", descriptors, least, pools, 1<<24)
		descriptors = max(least, defaultDescriptors)
	}
	p.defaultTotals(int(descriptors), pools)
	shared := p.sharedLimits()
	for i := range shared {
		k := &shared[i]
		*k.total = k.read(l, k.key, *k.total)
		if k.key == "callers" {
			p.Totals.NewCallers.Min = min(p.Totals.NewCallers.Min, *k.total/8)
			k.reserved = p.Totals.NewCallers.Min
		}
	}
	if sum := p.Totals.Connections + p.Totals.Callers; sum > descriptors-reservedDescriptors-int64(pools) {
		l.fault("connections", "%d connections and %d callers need more than the %d descriptors, of which %d are reserved",
			p.Totals.Connections, p.Totals.Callers, descriptors, reservedDescriptors+pools)
	}
	l.rejectUnknownKeys()
	return shared
}

// defaultTotals are those that follow from the descriptors and the memory.
func (p *Plan) defaultTotals(descriptors, pools int) {
	p.Totals = TotalsFor(descriptors, p.MemoryMB, pools)
	p.Totals.NewCallers.Min = p.Totals.Callers / 8
	// An HTTP/1.1 caller's connection carries one call at a time, so there can be no more of these.
	p.Totals.Calls, p.Totals.Held = p.Totals.Callers, p.Totals.Callers
	if p.ExtProc == nil {
		return
	}
	asked := p.ExtProc.Streams // a proxy's connection carries many, and what they cost is memory
	if p.MemoryMB > 0 {
		asked = min(asked, int64(p.MemoryMB*(1<<20)/4/questionBytes))
	}
	p.Totals.Calls, p.Totals.Held = p.Totals.Calls+asked, p.Totals.Held+asked
}

// sharedLimits are all that pools share, in the order in which faults of them are found.
func (p *Plan) sharedLimits() []sharedLimit {
	return []sharedLimit{
		{"calls", false, &p.Totals.Calls, func(l *Limits) *pool.Quota { return &l.Calls }, 0},
		{"held", false, &p.Totals.Held, func(l *Limits) *pool.Quota { return &l.Held }, 0},
		{"connections", false, &p.Totals.Connections, func(l *Limits) *pool.Quota { return &l.Connections }, 0},
		{"callers", false, &p.Totals.Callers, func(l *Limits) *pool.Quota { return &l.Callers }, p.Totals.NewCallers.Min},
		{"bodies", true, &p.Totals.Bodies, func(l *Limits) *pool.Quota { return &l.Bodies }, 0},
		{"long_answers", true, &p.Totals.LongAnswers, func(l *Limits) *pool.Quota { return &l.LongAnswers }, 0},
	}
}

// readQuota reads one pool's quota of one limit.
func (k *sharedLimit) readQuota(lt *table, q *pool.Quota, pools int) {
	if *k.total < Unlimited {
		q.Min = (*k.total - k.reserved) / int64(2*pools)
	}
	kt := lt.subtable(k.key)
	if kt == nil {
		return
	}
	q.Max = k.read(kt, "max", 0)
	if q.Max > 0 {
		q.Min = min(q.Min, q.Max)
	}
	q.Min = k.read(kt, "min", q.Min)
	if kt.has("max") && q.Max == 0 {
		kt.fault("max", "must be over 0")
	} else if q.Max > 0 && q.Min > q.Max {
		kt.fault("min", "%d is over the maximum of %d", q.Min, q.Max)
	}
	kt.rejectUnknownKeys()
}

// checkMinima reports the first pool whose minimum no longer fits into the total.
func (k *sharedLimit) checkMinima(pools []*table, p *Plan) {
	sum := k.reserved
	for i, pt := range pools {
		q := k.quota(&p.Pools[i].Limits)
		if q.Min > *k.total-sum {
			pt.fault("limits."+k.key, "the minima of the pools up to this one, %d for this one, pass the total of %d", q.Min, *k.total)
			return
		}
		sum += q.Min
	}
}

func (k *sharedLimit) read(t *table, key string, def int64) int64 {
	if k.bytes {
		return t.bytes(key, def)
	}
	return t.count(key, def)
}
