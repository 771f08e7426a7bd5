package directory

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Table contains the newest record of each sidecar, by the address of the sidecar. The zero value is an empty table. A Table is
// immutable, so that readers need no lock.
type Table struct{ records map[string]Record }

// Len returns the number of sidecars.
func (t Table) Len() int { return len(t.records) }

// Get returns the record of the sidecar with the given address.
func (t Table) Get(addr string) (record Record, ok bool) {
	record, ok = t.records[addr]
	return record, ok
}

// All returns the records ordered by service, then by address. All processes use this order to number the sidecars that call a
// service.
func (t Table) All() []Record {
	records := slices.AppendSeq(make([]Record, 0, len(t.records)), maps.Values(t.records))
	slices.SortFunc(records, func(a, b Record) int {
		if a.Service != b.Service {
			return cmp.Compare(a.Service, b.Service)
		}
		return cmp.Compare(a.Addr, b.Addr)
	})
	return records
}

// Merge returns a table that includes those of the given records that are newer than the existing ones, and returns these as changed.
// now is the time of the receiver's clock. Apart from the times of that clock, the resulting table does not depend on the
// order in which records are merged.
func (t Table) Merge(now time.Duration, records []Record) (merged Table, changed []Record) {
	current := t.records
	for _, record := range records {
		previous, exists := current[record.Addr]
		if record.Addr == "" || exists && !record.isNewerThan(previous) {
			continue
		}
		record.ReceivedAt = now
		switch {
		case exists && previous.ServerID == record.ServerID:
			record.WarmAt = previous.WarmAt // set by the first record; the remaining slow start in later records would shift it
		case record.Warmup > 0:
			record.WarmAt = now + record.Warmup
		}
		if len(changed) == 0 {
			current = make(map[string]Record, len(t.records)+1)
			maps.Copy(current, t.records)
		}
		current[record.Addr] = record
		changed = append(changed, record)
	}
	if len(changed) == 0 {
		return t, nil
	}
	return Table{current}, changed
}

// Expire returns a table without the sidecars whose latest record was received more than timeout ago, and returns the removed records.
func (t Table) Expire(now, timeout time.Duration) (remaining Table, expired []Record) {
	for _, record := range t.records {
		if now-record.ReceivedAt > timeout {
			expired = append(expired, record)
		}
	}
	if len(expired) == 0 {
		return t, nil
	}
	records := maps.Clone(t.records)
	for _, record := range expired {
		delete(records, record.Addr)
	}
	return Table{records}, expired
}
