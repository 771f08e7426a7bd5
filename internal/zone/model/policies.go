package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/zone"
)

// AdaptivePolicy routes with a zone.Selector, which adapts a concurrency limit for each zone.
type AdaptivePolicy struct {
	selector *zone.Selector
	home     string
	numbers  map[string]int // of zones, by name
	names    []string
}

// adaptiveLatencyTarget equals Config.LatencyTarget in DefaultConfig.
const adaptiveLatencyTarget = 200 * time.Millisecond

// NewAdaptivePolicy returns the policy of a node whose zone has the number home. Zones form a ring: costs
// rise with the distance in one direction, so each zone has a different nearest neighbor.
func NewAdaptivePolicy(home, zones int, seed uint64) *AdaptivePolicy {
	p := &AdaptivePolicy{numbers: map[string]int{}}
	for number := range zones {
		name := string(rune('a' + number))
		p.names = append(p.names, name)
		p.numbers[name] = number
	}
	p.home = p.names[home]
	costs := map[zone.Pair]zone.Cost{}
	for number := range zones {
		costs[zone.Pair{From: p.home, To: p.names[number]}] = zone.Cost{Price: float64((number - home + zones) % zones)}
	}
	p.selector = zone.NewSelector(zone.Config{
		Home:           p.home,
		Costs:          costs,
		Nodes:          1,
		LatencyTargets: map[string]time.Duration{"": adaptiveLatencyTarget},
	}, seed)
	return p
}

// locality returns the locality of a zone.
func (p *AdaptivePolicy) locality(number int) zone.Locality {
	return zone.Locality{Zone: p.names[number]}
}

// Choose implements Policy.
func (p *AdaptivePolicy) Choose(now time.Duration) int {
	localities := p.selector.Choose(now, p.home, "", func(string) bool { return true })
	if len(localities) == 0 {
		return p.numbers[p.home]
	}
	return p.numbers[localities[0].Zone]
}

// AttemptStarted implements Policy.
func (p *AdaptivePolicy) AttemptStarted(now time.Duration, number int) {
	p.selector.AttemptStarted(now, p.locality(number))
}

// AttemptEnded implements Policy.
func (p *AdaptivePolicy) AttemptEnded(now time.Duration, number int, ending balancer.Ending, took time.Duration) {
	p.selector.AttemptEnded(now, p.locality(number), "", ending, took)
}

// UpdateHealth implements Policy.
func (p *AdaptivePolicy) UpdateHealth(now time.Duration, healthy []int, _ int) {
	var servers []zone.Server
	for number, count := range healthy {
		for i := range count {
			servers = append(servers, zone.Server{ID: fmt.Sprint(p.names[number], i), Locality: p.locality(number), Ready: true})
		}
	}
	p.selector.UpdateServers(now, true, servers)
}

// HealthyHostsPolicy spills load over by the count of healthy hosts, as Envoy's priority levels do: the home zone is the
// level of priority 0, and the other zones together are that of priority 1.
type HealthyHostsPolicy struct {
	home   int
	random *rand.Rand
	shares []float64 // of the load, by zone
}

// NewHealthyHostsPolicy returns the policy of a node whose zone has the number home.
func NewHealthyHostsPolicy(home int, seed uint64) *HealthyHostsPolicy {
	return &HealthyHostsPolicy{home: home, random: rand.New(rand.NewPCG(seed, uint64(home)))}
}

// Choose implements Policy. It draws a zone at random, weighted by the shares.
func (p *HealthyHostsPolicy) Choose(time.Duration) int {
	draw := p.random.Float64()
	for number, share := range p.shares {
		draw -= share
		if draw < 0 {
			return number
		}
	}
	return p.home
}

// AttemptStarted implements Policy. The policy ignores it.
func (p *HealthyHostsPolicy) AttemptStarted(time.Duration, int) {}

// AttemptEnded implements Policy. The policy ignores it.
func (p *HealthyHostsPolicy) AttemptEnded(time.Duration, int, balancer.Ending, time.Duration) {}

// UpdateHealth implements Policy. It recomputes the shares.
func (p *HealthyHostsPolicy) UpdateHealth(_ time.Duration, healthy []int, serversPerZone int) {
	away := zone.HostCount{}
	for number, count := range healthy {
		if number != p.home {
			away.Healthy += count
			away.All += serversPerZone
		}
	}
	home := zone.HostCount{Healthy: healthy[p.home], All: serversPerZone}
	loads := zone.PriorityLoads([]zone.HostCount{home, away}, zone.OverprovisioningFactor)
	p.shares = make([]float64, len(healthy))
	p.shares[p.home] = loads[0]
	for number, count := range healthy {
		if number != p.home && away.Healthy > 0 {
			p.shares[number] = loads[1] * float64(count) / float64(away.Healthy)
		}
	}
}
