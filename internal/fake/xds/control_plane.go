// Package xds is a fake control plane. It serves clusters and endpoints by the aggregated discovery service in both variants (state
// of the world, and incremental) and takes load reports, as the public xDS protocol specification says. It records every request, and
// can be told to send anything at any time, also what the specification forbids.
package xds

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	loadstats "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"cranegrade/internal/fake"
)

// ClusterURL is the type of resources whose state-of-the-world responses are always complete.
const ClusterURL = "type.googleapis.com/envoy.config.cluster.v3.Cluster"

const (
	maxSentBytes     = 1 << 30 // of a message: lists of many thousand endpoints fit
	maxReceivedBytes = 1 << 26
)

// ControlPlane is a fake control plane. All methods may be called from any goroutine.
type ControlPlane struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	loadstats.UnimplementedLoadReportingServiceServer

	port *fake.ReservedPort

	mu                sync.Mutex // guards the fields below and all streams
	server            *grpc.Server
	version           int
	resources         map[string]map[string]servedResource // by type and name
	streams           map[*stream]struct{}
	streamsOpened     int
	silent            bool // it reads requests and sends nothing by itself
	requests          []Request
	loadReports       []*loadstats.LoadStatsRequest
	loadReportRequest *loadstats.LoadStatsResponse
	onWrite           func(typeURL, version string)
}

// servedResource is a resource that the control plane serves.
type servedResource struct {
	version string
	body    *anypb.Any
	ttl     time.Duration // 0: none
}

// Request is a discovery request of one of the two variants; the other field is nil.
type Request struct {
	Stream int // number of the stream, from 1
	SotW   *discovery.DiscoveryRequest
	Delta  *discovery.DeltaDiscoveryRequest
}

// New starts a control plane on a free loopback port, with no resources.
func New() (*ControlPlane, error) {
	port, err := fake.ReservePort()
	if err != nil {
		return nil, fmt.Errorf("starting the fake control plane: %w", err)
	}
	p := &ControlPlane{port: port, resources: map[string]map[string]servedResource{}, streams: map[*stream]struct{}{}}
	return p, p.Up()
}

// Addr is the address of the control plane. It stays the same over Down and Up.
func (p *ControlPlane) Addr() string { return p.port.Addr() }

// Up starts the control plane again after Down, with the resources that it had.
func (p *ControlPlane) Up() error {
	listener, err := net.Listen("tcp", p.Addr())
	if err != nil {
		return fmt.Errorf("starting the fake control plane: %w", err)
	}
	server := grpc.NewServer(grpc.MaxSendMsgSize(maxSentBytes), grpc.MaxRecvMsgSize(maxReceivedBytes))
	discovery.RegisterAggregatedDiscoveryServiceServer(server, p)
	loadstats.RegisterLoadReportingServiceServer(server, p)
	p.mu.Lock()
	p.server = server
	p.mu.Unlock()
	go func() { _ = server.Serve(listener) }() // until Down stops the server
	return nil
}

// Down ends the control plane: its streams break and connections are refused.
func (p *ControlPlane) Down() {
	p.mu.Lock()
	server := p.server
	p.server = nil
	p.mu.Unlock()
	if server != nil {
		server.Stop()
	}
}

// Close ends the control plane.
func (p *ControlPlane) Close() {
	p.Down()
	p.port.Close()
}

// BreakStreams ends every stream and returns how many there were.
func (p *ControlPlane) BreakStreams() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.streams {
		s.cancel()
	}
	return len(p.streams)
}

// SetSilent has the control plane read requests and send nothing but what Send is given.
func (p *ControlPlane) SetSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = silent
}

// OnWrite has f called immediately before each response is written, with its type and version, on the
// goroutine of the stream.
func (p *ControlPlane) OnWrite(f func(typeURL, version string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onWrite = f
}

// StreamsOpened is the number of streams that were opened so far.
func (p *ControlPlane) StreamsOpened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.streamsOpened
}

// Requests returns all requests so far, in the order of their arrival.
func (p *ControlPlane) Requests() []Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.requests)
}

// Set serves resources of a type, by name; a nil one is removed. All of them are one change, whose version is returned.
func (p *ControlPlane) Set(typeURL string, resources map[string]proto.Message) (version string) {
	return p.SetTTL(typeURL, 0, resources)
}

// SetTTL is Set with a time to live.
func (p *ControlPlane) SetTTL(typeURL string, ttl time.Duration, resources map[string]proto.Message) (version string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	served := p.resources[typeURL]
	if served == nil {
		served = map[string]servedResource{}
		p.resources[typeURL] = served
	}
	for name, m := range resources {
		if m == nil {
			delete(served, name)
			continue
		}
		body, err := anypb.New(m)
		if err != nil {
			panic(err) // the messages of a test can be marshalled
		}
		served[name] = servedResource{version: "v" + strconv.Itoa(p.version), body: body, ttl: ttl}
	}
	if !p.silent {
		for s := range p.streams {
			p.sendChanges(s, typeURL)
		}
	}
	return strconv.Itoa(p.version)
}

// Clear removes all resources without sending that to anybody, like a control plane that comes back empty.
func (p *ControlPlane) Clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resources = map[string]map[string]servedResource{}
	p.version++
}

// Send sends a response of either variant, as it is, to every stream of that variant. An empty nonce is filled in, unless keepNonce
// says to leave it empty.
func (p *ControlPlane) Send(m proto.Message, keepNonce bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.streams {
		m := proto.Clone(m)
		switch r := m.(type) {
		case *discovery.DiscoveryResponse:
			if s.delta {
				continue
			}
			if r.Nonce == "" && !keepNonce {
				r.Nonce = s.nextNonce()
			}
		case *discovery.DeltaDiscoveryResponse:
			if !s.delta {
				continue
			}
			if r.Nonce == "" && !keepNonce {
				r.Nonce = s.nextNonce()
			}
		}
		s.enqueue(m)
	}
}
