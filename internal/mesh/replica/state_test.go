package replica

import (
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/idempotency"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/storage"
	"cranegrade/internal/mesh/transport/wire"
)

// leaseRequestsChange is a change of so many claims, each of a key of its own.
func leaseRequestsChange(from, n int) []byte {
	t := &wire.KeyLeaseRequestsT{}
	for i := range n {
		t.List = append(t.List, &wire.KeyLeaseRequestT{Key: fmt.Sprint("key-", from+i), Token: "t", Holder: "10.1.0.1:7000/life", WindowUs: (62 * time.Second).Microseconds()})
	}
	return EncodeChange(ChangeKeyLeases, t)
}

func servicesChange(from, n int, version int64, dropped bool) []byte {
	var l []config.Item
	for i := range n {
		name := fmt.Sprintf("service-%05d", from+i)
		l = append(l, config.Item{Key: config.Key{Kind: config.KindService, Name: name}, Version: version, Deleted: dropped,
			Body: fmt.Appendf(nil, `{"Name":%q,"HealthPath":"/health","MaxConnections":110,"ConfigVersion":%d}`, name, version)})
	}
	return EncodeChange(ChangeItems, config.ItemsToWire(l))
}

// A state is what its entries make of it, whether it applied them all or began with a snapshot between any two of them, and
// whenever its keys were swept.
func TestStateIsDeterminedByEntries(t *testing.T) {
	entries := [][]byte{servicesChange(0, 3, 1, false), leaseRequestsChange(0, 5), servicesChange(1, 1, 2, true), leaseRequestsChange(3, 5), servicesChange(0, 2, 3, true), servicesChange(1, 1, 1, false), leaseRequestsChange(0, 9)}
	stamps := []time.Duration{1, 2, 3, 4, 30, 50, 70} // in seconds: the last is past the windows of the first
	var whole State
	assert.NilError(t, whole.Decode(nil))
	var grants [][]idempotency.LeaseResult
	for i, e := range entries {
		grants = append(grants, whole.Apply(raft.Entry{Index: uint64(i), LogTime: stamps[i] * time.Second, Data: e}).LeaseResults)
	}
	for cut := range entries {
		var first, second State
		assert.NilError(t, first.Decode(nil))
		for i := range cut {
			first.Apply(raft.Entry{Index: uint64(i), LogTime: stamps[i] * time.Second, Data: entries[i]})
		}
		assert.NilError(t, second.Decode(first.Encode()))
		for i := cut; i < len(entries); i++ {
			assert.DeepEqual(t, second.Apply(raft.Entry{Index: uint64(i), LogTime: stamps[i] * time.Second, Data: entries[i]}).LeaseResults, grants[i])
		}
		assert.Assert(t, bytes.Equal(second.Encode(), whole.Encode()), "cut before entry %d", cut)
	}
	i, is := whole.Items.Get(config.Key{Kind: config.KindService, Name: "service-00001"})
	assert.Assert(t, is && i.Deleted && i.Version == 3, "%v", i)
}

// A book that is full grants no more, to nobody's harm, until windows end; books that were swept at other times agree.
func TestFullLeaseStore(t *testing.T) {
	var a State
	assert.NilError(t, a.Decode(nil))
	for n := 0; n < idempotency.MaxLeases; n += 1000 {
		a.Apply(raft.Entry{LogTime: time.Second + time.Duration(n), Data: leaseRequestsChange(n, 1000)})
	}
	var b State
	assert.NilError(t, b.Decode(a.Encode()))
	for _, x := range []struct {
		at      time.Duration
		granted bool
	}{{60 * time.Second, false}, {64 * time.Second, true}, {65 * time.Second, true}} {
		one := a.Apply(raft.Entry{LogTime: x.at, Data: leaseRequestsChange(10_000_000+int(x.at), 1)}).LeaseResults[0]
		assert.DeepEqual(t, one, b.Apply(raft.Entry{LogTime: x.at, Data: leaseRequestsChange(10_000_000+int(x.at), 1)}).LeaseResults[0])
		assert.Assert(t, one.Granted == x.granted && (one.Granted || one.Current.Holder == ""), "at %v: %v", x.at, one)
	}
}

