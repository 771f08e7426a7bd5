package config

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/operations"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/testkit"
)

func removal(list, name string, version int) string {
	return fmt.Sprintf(`{"Remove":{%q:[{"Name":%q,"ConfigVersion":%d}]}}`, list, name, version)
}

func taken(t *testing.T, table Table, texts ...string) Table {
	t.Helper()
	for _, text := range texts {
		next, _, err := table.ApplyItems(take(t, text))
		assert.NilError(t, err, text)
		table = next
	}
	return table
}

// admit is why a table does not admit a call; nil: it does.
func admit(table Table, c Update) error {
	_, err := table.Admit(c)
	return err
}

// stored is a table as it is read back from a register's disk.
func stored(t *testing.T, table Table) Table {
	t.Helper()
	text := codec.EncodeTable(&wire.StateT{Items: TableToStorage(table)})
	state, err := codec.DecodeTable(text, func(p []byte) *wire.StateT { return wire.GetRootAsState(p, 0).UnPack() })
	assert.NilError(t, err)
	return TableFromStorage(state.Items)
}

// An order that was taken is acknowledged again whatever was taken since, and another content under its version is not; the
// same after a restart from disk.
func TestTakenAgain(t *testing.T) {
	first := call(rule("r", "old", 5, ""), "")
	both := call(rule("r", "old", 5, "")+","+rule("q", "old", 5, ""), "")
	late := call(rule("r", "new", 3, ""), "")
	other := call(rule("r", "new", 5, ""), "")
	mixed := call(rule("r", "new", 5, "")+","+rule("p", "new", 1, ""), "")
	table := taken(t, Table{}, call("", fmt.Sprintf(service, "old", 1)+","+fmt.Sprintf(service, "new", 1)), first, call(rule("q", "old", 5, ""), ""),
		call(rule("r", "new", 6, ""), ""), call(rule("q", "new", 6, ""), ""), late, removal("UpstreamGroups", "old", 6), removal("RouteTable", "r", 8))
	for _, table := range []Table{table, stored(t, table), stored(t, stored(t, table))} {
		for _, text := range []string{first, both, late, removal("UpstreamGroups", "old", 6), call(rule("r", "new", 6, ""), ""), removal("RouteTable", "r", 8)} {
			c := Update{Items: take(t, text)}
			verdict, err := table.Admit(c)
			assert.Assert(t, err == nil && verdict == operations.Duplicate, text)
			_, raised, _, err := table.ApplyUpdate(c)
			assert.NilError(t, err, text)
			assert.Equal(t, len(raised), 0)
		}
		for _, text := range []string{other, mixed, call(rule("r", "old", 3, ""), ""), call(rule("r", "old", 6, ""), ""), removal("RouteTable", "r", 6),
			call(rule("r", "new", 8, ""), "")} {
			assert.Assert(t, errors.Is(admit(table, Update{Items: take(t, text)}), ErrConflict), text)
		}
		_, _, err := table.ApplyItems(take(t, other))
		assert.Assert(t, errors.Is(err, ErrConflict))
		// One that is invalid stays so, also with versions that are older than what stands.
		_, _, err = table.ApplyItems(take(t, call(rule("r", "nobody", 2, ""), "")))
		assert.Assert(t, errors.Is(err, ErrInvalid))
	}
}

