package client

import (
	"context"
	"errors"
	"fmt"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"

	"cranegrade/internal/xds/ads"
	"cranegrade/internal/xds/resource"
)

// maxQueuedRequests bounds the requests that wait to be written to a stream.
const maxQueuedRequests = 1024

// errStreamEnded is why a stream has ended whose context is done. gRPC cancels that context when a stream
// ends, whatever the reason, so this stands for most errors of an established stream.
var errStreamEnded = errors.New("the control plane ended the stream")

// stream is one stream to a control plane. Only run uses it, but for requests, from which its writer
// receives, and cancel.
type stream struct {
	server   int // index
	cancel   context.CancelFunc
	requests chan ads.SendRequest
	// probe says that the machine is not attached: the stream was sent one request of its own, to see
	// whether the control plane responds while another is in use.
	probe bool
}

// send queues a request. If the queue is full, the control plane does not read, and its stream is ended.
func (s *stream) send(request ads.SendRequest) {
	select {
	case s.requests <- request:
	default:
		s.cancel()
	}
}

// openStream opens a stream to a control plane.
func (c *Client) openStream(server int) {
	ctx, cancel := context.WithCancel(c.ctx)
	s := &stream{server: server, cancel: cancel, requests: make(chan ads.SendRequest, maxQueuedRequests)}
	c.streams[server] = s
	c.work.Go(func() {
		defer cancel()
		err := c.runStream(ctx, s)
		c.post(func() { c.streamEnded(s, err) }) //nolint:contextcheck // a stream opened then lives as long as the client
	})
}

// isOpen reports whether this stream is still the one to its server, and has not been closed or replaced.
func (c *Client) isOpen(s *stream) bool { return c.streams[s.server] == s }

// streamOpened subscribes on a stream that has been established. While another control plane is in use,
// this one is only probed.
func (c *Client) streamOpened(s *stream) {
	if !c.isOpen(s) {
		return
	}
	if active := c.failover.Active(); active >= 0 && active != s.server && c.streams[active] != nil {
		s.probe = true
		s.send(c.probeRequest())
		return
	}
	c.attachMachine(s)
}

// probeRequest is a first request for the watched clusters.
func (c *Client) probeRequest() ads.SendRequest {
	clusters, _ := c.clusters.Subscriptions()
	if c.cfg.Delta {
		return ads.SendRequest{Delta: &discovery.DeltaDiscoveryRequest{
			Node:                   c.cfg.Node,
			TypeUrl:                resource.ClusterURL,
			ResourceNamesSubscribe: clusters,
		}}
	}
	return ads.SendRequest{SotW: &discovery.DiscoveryRequest{
		Node:          c.cfg.Node,
		TypeUrl:       resource.ClusterURL,
		ResourceNames: clusters,
	}}
}

// attachMachine moves the machine to a stream.
func (c *Client) attachMachine(s *stream) {
	sameServer := c.machineServer == s.server
	if c.machineServer != noServer {
		c.machine.StreamClosed()
	}
	c.machineServer, s.probe = s.server, false
	for _, a := range c.machine.StreamOpened(c.now(), sameServer) {
		if request, isRequest := a.(ads.SendRequest); isRequest {
			s.send(request)
		} else {
			c.perform([]ads.Action{a})
		}
	}
}

// streamResponded notes that a stream has brought a response, and says whether the response is for the
// machine.
func (c *Client) streamResponded(s *stream) bool {
	c.lastErrors[s.server] = ""
	before := c.failover.Active()
	c.execute(c.failover.StreamResponded(c.now(), s.server))
	if before != s.server && c.failover.Active() == s.server {
		c.notice(fmt.Sprintf("control plane %s is in use", c.cfg.Servers[s.server]))
	}
	if !s.probe && c.machineServer == s.server {
		return true
	}
	// It was a probe, or the machine has moved to another control plane meanwhile. The machine starts on a
	// new stream, on which nothing has been requested before.
	s.cancel()
	c.openStream(s.server)
	return false
}

