package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Records of one line in all orders, said twice: the latest life's latest holds, and a server is warm when its first record
// said, not later.
func TestAllOrders(t *testing.T) {
	records := []Record{
		{Addr: "a", Incarnation: 1, Sequence: 1, ServerID: "s1", State: ServerReady, Warmup: 3 * time.Second},
		{Addr: "a", Incarnation: 1, Sequence: 2, ServerID: "s1", State: ServerDraining, Warmup: 3 * time.Second},
		{Addr: "a", Incarnation: 2, Sequence: 1, ServerID: "s2", State: ServerReady},
		{Addr: "a", Incarnation: 1, Sequence: 2, ServerID: "s1", State: ServerDraining, Warmup: 3 * time.Second},
		{Addr: "", Incarnation: 9, Sequence: 9},
	}
	var try func(table Table, left []int, now time.Duration)
	try = func(table Table, left []int, now time.Duration) {
		if len(left) == 0 {
			r, is := table.Get("a")
			assert.Assert(t, is && table.Len() == 1)
			assert.Equal(t, r.ServerID, "s2")
			assert.Equal(t, r.WarmAt, time.Duration(0))
		}
		for n, i := range left {
			next, _ := table.Merge(now, records[i:i+1])
			if r, is := next.Get("a"); is && r.ServerID == "s1" {
				was, had := table.Get("a")
				assert.Assert(t, r.WarmAt == now+3*time.Second || had && r.WarmAt == was.WarmAt)
			}
			try(next, append(append([]int(nil), left[:n]...), left[n+1:]...), now+time.Second)
		}
	}
	try(Table{}, []int{0, 1, 2, 3, 4}, time.Second)
}

func TestExpire(t *testing.T) {
	table, news := Table{}.Merge(0, []Record{{Addr: "a", Incarnation: 1}, {Addr: "b", Incarnation: 1}, {Addr: "a", Incarnation: 1}})
	assert.Equal(t, len(news), 2)
	table, _ = table.Merge(20*time.Second, []Record{{Addr: "b", Incarnation: 1, Sequence: 1}})
	table, dropped := table.Expire(31*time.Second, 30*time.Second)
	assert.Assert(t, len(dropped) == 1 && dropped[0].Addr == "a" && table.Len() == 1)
	l := FromWire(ToWire([]Record{{Addr: "c", State: ServerDraining, Leaving: true, Warmup: time.Second, Slots: 3}}))
	assert.DeepEqual(t, l[0], Record{Addr: "c", State: ServerDraining, Leaving: true, Warmup: time.Second, Slots: 3})
}
