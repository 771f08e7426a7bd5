package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/engine"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/message"
	sender "cranegrade/internal/sender/http1"
)

// Figures of the side that runs requests at its own server.
const (
	serverIdleTimeout    = 8 * time.Second // after which servers are taken to close idle connections
	serverConnectTimeout = 1500 * time.Millisecond
	claimTimeout         = 400 * time.Millisecond
)

// inboundServer runs requests of other lines at this line's server.
type inboundServer struct {
	sidecar      *Sidecar
	sender       *sender.Sender
	responses    *responseStore
	openRequests atomic.Int64
	draining     atomic.Bool // nothing new is taken
	metrics      requestMetrics

	mu    sync.Mutex // guards callers
	conns map[*inboundConn]bool
}

// inboundConn is a trunk from another line.
type inboundConn struct {
	conn *transport.Conn
	mu   sync.Mutex // guards open
	// open are the requests of it that run here
	requests map[uint64]*inboundRequest
}

func newInboundServer(l *Sidecar, s *sender.Sender) *inboundServer {
	return &inboundServer{sidecar: l, sender: s, responses: newResponseStore(), conns: map[*inboundConn]bool{}}
}

// finishConns ends the trunks of other lines, once they have read what was answered.
func (in *inboundServer) finishConns(ctx context.Context) {
	in.mu.Lock()
	var all sync.WaitGroup
	for of := range in.conns {
		all.Go(func() { of.conn.Shutdown(ctx) })
	}
	in.mu.Unlock()
	all.Wait()
}

// acceptConns takes trunks.
func (in *inboundServer) acceptConns(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			select {
			case <-in.sidecar.ctx.Done():
				return
			case <-time.After(20 * time.Millisecond):
			}
			continue
		}
		go func() {
			if c, err := transport.Accept(nc, nil); err == nil {
				in.serveConn(&inboundConn{conn: c, requests: map[uint64]*inboundRequest{}})
			}
		}()
	}
}

func (in *inboundServer) serveConn(of *inboundConn) {
	in.mu.Lock()
	in.conns[of] = true
	in.mu.Unlock()
	defer func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		delete(in.conns, of)
	}()
	for {
		m, err := of.conn.Receive()
		if err != nil {
			break
		}
		switch v := m.Value.(type) {
		case *wire.RequestT:
			in.beginRequest(of, v)
		case *wire.BodyChunkT:
			if r := of.find(v.Id); r != nil && r.body != nil {
				if len(v.Data) > 0 {
					r.body.Push(v.Data)
				}
				if v.Aborted {
					r.body.Finish(nil)
				} else if v.Last {
					r.body.Finish([]message.Field{})
				}
			}
		case *wire.WindowUpdateT:
			if r := of.find(v.Id); r != nil {
				r.sendWindow.add(int(v.Increment))
			}
		case *wire.CancelT:
			if r := of.find(v.Id); r != nil {
				r.cancel(engine.ErrWithdrawn)
			}
		case *wire.CallT:
			of.conn.Send(in.answerCall(v))
		}
	}
	of.mu.Lock()
	defer of.mu.Unlock()
	for _, r := range of.requests {
		if !r.request.AtMostOnce { // nobody will read the answer; of a key's it is kept for a repeat
			r.cancel(engine.ErrWithdrawn)
		}
		if r.body != nil {
			r.body.Finish(nil)
		}
		r.sendWindow.close()
	}
}

// answerCall answers a call of another line, or of an operator.
func (in *inboundServer) answerCall(a *wire.CallT) *wire.CallReplyT {
	told := &wire.CallReplyT{Id: a.Id, Status: http.StatusOK}
	switch a.Kind {
	case codec.CallStoredResponse:
		q, err := parseLegacy(a.Body)
		if err != nil || len(q.List) != 1 {
			told.Status = http.StatusBadRequest
			break
		}
		told.Body = codec.EncodeTable(in.recallResponse(q.List[0].Key, q.SourceAddr))
	case codec.CallHandOverKeys:
		q, err := parseLegacy(a.Body)
		if err != nil {
			told.Status = http.StatusBadRequest
			break
		}
		in.responses.inherit(q.SourceAddr, q.List)
	case codec.CallStatus:
		told.Body = codec.EncodeTable(in.sidecar.status())
	case codec.CallLogRing:
		told.Body = in.sidecar.ring.Contents()
	case codec.CallDrain:
		in.sidecar.localServer.hold(len(a.Body) > 0)
	default:
		told.Status = http.StatusNotFound
	}
	return told
}

func parseLegacy(body []byte) (*wire.KeyHandoverT, error) {
	return codec.DecodeTable(body, func(p []byte) *wire.KeyHandoverT { return wire.GetRootAsKeyHandover(p, 0).UnPack() })
}

// sendAnswer sends an answer, or its beginning, in the form that the caller's line reads.
func (of *inboundConn) sendAnswer(a *wire.ResponseT) {
	if of.conn.Peer.TransportVersion >= codec.PackedHeaderVersion {
		a = codec.PackResponse(a)
	}
	of.conn.Send(a)
}

func (of *inboundConn) find(id uint64) *inboundRequest {
	of.mu.Lock()
	defer of.mu.Unlock()
	return of.requests[id]
}

// errStreamIDInUse ends a trunk: answers on it could go to the wrong request.
const errStreamIDInUse = errors.ConstError("a request's id is in use")

// add notes a request that runs; false: its id is that of another.
func (of *inboundConn) add(r *inboundRequest) bool {
	of.mu.Lock()
	defer of.mu.Unlock()
	if of.requests[r.request.Id] != nil {
		return false
	}
	of.requests[r.request.Id] = r
	return true
}
