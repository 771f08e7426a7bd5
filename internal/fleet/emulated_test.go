package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/emulator"
	"cranegrade/internal/fleet/membership"
	"cranegrade/internal/fleet/signal"
)

// together makes deciders for the nodes of an emulated fleet that tell each other what they see, after a delay.
type together struct {
	w       *emulator.World
	gates   []*Gate
	names   []string
	bytes   int
	speaker func(seq uint32) signal.Digest // of node 0, which speaks all the time; nil: it is as the others
	seq     uint32
}

// speakNow has node 0 say what it likes, four times a second.
func (f *together) speakNow() {
	if f.w.Ended() {
		return
	}
	f.seq++
	d := f.speaker(f.seq)
	d.Pool, d.Seq = membership.PoolID("app"), f.seq
	x, _ := signal.Decode(d.Encode())
	for _, other := range f.gates[1:] {
		other.deliver(peerDigest{f.names[0], 0, x})
	}
	f.w.After(250*time.Millisecond, f.speakNow)
}

func newTogether(n int) *together {
	f := &together{}
	for i := range n {
		f.names = append(f.names, fmt.Sprintf("n%03d", i))
	}
	pool := membership.PoolID("app")
	for i := range n {
		g := &Gate{pool: pool}
		g.hearsay.Store(&Hearsay{})
		g.role.Store(&Role{Place: membership.Place{Order: f.names, Index: i, Seen: n, Agreed: n}, Share: membership.Share{Divisor: n, Until: math.MaxInt64}, Divisor: n})
		g.broadcast = func(d signal.Digest, _ []string) {
			if f.speaker != nil && i == 0 {
				return
			}
			x, err := signal.Decode(d.Encode())
			if err != nil {
				panic(err)
			}
			f.bytes += len(d.Encode())
			f.w.After(50*time.Millisecond, func() {
				for j, other := range f.gates {
					if j != i {
						other.deliver(peerDigest{f.names[i], uint64(i), x})
					}
				}
			})
		}
		f.gates = append(f.gates, g)
	}
	return f
}

// decider is of one node of the first tier.
func (f *together) decider(seed uint64) func(int, int, balancer.Settings) emulator.Decider {
	return func(tier, index int, set balancer.Settings) emulator.Decider {
		b, err := balancer.New(set, seed+uint64(index)*7919)
		if err != nil || tier > 0 {
			panic(fmt.Sprint(err, tier))
		}
		m := NewModule(b, f.gates[index], f.names[index], set, func() time.Duration { return f.w.Now() + time.Hour })
		m.maxInlinePairs = math.MaxInt // or the course would hang on the machine's own time
		return m
	}
}

type course struct {
	failed, served float64 // of attempts at sick servers that ended badly, and share of requests served in time
	least, most    float64 // requests of servers, of the mean
	told           int     // bytes
}

// play has n nodes before so many servers, some of which err from second 5 on.
func play(t testing.TB, n, servers int, sick []int, seed uint64, with bool, change func(*together)) course {
	f := newTogether(n)
	if change != nil {
		change(f)
	}
	class := balancer.Class{Name: "read", Effect: balancer.Idempotent, Aim: 500 * time.Millisecond, Deadline: 2 * time.Second, LateShare: 0.5, Worth: 1}
	set := balancer.Settings{
		Classes: []balancer.Class{class}, WholeWeight: 0.6, ClassWeight: 0.3, MaxAttempts: 3, MayCancel: true, Tick: time.Millisecond,
		MaxRetryAfter: time.Second, ColdFrom: 0.3, WarmAfter: 4 * time.Second, FallMultiple: 4, FallFor: 1500 * time.Millisecond,
	}
	rate := 6 * float64(servers)
	p := emulator.Plan{
		Seed: seed, Nodes: n, Wire: 300 * time.Microsecond, Length: 25 * time.Second, Rate: func(time.Duration) float64 { return rate }, Most: rate,
		Classes: []emulator.Class{{Class: class, Share: 1, Work: []time.Duration{40 * time.Millisecond}, Dist: emulator.Dist{Kind: "lognormal", CV: 0.5}}},
		Tiers:   []emulator.Tier{{Servers: servers, Slots: 4, Queue: 50, Settings: set}},
	}
	if with {
		p.Decider = f.decider(seed)
	}
	p.At = []emulator.Change{{At: 5 * time.Second, Do: func(w *emulator.World) {
		for _, i := range sick {
			w.Servers(0)[i].Errors = 1
		}
	}}}
	p.Begin = func(w *emulator.World) {
		f.w = w
		if f.speaker != nil {
			f.speakNow()
		}
	}
	w, err := emulator.Play(p)
	if err != nil {
		t.Fatal(err)
	}
	if len(w.Broken) > 0 {
		t.Errorf("%d rules broken, at first: %s", len(w.Broken), w.Broken[0])
	}
	c := course{served: w.Goodput(5*time.Second, 25*time.Second), told: f.bytes, least: math.Inf(1)}
	total := 0
	for i := range servers {
		total += w.Servers(0)[i].Arrived
	}
	for i := range servers {
		s := w.Servers(0)[i]
		if slices.Contains(sick, i) {
			c.failed += float64(s.Erred)
			continue
		}
		x := float64(s.Arrived) / (float64(total) / float64(servers))
		c.least, c.most = min(c.least, x), max(c.most, x)
	}
	return c
}

