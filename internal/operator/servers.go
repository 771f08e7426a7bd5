package operator

import (
	"cranegrade/balancer"
	"cranegrade/internal/engine"
)

// list reads where a pool's servers are told.
func (f *document) list(t *table, p *Pool) {
	p.List.Registry, p.List.XDS = t.text("registry", ""), t.text("xds", "")
	tables := t.subtables("servers")
	switch {
	case t.has("xds"):
		if t.has("registry") {
			t.fault("xds", "a pool has a registry or a cluster, not both")
		}
		if p.List.XDS == "" {
			t.fault("xds", "a cluster without a name")
		}
		// servers beside it are those that were known last: they serve until the control plane says more.
	case t.has("registry") && t.has("servers"):
		t.fault("servers", "a pool has a registry or servers, not both")
	case t.has("registry"):
		if err := address(p.List.Registry, false); err != nil {
			t.fault("registry", "%v", err)
		}
	case len(tables) == 0:
		t.fault("servers", "missing: a pool needs a registry, an xds cluster or at least one [[pools.servers]]")
	}
	ids := map[string]bool{}
	for _, st := range tables {
		s := engine.Listed{Addr: st.text("address", ""), Server: balancer.Server{
			ID:   st.text("id", ""),
			Zone: st.text("zone", ""), Cell: int(st.count("cell", 0)), Size: st.number("size", 1),
		}}
		if err := address(s.Addr, false); err != nil {
			st.fault("address", "%v", err)
		}
		key := "id"
		if s.ID == "" {
			s.ID, key = s.Addr, "address"
		}
		if ids[s.ID] {
			st.fault(key, "two servers of this pool have the id %q", s.ID)
		}
		ids[s.ID] = true
		if st.boolean("draining", false) {
			s.State = balancer.Draining
		}
		st.rejectUnknownKeys()
		p.List.Static = append(p.List.Static, s)
	}
	if p.List.XDS != "" && p.List.Static != nil {
		p.Known = engine.ListUpdate{Full: true, Cached: true, Servers: p.List.Static}
		p.List.Static = nil
	}
}