// What a register stored without histories tells of earlier versions is that it can't tell: an order below the version that
// stands is neither acknowledged nor refused. What comes after is remembered.
func TestStoredWithoutHistory(t *testing.T) {
	items := take(t, call(rule("r", "s", 5, "")+","+rule("q", "s", 5, ""), fmt.Sprintf(service, "s", 1)))
	table := TableFromStorage(ItemsToWire(items).List) // as the build before stored it
	for _, text := range []string{call(rule("r", "s", 3, ""), ""), call(rule("r", "gone", 3, ""), "")} {
		_, raised, err := table.ApplyItems(take(t, text))
		assert.Assert(t, errors.Is(err, ErrUndetermined) && len(raised) == 0, "%v", err)
	}
	_, _, err := table.ApplyItems(take(t, call(rule("r", "s", 5, ""), "")))
	assert.NilError(t, err)
	table = taken(t, table, call(rule("r", "s", 9, ""), ""), call(rule("r", "s", 5, ""), ""), call(rule("r", "s", 7, ""), ""))
	assert.Assert(t, errors.Is(admit(table, Update{Items: take(t, call(rule("r", "s", 7, `,"X":1`), ""))}), ErrConflict))
	// A new item beside one that can't be told is not proposed.
	assert.Assert(t, errors.Is(admit(table, Update{Items: take(t, call(rule("r", "s", 3, "")+","+rule("new", "s", 1, ""), ""))}), ErrUndetermined))
}

// The operations of all items together are bounded. Past the bound the earliest are forgotten, the same on a register that
// began with a snapshot, and an order among them is left open.
func TestOperationsBounded(t *testing.T) {
	const items = 512
	table := taken(t, Table{}, call("", fmt.Sprintf(service, "s", 1)))
	route := func(name, version int) Item {
		return Item{Key: Key{KindRoute, fmt.Sprint(name)}, Version: int64(version), Host: "h", Body: fmt.Appendf(nil, `{"ForwardAction":{"Service":"s"},"N":%d}`, version),
			LogTime: time.Duration(version)}
	}
	raise := func(table Table, version int) Table {
		var l []Item
		for n := range items {
			l = append(l, route(n, version))
		}
		next, _, err := table.ApplyItems(l)
		assert.NilError(t, err)
		return next
	}
	count := func(table Table) (n int) {
		for _, i := range table.Items() {
			n += i.history.Len()
		}
		return n
	}
	const rounds = MaxOperations/items + 10
	var other Table
	for version := 1; version <= rounds; version++ {
		if version == rounds/2 {
			other = stored(t, table)
		}
		table = raise(table, version)
		if version >= rounds/2 {
			other = raise(other, version)
		}
		assert.Assert(t, table.operationCount <= MaxOperations)
	}
	assert.Equal(t, table.operationCount, count(table))
	assert.Equal(t, other.operationCount, count(other))
	assert.Assert(t, bytes.Equal(codec.EncodeTable(&wire.StateT{Items: TableToStorage(other)}), codec.EncodeTable(&wire.StateT{Items: TableToStorage(table)})))
	assert.Assert(t, count(table) >= operationsAfterPruning)
	_, _, err := table.ApplyItems([]Item{route(3, 1)})
	assert.Assert(t, errors.Is(err, ErrUndetermined), "%v", err)
	_, _, err = table.ApplyItems([]Item{route(3, rounds-1)})
	assert.NilError(t, err)
}

// Over a day of hundreds of changes on the same few routes every order stays known: one that comes again, however late, is
// acknowledged, and another content under its version is not, also from disk.
func TestHundredsOfChanges(t *testing.T) {
	table := taken(t, Table{}, call("", fmt.Sprintf(service, "s", 1)))
	const changes, routes = 600, 3
	order := func(n int, more string) string { return call(rule(fmt.Sprint("r", n%routes), "s", n, more), "") }
	for n := 1; n <= changes; n++ {
		if n%5 == 0 { // some overtake the next one
			table = taken(t, table, order(n+routes, ""))
		}
		table = taken(t, table, order(n, ""))
	}
	for _, table := range []Table{table, stored(t, table)} {
		for n := 1; n <= changes; n++ {
			verdict, err := table.Admit(Update{Items: take(t, order(n, ""))})
			assert.Assert(t, err == nil && verdict == operations.Duplicate, "order %d: %v", n, err)
			assert.Assert(t, errors.Is(admit(table, Update{Items: take(t, order(n, `,"X":1`))}), ErrConflict), "order %d", n)
		}
	}
}

