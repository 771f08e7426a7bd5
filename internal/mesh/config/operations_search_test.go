package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"cranegrade/internal/testkit"
)

// searchRequests are the requests of two operators in the search below. Some carry the same item, one is invalid, and after the
// third the service that the first one needs is gone.
var searchRequests = []string{
	routeRequest("r", "old", 5),
	upsertRequest(routeJSON("r", "new", 5, "")+","+routeJSON("q", "new", 5, ""), ""),
	`{"Upsert":{"ListenerList":[{"HostName":"h.example","PolicyRules":[` + routeJSON("r", "new", 6, "") + `]}]},` +
		`"Remove":{"UpstreamGroups":[{"Name":"old","ConfigVersion":6}]}}`,
	upsertRequest(routeJSON("r", "new", 3, "")+","+routeJSON("q", "new", 5, ""), ""),
	routeRequest("r", "nobody", 4),
}

// invalidRequest is which of them is invalid.
const invalidRequest = 4

// requestSearch tries every order in which requests are sent, proposed, committed and answered, while leaders change and start from
// disk. Its functions are the code under search, or a mutation of it.
type requestSearch struct {
	apply   func(Table, Update) (Table, []Item, error)
	admit   func(Table, Update) error
	restore func(Table) Table
	overlap bool // updates are proposed while others of the same items are in flight

	updates []Update
}

// requestSet is a set of requests, a bit each.
type requestSet int

func (s requestSet) has(request int) bool { return s&(1<<request) != 0 }
func (s *requestSet) add(request int)     { *s |= 1 << request }

// requestState is one state of the replicated table as operators see it.
type requestState struct {
	table        Table // what the leader has applied, which is all that is committed
	proposed     []int // requests that the leader has proposed and that are not committed yet
	left         [5]int
	acknowledged requestSet
	accepted     requestSet // committed and accepted, whether or not anybody was told
	effective    requestSet // changed something
	refused      requestSet
	trail        string
}

func (s requestState) key() string {
	var key []byte
	for _, item := range s.table.Items() {
		key = strconv.AppendInt(append(key, item.Name...), item.Version, 10)
		key = append(append(strconv.AppendBool(key, item.Deleted), item.Body...), item.history.Encode()...)
	}
	sets := []int{int(s.acknowledged), int(s.accepted), int(s.effective), int(s.refused)}
	for _, n := range slices.Concat(s.left[:], sets, s.proposed) {
		key = strconv.AppendInt(append(key, ' '), int64(n), 10)
	}
	return string(key)
}

// answer notes the answer to a request and returns what it breaks; empty if nothing.
func (s *requestState) answer(request int, err error, updates []Update) (breach string) {
	switch {
	case err == nil:
		s.acknowledged.add(request)
		if request == invalidRequest {
			return "an invalid order is acknowledged"
		}
		for other := range updates {
			if s.acknowledged.has(other) && contradict(updates[request], updates[other]) {
				return "two contents of one version are acknowledged"
			}
		}
	case errors.Is(err, ErrUndetermined):
	default:
		s.refused.add(request)
	}
	switch {
	case s.refused&s.accepted != 0:
		return "an order that was taken is refused"
	case s.refused&s.effective != 0:
		return "an order that was refused has an effect"
	}
	return ""
}

// contradict reports whether two updates have different contents under one version of an item.
func contradict(a, b Update) bool {
	return anyPair(a, b, func(x, y Item) bool { return x.Key == y.Key && x.Version == y.Version && !x.hasSameContent(y) })
}

// shareItem reports whether two updates carry versions of the same item.
func shareItem(a, b Update) bool {
	return anyPair(a, b, func(x, y Item) bool { return x.Key == y.Key })
}

func anyPair(a, b Update, holds func(x, y Item) bool) bool {
	return slices.ContainsFunc(a.Items, func(x Item) bool {
		return slices.ContainsFunc(b.Items, func(y Item) bool { return holds(x, y) })
	})
}

// commit has the first proposal committed. answered: whoever sent it is told how it ended.
func (s requestSearch) commit(state requestState, answered bool) (next requestState, breach string) {
	request := state.proposed[0]
	table, raised, err := s.apply(state.table, s.updates[request])
	state.proposed, state.table = state.proposed[1:], table
	if err == nil {
		state.accepted.add(request)
	}
	if len(raised) > 0 {
		state.effective.add(request)
	}
	if !answered {
		err = ErrUndetermined
	}
	breach = state.answer(request, err, s.updates)
	return state, breach
}

// send has a request, sent for the first time or again at any member, reach the leader. waits: it is not proposed yet.
func (s requestSearch) send(state requestState, request int) (next requestState, waits bool, breach string) {
	state.left[request]--
	state.trail += fmt.Sprint(" send", request)
	if err := s.admit(state.table, s.updates[request]); err != nil {
		return state, false, state.answer(request, err, s.updates)
	}
	inFlight := slices.ContainsFunc(state.proposed, func(other int) bool { return shareItem(s.updates[request], s.updates[other]) })
	if inFlight && !s.overlap {
		return state, true, ""
	}
	state.proposed = with(state.proposed, request)
	return state, false, ""
}

