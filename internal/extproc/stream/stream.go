// Package stream is one stream of Envoy's external processing service
// (envoy.service.ext_proc.v3.ExternalProcessor) as a state machine: messages of the proxy and the
// engine's words go in with the time, messages to the proxy and notes for the engine come out. It does
// no I/O, reads no clock and starts nothing.
//
// A stream is one HTTP request. It is asked once where the request should go, when its headers come;
// everything else it passes on unchanged. It is answered in order: what comes while the decision is
// awaited waits behind it, within bounds (Full).
package stream

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	modev3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/ext_proc/v3"
	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/types/known/structpb"

	"cranegrade/balancer"
	"cranegrade/internal/message"
)

// The endpoint picker's conventions (Gateway API Inference Extension, "endpoint picker protocol").
const (
	DestinationHeader = "x-gateway-destination-endpoint"        // where the request should go
	ServedHeader      = "x-gateway-destination-endpoint-served" // where it went
	SubsetHeader      = "x-gateway-destination-endpoint-subset" // the endpoints that it may go to
	MetadataNamespace = "envoy.lb"
	SubsetNamespace   = "envoy.lb.subset_hint"
)

// Bounds of a stream.
const (
	maxPending     = 64 << 10 // bytes of body that wait behind the decision
	maxPendingMsgs = 64
	maxHeaders     = 1000 // fields of a message
	maxHeaderBytes = 128 << 10
	maxSubset      = 10_000 // endpoints of a subset hint; those beyond are not chosen from
)

// Question is what a request's headers ask.
type Question struct {
	Method, Path, Authority string
	Header                  map[string][]string // by lower-case name, without pseudo-headers
	EndOfStream             bool                // the request has no body
	Observed                bool                // the proxy waits for no answer (observability_mode)
	// Subset, if not nil, are the endpoints that it may go to, as ip:port. None: there is nowhere to go.
	Subset []string
}

// Get is the first value of a header.
func (q *Question) Get(name string) string {
	if v := q.Header[name]; len(v) > 0 {
		return v[0]
	}
	return ""
}

// Decision is where a request should go.
type Decision struct {
	Endpoint  string   // ip:port
	Fallbacks []string // that may be tried without asking again, in order
	TimeLeft  time.Duration
	Clear     bool // have the proxy choose its route anew, by the header
	Slim      bool // ask for no bodies and trailers, if the proxy allows that
	// Unsafe says that a refusal is not harmless once the request may have run; Ran, that it may have by
	// an earlier try. A proxy words what it does not know as 503, which promises that trying again does
	// no harm: such an answer is reworded to 502.
	Unsafe, Ran bool
	// RetryHeader is set in the answer to a failed try if there may be another, and taken off any other; what
	// may be is asked with an Outcome and told by Judge. "": nothing is said, and the answer goes on at once.
	RetryHeader string
	// Message is the Word of this decision, made before and only read; nil: it is made anew.
	Message *extproc.ProcessingResponse
}

// Final is an answer in place of a server's.
type Final struct {
	Status     int
	RetryAfter time.Duration // 0: none
	Text       string
}

// Actions that the shell carries out in order.
type (
	// Reply is a message for the proxy.
	Reply struct{ Message *extproc.ProcessingResponse }
	// Ask has the engine asked; Decide or Answer follow.
	Ask struct{ Question *Question }
	// Outcome says how the attempt ended, as far as the proxy tells. Answered: the client has its answer, or
	// will have. Judging: the answer waits for Judge, which says whether the proxy may try again.
	Outcome struct {
		Ending   balancer.Ending
		Status   int    // of the server's answer; 0: none came
		Served   string // the endpoint that served, if the proxy says so
		Answered bool
		Judging  bool
		Length   int64 // bytes of the answer's body, as its content-length tells; 0: not told
	}
	// Lost says that the stream ended while a decision was awaited: nothing is owed any more.
	Lost struct{}
	// Hangup ends the stream with an error, nil for a proper end.
	Hangup struct{ Err error }
)

// Action is one of the types above.
type Action any

type phase int

const (
	fresh    phase = iota // nothing came yet
	asking                // the decision is awaited
	decided               // the decision is on its way, the response is awaited
	judging               // the response has come, and whether there is another try is awaited
	answered              // the client has its answer: of the server, or ours
	over
)

