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

// searchRequests are the requests of two operators in the search below. Some contain the same item, one is invalid, and the third
// deletes the service that the first one depends on.
var searchRequests = []string{
	routeRequest("r", "old", 5),
	upsertRequest(routeJSON("r", "new", 5, "")+","+routeJSON("q", "new", 5, ""), ""),
	`{"Upsert":{"ListenerList":[{"HostName":"h.example","PolicyRules":[` + routeJSON("r", "new", 6, "") + `]}]},` +
		`"Remove":{"UpstreamGroups":[{"Name":"old","ConfigVersion":6}]}}`,
	upsertRequest(routeJSON("r", "new", 3, "")+","+routeJSON("q", "new", 5, ""), ""),
	routeRequest("r", "nobody", 4),
}

// invalidRequest is the index of the invalid request in searchRequests.
const invalidRequest = 4

// requestSearch explores every order in which requests are sent, proposed, committed and answered, while leaders change and restart
// from disk. Its functions are the code under test or a mutation of it.
type requestSearch struct {
	apply   func(Table, Update) (Table, []Item, error)
	admit   func(Table, Update) error
	restore func(Table) Table
	overlap bool // whether updates are proposed while others with the same items are in flight

	updates []Update
}

// requestSet is a set of requests, with one bit for each.
type requestSet int

func (s requestSet) has(request int) bool { return s&(1<<request) != 0 }
func (s *requestSet) add(request int)     { *s |= 1 << request }

// requestState is one state of the replicated table and of the requests.
type requestState struct {
	table        Table  // table of the leader, which has applied everything that is committed
	proposed     []int  // requests that the leader has proposed but that are not committed
	remaining    [5]int // how often each request may still be sent
	acknowledged requestSet
	accepted     requestSet // committed and accepted, whether or not the operator received the answer
	effective    requestSet // changed an item
	refused      requestSet
	trace        string
}

func (s requestState) key() string {
	var key []byte
	for _, item := range s.table.Items() {
		key = strconv.AppendInt(append(key, item.Name...), item.Version, 10)
		key = append(append(strconv.AppendBool(key, item.Deleted), item.Body...), item.history.Encode()...)
	}
	sets := []int{int(s.acknowledged), int(s.accepted), int(s.effective), int(s.refused)}
	for _, n := range slices.Concat(s.remaining[:], sets, s.proposed) {
		key = strconv.AppendInt(append(key, ' '), int64(n), 10)
	}
	return string(key)
}

