package replica

import (
	"bytes"
	"fmt"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/idempotency"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/storage"
	"cranegrade/internal/mesh/transport/wire"
)

// leaseRequestsChange returns a change with n lease requests, for keys with consecutive numbers from first on.
func leaseRequestsChange(first, n int) []byte {
	table := &wire.KeyLeaseRequestsT{}
	for i := range n {
		table.List = append(table.List, &wire.KeyLeaseRequestT{
			Key: fmt.Sprint("key-", first+i), Token: "t", Holder: "10.1.0.1:7000/life",
			WindowUs: (62 * time.Second).Microseconds(),
		})
	}
	return EncodeChange(ChangeKeyLeases, table)
}

// servicesChange returns a change of n services, with consecutive numbers from first on, all in the same version.
func servicesChange(first, n int, version int64, deleted bool) []byte {
	var items []config.Item
	for i := range n {
		name := fmt.Sprintf("service-%05d", first+i)
		items = append(items, config.Item{
			Key: config.Key{Kind: config.KindService, Name: name}, Version: version, Deleted: deleted,
			Body: fmt.Appendf(nil, `{"Name":%q,"HealthPath":"/health","MaxConnections":110,"ConfigVersion":%d}`, name, version),
		})
	}
	return EncodeChange(ChangeItems, config.ItemsToWire(items))
}

// leaseRequestChange returns a change with one lease request for the key k.
func leaseRequestChange(token string, window time.Duration) []byte {
	request := &wire.KeyLeaseRequestT{Key: "k", Token: token, Holder: token, WindowUs: window.Microseconds()}
	return EncodeChange(ChangeKeyLeases, &wire.KeyLeaseRequestsT{List: []*wire.KeyLeaseRequestT{request}})
}

// newState returns an empty state.
func newState(t testing.TB) *State {
	t.Helper()
	s := &State{}
	assert.NilError(t, s.Decode(nil))
	return s
}

// restored returns a copy of a state that was encoded and decoded.
func restored(t testing.TB, s *State) *State {
	t.Helper()
	again := &State{}
	assert.NilError(t, again.Decode(s.Encode()))
	return again
}

// TestStateIsDeterminedByEntries checks that the same entries lead to the same state and results, whether a member applied all of them or
// started with a snapshot between any two of them, and whenever it removed expired key leases.
func TestStateIsDeterminedByEntries(t *testing.T) {
	changes := [][]byte{
		servicesChange(0, 3, 1, false), leaseRequestsChange(0, 5), servicesChange(1, 1, 2, true), leaseRequestsChange(3, 5),
		servicesChange(0, 2, 3, true), servicesChange(1, 1, 1, false), leaseRequestsChange(0, 9),
	}
	logTimes := []time.Duration{1, 2, 3, 4, 30, 50, 70} // in seconds; the windows of the first leases have ended at the last time
	entry := func(i int) raft.Entry {
		return raft.Entry{Index: uint64(i), LogTime: logTimes[i] * time.Second, Data: changes[i]}
	}
	uninterrupted := newState(t)
	var results [][]idempotency.LeaseResult
	for i := range changes {
		results = append(results, uninterrupted.Apply(entry(i)).LeaseResults)
	}
	for cut := range changes {
		first := newState(t)
		for i := range cut {
			first.Apply(entry(i))
		}
		second := restored(t, first)
		for i := cut; i < len(changes); i++ {
			assert.DeepEqual(t, second.Apply(entry(i)).LeaseResults, results[i])
		}
		assert.Assert(t, bytes.Equal(second.Encode(), uninterrupted.Encode()), "cut before entry %d", cut)
	}
	item, found := uninterrupted.Items.Get(config.Key{Kind: config.KindService, Name: "service-00001"})
	assert.Assert(t, found && item.Deleted && item.Version == 3, "%v", item)
}

// TestFullLeaseStore checks that members whose lease stores are full grant the same requests, even if they removed expired leases at
// different times.
func TestFullLeaseStore(t *testing.T) {
	a := newState(t)
	for n := 0; n < idempotency.MaxLeases; n += 1000 {
		a.Apply(raft.Entry{LogTime: time.Second + time.Duration(n), Data: leaseRequestsChange(n, 1000)})
	}
	b := restored(t, a)
	for _, test := range []struct {
		at      time.Duration
		granted bool
	}{{60 * time.Second, false}, {64 * time.Second, true}, {65 * time.Second, true}} {
		entry := raft.Entry{LogTime: test.at, Data: leaseRequestsChange(10_000_000+int(test.at), 1)}
		result := a.Apply(entry).LeaseResults[0]
		assert.DeepEqual(t, result, b.Apply(entry).LeaseResults[0])
		assert.Assert(t, result.Granted == test.granted && (result.Granted || result.Current.Holder == ""), "at %v: %v", test.at, result)
	}
}

