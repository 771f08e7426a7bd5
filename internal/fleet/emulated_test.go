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

// emulatedFleet makes the modules of an emulated fleet, whose nodes receive each other's digests after a delay.
type emulatedFleet struct {
	world       *emulator.World
	pools       []*Pool // by node
	names       []string
	digestBytes int
	// lie makes the digests of node 0, which then sends one every 250 ms; nil: it is like the others.
	lie     func(seq uint32) outlier.Digest
	lieSeq  uint32
	poolID  uint32
	latency time.Duration // of a digest
}

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

// broadcast has all other nodes receive a node's digest after the latency.
func (f *emulatedFleet) broadcast(from int, digest outlier.Digest) {
	if f.lie != nil && from == 0 {
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

// sendLies has node 0 send a lie now and every 250 ms.
func (f *emulatedFleet) sendLies() {
	if f.world.ArrivalsEnded() {
		return
	}
	f.lieSeq++
	digest := f.lie(f.lieSeq)
	digest.Pool, digest.Seq = f.poolID, f.lieSeq
	decoded, err := outlier.Decode(digest.Encode())
	if err != nil {
		panic(err)
	}
	for _, p := range f.pools[1:] {
		p.deliver(peerDigest{f.names[0], 0, decoded})
	}
	f.world.After(250*time.Millisecond, f.sendLies)
}

// decider returns a constructor of the nodes' modules.
func (f *emulatedFleet) decider(seed uint64) func(int, int, balancer.Settings) emulator.DecisionModule {
	return func(tier, index int, settings balancer.Settings) emulator.DecisionModule {
		policy, err := balancer.New(settings, seed+uint64(index)*7919)
		if err != nil || tier > 0 {
			panic(fmt.Sprint(err, tier))
		}
		clock := func() time.Duration { return f.world.Now() + time.Hour }
		m := NewModule(policy, f.pools[index], f.names[index], settings, clock)
		m.maxInlinePairs = math.MaxInt // on another goroutine the result would depend on the machine's own time
		return m
	}
}

// emulation is one run of a fleet in front of servers of which some fail.
type emulation struct {
	nodes, servers int
	failing        []int // servers that fail every request from failuresBegin on
	seed           uint64
	sharesReports  bool // the nodes exchange digests
	lie            func(seq uint32) outlier.Digest
}

const (
	failuresBegin   = 5 * time.Second
	emulationLength = 25 * time.Second
)

// emulationResult is what a run measured, from failuresBegin on; of load over all of it.
type emulationResult struct {
	failed      float64 // attempts at failing servers
	served      float64 // fraction of requests that were served in time
	least, most float64 // load of the other servers, as a multiple of the mean
	digestBytes int
}

func (e emulation) run(t testing.TB) emulationResult {
	f := newEmulatedFleet(e.nodes)
	f.lie = e.lie
	config := e.config()
	if e.sharesReports {
		config.NewModule = f.decider(e.seed)
	}
	config.Setup = func(w *emulator.World) {
		f.world = w
		if f.lie != nil {
			f.sendLies()
		}
	}
	w, err := emulator.Run(config)
	if err != nil {
		t.Fatal(err)
	}
	if len(w.Violations) > 0 {
		t.Errorf("%d rules broken, the first: %s", len(w.Violations), w.Violations[0])
	}
	result := e.measure(w)
	result.digestBytes = f.digestBytes
	return result
}

func (e emulation) config() emulator.Config {
	class := balancer.Class{
		Name: "read", Effect: balancer.Idempotent, Aim: 500 * time.Millisecond, Deadline: 2 * time.Second, LateShare: 0.5, Worth: 1,
	}
	settings := balancer.Settings{
		Classes: []balancer.Class{class}, WholeWeight: 0.6, ClassWeight: 0.3, MaxAttempts: 3, MayCancel: true, Tick: time.Millisecond,
		MaxRetryAfter: time.Second, ColdFrom: 0.3, WarmAfter: 4 * time.Second, FallMultiple: 4, FallFor: 1500 * time.Millisecond,
	}
	rate := 6 * float64(e.servers)
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

func (e emulation) measure(w *emulator.World) emulationResult {
	result := emulationResult{served: w.Goodput(failuresBegin, emulationLength), least: math.Inf(1)}
	arrived := 0
	for _, s := range w.Servers(0)[:e.servers] {
		arrived += s.Received
	}
	mean := float64(arrived) / float64(e.servers)
	for i, s := range w.Servers(0)[:e.servers] {
		if slices.Contains(e.failing, i) {
			result.failed += float64(s.ErrorResponses)
			continue
		}
		load := float64(s.Received) / mean
		result.least, result.most = min(result.least, load), max(result.most, load)
	}
	return result
}

// emulatedServer is the name that the emulator gives a server.
func emulatedServer(i int) string { return fmt.Sprintf("t0-%04d", i) }

// meanResult runs an emulation with several seeds, each with another failing server.
func meanResult(t *testing.T, e emulation, seeds int) (mean emulationResult) {
	n := float64(seeds)
	for seed := range seeds {
		e.seed, e.failing = uint64(seed), []int{seed}
		result := e.run(t)
		mean.failed += result.failed / n
		mean.served += result.served / n
		mean.digestBytes += result.digestBytes / seeds
		mean.least += result.least / n
		mean.most += result.most / n
	}
	return mean
}

// logComparison logs what sharing reports changes.
func logComparison(t *testing.T, e emulation, without, with emulationResult) {
	t.Logf("%d nodes, %d servers: %.0f failed attempts in 20 s without reports, %.0f with; served %.3f and %.3f; "+
		"load %.2f to %.2f and %.2f to %.2f of the mean; %d bytes of digests", e.nodes, e.servers, without.failed, with.failed,
		without.served, with.served, without.least, without.most, with.least, with.most, with.digestBytes)
}

// TestReportsReduceFailedAttempts compares what a server that fails every request costs fleets of several sizes, without others' reports
// and with them.
func TestReportsReduceFailedAttempts(t *testing.T) {
	for _, size := range [][2]int{{5, 20}, {50, 60}, {100, 100}} {
		t.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(t *testing.T) {
			t.Parallel()
			const seeds = 3
			e := emulation{nodes: size[0], servers: size[1]}
			without := meanResult(t, e, seeds)
			e.sharesReports = true
			with := meanResult(t, e, seeds)
			logComparison(t, e, without, with)
			if e.nodes >= 50 && with.failed > 0.6*without.failed || with.served < without.served-0.02 {
				t.Errorf("%+v without reports, %+v with", without, with)
			}
		})
	}
}

// TestReportsInLargeFleet compares the same with one in eight servers failing and thin traffic.
func TestReportsInLargeFleet(t *testing.T) {
	if testing.Short() || raceEnabled {
		t.Skip("a fleet of 300 takes half a minute")
	}
	for _, size := range [][2]int{{50, 60}, {300, 300}} {
		t.Run(fmt.Sprintf("%dx%d", size[0], size[1]), func(t *testing.T) {
			e := emulation{nodes: size[0], servers: size[1], seed: 1}
			for i := 0; i < e.servers; i += 8 {
				e.failing = append(e.failing, i)
			}
			without := e.run(t)
			e.sharesReports = true
			with := e.run(t)
			logComparison(t, e, without, with)
			if with.failed > without.failed || with.served < without.served-0.02 {
				t.Errorf("%+v without reports, %+v with", without, with)
			}
		})
	}
}

// TestFalseReportsDoLittleHarm: whatever one member reports, hardly less is served, and no healthy server goes without load.
func TestFalseReportsDoLittleHarm(t *testing.T) {
	const nodes, servers = 10, 20
	honest := emulation{nodes: nodes, servers: servers, seed: 1, sharesReports: true}.run(t)
	rng := rand.New(rand.NewPCG(1, 1))
	failing := func(i int) outlier.Observation {
		return outlier.Observation{Server: outlier.ServerID(emulatedServer(i)), Failures: 255, ConsecutiveFailures: 255}
	}
	for name, lie := range map[string]func(uint32) outlier.Digest{
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
			result := emulation{nodes: nodes, servers: servers, seed: 1, sharesReports: true, lie: lie}.run(t)
			t.Logf("served %.3f, load %.2f to %.2f of the mean; without false reports %.3f, %.2f to %.2f", result.served, result.least,
				result.most, honest.served, honest.least, honest.most)
			if result.served < honest.served-0.02 || result.least < 0.6*honest.least {
				t.Errorf("%+v, without false reports %+v", result, honest)
			}
		})
	}
}
