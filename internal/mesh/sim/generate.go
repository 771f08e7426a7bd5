package sim

import (
	"math/rand/v2"
	"time"
)

// Bounds of generated plans.
const (
	faultsFrom       = 2 * time.Second
	faultsUntil      = 18 * time.Second
	maxFaults        = 8
	maxFaultDuration = 6 * time.Second
	maxCutDuration   = 8 * time.Second
	minFaultDuration = 20 * time.Millisecond
)

// planStream is the PCG stream of plans.
const planStream = 0xfa17

// weighted is a kind of fault and its relative frequency.
type weighted struct {
	kind   FaultKind
	weight int
}

// replicaFaults is the kinds of faults of replicas.
var replicaFaults = []weighted{
	{FaultCut, 6},
	{FaultCutInbound, 3},
	{FaultCutOutbound, 3},
	{FaultReset, 3},
	{FaultKill, 5},
	{FaultPowerLoss, 5},
	{FaultPowerLossAll, 1},
	{FaultWipe, 4},
	{FaultReplace, 2},
	{FaultLeave, 3},
	{FaultFreeze, 4},
	{FaultSuspend, 3},
	{FaultDiskStall, 3},
	{FaultDiskFull, 2},
	{FaultSlowNetwork, 2},
	{FaultDisorder, 3},
	{FaultChangeBurst, 2},
}

// targets is what a fault of a replica may name. The leader is there twice, so that it is hit more often.
var targets = []string{RoleLeader, RoleLeader, RoleFollower, RoleLast, RoleJoiner, "replica1", "replica2", "replica3"}

// sidecarFaults is the kinds of faults of sidecars.
var sidecarFaults = []FaultKind{FaultCut, FaultCutInbound, FaultCutOutbound, FaultReset, FaultKill, FaultFreeze}

// Generate returns the random plan of a seed.
func Generate(seed uint64) Plan {
	random := rand.New(rand.NewPCG(seed, planStream))
	var p Plan
	for range 2 + random.IntN(maxFaults-1) {
		p = append(p, generateFault(random))
	}
	return p
}

// generateFault draws one fault.
func generateFault(random *rand.Rand) Fault {
	between := func(shortest, longest time.Duration) time.Duration {
		d := shortest + time.Duration(random.Int64N(int64(longest-shortest)))
		return d.Round(time.Millisecond)
	}
	f := Fault{At: between(faultsFrom, faultsUntil), Duration: between(minFaultDuration, maxFaultDuration)}
	if random.IntN(8) == 0 {
		f.Target = []string{"sidecar1", "sidecar2", "sidecar3"}[random.IntN(3)]
		f.Kind = sidecarFaults[random.IntN(len(sidecarFaults))]
		return f
	}
	f.Kind = pick(random, replicaFaults)
	switch f.Kind {
	case FaultPowerLossAll:
	case FaultSlowNetwork:
		f.Count = 1 + random.IntN(60)
	case FaultDisorder:
		f.Count = 1 + random.IntN(50)
	case FaultChangeBurst:
		f.Target, f.Count = []string{"operator1", "operator2"}[random.IntN(2)], 20+random.IntN(200)
	case FaultCut, FaultCutInbound, FaultCutOutbound:
		f.Target = targets[random.IntN(len(targets))]
		f.Peers = []string{PeersAll, PeersReplicas, PeersReplicas, PeersClients, "replica1", "replica2", "replica3"}[random.IntN(7)]
		f.Duration = between(minFaultDuration, maxCutDuration)
	default:
		f.Target = targets[random.IntN(len(targets))]
	}
	return f
}

// pick draws a kind by weight.
func pick(random *rand.Rand, candidates []weighted) FaultKind {
	total := 0
	for _, candidate := range candidates {
		total += candidate.weight
	}
	n := random.IntN(total)
	for _, candidate := range candidates {
		if n -= candidate.weight; n < 0 {
			return candidate.kind
		}
	}
	return candidates[0].kind
}
