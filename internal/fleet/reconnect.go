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

// Pauses between attempts to connect.
const (
	minJoinBackoff = 500 * time.Millisecond
	maxJoinBackoff = 30 * time.Second
	reopenInterval = 100 * time.Millisecond // while this node's address is in use
	joinAttempts   = 3                      // addresses that are tried at a time
)

// reconnect opens the gossip if that has failed, and looks for members that have failed: two halves of a fleet that have given each other
// up meet again only if somebody asks.
func (f *Fleet) reconnect(now time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.connecting || f.closed || f.leaving || now < f.connectAt {
		return
	}
	addresses := f.lostAddresses()
	if f.gossip != nil && len(addresses) == 0 {
		f.connectBackoff = 0
		f.connectAt = now + minJoinBackoff
		return
	}
	if f.gossip == nil { // whoever has the address is about to give it up: a predecessor, or a process that has just died
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

// lostAddresses returns the addresses of failed members, and those that the configuration names if members are missing or none was met.
// The caller holds f.mu.
func (f *Fleet) lostAddresses() (addresses []string) {
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

// connect opens the gossip if there is none, or else joins some of the addresses.
func (f *Fleet) connect(gossip *memberlist.Memberlist, addresses []string) {
	if gossip == nil {
		if err := f.openGossip(); err != nil && !errors.Is(err, errAddressInUse) {
			log.Print(err)
		}
	} else {
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		if reached, err := gossip.Join(addresses[:min(len(addresses), joinAttempts)]); reached == 0 && err != nil {
			f.logFailedJoin(err)
		}
	}
	f.mu.Lock()
	f.connecting = false
	f.mu.Unlock()
	f.wake()
}

// logFailedJoin logs the first failure, and after it every one whose number is a power of two.
func (f *Fleet) logFailedJoin(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedJoins++
	if f.failedJoins&(f.failedJoins-1) == 0 {
		text := strings.Join(strings.Fields(err.Error()), " ")
		log.Printf("fleet: no member was reached, in %d attempts, the last: %s", f.failedJoins, text[:min(len(text), maxLogLine)])
	}
}
