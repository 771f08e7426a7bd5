package operator

import (
	"fmt"
	"time"
)

// Bounds of [xds].
const (
	minMaxResponse = 1 << 10 // bytes
	maxMaxResponse = 1 << 30 // bytes
	minLoadReports = 100 * time.Millisecond
)

// xds reads [xds]: the control planes that list the clusters of pools.
func (d *document) xds(t *table, pools []*table, p *Plan) {
	xt := t.subtable("xds")
	if xt == nil {
		for i, pt := range pools {
			if p.Pools[i].List.XDS != "" {
				pt.fault("xds", "there is no [xds] that says where clusters come from")
			}
		}
		return
	}
	locality := xt.tableOrEmpty("locality")
	p.XDS = &XDS{
		Servers:       xt.textList("servers"),
		Delta:         choice(xt, "variant", true, map[string]bool{"delta": true, "sotw": false}),
		NodeID:        xt.text("node_id", p.Name),
		NodeCluster:   xt.text("node_cluster", "cranegrade"),
		Region:        locality.text("region", ""),
		Zone:          locality.text("zone", ""),
		SubZone:       locality.text("sub_zone", ""),
		Timeout:       xt.duration("resource_timeout", defaultResourceTimeout),
		KeepOnRemoval: xt.boolean("keep_on_removal", false),
		EmptyGrace:    xt.duration("empty_grace", defaultEmptyGrace),
		MaxResponse:   xt.bytes("max_response", defaultMaxResponse),
		LoadReports:   xt.duration("load_reports", 0),
	}
	p.XDS.check(xt)
	locality.rejectUnknownKeys()
	xt.rejectUnknownKeys()
}

// check reports what is out of bounds.
func (x *XDS) check(xt *table) {
	if len(x.Servers) == 0 {
		xt.fault("servers", "missing: the control planes, the preferred one first")
	}
	for i, addr := range x.Servers {
		if err := checkAddress(addr, remoteAddress); err != nil {
			xt.fault(fmt.Sprintf("servers[%d]", i), "%v", err)
		}
	}
	if len(x.Servers) > maxAddresses {
		xt.fault("servers", "%d control planes, %d at most", len(x.Servers), maxAddresses)
	}
	if x.Timeout == 0 {
		xt.fault("resource_timeout", "must be over 0")
	}
	if x.MaxResponse < minMaxResponse || x.MaxResponse > maxMaxResponse {
		xt.fault("max_response", "%d is not between %d and %d", x.MaxResponse, minMaxResponse, maxMaxResponse)
	}
	if x.LoadReports > 0 && x.LoadReports < minLoadReports {
		xt.fault("load_reports", "%v is under %v", x.LoadReports, minLoadReports)
	}
}
