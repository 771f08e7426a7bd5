package history

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const second = time.Second

// testBounds are the bounds of the histories below.
var testBounds = Bounds{IsolatedRead: 2 * second, CatchUp: 5 * second, Acknowledgement: 3 * second}

func route(name string, version int64, digest string) ItemVersion {
	return ItemVersion{Item: Item{Kind: "route", Name: name}, Version: version, Digest: digest}
}

func call(process string, begin, end time.Duration, outcome Outcome) Call {
	return Call{Process: process, Begin: begin, Return: end, Outcome: outcome}
}

func change(begin, end time.Duration, outcome Outcome, items ...ItemVersion) Change {
	return Change{Call: call("operator", begin, end, outcome), Member: "one", Items: items}
}

func fetch(begin, end time.Duration, items ...ItemVersion) Fetch {
	return Fetch{Call: call("reader", begin, end, Acknowledged), Member: "two", Items: items}
}

func activeVersion(at time.Duration, version int64, inTouch bool) ActiveVersion {
	return ActiveVersion{At: at, Process: "sidecar", Incarnation: 1, InContact: inTouch, ItemVersion: route("a", version, "x")}
}

func voters(at time.Duration, index uint64, ids ...uint64) Members {
	return Members{At: at, Process: "one", Index: index, Voters: ids}
}

func joint(at time.Duration, index uint64, outgoing []uint64, ids ...uint64) Members {
	m := voters(at, index, ids...)
	m.Outgoing = outgoing
	return m
}

func leader(id, term, last uint64) Leader {
	return Leader{At: time.Duration(term) * second, Process: "one", ID: id, Term: term, LastIndex: last}
}

func synced(at time.Duration, index uint64, disks ...uint64) Synced {
	return Synced{At: at, Index: index, Tolerance: 1, Counted: []uint64{1, 2, 3}, Disks: disks}
}

