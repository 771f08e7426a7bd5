package fleet

import (
	"errors"
	"log"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hashicorp/memberlist"

	"cranegrade/internal/fleet/membership"
)

// Limits of the attempts to reach other members.
const (
	minJoinBackoff   = 500 * time.Millisecond
	maxJoinBackoff   = 30 * time.Second
	reopenInterval   = 100 * time.Millisecond // between attempts to listen while the address is in use
	maxJoinAddresses = 3                      // addresses tried in one attempt
)

// reconnect starts an attempt to open the gossip if it is not open, and else to rejoin failed members, if the backoff has passed. After a
// partition in which both sides have declared each other dead, the gossip alone does not merge them again.
func (f *Fleet) reconnect(now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.connecting || f.closed || f.leaving || now < f.connectAt {
		return
	}
	addresses := f.joinCandidates()
	if f.gossip != nil && len(addresses) == 0 {
		f.connectBackoff = 0
		f.connectAt = now + minJoinBackoff
		return
	}
	if f.gossip == nil { // the address is soon free: its holder is a predecessor about to exit, or a process that has just died
		f.connectBackoff = 0
		f.connectAt = now + reopenInterval
	} else {
		f.connectBackoff = min(maxJoinBackoff, max(minJoinBackoff, 2*f.connectBackoff))
		f.connectAt = now + f.connectBackoff/2 + rand.N(f.connectBackoff)
	}
	f.connecting = true
	gossip := f.gossip
	f.tasks.Go(func() { f.connect(gossip, addresses) })
}

// joinCandidates returns the addresses of failed members. If there are any, or no other member has been seen yet, it adds the configured
// addresses. The caller holds f.mu.
func (f *Fleet) joinCandidates() (addresses []string) {
	for _, m := range f.view.Members() {
		if node, known := f.nodes[m.Name]; known && m.State == membership.Failed {
			addresses = append(addresses, node.Address())
		}
	}
	if len(f.nodes) == 0 || len(addresses) > 0 {
		addresses = append(addresses, f.config.Join...)
	}
	return addresses
}

// connect opens the gossip if it is not open, and else joins up to maxJoinAddresses of the addresses, chosen at random.
func (f *Fleet) connect(gossip *memberlist.Memberlist, addresses []string) {
	if gossip == nil {
		if err := f.openGossip(); err != nil && !errors.Is(err, errAddressInUse) {
			log.Print(err)
		}
	} else {
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		if reached, err := gossip.Join(addresses[:min(len(addresses), maxJoinAddresses)]); reached == 0 && err != nil {
			f.logFailedJoin(err)
		}
	}
	f.mu.Lock()
	f.connecting = false
	f.mu.Unlock()
	f.wake()
}

// logFailedJoin counts a failed join, and logs it if the count is a power of two.
func (f *Fleet) logFailedJoin(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedJoins++
	if f.failedJoins&(f.failedJoins-1) == 0 {
		text := strings.Join(strings.Fields(err.Error()), " ")
		log.Printf("fleet: %d attempts to join other members have failed; the last error: %s", f.failedJoins, text[:min(len(text), maxLogLine)])
	}
}
