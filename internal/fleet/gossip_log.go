package fleet

import (
	"bytes"
	"log"
	"sync"
	"time"
)

// gossipLog passes the gossip's warnings and errors on to the program's log, a few in each period. memberlist calls it from any
// goroutine.
type gossipLog struct {
	mu          sync.Mutex // guards the fields below
	periodStart time.Time
	lines       int // passed on in the period
	dropped     int
}

const (
	logPeriod         = 10 * time.Second
	maxLinesPerPeriod = 5
	maxLogLine        = 300 // bytes
)

// Write takes one line of memberlist's log.
func (g *gossipLog) Write(line []byte) (int, error) {
	if !bytes.HasPrefix(line, []byte("[WARN]")) && !bytes.HasPrefix(line, []byte("[ERR]")) {
		return len(line), nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Since(g.periodStart) > logPeriod {
		if g.dropped > 0 {
			log.Printf("fleet: %d more lines of the gossip were dropped", g.dropped)
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
