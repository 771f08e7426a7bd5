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

// diskEnvironment is the environment of a replica that is the only member and saves to a store.
type diskEnvironment struct {
	soloEnvironment
	t     *testing.T
	store *storage.Store
}

func (d diskEnvironment) Save(ready raft.Ready, lastSaved uint64) bool {
	assert.NilError(d.t, d.store.Save(ready, lastSaved))
	return true
}

// startFromDisk starts a replica from the store in dir, waits until it leads, and returns it with its store and the time.
func startFromDisk(t *testing.T, dir string) (*Replica, *storage.Store, time.Duration) {
	t.Helper()
	store, stored, empty, err := storage.Open(dir)
	assert.NilError(t, err)
	assert.Assert(t, !empty)
	r, err := New(Config{Address: "10.0.0.1:7380", Stored: stored, Log: zerolog.Nop()}, diskEnvironment{t: t, store: store}, 0)
	assert.NilError(t, err)
	return r, store, awaitReadyLeader(t, r)
}

// TestReplicaServesStoreOfEarlierBuild checks that a replica can start from the store under testdata/store-format-1, which a member of the
// build of commit 3361937 wrote. The store contains a snapshot (with a first update, a change, a removal, a namespace with a policy, and a
// key lease) and, after it, the members, two updates and a key lease. The replica must lead and have all committed changes, also when it is
// started again from the store that it wrote itself.
func TestReplicaServesStoreOfEarlierBuild(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.CopyFS(dir, os.DirFS("testdata/store-format-1")))
	for range 2 {
		r, store, now := startFromDisk(t, dir)
		var document config.Document
		r.Fetch(now, func(fetched FetchResult) {
			assert.Assert(t, fetched.Confirmed)
			document = fetched.Document
		})
		r.ProcessReady()
		text, err := json.Marshal(document)
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

		// Repeated operations are duplicates, conflicts or unknown, depending on what is recorded in such a store.
		for _, test := range []struct {
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
			r.Modify(now, test.body, func(reply Reply) { got = reply })
			r.ProcessReady()
			assert.Equal(t, got.Status, test.want, "%s: %s", test.body, got.Body)
		}
		store.Close()
	}
}

// routeUpsert returns an operator's update that upserts a route, like the updates in the store.
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
