package node

import (
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cranegrade/internal/fake"
	"cranegrade/internal/operator"
	"cranegrade/internal/testkit"
	"cranegrade/internal/zone/store"
)

// zonedServers starts a server in each zone until the test ends, and returns the lines of an operator's file that list them.
func zonedServers(t *testing.T, rec *fake.Recorder, zones ...string) string {
	t.Helper()
	var b strings.Builder
	for i, z := range zones {
		cfg := quick
		cfg.Zone, cfg.ID = z, fmt.Sprint(z, i)
		s, err := fake.NewServer(cfg, rec, fake.NewKeyStore())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		fmt.Fprintf(&b, "[[pools.servers]]\naddress = %q\nid = %q\nzone = %q\n", s.Addr(), cfg.ID, z)
	}
	return b.String()
}

// startZoned runs a node that can keep its zone account, until stop is called or the test ends.
func startZoned(t *testing.T, plan operator.Plan) (n *Node, stop func()) {
	t.Helper()
	return startPlan(t, plan, Options{ZoneStore: func(path string) (ZoneStore, error) { return store.Open(path) }})
}

// askZoned sends a request from a zone and returns the status of the response.
func askZoned(t *testing.T, addr, id, from string) int {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, "http://"+addr+"/read/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("X-Correlation-Id", id)
	r.Header.Set("X-Time-Left", "1000m")
	r.Header.Set("X-Account", "acme")
	if from != "" {
		r.Header.Set("X-Caller-Zone", from)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// servedZoned repeats a request until it is served. On a busy machine the only server of a zone may be late once, and the
// requests after it are rejected for a moment. A rejected request costs nothing, so the counts are those of served requests.
func servedZoned(t *testing.T, addr, id, from string) {
	t.Helper()
	testkit.Eventually(t, id+" is not served", func() bool { return askZoned(t, addr, id, from) == 200 })
}

// TestZones: requests stay in their zone. If it has no server they go to other zones as far as the budget allows. The account
// agrees with what the servers received, and budget and account outlive a restart.
func TestZones(t *testing.T) {
	t.Parallel()
	rec := fake.NewRecorder(read, order)
	state := filepath.Join(t.TempDir(), "zones.db")
	head := func(home string, budget int) string {
		return fmt.Sprintf("default = \"p\"\nadmin = \"127.0.0.1:0\"\n[zones]\nhome = %q\nstate = %q\ndefault = { never = true }\n[[zones.pairs]]\nfrom = \"x\"\nto = \"b\"\nprice = 1\nrequests_day = %d\n", home, state, budget)
	}
	list := zonedServers(t, rec, "a", "b")
	planAt := func(home string, budget int) operator.Plan {
		return planOf(t, head(home, budget), poolOf("p", list))
	}
	n, stop := startZoned(t, planAt("a", 3))
	for i := range 5 {
		servedZoned(t, n.Addr().String(), fmt.Sprint("home-", i), "")
	}
	servedZoned(t, n.Addr().String(), "from-b", "b")
	stop()
	// The node now is in a zone without servers, with a budget of three requests: two cross, it restarts, and one more does.
	left := 3
	for run, want := range []int{2, 1} {
		n, stop = startZoned(t, planAt("x", 3))
		for i := range 2 {
			id := fmt.Sprint("x-", run, "-", i)
			if i < want {
				servedZoned(t, n.Addr().String(), id, "")
				left--
			} else if s := askZoned(t, n.Addr().String(), id, ""); s != 503 {
				t.Errorf("run %d, request %d: %d", run, i, s)
			}
		}
		if b := n.Zones().Budgets; len(b) != 1 || b[0].RequestsDay != int64(left) || b[0].RequestsHour != -1 {
			t.Errorf("run %d: budgets %+v, %d left", run, b, left)
		}
		// A reload with a larger budget takes effect at once.
		if run == 1 {
			if err := n.Reload(planAt("x", 10)); err != nil {
				t.Fatal(err)
			}
			if s := askZoned(t, n.Addr().String(), "x-more", ""); s != 200 {
				t.Errorf("after the budget grew: %d", s)
			}
			if err := n.Reload(planAt("a", 10)); err == nil {
				t.Error("a reload moved the node to another zone")
			}
			resp, err := http.Get("http://" + n.InspectionAddr().String() + "/zones")
			if err != nil {
				t.Fatal(err)
			}
			resp.Body.Close()
			if resp.StatusCode != 200 {
				t.Errorf("/zones: %s", resp.Status)
			}
		}
		r := n.Zones()
		stop()
		received := map[string]int64{}
		for _, a := range rec.History().Arrivals {
			received[a.Zone]++
		}
		accounted := map[string]int64{}
		for _, x := range r.Rows {
			accounted[x.To] += x.Requests
			if x.Customer != "acme" || x.Class != "read" || x.Pool != "p" || x.Day != time.Now().UTC().Format(time.DateOnly) {
				t.Errorf("row %+v", x)
			}
		}
		if accounted["a"] != received["a"] || accounted["b"] != received["b"] {
			t.Errorf("run %d: accounted %v, servers received %v", run, accounted, received)
		}
	}
}

// A plan with a zone account that is to be kept is rejected by a program that is built without a store.
func TestPlanWithZoneStoreIsRejectedWithoutIt(t *testing.T) {
	t.Parallel()
	plan := planOf(t, fmt.Sprintf("default = \"p\"\n[zones]\nhome = \"a\"\nstate = %q\n", filepath.Join(t.TempDir(), "z.db")), poolOf("p", "registry = \"127.0.0.1:1\""))
	if _, err := NewFromPlan(plan, Options{}); !errors.Is(err, ErrNoZoneStore) {
		t.Errorf("%v", err)
	}
}