// Stream is the state of one stream. It belongs to one goroutine.
type Stream struct {
	phase    phase
	observed bool
	duplexIn bool // bodies of requests are to be sent back chunk by chunk (FULL_DUPLEX_STREAMED)
	duplexUp bool // bodies of responses are
	grpc     bool // the request is gRPC
	pending  []*extproc.ProcessingRequest
	bytes    int // of bodies in pending
	ended    struct{ request, response bool }
	headers  struct{ request, response bool }
	booked   bool // an Outcome was given
	unsafe   bool // Decision's
	ran      bool
	retry    string
	status   int // of the answer that is judged
	out      []Action
}

// New returns a stream to which nothing has come.
func New() *Stream { return &Stream{} }

// Full says that no more should be read until the decision has come.
func (s *Stream) Full() bool {
	return (s.phase == asking || s.phase == judging) && (s.bytes >= maxPending || len(s.pending) >= maxPendingMsgs)
}

// Over says that nothing more will come of the stream.
func (s *Stream) Over() bool { return s.phase == over }

func (s *Stream) do(a Action) { s.out = append(s.out, a) }

func (s *Stream) take() []Action {
	out := s.out
	s.out = nil
	return out
}

// Errors of proxies that do not keep to the protocol.
var (
	ErrOrder   = errors.New("a message out of order")
	ErrEmpty   = errors.New("a message that says nothing")
	ErrHeaders = errors.New("too many or malformed headers")
)

// violate ends the stream: what was asked is lost, what was decided ends as a lost stream does.
func (s *Stream) violate(err error) {
	s.lose()
	s.do(Hangup{err})
}

// lose notes that nothing more comes.
func (s *Stream) lose() {
	switch s.phase {
	case asking, judging:
		s.do(Lost{})
	case decided:
		// The proxy had its decision, so the request may be at the server. The side channel says nothing of
		// the server's health: the ending does not blame it.
		s.book(Outcome{Ending: balancer.Canceled})
	}
	s.phase, s.pending, s.bytes = over, nil, 0
}

func (s *Stream) book(o Outcome) {
	if !s.booked {
		s.booked = true
		s.do(o)
	}
}

// End says that the proxy has ended the stream, or that it broke.
func (s *Stream) End() []Action {
	if s.phase != over {
		s.lose()
		s.do(Hangup{})
	}
	return s.take()
}

// Receive takes a message of the proxy.
func (s *Stream) Receive(m *extproc.ProcessingRequest) []Action {
	if s.phase == over {
		return nil
	}
	if m.GetObservabilityMode() {
		s.observed = true
	}
	if c := m.GetProtocolConfig(); c != nil {
		s.duplexIn = c.GetRequestBodyMode() == modev3.ProcessingMode_FULL_DUPLEX_STREAMED || c.GetRequestBodyMode() == modev3.ProcessingMode_GRPC
		s.duplexUp = c.GetResponseBodyMode() == modev3.ProcessingMode_FULL_DUPLEX_STREAMED || c.GetResponseBodyMode() == modev3.ProcessingMode_GRPC
	}
	if s.phase == judging {
		// In order: behind the answer's headers.
		s.pending = append(s.pending, m)
		s.bytes += len(m.GetRequestBody().GetBody()) + len(m.GetResponseBody().GetBody())
		if s.Full() {
			s.violate(fmt.Errorf("%w: too much behind headers that were not answered", ErrOrder))
		}
		return s.take()
	}
	if s.phase == asking {
		// In order: behind the decision. Requests' bodies and trailers may come before it.
		switch m.GetRequest().(type) {
		case *extproc.ProcessingRequest_RequestBody, *extproc.ProcessingRequest_RequestTrailers:
			s.pending = append(s.pending, m)
			s.bytes += len(m.GetRequestBody().GetBody())
			return s.take()
		case *extproc.ProcessingRequest_ResponseHeaders:
			// The proxy has answered the client itself, after its own time-out: the decision comes too late.
			s.do(Lost{})
			s.phase = answered
			s.booked = true
			s.pending, s.bytes = nil, 0
		default:
			s.violate(fmt.Errorf("%w: %T while the decision is awaited", ErrOrder, m.GetRequest()))
			return s.take()
		}
	}
	s.handle(m)
	return s.take()
}

