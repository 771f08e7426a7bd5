package operator

import "fmt"

// xds reads the control planes, which some pools' lists come from.
func (f *document) xds(t *table, pools []*table, p *Plan) {
	x := t.subtable("xds")
	if x == nil {
		for i, pt := range pools {
			if p.Pools[i].List.XDS != "" {
				pt.fault("xds", "there is no [xds] that says where clusters come from")
			}
		}
		return
	}
	loc := x.tableOrEmpty("locality")
	p.XDS = &XDS{
		Servers: x.textList("servers"), Delta: choice(x, "variant", true, map[string]bool{"delta": true, "sotw": false}),
		NodeID: x.text("node_id", p.Name), NodeCluster: x.text("node_cluster", "cranegrade"),
		Region: loc.text("region", ""), Zone: loc.text("zone", ""), SubZone: loc.text("sub_zone", ""),
		Timeout: x.duration("resource_timeout", defaultTimeout), KeepOnRemoval: x.boolean("keep_on_removal", false),
		EmptyGrace: x.duration("empty_grace", defaultGrace), MaxResponse: x.bytes("max_response", defaultMaxResponse),
		LoadReports: x.duration("load_reports", 0),
	}
	p.XDS.check(x)
	loc.rejectUnknownKeys()
	x.rejectUnknownKeys()
}

// check reports what is out of bounds.
func (c *XDS) check(x *table) {
	if len(c.Servers) == 0 {
		x.fault("servers", "missing: the control planes, the preferred one first")
	}
	for i, a := range c.Servers {
		if err := address(a, false); err != nil {
			x.fault(fmt.Sprintf("servers[%d]", i), "%v", err)
		}
	}
	if len(c.Servers) > maxListen {
		x.fault("servers", "%d control planes, %d at most", len(c.Servers), maxListen)
	}
	if c.Timeout == 0 {
		x.fault("resource_timeout", "must be over 0")
	}
	if c.MaxResponse < 1024 || c.MaxResponse > 1<<30 {
		x.fault("max_response", "%d is not between 1024 and %d", c.MaxResponse, 1<<30)
	}
	if r := c.LoadReports; r > 0 && r < 100e6 {
		x.fault("load_reports", "%v is under 100ms", r)
	}
}
