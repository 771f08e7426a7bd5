package fake

import (
	"fmt"
	"io"
	"net"
)

// SendStrayRequest writes a request to a server as the node would, and does not wait for the answer. Drills use it
// to violate rules, which the audit must find.
func SendStrayRequest(s *Server, x Exchange, host string, c Class) error {
	conn, err := net.Dial("tcp", s.Addr())
	if err != nil {
		return fmt.Errorf("reaching %s: %w", s.ID(), err)
	}
	method, key := "GET", ""
	if c.Effect != Safe {
		method = "POST"
	}
	if x.Key != "" {
		key = "Idempotency-Key: " + x.Key + "\r\n"
	}
	if _, err := fmt.Fprintf(conn, "%s /%s/%s HTTP/1.1\r\nHost: %s\r\nX-Correlation-Id: %s\r\n%sContent-Length: 0\r\n\r\n",
		method, c.Name, x.ID, host, x.ID, key); err != nil {
		conn.Close()
		return fmt.Errorf("writing to %s: %w", s.ID(), err)
	}
	go func() {
		io.Copy(io.Discard, conn) // until the server ends or its answer has been read
		conn.Close()
	}()
	return nil
}
