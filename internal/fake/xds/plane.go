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
type Plane struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	loadstats.UnimplementedLoadReportingServiceServer

	addr string

	mu        sync.Mutex // guards all below
	server    *grpc.Server
	version   int
	resources map[string]map[string]held // by type and name
	streams   map[*stream]struct{}
	opened    int
	silent    bool // it takes requests and sends nothing by itself
	requests  []Request
	loads     []*loadstats.LoadStatsRequest
	wish      *loadstats.LoadStatsResponse
	onWrite   func(typeURL, version string)
}

// held is a resource that the plane serves.
type held struct {
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
	n      int
	delta  bool
	cancel context.CancelFunc
	out    chan proto.Message
	nonce  int
	// by type: what was asked for, and what was sent in which version
	asked map[string]map[string]bool
	all   map[string]bool
	sent  map[string]map[string]string
}

// New starts a control plane on a free loopback port, with no resources.
func New() (*Plane, error) {
	p := &Plane{resources: map[string]map[string]held{}, streams: map[*stream]struct{}{}}
	return p, p.listen("127.0.0.1:0")
}

// Addr is its address, the same after Down and Up.
func (p *Plane) Addr() string { return p.addr }

func (p *Plane) listen(addr string) error {
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
func (p *Plane) Down() {
	p.mu.Lock()
	srv := p.server
	p.server = nil
	p.mu.Unlock()
	if srv != nil {
		srv.Stop()
	}
}

// Up starts it again, with the resources that it had.
func (p *Plane) Up() error { return p.listen(p.addr) }

// Close ends it.
func (p *Plane) Close() { p.Down() }

// Break ends every stream, and says how many there were.
func (p *Plane) Break() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.streams {
		s.cancel()
	}
	return len(p.streams)
}

// SetSilent has it take requests and send nothing but what it is told to.
func (p *Plane) SetSilent(is bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = is
}

// OnWrite has f called right before each response is written, with its type and version.
func (p *Plane) OnWrite(f func(typeURL, version string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onWrite = f
}

// Opened is how many streams it has had.
func (p *Plane) Opened() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Requests are all that it got.
func (p *Plane) Requests() []Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.requests)
}

// Set serves resources, by name; a nil one is removed. All are one change, whose version is returned.
func (p *Plane) Set(typeURL string, resources map[string]proto.Message) (version string) {
	return p.SetTTL(typeURL, 0, resources)
}

// SetTTL is Set with a time to live.
func (p *Plane) SetTTL(typeURL string, ttl time.Duration, resources map[string]proto.Message) (version string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.version++
	of := p.resources[typeURL]
	if of == nil {
		of = map[string]held{}
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
		of[name] = held{"v" + strconv.Itoa(p.version), body, ttl}
	}
	if p.silent {
		return strconv.Itoa(p.version)
	}
	for s := range p.streams {
		p.update(s, typeURL)
	}
	return strconv.Itoa(p.version)
}

// Clear forgets all resources, and tells nobody: as one that comes back empty.
func (p *Plane) Clear() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resources = map[string]map[string]held{}
	p.version++
}

// Send sends a response of either variant as it is to every stream of its variant; an empty nonce is
// filled in unless keep says to leave it.
func (p *Plane) Send(m proto.Message, keep bool) {
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
				r.Nonce = s.next()
			}
		case *discovery.DeltaDiscoveryResponse:
			if !s.delta {
				continue
			}
			if r.Nonce == "" && !keep {
				r.Nonce = s.next()
			}
		}
		s.put(m)
	}
}

func (s *stream) next() string {
	s.nonce++
	return fmt.Sprintf("n%d-%d", s.n, s.nonce)
}

// put queues a response; a client that reads nothing loses its stream.
func (s *stream) put(m proto.Message) {
	select {
	case s.out <- m:
	default:
		s.cancel()
	}
}

