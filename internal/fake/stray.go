package fake

import (
	"fmt"
	"io"
	"net"
	"strings"
)

// SendStrayRequest writes a request to a server as the program would, and does not wait for the response. Drills use it to violate rules,
// which the audit must find.
func SendStrayRequest(s *Server, x Exchange, host string, c Class) error {
	return SendStrayRequests(s, x, host, c, 1)
}

// SendStrayRequests writes the same request count times over one connection, pipelined (RFC 9112, section 9.3.2), and does not wait for
// the responses. Opening one connection for each would be too slow on a busy machine to overload a server.
func SendStrayRequests(s *Server, x Exchange, host string, c Class, count int) error {
	conn, err := net.Dial("tcp", s.Addr())
	if err != nil {
		return fmt.Errorf("connecting to server %s: %w", s.ID(), err)
	}
	request := strayRequest(x, host, c)
	if _, err := io.WriteString(conn, strings.Repeat(request, count)); err != nil {
		conn.Close()
		return fmt.Errorf("writing to server %s: %w", s.ID(), err)
	}
	go func() {
		_, _ = io.Copy(io.Discard, conn) // until the server closes the connection or crashes
		conn.Close()
	}()
	return nil
}

// strayRequest is a request as the program would write it, without a body.
func strayRequest(x Exchange, host string, c Class) string {
	method, keyHeader := "GET", ""
	if c.Effect != Safe {
		method = "POST"
	}
	if x.Key != "" {
		keyHeader = "Idempotency-Key: " + x.Key + "\r\n"
	}
	return fmt.Sprintf("%s /%s/%s HTTP/1.1\r\nHost: %s\r\nX-Correlation-Id: %s\r\n%sContent-Length: 0\r\n\r\n",
		method, c.Name, x.ID, host, x.ID, keyHeader)
}
