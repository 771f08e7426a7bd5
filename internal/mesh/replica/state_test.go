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

	"hollyspur/internal/exchange/core"
	"hollyspur/internal/exchange/patch"
	"hollyspur/internal/exchange/ticket"
	"hollyspur/internal/exchange/trunk/wire"
	"hollyspur/internal/exchange/vault"
)

// claims is a change of so many claims, each of a key of its own.
func claims(from, n int) []byte {
	t := &wire.ClaimsT{}
	for i := range n {
		t.List = append(t.List, &wire.ClaimT{Key: fmt.Sprint("key-", from+i), Ticket: "t", Holder: "10.1.0.1:7000/life", Window: (62 * time.Second).Microseconds()})
	}
	return Change(ChangeClaims, t)
}

func services(from, n int, version int64, dropped bool) []byte {
	var l []patch.Item
	for i := range n {
		name := fmt.Sprintf("service-%05d", from+i)
		l = append(l, patch.Item{Name: patch.Name{Kind: patch.Service, Name: name}, Version: version, Dropped: dropped,
			Body: fmt.Appendf(nil, `{"Name":%q,"HealthPath":"/health","MaxConnections":110,"ConfigVersion":%d}`, name, version)})
	}
	return Change(ChangeItems, patch.Wire(l))
}

// A state is what its entries make of it, whether it applied them all or began with a snapshot between any two of them, and
// whenever its keys were swept.
func TestStateOfEntries(t *testing.T) {
	entries := [][]byte{services(0, 3, 1, false), claims(0, 5), services(1, 1, 2, true), claims(3, 5), services(0, 2, 3, true), services(1, 1, 1, false), claims(0, 9)}
	stamps := []time.Duration{1, 2, 3, 4, 30, 50, 70} // in seconds: the last is past the windows of the first
	var whole State
	assert.NilError(t, whole.Load(nil))
	var grants [][]ticket.Grant
	for i, e := range entries {
		grants = append(grants, whole.Apply(core.Entry{Index: uint64(i), Stamp: stamps[i] * time.Second, Data: e}).Grants)
	}
	for cut := range entries {
		var first, second State
		assert.NilError(t, first.Load(nil))
		for i := range cut {
			first.Apply(core.Entry{Index: uint64(i), Stamp: stamps[i] * time.Second, Data: entries[i]})
		}
		assert.NilError(t, second.Load(first.Save()))
		for i := cut; i < len(entries); i++ {
			assert.DeepEqual(t, second.Apply(core.Entry{Index: uint64(i), Stamp: stamps[i] * time.Second, Data: entries[i]}).Grants, grants[i])
		}
		assert.Assert(t, bytes.Equal(second.Save(), whole.Save()), "cut before entry %d", cut)
	}
	i, is := whole.Items.Get(patch.Name{Kind: patch.Service, Name: "service-00001"})
	assert.Assert(t, is && i.Dropped && i.Version == 3, "%v", i)
}

// A book that is full grants no more, to nobody's harm, until windows end; books that were swept at other times agree.
func TestFullBook(t *testing.T) {
	var a State
	assert.NilError(t, a.Load(nil))
	for n := 0; n < ticket.MostHeld; n += 1000 {
		a.Apply(core.Entry{Stamp: time.Second + time.Duration(n), Data: claims(n, 1000)})
	}
	var b State
	assert.NilError(t, b.Load(a.Save()))
	for _, x := range []struct {
		at      time.Duration
		granted bool
	}{{60 * time.Second, false}, {64 * time.Second, true}, {65 * time.Second, true}} {
		one := a.Apply(core.Entry{Stamp: x.at, Data: claims(10_000_000+int(x.at), 1)}).Grants[0]
		assert.DeepEqual(t, one, b.Apply(core.Entry{Stamp: x.at, Data: claims(10_000_000+int(x.at), 1)}).Grants[0])
		assert.Assert(t, one.Granted == x.granted && (one.Granted || one.Held.Holder == ""), "at %v: %v", x.at, one)
	}
}

