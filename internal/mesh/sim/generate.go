package sim

import (
	"math/rand/v2"
	"time"
)

// Shape of generated plans.
const (
	faultsFrom    = 2 * time.Second
	faultsUntil   = 18 * time.Second
	maxFaults     = 8
	longestFault  = 6 * time.Second
	longestCut    = 8 * time.Second
	shortestFault = 20 * time.Millisecond
)

// weighted is a kind of fault and how often it comes.
type weighted struct {
	kind   Kind
	weight int
}

var replicaFaults = []weighted{{Cut, 6}, {CutIn, 3}, {CutOut, 3}, {Reset, 3}, {KillIt, 5}, {Power, 5}, {PowerAll, 1}, {WipeIt, 4}, {Replace, 2}, {Leave, 3}, {FreezeIt, 4},
	{Suspend, 3}, {Stall, 3}, {Full, 2}, {Slow, 2}, {Disorder, 3}, {Orders, 2}}

var targets = []string{RoleLeader, RoleLeader, RoleFollower, RoleLast, RoleJoiner, "replica1", "replica2", "replica3"}

var sidecarFaults = []Kind{Cut, CutIn, CutOut, Reset, KillIt, FreezeIt}

// Generate makes a plan of a seed.
func Generate(seed uint64) Plan {
	random := rand.New(rand.NewPCG(seed, 0xfa17))
	var p Plan
	for range 2 + random.IntN(maxFaults-1) {
		p = append(p, generateFault(random))
	}
	return p
}

func generateFault(random *rand.Rand) Fault {
	between := func(least, most time.Duration) time.Duration {
		d := least + time.Duration(random.Int64N(int64(most-least)))
		return d.Round(time.Millisecond)
	}
	f := Fault{At: between(faultsFrom, faultsUntil), For: between(shortestFault, longestFault)}
	if random.IntN(8) == 0 {
		f.Target = []string{"sidecar1", "sidecar2", "sidecar3"}[random.IntN(3)]
		f.Kind = sidecarFaults[random.IntN(len(sidecarFaults))]
		return f
	}
	f.Kind = pick(random, replicaFaults)
	switch f.Kind {
	case PowerAll:
	case Slow:
		f.Count = 1 + random.IntN(60)
	case Disorder:
		f.Count = 1 + random.IntN(50)
	case Orders:
		f.Target, f.Count = []string{"operator1", "operator2"}[random.IntN(2)], 20+random.IntN(200)
	case Cut, CutIn, CutOut:
		f.Target = targets[random.IntN(len(targets))]
		f.Peers = []string{PeersAll, PeersReplicas, PeersReplicas, PeersClients, "replica1", "replica2", "replica3"}[random.IntN(7)]
		f.For = between(shortestFault, longestCut)
	default:
		f.Target = targets[random.IntN(len(targets))]
	}
	return f
}

func pick(random *rand.Rand, l []weighted) Kind {
	all := 0
	for _, x := range l {
		all += x.weight
	}
	n := random.IntN(all)
	for _, x := range l {
		if n -= x.weight; n < 0 {
			return x.kind
		}
	}
	return l[0].kind
}
