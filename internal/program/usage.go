package program

import "strings"

const usage = `cranegrade is a load balancer.

usage:
  cranegrade -config FILE     run by an operator's file
  cranegrade                  run by the platform's configuration, which ROUTER_CONFIG names
  cranegrade check FILE...    check operator's files; exits 1 if any has a fault
  cranegrade xds dump -config FILE
                              what the running node holds of clusters and endpoints
  cranegrade -version
  cranegrade -h

With -trace DIR the node writes there what each pool's module believes and does, a line a second;
with -trace-detail also a line for each request, attempt and answer (docs/overload.md).
While it runs: SIGHUP reads the file again, SIGTERM ends it once all that it has taken is answered.
Pages for operators are in docs/, examples of files in deploy/examples/.
`

// usageWith returns the usage with further commands, which stand before the general flags.
func usageWith(commands []Command) string {
	const generalFlags = "  cranegrade -version\n"
	before, after, _ := strings.Cut(usage, generalFlags)
	for _, c := range commands {
		before += c.Usage
	}
	return before + generalFlags + after
}
