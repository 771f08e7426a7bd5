// Package xds is a stand-in control plane, written from the public specification: it serves clusters and
// endpoints over the aggregated discovery service in both variants, takes load reports, records every
// request, and can be told to send anything at any time.
package xds

import (
	"context"
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
	"google.golang.org/protobuf/types/known/durationpb"
)

// Plane is a control plane.
type ControlPlane struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	loadstats.UnimplementedLoadReportingServiceServer

	addr string

	mu                sync.Mutex // guards all below
	server            *grpc.Server
	version           int
	resources         map[string]map[string]servedResource // by type and name
	streams           map[*stream]struct{}
	streamsOpened     int
	silent            bool // it takes requests and sends nothing by itself
	requests          []Request
	loadReports       []*loadstats.LoadStatsRequest
	loadReportRequest *loadstats.LoadStatsResponse
	onWrite           func(typeURL, version string)
}

// held is a resource that the plane serves.
type servedResource struct {
	version string
	body    *anypb.Any
	ttl     time.Duration
}

// Request is one that the plane got: of one of the two variants.
type Request struct {
	Stream int // counts from 1
	SotW   *discovery.DiscoveryRequest
	Delta  *discovery.DeltaDiscoveryRequest
}

// stream is one stream to a client.
type stream struct {
	number    int
	delta     bool
	cancel    context.CancelFunc
	responses chan proto.Message
	nonce     int
	// by type: what was asked for, and what was sent in which version
	subscribed   map[string]map[string]bool
	wildcard     map[string]bool
	sentVersions map[string]map[string]string
}

// New starts a control plane on a free loopback port, with no resources.
func New() (*ControlPlane, error) {
	p := &ControlPlane{resources: map[string]map[string]servedResource{}, streams: map[*stream]struct{}{}}
	return p, p.listen("127.0.0.1:0")
}

// Addr is its address, the same after Down and Up.
func (p *ControlPlane) Addr() string { return p.addr }

func (p *ControlPlane) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("control plane: %w", err)
	}
	srv := grpc.NewServer(grpc.MaxSendMsgSize(1<<30), grpc.MaxRecvMsgSize(1<<26))
	discovery.RegisterAggregatedDiscoveryServiceServer(srv, p)
	loadstats.RegisterLoadReportingServiceServer(srv, p)
	p.mu.Lock()
	p.addr, p.server = l.Addr().String(), srv
	p.mu.Unlock()
	go srv.Serve(l)
	return nil
}

// Down ends it: its streams break and connections are refused.
func (p *ControlPlane) Down() {
	p.mu.Lock()
	srv := p.server
	p.server = nil
	p.mu.Unlock()
	if srv != nil {
		srv.Stop()
	}
}

// Up starts it again, with the resources that it had.
func (p *ControlPlane) Up() error { return p.listen(p.addr) }

// Close ends it.
func (p *ControlPlane) Close() { p.Down() }

// Break ends every stream, and says how many there were.
func (p *ControlPlane) BreakStreams() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.streams {
		s.cancel()
	}
	return len(p.streams)
}

// SetSilent has it take requests and send nothing but what it is told to.
func (p *ControlPlane) SetSilent(is bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = is
}

// OnWrite has f called right before each response is written, with its type and version.
func (p *ControlPlane) OnWrite(f func(typeURL, version string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onWrite = f
}

// Opened is how many streams it has had.
func (p *ControlPlane) StreamsOpened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.streamsOpened
}

// Requests are all that it got.
func (p *ControlPlane) Requests() []Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.requests)
}

// Set serves resources, by name; a nil one is removed. All are one change, whose version is returned.
func (p *ControlPlane) Set(typeURL string, resources map[string]proto.Message) (version string) {
	return p.SetTTL(typeURL, 0, resources)
}

// SetTTL is Set with a time to live.
func (p *ControlPlane) SetTTL(typeURL string, ttl time.Duration, resources map[string]proto.Message) (version string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	of := p.resources[typeURL]
	if of == nil {
		of = map[string]servedResource{}
		p.resources[typeURL] = of
	}
	for name, m := range resources {
		if m == nil {
			delete(of, name)
			continue
		}
		body, err := anypb.New(m)
		if err != nil {
			panic(err) // a message of ours
		}
		of[name] = servedResource{"v" + strconv.Itoa(p.version), body, ttl}
	}
	if p.silent {
		return strconv.Itoa(p.version)
	}
	for s := range p.streams {
		p.sendChanges(s, typeURL)
	}
	return strconv.Itoa(p.version)
}

// Clear forgets all resources, and tells nobody: as one that comes back empty.
func (p *ControlPlane) Clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resources = map[string]map[string]servedResource{}
	p.version++
}

