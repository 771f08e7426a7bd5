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

// inspectionServer tells on a loopback address what the node holds.
type inspectionServer struct {
	listener net.Listener
	server   *http.Server
}

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
		n.Zones().JSON(w)
	})
	n.registerFleetPages(mux)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, IdleTimeout: time.Second, WriteTimeout: 10 * time.Second}
	return &inspectionServer{l, server}, nil
}

func (a *inspectionServer) serve() {
	if err := a.server.Serve(a.listener); !errors.Is(err, http.ErrServerClosed) {
		log.Printf("admin: %v", err)
	}
}

func (a *inspectionServer) close() {
	a.server.Close()
	a.listener.Close()
}

// InspectionAddr is the address where the node tells what it holds; nil: nowhere.
func (n *Node) InspectionAddr() net.Addr {
	if n.inspection == nil {
		return nil
	}
	return n.inspection.listener.Addr()
}

// DumpXDS writes what the node holds of clusters and endpoints.
func (n *Node) DumpXDS(w io.Writer) {
	n.mu.Lock()
	x := n.xds
	n.mu.Unlock()
	if x == nil {
		fmt.Fprintln(w, "this node follows no control plane")
		return
	}
	x.Dump(w)
}
