package fleet

import (
	"encoding/json"
	"io"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/fleet/membership"
)

// PoolDigests converts a map from pool names to digests of their settings to the form that members announce and compare.
func PoolDigests(pools map[string]uint32) (digests []membership.PoolDigest) {
	for name, digest := range pools {
		digests = append(digests, membership.PoolDigest{ID: membership.PoolID(name), Digest: digest})
	}
	return membership.SortPools(digests)
}

// Module returns a Module in front of a pool's decision module, which has these settings. It may be called once for each pool.
func (f *Fleet) Module(pool string, settings balancer.Settings, decider engine.Module) engine.Module {
	return NewModule(decider, f.Pool(pool), f.config.Name, settings, BootTime)
}

// AnnouncePools replaces the pools that this node announces to the other members. The values are digests of the pools' settings.
func (f *Fleet) AnnouncePools(pools map[string]uint32) { f.SetPools(PoolDigests(pools)) }

// WriteStatus writes the Status as JSON.
func (f *Fleet) WriteStatus(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(f.Status())
}
