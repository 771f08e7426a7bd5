package http1

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/testkit"
)

// lateReader is a connection whose first Read ends by its deadline, and returns that only once it is released.
type lateReader struct {
	net.Conn
	expired, released chan struct{}
}

func (l *lateReader) Read(p []byte) (int, error) {
	select {
	case <-l.released:
		return 0, io.EOF // any later Read
	default:
	}
	close(l.expired)
	<-l.released
	return 0, os.ErrDeadlineExceeded
}

func (*lateReader) SetReadDeadline(time.Time) error { return nil }

// A read that was ended by a deadline, and returns only after the deadline was removed, does not end the connection: net/http sets
// one in the past at the end of each request, and removes it before the next.
func TestRemovedDeadlineEndsNoRead(t *testing.T) {
	pl := newPipeline()
	inner := &lateReader{expired: make(chan struct{}), released: make(chan struct{})}
	c := &connection{Conn: inner, owner: &connections{}, pipeline: pl, front: &Front{}}
	assert.NilError(t, c.SetReadDeadline(time.Unix(1, 0)))
	ended := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		ended <- err
	}()
	<-inner.expired
	assert.NilError(t, c.SetReadDeadline(time.Time{}))
	close(inner.released)
	select {
	case err := <-ended:
		assert.Equal(t, err, io.EOF)
	case <-time.After(testkit.Limit):
		t.Fatal("the read does not end")
	}
}