// takeWithoutHistory is Take as the build before had it, which may have applied the same entries on another register.
func takeWithoutHistory(table Table, c Update) Table {
	if table.validate(c) != nil {
		return table
	}
	next, _ := table.Merge(c.Items)
	return next
}

// Which items stand is the same on registers that remember, that remember nothing, and that have forgotten at any time: otherwise
// registers of two builds, or one that began with another's snapshot, would part.
func TestItemsWithoutHistories(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 7))
	item := func() Item {
		n := random.IntN(4)
		version := int64(1 + random.IntN(9))
		service := fmt.Sprint("s", random.IntN(2))
		switch {
		case n < 2:
			return Item{Key: Key{KindService, fmt.Sprint("s", n)}, Version: version, Deleted: random.IntN(3) == 0, Body: []byte("{}")}
		case random.IntN(4) == 0:
			return Item{Key: Key{KindRoute, fmt.Sprint("r", n)}, Version: version, Deleted: true}
		}
		return Item{Key: Key{KindRoute, fmt.Sprint("r", n)}, Version: version, Host: "h", Body: fmt.Appendf(nil, `{"ForwardAction":{"Service":%q}}`, service)}
	}
	raised, refused, open := 0, 0, 0
	for range 300 {
		var right, forgetful, before Table
		for step := range 40 {
			var c Update
			for range 1 + random.IntN(3) {
				c.Items = append(c.Items, item())
			}
			if items, fault := deduplicate(c.Items); fault == nil {
				c.Items = items
			} else {
				continue
			}
			for n := range c.Items {
				c.Items[n].LogTime = time.Duration(step)
			}
			next, news, _, err := right.ApplyUpdate(c)
			right = next
			forgetful, _, _, _ = forgetful.ApplyUpdate(c)
			before = takeWithoutHistory(before, c)
			if random.IntN(5) == 0 {
				forgetful = TableFromStorage(ItemsToWire(forgetful.Items()).List)
			}
			raised += len(news)
			switch {
			case errors.Is(err, ErrUndetermined):
				open++
			case err != nil:
				refused++
			}
			want := codec.EncodeTable(ItemsToWire(before.Items()))
			assert.Assert(t, bytes.Equal(codec.EncodeTable(ItemsToWire(right.Items())), want))
			assert.Assert(t, bytes.Equal(codec.EncodeTable(ItemsToWire(forgetful.Items())), want))
		}
	}
	assert.Assert(t, raised > 1000 && refused > 1000 && open > 100, "%d raised, %d refused, %d open: the calls are too tame", raised, refused, open)
}

// FuzzRestore reads whatever a disk may hold.
func FuzzRestore(f *testing.F) {
	f.Add(Item{Key: Key{KindRoute, "r"}, Version: 3}.history.Encode(), int64(3))
	f.Fuzz(func(t *testing.T, past []byte, version int64) {
		table := TableFromStorage([]*wire.ItemT{{Kind: byte(KindService), Name: "s", Version: version, Body: []byte("{}"), History: past}})
		table.ApplyUpdate(Update{Items: []Item{{Key: Key{KindService, "s"}, Version: version - 1, Body: []byte("{}")}}})
	})
}

// The orders of two operators in the search below. Some carry the same item, one is invalid, and after the third the service
// that the first one needs is gone.
var searchOrders = []string{
	call(rule("r", "old", 5, ""), ""),
	call(rule("r", "new", 5, "")+","+rule("q", "new", 5, ""), ""),
	`{"Upsert":{"ListenerList":[{"HostName":"h.example","PolicyRules":[` + rule("r", "new", 6, "") + `]}]},"Remove":{"UpstreamGroups":[{"Name":"old","ConfigVersion":6}]}}`,
	call(rule("r", "new", 3, "")+","+rule("q", "new", 5, ""), ""),
	call(rule("r", "nobody", 4, ""), ""),
}

const searchInvalid = 4

