package replica

import (
	"time"

	"cranegrade/internal/mesh/maintenance"
	"cranegrade/internal/mesh/raft"
)

// leaderGap measures how long there was no leader since the last agreed time of day, by this replica's own monotonic clock, because log
// time does not advance meanwhile. The zero value has seen no entry.
type leaderGap struct {
	// duration is maintenance.LeaderlessUnknown if this replica has not run for the whole time, so that it can't tell.
	duration  time.Duration
	term      uint64        // of the latest entry
	logTime   time.Duration // of the latest entry
	appliedAt time.Duration // when the latest entry was applied, or 0 if none was
}

// observe records an entry that is applied at a time. agreedTime says that it set a new agreed time of day.
func (g *leaderGap) observe(entry raft.Entry, now time.Duration, agreedTime bool) {
	switch {
	case g.appliedAt == 0:
		g.duration = maintenance.LeaderlessUnknown
	case entry.Term != g.term && g.duration >= 0:
		// Real time that has passed since the latest entry, less log time that has passed: the time without a leader.
		g.duration += max(0, (now-g.appliedAt)-(entry.LogTime-g.logTime))
	}
	g.term, g.logTime, g.appliedAt = entry.Term, entry.LogTime, max(1, now)
	if agreedTime {
		g.duration = 0
	}
}