// checkerCases has, for each checker, histories that satisfy its property and histories that violate it.
var checkerCases = []struct {
	checker string
	name    string
	events  []Event
	broken  string // part of the violation's text; empty if the promise is kept
}{
	{CheckLinearizable, "lost answer takes effect late", []Event{
		change(1*second, 2*second, Unknown, route("a", 1, "x")),
		fetch(3*second, 4*second),
		fetch(5*second, 6*second, route("a", 1, "x")),
	}, ""},
	{CheckLinearizable, "lower version changes nothing", []Event{
		change(1*second, 2*second, Acknowledged, route("a", 2, "y")),
		change(3*second, 4*second, Acknowledged, route("a", 1, "x")),
		fetch(5*second, 6*second, route("a", 2, "y")),
	}, ""},
	{CheckLinearizable, "deleted item missing", []Event{
		change(1*second, 2*second, Acknowledged, route("a", 1, "x")),
		change(3*second, 4*second, Acknowledged, ItemVersion{Item: Item{"route", "a"}, Version: 2, Deleted: true}),
		fetch(5*second, 6*second),
	}, ""},
	{CheckLinearizable, "a later fetch goes back", []Event{
		change(1*second, 9*second, Unknown, route("a", 1, "x")),
		fetch(2*second, 3*second, route("a", 1, "x")),
		fetch(4*second, 5*second),
	}, "route/a"},
	{CheckLinearizable, "two contents acknowledged", []Event{
		change(1*second, 2*second, Acknowledged, route("a", 1, "x")),
		change(1*second, 3*second, Acknowledged, route("a", 1, "y")),
	}, "route/a"},
	{CheckLinearizable, "refused and yet shown", []Event{
		change(1*second, 2*second, Refused, route("a", 1, "x")),
		fetch(3*second, 4*second, route("a", 1, "x")),
	}, "route/a"},
	{CheckLinearizable, "half of a call", []Event{
		change(1*second, 9*second, Unknown, route("a", 1, "x"), route("b", 1, "y")),
		fetch(2*second, 3*second, route("a", 1, "x")),
	}, "half of a call"},

	{CheckUniqueContent, "one content everywhere", []Event{
		change(1*second, 2*second, Acknowledged, route("a", 1, "x")),
		change(1*second, 2*second, Refused, route("a", 1, "y")), activeVersion(3*second, 1, true),
	}, ""},
	{CheckUniqueContent, "another content of an overtaken version", []Event{
		change(1*second, 2*second, Acknowledged, route("a", 1, "x")), change(3*second, 4*second, Acknowledged, route("a", 2, "y")),
		change(5*second, 6*second, Acknowledged, route("a", 1, "z")), fetch(7*second, 8*second, route("a", 2, "y")),
	}, ""},
	{CheckUniqueContent, "two operators acknowledged", []Event{
		change(1*second, 2*second, Acknowledged, route("a", 1, "x")), change(1*second, 3*second, Acknowledged, route("a", 1, "z")),
		change(4*second, 5*second, Acknowledged, route("a", 2, "y")),
	}, "version 1"},
	{CheckUniqueContent, "another content active", []Event{
		change(1*second, 2*second, Acknowledged, route("a", 1, "z")), activeVersion(3*second, 1, false),
	}, "version 1"},

	{CheckRepeatedChange, "acknowledged again or left open", []Event{
		change(1*second, 2*second, Acknowledged, route("a", 1, "x")),
		change(3*second, 4*second, Acknowledged, route("a", 1, "x")),
		change(3*second, 5*second, Unknown, route("a", 1, "x")),
	}, ""},
	{CheckRepeatedChange, "never taken before", []Event{
		change(1*second, 2*second, Unknown, route("a", 1, "x")),
		change(1*second, 2*second, Acknowledged, route("a", 1, "y")),
		change(3*second, 4*second, Refused, route("a", 1, "x")),
	}, ""},
	{CheckRepeatedChange, "refused with nothing in between", []Event{
		change(1*second, 2*second, Acknowledged, route("a", 1, "x")),
		change(3*second, 4*second, Refused, route("a", 1, "x")),
	}, "route/a@1"},
	{CheckRepeatedChange, "refused as older than what stands", []Event{
		change(1*second, 2*second, Acknowledged, route("a", 1, "x")),
		change(3*second, 4*second, Acknowledged, route("a", 2, "y")),
		change(5*second, 6*second, Refused, route("a", 1, "x")),
	}, "route/a@1"},
	{CheckRepeatedChange, "refused after its answer was lost but its content was seen", []Event{
		change(1*second, 2*second, Unknown, route("a", 1, "x")),
		fetch(3*second, 4*second, route("a", 1, "x")),
		change(5*second, 6*second, Refused, route("a", 1, "x")),
	}, "route/a@1"},

	{CheckMonotonicVersions, "back only out of contact or in a new incarnation", []Event{
		activeVersion(1*second, 2, true), activeVersion(2*second, 1, false),
		ActiveVersion{At: 3 * second, Process: "sidecar", Incarnation: 2, InContact: true, ItemVersion: route("a", 1, "x")},
	}, ""},
	{
		CheckMonotonicVersions, "back in touch",
		[]Event{activeVersion(1*second, 2, true), activeVersion(2*second, 1, true)},
		"version 2 of route/a back to 1",
	},

	{CheckStaleRead, "acknowledged while it was asked for", []Event{
		change(1*second, 3*second, Acknowledged, route("a", 1, "x")), fetch(2*second, 4*second),
	}, ""},
	{CheckStaleRead, "left out after a drop with a lost answer", []Event{
		change(1*second, 2*second, Acknowledged, route("a", 1, "x"), route("b", 1, "x")),
		change(3*second, 4*second, Unknown, ItemVersion{Item: Item{"route", "a"}, Version: 2, Deleted: true}),
		fetch(5*second, 6*second, route("b", 1, "x")),
	}, ""},
	{CheckStaleRead, "left behind for less than the bound", []Event{
		Contact{At: 1 * second, Process: "two", Majority: true}, Contact{At: 2 * second, Process: "two"}, fetch(3*second, 4*second),
	}, ""},
	{CheckStaleRead, "in contact again", []Event{
		Contact{At: 1 * second, Process: "two"}, Contact{At: 3 * second, Process: "two", Majority: true}, fetch(5*second, 6*second),
	}, ""},
	{CheckStaleRead, "an old fetch", []Event{
		change(1*second, 2*second, Acknowledged, route("a", 1, "x")), fetch(3*second, 4*second),
	}, "1 had been acknowledged"},
	{CheckStaleRead, "an old initial table", []Event{
		change(1*second, 2*second, Acknowledged, route("a", 1, "x")),
		InitialTable{Call: call("sidecar", 3*second, 4*second, Acknowledged), Member: "two", Incarnation: 1},
	}, "1 had been acknowledged"},
	{
		CheckStaleRead, "left behind",
		[]Event{
			Contact{At: 1 * second, Process: "two"}, Contact{At: 2 * second, Process: "two"}, fetch(3*second, 4*second),
		},
		"3s after its last contact",
	},

	{CheckAtMostOnce, "again after its window", []Event{
		Run{At: 1 * second, Server: "s", Key: "k", Window: second, Request: "1"},
		Run{At: 2 * second, Server: "t", Key: "k", Window: second, Request: "2"},
	}, ""},
	{CheckAtMostOnce, "twice in its window", []Event{
		Run{At: 2 * second, Server: "t", Key: "k", Window: 2 * second, Request: "2"},
		Run{At: 1 * second, Server: "s", Key: "k", Window: 2 * second, Request: "1"},
	}, `key "k" ran at t`},

	{CheckMatchedAnswer, "own answers", []Event{
		Answer{At: second, Process: "c", Request: "1", AnsweredRequest: "1"},
		Answer{At: second, Process: "c", Request: "2", AnsweredRequest: "2"},
	}, ""},
	{CheckMatchedAnswer, "another's answer", []Event{Answer{At: second, Process: "c", Request: "1", AnsweredRequest: "2"}}, "the answer to 2"},
	{
		CheckMatchedAnswer, "a second answer",
		[]Event{
			Answer{At: second, Process: "c", Request: "1", AnsweredRequest: "1"},
			Answer{At: 2 * second, Process: "c", Request: "1", AnsweredRequest: "1"},
		},
		"a second answer",
	},

	{CheckSingleLeader, "one a term, seen twice", []Event{leader(1, 1, 0), leader(1, 1, 0), leader(2, 2, 0)}, ""},
	{CheckSingleLeader, "two in a term", []Event{leader(1, 1, 0), leader(2, 1, 0)}, "leads in term 1"},

	{CheckDurability, "on tolerance and one disks", []Event{synced(1*second, 5, 1, 3), leader(3, 2, 5)}, ""},
	{CheckDurability, "on all of the few that count", []Event{
		Synced{At: second, Index: 5, Tolerance: 2, Counted: []uint64{1, 2}, Disks: []uint64{1, 2}},
	}, ""},
	{CheckDurability, "on too few disks", []Event{synced(1*second, 5, 1)}, "on 1 synced disks"},
	{CheckDurability, "on a disk that doesn't count", []Event{synced(1*second, 5, 1, 4)}, "on 1 synced disks"},
	{CheckDurability, "lost by a later leader", []Event{synced(1*second, 5, 1, 2), leader(3, 2, 4)}, "with a log to 4"},

	{CheckMembership, "one step at a time", []Event{
		voters(1*second, 1, 1, 2, 3), voters(2*second, 4, 1, 2, 3, 4), voters(2*second, 4, 4, 3, 2, 1),
		voters(3*second, 7, 2, 3, 4), joint(4*second, 9, []uint64{2, 3, 4}, 2, 3, 5), voters(5*second, 10, 2, 3, 5),
	}, ""},
	{CheckMembership, "an exchange without an agreed step", []Event{
		voters(1*second, 1, 1, 2, 3), voters(2*second, 4, 1, 2, 4),
	}, "more than one agreed step"},
	{CheckMembership, "a joint set that leaves out the voters before", []Event{
		voters(1*second, 1, 1, 2, 3), joint(2*second, 4, []uint64{1, 2}, 1, 2, 4),
	}, "more than one agreed step"},
	{CheckMembership, "majorities with no member in common", []Event{
		voters(1*second, 1, 1, 2, 3), voters(2*second, 4, 4, 5, 6),
	}, "without a common member"},
	{CheckMembership, "two sets from one index on", []Event{
		voters(1*second, 1, 1, 2, 3), voters(2*second, 4, 1, 2), voters(2*second, 4, 1, 3),
	}, "from index 4"},

	{CheckCatchUp, "within the bound, or interrupted", []Event{
		CatchUp{At: 1 * second, Process: "one"},
		CatchUp{At: 5 * second, Process: "one", Ended: true},
		CatchUp{At: 6 * second, Process: "one"},
		Fault{At: 8 * second, Process: "one", Kind: Kill},
		CatchUp{At: 20 * second, Process: "one"},
		leader(1, 21, 0),
	}, ""},
	{
		CheckCatchUp, "too late",
		[]Event{
			CatchUp{At: 1 * second, Process: "one"}, CatchUp{At: 2 * second, Process: "one"}, CatchUp{At: 7 * second, Process: "one", Ended: true},
		},
		"began to catch up at 1s",
	},
	{CheckCatchUp, "never", []Event{CatchUp{At: 1 * second, Process: "one"}, leader(1, 9, 0)}, "began to catch up at 1s"},

	{CheckLiveness, "at a later try", []Event{
		StablePeriod{From: 0, To: 9 * second},
		Change{Call: call("operator", 1*second, 2*second, Unknown), ChangeID: "1", Items: []ItemVersion{route("a", 1, "x")}},
		Change{Call: call("operator", 3*second, 4*second, Acknowledged), ChangeID: "1", Items: []ItemVersion{route("a", 1, "x")}},
	}, ""},
	{CheckLiveness, "unsettled, improper or cut short", []Event{
		StablePeriod{From: 2 * second, To: 9 * second},
		change(1*second, 2*second, Unknown, route("a", 1, "x")),
		change(3*second, 4*second, Refused, route("b", 1, "x")), change(3*second, 4*second, Acknowledged, route("b", 1, "y")),
		Change{Call: call("operator", 3*second, 4*second, Refused), Invalid: true, Items: []ItemVersion{route("c", 1, "x")}},
		change(7*second, 8*second, Unknown, route("d", 1, "x")),
	}, ""},
	{
		CheckLiveness, "never acknowledged",
		[]Event{
			StablePeriod{From: 0, To: 9 * second},
			Change{Call: call("operator", 1*second, 2*second, Unknown), ChangeID: "1", Items: []ItemVersion{route("a", 1, "x")}},
			Change{Call: call("operator", 3*second, 5*second, Acknowledged), ChangeID: "1", Items: []ItemVersion{route("a", 1, "x")}},
		},
		"sent 2 times from 1s on",
	},
}

