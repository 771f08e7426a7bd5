package history

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// reach is the longest time between the moment at which a call takes effect and its beginning or end.
const reach = 100 * time.Millisecond

// reference is a model of a correct mesh: each call takes effect atomically, at one moment between its beginning and its end. The moments
// rise with now.
type reference struct {
	t       *rapid.T
	h       History
	now     time.Duration
	current map[Item]ItemVersion
	leases  map[string]time.Duration // when the lease of each key expires
	voters  []uint64
	index   uint64
	term    uint64
	request int
}

// call draws a call around the moment now.
func (r *reference) call(process string, outcome Outcome) Call {
	before := time.Duration(rapid.Int64Range(0, int64(min(reach, r.now))).Draw(r.t, "before"))
	after := time.Duration(rapid.Int64Range(0, int64(reach)).Draw(r.t, "after"))
	return Call{Process: process, Begin: r.now - before, Return: r.now + after, Outcome: outcome}
}

// change sends a new change, or one that was sent before. Its answer may be lost, whether or not it was accepted.
func (r *reference) change() {
	var items []ItemVersion
	if len(r.h.Changes) > 0 && rapid.Bool().Draw(r.t, "again") {
		items = rapid.SampledFrom(r.h.Changes).Draw(r.t, "order").Items
	} else {
		for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 1, 2, rapid.ID[string]).Draw(r.t, "names") {
			version := rapid.Int64Range(1, 6).Draw(r.t, "version")
			if rapid.IntRange(0, 4).Draw(r.t, "kind") == 0 {
				items = append(items, ItemVersion{Item: Item{"route", name}, Version: version, Deleted: true})
			} else {
				items = append(items, route(name, version, rapid.SampledFrom([]string{"x", "y"}).Draw(r.t, "digest")))
			}
		}
	}
	outcome := Acknowledged
	if !r.take(items) {
		outcome = Refused
	}
	if rapid.IntRange(0, 3).Draw(r.t, "lost") == 0 {
		outcome = Unknown
	}
	r.h.Record(Change{Call: r.call("operator", outcome), Member: "one", Items: items})
}

// take merges a call's items, all or none. One version has one content.
func (r *reference) take(items []ItemVersion) bool {
	for _, v := range items {
		if current := r.current[v.Item]; current.Version == v.Version && current != v {
			return false
		}
	}
	for _, v := range items {
		if v.Version > r.current[v.Item].Version {
			r.current[v.Item] = v
		}
	}
	return true
}

// read returns the current items. Deleted ones may be included as tombstones or missing.
func (r *reference) read() (all []ItemVersion) {
	for _, item := range sortedItems(r.current) {
		if v := r.current[item]; !v.Deleted || rapid.Bool().Draw(r.t, "tell dropped") {
			all = append(all, v)
		}
	}
	return all
}

func (r *reference) fetch() {
	r.h.Record(Fetch{Call: r.call("reader", Acknowledged), Member: "one", Items: r.read()})
}

// initialTable sends a sidecar the current items, which are active there from then on.
func (r *reference) initialTable() {
	name := rapid.SampledFrom([]string{"s1", "s2"}).Draw(r.t, "sidecar")
	r.h.Record(InitialTable{Call: r.call(name, Acknowledged), Member: "one", Incarnation: 1, Items: r.read()})
	for _, item := range sortedItems(r.current) {
		v := r.current[item]
		r.h.Record(ActiveVersion{At: r.now, Process: name, Incarnation: 1, InContact: rapid.Bool().Draw(r.t, "in touch"), ItemVersion: v})
	}
}

// run requests the lease of a key, and runs a request once it is granted.
func (r *reference) run() {
	key := rapid.SampledFrom([]string{"k", "l"}).Draw(r.t, "key")
	const window = 2 * time.Second
	r.request++
	request := fmt.Sprint(r.request)
	outcome := Refused
	if r.now >= r.leases[key] {
		outcome, r.leases[key] = Acknowledged, r.now+reach+window
		r.h.Record(Run{At: r.now + reach, Server: "server", Key: key, Window: window, Request: request})
	}
	r.h.Record(Claim{Call: r.call("s1", outcome), Key: key, Window: window})
	r.h.Record(Answer{At: r.now + 2*reach, Process: "client", Request: request, AnsweredRequest: request})
}

// commitMembers commits one change of the members, elects a leader and acknowledges an index.
func (r *reference) commitMembers() {
	r.index++
	r.term++
	if id := rapid.Uint64Range(1, 5).Draw(r.t, "member"); !slices.Contains(r.voters, id) {
		r.voters = append(slices.Clone(r.voters), id)
	} else if len(r.voters) > 1 {
		r.voters = without(r.voters, []uint64{id})
	}
	r.h.Record(Members{At: r.now, Process: "one", Index: r.index, Voters: r.voters})
	r.h.Record(Synced{At: r.now, Index: r.index, Tolerance: 1, Counted: r.voters, Disks: r.voters[:min(2, len(r.voters))]})
	r.h.Record(Leader{At: r.now, Process: "one", ID: r.voters[0], Term: r.term, LastIndex: r.index})
}

func (r *reference) catchUp() {
	r.h.Record(CatchUp{At: r.now, Process: "two"})
	ended := r.now + time.Duration(rapid.Int64Range(0, int64(testBounds.CatchUp)).Draw(r.t, "took"))
	r.h.Record(CatchUp{At: ended, Process: "two", Ended: true})
	r.now = ended
}

// step advances the time, past what the step before may have recorded, and lets some calls happen.
func (r *reference) step() {
	r.now += 3*reach + time.Duration(rapid.Int64Range(0, int64(second)).Draw(r.t, "pause"))
	r.concurrent()
}

// concurrent makes several calls that overlap.
func (r *reference) concurrent() {
	steps := []func(){r.change, r.change, r.fetch, r.fetch, r.initialTable, r.run, r.commitMembers, r.catchUp}
	for range rapid.IntRange(1, 4).Draw(r.t, "at once") {
		r.now += time.Millisecond
		rapid.SampledFrom(steps).Draw(r.t, "step")()
	}
}

func execute(t *rapid.T) *History {
	r := &reference{
		t: t, current: map[Item]ItemVersion{}, leases: map[string]time.Duration{},
		voters: []uint64{1, 2, 3},
	}
	for range rapid.IntRange(1, 12).Draw(t, "steps") {
		r.step()
	}
	return &r.h
}

func TestReferencePasses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		report := Check(execute(t), testBounds)
		assert.Equal(t, len(report.Violations), 0, "%v", report.Violations)
		assert.Equal(t, len(report.Undecided), 0)
	})
}

func TestWrittenIsReadAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text bytes.Buffer
		h := execute(t)
		assert.NilError(t, Write(&text, h))
		again, err := Read(&text)
		assert.NilError(t, err)
		assert.DeepEqual(t, h, again)
	})
}
