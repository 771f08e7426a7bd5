package controlplane

import (
	"context"
	"sync"
	"time"

	"cranegrade/internal/mesh/maintenance"
	"cranegrade/internal/mesh/replica"
	"cranegrade/internal/mesh/transport/wire"
)

const (
	surveyInterval = 250 * time.Millisecond // while an order is open, or a policy set is not active yet
	surveyTimeout  = 700 * time.Millisecond // after which a process counts as not answering
	maxLastHeard   = 4096                   // addresses in surveyor.lastHeard
)

// surveyor asks all members and sidecars for their status, for the leader's controllers. It belongs to the loop's goroutine; a survey
// itself runs on another, so that a process that does not answer does not block the loop.
type surveyor struct {
	ctx         context.Context
	loop        *eventLoop
	clock       *clock
	replica     *replica.Replica
	self        string // this member's address
	ownStatus   func() *wire.StatusT
	afterSurvey func() // called after each survey, following the callback given to start
	background  *sync.WaitGroup
	connections statusConnections

	startedAt time.Duration // of the latest survey
	running   bool
	status    map[string]*wire.StatusT  // by address, of the processes that answered the latest survey; nil if there was none
	samples   []maintenance.ClockSample // of members' clocks
	lastHeard map[string]time.Duration  // by address: when the process last answered
}

// due reports whether it is time for another survey.
func (s *surveyor) due(now time.Duration) bool {
	return !s.running && now-s.startedAt >= surveyInterval
}

// discardResults discards the results of surveys when this member does not lead.
func (s *surveyor) discardResults() {
	s.connections.close()
	s.status, s.samples = nil, nil
}

// start begins a survey. It calls onComplete on the loop's goroutine once the survey has ended.
func (s *surveyor) start(onComplete func()) {
	s.running, s.startedAt = true, s.clock.now()
	var addresses []string
	for _, record := range s.replica.Records().All() {
		addresses = append(addresses, record.Addr)
	}
	members, _ := s.replica.Members()
	memberIDs := map[string]uint64{}
	for _, member := range members {
		memberIDs[member.Addr] = uint64(member.ID)
		if member.Addr != s.self {
			addresses = append(addresses, member.Addr)
		}
	}
	own := s.ownStatus()
	s.background.Go(func() {
		result := s.ask(addresses, memberIDs, own)
		s.loop.post(func() {
			s.storeResult(result)
			onComplete()
			s.afterSurvey()
		})
	})
}

// surveyResult is the result of one survey.
type surveyResult struct {
	mu      sync.Mutex // guards the fields below while processes are asked
	status  map[string]*wire.StatusT
	samples []maintenance.ClockSample
}

// ask asks all processes for their status, in parallel. It does not run on the loop's goroutine.
func (s *surveyor) ask(addresses []string, memberIDs map[string]uint64, own *wire.StatusT) *surveyResult {
	ctx, cancel := context.WithTimeout(s.ctx, surveyTimeout)
	defer cancel()
	result := &surveyResult{
		status:  map[string]*wire.StatusT{s.self: own},
		samples: []maintenance.ClockSample{{Member: memberIDs[s.self], Wall: s.clock.wall(), ReadAt: s.clock.now()}},
	}
	var all sync.WaitGroup
	for _, address := range addresses {
		all.Go(func() {
			asked := s.clock.now()
			status, err := s.connections.status(ctx, address)
			if err != nil {
				return
			}
			result.add(address, status, memberIDs[address], asked, s.clock.now())
		})
	}
	all.Wait()
	return result
}

// add records a status and, if it is of a member, a sample of its clock, which is assumed to have been read in the middle of the round
// trip.
func (r *surveyResult) add(address string, status *wire.StatusT, memberID uint64, asked, answered time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status[address] = status
	if status.ControlPlane && status.WallTimeNs != 0 {
		trip := answered - asked
		r.samples = append(r.samples, maintenance.ClockSample{
			Member:    memberID,
			Wall:      time.Unix(0, status.WallTimeNs),
			ReadAt:    asked + trip/2,
			RoundTrip: trip,
		})
	}
}

// storeResult records the result of the latest survey.
func (s *surveyor) storeResult(result *surveyResult) {
	s.running, s.status, s.samples = false, result.status, result.samples
	if s.lastHeard == nil || len(s.lastHeard) > maxLastHeard {
		s.lastHeard = map[string]time.Duration{}
	}
	for address := range result.status {
		s.lastHeard[address] = s.clock.now()
	}
}
