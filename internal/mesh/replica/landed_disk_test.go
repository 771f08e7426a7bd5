package replica

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/syndtr/goleveldb/leveldb"
	"github.com/syndtr/goleveldb/leveldb/opt"
	ldbstorage "github.com/syndtr/goleveldb/leveldb/storage"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/sim/disk"
	"cranegrade/internal/mesh/storage"
)

// earlierBuildDir is the data directory of a control-plane member of an earlier build; see its README.md.
const earlierBuildDir = "testdata/store-format-1-member"

// recordContentsFlag makes a test write contents.json. Use it only for a new fixture, and with the build that wrote the fixture.
var recordContentsFlag = flag.Bool("record-landed-disk", false, "write contents.json of the recorded data folder, if there is none")

// The recorded contents of a data directory. Their JSON names are independent of the names in the code, so that renaming does not change
// the record.
type (
	recordedContents struct {
		Self     uint64           `json:"self"`
		Term     uint64           `json:"term"`
		Vote     uint64           `json:"vote"`
		Snapshot recordedSnapshot `json:"snapshot"`
		CatchUp  []recordedEntry  `json:"catchUpEntries"`
		Entries  []recordedEntry  `json:"entries"`
		State    recordedState    `json:"state"`
	}
	recordedSnapshot struct {
		Index       uint64           `json:"index"`
		Term        uint64           `json:"term"`
		LogTime     time.Duration    `json:"logTimeNs"`
		ConfigIndex uint64           `json:"configurationIndex"`
		Members     []recordedMember `json:"members"`
		Outgoing    []recordedMember `json:"outgoing"`
		RaftVersion uint32           `json:"raftVersion"`
		DataBytes   int              `json:"dataBytes"`
		DataSHA256  string           `json:"dataSHA256"`
	}
	recordedMember struct {
		ID   uint64 `json:"id"`
		Addr string `json:"addr"`
	}
	recordedEntry struct {
		Index       uint64           `json:"index"`
		Term        uint64           `json:"term"`
		Kind        uint8            `json:"kind"`
		LogTime     time.Duration    `json:"logTimeNs"`
		Data        []byte           `json:"data,omitempty"`
		Members     []recordedMember `json:"members,omitempty"`
		Outgoing    []recordedMember `json:"outgoing,omitempty"`
		RaftVersion uint32           `json:"raftVersion,omitempty"`
	}
	// recordedState is the replicated state after all entries of the log are applied. Maintenance and policy are the JSON that a
	// snapshot stores.
	recordedState struct {
		Items        []recordedItem  `json:"items"`
		KeyLeases    []recordedLease `json:"keyLeases"`
		Maintenance  json.RawMessage `json:"maintenance"`
		ActivePolicy []recordedItem  `json:"activePolicy"`
		Policy       json.RawMessage `json:"policy"`
		SHA256       string          `json:"encodedSHA256"` // of the state's encoding in a snapshot
	}
	recordedItem struct {
		Kind    uint8         `json:"kind"`
		Name    string        `json:"name"`
		Version int64         `json:"version"`
		Deleted bool          `json:"deleted,omitempty"`
		Host    string        `json:"host,omitempty"`
		Body    string        `json:"body,omitempty"`
		LogTime time.Duration `json:"logTimeNs"`
		History []byte        `json:"history,omitempty"`
	}
	recordedLease struct {
		Key       string        `json:"key"`
		Token     string        `json:"token"`
		Attempt   uint32        `json:"attempt"`
		Holder    string        `json:"holder"`
		GrantedAt time.Duration `json:"grantedAtNs"`
		Window    time.Duration `json:"windowNs"`
	}
)

func recordMembers(members []raft.Member) (recorded []recordedMember) {
	for _, m := range members {
		recorded = append(recorded, recordedMember{ID: uint64(m.ID), Addr: m.Addr})
	}
	return recorded
}

func recordEntries(entries []raft.Entry) (recorded []recordedEntry) {
	for _, e := range entries {
		recorded = append(recorded, recordedEntry{
			Index: e.Index, Term: e.Term, Kind: uint8(e.Kind), LogTime: e.LogTime, Data: e.Data,
			Members: recordMembers(e.Members), Outgoing: recordMembers(e.Outgoing), RaftVersion: e.ProtocolVersion,
		})
	}
	return recorded
}

func recordItems(table config.Table) (recorded []recordedItem) {
	for _, i := range config.TableToStorage(table) {
		recorded = append(recorded, recordedItem{
			Kind: i.Kind, Name: i.Name, Version: i.Version, Deleted: i.Deleted, Host: i.Host, Body: string(i.Body),
			LogTime: time.Duration(i.LogTimeNs), History: i.History,
		})
	}
	return recorded
}

func recordState(t *testing.T, s *State) recordedState {
	t.Helper()
	maintenance, err := json.Marshal(s.Maintenance)
	assert.NilError(t, err)
	policy, err := json.Marshal(s.Policy)
	assert.NilError(t, err)
	recorded := recordedState{
		Items:        recordItems(s.Items),
		Maintenance:  maintenance,
		ActivePolicy: recordItems(s.ActivePolicy),
		Policy:       policy,
		SHA256:       sha256Of(s.Encode()),
	}
	for _, lease := range s.KeyLeases.Leases() {
		recorded.KeyLeases = append(recorded.KeyLeases, recordedLease{
			Key: lease.Key, Token: lease.Token, Attempt: lease.Attempt, Holder: lease.Holder, GrantedAt: lease.GrantedAt, Window: lease.Window,
		})
	}
	return recorded
}