func (s *Stream) handle(m *extproc.ProcessingRequest) {
	switch r := m.GetRequest().(type) {
	case *extproc.ProcessingRequest_RequestHeaders:
		s.requestHeaders(r.RequestHeaders, m)
	case *extproc.ProcessingRequest_RequestBody:
		s.body(r.RequestBody, true)
	case *extproc.ProcessingRequest_RequestTrailers:
		s.trailers(true)
	case *extproc.ProcessingRequest_ResponseHeaders:
		s.responseHeaders(r.ResponseHeaders, m)
	case *extproc.ProcessingRequest_ResponseBody:
		s.body(r.ResponseBody, false)
	case *extproc.ProcessingRequest_ResponseTrailers:
		s.trailers(false)
	default:
		if m.GetFlowControlInit() != nil || m.GetClientWindowUpdate() != nil || m.GetProtocolConfig() != nil {
			return // says something of the stream only
		}
		s.violate(ErrEmpty)
	}
}

// read turns a header map into plain headers. raw_value counts before value, which proxies leave empty
// then; bytes that are no UTF-8 stay as they are.
func read(h *corev3.HeaderMap) (pseudo, header map[string][]string, err error) {
	if len(h.GetHeaders()) > maxHeaders {
		return nil, nil, fmt.Errorf("%w: %d fields", ErrHeaders, len(h.GetHeaders()))
	}
	pseudo, header = map[string][]string{}, make(map[string][]string, len(h.GetHeaders()))
	size := 0
	for _, f := range h.GetHeaders() {
		v := f.GetValue()
		if len(f.GetRawValue()) > 0 {
			v = string(f.GetRawValue())
		}
		name := strings.ToLower(f.GetKey())
		if size += len(name) + len(v); size > maxHeaderBytes || name == "" || strings.ContainsAny(v, "\r\n\x00") {
			return nil, nil, fmt.Errorf("%w: the field %.40q", ErrHeaders, name)
		}
		if name[0] == ':' {
			pseudo[name] = append(pseudo[name], v)
		} else {
			header[name] = append(header[name], v)
		}
	}
	return pseudo, header, nil
}

// subset reads the hint which endpoints a request may go to: in metadata, as a list or as text with commas. What
// is in headers may be a caller's and is not read here. nil: there is no hint.
func subset(m *extproc.ProcessingRequest) []string {
	v := m.GetMetadataContext().GetFilterMetadata()[SubsetNamespace].GetFields()[SubsetHeader]
	if v == nil {
		return nil
	}
	l := []string{}
	add := func(text string) {
		for a := range strings.SplitSeq(text, ",") {
			if a = strings.TrimSpace(a); a != "" && len(l) < maxSubset {
				l = append(l, a)
			}
		}
	}
	for _, x := range v.GetListValue().GetValues() {
		add(x.GetStringValue())
	}
	add(v.GetStringValue())
	return l
}

func (s *Stream) requestHeaders(h *extproc.HttpHeaders, m *extproc.ProcessingRequest) {
	if s.phase != fresh || s.headers.request {
		s.violate(fmt.Errorf("%w: request headers twice", ErrOrder))
		return
	}
	s.headers.request, s.ended.request = true, h.GetEndOfStream()
	pseudo, header, err := read(h.GetHeaders())
	one := func(name string) string {
		if v := pseudo[name]; len(v) == 1 {
			return v[0]
		}
		return ""
	}
	q := &Question{
		Method: one(":method"), Path: one(":path"), Authority: one(":authority"), Header: header,
		EndOfStream: h.GetEndOfStream(), Observed: s.observed, Subset: subset(m),
	}
	if err == nil && (q.Method == "" || q.Path == "" || len(pseudo[":authority"]) > 1) {
		err = fmt.Errorf("%w: not one :method, :path and :authority", ErrHeaders)
	}
	if err != nil {
		// The request is at fault, not the proxy: it is answered.
		s.final(Final{Status: 400, Text: err.Error()})
		return
	}
	s.grpc = strings.HasPrefix(q.Get("content-type"), "application/grpc")
	if s.observed {
		// Nothing can be decided: the proxy sends the request where it likes.
		s.phase = answered
		s.booked = true
		return
	}
	s.phase = asking
	s.do(Ask{q})
}

