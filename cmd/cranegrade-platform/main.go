// Command cranegrade-platform is the load balancer that the platform runs: cranegrade without gRPC, xDS and the other parts
// that the platform does not use, which would only take memory there (docs/design/xds.md has the figures).
package main

import (
	"cranegrade/internal/node"
	"cranegrade/internal/program"
)

func main() { program.Main(node.Options{}) }
