package balancer

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

const msec = time.Millisecond

// testSettings returns settings with one class of each effect.
func testSettings() Settings {
	return Settings{
		Classes: []Class{
			{Name: "get", Effect: Idempotent, Scope: ScopeAll, Aim: 500 * msec, Deadline: 1500 * msec, Worth: 1},
			{
				Name: "post", Effect: IdempotentByKey, Scope: ScopeCell, Window: 900 * msec, Aim: 500 * msec,
				Deadline: 1500 * msec, Worth: 2,
			},
			{Name: "pay", Effect: NonIdempotent, Aim: 500 * msec, Deadline: 1500 * msec, Worth: 3},
		},
		Balancers: 2, Tier: 0, WholeWeight: 0.6, ClassWeight: 0.3,
		MaxAttempts: 5, SecondCopies: true, MayCancel: true, Tick: 2 * msec,
		AskWithin: 10 * time.Second, MaxRetryAfter: 2 * time.Second,
		ColdFrom: 0.2, WarmAfter: 10 * time.Second, FallMultiple: 3, FallFor: 2 * time.Second,
	}
}

func newBalancer(t testing.TB, change func(*Settings)) *Balancer {
	t.Helper()
	s := testSettings()
	if change != nil {
		change(&s)
	}
	b, err := New(s, 7)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func servers(n int) []Server {
	var l []Server
	for i := range n {
		l = append(l, Server{ID: fmt.Sprintf("s%02d", i), Zone: "z", Cell: i % 2})
	}
	return l
}

// sends returns the Send actions among acts.
func sends(acts []Action) []Send {
	var l []Send
	for _, a := range acts {
		if s, ok := a.(Send); ok {
			l = append(l, s)
		}
	}
	return l
}

func TestPickFollowsTheDesign(t *testing.T) {
	mk := func(calls ...int) []*server {
		var l []*server
		for i, c := range calls {
			l = append(l, &server{Server: Server{ID: fmt.Sprint(i, c)}, calls: c})
		}
		return l
	}
	b := newBalancer(t, nil)
	const n = 20000
	shareLeft := func(left, right []*server) float64 {
		got := 0
		for range n {
			s := b.pick(left, right)
			for _, l := range left {
				if s == l {
					got++
				}
			}
		}
		return float64(got) / n
	}
	for _, c := range []struct {
		name        string
		left, right []*server
		want        float64
	}{
		{"fewer left", mk(1), mk(2), 1},
		{"fewer right", mk(2), mk(1), 0},
		{"zero beats one", mk(1), mk(0), 0},
		{"zero left beats one", mk(0), mk(1), 1},
		{"nonzero tie goes left", mk(3), mk(3), 1},
		{"zero tie by shares", mk(0, 0, 0), mk(0), 0.75},
		{"left empty", nil, mk(1), 0},
		{"right empty", mk(5), nil, 1},
	} {
		if got := shareLeft(c.left, c.right); math.Abs(got-c.want) > 0.02 {
			t.Errorf("%s: left share %.3f, want %.2f", c.name, got, c.want)
		}
	}
	if b.pick(nil, nil) != nil {
		t.Error("picked from nothing")
	}
	left, count := mk(0, 0, 0, 0), map[*server]int{}
	for range n {
		count[b.pick(left, nil)]++
	}
	for _, s := range left {
		if got := float64(count[s]) / n; math.Abs(got-0.25) > 0.02 {
			t.Errorf("uniform draw gave a server %.3f", got)
		}
	}
}

func TestCopiesShareTheOrder(t *testing.T) {
	a, b := newBalancer(t, nil), newBalancer(t, nil)
	l := servers(7)
	a.Handle(0, ServerList{Full: true, Servers: l})
	for i := len(l) - 1; i >= 0; i-- {
		b.Handle(0, ServerList{Servers: l[i : i+1]})
	}
	for i := range l {
		if a.ready[i].ID != b.ready[i].ID {
			t.Fatalf("order differs at %d: %s, %s", i, a.ready[i].ID, b.ready[i].ID)
		}
	}
}

// Hosts round times: a timer that fires slightly early must still lead to an answer in time.
func TestHeldRequestIsAnsweredThoughTimersComeEarly(t *testing.T) {
	b := newBalancer(t, nil)
	acts := b.Handle(0, Request{ID: "a", Class: "get", Deadline: 1000 * msec})
	for now := time.Duration(0); now < 1000*msec; {
		var next Wake
		for _, a := range acts {
			switch a := a.(type) {
			case Wake:
				next = a
			case Reject:
				return
			}
		}
		if next.Token == "" {
			t.Fatalf("at %v neither an answer nor a timer", now)
		}
		now = max(now+2*msec, next.At-500) // half a microsecond early
		acts = b.Handle(now, Timer{Token: next.Token})
	}
	t.Fatal("no final answer in time")
}

// settle answers the single attempt of a request.
func settle(b *Balancer, now time.Duration, id string, s Send, e Ending) []Action {
	return b.Handle(now, Outcome{ID: id, Server: s.Server, Ending: e, Ended: e == Success})
}

// traffic sends n requests one after another; fate decides how attempts at a server end. It returns how many
// first attempts each server got in the second half.
func traffic(b *Balancer, n int, class string, fate func(server string) Ending) map[string]int {
	got := map[string]int{}
	for i := range n {
		id, now := fmt.Sprint(class, i), b.now+20*msec
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: class, Deadline: now + time.Second})) {
			if i >= n/2 {
				got[s.Server]++
			}
			for k := 0; k < 5; k++ {
				e := fate(s.Server)
				now += 10 * msec
				again := sends(b.Handle(now, Outcome{ID: id, Attempt: k, Server: s.Server, Ending: e, Ended: e == Success}))
				if len(again) == 0 {
					break
				}
				s = again[0]
			}
		}
	}
	return got
}

