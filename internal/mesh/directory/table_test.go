package directory

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Records of one sidecar are merged in every order, one of them twice: the newest record of the latest incarnation wins, and the first
// record of a server determines the end of its slow start.
func TestMergeInEveryOrder(t *testing.T) {
	const warmup = 3 * time.Second
	draining := Record{Addr: "a", Incarnation: 1, Sequence: 2, ServerID: "s1", State: ServerDraining, Warmup: warmup}
	records := []Record{
		{Addr: "a", Incarnation: 1, Sequence: 1, ServerID: "s1", State: ServerReady, Warmup: warmup},
		draining,
		{Addr: "a", Incarnation: 2, Sequence: 1, ServerID: "s2", State: ServerReady},
		draining,
		{Addr: "", Incarnation: 9, Sequence: 9},
	}
	var mergeRemaining func(table Table, remaining []int, now time.Duration)
	mergeRemaining = func(table Table, remaining []int, now time.Duration) {
		if len(remaining) == 0 {
			record, exists := table.Get("a")
			assert.Assert(t, exists && table.Len() == 1)
			assert.Equal(t, record.ServerID, "s2")
			assert.Equal(t, record.WarmAt, time.Duration(0))
		}
		for n, i := range remaining {
			next, _ := table.Merge(now, records[i:i+1])
			if record, exists := next.Get("a"); exists && record.ServerID == "s1" {
				before, existedBefore := table.Get("a")
				assert.Assert(t, record.WarmAt == now+warmup || existedBefore && record.WarmAt == before.WarmAt)
			}
			mergeRemaining(next, slices.Delete(slices.Clone(remaining), n, n+1), now+time.Second)
		}
	}
	mergeRemaining(Table{}, []int{0, 1, 2, 3, 4}, time.Second)
}

func TestExpire(t *testing.T) {
	const timeout = 30 * time.Second
	table, changed := Table{}.Merge(0, []Record{{Addr: "a", Incarnation: 1}, {Addr: "b", Incarnation: 1}, {Addr: "a", Incarnation: 1}})
	assert.Equal(t, len(changed), 2)
	table, _ = table.Merge(20*time.Second, []Record{{Addr: "b", Incarnation: 1, Sequence: 1}})
	table, expired := table.Expire(timeout+time.Second, timeout)
	assert.Assert(t, len(expired) == 1 && expired[0].Addr == "a" && table.Len() == 1)
}
