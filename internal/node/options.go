package node

import (
	"context"
	"errors"
	"io"
	"net"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	front "cranegrade/internal/front/http1"
	"cranegrade/internal/operator"
	"cranegrade/internal/wire"
)

// Options are what a program brings.
type Options struct {
	// XDS opens a client of control planes; nil: this program is built without.
	XDS func(operator.XDS) (XDSClient, error)
	// ExtProc makes a front for proxies that ask, which finds pools with the node's Find; nil: this program
	// is built without.
	ExtProc func(net.Listener, operator.ExtProc, engine.Clock, *Node) Front
	// H2 makes a sender for servers that speak HTTP/2; nil: this program is built without.
	H2 func(c wire.Connections, m operator.Mux, connections engine.SharedLimit) engine.Sender
	// GRPC makes the dialect that answers callers of gRPC on the listeners for HTTP/2; nil: this program is built without.
	GRPC func(*Node) front.Dialect
	// ZoneStore opens the file that keeps the account of zones; nil: this program is built without.
	ZoneStore func(path string) (ZoneStore, error)
	// Fleet joins the fleet that a file names; nil: this program is built without.
	Fleet func(name string, f operator.Fleet, pools map[string]uint32) (Member, error)
	// Trace stands between a pool's engine and its module and writes down what passes; nil: none does.
	Trace func(pool string, classes []balancer.Class, m engine.Module) (engine.Module, error)
}

// XDSClient follows clusters at control planes. It is an interface so that a program can be built
// without what it links.
type XDSClient interface {
	Source(cluster string, levels bool) engine.Source
	Dump(w io.Writer)
	Close()
}

// Front serves callers on a listener.
type Front interface {
	Addr() net.Addr
	Serve() error // until Shutdown or Close; then http.ErrServerClosed
	Shutdown(context.Context) error
	Close() error
}

// What a plan asks for and this program was built without.
var (
	ErrNoExtProc = errors.New("this program is built without the external processor")
	ErrNoH2      = errors.New("this program is built without HTTP/2 towards servers")
	ErrNoXDS     = errors.New("this program is built without xDS")
)