// Decide gives the engine's decision. It is ignored if the stream has moved on; used says whether it
// was written, so that an attempt which was not can be known never to have run.
func (s *Stream) Decide(d Decision) (actions []Action, used bool) {
	if s.phase != asking {
		return nil, false
	}
	s.phase, s.unsafe, s.ran, s.retry = decided, d.Unsafe, d.Ran, d.RetryHeader
	m := d.Message
	if m == nil || s.duplexIn || s.duplexUp {
		d.Slim = d.Slim && !s.duplexIn && !s.duplexUp
		m = d.Word()
	}
	s.do(Reply{m})
	s.flush()
	return s.take(), true
}

// Word is the message that tells a decision. It may be kept as Message for the next like it.
func (d Decision) Word() *extproc.ProcessingResponse {
	list := strings.Join(append([]string{d.Endpoint}, d.Fallbacks...), ",")
	common := &extproc.CommonResponse{ClearRouteCache: d.Clear, HeaderMutation: &extproc.HeaderMutation{
		SetHeaders: []*corev3.HeaderValueOption{set(DestinationHeader, list)},
	}}
	if d.TimeLeft > 0 {
		common.HeaderMutation.SetHeaders = append(common.HeaderMutation.SetHeaders, set("x-time-left", message.FormatTimeLeft(d.TimeLeft)))
	}
	m := &extproc.ProcessingResponse{
		Response: &extproc.ProcessingResponse_RequestHeaders{RequestHeaders: &extproc.HeadersResponse{Response: common}},
		DynamicMetadata: &structpb.Struct{Fields: map[string]*structpb.Value{MetadataNamespace: structpb.NewStructValue(&structpb.Struct{
			Fields: map[string]*structpb.Value{DestinationHeader: structpb.NewStringValue(list)},
		})}},
	}
	if d.Slim {
		m.ModeOverride = &modev3.ProcessingMode{
			RequestBodyMode: modev3.ProcessingMode_NONE, RequestTrailerMode: modev3.ProcessingMode_SKIP,
			ResponseHeaderMode: modev3.ProcessingMode_SEND, ResponseBodyMode: modev3.ProcessingMode_NONE, ResponseTrailerMode: modev3.ProcessingMode_SKIP,
		}
	}
	return m
}

// set words a header that replaces any of its name; raw_value is what proxies read.
func set(name, value string) *corev3.HeaderValueOption {
	return &corev3.HeaderValueOption{
		Header:       &corev3.HeaderValue{Key: name, RawValue: []byte(value)},
		AppendAction: corev3.HeaderValueOption_OVERWRITE_IF_EXISTS_OR_ADD,
	}
}

// flush handles what came while the decision was awaited.
func (s *Stream) flush() {
	pending := s.pending
	s.pending, s.bytes = nil, 0
	for _, m := range pending {
		if s.phase == over {
			return
		}
		s.handle(m)
	}
}

// Answer gives the engine's final answer in place of a decision. Once the proxy has its decision there
// is nothing to answer: what the server says is the answer.
func (s *Stream) Answer(f Final) []Action {
	if s.phase == asking {
		s.final(f)
	}
	return s.take()
}

// grpcStatus of our answers (the gRPC-over-HTTP/2 document: refusals are UNAVAILABLE).
func grpcStatus(status int) uint32 {
	switch status {
	case 400:
		return 13 // INTERNAL, as the mapping of HTTP statuses has it
	case 404:
		return 12 // UNIMPLEMENTED
	case 409:
		return 10 // ABORTED
	case 429, 502, 503, 504:
		return 14 // UNAVAILABLE
	}
	return 2 // UNKNOWN
}

func (s *Stream) final(f Final) {
	r := &extproc.ImmediateResponse{
		Status: &typev3.HttpStatus{Code: typev3.StatusCode(f.Status)}, Details: "cranegrade: " + f.Text,
		Headers: &extproc.HeaderMutation{},
	}
	if f.RetryAfter > 0 {
		r.Headers.SetHeaders = append(r.Headers.SetHeaders, set("retry-after", strconv.FormatFloat(f.RetryAfter.Seconds(), 'f', -1, 64)))
	}
	if s.grpc {
		r.GrpcStatus = &extproc.GrpcStatus{Status: grpcStatus(f.Status)}
	}
	s.do(Reply{&extproc.ProcessingResponse{Response: &extproc.ProcessingResponse_ImmediateResponse{ImmediateResponse: r}}})
	s.booked = true
	s.phase, s.pending, s.bytes = over, nil, 0
	s.do(Hangup{})
}

