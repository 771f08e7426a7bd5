package program

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// maxLinesPerSecond bounds the log, since what comes from sockets can cause lines at any rate.
const maxLinesPerSecond = 20

// rateLimitedWriter passes on a limited number of lines in each second, and counts the others. The first line of a later
// second is preceded by their number.
type rateLimitedWriter struct {
	to io.Writer

	mu      sync.Mutex // guards the fields below, and serializes writes
	second  int64      // Unix time
	lines   int        // in this second
	dropped int        // in this second
}

// Write implements io.Writer. line is a whole line, as package log writes it.
func (w *rateLimitedWriter) Write(line []byte) (int, error) {
	return w.writeAt(time.Now().Unix(), line)
}

// writeAt is Write in a second of Unix time.
func (w *rateLimitedWriter) writeAt(second int64, line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second != w.second {
		if w.dropped > 0 {
			fmt.Fprintf(w.to, "%d lines left out\n", w.dropped)
		}
		w.second = second
		w.lines = 0
		w.dropped = 0
	}
	w.lines++
	if w.lines > maxLinesPerSecond {
		w.dropped++
		return len(line), nil
	}
	return w.to.Write(line)
}
