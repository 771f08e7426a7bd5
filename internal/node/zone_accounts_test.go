package node

import (
	"context"
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

// zoned starts servers, one in each zone, and gives the part of a file that lists them.
func zoned(t *testing.T, rec *fake.Recorder, zones ...string) string {
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

// runZoned starts a node with a store, and gives what ends it.
func runZoned(t *testing.T, plan operator.Plan) (*Node, func()) {
	t.Helper()
	n, err := NewFromPlan(plan, Options{ZoneStore: func(path string) (ZoneStore, error) { return store.Open(path) }})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx) }()
	return n, func() { cancel(); testkit.Wait(t, ended) }
}

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

// servedZoned asks until it is served: on a busy machine the one server of a zone may be late once, and what follows
// is then refused for a moment. A refusal has cost nothing, so the counts are those of requests that were served.
func servedZoned(t *testing.T, addr, id, from string) {
	t.Helper()
	testkit.Eventually(t, id+" is not served", func() bool { return askZoned(t, addr, id, from) == 200 })
}

// TestZones: requests stay at home, go elsewhere by the budget where home has no servers, are accounted by what
// servers saw, and both budget and account go on after a restart.
func TestZones(t *testing.T) {
	t.Parallel()
	rec := fake.NewRecorder(read, order)
	state := filepath.Join(t.TempDir(), "zones.db")
	head := func(home string, most int) string {
		return fmt.Sprintf("default = \"p\"\nadmin = \"127.0.0.1:0\"\n[zones]\nhome = %q\nstate = %q\ndefault = { never = true }\n[[zones.pairs]]\nfrom = \"x\"\nto = \"b\"\nprice = 1\nrequests_day = %d\n", home, state, most)
	}
	list := zoned(t, rec, "a", "b")
	at := func(home string, most int) operator.Plan {
		return planOf(t, head(home, most), poolOf("p", list))
	}
	n, stop := runZoned(t, at("a", 3))
	for i := range 5 {
		servedZoned(t, n.Addr().String(), fmt.Sprint("home-", i), "")
	}
	servedZoned(t, n.Addr().String(), "from-b", "b")
	stop()
	// The node stands in a zone without servers now: two of three requests cross, it restarts, and one more does.
	left := 3
	for run, want := range []int{2, 1} {
		n, stop = runZoned(t, at("x", 3))
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
		// A reload that allows more does so at once.
		if run == 1 {
			if err := n.Reload(at("x", 10)); err != nil {
				t.Fatal(err)
			}
			if s := askZoned(t, n.Addr().String(), "x-more", ""); s != 200 {
				t.Errorf("after the budget grew: %d", s)
			}
			if err := n.Reload(at("a", 10)); err == nil {
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
		seen := map[string]int64{}
		for _, a := range rec.History().Arrivals {
			seen[a.Zone]++
		}
		told := map[string]int64{}
		for _, x := range r.Rows {
			told[x.To] += x.Requests
			if x.Customer != "acme" || x.Class != "read" || x.Pool != "p" || x.Day != time.Now().UTC().Format(time.DateOnly) {
				t.Errorf("row %+v", x)
			}
		}
		if told["a"] != seen["a"] || told["b"] != seen["b"] {
			t.Errorf("run %d: accounted %v, servers saw %v", run, told, seen)
		}
	}
}

// A file that wants a store needs a program that has one, and one that is no store is a plain error.
func TestZoneStoreMissing(t *testing.T) {
	t.Parallel()
	plan := planOf(t, fmt.Sprintf("default = \"p\"\n[zones]\nhome = \"a\"\nstate = %q\n", filepath.Join(t.TempDir(), "z.db")), poolOf("p", "registry = \"127.0.0.1:1\""))
	if _, err := NewFromPlan(plan, Options{}); err != ErrNoZoneStore {
		t.Errorf("%v", err)
	}
}
