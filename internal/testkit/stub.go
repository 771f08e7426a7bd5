package testkit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
)

// OK is a response of a stub.
const OK = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Type: a/b\r\n\r\nhi"

// maxReceived is how many requests a stub can take that the test does not look at.
const maxReceived = 100

// Listen starts a server that calls serve for each connection, on a goroutine of its own, and closes the connection after
// that. It accepts until the test ends.
func Listen(t testing.TB, serve func(c net.Conn, r *bufio.Reader)) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return l.Addr().String()
}

// Received is a request as a stub got it.
type Received struct {
	*http.Request
	Text string // body
}

// Stub starts a server that answers every request with a response as it stands in the text, and then closes the connection if
// closeAfter is set. Each request is sent on requests before it is answered.
func Stub(t testing.TB, response string, closeAfter bool) (addr string, requests chan Received) {
	t.Helper()
	requests = make(chan Received, maxReceived)
	return Listen(t, func(c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(req.Body) // a body that is cut short is shown to the test as far as it came
			requests <- Received{Request: req, Text: string(body)}
			if _, err := io.WriteString(c, response); err != nil || closeAfter {
				return
			}
		}
	}), requests
}
