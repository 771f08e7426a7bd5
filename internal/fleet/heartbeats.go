package fleet

import (
	"log"
	"math"
	"time"

	"github.com/hashicorp/memberlist"

	"cranegrade/internal/fleet/membership"
	"cranegrade/internal/fleet/shares"
)

// run sends heartbeats, publishes what is due, and reconnects, until Close.
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
			f.publishDue(now)
		}
		f.reconnect(now)
		timer.Reset(max(time.Millisecond, min(nextRound, f.nextViewChange())-now))
	}
}

// nextViewChange returns when the view changes if nothing happens before.
func (f *Fleet) nextViewChange() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at, ok := f.view.Next(); ok {
		return at
	}
	return math.MaxInt64
}

// publishDue is publish for callers that do not hold f.mu.
func (f *Fleet) publishDue(now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.publish(now)
}

// outgoing is a heartbeat on its way, with demands and loans.
type outgoing struct {
	to      memberlist.Node
	message []byte
}

// sendHeartbeats sends a round of heartbeats.
func (f *Fleet) sendHeartbeats(now time.Duration) {
	f.mu.Lock()
	f.recordStall(now)
	gossip := f.gossip
	var round []outgoing
	if gossip != nil && !f.closed {
		round = f.heartbeatRound(now)
	}
	f.publish(now) // before anything is sent: what is lent must not be used here any more once the borrower has it
	f.mu.Unlock()
	for _, heartbeat := range round {
		f.bytesSent.Add(int64(len(heartbeat.message)))
		_ = gossip.SendBestEffort(&heartbeat.to, heartbeat.message) // a heartbeat may be lost
	}
}

// recordStall notes how long this process has not run, if it was for longer than two rounds. The caller holds f.mu.
func (f *Fleet) recordStall(now time.Duration) {
	gap := now - f.lastRoundAt
	f.lastRoundAt = now
	if gap <= 2*f.config.lease().HeartbeatInterval() {
		return
	}
	f.stalls = append(f.stalls, Stall{At: now, For: gap})
	if len(f.stalls) > maxStalls {
		f.stalls = f.stalls[1:]
	}
	log.Printf("fleet: this process did not run for %v; grants that are older than %v do not count until others are heard again",
		gap.Round(time.Millisecond), f.config.Lease)
}

// heartbeatRound returns the heartbeats of a new round. The caller holds f.mu.
func (f *Fleet) heartbeatRound(now time.Duration) (round []outgoing) {
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
		round = append(round, outgoing{to: node, message: append(message, shares.Encode(demands, lent)...)})
	}
	return round
}

// receiveHeartbeat processes a heartbeat with its demands and loans, and sends the sender this node's roster if it has another one.
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
	if exchangeRosters && known && f.gossip != nil && !f.closed && now-f.rosterSentAt[from] >= rosterInterval {
		f.rosterSentAt[from] = now
		f.sendRoster(node)
	}
}

// rosterInterval is the least time between two rosters to one member.
const rosterInterval = time.Second

// sendRoster sends this node's roster to a member, from a goroutine: the gossip must not be called under f.mu, which the caller holds.
func (f *Fleet) sendRoster(to memberlist.Node) {
	gossip := f.gossip
	message := append([]byte{rosterMessage}, membership.EncodeEntries(f.roster.Entries())...)
	f.tasks.Go(func() {
		if gossip.SendReliable(&to, message) == nil { // if not, a later heartbeat has it sent again
			f.bytesSent.Add(int64(len(message)))
		}
	})
}
