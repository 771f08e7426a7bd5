package fake

import (
	"fmt"
	"io"
	"net"
	"strings"
)

// SendStrayRequest writes a request to a server as the node would, and does not wait for the answer. Drills use it
// to violate rules, which the audit must find.
func SendStrayRequest(s *Server, x Exchange, host string, c Class) error {
	return SendStrayRequests(s, x, host, c, 1)
}

// SendStrayRequests writes the same request count times over one connection, pipelined (RFC 9112, section 9.3.2), and
// does not wait for the answers. Opening one connection for each would be too slow on a busy machine to overload a server.
func SendStrayRequests(s *Server, x Exchange, host string, c Class, count int) error {
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
	request := fmt.Sprintf("%s /%s/%s HTTP/1.1\r\nHost: %s\r\nX-Correlation-Id: %s\r\n%sContent-Length: 0\r\n\r\n",
		method, c.Name, x.ID, host, x.ID, key)
	if _, err := io.WriteString(conn, strings.Repeat(request, count)); err != nil {
		conn.Close()
		return fmt.Errorf("writing to %s: %w", s.ID(), err)
	}
	go func() {
		io.Copy(io.Discard, conn) // until the server ends or its answer has been read
		conn.Close()
	}()
	return nil
}