// update sends a stream what it does not have yet of a type. The caller holds mu.
func (p *Plane) update(s *stream, typeURL string) {
	asked, all := s.asked[typeURL], s.all[typeURL]
	if !all && len(asked) == 0 {
		return
	}
	sent := s.sent[typeURL]
	if sent == nil {
		sent = map[string]string{}
		s.sent[typeURL] = sent
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
		r := &discovery.DeltaDiscoveryResponse{TypeUrl: typeURL, Nonce: s.next(), SystemVersionInfo: strconv.Itoa(p.version), RemovedResources: gone}
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
		s.put(r)
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
	r := &discovery.DiscoveryResponse{TypeUrl: typeURL, Nonce: s.next(), VersionInfo: strconv.Itoa(p.version)}
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
	s.put(r)
}

// ClusterURL is the type whose state-of-the-world responses are whole.
const ClusterURL = "type.googleapis.com/envoy.config.cluster.v3.Cluster"

// open registers a stream.
func (p *Plane) open(ctx context.Context, delta bool) (*stream, context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opened++
	s := &stream{
		n: p.opened, delta: delta, cancel: cancel, out: make(chan proto.Message, 4096), asked: map[string]map[string]bool{},
		all: map[string]bool{}, sent: map[string]map[string]string{},
	}
	p.streams[s] = struct{}{}
	return s, ctx
}

// run writes a stream's responses until it ends.
func (p *Plane) run(ctx context.Context, s *stream, send func(proto.Message) error) error {
	defer func() {
		s.cancel()
		p.mu.Lock()
		delete(p.streams, s)
		p.mu.Unlock()
	}()
	for {
		select {
		case m := <-s.out:
			p.mu.Lock()
			f := p.onWrite
			p.mu.Unlock()
			if f != nil {
				f(told(m))
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
func told(m proto.Message) (typeURL, version string) {
	switch r := m.(type) {
	case *discovery.DiscoveryResponse:
		return r.TypeUrl, r.VersionInfo
	case *discovery.DeltaDiscoveryResponse:
		return r.TypeUrl, r.SystemVersionInfo
	}
	return "", ""
}

// receive records a stream's requests and has each answered, until the stream ends.
func receive[R any](p *Plane, s *stream, recv func() (R, error), record func(R) Request, take func(*stream, R)) {
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
func (p *Plane) StreamAggregatedResources(st grpc.BidiStreamingServer[discovery.DiscoveryRequest, discovery.DiscoveryResponse]) error {
	s, ctx := p.open(st.Context(), false)
	go receive(p, s, st.Recv, func(r *discovery.DiscoveryRequest) Request { return Request{Stream: s.n, SotW: r} }, p.takeSotW)
	return p.run(ctx, s, func(m proto.Message) error { return st.Send(m.(*discovery.DiscoveryResponse)) })
}

func (p *Plane) takeSotW(s *stream, r *discovery.DiscoveryRequest) {
	url := r.GetTypeUrl()
	asked := map[string]bool{}
	for _, n := range r.GetResourceNames() {
		asked[n] = true
	}
	// No names mean all of them only in a stream's first request of the type, and as long as there are none.
	s.all[url] = asked["*"] || len(asked) == 0 && (s.asked[url] == nil || s.all[url])
	s.asked[url] = asked
	// What is no longer asked for is sent anew should it be asked for again.
	for n := range s.sent[url] {
		if !s.all[url] && !asked[n] {
			delete(s.sent[url], n)
		}
	}
	p.update(s, url)
}

// DeltaAggregatedResources serves changes.
func (p *Plane) DeltaAggregatedResources(st grpc.BidiStreamingServer[discovery.DeltaDiscoveryRequest, discovery.DeltaDiscoveryResponse]) error {
	s, ctx := p.open(st.Context(), true)
	go receive(p, s, st.Recv, func(r *discovery.DeltaDiscoveryRequest) Request { return Request{Stream: s.n, Delta: r} }, p.takeDelta)
	return p.run(ctx, s, func(m proto.Message) error { return st.Send(m.(*discovery.DeltaDiscoveryResponse)) })
}

func (p *Plane) takeDelta(s *stream, r *discovery.DeltaDiscoveryRequest) {
	url := r.GetTypeUrl()
	if s.asked[url] == nil {
		s.asked[url], s.sent[url] = map[string]bool{}, map[string]string{}
		s.all[url] = len(r.GetResourceNamesSubscribe()) == 0
		for n, v := range r.GetInitialResourceVersions() {
			s.sent[url][n] = v
		}
	}
	of := p.resources[url]
	var absent []string
	for _, n := range r.GetResourceNamesSubscribe() {
		if n == "*" {
			s.all[url] = true
			continue
		}
		s.asked[url][n] = true
		if _, is := of[n]; !is {
			if _, was := s.sent[url][n]; !was {
				absent = append(absent, n)
			}
		}
	}
	for _, n := range r.GetResourceNamesUnsubscribe() {
		delete(s.asked[url], n)
		delete(s.sent[url], n)
	}
	if len(absent) > 0 && url == ClusterURL { // a resource that is not there is told so at once
		s.put(&discovery.DeltaDiscoveryResponse{TypeUrl: url, Nonce: s.next(), SystemVersionInfo: strconv.Itoa(p.version), RemovedResources: absent})
	}
	p.update(s, url)
}

// Wish sets what load reports it wants.
func (p *Plane) Wish(r *loadstats.LoadStatsResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wish = r
}

// Loads are the load reports that it got.
func (p *Plane) Loads() []*loadstats.LoadStatsRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.loads)
}

// StreamLoadStats takes load reports.
func (p *Plane) StreamLoadStats(st grpc.BidiStreamingServer[loadstats.LoadStatsRequest, loadstats.LoadStatsResponse]) error {
	for first := true; ; first = false {
		r, err := st.Recv()
		if err != nil {
			return err
		}
		p.mu.Lock()
		p.loads = append(p.loads, r)
		wish := p.wish
		p.mu.Unlock()
		if first && wish != nil {
			if err := st.Send(wish); err != nil {
				return err
			}
		}
	}
}
