package cli

import (
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"
)

// formerNames are the commands of the release before by their names of then, and what they are called now. They answer for one
// release, and say so; the release after this one takes this file out.
var formerNames = map[string]string{
	"draw":             "topology",
	"night":            "maintenance",
	"night back":       "maintenance complete",
	"maintenance back": "maintenance complete",
	"rules":            "policy",
	"rules told":       "policy notices",
	"policy told":      "policy notices",
	"ring":             "logs",
	"rescue":           "recover",
	"tour":             "demo failover",
	"maintenance":      "demo maintenance",
	"campaign":         "demo policy",
	"intake":           "demo policy-downloads",
}

// formerCommands returns hidden commands under the former names. "maintenance" is no such command: it was a demo, and is the name of
// what was called "night" now; without one of its subcommands it still plays the demo.
func formerCommands(env *environment) []namedCommand {
	list := []namedCommand{
		{name: "draw", data: &topologyCommand{env: env}},
		{name: "night", data: newMaintenanceCommands(env)},
		{name: "rules", data: newPolicyCommands(env)},
		{name: "ring", data: &logsCommand{env: env}},
		{name: "rescue", data: &recoverCommand{env: env}},
		{name: "tour", data: &demoFailover{env: env}},
		{name: "campaign", data: &demoPolicy{env: env}},
		{name: "intake", data: &demoPolicyDownloads{env: env}},
	}
	for i := range list {
		list[i].description = "former name of " + formerNames[list[i].name]
	}
	return list
}

// activeCommands returns the names of the command that was given and of its subcommands.
func activeCommands(parser *flags.Parser) (names []string) {
	for command := parser.Active; command != nil; command = command.Active {
		names = append(names, command.Name)
	}
	return names
}

// warnFormerName says what a command is called now that was given by its former name.
func (env *environment) warnFormerName(names []string) {
	given := strings.Join(names, " ")
	now, former := formerNames[given]
	if !former && len(names) == 2 && names[0] != "maintenance" {
		if now, former = formerNames[names[0]]; former {
			now += " " + names[1]
		}
	}
	if former {
		fmt.Fprintf(env.errOut, "meshctl: %q is %q now, and goes with the next release\n", given, now)
	}
}
