package config

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

const service = `{"Name":"%s","HealthPath":"/health","MaxConnections":110,"Protocol":"h1","TlsEnabled":false,"DedupEnabled":false,"ConfigVersion":%d}`

func rule(name, to string, version int, more string) string {
	return fmt.Sprintf(`{"Name":%q,"RouteType":"idempotent","TargetLatencyS":0.8,"Priority":2,"ConfigVersion":%d,"MatchCriteria":{"PathPrefix":"/p/"},"ForwardAction":{"Service":%q,"TimeoutS":2,"RetryCount":2%s}}`, name, version, to, more)
}

func call(rules, services string) string {
	return fmt.Sprintf(`{"Upsert":{"ListenerList":[{"HostName":"h.example","PolicyRules":[%s]}],"UpstreamGroups":[%s]}}`, rules, services)
}

func take(t *testing.T, text string) []Item {
	t.Helper()
	l, err := ParseItems([]byte(text))
	assert.NilError(t, err)
	return l
}

// What calls for a 4xx: one line that names the item and the field; nothing of the call takes effect.
func TestInvalid(t *testing.T) {
	good := rule("r", "s", 3, "")
	for text, want := range map[string]string{
		call(good, "")[:90]: "read whole",
		call(strings.Replace(good, `"TimeoutS":2`, `"TimeoutS":0`, 1), ""):                                 "route r: ForwardAction.TimeoutS",
		call(strings.Replace(good, `"RetryCount":2`, `"RetryCount":0`, 1), ""):                             "route r: ForwardAction.RetryCount",
		call(strings.Replace(good, `"TargetLatencyS":0.8`, `"TargetLatencyS":62`, 1), ""):                  "route r: TargetLatencyS",
		call(strings.Replace(good, `"Service":"s"`, `"TrafficSplit":[{"Service":"s","Weight":0}]`, 1), ""): "weights sum to 0",
		strings.Replace(call(good, ""), "h.example", "", 1):                                                "HostName is empty",
		call(strings.Replace(good, `"/p/"`, `"p"`, 1), ""):                                                 "PathPrefix",
		call(good+","+rule("r", "t", 3, ""), ""):                                                           "twice",
		`{}`:                                                                                               "no items",
		call(good, "") + "x":                                                                               "behind the end",
	} {
		_, err := ParseItems([]byte(text))
		assert.ErrorContains(t, err, want)
		assert.Assert(t, errors.Is(err, ErrInvalid), "%v", err)
	}
	var table Table
	table, _, err := table.ApplyItems(take(t, call("", fmt.Sprintf(service, "s", 1))))
	assert.NilError(t, err)
	// Also where all its versions are older than what stands.
	_, _, err = table.ApplyItems(take(t, call(rule("r", "nobody", 0, ""), "")))
	assert.Assert(t, errors.Is(err, ErrInvalid))
	assert.ErrorContains(t, err, `route r: ForwardAction: the service "nobody"`)
}

// Two operators, an older change that comes again and a drop, in all orders: each ends in the newest, and of two contents
// under one version one is acknowledged.
func TestAllOrders(t *testing.T) {
	base, _, err := Table{}.ApplyItems(take(t, call(rule("r", "s", 1, ""), fmt.Sprintf(service, "s", 1))))
	assert.NilError(t, err)
	calls := []string{
		call(rule("r", "s", 2, ""), ""),
		call(rule("r", "s", 3, ""), ""),
		call(rule("r", "s", 3, `,"X":1`), ""), // the other operator
		`{"Remove":{"RouteTable":[{"Name":"r","ConfigVersion":4},{"Name":"r","ConfigVersion":4}]}}`,
	}
	orders := 0
	var try func(table Table, left []int, acked map[int]bool)
	try = func(table Table, left []int, acked map[int]bool) {
		if len(left) == 0 {
			orders++
			i, _ := table.Get(Key{KindRoute, "r"})
			assert.Assert(t, i.Deleted && i.Version == 4)
			assert.Equal(t, len(table.Document().ListenerList), 0)
			return
		}
		for n, c := range left {
			before, _ := table.Get(Key{KindRoute, "r"})
			next, raised, err := table.ApplyItems(take(t, calls[c]))
			after, _ := next.Get(Key{KindRoute, "r"})
			assert.Assert(t, after.Version >= before.Version)
			if err != nil {
				assert.Assert(t, errors.Is(err, ErrConflict))
				assert.Assert(t, len(raised) == 0 && after.Version == before.Version)
			}
			now := map[int]bool{c: err == nil}
			for k, v := range acked {
				now[k] = v
			}
			if now[1] && now[2] {
				t.Fatal("both contents of version 3 were acknowledged")
			}
			rest := append(append([]int(nil), left[:n]...), left[n+1:]...)
			try(next, rest, now)
		}
	}
	try(base, []int{0, 1, 2, 3}, nil)
	assert.Equal(t, orders, 24)
}