// Send sends a response of either variant as it is to every stream of its variant; an empty nonce is
// filled in unless keep says to leave it.
func (p *ControlPlane) Send(m proto.Message, keep bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.streams {
		m := proto.Clone(m)
		switch r := m.(type) {
		case *discovery.DiscoveryResponse:
			if s.delta {
				continue
			}
			if r.Nonce == "" && !keep {
				r.Nonce = s.nextNonce()
			}
		case *discovery.DeltaDiscoveryResponse:
			if !s.delta {
				continue
			}
			if r.Nonce == "" && !keep {
				r.Nonce = s.nextNonce()
			}
		}
		s.enqueue(m)
	}
}

func (s *stream) nextNonce() string {
	s.nonce++
	return fmt.Sprintf("n%d-%d", s.number, s.nonce)
}

// put queues a response; a client that reads nothing loses its stream.
func (s *stream) enqueue(m proto.Message) {
	select {
	case s.responses <- m:
	default:
		s.cancel()
	}
}

// update sends a stream what it does not have yet of a type. The caller holds mu.
func (p *ControlPlane) sendChanges(s *stream, typeURL string) {
	asked, all := s.subscribed[typeURL], s.wildcard[typeURL]
	if !all && len(asked) == 0 {
		return
	}
	sent := s.sentVersions[typeURL]
	if sent == nil {
		sent = map[string]string{}
		s.sentVersions[typeURL] = sent
	}
	of := p.resources[typeURL]
	var names, gone []string
	for name, h := range of {
		if (all || asked[name]) && sent[name] != h.version {
			names = append(names, name)
		}
	}
	for name := range sent {
		if _, is := of[name]; !is {
			gone = append(gone, name)
		}
	}
	slices.Sort(names)
	slices.Sort(gone)
	if s.delta {
		if len(names)+len(gone) == 0 {
			return
		}
		r := &discovery.DeltaDiscoveryResponse{TypeUrl: typeURL, Nonce: s.nextNonce(), SystemVersionInfo: strconv.Itoa(p.version), RemovedResources: gone}
		for _, n := range names {
			w := &discovery.Resource{Name: n, Version: of[n].version, Resource: of[n].body}
			if of[n].ttl > 0 {
				w.Ttl = durationpb.New(of[n].ttl)
			}
			r.Resources = append(r.Resources, w)
			sent[n] = of[n].version
		}
		for _, n := range gone {
			delete(sent, n)
		}
		s.enqueue(r)
		return
	}
	// Clusters: whatever changed, all that is asked for is sent. Endpoints: only what changed.
	whole := typeURL == ClusterURL
	if len(names) == 0 && !(whole && len(gone) > 0) {
		return
	}
	if whole {
		names = names[:0]
		for name := range of {
			if all || asked[name] {
				names = append(names, name)
			}
		}
		slices.Sort(names)
	}
	r := &discovery.DiscoveryResponse{TypeUrl: typeURL, Nonce: s.nextNonce(), VersionInfo: strconv.Itoa(p.version)}
	for _, n := range names {
		body := of[n].body
		if of[n].ttl > 0 {
			body, _ = anypb.New(&discovery.Resource{Name: n, Version: of[n].version, Resource: body, Ttl: durationpb.New(of[n].ttl)})
		}
		r.Resources = append(r.Resources, body)
		sent[n] = of[n].version
	}
	for _, n := range gone {
		delete(sent, n)
	}
	s.enqueue(r)
}

// ClusterURL is the type whose state-of-the-world responses are whole.
const ClusterURL = "type.googleapis.com/envoy.config.cluster.v3.Cluster"

// open registers a stream.
func (p *ControlPlane) openStream(ctx context.Context, delta bool) (*stream, context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.streamsOpened++
	s := &stream{
		number: p.streamsOpened, delta: delta, cancel: cancel, responses: make(chan proto.Message, 4096), subscribed: map[string]map[string]bool{},
		wildcard: map[string]bool{}, sentVersions: map[string]map[string]string{},
	}
	p.streams[s] = struct{}{}
	return s, ctx
}