// All checkers run over each history: the checker of the violated property must find the violation, and none may find anything in a
// valid history.
func TestCheckers(t *testing.T) {
	for _, c := range checkerCases {
		t.Run(c.checker+": "+c.name, func(t *testing.T) {
			var h History
			for _, e := range c.events {
				h.Record(e)
			}
			report := Check(&h, testBounds)
			assert.Equal(t, len(report.Undecided), 0)
			if c.broken == "" {
				assert.Equal(t, len(report.Violations), 0, "%v", report.Violations)
				return
			}
			found := slices.ContainsFunc(report.Violations, func(v Violation) bool {
				return v.Checker == c.checker && strings.Contains(v.Text, c.broken)
			})
			assert.Assert(t, found, "%v", report.Violations)
		})
	}
}

// Every checker has a history above that satisfies its property and one that violates it.
func TestEveryCheckerHasBothCases(t *testing.T) {
	all := []string{
		CheckLinearizable, CheckUniqueContent, CheckRepeatedChange, CheckMonotonicVersions, CheckStaleRead, CheckAtMostOnce,
		CheckMatchedAnswer,
		CheckSingleLeader, CheckDurability, CheckMembership, CheckCatchUp, CheckLiveness,
	}
	for _, checker := range all {
		var kept, broken int
		for _, c := range checkerCases {
			switch {
			case c.checker != checker:
			case c.broken == "":
				kept++
			default:
				broken++
			}
		}
		assert.Assert(t, kept > 0 && broken > 0, "%s: %d kept, %d broken", checker, kept, broken)
	}
}

// An item whose search times out is reported as undecided, never as valid.
func TestUndecidedItemIsReported(t *testing.T) {
	var h History
	for n := range int64(40) {
		h.Record(change(0, second, Unknown, route("a", 1+n%20, string(rune('a'+n)))))
	}
	h.Record(fetch(2*second, 3*second, route("a", 50, "?")))
	broken, undecided := Linearizable(&h, time.Nanosecond)
	assert.Equal(t, len(broken), 0)
	assert.DeepEqual(t, undecided, []Item{{Kind: "route", Name: "a"}})
}
