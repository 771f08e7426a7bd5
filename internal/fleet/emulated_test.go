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
	"cranegrade/internal/fleet/outlier"
)

// emulatedFleet creates the modules of an emulated fleet, and delivers each node's digests to the others after a delay.
type emulatedFleet struct {
	world       *emulator.World
	pools       []*Pool // by node
	names       []string
	digestBytes int
	// falseDigest returns the digests that node 0 sends every falseDigestInterval instead of its own; nil: node 0 behaves like the others.
	falseDigest    func(seq uint32) outlier.Digest
	falseDigestSeq uint32
	poolID         uint32
	latency        time.Duration // between sending and receiving a digest
}

// newEmulatedFleet returns a fleet in which all nodes are established and have a valid share.
func newEmulatedFleet(nodes int) *emulatedFleet {
	f := &emulatedFleet{poolID: membership.PoolID("app"), latency: 50 * time.Millisecond}
	for i := range nodes {
		f.names = append(f.names, fmt.Sprintf("n%03d", i))
	}
	for i := range nodes {
		p := newPool("app")
		p.role.Store(&Role{
			Position: membership.Position{Order: f.names, Index: i, Seen: nodes, Established: nodes},
			Share:    membership.Share{Divisor: nodes, Until: math.MaxInt64}, Divisor: nodes,
		})
		p.broadcast = func(digest outlier.Digest, _ []string) { f.broadcast(i, digest) }
		f.pools = append(f.pools, p)
	}
	return f
}

// broadcast delivers a node's digest to all other nodes after the latency.
func (f *emulatedFleet) broadcast(from int, digest outlier.Digest) {
	if f.falseDigest != nil && from == 0 {
		return
	}
	encoded := digest.Encode()
	decoded, err := outlier.Decode(encoded)
	if err != nil {
		panic(err)
	}
	f.digestBytes += len(encoded)
	f.world.After(f.latency, func() {
		for i, p := range f.pools {
			if i != from {
				p.deliver(peerDigest{f.names[from], uint64(from), decoded})
			}
		}
	})
}

// falseDigestInterval is the time between two false digests.
const falseDigestInterval = 250 * time.Millisecond

// sendFalseDigests sends a false digest of node 0 now, and one every falseDigestInterval until the arrivals end.
func (f *emulatedFleet) sendFalseDigests() {
	if f.world.ArrivalsEnded() {
		return
	}
	f.falseDigestSeq++
	digest := f.falseDigest(f.falseDigestSeq)
	digest.Pool, digest.Seq = f.poolID, f.falseDigestSeq
	decoded, err := outlier.Decode(digest.Encode())
	if err != nil {
		panic(err)
	}
	for _, p := range f.pools[1:] {
		p.deliver(peerDigest{f.names[0], 0, decoded})
	}
	f.world.After(falseDigestInterval, f.sendFalseDigests)
}

// decider returns the constructor of the nodes' modules for the emulator.
func (f *emulatedFleet) decider(seed uint64) func(int, int, balancer.Settings) emulator.DecisionModule {
	return func(tier, index int, settings balancer.Settings) emulator.DecisionModule {
		policy, err := balancer.New(settings, seed+uint64(index)*7919)
		if err != nil || tier > 0 {
			panic(fmt.Sprint(err, tier))
		}
		clock := func() time.Duration { return f.world.Now() + time.Hour }
		m := NewModule(policy, f.pools[index], f.names[index], settings, clock)
		m.maxInlinePairs = math.MaxInt // on another goroutine the result would depend on real time
		return m
	}
}

// emulation describes a run of a fleet in front of servers, some of which fail.
type emulation struct {
	nodes, servers   int
	failing          []int // servers that fail every request from failuresBegin on
	seed             uint64
	exchangesDigests bool // the nodes exchange digests
	falseDigest      func(seq uint32) outlier.Digest
}

// requestsPerServer is the rate of requests per second, divided by the number of servers.
const requestsPerServer = 6

// Times of an emulation.
const (
	failuresBegin   = 5 * time.Second
	emulationLength = 25 * time.Second
)

