package store

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"

	"cranegrade/internal/zone"
)

func open(t *testing.T, path string) *Store {
	t.Helper()
	s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// What a book had saved is there after a crash: the file as it is at any moment is copied, and opened by another.
func TestOverCrash(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "deep", "zones.db")
	s := open(t, path)
	book := zone.NewBook([]zone.Limit{{Pair: zone.Pair{From: "a", To: "b"}, RequestsDay: 10}})
	now := 20000 * 24 * time.Hour
	for i := range 5 {
		book.Add(now, zone.Key{Pair: zone.Pair{From: "a", To: "b"}, Pool: "p", Class: "read", Customer: "acme"}, zone.Traffic{Requests: 1, Out: 10, In: 20})
		if err := s.Save(book.TakeChanges(), 0); err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		crashed := filepath.Join(dir, "crashed.db")
		if err := os.WriteFile(crashed, text, 0o600); err != nil {
			t.Fatal(err)
		}
		c, err := Open(crashed)
		if err != nil {
			t.Fatal(err)
		}
		state, unread, err := c.Load()
		c.Close()
		if err != nil || unread != 0 || len(state.Rows) != 1 || state.Rows[0].Requests != int64(i+1) || len(state.Spent) != 1 {
			t.Fatalf("after %d: %+v, %d unread, %v", i+1, state, unread, err)
		}
		next := zone.NewBook(nil)
		next.Restore(state)
		if got := next.Rows(); !reflect.DeepEqual(got, book.Rows()) {
			t.Fatalf("restored %+v", got)
		}
	}
	if _, err := Open(path); err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("a second opening: %v", err)
	}
}

// Rows that can't be read are left out; old days are dropped; a file that is no store is a plain error.
func TestBadContents(t *testing.T) {
	path := filepath.Join(t.TempDir(), "zones.db")
	s := open(t, path)
	rows := []zone.Row{{Key: zone.Key{Day: 5, Pool: "old"}}, {Key: zone.Key{Day: 90, Pool: "new"}, Traffic: zone.Traffic{Requests: 3}}}
	if err := s.Save(zone.State{Rows: rows}, 0); err != nil {
		t.Fatal(err)
	}
	s.db.Update(func(tx *bolt.Tx) error {
		tx.Bucket(accounts).Put([]byte(`{"Day":91}`), []byte(`{"Requests":-1}`))
		return tx.Bucket(budgets).Put([]byte("x"), []byte("nonsense"))
	})
	state, unread, err := s.Load()
	if err != nil || unread != 2 || len(state.Rows) != 2 || state.Spent != nil {
		t.Fatalf("%+v, %d unread, %v", state, unread, err)
	}
	if err := s.Save(zone.State{}, 50); err != nil {
		t.Fatal(err)
	}
	if state, _, _ := s.Load(); len(state.Rows) != 1 || state.Rows[0].Pool != "new" {
		t.Errorf("after old days were dropped: %+v", state.Rows)
	}
	bad := filepath.Join(t.TempDir(), "bad.db")
	if err := os.WriteFile(bad, bytes.Repeat([]byte("no store "), 1000), 0o600); err != nil {
		t.Fatal(err)
	}
	if s, err := Open(bad); err == nil {
		s.Close()
		t.Error("a file that is no store was opened")
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"Day":1,"Pair":{"From":"a","To":"b"}}`), []byte(`{"Requests":1,"Out":2,"In":3}`))
	f.Add([]byte(`{"Day":-1}`), []byte(`{"Requests":1e300}`))
	f.Add([]byte(`[]`), []byte(`{"Hour":1,"Requests":[1,2],"Bytes":[-1,0]}`))
	f.Fuzz(func(t *testing.T, key, value []byte) {
		if r, err := ReadRow(key, value); err == nil && (r.Requests < 0 || r.Out < 0 || r.In < 0 || len(r.Pool) > maxText) {
			t.Fatalf("%+v", r)
		}
		if x, err := ReadSpent(value); err == nil && (x.Requests[0] < 0 || x.Bytes[1] < 0 || x.Day < 0) {
			t.Fatalf("%+v", x)
		}
	})
}
