package node

import (
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"time"
)

// Time-outs of the inspection server.
const (
	inspectionHeaderTimeout = time.Second
	inspectionIdleTimeout   = time.Second
	inspectionWriteTimeout  = 10 * time.Second
)

// inspectionServer serves pages on a loopback address that show the state of the node. The setting of its address is called
// admin.
type inspectionServer struct {
	listener net.Listener
	server   *http.Server
}

// newInspectionServer listens at addr, host:port. Pages are served once serve is called.
func newInspectionServer(n *Node, addr string) (*inspectionServer, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("admin: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /xds/dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		n.DumpXDS(w)
	})
	mux.HandleFunc("GET /zones", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := n.Zones().WriteJSON(w); err != nil {
			log.Printf("inspection server: zones not written: error=%q", err)
		}
	})
	n.registerFleetPages(mux)
	return &inspectionServer{
		listener: l,
		server: &http.Server{
			Handler:           mux,
			ReadHeaderTimeout: inspectionHeaderTimeout,
			IdleTimeout:       inspectionIdleTimeout,
			WriteTimeout:      inspectionWriteTimeout,
		},
	}, nil
}

// serve returns after close.
func (s *inspectionServer) serve() {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		log.Printf("inspection server ended: error=%q", err)
	}
}

// close closes the listener and all connections.
func (s *inspectionServer) close() {
	s.server.Close()
	s.listener.Close() // the server does not know the listener if serve was never called
}

// InspectionAddr returns the address of the node's inspection pages. It returns nil if it has none.
func (n *Node) InspectionAddr() net.Addr {
	if n.inspection == nil {
		return nil
	}
	return n.inspection.listener.Addr()
}

// DumpXDS writes, for people, what the node knows of clusters and endpoints.
func (n *Node) DumpXDS(w io.Writer) {
	n.mu.Lock()
	xds := n.xds
	n.mu.Unlock()
	if xds == nil {
		fmt.Fprintln(w, "this node follows no control plane")
		return
	}
	xds.Dump(w)
}