// searchCode is the code under search: the right one, or one with a planted error.
type searchCode struct {
	take    func(Table, Update) (Table, []Item, error)
	admit   func(Table, Update) error
	restore func(Table) Table
	overlap bool // calls are proposed while others of the same items are under way
}

// searchWorld is one state of the core as operators see it. Orders are bits of the sets.
type searchWorld struct {
	table   Table // what the leader has applied, which is all that is agreed on
	pending []int // orders that the leader has proposed
	left    [5]int
	acked   int // they were acknowledged
	taken   int // they were agreed on and taken, whether or not anybody was told
	effect  int // they changed something
	refused int
	trail   string
}

func (w searchWorld) key() string {
	var b []byte
	for _, i := range w.table.Items() {
		b = strconv.AppendInt(append(b, i.Key.Name...), i.Version, 10)
		b = append(append(strconv.AppendBool(b, i.Deleted), i.Body...), i.history.Encode()...)
	}
	for _, n := range append(append(w.left[:], w.acked, w.taken, w.effect, w.refused), w.pending...) {
		b = strconv.AppendInt(append(b, ' '), int64(n), 10)
	}
	return string(b)
}

// answered notes an answer to an order; the text is what it breaks, "": nothing.
func (w *searchWorld) answered(order int, err error, calls []Update) string {
	bit := 1 << order
	switch {
	case err == nil:
		w.acked |= bit
		if order == searchInvalid {
			return "an invalid order is acknowledged"
		}
		for other := range calls {
			if w.acked&(1<<other) != 0 && contradict(calls[order], calls[other]) {
				return "two contents of one version are acknowledged"
			}
		}
	case errors.Is(err, ErrUndetermined):
	default:
		w.refused |= bit
	}
	switch {
	case w.refused&w.taken != 0:
		return "an order that was taken is refused"
	case w.refused&w.effect != 0:
		return "an order that was refused has an effect"
	}
	return ""
}

// contradict says that two calls have different contents under one version of an item.
func contradict(a, b Update) bool {
	for _, i := range a.Items {
		for _, j := range b.Items {
			if i.Key == j.Key && i.Version == j.Version && !i.hasSameContent(j) {
				return true
			}
		}
	}
	return false
}

// commit has the first proposal agreed on; told: whoever sent it is answered.
func (w searchWorld) commit(code searchCode, calls []Update, told bool) (searchWorld, string) {
	order := w.pending[0]
	w.pending = w.pending[1:]
	next, raised, err := code.take(w.table, calls[order])
	w.table = next
	if err == nil {
		w.taken |= 1 << order
	}
	if len(raised) > 0 {
		w.effect |= 1 << order
	}
	if !told {
		return w, w.answered(order, ErrUndetermined, calls)
	}
	return w, w.answered(order, err, calls)
}

// next are the states that can follow, and a rule that one of them breaks.
func (w searchWorld) next(code searchCode, calls []Update) (l []searchWorld, breach string) {
	for order, left := range w.left { // sent for the first time or again, at any member: it reaches the leader
		if left == 0 {
			continue
		}
		v := w
		v.left[order]--
		v.trail += fmt.Sprint(" send", order)
		if err := code.admit(w.table, calls[order]); err != nil {
			if text := v.answered(order, err, calls); text != "" {
				return nil, v.trail + ": " + text
			}
		} else if code.overlap || len(w.pending) == 0 || !touches(calls[order], w.pending, calls) {
			v.pending = append(append([]int(nil), w.pending...), order)
		} else {
			continue // it waits
		}
		l = append(l, v)
	}
	if len(w.pending) > 0 {
		v, text := w.commit(code, calls, true)
		v.trail += fmt.Sprint(" commit", w.pending[0])
		if text != "" {
			return nil, v.trail + ": " + text
		}
		l = append(l, v)
	}
	// Another leader, which has some of what was proposed, and starts from its disk.
	v := w
	for kept := range len(w.pending) + 1 {
		if kept > 0 {
			var text string
			if v, text = v.commit(code, calls, false); text != "" {
				return nil, v.trail + ": " + text
			}
		}
		x := v
		x.pending, x.table = nil, code.restore(v.table)
		x.trail += fmt.Sprint(" lead", kept)
		l = append(l, x)
	}
	return l, ""
}

