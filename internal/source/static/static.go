// Package static is a list of servers that is told once and stays.
package static

import (
	"context"

	"cranegrade/internal/engine"
)

// Source is a fixed list. It implements engine.Source.
type Source []engine.Listed

// Watch passes on the list, unless since says that it is known, and then nothing until ctx ends.
func (s Source) Watch(ctx context.Context, since string, update func(engine.ListUpdate)) error {
	if since != version {
		update(engine.ListUpdate{Full: true, Version: version, Servers: s})
	}
	<-ctx.Done()
	return context.Cause(ctx)
}

// version of the one list there is.
const version = "static"

func (s Source) String() string { return "the file" }
