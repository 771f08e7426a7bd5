package testfleet

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Watch is what members were found to hold.
type ShareWatch struct {
	Samples        int
	MaxTotal       float64 // of the whole that all together held at a time
	Violations     int     // times that it was more than the whole
	FirstViolation string  // of the first
}

// Watch watches until ctx ends. What two members hold counts together only if each held it from before the other was asked
// until after: a sum that never was at one moment is no breach.
func (f *Fleet) WatchShares(ctx context.Context, every time.Duration) *ShareWatch {
	w := &ShareWatch{}
	type answer struct {
		name        string
		asked, came time.Time
		part        float64
		ok          bool
	}
	before := make([]answer, len(f.Members))
	for ctx.Err() == nil {
		answers := make([]answer, len(f.Members))
		var all sync.WaitGroup
		for i, m := range f.Members {
			all.Go(func() {
				if !m.IsRunning() {
					return
				}
				a := answer{name: m.Name, asked: time.Now()}
				r, err := m.Role()
				a.came, a.ok = time.Now(), err == nil
				a.part = r.Of100 / 100
				answers[i] = a
			})
		}
		all.Wait() // for a second at the most, where one is stopped
		// Held from the answer before to the question now: it is the same in both.
		sum, n, text := 0.0, 0, ""
		var from, to time.Time
		for i, a := range answers {
			b := before[i]
			if !a.ok || !b.ok || a.name != b.name {
				continue
			}
			from, to = later(from, b.came), earlier(to, a.asked)
			sum += min(a.part, b.part)
			n++
			text += fmt.Sprintf(" %s %.3f", a.name, min(a.part, b.part))
		}
		before = answers
		w.Samples++
		if n > 0 && from.Before(to) {
			if w.MaxTotal = max(w.MaxTotal, sum); sum > 1+1e-6 {
				if w.Violations++; w.Violations == 1 {
					w.FirstViolation = fmt.Sprintf("together%s at %v", text, time.Since(f.startedAt).Round(time.Millisecond))
				}
			}
		}
		select {
		case <-time.After(every):
		case <-ctx.Done():
		}
	}
	return w
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
