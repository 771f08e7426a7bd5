package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/internal/mesh/logring"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
	sender "cranegrade/internal/sender/http1"
)

const (
	// serverIdleTimeout is the time after which servers are assumed to close idle connections. The sidecar closes them
	// earlier.
	serverIdleTimeout = 8 * time.Second
	// serverConnectTimeout bounds connecting to the local server. It may be short, because a request whose connection
	// could not be opened has not run and can be retried.
	serverConnectTimeout = 1500 * time.Millisecond
)

// inboundServer runs requests of other sidecars at the local server, and answers calls of other sidecars and of
// operators. There is one goroutine for each connection, which receives, and one for each request, which runs it.
type inboundServer struct {
	env              *environment
	sender           *sender.Sender
	localServer      *localServer
	responses        *responseStore
	claims           *keyClaims
	releases         *releaseQueue
	maintenance      *maintenanceView
	responseExchange *responseExchange
	status           func() *wire.StatusT
	ring             *logring.Ring // the latest log lines

	metrics      requestMetrics
	openRequests atomic.Int64
	draining     atomic.Bool // whether new requests are rejected

	mu    sync.Mutex // guards conns
	conns map[*inboundConn]bool
}

// acceptConns accepts connections of other sidecars until the sidecar ends.
func (s *inboundServer) acceptConns(listener net.Listener) {
	transport.AcceptEach(listener, s.env.ctx.Done(), func(accepted net.Conn) {
		if conn, err := transport.Accept(accepted, nil); err == nil {
			s.serveConn(&inboundConn{inbound: s, conn: conn, requests: map[uint64]*inboundRequest{}})
		}
	})
}

// serveConn serves a connection until it ends.
func (s *inboundServer) serveConn(conn *inboundConn) {
	s.mu.Lock()
	s.conns[conn] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
	}()
	conn.receive()
}

// finishConns shuts down all connections of other sidecars. It waits until each peer has read all responses, or until
// ctx ends.
func (s *inboundServer) finishConns(ctx context.Context) {
	s.mu.Lock()
	var finishing sync.WaitGroup
	for conn := range s.conns {
		finishing.Go(func() { conn.conn.Shutdown(ctx) })
	}
	s.mu.Unlock()
	finishing.Wait()
}

// handleCall answers a call of another sidecar, or of an operator.
func (s *inboundServer) handleCall(call *wire.CallT) *wire.CallReplyT {
	reply := &wire.CallReplyT{Id: call.Id, Status: http.StatusOK}
	switch call.Kind {
	case codec.CallStoredResponse:
		lookup, err := parseKeyHandover(call.Body)
		if err != nil || len(lookup.List) != 1 {
			reply.Status = http.StatusBadRequest
			break
		}
		reply.Body = codec.EncodeTable(s.responseExchange.lookUp(lookup.List[0].Key, lookup.SourceAddr))
	case codec.CallHandOverKeys:
		handover, err := parseKeyHandover(call.Body)
		if err != nil {
			reply.Status = http.StatusBadRequest
			break
		}
		s.responses.inherited.add(handover.SourceAddr, handover.List)
	case codec.CallStatus:
		reply.Body = codec.EncodeTable(s.status())
	case codec.CallLogRing:
		reply.Body = s.ring.Contents()
	case codec.CallDrain: // a non-empty body drains the server, an empty one ends that
		s.localServer.setHeldByOperator(len(call.Body) > 0)
	default:
		reply.Status = http.StatusNotFound
	}
	return reply
}
