package program

import "strings"

// usage is the help of every program. It begins with what the program is for and ends with examples.
const usage = `cranegrade is a load balancer.

It accepts callers' requests, sends each to a server of its service, and retries or rejects as the service's
settings say.

usage:
  cranegrade -config FILE     run by an operator's file
  cranegrade                  run by the platform's configuration, which ROUTER_CONFIG names
  cranegrade check FILE...    check operator's files; exits 1 if any has a fault
  cranegrade xds dump -config FILE
                              what the running node holds of clusters and endpoints
  cranegrade -version
  cranegrade -h

Exit codes: 0 for success, 1 if the node could not start or a file has faults, 2 for a wrong command line.

With -trace DIR (default: none) the node writes there what each pool's module believes and does, a line a second;
with -trace-detail (default: off) also a line for each request, attempt and answer (docs/overload.md).
While it runs: SIGHUP reads the file again, SIGTERM ends it once all that it has taken is answered.

examples:
  cranegrade check deploy/examples/two-services.toml
  cranegrade -config deploy/examples/two-services.toml

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
