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
	serverIdleTimeout    = 8 * time.Second // after which servers are assumed to close idle connections
	serverConnectTimeout = 1500 * time.Millisecond
)

// inboundServer runs requests of other sidecars at the local server, and answers calls of other sidecars and of operators.
type inboundServer struct {
	env         *environment
	sender      *sender.Sender
	localServer *localServer
	responses   *responseStore
	claims      *keyClaims
	releases    *releaseQueue
	maintenance *maintenanceView
	recaller    *recaller
	status      func() *wire.StatusT
	ring        *logring.Ring // the latest log lines

	metrics      requestMetrics
	openRequests atomic.Int64
	draining     atomic.Bool // new requests are rejected

	mu    sync.Mutex // guards conns
	conns map[*inboundConn]bool
}

// acceptConns accepts connections of other sidecars until the sidecar ends.
func (in *inboundServer) acceptConns(listener net.Listener) {
	transport.AcceptEach(listener, in.env.ctx.Done(), func(accepted net.Conn) {
		if conn, err := transport.Accept(accepted, nil); err == nil {
			in.serveConn(&inboundConn{inbound: in, conn: conn, requests: map[uint64]*inboundRequest{}})
		}
	})
}

// serveConn serves a connection until it ends.
func (in *inboundServer) serveConn(conn *inboundConn) {
	in.mu.Lock()
	in.conns[conn] = true
	in.mu.Unlock()
	defer func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		delete(in.conns, conn)
	}()
	conn.receive()
}

// finishConns shuts down the connections of other sidecars, each once the peer has read all responses, or when ctx ends.
func (in *inboundServer) finishConns(ctx context.Context) {
	in.mu.Lock()
	var finishing sync.WaitGroup
	for conn := range in.conns {
		finishing.Go(func() { conn.conn.Shutdown(ctx) })
	}
	in.mu.Unlock()
	finishing.Wait()
}

// handleCall answers a call of another sidecar, or of an operator.
func (in *inboundServer) handleCall(call *wire.CallT) *wire.CallReplyT {
	reply := &wire.CallReplyT{Id: call.Id, Status: http.StatusOK}
	switch call.Kind {
	case codec.CallStoredResponse:
		asked, err := parseKeyHandover(call.Body)
		if err != nil || len(asked.List) != 1 {
			reply.Status = http.StatusBadRequest
			break
		}
		reply.Body = codec.EncodeTable(in.recaller.lookUp(asked.List[0].Key, asked.SourceAddr))
	case codec.CallHandOverKeys:
		handed, err := parseKeyHandover(call.Body)
		if err != nil {
			reply.Status = http.StatusBadRequest
			break
		}
		in.responses.inherited.add(handed.SourceAddr, handed.List)
	case codec.CallStatus:
		reply.Body = codec.EncodeTable(in.status())
	case codec.CallLogRing:
		reply.Body = in.ring.Contents()
	case codec.CallDrain:
		in.localServer.hold(len(call.Body) > 0)
	default:
		reply.Status = http.StatusNotFound
	}
	return reply
}
