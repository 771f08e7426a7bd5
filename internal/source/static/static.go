// Package static is a list of servers that is told once and stays.
package static

import (
	"context"

	"cranegrade/internal/engine"
)

// Source is a fixed list. It implements engine.Source.
type Source []engine.Listed

// Follow tells the list, unless it was told, and then nothing until ctx ends.
func (s Source) Follow(ctx context.Context, since string, news func(engine.News)) error {
	if since != version {
		news(engine.News{Full: true, Version: version, Servers: s})
	}
	<-ctx.Done()
	return context.Cause(ctx)
}

// version of the one list there is.
const version = "static"

func (s Source) String() string { return "the file" }
