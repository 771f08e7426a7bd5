package h2

import (
	"bytes"
	"errors"
	"net"
	"testing"
	"time"

	"golang.org/x/net/http2"

	"cranegrade/internal/h2/client"
)

// limitedConn is a connection that accepts only a number of bytes, as one whose server reads no more.
type limitedConn struct {
	net.Conn
	limit    int
	accepted bytes.Buffer
}

func (c *limitedConn) SetWriteDeadline(time.Time) error { return nil }

func (c *limitedConn) Write(p []byte) (int, error) {
	n := min(len(p), c.limit-c.accepted.Len())
	c.accepted.Write(p[:n])
	if n < len(p) {
		return n, errors.New("the connection accepts no more bytes")
	}
	return n, nil
}

// completeRequests returns the streams whose requests were accepted completely.
func (c *limitedConn) completeRequests(t *testing.T) map[uint32]bool {
	t.Helper()
	complete := map[uint32]bool{}
	text, hasPreface := bytes.CutPrefix(c.accepted.Bytes(), []byte(http2.ClientPreface))
	if !hasPreface {
		return complete
	}
	framer := http2.NewFramer(nil, bytes.NewReader(text))
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return complete
		}
		switch f := frame.(type) {
		case *http2.HeadersFrame:
			complete[f.StreamID] = f.StreamEnded()
		case *http2.DataFrame:
			complete[f.StreamID] = f.StreamEnded()
		}
	}
}

// writeTwoRequests writes two requests in one batch to a connection that accepts a number of bytes.
func writeTwoRequests(t *testing.T, limit int) (netConn *limitedConn, requests []*streamRequest, failed bool) {
	t.Helper()
	netConn = &limitedConn{limit: limit}
	loop, opening := newConnLoop(&conn{sender: newTestSender(t, 1), netConn: netConn})
	actions := append(opening, loop.machine.Handle(0, client.Settings{})...)
	for _, bodySize := range []int{0, 5000} {
		message := getRequest()
		if bodySize > 0 {
			message = postRequest(bodySize)
		}
		request := &streamRequest{message: message, done: make(chan struct{})}
		stream, opened := loop.machine.Request(0, []client.Field{{Name: ":method", Value: message.Method}}, message.Body, false)
		loop.requests[stream] = request
		actions = append(actions, opened...)
		requests = append(requests, request)
	}
	return netConn, requests, loop.perform(actions) != nil
}

// Guards against a request that is written completely, in a batch whose write then fails, and counts as not written: it would be sent again and run
// twice. Each of two requests counts as not written exactly if the connection has not accepted it completely.
func TestBatchOfRequestsWrittenInPart(t *testing.T) {
	for limit := 0; ; limit++ {
		netConn, requests, failed := writeTwoRequests(t, limit)
		if !failed {
			break
		}
		complete := netConn.completeRequests(t)
		for n, request := range requests {
			stream := uint32(2*n + 1)
			select {
			case <-request.done:
			default:
				t.Fatalf("limit %d: the request on stream %d has not ended", limit, stream)
			}
			if notWritten := request.result.Ending == client.NotWritten; notWritten == complete[stream] {
				t.Errorf("limit %d, stream %d: %v, written completely: %v", limit, stream, request.result.Ending, complete[stream])
			}
		}
	}
}
