package fleet

import (
	"log"
	"math"
	"time"

	"github.com/hashicorp/memberlist"

	"cranegrade/internal/fleet/membership"
	"cranegrade/internal/fleet/shares"
)

// run sends heartbeats, publishes roles and shares, and reconnects, until Close.
func (f *Fleet) run() {
	interval := f.config.lease().HeartbeatInterval()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var nextRound time.Duration
	for {
		select {
		case <-timer.C:
		case <-f.wakeups:
		case <-f.stop:
			return
		}
		now := BootTime()
		if now >= nextRound {
			f.sendHeartbeats(now)
			nextRound = now + interval
		} else {
			f.lockAndPublish(now)
		}
		f.reconnect(now)
		timer.Reset(max(time.Millisecond, min(nextRound, f.nextViewChange())-now))
	}
}

// nextViewChange returns the time of the view's next time-driven change, if no event changes it before.
func (f *Fleet) nextViewChange() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at, ok := f.view.Next(); ok {
		return at
	}
	return math.MaxInt64
}

// lockAndPublish calls publish under f.mu.
func (f *Fleet) lockAndPublish(now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publish(now)
}

// outgoingHeartbeat is an encoded heartbeat, with demands and loans, and its destination.
type outgoingHeartbeat struct {
	to      memberlist.Node
	message []byte
}

// sendHeartbeats starts a round of heartbeats and sends one to each member.
func (f *Fleet) sendHeartbeats(now time.Duration) {
	f.mu.Lock()
	f.recordStall(now)
	gossip := f.gossip
	var round []outgoingHeartbeat
	if gossip != nil && !f.closed {
		round = f.heartbeatRound(now)
	}
	f.publish(now) // before sending: a lent part must no longer be used here when the borrower receives it
	f.mu.Unlock()
	for _, heartbeat := range round {
		f.bytesSent.Add(int64(len(heartbeat.message)))
		_ = gossip.SendBestEffort(&heartbeat.to, heartbeat.message) // best effort: the next round repeats a lost heartbeat
	}
}

// recordStall records a stall if more than two heartbeat intervals have passed since the last round. The caller holds f.mu.
func (f *Fleet) recordStall(now time.Duration) {
	gap := now - f.lastRoundAt
	f.lastRoundAt = now
	if gap <= 2*f.config.lease().HeartbeatInterval() {
		return
	}
	f.stalls = append(f.stalls, Stall{EndedAt: now, Duration: gap})
	if len(f.stalls) > maxStalls {
		f.stalls = f.stalls[1:]
	}
	log.Printf("fleet: this process did not run for %v; grants older than %v are invalid until new heartbeats arrive",
		gap.Round(time.Millisecond), f.config.Lease)
}

// heartbeatRound starts a new round and returns its heartbeats. The caller holds f.mu.
func (f *Fleet) heartbeatRound(now time.Duration) (round []outgoingHeartbeat) {
	f.loans.Expire(now, func(name string) bool {
		_, known := f.nodes[name]
		return known
	})
	demands := f.loans.Demands()
	evenShare := 1 / f.share.DivisorAt(now)
	for _, name := range f.roster.StartRound(now) {
		node, known := f.nodes[name]
		if !known {
			continue
		}
		message := append([]byte{heartbeatMessage}, f.roster.Heartbeat(name).Encode()...)
		lent := f.loans.Lend(now, name, evenShare, f.share.Until, f.share.Counts)
		round = append(round, outgoingHeartbeat{to: node, message: append(message, shares.Encode(demands, lent)...)})
	}
	return round
}

// receiveHeartbeat processes a heartbeat with its demands and loans. If the sender's roster differs, it sends the sender this node's.
func (f *Fleet) receiveHeartbeat(heartbeat membership.Heartbeat, demands []shares.Demand, loans []shares.Loan) {
	now := BootTime()
	from := heartbeat.From
	f.mu.Lock()
	defer f.mu.Unlock()
	exchangeRosters, echoedAt := f.roster.Receive(now, heartbeat)
	node, known := f.nodes[from]
	if known && heartbeat.To == membership.NameID(f.config.Name) {
		f.loans.Receive(now, from, demands, loans, echoedAt)
		if len(loans) > 0 {
			f.wake()
		}
	}
	if exchangeRosters && known && f.gossip != nil && !f.closed && now-f.rosterSentAt[from] >= minRosterInterval {
		f.rosterSentAt[from] = now
		f.sendRoster(node)
	}
}

// minRosterInterval is the minimum time between two rosters sent to the same member.
const minRosterInterval = time.Second

// sendRoster sends this node's roster to a member. The caller holds f.mu, under which memberlist must not be called, so a goroutine sends.
func (f *Fleet) sendRoster(to memberlist.Node) {
	gossip := f.gossip
	message := append([]byte{rosterMessage}, membership.EncodeEntries(f.roster.Entries())...)
	f.tasks.Go(func() {
		if gossip.SendReliable(&to, message) == nil { // after an error, a later heartbeat triggers another attempt
			f.bytesSent.Add(int64(len(message)))
		}
	})
}
