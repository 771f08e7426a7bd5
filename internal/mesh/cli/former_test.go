package cli

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A command of the previous release works, prints its present name, and is not listed in the help.
func TestFormerNames(t *testing.T) {
	for _, x := range []struct {
		name string
		args []string
		now  string
	}{
		{"command", []string{"ring", "127.0.0.1:1"}, "logs"},
		{"command with an option", []string{"--timeout", "300ms", "draw", "127.0.0.1:1"}, "topology"},
		{"subcommand of a former command", []string{"night", "list", "127.0.0.1:1"}, "maintenance list"},
		{"former subcommand of a former command", []string{"rules", "told", "127.0.0.1:1", "shop"}, "policy notices"},
		{"former subcommand", []string{"maintenance", "back", "--by", "ana", "127.0.0.1:1", "order"}, "maintenance complete"},
		{"former option", []string{"--within", "300ms", "ring", "127.0.0.1:1"}, "logs"},
	} {
		t.Run(x.name, func(t *testing.T) {
			code, text := runCommand(t, x.args...)
			assert.Equal(t, code, ExitNoAnswer, text)
			assert.Assert(t, strings.Contains(text, `is "`+x.now+`" now`), text)
		})
	}
	_, help := runCommand(t, "--help")
	for former := range formerNames {
		if former == "maintenance" || strings.Contains(former, " ") {
			continue
		}
		assert.Assert(t, !strings.Contains(help, "\n  "+former+" "), help)
	}
}

// Commands under their present names print no warning.
func TestTodaysNames(t *testing.T) {
	for _, args := range [][]string{
		{"logs", "127.0.0.1:1"},
		{"maintenance", "list", "127.0.0.1:1"},
		{"policy", "notices", "127.0.0.1:1", "shop"},
	} {
		code, text := runCommand(t, args...)
		assert.Equal(t, code, ExitNoAnswer, text)
		assert.Assert(t, !strings.Contains(text, " now"), text)
	}
}

// An unknown subcommand is a usage error.
func TestUnknownSubcommand(t *testing.T) {
	for _, args := range [][]string{{"maintenance", "nonsense"}, {"policy", "nonsense"}, {"demo", "nonsense"}, {"policy"}, {"night"}} {
		code, text := runCommand(t, args...)
		assert.Equal(t, code, ExitUsage, "%v: %s", args, text)
	}
}