// Whatever lines are told, in whatever order and however often, they end alike and never go back.
func TestMerge(t *testing.T) {
	n := Key{KindRoute, "r"}
	items := []Item{{Key: n, Version: 1}, {Key: n, Version: 2}, {Key: n, Version: 3, Deleted: true}, {Key: n, Version: 2}}
	var try func(table Table, left []int)
	try = func(table Table, left []int) {
		if len(left) == 0 {
			i, _ := table.Get(n)
			assert.Equal(t, i.Version, int64(3))
		}
		for k, c := range left {
			next, _ := table.Merge(items[c : c+1])
			was, _ := table.Get(n)
			is, _ := next.Get(n)
			assert.Assert(t, is.Version >= was.Version)
			try(next, append(append([]int(nil), left[:k]...), left[k+1:]...))
		}
	}
	try(Table{}, []int{0, 1, 2, 3})
}

func FuzzRead(f *testing.F) {
	f.Add(call(rule("r", "s", 1, ""), fmt.Sprintf(service, "s", 1)))
	f.Fuzz(func(t *testing.T, text string) {
		if items, err := ParseItems([]byte(text)); err == nil {
			Table{}.ApplyItems(items)
		}
	})
}

// A fault names the line of the field where a call is written in lines, and Diff tells what a call would do.
func TestLinesAndDiff(t *testing.T) {
	text := "{\"Upsert\":{\"ListenerList\":[{\"HostName\":\"h\",\"PolicyRules\":[\n" + rule("a", "s", 1, "") + ",\n" +
		strings.ReplaceAll(rule("b", "s", 1, ""), ",", ",\n") + "]}]}}"
	for broken, want := range map[string]string{
		strings.Replace(text, `"TimeoutS":2`, `"TimeoutS":0`, 1):                                     "line 2: route a: ForwardAction.TimeoutS",
		strings.Replace(text, "\n\"RetryCount\":2", "\n\"RetryCount\":0", 1):                         "line 11: route b: ForwardAction.RetryCount",
		strings.Replace(text, "\n\"RetryCount\":2", "\n\"RetryCount\":\"two\"", 1):                   "line 11: a rule of host h: ForwardAction.RetryCount is a string",
		strings.Replace(text, "\n\"Priority\":2,", "\n\"Priority\":2", 1):                            "line 7: the call: can't be read whole",
		strings.Replace(text, "]}]}}", "]}]},\n\"Remove\":{\"RouteTable\":[\n{\"Name\":\"\"}]}}", 1): "line 13: Remove: route",
	} {
		assert.Assert(t, broken != text)
		_, err := ParseItems([]byte(broken))
		assert.ErrorContains(t, err, want)
	}
	table, _, err := Table{}.ApplyItems(take(t, call(rule("r", "s", 3, "")+","+rule("q", "s", 3, ""), fmt.Sprintf(service, "s", 1))))
	assert.NilError(t, err)
	var got []string
	for _, c := range []string{rule("r", "s", 3, ""), rule("r", "s", 2, ""), rule("r", "s", 4, ""), rule("new", "s", 1, ""),
		strings.Replace(rule("r", "s", 3, ""), `"TimeoutS":2`, `"TimeoutS":5`, 1), strings.Replace(rule("r", "s", 4, ""), `"TimeoutS":2`, `"TimeoutS":5`, 1)} {
		for _, d := range Diff(table, take(t, call(c, ""))) {
			got = append(got, fmt.Sprint(d.Action, " ", d.Name, " ", d.From, d.To, d.Fields))
		}
	}
	got = append(got, string(Diff(table, take(t, `{"Remove":{"RouteTable":[{"Name":"q","ConfigVersion":9}]}}`))[0].Action))
	assert.DeepEqual(t, got, []string{"leaves r 3 3 []", "late r 3 2 []", "raises r 3 4 []", "adds new 0 1 []",
		"conflicts r 3 3 [{ForwardAction.TimeoutS 2 5}]", "changes r 3 4 [{ForwardAction.TimeoutS 2 5}]", "drops"})
}