// emulationResult contains the measurements of a run: those of load cover the whole run, the others start at failuresBegin.
type emulationResult struct {
	failedAttempts   float64 // at failing servers
	servedFraction   float64 // requests that were served in time
	minLoad, maxLoad float64 // of the other servers, relative to the mean
	digestBytes      int
}

// run runs the emulation. Violations of the emulator's rules are test errors.
func (e emulation) run(t testing.TB) emulationResult {
	f := newEmulatedFleet(e.nodes)
	f.falseDigest = e.falseDigest
	config := e.config()
	if e.exchangesDigests {
		config.NewModule = f.decider(e.seed)
	}
	config.Setup = func(w *emulator.World) {
		f.world = w
		if f.falseDigest != nil {
			f.sendFalseDigests()
		}
	}
	w, err := emulator.Run(config)
	if err != nil {
		t.Fatal(err)
	}
	if len(w.Violations) > 0 {
		t.Errorf("%d violations of the emulator's rules, the first: %s", len(w.Violations), w.Violations[0])
	}
	result := e.measure(w)
	result.digestBytes = f.digestBytes
	return result
}

// config returns the emulator's configuration of the run, without the modules.
func (e emulation) config() emulator.Config {
	class := balancer.Class{
		Name: "read", Effect: balancer.Idempotent, Aim: 500 * time.Millisecond, Deadline: 2 * time.Second, LateShare: 0.5, Worth: 1,
	}
	settings := balancer.Settings{
		Classes: []balancer.Class{class}, WholeWeight: 0.6, ClassWeight: 0.3, MaxAttempts: 3, MayCancel: true, Tick: time.Millisecond,
		MaxRetryAfter: time.Second, ColdFrom: 0.3, WarmAfter: 4 * time.Second, FallMultiple: 4, FallFor: 1500 * time.Millisecond,
	}
	rate := requestsPerServer * float64(e.servers)
	return emulator.Config{
		Seed: e.seed, Nodes: e.nodes, NetworkDelay: 300 * time.Microsecond, Duration: emulationLength,
		Rate: func(time.Duration) float64 { return rate }, MaxRate: rate,
		Classes: []emulator.Class{{
			Class: class, Share: 1, Work: []time.Duration{40 * time.Millisecond}, Distribution: emulator.Distribution{Kind: emulator.Lognormal, CV: 0.5},
		}},
		Tiers: []emulator.Tier{{Servers: e.servers, Concurrency: 4, QueueLimit: 50, Settings: settings}},
		Changes: []emulator.Change{{At: failuresBegin, Do: func(w *emulator.World) {
			for _, i := range e.failing {
				w.Servers(0)[i].ErrorShare = 1
			}
		}}},
	}
}

// measure returns the measurements of a finished run, without digestBytes.
func (e emulation) measure(w *emulator.World) emulationResult {
	result := emulationResult{servedFraction: w.Goodput(failuresBegin, emulationLength), minLoad: math.Inf(1)}
	received := 0
	for _, s := range w.Servers(0)[:e.servers] {
		received += s.Received
	}
	mean := float64(received) / float64(e.servers)
	for i, s := range w.Servers(0)[:e.servers] {
		if slices.Contains(e.failing, i) {
			result.failedAttempts += float64(s.ErrorResponses)
			continue
		}
		load := float64(s.Received) / mean
		result.minLoad, result.maxLoad = min(result.minLoad, load), max(result.maxLoad, load)
	}
	return result
}

// emulatedServer returns the emulator's name of a server.
func emulatedServer(i int) string { return fmt.Sprintf("t0-%04d", i) }

// meanResult returns the mean result of an emulation over several seeds, each with a different failing server.
func meanResult(t *testing.T, e emulation, seeds int) (mean emulationResult) {
	n := float64(seeds)
	for seed := range seeds {
		e.seed, e.failing = uint64(seed), []int{seed}
		result := e.run(t)
		mean.failedAttempts += result.failedAttempts / n
		mean.servedFraction += result.servedFraction / n
		mean.digestBytes += result.digestBytes / seeds
		mean.minLoad += result.minLoad / n
		mean.maxLoad += result.maxLoad / n
	}
	return mean
}

