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

// Options are the parts that a program links into its node. Any of them may be nil: a plan that asks for a missing part
// is rejected with the matching ErrNo... error.
type Options struct {
	// XDS opens a client of the control planes that a plan names.
	XDS func(operator.XDS) (XDSClient, error)
	// ExtProc makes the front for proxies that ask where to send a request (Envoy's external processor). The front finds
	// pools by the node's Find.
	ExtProc func(net.Listener, operator.ExtProc, engine.Clock, *Node) Front
	// H2 makes a sender for servers that speak HTTP/2.
	H2 func(c wire.Connections, m operator.Mux, connections engine.SharedLimit) engine.Sender
	// GRPC makes the dialect that answers gRPC callers on the HTTP/2 listeners. If it is nil those callers get plain HTTP
	// answers.
	GRPC func(*Node) front.Dialect
	// ZoneStore opens the file that keeps the zone account.
	ZoneStore func(path string) (ZoneStore, error)
	// Fleet joins the fleet that a plan names. pools maps each pool's name to a digest of its settings.
	Fleet func(name string, f operator.Fleet, pools map[string]uint32) (Member, error)
	// Trace wraps the module of a pool in one that records its events and actions. If it is nil nothing is recorded.
	Trace func(pool string, classes []balancer.Class, m engine.Module) (engine.Module, error)
}

// What a plan asks for and this program was built without.
var (
	ErrNoExtProc   = errors.New("this program is built without the external processor")
	ErrNoFleet     = errors.New("this program is built without [fleet]")
	ErrNoH2        = errors.New("this program is built without HTTP/2 towards servers")
	ErrNoXDS       = errors.New("this program is built without xDS")
	ErrNoZoneStore = errors.New("this program is built without a store for the account of zones")
)

// XDSClient follows clusters at control planes. It is an interface so that a program can be built without gRPC and the
// xDS messages. Its methods may be called from any goroutine.
type XDSClient interface {
	// Source returns the endpoint list of a cluster. levels asks for the endpoints of all priorities.
	Source(cluster string, levels bool) engine.Source
	// Dump writes a text for people: what the client knows of clusters and endpoints.
	Dump(w io.Writer)
	// Close ends all streams. Sources that are still used get no further updates.
	Close()
}

// Front serves callers on a listener, which it owns. Serve is called once; the other methods may be called from any
// goroutine, also before Serve.
type Front interface {
	Addr() net.Addr
	// Serve returns http.ErrServerClosed after Shutdown or Close, and any other error if accepting fails.
	Serve() error
	// Shutdown stops accepting and returns once the requests in flight are answered, or with the context's error.
	Shutdown(context.Context) error
	// Close closes all connections at once, and the listener if Serve was called. It may follow a Shutdown.
	Close() error
}
