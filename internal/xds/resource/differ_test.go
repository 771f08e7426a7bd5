package resource

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/wrapperspb"
	"pgregory.net/rapid"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
)

// Which endpoints are usable, by health and priority. A case is a letter for each endpoint, with a slash
// between priorities; the capital ones are to be usable.
func TestUsableEndpoints(t *testing.T) {
	healths := map[rune]Health{'h': Healthy, 'd': Degraded, 'u': Unhealthy, 'x': Draining}
	for _, c := range []struct{ name, endpoints, want string }{
		{"all healthy", "hhh", "HHH"},
		{"only the healthy ones", "hux", "Hux"},
		{"the first priority suffices", "hhhhh/h", "HHHHH/h"},
		{"0.8 x 1.4 suffices", "hhhhu/hh", "HHHHu/hh"},
		{"0.4 x 1.4 does not: the next level too", "hhuuu/hh", "HHuuu/HH"},
		{"three levels", "huuuu/huuuu/h", "Huuuu/Huuuu/H"},
		{"an unhealthy priority is skipped", "uu/hh/hh", "uu/HH/hh"},
		{"degraded ones help out", "hddd", "HDDD"},
		{"degraded ones are not needed", "hhhd", "HHHd"},
		{"healthy ones of a lower priority come first", "dd/h", "dd/H"},
		{"only degraded ones", "du/uu", "Du/uu"},
		{"nothing but unhealthy ones", "uu", "UU"},
		{"never draining ones", "ux", "Ux"},
		{"nothing but draining ones", "xx", "xx"},
		{"unhealthy ones of all priorities", "uu/ux", "UU/Ux"},
		{"none", "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := &Assignment{OverprovisioningFactor: 1.4}
			for priority, letters := range strings.Split(c.endpoints, "/") {
				for _, letter := range letters {
					a.Endpoints = append(a.Endpoints, Endpoint{Priority: priority, Health: healths[letter]})
				}
			}
			ready, notices := usableEndpoints(a)
			got := []byte(c.endpoints)
			next := 0
			for i := range got {
				if got[i] == '/' {
					continue
				}
				if ready[next] {
					got[i] -= 'a' - 'A'
				}
				next++
			}
			if string(got) != c.want {
				t.Errorf("%s: got %s, want %s", c.endpoints, got, c.want)
			}
			if unhealthyUsed := strings.Contains(c.want, "U"); unhealthyUsed != (notices != nil) {
				t.Errorf("%s: notices %v", c.endpoints, notices)
			}
		})
	}
}

// TestDifferProperty: the updates, applied in turn, give the list of the last assignment, and no update
// names a server that has not changed.
func TestDifferProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Differ
		list := map[string]engine.Listed{}
		for i := range rapid.IntRange(1, 8).Draw(t, "updates") {
			a := drawAssignment(t)
			before := len(list)
			update, notices := d.Update(a)
			switch {
			case update != nil:
				if update.Full != (i == 0) {
					t.Fatalf("update %d: full %v", i, update.Full)
				}
				applyUpdate(t, list, update)
			case i == 0:
				t.Fatal("no update for the first assignment")
			}
			checkList(t, list, a)
			allGone := before > 0 && len(list) == 0
			if noticed := slices.ContainsFunc(
				notices,
				func(n string) bool { return strings.Contains(n, "are gone") },
			); allGone != noticed {
				t.Fatalf("all gone: %v, notices %q", allGone, notices)
			}
		}
	})
}

// drawAssignment draws an assignment, or nil.
func drawAssignment(t *rapid.T) *Assignment {
	a := &Assignment{OverprovisioningFactor: 1.4}
	for id := range 6 {
		if rapid.Bool().Draw(t, "listed") {
			a.Endpoints = append(a.Endpoints, Endpoint{
				ID:        fmt.Sprint(id),
				Addr:      fmt.Sprint("a", rapid.IntRange(0, 1).Draw(t, "addr")),
				Health:    Health(rapid.IntRange(0, 3).Draw(t, "health")),
				StartedAt: time.Duration(rapid.IntRange(0, 1).Draw(t, "start")),
			})
		}
	}
	if rapid.IntRange(0, 4).Draw(t, "none") == 0 {
		return nil
	}
	return a
}

func applyUpdate(t *rapid.T, list map[string]engine.Listed, update *engine.ListUpdate) {
	for _, s := range update.Servers {
		if last, listed := list[s.ID]; listed && last == s {
			t.Fatalf("%s is named and has not changed", s.ID)
		}
		if s.State == balancer.Gone {
			delete(list, s.ID)
		} else {
			list[s.ID] = s
		}
	}
}

// checkList checks that a list is that of an assignment.
func checkList(t *rapid.T, list map[string]engine.Listed, a *Assignment) {
	if a == nil {
		a = &Assignment{}
	}
	if len(list) != len(a.Endpoints) {
		t.Fatalf("%d servers listed of %d", len(list), len(a.Endpoints))
	}
	ready, _ := usableEndpoints(a)
	for i, e := range a.Endpoints {
		if s := list[e.ID]; s.Addr != e.Addr || s.StartedAt != e.StartedAt || (s.State == balancer.Ready) != ready[i] {
			t.Fatalf("%+v is listed as %+v", e, s)
		}
	}
}

// With AllPriorities every healthy or degraded endpoint is listed as ready, degraded ones behind the
// healthy ones of all priorities, and draining ones as such; the weights of localities are passed on.
func TestDifferAllPriorities(t *testing.T) {
	first := localityEndpoints(
		"a",
		0,
		lbEndpoint("127.0.0.1:1", statusHealthy),
		lbEndpoint("127.0.0.1:2", statusDegraded),
		lbEndpoint("127.0.0.1:3", statusDraining),
	)
	first.LoadBalancingWeight = wrapperspb.UInt32(7)
	second := localityEndpoints("b", 1, lbEndpoint("127.0.0.1:4", statusHealthy), lbEndpoint("127.0.0.1:5", statusUnhealthy))
	_, a, err := ParseAssignment(marshal(t, loadAssignment("c", first, second)), nil)
	if err != nil {
		t.Fatal(err)
	}
	update, _ := (&Differ{AllPriorities: true}).Update(a)
	got := ""
	for _, s := range update.Servers {
		got += fmt.Sprintf("%s:%d:%d:%v ", s.ID[len(s.ID)-1:], s.State, s.Priority, s.Weight)
	}
	if want := "1:0:0:7 2:0:2:7 3:1:0:7 4:0:1:0 5:1:1:0 "; got != want { // port:state:priority:weight
		t.Errorf("%s, want %s", got, want)
	}
	if update, _ := (&Differ{}).Update(a); update.Servers[3].Priority != 0 {
		t.Errorf("without AllPriorities %+v", update.Servers[3])
	}
}
