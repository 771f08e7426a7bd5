package routing

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// splitHostPort is the reference implementation of withoutPort.
func splitHostPort(hostport string) string {
	if host, _, err := net.SplitHostPort(hostport); err == nil {
		return host
	}
	return hostport
}

func TestWithoutPort(t *testing.T) {
	for hostport, want := range map[string]string{
		"":                   "",
		":":                  "",
		"h.example":          "h.example",
		"h.example:80":       "h.example",
		"h.example:":         "h.example",
		"::1":                "::1",
		"[::1]":              "[::1]",
		"[::1]:80":           "::1",
		"[::1":               "[::1",
		"[::1]80:80":         "[::1]80:80",
		"[[::1]]:80":         "[[::1]]:80",
		"h[.example:80":      "h[.example:80",
		"h.example:8]0":      "h.example:8]0",
		"[fe80::1%eth0]:443": "fe80::1%eth0",
	} {
		assert.Equal(t, withoutPort(hostport), want, "%q", hostport)
		assert.Equal(t, splitHostPort(hostport), want, "%q", hostport)
	}
}

// FuzzWithoutPort checks that withoutPort returns the same host as net.SplitHostPort for any string.
func FuzzWithoutPort(f *testing.F) {
	for _, seed := range []string{"h.example:80", "[::1]:80", "[a]b]:c", "]:[", "a:b:c"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, hostport string) {
		assert.Equal(t, withoutPort(hostport), splitHostPort(hostport), "%q", hostport)
	})
}
