package operator

import (
	"strings"

	"cranegrade/balancer"
)

// classes reads the [[pools.classes]] of a pool.
func (d *document) classes(t *table, p *Pool) {
	tables := t.subtables("classes")
	if len(tables) == 0 {
		t.fault("classes", "missing: a pool needs at least one [[pools.classes]]")
	}
	names := map[string]bool{}
	for _, ct := range tables {
		c := balancer.Class{
			Name:      ct.text("name", ""),
			Effect:    choice(ct, "effect", balancer.NonIdempotent, effects),
			Scope:     choice(ct, "scope", balancer.ScopeCell, scopes),
			Window:    ct.duration("window", 0),
			Aim:       ct.duration("aim", 0),
			Deadline:  ct.duration("deadline", 0),
			LateShare: ct.number("late_share", 0),
			Worth:     ct.number("worth", 1),
			Stream:    ct.boolean("stream", false),
		}
		if c.Stream && !p.GRPC {
			ct.fault("stream", "is only for pools whose protocol is grpc")
		}
		checkClassName(ct, c.Name, names)
		names[c.Name] = true
		checkClassTimes(ct, c)
		checkClassEffect(ct, c)
		ct.rejectUnknownKeys()
		p.Settings.Classes = append(p.Settings.Classes, c)
	}
}

// checkClassName checks the name of a class against those of the pool's classes before it.
func checkClassName(ct *table, name string, before map[string]bool) {
	switch {
	case name == "":
		ct.fault("name", "missing")
	case strings.Contains(name, "/"):
		ct.fault("name", "%q has a slash, but is the first part of a path", name)
	case before[name]:
		ct.fault("name", "two classes of this pool have the name %q", name)
	}
}

// checkClassTimes checks the latency target and the deadline, and what a late answer is worth.
func checkClassTimes(ct *table, c balancer.Class) {
	if c.Aim == 0 {
		ct.fault("aim", "must be told, and over 0")
	}
	if c.Deadline == 0 {
		ct.fault("deadline", "must be told, and over 0")
	}
	if c.Deadline > 0 && c.Aim > c.Deadline {
		ct.fault("aim", "%v is after the deadline of %v", c.Aim, c.Deadline)
	}
	if c.LateShare > 1 {
		ct.fault("late_share", "%v is over 1: it is a share of the worth", c.LateShare)
	}
}

// checkClassEffect checks that the effect is given, and the settings that depend on it.
func checkClassEffect(ct *table, c balancer.Class) {
	if !ct.has("effect") {
		ct.fault("effect", "missing: say whether requests are safe, keyed or unsafe to repeat")
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
}
