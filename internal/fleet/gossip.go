package fleet

import (
	"errors"
	"fmt"
	"log"
	"time"

	"github.com/hashicorp/memberlist"
)

// errAddressInUse says that another process has the address that this member listens on.
var errAddressInUse = errors.New("the address is in use")

// gossipLabel keeps members of other clusters of memberlist apart. All members of a fleet must have the same.
const gossipLabel = "cranegrade"

// Settings of the gossip that differ from memberlist's defaults for a local network.
const (
	// probeTimeoutDivisor of the probe interval is how long a member may take to answer a probe.
	probeTimeoutDivisor = 2
	// suspicionMult is the least time of a suspicion, times the probe interval and the logarithm of the members.
	suspicionMult = 3
	// maxSuspicionMult is the most time of a suspicion, times the least.
	maxSuspicionMult = 2
	// streamTimeout bounds connecting to a member, and reading and writing there.
	streamTimeout = 2 * time.Second
	// maxGossipInterval is the time between two rounds of rumours. Rounds are not rarer than probes.
	maxGossipInterval = 200 * time.Millisecond
	// pushPullInterval is the time between two exchanges of the whole state with one other member.
	pushPullInterval = 10 * time.Second
	// gossipToTheDeadTime is how long failed members are still gossiped to, so that one that only seemed to have failed hears of it
	// and refutes it.
	gossipToTheDeadTime = time.Minute
	// nameReclaimTime lets the name of a failed member come back at another address at once. Zero would mean never.
	nameReclaimTime = time.Millisecond
)

// openGossip opens the gossip. The error is errAddressInUse if that may succeed later.
func (f *Fleet) openGossip() error {
	listenHost, listenPort, err := splitAddress(f.config.Listen)
	if err != nil {
		return fmt.Errorf("fleet: listen: %w", err)
	}
	advertiseHost, advertisePort, err := splitAddress(f.config.Advertise)
	if err != nil {
		return fmt.Errorf("fleet: advertise: %w", err)
	}
	logger := log.New(&gossipLog{}, "", 0)
	t, err := newTransport(listenHost, listenPort, logger)
	if err != nil {
		return err
	}
	listenPort = t.GetAutoBindPort()
	if advertisePort == 0 {
		advertisePort = listenPort
	}
	c := f.memberlistConfig(logger)
	c.Transport = t
	c.BindAddr = listenHost
	c.BindPort = listenPort
	c.AdvertiseAddr = advertiseHost
	c.AdvertisePort = advertisePort
	gossip, err := memberlist.Create(c)
	if err != nil {
		_ = t.Shutdown() // the error of Create is the one to report
		return fmt.Errorf("fleet: opening the gossip: %w", err)
	}
	f.mu.Lock()
	closed := f.closed
	f.gossip = gossip
	f.connectBackoff = 0
	f.connectAt = BootTime()
	f.mu.Unlock()
	if closed {
		return gossip.Shutdown()
	}
	log.Printf("fleet: member %s listens on %s:%d, incarnation %x", f.config.Name, listenHost, listenPort, f.incarnation)
	return nil
}

// memberlistConfig returns the gossip's configuration without its addresses.
func (f *Fleet) memberlistConfig(logger *log.Logger) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	c.Name = f.config.Name
	c.SecretKey = f.config.Key
	c.Label = gossipLabel
	c.Logger = logger
	c.ProbeInterval = f.config.ProbeInterval
	c.ProbeTimeout = f.config.ProbeInterval / probeTimeoutDivisor
	c.SuspicionMult = suspicionMult
	c.SuspicionMaxTimeoutMult = maxSuspicionMult
	c.TCPTimeout = streamTimeout
	c.GossipInterval = min(maxGossipInterval, f.config.ProbeInterval)
	c.PushPullInterval = pushPullInterval
	c.GossipToTheDeadTime = gossipToTheDeadTime
	c.DeadNodeReclaimTime = nameReclaimTime
	d := delegate{f}
	c.Delegate = d
	c.Events = d
	c.Conflict = d
	c.Alive = d
	return c
}