// BenchmarkStart is a register's start from a disk with 10,000 items on which 1,000,000 keys were claimed whose windows are
// past, by 5,000 changes: time to its state, and bytes on disk.
func BenchmarkStart(b *testing.B) {
	dir := b.TempDir()
	v, _, _, err := vault.Open(dir)
	assert.NilError(b, err)
	assert.NilError(b, v.Begin(7, core.Found([]core.Member{{ID: 7, Addr: "a"}})))
	var s State
	assert.NilError(b, s.Load(nil))
	last, snap := uint64(1), uint64(1)
	add := func(at time.Duration, data []byte) {
		last++
		s.Apply(core.Entry{Stamp: at, Data: data})
		assert.NilError(b, v.Save(core.Ready{Entries: []core.Entry{{Index: last, Term: 1, Kind: core.Change, Stamp: at, Data: data}}}, last-1))
		if last-snap > CompactAt {
			assert.NilError(b, v.Compact(core.Snapshot{Index: last, Term: 1, Stamp: at, Data: s.Save()}, snap))
			snap = last
		}
	}
	for n := 0; n < 10_000; n += 500 {
		add(time.Second, services(n, 500, 1, false))
	}
	for n := range 5_000 {
		add(time.Duration(n+1)*time.Second, claims(n*200, 200))
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
		v, held, empty, err := vault.Open(dir)
		assert.Assert(b, err == nil && !empty)
		var s State
		assert.NilError(b, s.Load(held.Snapshot.Data))
		for _, e := range held.Log {
			s.Apply(e)
		}
		assert.Equal(b, s.Items.Len(), 10_000)
		assert.Assert(b, s.Keys.Len() < 20_000, "%d keys", s.Keys.Len())
		v.Close()
	}
	b.ReportMetric(float64(bytes)/1e6, "MB")
	os.RemoveAll(dir)
}

// What the registers agree on of rules is the same whether a register applied every entry or began with a snapshot between any
// two of them, between the two steps among others; a set that is no longer the one that is agreed on does not bind.
func TestRulesOfEntries(t *testing.T) {
	call := func(text string) []byte {
		c, err := patch.ReadCall([]byte(text))
		assert.NilError(t, err)
		return Change(ChangeItems, patch.WireCall(c))
	}
	space := call(`{"Upsert":{"NamespaceList":[{"Name":"n","ConfigVersion":1,"Owners":["ana"],"Services":["s"]}]}}`)
	first := call(`{"By":"ana","Upsert":{"RulingList":[{"Name":"r","Namespace":"n","ConfigVersion":1,"Tries":2}]}}`)
	foreign := call(`{"By":"eve","Upsert":{"RulingList":[{"Name":"r","Namespace":"n","ConfigVersion":2,"Tries":9}]}}`)
	second := call(`{"By":"ana","Upsert":{"RulingList":[{"Name":"r","Namespace":"n","ConfigVersion":3,"Tries":1}]}}`)
	run := func(entries [][]byte, cut int) (out []string) {
		var s State
		assert.NilError(t, s.Load(nil))
		for i, e := range entries {
			if i == cut {
				var again State
				assert.NilError(t, again.Load(s.Save()))
				s = again
			}
			if e == nil { // what is agreed on by now binds
				e = Change(ChangeBound, &wire.BoundT{Print: s.Rules.Board.Held})
			}
			o := s.Apply(core.Entry{Index: uint64(i + 1), Data: e})
			out = append(out, fmt.Sprint(o.Bound, o.Err != nil, s.Rules.Board, s.Bound.Print(), s.Items.Print()))
		}
		return out
	}
	late := Change(ChangeBound, &wire.BoundT{Print: "of a set before"})
	entries := [][]byte{space, nil, first, nil, foreign, second, late, nil, nil}
	whole := run(entries, -1)
	for cut := range entries {
		assert.DeepEqual(t, run(entries, cut), whole)
	}
	assert.Assert(t, whole[4][:10] == "false true" && whole[6][:5] == "false" && whole[7][:4] == "true" && whole[8][:5] == "false", "%q", whole)
}
