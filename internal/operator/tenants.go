package operator

import (
	"cranegrade/balancer"
	"cranegrade/internal/engine"
)

// maxTenants bounds the tenants with a quota: the balancer goes over all of them for each request that it weighs.
const maxTenants = 64

// tenants reads the [[pools.tenants]], which have quotas. Weights that concern quotas have no effect without any.
func (d *document) tenants(t, weights *table, p *Pool) {
	if share := p.Settings.OverShare; share > 1 {
		weights.fault("over_quota", "%v is over 1: it is a share of the worth", share)
	}
	tables := t.subtables("tenants")
	if len(tables) == 0 {
		for _, key := range []string{"over_quota", "worst_tenant"} {
			if weights.has(key) {
				weights.fault(key, "is of no effect without [[pools.tenants]] that have quotas")
			}
		}
	}
	if len(tables) > maxTenants {
		t.fault("tenants", "%d tenants, %d at most", len(tables), maxTenants)
	}
	names := map[string]bool{}
	for _, tt := range tables {
		tenant := balancer.Tenant{Name: tt.text("name", ""), Quota: tt.number("quota", 0)}
		switch {
		case tenant.Name == "":
			tt.fault("name", "missing: as the callers' X-Account has it")
		case len(tenant.Name) > engine.MaxTenant:
			tt.fault("name", "is longer than the %d bytes that are told apart", engine.MaxTenant)
		case names[tenant.Name]:
			tt.fault("name", "two tenants of this pool have the name %q", tenant.Name)
		}
		names[tenant.Name] = true
		if !tt.has("quota") {
			tt.fault("quota", "missing: requests a second, over all nodes")
		}
		tt.rejectUnknownKeys()
		p.Settings.Tenants = append(p.Settings.Tenants, tenant)
	}
}