// answer records the answer to a request and returns the invariant that it violates, or an empty string.
func (s *requestState) answer(request int, err error, updates []Update) (violation string) {
	switch {
	case err == nil:
		s.acknowledged.add(request)
		if request == invalidRequest {
			return "an invalid request is acknowledged"
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
		return "an accepted request is refused"
	case s.refused&s.effective != 0:
		return "a refused request has an effect"
	}
	return ""
}

// contradict reports whether two updates have different contents for the same version of an item.
func contradict(a, b Update) bool {
	return anyPair(a, b, func(x, y Item) bool { return x.Key == y.Key && x.Version == y.Version && !x.hasSameContent(y) })
}

// shareItem reports whether two updates contain versions of the same item.
func shareItem(a, b Update) bool {
	return anyPair(a, b, func(x, y Item) bool { return x.Key == y.Key })
}

// anyPair reports whether any item of a and any item of b match.
func anyPair(a, b Update, match func(x, y Item) bool) bool {
	return slices.ContainsFunc(a.Items, func(x Item) bool {
		return slices.ContainsFunc(b.Items, func(y Item) bool { return match(x, y) })
	})
}

// commit commits the first proposal. answered reports whether its sender receives the result.
func (s requestSearch) commit(state requestState, answered bool) (next requestState, violation string) {
	request := state.proposed[0]
	table, updated, err := s.apply(state.table, s.updates[request])
	state.proposed, state.table = state.proposed[1:], table
	if err == nil {
		state.accepted.add(request)
	}
	if len(updated) > 0 {
		state.effective.add(request)
	}
	if !answered {
		err = ErrUndetermined
	}
	violation = state.answer(request, err, s.updates)
	return state, violation
}

// send delivers a request, which may be a repetition, to the leader. waits reports that the request is not proposed yet.
func (s requestSearch) send(state requestState, request int) (next requestState, waits bool, violation string) {
	state.remaining[request]--
	state.trace += fmt.Sprint(" send", request)
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

// next returns the possible next states, or the first violation in one of them.
func (s requestSearch) next(state requestState) (following []requestState, violation string) {
	for request, remaining := range state.remaining {
		if remaining == 0 {
			continue
		}
		next, waits, violation := s.send(state, request)
		if violation != "" {
			return nil, next.trace + ": " + violation
		}
		if !waits {
			following = append(following, next)
		}
	}
	if len(state.proposed) > 0 {
		next, violation := s.commit(state, true)
		next.trace += fmt.Sprint(" commit", state.proposed[0])
		if violation != "" {
			return nil, next.trace + ": " + violation
		}
		following = append(following, next)
	}
	changed, violation := s.leaderChanges(state)
	return append(following, changed...), violation
}

// leaderChanges returns the possible states after a leader change. The new leader has some of the proposals and starts from its disk.
func (s requestSearch) leaderChanges(state requestState) (following []requestState, violation string) {
	for committed := range len(state.proposed) + 1 {
		if committed > 0 {
			if state, violation = s.commit(state, false); violation != "" {
				return nil, state.trace + ": " + violation
			}
		}
		next := state
		next.proposed, next.table = nil, s.restore(state.table)
		next.trace += fmt.Sprint(" lead", committed)
		following = append(following, next)
	}
	return following, ""
}

// run returns the number of states and the first violation.
func (s requestSearch) run(t *testing.T) (states int, violation string) {
	t.Helper()
	for _, text := range searchRequests {
		s.updates = append(s.updates, Update{Items: parse(t, text)})
	}
	table := withRequests(t, Table{}, upsertRequest(routeJSON("r", "old", 1, ""), serviceJSON("old", 1)+","+serviceJSON("new", 1)))
	first := requestState{table: table, remaining: [5]int{2, 2, 1, 2, 1}}
	if testkit.Race { // the race detector makes the search many times slower, and finds races in a smaller search as well
		first.remaining = [5]int{2, 2, 1, 1, 1}
	}
	seen, queue := map[string]bool{first.key(): true}, []requestState{first}
	for len(queue) > 0 {
		state := queue[0]
		queue = queue[1:]
		following, violation := s.next(state)
		if violation != "" {
			return len(seen), violation
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

// Requests may be repeated because an answer was lost, or while the first one is in flight, and a new leader may have any part of the
// proposals. In every case each version is acknowledged with at most one content, no accepted request is refused, and no refused request
// has an effect. The search detects each mutation.
func TestSearchRepeatedRequests(t *testing.T) {
	apply := func(table Table, update Update) (Table, []Item, error) {
		next, updated, _, err := table.ApplyUpdate(update)
		return next, updated, err
	}
	admitAll := func(Table, Update) error { return nil }
	restart := func(table Table) Table { return reloaded(t, table) }
	withoutHistory := func(table Table) Table { return TableFromStorage(ItemsToWire(table.Items()).List) }
	loseHistory := func(table Table) Table {
		fresh, _ := Table{}.Merge(ItemsFromWire(ItemsToWire(table.Items())))
		return fresh
	}
	mergeUnchecked := func(table Table, update Update) (Table, []Item, error) {
		if err := table.validate(update); errors.Is(err, ErrInvalid) {
			return table, nil, err
		}
		next, updated := table.Merge(update.Items)
		return next, updated, nil
	}
	for _, test := range []struct {
		name      string
		search    requestSearch
		violation string // part of the expected violation; empty if there must be none
	}{
		{"unchanged code", requestSearch{apply: apply, admit: admissionError, restore: restart}, ""},
		{"tables stored without histories", requestSearch{apply: apply, admit: admissionError, restore: withoutHistory}, ""},
		{"mutation: histories are lost at a restart", requestSearch{apply: apply, admit: admissionError, restore: loseHistory}, "is refused"},
		{
			"mutation: two contents of one version are acknowledged",
			requestSearch{apply: mergeUnchecked, admit: admitAll, restore: restart},
			"two contents",
		},
		{
			"mutation: proposed while another update of the same item is in flight",
			requestSearch{apply: apply, admit: admissionError, restore: restart, overlap: true},
			"has an effect",
		},
		{"mutation: proposed without admission by the leader", requestSearch{apply: apply, admit: admitAll, restore: restart}, "has an effect"},
	} {
		t.Run(test.name, func(t *testing.T) {
			states, violation := test.search.run(t)
			t.Logf("%d states: %s", states, violation)
			if test.violation == "" {
				assert.Equal(t, violation, "")
			}
			assert.Assert(t, strings.Contains(violation, test.violation), violation)
		})
	}
}