// next returns the states that can follow, or the first promise that one of them breaks.
func (s requestSearch) next(state requestState) (following []requestState, breach string) {
	for request, left := range state.left {
		if left == 0 {
			continue
		}
		next, waits, breach := s.send(state, request)
		if breach != "" {
			return nil, next.trail + ": " + breach
		}
		if !waits {
			following = append(following, next)
		}
	}
	if len(state.proposed) > 0 {
		next, breach := s.commit(state, true)
		next.trail += fmt.Sprint(" commit", state.proposed[0])
		if breach != "" {
			return nil, next.trail + ": " + breach
		}
		following = append(following, next)
	}
	changed, breach := s.leaderChanges(state)
	return append(following, changed...), breach
}

// leaderChanges returns the states after another leader took over, which has some of what was proposed and starts from its disk.
func (s requestSearch) leaderChanges(state requestState) (following []requestState, breach string) {
	for kept := range len(state.proposed) + 1 {
		if kept > 0 {
			if state, breach = s.commit(state, false); breach != "" {
				return nil, state.trail + ": " + breach
			}
		}
		next := state
		next.proposed, next.table = nil, s.restore(state.table)
		next.trail += fmt.Sprint(" lead", kept)
		following = append(following, next)
	}
	return following, ""
}

// run returns how many states there are and the first broken promise.
func (s requestSearch) run(t *testing.T) (states int, breach string) {
	t.Helper()
	for _, text := range searchRequests {
		s.updates = append(s.updates, Update{Items: parse(t, text)})
	}
	table := withRequests(t, Table{}, upsertRequest(routeJSON("r", "old", 1, ""), serviceJSON("old", 1)+","+serviceJSON("new", 1)))
	first := requestState{table: table, left: [5]int{2, 2, 1, 2, 1}}
	if testkit.Race { // which takes many times as long, and looks for other things
		first.left = [5]int{2, 2, 1, 1, 1}
	}
	seen, queue := map[string]bool{first.key(): true}, []requestState{first}
	for len(queue) > 0 {
		state := queue[0]
		queue = queue[1:]
		following, breach := s.next(state)
		if breach != "" {
			return len(seen), breach
		}
		for _, next := range following {
			if key := next.key(); !seen[key] {
				seen[key] = true
				queue = append(queue, next)
			}
		}
	}
	return len(seen), ""
}

// Whenever requests are sent again, because an answer was lost or while the first is in flight, and whatever a new leader keeps of
// what was proposed: each version has one acknowledged content, nothing that was accepted is refused, and nothing that was refused
// has an effect. Each mutation is found.
func TestSearchRepeatedRequests(t *testing.T) {
	apply := func(table Table, update Update) (Table, []Item, error) {
		next, raised, _, err := table.ApplyUpdate(update)
		return next, raised, err
	}
	admitAll := func(Table, Update) error { return nil }
	restart := func(table Table) Table { return restarted(t, table) }
	withoutHistory := func(table Table) Table { return TableFromStorage(ItemsToWire(table.Items()).List) }
	forgetting := func(table Table) Table {
		fresh, _ := Table{}.Merge(ItemsFromWire(ItemsToWire(table.Items())))
		return fresh
	}
	mergeUnchecked := func(table Table, update Update) (Table, []Item, error) {
		if err := table.validate(update); errors.Is(err, ErrInvalid) {
			return table, nil, err
		}
		next, raised := table.Merge(update.Items)
		return next, raised, nil
	}
	for _, test := range []struct {
		name   string
		search requestSearch
		breach string // part of it; empty: none is found
	}{
		{"the code as it is", requestSearch{apply: apply, admit: admissionError, restore: restart}, ""},
		{"disks of a build before histories", requestSearch{apply: apply, admit: admissionError, restore: withoutHistory}, ""},
		{"mutation: an operation is forgotten too soon", requestSearch{apply: apply, admit: admissionError, restore: forgetting}, "is refused"},
		{
			"mutation: an equal version is acknowledged twice",
			requestSearch{apply: mergeUnchecked, admit: admitAll, restore: restart},
			"two contents",
		},
		{
			"mutation: proposed beside another of the same item",
			requestSearch{apply: apply, admit: admissionError, restore: restart, overlap: true},
			"has an effect",
		},
		{"mutation: not admitted by the leader", requestSearch{apply: apply, admit: admitAll, restore: restart}, "has an effect"},
	} {
		t.Run(test.name, func(t *testing.T) {
			states, breach := test.search.run(t)
			t.Logf("%d states: %s", states, breach)
			if test.breach == "" {
				assert.Equal(t, breach, "")
			}
			assert.Assert(t, strings.Contains(breach, test.breach), breach)
		})
	}
}
