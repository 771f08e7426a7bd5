package trace

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
)

// maxQueuedLines is how many lines may wait for the writer.
const maxQueuedLines = 4096

// Sink takes the lines of traces to a writer, on a goroutine of its own: a slow disk costs lines, not
// requests.
type Sink struct {
	lines     chan []byte
	dropped   atomic.Int64
	remaining int64 // bytes that may still be written
	once      sync.Once
	quit      chan struct{}
	done      chan struct{}
}

// NewSink returns a sink that writes to w, at most limit bytes in all (0: no limit). The caller closes
// the sink, and then w.
func NewSink(w io.Writer, limit int64) *Sink {
	s := &Sink{lines: make(chan []byte, maxQueuedLines), remaining: limit, quit: make(chan struct{}), done: make(chan struct{})}
	go s.run(w, limit > 0)
	return s
}

func (s *Sink) run(w io.Writer, bounded bool) {
	defer close(s.done)
	write := func(line []byte) {
		if bounded {
			if s.remaining -= int64(len(line)); s.remaining < 0 {
				s.remaining = 0
				s.dropped.Add(1)
				return
			}
		}
		if _, err := w.Write(line); err != nil {
			s.dropped.Add(1)
		}
	}
	for {
		select {
		case line := <-s.lines:
			write(line)
		case <-s.quit:
			for {
				select {
				case line := <-s.lines:
					write(line)
				default:
					return
				}
			}
		}
	}
}

func (s *Sink) enqueue(v any) {
	select {
	case s.lines <- encode(v):
	default:
		s.dropped.Add(1)
	}
}

// Dropped is how many lines were not written.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes what waits and ends the sink. What is put afterwards is lost.
func (s *Sink) Close() {
	s.once.Do(func() { close(s.quit) })
	<-s.done
}

// MaxFileBytes is how much a trace file may hold: a node that is traced and forgotten fills no disk.
const MaxFileBytes = 256 << 20

// Create opens a file for the trace of a pool of a node, in dir. No file is written over: a node that
// starts again under its name gets another number.
func Create(dir, node, pool string) (*os.File, error) {
	name := fileName(node)
	if pool != "" {
		name += "." + fileName(pool)
	}
	for n := range 1000 {
		f, err := os.OpenFile(filepath.Join(dir, fmt.Sprintf("%s.%d.trace", name, n)), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
		if !os.IsExist(err) {
			if err != nil {
				return nil, fmt.Errorf("opening a trace: %w", err)
			}
			return f, nil
		}
	}
	return nil, fmt.Errorf("%s holds a thousand traces of %s already", dir, name)
}

func fileName(s string) string {
	return strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '_' {
			return r
		}
		return '_'
	}, s)
}
