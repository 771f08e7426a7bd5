package fleet

import (
	"errors"
	"fmt"
	"log"
	"time"

	"github.com/hashicorp/memberlist"
)

// errAddressInUse means that another process listens on this member's address.
var errAddressInUse = errors.New("the address is in use")

// gossipLabel makes memberlist reject the messages of other memberlist clusters. It must be the same at all members of a fleet.
const gossipLabel = "cranegrade"

// Settings of the gossip that differ from memberlist.DefaultLANConfig.
const (
	// probeTimeoutDivisor: the probe interval divided by it is the time-out of a probe.
	probeTimeoutDivisor = 2
	// suspicionMult times the probe interval and the logarithm of the number of members is the minimum suspicion time-out.
	suspicionMult = 3
	// maxSuspicionMult times the minimum suspicion time-out is the maximum.
	maxSuspicionMult = 2
	// streamTimeout bounds connecting to a member over TCP, and each read and write.
	streamTimeout = 2 * time.Second
	// maxGossipInterval bounds the time between two gossip rounds, which is the probe interval if that is shorter.
	maxGossipInterval = 200 * time.Millisecond
	// pushPullInterval is the time between two exchanges of the full state with a random other member.
	pushPullInterval = 10 * time.Second
	// gossipToTheDeadTime is how long failed members still receive gossip, so that a live member that was declared dead by mistake
	// learns of it and refutes it.
	gossipToTheDeadTime = time.Minute
	// nameReclaimTime is how long the name of a failed member can't be used at another address: practically not at all. Zero would
	// block it for ever.
	nameReclaimTime = time.Millisecond
)

// openGossip binds the listen address and starts memberlist. It returns errAddressInUse if another process has the address, which may be
// free later.
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
		_ = t.Shutdown() // report the error of Create instead
		return fmt.Errorf("fleet: starting memberlist: %w", err)
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

// memberlistConfig returns the configuration of memberlist without addresses and transport.
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
