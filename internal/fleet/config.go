package fleet

import (
	"fmt"
	"net"
	"strconv"
	"time"

	"cranegrade/internal/fleet/membership"
)

// Config configures a member at its start. Package operator has the defaults and bounds of the file's keys.
type Config struct {
	Name          string        // of this member; all members have different names
	Zone          string        // of this member; may be empty
	Listen        string        // IP:port, for TCP and UDP; the member dials from that IP, too
	Advertise     string        // host:port that the others reach it at; default: Listen
	Join          []string      // host:port of members to join
	Key           []byte        // encrypts what members send, 16, 24 or 32 bytes; if nil, nothing is encrypted
	Lease         time.Duration // see membership.Lease; the same at all members
	Nodes         int           // the least number of members that found the fleet; the same at all members
	SettleTime    time.Duration // see membership.Damping
	ProbeInterval time.Duration // between two health checks of the gossip
	Pools         []membership.PoolDigest
}

// flapDecay is how long a member has to stay until one of its flaps is forgiven.
const flapDecay = 30 * time.Second

// lease returns the settings of grants.
func (c Config) lease() membership.Lease {
	return membership.Lease{Duration: c.Lease, Nodes: c.Nodes}
}

// damping returns the settings by which the view follows the gossip.
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
