package fleet

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"cranegrade/internal/fleet/membership"
)

// Config configures a member. Package operator defines the defaults and bounds of the keys of the settings file.
type Config struct {
	Name          string        // of this member; must be unique in the fleet
	Zone          string        // of this member; may be empty
	Listen        string        // IP:port for TCP and UDP; also the source IP of outgoing connections
	Advertise     string        // host:port at which other members reach this one; default: Listen
	Join          []string      // host:port of members to contact at the start
	Key           []byte        // encrypts the traffic between members: 16, 24 or 32 bytes; empty: no encryption
	Lease         time.Duration // see membership.Lease; must be the same at all members
	Nodes         int           // minimum number of members that form a new fleet; must be the same at all members
	SettleTime    time.Duration // see membership.Damping
	ProbeInterval time.Duration // time between two probes of the gossip
	Pools         []membership.PoolDigest
}

// flapDecay is how long a member must stay alive until one of its flaps no longer counts.
const flapDecay = 30 * time.Second

// lease returns the lease settings of the roster's grants.
func (c Config) lease() membership.Lease {
	return membership.Lease{Duration: c.Lease, Nodes: c.Nodes}
}

// damping returns the settings that delay the view's reaction to gossip events.
func (c Config) damping() membership.Damping {
	return membership.Damping{SettleTime: c.SettleTime, FlapDecay: flapDecay}
}

// splitAddress splits host:port.
func splitAddress(address string) (host string, port int, err error) {
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return "", 0, err
	}
	port, err = strconv.Atoi(portText)
	if err != nil {
		return "", 0, fmt.Errorf("port of %q: %w", address, err)
	}
	return host, port, nil
}
