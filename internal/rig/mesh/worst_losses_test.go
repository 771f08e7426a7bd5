package mesh

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hollyspur/internal/rig"
)

// lossRun is a mesh whose registers are lost one after the other, each within what it is to bear.
type lossRun struct {
	m     *Mesh
	relay *rig.Relay
	seen  *observer
	ana   *Operator
	n     int
	keyed map[string]string // the answer to each key
}

func newLossRun(t *testing.T) *lossRun {
	t.Helper()
	m, relay := startRelayed(t, 3, 1, "stock", "orders")
	r := &lossRun{m: m, relay: relay, seen: newObserver(), ana: m.Operator(0), n: 1, keyed: map[string]string{}}
	r.seen.begins()
	return r
}

// keep has an order acknowledged and a key answered, which are to survive.
func (r *lossRun) keep(t *testing.T, at ...*Machine) {
	t.Helper()
	r.n++
	key := fmt.Sprint("kept-", r.n)
	r.keyed[key] = r.m.Lines[0].served(t, "POST", "/send/x", key).Body
	r.seen.acknowledged(t, r.ana, orderOf(key, "kept", r.n, fmt.Sprintf("/kept-%d/", r.n)), at...)
}

// survives checks that the registers named come back without help: each shows all that was acknowledged, orders go on, and
// keys are answered as they were, without a second run.
func (r *lossRun) survives(t *testing.T, at ...*Machine) {
	t.Helper()
	for _, x := range at {
		r.seen.fetched(t, r.ana, x)
	}
	r.keep(t, at...)
	for key, body := range r.keyed {
		assert.Equal(t, r.m.Lines[1].served(t, "POST", "/send/x", key).Body, body)
	}
	r.seen.check(t)
	r.m.clean(t)
}

// whole waits until so many members are agreed on, which are the registers named with the disks that they have now, and until each has
// all that the leader has.
func (r *lossRun) whole(t *testing.T, of ...*Machine) {
	t.Helper()
	assert.Assert(t, rig.Await(patience, func() bool {
		lead := r.m.leader(t, of...).status()
		if lead == nil || len(lead.Members) != len(of) {
			return false
		}
		ids := map[uint64]bool{}
		for _, m := range lead.Members {
			ids[m.Id] = true
		}
		for _, x := range of {
			if s := x.status(); s == nil || !ids[s.Id] || s.Outside || s.Applied < lead.Applied {
				return false
			}
		}
		return true
	}), "the members are not whole")
}

// wipe has a register lose its disk at once and start again.
func (x *Machine) wipe(t *testing.T) {
	t.Helper()
	x.Kill()
	assert.NilError(t, x.Wipe())
	assert.NilError(t, x.Start())
}

// wipeAfter is the time from the SIGTERM of one register to the loss of another's disk.
const wipeAfter = 50 * time.Millisecond

// term tells a register to end, and gives what waits for that.
func (x *Machine) term(t *testing.T) (ended func()) {
	t.Helper()
	p := x.Process
	assert.NilError(t, p.Cmd.Process.Signal(syscall.SIGTERM))
	return func() {
		p.Stop()
		x.Process = nil
	}
}

// A register is told to end, and starts again with its disk; 50 ms after it was told so another loses its disk.
func TestRestartThenWipe(t *testing.T) {
	r := newLossRun(t)
	restarts := r.m.leader(t)
	stays := r.m.but(restarts)
	r.keep(t, restarts)
	ended := restarts.term(t)
	time.Sleep(wipeAfter) // this is the fault, not a wait
	stays[0].wipe(t)
	ended()
	assert.NilError(t, restarts.Start())
	r.survives(t, r.m.Registers...)
}

// One register loses its disk, then another is replaced for good by one at a new address, then the third loses its disk, each once the one
// before is a member again: nothing that stands was ever on the disks that are left but by what the others told.
func TestWipesRoundReplacement(t *testing.T) {
	r := newLossRun(t)
	a, b, c := r.m.Registers[0], r.m.Registers[1], r.m.Registers[2]
	r.keep(t, a)
	a.wipe(t)
	r.whole(t, a, b, c)
	r.keep(t, b)
	b.Kill()
	added, err := r.m.AddRegister(false)
	assert.NilError(t, err)
	r.whole(t, a, c, added)
	r.keep(t, c)
	c.wipe(t)
	r.whole(t, a, c, added)
	r.survives(t, a, c, added)
}

// The leader is killed while a replacement of another register catches up over a slow link, and comes back with its disk.
func TestLeaderKilledInReplacement(t *testing.T) {
	r := newLossRun(t)
	lead := r.m.leader(t)
	stays, gone := r.m.but(lead)[0], r.m.but(lead)[1]
	r.m.fill(t, r.ana, lead, 300)
	r.keep(t, lead)
	gone.Kill()
	added := fmt.Sprintf("%s.%d", r.m.net, 10+len(r.m.Registers)) // where the next one will be
	for _, x := range []*Machine{lead, stays} {
		r.relay.Set(rig.Link{Rate: 20 << 10}, rig.Way{From: x.IP, To: added})
	}
	fresh, err := r.m.AddRegister(false)
	assert.NilError(t, err)
	assert.Equal(t, fresh.IP, added)
	assert.Assert(t, rig.Await(patience, func() bool { return r.relay.Held(lead.Way(fresh)) > 0 && r.relay.Passed(lead.Way(fresh)) > 16<<10 }),
		"the replacement is told nothing")
	lead.Kill()
	for n := range 20 { // the other one and the replacement are asked meanwhile
		r.seen.fetch(r.ana, []*Machine{stays, fresh}[n%2])
	}
	assert.NilError(t, lead.Start())
	r.relay.Heal()
	r.whole(t, lead, stays, fresh)
	r.survives(t, lead, stays, fresh)
}
