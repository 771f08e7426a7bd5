package program

import (
	"io"
	"sync"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/node"
	"cranegrade/internal/trace"
)

// tracer opens the traces that the command line asks for, one for each pool, and closes them at the end.
type tracer struct {
	dir    string // empty if no traces are written
	detail bool   // also a line for each request, attempt and answer

	mu    sync.Mutex // guards the fields below: reloads add to them
	sinks []*trace.Sink
	files []io.Closer // the file of each sink
}

// options returns the options with the tracing added, if there is any.
func (t *tracer) options(o node.Options, name string) node.Options {
	if t.dir == "" {
		return o
	}
	o.Trace = func(pool string, classes []balancer.Class, m engine.Module) (engine.Module, error) {
		f, err := trace.Create(t.dir, name, pool)
		if err != nil {
			return nil, err
		}
		s := trace.NewSink(f, trace.MaxFileBytes)
		t.mu.Lock()
		t.sinks = append(t.sinks, s)
		t.files = append(t.files, f)
		t.mu.Unlock()
		return trace.New(m, classes, s, trace.Options{Detail: t.detail}), nil
	}
	return o
}

// close writes what is left of the traces. A trace that can't be written must not change how the program ends, so its errors
// are dropped.
func (t *tracer) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, s := range t.sinks {
		s.Close()
		_ = t.files[i].Close()
	}
}