// A server that fails fast has few calls in flight; without ejection it would win every pick.
func TestFastErrorsAreEjected(t *testing.T) {
	for _, e := range []Ending{Failure, Unreachable, Broken} {
		b := newBalancer(t, nil)
		b.Handle(0, ServerList{Full: true, Servers: servers(10)})
		got := traffic(b, 600, "get", func(s string) Ending {
			if s == "s03" {
				return e
			}
			return Success
		})
		if got["s03"] > 10 {
			t.Errorf("ending %d: the bad server got %d of 300 first tries", e, got["s03"])
		}
	}
}

// When all servers fail equally, the fault is in the tier below: no server may be excluded from calls.
func TestFailuresEverywhereEjectFew(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(10)})
	got := traffic(b, 800, "get", func(string) Ending { return Failure })
	if len(got) < 8 {
		t.Errorf("only %d of 10 servers are still used", len(got))
	}
}

// A hung machine shows no other sign than an old unanswered call while others answer.
func TestSilentServerIsPassedOver(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(10)})
	stuck, now := 0, time.Duration(0)
	for i := range 600 {
		id := fmt.Sprint(i)
		now += 20 * msec
		for _, s := range sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Minute})) {
			if s.Server == "s03" {
				stuck++
			} else {
				settle(b, now+10*msec, id, s, Success)
			}
		}
	}
	if stuck == 0 || stuck > 6 {
		t.Errorf("the silent server holds %d calls", stuck)
	}
}

// The first probe after an ejection must not be a request that can't be retried.
func TestTrialIsNeverUnsafe(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(10)})
	s := b.servers["s03"]
	s.ejectionLevel, s.ejectedUntil = 1, 0
	if got := traffic(b, 400, "pay", func(string) Ending { return Success }); got["s03"] != 0 {
		t.Errorf("a server on trial got %d unsafe requests", got["s03"])
	}
	if got := traffic(b, 400, "get", func(string) Ending { return Success }); got["s03"] == 0 {
		t.Error("the server was never tried again")
	}
}