func recordContents(t *testing.T, stored raft.StoredState) recordedContents {
	t.Helper()
	var s State
	assert.NilError(t, s.Decode(stored.Snapshot.Data))
	assert.Assert(t, bytes.Equal(s.Encode(), stored.Snapshot.Data), "encoding the decoded state does not reproduce the data of the snapshot")
	for _, e := range stored.Entries {
		if e.Kind == raft.EntryCommand {
			s.Apply(e)
		}
	}
	snapshot := stored.Snapshot
	return recordedContents{
		Self: uint64(stored.Self), Term: stored.HardState.Term, Vote: uint64(stored.HardState.Vote),
		Snapshot: recordedSnapshot{
			Index: snapshot.Index, Term: snapshot.Term, LogTime: snapshot.LogTime, ConfigIndex: snapshot.ConfigurationIndex,
			Members: recordMembers(snapshot.Members), Outgoing: recordMembers(snapshot.Outgoing), RaftVersion: snapshot.ProtocolVersion,
			DataBytes: len(snapshot.Data), DataSHA256: sha256Of(snapshot.Data),
		},
		CatchUp: recordEntries(stored.CatchUpEntries), Entries: recordEntries(stored.Entries), State: recordState(t, &s),
	}
}

func sha256Of(p []byte) string {
	sum := sha256.Sum256(p)
	return hex.EncodeToString(sum[:])
}

// copyDir returns a temporary copy of a data directory, since opening a store may modify it.
func copyDir(t *testing.T, from string) string {
	t.Helper()
	dir := t.TempDir()
	assert.NilError(t, os.CopyFS(dir, os.DirFS(from)))
	return dir
}

// rawRecords returns the keys and values of a data directory as goleveldb returns them, without the decoding of package storage.
func rawRecords(t *testing.T, files ldbstorage.Storage) map[string]string {
	t.Helper()
	db, err := leveldb.Open(files, &opt.Options{ErrorIfMissing: true})
	assert.NilError(t, err)
	defer db.Close()
	it := db.NewIterator(nil, nil)
	defer it.Release()
	records := map[string]string{}
	for it.Next() {
		records[string(it.Key())] = hex.EncodeToString(it.Value())
	}
	assert.NilError(t, it.Error())
	return records
}

// TestStoreOfEarlierBuildIsReadInFull checks that everything that a member of an earlier build stored can be read: each entry of the log,
// and the state that results from the snapshot and the log.
func TestStoreOfEarlierBuildIsReadInFull(t *testing.T) {
	store, stored, empty, err := storage.Open(copyDir(t, earlierBuildDir))
	assert.NilError(t, err)
	defer store.Close()
	assert.Assert(t, !empty)
	got, err := json.MarshalIndent(recordContents(t, stored), "", " ")
	assert.NilError(t, err)
	path := earlierBuildDir + "/contents.json"
	if _, err := os.Stat(path); os.IsNotExist(err) && *recordContentsFlag {
		assert.NilError(t, os.WriteFile(path, append(got, '\n'), 0o644))
	}
	want, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Equal(t, string(got)+"\n", string(want))
	assert.Assert(t, len(stored.Entries) > 300 && stored.Snapshot.Index > 4000,
		"%d entries after the snapshot of entry %d", len(stored.Entries), stored.Snapshot.Index)
}

// TestStoreOfEarlierBuildIsWrittenIdentically checks that this build writes the same format as the earlier build: a new store with the same
// contents has the same keys and values, byte for byte.
func TestStoreOfEarlierBuildIsWrittenIdentically(t *testing.T) {
	dir := copyDir(t, earlierBuildDir)
	stored, _, err := storage.OpenReadOnly(dir)
	assert.NilError(t, err)
	files, err := storage.Directory(dir).Open(false)
	assert.NilError(t, err)
	want := rawRecords(t, files)
	assert.NilError(t, files.Close())

	d := disk.New()
	store, _, _, err := storage.OpenFolder(d, storage.Options{})
	assert.NilError(t, err)
	assert.NilError(t, store.Initialize(stored.Self, stored.Snapshot))
	assert.NilError(t, store.Save(raft.Ready{HardState: &stored.HardState, Entries: append(stored.CatchUpEntries, stored.Entries...)}, 0))
	store.Close()
	again, err := d.Open(false)
	assert.NilError(t, err)
	assert.DeepEqual(t, rawRecords(t, again), want)
}

// TestReplicaStartsFromStoreOfEarlierBuild checks that a replica that starts from such a store has the stored ID, term, members and log.
func TestReplicaStartsFromStoreOfEarlierBuild(t *testing.T) {
	stored, _, err := storage.OpenReadOnly(copyDir(t, earlierBuildDir))
	assert.NilError(t, err)
	r, err := New(Config{Address: "127.0.0.1:7380", Stored: stored}, soloEnvironment{}, 0)
	assert.NilError(t, err)
	assert.Equal(t, r.Self().ID, stored.Self)
	assert.Equal(t, r.Term(), stored.HardState.Term)
	members, _ := r.Members()
	assert.Equal(t, len(members), 3)
	assert.Equal(t, r.SavedIndex(), stored.Snapshot.Index+uint64(len(stored.Entries)))
}