// TestSnapshotContainsKeyLeases checks that a key lease is still in force after a snapshot is restored, until the end of its window.
func TestSnapshotContainsKeyLeases(t *testing.T) {
	const window = time.Minute
	granted := func(s *State, at time.Duration, token string) bool {
		return s.Apply(raft.Entry{LogTime: at, Data: leaseRequestChange(token, window)}).LeaseResults[0].Granted
	}
	before := newState(t)
	assert.Assert(t, granted(before, time.Second, "a"))
	after := restored(t, before)
	for _, s := range []*State{before, after} {
		assert.Assert(t, !granted(s, time.Second+window, "b"))
		assert.Assert(t, granted(s, time.Second+window+1, "b"))
	}
}

// BenchmarkStart measures how long a member takes to restore its state from a disk with 10,000 items and 1,000,000 expired key leases, made
// by 5,000 changes, and the size of the store in bytes.
func BenchmarkStart(b *testing.B) {
	dir := b.TempDir()
	store, _, _, err := storage.Open(dir)
	assert.NilError(b, err)
	assert.NilError(b, store.Initialize(7, raft.BootstrapSnapshot([]raft.Member{{ID: 7, Addr: "a"}})))
	s := newState(b)
	last, compacted := uint64(1), uint64(1)
	add := func(at time.Duration, data []byte) {
		last++
		s.Apply(raft.Entry{LogTime: at, Data: data})
		entry := raft.Entry{Index: last, Term: 1, Kind: raft.EntryCommand, LogTime: at, Data: data}
		assert.NilError(b, store.Save(raft.Ready{Entries: []raft.Entry{entry}}, last-1))
		if last-compacted > DefaultCompactionThreshold {
			assert.NilError(b, store.Compact(raft.Snapshot{Index: last, Term: 1, LogTime: at, Data: s.Encode()}, compacted))
			compacted = last
		}
	}
	for n := 0; n < 10_000; n += 500 {
		add(time.Second, servicesChange(n, 500, 1, false))
	}
	for n := range 5_000 {
		add(time.Duration(n+1)*time.Second, leaseRequestsChange(n*200, 200))
	}
	store.Close()
	size := int64(0)
	err = filepath.WalkDir(dir, func(_ string, d fs.DirEntry, _ error) error {
		if i, err := d.Info(); err == nil && !d.IsDir() {
			size += i.Size()
		}
		return nil
	})
	assert.NilError(b, err)
	b.ResetTimer()
	for b.Loop() {
		store, stored, empty, err := storage.Open(dir)
		assert.Assert(b, err == nil && !empty)
		var s State
		assert.NilError(b, s.Decode(stored.Snapshot.Data))
		for _, e := range stored.Entries {
			s.Apply(e)
		}
		assert.Equal(b, s.Items.Len(), 10_000)
		assert.Assert(b, s.KeyLeases.Len() < 20_000, "%d keys", s.KeyLeases.Len())
		store.Close()
	}
	b.ReportMetric(float64(size)/1e6, "MB")
}

// TestPolicyIsDeterminedByEntries checks that the policy state is the same whether a member applied every entry or started with a snapshot
// between any two of them, also between the two steps of a rollout, and that a policy set is not activated after another one was committed.
func TestPolicyIsDeterminedByEntries(t *testing.T) {
	update := func(text string) []byte {
		return EncodeChange(ChangeItems, config.UpdateToWire(parseUpdate(t, []byte(text))))
	}
	space := update(`{"Upsert":{"NamespaceList":[{"Name":"n","ConfigVersion":1,"Owners":["ana"],"Services":["s"]}]}}`)
	first := update(`{"By":"ana","Upsert":{"RulingList":[{"Name":"r","Namespace":"n","ConfigVersion":1,"Tries":2}]}}`)
	foreign := update(`{"By":"eve","Upsert":{"RulingList":[{"Name":"r","Namespace":"n","ConfigVersion":2,"Tries":9}]}}`)
	second := update(`{"By":"ana","Upsert":{"RulingList":[{"Name":"r","Namespace":"n","ConfigVersion":3,"Tries":1}]}}`)
	run := func(changes [][]byte, cut int) (states []string) {
		s := newState(t)
		for i, change := range changes {
			if i == cut {
				s = restored(t, s)
			}
			if change == nil { // stands for the activation of the committed policy set
				change = EncodeChange(ChangeActivePolicy, &wire.ActivePolicyT{Fingerprint: s.Policy.Rollout.Agreed})
			}
			outcome := s.Apply(raft.Entry{Index: uint64(i + 1), Data: change})
			states = append(states, fmt.Sprint(outcome.PolicyActivated, outcome.Err != nil, s.Policy.Rollout,
				s.ActivePolicy.PolicyFingerprint(), s.Items.PolicyFingerprint()))
		}
		return states
	}
	outdated := EncodeChange(ChangeActivePolicy, &wire.ActivePolicyT{Fingerprint: "of a set before"})
	changes := [][]byte{space, nil, first, nil, foreign, second, outdated, nil, nil}
	uninterrupted := run(changes, -1)
	for cut := range changes {
		assert.DeepEqual(t, run(changes, cut), uninterrupted)
	}
	for step, want := range map[int]string{4: "false true", 6: "false", 7: "true", 8: "false"} {
		assert.Assert(t, strings.HasPrefix(uninterrupted[step], want), "after step %d: %q", step, uninterrupted)
	}
}
