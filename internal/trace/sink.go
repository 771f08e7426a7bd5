package trace

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines is how many lines may wait for the writer.
const maxQueuedLines = 4096

// Sink writes the lines of traces on a goroutine of its own, so that a slow disk costs lines and not
// requests. Its methods may be called from any goroutine.
type Sink struct {
	lines     chan []byte
	dropped   atomic.Int64
	closeOnce sync.Once
	quit      chan struct{} // closed by Close
	done      chan struct{} // closed when run has returned

	// Owned by run.
	w         io.Writer
	bounded   bool
	remaining int64 // bytes that may still be written, if bounded
}

// NewSink returns a sink that writes to w, at most limit bytes in all; 0 means no limit. The caller closes the
// sink, and then w.
func NewSink(w io.Writer, limit int64) *Sink {
	s := &Sink{
		lines:     make(chan []byte, maxQueuedLines),
		quit:      make(chan struct{}),
		done:      make(chan struct{}),
		w:         w,
		bounded:   limit > 0,
		remaining: limit,
	}
	go s.run()
	return s
}

// run writes lines until Close, and then those that wait.
func (s *Sink) run() {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-s.quit:
			s.writeQueued()
			return
		}
	}
}

func (s *Sink) writeQueued() {
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		default:
			return
		}
	}
}

func (s *Sink) write(line []byte) {
	if s.bounded {
		if s.remaining -= int64(len(line)); s.remaining < 0 {
			s.remaining = 0
			s.dropped.Add(1)
			return
		}
	}
	if _, err := s.w.Write(line); err != nil {
		s.dropped.Add(1)
	}
}

// enqueue queues a line, or drops it if the queue is full.
func (s *Sink) enqueue(v any) {
	select {
	case s.lines <- encode(v):
	default:
		s.dropped.Add(1)
	}
}

// Dropped returns how many lines were not written.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

// Close writes the lines that wait and ends the sink. Lines that are enqueued afterwards are lost.
func (s *Sink) Close() {
	s.closeOnce.Do(func() { close(s.quit) })
	<-s.done
}
