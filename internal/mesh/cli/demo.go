package cli

import (
	"context"
	"time"

	"cranegrade/internal/mesh/demo"
)

// demoCommands are the subcommands of meshctl demo.
type demoCommands struct {
	Failover        demoFailover        `command:"failover" description:"a control-plane member is killed, one server drains, one crashes"`
	Maintenance     demoMaintenance     `command:"maintenance" description:"a machine is taken out in approved hours"`
	Policy          demoPolicy          `command:"policy" description:"two teams change policies for the same routes under traffic"`
	PolicyDownloads demoPolicyDownloads `command:"policy-downloads" description:"the same in a winery's intake: weighings, lookups and exports"`
}

func newDemoCommands(env *environment) *demoCommands {
	return &demoCommands{
		Failover:        demoFailover{env: env},
		Maintenance:     demoMaintenance{env: env},
		Policy:          demoPolicy{env: env},
		PolicyDownloads: demoPolicyDownloads{env: env},
	}
}

type demoFailover struct {
	env  *environment
	Stay bool `long:"stay" description:"keep the mesh up until interrupted"`
}

// Execute runs the demo of a failover of a control-plane member and of servers.
func (c *demoFailover) Execute([]string) error {
	stay, cancel := context.WithCancel(context.Background())
	defer cancel()
	if !c.Stay {
		cancel()
	}
	return demo.Failover(stay, c.env.out, c.env.options.Timeout)
}

type demoMaintenance struct {
	env    *environment
	Length time.Duration `long:"length" default:"4s" description:"of the maintenance itself"`
}

// Execute runs the demo of a machine's maintenance.
func (c *demoMaintenance) Execute([]string) error { return demo.Maintenance(c.env.out, c.Length) }

type demoPolicy struct {
	env    *environment
	Length time.Duration `long:"for" default:"12s" description:"how long the traffic runs"`
}

// Execute runs the demo of two teams that change their policies.
func (c *demoPolicy) Execute([]string) error {
	return demo.Policy(c.env.out, demo.DispatchScenario(c.Length))
}

type demoPolicyDownloads struct {
	env    *environment
	Length time.Duration `long:"for" default:"12s" description:"how long the traffic runs"`
}

// Execute runs the same demo with downloads.
func (c *demoPolicyDownloads) Execute([]string) error {
	return demo.Policy(c.env.out, demo.IntakeScenario(c.Length))
}
