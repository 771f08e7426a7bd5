package store

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	bolt "go.etcd.io/bbolt"

	"cranegrade/internal/zone"
)

func openStore(t *testing.T, path string) *Store {
	t.Helper()
	s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s
}

// loadAfterCrash loads the state from a copy of the file, as a process would after a crash at this moment.
func loadAfterCrash(t *testing.T, path string) zone.State {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	crashed := filepath.Join(t.TempDir(), "crashed.db")
	if err := os.WriteFile(crashed, text, 0o600); err != nil {
		t.Fatal(err)
	}
	s := openStore(t, crashed)
	state, unreadable, err := s.Load()
	if err != nil || unreadable != 0 {
		t.Fatalf("%d unreadable, %v", unreadable, err)
	}
	return state
}

func TestSavedStateSurvivesCrash(t *testing.T) {
	path := filepath.Join(t.TempDir(), "deep", "zones.db")
	s := openStore(t, path)
	pair := zone.Pair{From: "a", To: "b"}
	accounting := zone.NewAccounting([]zone.Limit{{Pair: pair, RequestsDay: 10}})
	now := 20000 * 24 * time.Hour
	for i := range 5 {
		accounting.Add(now, zone.Key{Pair: pair, Pool: "p", Class: "read", Customer: "acme"}, zone.Traffic{Requests: 1, Out: 10, In: 20})
		if err := s.Save(accounting.TakeChanges(), 0); err != nil {
			t.Fatal(err)
		}
		state := loadAfterCrash(t, path)
		if len(state.Rows) != 1 || state.Rows[0].Requests != int64(i+1) || len(state.Usages) != 1 {
			t.Fatalf("after %d: %+v", i+1, state)
		}
		restored := zone.NewAccounting(nil)
		restored.Restore(state)
		if got := restored.Rows(); !reflect.DeepEqual(got, accounting.Rows()) {
			t.Fatalf("restored %+v", got)
		}
	}
}

func TestOpenFileIsLocked(t *testing.T) {
	path := filepath.Join(t.TempDir(), "zones.db")
	openStore(t, path)
	if _, err := Open(path); !errors.Is(err, ErrLocked) || !strings.Contains(err.Error(), "another process") {
		t.Errorf("opening the file twice: %v, want ErrLocked", err)
	}
}

func TestUnreadableEntriesAreSkippedAndOldDaysDeleted(t *testing.T) {
	s := openStore(t, filepath.Join(t.TempDir(), "zones.db"))
	rows := []zone.Row{{Key: zone.Key{Day: 5, Pool: "old"}}, {Key: zone.Key{Day: 90, Pool: "new"}, Traffic: zone.Traffic{Requests: 3}}}
	if err := s.Save(zone.State{Rows: rows}, 0); err != nil {
		t.Fatal(err)
	}
	s.db.Update(func(tx *bolt.Tx) error {
		tx.Bucket(accountBucket).Put([]byte(`{"Day":91}`), []byte(`{"Requests":-1}`))
		return tx.Bucket(budgetsBucket).Put([]byte("x"), []byte("nonsense"))
	})
	state, unreadable, err := s.Load()
	if err != nil || unreadable != 2 || len(state.Rows) != 2 || state.Usages != nil {
		t.Fatalf("%+v, %d unreadable, %v", state, unreadable, err)
	}
	if err := s.Save(zone.State{}, 50); err != nil {
		t.Fatal(err)
	}
	if state, _, _ := s.Load(); len(state.Rows) != 1 || state.Rows[0].Pool != "new" {
		t.Errorf("rows after old days were deleted: %+v", state.Rows)
	}
}

func TestOpenRejectsFileOfAnotherFormat(t *testing.T) {
	path := filepath.Join(t.TempDir(), "bad.db")
	if err := os.WriteFile(path, bytes.Repeat([]byte("no store "), 1000), 0o600); err != nil {
		t.Fatal(err)
	}
	if s, err := Open(path); err == nil {
		s.Close()
		t.Error("Open accepted a file of another format")
	}
}

