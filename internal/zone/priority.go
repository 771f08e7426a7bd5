package zone

// The functions of this file are the arithmetic of Envoy's priority levels and locality weights, as its documentation
// defines it: load spills over by the share of healthy hosts. A Selector does not use them; package model compares it with
// them.

// OverprovisioningFactor is Envoy's default: a priority level receives all of its load until fewer than
// 1/1.4 = 72 % of its hosts are healthy.
const OverprovisioningFactor = 1.4

// HostCount counts the hosts of a priority level or a locality.
type HostCount struct{ Healthy, All int }

// health returns the health of a level as Envoy defines it: its share of healthy hosts times the overprovisioning factor, at most 1.
func (c HostCount) health(factor float64) float64 {
	if c.All == 0 {
		return 0
	}
	return min(1, factor*float64(c.Healthy)/float64(c.All))
}

// PriorityLoads returns the shares of the load by priority level. They add up to 1, or are all 0 if no host is healthy.
func PriorityLoads(levels []HostCount, factor float64) []float64 {
	loads := make([]float64, len(levels))
	total := 0.0
	for _, level := range levels {
		total += level.health(factor)
	}
	if total == 0 {
		return loads
	}
	total = min(1, total)
	remaining := 1.0
	for i, level := range levels {
		loads[i] = min(remaining, level.health(factor)/total)
		remaining -= loads[i]
	}
	return loads
}

// LocalityLoads returns the shares of a level's load by locality: its weight times its health, scaled to add up to 1. All are 0
// if no locality has both.
func LocalityLoads(weights []float64, hosts []HostCount, factor float64) []float64 {
	loads := make([]float64, len(weights))
	total := 0.0
	for i, weight := range weights {
		loads[i] = weight * hosts[i].health(factor)
		total += loads[i]
	}
	for i := range loads {
		if total > 0 {
			loads[i] /= total
		}
	}
	return loads
}

// AwareLoads returns how zone aware routing distributes the load of the home zone over the zones. All of it stays at home
// if the home zone's share of the healthy hosts is at least its share of the load. Otherwise the home zone keeps the part
// for which its hosts suffice, and the rest goes to the other zones in proportion to their spare hosts. Both slices are indexed by
// zone.
func AwareLoads(home int, loads []float64, healthy []int) []float64 {
	shares := make([]float64, len(loads))
	totalLoad, totalHosts := 0.0, 0
	for zone := range loads {
		totalLoad += loads[zone]
		totalHosts += healthy[zone]
	}
	if totalLoad <= 0 || totalHosts == 0 {
		return shares
	}
	local, upstream := loads[home]/totalLoad, float64(healthy[home])/float64(totalHosts)
	if upstream >= local {
		shares[home] = 1
		return shares
	}
	shares[home] = upstream / local
	residual := make([]float64, len(loads))
	total := 0.0
	for zone := range loads {
		if zone != home {
			residual[zone] = max(0, float64(healthy[zone])/float64(totalHosts)-loads[zone]/totalLoad)
			total += residual[zone]
		}
	}
	for zone := range residual {
		if total > 0 && zone != home {
			shares[zone] = (1 - shares[home]) * residual[zone] / total
		}
	}
	return shares
}