// touches says that a call names an item that a proposal names.
func touches(c Update, pending []int, calls []Update) bool {
	for _, order := range pending {
		for _, i := range c.Items {
			for _, j := range calls[order].Items {
				if i.Key == j.Key {
					return true
				}
			}
		}
	}
	return false
}

// search tries all orders of what may befall, and gives the states visited and the first breach.
func search(t *testing.T, code searchCode) (states int, breach string) {
	var calls []Update
	for _, text := range searchOrders {
		calls = append(calls, Update{Items: take(t, text)})
	}
	first := searchWorld{table: taken(t, Table{}, call(rule("r", "old", 1, ""), fmt.Sprintf(service, "old", 1)+","+fmt.Sprintf(service, "new", 1))), left: [5]int{2, 2, 1, 2, 1}}
	if testkit.Race { // which takes many times as long, and looks for other things
		first.left = [5]int{2, 2, 1, 1, 1}
	}
	seen, list := map[string]bool{first.key(): true}, []searchWorld{first}
	for len(list) > 0 {
		w := list[0]
		list = list[1:]
		l, breach := w.next(code, calls)
		if breach != "" {
			return len(seen), breach
		}
		for _, v := range l {
			if k := v.key(); !seen[k] {
				seen[k] = true
				list = append(list, v)
			}
		}
	}
	return len(seen), ""
}

// A search over the orders of two operators, each sent again after its answer was lost and while the first is still under way,
// over changes of the leader that keep some of what was proposed, and starts from disk in between: one acknowledged content of a
// version, nothing refused that was taken, no effect of what was refused. Each planted error is found.
func TestOrdersSentAgain(t *testing.T) {
	take := func(table Table, c Update) (Table, []Item, error) {
		next, raised, _, err := table.ApplyUpdate(c)
		return next, raised, err
	}
	right := searchCode{take: take, admit: admit, restore: func(table Table) Table { return stored(t, table) }}
	states, breach := search(t, right)
	assert.Equal(t, breach, "")
	t.Logf("%d states", states)

	older := right // a disk of the build before, at any start
	older.restore = func(table Table) Table { return TableFromStorage(ItemsToWire(table.Items()).List) }
	states, breach = search(t, older)
	assert.Equal(t, breach, "")
	t.Logf("%d states with disks of the build before", states)

	for name, plant := range map[string]struct {
		change func(*searchCode)
		want   string
	}{
		"an operation forgotten too soon": {func(c *searchCode) {
			c.restore = func(table Table) Table {
				fresh, _ := Table{}.Merge(ItemsFromWire(&wire.ItemsT{List: ItemsToWire(table.Items()).List}))
				return fresh
			}
		}, "is refused"},
		"an equal version acknowledged twice": {func(c *searchCode) {
			c.take = func(table Table, call Update) (Table, []Item, error) {
				if err := table.validate(call); errors.Is(err, ErrInvalid) {
					return table, nil, err
				}
				next, raised := table.Merge(call.Items)
				return next, raised, nil
			}
			c.admit = func(Table, Update) error { return nil }
		}, "two contents"},
		"proposed beside another of the same item": {func(c *searchCode) { c.overlap = true }, "has an effect"},
		"not admitted by the leader":               {func(c *searchCode) { c.admit = func(Table, Update) error { return nil } }, "has an effect"},
	} {
		code := right
		plant.change(&code)
		states, breach := search(t, code)
		t.Logf("%s: %d states: %s", name, states, breach)
		assert.Assert(t, strings.Contains(breach, plant.want), "%s: %s", name, breach)
	}
}