// At full size the subsets of all copies must cover the servers about evenly, span the cells and have servers of
// both groups. A list that is not longer than a subset is used completely.
func TestSubsetsCoverTheFleetEvenly(t *testing.T) {
	const copies, fleet = 300, 90
	list := servers(fleet)
	for i := range list {
		list[i].Cell = i / 6
	}
	drawn := map[string]int{}
	for me := range copies {
		b := newBalancer(t, func(s *Settings) { s.Balancers, s.Index = copies, me })
		b.Handle(0, ServerList{Full: true, Servers: list})
		right, cells := 0, map[int]int{}
		for _, s := range b.subset {
			drawn[s.ID]++
			cells[s.Cell]++
			if s.inRightGroup {
				right++
			}
		}
		if len(b.subset) != minSubset || right != len(b.subset)/2 {
			t.Fatalf("copy %d draws from %d servers, %d of them right", me, len(b.subset), right)
		}
		for cell, n := range cells {
			if n > 2 {
				t.Errorf("copy %d has %d servers of pod %d", me, n, cell)
			}
		}
	}
	for _, s := range list {
		mean := float64(copies*minSubset) / fleet
		if n := float64(drawn[s.ID]); n < 0.8*mean || n > 1.2*mean {
			t.Errorf("server %s is drawn from by %.0f copies, mean %.0f", s.ID, n, mean)
		}
	}
	b := newBalancer(t, func(s *Settings) { s.Balancers, s.Index = copies, 7 })
	b.Handle(0, ServerList{Full: true, Servers: list[:minSubset]})
	if len(b.subset) != minSubset {
		t.Errorf("a list of a subset's length is cut to %d", len(b.subset))
	}
}

// Servers are drawn in proportion to their sizes if the list has capacities, and uniformly if it has none, or has
// outdated loads.
func TestDrawsFollowRegisteredSizes(t *testing.T) {
	for kind, want := range map[Sizes]float64{SizesNominal: 3, SizesRough: 3, SizesUnknown: 1, SizesLive: 1} {
		b := newBalancer(t, func(s *Settings) { s.Sizes = kind })
		list := servers(8)
		for i := range list {
			list[i].Size = []float64{1, 3}[i%2]
		}
		b.Handle(0, ServerList{Full: true, Servers: list})
		got, large, small := traffic(b, 8000, "get", func(string) Ending { return Success }), 0, 0
		for i, s := range list {
			if i%2 == 1 {
				large += got[s.ID]
			} else {
				small += got[s.ID]
			}
		}
		if ratio := float64(large) / float64(small); ratio < 0.75*want || ratio > 1.25*want {
			t.Errorf("sizes %d: large to small %.2f, want %.0f", kind, ratio, want)
		}
	}
}

// A server that is half as fast as its peers is drawn less often, but not ejected. One that got expensive requests,
// according to their hints, does not count as slow.
func TestDrawsFollowMeasuredSpeed(t *testing.T) {
	for _, heavy := range []time.Duration{0, 16} {
		b := newBalancer(t, nil)
		b.Handle(0, ServerList{Full: true, Servers: servers(4)})
		got, n, now := 0, 0, time.Duration(0)
		for i := range 4000 {
			id, cost := fmt.Sprint(i), 10*msec
			if heavy > 0 && i%40 < 4 {
				cost *= heavy
			}
			now += time.Second
			for _, s := range sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second, Cost: cost})) {
				took := 100 * msec
				if s.Server == "s03" && (heavy == 0 || cost > 10*msec) {
					took *= 2
				}
				if n++; s.Server == "s03" {
					got++
				}
				settle(b, now+took, id, s, Success)
			}
		}
		share := float64(got) / float64(n)
		if heavy == 0 && (share > 0.14 || share < 0.03) || heavy > 0 && share < 0.2 {
			t.Errorf("heavy %d: the server got %.3f of the draws", heavy, share)
		}
	}
}

// A small machine is slower without being unhealthy, and its draws must not be thinned twice.
func TestSmallMachinesAreNotTakenForSlow(t *testing.T) {
	for kind, slow := range map[Sizes]bool{SizesNominal: false, SizesUnknown: true} {
		b := newBalancer(t, func(s *Settings) { s.Sizes = kind })
		list := servers(4)
		for i := range list {
			list[i].Size = []float64{1, 3}[i/2]
		}
		b.Handle(0, ServerList{Full: true, Servers: list})
		for i := range 400 {
			now, id := time.Duration(i)*time.Second, fmt.Sprint(i)
			for _, s := range sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second})) {
				settle(b, now+time.Duration(120/b.servers[s.Server].Size)*msec, id, s, Success)
			}
		}
		if got := max(b.servers["s00"].slowness, b.servers["s01"].slowness); got > 0.3 != slow {
			t.Errorf("sizes %d: slowness %.2f", kind, got)
		}
	}
}

