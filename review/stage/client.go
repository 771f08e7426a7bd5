package stage

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"time"
)

// Client is a client beside a sidecar.
type Client struct {
	Record   *Record
	Outbound string
	Name     string
}

// Request is one try of a client.
type Request struct {
	Method, Host, Path string
	ID, Key            string
	Body               []byte
	Budget             time.Duration
}

// Answer is what a client has got for a try.
type Answer struct {
	Status     int // 0: no answer
	Seal       string
	RetryAfter string
	Body       []byte
	Whole      bool
	Err        error
}

const clientSlack = time.Second // beyond the budget, until the client gives up

// NewID returns a new Attempt-Id or key.
func NewID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func (r Request) withNewID() Request {
	r.ID = NewID()
	return r
}

// Do sends a request on a new connection and waits for the answer.
func (c *Client) Do(r Request) Answer {
	conn, err := net.DialTimeout("tcp4", c.Outbound, callTimeout)
	if err != nil {
		return Answer{Err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(r.Budget + clientSlack)) // fails only on a closed connection
	if _, err := conn.Write(r.Text()); err != nil && len(r.Body) == 0 {
		return Answer{Err: err} // otherwise the answer may come before the end of the body
	}
	return ReadAnswer(bufio.NewReader(conn), r)
}

// Text returns the request as it is sent.
func (r Request) Text() []byte {
	key := ""
	if r.Key != "" {
		key = "Operation-Key: " + r.Key + "\r\n"
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n%sTime-Budget: %d\r\nContent-Length: %d\r\n\r\n",
		r.Method, r.Path, r.Host, r.ID, key, r.Budget.Milliseconds(), len(r.Body))
	return append([]byte(head), r.Body...)
}

// ReadAnswer reads the answer to a request.
func ReadAnswer(reader *bufio.Reader, r Request) Answer {
	response, err := http.ReadResponse(reader, &http.Request{Method: r.Method})
	if err != nil {
		return Answer{Err: err}
	}
	defer response.Body.Close()
	answer := Answer{Status: response.StatusCode, Seal: response.Header.Get("Server-Seal"), RetryAfter: response.Header.Get("Retry-After")}
	answer.Body, answer.Err = io.ReadAll(response.Body)
	answer.Whole = answer.Err == nil
	return answer
}

// Try is Do with lines in the record.
func (c *Client) Try(r Request) Answer {
	c.Record.Note(c.Name, "sends %s (%s %s, key %q, %d bytes)", r.ID, r.Method, r.Path, r.Key, len(r.Body))
	answer := c.Do(r)
	c.Record.Note(c.Name, "gets for %s: status %d, stamp %q, whole %v, Retry-After %q, error %v",
		r.ID, answer.Status, answer.Seal, answer.Whole, answer.RetryAfter, answer.Err)
	return answer
}
