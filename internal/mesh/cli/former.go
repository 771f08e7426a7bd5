package cli

import (
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"
)

// formerNames maps the names of commands in the previous release to the present names. The former names work for one release and
// print a warning; the next release removes this file.
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

// formerCommands returns hidden commands under the former names. "maintenance" is not among them: it was the name of a demo, and is now
// the name of the former command "night". Without a subcommand it still runs the demo.
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

// activeCommands returns the names of the command and subcommands on the command line.
func activeCommands(parser *flags.Parser) (names []string) {
	for command := parser.Active; command != nil; command = command.Active {
		names = append(names, command.Name)
	}
	return names
}

// warnFormerName prints the present name of a command that was given by its former name.
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
