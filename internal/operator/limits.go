package operator

import "cranegrade/internal/pool"

const (
	// questionBytes is the memory that an open question of a proxy takes, as measured (docs/design/extproc.md) and rounded up.
	questionBytes = 24 << 10
	// maxDescriptors bounds the descriptors of a process.
	maxDescriptors = 1 << 24
	// descriptorsPerPool and minCallerDescriptors make the least number of descriptors, with those that are reserved: each
	// pool needs a watch and a connection.
	descriptorsPerPool   = 2
	minCallerDescriptors = 8
	// newCallersShare is the part of the callers' total for connections before their first request: one of so many.
	newCallersShare = 8
	// questionsMemoryShare is the part of the memory for open questions of proxies: one of so many.
	questionsMemoryShare = 4
)

// sharedLimit is one of the limits that pools share.
type sharedLimit struct {
	key      string                    // in [limits] and in a pool's limits
	bytes    bool                      // values may have a unit of bytes
	total    *int64                    // where the plan holds the total
	quota    func(*Limits) *pool.Quota // where a pool's limits hold its quota
	reserved int64                     // part of the total that pools can't have
}

// limits reads [limits], what the process may use in all, and each pool's quotas. By default the pools' minima are equal
// parts of half the total, so that no pool can be starved.
func (d *document) limits(t *table, pools []*table, p *Plan) {
	shared := d.totals(t, len(pools), p)
	for i, pt := range pools {
		lt := pt.tableOrEmpty("limits")
		for _, limit := range shared {
			limit.readQuota(lt, limit.quota(&p.Pools[i].Limits), len(pools))
		}
		lt.rejectUnknownKeys()
		pt.rejectUnknownKeys()
	}
	for _, limit := range shared {
		limit.checkMinima(pools, p)
	}
}

// totals reads [limits].
func (d *document) totals(t *table, pools int, p *Plan) []sharedLimit {
	lt := t.tableOrEmpty("limits")
	p.MemoryMB = lt.number("memory_mb", 0)
	p.Cores = lt.number("cores", 0)
	descriptors := lt.count("descriptors", defaultDescriptors)
	least := int64(reservedDescriptors + descriptorsPerPool*pools + minCallerDescriptors)
	if descriptors < least || descriptors > maxDescriptors {
		lt.fault("descriptors", "%d is not between %d, the least for %d pools, and %d", descriptors, least, pools, maxDescriptors)
		descriptors = max(least, defaultDescriptors)
	}
	p.defaultTotals(int(descriptors), pools)
	shared := p.sharedLimits()
	for i := range shared {
		limit := &shared[i]
		*limit.total = limit.read(lt, limit.key, *limit.total)
		if limit.key == "callers" {
			p.Totals.NewCallers.Min = min(p.Totals.NewCallers.Min, *limit.total/newCallersShare)
			limit.reserved = p.Totals.NewCallers.Min
		}
	}
	if sum := p.Totals.Connections + p.Totals.DownstreamConns; sum > descriptors-reservedDescriptors-int64(pools) {
		lt.fault("connections", "%d connections and %d callers need more than the %d descriptors, of which %d are reserved",
			p.Totals.Connections, p.Totals.DownstreamConns, descriptors, reservedDescriptors+pools)
	}
	lt.rejectUnknownKeys()
	return shared
}

// defaultTotals sets the totals that follow from the descriptors and the memory.
func (p *Plan) defaultTotals(descriptors, pools int) {
	p.Totals = TotalsFor(descriptors, p.MemoryMB, pools)
	p.Totals.NewCallers.Min = p.Totals.DownstreamConns / newCallersShare
	// A caller's connection carries one call at a time (HTTP/1.1), so there can't be more calls than callers.
	p.Totals.Calls = p.Totals.DownstreamConns
	p.Totals.PendingCalls = p.Totals.DownstreamConns
	if p.ExtProc == nil {
		return
	}
	// A proxy's connection carries many questions, which cost memory but no descriptors.
	questions := p.ExtProc.Streams
	if p.MemoryMB > 0 {
		questions = min(questions, int64(p.MemoryMB*bytesPerMiB/questionsMemoryShare/questionBytes))
	}
	p.Totals.Calls += questions
	p.Totals.PendingCalls += questions
}

// sharedLimits returns all limits that pools share.
func (p *Plan) sharedLimits() []sharedLimit {
	return []sharedLimit{
		{
			key:   "calls",
			total: &p.Totals.Calls,
			quota: func(l *Limits) *pool.Quota { return &l.Calls },
		},
		{
			key:   "held",
			total: &p.Totals.PendingCalls,
			quota: func(l *Limits) *pool.Quota { return &l.PendingCalls },
		},
		{
			key:   "connections",
			total: &p.Totals.Connections,
			quota: func(l *Limits) *pool.Quota { return &l.Connections },
		},
		{
			key:      "callers",
			total:    &p.Totals.DownstreamConns,
			quota:    func(l *Limits) *pool.Quota { return &l.DownstreamConns },
			reserved: p.Totals.NewCallers.Min,
		},
		{
			key:   "bodies",
			bytes: true,
			total: &p.Totals.RequestBodies,
			quota: func(l *Limits) *pool.Quota { return &l.RequestBodies },
		},
		{
			key:   "long_answers",
			bytes: true,
			total: &p.Totals.ResponseBuffers,
			quota: func(l *Limits) *pool.Quota { return &l.ResponseBuffers },
		},
	}
}

// readQuota reads a pool's quota of the limit.
func (s *sharedLimit) readQuota(lt *table, q *pool.Quota, pools int) {
	if *s.total < Unlimited {
		q.Min = (*s.total - s.reserved) / int64(2*pools)
	}
	qt := lt.subtable(s.key)
	if qt == nil {
		return
	}
	q.Max = s.read(qt, "max", 0)
	if q.Max > 0 {
		q.Min = min(q.Min, q.Max)
	}
	q.Min = s.read(qt, "min", q.Min)
	if qt.has("max") && q.Max == 0 {
		qt.fault("max", "must be over 0")
	} else if q.Max > 0 && q.Min > q.Max {
		qt.fault("min", "%d is over the maximum of %d", q.Min, q.Max)
	}
	qt.rejectUnknownKeys()
}

// checkMinima reports the first pool whose minimum no longer fits into the total.
func (s *sharedLimit) checkMinima(pools []*table, p *Plan) {
	sum := s.reserved
	for i, pt := range pools {
		q := s.quota(&p.Pools[i].Limits)
		if q.Min > *s.total-sum {
			pt.fault("limits."+s.key, "the minima of the pools up to this one, %d for this one, pass the total of %d", q.Min, *s.total)
			return
		}
		sum += q.Min
	}
}

// read reads a value of the limit.
func (s *sharedLimit) read(t *table, key string, def int64) int64 {
	if s.bytes {
		return t.bytes(key, def)
	}
	return t.count(key, def)
}
