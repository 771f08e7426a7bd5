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
	c.Transport, c.BindAddr, c.BindPort, c.AdvertiseAddr, c.AdvertisePort = t, listenHost, listenPort, advertiseHost, advertisePort
	gossip, err := memberlist.Create(c)
	if err != nil {
		_ = t.Shutdown() // the error of Create is the one to report
		return fmt.Errorf("fleet: opening the gossip: %w", err)
	}
	f.mu.Lock()
	closed := f.closed
	f.gossip, f.connectBackoff, f.connectAt = gossip, 0, BootTime()
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
	c.Name, c.SecretKey, c.Label, c.Logger = f.config.Name, f.config.Key, gossipLabel, logger
	c.ProbeInterval, c.ProbeTimeout = f.config.ProbeInterval, f.config.ProbeInterval/2
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = 3, 2 // times the probe interval and the logarithm of the members
	c.TCPTimeout = 2 * time.Second
	c.GossipInterval = min(200*time.Millisecond, f.config.ProbeInterval)
	c.PushPullInterval = 10 * time.Second
	// Failed members are still gossiped to for this long, so that one that only seemed to have failed hears of it and refutes it.
	c.GossipToTheDeadTime = time.Minute
	// The name of a failed member may come back at another address at once.
	c.DeadNodeReclaimTime = time.Millisecond
	d := delegate{f}
	c.Delegate, c.Events, c.Conflict, c.Alive = d, d, d, d
	return c
}
