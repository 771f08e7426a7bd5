package fleet

import (
	"bytes"
	"log"
	"sync"
	"time"
)

// gossipLog copies memberlist's warnings and errors to the program's log, at most maxLinesPerPeriod in each logPeriod. memberlist calls it
// from any goroutine.
type gossipLog struct {
	mu          sync.Mutex // guards the fields below
	periodStart time.Time
	lines       int // that arrived in the period
	dropped     int // of lines, those that were not logged
}

const (
	logPeriod         = 10 * time.Second
	maxLinesPerPeriod = 5
	maxLogLine        = 300 // bytes
)

// Write processes one line of memberlist's log. It never returns an error.
func (g *gossipLog) Write(line []byte) (int, error) {
	if !bytes.HasPrefix(line, []byte("[WARN]")) && !bytes.HasPrefix(line, []byte("[ERR]")) {
		return len(line), nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Since(g.periodStart) > logPeriod {
		if g.dropped > 0 {
			log.Printf("fleet: %d more lines of memberlist's log were dropped", g.dropped)
		}
		g.periodStart = time.Now()
		g.lines = 0
		g.dropped = 0
	}
	g.lines++
	if g.lines > maxLinesPerPeriod {
		g.dropped++
		return len(line), nil
	}
	_, text, _ := bytes.Cut(bytes.TrimSpace(line), []byte("memberlist: "))
	if len(text) > maxLogLine {
		text = text[:maxLogLine]
	}
	log.Printf("fleet: %q", text)
	return len(line), nil
}
