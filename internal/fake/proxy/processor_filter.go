package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	extprocv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	"google.golang.org/protobuf/types/known/structpb"

	"cranegrade/internal/extproc/stream"
)

const (
	codeDetailsAttribute = "response.code_details"
	extProcNamespace     = "envoy.filters.http.ext_proc"
	dropStreamAfter      = 2 * time.Millisecond // so that the request is on its way, or at its server
)

// processorFilter is the external processing filter (ext_proc) of a connection manager or of a cluster.
type processorFilter struct {
	proxy          *Proxy
	config         *extprocv3.ExternalProcessor
	cluster        string // the processor's
	messageTimeout time.Duration
}

// processorStream is the filter's stream to the processor for one request.
type processorStream struct {
	client extproc.ExternalProcessor_ProcessClient
	cancel context.CancelFunc
	closed bool // nothing more is sent
}

// fail ends the stream after the processor did not answer in time, or at all. It returns the reply to the request; nil if the filter
// fails open.
func (f *processorFilter) fail(s *processorStream) *response {
	f.proxy.MessageTimeouts.Add(1)
	s.closed = true
	s.cancel()
	if f.config.GetFailureModeAllow() {
		return nil
	}
	return localReply(http.StatusInternalServerError, detailsExtProcError)
}

// handleRequest asks the processor where a request should go. clearRoute: the route is to be chosen again. A reply ends the request.
func (f *processorFilter) handleRequest(ctx context.Context, r *request) (clearRoute bool, reply *response) {
	if f.config.GetProcessingMode().GetRequestHeaderMode() == extprocv3.ProcessingMode_SKIP {
		return false, nil
	}
	streamCtx, cancel := context.WithCancel(ctx)
	s := &processorStream{cancel: cancel}
	r.streams[f] = s
	client, err := f.proxy.processorClient.Process(streamCtx)
	if err != nil {
		return false, f.fail(s)
	}
	s.client = client
	asked := time.Now()
	if err := f.sendRequestHeaders(s, r); err != nil && !errors.Is(err, io.EOF) { // after io.EOF, receiving returns the cause
		return false, f.fail(s)
	}
	if f.config.GetObservabilityMode() {
		return false, nil
	}
	message, err := receiveWithin(client, f.messageTimeout)
	f.proxy.DecisionTimes.add(time.Since(asked))
	if err != nil {
		return false, f.fail(s)
	}
	if immediate := message.GetImmediateResponse(); immediate != nil {
		f.proxy.ImmediateResponses.Add(1)
		s.closed = true
		resp := localReply(int(immediate.GetStatus().GetCode()), immediate.GetDetails())
		resp.headers.apply(immediate.GetHeaders())
		return false, resp
	}
	f.proxy.Decisions.Add(1)
	f.applyDecision(r, message)
	if drop := f.proxy.config.DropStream; drop != nil && drop() {
		time.AfterFunc(dropStreamAfter, cancel)
	}
	return message.GetRequestHeaders().GetResponse().GetClearRouteCache(), nil
}

func (f *processorFilter) sendRequestHeaders(s *processorStream, r *request) error {
	return s.client.Send(&extproc.ProcessingRequest{
		ObservabilityMode: f.config.GetObservabilityMode(),
		Request: &extproc.ProcessingRequest_RequestHeaders{
			RequestHeaders: &extproc.HttpHeaders{Headers: headerMap(r.headers), EndOfStream: r.body == ""},
		},
	})
}

// applyDecision notes the servers that the processor named, and applies its mutations and its metadata as far as the configuration
// allows them.
func (f *processorFilter) applyDecision(r *request, message *extproc.ProcessingResponse) {
	mutation := message.GetRequestHeaders().GetResponse().GetHeaderMutation()
	for _, h := range mutation.GetSetHeaders() {
		if h.GetHeader().GetKey() == stream.DestinationHeader {
			r.decided = strings.Split(string(h.GetHeader().GetRawValue()), ",")
		}
	}
	if !f.config.GetMutationRules().GetDisallowAll().GetValue() {
		r.headers.apply(mutation)
	}
	allowed := f.config.GetMetadataOptions().GetReceivingNamespaces().GetUntyped()
	for namespace, v := range message.GetDynamicMetadata().GetFields() {
		if slices.Contains(allowed, namespace) {
			r.mergeMetadata(namespace, v.GetStructValue())
		}
	}
}

// handleResponse shows the processor a response and changes it as the processor says.
func (f *processorFilter) handleResponse(ctx context.Context, r *request, resp *response) {
	s := r.streams[f]
	skipped := f.config.GetProcessingMode().GetResponseHeaderMode() == extprocv3.ProcessingMode_SKIP
	if s == nil || s.closed || ctx.Err() != nil || skipped {
		return
	}
	s.closed = true
	if s.client.Send(f.responseHeaders(r, resp)) != nil {
		return
	}
	message, err := receiveWithin(s.client, f.messageTimeout)
	immediate := message.GetImmediateResponse()
	switch {
	case err != nil:
		// The filter fails closed after the decision, too. A stream that the proxy itself cancelled is no failure.
		if !f.config.GetFailureModeAllow() && !errors.Is(err, context.Canceled) && f.proxy.config.DropStream == nil {
			resp.replaceByLocalReply(http.StatusInternalServerError, detailsExtProcError)
		}
	case immediate != nil:
		resp.replaceByLocalReply(int(immediate.GetStatus().GetCode()), immediate.GetDetails())
		resp.headers.apply(immediate.GetHeaders())
	default:
		resp.headers.apply(message.GetResponseHeaders().GetResponse().GetHeaderMutation())
	}
	_ = s.client.CloseSend() // never fails
}

// responseHeaders is the message that shows the processor a response, with the attributes and metadata that the configuration forwards.
func (f *processorFilter) responseHeaders(r *request, resp *response) *extproc.ProcessingRequest {
	m := &extproc.ProcessingRequest{Request: &extproc.ProcessingRequest_ResponseHeaders{ResponseHeaders: &extproc.HttpHeaders{
		Headers: headerMap(resp.headers), EndOfStream: true,
	}}}
	if resp.details != "" && slices.Contains(f.config.GetResponseAttributes(), codeDetailsAttribute) {
		m.Attributes = map[string]*structpb.Struct{extProcNamespace: {Fields: map[string]*structpb.Value{
			codeDetailsAttribute: structpb.NewStringValue(resp.details),
		}}}
	}
	for _, namespace := range f.config.GetMetadataOptions().GetForwardingNamespaces().GetUntyped() {
		if v := r.metadata[namespace]; v != nil {
			m.MetadataContext = &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{namespace: v}}
		}
	}
	return m
}

// closeStream ends the stream of a request that has ended.
func (f *processorFilter) closeStream(r *request) {
	if s := r.streams[f]; s != nil {
		s.cancel()
		delete(r.streams, f)
	}
}

// errMessageTimeout is the failure of a processor that does not answer in time.
var errMessageTimeout = errors.New("no message within the message time-out")

// receiveWithin waits for the processor's next message. After a time-out the stream is not used any more.
func receiveWithin(client extproc.ExternalProcessor_ProcessClient, timeout time.Duration) (*extproc.ProcessingResponse, error) {
	type result struct {
		message *extproc.ProcessingResponse
		err     error
	}
	received := make(chan result, 1)
	go func() {
		message, err := client.Recv()
		received <- result{message, err}
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r := <-received:
		return r.message, r.err
	case <-timer.C:
		return nil, errMessageTimeout
	}
}
