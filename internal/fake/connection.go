package fake

import "net"

// ResetConnection closes a connection so that its peer sees a reset.
func ResetConnection(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // on failure the peer sees a normal close
	}
	c.Close()
}
