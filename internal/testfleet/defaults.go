package testfleet

import (
	"fmt"
	"strings"
	"time"

	"cranegrade/internal/fake"
)

// The classes of all drills. Their windows and deadlines are short, so that short drills reach them.
var (
	ReadClass     = fake.Class{Name: "read", Effect: fake.Safe, Deadline: 2 * time.Second}
	AlertClass    = fake.Class{Name: "alert-send", Effect: fake.Keyed, Scope: fake.ScopeAll, Window: 10 * time.Second, Deadline: 3 * time.Second}
	CampaignClass = fake.Class{Name: "campaign-send", Effect: fake.Keyed, Scope: fake.ScopeCell, Window: 10 * time.Second, Deadline: 3 * time.Second}
	OrderClass    = fake.Class{Name: "order", Effect: fake.Unsafe, Deadline: 3 * time.Second}
	Classes       = []fake.Class{ReadClass, AlertClass, CampaignClass, OrderClass}
)

var (
	// SlowStart is that of all servers.
	SlowStart = fake.SlowStart{InitialShare: 0.33, Duration: 4 * time.Second, OverloadFactor: 4, OverloadWindow: 1500 * time.Millisecond}
	// DefaultServer handles 400 requests a second.
	DefaultServer = fake.ServerConfig{
		Concurrency: 4, QueueLimit: 16, ServiceTime: 10 * time.Millisecond, QueueSlowdown: 0.02, SlowStart: SlowStart, Zone: "a",
	}
)

// InCell returns the configuration of a server in a cell.
func InCell(s fake.ServerConfig, cell int) fake.ServerConfig {
	s.Cell = cell
	return s
}

// Traffic returns streams of all classes, at a rate of requests a second together.
func Traffic(rate float64, duration time.Duration) []fake.Stream {
	return []fake.Stream{
		{Class: ReadClass, Rate: rate * 0.5, Duration: duration},
		{Class: AlertClass, Rate: rate * 0.25, Duration: duration, BodyBytes: 200},
		{Class: CampaignClass, Rate: rate * 0.125, Duration: duration, BodyBytes: 500},
		{Class: OrderClass, Rate: rate * 0.125, Duration: duration, BodyBytes: 200},
	}
}

// PoolConfig returns a pool of the operator's file with the classes and the slow start of all drills. source is the line that says where
// its list comes from; extra are further lines of the pool.
func PoolConfig(name, source string, extra ...string) string {
	effects := map[fake.Effect]string{fake.Safe: "safe", fake.Keyed: "keyed", fake.Unsafe: "unsafe"}
	scopes := map[fake.Scope]string{fake.ScopeAll: "all", fake.ScopeCell: "cell"}
	var b strings.Builder
	fmt.Fprintf(&b, "\n[[pools]]\nname = %q\n%s\nattempts = 4\n", name, source)
	for _, line := range extra {
		fmt.Fprintln(&b, line)
	}
	fmt.Fprintf(&b, "connections = { idle = \"2s\", connect_within = \"250ms\" }\n")
	fmt.Fprintf(&b, "cold = { from = %v, warm_after = %q, fall_multiple = %v, fall_for = %q }\n",
		SlowStart.InitialShare, SlowStart.Duration, SlowStart.OverloadFactor, SlowStart.OverloadWindow)
	for _, c := range Classes {
		fmt.Fprintf(&b, "[[pools.classes]]\nname = %q\neffect = %q\naim = \"500ms\"\ndeadline = %q\nlate_share = 0.5\n",
			c.Name, effects[c.Effect], c.Deadline)
		if c.Effect == fake.Keyed {
			fmt.Fprintf(&b, "scope = %q\nwindow = %q\n", scopes[c.Scope], c.Window)
		}
	}
	return b.String()
}