// A deployment can leave a copy with only cold servers in its subset. While there are warm ones in the list it must
// use those, or all copies that share the cold ones overload them together.
func TestWarmStrangersBeforeColdFriends(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Balancers, s.ColdFrom = 100, 0 })
	list := servers(40)
	b.Handle(time.Minute, ServerList{Full: true, Servers: list})
	cold := map[string]bool{}
	for _, s := range b.subset {
		cold[s.ID] = true
	}
	for i := range list {
		if cold[list[i].ID] {
			list[i].StartedAt = time.Minute
		}
	}
	b.Handle(time.Minute, ServerList{Full: true, Servers: list})
	for i := range 20 {
		for _, s := range sends(b.Handle(time.Minute+time.Duration(i)*msec, Request{
			ID: fmt.Sprint(i), Class: "get",
			Deadline: 2 * time.Minute,
		})) {
			if cold[s.Server] {
				t.Fatalf("request %d went to a server that started %d ms ago", i, i)
			}
		}
	}
}

// A server with more own calls than the subset's mean, and at least two, is skipped while there are others. A single
// call never excludes a server, because pick compares the counts.
func TestCrowdedServersArePassedOver(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(6)})
	for _, tc := range []struct{ calls, ok [6]int }{
		{[6]int{2, 1, 0, 0, 1, 0}, [6]int{0, 1, 1, 1, 1, 1}},
		{[6]int{3, 2, 2, 1, 2, 3}, [6]int{0, 1, 1, 1, 1, 0}},
		{[6]int{1, 1, 1, 1, 1, 1}, [6]int{1, 1, 1, 1, 1, 1}},
	} {
		b.inFlight = 0
		for i, s := range b.ready {
			s.calls = tc.calls[i]
			b.inFlight += s.calls
		}
		var ok [6]int
		for _, s := range b.eligible(&request{class: b.classes["get"]}) {
			for i := range b.ready {
				if b.ready[i] == s {
					ok[i] = 1
				}
			}
		}
		if ok != tc.ok {
			t.Errorf("own calls %v: may be drawn %v, want %v", tc.calls, ok, tc.ok)
		}
	}
}

// The retries of each tier multiply the load of the next one: they are earned by successes, and the budget is
// bounded.
func TestRetriesKeepWithinTheirBudget(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(0, ServerList{Full: true, Servers: servers(4)})
	traffic(b, 2000, "get", func(string) Ending { return Success })
	again := 0
	for i := range 200 {
		now, id := b.now+20*msec, fmt.Sprint("bad", i)
		l := sends(b.Handle(now, Request{ID: id, Class: "get", Deadline: now + time.Second}))
		for k := 0; len(l) > 0; k++ {
			l = sends(b.Handle(now+msec, Outcome{ID: id, Attempt: k, Server: l[0].Server, Ending: Failure}))
			again += len(l)
		}
	}
	if again < 5 || again > maxRetryTokens {
		t.Errorf("%d further attempts for 200 failed requests, want %d at the most", again, maxRetryTokens)
	}
}

// A keyed request that may have run is not retried after its servers may have forgotten the key.
func TestKeyedRequestStaysWithinItsWindow(t *testing.T) {
	for _, tc := range []struct {
		at   time.Duration
		want int
	}{{300 * msec, 1}, {899 * msec, 0}, {1000 * msec, 0}} {
		b := newBalancer(t, nil)
		b.Handle(0, ServerList{Full: true, Servers: servers(8)})
		s := sends(b.Handle(0, Request{ID: "k", Class: "post", Deadline: 1500 * msec}))[0]
		if got := len(sends(settle(b, tc.at, "k", s, Failure))); got != tc.want {
			t.Errorf("failed after %v: sent again %d times, want %d", tc.at, got, tc.want)
		}
	}
}

// An unanswered call is a sign of silence once calls sent later were answered elsewhere, not before.
func TestSilenceNeedsAnswersElsewhere(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(4)})
	stuck := b.servers[sends(b.Handle(0, Request{ID: "old", Class: "get", Deadline: time.Minute}))[0].Server]
	b.Handle(5*time.Second, Timer{Token: "x"})
	if b.isSilent(stuck) {
		t.Error("silent although nothing was answered anywhere")
	}
	now := 5 * time.Second
	s := sends(b.Handle(now, Request{ID: "new", Class: "get", Deadline: now + time.Minute}))[0]
	settle(b, now+10*msec, "new", s, Success)
	if s.Server != stuck.ID && !b.isExcluded(stuck, &request{class: b.classes["get"]}) || b.isSilent(b.servers[s.Server]) && s.Server != stuck.ID {
		t.Error("the wrong server is taken for silent")
	}
}

