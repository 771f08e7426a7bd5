package program

import (
	"io"
	"sync"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/node"
	"cranegrade/internal/trace"
)

// tracer opens the traces that the command line asks for, and closes them at the end.
type tracer struct {
	dir    string // "": none
	detail bool

	mu    sync.Mutex // guards open: a reload opens more
	sinks []*trace.Sink
	files []io.Closer
}

// options adds the tracing to what the program brings.
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
		t.sinks, t.files = append(t.sinks, s), append(t.files, f)
		t.mu.Unlock()
		return trace.New(m, classes, s, trace.Options{Detail: t.detail}), nil
	}
	return o
}

func (t *tracer) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, s := range t.sinks {
		s.Close()
		t.files[i].Close()
	}
}