// run writes a stream's responses until it ends.
func (p *ControlPlane) writeResponses(ctx context.Context, s *stream, send func(proto.Message) error) error {
	defer func() {
		s.cancel()
		p.mu.Lock()
		delete(p.streams, s)
		p.mu.Unlock()
	}()
	for {
		select {
		case m := <-s.responses:
			p.mu.Lock()
			f := p.onWrite
			p.mu.Unlock()
			if f != nil {
				f(typeAndVersion(m))
			}
			if err := send(m); err != nil {
				return err
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// told is the type and the version of a response.
func typeAndVersion(m proto.Message) (typeURL, version string) {
	switch r := m.(type) {
	case *discovery.DiscoveryResponse:
		return r.TypeUrl, r.VersionInfo
	case *discovery.DeltaDiscoveryResponse:
		return r.TypeUrl, r.SystemVersionInfo
	}
	return "", ""
}

// receive records a stream's requests and has each answered, until the stream ends.
func receive[R any](p *ControlPlane, s *stream, recv func() (R, error), record func(R) Request, take func(*stream, R)) {
	defer s.cancel()
	for {
		r, err := recv()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.requests = append(p.requests, record(r))
		if !p.silent {
			take(s, r)
		}
		p.mu.Unlock()
	}
}

// StreamAggregatedResources serves the state of the world.
func (p *ControlPlane) StreamAggregatedResources(st grpc.BidiStreamingServer[discovery.DiscoveryRequest, discovery.DiscoveryResponse]) error {
	s, ctx := p.openStream(st.Context(), false)
	go receive(p, s, st.Recv, func(r *discovery.DiscoveryRequest) Request { return Request{Stream: s.number, SotW: r} }, p.handleSotW)
	return p.writeResponses(ctx, s, func(m proto.Message) error { return st.Send(m.(*discovery.DiscoveryResponse)) })
}

func (p *ControlPlane) handleSotW(s *stream, r *discovery.DiscoveryRequest) {
	url := r.GetTypeUrl()
	asked := map[string]bool{}
	for _, n := range r.GetResourceNames() {
		asked[n] = true
	}
	// No names mean all of them only in a stream's first request of the type, and as long as there are none.
	s.wildcard[url] = asked["*"] || len(asked) == 0 && (s.subscribed[url] == nil || s.wildcard[url])
	s.subscribed[url] = asked
	// What is no longer asked for is sent anew should it be asked for again.
	for n := range s.sentVersions[url] {
		if !s.wildcard[url] && !asked[n] {
			delete(s.sentVersions[url], n)
		}
	}
	p.sendChanges(s, url)
}

// DeltaAggregatedResources serves changes.
func (p *ControlPlane) DeltaAggregatedResources(st grpc.BidiStreamingServer[discovery.DeltaDiscoveryRequest, discovery.DeltaDiscoveryResponse]) error {
	s, ctx := p.openStream(st.Context(), true)
	go receive(p, s, st.Recv, func(r *discovery.DeltaDiscoveryRequest) Request { return Request{Stream: s.number, Delta: r} }, p.handleDelta)
	return p.writeResponses(ctx, s, func(m proto.Message) error { return st.Send(m.(*discovery.DeltaDiscoveryResponse)) })
}

func (p *ControlPlane) handleDelta(s *stream, r *discovery.DeltaDiscoveryRequest) {
	url := r.GetTypeUrl()
	if s.subscribed[url] == nil {
		s.subscribed[url], s.sentVersions[url] = map[string]bool{}, map[string]string{}
		s.wildcard[url] = len(r.GetResourceNamesSubscribe()) == 0
		for n, v := range r.GetInitialResourceVersions() {
			s.sentVersions[url][n] = v
		}
	}
	of := p.resources[url]
	var absent []string
	for _, n := range r.GetResourceNamesSubscribe() {
		if n == "*" {
			s.wildcard[url] = true
			continue
		}
		s.subscribed[url][n] = true
		if _, is := of[n]; !is {
			if _, was := s.sentVersions[url][n]; !was {
				absent = append(absent, n)
			}
		}
	}
	for _, n := range r.GetResourceNamesUnsubscribe() {
		delete(s.subscribed[url], n)
		delete(s.sentVersions[url], n)
	}
	if len(absent) > 0 && url == ClusterURL { // a resource that is not there is told so at once
		s.enqueue(&discovery.DeltaDiscoveryResponse{TypeUrl: url, Nonce: s.nextNonce(), SystemVersionInfo: strconv.Itoa(p.version), RemovedResources: absent})
	}
	p.sendChanges(s, url)
}

// Wish sets what load reports it wants.
func (p *ControlPlane) SetLoadReportRequest(r *loadstats.LoadStatsResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.loadReportRequest = r
}

// Loads are the load reports that it got.
func (p *ControlPlane) LoadReports() []*loadstats.LoadStatsRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.loadReports)
}

// StreamLoadStats takes load reports.
func (p *ControlPlane) StreamLoadStats(st grpc.BidiStreamingServer[loadstats.LoadStatsRequest, loadstats.LoadStatsResponse]) error {
	for first := true; ; first = false {
		r, err := st.Recv()
		if err != nil {
			return err
		}
		p.mu.Lock()
		p.loadReports = append(p.loadReports, r)
		wish := p.loadReportRequest
		p.mu.Unlock()
		if first && wish != nil {
			if err := st.Send(wish); err != nil {
				return err
			}
		}
	}
}
