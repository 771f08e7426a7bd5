package cli

import (
	"fmt"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/testcluster"
	"cranegrade/internal/testfleet"
)

// pollPause is the interval at which a condition is polled.
const pollPause = 100 * time.Millisecond

// documentedPages are the pages for operators whose commands are run.
var documentedPages = []string{"mesh.md", "maintenance.md", "rules.md", "teams.md"}

var (
	// documentedCommand matches a command on an indented line of a page. Two spaces separate it from its description.
	documentedCommand = regexp.MustCompile(`^    meshctl ((?:\S+ )*?\S+)(?:   *\S.*)?$`)
	optionalPart      = regexp.MustCompile(`\[([^\]]*)\]`)
)

// documentedCommands returns the commands of a page, each with and without its optional parts.
func documentedCommands(t *testing.T, page string) (commands []string) {
	t.Helper()
	text, err := os.ReadFile("../../../docs/" + page)
	assert.NilError(t, err)
	for line := range strings.Lines(string(text)) {
		match := documentedCommand.FindStringSubmatch(strings.TrimRight(line, "\n"))
		if match == nil {
			continue
		}
		commands = append(commands, optionalPart.ReplaceAllString(match[1], ""))
		for _, choice := range []string{"$1", ""} {
			if with := optionalPart.ReplaceAllString(match[1], choice); with != commands[len(commands)-1] && !strings.Contains(with, "|") {
				commands = append(commands, with)
			}
		}
	}
	assert.Assert(t, len(commands) > 0, "%s shows no commands", page)
	return commands
}

// Each command on the pages for operators is known to meshctl, and gets an answer from a running mesh.
func TestDocumentedCommands(t *testing.T) {
	m := startCommandsTest(t)
	change := m.routeCall(t, "change.json", 3, []string{"stock", "orders"}, "read", "stock")
	assert.Assert(t, testfleet.Await(testTimeout, func() bool { code, _ := runCommand(t, "apply", m.api, change); return code == ExitOK }))
	assert.Assert(t, m.AwaitReady(testTimeout))
	stopped := m.Members[2]
	stopped.Kill()
	patience := `{"Upsert":{"RulingList":[{"Name":"patience","Namespace":"shop","ConfigVersion":1,"Tries":1}]}}`
	namespaces := `{"Upsert":{"NamespaceList":[{"Name":"shop","ConfigVersion":1,"Owners":["ana"],"Hosts":["` + testcluster.Host + `"]}]}}`
	namespacesFile := m.write(t, "namespaces.json", namespaces)
	var code int
	var text string
	assert.Assert(t, testfleet.Await(testTimeout, func() bool { // the member that was killed may have led: until another one does, it is 503
		code, text = runCommand(t, "apply", "--wait", m.api, namespacesFile)
		return code == ExitOK
	}), "%d %s", code, text)
	values := map[string]string{
		"MEMBER": m.transport, "API": m.api, "SIDECAR": m.Sidecars[0].Addr("Inbound"), "CHANGE": change, "DIR": stopped.DataDir(),
		"FILE": m.path("kept.json"), "MACHINE": m.Sidecars[0].Name, "MACHINE...": m.Sidecars[0].Name, "ORDER": "order-1", "NAME": "ana",
		"NAME...": "stock", "SERVICE": "orders", "ROUTE": "read", "NAMESPACE": "shop", "NAMESPACE:NAME": "shop:ana",
		"HOST": testcluster.Host, "PATH": "/read/x", "patience.json": m.write(t, "patience.json", patience), "saved.json": m.path("saved.json"),
	}
	code, text = runCommand(t, "backup", m.api, values["saved.json"])
	assert.Equal(t, code, ExitOK, text)
	for _, page := range documentedPages {
		for _, command := range documentedCommands(t, page) {
			t.Run(fmt.Sprint(page, " ", command), func(t *testing.T) { runDocumented(t, strings.Fields(command), values) })
		}
	}
}

// runDocumented runs a command with values for its placeholders. Demos are only looked up, because package demo's tests run them.
func runDocumented(t *testing.T, args []string, values map[string]string) {
	t.Helper()
	for i, arg := range args {
		if value, found := values[arg]; found {
			args[i] = value
		}
	}
	if args[0] == "demo" {
		args = append(args, "--help")
	}
	if slices.Contains(args, "watch") || slices.Contains(args, "--watch") {
		defer abortRepeatedly(t, values)()
	}
	code, text := runCommand(t, args...)
	assert.Assert(t, code == ExitOK || code == ExitRejected, "%v: %d %s", args, code, text)
}

// abortRepeatedly aborts the order that a command follows, until it is stopped. Otherwise the order would wait for approved hours.
func abortRepeatedly(t *testing.T, values map[string]string) (stop func()) {
	t.Helper()
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(pollPause):
				runCommand(t, "maintenance", "abort", "--by", "ana", values["API"], values["ORDER"])
			}
		}
	}()
	return func() { close(done); <-ended }
}