// logComparison logs the results without and with the exchange of digests.
func logComparison(t *testing.T, e emulation, without, with emulationResult) {
	t.Logf("%d nodes, %d servers: %.0f failed attempts in 20 s without reports, %.0f with; served %.3f and %.3f; "+
		"load %.2f to %.2f and %.2f to %.2f of the mean; %d bytes of digests", e.nodes, e.servers, without.failedAttempts, with.failedAttempts,
		without.servedFraction, with.servedFraction, without.minLoad, without.maxLoad, with.minLoad, with.maxLoad, with.digestBytes)
}

// TestReportsReduceFailedAttempts compares the failed attempts at a server that fails every request, without and with reports of other
// members, in fleets of several sizes.
func TestReportsReduceFailedAttempts(t *testing.T) {
	for _, size := range [][2]int{{5, 20}, {50, 60}, {100, 100}} {
		t.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(t *testing.T) {
			t.Parallel()
			const seeds = 3
			e := emulation{nodes: size[0], servers: size[1]}
			without := meanResult(t, e, seeds)
			e.exchangesDigests = true
			with := meanResult(t, e, seeds)
			logComparison(t, e, without, with)
			if e.nodes >= 50 && with.failedAttempts > 0.6*without.failedAttempts || with.servedFraction < without.servedFraction-0.02 {
				t.Errorf("%+v without reports, %+v with", without, with)
			}
		})
	}
}

// TestReportsInLargeFleet makes the same comparison with every eighth server failing. In a large fleet, each member observes only a few
// requests to a server.
func TestReportsInLargeFleet(t *testing.T) {
	if testing.Short() || raceEnabled {
		t.Skip("the emulation of 300 nodes takes half a minute")
	}
	for _, size := range [][2]int{{50, 60}, {300, 300}} {
		t.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(t *testing.T) {
			e := emulation{nodes: size[0], servers: size[1], seed: 1}
			for i := 0; i < e.servers; i += 8 {
				e.failing = append(e.failing, i)
			}
			without := e.run(t)
			e.exchangesDigests = true
			with := e.run(t)
			logComparison(t, e, without, with)
			if with.failedAttempts > without.failedAttempts || with.servedFraction < without.servedFraction-0.02 {
				t.Errorf("%+v without reports, %+v with", without, with)
			}
		})
	}
}

// TestFalseReportsHaveBoundedEffect checks that false reports by one member hardly reduce the requests that are served, and that every
// healthy server still gets load.
func TestFalseReportsHaveBoundedEffect(t *testing.T) {
	const nodes, servers = 10, 20
	honest := emulation{nodes: nodes, servers: servers, seed: 1, exchangesDigests: true}.run(t)
	rng := rand.New(rand.NewPCG(1, 1))
	failing := func(i int) outlier.Observation {
		return outlier.Observation{Server: outlier.ServerID(emulatedServer(i)), Failures: 255, ConsecutiveFailures: 255}
	}
	for name, falseDigest := range map[string]func(uint32) outlier.Digest{
		"all servers fail": func(uint32) (digest outlier.Digest) {
			digest.SubsetSize = servers
			for i := range servers {
				digest.Observations = append(digest.Observations, failing(i))
			}
			return digest
		},
		"one server fails": func(uint32) outlier.Digest {
			return outlier.Digest{SubsetSize: 60000, Observations: []outlier.Observation{failing(3)}}
		},
		"a few servers fail, others each time": func(uint32) (digest outlier.Digest) {
			digest.SubsetSize = 60000
			for range 4 {
				digest.Observations = append(digest.Observations, failing(rng.IntN(servers)))
			}
			return digest
		},
	} {
		t.Run(name, func(t *testing.T) {
			result := emulation{nodes: nodes, servers: servers, seed: 1, exchangesDigests: true, falseDigest: falseDigest}.run(t)
			t.Logf("served %.3f, load %.2f to %.2f of the mean; without false reports %.3f, %.2f to %.2f", result.servedFraction, result.minLoad,
				result.maxLoad, honest.servedFraction, honest.minLoad, honest.maxLoad)
			if result.servedFraction < honest.servedFraction-0.02 || result.minLoad < 0.6*honest.minLoad {
				t.Errorf("%+v, without false reports %+v", result, honest)
			}
		})
	}
}
