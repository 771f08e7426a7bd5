package operator

import (
	"strings"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
)

func (f *document) classes(t *table, p *Pool) {
	tables := t.subtables("classes")
	if len(tables) == 0 {
		t.fault("classes", "missing: a pool needs at least one [[pools.classes]]")
	}
	names := map[string]bool{}
	for _, ct := range tables {
		c := balancer.Class{
			Name: ct.text("name", ""), Effect: choice(ct, "effect", balancer.NonIdempotent, effects),
			Scope: choice(ct, "scope", balancer.ScopeCell, scopes), Window: ct.duration("window", 0),
			Aim: ct.duration("aim", 0), Deadline: ct.duration("deadline", 0), LateShare: ct.number("late_share", 0),
			Worth: ct.number("worth", 1), Stream: ct.boolean("stream", false),
		}
		if c.Stream && !p.GRPC {
			ct.fault("stream", "is only for pools whose protocol is grpc")
		}
		if c.Name == "" {
			ct.fault("name", "missing")
		} else if strings.Contains(c.Name, "/") {
			ct.fault("name", "%q has a slash, but is the first part of a path", c.Name)
		} else if names[c.Name] {
			ct.fault("name", "two classes of this pool have the name %q", c.Name)
		}
		names[c.Name] = true
		if !ct.has("effect") {
			ct.fault("effect", "missing: say whether requests are safe, keyed or unsafe to repeat")
		}
		for _, need := range []struct {
			key  string
			zero bool
		}{{"aim", c.Aim == 0}, {"deadline", c.Deadline == 0}} {
			if need.zero {
				ct.fault(need.key, "must be told, and over 0")
			}
		}
		if c.Deadline > 0 && c.Aim > c.Deadline {
			ct.fault("aim", "%v is after the deadline of %v", c.Aim, c.Deadline)
		}
		if c.LateShare > 1 {
			ct.fault("late_share", "%v is over 1: it is a share of the worth", c.LateShare)
		}
		keyed := c.Effect == balancer.IdempotentByKey
		if keyed && c.Window == 0 {
			ct.fault("window", "missing: for how long servers drop the repeats of a key")
		}
		for _, key := range []string{"window", "scope"} {
			if !keyed && ct.has(key) {
				ct.fault(key, "is only for classes whose effect is keyed")
			}
		}
		ct.rejectUnknownKeys()
		p.Settings.Classes = append(p.Settings.Classes, c)
	}
}

// maxQuotas bounds the tenants with a quota: the module goes over all of them for each request that it
// must weigh.
const maxQuotas = 64

// tenants reads who has a quota. Without any, what is told of quotas would be without effect.
func (f *document) tenants(t, weights *table, p *Pool) {
	if w := p.Settings.OverShare; w > 1 {
		weights.fault("over_quota", "%v is over 1: it is a share of the worth", w)
	}
	tables := t.subtables("tenants")
	if len(tables) == 0 {
		for _, key := range []string{"over_quota", "worst_tenant"} {
			if weights.has(key) {
				weights.fault(key, "is of no effect without [[pools.tenants]] that have quotas")
			}
		}
	}
	if len(tables) > maxQuotas {
		t.fault("tenants", "%d tenants, %d at most", len(tables), maxQuotas)
	}
	names := map[string]bool{}
	for _, tt := range tables {
		x := balancer.Tenant{Name: tt.text("name", ""), Quota: tt.number("quota", 0)}
		switch {
		case x.Name == "":
			tt.fault("name", "missing: as the callers' X-Account has it")
		case len(x.Name) > engine.MaxTenant:
			tt.fault("name", "is longer than the %d bytes that are told apart", engine.MaxTenant)
		case names[x.Name]:
			tt.fault("name", "two tenants of this pool have the name %q", x.Name)
		}
		names[x.Name] = true
		if !tt.has("quota") {
			tt.fault("quota", "missing: requests a second, over all nodes")
		}
		tt.rejectUnknownKeys()
		p.Settings.Tenants = append(p.Settings.Tenants, x)
	}
}
