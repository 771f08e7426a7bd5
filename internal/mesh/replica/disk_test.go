package replica

import (
	"encoding/json"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/idempotency"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/storage"
)

// diskEnvironment is the environment of a replica that is the only member and has a disk.
type diskEnvironment struct {
	soloEnvironment
	t     *testing.T
	store *storage.Store
}

func (d diskEnvironment) Save(ready raft.Ready, last uint64) bool {
	assert.NilError(d.t, d.store.Save(ready, last))
	return true
}

// startFromDisk starts a replica from the disk in a folder and has it lead.
func startFromDisk(t *testing.T, dir string) (*Replica, *storage.Store, time.Duration) {
	t.Helper()
	store, stored, empty, err := storage.Open(dir)
	assert.NilError(t, err)
	assert.Assert(t, !empty)
	r, err := New(Config{Address: "10.0.0.1:7380", Stored: stored, Log: zerolog.Nop()}, diskEnvironment{t: t, store: store}, 0)
	assert.NilError(t, err)
	return r, store, awaitReadyLeader(t, r)
}

// TestDiskOfEarlierBuild starts a replica from the disk under testdata/store-format-1, which a member of the build of commit 3361937
// wrote: a first update, a change, a removal, a namespace with a policy and a key lease, all in a snapshot; behind it the members, two
// updates and a key lease. The replica leads, has all that was committed, and does so again from what it wrote itself.
func TestDiskOfEarlierBuild(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.CopyFS(dir, os.DirFS("testdata/store-format-1")))
	for range 2 {
		r, store, now := startFromDisk(t, dir)
		var set config.Document
		r.Fetch(now, func(fetched FetchResult) {
			assert.Assert(t, fetched.Confirmed)
			set = fetched.Document
		})
		r.ProcessReady()
		text, err := json.Marshal(set)
		assert.NilError(t, err)
		want, err := os.ReadFile("testdata/store-format-1/fetched.json")
		assert.NilError(t, err)
		assert.Equal(t, string(text)+"\n", string(want))

		members, _ := r.raft.Members()
		assert.DeepEqual(t, members, []raft.Member{r.self})
		assert.Equal(t, r.self.ID, bootstrapID("10.0.0.1:7380"))
		for _, key := range []string{"t\x00k1", "t\x00k2"} {
			request := idempotency.LeaseRequest{Key: key, Token: "another", Holder: "10.1.0.9:7000/life", Window: time.Minute}
			assert.Assert(t, !r.state.KeyLeases.Apply(20*time.Second, request).Granted, key)
		}

		// Of operations that were accepted it says what such a disk shows.
		for _, x := range []struct {
			body []byte
			want int
		}{
			{routeUpsert("a", "stock", 9), http.StatusOK},
			{routeUpsert("a", "stock", 8), http.StatusOK},
			{routeUpsert("a", "orders", 5), http.StatusOK},
			{routeUpsert("a", "stock", 5), http.StatusConflict},
			{routeUpsert("a", "stock", 1), http.StatusServiceUnavailable},
			{[]byte(`{"Remove":{"RouteTable":[{"Name":"b","ConfigVersion":6}]}}`), http.StatusOK},
		} {
			var got Reply
			r.Modify(now, x.body, func(reply Reply) { got = reply })
			r.ProcessReady()
			assert.Equal(t, got.Status, x.want, "%s: %s", x.body, got.Body)
		}
		store.Close()
	}
}

// routeUpsert is an operator's update like those on the disk.
func routeUpsert(name, service string, version int) []byte {
	rule := map[string]any{
		"Name": name, "RouteType": "keyed", "TargetLatencyS": 0.8, "Priority": 2, "ConfigVersion": version,
		"MatchCriteria": map[string]any{"PathPrefix": "/" + name + "/"},
		"ForwardAction": map[string]any{"Service": service, "TimeoutS": 2, "RetryCount": 2},
	}
	listener := map[string]any{"HostName": "h.example", "PolicyRules": []any{rule}}
	text, err := json.Marshal(map[string]any{"Upsert": map[string]any{"ListenerList": []any{listener}}})
	if err != nil {
		panic(err)
	}
	return text
}