// body passes a piece of a body on.
func (s *Stream) body(b *extproc.HttpBody, request bool) {
	ended, duplex := &s.ended.response, s.duplexUp
	if request {
		ended, duplex = &s.ended.request, s.duplexIn
	}
	if !request && !s.headers.response && s.phase == decided {
		s.violate(fmt.Errorf("%w: a response body before its headers", ErrOrder))
		return
	}
	if *ended && (len(b.GetBody()) > 0 || !b.GetEndOfStream()) {
		s.violate(fmt.Errorf("%w: a body after its end", ErrOrder))
		return
	}
	// The end told twice is taken for what it is: the end.
	*ended = *ended || b.GetEndOfStream() || b.GetEndOfStreamWithoutMessage()
	if s.observed {
		return
	}
	common := &extproc.CommonResponse{}
	if duplex {
		// The proxy passes on only what comes back.
		common.BodyMutation = &extproc.BodyMutation{Mutation: &extproc.BodyMutation_StreamedResponse{StreamedResponse: &extproc.StreamedBodyResponse{
			Body: b.GetBody(), EndOfStream: b.GetEndOfStream(), EndOfStreamWithoutMessage: b.GetEndOfStreamWithoutMessage(),
			GrpcMessageCompressed: b.GetGrpcMessageCompressed(),
		}}}
	}
	r := &extproc.BodyResponse{Response: common}
	if request {
		s.do(Reply{&extproc.ProcessingResponse{Response: &extproc.ProcessingResponse_RequestBody{RequestBody: r}}})
	} else {
		s.do(Reply{&extproc.ProcessingResponse{Response: &extproc.ProcessingResponse_ResponseBody{ResponseBody: r}}})
	}
}

func (s *Stream) trailers(request bool) {
	if request {
		s.ended.request = true
	} else {
		s.ended.response = true
	}
	switch {
	case s.observed:
	case request:
		s.do(Reply{&extproc.ProcessingResponse{Response: &extproc.ProcessingResponse_RequestTrailers{RequestTrailers: &extproc.TrailersResponse{}}}})
	default:
		s.do(Reply{&extproc.ProcessingResponse{Response: &extproc.ProcessingResponse_ResponseTrailers{ResponseTrailers: &extproc.TrailersResponse{}}}})
	}
}

// responseHeaders tells how the attempt ended: what the proxy shows here goes to the client.
func (s *Stream) responseHeaders(h *extproc.HttpHeaders, m *extproc.ProcessingRequest) {
	if s.headers.response {
		s.violate(fmt.Errorf("%w: response headers twice", ErrOrder))
		return
	}
	if s.phase == fresh {
		// The proxy skips request headers: there was nothing to decide.
		s.phase, s.booked = answered, true
	}
	s.headers.response, s.ended.response = true, h.GetEndOfStream()
	pseudo, header, err := read(h.GetHeaders())
	status := 0
	if v := pseudo[":status"]; err == nil && len(v) == 1 {
		status, _ = strconv.Atoi(v[0])
	}
	if status < 100 || status > 999 {
		status = 0
	}
	judged := false
	if s.phase == decided {
		o := Outcome{Ending: endingOf(status, header, m), Status: status, Served: served(header, m), Answered: true}
		if v := header["content-length"]; len(v) == 1 {
			o.Length = message.ParseContentLength(v[0])
		}
		if o.Ending != balancer.Success && s.retry != "" && !s.observed {
			o.Judging, judged = true, true
			s.phase, s.status = judging, status
		}
		s.ran = s.ran || !Unrun(o.Ending)
		s.book(o)
	}
	if !judged {
		s.answer(status, Judgement{})
	}
}

// Judgement is what follows a failed try.
type Judgement struct {
	Again      bool          // the proxy may try once more
	Refused    bool          // else: trying again is harmless, later
	RetryAfter time.Duration // with Refused; 0: none
}

