package fleet

import (
	"encoding/json"
	"io"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/fleet/membership"
)

// Services are pools as members compare them, from each pool's name and a digest of its settings.
func Services(pools map[string]uint32) (l []membership.Service) {
	for name, digest := range pools {
		l = append(l, membership.Service{ID: membership.PoolID(name), Digest: digest})
	}
	return membership.SortServices(l)
}

// Module puts a gate before a pool's module, which has these settings.
func (f *Fleet) Module(pool string, s balancer.Settings, in engine.Module) engine.Module {
	return NewModule(in, f.Gate(pool), f.cfg.Name, s, BootTime)
}

// Serve tells the others which pools this node has from now on.
func (f *Fleet) Serve(pools map[string]uint32) { f.SetPools(Services(pools)) }

// WriteStatus tells what this node holds as JSON.
func (f *Fleet) WriteStatus(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(f.Status())
}