func serverName(i int) string { return fmt.Sprintf("t0-%04d", i) }

// TestSickServer counts what a fleet pays for a server that fails every call, by size, with the others' words and without.
func TestSickServer(t *testing.T) {
	for _, size := range [][2]int{{5, 20}, {50, 60}, {100, 100}} {
		var before, after course
		const seeds = 3
		for seed := range uint64(seeds) {
			for _, x := range []struct {
				with bool
				sum  *course
			}{{false, &before}, {true, &after}} {
				c := play(t, size[0], size[1], []int{int(seed)}, seed, x.with, nil)
				x.sum.failed += c.failed / seeds
				x.sum.served += c.served / seeds
				x.sum.told += c.told / seeds
				x.sum.least += c.least / seeds
				x.sum.most += c.most / seeds
			}
		}
		t.Logf("%d nodes, %d servers: %.0f failed calls in 20 s without others' words, %.0f with; served %.3f and %.3f; least and most of the mean %.2f to %.2f and %.2f to %.2f; %d bytes told",
			size[0], size[1], before.failed, after.failed, before.served, after.served, before.least, before.most, after.least, after.most, after.told)
		if size[0] >= 50 && after.failed > 0.6*before.failed || after.served < before.served-0.02 {
			t.Errorf("%+v without, %+v with", before, after)
		}
	}
}

// TestLarge is 300 nodes before 300 servers, of which one in eight fails from second 5 on, with thin traffic.
func TestLarge(t *testing.T) {
	if testing.Short() || raceEnabled {
		t.Skip("a fleet of 300 takes half a minute")
	}
	var sick []int
	for i := 0; i < 300; i += 8 {
		sick = append(sick, i)
	}
	for _, size := range [][2]int{{50, 60}, {300, 300}} {
		var bad []int
		for _, i := range sick {
			if i < size[1] {
				bad = append(bad, i)
			}
		}
		before, after := play(t, size[0], size[1], bad, 1, false, nil), play(t, size[0], size[1], bad, 1, true, nil)
		t.Logf("%d nodes, %d servers, %d of them failing: %.0f failed calls in 20 s without others' words, %.0f with; served %.3f and %.3f; least and most of the others' mean %.2f to %.2f and %.2f to %.2f; %d bytes told",
			size[0], size[1], len(bad), before.failed, after.failed, before.served, after.served, before.least, before.most, after.least, after.most, after.told)
		if after.failed > before.failed || after.served < before.served-0.02 {
			t.Errorf("%+v without, %+v with", before, after)
		}
	}
}

// TestLiars: whatever one member tells, hardly less is served, and no healthy server is kept out.
func TestLiars(t *testing.T) {
	const n, servers = 10, 20
	honest := play(t, n, servers, nil, 1, true, nil)
	rng := rand.New(rand.NewPCG(1, 1))
	out := func(i int) signal.Fact { return signal.Fact{Server: signal.ID(serverName(i)), Bad: 255, Streak: 255} }
	for name, speaker := range map[string]func(uint32) signal.Digest{
		"all are out": func(uint32) (d signal.Digest) {
			for i := range servers {
				d.Facts = append(d.Facts, out(i))
			}
			d.Draws = servers
			return d
		},
		"one is out": func(uint32) signal.Digest { return signal.Digest{Draws: 60000, Facts: []signal.Fact{out(3)}} },
		"a few are out, others each time": func(uint32) signal.Digest {
			return signal.Digest{Draws: 60000, Facts: []signal.Fact{out(rng.IntN(servers)), out(rng.IntN(servers)), out(rng.IntN(servers)), out(rng.IntN(servers))}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := play(t, n, servers, nil, 1, true, func(f *together) { f.speaker = speaker })
			t.Logf("served %.3f, least and most %.2f to %.2f; with nobody lying %.3f, %.2f to %.2f", c.served, c.least, c.most, honest.served, honest.least, honest.most)
			if c.served < honest.served-0.02 || c.least < 0.6*honest.least {
				t.Errorf("%+v, with nobody lying %+v", c, honest)
			}
		})
	}
}
