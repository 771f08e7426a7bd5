package drill

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

const (
	loadResponse  = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	emptyLineSize = len("\r\n")
)

// answerAll answers every request of every connection at once, until the listener is closed. It reads as little as it can, so that the
// program is what is measured.
func answerAll(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			answerConnection(c)
		}()
	}
}

func answerConnection(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		if err := skipHeader(reader); err != nil {
			return
		}
		if _, err := io.WriteString(c, loadResponse); err != nil {
			return
		}
	}
}

// skipHeader reads up to the empty line that ends a request without a body.
func skipHeader(reader *bufio.Reader) error {
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) <= emptyLineSize {
			return nil
		}
	}
}

// callInLoop sends one request after the other on one connection until ctx ends, and returns the latencies of those that began after warmAt.
// name makes the requests' ids the caller's own.
func callInLoop(ctx context.Context, addr, name string, warmAt time.Time) (latencies []time.Duration, err error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	reader := bufio.NewReader(c)
	for n := 0; ctx.Err() == nil; n++ {
		start := time.Now()
		if err := callOnce(c, reader, name+"-"+strconv.Itoa(n)); err != nil {
			return latencies, err
		}
		if start.After(warmAt) {
			latencies = append(latencies, time.Since(start))
		}
	}
	return latencies, nil
}

// callOnce sends one request and reads the response, which must be 200.
func callOnce(c net.Conn, reader *bufio.Reader, id string) error {
	_, err := io.WriteString(c, "GET /read/"+id+" HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: "+id+"\r\nX-Time-Left: 5000m\r\n\r\n")
	if err != nil {
		return err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the response to %s is %s", id, response.Status)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
