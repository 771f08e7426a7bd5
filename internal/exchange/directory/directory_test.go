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
		{Addr: "a", Life: 1, Seq: 1, Server: "s1", State: Ready, Warmup: 3 * time.Second},
		{Addr: "a", Life: 1, Seq: 2, Server: "s1", State: Draining, Warmup: 3 * time.Second},
		{Addr: "a", Life: 2, Seq: 1, Server: "s2", State: Ready},
		{Addr: "a", Life: 1, Seq: 2, Server: "s1", State: Draining, Warmup: 3 * time.Second},
		{Addr: "", Life: 9, Seq: 9},
	}
	var try func(table Table, left []int, now time.Duration)
	try = func(table Table, left []int, now time.Duration) {
		if len(left) == 0 {
			r, is := table.Get("a")
			assert.Assert(t, is && table.Len() == 1)
			assert.Equal(t, r.Server, "s2")
			assert.Equal(t, r.Boot, time.Duration(0))
		}
		for n, i := range left {
			next, _ := table.Merge(now, records[i:i+1])
			if r, is := next.Get("a"); is && r.Server == "s1" {
				was, had := table.Get("a")
				assert.Assert(t, r.Boot == now+3*time.Second || had && r.Boot == was.Boot)
			}
			try(next, append(append([]int(nil), left[:n]...), left[n+1:]...), now+time.Second)
		}
	}
	try(Table{}, []int{0, 1, 2, 3, 4}, time.Second)
}

func TestExpire(t *testing.T) {
	table, news := Table{}.Merge(0, []Record{{Addr: "a", Life: 1}, {Addr: "b", Life: 1}, {Addr: "a", Life: 1}})
	assert.Equal(t, len(news), 2)
	table, _ = table.Merge(20*time.Second, []Record{{Addr: "b", Life: 1, Seq: 1}})
	table, dropped := table.Expire(31*time.Second, 30*time.Second)
	assert.Assert(t, len(dropped) == 1 && dropped[0].Addr == "a" && table.Len() == 1)
	l := Of(Wire([]Record{{Addr: "c", State: Draining, Gone: true, Warmup: time.Second, Slots: 3}}))
	assert.DeepEqual(t, l[0], Record{Addr: "c", State: Draining, Gone: true, Warmup: time.Second, Slots: 3})
}