// A server that returns with a new start time is another one: its failures are forgotten.
func TestRestartForgetsTheServersRecord(t *testing.T) {
	b := newBalancer(t, nil)
	list := servers(4)
	b.Handle(0, ServerList{Full: true, Servers: list})
	s := b.servers["s01"]
	s.ejectedUntil, s.ejectionLevel, s.slowness = time.Hour, 3, 1
	list[1].StartedAt = time.Second
	b.Handle(2*time.Second, ServerList{Servers: list[1:2]})
	if s := b.servers["s01"]; s.ejectedUntil != 0 || s.ejectionLevel != 0 || s.slowness != 0 {
		t.Errorf("after its restart: %+v", s)
	}
}

// In overload the window must shrink, but never below its floor.
func TestWindowFollowsLatency(t *testing.T) {
	for _, tc := range []struct {
		took time.Duration
		grow bool
	}{{450 * msec, false}, {40 * msec, true}} {
		b := newBalancer(t, nil)
		b.Handle(0, ServerList{Full: true, Servers: servers(4)})
		start, now := b.window, time.Duration(0)
		var open []Send
		for i := range 3000 {
			now += 4 * msec
			open = append(open, sends(b.Handle(now, Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second}))...)
			for len(open) > 0 && b.requests[open[0].ID].attempts[0].sent+tc.took <= now {
				s := open[0]
				open = append(open[1:], sends(settle(b, now, s.ID, s, Success))...)
			}
		}
		if grew := b.window > start; grew != tc.grow && tc.grow || b.window < windowFloor*b.fairServers() {
			t.Errorf("answers after %v: window %.1f from %.1f", tc.took, b.window, start)
		}
		if !tc.grow && b.window > windowFloor*b.fairServers()+1 {
			t.Errorf("late answers left the window at %.1f", b.window)
		}
	}
}

// Overload is judged against the lowest mean latency: an answer at half the aim is normal if it always took that
// long, and a sign of overload if it took an eighth before.
func TestWindowJudgesLatencyByQuietTimes(t *testing.T) {
	window := func(before, after time.Duration) float64 {
		b := newBalancer(t, nil)
		b.Handle(msec, ServerList{Full: true, Servers: servers(4)})
		b.window = 40
		r := &request{class: b.classes["get"], attempts: []*attempt{{}}}
		for i := range 400 {
			b.now, b.inFlight = before, 40
			if i >= 300 {
				b.now = after
			}
			if b.adjustWindow(r, Outcome{Ending: Success}); i == 300 {
				b.window = 40
			}
		}
		return b.window
	}
	if slow, crowded := window(250*msec, 250*msec), window(60*msec, 250*msec); slow <= 40 || crowded >= 40 {
		t.Errorf("window from 40: slow work %.1f, want growth; crowded %.1f, want shrinking", slow, crowded)
	}
}

// A thousand copies with one call each are an overload: with many more copies than servers, a copy has less than one
// call in flight on average, though two may be sent at once after a pause. A call that timed out counts as well,
// because the server may still work on it.
func TestManyCopiesKeepUnderOneCallEach(t *testing.T) {
	for _, end := range []Ending{Success, TimedOut} {
		b := newBalancer(t, func(s *Settings) { s.Balancers, s.MaxAttempts = 100, 1 })
		b.Handle(0, ServerList{Full: true, Servers: servers(10)})
		const took, gap, n = 300 * msec, 25 * msec, 1200
		type call struct {
			Send
			at time.Duration
		}
		var open []call
		var out time.Duration // time that calls were out
		most := 0
		for i := range n {
			now := time.Duration(i) * gap
			for len(open) > 0 && open[0].at+took <= now {
				s := open[0]
				open = open[1:]
				for _, s := range sends(settle(b, now, s.ID, s.Send, end)) {
					open = append(open, call{s, now})
				}
			}
			for _, s := range sends(b.Handle(now, Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second})) {
				open = append(open, call{s, now})
			}
			out += time.Duration(len(open)) * gap
			most = max(most, len(open))
		}
		mean := float64(out) / float64(n*gap)
		if limit := windowFloor * b.fairServers(); mean > 0.9 || mean < 0.25*limit || most < 2 {
			t.Errorf("ending %d: %.2f calls out on the average, %d at most, window floor %.2f", end, mean, most, limit)
		}
	}
}

