// Package static is the source of a pool's servers whose list stands in the operator's file: it never
// changes.
package static

import (
	"context"

	"cranegrade/internal/engine"
)

// Source is a fixed list of servers. It implements engine.Source.
type Source []engine.Listed

var _ engine.Source = Source(nil)

// version is that of the only list there is.
const version = "static"

// Watch passes on the list, unless since says that the engine has it, and returns why ctx has ended.
func (s Source) Watch(ctx context.Context, since string, onUpdate func(engine.ListUpdate)) error {
	if since != version {
		onUpdate(engine.ListUpdate{Full: true, Version: version, Servers: s})
	}
	<-ctx.Done()
	return context.Cause(ctx)
}

// String names the source in log messages.
func (s Source) String() string { return "the file" }
