package replica

import (
	"time"

	"cranegrade/internal/mesh/maintenance"
	"cranegrade/internal/mesh/raft"
)

// leaderGap measures for how long there was no leader since the members last agreed on the time of day. It measures on this replica's
// monotonic clock, because log time does not advance without a leader. The zero value has observed no entry.
type leaderGap struct {
	// duration is maintenance.LeaderlessUnknown if this replica has not observed all entries since that agreement.
	duration  time.Duration
	term      uint64        // of the latest entry
	logTime   time.Duration // of the latest entry
	appliedAt time.Duration // when the latest entry was applied; 0 if none was
}

// observe records that entry was applied at the time now. agreedTime is set if the entry set a new agreed time of day.
func (g *leaderGap) observe(entry raft.Entry, now time.Duration, agreedTime bool) {
	switch {
	case g.appliedAt == 0:
		g.duration = maintenance.LeaderlessUnknown
	case entry.Term != g.term && g.duration >= 0:
		// The time without a leader is the elapsed monotonic time since the latest entry, minus the elapsed log time.
		g.duration += max(0, (now-g.appliedAt)-(entry.LogTime-g.logTime))
	}
	g.term, g.logTime, g.appliedAt = entry.Term, entry.LogTime, max(1, now)
	if agreedTime {
		g.duration = 0
	}
}
