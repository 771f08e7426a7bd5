package routing

import "strings"

// withoutPort returns a request's host without the port, and for an IPv6 address with a port also without the brackets. A string that
// is not of the form host:port is returned unchanged. It reimplements net.SplitHostPort because this package must not import net.
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
