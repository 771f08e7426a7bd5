package operator

import (
	"cranegrade/balancer"
	"cranegrade/internal/engine"
)

// servers reads where a pool's servers are listed: a registry, a cluster, or [[pools.servers]]. Servers beside a cluster are
// those known last, which serve until the control plane has sent a list.
func (d *document) servers(t *table, p *Pool) {
	p.List.Registry = t.text("registry", "")
	p.List.XDS = t.text("xds", "")
	tables := t.subtables("servers")
	checkList(t, p.List, len(tables))
	static := readServers(tables)
	if p.List.XDS != "" && static != nil {
		p.Known = engine.ListUpdate{Full: true, Cached: true, Servers: static}
		return
	}
	p.List.Static = static
}

// checkList reports more than one place that lists the servers, or none.
func checkList(t *table, list List, servers int) {
	switch {
	case t.has("xds"):
		if t.has("registry") {
			t.fault("xds", "a pool has a registry or a cluster, not both")
		}
		if list.XDS == "" {
			t.fault("xds", "a cluster without a name")
		}
	case t.has("registry") && t.has("servers"):
		t.fault("servers", "a pool has a registry or servers, not both")
	case t.has("registry"):
		if err := checkAddress(list.Registry, remoteAddress); err != nil {
			t.fault("registry", "%v", err)
		}
	case servers == 0:
		t.fault("servers", "missing: a pool needs a registry, an xds cluster or at least one [[pools.servers]]")
	}
}

// readServers reads the [[pools.servers]]. A server without an id has its address for one.
func readServers(tables []*table) (servers []engine.Listed) {
	ids := map[string]bool{}
	for _, st := range tables {
		s := engine.Listed{
			Addr: st.text("address", ""),
			Server: balancer.Server{
				ID:   st.text("id", ""),
				Zone: st.text("zone", ""),
				Cell: int(st.count("cell", 0)),
				Size: st.number("size", 1),
			},
		}
		if err := checkAddress(s.Addr, remoteAddress); err != nil {
			st.fault("address", "%v", err)
		}
		idKey := "id"
		if s.ID == "" {
			s.ID = s.Addr
			idKey = "address"
		}
		if ids[s.ID] {
			st.fault(idKey, "two servers of this pool have the id %q", s.ID)
		}
		ids[s.ID] = true
		if st.boolean("draining", false) {
			s.State = balancer.Draining
		}
		st.rejectUnknownKeys()
		servers = append(servers, s)
	}
	return servers
}
