package stream

import (
	"net/http"
	"strings"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	modev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/types/known/structpb"

	"cranegrade/internal/message"
)

// Decision is the endpoint that was picked for a request, and how the proxy should go on.
type Decision struct {
	Endpoint  string   // ip:port
	Fallbacks []string // endpoints that the proxy may try next without asking again, in order
	// TimeLeft is how long the client waits for the answer; it is sent to the server in x-time-left. 0 means it is not sent.
	TimeLeft        time.Duration
	ClearRouteCache bool // have the proxy choose its route again, now that the destination header is set
	HeadersOnly     bool // ask for no bodies and trailers, if the proxy's mode can be overridden
	// AtMostOnce says that the request must not run a second time, and MayHaveRun that an earlier attempt may have run
	// it. A 503 or 429 invites the client to retry. Where that could do harm, because both hold by the end of this
	// attempt, such a response is changed to 502.
	AtMostOnce, MayHaveRun bool
	// RetryHeader is set in the response of a failed attempt if the proxy may retry, and removed from any other response.
	// Such a response is held back (Outcome.AwaitsRetryDecision) until DecideRetry. "" means responses are passed on at once.
	RetryHeader string
	// Cached is what Response returned for an equal decision; it is only read. nil means the message is built anew.
	Cached *extproc.ProcessingResponse
}

// Decide gives the decision that PickEndpoint asked for. It is ignored if the stream has moved on; used says whether
// the proxy is sent it, so that the attempt of an unused decision is known never to have run.
func (s *Stream) Decide(d Decision) (actions []Action, used bool) {
	if s.phase != awaitingDecision {
		return nil, false
	}
	s.phase = awaitingResponse
	s.atMostOnce, s.mayHaveRun, s.retryHeader = d.AtMostOnce, d.MayHaveRun, d.RetryHeader
	response := d.Cached
	// Envoy does not let mode_override leave the modes in which bodies are sent back to it.
	echoBodies := s.request.echoBody || s.response.echoBody
	if response == nil || echoBodies {
		d.HeadersOnly = d.HeadersOnly && !echoBodies
		response = d.Response()
	}
	s.emit(Reply{response})
	s.handleQueued()
	return s.takeActions(), true
}

// Response is the message that tells the proxy of the decision. It may be kept as Cached for equal decisions.
func (d Decision) Response() *extproc.ProcessingResponse {
	destination := strings.Join(append([]string{d.Endpoint}, d.Fallbacks...), ",")
	mutation := &extproc.HeaderMutation{
		SetHeaders: []*corev3.HeaderValueOption{setHeader(DestinationHeader, destination)},
	}
	if d.TimeLeft > 0 {
		mutation.SetHeaders = append(mutation.SetHeaders, setHeader("x-time-left", message.FormatTimeLeft(d.TimeLeft)))
	}
	common := &extproc.CommonResponse{ClearRouteCache: d.ClearRouteCache, HeaderMutation: mutation}
	metadata := &structpb.Struct{Fields: map[string]*structpb.Value{
		DestinationHeader: structpb.NewStringValue(destination),
	}}
	response := &extproc.ProcessingResponse{
		Response: &extproc.ProcessingResponse_RequestHeaders{RequestHeaders: &extproc.HeadersResponse{Response: common}},
		DynamicMetadata: &structpb.Struct{Fields: map[string]*structpb.Value{
			MetadataNamespace: structpb.NewStructValue(metadata),
		}},
	}
	if d.HeadersOnly {
		response.ModeOverride = headersOnlyMode()
	}
	return response
}

// headersOnlyMode is the mode in which the proxy sends no bodies and trailers. Response headers are still needed, for
// the outcome.
func headersOnlyMode() *modev3.ProcessingMode {
	return &modev3.ProcessingMode{
		RequestBodyMode:     modev3.ProcessingMode_NONE,
		RequestTrailerMode:  modev3.ProcessingMode_SKIP,
		ResponseHeaderMode:  modev3.ProcessingMode_SEND,
		ResponseBodyMode:    modev3.ProcessingMode_NONE,
		ResponseTrailerMode: modev3.ProcessingMode_SKIP,
	}
}

// ImmediateResponse is an answer to the client in place of a server's.
type ImmediateResponse struct {
	Status     int           // of HTTP
	RetryAfter time.Duration // 0 means none
	Details    string        // for the proxy's logs
}

// Respond answers the request in place of a decision. It is ignored once the proxy has its decision: then the server's
// response is the answer.
func (s *Stream) Respond(r ImmediateResponse) []Action {
	if s.phase == awaitingDecision {
		s.respond(r)
	}
	return s.takeActions()
}

func (s *Stream) respond(r ImmediateResponse) {
	response := &extproc.ImmediateResponse{
		Status:  &typev3.HttpStatus{Code: typev3.StatusCode(r.Status)},
		Details: "cranegrade: " + r.Details,
		Headers: &extproc.HeaderMutation{},
	}
	if r.RetryAfter > 0 {
		response.Headers.SetHeaders = append(response.Headers.SetHeaders, setRetryAfter(r.RetryAfter))
	}
	if s.grpc {
		response.GrpcStatus = &extproc.GrpcStatus{Status: uint32(grpcCode(r.Status))}
	}
	s.emit(Reply{&extproc.ProcessingResponse{
		Response: &extproc.ProcessingResponse_ImmediateResponse{ImmediateResponse: response},
	}})
	s.outcomeReported = true
	s.phase = closed
	s.dropQueued()
	s.emit(Close{})
}

// grpcCode is the gRPC status of an immediate response. 400, 404, 429, 502, 503 and 504 are as in gRPC's "HTTP to gRPC
// status code mapping".
func grpcCode(httpStatus int) codes.Code {
	switch httpStatus {
	case http.StatusBadRequest:
		return codes.Internal
	case http.StatusNotFound:
		return codes.Unimplemented
	case http.StatusConflict:
		return codes.Aborted
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return codes.Unavailable
	}
	return codes.Unknown
}
