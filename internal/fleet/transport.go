package fleet

import (
	"errors"
	"fmt"
	"log"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport is memberlist's NetTransport, except that it dials from the IP address it listens on, for hosts with several addresses.
type transport struct {
	*memberlist.NetTransport
	localIP net.IP
}

// bindAttempts is how often a random port is tried: a port that is free for TCP may be in use for UDP.
const bindAttempts = 10

// newTransport listens on an IP address and a port; port 0 chooses a free one. Its error wraps errAddressInUse if another process has the
// address.
func newTransport(host string, port int, logger *log.Logger) (*transport, error) {
	ip := net.ParseIP(host)
	if ip == nil {
		return nil, fmt.Errorf("fleet: listen: %q is not an IP address", host)
	}
	attempts := 1
	if port == 0 {
		attempts = bindAttempts
	}
	var err error
	for range attempts {
		var t *memberlist.NetTransport
		t, err = memberlist.NewNetTransport(&memberlist.NetTransportConfig{
			BindAddrs: []string{host},
			BindPort:  port,
			Logger:    logger,
		})
		if err == nil {
			return &transport{NetTransport: t, localIP: ip}, nil
		}
	}
	// memberlist does not wrap all system errors, so the text is checked, too.
	if errors.Is(err, syscall.EADDRINUSE) || strings.Contains(err.Error(), "address already in use") {
		return nil, fmt.Errorf("%w: %s:%d", errAddressInUse, host, port)
	}
	return nil, fmt.Errorf("fleet: listening on %s:%d: %w", host, port, err)
}

// DialTimeout dials from the transport's IP address. It overrides the embedded method.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Timeout: timeout}
	if !t.localIP.IsUnspecified() {
		d.LocalAddr = &net.TCPAddr{IP: t.localIP}
	}
	return d.Dial("tcp", addr)
}

// DialAddressTimeout dials from the transport's IP address. It overrides the embedded method.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(a.Addr, timeout)
}
