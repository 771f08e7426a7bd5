package sidecar

import (
	"sync"

	"github.com/juju/errors"

	"cranegrade/internal/engine"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/message"
)

// errStreamIDInUse is why a connection is closed on which a stream ID is used twice: responses could be taken for
// those of the wrong request.
const errStreamIDInUse = errors.ConstError("a request's id is in use")

// inboundConn is a connection from another sidecar, with its open requests by stream ID.
type inboundConn struct {
	inbound *inboundServer
	conn    *transport.Conn

	mu       sync.Mutex // guards requests
	requests map[uint64]*inboundRequest
}

// receive handles messages until the connection ends, and then cancels the requests whose responses nobody will read.
func (c *inboundConn) receive() {
	for {
		m, err := c.conn.Receive()
		if err != nil {
			break
		}
		c.handleMessage(m)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		r.connClosed()
	}
}

func (c *inboundConn) handleMessage(m codec.Message) {
	switch v := m.Value.(type) {
	case *wire.RequestT:
		c.inbound.beginRequest(c, v)
	case *wire.BodyChunkT:
		if r := c.find(v.Id); r != nil && r.body != nil {
			r.pushBody(v)
		}
	case *wire.WindowUpdateT:
		if r := c.find(v.Id); r != nil {
			r.sendWindow.add(int(v.Increment))
		}
	case *wire.CancelT:
		if r := c.find(v.Id); r != nil {
			r.cancel(engine.ErrWithdrawn)
		}
	case *wire.CallT:
		_ = c.conn.Send(c.inbound.handleCall(v))
	}
}

// sendResponse sends a response, or the head of a streamed one, in a form that the peer's version can read.
func (c *inboundConn) sendResponse(a *wire.ResponseT) {
	if c.conn.Peer.TransportVersion >= codec.PackedHeaderVersion {
		a = codec.PackResponse(a)
	}
	_ = c.conn.Send(a)
}

func (c *inboundConn) find(id uint64) *inboundRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[id]
}

// add records an open request. It returns false if its stream ID is in use.
func (c *inboundConn) add(r *inboundRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests[r.request.Id] != nil {
		return false
	}
	c.requests[r.request.Id] = r
	return true
}

func (c *inboundConn) remove(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.requests, id)
}

// pushBody handles a chunk of a streamed request body.
func (r *inboundRequest) pushBody(piece *wire.BodyChunkT) {
	if len(piece.Data) > 0 {
		r.body.Push(piece.Data)
	}
	if piece.Aborted {
		r.body.Finish(nil)
	} else if piece.Last {
		r.body.Finish([]message.Field{})
	}
}

// connClosed is called when nobody can read the response any more. A request that may run only once is not cancelled:
// its response is stored in case the client repeats the request.
func (r *inboundRequest) connClosed() {
	if !r.request.AtMostOnce {
		r.cancel(engine.ErrWithdrawn)
	}
	if r.body != nil {
		r.body.Finish(nil)
	}
	r.sendWindow.close()
}
