package sidecar

import (
	"sync"

	"github.com/juju/errors"

	"cranegrade/internal/engine"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// errStreamIDInUse is the error with which a connection is closed if the peer reuses the stream ID of an open request:
// responses could be assigned to the wrong request.
const errStreamIDInUse = errors.ConstError("the peer opened a request with the stream ID of another open request")

// inboundConn is a connection from another sidecar, with its open requests by stream ID.
type inboundConn struct {
	inbound *inboundServer
	conn    *transport.Conn

	mu       sync.Mutex // guards requests
	requests map[uint64]*inboundRequest
}

// receive handles messages until the connection ends, and then informs the open requests, whose responses nobody can
// read any more.
func (c *inboundConn) receive() {
	for {
		message, err := c.conn.Receive()
		if err != nil {
			break
		}
		c.handleMessage(message)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.requests {
		r.connClosed()
	}
}

// handleMessage handles one message of the peer. It ignores messages about requests that have ended, since the peer may
// have sent them before it received the response.
func (c *inboundConn) handleMessage(received codec.Message) {
	switch message := received.Value.(type) {
	case *wire.RequestT:
		c.inbound.beginRequest(c, message)
	case *wire.BodyChunkT:
		if r := c.find(message.Id); r != nil && r.body != nil {
			r.pushBody(message)
		}
	case *wire.WindowUpdateT:
		if r := c.find(message.Id); r != nil {
			r.sendWindow.add(int(message.Increment))
		}
	case *wire.CancelT:
		if r := c.find(message.Id); r != nil {
			r.cancel(engine.ErrWithdrawn)
		}
	case *wire.CallT:
		_ = c.conn.Send(c.inbound.handleCall(message))
	}
}

// sendResponse sends a response, or the head of a streamed one, in an encoding that the peer's protocol version
// supports.
func (c *inboundConn) sendResponse(response *wire.ResponseT) {
	if c.conn.Peer.TransportVersion >= codec.PackedHeaderVersion {
		response = codec.PackResponse(response)
	}
	_ = c.conn.Send(response) // an error ends the connection, which receive notices
}

// find returns the open request with a stream ID, or nil if there is none.
func (c *inboundConn) find(id uint64) *inboundRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requests[id]
}

// add registers an open request. It returns false if its stream ID is in use.
func (c *inboundConn) add(r *inboundRequest) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests[r.request.Id] != nil {
		return false
	}
	c.requests[r.request.Id] = r
	return true
}

// remove unregisters a request that has ended.
func (c *inboundConn) remove(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.requests, id)
}

// pushBody handles a chunk of a streamed request body.
func (r *inboundRequest) pushBody(chunk *wire.BodyChunkT) {
	if len(chunk.Data) > 0 {
		r.body.Push(chunk.Data)
	}
	switch {
	case chunk.Aborted:
		r.body.FinishTruncated()
	case chunk.Last:
		r.body.FinishComplete()
	}
}

// connClosed is called when the connection has ended, so that the response cannot be delivered. A request that may run
// at most once is not cancelled: its response is stored in case the client repeats the request. If its response is
// streamed, it is cancelled, since streamed responses are not stored.
func (r *inboundRequest) connClosed() {
	r.sendWindow.close()
	if !r.request.AtMostOnce || r.streaming.Load() {
		r.cancel(engine.ErrWithdrawn)
	}
	if r.body != nil {
		r.body.FinishTruncated()
	}
}