// streamEnded notes that a stream has ended.
func (c *Client) streamEnded(s *stream, err error) {
	if !c.isOpen(s) {
		return
	}
	delete(c.streams, s.server)
	if text := err.Error(); c.lastErrors[s.server] != text { // each error is logged once, however often it recurs
		c.lastErrors[s.server] = text
		c.notice(fmt.Sprintf("control plane %s: %v", c.cfg.Servers[s.server], err))
	}
	if c.machineServer == s.server && !s.probe {
		c.machine.StreamClosed()
	}
	c.execute(c.failover.StreamEnded(c.now(), s.server))
}

// runStream runs a stream until it ends, and returns why, never nil.
func (c *Client) runStream(ctx context.Context, s *stream) error {
	service := discovery.NewAggregatedDiscoveryServiceClient(c.conns[s.server])
	var wire discoveryStream
	if c.cfg.Delta {
		delta, err := service.DeltaAggregatedResources(ctx)
		if err != nil {
			return fmt.Errorf("opening a stream: %w", err)
		}
		wire = deltaStream{delta}
	} else {
		sotw, err := service.StreamAggregatedResources(ctx)
		if err != nil {
			return fmt.Errorf("opening a stream: %w", err)
		}
		wire = sotwStream{sotw}
	}
	return c.exchange(s, wire) //nolint:contextcheck // a stream opened meanwhile lives as long as the client
}

// exchange writes the stream's requests and reads its responses, one after the other: the next response
// is read once the one before has been handled. So a control plane that floods the client fills its own
// flow-control window and not our memory.
func (c *Client) exchange(s *stream, wire discoveryStream) error {
	ctx := wire.Context()
	writerDone := make(chan struct{})
	defer func() { <-writerDone }()
	defer s.cancel()
	go func() {
		defer close(writerDone)
		writeRequests(ctx, s.requests, wire)
	}()
	c.post(func() { c.streamOpened(s) })
	for {
		handle, err := wire.receive()
		if err != nil {
			if errors.Is(context.Cause(ctx), context.Canceled) && c.ctx.Err() == nil {
				return errStreamEnded
			}
			return err
		}
		handled := make(chan struct{})
		c.post(func() {
			defer close(handled)
			if c.isOpen(s) && c.streamResponded(s) {
				c.perform(handle(c.machine, c.now()))
			}
		})
		select {
		case <-handled:
		case <-c.done:
			return errStreamEnded
		}
	}
}

// writeRequests writes requests until the stream ends. An error is left to receive, which says why.
func writeRequests(ctx context.Context, requests <-chan ads.SendRequest, wire discoveryStream) {
	for {
		select {
		case request := <-requests:
			if wire.send(request) != nil {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// discoveryStream is a gRPC stream of either variant.
type discoveryStream interface {
	Context() context.Context
	send(ads.SendRequest) error
	// receive waits for a response and returns how the machine handles it.
	receive() (responseHandler, error)
}

// responseHandler has the machine handle one response.
type responseHandler func(machine *ads.Machine, now time.Duration) []ads.Action

type sotwStream struct {
	grpc.BidiStreamingClient[discovery.DiscoveryRequest, discovery.DiscoveryResponse]
}

func (s sotwStream) send(request ads.SendRequest) error { return s.Send(request.SotW) }

func (s sotwStream) receive() (responseHandler, error) {
	response, err := s.Recv()
	if err != nil {
		return nil, err
	}
	return func(machine *ads.Machine, now time.Duration) []ads.Action {
		return machine.HandleResponse(now, response)
	}, nil
}

type deltaStream struct {
	grpc.BidiStreamingClient[discovery.DeltaDiscoveryRequest, discovery.DeltaDiscoveryResponse]
}

func (s deltaStream) send(request ads.SendRequest) error { return s.Send(request.Delta) }

func (s deltaStream) receive() (responseHandler, error) {
	response, err := s.Recv()
	if err != nil {
		return nil, err
	}
	return func(machine *ads.Machine, now time.Duration) []ads.Action {
		return machine.HandleDeltaResponse(now, response)
	}, nil
}
