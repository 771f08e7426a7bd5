package fleet

import (
	"encoding/json"
	"io"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/fleet/membership"
)

// PoolDigests returns pools as members compare them, from each pool's name and a digest of its settings.
func PoolDigests(pools map[string]uint32) (digests []membership.PoolDigest) {
	for name, digest := range pools {
		digests = append(digests, membership.PoolDigest{ID: membership.PoolID(name), Digest: digest})
	}
	return membership.SortPools(digests)
}

// Module returns a module that stands in front of a pool's decision module, which has these settings. Only one may be made for a pool.
func (f *Fleet) Module(pool string, settings balancer.Settings, decider engine.Module) engine.Module {
	return NewModule(decider, f.Pool(pool), f.config.Name, settings, BootTime)
}

// AnnouncePools announces the pools that this node has from now on, each with a digest of its settings.
func (f *Fleet) AnnouncePools(pools map[string]uint32) { f.SetPools(PoolDigests(pools)) }

// WriteStatus writes the Status as JSON.
func (f *Fleet) WriteStatus(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(f.Status())
}
