package routing

import "strings"

// withoutPort returns the host of a request without its port, and an IPv6 address that has a port without its brackets. Text that is
// no host:port stays as it is. It is net.SplitHostPort without the errors, which this package must not import net for.
func withoutPort(hostport string) string {
	colon := strings.LastIndexByte(hostport, ':')
	if colon < 0 {
		return hostport
	}
	if hostport[0] != '[' {
		if host := hostport[:colon]; !strings.ContainsAny(host, ":[]") && !strings.ContainsAny(hostport[colon:], "[]") {
			return host
		}
		return hostport
	}
	bracket := strings.IndexByte(hostport, ']')
	if bracket+1 != colon || strings.ContainsRune(hostport[1:], '[') || strings.ContainsRune(hostport[bracket+1:], ']') {
		return hostport
	}
	return hostport[1:bracket]
}
