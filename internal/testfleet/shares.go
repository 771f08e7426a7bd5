package testfleet

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

// ShareWatch is what WatchShares found.
type ShareWatch struct {
	Samples        int
	MaxTotal       float64 // the largest sum of shares at one moment
	Violations     int     // samples in which the sum exceeded 1
	FirstViolation string  // describes the first of them; "": there was none
}

// shareReport is one member's answer to a question for its share.
type shareReport struct {
	member          string // "": it does not run
	asked, answered time.Time
	share           float64
	ok              bool
}

// WatchShares asks all members for their shares at an interval until ctx ends. The shares of two members count together only if each
// member had its share from before the other was asked until after: a sum that never existed at one moment is no violation.
func (f *Fleet) WatchShares(ctx context.Context, interval time.Duration) *ShareWatch {
	watch := &ShareWatch{}
	previous := make([]shareReport, len(f.Members))
	for ctx.Err() == nil {
		current := f.askForShares(ctx)
		f.addSample(watch, previous, current)
		previous = current
		select {
		case <-time.After(interval):
		case <-ctx.Done():
		}
	}
	return watch
}

// askForShares asks all members at once. It takes as long as the time-out of a call where a member is paused. A sample that has begun is
// completed although ctx ends.
func (f *Fleet) askForShares(ctx context.Context) []shareReport {
	ctx = context.WithoutCancel(ctx)
	reports := make([]shareReport, len(f.Members))
	var asking sync.WaitGroup
	for i, m := range f.Members {
		asking.Go(func() {
			if !m.IsRunning() {
				return
			}
			report := shareReport{member: m.Name, asked: time.Now()}
			role, err := m.Role(ctx)
			report.answered, report.ok = time.Now(), err == nil
			report.share = role.Of100 / 100
			reports[i] = report
		})
	}
	asking.Wait()
	return reports
}

// addSample adds what each member certainly had between two reports: the smaller of both shares, from the earlier answer until the later
// question. It counts if there is a moment that lies between both reports of all members, and tells whether it does.
func (f *Fleet) addSample(watch *ShareWatch, previous, current []shareReport) (counts bool) {
	sum, members := 0.0, 0
	var description strings.Builder
	var from, to time.Time
	for i, now := range current {
		before := previous[i]
		if !now.ok || !before.ok || now.member != before.member {
			continue
		}
		from, to = later(from, before.answered), earlier(to, now.asked)
		share := min(now.share, before.share)
		sum += share
		members++
		fmt.Fprintf(&description, " %s %.3f", now.member, share)
	}
	watch.Samples++
	if members == 0 || !from.Before(to) {
		return false
	}
	watch.MaxTotal = max(watch.MaxTotal, sum)
	if sum <= 1+shareSumRounding {
		return true
	}
	watch.Violations++
	if watch.Violations == 1 {
		watch.FirstViolation = fmt.Sprintf("together%s at %v", description.String(), time.Since(f.startedAt).Round(time.Millisecond))
	}
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlier returns the earlier of two times; a zero a counts as no time.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
