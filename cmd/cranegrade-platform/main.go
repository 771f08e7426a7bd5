// Command cranegrade-platform is cranegrade without what the platform does not use: gRPC and the xDS
// messages, which would take memory there for nothing (docs/design/xds.md has the figures).
package main

import (
	"cranegrade/internal/node"
	"cranegrade/internal/program"
)

func main() { program.Main(node.Options{}) }
