package operator

import (
	"fmt"
	"net"
	"strconv"
)

// maxAddresses bounds each list of addresses in a file.
const maxAddresses = 64

// addressUse is what an address in the file is for.
type addressUse int

const (
	listenAddress addressUse = iota // this node listens there; port 0 stands for any free port
	remoteAddress                   // another process listens there
)

// maxPort is the greatest port of TCP and UDP.
const maxPort = 65535

// checkAddress checks a host:port.
func checkAddress(s string, use addressUse) error {
	host, port, err := net.SplitHostPort(s)
	if err != nil || host == "" {
		return fmt.Errorf("%q is no host:port", s)
	}
	n, err := strconv.Atoi(port)
	if err != nil || n < 0 || n > maxPort || n == 0 && use != listenAddress {
		return fmt.Errorf("%q has no port between 1 and %d", s, maxPort)
	}
	return nil
}

// checkLoopback checks the address of a listener that only this machine may reach.
func checkLoopback(s string) error {
	if err := checkAddress(s, listenAddress); err != nil {
		return err
	}
	host, _, _ := net.SplitHostPort(s)
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%q is no loopback address", s)
	}
	return nil
}

// checkIPAddress checks a host:port whose host is an IP address.
func checkIPAddress(s string, use addressUse) error {
	if err := checkAddress(s, use); err != nil {
		return err
	}
	if host, _, _ := net.SplitHostPort(s); net.ParseIP(host) == nil {
		return fmt.Errorf("%q has no IP address", s)
	}
	return nil
}