// Files must be readable by earlier and later builds, so the names in them must not change.
func TestStoredFormatIsUnchanged(t *testing.T) {
	const (
		rowKey     = `{"Day":20000,"Pair":{"From":"a","To":"b"},"Pool":"p","Class":"read","Customer":"acme"}`
		rowValue   = `{"Requests":1,"Out":2,"In":3}`
		usageKey   = `{"From":"a","To":"b"}`
		usageValue = `{"Pair":{"From":"a","To":"b"},"Hour":480001,"Day":20000,"Requests":[1,2],"Bytes":[3,4],"NextRequests":[5,6],"NextBytes":[7,8]}`
	)
	pair := zone.Pair{From: "a", To: "b"}
	row := zone.Row{
		Key:     zone.Key{Day: 20000, Pair: pair, Pool: "p", Class: "read", Customer: "acme"},
		Traffic: zone.Traffic{Requests: 1, Out: 2, In: 3},
	}
	usage := zone.Usage{Pair: pair, Hour: 480001, Day: 20000}
	usage.Requests, usage.Bytes = [2]int64{1, 2}, [2]int64{3, 4}
	usage.NextRequests, usage.NextBytes = [2]int64{5, 6}, [2]int64{7, 8}

	s := openStore(t, filepath.Join(t.TempDir(), "zones.db"))
	if err := s.Save(zone.State{Rows: []zone.Row{row}, Usages: []zone.Usage{usage}}, 0); err != nil {
		t.Fatal(err)
	}
	s.db.View(func(tx *bolt.Tx) error {
		if got := string(tx.Bucket([]byte("account")).Get([]byte(rowKey))); got != rowValue {
			t.Errorf("the row is stored as %s", got)
		}
		if got := string(tx.Bucket([]byte("budgets")).Get([]byte(usageKey))); got != usageValue {
			t.Errorf("the usage is stored as %s", got)
		}
		return nil
	})
	if got, err := ReadRow([]byte(rowKey), []byte(rowValue)); err != nil || got != row {
		t.Errorf("row %+v, %v", got, err)
	}
	if got, err := ReadUsage([]byte(usageValue)); err != nil || got != usage {
		t.Errorf("usage %+v, %v", got, err)
	}
}

func TestInvalidEntriesAreRejected(t *testing.T) {
	long := strings.Repeat("x", maxNameBytes+1)
	for _, c := range []struct {
		name, key, value string
		want             error
	}{
		{"negative requests", `{}`, `{"Requests":-1}`, ErrOutOfRange},
		{"negative bytes sent", `{}`, `{"Out":-1}`, ErrOutOfRange},
		{"negative bytes received", `{}`, `{"In":-1}`, ErrOutOfRange},
		{"negative day", `{"Day":-1}`, `{}`, ErrOutOfRange},
		{"day beyond all calendars", `{"Day":2147483648}`, `{}`, ErrOutOfRange},
		{"long name", `{"Customer":"` + long + `"}`, `{}`, ErrNameTooLong},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := ReadRow([]byte(c.key), []byte(c.value)); !errors.Is(err, c.want) {
				t.Errorf("got error %v, want %v", err, c.want)
			}
		})
	}
	for _, value := range []string{`{"Hour":-1}`, `{"Day":-1}`, `{"Requests":[0,-1]}`, `{"NextBytes":[-1,0]}`} {
		if _, err := ReadUsage([]byte(value)); !errors.Is(err, ErrOutOfRange) {
			t.Errorf("usage %s: %v", value, err)
		}
	}
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(`{"Day":1,"Pair":{"From":"a","To":"b"}}`), []byte(`{"Requests":1,"Out":2,"In":3}`))
	f.Add([]byte(`{"Day":-1}`), []byte(`{"Requests":1e300}`))
	f.Add([]byte(`[]`), []byte(`{"Hour":1,"Requests":[1,2],"Bytes":[-1,0]}`))
	f.Fuzz(func(t *testing.T, key, value []byte) {
		if row, err := ReadRow(key, value); err == nil && (row.Requests < 0 || row.Out < 0 || row.In < 0 || len(row.Pool) > maxNameBytes) {
			t.Fatalf("%+v", row)
		}
		if usage, err := ReadUsage(value); err == nil && (usage.Requests[0] < 0 || usage.Bytes[1] < 0 || usage.Day < 0) {
			t.Fatalf("%+v", usage)
		}
	})
}