// Judge gives the engine's word on the failed try that an Outcome told of with Judging. It is ignored if the
// stream has moved on; used says whether it was told.
func (s *Stream) Judge(j Judgement) (actions []Action, used bool) {
	if s.phase != judging {
		return nil, false
	}
	s.answer(s.status, j)
	s.flush()
	return s.take(), true
}

// answer lets the response's headers go on, changed where they would say more than is true.
func (s *Stream) answer(status int, j Judgement) {
	asked := s.phase == judging
	m := &extproc.HeaderMutation{}
	if asked || s.phase == decided {
		harmful := s.unsafe && s.ran
		switch {
		case j.Again:
			m.SetHeaders = append(m.SetHeaders, set(s.retry, "1"))
		case asked && j.Refused && !harmful:
			m.SetHeaders = append(m.SetHeaders, set(":status", "503"))
			if j.RetryAfter > 0 {
				m.SetHeaders = append(m.SetHeaders, set("retry-after", strconv.FormatFloat(j.RetryAfter.Seconds(), 'f', -1, 64)))
			}
		case harmful && (status == 503 || status == 429):
			m.SetHeaders = append(m.SetHeaders, set(":status", "502"))
			m.RemoveHeaders = append(m.RemoveHeaders, "retry-after")
		}
		if s.retry != "" && !j.Again {
			m.RemoveHeaders = append(m.RemoveHeaders, s.retry) // a server has no say in it
		}
	}
	s.phase = answered
	if s.observed {
		return
	}
	common := &extproc.CommonResponse{}
	if len(m.SetHeaders)+len(m.RemoveHeaders) > 0 {
		common.HeaderMutation = m
	}
	s.do(Reply{&extproc.ProcessingResponse{Response: &extproc.ProcessingResponse_ResponseHeaders{
		ResponseHeaders: &extproc.HeadersResponse{Response: common},
	}}})
}

// Unrun says that an ending proves that the attempt never ran.
func Unrun(e balancer.Ending) bool {
	return e == balancer.Overloaded || e == balancer.Unreachable || e == balancer.NeverSent
}

// endingOf reads the truth about whether the request can have run. Only a server's own word
// (X-Unprocessed) and the proxy's word that no connection came up prove that it has not; and of several tries
// which the proxy made by itself they prove it for the last alone.
func endingOf(status int, header map[string][]string, m *extproc.ProcessingRequest) balancer.Ending {
	e := endingOfLast(status, header, m)
	if n := header["x-envoy-attempt-count"]; Unrun(e) && len(n) > 0 && n[0] != "1" {
		return balancer.Broken
	}
	return e
}

func endingOfLast(status int, header map[string][]string, m *extproc.ProcessingRequest) balancer.Ending {
	details := ""
	for _, attributes := range m.GetAttributes() {
		if v := attributes.GetFields()["response.code_details"].GetStringValue(); v != "" {
			details = v
		}
	}
	unprocessed := len(header["x-unprocessed"]) == 1 && header["x-unprocessed"][0] == "1"
	switch {
	case status == 0:
		return balancer.Broken
	case (status == 503 || status == 504) && unprocessed:
		return balancer.Overloaded
	case strings.Contains(details, "{overflow}"):
		return balancer.NeverSent // the proxy's own circuit breaker: nothing was sent, and no server is to blame
	case strings.Contains(details, "connection_failure") || strings.Contains(details, "connection_timeout") || details == "no_healthy_upstream":
		return balancer.Unreachable
	case strings.Contains(details, "response_timeout") || strings.Contains(details, "per_try_timeout"):
		return balancer.TimedOut
	case strings.Contains(details, "upstream_reset"):
		return balancer.Broken
	case status >= 500:
		return balancer.Failure
	}
	return balancer.Success
}

// served is the endpoint that the proxy says it used.
func served(header map[string][]string, m *extproc.ProcessingRequest) string {
	if v := header[ServedHeader]; len(v) == 1 && v[0] != "-" { // as Envoy words what is not there
		return v[0]
	}
	return m.GetMetadataContext().GetFilterMetadata()[MetadataNamespace].GetFields()[ServedHeader].GetStringValue()
}