// Calls sent under a large window leave no pacing debt when the fleet shrinks and the window with it: in incident
// i587823 the copies rejected nearly all requests for five seconds.
func TestNothingIsOwedFromAWideWindow(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.MaxAttempts = 1 })
	b.Handle(0, ServerList{Full: true, Servers: servers(1)})
	for i := range 400 {
		now := time.Duration(i) * 5 * msec
		b.window = 3
		for _, s := range sends(b.Handle(now, Request{ID: fmt.Sprint(i), Class: "get", Deadline: now + time.Second})) {
			settle(b, now+msec, s.ID, s, Failure) // quicker than the mean that a send owes
		}
	}
	b.window = 1
	now := b.now + 100*msec
	if len(sends(b.Handle(now, Request{ID: "next", Class: "get", Deadline: now + time.Second}))) != 1 {
		t.Errorf("a copy at rest holds a request until %v", b.pausedUntil()-now)
	}
}

func TestSettingsErrorsNameTheField(t *testing.T) {
	for want, change := range map[string]func(*Settings){
		"Classes":              func(s *Settings) { s.Classes = nil },
		"Classes[0].Name":      func(s *Settings) { s.Classes[0].Name = "" },
		"Classes[2].Aim":       func(s *Settings) { s.Classes[2].Aim = 0 },
		"Classes[1].Deadline":  func(s *Settings) { s.Classes[1].Deadline = -1 },
		"Classes[1].Window":    func(s *Settings) { s.Classes[1].Window = -1 },
		"Classes[0].Worth":     func(s *Settings) { s.Classes[0].Worth = math.NaN() },
		"Classes[0].LateShare": func(s *Settings) { s.Classes[0].LateShare = 2 },
		"ColdFrom":             func(s *Settings) { s.ColdFrom = 1.5 },
		"WarmAfter":            func(s *Settings) { s.WarmAfter = -1 },
		"Index":                func(s *Settings) { s.Index = -1 },
		"FallMultiple":         func(s *Settings) { s.FallMultiple = math.NaN() },
	} {
		want := "setting " + want + " is"
		s := testSettings()
		change(&s)
		if _, err := New(s, 1); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v, want %q", err, want)
		}
	}
}

// Most of the aim of a marked client retry has passed: while there is little room, first tries go first.
func TestFirstTriesGoBeforeRepeats(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, ServerList{Full: true, Servers: servers(1)})
	b.window = 1
	first := sends(b.Handle(0, Request{ID: "a", Class: "get", Deadline: time.Second}))
	b.Handle(msec, Request{ID: "new", Class: "get", Deadline: time.Second})
	b.Handle(2*msec, Request{ID: "repeat", Class: "get", Deadline: time.Second, ClientRetry: true})
	b.classes["get"].LateShare = 0.5
	b.inFlight = int(windowFloor*b.fairServers()) + 2
	b.window = float64(b.inFlight) // one comes free by the next answer
	next := sends(settle(b, 10*msec, "a", first[0], Success))
	if len(next) == 0 || next[0].ID != "new" {
		t.Errorf("after an answer %v was sent", next)
	}
}

// An unmarked client retry is recognized by a shorter deadline than other tries have.
func TestShortDeadlineTellsARepeat(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(0, Request{ID: "first", Class: "get", Deadline: 1500 * msec})
	b.Handle(5*time.Second, Request{ID: "again", Class: "get", Deadline: 5*time.Second + 900*msec})
	if r := b.requests["first"]; r == nil || r.clientRetry || r.arrived != 0 {
		t.Errorf("a first try was taken for a repeat: %+v", r)
	}
	// The retry's aim of 500 ms ended 100 ms before it arrived: without a server it is still queued.
	r := b.requests["again"]
	if r == nil || !r.clientRetry || r.arrived != 5*time.Second-600*msec {
		t.Errorf("the repeat was not seen: %+v", r)
	}
}