// BenchmarkStart is a register's start from a disk with 10,000 items on which 1,000,000 keys were claimed whose windows are
// past, by 5,000 changes: time to its state, and bytes on disk.
func BenchmarkStart(b *testing.B) {
	dir := b.TempDir()
	v, _, _, err := storage.Open(dir)
	assert.NilError(b, err)
	assert.NilError(b, v.Initialize(7, raft.BootstrapSnapshot([]raft.Member{{ID: 7, Addr: "a"}})))
	var s State
	assert.NilError(b, s.Decode(nil))
	last, snap := uint64(1), uint64(1)
	add := func(at time.Duration, data []byte) {
		last++
		s.Apply(raft.Entry{LogTime: at, Data: data})
		assert.NilError(b, v.Save(raft.Ready{Entries: []raft.Entry{{Index: last, Term: 1, Kind: raft.EntryCommand, LogTime: at, Data: data}}}, last-1))
		if last-snap > DefaultCompactionThreshold {
			assert.NilError(b, v.Compact(raft.Snapshot{Index: last, Term: 1, LogTime: at, Data: s.Encode()}, snap))
			snap = last
		}
	}
	for n := 0; n < 10_000; n += 500 {
		add(time.Second, servicesChange(n, 500, 1, false))
	}
	for n := range 5_000 {
		add(time.Duration(n+1)*time.Second, leaseRequestsChange(n*200, 200))
	}
	v.Close()
	bytes := int64(0)
	filepath.WalkDir(dir, func(_ string, d fs.DirEntry, _ error) error {
		if i, err := d.Info(); err == nil && !d.IsDir() {
			bytes += i.Size()
		}
		return nil
	})
	b.ResetTimer()
	for b.Loop() {
		v, held, empty, err := storage.Open(dir)
		assert.Assert(b, err == nil && !empty)
		var s State
		assert.NilError(b, s.Decode(held.Snapshot.Data))
		for _, e := range held.Entries {
			s.Apply(e)
		}
		assert.Equal(b, s.Items.Len(), 10_000)
		assert.Assert(b, s.KeyLeases.Len() < 20_000, "%d keys", s.KeyLeases.Len())
		v.Close()
	}
	b.ReportMetric(float64(bytes)/1e6, "MB")
	os.RemoveAll(dir)
}

// What the registers agree on of rules is the same whether a register applied every entry or began with a snapshot between any
// two of them, between the two steps among others; a set that is no longer the one that is agreed on does not bind.
func TestPolicyIsDeterminedByEntries(t *testing.T) {
	call := func(text string) []byte {
		c, err := config.ParseUpdate([]byte(text))
		assert.NilError(t, err)
		return EncodeChange(ChangeItems, config.UpdateToWire(c))
	}
	space := call(`{"Upsert":{"NamespaceList":[{"Name":"n","ConfigVersion":1,"Owners":["ana"],"Services":["s"]}]}}`)
	first := call(`{"By":"ana","Upsert":{"RulingList":[{"Name":"r","Namespace":"n","ConfigVersion":1,"Tries":2}]}}`)
	foreign := call(`{"By":"eve","Upsert":{"RulingList":[{"Name":"r","Namespace":"n","ConfigVersion":2,"Tries":9}]}}`)
	second := call(`{"By":"ana","Upsert":{"RulingList":[{"Name":"r","Namespace":"n","ConfigVersion":3,"Tries":1}]}}`)
	run := func(entries [][]byte, cut int) (out []string) {
		var s State
		assert.NilError(t, s.Decode(nil))
		for i, e := range entries {
			if i == cut {
				var again State
				assert.NilError(t, again.Decode(s.Encode()))
				s = again
			}
			if e == nil { // what is agreed on by now binds
				e = EncodeChange(ChangeActivePolicy, &wire.ActivePolicyT{Fingerprint: s.Policy.Rollout.Agreed})
			}
			o := s.Apply(raft.Entry{Index: uint64(i + 1), Data: e})
			out = append(out, fmt.Sprint(o.PolicyActivated, o.Err != nil, s.Policy.Rollout, s.ActivePolicy.PolicyFingerprint(), s.Items.PolicyFingerprint()))
		}
		return out
	}
	late := EncodeChange(ChangeActivePolicy, &wire.ActivePolicyT{Fingerprint: "of a set before"})
	entries := [][]byte{space, nil, first, nil, foreign, second, late, nil, nil}
	whole := run(entries, -1)
	for cut := range entries {
		assert.DeepEqual(t, run(entries, cut), whole)
	}
	assert.Assert(t, whole[4][:10] == "false true" && whole[6][:5] == "false" && whole[7][:4] == "true" && whole[8][:5] == "false", "%q", whole)
}
