package mesh

import (
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hollyspur/internal/mesh/history"
	"hollyspur/internal/rig"
)

// cutFor is how long a register stays cut off; WORST_CUT names a longer time.
func cutFor(t *testing.T) time.Duration {
	t.Helper()
	text := os.Getenv("WORST_CUT")
	if text == "" {
		return 2 * time.Second
	}
	d, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return d
}

// cutRun is a mesh under the calls of operators, one register of which is cut off again and again.
type cutRun struct {
	m       *Mesh
	relay   *rig.Relay
	seen    *observer
	ana     *Operator
	version int // of the order that is sent at the moment of a cut
}

// directions of a cut.
var directions = []struct {
	name string
	ways func(x *Machine, others ...*Machine) []rig.Way
}{
	{"both ways", apart},
	{"it is not heard", oneWay},
	{"it hears nobody", func(x *Machine, others ...*Machine) (l []rig.Way) {
		for _, w := range oneWay(x, others...) {
			l = append(l, w.Back())
		}
		return l
	}},
}

// A register is cut off from the others: the leader, a follower, and one that lost its disk and catches up. While it is, orders go on at the others;
// it confirms and refuses none, and shows no configuration; a line that is told of it first gets the whole one all the same.
// An order that was acknowledged at the moment of the cut, with its answer lost, is acknowledged again elsewhere.
func TestCutOff(t *testing.T) {
	m, relay := startRelayed(t, 3, 1, "stock", "orders")
	r := &cutRun{m: m, relay: relay, seen: newObserver(), ana: m.Operator(0), version: 1}
	r.seen.begins()
	stop := r.seen.watch(m.Registers...)
	for _, d := range directions {
		t.Run("leader, "+d.name, func(t *testing.T) {
			x := m.leader(t)
			r.cut(t, x, d.ways(x, m.but(x)...))
		})
		t.Run("follower, "+d.name, func(t *testing.T) {
			x := m.but(m.leader(t))[0]
			r.cut(t, x, d.ways(x, m.but(x)...))
		})
	}
	for _, d := range directions[:2] {
		t.Run("half in, "+d.name, func(t *testing.T) {
			x := m.but(m.leader(t))[1]
			r.wipeSlowly(t, x)
			r.cut(t, x, d.ways(x, m.but(x)...))
		})
	}
	stop()
	r.seen.check(t)
	m.clean(t)
}

// cut cuts x off on some ways while operators write and read everywhere, and heals them again.
func (r *cutRun) cut(t *testing.T, x *Machine, ways []rig.Way) {
	t.Helper()
	others := r.m.but(x)
	w := r.seen.write(r.m, 1, 3, r.m.Registers...)
	before := r.loseAnswer(t, x)
	r.relay.Set(rig.Link{Cut: true}, ways...)
	began := r.seen.now()
	r.relay.Set(rig.Link{}, r.ana.Way(x).Back())
	r.seen.acknowledged(t, r.ana, before, others...)
	r.startLine(t, x, others)
	for n := 0; n == 0 || r.seen.now() < began+cutFor(t); n++ { // orders go on
		r.seen.acknowledged(t, r.ana, r.next(), others...)
	}
	ended := r.seen.now()
	r.relay.Heal()
	w.end(t)
	for _, y := range r.m.Registers {
		r.seen.fetched(t, r.ana, y)
	}
	r.silent(t, x, began, ended)
	for _, y := range r.m.Lines {
		y.served(t, "GET", "/read/x", "")
		y.served(t, "POST", "/send/x", fmt.Sprint("key-", r.version))
	}
}

// next is another order of this run.
func (r *cutRun) next() order {
	r.version++
	return orderOf(fmt.Sprint("ana-", r.version), "ana", r.version, fmt.Sprintf("/ana-%d/", r.version))
}

// loseAnswer sends an order to x whose answer stays on its way. A register that is no member yet may give none.
func (r *cutRun) loseAnswer(t *testing.T, x *Machine) order {
	t.Helper()
	back := r.ana.Way(x).Back()
	r.relay.Set(rig.Link{Cut: true}, back)
	o, done := r.next(), make(chan history.Outcome, 1)
	go func() {
		outcome, _ := r.seen.send(r.ana, x, o)
		done <- outcome
	}()
	over := false
	assert.Assert(t, rig.Await(patience, func() bool {
		select {
		case outcome := <-done:
			assert.Equal(t, outcome, history.Unknown, "an answer has passed a cut")
			over = true
		default:
		}
		return over || r.relay.Held(back) > 0
	}))
	return o
}

// startLine starts a line anew that is told of x first. Once it is ready it has all that had been acknowledged before.
func (r *cutRun) startLine(t *testing.T, x *Machine, others []*Machine) {
	t.Helper()
	line := r.m.Lines[0]
	line.Kill()
	seeds := []string{x.At("ControlPlane")}
	for _, y := range others {
		seeds = append(seeds, y.At("ControlPlane"))
	}
	assert.NilError(t, line.Seeds(seeds...))
	o := r.next()
	r.seen.acknowledged(t, r.ana, o, others...)
	assert.NilError(t, line.Start())
	assert.Assert(t, r.m.Ready(patience), "the line that started is not ready")
	held := line.versions(t)[o.items[0].Name]
	assert.Assert(t, held >= o.items[0].Version, "the line is ready with version %d; %d had been acknowledged before it started", held, o.items[0].Version)
}

// silent checks that x answered nothing while it was cut off: it confirmed and refused no order, and showed no configuration.
func (r *cutRun) silent(t *testing.T, x *Machine, began, ended time.Duration) {
	t.Helper()
	inside := func(c history.Call, member string) bool {
		return member == x.Name && c.Begin > began && c.Return < ended && c.Outcome != history.Unknown
	}
	r.seen.mu.Lock()
	defer r.seen.mu.Unlock()
	for _, c := range r.seen.h.Changes {
		assert.Assert(t, !inside(c.Call, c.Member), "cut off, it answers an order: %+v", c)
	}
	for _, f := range r.seen.h.Fetches {
		assert.Assert(t, !inside(f.Call, f.Member), "cut off, it shows the configuration: %+v", f)
	}
}

// wipeSlowly has x lose its disk and start again behind links so slow that it is half in for a while.
func (r *cutRun) wipeSlowly(t *testing.T, x *Machine) {
	t.Helper()
	others := r.m.but(x)
	lead := r.m.leader(t, others...)
	r.m.fill(t, r.ana, lead, 300)
	r.relay.Set(rig.Link{Rate: 20 << 10}, append(oneWay(others[0], x), oneWay(others[1], x)...)...)
	x.Kill()
	assert.NilError(t, x.Wipe())
	assert.NilError(t, x.Start())
	assert.Assert(t, rig.Await(patience, func() bool {
		at, s := lead.status(), x.status()
		return at != nil && s != nil && s.Applied < at.Applied && r.relay.Held(lead.Way(x)) > 0
	}), "it is not seen to catch up")
}