// A search over a register's and a line's table: calls of two operators, older ones that come again, drops, each told to the
// line late, twice, out of order or through a register that is behind. The line never goes back, an equal version is
// acknowledged with one content only, what was dropped stays so. Both planted errors are found.
func TestTablesAllOrders(t *testing.T) {
	calls := [][]Item{
		take(t, call(rule("r", "s", 2, ""), "")),
		take(t, call(rule("r", "s", 3, ""), "")),
		take(t, call(rule("r", "s", 3, `,"X":1`), "")),
		take(t, `{"Remove":{"RouteTable":[{"Name":"r","ConfigVersion":4}]}}`),
		take(t, call(rule("r", "s", 1, ""), "")),
	}
	base, _, err := Table{}.ApplyItems(take(t, call("", fmt.Sprintf(service, "s", 1))))
	assert.NilError(t, err)
	r := Key{KindRoute, "r"}
	// search gives the states visited and the first breach.
	search := func(apply func(Table, []Item) (Table, error), forget bool) (states int, breach string) {
		type world struct {
			core, line Table
			left       []int
			told       [][]Item // committed, and not yet told to the line; told once more at will
			acked      map[int64]int
			trail      string
		}
		seen := map[string]bool{}
		list := []world{{core: base, line: base, left: []int{0, 1, 2, 3, 4}, acked: map[int64]int{}}}
		text := func(t Table) string {
			i, is := t.Get(r)
			return fmt.Sprint(is, i.Version, i.Deleted, len(i.Body))
		}
		for len(list) > 0 {
			w := list[0]
			list = list[1:]
			key := fmt.Sprint(text(w.core), text(w.line), w.left, len(w.told), w.acked)
			for _, l := range w.told {
				key += fmt.Sprint(l[0].Version, len(l[0].Body))
			}
			if seen[key] {
				continue
			}
			seen[key] = true
			for n, i := range w.left {
				next, err := apply(w.core, calls[i])
				v := world{core: next, line: w.line, left: append(append([]int(nil), w.left[:n]...), w.left[n+1:]...), told: w.told, acked: w.acked,
					trail: w.trail + fmt.Sprint(" call", i)}
				if err == nil {
					v.told = append(append([][]Item(nil), w.told...), calls[i])
					version := calls[i][0].Version // one that is lower than what stands is acknowledged, too
					if was, is := w.acked[version]; is && was != i {
						return len(seen), v.trail + ": two contents of one version are acknowledged"
					}
					v.acked = map[int64]int{version: i}
					for k, x := range w.acked {
						v.acked[k] = x
					}
				}
				if i, is := w.acked[4]; is {
					if at, stands := next.Get(r); i == 3 && stands && !at.Deleted {
						return len(seen), v.trail + ": what was dropped is there again"
					}
				}
				list = append(list, v)
			}
			for n, l := range w.told {
				next, _ := w.line.Merge(l)
				if forget {
					next = dropForgotten(next)
				}
				v := w
				v.line, v.trail = next, w.trail+fmt.Sprint(" tell", l[0].Version)
				was, _ := w.line.Get(r)
				if at, is := next.Get(r); is && at.Version < was.Version || !is && was.Version > 0 && !forget {
					return len(seen), v.trail + ": the line goes back"
				}
				if at, is := next.Get(r); is && !at.Deleted && w.acked[4] == 3 && strings.Contains(w.trail, "tell4") {
					return len(seen), v.trail + ": what was dropped is there again"
				}
				v.told = append(append([][]Item(nil), w.told[:n]...), w.told[n+1:]...)
				again := v
				again.told = w.told
				list = append(list, v, again)
			}
		}
		return len(seen), ""
	}
	rightly := func(t Table, l []Item) (Table, error) { next, _, err := t.ApplyItems(l); return next, err }
	states, breach := search(rightly, false)
	assert.Equal(t, breach, "")
	t.Logf("%d states", states)
	_, breach = search(func(t Table, l []Item) (Table, error) { next, _ := t.Merge(l); return next, nil }, false)
	assert.Assert(t, strings.Contains(breach, "two contents"), breach)
	_, breach = search(rightly, true)
	assert.Assert(t, strings.Contains(breach, "again"), breach)
}

// dropForgotten is the planted error: a table that does not remember what was dropped.
func dropForgotten(t Table) Table {
	next := map[Key]Item{}
	for n, i := range t.items {
		if !i.Deleted {
			next[n] = i
		}
	}
	return Table{items: next}
}

// A table stays bounded: dropped items beyond the most are forgotten, the earliest first and alike on every register, and no
// more than the most stand.
func TestBounded(t *testing.T) {
	var table Table
	var l []Item
	for n := range MaxTombstones + 10 {
		l = append(l, Item{Key: Key{KindRoute, fmt.Sprint("d", n)}, Version: 1, Deleted: true, LogTime: time.Duration(n)})
	}
	table, _ = table.Merge(l[:MaxTombstones])
	a, _ := table.Merge(l[MaxTombstones:])
	b, _ := Table{}.Merge(l) // in one
	for _, x := range []Table{a, b} {
		assert.Equal(t, x.Len(), MaxTombstones)
		_, is := x.Get(l[9].Key)
		assert.Assert(t, !is)
		_, is = x.Get(l[10].Key)
		assert.Assert(t, is)
	}
	l = nil
	for n := range MaxItems + 1 {
		l = append(l, Item{Key: Key{KindService, fmt.Sprint(n)}, Version: 1, Body: []byte("{}")})
	}
	_, _, err := a.ApplyItems(l)
	assert.Assert(t, errors.Is(err, ErrInvalid), "%v", err)
	_, _, err = a.ApplyItems(l[1:])
	assert.NilError(t, err)
}