// In overload every server is needed: the more is shed, the fewer may be excluded for their health.
func TestSheddingLeavesMoreServersIn(t *testing.T) {
	for _, c := range []struct {
		shed float64
		want int
	}{{0, 4}, {0.5, 2}, {0.9, 0}} {
		b := newBalancer(t, nil)
		b.Handle(msec, ServerList{Full: true, Servers: servers(20)})
		for _, s := range b.ready[:10] {
			s.ejectedUntil = time.Minute
		}
		b.shedShare = c.shed
		out := len(b.excluded(&request{class: b.classes["get"]}))
		if out != c.want {
			t.Errorf("shed %.1f: %d ruled out, want %d", c.shed, out, c.want)
		}
	}
}

// Servers whose connections other copies use up refuse quickly: a server that refused gets no more own calls than it
// had, however many others refuse, too, and is probed again later.
func TestRefusingServerKeepsOnlyWhatItHad(t *testing.T) {
	b := newBalancer(t, func(s *Settings) { s.Tier = 1 })
	b.Handle(msec, ServerList{Full: true, Servers: servers(10)})
	now, id := msec, 0
	full := map[string]bool{"s00": true, "s02": true, "s03": true, "s05": true, "s06": true, "s08": true}
	refused := func(n int) (count int) {
		for range n {
			now += 5 * msec
			id++
			todo := sends(b.Handle(now, Request{ID: fmt.Sprint(id), Class: "get", Deadline: now + time.Second}))
			for try := 0; len(todo) > 0; try++ {
				end := Success
				if full[todo[0].Server] {
					end = Unreachable
					count++
				}
				now += 2 * msec
				todo = sends(b.Handle(now, Outcome{
					ID: fmt.Sprint(id), Attempt: try, Server: todo[0].Server,
					Ending: end, Ended: end == Success,
				}))
			}
		}
		return count
	}
	first := refused(20)
	if first < 5 {
		t.Fatalf("only %d refusals, want the full servers found", first)
	}
	if got := refused(20); got > first/2 {
		t.Errorf("%d refusals after %d: full servers are still drawn", got, first)
	}
	now += time.Minute
	if refused(20) == 0 {
		t.Error("full servers were never tried again")
	}
}

// Servers that are far slower than others are overloaded, so the window gets smaller while much is shed. Equal
// servers are merely busy, and a smaller window would leave them partly idle.
func TestWindowIsLeanerWhenServersDiffer(t *testing.T) {
	window := func(spread float64) float64 {
		b := newBalancer(t, nil)
		b.Handle(msec, ServerList{Full: true, Servers: servers(10)})
		b.window, b.targetUse = 100, 0.4
		r := &request{class: b.classes["get"], attempts: []*attempt{{sent: 0}}}
		for i := range 50 {
			b.shedShare = 0.8
			for k, s := range b.ready {
				s.samples, s.slowness = 5, spread*float64(k%2)
			}
			b.now, b.inFlight = 200*msec, int(b.window)
			if b.adjustWindow(r, Outcome{Ending: Success}); b.targetUse < 0.39 {
				t.Fatalf("fill fell to %.2f at answer %d", b.targetUse, i)
			}
		}
		return b.window
	}
	if alike, apart := window(0), window(1); alike <= 100 || apart >= 100 {
		t.Errorf("window from 100: alike %.1f, want growth; apart %.1f, want shrinking", alike, apart)
	}
}

// A rejected client gets a short RetryAfter: after a long one most of its aim would have passed.
func TestRefusalsBringClientsBackSoon(t *testing.T) {
	b := newBalancer(t, nil)
	b.Handle(msec, ServerList{Full: true, Servers: servers(2)})
	b.window, b.inFlight = 1, minWindow
	r := Request{ID: "a", Class: "get", Deadline: time.Second}
	b.Handle(2*msec, r)
	for _, a := range b.Handle(600*msec, Timer{Token: "r:a"}) {
		if f, ok := a.(Reject); ok {
			if limit := b.settings.Classes[0].Aim / 10; f.RetryAfter > limit {
				t.Errorf("RetryAfter %v, want at most %v", f.RetryAfter, limit)
			}
			return
		}
	}
	t.Error("not refused")
}
