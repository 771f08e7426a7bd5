package operator

import (
	"fmt"
	"net"
	"strconv"
)

// maxAddresses bounds each list of addresses in a file.
const maxAddresses = 64

// checkAddress checks a host:port. Port 0 stands for any free port, which only a listener can have.
func checkAddress(s string, listener bool) error {
	host, port, err := net.SplitHostPort(s)
	if err != nil || host == "" {
		return fmt.Errorf("%q is no host:port", s)
	}
	n, err := strconv.Atoi(port)
	if err != nil || n < 0 || n > 65535 || n == 0 && !listener {
		return fmt.Errorf("%q has no port between 1 and 65535", s)
	}
	return nil
}

// checkLoopback checks the address of a listener that only this machine may reach.
func checkLoopback(s string) error {
	if err := checkAddress(s, true); err != nil {
		return err
	}
	host, _, _ := net.SplitHostPort(s)
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%q is no loopback address", s)
	}
	return nil
}

// checkIPAddress checks a host:port whose host is an IP address.
func checkIPAddress(s string, listener bool) error {
	if err := checkAddress(s, listener); err != nil {
		return err
	}
	if host, _, _ := net.SplitHostPort(s); net.ParseIP(host) == nil {
		return fmt.Errorf("%q has no IP address", s)
	}
	return nil
}
